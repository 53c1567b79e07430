//! The ways in which a rule can be broken.

/// A rule that was broken. Times are milliseconds.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// No final answer in time.
    #[error("{id}: no final answer, due at {due:.0}")]
    Unanswered {
        /// The request.
        id: String,
        /// When it was due.
        due: f64,
    },
    /// More than one final answer.
    #[error("{id}: a second final answer")]
    AnsweredTwice {
        /// The request.
        id: String,
    },
    /// A final answer after the deadline.
    #[error("{id}: answered {by:.0} ms late")]
    AnsweredLate {
        /// The request.
        id: String,
        /// How late.
        by: f64,
    },
    /// Served, though no engine served it.
    #[error("{id}: served, though no engine served it")]
    ServedByNoEngine {
        /// The request.
        id: String,
    },
    /// Two attempts of one request ran at a time.
    #[error("{id}: in flight on {} and {} at a time", .engines[0], .engines[1])]
    ConcurrentAttempts {
        /// The request.
        id: String,
        /// Where the earlier and the later attempt ran.
        engines: [String; 2],
    },
    /// A request that must not run twice was sent again though it may have run.
    #[error("{id}: sent again though it may have run")]
    RanTwice {
        /// The request.
        id: String,
    },
    /// A request that must not run twice was rejected though it may have run: its client may retry.
    #[error("{id}: rejected though it may have run")]
    RejectedAfterRun {
        /// The request.
        id: String,
    },
    /// New work for an engine that drains or is gone.
    #[error("{id}: sent to {engine} {after:.0} ms after it was listed as draining or gone")]
    SentToDraining {
        /// The request.
        id: String,
        /// The engine.
        engine: String,
        /// How long after its forwarder learned of it.
        after: f64,
    },
    /// More retries than the budget allows.
    #[error("{via}: {made} retries at {at:.0}, {allowed:.1} allowed")]
    RetryBudgetExceeded {
        /// The forwarder.
        via: String,
        /// The end of the window.
        at: f64,
        /// Retries in the window.
        made: usize,
        /// Retries allowed in it.
        allowed: f64,
    },
    /// An engine that was warming up received more than it can bear.
    #[error("{engine}: sent {times:.2} times what it can bear, at {at:.0}")]
    Overloaded {
        /// The engine.
        engine: String,
        /// The end of the window.
        at: f64,
        /// Work in the window over what the engine can bear.
        times: f64,
    },
}
