//! What is remembered of requests, their attempts and their classes; nothing is decided here.

use std::collections::VecDeque;

use crate::interface::{Effect, EngineId, Millis, NewRequest, Outcome, RequestId};
use crate::stats::{Log, LogMean, Mean};

/// One attempt of a request.
pub struct Attempt {
    pub engine: EngineId,
    pub sent: Millis,
    pub ended: Option<Outcome>,
    /// Cancelled because it ran past tau.
    pub cut: bool,
    /// Latest share done, and when it was told.
    pub done: Option<(f64, Millis)>,
}

impl Attempt {
    /// The time left as the latest note tells it.
    pub fn left(&self) -> Option<Millis> {
        self.done.map(|(share, at)| (at - self.sent) / share.max(1e-3) * (1.0 - share))
    }
}

/// A request that is not finished, or has attempts without outcome.
pub struct Request {
    pub new: NewRequest,
    pub arrived: Millis,
    /// The part of it taken to be within its tenant's share.
    pub in_quota: f64,
    pub never_cut: bool,
    pub finished: bool,
    /// Attempts that it may have at most, by the settings that it came under.
    pub most: usize,
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// The attempts without outcome.
    pub fn live(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.ended.is_none())
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.ended.is_some_and(Outcome::never_ran))
    }

    /// Until when one more attempt may follow the first `count`: engines that drop repeats do so for a while only, from the
    /// first attempt on that may have run.
    pub fn repeat_until(&self, effect: Effect, count: usize) -> Millis {
        let lasts = match effect {
            Effect::Safe => f64::INFINITY,
            Effect::Keyed(_, window) => window,
            Effect::Unsafe => f64::NEG_INFINITY,
        };
        let ran = |attempt: &&Attempt| !attempt.ended.is_some_and(Outcome::never_ran);
        let ran = self.attempts.iter().take(count).filter(ran);
        ran.map(|attempt| attempt.sent + lasts).fold(f64::INFINITY, f64::min)
    }

    /// Whether an attempt before this one was cut, which makes it the rerun.
    pub fn cut_before(&self, attempt: usize) -> bool {
        self.attempts.iter().take(attempt).any(|attempt| attempt.cut)
    }
}

/// Requests of one key, in turn.
#[derive(Default)]
pub struct OrderedQueue {
    pub queue: VecDeque<RequestId>,
    pub rests_until: Millis,
}

/// What is known of one class.
#[derive(Default)]
pub struct Class {
    /// Recent first runs: bin, and whether it ran to its end.
    pub runs: VecDeque<(usize, bool)>,
    /// Times of reruns.
    pub reruns: Mean,
    /// Past this a first run is cut; none where nothing is.
    pub timeout: Option<f64>,
    /// Mean rerun, in the histogram's unit.
    pub rerun: f64,
    /// True over estimated work, and true work over `UNKNOWN_WORK`.
    pub bias: LogMean,
    /// See `bias`.
    pub learned: LogMean,
    /// Run time over true work per thread.
    pub stretch: LogMean,
    /// Needed over estimated memory.
    pub memory: Log,
    /// The work of its requests.
    pub work: Mean,
}
