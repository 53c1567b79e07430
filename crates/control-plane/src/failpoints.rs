//! Checks that tests take out, to show that what they guard against is held by the others too, or by them alone. Builds
//! without debug assertions, and so everything that ships, have none.

/// Whether this check is taken out: `GAUGESTEP_TEST_OUT` names it, in a build for tests.
pub fn is_check_disabled(check: &str) -> bool {
    cfg!(debug_assertions)
        && std::env::var("GAUGESTEP_TEST_OUT").is_ok_and(|out| out.split(',').any(|one| one == check))
}

/// Stops this process (SIGSTOP) where a test asks for it: once, if the file that `GAUGESTEP_TEST_STOP` names is there and
/// holds the name of this place. In a build for tests only.
pub fn suspend_at(place: &str) {
    if !cfg!(debug_assertions) {
        return;
    }
    let Ok(path) = std::env::var("GAUGESTEP_TEST_STOP") else { return };
    if std::fs::read_to_string(&path).is_ok_and(|told| told == place) {
        let _ = std::fs::remove_file(&path);
        let _ = rustix::process::kill_process(rustix::process::getpid(), rustix::process::Signal::STOP);
    }
}
