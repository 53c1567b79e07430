//! Data structures for requests, their attempts and the history of classes. The decisions that use them are
//! in [`crate::policy`].

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{
    AttemptNo, ClassId, EngineId, Idempotency, Millis, NewRequest, OrderKey, Outcome, RequestId,
};
use crate::stats::{DecayingMean, GeometricMean, LogFactor};

/// Requests that are not finished, or have attempts in flight, by id.
pub type Requests = BTreeMap<RequestId, Request>;

/// The latest progress report of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// The fraction of its work that was done, from 0 to 1.
    pub done_fraction: f64,
    /// When it was reported.
    pub reported_at: Millis,
}

/// Smallest fraction of work from which the remaining time is extrapolated.
const MIN_DONE_FRACTION: f64 = 1e-3;

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// When it was sent.
    pub sent_at: Millis,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
    /// True if it was cancelled because it ran past the timeout of its class.
    pub timeout_cancelled: bool,
    /// Its latest progress report, if there was one.
    pub progress: Option<Progress>,
}

impl Attempt {
    /// An attempt that is sent at this time.
    pub fn new(engine: EngineId, sent_at: Millis) -> Self {
        Attempt { engine, sent_at, outcome: None, timeout_cancelled: false, progress: None }
    }

    /// Stores a progress report.
    pub fn on_progress(&mut self, done_fraction: f64, now: Millis) {
        self.progress = Some(Progress { done_fraction: done_fraction.clamp(0.0, 1.0), reported_at: now });
    }

    /// How much longer it runs from its latest progress report on, extrapolated from that report; `None`
    /// without one.
    pub fn remaining_time(&self) -> Option<Millis> {
        self.progress.map(|progress| {
            let elapsed = progress.reported_at - self.sent_at;
            elapsed / progress.done_fraction.max(MIN_DONE_FRACTION) * (1.0 - progress.done_fraction)
        })
    }

    /// Whether its outcome proves that it never ran.
    pub fn never_ran(&self) -> bool {
        self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request that is not finished, or has attempts in flight.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as its client sent it.
    pub new: NewRequest,
    /// When it arrived.
    pub arrived_at: Millis,
    /// The fraction of its tenant's recent traffic that was within the quota when it arrived, from 0 to 1.
    pub in_quota_fraction: f64,
    /// True if its first run is never cancelled at the timeout.
    pub exempt_from_timeout: bool,
    /// True if its final response was sent or is streaming, or none is needed.
    pub finished: bool,
    /// The most attempts that it may have, by the settings in force when it arrived.
    pub max_attempts: usize,
    /// Its attempts in the order of sending.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// A request without attempts, within quota and subject to the timeout.
    pub fn new(new: NewRequest, arrived_at: Millis, max_attempts: usize) -> Self {
        Request {
            new,
            arrived_at,
            in_quota_fraction: 1.0,
            exempt_from_timeout: false,
            finished: false,
            max_attempts,
            attempts: Vec::new(),
        }
    }

    /// Moves the deadline to `latest` if it is later than that.
    pub fn limit_deadline(&mut self, latest: Millis) {
        self.new.deadline = self.new.deadline.min(latest);
    }

    /// The attempts in flight, with their numbers, including those that were cancelled at the timeout and
    /// have not ended yet.
    pub fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.outcome.is_none())
    }

    /// The attempts in flight that were not cancelled at the timeout, with their numbers.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.in_flight().filter(|(_, attempt)| !attempt.timeout_cancelled)
    }

    /// Whether the request waits to be sent: it is not finished, and no attempt is running.
    pub fn is_waiting(&self) -> bool {
        !self.finished && self.running().next().is_none()
    }

    /// Whether any attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// Whether an attempt may have run on an engine.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.never_ran())
    }

    /// Until when one more attempt may follow the first `count` ones without the risk of a repeated effect.
    /// For keyed requests that is one window after the earliest attempt that may have run, because engines
    /// deduplicate a request for that time only.
    pub fn repeatable_until(&self, idempotency: Idempotency, count: usize) -> Millis {
        let window = match idempotency {
            Idempotency::Safe => f64::INFINITY,
            Idempotency::Keyed(_, window) => window,
            Idempotency::Unsafe => f64::NEG_INFINITY,
        };
        let may_have_run = self.attempts.iter().take(count).filter(|attempt| !attempt.never_ran());
        may_have_run.map(|attempt| attempt.sent_at + window).fold(f64::INFINITY, f64::min)
    }

    /// Whether the attempt with this number is the relaunch: an earlier one was cancelled at the timeout.
    pub fn is_relaunch(&self, attempt: usize) -> bool {
        self.attempts.iter().take(attempt).any(|earlier| earlier.timeout_cancelled)
    }
}

