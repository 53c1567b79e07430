//! Errors of this crate.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// An error of reading or writing durable state. The message is one line with the file and the cause.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// A call to the file system failed.
    #[error("{}: cannot {operation}: {source}", .path.display())]
    Io {
        /// Path of the file or directory.
        path: PathBuf,
        /// The attempted operation, which completes the sentence "cannot ...".
        operation: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The embedded database failed.
    #[error("{}: cannot {operation}: {source}", .path.display())]
    Database {
        /// Path of the database file.
        path: PathBuf,
        /// The attempted operation, which completes the sentence "cannot ...".
        operation: &'static str,
        /// The error of the database.
        source: Box<redb::Error>,
    },
    /// Another process holds the lock on the directory.
    #[error("{}: another process holds the lock: {source}", .path.display())]
    Locked {
        /// Path of the directory.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file can be read, but its contents are not a complete value as it was written.
    #[error("{}: {source}", .path.display())]
    Corrupt {
        /// Path of the file.
        path: PathBuf,
        /// The fault in the contents.
        source: Corruption,
    },
    /// A value is larger than its slot allows.
    #[error("{}: cannot stage a value of {len} bytes, at most {max_len} are allowed", .path.display())]
    TooLarge {
        /// Path of the file to which the value would be written.
        path: PathBuf,
        /// Length of the value in bytes.
        len: usize,
        /// The maximum length in bytes.
        max_len: usize,
    },
}

/// A fault in the contents of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// The file is shorter than its header.
    #[error("it is truncated within its header")]
    TruncatedHeader,
    /// The header does not start with the expected magic bytes.
    #[error("it has another format")]
    UnknownFormat,
    /// The length of the value differs from the one in the header.
    #[error("its length differs from the one in its header")]
    LengthMismatch,
    /// The checksum of the value differs from the one in the header.
    #[error("its checksum does not match")]
    ChecksumMismatch,
    /// The generation file does not consist of two decimal numbers.
    #[error("it does not contain two numbers")]
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
