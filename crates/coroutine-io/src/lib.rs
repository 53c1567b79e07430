//! Sockets, timers and tasks for programs that run on coroutines. One worker thread runs all coroutines, one
//! coroutine owns each connection, and no call blocks the worker thread.

pub mod listener;
pub mod pacer;
pub mod stream;
pub mod task;
mod write_buffer;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if it was poisoned by a thread that panicked. The guard must be dropped before the
/// coroutine waits: another coroutine that locks the mutex meanwhile would block the worker thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
