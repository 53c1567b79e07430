//! How the proxy stops serving: a drain that an operator starts and may end, and the shutdown at SIGTERM.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::Server;
use crate::config::Limits;
use crate::downstream::postgres::SessionEnd;
use crate::facade::to_duration;
use crate::task;

/// After the start of a drain, until those who look at `/ops/readiness` have seen that the proxy is not ready.
const NOT_READY_PROPAGATION: Duration = Duration::from_millis(400);
/// How long sessions then close after their next answer, before all that are idle are closed.
const SESSION_DRAIN: Duration = Duration::from_millis(1_400);

/// After SIGTERM, how long new connections and requests may still come: by the protocol, and a little more.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(850);
/// SIGKILL follows SIGTERM after the longest deadline, but at most this time, and [`ANSWERS_TO_SIGKILL`] after
/// [`ANSWER_GRACE_MS`]: at a restart, and where a successor takes over.
const MAX_RESTART_MS: f64 = 3_000.0;
/// See [`MAX_RESTART_MS`].
const MAX_UPGRADE_MS: f64 = 5_000.0;
/// After the longest deadline, by which all accepted requests have their answers.
const ANSWER_GRACE_MS: f64 = 400.0;
/// From the last answers to SIGKILL.
const ANSWERS_TO_SIGKILL_MS: f64 = 300.0;
/// Before SIGKILL at an upgrade, when sessions that are idle are closed: clients close their own after 4 s of idleness.
const SESSION_GRACE: Duration = Duration::from_millis(500);
/// After the last answers, for clients that read slowly or are slow to close.
const CLOSE_GRACE: Duration = Duration::from_millis(200);
/// For the last bytes to be sent.
const FINAL_FLUSH: Duration = Duration::from_millis(50);
/// Between two looks at what is still open.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long after SIGTERM all accepted requests have their answers, in milliseconds.
pub fn answer_window_ms(limits: &Limits, has_successor: bool) -> f64 {
    let max_deadline = if has_successor { MAX_UPGRADE_MS } else { MAX_RESTART_MS };
    limits.longest_deadline_ms.min(max_deadline) + ANSWER_GRACE_MS
}

/// Which drain of an operator this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DrainNumber(u64);

/// Whether the proxy drains or shuts down.
#[derive(Default)]
pub struct DrainState {
    /// Counts the starts and ends of drains: odd while one lasts.
    changes: AtomicU64,
    is_shutting_down: AtomicBool,
}

impl DrainState {
    /// Whether an operator drains the proxy.
    pub fn is_draining(&self) -> bool {
        self.changes.load(Ordering::Relaxed) % 2 == 1
    }

    /// Whether the proxy shuts down.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.load(Ordering::Relaxed)
    }

    /// Starts a drain; none if one lasts. Calls of operators are served by one thread, so no other call comes between.
    fn start(&self) -> Option<DrainNumber> {
        if self.is_draining() {
            return None;
        }
        Some(DrainNumber(self.changes.fetch_add(1, Ordering::Relaxed) + 1))
    }

    /// Ends the drain. Returns false if there is none, or the proxy shuts down.
    fn stop(&self) -> bool {
        let can_stop = self.is_draining() && !self.is_shutting_down();
        if can_stop {
            self.changes.fetch_add(1, Ordering::Relaxed);
        }
        can_stop
    }

    /// Whether this drain lasts, and the proxy does not shut down.
    fn is_current(&self, drain: DrainNumber) -> bool {
        self.changes.load(Ordering::Relaxed) == drain.0 && !self.is_shutting_down()
    }

    fn start_shutdown(&self) {
        self.is_shutting_down.store(true, Ordering::Relaxed);
    }
}

impl Server {
    /// Starts a drain: the proxy is not ready any more, and a little later its sessions close, each once nothing is open in
    /// it. The proxy goes on running. Does nothing while a drain lasts.
    pub fn start_drain(self: &Arc<Self>) {
        let Some(drain) = self.drain.start() else { return };
        tracing::info!("drain started by an operator");
        let server = self.clone();
        let spawned = task::spawn("drain", move || server.run_drain(drain));
        if spawned.is_err() {
            self.session_manager.set_session_end(SessionEnd::WhenIdle);
        }
    }

    /// Ends the sessions step by step, as long as the drain lasts; blocks its coroutine.
    fn run_drain(&self, drain: DrainNumber) {
        let steps =
            [(NOT_READY_PROPAGATION, SessionEnd::AfterResponse), (SESSION_DRAIN, SessionEnd::WhenIdle)];
        for (wait, end) in steps {
            task::sleep(wait);
            if !self.drain.is_current(drain) {
                return;
            }
            self.session_manager.set_session_end(end);
        }
    }

    /// Ends an operator's drain. Does nothing if there is none, or the proxy shuts down.
    pub fn stop_drain(&self) {
        if self.drain.stop() {
            tracing::info!("drain ended by an operator");
            self.session_manager.set_session_end(SessionEnd::Never);
        }
    }

    /// Finishes what is open, and returns. Clients are accepted as long as they may still come; if a successor listens on
    /// the same socket, they are left to it. Blocks its thread.
    pub fn shut_down(&self) {
        self.drain.start_shutdown();
        let started_at = Instant::now();
        let answer_window = to_duration(self.answer_window_ms);
        self.handler.facade.close_by(self.handler.facade.now() + self.answer_window_ms);
        if self.has_successor {
            self.acceptor.stop();
            self.session_manager.set_session_end(SessionEnd::AfterResponse);
            let sigkill = to_duration(self.answer_window_ms + ANSWERS_TO_SIGKILL_MS);
            let deadline = started_at + sigkill.saturating_sub(SESSION_GRACE);
            wait_until(deadline, || self.session_manager.session_count() == 0);
        } else {
            std::thread::sleep(ACCEPT_AFTER_SIGTERM);
            self.acceptor.stop();
        }
        self.session_manager.set_session_end(SessionEnd::WhenIdle);
        // A session is open until its client has closed the connection, or has had the time for it: if it were closed with
        // bytes unread or unsent, it would be reset.
        let is_idle =
            || self.handler.open_requests.load(Ordering::Relaxed) + self.session_manager.session_count() == 0;
        wait_until(started_at + answer_window + CLOSE_GRACE, is_idle);
        std::thread::sleep(FINAL_FLUSH);
    }
}

/// Blocks the thread until the condition holds, or the deadline has passed.
fn wait_until(deadline: Instant, is_met: impl Fn() -> bool) {
    while !is_met() && Instant::now() < deadline {
        std::thread::sleep(POLL_INTERVAL);
    }
}
