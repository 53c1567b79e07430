//! Rebalancing spreads roles evenly over the live members with as few moves as possible.

use gaugestep_leadership::assignment::{Reassignment, rebalance};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn apply(holders: &mut BTreeMap<String, Option<u64>>, moves: &[Reassignment]) {
    for reassignment in moves {
        holders.insert(reassignment.role.clone(), Some(reassignment.to));
    }
}

proptest! {
    #[test]
    fn roles_are_spread_evenly_with_as_few_moves_as_possible(
        initial_holders in proptest::collection::vec(proptest::option::of(1..7u64), 0..60),
        live in proptest::collection::btree_set(1..7u64, 1..6),
    ) {
        let with_name = |(index, holder): (usize, &Option<u64>)| (format!("role-{index}"), *holder);
        let mut holders: BTreeMap<String, Option<u64>> =
            initial_holders.iter().enumerate().map(with_name).collect();
        let before = holders.clone();
        let moves = rebalance(&holders, &live);
        apply(&mut holders, &moves);
        let count = |holders: &BTreeMap<String, Option<u64>>, member| {
            holders.values().filter(|holder| **holder == Some(member)).count()
        };
        let floor = holders.len() / live.len();
        let members_above_floor = holders.len() % live.len();
        for member in &live {
            let role_count = count(&holders, *member);
            let is_even = role_count == floor || role_count == floor + 1;
            prop_assert!(is_even, "{role_count} of {}", holders.len());
        }
        // Any plan must move the roles without a live holder, and the roles of each member above its target
        // count.
        let is_live = |holder: Option<u64>| holder.is_some_and(|holder| live.contains(&holder));
        let without_live_holder = before.values().filter(|holder| !is_live(**holder)).count();
        let mut counts_before: Vec<usize> = live.iter().map(|member| count(&before, *member)).collect();
        counts_before.sort_unstable_by(|a, b| b.cmp(a));
        let surplus = |(position, role_count): (usize, &usize)| {
            let target = floor + usize::from(position < members_above_floor);
            role_count.saturating_sub(target)
        };
        let total_surplus: usize = counts_before.iter().enumerate().map(surplus).sum();
        prop_assert_eq!(moves.len(), without_live_holder + total_surplus);
        prop_assert!(rebalance(&holders, &live).is_empty(), "balanced roles stay with their holders");
    }
}
