//! What clients, engines and lists record, one JSON object a line. Times are milliseconds of one clock that all share.

use serde::{Deserialize, Serialize};

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Answer {
    /// The whole result.
    Served,
    /// A refusal: coming again does no harm.
    Refused,
    /// A failure.
    Failed,
}

/// How an attempt ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// The result was written.
    Served,
    /// An error was written; it may have run.
    Errored,
    /// It was turned away, and never ran.
    Shed,
    /// The forwarder called it off, or closed its connection.
    Cancelled,
    /// The engine died, or broke the connection.
    Broken,
}

impl End {
    /// Whether it is proved that the attempt did nothing.
    pub fn never_ran(self) -> bool {
        self == End::Shed
    }
}

/// How an engine stands in a forwarder's list.
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
#[serde(tag = "what", rename_all = "lowercase")]
pub enum Record {
    /// A client's request has gone out whole.
    Asked {
        /// When.
        at: f64,
        /// To which forwarder or proxy.
        via: String,
        /// The request.
        id: String,
        /// Its class.
        class: String,
        /// How long the client waits, in milliseconds.
        budget: f64,
    },
    /// The client has a whole final answer.
    Answered {
        /// When.
        at: f64,
        /// The request.
        id: String,
        /// What it was told.
        how: Answer,
    },
    /// The client left, and is owed nothing more.
    Left {
        /// When.
        at: f64,
        /// The request.
        id: String,
    },
    /// The forwarder ended by no doing of its own (killed by the test): what it had open is owed nothing.
    Killed {
        /// When.
        at: f64,
        /// Which.
        via: String,
    },
    /// An engine has a whole command.
    Took {
        /// When.
        at: f64,
        /// The engine.
        engine: String,
        /// From which forwarder or proxy.
        via: String,
        /// The request.
        id: String,
        /// Its work on one core, in milliseconds.
        work: f64,
    },
    /// What the engine took has ended.
    Ended {
        /// When.
        at: f64,
        /// The engine.
        engine: String,
        /// The request.
        id: String,
        /// How.
        how: End,
    },
    /// A forwarder was told how an engine stands.
    Listed {
        /// When.
        at: f64,
        /// Which forwarder or proxy.
        via: String,
        /// The engine.
        engine: String,
        /// How it stands.
        phase: Phase,
    },
    /// An engine has started, and is cold.
    Started {
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
            Record::Asked { at, .. }
            | Record::Answered { at, .. }
            | Record::Left { at, .. }
            | Record::Killed { at, .. }
            | Record::Took { at, .. }
            | Record::Ended { at, .. }
            | Record::Listed { at, .. }
            | Record::Started { at, .. } => *at,
        }
    }
}

/// Reads records, one a line; the error names the line.
pub fn read(text: &str) -> Result<Vec<Record>, String> {
    let line = |(number, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|error| format!("line {}: {error}", number + 1))
    };
    text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()).map(line).collect()
}

/// Writes records, one a line.
pub fn write(records: &[Record]) -> String {
    // Records hold nothing that JSON cannot.
    records.iter().map(|record| serde_json::to_string(record).unwrap_or_default() + "\n").collect()
}
