//! What is kept of bytes on their way out.

use std::io::Read;
use std::net::{TcpListener, TcpStream};

use gaugestep_coroutine_io::stream::WriteBuffer;

/// The other side reads on, so slowly that something waits at all times: what is written is let go of all the same, and all
/// comes in order.
#[test]
fn what_is_written_is_let_go_of_though_something_waits_at_all_times() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut reader, _) = listener.accept().unwrap();
    socket.set_nonblocking(true).unwrap();
    // Sizes that stay: the system itself takes little.
    socket2::SockRef::from(&socket).set_send_buffer_size(64 * 1024).unwrap();
    socket2::SockRef::from(&reader).set_recv_buffer_size(64 * 1024).unwrap();
    let mut out = WriteBuffer::default();
    let (mut sent, mut read) = (0u32, 0u32);
    let mut add = |out: &mut WriteBuffer| {
        for _ in 0..4_096 {
            out.buffer().extend_from_slice(&sent.to_be_bytes());
            sent += 1;
        }
    };
    while out.pending() < 512 * 1024 {
        add(&mut out);
        out.flush(&socket).unwrap();
    }
    let mut part = [0; 4 * 4_096];
    for _ in 0..2_000 {
        add(&mut out);
        reader.read_exact(&mut part).unwrap();
        for number in part.chunks(4) {
            assert_eq!(number, read.to_be_bytes());
            read += 1;
        }
        out.flush(&socket).unwrap();
        assert!(out.pending() > 0, "the other side has caught up");
        let kept = out.buffer().len();
        assert!(kept < 4 * 1024 * 1024, "{kept} bytes are kept, of which {} wait", out.pending());
        assert_eq!(out.end_offset() - out.written_offset(), out.pending() as u64);
    }
}
