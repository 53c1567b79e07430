//! Schedules of faults: what a seed draws.

use std::collections::BTreeSet;

use gaugestep_testbed::faults::{Fault, Schedule, ScheduledFault};

#[test]
fn a_seed_draws_the_same_schedule_and_leaves_a_majority() {
    let mut kinds = BTreeSet::new();
    for seed in 0..200 {
        let schedule = Schedule::draw(seed, 3, 4, 12);
        assert_eq!(schedule, Schedule::draw(seed, 3, 4, 12));
        assert_eq!(schedule.faults.last().map(|it| &it.fault), Some(&Fault::Heal));
        let (mut down, mut most_down) = (BTreeSet::new(), 0);
        for ScheduledFault { fault, .. } in &schedule.faults[..12] {
            kinds.insert(format!("{fault:?}").split('(').next().map(str::to_owned));
            match fault {
                Fault::Kill(it) | Fault::Suspend(it) => assert!(down.insert(*it)),
                Fault::Restart(it) | Fault::Resume(it) => assert!(down.remove(it)),
                Fault::Heal => down.clear(),
                _ => {}
            }
            most_down = most_down.max(down.len());
        }
        assert!(most_down <= 1, "a majority of three is left");
    }
    assert_eq!(kinds.len(), 12, "{kinds:?}");
}
