//! The current and the previous value of one owner, as checksummed files in one directory.
//!
//! A value is first written and synced under a staging name that [`SnapshotSlots::load`] ignores, and then
//! committed by a rename. The current and the previous file therefore contain one complete value at any time,
//! even if the process is killed or the disk is full. A file that was truncated or has flipped bits does not
//! match its checksum; it is reported as corrupt, and the previous value is still available.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};

use crate::error::{Corruption, IoContext as _, StorageError, sync_directory};

/// The first bytes of every file; the last byte is the version of the format.
const MAGIC: &[u8; 8] = b"gstep\0\0\x01";
/// Size of the length field in the header.
const LENGTH_BYTES: usize = 8;
/// Size of the CRC-32 field in the header.
const CHECKSUM_BYTES: usize = 4;
const HEADER_LEN: usize = MAGIC.len() + LENGTH_BYTES + CHECKSUM_BYTES;

const CURRENT: &str = "current";
const PREVIOUS: &str = "previous";
const STAGED: &str = "staged";
/// Temporary hard link to the current file while it becomes the previous one.
const SPARE: &str = "spare";
const LOCK: &str = "lock";

/// Write access to the slots of one owner, which only one process at a time can have.
#[derive(Debug)]
pub struct SnapshotSlots {
    directory: PathBuf,
    max_len: usize,
    /// The lock is released when the file is closed.
    _lock: File,
}

impl SnapshotSlots {
    /// Opens the slots in this directory, and creates the directory if it does not exist. `max_len` is the
    /// maximum length of a value in bytes.
    ///
    /// # Errors
    /// [`StorageError::Locked`] while another process has the slots open, for example during a hand-over to a
    /// successor; [`StorageError::Io`] if the directory or its lock file cannot be used.
    pub fn open(directory: &Path, max_len: usize) -> Result<Self, StorageError> {
        fs::create_dir_all(directory).context(directory, "create the directory")?;
        let lock = lock_directory(directory)?;
        let slots = SnapshotSlots { directory: directory.to_owned(), max_len, _lock: lock };
        // The staged file exists only if an earlier process ended before it committed a value.
        let _ = fs::remove_file(slots.path(STAGED));
        Ok(slots)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    /// Reads the current and the previous value, like [`read_unlocked`].
    pub fn load(&self) -> Vec<Result<Vec<u8>, StorageError>> {
        read_unlocked(&self.directory, self.max_len)
    }

    /// Writes and syncs a value that becomes the current one with the next [`SnapshotSlots::commit`].
    ///
    /// # Errors
    /// [`StorageError::TooLarge`] if the value is longer than allowed, [`StorageError::Io`] if it cannot be
    /// written.
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

    /// Makes the staged value the current one. The current value becomes the previous one unless it is
    /// corrupt, because a corrupt file must not replace the last usable value.
    ///
    /// # Errors
    /// [`StorageError::Io`] if no value is staged, or a file cannot be renamed or synced.
    pub fn commit(&self) -> Result<(), StorageError> {
        let (staged, current) = (self.path(STAGED), self.path(CURRENT));
        // Fails before anything is renamed if no value is staged.
        File::open(&staged).context(&staged, "open the staged value")?;
        if let Ok(Some(_)) = read_snapshot(&current, self.max_len) {
            self.link_as_previous(&current)?;
        }
        fs::rename(&staged, &current).context(&current, "replace the current value")?;
        sync_directory(&self.directory)
    }

    /// Makes the current file the previous one by a hard link and a rename, so that `current` exists at any
    /// time.
    fn link_as_previous(&self, current: &Path) -> Result<(), StorageError> {
        let (spare, previous) = (self.path(SPARE), self.path(PREVIOUS));
        // The spare link exists only if an earlier commit was interrupted.
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

/// Reads the values in this directory, the current one first. A slot without a file is omitted; a file that
/// cannot be used yields an error with the reason.
///
/// This requires no lock, because every file contains one complete value at any time. A successor process
/// reads the last good value while its predecessor still holds the lock.
pub fn read_unlocked(directory: &Path, max_len: usize) -> Vec<Result<Vec<u8>, StorageError>> {
    let read = |name| read_snapshot(&directory.join(name), max_len).transpose();
    [CURRENT, PREVIOUS].into_iter().filter_map(read).collect()
}

/// Reads and verifies one file; `None` if it does not exist.
fn read_snapshot(path: &Path, max_len: usize) -> Result<Option<Vec<u8>>, StorageError> {
    let file = match File::open(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        file => file.context(path, "open the file")?,
    };
    let mut bytes = Vec::new();
    // The limit exceeds the longest valid file by one byte, so that a longer file fails the length check.
    let limit = (HEADER_LEN + max_len) as u64 + 1;
    file.take(limit).read_to_end(&mut bytes).context(path, "read the file")?;
    match verify(&bytes) {
        Ok(value) => Ok(Some(value.to_vec())),
        Err(corruption) => Err(StorageError::corrupt(path, corruption)),
    }
}

fn header(value: &[u8]) -> Vec<u8> {
    let mut header = Vec::with_capacity(HEADER_LEN);
    header.extend_from_slice(MAGIC);
    header.extend_from_slice(&(value.len() as u64).to_be_bytes());
    header.extend_from_slice(&crc32fast::hash(value).to_be_bytes());
    header
}

/// Checks the contents of a file against its header, and returns the value.
fn verify(bytes: &[u8]) -> Result<&[u8], Corruption> {
    let (header, value) = bytes.split_at_checked(HEADER_LEN).ok_or(Corruption::TruncatedHeader)?;
    let (magic, rest) = header.split_at(MAGIC.len());
    let (length, checksum) = rest.split_at(LENGTH_BYTES);
    if magic != MAGIC {
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
