//! The generation file beside a store: how often the store was started, and which file it was at that time.
//!
//! A store that was copied or restored from a backup has another inode or an older start count than its generation file
//! states. What follows from that is decided by the caller.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::os::unix::fs::MetadataExt as _;
use std::path::{Path, PathBuf};

use crate::error::{Corruption, IoContext as _, StorageError, sync_directory};

/// Appended to the name of the store.
const SUFFIX: &str = ".seal";
/// Appended to the name of the generation file while its successor is written.
const STAGED_SUFFIX: &str = ".staged";
/// Bits by which the device number is rotated, so that it does not overlap the usual range of inode numbers.
const DEVICE_ROTATION: u32 = 40;

/// The contents of a generation file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation {
    /// How often a process was started on the store.
    pub starts: u64,
    /// The store's [`file_id`] at its last start.
    pub file_id: u64,
}

/// Identifies a file on this machine by its inode and device; a copy has another id.
///
/// # Errors
/// [`StorageError::Io`] if the metadata cannot be read.
pub fn file_id(store: &Path) -> Result<u64, StorageError> {
    let metadata = fs::metadata(store).context(store, "read the metadata")?;
    Ok(metadata.ino() ^ metadata.dev().rotate_left(DEVICE_ROTATION))
}

/// Reads the generation file of this store; `None` if there is none.
///
/// # Errors
/// [`StorageError::Io`] if it cannot be read, [`StorageError::Corrupt`] if it does not hold two numbers.
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

/// Replaces the generation file of this store atomically and syncs it.
///
/// # Errors
/// [`StorageError::Io`] if it cannot be written, renamed or synced; the earlier file is then still there or already replaced.
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
