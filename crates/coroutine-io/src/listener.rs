//! Listening sockets that no other process shares.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd as _, IntoRawFd as _};

use may::net::TcpListener;
use socket2::{Domain, Socket, Type};

/// Connections that the kernel queues until they are accepted.
const BACKLOG: i32 = 1024;

/// Binds a listener to an address that no other socket listens on. [`TcpListener::bind`] would set
/// `SO_REUSEPORT`, with which a second process can bind the same address, and the kernel distributes the
/// connections between the two.
///
/// # Errors
///
/// If the address is in use or cannot be bound.
pub fn bind_exclusive(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // A restarted process can bind the address at once.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let descriptor = std::net::TcpListener::from(socket).into_raw_fd();
    // SAFETY: the descriptor is open, and its ownership was just given up.
    #[expect(unsafe_code, reason = "the library has no safe constructor for a bound socket")]
    let listener = unsafe { TcpListener::from_raw_fd(descriptor) };
    Ok(listener)
}
