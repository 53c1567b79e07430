//! The listeners of a server: one for proxies and members, one for operators. Each connection has its own
//! coroutine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gaugestep_coroutine_io::listener::bind_exclusive;
use gaugestep_coroutine_io::task;
use may::net::{TcpListener, TcpStream};

use crate::server::admin;
use crate::server::error::{SessionError, StartError};
use crate::server::session::PeerSession;
use crate::server::settings::ListenerKeys;
use crate::server::state::ServerContext;
use crate::transport::connection::{FramedConnection, STACK_WORDS};
use crate::transport::tls::ServerTls;

/// The delay after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which the TLS key files are checked for changes.
const KEY_RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// The kind of clients that a listener serves.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Audience {
    /// Proxies and the other members of the group.
    ProxiesAndMembers,
    Operators,
}

/// The TLS configuration of both listeners, reloaded when the key files change; `None` without TLS.
#[derive(Clone, Default)]
pub(crate) struct ListenerTls {
    proxies_and_members: Option<Arc<ServerTls>>,
    operators: Option<Arc<ServerTls>>,
}

impl ListenerTls {
    /// Loads the TLS keys, if any are configured.
    pub(crate) fn load(keys: Option<ListenerKeys>) -> Result<Self, StartError> {
        let Some(keys) = keys else { return Ok(ListenerTls::default()) };
        let load = |files| ServerTls::load(files).map(Arc::new).map_err(StartError::Keys);
        Ok(ListenerTls {
            proxies_and_members: Some(load(keys.proxies)?),
            operators: Some(load(keys.operators)?),
        })
    }

    /// Starts the thread that reloads the keys when their files change. It is a thread because reading files
    /// blocks.
    pub(crate) fn spawn_reload_thread(self) -> Result<(), StartError> {
        let all: Vec<Arc<ServerTls>> = self.proxies_and_members.into_iter().chain(self.operators).collect();
        if all.is_empty() {
            return Ok(());
        }
        let reload = move || {
            loop {
                std::thread::sleep(KEY_RELOAD_INTERVAL);
                all.iter().for_each(|tls| tls.reload_if_changed());
            }
        };
        let thread = std::thread::Builder::new().name("keys".into()).spawn(reload);
        thread.map(drop).map_err(|source| StartError::Spawn { what: "a thread", source })
    }

    fn for_audience(&self, audience: Audience) -> Option<Arc<ServerTls>> {
        match audience {
            Audience::ProxiesAndMembers => self.proxies_and_members.clone(),
            Audience::Operators => self.operators.clone(),
        }
    }
}

/// A listener. Each connection is served by a clone of it.
#[derive(Clone)]
struct Listener {
    context: Arc<ServerContext>,
    audience: Audience,
    tls: Option<Arc<ServerTls>>,
}

/// Binds a listener and starts the coroutine that accepts its connections.
pub(crate) fn spawn(
    context: &Arc<ServerContext>,
    address: SocketAddr,
    audience: Audience,
    tls: &ListenerTls,
) -> Result<(), StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let socket = bind_exclusive(address).map_err(listen_error)?;
    let listener = Listener { context: Arc::clone(context), audience, tls: tls.for_audience(audience) };
    task::spawn("listener", move || listener.accept_all(&socket)).map_err(listen_error)
}

impl Listener {
    fn accept_all(&self, socket: &TcpListener) {
        loop {
            match socket.accept() {
                Ok((stream, peer)) => self.spawn_session(stream, peer),
                Err(error) => {
                    tracing::warn!("cannot accept a connection: {error}");
                    task::sleep(ACCEPT_RETRY_INTERVAL);
                }
            }
        }
    }

    fn spawn_session(&self, stream: TcpStream, peer: SocketAddr) {
        let listener = self.clone();
        let session = move || {
            if let Err(error) = listener.serve(stream) {
                tracing::info!(%peer, "connection closed: {error}");
            }
        };
        if let Err(error) = task::spawn_with_large_stack("stream", STACK_WORDS, session) {
            tracing::error!("cannot start a coroutine for a connection: {error}");
        }
    }

    fn serve(&self, stream: TcpStream) -> Result<(), SessionError> {
        let tls = self.tls.as_ref().map(|tls| tls.current());
        let connection = FramedConnection::from_accepted(stream, tls)?;
        match self.audience {
            Audience::ProxiesAndMembers => PeerSession::serve(&self.context, connection),
            Audience::Operators => admin::serve(&self.context, connection),
        }
    }
}
