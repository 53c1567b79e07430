//! The ways in which the process ends: each leaves a line on standard error that says what ended it, and where.
//!
//! Libraries may call `exit` (`may` does, on a stack that it finds overwritten), and a thread that panics by itself leaves
//! a process that runs and does nothing. So a call of `exit` that the program did not make itself is reported, and the
//! process is aborted if a thread panics that it cannot go on without.

use std::backtrace::Backtrace;
use std::sync::atomic::{AtomicBool, Ordering};

/// Threads without which nothing goes on: the main thread, the dispatcher's clock, and what wakes sleeping coroutines.
const VITAL_THREADS: [&str; 3] = ["main", "ticker", "alarms"];

/// Whether the end is the program's own, and has been reported.
static IS_PLANNED: AtomicBool = AtomicBool::new(false);

/// Reports all panics and all calls of `exit` from now on.
pub fn install() {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("unnamed");
        eprintln!("gaugestep: {panic}, in thread '{name}'\n{}", Backtrace::force_capture());
        previous(panic);
        if VITAL_THREADS.contains(&name) {
            eprintln!("gaugestep: aborts, as nothing goes on without thread '{name}'");
            std::process::abort();
        }
    }));
    // SAFETY: the handler is a plain function that lives as long as the program, unwinds nowhere and calls no `exit`.
    #[expect(unsafe_code, reason = "there is no safe way to learn of a call of exit")]
    let registered = unsafe { libc::atexit(on_exit) };
    if registered != 0 {
        eprintln!("gaugestep: calls of exit by libraries will not be reported");
    }
}

/// The program ends by itself: a call of `exit` is not reported any more.
pub fn mark_planned() {
    IS_PLANNED.store(true, Ordering::Relaxed);
}

/// Reports a call of `exit` that the program did not make itself.
extern "C" fn on_exit() {
    if IS_PLANNED.load(Ordering::Relaxed) {
        return;
    }
    // A panic must not unwind into the caller, which is C. Nothing can be done about one here.
    let _ = std::panic::catch_unwind(|| {
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("unnamed");
        let backtrace = Backtrace::force_capture();
        eprintln!("gaugestep: ended by a call of exit in thread '{name}'\n{backtrace}");
    });
}
