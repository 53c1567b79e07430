//! Test of the memory that a write buffer retains.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use std::io::Read;
use std::net::{TcpListener, TcpStream};

use gaugestep_coroutine_io::stream::WriteBuffer;

const KIB: usize = 1024;
/// Size of the socket buffers. A size that is set explicitly stays fixed, so the system buffers only a
/// little.
const SOCKET_BUFFER_BYTES: usize = 64 * KIB;
/// Number of bytes that are pending before the rounds begin; each round adds as many bytes as the peer reads.
const BACKLOG_BYTES: usize = 512 * KIB;
/// Most bytes that the buffer may retain: far fewer than the test writes in total.
const MAX_RETAINED_BYTES: usize = 4 * KIB * KIB;
const NUMBERS_PER_ROUND: u32 = 4_096;
const ROUNDS: usize = 2_000;

/// Connects a non-blocking socket for the writer to a peer's blocking socket, and returns both.
fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (peer, _) = listener.accept().unwrap();
    socket.set_nonblocking(true).unwrap();
    socket2::SockRef::from(&socket).set_send_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
    socket2::SockRef::from(&peer).set_recv_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
    (socket, peer)
}

/// Guards against a buffer that grows without bound when it is never empty: the peer keeps reading but never
/// catches up. Written bytes must be released meanwhile, and all bytes must arrive in order.
#[test]
fn written_bytes_are_released_while_some_bytes_are_always_pending() {
    let (socket, mut peer) = connected();
    let mut out = WriteBuffer::default();
    let (mut added, mut read) = (0u32, 0u32);
    let mut add_round = |out: &mut WriteBuffer| {
        for _ in 0..NUMBERS_PER_ROUND {
            out.buffer().extend_from_slice(&added.to_be_bytes());
            added += 1;
        }
    };
    while out.pending() < BACKLOG_BYTES {
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
        let retained = out.buffer().len();
        assert!(
            retained < MAX_RETAINED_BYTES,
            "{retained} bytes are retained, of which {} are pending",
            out.pending()
        );
        assert_eq!(out.end_offset() - out.written_offset(), out.pending() as u64);
    }
}
