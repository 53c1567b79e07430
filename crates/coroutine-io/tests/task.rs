//! Coroutines that sleep.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use gaugestep_coroutine_io::task;

const PATIENCE: Duration = Duration::from_secs(10);

#[test]
fn every_sleeper_wakes_and_none_too_early() {
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
        let (time, elapsed) = slept.recv_timeout(PATIENCE).expect("every sleeper wakes");
        assert!(elapsed >= time, "{elapsed:?} for {time:?}");
        woken.push(time);
    }
    woken.sort();
    let mut expected = SLEEPS;
    expected.sort();
    assert_eq!(woken, expected);
}
