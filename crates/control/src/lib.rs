//! The control service of versioned configuration and the proxies' side of its stream.
//!
//! What is decided is decided in `gaugestep-config`; here are the shells that do its I/O: [`service`] keeps versions and
//! talks to proxies and operators, [`follow`] is a proxy's side, [`call`] an operator's command's. All talk over a
//! [`channel::Channel`]: messages behind their length, over TLS where there are [`keys`].

pub mod backoff;
pub mod call;
pub mod channel;
pub mod cli;
mod commands;
pub mod follow;
pub mod frame;
pub mod keys;
pub mod service;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks for a moment; never held over anything that waits.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
