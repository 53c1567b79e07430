//! Reads files in protobuf text format that operators write.

use std::io;
use std::path::{Path, PathBuf};

use gaugestep_config::text::{self, TextError};
use prost::Message;

/// Why a file cannot be read or parsed.
#[derive(Debug, thiserror::Error)]
pub enum TextFileError {
    /// The file cannot be read, or is not valid UTF-8.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The text is not a valid message of the expected type.
    #[error("{}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The cause, with its position in the text.
        source: TextError,
    },
}

/// Reads a message of the schema from a file in protobuf text format. `message` is the name of its type, such
/// as `Document`.
///
/// # Errors
///
/// [`TextFileError`] if the file cannot be read, or if its content is not a valid message of this type.
/// Unknown fields are errors.
pub fn read_text_file<M: Message + Default>(message: &str, path: &Path) -> Result<M, TextFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| TextFileError::Read { path: path.to_owned(), source })?;
    text::read(message, &text).map_err(|source| TextFileError::Parse { path: path.to_owned(), source })
}
