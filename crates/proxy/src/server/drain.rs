//! Stops the proxy: the drain, which an operator starts and can stop again, and the shutdown on SIGTERM.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::Server;
use crate::downstream::postgres::SessionEnd;
use crate::facade::to_duration;
use crate::task;

/// Time from the start of a drain until all pollers of `/ops/readiness` have received the response that the
/// proxy is not ready.
const NOT_READY_PROPAGATION: Duration = Duration::from_millis(400);
/// How long sessions are then closed after their next response only, before all idle sessions are closed.
const SESSION_DRAIN_PERIOD: Duration = Duration::from_millis(1_400);

/// How long after SIGTERM connections and requests are still accepted: as long as the platform's protocol may
/// send them, with a margin.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(850);
/// Upper limit of the longest deadline at a restart, in milliseconds. The platform sends SIGKILL after the
/// longest deadline or this limit, whichever is shorter, plus [`RESPONSE_GRACE_MS`] and
/// [`RESPONSES_TO_SIGKILL_MS`].
const MAX_RESTART_DEADLINE_MS: f64 = 3_000.0;
/// Upper limit of the longest deadline at an upgrade, where a successor takes over. See
/// [`MAX_RESTART_DEADLINE_MS`].
const MAX_UPGRADE_DEADLINE_MS: f64 = 5_000.0;
/// Time after the longest deadline by which all accepted requests have their responses.
const RESPONSE_GRACE_MS: f64 = 400.0;
/// Time from the last responses to SIGKILL.
const RESPONSES_TO_SIGKILL_MS: f64 = 300.0;
/// How long before SIGKILL idle sessions are closed at an upgrade. Clients close idle sessions themselves
/// after 4 s.
const SESSION_GRACE: Duration = Duration::from_millis(500);
/// Time after the last responses for clients that read slowly or are slow to close.
const CLOSE_GRACE: Duration = Duration::from_millis(200);
/// Time for the kernel to send the last bytes before the process exits.
const FINAL_FLUSH: Duration = Duration::from_millis(50);
/// Interval at which a shutdown checks for open requests and sessions.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Identifies one drain: the value of [`DrainState::transitions`] while it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DrainId(u64);

/// Whether the proxy is draining or shutting down.
#[derive(Default)]
pub struct DrainState {
    /// Number of starts and stops of drains: odd during a drain.
    transitions: AtomicU64,
    is_shutting_down: AtomicBool,
}

impl DrainState {
    /// Returns whether a drain by an operator is in progress.
    pub fn is_draining(&self) -> bool {
        self.transitions.load(Ordering::Relaxed) % 2 == 1
    }

    /// Returns whether the proxy is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.load(Ordering::Relaxed)
    }

    /// Starts a drain. Returns `None` if one is already in progress. The check and the start need not be
    /// atomic, as one thread serves all requests of operators.
    fn start(&self) -> Option<DrainId> {
        if self.is_draining() {
            return None;
        }
        let previous_transitions = self.transitions.fetch_add(1, Ordering::Relaxed);
        Some(DrainId(previous_transitions + 1))
    }

    /// Stops the drain. Returns false if no drain is in progress or the proxy is shutting down.
    fn stop(&self) -> bool {
        let can_stop = self.is_draining() && !self.is_shutting_down();
        if can_stop {
            self.transitions.fetch_add(1, Ordering::Relaxed);
        }
        can_stop
    }

    /// Returns whether this drain is still in progress and the proxy is not shutting down.
    fn is_current(&self, drain: DrainId) -> bool {
        self.transitions.load(Ordering::Relaxed) == drain.0 && !self.is_shutting_down()
    }

    fn start_shutdown(&self) {
        self.is_shutting_down.store(true, Ordering::Relaxed);
    }
}

impl Server {
    /// Starts a drain: the proxy reports that it is not ready, and after a delay closes each session once it
    /// has no open request. The process keeps running. Does nothing if a drain is already in progress.
    pub fn start_drain(self: &Arc<Self>) {
        let Some(drain) = self.drain.start() else { return };
        tracing::info!("drain started by an operator");
        let server = self.clone();
        let spawned = task::spawn("drain", move || server.run_drain(drain));
        if spawned.is_err() {
            self.session_manager.set_session_end(SessionEnd::WhenIdle);
        }
    }

    /// Ends the sessions in two steps while the drain is in progress. Blocks its coroutine.
    fn run_drain(&self, drain: DrainId) {
        let steps = [
            (NOT_READY_PROPAGATION, SessionEnd::AfterResponse),
            (SESSION_DRAIN_PERIOD, SessionEnd::WhenIdle),
        ];
        for (delay, session_end) in steps {
            task::sleep(delay);
            if !self.drain.is_current(drain) {
                return;
            }
            self.session_manager.set_session_end(session_end);
        }
    }

    /// Stops an operator's drain. Does nothing if no drain is in progress or the proxy is shutting down.
    pub fn stop_drain(&self) {
        if self.drain.stop() {
            tracing::info!("drain stopped by an operator");
            self.session_manager.set_session_end(SessionEnd::Never);
        }
    }

    /// Shuts down gracefully: finishes the open requests, closes the sessions and returns. Blocks its thread.
    ///
    /// If a successor listens on the same socket, this process stops accepting at once and leaves new clients
    /// to it. Otherwise it accepts clients for [`ACCEPT_AFTER_SIGTERM`].
    pub fn shut_down(&self) {
        self.drain.start_shutdown();
        let started_at = Instant::now();
        let response_window_ms = self.response_window_ms();
        let response_window = to_duration(response_window_ms);
        self.handler.facade.limit_deadlines(self.handler.facade.now() + response_window_ms);
        if self.has_successor {
            self.acceptor.stop();
            self.session_manager.set_session_end(SessionEnd::AfterResponse);
            let sigkill_after = to_duration(response_window_ms + RESPONSES_TO_SIGKILL_MS);
            let close_idle_at = started_at + sigkill_after.saturating_sub(SESSION_GRACE);
            wait_until(close_idle_at, || self.session_manager.session_count() == 0);
        } else {
            std::thread::sleep(ACCEPT_AFTER_SIGTERM);
            self.acceptor.stop();
        }
        self.session_manager.set_session_end(SessionEnd::WhenIdle);
        // A session counts as open until its client has closed the connection or the time for that has
        // expired. Closing a connection with unread or unsent bytes would reset it.
        let is_idle =
            || self.handler.open_requests.load(Ordering::Relaxed) + self.session_manager.session_count() == 0;
        wait_until(started_at + response_window + CLOSE_GRACE, is_idle);
        std::thread::sleep(FINAL_FLUSH);
    }

    /// Returns the time after SIGTERM by which all accepted requests have their responses, in milliseconds.
    /// It depends on the configuration in force, as does the time at which the platform sends SIGKILL.
    pub fn response_window_ms(&self) -> f64 {
        let max_deadline_ms =
            if self.has_successor { MAX_UPGRADE_DEADLINE_MS } else { MAX_RESTART_DEADLINE_MS };
        self.config_applier.longest_deadline_ms().min(max_deadline_ms) + RESPONSE_GRACE_MS
    }
}

/// Blocks the thread until the condition is met or the deadline has passed.
fn wait_until(deadline: Instant, is_met: impl Fn() -> bool) {
    while !is_met() && Instant::now() < deadline {
        std::thread::sleep(POLL_INTERVAL);
    }
}
