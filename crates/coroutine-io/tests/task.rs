//! Test of sleeping coroutines.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use gaugestep_coroutine_io::task;

/// How long the test waits for a coroutine to wake.
const MAX_WAIT: Duration = Duration::from_secs(10);

#[test]
fn every_sleeping_coroutine_wakes_and_none_wakes_early() {
    const SLEEPS: [Duration; 4] =
        [Duration::from_millis(60), Duration::from_millis(20), Duration::from_millis(40), Duration::ZERO];
    task::init_scheduler();
    let (sender, slept) = channel();
    for time in SLEEPS {
        let sender = sender.clone();
        let sleep = move || {
            let began = Instant::now();
            task::sleep(time);
            sender.send((time, began.elapsed())).unwrap();
        };
        task::spawn("sleeper", sleep).unwrap();
    }
    let mut woken = Vec::new();
    for _ in SLEEPS {
        let (time, elapsed) = slept.recv_timeout(MAX_WAIT).expect("every sleeper wakes");
        assert!(elapsed >= time, "woke after {elapsed:?} instead of {time:?}");
        woken.push(time);
    }
    woken.sort();
    let mut expected = SLEEPS;
    expected.sort();
    assert_eq!(woken, expected);
}
