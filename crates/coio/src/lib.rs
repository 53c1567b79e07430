//! Sockets and sleep as the coroutines of all programs here use them.

pub mod stream;
pub mod task;
