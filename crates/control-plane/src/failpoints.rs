//! Failpoints for tests, active in builds with debug assertions. In release builds every function here does
//! nothing.

use rustix::process::{Signal, getpid, kill_process};

/// Environment variable: a comma-separated list of the checks to disable.
const DISABLED_CHECKS: &str = "GAUGESTEP_TEST_OUT";
/// Environment variable: the path of a file that contains the name of the failpoint at which the process
/// suspends itself.
const SUSPEND_FILE: &str = "GAUGESTEP_TEST_STOP";

/// Whether a test has disabled a check, to show that the remaining checks suffice without it or that they do
/// not.
pub fn is_check_disabled(check: &str) -> bool {
    cfg!(debug_assertions)
        && std::env::var(DISABLED_CHECKS)
            .is_ok_and(|checks| checks.split(',').any(|disabled| disabled == check))
}

/// Suspends this process (SIGSTOP) once if the suspend file names this failpoint.
pub fn suspend_at(failpoint: &str) {
    if !cfg!(debug_assertions) {
        return;
    }
    let Ok(path) = std::env::var(SUSPEND_FILE) else { return };
    if std::fs::read_to_string(&path).is_ok_and(|requested| requested == failpoint) {
        // The removal of the file tells the test that the process has reached the failpoint.
        let _ = std::fs::remove_file(&path);
        let _ = kill_process(getpid(), Signal::STOP);
    }
}
