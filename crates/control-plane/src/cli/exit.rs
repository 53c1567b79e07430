//! How a command ends: the exit code of one that ran to its end, or the error of one that did not.

use std::path::PathBuf;
use std::process::ExitCode;

use gaugestep_config::RejectReason;
use gaugestep_config::text::TextError;

use crate::cli::admin_client::CallError;
use crate::cli::serve::ServeError;
use crate::text_file::TextFileError;

/// The result of a command that ran to its end, as its exit code states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Exit code 0: done, or nothing to complain of.
    Success,
    /// Exit code 1: the answer is a negative one, such as a document with faults. Errors have this code too.
    Negative,
    /// Exit code 3: the version that is watched was halted or superseded.
    RolloutStopped,
    /// Exit code 4: the version that is watched did not get anywhere within the time given.
    TimedOut,
}

impl ExitStatus {
    /// [`ExitStatus::Negative`] if the condition holds.
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

/// Why a command could not run to its end. The message is the line that is printed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The service did not carry out the call.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A publication may or may not have happened; the same command under the same key settles it.
    #[error("{source} (the same again: --once {key})")]
    Publish {
        /// The key of the publication.
        key: String,
        /// What became of the call.
        source: CallError,
    },
    /// A file cannot be read.
    #[error(transparent)]
    TextFile(#[from] TextFileError),
    /// A document has a fault, for which the service would reject it.
    #[error("{}: {reason}", path.display())]
    InvalidDocument {
        /// The file of the document.
        path: PathBuf,
        /// Its first fault.
        #[source]
        reason: RejectReason,
    },
    /// A document of the service cannot be printed.
    #[error(transparent)]
    PrintDocument(TextError),
    /// `--hold` is negative, or absurdly long.
    #[error("the seconds to hold must be 0 or more")]
    InvalidHold,
    /// The service cannot be started.
    #[error(transparent)]
    Serve(#[from] ServeError),
}

/// What a command returns.
pub type CommandResult = Result<ExitStatus, CommandError>;
