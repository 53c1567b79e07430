//! Reports how the process ends: each unplanned end writes its cause and a backtrace to standard error.
//!
//! Libraries may call `exit` (`may` does so when it detects an overwritten stack), and after a panic in a
//! thread the process may keep running without doing any work. Therefore calls of `exit` from libraries are
//! reported, and the process is aborted when a critical thread panics.

use std::backtrace::Backtrace;
use std::sync::atomic::{AtomicBool, Ordering};

/// Names of the threads without which the process cannot work: the main thread, the thread that fires the
/// dispatcher's timers, and the thread that wakes sleeping coroutines.
const CRITICAL_THREADS: [&str; 3] = ["main", "ticker", "alarms"];

/// Whether the program itself ends the process and reports errors on its own.
static EXIT_IS_PLANNED: AtomicBool = AtomicBool::new(false);

/// Installs a panic hook and an exit handler, which report all panics and all unplanned calls of `exit`.
pub fn install() {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("unnamed");
        eprintln!("gaugestep: {panic}, in thread '{name}'\n{}", Backtrace::force_capture());
        previous_hook(panic);
        if CRITICAL_THREADS.contains(&name) {
            eprintln!("gaugestep: aborting, because the process cannot work without thread '{name}'");
            std::process::abort();
        }
    }));
    // SAFETY: the handler is a plain function that is valid for the life of the program, never unwinds, and
    // does not call `exit`.
    #[expect(unsafe_code, reason = "the standard library has no hook for calls of exit")]
    let registered = unsafe { libc::atexit(on_exit) };
    if registered != 0 {
        eprintln!("gaugestep: cannot register the handler that reports calls of exit by libraries");
    }
}

/// Marks the end of the process as planned: calls of `exit` are no longer reported.
pub fn mark_planned() {
    EXIT_IS_PLANNED.store(true, Ordering::Relaxed);
}

/// Reports a call of `exit` that the program did not make itself.
extern "C" fn on_exit() {
    if EXIT_IS_PLANNED.load(Ordering::Relaxed) {
        return;
    }
    // A panic must not unwind into the caller, which is C code. It is caught and ignored here: the panic hook
    // has reported it.
    let _ = std::panic::catch_unwind(|| {
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("unnamed");
        let backtrace = Backtrace::force_capture();
        eprintln!("gaugestep: ended by a call of exit in thread '{name}'\n{backtrace}");
    });
}
