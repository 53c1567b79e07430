//! Kills, cut-off files and flipped bits: what a start finds is one whole value or another.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use gaugestep_storage::control_store::{ControlStore, WriteBatch};
use gaugestep_storage::generation_file;
use gaugestep_storage::snapshot_slots::{SnapshotSlots, read_unlocked};
use proptest::prelude::*;

const MOST: usize = 1 << 20;

fn value(number: u64) -> Vec<u8> {
    let mut value = number.to_be_bytes().to_vec();
    value.resize(20_000 + (number as usize % 7) * 3_000, number as u8);
    value
}

fn number(value: &[u8]) -> u64 {
    let number = u64::from_be_bytes(value[..8].try_into().unwrap());
    assert_eq!(value, self::value(number), "half of one and half of another");
    number
}

/// The file that a value lies in.
fn file(folder: &Path, name: &str) -> PathBuf {
    folder.join(name)
}

#[test]
fn a_file_cut_off_at_any_byte_or_with_any_bit_flipped_leaves_the_one_before() {
    let folder = tempfile::tempdir().unwrap();
    let slots = SnapshotSlots::open(folder.path(), MOST).unwrap();
    for value in [b"the first".as_slice(), b"the second"] {
        slots.stage(value).unwrap();
        slots.commit().unwrap();
    }
    assert_eq!(slots.load(), [Ok(b"the second".to_vec()), Ok(b"the first".to_vec())]);
    let current = file(folder.path(), "current");
    let whole = std::fs::read(&current).unwrap();
    let mut spoilt: Vec<Vec<u8>> = (0..whole.len()).map(|cut| whole[..cut].to_vec()).collect();
    spoilt.extend((0..whole.len() * 8).map(|bit| {
        let mut bytes = whole.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        bytes
    }));
    spoilt.push([whole.as_slice(), b"x"].concat());
    for bytes in spoilt {
        std::fs::write(&current, &bytes).unwrap();
        let found = slots.load();
        assert!(found[0].is_err(), "{bytes:?}");
        assert_eq!(found[1], Ok(b"the first".to_vec()));
    }
    // What is spoilt does not push out the last that can be used.
    slots.stage(b"the third").unwrap();
    slots.commit().unwrap();
    assert_eq!(slots.load(), [Ok(b"the third".to_vec()), Ok(b"the first".to_vec())]);
}

#[test]
fn what_was_only_staged_is_not_found_and_two_owners_are_one_too_many() {
    let folder = tempfile::tempdir().unwrap();
    let slots = SnapshotSlots::open(folder.path(), MOST).unwrap();
    slots.stage(b"a").unwrap();
    assert!(slots.load().is_empty());
    assert!(SnapshotSlots::open(folder.path(), MOST).is_err());
    slots.commit().unwrap();
    assert_eq!(read_unlocked(folder.path(), MOST), [Ok(b"a".to_vec())], "a successor may look");
    slots.stage(b"b").unwrap();
    drop(slots);
    // A child that another test is just starting may hold what this process has let go, for a moment.
    let until = Instant::now() + Duration::from_secs(10);
    let slots = loop {
        match SnapshotSlots::open(folder.path(), MOST) {
            Ok(slots) => break slots,
            Err(error) => assert!(Instant::now() < until, "{error}"),
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    assert!(slots.commit().is_err(), "what a killed process had staged is gone");
    assert!(slots.stage(&vec![0; MOST + 1]).is_err(), "too long");
}

/// Tells the parent of what is kept; whole, as the kill may come here too.
fn tell(folder: &Path, number: u64) {
    std::fs::write(folder.join("telling"), number.to_string()).unwrap();
    std::fs::rename(folder.join("telling"), folder.join("told")).unwrap();
}

/// In a child: writes values for good, one behind the other, until it is killed.
#[test]
fn writer() {
    let Ok(folder) = std::env::var("GAUGESTEP_TEST_STORE") else { return };
    let folder = Path::new(&folder);
    if std::env::var("GAUGESTEP_TEST_KIND").as_deref() == Ok("slots") {
        let slots = SnapshotSlots::open(folder, MOST).unwrap();
        let last = slots.load().into_iter().flatten().next().map_or(0, |value| number(&value));
        tell(folder, last);
        for next in last + 1.. {
            slots.stage(&value(next)).unwrap();
            slots.commit().unwrap();
            tell(folder, next);
        }
    }
    let versions = ControlStore::open(&folder.join("versions")).unwrap();
    let last = versions.versions().unwrap().last().map_or(0, |version| version.number);
    tell(folder, last);
    for next in last + 1.. {
        let batch = WriteBatch {
            compact_log_below: Some(next.saturating_sub(3)),
            log_entries: vec![(next, value(next))],
            values: vec![("applied", next.to_be_bytes().to_vec())],
            removed_versions: next.checked_sub(8).filter(|old| *old > 1).into_iter().collect(),
            documents: vec![(next, value(next))],
            entries: vec![(next, vec![1])],
            sync: true,
            ..WriteBatch::default()
        };
        versions.write(&batch).unwrap();
        tell(folder, next);
    }
}

/// Kills the writer at ever other moments; what was told before the kill must be found.
fn killed(kind: &str, mut look: impl FnMut(&Path, u64)) {
    let folder = tempfile::tempdir().unwrap();
    for round in 0..25u64 {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "writer", "--nocapture"])
            .env("GAUGESTEP_TEST_STORE", folder.path())
            .env("GAUGESTEP_TEST_KIND", kind)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        std::thread::sleep(Duration::from_micros(15_000 + round * 1_370));
        child.kill().unwrap();
        child.wait().unwrap();
        let told = std::fs::read_to_string(folder.path().join("told")).unwrap_or_default();
        look(folder.path(), told.parse().unwrap_or(0));
    }
    let told = std::fs::read_to_string(folder.path().join("told")).unwrap();
    assert!(told.parse::<u64>().unwrap() > 0, "the writer wrote something");
}

