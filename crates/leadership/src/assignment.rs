//! Assignment of roles to members: spreads the roles evenly over the live members with as few moves as
//! possible.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A role that should go to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reassignment {
    /// Name of the role.
    pub role: String,
    /// The live member that must hand the role over; `None` if the role has no live holder and can be
    /// assigned at once.
    pub from: Option<u64>,
    /// The member that should hold the role.
    pub to: u64,
}

/// Rendezvous hash of a role and a member, so that every leader computes the same assignment.
fn rank(role: &str, member: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (role, member).hash(&mut hasher);
    hasher.finish()
}

/// Computes the moves after which the numbers of roles of any two live members differ by at most one.
///
/// `holders` maps each role to its holder, `None` for a role without one. The number of moves is minimal:
/// only roles without a live holder move, and roles that exceed the target count of their holder. Where the
/// counts cannot be equal, the members with the most roles get the higher counts. Returns no moves if no
/// member is live.
pub fn rebalance(holders: &BTreeMap<String, Option<u64>>, live: &BTreeSet<u64>) -> Vec<Reassignment> {
    if live.is_empty() {
        return Vec::new();
    }
    let mut roles_by_member: BTreeMap<u64, Vec<&String>> =
        live.iter().map(|member| (*member, Vec::new())).collect();
    let mut moving: Vec<(&String, Option<u64>)> = Vec::new();
    for (role, holder) in holders {
        match holder.and_then(|holder| roles_by_member.get_mut(&holder)) {
            Some(roles) => roles.push(role),
            None => moving.push((role, None)),
        }
    }
    let target_counts = target_counts(holders.len(), &roles_by_member);
    let mut free_slots: BTreeMap<u64, usize> = BTreeMap::new();
    for (member, roles) in &mut roles_by_member {
        roles.sort_by_key(|role| rank(role, *member));
        let surplus = roles.split_off(target_counts[member].min(roles.len()));
        moving.extend(surplus.into_iter().map(|role| (role, Some(*member))));
        free_slots.insert(*member, target_counts[member] - roles.len());
    }
    moving.sort();
    assign_to_free_slots(&moving, &mut free_slots)
}

/// The number of roles that each member should hold.
fn target_counts(role_count: usize, roles_by_member: &BTreeMap<u64, Vec<&String>>) -> BTreeMap<u64, usize> {
    let quotient = role_count / roles_by_member.len();
    let remainder = role_count % roles_by_member.len();
    let mut members: Vec<u64> = roles_by_member.keys().copied().collect();
    members.sort_by_key(|member| (Reverse(roles_by_member[member].len()), *member));
    let with_target =
        |(position, member): (usize, u64)| (member, quotient + usize::from(position < remainder));
    members.into_iter().enumerate().map(with_target).collect()
}

/// Assigns each moving role to the member with a free slot that has the highest [`rank`] for it.
fn assign_to_free_slots(
    moving: &[(&String, Option<u64>)],
    free_slots: &mut BTreeMap<u64, usize>,
) -> Vec<Reassignment> {
    let mut moves = Vec::new();
    for (role, from) in moving {
        let candidates = free_slots.iter_mut().filter(|(_, slots)| **slots > 0);
        let Some((to, slots)) = candidates.max_by_key(|(member, _)| rank(role, **member)) else { break };
        *slots -= 1;
        moves.push(Reassignment { role: (*role).clone(), from: *from, to: *to });
    }
    moves
}
