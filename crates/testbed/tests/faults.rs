//! Test of the fault schedules that seeds draw.

use std::collections::BTreeSet;

use gaugestep_testbed::faults::{Fault, Schedule, ScheduledFault};

#[test]
fn a_seed_always_draws_the_same_schedule_and_a_majority_keeps_running() {
    let mut kinds = BTreeSet::new();
    for seed in 0..200 {
        let schedule = Schedule::draw(seed, 3, 4, 12);
        assert_eq!(schedule, Schedule::draw(seed, 3, 4, 12));
        assert_eq!(schedule.faults.last().map(|scheduled| &scheduled.fault), Some(&Fault::Heal));
        let (mut down, mut max_down) = (BTreeSet::new(), 0);
        for ScheduledFault { fault, .. } in &schedule.faults[..12] {
            kinds.insert(format!("{fault:?}").split('(').next().map(str::to_owned));
            match fault {
                Fault::Kill(server) | Fault::Suspend(server) => assert!(down.insert(*server)),
                Fault::Restart(server) | Fault::Resume(server) => assert!(down.remove(server)),
                Fault::Heal => down.clear(),
                _ => {}
            }
            max_down = max_down.max(down.len());
        }
        assert!(max_down <= 1, "a majority of three runs");
    }
    assert_eq!(kinds.len(), 12, "{kinds:?}");
}