#[test]
fn a_proxy_killed_at_any_instant_finds_what_it_committed() {
    killed("slots", |folder, told| {
        let found = SnapshotSlots::open(folder, MOST).unwrap().load();
        if let Some(newest) = found.first() {
            let newest = number(newest.as_ref().unwrap());
            assert!((told..=told + 1).contains(&newest), "{newest} found, {told} told");
        }
    });
}

#[test]
fn a_service_killed_at_any_instant_finds_what_it_published_and_no_more_than_it_keeps() {
    killed("versions", |folder, told| {
        let Ok(versions) = ControlStore::open(&folder.join("versions")) else {
            assert_eq!(told, 0, "killed before the file was made");
            return;
        };
        let all = versions.versions().unwrap();
        let newest = all.last().map_or(0, |version| number(&version.document));
        assert!((told..=told + 1).contains(&newest), "{newest} found, {told} told");
        assert!(all.len() <= 9, "{} kept", all.len());
        assert!(newest < 1 || all[0].number == 1, "version 1 is needed");
        let (log, applied) = (versions.log().unwrap(), versions.value("applied").unwrap());
        assert_eq!(log.last().map_or(0, |(index, _)| *index), newest, "log and versions are of one moment");
        assert!(newest < 1 || applied == Some(newest.to_be_bytes().to_vec()));
    });
}

#[test]
fn a_log_is_cut_at_both_ends_and_the_lineage_stays() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("versions");
    let entries =
        |range: std::ops::Range<u64>| range.map(|index| (index, vec![index as u8])).collect::<Vec<_>>();
    {
        let versions = ControlStore::open(&path).unwrap();
        assert_eq!(versions.lineage(42).unwrap(), 42);
        versions
            .write(&WriteBatch { log_entries: entries(1..9), sync: true, ..WriteBatch::default() })
            .unwrap();
        let cut = WriteBatch {
            truncate_log_from: Some(5),
            compact_log_below: Some(3),
            log_entries: vec![(5, vec![0])],
            ..WriteBatch::default()
        };
        versions.write(&WriteBatch { sync: true, ..cut }).unwrap();
    }
    let versions = ControlStore::open(&path).unwrap();
    assert_eq!(versions.lineage(43).unwrap(), 42);
    assert_eq!(versions.log().unwrap(), [entries(3..5), vec![(5, vec![0])]].concat());
}

#[test]
fn a_seal_names_the_file_and_a_copy_is_another() {
    let folder = tempfile::tempdir().unwrap();
    let (store, copy) = (folder.path().join("store"), folder.path().join("copy"));
    std::fs::write(&store, "x").unwrap();
    assert_eq!(generation_file::read(&store).unwrap(), None);
    let file = generation_file::file_id(&store).unwrap();
    generation_file::write(&store, 7, file).unwrap();
    assert_eq!(generation_file::read(&store).unwrap(), Some((7, file)));
    std::fs::copy(&store, &copy).unwrap();
    assert_ne!(generation_file::file_id(&copy).unwrap(), file);
    std::fs::write(folder.path().join("store.seal"), "7").unwrap();
    assert!(generation_file::read(&store).is_err(), "cut off");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever lies there as a file, a start reads it as spoilt or as the value that was written.
    #[test]
    fn any_bytes_are_a_value_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let folder = tempfile::tempdir().unwrap();
        let slots = SnapshotSlots::open(folder.path(), MOST).unwrap();
        std::fs::write(file(folder.path(), "current"), &bytes).unwrap();
        prop_assert!(slots.load()[0].is_err());
        slots.stage(&bytes).unwrap();
        slots.commit().unwrap();
        prop_assert_eq!(slots.load(), [Ok(bytes)]);
    }
}
