//! Schedules of faults drawn from seeds, with an audit of the records of all processes.

use std::time::Duration;

use gaugestep_config::schema::Plan;
use gaugestep_testbed::faults::Schedule;
use gaugestep_testbed::leadership_audit::{self, audit};

use crate::group::{Group, Publisher};
use crate::proxy::Proxy;

/// Carries out a schedule of this many faults, drawn from the seed, while versions are published, and returns
/// the report of the audit.
fn run_seeded_schedule(seed: u64, faults: usize) -> leadership_audit::Report {
    eprintln!("seed {seed}");
    let mut group = Group::start(3);
    let names: Vec<String> = (0..3).map(|number| format!("n{number}")).collect();
    let proxies: Vec<Proxy> =
        names.iter().enumerate().map(|(index, name)| group.start_proxy(name, index)).collect();
    let publisher =
        Publisher::start(group.admin_client(&group.numbers_except(0)), Duration::from_millis(100));
    group.run_schedule(&Schedule::draw(seed, 3, 3, faults), &names);
    // All faults are healed: there is a leader again, it publishes, and all proxies apply its version.
    group.lease_holder();
    let mut records = publisher.stop();
    let last = group.publish_until_acknowledged("limits { max_open: 9 }", "last", Plan::default());
    group.wait_until_in_force(&proxies, last);
    group.wait_for_equal_versions();
    assert!(group.members.iter_mut().all(|member| !member.has_ended()), "no process ends by itself");
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    records.extend(group.records(&names));
    let report = audit(&records);
    assert_eq!(report.violations, [], "seed {seed}");
    report
}

/// Carries out two schedules; `GAUGESTEP_SEED` names another seed to replay.
#[test]
fn seeded_fault_schedules_leave_one_history() {
    let configured = std::env::var("GAUGESTEP_SEED").ok().and_then(|seed| seed.parse().ok());
    let seeds = configured.map_or(vec![1, 2], |seed| vec![seed]);
    for seed in seeds {
        let report = run_seeded_schedule(seed, 10);
        assert!(report.acknowledged > 0, "{report:?}");
    }
}

/// Carries out a hundred schedules and prints sums of their reports. Does not run in CI:
/// `cargo test --test leadership campaign -- --ignored --nocapture`.
#[test]
#[ignore = "a quarter of an hour"]
fn campaign() {
    let first_seed = std::env::var("GAUGESTEP_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1000);
    let seeds: std::sync::Mutex<Vec<u64>> =
        std::sync::Mutex::new((first_seed..first_seed + 100).rev().collect());
    let sums = std::sync::Mutex::new((0, 0, 0, 0));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                loop {
                    let Some(seed) = seeds.lock().unwrap().pop() else { return };
                    let report = run_seeded_schedule(seed, 14);
                    let mut sums = sums.lock().unwrap();
                    sums.0 += 1;
                    sums.1 += report.acknowledged;
                    sums.2 += report.terms;
                    sums.3 += report.rejected;
                }
            });
        }
    });
    let (schedules, acknowledged, terms, rejected) = *sums.lock().unwrap();
    eprintln!(
        "{schedules} schedules: {acknowledged} acknowledged, {terms} terms, {rejected} stale commands rejected, no violation"
    );
}
