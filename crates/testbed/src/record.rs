//! What clients, engines and lists record, one JSON object a line. Times are milliseconds of one clock that all share.

use serde::{Deserialize, Serialize};

/// The final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestOutcome {
    /// The complete result.
    Served,
    /// A rejection: a retry by the client does no harm.
    Rejected,
    /// A failure.
    Failed,
}

/// How an attempt ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AttemptOutcome {
    /// The result was written.
    Served,
    /// An error was written; the query may have run.
    Failed,
    /// It was rejected, and never ran.
    Rejected,
    /// The forwarder cancelled it, or closed its connection.
    Cancelled,
    /// The engine died, or broke the connection.
    Broken,
}

impl AttemptOutcome {
    /// Whether it is proved that the attempt did nothing.
    pub fn never_ran(self) -> bool {
        self == AttemptOutcome::Rejected
    }
}

/// The state of an engine in a forwarder's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes work.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Record {
    /// A client has sent a complete request.
    Requested {
        /// When.
        at: f64,
        /// The forwarder or proxy that it was sent to.
        via: String,
        /// The request.
        id: String,
        /// Its class.
        class: String,
        /// How long the client waits, in milliseconds.
        budget: f64,
    },
    /// The client has the complete final answer.
    #[serde(rename = "answered")]
    Responded {
        /// When.
        at: f64,
        /// The request.
        id: String,
        /// The answer.
        #[serde(rename = "how")]
        outcome: RequestOutcome,
    },
    /// The client closed its connection, and is owed nothing more.
    ClientGone {
        /// When.
        at: f64,
        /// The request.
        id: String,
    },
    /// The test killed a forwarder: its open requests are owed nothing.
    ForwarderKilled {
        /// When.
        at: f64,
        /// Which.
        via: String,
    },
    /// An engine has received a complete command.
    AttemptStarted {
        /// When.
        at: f64,
        /// The engine.
        engine: String,
        /// The forwarder or proxy that sent it.
        via: String,
        /// The request.
        id: String,
        /// Its work on one core, in milliseconds.
        work: f64,
    },
    /// An attempt has ended at its engine.
    AttemptEnded {
        /// When.
        at: f64,
        /// The engine.
        engine: String,
        /// The request.
        id: String,
        /// How.
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
    },
    /// A forwarder learned the state of an engine.
    EngineListed {
        /// When.
        at: f64,
        /// The forwarder or proxy.
        via: String,
        /// The engine.
        engine: String,
        /// Its state.
        phase: Phase,
    },
    /// An engine has started, and is warming up.
    EngineStarted {
        /// When.
        at: f64,
        /// The engine.
        engine: String,
        /// Its cores, once it is warm.
        cores: f64,
    },
}

impl Record {
    /// When it happened.
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

/// A line that is no record.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct ReadError {
    /// Its number, counted from 1.
    pub line: usize,
    /// What is wrong with it.
    pub source: serde_json::Error,
}

/// Reads records, one a line; empty lines are skipped.
///
/// # Errors
///
/// The first line that is no record.
pub fn read(text: &str) -> Result<Vec<Record>, ReadError> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(index, line)| {
            serde_json::from_str(line).map_err(|source| ReadError { line: index + 1, source })
        })
        .collect()
}

/// Writes records, one a line.
///
/// # Panics
///
/// Never: records hold nothing that JSON cannot express.
pub fn write(records: &[Record]) -> String {
    let line =
        |record| serde_json::to_string(record).expect("records hold nothing that JSON cannot express") + "\n";
    records.iter().map(line).collect()
}
