//! Configuration of the coroutine scheduler, and functions to start and suspend coroutines.

use std::collections::BTreeMap;
use std::io;
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

/// Default stack size of a coroutine, in machine words (128 KB). The system commits a page only when it is
/// first touched. An overflow ends the process, so the size leaves a margin for the formatting code of the
/// logging crate.
pub const STACK_WORDS: usize = 16 * 1024;
/// Number of stacks of ended coroutines that are kept for reuse.
const STACK_POOL_CAPACITY: usize = 256;

/// Configures the scheduler with one worker thread, as a proxy has one core. Must be called before the first
/// coroutine is started.
pub fn init_scheduler() {
    let config = may::config();
    config.set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(STACK_POOL_CAPACITY);
    config.set_worker_pin(false);
}

/// A sleeping coroutine: when to wake it, and the channel that wakes it.
struct Sleeper {
    wake_at: Instant,
    wake: may::sync::mpsc::Sender<()>,
}

/// Sends new sleepers to the thread that wakes them.
static NEW_SLEEPERS: OnceLock<Sender<Sleeper>> = OnceLock::new();

/// Suspends the calling coroutine for `time`. Returns at once if the thread that wakes sleepers could not be
/// started.
///
/// Replaces `may::coroutine::sleep` and `park_timeout`, which must not be used. After a timeout they resume
/// the coroutine on may's timer thread, concurrently with the worker thread, while all other code relies on
/// one worker thread. And if the timeout is short, it can fire before the coroutine is stored, which then
/// never wakes.
pub fn sleep(time: Duration) {
    let new_sleepers = NEW_SLEEPERS.get_or_init(start_wake_thread);
    let (wake, woken) = may::sync::mpsc::channel();
    if new_sleepers.send(Sleeper { wake_at: Instant::now() + time, wake }).is_ok() {
        // Fails only if the wake thread has ended and dropped the sender.
        let _ = woken.recv();
    }
}

/// Starts the thread that wakes sleepers, and returns the channel on which it receives them.
fn start_wake_thread() -> Sender<Sleeper> {
    let (sender, new_sleepers) = channel();
    let started =
        std::thread::Builder::new().name("alarms".into()).spawn(move || wake_sleepers(&new_sleepers));
    if let Err(error) = started {
        tracing::error!("cannot start the thread that wakes sleeping coroutines: {error}");
    }
    sender
}

/// Wakes each sleeper at its time; those with the same time in the order of arrival. Ends once all senders
/// are dropped.
fn wake_sleepers(new_sleepers: &Receiver<Sleeper>) {
    let mut sleepers: BTreeMap<(Instant, u64), may::sync::mpsc::Sender<()>> = BTreeMap::new();
    for arrival in 0u64.. {
        let next = match sleepers.first_key_value() {
            Some(((wake_at, _), _)) => {
                new_sleepers.recv_timeout(wake_at.saturating_duration_since(Instant::now()))
            }
            None => new_sleepers.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match next {
            Ok(Sleeper { wake_at, wake }) => drop(sleepers.insert((wake_at, arrival), wake)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        while let Some(first) = sleepers.first_entry().filter(|first| first.key().0 <= now) {
            // Sending fails if the coroutine has stopped waiting; it needs no wake-up then.
            let _ = first.remove().send(());
        }
    }
}

/// Starts a coroutine with a stack of [`STACK_WORDS`].
///
/// # Errors
/// Returns an error if its stack cannot be allocated.
pub fn spawn<F: FnOnce() + Send + 'static>(name: &'static str, task: F) -> io::Result<()> {
    start(may::coroutine::Builder::new().name(name.into()), task)
}

/// Starts a coroutine with a stack of `stack_words` machine words, for tasks that need more than
/// [`STACK_WORDS`].
///
/// # Errors
/// Returns an error if its stack cannot be allocated.
pub fn spawn_with_large_stack<F: FnOnce() + Send + 'static>(
    name: &'static str,
    stack_words: usize,
    task: F,
) -> io::Result<()> {
    start(may::coroutine::Builder::new().name(name.into()).stack_size(stack_words), task)
}

fn start<F: FnOnce() + Send + 'static>(builder: may::coroutine::Builder, task: F) -> io::Result<()> {
    // SAFETY (of the call inside the macro): a coroutine must not overflow its stack and must not rely on
    // thread-local storage across a wait. The stack sizes above suffice, as no task recurses without bound.
    // All coroutines stay on the one worker thread, as none of them waits for may's timers.
    let _handle = may::go!(builder, task)?;
    Ok(())
}
