//! Files that operators write: messages of the schema as protobuf text format.

use std::io;
use std::path::{Path, PathBuf};

use gaugestep_config::text::{self, TextError};
use prost::Message;

/// Why a file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum TextFileError {
    /// The file is not there, or its content is no text.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// The text is no such message.
    #[error("{}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where in the text.
        source: TextError,
    },
}

/// Reads a message of the schema, such as `Document`, from a file of protobuf text format.
///
/// # Errors
///
/// If the file cannot be read, or is no such message; fields that the schema does not have are errors.
pub fn read_text_file<M: Message + Default>(message: &str, path: &Path) -> Result<M, TextFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| TextFileError::Read { path: path.to_owned(), source })?;
    text::read(message, &text).map_err(|source| TextFileError::Parse { path: path.to_owned(), source })
}
