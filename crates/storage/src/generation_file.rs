//! The generation file next to a store: the number of starts of the store, and the identity of its file at
//! the last start.
//!
//! A store that was copied or restored from a backup has another inode or a lower start count than its
//! generation file. The embedder decides whether such a store may be used.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::os::unix::fs::MetadataExt as _;
use std::path::{Path, PathBuf};

use crate::error::{Corruption, IoContext as _, StorageError, sync_directory};

/// Suffix that is appended to the name of the store.
const SUFFIX: &str = ".seal";
/// Suffix that is appended to the name of the generation file while a new one is written.
const STAGED_SUFFIX: &str = ".staged";
/// The number of bits by which the device number is rotated, so that it does not overlap the usual range of
/// inode numbers.
const DEVICE_ROTATION: u32 = 40;

/// The contents of a generation file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation {
    /// The number of process starts with this store.
    pub starts: u64,
    /// The [`file_id`] of the store at its last start.
    pub file_id: u64,
}

/// Identifies the file of a store on this machine by its inode and device. A copy of the file has another id.
///
/// # Errors
/// [`StorageError::Io`] if the metadata cannot be read.
pub fn file_id(store: &Path) -> Result<u64, StorageError> {
    let metadata = fs::metadata(store).context(store, "read the metadata")?;
    Ok(metadata.ino() ^ metadata.dev().rotate_left(DEVICE_ROTATION))
}

/// Reads the generation file of this store; `None` if the file does not exist.
///
/// # Errors
/// [`StorageError::Io`] if the file cannot be read, [`StorageError::Corrupt`] if it does not contain two
/// numbers.
pub fn read(store: &Path) -> Result<Option<Generation>, StorageError> {
    let path = generation_path(store);
    let text = match fs::read_to_string(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        text => text.context(&path, "read the generation")?,
    };
    let mut numbers = text.split_whitespace().map(str::parse::<u64>);
    match (numbers.next(), numbers.next(), numbers.next()) {
        (Some(Ok(starts)), Some(Ok(file_id)), None) => Ok(Some(Generation { starts, file_id })),
        _ => Err(StorageError::corrupt(&path, Corruption::InvalidGeneration)),
    }
}

/// Atomically replaces the generation file of this store, and syncs it.
///
/// # Errors
/// [`StorageError::Io`] if the file cannot be written, renamed or synced. The earlier file may have been
/// replaced then.
pub fn write(store: &Path, generation: Generation) -> Result<(), StorageError> {
    let path = generation_path(store);
    let staged = with_suffix(&path, STAGED_SUFFIX);
    let mut file = File::create(&staged).context(&staged, "create the file")?;
    writeln!(file, "{} {}", generation.starts, generation.file_id)
        .context(&staged, "write the generation")?;
    file.sync_all().context(&staged, "sync the generation")?;
    fs::rename(&staged, &path).context(&path, "replace the generation")?;
    let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    sync_directory(directory.unwrap_or(Path::new(".")))
}

fn generation_path(store: &Path) -> PathBuf {
    with_suffix(store, SUFFIX)
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}
