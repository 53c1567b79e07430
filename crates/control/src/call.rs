//! An operator's call to a service, from a command: one connection, one reply. Blocks its thread.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use gaugestep_config::schema::{
    Call, FromClient, FromService, Reply, call, from_client, from_service, reply,
};
use prost::Message as _;
use rustls::{ClientConnection, StreamOwned};
use rustls_pki_types::ServerName;

use crate::frame;
use crate::keys::{self, ClientKeys, Files};

/// How long a call may take.
const WITHIN: Duration = Duration::from_secs(15);

/// A service as a command reaches it.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its address for operators.
    pub address: SocketAddr,
    /// Keys, and the name that its certificate carries.
    pub keys: Option<(Files, String)>,
}

trait Talk: io::Read + io::Write {}
impl<T: io::Read + io::Write> Talk for T {}

impl Service {
    /// Calls, and waits for the reply; an error is one plain line, the service's own among them.
    pub fn call(&self, what: call::What) -> Result<reply::What, String> {
        keys::allowed(self.address, self.keys.is_some())?;
        let told = self.talk(what).map_err(|error| format!("{}: {error}", self.address))?;
        match told.what {
            Some(reply::What::Error(error)) => Err(error),
            Some(what) => Ok(what),
            None => Err("the service's reply says nothing that this build knows".into()),
        }
    }

    fn talk(&self, what: call::What) -> io::Result<Reply> {
        let wrong =
            |error: &dyn std::fmt::Display| io::Error::new(io::ErrorKind::InvalidData, error.to_string());
        let socket = TcpStream::connect_timeout(&self.address, WITHIN)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(WITHIN))?;
        socket.set_write_timeout(Some(WITHIN))?;
        let mut stream: Box<dyn Talk> = match &self.keys {
            None => Box::new(socket),
            Some((files, name)) => {
                let config = ClientKeys::connect(files.clone()).map_err(io::Error::other)?.now();
                let name = ServerName::try_from(name.clone()).map_err(|error| wrong(&error))?;
                let tls = ClientConnection::new(Arc::clone(&config), name).map_err(|error| wrong(&error))?;
                Box::new(StreamOwned::new(tls, socket))
            }
        };
        let call = Call { what: Some(what) };
        stream.write_all(&frame::encode(&FromClient { said: Some(from_client::Said::Call(call)) }))?;
        stream.flush()?;
        let mut input = Vec::new();
        let mut chunk = [0; 16 * 1024];
        loop {
            if let Some((body, _)) = frame::first(&input).map_err(|error| wrong(&error))? {
                let message = FromService::decode(body).map_err(|error| wrong(&error))?;
                return match message.said {
                    Some(from_service::Said::Reply(reply)) => Ok(reply),
                    _ => Err(wrong(&"no reply to the call")),
                };
            }
            match stream.read(&mut chunk)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                read => input.extend_from_slice(&chunk[..read]),
            }
        }
    }
}
