//! Schedules of faults from seeds, and the audit of what all processes recorded.

use std::time::Duration;

use gaugestep_config::schema::Plan;
use gaugestep_testbed::faults::Schedule;
use gaugestep_testbed::leadership_audit::{self, audit};

use crate::group::{Group, Publisher};
use crate::proxy::Proxy;

/// One schedule of faults, drawn from its seed, under publications; what the records say of it.
fn storm(seed: u64, faults: usize) -> leadership_audit::Report {
    eprintln!("seed {seed}");
    let mut group = Group::start(3);
    let names: Vec<String> = (0..3).map(|at| format!("n{at}")).collect();
    let proxies: Vec<Proxy> =
        names.iter().enumerate().map(|(at, name)| group.start_proxy(name, at)).collect();
    let publisher =
        Publisher::start(group.admin_client(&group.numbers_except(0)), Duration::from_millis(100));
    group.run_schedule(&Schedule::draw(seed, 3, 3, faults), &names);
    // All is healed: there is one leader again, it publishes, and all proxies reach what it published.
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

/// A few schedules; `GAUGESTEP_SEED` names another one to replay.
#[test]
fn seeded_fault_schedules_leave_one_history() {
    let configured = std::env::var("GAUGESTEP_SEED").ok().and_then(|seed| seed.parse().ok());
    let seeds = configured.map_or(vec![1, 2], |seed| vec![seed]);
    for seed in seeds {
        let report = storm(seed, 10);
        assert!(report.acknowledged > 0, "{report:?}");
    }
}

/// Out of CI: `cargo test --test leadership campaign -- --ignored --nocapture`, a hundred schedules, their sums printed.
#[test]
#[ignore = "a quarter of an hour"]
fn campaign() {
    let from = std::env::var("GAUGESTEP_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1000);
    let seeds: std::sync::Mutex<Vec<u64>> = std::sync::Mutex::new((from..from + 100).rev().collect());
    let sums = std::sync::Mutex::new((0, 0, 0, 0));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                loop {
                    let Some(seed) = seeds.lock().unwrap().pop() else { return };
                    let report = storm(seed, 14);
                    let mut sums = sums.lock().unwrap();
                    sums.0 += 1;
                    sums.1 += report.acknowledged;
                    sums.2 += report.terms;
                    sums.3 += report.rejected;
                }
            });
        }
    });
    let (schedules, acknowledged, terms, refused) = *sums.lock().unwrap();
    eprintln!(
        "{schedules} schedules: {acknowledged} acknowledged, {terms} terms, {refused} stale acts refused, no breach"
    );
}
