//! Transitions of the session state machine that need no running query.

use std::time::{Duration, Instant};

use super::{SessionState, State};

#[test]
fn a_session_accepts_messages_until_it_closes() {
    let mut state = SessionState::new();
    assert!(state.is_startup() && state.accepts_messages() && !state.is_between_queries());
    state.on_startup_accepted();
    assert!(state.accepts_messages() && state.is_between_queries() && !state.is_startup());
    state.skip_until_sync();
    assert!(state.accepts_messages() && state.is_between_queries() && state.is_skipping());
    state.on_sync();
    assert!(!state.is_skipping());
    state.close();
    assert!(state.is_closing() && !state.accepts_messages() && !state.is_between_queries());
    state.on_output_shut_down(Instant::now());
    assert!(state.is_half_closed() && !state.is_closing() && !state.accepts_messages());
}

#[test]
fn abandoning_without_a_running_query_changes_nothing() {
    let mut state = SessionState::new();
    assert!(state.abandon_query().is_none() && state.take_response().is_none());
    assert!(state.is_startup());
    state.close();
    assert!(state.abandon_query().is_none());
    assert!(state.is_closing());
}

#[test]
fn input_extends_the_idle_deadline_of_a_half_closed_session_only() {
    let mut state = SessionState::new();
    assert!(!state.on_input());
    let shut_down_at =
        Instant::now().checked_sub(Duration::from_secs(60)).expect("the machine has been up for a minute");
    state.on_output_shut_down(shut_down_at);
    let next = |state: &SessionState| match state.get() {
        State::HalfClosed(deadlines) => deadlines.next(),
        _ => panic!("the session is not half-closed"),
    };
    assert_eq!(next(&state), shut_down_at + Duration::from_millis(500));
    assert!(state.on_input());
    assert_eq!(next(&state), shut_down_at + Duration::from_secs(5), "the maximum deadline is never extended");
}
