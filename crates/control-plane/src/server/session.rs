//! The session of a proxy or of another member: one coroutine owns the connection, handles received messages
//! and sends queued ones until either side closes it.

use std::time::{Duration, Instant};

use gaugestep_config::schema::{FromClient, FromService, Hello, PeerHello, from_client, from_service};

use crate::raft::transport::InboundPeer;
use crate::server::error::SessionError;
use crate::server::proxy_session::check_hello;
use crate::server::state::{ServerContext, SessionId};
use crate::transport::connection::FramedConnection;
use crate::transport::tls;

/// The deadline for the hello of a new connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest time without a message before the session is closed.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// The remote end of a session.
enum Remote {
    /// No hello has been received yet.
    Unknown,
    Proxy(String),
    Member(InboundPeer),
}

/// Whether the session continues after a message.
#[derive(PartialEq)]
enum Next {
    Continue,
    Close,
}

/// The part of a session that only its own coroutine uses. Other coroutines use
/// [`Session`](crate::server::state::Session).
pub(crate) struct PeerSession<'a> {
    context: &'a ServerContext,
    connection: FramedConnection,
    id: SessionId,
    remote: Remote,
    opened_at: Instant,
    last_message_at: Instant,
}

impl<'a> PeerSession<'a> {
    /// Serves a connection until it ends.
    pub(crate) fn serve(
        context: &'a ServerContext,
        connection: FramedConnection,
    ) -> Result<(), SessionError> {
        let id = {
            let mut state = context.lock_state();
            if state.sessions.len() >= context.max_sessions {
                return Err(SessionError::TooManySessions);
            }
            state.sessions.open(connection.waker())
        };
        let now = Instant::now();
        let mut session = PeerSession {
            context,
            connection,
            id,
            remote: Remote::Unknown,
            opened_at: now,
            last_message_at: now,
        };
        let result = session.run();
        context.on_session_closed(id);
        result
    }

    fn run(&mut self) -> Result<(), SessionError> {
        loop {
            let closed = self.connection.pump()?;
            while let Some(message) = self.connection.next_message::<FromClient>()? {
                self.last_message_at = Instant::now();
                if self.handle(message)? == Next::Close {
                    self.connection.pump()?;
                    return Ok(());
                }
            }
            if closed {
                return Ok(());
            }
            self.check_deadline()?;
            self.flush_outbound()?;
            self.connection.wait();
        }
    }

    fn handle(&mut self, message: FromClient) -> Result<Next, SessionError> {
        match (message.said, &mut self.remote) {
            (Some(from_client::Said::Hello(hello)), Remote::Unknown) => self.on_proxy_hello(hello)?,
            (Some(from_client::Said::PeerHello(hello)), Remote::Unknown) => {
                return self.on_member_hello(&hello);
            }
            (Some(from_client::Said::Peer(message)), Remote::Member(member)) => {
                if let Some(welcome) = member.handle(&self.context.replica, message)? {
                    self.send(from_service::Said::PeerWelcome(welcome))?;
                }
            }
            (Some(from_client::Said::Answer(response)), Remote::Proxy(name)) => {
                self.context.on_offer_response(name, self.id, response);
            }
            (Some(from_client::Said::Figures(figures)), Remote::Proxy(name)) => {
                let responses = self.context.on_figures(name, self.id, &figures);
                self.send_all(responses)?;
            }
            // A message type of a later build: ignored.
            (None, Remote::Proxy(_)) => {}
            _ => return Err(SessionError::UnexpectedMessage),
        }
        Ok(Next::Continue)
    }

    fn on_proxy_hello(&mut self, hello: Hello) -> Result<(), SessionError> {
        check_hello(&hello)?;
        self.check_certificate(Some(&hello.proxy))?;
        self.remote = Remote::Proxy(hello.proxy.clone());
        let responses = self.context.on_hello(self.id, hello);
        self.send_all(responses)
    }

    fn on_member_hello(&mut self, hello: &PeerHello) -> Result<Next, SessionError> {
        self.check_certificate(self.context.replica.peer_name())?;
        let (welcome, member) = InboundPeer::accept(&self.context.replica, hello);
        self.send(from_service::Said::PeerWelcome(welcome))?;
        match member {
            Some(member) => {
                self.remote = Remote::Member(member);
                Ok(Next::Continue)
            }
            None => Ok(Next::Close),
        }
    }

    /// With TLS, the peer's certificate must contain the name, so that the key of one proxy cannot be used
    /// for another.
    fn check_certificate(&self, name: Option<&str>) -> Result<(), SessionError> {
        let Some(certificate) = self.connection.peer_certificate() else { return Ok(()) };
        if name.is_some_and(|name| tls::certificate_is_valid_for(certificate, name)) {
            return Ok(());
        }
        Err(SessionError::WrongCertificate(name.unwrap_or_default().to_owned()))
    }

    fn check_deadline(&self) -> Result<(), SessionError> {
        let is_overdue = match self.remote {
            Remote::Unknown => self.opened_at.elapsed() >= HELLO_TIMEOUT,
            Remote::Proxy(_) | Remote::Member(_) => self.last_message_at.elapsed() >= SILENCE_TIMEOUT,
        };
        if is_overdue { Err(SessionError::Silent) } else { Ok(()) }
    }

    /// Sends the messages that other coroutines have queued, and closes the session if one of them has
    /// requested it.
    fn flush_outbound(&mut self) -> Result<(), SessionError> {
        let (queued, close_requested) = match self.context.lock_state().sessions.get_mut(self.id) {
            Some(session) => (session.take_outbound(), session.close_requested),
            None => Default::default(),
        };
        for message in queued {
            self.connection.send(&message)?;
        }
        self.connection.pump()?;
        if close_requested { Err(SessionError::Suspended) } else { Ok(()) }
    }

    fn send(&mut self, said: from_service::Said) -> Result<(), SessionError> {
        Ok(self.connection.send(&FromService { said: Some(said) })?)
    }

    fn send_all(&mut self, messages: Vec<from_service::Said>) -> Result<(), SessionError> {
        messages.into_iter().try_for_each(|said| self.send(said))
    }
}
