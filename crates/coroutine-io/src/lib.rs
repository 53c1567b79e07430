//! Sockets and sleep as the coroutines of all programs here use them.

pub mod stream;
pub mod task;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks for a moment; never held over anything that waits.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
