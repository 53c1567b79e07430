//! Errors of the protocol: why a line is invalid.

use gaugestep_dispatch::interface::SettingsError;
use gaugestep_settings::SettingError;

use crate::fields::FieldError;

/// An invalid line, with its number in the input.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct WireError {
    /// The number of the line, counted from 1.
    pub line: usize,
    /// Why the line is invalid.
    pub source: LineError,
}

/// Why a line is invalid.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The line has fields but no message name.
    #[error("the message has no name")]
    NoName,
    /// The protocol has no message with this name.
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// Another message comes before the last `item` line of a list.
    #[error("'{0}' where lines 'item' of a list are due")]
    ItemExpected(String),
    /// An `item` line follows no `define_list` line, or exceeds the number of entries that it announced.
    #[error("'item' outside a list")]
    ItemOutsideList,
    /// A message precedes the `tick` line that opens a batch.
    #[error("'{0}' outside a batch")]
    OutsideBatch(String),
    /// A `tick` line comes while a batch is open.
    #[error("'tick' inside a batch")]
    TickInsideBatch,
    /// The input ends before the `eob` line that closes the batch.
    #[error("the input ends inside a batch")]
    EndInsideBatch,
    /// The message is for a dispatcher that was not started or has been shut down.
    #[error("'{message}' for dispatcher {dispatcher}, which is not running")]
    NotRunning {
        /// The name of the message.
        message: &'static str,
        /// The id of the dispatcher.
        dispatcher: u64,
    },
    /// No `define_list` line has defined the list with this number.
    #[error("list {0} is not defined")]
    UndefinedList(u64),
    /// The protocol has no such kind of discovery.
    #[error("unknown kind '{0}'")]
    UnknownKind(String),
    /// The protocol has no such readiness.
    #[error("unknown readiness '{0}'")]
    UnknownReadiness(String),
    /// The protocol has no such status of an attempt or probe.
    #[error("unknown verdict {0}")]
    UnknownVerdict(u64),
    /// The settings have no class with this index.
    #[error("field 'category' is {0}, which is no class")]
    UnknownClass(usize),
    /// The settings are not JSON.
    #[error("field 'profile_data' is not JSON: {0}")]
    ProfileNotJson(#[source] serde_json::Error),
    /// A setting is malformed.
    #[error(transparent)]
    Setting(#[from] SettingError),
    /// The dispatcher rejects the settings.
    #[error(transparent)]
    UnusableSettings(#[from] SettingsError),
}
