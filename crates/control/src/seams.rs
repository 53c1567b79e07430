//! Checks that tests take out, to show that what they guard against is held by the others too, or by them alone. Builds
//! without debug assertions, and so everything that ships, have none.

/// Whether this check is taken out: `GAUGESTEP_TEST_OUT` names it, in a build for tests.
pub fn out(check: &str) -> bool {
    cfg!(debug_assertions)
        && std::env::var("GAUGESTEP_TEST_OUT").is_ok_and(|out| out.split(',').any(|one| one == check))
}
