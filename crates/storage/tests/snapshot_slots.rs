//! Snapshot slots: truncated files, flipped bits, staging and locking.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use std::time::{Duration, Instant};

use gaugestep_storage::snapshot_slots::{SnapshotSlots, read_unlocked};
use gaugestep_storage::{Corruption, StorageError};
use proptest::prelude::*;

const MAX_LEN: usize = 1 << 20;

/// The loaded values, the current one first. Panics if one of them cannot be used.
fn unwrap_all(loaded: Vec<Result<Vec<u8>, StorageError>>) -> Vec<Vec<u8>> {
    loaded.into_iter().map(Result::unwrap).collect()
}

#[test]
fn a_file_truncated_at_any_byte_or_with_any_bit_flipped_leaves_the_previous_value() {
    let directory = tempfile::tempdir().unwrap();
    let slots = SnapshotSlots::open(directory.path(), MAX_LEN).unwrap();
    for value in [b"the first".as_slice(), b"the second"] {
        slots.stage(value).unwrap();
        slots.commit().unwrap();
    }
    assert_eq!(unwrap_all(slots.load()), [b"the second".to_vec(), b"the first".to_vec()]);
    let current = directory.path().join("current");
    let intact = std::fs::read(&current).unwrap();
    let mut corrupt: Vec<Vec<u8>> = (0..intact.len()).map(|end| intact[..end].to_vec()).collect();
    corrupt.extend((0..intact.len() * 8).map(|bit| {
        let mut bytes = intact.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        bytes
    }));
    corrupt.push([intact.as_slice(), b"x"].concat());
    for bytes in corrupt {
        std::fs::write(&current, &bytes).unwrap();
        let loaded = slots.load();
        assert!(
            matches!(&loaded[0], Err(StorageError::Corrupt { path, .. }) if *path == current),
            "{bytes:?}"
        );
        assert_eq!(loaded[1].as_ref().unwrap(), b"the first");
    }
    // A corrupt file does not replace the last usable value.
    slots.stage(b"the third").unwrap();
    slots.commit().unwrap();
    assert_eq!(unwrap_all(slots.load()), [b"the third".to_vec(), b"the first".to_vec()]);
}

#[test]
fn the_error_of_a_corrupt_file_is_one_line_with_its_path_and_the_fault() {
    let directory = tempfile::tempdir().unwrap();
    let slots = SnapshotSlots::open(directory.path(), MAX_LEN).unwrap();
    slots.stage(b"a value").unwrap();
    slots.commit().unwrap();
    let current = directory.path().join("current");
    let intact = std::fs::read(&current).unwrap();
    let mut other_format = intact.clone();
    other_format[0] ^= 1;
    let mut flipped = intact.clone();
    *flipped.last_mut().unwrap() ^= 1;
    let cases = [
        (intact[..5].to_vec(), Corruption::TruncatedHeader, "it is truncated within its header"),
        (other_format, Corruption::UnknownFormat, "it has another format"),
        (intact[..22].to_vec(), Corruption::LengthMismatch, "its length differs from the one in its header"),
        (flipped, Corruption::ChecksumMismatch, "its checksum does not match"),
    ];
    for (bytes, expected, message) in cases {
        std::fs::write(&current, &bytes).unwrap();
        let error = slots.load().remove(0).unwrap_err();
        assert!(matches!(error, StorageError::Corrupt { source, .. } if source == expected), "{error:?}");
        assert_eq!(error.to_string(), format!("{}: {message}", current.display()));
    }
}

#[test]
fn a_staged_value_is_not_read_and_a_second_owner_is_rejected() {
    let directory = tempfile::tempdir().unwrap();
    let slots = SnapshotSlots::open(directory.path(), MAX_LEN).unwrap();
    slots.stage(b"a").unwrap();
    assert!(slots.load().is_empty());
    let second = SnapshotSlots::open(directory.path(), MAX_LEN);
    assert!(matches!(second, Err(StorageError::Locked { .. })), "{second:?}");
    slots.commit().unwrap();
    let read_by_successor = read_unlocked(directory.path(), MAX_LEN);
    assert_eq!(unwrap_all(read_by_successor), [b"a".to_vec()], "reading requires no lock");
    slots.stage(b"b").unwrap();
    drop(slots);
    // A child process that another test starts at the same time may inherit the lock until its exec.
    let deadline = Instant::now() + Duration::from_secs(10);
    let slots = loop {
        match SnapshotSlots::open(directory.path(), MAX_LEN) {
            Ok(slots) => break slots,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    assert!(slots.commit().is_err(), "a value that was staged by an earlier process is removed");
    let too_large = slots.stage(&vec![0; MAX_LEN + 1]);
    assert!(matches!(too_large, Err(StorageError::TooLarge { .. })), "{too_large:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// A file with random bytes yields an error, and the same bytes as a committed value are read back.
    #[test]
    fn random_file_contents_yield_an_error_and_any_committed_value_is_read_back(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let directory = tempfile::tempdir().unwrap();
        let slots = SnapshotSlots::open(directory.path(), MAX_LEN).unwrap();
        std::fs::write(directory.path().join("current"), &bytes).unwrap();
        prop_assert!(slots.load()[0].is_err());
        slots.stage(&bytes).unwrap();
        slots.commit().unwrap();
        prop_assert_eq!(unwrap_all(slots.load()), [bytes]);
    }
}
