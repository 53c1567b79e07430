//! The seal beside a store: how often the store was started on, and which file it was.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::os::unix::fs::MetadataExt as _;
use std::path::{Path, PathBuf};

fn beside(store: &Path) -> PathBuf {
    let mut name = store.as_os_str().to_owned();
    name.push(".seal");
    PathBuf::from(name)
}

/// The number that tells this file from others on the machine: what is put there as a copy has another.
pub fn file_id(store: &Path) -> io::Result<u64> {
    let told = fs::metadata(store)?;
    Ok(told.ino() ^ told.dev().rotate_left(40))
}

/// The seal: starts, and the file's number. None where there is none; a spoilt one is an error.
pub fn read(store: &Path) -> io::Result<Option<(u64, u64)>> {
    let text = match fs::read_to_string(beside(store)) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut words = text.split_whitespace().map(str::parse::<u64>);
    match (words.next(), words.next(), words.next()) {
        (Some(Ok(boots)), Some(Ok(file)), None) => Ok(Some((boots, file))),
        _ => Err(io::Error::new(io::ErrorKind::InvalidData, "the seal is spoilt")),
    }
}

/// Writes the seal, whole and synced.
pub fn write(store: &Path, boots: u64, file: u64) -> io::Result<()> {
    let (seal, mut staged) = (beside(store), beside(store).into_os_string());
    staged.push(".staged");
    let mut out = File::create(&staged)?;
    writeln!(out, "{boots} {file}")?;
    out.sync_all()?;
    fs::rename(&staged, &seal)?;
    let folder = seal.parent().filter(|it| !it.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}