/// The requests of one order key.
#[derive(Debug, Default)]
pub struct OrderedQueue {
    /// The ids of its requests, in the order of arrival.
    pub ids: VecDeque<RequestId>,
    /// The next request waits until this time.
    pub paused_until: Millis,
}

/// The queues of all order keys. Requests without a key are not in any queue.
#[derive(Debug, Default)]
pub struct OrderedQueues(BTreeMap<OrderKey, OrderedQueue>);

impl OrderedQueues {
    /// The queue of a key; `None` without a key, or if it has no queue.
    pub fn get(&self, key: Option<&OrderKey>) -> Option<&OrderedQueue> {
        self.0.get(key?)
    }

    /// Appends a request to the queue of its key.
    pub fn push(&mut self, key: Option<&OrderKey>, id: &RequestId) {
        if let Some(key) = key {
            self.0.entry(key.clone()).or_default().ids.push_back(id.clone());
        }
    }

    /// Makes the next request of a key wait until this time.
    pub fn pause(&mut self, key: Option<&OrderKey>, until: Millis) {
        if let Some(queue) = key.and_then(|key| self.0.get_mut(key)) {
            queue.paused_until = until;
        }
    }

    /// Removes a request from the queue of its key.
    pub fn remove(&mut self, key: Option<&OrderKey>, id: &RequestId) {
        if let Some(queue) = key.and_then(|key| self.0.get_mut(key)) {
            queue.ids.retain(|queued| queued != id);
        }
    }

    /// Discards the queues that are empty and not paused.
    pub fn discard_empty(&mut self, now: Millis) {
        self.0.retain(|_, queue| !queue.ids.is_empty() || queue.paused_until > now);
    }
}

/// A first run that has ended.
#[derive(Clone, Copy, Debug)]
pub struct FirstRun {
    /// The histogram bin of its run time.
    pub bin: usize,
    /// Whether it was served; if not, its time is a lower bound.
    pub served: bool,
}

/// The run times of one class. They are ratios to the estimated run time multiplied by the slowness of the
/// engine, which is the unit of the histogram.
#[derive(Debug, Default)]
pub struct RunHistory {
    /// The most recent first runs, oldest first.
    pub first_runs: VecDeque<FirstRun>,
    /// The run time ratios of relaunches.
    pub relaunch_ratio: DecayingMean,
    /// The timeout: first runs whose ratio exceeds it are cancelled. `None` if no run is cancelled.
    pub timeout_ratio: Option<f64>,
    /// The expected run time ratio of a relaunch.
    pub expected_relaunch_ratio: f64,
}

impl RunHistory {
    /// The log line for the timeout of a class.
    pub fn timeout_log_line(&self, class: ClassId) -> String {
        match self.timeout_ratio {
            Some(timeout) => format!("class {}: timeout at {timeout:.2} times the estimate", class.0),
            None => format!("class {}: no timeout", class.0),
        }
    }
}

/// Corrections of one class's estimates, learned from its served attempts.
#[derive(Debug, Default)]
pub struct ClassCorrections {
    /// Actual work over estimated work.
    pub work_bias: GeometricMean,
    /// Actual work over the default work of a request without an estimate.
    pub default_work_bias: GeometricMean,
    /// Run time over the run time without other load, which is the actual work per thread.
    pub run_time_stretch: GeometricMean,
    /// Needed memory over estimated memory.
    pub memory_bias: LogFactor,
    /// Estimated work of its requests, in milliseconds on one thread.
    pub estimated_work: DecayingMean,
}

/// A first run that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct OngoingRun {
    /// The class of its request.
    pub class: ClassId,
    /// Its run time ratio: at its end if a progress report predicts that, else so far.
    pub run_ratio: f64,
    /// Whether a progress report predicts its end.
    pub end_is_predicted: bool,
}

/// A request that waits to be sent.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Its rank; the request with the highest rank is sent first.
    pub rank: f64,
    /// Its id.
    pub id: RequestId,
}

/// What is to be done for a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DueAction {
    /// Send the final response: a rejection or a failure.
    Respond,
    /// Cancel an attempt at the timeout.
    Cancel(AttemptNo),
}
