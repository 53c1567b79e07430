//! Records of events at clients, engines and engine lists, written as one JSON object per line. Times are
//! milliseconds on one clock for all processes.

use serde::{Deserialize, Serialize};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestOutcome {
    /// The client received the complete result.
    Served,
    /// The request was rejected: the client may safely retry it.
    Rejected,
    /// The request failed; it may or may not have run.
    Failed,
}

/// How an attempt ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AttemptOutcome {
    /// The engine sent the complete result.
    Served,
    /// The engine sent an error; the query may have run.
    Failed,
    /// The engine rejected the attempt, which never ran.
    Rejected,
    /// The forwarder cancelled the attempt or closed the connection.
    Cancelled,
    /// The engine died or broke the connection.
    Broken,
}

impl AttemptOutcome {
    /// Whether the attempt is proved never to have run.
    pub fn never_ran(self) -> bool {
        self == AttemptOutcome::Rejected
    }
}

/// The phase of an engine in the engine list of a forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The engine accepts work.
    Serving,
    /// The engine completes its queries in flight and must not be sent new ones.
    Draining,
    /// The engine is no longer listed.
    Gone,
}

/// An event that a client, an engine, a forwarder or the test has recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Record {
    /// A client has sent a complete request.
    Requested {
        /// The time of the event.
        at: f64,
        /// The forwarder or proxy that received it.
        via: String,
        /// The id of the request.
        id: String,
        /// The class of the request.
        class: String,
        /// Milliseconds that the client waits for the final response.
        budget: f64,
    },
    /// The client has received the complete final response.
    #[serde(rename = "answered")]
    Responded {
        /// The time of the event.
        at: f64,
        /// The id of the request.
        id: String,
        /// How the request ended.
        #[serde(rename = "how")]
        outcome: RequestOutcome,
    },
    /// The client closed its connection; no response is required any more.
    ClientGone {
        /// The time of the event.
        at: f64,
        /// The id of the request.
        id: String,
    },
    /// The test killed a forwarder; its open requests require no response any more.
    ForwarderKilled {
        /// The time of the event.
        at: f64,
        /// The forwarder.
        via: String,
    },
    /// An engine has received a complete command.
    AttemptStarted {
        /// The time of the event.
        at: f64,
        /// The engine.
        engine: String,
        /// The forwarder or proxy that sent it.
        via: String,
        /// The id of the request.
        id: String,
        /// The work of the attempt, in milliseconds on one core.
        work: f64,
    },
    /// An attempt has ended at its engine.
    AttemptEnded {
        /// The time of the event.
        at: f64,
        /// The engine.
        engine: String,
        /// The id of the request.
        id: String,
        /// How the attempt ended.
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
    },
    /// A forwarder learned the phase of an engine.
    EngineListed {
        /// The time of the event.
        at: f64,
        /// The forwarder or proxy.
        via: String,
        /// The engine.
        engine: String,
        /// The phase of the engine.
        phase: Phase,
    },
    /// An engine has started and is warming up.
    EngineStarted {
        /// The time of the event.
        at: f64,
        /// The engine.
        engine: String,
        /// The number of cores that the engine has when it is warm.
        cores: f64,
    },
}

impl Record {
    /// Returns the time of the event.
    pub fn at(&self) -> f64 {
        match self {
            Record::Requested { at, .. }
            | Record::Responded { at, .. }
            | Record::ClientGone { at, .. }
            | Record::ForwarderKilled { at, .. }
            | Record::AttemptStarted { at, .. }
            | Record::AttemptEnded { at, .. }
            | Record::EngineListed { at, .. }
            | Record::EngineStarted { at, .. } => *at,
        }
    }
}

/// A line that cannot be parsed as a record.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct ReadError {
    /// The number of the line, from 1.
    pub line: usize,
    /// The JSON error.
    pub source: serde_json::Error,
}

/// Parses records, one per line. Empty lines are skipped.
///
/// # Errors
///
/// Returns an error for the first line that cannot be parsed.
pub fn read(text: &str) -> Result<Vec<Record>, ReadError> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(index, line)| {
            serde_json::from_str(line).map_err(|source| ReadError { line: index + 1, source })
        })
        .collect()
}

/// Encodes records as JSON, one per line.
///
/// # Panics
///
/// Never: every record can be encoded as JSON.
pub fn write(records: &[Record]) -> String {
    let line = |record| serde_json::to_string(record).expect("every record can be encoded as JSON") + "\n";
    records.iter().map(line).collect()
}
