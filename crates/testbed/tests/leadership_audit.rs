//! Tests of the audit of leases and versions on a run without violations and on runs with one violation each.

use gaugestep_testbed::leadership_audit::{Record, Violation, audit};

fn acknowledged(key: &str, number: u64) -> Record {
    Record::Acknowledged { key: key.into(), number, digest: key.into() }
}

fn stored(server: &str, number: u64, digest: &str) -> Record {
    Record::Stored { server: server.into(), number, digest: digest.into(), key: digest.into() }
}

fn in_force(number: u64, digest: &str, term: u64) -> Record {
    Record::InForce { proxy: "n0".into(), number, digest: digest.into(), term }
}

fn valid_run() -> Vec<Record> {
    vec![
        acknowledged("a", 1),
        Record::TermStored { proxy: "n0".into(), term: 1 },
        in_force(1, "a", 1),
        acknowledged("b", 2),
        Record::TermStored { proxy: "n0".into(), term: 2 },
        Record::StaleRejected { process: "n0".into(), term: 1 },
        in_force(2, "b", 2),
        Record::LeaseAcquired { server: "1".into(), role: "versions".into(), term: 1 },
        Record::LeaseAcquired { server: "2".into(), role: "versions".into(), term: 2 },
        stored("1", 1, "a"),
        stored("1", 2, "b"),
        stored("2", 1, "a"),
        stored("2", 2, "b"),
    ]
}

#[test]
fn a_valid_run_has_no_violation() {
    let report = audit(&valid_run());
    assert_eq!(report.violations, []);
    assert_eq!((report.acknowledged, report.terms, report.rejected), (2, 2, 1));
}

#[test]
fn each_violated_rule_is_reported_as_its_violation() {
    let cases: [(Record, Violation); 6] = [
        (in_force(2, "x", 2), Violation::Forked { number: 2 }),
        (in_force(3, "c", 1), Violation::StaleTermApplied { proxy: "n0".into(), term: 1, highest_term: 2 }),
        (stored("2", 3, "a"), Violation::PublishedTwice { key: "a".into() }),
        (
            Record::LeaseAcquired { server: "3".into(), role: "versions".into(), term: 2 },
            Violation::TwoLeaseHolders { role: "versions".into(), term: 2 },
        ),
        (in_force(1, "a", 2), Violation::RolledBack { proxy: "n0".into(), from: 2, to: 1 }),
        (acknowledged("c", 2), Violation::OutOfOrder { first: 2, second: 2 }),
    ];
    for (record, violation) in cases {
        let records = [valid_run(), vec![record]].concat();
        assert!(audit(&records).violations.contains(&violation), "{violation:?}: {:?}", audit(&records));
    }
    let mut lost = valid_run();
    lost.pop();
    assert_eq!(audit(&lost).violations, [Violation::Lost { key: "b".into() }]);
}
