//! Plain records of requests, their attempts and what is remembered of classes; nothing is decided here.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{
    AttemptNo, ClassId, EngineId, Idempotency, Millis, NewRequest, OrderKey, Outcome, RequestId,
};
use crate::stats::{LogFactor, LogMean, Mean};

/// The requests that are open, or have attempts without outcome, by id.
pub type Requests = BTreeMap<RequestId, Request>;

/// The share of its work that an attempt had done at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// The share, from 0 to 1.
    pub done: f64,
    /// When it was reported.
    pub at: Millis,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// When it was sent.
    pub sent_at: Millis,
    /// How it ended, if it has.
    pub outcome: Option<Outcome>,
    /// True if it was cancelled because it ran past its class's timeout.
    pub timeout_cancelled: bool,
    /// Its latest progress report.
    pub progress: Option<Progress>,
}

impl Attempt {
    /// An attempt that starts at this time.
    pub fn new(engine: EngineId, sent_at: Millis) -> Self {
        Attempt { engine, sent_at, outcome: None, timeout_cancelled: false, progress: None }
    }

    /// Takes a progress report.
    pub fn on_progress(&mut self, share: f64, now: Millis) {
        self.progress = Some(Progress { done: share.clamp(0.0, 1.0), at: now });
    }

    /// The time left, extrapolated from the latest progress report.
    pub fn time_left(&self) -> Option<Millis> {
        self.progress.map(|it| (it.at - self.sent_at) / it.done.max(1e-3) * (1.0 - it.done))
    }

    /// Whether it ended without having run.
    pub fn never_ran(&self) -> bool {
        self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request that is not finished, or has attempts without outcome.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as its client made it.
    pub new: NewRequest,
    /// When it arrived.
    pub arrived_at: Millis,
    /// The part of it that is taken to be within its tenant's quota, from 0 to 1.
    pub in_quota: f64,
    /// True if its first run is never cancelled at the timeout.
    pub exempt_from_timeout: bool,
    /// True if it has its final answer, or needs none.
    pub finished: bool,
    /// Attempts that it may have at most, by the settings in force when it arrived.
    pub max_attempts: usize,
    /// Its attempts in the order of sending.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// A request without attempts, within quota and subject to the timeout.
    pub fn new(new: NewRequest, arrived_at: Millis, max_attempts: usize) -> Self {
        let (in_quota, exempt_from_timeout, finished) = (1.0, false, false);
        Request {
            new,
            arrived_at,
            in_quota,
            exempt_from_timeout,
            finished,
            max_attempts,
            attempts: Vec::new(),
        }
    }

    /// Brings its deadline forward to this time, if it is later.
    pub fn bring_forward(&mut self, at: Millis) {
        self.new.deadline = self.new.deadline.min(at);
    }

    /// The attempts without outcome, with their numbers.
    pub fn live(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.outcome.is_none())
    }

    /// The attempts without outcome that were not cancelled at the timeout, with their numbers.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.live().filter(|(_, attempt)| !attempt.timeout_cancelled)
    }

    /// Whether nothing is to be waited for before its next attempt.
    pub fn is_waiting(&self) -> bool {
        !self.finished && self.running().next().is_none()
    }

    /// Whether no attempt is without outcome.
    pub fn is_idle(&self) -> bool {
        self.live().next().is_none()
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.never_ran())
    }

    /// Until when one more attempt may follow the first `count`: engines that drop repeats do so for a while only, from
    /// the first attempt on that may have run.
    pub fn repeat_until(&self, effect: Idempotency, count: usize) -> Millis {
        let lasts = match effect {
            Idempotency::Safe => f64::INFINITY,
            Idempotency::Keyed(_, window) => window,
            Idempotency::Unsafe => f64::NEG_INFINITY,
        };
        let may_have_run = self.attempts.iter().take(count).filter(|attempt| !attempt.never_ran());
        may_have_run.map(|attempt| attempt.sent_at + lasts).fold(f64::INFINITY, f64::min)
    }

    /// Whether an attempt before this one was cancelled at the timeout, which makes this one the relaunch.
    pub fn is_relaunch(&self, attempt: usize) -> bool {
        self.attempts.iter().take(attempt).any(|attempt| attempt.timeout_cancelled)
    }
}

