//! The connection to the coordinator, established again whenever it ends.

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

/// The coordinator sends a comment each second: a connection that is silent for longer is dead.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long it may take to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two attempts to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Reads before other coroutines run: a stream may never pause.
const READS_PER_TURN: u64 = 16;
/// How long other coroutines run then.
const TURN_PAUSE: Duration = Duration::from_millis(1);
/// How much is read at once, in bytes.
const READ_LENGTH: usize = 4096;
/// The most bytes of a response that cannot be decoded yet.
const MAX_UNDECODED_LENGTH: usize = 4 * 1024 * 1024;

/// Why a stream of events broke.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response is no stream of events.
    #[error(transparent)]
    Response(#[from] ResponseError),
    /// An event is too long.
    #[error(transparent)]
    EventTooLong(#[from] EventTooLong),
    /// An event is not JSON.
    #[error(transparent)]
    MalformedEvent(#[from] serde_json::Error),
}

/// Where the coordinator is, and the connection to it.
struct CoordinatorLink {
    address: Option<SocketAddr>,
    /// The current connection, so that it can be shut down.
    open: Option<std::net::TcpStream>,
}

/// Follows the coordinator, and applies its events to the list of endpoints.
pub struct CoordinatorStream {
    list: Arc<EndpointList>,
    link: Mutex<CoordinatorLink>,
    reconnect_pause: Duration,
}

impl CoordinatorStream {
    /// A stream from the coordinator at `address` to `list`.
    ///
    /// `stagger_factor` stretches the pause before each attempt to connect: all proxies lose the coordinator at one moment.
    pub fn new(list: Arc<EndpointList>, address: Option<SocketAddr>, stagger_factor: f64) -> Self {
        let link = Mutex::new(CoordinatorLink { address, open: None });
        CoordinatorStream { list, link, reconnect_pause: RECONNECT_PAUSE.mul_f64(stagger_factor) }
    }

    /// Changes the coordinator's address. The connection to the former one is shut down, which wakes the coroutine that reads
    /// from it.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        let mut link = lock(&self.link);
        if link.address != address {
            link.address = address;
            if let Some(open) = link.open.take() {
                // It fails if the connection has ended, which comes to the same.
                let _ = open.shutdown(Shutdown::Both);
            }
        }
    }

    /// Follows the coordinator, wherever it moves; blocks its coroutine and never returns.
    pub fn run(&self) {
        loop {
            let address = lock(&self.link).address;
            match address.map(|address| self.follow(address)) {
                None => {}
                Some(Ok(())) => tracing::debug!("the coordinator's stream ended"),
                Some(Err(error)) => tracing::info!("the coordinator's stream broke: {error}"),
            }
            let mut link = lock(&self.link);
            link.open = None;
            let has_moved = link.address != address;
            drop(link);
            if !has_moved {
                task::sleep(self.reconnect_pause);
            }
        }
    }

    /// Follows one connection to its end.
    fn follow(&self, address: SocketAddr) -> Result<(), StreamError> {
        let mut socket = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        socket.set_nodelay(true)?;
        {
            let mut link = lock(&self.link);
            if link.address != Some(address) {
                return Ok(());
            }
            link.open = Some(socket.inner().try_clone()?);
        }
        let last_event = self.list.last_event();
        let request = format!(
            "GET /v2/stream HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {last_event}\r\n\r\n"
        );
        socket.write_all(request.as_bytes())?;
        let mut input = Vec::new();
        let head = read_head(&mut socket, &mut input)?;
        self.read_events(&mut socket, BodyDecoder::new(head), input)
    }

    /// Applies events until the body ends. `input` holds what has come behind the head.
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
            parser.check_length()?;
            if input.len() > MAX_UNDECODED_LENGTH {
                return Err(EventTooLong.into());
            }
            reads += 1;
            if reads % READS_PER_TURN == 0 {
                task::sleep(TURN_PAUSE);
            }
            read(socket, &mut input)?;
        }
        Ok(())
    }

    /// Applies an event of the stream. One that cannot be parsed ends the connection, and the next one brings it again.
    fn apply(&self, event: &StreamEvent) -> Result<(), StreamError> {
        let json = serde_json::from_str::<Value>(&event.data)?;
        self.list.apply_event(event.id.or(json["index"].as_u64()), &json);
        Ok(())
    }
}

/// Reads the head of the response, and leaves what has come behind it in `input`.
fn read_head(socket: &mut TcpStream, input: &mut Vec<u8>) -> Result<ResponseHead, StreamError> {
    loop {
        if let Some(head) = ResponseHead::parse(input)? {
            input.drain(..head.length);
            return Ok(head);
        }
        read(socket, input)?;
    }
}

/// Reads once and appends to `input`; the end of the connection is an error.
fn read(socket: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<()> {
    let before = input.len();
    input.resize(before + READ_LENGTH, 0);
    let read = socket.read(&mut input[before..]);
    input.truncate(before + *read.as_ref().unwrap_or(&0));
    match read {
        Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(_) => Ok(()),
        Err(error) => Err(error),
    }
}
