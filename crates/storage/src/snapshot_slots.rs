//! The current and the previous value of one owner, as checksummed files in one directory.
//!
//! A value is first staged under a name that [`SnapshotSlots::load`] ignores, written completely and synced, and then
//! committed by a rename. Every file therefore holds one complete value at any time. This protects against a kill, a full
//! disk, a truncated file and flipped bits: a file that does not match its checksum is reported, and the previous value is
//! still there.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};

use crate::error::{Corruption, IoContext as _, StorageError, sync_directory};

/// First bytes of every file; the last one is the version of the format.
const FORMAT_MARK: &[u8; 8] = b"gstep\0\0\x01";
/// Bytes of the value's length in the header.
const LENGTH_BYTES: usize = 8;
/// Bytes of the value's CRC-32 in the header.
const CHECKSUM_BYTES: usize = 4;
const HEADER_LEN: usize = FORMAT_MARK.len() + LENGTH_BYTES + CHECKSUM_BYTES;

const CURRENT: &str = "current";
const PREVIOUS: &str = "previous";
const STAGED: &str = "staged";
/// Second name of the current file while it becomes the previous one.
const SPARE: &str = "spare";
const LOCK: &str = "lock";

/// Write access to the slots of one owner. Only one process at a time can hold it.
#[derive(Debug)]
pub struct SnapshotSlots {
    directory: PathBuf,
    max_len: usize,
    /// Locked as long as this value lives.
    _lock: File,
}

impl SnapshotSlots {
    /// Opens the slots in this directory, which is created if it does not exist. `max_len` is the largest length of a value
    /// in bytes.
    ///
    /// # Errors
    /// [`StorageError::Locked`] while another process holds the slots, as during a hand-over to a successor;
    /// [`StorageError::Io`] if the directory or its lock file cannot be used.
    pub fn open(directory: &Path, max_len: usize) -> Result<Self, StorageError> {
        fs::create_dir_all(directory).context(directory, "create the directory")?;
        let lock = lock_directory(directory)?;
        let slots = SnapshotSlots { directory: directory.to_owned(), max_len, _lock: lock };
        // Left behind by a process that was killed while it staged a value; absent otherwise.
        let _ = fs::remove_file(slots.path(STAGED));
        Ok(slots)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    /// Reads the current and the previous value, see [`read_unlocked`].
    pub fn load(&self) -> Vec<Result<Vec<u8>, StorageError>> {
        read_unlocked(&self.directory, self.max_len)
    }

    /// Writes and syncs a value without making it the current one.
    ///
    /// # Errors
    /// [`StorageError::TooLarge`] if the value is longer than allowed, [`StorageError::Io`] if it cannot be written.
    pub fn stage(&self, value: &[u8]) -> Result<(), StorageError> {
        let path = self.path(STAGED);
        if value.len() > self.max_len {
            return Err(StorageError::TooLarge { path, len: value.len(), max_len: self.max_len });
        }
        let mut file = File::create(&path).context(&path, "create the file")?;
        file.write_all(&header(value)).context(&path, "write the value")?;
        file.write_all(value).context(&path, "write the value")?;
        file.sync_all().context(&path, "sync the value")
    }

    /// Makes the staged value the current one. The current value becomes the previous one, unless it is corrupt: a corrupt
    /// file must not replace the last usable value.
    ///
    /// # Errors
    /// [`StorageError::Io`] if no value is staged, or a file cannot be renamed or synced.
    pub fn commit(&self) -> Result<(), StorageError> {
        let (staged, current) = (self.path(STAGED), self.path(CURRENT));
        // Checked first, so that nothing is renamed unless there is a value to take its place.
        File::open(&staged).context(&staged, "open the staged value")?;
        if let Ok(Some(_)) = read_snapshot(&current, self.max_len) {
            self.keep_as_previous(&current)?;
        }
        fs::rename(&staged, &current).context(&current, "replace the current value")?;
        sync_directory(&self.directory)
    }

    /// Links the current file under a second name before the rename, so that `current` exists at any time.
    fn keep_as_previous(&self, current: &Path) -> Result<(), StorageError> {
        let (spare, previous) = (self.path(SPARE), self.path(PREVIOUS));
        // Present only if an earlier commit was interrupted.
        let _ = fs::remove_file(&spare);
        fs::hard_link(current, &spare).context(&spare, "link the current value")?;
        fs::rename(&spare, &previous).context(&previous, "replace the previous value")
    }
}

fn lock_directory(directory: &Path) -> Result<File, StorageError> {
    let path = directory.join(LOCK);
    let lock = OpenOptions::new().write(true).create(true).truncate(false).open(&path);
    let lock = lock.context(&path, "open the lock file")?;
    match rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => Ok(lock),
        Err(error @ rustix::io::Errno::WOULDBLOCK) => {
            Err(StorageError::Locked { path: directory.to_owned(), source: error.into() })
        }
        Err(error) => Err(error.into()).context(&path, "lock the directory"),
    }
}

/// Reads the values in this directory, the current one first. A slot that was never filled is left out; an error says why a
/// filled one cannot be used.
///
/// This needs no lock, as every file holds one complete value at any time. A successor process reads the last good value
/// while its predecessor still holds the slots.
pub fn read_unlocked(directory: &Path, max_len: usize) -> Vec<Result<Vec<u8>, StorageError>> {
    let read = |name| read_snapshot(&directory.join(name), max_len).transpose();
    [CURRENT, PREVIOUS].into_iter().filter_map(read).collect()
}

/// Reads and verifies one file; `None` if there is none.
fn read_snapshot(path: &Path, max_len: usize) -> Result<Option<Vec<u8>>, StorageError> {
    let file = match File::open(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        file => file.context(path, "open the file")?,
    };
    let mut bytes = Vec::new();
    // One byte more than the longest valid file, so that a longer one is noticed.
    let limit = (HEADER_LEN + max_len) as u64 + 1;
    file.take(limit).read_to_end(&mut bytes).context(path, "read the file")?;
    match verified(&bytes) {
        Ok(value) => Ok(Some(value.to_vec())),
        Err(corruption) => Err(StorageError::corrupt(path, corruption)),
    }
}

fn header(value: &[u8]) -> Vec<u8> {
    let mut header = Vec::with_capacity(HEADER_LEN);
    header.extend_from_slice(FORMAT_MARK);
    header.extend_from_slice(&(value.len() as u64).to_be_bytes());
    header.extend_from_slice(&crc32fast::hash(value).to_be_bytes());
    header
}

/// The value within the bytes of a file.
fn verified(bytes: &[u8]) -> Result<&[u8], Corruption> {
    let (header, value) = bytes.split_at_checked(HEADER_LEN).ok_or(Corruption::TruncatedHeader)?;
    let (mark, rest) = header.split_at(FORMAT_MARK.len());
    let (length, checksum) = rest.split_at(LENGTH_BYTES);
    if mark != FORMAT_MARK {
        return Err(Corruption::UnknownFormat);
    }
    if length != (value.len() as u64).to_be_bytes() {
        return Err(Corruption::LengthMismatch);
    }
    if checksum != crc32fast::hash(value).to_be_bytes() {
        return Err(Corruption::ChecksumMismatch);
    }
    Ok(value)
}
