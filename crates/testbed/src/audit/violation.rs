//! The ways in which the rules can be violated.

/// A violation of a rule. Times are milliseconds on the clock of the records.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// A request without a final response.
    #[error("{id}: no final response, deadline at {deadline:.0}")]
    MissingResponse {
        /// The id of the request.
        id: String,
        /// The deadline of the client.
        deadline: f64,
    },
    /// More than one final response to a request.
    #[error("{id}: a second final response")]
    RespondedTwice {
        /// The id of the request.
        id: String,
    },
    /// A final response after the deadline.
    #[error("{id}: final response {late_by_ms:.0} ms late")]
    RespondedLate {
        /// The id of the request.
        id: String,
        /// Milliseconds from the deadline to the response.
        late_by_ms: f64,
    },
    /// A request that was served to its client, though no engine served it.
    #[error("{id}: served, though no engine served it")]
    ServedByNoEngine {
        /// The id of the request.
        id: String,
    },
    /// Two attempts of one request that were in flight at the same time.
    #[error("{id}: in flight on {} and {} at the same time", .engines[0], .engines[1])]
    ConcurrentAttempts {
        /// The id of the request.
        id: String,
        /// The engines of the earlier and of the later attempt.
        engines: [String; 2],
    },
    /// A request that must not run twice was sent again although it may have run.
    #[error("{id}: sent again although it may have run")]
    RanTwice {
        /// The id of the request.
        id: String,
    },
    /// A request that must not run twice was rejected although it may have run: its client may retry it.
    #[error("{id}: rejected although it may have run")]
    RejectedAfterRun {
        /// The id of the request.
        id: String,
    },
    /// A new attempt on an engine that drains or is gone.
    #[error("{id}: sent to {engine} {delay_ms:.0} ms after it was listed as draining or gone")]
    SentToDraining {
        /// The id of the request.
        id: String,
        /// The engine.
        engine: String,
        /// Milliseconds from when its forwarder learned of the phase to the attempt.
        delay_ms: f64,
    },
    /// More retries than the budget allows.
    #[error("{via}: {retries} retries at {at:.0}, {allowed:.1} allowed")]
    RetryBudgetExceeded {
        /// The forwarder.
        via: String,
        /// The end of the window.
        at: f64,
        /// Retries in the window.
        retries: usize,
        /// Retries allowed in the window.
        allowed: f64,
    },
    /// More work for an engine that was warming up than the slow start rule allows.
    #[error("{engine}: received {ratio:.2} times the allowed work, at {at:.0}")]
    Overloaded {
        /// The engine.
        engine: String,
        /// The end of the window.
        at: f64,
        /// The ratio of received to allowed work in the window.
        ratio: f64,
    },
}
