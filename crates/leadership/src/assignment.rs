//! Which member is to hold which role: spread evenly over the live members, with as few moves as possible.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A role that should go to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reassignment {
    /// The role.
    pub role: String,
    /// The live member that holds it now and must hand it over; `None`: it can be assigned at once.
    pub from: Option<u64>,
    /// The member that should hold it.
    pub to: u64,
}

/// Rendezvous hash: every member that computes a rebalancing comes to the same choice of roles.
fn rank(role: &str, member: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (role, member).hash(&mut hasher);
    hasher.finish()
}

/// The moves after which each live member holds its fair share of the roles, rounded down or up.
///
/// `holders` has the live holder of each role, `None` for a role without one. No plan needs fewer moves: every role
/// without a live holder moves, and beside these only what a member holds above its share. Where shares cannot be equal,
/// the members that hold most already keep the larger ones. Empty if no member is live.
pub fn rebalance(holders: &BTreeMap<String, Option<u64>>, live: &BTreeSet<u64>) -> Vec<Reassignment> {
    if live.is_empty() {
        return Vec::new();
    }
    let mut held: BTreeMap<u64, Vec<&String>> = live.iter().map(|member| (*member, Vec::new())).collect();
    let mut moving: Vec<(&String, Option<u64>)> = Vec::new();
    for (role, holder) in holders {
        match holder.and_then(|holder| held.get_mut(&holder)) {
            Some(roles) => roles.push(role),
            None => moving.push((role, None)),
        }
    }
    let shares = fair_shares(holders.len(), &held);
    let mut free_slots: BTreeMap<u64, usize> = BTreeMap::new();
    for (member, roles) in &mut held {
        roles.sort_by_key(|role| rank(role, *member));
        let surplus = roles.split_off(shares[member].min(roles.len()));
        moving.extend(surplus.into_iter().map(|role| (role, Some(*member))));
        free_slots.insert(*member, shares[member] - roles.len());
    }
    moving.sort();
    place(&moving, &mut free_slots)
}

/// How many of the roles each member should hold.
fn fair_shares(roles: usize, held: &BTreeMap<u64, Vec<&String>>) -> BTreeMap<u64, usize> {
    let (share, remainder) = (roles / held.len(), roles % held.len());
    let mut members: Vec<u64> = held.keys().copied().collect();
    members.sort_by_key(|member| (Reverse(held[member].len()), *member));
    let with_share = |(position, member): (usize, u64)| (member, share + usize::from(position < remainder));
    members.into_iter().enumerate().map(with_share).collect()
}

/// Finds a member with a free slot for each role that moves.
fn place(moving: &[(&String, Option<u64>)], free_slots: &mut BTreeMap<u64, usize>) -> Vec<Reassignment> {
    let mut moves = Vec::new();
    for (role, from) in moving {
        let candidates = free_slots.iter_mut().filter(|(_, slots)| **slots > 0);
        let Some((to, slots)) = candidates.max_by_key(|(member, _)| rank(role, **member)) else { break };
        *slots -= 1;
        moves.push(Reassignment { role: (*role).clone(), from: *from, to: *to });
    }
    moves
}
