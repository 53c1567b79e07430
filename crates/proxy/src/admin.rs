//! The operators' door: HTTP/1.1, one call on each connection.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use may::net::{TcpListener, TcpStream};

use crate::server::Server;
use crate::task;

/// A call must be whole within this time. Guards the door against callers that send nothing, or half a call.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest call.
const MAX_REQUEST_LENGTH: usize = 8 * 1024;
/// Calls open together; more are turned away.
const MAX_CONNECTIONS: usize = 16;
/// Between tries to accept after an error, and for what a caller still sends behind its call.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Listens for operators; calls are answered by coroutines of their own, whatever the clients do.
pub fn start(address: SocketAddr, server: Arc<Server>) -> Result<(), String> {
    let cannot = |error: io::Error| format!("cannot listen for operators on {address}: {error}");
    let listener = TcpListener::bind(address).map_err(cannot)?;
    task::spawn("operators", move || accept(&listener, &server)).map_err(cannot)
}

fn accept(listener: &TcpListener, server: &Arc<Server>) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let mut stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!("cannot accept an operator's call: {error}");
                task::sleep(RETRY_PAUSE);
                continue;
            }
        };
        let (place, server) = (ConnectionCount::take(&open), server.clone());
        let spawned = task::spawn("call", move || {
            let response = match place.0.load(Ordering::Relaxed) > MAX_CONNECTIONS {
                true => Err((503, "Service Unavailable")),
                false => read_request(&mut stream),
            };
            respond(&mut stream, response.and_then(|(method, path)| handle(&server, &method, &path)));
        });
        if let Err(error) = spawned {
            tracing::error!("no coroutine for an operator's call: {error}");
        }
    }
}

/// One of the calls that are open.
struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    fn take(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        ConnectionCount(open.clone())
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Status and reason.
type Status = (u16, &'static str);

/// Reads a call: its method and path.
fn read_request(stream: &mut TcpStream) -> Result<(String, String), Status> {
    let until = Instant::now() + REQUEST_TIMEOUT;
    let _ = stream.set_read_timeout(Some(REQUEST_TIMEOUT));
    let (mut input, mut chunk) = (Vec::new(), [0; 1024]);
    loop {
        if let Some(response) = parse(&input)? {
            return Ok(response);
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err((400, "Bad Request")),
            Ok(read) if Instant::now() < until => input.extend_from_slice(&chunk[..read]),
            _ => return Err((408, "Request Timeout")),
        }
    }
}

fn parse(input: &[u8]) -> Result<Option<(String, String)>, Status> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(input) {
        Ok(httparse::Status::Complete(_)) => {
            let path = request.path.unwrap_or_default();
            let path = path.split_once('?').map_or(path, |(path, _)| path);
            Ok(Some((request.method.unwrap_or_default().to_owned(), path.to_owned())))
        }
        Ok(httparse::Status::Partial) if input.len() <= MAX_REQUEST_LENGTH => Ok(None),
        _ => Err((400, "Bad Request")),
    }
}

/// Carries out a call; what is answered if it is done.
fn handle(server: &Arc<Server>, method: &str, path: &str) -> Result<String, Status> {
    match (method, path) {
        ("GET", "/ops/readiness") if server.ready() => Ok(server.readiness_text()),
        ("GET", "/ops/readiness") if server.name_is_superseded() => Err((503, "Displaced")),
        ("GET", "/ops/readiness") => Err((503, "Service Unavailable")),
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
            Err((405, "Method Not Allowed"))
        }
        _ => Err((404, "Not Found")),
    }
}

/// Answers and closes. Guards the answer against what the caller still sends: closed with bytes unread, the
/// connection would be reset and the answer lost.
fn respond(stream: &mut TcpStream, response: Result<String, Status>) {
    let ((status, reason), body) = match response {
        Ok(body) => ((200, "OK"), body),
        Err((status, reason)) => ((status, reason), format!("{reason}\n")),
    };
    let kind = if body.starts_with('{') { "application/json" } else { "text/plain" };
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    // A socket's buffer takes far more than this.
    let sent = stream.write_all((head + &body).as_bytes()).and_then(|()| stream.shutdown(Shutdown::Write));
    let _ = stream.set_read_timeout(Some(RETRY_PAUSE));
    if sent.is_ok() {
        let _ = stream.read(&mut [0; 1024]);
    }
}
