//! The HTTP API for operators: HTTP/1.1 with one request per connection.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use may::net::{TcpListener, TcpStream};

use crate::server::Server;
use crate::task;

/// Time within which a request must be complete, so that clients that send nothing or part of a request do
/// not occupy a connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum length of a request, in bytes.
const MAX_REQUEST_LENGTH: usize = 8 * 1024;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 32;
/// Maximum number of open connections; requests on further connections are rejected.
const MAX_CONNECTIONS: usize = 16;
/// Delay between a failed accept and the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a connection is read after the response, so that input after the request does not reset it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// The API's address cannot be bound, or its coroutine cannot be started.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen for operators on {address}")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// Starts the API in the background, with one coroutine per connection.
///
/// # Errors
///
/// Returns an error if the address cannot be bound, or the coroutine cannot be started.
pub fn start(address: SocketAddr, server: Arc<Server>) -> Result<(), ListenError> {
    let listen_error = |source| ListenError { address, source };
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    task::spawn("admin", move || accept_connections(&listener, &server)).map_err(listen_error)
}

/// Accepts connections and starts their coroutines. Never returns.
fn accept_connections(listener: &TcpListener, server: &Arc<Server>) {
    let open_connections = Arc::new(AtomicUsize::new(0));
    loop {
        let mut stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!("cannot accept an operator's connection: {error}");
                task::sleep(ACCEPT_RETRY_DELAY);
                continue;
            }
        };
        let guard = ConnectionGuard::new(&open_connections);
        let server = server.clone();
        let spawned = task::spawn("admin request", move || serve(&mut stream, &server, &guard));
        if let Err(error) = spawned {
            tracing::error!("cannot start a coroutine for an operator's connection: {error}");
        }
    }
}

/// Reads the request of a connection and sends the response.
fn serve(stream: &mut TcpStream, server: &Arc<Server>, guard: &ConnectionGuard) {
    let request =
        if guard.exceeds_limit() { Err(ApiError::ServiceUnavailable) } else { read_request(stream) };
    let response = request.and_then(|request| handle(server, &request));
    respond(stream, response);
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard {
    open_connections: Arc<AtomicUsize>,
}

impl ConnectionGuard {
    fn new(open_connections: &Arc<AtomicUsize>) -> Self {
        open_connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard { open_connections: open_connections.clone() }
    }

    /// Returns whether more than [`MAX_CONNECTIONS`] are open.
    fn exceeds_limit(&self) -> bool {
        self.open_connections.load(Ordering::Relaxed) > MAX_CONNECTIONS
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The reason why a request is not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ApiError {
    BadRequest,
    NotFound,
    MethodNotAllowed,
    RequestTimeout,
    ServiceUnavailable,
    /// Another process has claimed the proxy's name.
    Superseded,
}

impl ApiError {
    /// Returns the code and the reason phrase of the status line. Operators' tools match the reason phrase of
    /// a superseded proxy.
    fn status(self) -> (u16, &'static str) {
        match self {
            ApiError::BadRequest => (400, "Bad Request"),
            ApiError::NotFound => (404, "Not Found"),
            ApiError::MethodNotAllowed => (405, "Method Not Allowed"),
            ApiError::RequestTimeout => (408, "Request Timeout"),
            ApiError::ServiceUnavailable => (503, "Service Unavailable"),
            ApiError::Superseded => (503, "Displaced"),
        }
    }
}

/// A request to the API.
struct Request {
    method: String,
    /// The path of the request target, without the query.
    path: String,
}

impl Request {
    /// Parses a request without a body. Returns `None` while it is incomplete.
    fn parse(input: &[u8]) -> Result<Option<Self>, ApiError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(input) {
            Ok(httparse::Status::Complete(_)) => {
                let method = request.method.unwrap_or_default().to_owned();
                let target = request.path.unwrap_or_default();
                let path = target.split_once('?').map_or(target, |(path, _)| path).to_owned();
                Ok(Some(Request { method, path }))
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_REQUEST_LENGTH => Ok(None),
            _ => Err(ApiError::BadRequest),
        }
    }
}

/// Reads a connection until the request is complete or [`REQUEST_TIMEOUT`] has passed.
fn read_request(stream: &mut TcpStream) -> Result<Request, ApiError> {
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let _ = stream.set_read_timeout(Some(REQUEST_TIMEOUT));
    let (mut input, mut chunk) = (Vec::new(), [0; 1024]);
    loop {
        if let Some(request) = Request::parse(&input)? {
            return Ok(request);
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err(ApiError::BadRequest),
            Ok(read) if Instant::now() < deadline => input.extend_from_slice(&chunk[..read]),
            _ => return Err(ApiError::RequestTimeout),
        }
    }
}

/// Executes a request and returns the body of the response.
fn handle(server: &Arc<Server>, request: &Request) -> Result<String, ApiError> {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/ops/readiness") if server.is_ready() => Ok(server.readiness_text()),
        ("GET", "/ops/readiness") if server.name_is_superseded() => Err(ApiError::Superseded),
        ("GET", "/ops/readiness") => Err(ApiError::ServiceUnavailable),
        ("GET", "/ops/stats") => Ok(server.stats_json().to_string()),
        ("GET", "/ops/memory") => Ok(server.memory_json().to_string()),
        ("PUT", "/ops/drain/start") => {
            server.start_drain();
            Ok("draining\n".into())
        }
        ("PUT", "/ops/drain/stop") => {
            server.stop_drain();
            Ok("serving\n".into())
        }
        (_, "/ops/readiness" | "/ops/stats" | "/ops/memory" | "/ops/drain/start" | "/ops/drain/stop") => {
            Err(ApiError::MethodNotAllowed)
        }
        _ => Err(ApiError::NotFound),
    }
}

/// Sends the response and closes the connection. Before that, remaining input is read: closing a connection
/// with unread bytes would reset it, and the response would be lost.
fn respond(stream: &mut TcpStream, response: Result<String, ApiError>) {
    let ((status, reason), body) = match response {
        Ok(body) => ((200, "OK"), body),
        Err(error) => (error.status(), format!("{}\n", error.status().1)),
    };
    let content_type = if body.starts_with('{') { "application/json" } else { "text/plain" };
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        body.len()
    );
    // The response fits into the socket's send buffer, so the write does not wait for the client.
    let sent = stream.write_all((head + &body).as_bytes()).and_then(|()| stream.shutdown(Shutdown::Write));
    let _ = stream.set_read_timeout(Some(CLOSE_TIMEOUT));
    if sent.is_ok() {
        let _ = stream.read(&mut [0; 1024]);
    }
}
