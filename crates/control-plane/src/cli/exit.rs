//! The exit codes of commands, and the errors that end them early.

use std::path::PathBuf;
use std::process::ExitCode;

use gaugestep_config::RejectReason;
use gaugestep_config::text::TextError;

use crate::cli::admin_client::CallError;
use crate::cli::serve::ServeError;
use crate::text_file::TextFileError;

/// The result of a command that completed, which determines its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Exit code 0: the command succeeded.
    Success,
    /// Exit code 1: the result is negative, for example an invalid document. Errors have the same code.
    Negative,
    /// Exit code 3: the watched rollout was halted or superseded.
    RolloutStopped,
    /// Exit code 4: the watched rollout did not end within the given time.
    TimedOut,
}

impl ExitStatus {
    /// Returns [`ExitStatus::Negative`] if `negative` is true, [`ExitStatus::Success`] otherwise.
    #[must_use]
    pub fn negative_if(negative: bool) -> Self {
        if negative { Self::Negative } else { Self::Success }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Success => ExitCode::from(0),
            ExitStatus::Negative => ExitCode::from(1),
            ExitStatus::RolloutStopped => ExitCode::from(3),
            ExitStatus::TimedOut => ExitCode::from(4),
        }
    }
}

/// Why a command could not complete. The message is printed as one line.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A call to the control servers failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A publication failed, or its outcome is unknown. The same command with the same key is safe to repeat.
    #[error("{source} (to retry the same publication: --once {key})")]
    Publish {
        /// The idempotency key of the publication.
        key: String,
        /// The error of the call.
        source: CallError,
    },
    /// A file cannot be read.
    #[error(transparent)]
    TextFile(#[from] TextFileError),
    /// A document is invalid, so that the control servers would reject it.
    #[error("{}: {reason}", path.display())]
    InvalidDocument {
        /// The file of the document.
        path: PathBuf,
        /// The first fault that was found.
        #[source]
        reason: RejectReason,
    },
    /// A document from a control server cannot be printed as text.
    #[error(transparent)]
    PrintDocument(TextError),
    /// The value of `--hold` is out of range.
    #[error("the value of --hold must be a number of seconds from 0 to 1e9")]
    InvalidHold,
    /// The control server cannot run.
    #[error(transparent)]
    Serve(#[from] ServeError),
}

/// The result of a command.
pub type CommandResult = Result<ExitStatus, CommandError>;
