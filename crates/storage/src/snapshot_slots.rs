//! The last good value and the one before, as checksummed files in one folder.
//!
//! A value is staged under a name that no start looks at, written and synced whole, and committed by renaming: the file
//! of a name is at any time one whole value or another. Guards against a kill, a full disk, a cut-off file and bits that
//! rot: what does not fit its checksum is told as such, and the one before is still there.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};

/// What begins every file: its form.
const MARK: &[u8; 8] = b"gstep\0\0\x01";
/// Mark, length and checksum.
const HEAD: usize = 8 + 8 + 4;

/// The slots of one owner. Only one process at a time may hold them.
#[derive(Debug)]
pub struct SnapshotSlots {
    folder: PathBuf,
    most: usize,
    /// Held while this is: the folder's owner.
    _lock: File,
}

/// The names under which values lie.
const CURRENT: &str = "current";
const PREVIOUS: &str = "previous";
const STAGED: &str = "staged";

impl SnapshotSlots {
    /// The slots in this folder, which is made if it is not there. Values may be so many bytes long. It is an error if
    /// another process holds them, as while a successor takes over.
    pub fn open(folder: &Path, most: usize) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let lock = OpenOptions::new().write(true).create(true).truncate(false).open(folder.join("lock"))?;
        rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive)?;
        let slots = SnapshotSlots { folder: folder.to_owned(), most, _lock: lock };
        // Left by a process that was killed while it staged.
        let _ = fs::remove_file(slots.path(STAGED));
        Ok(slots)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// What a start finds, see [`read_unlocked`].
    pub fn load(&self) -> Vec<Result<Vec<u8>, String>> {
        read_unlocked(&self.folder, self.most)
    }

    /// Writes a value where a start does not look, whole and synced.
    pub fn stage(&self, value: &[u8]) -> io::Result<()> {
        if value.len() > self.most {
            return Err(io::Error::other(format!("{} bytes, {} are allowed", value.len(), self.most)));
        }
        let mut file = File::create(self.path(STAGED))?;
        let mut head = Vec::with_capacity(HEAD);
        head.extend_from_slice(MARK);
        head.extend_from_slice(&(value.len() as u64).to_be_bytes());
        head.extend_from_slice(&crc32fast::hash(value).to_be_bytes());
        file.write_all(&head)?;
        file.write_all(value)?;
        file.sync_all()
    }

    /// Makes the staged value the current one, and keeps the current one as the previous, if it is whole: a spoilt one
    /// must not push out the last that can be used.
    pub fn commit(&self) -> io::Result<()> {
        let (staged, current) = (self.path(STAGED), self.path(CURRENT));
        // Nothing is renamed unless there is something to take its place.
        File::open(&staged)?;
        if read(&current, self.most).is_ok() {
            // A second name first, so that `current` is never absent.
            let spare = self.path("spare");
            let _ = fs::remove_file(&spare);
            fs::hard_link(&current, &spare)?;
            fs::rename(&spare, self.path(PREVIOUS))?;
        }
        fs::rename(&staged, &current)?;
        File::open(&self.folder)?.sync_all()
    }
}

/// What a start finds in this folder, the newest first; an error says why one cannot be used. Slots that were never
/// filled are left out. Whoever holds them may go on writing meanwhile: a file of a name is always one whole value. So a
/// successor starts on the last good value while its predecessor still holds the slots.
pub fn read_unlocked(folder: &Path, most: usize) -> Vec<Result<Vec<u8>, String>> {
    let read = |name: &&str| match read(&folder.join(name), most) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => None,
        found => Some(found.map_err(|error| format!("{name}: {error}"))),
    };
    [CURRENT, PREVIOUS].iter().filter_map(read).collect()
}

/// Reads a file, if it is whole.
fn read(path: &Path, most: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take((HEAD + most) as u64 + 1).read_to_end(&mut bytes)?;
    let spoilt = |why: &str| Err(io::Error::new(io::ErrorKind::InvalidData, why));
    let Some((head, value)) = bytes.split_at_checked(HEAD) else { return spoilt("it is cut off") };
    let (mark, rest) = head.split_at(MARK.len());
    let (length, checksum) = rest.split_at(8);
    if mark != MARK {
        return spoilt("it is of another form");
    }
    if length != (value.len() as u64).to_be_bytes() {
        return spoilt("it is cut off, or longer than it says");
    }
    if checksum != crc32fast::hash(value).to_be_bytes() {
        return spoilt("its checksum does not fit");
    }
    Ok(value.to_vec())
}
