//! The files of the stored data, and copies of them for a test.

use std::path::{Path, PathBuf};

use crate::generation_file::GenerationFile;
use crate::short_form;

/// Members of the stored group.
pub const MEMBERS: [u64; 3] = [1, 2, 3];
/// The proxy whose state is stored.
pub const PROXY: &str = "n0";

/// File name of a control server's store in the groups of the tests.
const STORE: &str = "versions.redb";
/// File name of a store in the stored data, see [`short_form`].
const SHORT_STORE: &str = "versions.redb.short";
/// File name of the golden file with the records of a store or of a proxy's state.
const RECORDS: &str = "records.txt";
/// The files of a proxy's state directory.
const SLOTS: [&str; 4] = ["current", "previous", "terms/current", "terms/previous"];

/// The folder of the stored data.
fn data() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/stored-02c3b0d")
}

fn member_data(member: u64) -> PathBuf {
    data().join(format!("member-{member}"))
}

/// The stored state directory of [`PROXY`].
pub fn proxy_data() -> PathBuf {
    data().join(format!("proxy-{PROXY}"))
}

/// The golden file of a member's records.
pub fn member_records(member: u64) -> PathBuf {
    member_data(member).join(RECORDS)
}

/// The golden file of the proxy's records.
pub fn proxy_records() -> PathBuf {
    proxy_data().join(RECORDS)
}

/// Copies a stored member's store and generation file to a folder and returns the store's path.
pub fn copy_store(member: u64, folder: &Path) -> PathBuf {
    let (stored, store) = (member_data(member), folder.join(STORE));
    short_form::restore(&stored.join(SHORT_STORE), &store);
    std::fs::copy(GenerationFile::path(&stored.join(STORE)), GenerationFile::path(&store)).unwrap();
    store
}

/// Saves a member's store and generation file as stored data.
pub fn save_store(member: u64, store: &Path) {
    let stored = member_data(member);
    std::fs::create_dir_all(&stored).unwrap();
    short_form::compact(store, &stored.join(SHORT_STORE));
    std::fs::copy(GenerationFile::path(store), GenerationFile::path(&stored.join(STORE))).unwrap();
}

/// Copies a proxy's state directory.
pub fn copy_proxy_state(from: &Path, to: &Path) {
    std::fs::create_dir_all(to.join("terms")).unwrap();
    for slot in SLOTS {
        std::fs::copy(from.join(slot), to.join(slot)).unwrap();
    }
}
