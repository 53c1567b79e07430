//! Requests, their attempts and the engines that serve them, as a forwarder knows them.

use std::time::Duration;

use gaugestep_clock::Timestamp;

/// The number of an engine in the forwarder's engine list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u32);

/// The state of an engine in the forwarder's engine list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Whether the engine accepts new attempts; otherwise it drains.
    pub up: bool,
    /// The zone of the engine.
    pub zone: u64,
    /// The cell of the engine.
    pub cell: u64,
}

/// Whether a request may run twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// The request may run any number of times.
    Safe,
    /// Engines within a scope recognise and discard repeats for a limited time.
    Deduplicated {
        /// The engines that recognise repeats.
        scope: DeduplicationScope,
        /// How long after the start of an attempt its repeats are recognised.
        window: Duration,
    },
    /// The request must never run twice.
    Unsafe,
}

/// The set of engines that recognise repeats of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

impl DeduplicationScope {
    /// Whether the engine `second` recognises a repeat of an attempt on the engine `first`. `first` is `None`
    /// if it is no longer listed, as its zone and cell are then unknown.
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
    /// Whether the request may run twice.
    pub effect: Effect,
    /// The time by which the final response must be sent.
    pub deadline: Timestamp,
    /// The most attempts that the request may have.
    pub max_attempts: usize,
    /// Further details for planners, as class, tenant and estimates.
    pub details: T,
}

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt was started and has not ended.
    InFlight,
    /// The attempt has ended and is proved never to have run.
    NeverRan,
    /// The attempt has ended, and it has run, may have run, or may still be running.
    MayHaveRun,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The engine sent the result.
    Served,
    /// The attempt failed and is proved never to have run.
    NeverRan,
    /// The attempt failed and may have run.
    MayHaveRun,
}

/// An attempt of a request, as reported to planners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// The engine to which the attempt was sent.
    pub engine: EngineId,
    /// The time at which the attempt was started.
    pub started_at: Timestamp,
    /// The state of the attempt.
    pub state: AttemptState,
    /// The priority of the attempt, 0 to 3.
    pub priority: u8,
}

/// An open request at the forwarder.
#[derive(Clone, Debug)]
pub(super) struct Request<T> {
    pub info: RequestInfo<T>,
    pub attempts: Vec<Attempt>,
    /// Whether the final response was sent or the client has disconnected.
    pub finished: bool,
    /// The epoch under which the request was last registered with a planner; 0 if it never was.
    pub registered_epoch: u64,
}

impl<T> Request<T> {
    /// Returns the number of the attempt in flight; `None` if there is none.
    pub fn in_flight(&self) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Returns the attempts that are not proved never to have run.
    pub fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// Whether any attempt is not proved never to have run.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs().next().is_some()
    }

    /// Whether the request may be rejected, so that the client may retry it on any engine.
    pub fn is_rejectable(&self) -> bool {
        match self.info.effect {
            Effect::Safe | Effect::Deduplicated { scope: DeduplicationScope::All, .. } => true,
            Effect::Deduplicated { .. } | Effect::Unsafe => !self.may_have_run(),
        }
    }
}
