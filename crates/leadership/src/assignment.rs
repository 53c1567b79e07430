//! Who is to own which role: spread evenly over the members that live, moving as few as possible.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A role that is to go to another holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reassignment {
    /// The role.
    pub role: String,
    /// Who owns it now and lives, and so must hand it over; nobody: it may be given at once.
    pub from: Option<u64>,
    /// Who is to own it.
    pub to: u64,
}

fn rank(role: &str, member: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (role, member).hash(&mut hasher);
    hasher.finish()
}

/// What must move so that each member that lives owns the floor or the ceiling of its even part. No plan moves fewer:
/// every role without a living holder moves, and beside these only what a member has above its part. Where parts cannot be
/// equal, those that have most now keep the larger ones.
pub fn rebalance(holders: &BTreeMap<String, Option<u64>>, live: &BTreeSet<u64>) -> Vec<Reassignment> {
    if live.is_empty() {
        return Vec::new();
    }
    let mut owned: BTreeMap<u64, Vec<&String>> = live.iter().map(|member| (*member, Vec::new())).collect();
    let mut homeless: Vec<(&String, Option<u64>)> = Vec::new();
    for (role, holder) in holders {
        match holder.and_then(|holder| owned.get_mut(&holder)) {
            Some(mine) => mine.push(role),
            None => homeless.push((role, None)),
        }
    }
    let (floor, larger) = (holders.len() / live.len(), holders.len() % live.len());
    let mut order: Vec<u64> = live.iter().copied().collect();
    order.sort_by_key(|member| (std::cmp::Reverse(owned[member].len()), *member));
    let part: BTreeMap<u64, usize> =
        order.iter().enumerate().map(|(at, member)| (*member, floor + usize::from(at < larger))).collect();
    for (member, mine) in &mut owned {
        // The same ones leave whichever member works this out.
        mine.sort_by_key(|role| rank(role, *member));
        let above = mine.split_off(part[member].min(mine.len()));
        homeless.extend(above.into_iter().map(|role| (role, Some(*member))));
    }
    homeless.sort();
    let mut room: BTreeMap<u64, usize> =
        part.iter().map(|(member, part)| (*member, part - owned[member].len())).collect();
    let mut out = Vec::new();
    for (role, from) in homeless {
        let free = room.iter().filter(|(_, room)| **room > 0).map(|(member, _)| *member);
        let Some(to) = free.max_by_key(|member| rank(role, *member)) else { break };
        if let Some(room) = room.get_mut(&to) {
            *room -= 1;
        }
        out.push(Reassignment { role: role.clone(), from, to });
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn apply(holders: &mut BTreeMap<String, Option<u64>>, moves: &[Reassignment]) {
        for one in moves {
            holders.insert(one.role.clone(), Some(one.to));
        }
    }

    proptest! {
        #[test]
        fn parts_are_even_and_no_move_is_spared(
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
            // The least that any plan must move: what nobody alive owns, and what is above the larger parts.
            let dead = before.values().filter(|holder| holder.is_none_or(|it| !live.contains(&it))).count();
            let mut had: Vec<usize> = live.iter().map(|member| count(&before, *member)).collect();
            had.sort_unstable_by(|a, b| b.cmp(a));
            let above = had.iter().enumerate().map(|(at, has)| has.saturating_sub(floor + usize::from(at < larger)));
            prop_assert_eq!(planned.len(), dead + above.sum::<usize>());
            prop_assert!(rebalance(&holders, &live).is_empty(), "what is even stays");
        }
    }
}
