//! The generation file beside a store (`<store>.seal`), in the form of build 02c3b0d.
//!
//! The form: one line of ASCII text, `<starts> <file>\n`, both numbers unsigned and decimal. `starts` is how often a process
//! was started on the store; the store holds the same number. `file` is the store's inode number, exclusive-or its device
//! number rotated left by 40 bits, so that a copy of a store is told from the store itself.
//!
//! It is written here without the program's own code, so that a change of the form in the program fails the tests.

use std::os::unix::fs::MetadataExt as _;
use std::path::{Path, PathBuf};

/// By how many bits the device number is rotated.
const DEVICE_ROTATION: u32 = 40;

/// What a generation file says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationFile {
    /// Starts of a process on the store.
    pub starts: u64,
    /// Which file the store is.
    pub file: u64,
}

impl GenerationFile {
    /// The path of the generation file of this store.
    pub fn path(store: &Path) -> PathBuf {
        let mut name = store.as_os_str().to_owned();
        name.push(".seal");
        PathBuf::from(name)
    }

    /// Reads the generation file of this store; its form must be the documented one, byte for byte.
    pub fn read(store: &Path) -> Self {
        let text = std::fs::read_to_string(Self::path(store)).unwrap();
        let (starts, file) = text.trim_end().split_once(' ').expect("two numbers");
        let generation = GenerationFile { starts: starts.parse().unwrap(), file: file.parse().unwrap() };
        assert_eq!(generation.to_text(), text, "the form of the generation file");
        generation
    }

    /// Names the file that the store is now, and keeps the number of starts.
    pub fn reissue(store: &Path) {
        let metadata = std::fs::metadata(store).unwrap();
        let file = metadata.ino() ^ metadata.dev().rotate_left(DEVICE_ROTATION);
        GenerationFile { file, ..Self::read(store) }.write(store);
    }

    /// Writes it beside this store.
    pub fn write(self, store: &Path) {
        std::fs::write(Self::path(store), self.to_text()).unwrap();
    }

    fn to_text(self) -> String {
        format!("{} {}\n", self.starts, self.file)
    }
}
