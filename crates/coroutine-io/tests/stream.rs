//! Tests of reads from a non-blocking socket and of the detection that its peer has closed the connection.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use gaugestep_coroutine_io::stream::{ReadOutcome, discard_input, peer_closed, read_into, readable};

/// How long a test waits for the system to deliver bytes or the end of a connection.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Connects a non-blocking socket to a peer's blocking socket, and returns both.
fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (peer, _) = listener.accept().unwrap();
    socket.set_nonblocking(true).unwrap();
    (socket, peer)
}

/// Polls until the condition is true; fails with `expectation` after [`MAX_WAIT`].
fn wait_until(expectation: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(Instant::now() < deadline, "{expectation}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_read_appends_arrived_bytes_and_distinguishes_data_would_block_and_closed() {
    let (socket, mut peer) = connected();
    let mut buffer = b"before ".to_vec();
    assert_eq!(read_into(&socket, &mut buffer).unwrap(), ReadOutcome::WouldBlock);
    assert!(!readable(&socket));
    peer.write_all(b"after").unwrap();
    wait_until("the bytes arrive", || readable(&socket));
    assert_eq!(read_into(&socket, &mut buffer).unwrap(), ReadOutcome::Data);
    assert_eq!(buffer, b"before after");
    drop(peer);
    wait_until("the end arrives", || readable(&socket));
    assert_eq!(read_into(&socket, &mut buffer).unwrap(), ReadOutcome::Closed);
    assert_eq!(buffer, b"before after");
}

#[test]
fn a_closed_peer_is_detected_behind_unread_bytes_which_stay_unread() {
    let (socket, mut peer) = connected();
    assert!(!peer_closed(&socket));
    peer.write_all(b"unread").unwrap();
    wait_until("the bytes arrive", || readable(&socket));
    assert!(!peer_closed(&socket), "unread bytes do not mean that the peer has closed");
    peer.shutdown(Shutdown::Write).unwrap();
    wait_until("the end is detected", || peer_closed(&socket));
    let mut buffer = Vec::new();
    assert_eq!(read_into(&socket, &mut buffer).unwrap(), ReadOutcome::Data);
    assert_eq!(buffer, b"unread");
}

#[test]
fn discarded_input_is_read_to_its_end() {
    let (socket, mut peer) = connected();
    peer.write_all(&[0; 20_000]).unwrap();
    drop(peer);
    wait_until("everything arrives", || peer_closed(&socket));
    discard_input(&socket);
    assert_eq!(read_into(&socket, &mut Vec::new()).unwrap(), ReadOutcome::Closed);
}
