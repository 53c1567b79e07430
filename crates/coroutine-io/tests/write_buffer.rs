//! The memory that a write buffer keeps.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use std::io::Read;
use std::net::{TcpListener, TcpStream};

use gaugestep_coroutine_io::stream::WriteBuffer;

const KIB: usize = 1024;
/// Sizes that the system does not adapt, so that its buffers take little.
const SOCKET_BUFFER: usize = 64 * KIB;
/// Bytes that are pending at all times.
const BACKLOG: usize = 512 * KIB;
/// Far less than what is written in the whole test.
const MAX_KEPT: usize = 4 * KIB * KIB;
const NUMBERS_PER_ROUND: u32 = 4_096;
const ROUNDS: usize = 2_000;

/// A non-blocking socket for the writer and the peer's blocking one.
fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (peer, _) = listener.accept().unwrap();
    socket.set_nonblocking(true).unwrap();
    socket2::SockRef::from(&socket).set_send_buffer_size(SOCKET_BUFFER).unwrap();
    socket2::SockRef::from(&peer).set_recv_buffer_size(SOCKET_BUFFER).unwrap();
    (socket, peer)
}

/// The peer reads all the time, but something is always pending: written bytes are released all the same, and everything
/// arrives in order.
#[test]
fn written_bytes_are_released_while_something_is_always_pending() {
    let (socket, mut peer) = connected();
    let mut out = WriteBuffer::default();
    let (mut added, mut read) = (0u32, 0u32);
    let mut add_round = |out: &mut WriteBuffer| {
        for _ in 0..NUMBERS_PER_ROUND {
            out.buffer().extend_from_slice(&added.to_be_bytes());
            added += 1;
        }
    };
    while out.pending() < BACKLOG {
        add_round(&mut out);
        out.flush(&socket).unwrap();
    }
    let mut round = [0; 4 * NUMBERS_PER_ROUND as usize];
    for _ in 0..ROUNDS {
        add_round(&mut out);
        peer.read_exact(&mut round).unwrap();
        for number in round.chunks(4) {
            assert_eq!(number, read.to_be_bytes());
            read += 1;
        }
        out.flush(&socket).unwrap();
        assert!(out.pending() > 0, "the peer has caught up");
        let kept = out.buffer().len();
        assert!(kept < MAX_KEPT, "{kept} bytes are kept, of which {} are pending", out.pending());
        assert_eq!(out.end_offset() - out.written_offset(), out.pending() as u64);
    }
}
