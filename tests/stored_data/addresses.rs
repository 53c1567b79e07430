//! The addresses that the stored members name, and the right to use them.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use crate::proxy::wait_within;

/// Longer than all other tests that use the same addresses take.
const RESERVE_WITHIN: Duration = Duration::from_secs(300);
// The ports lie below those that the system hands out by itself.
const LOCK_PORT: u16 = 9400;
const LISTEN_PORT: u16 = 9401;
const OPERATORS_PORT: u16 = 9402;

/// The right to use the stored addresses. It has one holder at a time on a machine, as each has to bind the same listener.
pub struct StoredAddresses {
    _lock: TcpListener,
}

impl StoredAddresses {
    /// Waits until nobody else uses the addresses.
    pub fn reserve() -> Self {
        let mut lock = None;
        wait_within(RESERVE_WITHIN, "another process uses the stored addresses", || {
            lock = TcpListener::bind(address(0, LOCK_PORT)).ok();
            lock.is_some()
        });
        StoredAddresses { _lock: lock.expect("it was bound") }
    }

    /// Where proxies and other members reach a member.
    pub fn listen(member: u64) -> SocketAddr {
        address(member, LISTEN_PORT)
    }

    /// Where operators reach a member.
    pub fn operators(member: u64) -> SocketAddr {
        address(member, OPERATORS_PORT)
    }
}

fn address(member: u64, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 31, 0, member as u8 + 1), port))
}
