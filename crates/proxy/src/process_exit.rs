//! The ways out of the process: each leaves a line on standard error that says what ended it and where.
//!
//! Decides which panics the process must not outlive. Guards against a silent end: one day a proxy ended with code 1 and
//! nothing said why; libraries may call `exit` (`may` does, on a stack that it finds overwritten), and a thread that
//! panics alone leaves a process that runs and does nothing.

use std::backtrace::Backtrace;
use std::sync::atomic::{AtomicBool, Ordering};

/// Threads without which nothing goes on: the module's clock, and whatever sleeps.
const VITAL: [&str; 3] = ["main", "ticker", "alarms"];

/// Set once the end is the program's own, and told.
static PLANNED: AtomicBool = AtomicBool::new(false);

/// Watches all ways out from now on.
pub fn install() {
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("unnamed");
        eprintln!("gaugestep: {panic}, in thread '{name}'\n{}", Backtrace::force_capture());
        before(panic);
        if VITAL.contains(&name) {
            eprintln!("gaugestep: aborts, as nothing goes on without thread '{name}'");
            std::process::abort();
        }
    }));
    // SAFETY: the handler is a plain function that lives as long as the program, unwinds nowhere and calls no `exit`.
    #[allow(unsafe_code)]
    let registered = unsafe { libc::atexit(at_exit) };
    if registered != 0 {
        eprintln!("gaugestep: ends that libraries bring about will not be told");
    }
}

/// The program ends by itself: nothing more is to be told of it.
pub fn mark_planned() {
    PLANNED.store(true, Ordering::Relaxed);
}

/// Tells of an `exit` that the program itself did not call.
extern "C" fn at_exit() {
    if PLANNED.load(Ordering::Relaxed) {
        return;
    }
    let told = std::panic::catch_unwind(|| {
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("unnamed");
        let place = Backtrace::force_capture();
        eprintln!("gaugestep: ended by a call of exit in thread '{name}'\n{place}");
    });
    drop(told);
}

#[cfg(test)]
mod tests {
    use std::process::{Command, Output};

    /// Runs the test `ends` in a process of its own.
    fn ended(how: &str) -> Output {
        let mut child = Command::new(std::env::current_exe().unwrap());
        child.args(["--exact", "process_exit::tests::ends", "--nocapture"]).env("GAUGESTEP_TEST_END", how);
        child.output().unwrap()
    }

    /// In a child: ends the process as the parent says. In the parent: nothing is to end.
    #[test]
    fn ends() {
        let Ok(how) = std::env::var("GAUGESTEP_TEST_END") else { return };
        super::install();
        let end: fn() = match how.as_str() {
            "exit" => || std::process::exit(1),
            "planned" => || {
                super::mark_planned();
                std::process::exit(1);
            },
            _ => || panic!("a test's own"),
        };
        let name = if how == "vital" { "ticker" } else { "worker" };
        let _ = std::thread::Builder::new().name(name.into()).spawn(end).unwrap().join();
        super::mark_planned();
        std::process::exit(0);
    }

    #[test]
    fn an_exit_that_a_library_calls_names_its_thread_and_place() {
        let told = ended("exit");
        let text = String::from_utf8_lossy(&told.stderr);
        assert_eq!(told.status.code(), Some(1));
        assert!(text.contains("ended by a call of exit in thread 'worker'"), "{text}");
        assert!(text.contains("process_exit::tests::ends"), "{text}");
    }

    #[test]
    fn a_planned_end_says_nothing() {
        let told = ended("planned");
        assert_eq!(told.status.code(), Some(1));
        assert!(!String::from_utf8_lossy(&told.stderr).contains("call of exit"));
    }

    #[test]
    fn a_panic_is_told_and_ends_the_process_where_nothing_goes_on_without_its_thread() {
        let alone = ended("panic");
        assert_eq!(alone.status.code(), Some(0), "others go on");
        assert!(String::from_utf8_lossy(&alone.stderr).contains("a test's own"));
        let vital = ended("vital");
        assert_eq!(vital.status.code(), None, "aborted");
        assert!(String::from_utf8_lossy(&vital.stderr).contains("nothing goes on without thread 'ticker'"));
    }
}
