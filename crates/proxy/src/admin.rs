//! The HTTP API for operators: HTTP/1.1, one request on each connection.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use may::net::{TcpListener, TcpStream};

use crate::server::Server;
use crate::task;

/// A request must be complete within this time, so that clients who send nothing, or half a request, do not stay.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest request, in bytes.
const MAX_REQUEST_LENGTH: usize = 8 * 1024;
/// The most headers of a request.
const MAX_HEADERS: usize = 32;
/// Connections that may be open together; requests on more are rejected.
const MAX_CONNECTIONS: usize = 16;
/// Between an error and the next attempt to accept.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long a client may go on sending behind its request.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// The API cannot be served at its address.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen for operators on {address}")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// Serves the API; each connection has a coroutine of its own.
///
/// # Errors
///
/// If the address cannot be bound, or no coroutine can be started.
pub fn start(address: SocketAddr, server: Arc<Server>) -> Result<(), ListenError> {
    let error = |source| ListenError { address, source };
    let listener = TcpListener::bind(address).map_err(error)?;
    task::spawn("operators", move || accept(&listener, &server)).map_err(error)
}

fn accept(listener: &TcpListener, server: &Arc<Server>) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let mut stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!("cannot accept an operator's connection: {error}");
                task::sleep(RETRY_PAUSE);
                continue;
            }
        };
        let (connection, server) = (OpenConnection::new(&open), server.clone());
        let spawned = task::spawn("call", move || serve(&mut stream, &server, &connection));
        if let Err(error) = spawned {
            tracing::error!("cannot start a coroutine for an operator's connection: {error}");
        }
    }
}

/// Serves one connection.
fn serve(stream: &mut TcpStream, server: &Arc<Server>, connection: &OpenConnection) {
    let request =
        if connection.exceeds_limit() { Err(ApiError::ServiceUnavailable) } else { read_request(stream) };
    respond(stream, request.and_then(|request| handle(server, &request)));
}

/// Counts one open connection.
struct OpenConnection {
    count: Arc<AtomicUsize>,
}

impl OpenConnection {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        OpenConnection { count: count.clone() }
    }

    /// Whether more connections are open than may be.
    fn exceeds_limit(&self) -> bool {
        self.count.load(Ordering::Relaxed) > MAX_CONNECTIONS
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Why a request is not carried out.
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
    /// The status line's code and reason. Operators' tools read the reason of a superseded proxy.
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

/// A request of an operator.
struct Request {
    method: String,
    /// Without the query.
    path: String,
}

impl Request {
    /// Parses a request without a body. Returns none while it is incomplete.
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

/// Carries out a request. Returns the body of the response.
fn handle(server: &Arc<Server>, request: &Request) -> Result<String, ApiError> {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/ops/readiness") if server.is_ready() => Ok(server.readiness_text()),
        ("GET", "/ops/readiness") if server.name_is_superseded() => Err(ApiError::Superseded),
        ("GET", "/ops/readiness") => Err(ApiError::ServiceUnavailable),
        ("GET", "/ops/stats") => Ok(server.stats_json().to_string()),
        ("PUT", "/ops/drain/start") => {
            server.start_drain();
            Ok("draining\n".into())
        }
        ("PUT", "/ops/drain/stop") => {
            server.stop_drain();
            Ok("serving\n".into())
        }
        (_, "/ops/readiness" | "/ops/stats" | "/ops/drain/start" | "/ops/drain/stop") => {
            Err(ApiError::MethodNotAllowed)
        }
        _ => Err(ApiError::NotFound),
    }
}

/// Sends the response and closes the connection. What the client still sends is read first: a connection that is closed
/// with bytes unread is reset, and the response lost.
fn respond(stream: &mut TcpStream, response: Result<String, ApiError>) {
    let ((status, reason), body) = match response {
        Ok(body) => ((200, "OK"), body),
        Err(error) => (error.status(), format!("{}\n", error.status().1)),
    };
    let content_type = if body.starts_with('{') { "application/json" } else { "text/plain" };
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    // The response is shorter than a socket's buffer, so this does not wait for the client.
    let sent = stream.write_all((head + &body).as_bytes()).and_then(|()| stream.shutdown(Shutdown::Write));
    let _ = stream.set_read_timeout(Some(CLOSE_TIMEOUT));
    if sent.is_ok() {
        let _ = stream.read(&mut [0; 1024]);
    }
}
