//! The addresses in the stores of the stored members, and a lock for their use.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use crate::proxy::wait_within;

/// Longer than all other tests that use the same addresses take together.
const RESERVE_WITHIN: Duration = Duration::from_secs(300);
// The ports are below the range from which the system assigns ports.
const LOCK_PORT: u16 = 9400;
const LISTEN_PORT: u16 = 9401;
const OPERATORS_PORT: u16 = 9402;

/// The exclusive right to use the stored addresses. Only one process on a machine can have it at a time,
/// because it requires a listener on a fixed address.
pub struct StoredAddresses {
    _lock: TcpListener,
}

impl StoredAddresses {
    /// Waits until no other process uses the addresses.
    pub fn reserve() -> Self {
        let mut lock = None;
        wait_within(RESERVE_WITHIN, "another process uses the stored addresses", || {
            lock = TcpListener::bind(address(0, LOCK_PORT)).ok();
            lock.is_some()
        });
        StoredAddresses { _lock: lock.expect("the listener was bound") }
    }

    /// The address at which proxies and other members reach a member.
    pub fn listen(member: u64) -> SocketAddr {
        address(member, LISTEN_PORT)
    }

    /// The address at which operators reach a member.
    pub fn operators(member: u64) -> SocketAddr {
        address(member, OPERATORS_PORT)
    }
}

fn address(member: u64, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 31, 0, member as u8 + 1), port))
}
