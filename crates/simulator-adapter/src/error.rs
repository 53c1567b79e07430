//! Why a line of the protocol cannot be taken.

use gaugestep_dispatch::interface::SettingsError;
use gaugestep_settings::SettingError;

use crate::fields::FieldError;

/// A malformed line, with its number on the input.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct WireError {
    /// The number of the line, counted from 1.
    pub line: usize,
    /// What is wrong with it.
    pub source: LineError,
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// A field is missing or has a bad value.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// Fields without a message.
    #[error("the message has no name")]
    NoName,
    /// No message of the protocol.
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// Another message between the lines of a list.
    #[error("'{0}' where lines 'item' of a list are due")]
    ItemExpected(String),
    /// A line of a list where no list is open.
    #[error("'item' outside a list")]
    ItemOutsideList,
    /// A message before the line that opens a batch.
    #[error("'{0}' outside a batch")]
    OutsideBatch(String),
    /// A batch is opened while another one is open.
    #[error("'tick' inside a batch")]
    TickInsideBatch,
    /// The input ended before the line that closes the batch.
    #[error("the input ends inside a batch")]
    EndInsideBatch,
    /// A message for a dispatcher that was not started, or was shut down.
    #[error("'{message}' for dispatcher {dispatcher}, which is not running")]
    NotRunning {
        /// The name of the message.
        message: &'static str,
        /// The id of the dispatcher.
        dispatcher: u64,
    },
    /// A list that no line defined.
    #[error("list {0} is not defined")]
    UndefinedList(u64),
    /// A kind of discovery that the protocol does not have.
    #[error("unknown kind '{0}'")]
    UnknownKind(String),
    /// A readiness that the protocol does not have.
    #[error("unknown readiness '{0}'")]
    UnknownReadiness(String),
    /// A status of an attempt that the protocol does not have.
    #[error("unknown verdict {0}")]
    UnknownVerdict(u64),
    /// A class that the settings do not have.
    #[error("field 'category' is {0}, which is no class")]
    UnknownClass(usize),
    /// The settings are no JSON.
    #[error("field 'profile_data' is not JSON: {0}")]
    ProfileNotJson(#[source] serde_json::Error),
    /// A setting has the wrong type.
    #[error(transparent)]
    Setting(#[from] SettingError),
    /// The settings cannot be used together.
    #[error(transparent)]
    UnusableSettings(#[from] SettingsError),
}