/// The requests of one order key.
#[derive(Debug, Default)]
pub struct OrderedQueue {
    /// Their ids, in the order of arrival.
    pub ids: VecDeque<RequestId>,
    /// Until when the next one must wait.
    pub paused_until: Millis,
}

/// The queues of all keys of ordered classes. A request without a key is in none.
#[derive(Debug, Default)]
pub struct OrderedQueues(BTreeMap<OrderKey, OrderedQueue>);

impl OrderedQueues {
    /// The queue of a key.
    pub fn get(&self, key: Option<&OrderKey>) -> Option<&OrderedQueue> {
        self.0.get(key?)
    }

    /// Puts a request at the end of its key's queue.
    pub fn push(&mut self, key: Option<&OrderKey>, id: &RequestId) {
        if let Some(key) = key {
            self.0.entry(key.clone()).or_default().ids.push_back(id.clone());
        }
    }

    /// Lets a key's next request wait until then.
    pub fn pause(&mut self, key: Option<&OrderKey>, until: Millis) {
        if let Some(queue) = key.and_then(|key| self.0.get_mut(key)) {
            queue.paused_until = until;
        }
    }

    /// Takes a request out of its key's queue.
    pub fn remove(&mut self, key: Option<&OrderKey>, id: &RequestId) {
        if let Some(queue) = key.and_then(|key| self.0.get_mut(key)) {
            queue.ids.retain(|other| other != id);
        }
    }

    /// Drops the queues that are empty and not paused.
    pub fn prune(&mut self, now: Millis) {
        self.0.retain(|_, queue| !queue.ids.is_empty() || queue.paused_until > now);
    }
}

/// The end of a first run.
#[derive(Clone, Copy, Debug)]
pub struct FirstRun {
    /// The histogram bin of its time.
    pub bin: usize,
    /// Whether it was served; if not, its time is a lower bound.
    pub served: bool,
}

/// The run times of one class.
#[derive(Debug, Default)]
pub struct RunHistory {
    /// Recent first runs.
    pub first_runs: VecDeque<FirstRun>,
    /// Times of relaunches, in the histogram's unit.
    pub relaunches: Mean,
    /// Past this a first run is cancelled, in the histogram's unit; none where no run is.
    pub timeout: Option<f64>,
    /// The expected time of a relaunch, in the histogram's unit.
    pub expected_relaunch: f64,
}

impl RunHistory {
    /// The timeout as a line for the log.
    pub fn timeout_line(&self, class: ClassId) -> String {
        match self.timeout {
            Some(timeout) => format!("class {}: timeout at {timeout:.2} times the estimate", class.0),
            None => format!("class {}: no timeout", class.0),
        }
    }
}

/// What the answers of one class tell of its work.
#[derive(Debug, Default)]
pub struct ClassWork {
    /// True over estimated work.
    pub estimate_bias: LogMean,
    /// True work over the work that is assumed where nothing is known.
    pub learned: LogMean,
    /// Run time over true work per thread.
    pub stretch: LogMean,
    /// Needed over estimated memory.
    pub memory: LogFactor,
    /// The work of its requests, as estimated.
    pub work: Mean,
}

/// A first run that goes on.
#[derive(Clone, Copy, Debug)]
pub struct OngoingRun {
    /// Its class.
    pub class: ClassId,
    /// Its time so far, or at its end where a progress report tells that, in the histogram's unit.
    pub ratio: f64,
    /// Whether that is its end.
    pub end_known: bool,
}

/// A request that waits to be sent.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its rank; the highest goes first.
    pub rank: f64,
    /// Its id.
    pub id: RequestId,
}

/// What is due for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Due {
    /// Its final answer: a rejection or a failure.
    Answer,
    /// The cancellation of an attempt at the timeout.
    Cancel(AttemptNo),
}
