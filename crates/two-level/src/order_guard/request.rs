//! Requests, their attempts, and the engines that serve them, as a forwarder knows them.

use std::time::Duration;

use gaugestep_clock::Timestamp;

/// An engine, by the number that the forwarder's engine list gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u32);

/// An engine as the forwarder's engine list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Whether it accepts work; otherwise it drains.
    pub up: bool,
    /// Its zone.
    pub zone: u64,
    /// Its cell.
    pub cell: u64,
}

/// Whether running a request twice does harm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// It may be repeated.
    Safe,
    /// Engines within a scope recognise and drop repeats.
    Deduplicated {
        /// Which engines.
        scope: DeduplicationScope,
        /// For how long, from the first attempt that may have run.
        window: Duration,
    },
    /// It must never run twice.
    Unsafe,
}

/// Which engines recognise repeats of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

impl DeduplicationScope {
    /// Whether an engine recognises a repeat of an attempt at another one, which is `None` if it has gone: nobody knows its
    /// zone and cell any more.
    pub(super) fn covers(self, first: Option<&Engine>, second: &Engine) -> bool {
        match (self, first) {
            (DeduplicationScope::All, _) => true,
            (DeduplicationScope::Zone | DeduplicationScope::Cell, None) => false,
            (DeduplicationScope::Zone, Some(first)) => first.zone == second.zone,
            (DeduplicationScope::Cell, Some(first)) => first.cell == second.cell,
        }
    }
}

/// A request as it arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo<T> {
    /// Whether it may be repeated.
    pub effect: Effect,
    /// When the final answer is due.
    pub deadline: Timestamp,
    /// How many attempts it may have.
    pub max_attempts: usize,
    /// What else a planner needs to know: class, tenant, estimates.
    pub details: T,
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It was started and has not ended.
    InFlight,
    /// It has ended, and is proved never to have run.
    NeverRan,
    /// It has ended, and has run, may have run, or may still be running.
    MayHaveRun,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The engine answered.
    Served,
    /// It failed, and is proved never to have run.
    NeverRan,
    /// It failed otherwise.
    MayHaveRun,
}

/// One attempt, as another planner must know it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// When it was started.
    pub started_at: Timestamp,
    /// How far it is.
    pub state: AttemptState,
    /// Its priority.
    pub priority: u8,
}

/// An open request at the forwarder.
#[derive(Clone, Debug)]
pub(super) struct Request<T> {
    pub info: RequestInfo<T>,
    pub attempts: Vec<Attempt>,
    /// It has its final answer, or nobody waits for one.
    pub finished: bool,
    /// The epoch under which it was last registered with a planner; 0 before the first time.
    pub registered_epoch: u64,
}

impl<T> Request<T> {
    /// The number of the attempt that is in flight.
    pub fn in_flight(&self) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Attempts that are not proved never to have run.
    pub fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.state != AttemptState::NeverRan)
    }

    pub fn may_have_run(&self) -> bool {
        self.possible_runs().next().is_some()
    }

    /// Whether the client may be invited to send the request again.
    pub fn is_rejectable(&self) -> bool {
        match self.info.effect {
            Effect::Safe | Effect::Deduplicated { scope: DeduplicationScope::All, .. } => true,
            Effect::Deduplicated { .. } | Effect::Unsafe => !self.may_have_run(),
        }
    }
}
