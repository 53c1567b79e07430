//! The connection to the coordinator, which is established again whenever it ends.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use may::net::TcpStream;
use serde_json::Value;

use super::endpoint_list::EndpointList;
use super::event_parser::{EventParser, EventTooLong, StreamEvent};
use super::http_body::{BodyDecoder, BodyState, ResponseError, ResponseHead};
use crate::{lock, task};

/// Silence after which the connection counts as broken. The coordinator sends a comment each second.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two connection attempts, before staggering.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Number of reads before the coroutine pauses. Without pauses, a coordinator that keeps sending would block
/// the other coroutines.
const READ_BATCH_SIZE: u64 = 16;
/// How long the coroutine pauses after a batch of reads.
const READ_BATCH_PAUSE: Duration = Duration::from_millis(1);
/// Maximum number of bytes per read.
const READ_LENGTH: usize = 4096;

/// Why a stream of events ended with an error.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response is not a stream of events.
    #[error(transparent)]
    Response(#[from] ResponseError),
    /// An event, or a part of the response that cannot be decoded yet, is too long.
    #[error(transparent)]
    EventTooLong(#[from] EventTooLong),
    /// An event is not JSON.
    #[error(transparent)]
    MalformedEvent(#[from] serde_json::Error),
}

/// The address of the coordinator and the current connection to it.
struct CoordinatorLink {
    /// Address of the coordinator; `None` if no coordinator is configured.
    address: Option<SocketAddr>,
    /// The current connection, which another coroutine may shut down; `None` while there is no connection.
    socket: Option<std::net::TcpStream>,
    /// Pause between two connection attempts, which differs between proxies.
    reconnect_pause: Duration,
}

/// Receives the coordinator's events and applies them to the endpoint list.
pub struct CoordinatorStream {
    list: Arc<EndpointList>,
    link: Mutex<CoordinatorLink>,
    /// Maximum length of an event, and of a part of the response that cannot be decoded yet, in bytes.
    max_event_length: usize,
}

impl CoordinatorStream {
    /// Creates a stream from the coordinator at `address`, whose events are applied to `list`.
    ///
    /// The pause between connection attempts is multiplied by `stagger_factor`, which differs between
    /// proxies: all of them lose the coordinator at the same time and should not reconnect at the same time.
    pub fn new(
        list: Arc<EndpointList>,
        address: Option<SocketAddr>,
        stagger_factor: f64,
        max_event_length: usize,
    ) -> Self {
        let reconnect_pause = RECONNECT_PAUSE.mul_f64(stagger_factor);
        let link = Mutex::new(CoordinatorLink { address, socket: None, reconnect_pause });
        CoordinatorStream { list, link, max_event_length }
    }

    /// Changes the coordinator's address and the factor of the pause between connection attempts. The
    /// connection to another address is shut down, which wakes the coroutine that reads from it.
    pub fn reconfigure(&self, address: Option<SocketAddr>, stagger_factor: f64) {
        let mut link = lock(&self.link);
        link.reconnect_pause = RECONNECT_PAUSE.mul_f64(stagger_factor);
        if link.address != address {
            link.address = address;
            if let Some(socket) = link.socket.take() {
                // Shutting down fails if the connection has already ended, which has the same effect.
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
    }

    /// Receives events from the coordinator at its current address, and reconnects whenever the connection
    /// ends. Blocks its coroutine and never returns.
    pub fn run(&self) {
        loop {
            let address = lock(&self.link).address;
            match address.map(|address| self.follow(address)) {
                None => {}
                Some(Ok(())) => tracing::debug!("coordinator stream ended"),
                Some(Err(error)) => tracing::info!("coordinator stream failed: {error}"),
            }
            let mut link = lock(&self.link);
            link.socket = None;
            let has_moved = link.address != address;
            let reconnect_pause = link.reconnect_pause;
            drop(link);
            if !has_moved {
                task::sleep(reconnect_pause);
            }
        }
    }

    /// Connects to the coordinator and applies events until the connection ends.
    fn follow(&self, address: SocketAddr) -> Result<(), StreamError> {
        let mut socket = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        socket.set_nodelay(true)?;
        {
            let mut link = lock(&self.link);
            if link.address != Some(address) {
                return Ok(());
            }
            link.socket = Some(socket.inner().try_clone()?);
        }
        let last_event = self.list.last_event_index();
        let request = format!(
            "GET /v2/stream HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\n\
             Last-Event-ID: {last_event}\r\n\r\n"
        );
        socket.write_all(request.as_bytes())?;
        let mut input = Vec::new();
        let head = read_head(&mut socket, &mut input)?;
        self.read_events(&mut socket, BodyDecoder::new(head), input)
    }

    /// Applies events until the body ends. `input` contains the bytes received after the head.
    fn read_events(
        &self,
        socket: &mut TcpStream,
        mut body: BodyDecoder,
        mut input: Vec<u8>,
    ) -> Result<(), StreamError> {
        let mut parser = EventParser::default();
        let mut reads = 0u64;
        while body.decode(&mut input, parser.buffer())? == BodyState::Open {
            while let Some(event) = parser.next_event() {
                self.apply(&event)?;
            }
            parser.check_length(self.max_event_length)?;
            if input.len() > self.max_event_length {
                return Err(EventTooLong(self.max_event_length).into());
            }
            reads += 1;
            if reads % READ_BATCH_SIZE == 0 {
                task::sleep(READ_BATCH_PAUSE);
            }
            read(socket, &mut input)?;
        }
        Ok(())
    }

    /// Applies an event of the stream. An event that cannot be parsed ends the connection; the coordinator
    /// sends it again on the next one.
    fn apply(&self, event: &StreamEvent) -> Result<(), StreamError> {
        let json = serde_json::from_str::<Value>(&event.data)?;
        let index = event.id.or(json["index"].as_u64());
        self.list.apply_event(index, &json);
        Ok(())
    }
}

/// Reads the head of the response. Bytes received after the head stay in `input`.
fn read_head(socket: &mut TcpStream, input: &mut Vec<u8>) -> Result<ResponseHead, StreamError> {
    loop {
        if let Some(head) = ResponseHead::parse(input)? {
            input.drain(..head.length);
            return Ok(head);
        }
        read(socket, input)?;
    }
}

/// Reads once and appends the bytes to `input`. The end of the connection is an error.
fn read(socket: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<()> {
    let old_length = input.len();
    input.resize(old_length + READ_LENGTH, 0);
    let read = socket.read(&mut input[old_length..]);
    input.truncate(old_length + *read.as_ref().unwrap_or(&0));
    match read {
        Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(_) => Ok(()),
        Err(error) => Err(error),
    }
}
