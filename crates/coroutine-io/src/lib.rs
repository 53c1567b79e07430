//! Sockets, timers and tasks for coroutines, as all programs here use them: one worker thread runs all coroutines, one
//! coroutine owns each connection, and nothing blocks the worker.

pub mod stream;
pub mod task;
mod write_buffer;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also one that a panicking thread has poisoned. The guard must not be held across anything that waits: it
/// would block the one worker thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
