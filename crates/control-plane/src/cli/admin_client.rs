//! An operator's call to a service, from a command: one connection, one reply. Blocks its thread.

use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gaugestep_config::schema::{
    Call, FromClient, FromService, Reply, call, from_client, from_service, reply,
};
use prost::Message as _;
use rustls::{ClientConnection, StreamOwned};
use rustls_pki_types::ServerName;

use crate::transport::framing;
use crate::transport::tls::{self, ClientTls, TlsFiles};

/// How long one try may take, and how long a call is tried at all while nobody can carry it out.
const WITHIN: Duration = Duration::from_secs(5);
/// How long one of several services may take, so that one that is silent leaves time for the others.
const ONE_WITHIN: Duration = Duration::from_secs(2);
/// Between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// The services as a command reaches them.
#[derive(Clone, Debug)]
pub struct AdminClient {
    /// Their addresses for operators, tried in turn.
    pub addresses: Vec<SocketAddr>,
    /// Keys, and the name that their certificates carry.
    pub keys: Option<(TlsFiles, String)>,
}

trait ReadWrite: io::Read + io::Write {}
impl<T: io::Read + io::Write> ReadWrite for T {}

impl AdminClient {
    /// Calls, follows to whoever can carry it out, and waits for the reply; an error is one plain line, the service's own
    /// among them. Where nobody can, that is said within some seconds. What may have been carried out unheard is tried
    /// again only if `again` says that this does no harm.
    pub fn call(&self, what: &call::What, again: bool) -> Result<reply::What, String> {
        for address in &self.addresses {
            tls::check_address_allowed(*address, self.keys.is_some())?;
        }
        let (began, mut turns) = (Instant::now(), self.addresses.iter().cycle().copied());
        let mut next = turns.next();
        let mut last = "no service is named".to_owned();
        let mut tries = 0;
        while let Some(address) = next.take() {
            let left = WITHIN.saturating_sub(began.elapsed());
            if left.is_zero() {
                break;
            }
            tries += 1;
            let one = if self.addresses.len() > 1 { left.min(ONE_WITHIN) } else { left };
            match self.talk(what, address, one) {
                Ok(Some(reply::What::Error(error))) => return Err(error),
                Ok(Some(reply::What::Owner(owner)))
                    if tls::is_address_allowed(&owner.operators, self.keys.is_some()) =>
                {
                    last = format!(
                        "member {} at {} owns it, and cannot be reached",
                        owner.member, owner.operators
                    );
                    // A service that still names the one that is gone is asked again, not for ever.
                    next = owner.operators.parse().ok().filter(|_| tries % 2 == 1);
                }
                Ok(Some(reply::What::Owner(_))) => last = "the owner's address is none".into(),
                Ok(Some(reply::What::Later(why))) => last = why,
                Ok(Some(what)) => return Ok(what),
                Ok(None) => return Err("the service's reply says nothing that this build knows".into()),
                Err((sent, error)) => {
                    last = format!("{address}: {error}");
                    if sent && !again {
                        return Err(format!("{last}; it may have been carried out all the same"));
                    }
                    if self.addresses.len() == 1 && !sent && address == self.addresses[0] {
                        return Err(last);
                    }
                }
            }
            if next.is_none() {
                std::thread::sleep(PAUSE);
                next = turns.next();
            }
        }
        Err(last)
    }

    /// One try; an error says whether the call had been sent by then.
    fn talk(
        &self,
        what: &call::What,
        address: SocketAddr,
        within: Duration,
    ) -> Result<Option<reply::What>, (bool, io::Error)> {
        let mut stream = self.connect(address, within).map_err(|error| (false, error))?;
        let call = Call { what: Some(what.clone()) };
        let said = framing::encode(&FromClient { said: Some(from_client::Said::Call(call)) });
        let mut ask = || {
            stream.write_all(&said)?;
            stream.flush()?;
            read(&mut *stream)
        };
        ask().map(|reply: Reply| reply.what).map_err(|error| (true, error))
    }

    fn connect(&self, address: SocketAddr, within: Duration) -> io::Result<Box<dyn ReadWrite>> {
        let socket = TcpStream::connect_timeout(&address, within)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(within))?;
        socket.set_write_timeout(Some(within))?;
        let Some((files, name)) = &self.keys else { return Ok(Box::new(socket)) };
        let config = ClientTls::load(files.clone()).map_err(io::Error::other)?.current();
        let name = ServerName::try_from(name.clone()).map_err(wrong)?;
        let tls = ClientConnection::new(Arc::clone(&config), name).map_err(wrong)?;
        Ok(Box::new(StreamOwned::new(tls, socket)))
    }
}

fn wrong(error: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

fn read(stream: &mut dyn ReadWrite) -> io::Result<Reply> {
    let mut input = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some((body, _)) = framing::split_first(&input).map_err(wrong)? {
            let message = FromService::decode(body).map_err(wrong)?;
            return match message.said {
                Some(from_service::Said::Reply(reply)) => Ok(reply),
                _ => Err(wrong("no reply to the call")),
            };
        }
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => input.extend_from_slice(&chunk[..read]),
        }
    }
}
