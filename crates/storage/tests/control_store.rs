//! The database of a control server and its generation file.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use gaugestep_storage::control_store::{ControlStore, WriteBatch};
use gaugestep_storage::generation_file::{self, Generation};
use gaugestep_storage::{Corruption, StorageError};

fn log_entries(indices: std::ops::Range<u64>) -> Vec<(u64, Vec<u8>)> {
    indices.map(|index| (index, vec![index as u8])).collect()
}

#[test]
fn the_log_is_truncated_and_compacted_and_the_lineage_does_not_change() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("versions");
    {
        let store = ControlStore::open(&path).unwrap();
        assert_eq!(store.lineage(42).unwrap(), 42);
        let first = WriteBatch { log_entries: log_entries(1..9), sync: true, ..WriteBatch::default() };
        store.write(&first).unwrap();
        let second = WriteBatch {
            truncate_log_from: Some(5),
            compact_log_below: Some(3),
            log_entries: vec![(5, vec![0])],
            sync: true,
            ..WriteBatch::default()
        };
        store.write(&second).unwrap();
    }
    let store = ControlStore::open(&path).unwrap();
    assert_eq!(store.lineage(43).unwrap(), 42);
    assert_eq!(store.log().unwrap(), [log_entries(3..5), vec![(5, vec![0])]].concat());
}

#[test]
fn opening_a_store_in_use_fails_with_its_path_and_the_operation() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("versions");
    let _first = ControlStore::open(&path).unwrap();
    let Err(error) = ControlStore::open(&path) else { panic!("opened twice") };
    let expected = "cannot open the store: Database already open. Cannot acquire lock.";
    assert_eq!(error.to_string(), format!("{}: {expected}", path.display()));
    assert!(std::error::Error::source(&error).is_some());
}

#[test]
fn the_generation_file_identifies_the_store_and_a_copy_has_another_id() {
    let directory = tempfile::tempdir().unwrap();
    let store = directory.path().join("store");
    let copy = directory.path().join("copy");
    std::fs::write(&store, "x").unwrap();
    assert_eq!(generation_file::read(&store).unwrap(), None);
    let generation = Generation { starts: 7, file_id: generation_file::file_id(&store).unwrap() };
    generation_file::write(&store, generation).unwrap();
    assert_eq!(generation_file::read(&store).unwrap(), Some(generation));
    std::fs::copy(&store, &copy).unwrap();
    assert_ne!(generation_file::file_id(&copy).unwrap(), generation.file_id);
    std::fs::write(directory.path().join("store.seal"), "7").unwrap();
    let truncated = generation_file::read(&store);
    let expected = Corruption::InvalidGeneration;
    assert!(
        matches!(truncated, Err(StorageError::Corrupt { source, .. }) if source == expected),
        "{truncated:?}"
    );
}

/// Guards the file format, because this build reads the files of earlier builds and they read its files.
#[test]
fn the_generation_file_is_two_decimal_numbers() {
    let directory = tempfile::tempdir().unwrap();
    let store = directory.path().join("store");
    generation_file::write(&store, Generation { starts: 7, file_id: 99 }).unwrap();
    assert_eq!(std::fs::read_to_string(directory.path().join("store.seal")).unwrap(), "7 99\n");
}
