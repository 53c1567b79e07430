//! A process that is killed at any time finds every write that it acknowledged, and no value that is a mix of
//! two.
//!
//! Each test starts this test binary as a child process ([`writer`]), kills it, and checks the stored data.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

use gaugestep_storage::control_store::{ControlStore, WriteBatch};
use gaugestep_storage::snapshot_slots::SnapshotSlots;

const MAX_LEN: usize = 1 << 20;
const ROUNDS: u64 = 25;
/// The time after which the first child is killed.
const FIRST_KILL_AFTER: Duration = Duration::from_micros(15_000);
/// The additional time in each further round.
const KILL_DELAY_PER_ROUND: Duration = Duration::from_micros(1_370);

/// Environment variable of the child with the directory to write to.
const DIRECTORY_VARIABLE: &str = "GAUGESTEP_TEST_STORE";
/// Environment variable of the child with the kind of data to write: [`SLOTS`] or [`STORE`].
const KIND_VARIABLE: &str = "GAUGESTEP_TEST_KIND";
const SLOTS: &str = "slots";
const STORE: &str = "store";

/// The file of the [`ControlStore`] in the directory of the test.
const STORE_FILE: &str = "versions";
/// The file with the number of the last value that the child acknowledged.
const ACKNOWLEDGED_FILE: &str = "acknowledged";

/// The value with this number. Values of different numbers differ in length or content.
fn value(number: u64) -> Vec<u8> {
    let mut value = number.to_be_bytes().to_vec();
    value.resize(20_000 + (number as usize % 7) * 3_000, number as u8);
    value
}

/// The number of a value. Panics unless the value is complete.
fn number_of(value: &[u8]) -> u64 {
    let number = u64::from_be_bytes(value[..8].try_into().unwrap());
    assert_eq!(value, self::value(number), "the value is a mix of two");
    number
}

/// Records the number of the last stored value for the parent. The file is replaced atomically, because the
/// child may be killed in this function too.
fn acknowledge(directory: &Path, number: u64) {
    let staged = directory.join("acknowledged.staged");
    std::fs::write(&staged, number.to_string()).unwrap();
    std::fs::rename(staged, directory.join(ACKNOWLEDGED_FILE)).unwrap();
}

/// The child process, which writes values one after the other until it is killed. Does nothing when it is run
/// as a test.
#[test]
fn writer() {
    let Ok(directory) = std::env::var(DIRECTORY_VARIABLE) else { return };
    match std::env::var(KIND_VARIABLE).as_deref() {
        Ok(SLOTS) => write_slots(Path::new(&directory)),
        _ => write_versions(Path::new(&directory)),
    }
}

fn write_slots(directory: &Path) {
    let slots = SnapshotSlots::open(directory, MAX_LEN).unwrap();
    let last = slots.load().into_iter().flatten().next().map_or(0, |value| number_of(&value));
    acknowledge(directory, last);
    for next in last + 1.. {
        slots.stage(&value(next)).unwrap();
        slots.commit().unwrap();
        acknowledge(directory, next);
    }
}

fn write_versions(directory: &Path) {
    let store = ControlStore::open(&directory.join(STORE_FILE)).unwrap();
    let last = store.versions().unwrap().last().map_or(0, |version| version.number);
    acknowledge(directory, last);
    for next in last + 1.. {
        let batch = WriteBatch {
            compact_log_below: Some(next.saturating_sub(3)),
            log_entries: vec![(next, value(next))],
            values: vec![("applied", next.to_be_bytes().to_vec())],
            // Version 1 and the last eight versions stay.
            removed_versions: next.checked_sub(8).filter(|old| *old > 1).into_iter().collect(),
            documents: vec![(next, value(next))],
            entries: vec![(next, vec![1])],
            sync: true,
            ..WriteBatch::default()
        };
        store.write(&batch).unwrap();
        acknowledge(directory, next);
    }
}

/// Kills writers at different times, and calls `check` after each with the directory and the last
/// acknowledged number.
fn kill_writers(kind: &str, mut check: impl FnMut(&Path, u64)) {
    let directory = tempfile::tempdir().unwrap();
    let acknowledged = || {
        let text = std::fs::read_to_string(directory.path().join(ACKNOWLEDGED_FILE)).unwrap_or_default();
        text.parse().unwrap_or(0)
    };
    for round in 0..ROUNDS {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "writer", "--nocapture"])
            .env(DIRECTORY_VARIABLE, directory.path())
            .env(KIND_VARIABLE, kind)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        std::thread::sleep(FIRST_KILL_AFTER + KILL_DELAY_PER_ROUND * round as u32);
        child.kill().unwrap();
        child.wait().unwrap();
        check(directory.path(), acknowledged());
    }
    assert!(acknowledged() > 0, "the writers acknowledged at least one value");
}

#[test]
fn a_killed_proxy_finds_the_snapshot_that_it_committed() {
    kill_writers(SLOTS, |directory, acknowledged| {
        let loaded = SnapshotSlots::open(directory, MAX_LEN).unwrap().load();
        if let Some(newest) = loaded.first() {
            let newest = number_of(newest.as_ref().unwrap());
            let expected = acknowledged..=acknowledged + 1;
            assert!(expected.contains(&newest), "{newest} found, {acknowledged} acknowledged");
        }
    });
}

#[test]
fn a_killed_control_server_finds_its_acknowledged_writes_and_no_removed_versions() {
    kill_writers(STORE, |directory, acknowledged| {
        let Ok(store) = ControlStore::open(&directory.join(STORE_FILE)) else {
            assert_eq!(acknowledged, 0, "killed before the file was created");
            return;
        };
        let versions = store.versions().unwrap();
        let newest = versions.last().map_or(0, |version| number_of(&version.document));
        let expected = acknowledged..=acknowledged + 1;
        assert!(expected.contains(&newest), "{newest} found, {acknowledged} acknowledged");
        assert!(versions.len() <= 9, "{} versions are stored", versions.len());
        assert!(newest < 1 || versions[0].number == 1, "version 1 is never removed");
        let last_entry = store.log().unwrap().last().map_or(0, |(index, _)| *index);
        assert_eq!(last_entry, newest, "log and versions are written in one transaction");
        assert!(newest < 1 || store.value("applied").unwrap() == Some(newest.to_be_bytes().to_vec()));
    });
}
