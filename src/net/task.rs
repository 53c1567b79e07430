//! Starting coroutines.

use std::io;

/// Stack of one coroutine, in machine words (128 KB). Pages are only taken once they are touched; an overflow would
/// end the process, so there is room for the logging crate's formatting.
pub const STACK_WORDS: usize = 16 * 1024;
/// Stacks kept for later coroutines.
const POOL: usize = 256;

/// Sets the scheduler up: one worker, as a proxy has one core. Must come before the first coroutine.
pub fn set_up() {
    let config = may::config();
    config.set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(POOL);
    config.set_worker_pin(false);
}

/// Starts a coroutine.
pub fn spawn<F: FnOnce() + Send + 'static>(name: &'static str, task: F) -> io::Result<()> {
    let builder = may::coroutine::Builder::new().name(name.into());
    // SAFETY (of the call inside the macro): a coroutine must not overflow its stack and must not rely on
    // thread-local storage across a wait. Stacks are sized above, nothing here recurses without bound, and there is
    // one worker thread.
    let _handle = may::go!(builder, task)?;
    Ok(())
}
