//! Hooks for tests in builds with debug assertions. Builds that ship have none: there every function here does nothing.

use rustix::process::{Signal, getpid, kill_process};

/// Names the checks that are disabled, separated by commas.
const DISABLED_CHECKS: &str = "GAUGESTEP_TEST_OUT";
/// Names a file that holds the name of the place at which the process suspends itself.
const SUSPEND_FILE: &str = "GAUGESTEP_TEST_STOP";

/// Whether a check is disabled, so that tests can show that the others hold without it, or fail.
pub fn is_check_disabled(check: &str) -> bool {
    cfg!(debug_assertions)
        && std::env::var(DISABLED_CHECKS).is_ok_and(|checks| checks.split(',').any(|it| it == check))
}

/// Suspends this process (SIGSTOP), once, if a test asks for it at this place.
pub fn suspend_at(place: &str) {
    if !cfg!(debug_assertions) {
        return;
    }
    let Ok(path) = std::env::var(SUSPEND_FILE) else { return };
    if std::fs::read_to_string(&path).is_ok_and(|requested| requested == place) {
        // The test sees by the missing file that the process has come this far.
        let _ = std::fs::remove_file(&path);
        let _ = kill_process(getpid(), Signal::STOP);
    }
}
