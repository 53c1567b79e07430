//! The generation file beside a store (`<store>.seal`), in the format of build 02c3b0d.
//!
//! The format is one line of ASCII text, `<starts> <file>\n`, with two unsigned decimal numbers. `starts` is
//! how often a process was started on the store; the store contains the same number. `file` is the store's
//! inode number, exclusive-or its device number rotated left by 40 bits, so that a copy of a store can be
//! distinguished from the store itself.
//!
//! This module does not use the program's own code, so that a change of the format in the program fails the
//! tests.

use std::os::unix::fs::MetadataExt as _;
use std::path::{Path, PathBuf};

/// Number of bits by which the device number is rotated.
const DEVICE_ROTATION: u32 = 40;

/// The content of a generation file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationFile {
    /// Starts of a process on the store.
    pub starts: u64,
    /// Identifies the file of the store by its inode and device numbers.
    pub file: u64,
}

impl GenerationFile {
    /// The path of the generation file of this store.
    pub fn path(store: &Path) -> PathBuf {
        let mut name = store.as_os_str().to_owned();
        name.push(".seal");
        PathBuf::from(name)
    }

    /// Reads the generation file of this store, which must have the documented format byte for byte.
    pub fn read(store: &Path) -> Self {
        let text = std::fs::read_to_string(Self::path(store)).unwrap();
        let (starts, file) = text.trim_end().split_once(' ').expect("two numbers");
        let generation = GenerationFile { starts: starts.parse().unwrap(), file: file.parse().unwrap() };
        assert_eq!(generation.to_text(), text, "the format of the generation file");
        generation
    }

    /// Writes the generation file of this store for the store's present file, with the same number of starts.
    pub fn reissue(store: &Path) {
        let metadata = std::fs::metadata(store).unwrap();
        let file = metadata.ino() ^ metadata.dev().rotate_left(DEVICE_ROTATION);
        GenerationFile { file, ..Self::read(store) }.write(store);
    }

    /// Writes the generation file beside this store.
    pub fn write(self, store: &Path) {
        std::fs::write(Self::path(store), self.to_text()).unwrap();
    }

    fn to_text(self) -> String {
        format!("{} {}\n", self.starts, self.file)
    }
}
