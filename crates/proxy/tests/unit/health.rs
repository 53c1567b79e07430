//! Tests when a silent connection is checked and closed. The tests supply the time.

use std::time::{Duration, Instant};

use super::{HEALTH_CHECK_AFTER, HEALTH_CHECK_TIMEOUT, HealthAction, HealthMonitor, MESSAGE_TIMEOUT};
use crate::termination::Termination;

const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MILLISECOND: Duration = Duration::from_millis(1);

#[test]
fn a_silent_connection_with_attempts_is_checked_once_and_then_closed() {
    let start = Instant::now();
    let mut monitor = HealthMonitor::new(start);
    let mut check = |at: Instant| monitor.check(at, true, IDLE_TIMEOUT);
    let sent_at = start + HEALTH_CHECK_AFTER;
    assert_eq!(check(sent_at - MILLISECOND), HealthAction::None);
    assert_eq!(check(sent_at), HealthAction::SendCheck);
    assert_eq!(check(sent_at + HEALTH_CHECK_TIMEOUT - MILLISECOND), HealthAction::None);
    assert_eq!(check(sent_at + HEALTH_CHECK_TIMEOUT), HealthAction::Close(Termination::Silent));
}

#[test]
fn any_input_counts_as_a_response_to_the_check() {
    let start = Instant::now();
    let mut monitor = HealthMonitor::new(start);
    let sent_at = start + HEALTH_CHECK_AFTER;
    assert_eq!(monitor.check(sent_at, true, IDLE_TIMEOUT), HealthAction::SendCheck);
    let read_at = sent_at + MILLISECOND;
    monitor.on_read(read_at);
    assert_eq!(
        monitor.check(read_at + HEALTH_CHECK_AFTER - MILLISECOND, true, IDLE_TIMEOUT),
        HealthAction::None
    );
    assert_eq!(monitor.check(read_at + HEALTH_CHECK_AFTER, true, IDLE_TIMEOUT), HealthAction::SendCheck);
}

#[test]
fn silence_counts_from_the_first_attempt() {
    let start = Instant::now();
    let mut monitor = HealthMonitor::new(start);
    let first_attempt = start + IDLE_TIMEOUT - MILLISECOND;
    assert_eq!(monitor.check(first_attempt, false, IDLE_TIMEOUT), HealthAction::None);
    monitor.reset_silence(first_attempt);
    assert_eq!(monitor.check(first_attempt + MILLISECOND, true, IDLE_TIMEOUT), HealthAction::None);
}

#[test]
fn an_idle_connection_is_closed_and_never_checked() {
    let start = Instant::now();
    let mut monitor = HealthMonitor::new(start);
    assert_eq!(monitor.check(start + IDLE_TIMEOUT - MILLISECOND, false, IDLE_TIMEOUT), HealthAction::None);
    let action = monitor.check(start + IDLE_TIMEOUT, false, IDLE_TIMEOUT);
    assert_eq!(action, HealthAction::Close(Termination::Closed));
}

#[test]
fn an_incomplete_message_closes_a_connection_that_is_not_silent() {
    let mut monitor = HealthMonitor::new(Instant::now());
    monitor.on_parsed(false, true);
    // The monitor reads the clock itself in `on_parsed`, not later than this.
    let began_by = Instant::now();
    let late = began_by + MESSAGE_TIMEOUT;
    monitor.on_read(late);
    monitor.on_parsed(false, true);
    assert_eq!(monitor.check(late, true, IDLE_TIMEOUT), HealthAction::Close(Termination::Garbled));
    monitor.on_parsed(true, false);
    assert_eq!(monitor.check(late, true, IDLE_TIMEOUT), HealthAction::None);
}
