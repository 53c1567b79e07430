//! Starting coroutines, and having them sleep.

use std::collections::BTreeMap;
use std::io;
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

/// Stack of one coroutine, in machine words (128 KB). Pages are only taken once they are touched; an overflow would
/// end the process, so there is room for the logging crate's formatting.
pub const STACK_WORDS: usize = 16 * 1024;
/// Stacks kept for later coroutines.
const POOL: usize = 256;

/// Sets the scheduler up: one worker, as a proxy has one core. Must come before the first coroutine.
pub fn init_scheduler() {
    let config = may::config();
    config.set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(POOL);
    config.set_worker_pin(false);
}

/// When a sleeper is to be woken, and how.
type Sleeper = (Instant, may::sync::mpsc::Sender<()>);

/// The thread that wakes sleepers.
static ALARMS: OnceLock<Sender<Sleeper>> = OnceLock::new();

/// Has the coroutine sleep. Guards against `may::coroutine::sleep` and `park_timeout`: a coroutine whose time runs out
/// there goes on in may's timer thread, beside the worker that all else here counts on being alone with; and a short time
/// can run out before the coroutine is stored, which then never wakes.
pub fn sleep(time: Duration) {
    let alarms = ALARMS.get_or_init(|| {
        let (asked, sleepers) = channel();
        std::thread::Builder::new()
            .name("alarms".into())
            .spawn(move || wake(&sleepers))
            .map_err(|error| tracing::error!("no thread to wake sleepers: {error}"))
            .ok();
        asked
    });
    let (alarm, woken) = may::sync::mpsc::channel();
    if alarms.send((Instant::now() + time, alarm)).is_ok() {
        let _ = woken.recv();
    }
}

fn wake(asked: &Receiver<Sleeper>) {
    let mut sleepers = BTreeMap::new();
    for number in 0u64.. {
        let first = sleepers.first_key_value().map(|((at, _), _): (&(Instant, u64), _)| *at);
        let next = match first {
            Some(at) => asked.recv_timeout(at.saturating_duration_since(Instant::now())),
            None => asked.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match next {
            Ok((at, alarm)) => drop(sleepers.insert((at, number), alarm)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        while let Some(sleeper) = sleepers.first_entry().filter(|sleeper| sleeper.key().0 <= now) {
            let _ = sleeper.remove().send(());
        }
    }
}

/// Starts a coroutine.
pub fn spawn<F: FnOnce() + Send + 'static>(name: &'static str, task: F) -> io::Result<()> {
    start(may::coroutine::Builder::new().name(name.into()), task)
}

/// Starts a coroutine with a stack of so many words, for what the usual one is too small for.
pub fn spawn_with_large_stack<F: FnOnce() + Send + 'static>(
    name: &'static str,
    words: usize,
    task: F,
) -> io::Result<()> {
    start(may::coroutine::Builder::new().name(name.into()).stack_size(words), task)
}

fn start<F: FnOnce() + Send + 'static>(builder: may::coroutine::Builder, task: F) -> io::Result<()> {
    // SAFETY (of the call inside the macro): a coroutine must not overflow its stack and must not rely on
    // thread-local storage across a wait. Stacks are sized above, nothing here recurses without bound, and all run on
    // the one worker thread, as none waits for may's timers.
    let _handle = may::go!(builder, task)?;
    Ok(())
}
