//! Roles are spread evenly, with as few moves as possible.

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
    fn shares_are_even_and_moves_are_minimal(
        given in proptest::collection::vec(proptest::option::of(1..7u64), 0..60),
        live in proptest::collection::btree_set(1..7u64, 1..6),
    ) {
        let mut holders: BTreeMap<String, Option<u64>> =
            given.iter().enumerate().map(|(at, holder)| (format!("role-{at}"), *holder)).collect();
        let before = holders.clone();
        let planned = rebalance(&holders, &live);
        apply(&mut holders, &planned);
        let count = |holders: &BTreeMap<String, Option<u64>>, member| {
            holders.values().filter(|holder| **holder == Some(member)).count()
        };
        let (floor, larger) = (holders.len() / live.len(), holders.len() % live.len());
        for member in &live {
            let has = count(&holders, *member);
            prop_assert!(has == floor || has == floor + 1, "{has} of {}", holders.len());
        }
        // The least that any plan must move: roles without a live holder, and what is above the larger shares.
        let dead = before.values().filter(|holder| holder.is_none_or(|it| !live.contains(&it))).count();
        let mut had: Vec<usize> = live.iter().map(|member| count(&before, *member)).collect();
        had.sort_unstable_by(|a, b| b.cmp(a));
        let above = had.iter().enumerate().map(|(at, has)| has.saturating_sub(floor + usize::from(at < larger)));
        prop_assert_eq!(planned.len(), dead + above.sum::<usize>());
        prop_assert!(rebalance(&holders, &live).is_empty(), "an even spread stays");
    }
}
