//! One client that sends at full speed.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::flood::{message, startup};
use crate::rand_id;

/// Messages that are written at once.
const BATCH: usize = 50;

/// What the client sends, again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullSpeed {
    /// Empty queries.
    Empty,
    /// Queries without fields.
    Unsound,
    /// Queries of ever new classes.
    NewClasses,
    /// Queries of ever new tenants.
    NewTenants,
    /// Queries of ever new tables and ids, which are served, one after the other.
    NewTables,
    /// Queries that have no time left.
    NoTimeLeft,
    /// Messages of the extended query protocol.
    Extended,
    /// New connections that are closed at once.
    Connections,
    /// Cancel requests with unknown keys.
    Cancels,
}

impl FullSpeed {
    /// All kinds.
    pub const ALL: [FullSpeed; 9] = [
        FullSpeed::Empty,
        FullSpeed::Unsound,
        FullSpeed::NewClasses,
        FullSpeed::NewTenants,
        FullSpeed::NewTables,
        FullSpeed::NoTimeLeft,
        FullSpeed::Extended,
        FullSpeed::Connections,
        FullSpeed::Cancels,
    ];

    /// Sends until `done` is set. Errors end only the connection: the proxy may close it.
    pub fn run(self, address: SocketAddr, done: &AtomicBool) {
        while !done.load(Ordering::SeqCst) {
            let Ok(socket) = TcpStream::connect(address) else { continue };
            match self {
                FullSpeed::Connections => reset(&socket),
                FullSpeed::Cancels => {
                    (&socket).write_all(&cancel()).ok();
                    (&socket).read_to_end(&mut Vec::new()).ok();
                    reset(&socket);
                }
                _ => self.flood(&socket, done),
            }
        }
    }

    /// Sends on one connection until it ends or `done` is set, and reads what it receives.
    fn flood(self, mut socket: &TcpStream, done: &AtomicBool) {
        socket.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
        let reader = socket.try_clone().unwrap();
        reader.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        let batch_size = if self == FullSpeed::NewTables { 1 } else { BATCH };
        std::thread::scope(|scope| {
            let reading = scope.spawn(|| discard(&reader, done));
            let mut is_open = socket.write_all(&startup()).is_ok();
            while is_open && !done.load(Ordering::SeqCst) && !reading.is_finished() {
                let batch: Vec<u8> = (0..batch_size).flat_map(|_| self.message()).collect();
                is_open = socket.write_all(&batch).is_ok();
            }
            socket.shutdown(std::net::Shutdown::Both).ok();
        });
    }

    fn message(self) -> Vec<u8> {
        let id = rand_id();
        match self {
            FullSpeed::Empty => message(""),
            FullSpeed::Unsound => message("nonsense"),
            FullSpeed::NewClasses => {
                message(&format!("/* method=c{id},rid={id:016x},budget=100 */ SELECT 1"))
            }
            FullSpeed::NewTenants => {
                message(&format!("/* method=lookup,acct=t{id},rid={id:016x},budget=100 */ SELECT 1"))
            }
            FullSpeed::NewTables => message(&format!(
                "/* method=lookup,rid={id:016x},budget=4000,est=1 */ SELECT 1 FROM s_{id}.t"
            )),
            FullSpeed::NoTimeLeft => {
                message(&format!("/* method=lookup,rid={id:016x},budget=0.001 */ SELECT 1"))
            }
            FullSpeed::Extended => b"P\0\0\0\x04S\0\0\0\x04".to_vec(),
            FullSpeed::Connections | FullSpeed::Cancels => Vec::new(),
        }
    }
}

/// Reads and discards until the connection ends or `done` is set.
fn discard(mut socket: &TcpStream, done: &AtomicBool) {
    let mut bytes = vec![0; 64 * 1024];
    while !done.load(Ordering::SeqCst) {
        match socket.read(&mut bytes) {
            Ok(0) => return,
            Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
            _ => {}
        }
    }
}

/// Makes the close of a connection reset it. An orderly close would leave an entry in a table of the system, and tens of
/// thousands of them would disturb other tests.
fn reset(socket: &TcpStream) {
    socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO)).unwrap();
}

/// A cancel request with a key that no session has.
fn cancel() -> Vec<u8> {
    [16u32, 80_877_102, u32::MAX, 7].iter().flat_map(|word| word.to_be_bytes()).collect()
}
