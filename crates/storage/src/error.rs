//! Errors of this crate.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// Why durable state could not be read or written. The message is one line that names the file and what was attempted.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// A call to the file system failed.
    #[error("{}: cannot {operation}: {source}", .path.display())]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// What was attempted, as a verb and its object.
        operation: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The embedded database failed.
    #[error("{}: cannot {operation}: {source}", .path.display())]
    Database {
        /// The database file.
        path: PathBuf,
        /// What was attempted, as a verb and its object.
        operation: &'static str,
        /// The error of the database.
        source: Box<redb::Error>,
    },
    /// Another process holds the lock of a directory.
    #[error("{}: another process holds the lock: {source}", .path.display())]
    Locked {
        /// The directory.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file was read, but its contents are not what was written.
    #[error("{}: {source}", .path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: Corruption,
    },
    /// A value is larger than its slot allows.
    #[error("{}: cannot stage a value of {len} bytes, at most {max_len} are allowed", .path.display())]
    TooLarge {
        /// The file that the value was meant for.
        path: PathBuf,
        /// Length of the value in bytes.
        len: usize,
        /// Largest length allowed, in bytes.
        max_len: usize,
    },
}

/// What is wrong with the contents of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// The file is shorter than its header.
    #[error("it is truncated within its header")]
    TruncatedHeader,
    /// The header does not begin with the expected mark.
    #[error("it has another format")]
    UnknownFormat,
    /// The file has fewer or more bytes than its header states.
    #[error("its length differs from the one in its header")]
    LengthMismatch,
    /// The bytes do not match the checksum.
    #[error("its checksum does not match")]
    ChecksumMismatch,
    /// A generation file does not consist of two decimal numbers.
    #[error("it does not hold two numbers")]
    InvalidGeneration,
}

impl StorageError {
    pub(crate) fn corrupt(path: &Path, source: Corruption) -> Self {
        StorageError::Corrupt { path: path.to_owned(), source }
    }
}

/// Adds the path and the operation to an I/O error.
pub(crate) trait IoContext<T> {
    /// `operation` completes the sentence "cannot ...".
    fn context(self, path: &Path, operation: &'static str) -> Result<T, StorageError>;
}

impl<T> IoContext<T> for io::Result<T> {
    fn context(self, path: &Path, operation: &'static str) -> Result<T, StorageError> {
        self.map_err(|source| StorageError::Io { path: path.to_owned(), operation, source })
    }
}

/// Makes renames within a directory durable.
pub(crate) fn sync_directory(path: &Path) -> Result<(), StorageError> {
    File::open(path).and_then(|directory| directory.sync_all()).context(path, "sync the directory")
}
