//! Coroutines: the scheduler's settings, starting, and sleeping.

use std::collections::BTreeMap;
use std::io;
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

/// Stack of one coroutine, in machine words (128 KB). Pages are only taken once they are touched. An overflow would end the
/// process, so there is room for the formatting of the logging crate.
pub const STACK_WORDS: usize = 16 * 1024;
/// Stacks that are kept for later coroutines.
const STACK_POOL_CAPACITY: usize = 256;

/// Configures the scheduler: one worker, as a proxy has one core. Must be called before the first coroutine is started.
pub fn init_scheduler() {
    let config = may::config();
    config.set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(STACK_POOL_CAPACITY);
    config.set_worker_pin(false);
}

/// A coroutine that is asleep.
struct Sleeper {
    wake_at: Instant,
    wake: may::sync::mpsc::Sender<()>,
}

/// Sleepers on their way to the thread that wakes them.
static NEW_SLEEPERS: OnceLock<Sender<Sleeper>> = OnceLock::new();

/// Suspends the calling coroutine for this time. Returns at once if the thread that wakes sleepers could not be started.
///
/// `may::coroutine::sleep` and `park_timeout` must not be used: a coroutine whose time runs out there continues on may's
/// timer thread, concurrently with the worker that all other code relies on being alone; and a short time can run out
/// before the coroutine is stored, which then never wakes.
pub fn sleep(time: Duration) {
    let new_sleepers = NEW_SLEEPERS.get_or_init(start_waking_thread);
    let (wake, woken) = may::sync::mpsc::channel();
    if new_sleepers.send(Sleeper { wake_at: Instant::now() + time, wake }).is_ok() {
        // The sender is dropped without a message only if the waking thread ends.
        let _ = woken.recv();
    }
}

fn start_waking_thread() -> Sender<Sleeper> {
    let (sender, new_sleepers) = channel();
    let started = std::thread::Builder::new().name("alarms".into()).spawn(move || wake_all(&new_sleepers));
    if let Err(error) = started {
        tracing::error!("no thread to wake sleepers: {error}");
    }
    sender
}

/// Wakes sleepers at their times, those of the same time in the order in which they came.
fn wake_all(new_sleepers: &Receiver<Sleeper>) {
    let mut sleepers: BTreeMap<(Instant, u64), may::sync::mpsc::Sender<()>> = BTreeMap::new();
    for number in 0u64.. {
        let next = match sleepers.first_key_value() {
            Some(((wake_at, _), _)) => {
                new_sleepers.recv_timeout(wake_at.saturating_duration_since(Instant::now()))
            }
            None => new_sleepers.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match next {
            Ok(Sleeper { wake_at, wake }) => drop(sleepers.insert((wake_at, number), wake)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        while let Some(first) = sleepers.first_entry().filter(|first| first.key().0 <= now) {
            // A coroutine that does not wait any more needs no waking.
            let _ = first.remove().send(());
        }
    }
}

/// Starts a coroutine with a stack of [`STACK_WORDS`].
///
/// # Errors
/// If its stack cannot be allocated.
pub fn spawn<F: FnOnce() + Send + 'static>(name: &'static str, task: F) -> io::Result<()> {
    start(may::coroutine::Builder::new().name(name.into()), task)
}

/// Starts a coroutine with a stack of `stack_words` machine words, for tasks that need more than [`STACK_WORDS`].
///
/// # Errors
/// If its stack cannot be allocated.
pub fn spawn_with_large_stack<F: FnOnce() + Send + 'static>(
    name: &'static str,
    stack_words: usize,
    task: F,
) -> io::Result<()> {
    start(may::coroutine::Builder::new().name(name.into()).stack_size(stack_words), task)
}

fn start<F: FnOnce() + Send + 'static>(builder: may::coroutine::Builder, task: F) -> io::Result<()> {
    // SAFETY (of the call inside the macro): a coroutine must not overflow its stack and must not rely on thread-local
    // storage across a wait. Stacks are sized above, nothing here recurses without bound, and all run on the one worker
    // thread, as none waits for may's timers.
    let _handle = may::go!(builder, task)?;
    Ok(())
}
