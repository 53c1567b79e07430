//! The assignment of engines to ordinals: which engines are the subset of which proxy.
//!
//! All proxies compute the same table from the same engines and the same number of ordinals. In it, every engine belongs to
//! as many subsets as its size entitles it to within its zone, rounded up or down.
//!
//! This is rendezvous hashing with exact bounds: every pair of an ordinal and an engine draws a pseudo-random number that
//! depends on the two alone, the pairs are visited in that order, and a pair is taken if both still have room. As the
//! number of a pair does not depend on who else is there, a change of the fleet moves few pairs.

use std::collections::BTreeMap;

use crate::{exponential_hash, uniform_hash};

/// Salt under which engines with equal remainders are ordered. Kept as it is: proxies of all builds must agree on it.
const REMAINDER_SALT: u64 = 1;
/// Tolerance for rounding errors when a share that should be a whole number is rounded down.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Remainders that differ by less than one part in this many count as equal.
const REMAINDER_RESOLUTION: f64 = 1e6;

/// An engine that can belong to subsets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateEngine {
    /// The embedder's number of the engine.
    pub id: u32,
    /// The engine's key, the same at every proxy; see [`crate::key`].
    pub key: u64,
    /// Its size relative to the others, above 0.
    pub size: f64,
    /// Its zone.
    pub zone: u64,
}

/// The subsets of all ordinals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AssignmentTable {
    /// By ordinal: indices into the list of members.
    subsets: Vec<Vec<usize>>,
}

impl AssignmentTable {
    /// Computes the subsets of all ordinals, each of `subset_size` engines, or of all if there are fewer. The order of the
    /// members does not matter; their keys must differ.
    pub fn draw(fleet_size: u32, members: &[CandidateEngine], subset_size: usize) -> Self {
        let fleet_size = fleet_size as usize;
        let mut zones: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (index, member) in members.iter().enumerate() {
            zones.entry(member.zone).or_default().push(index);
        }
        let counts = engines_per_zone(&zones, members, subset_size);
        let mut subsets = vec![Vec::new(); fleet_size];
        for (zone, indices) in &zones {
            let in_zone: Vec<&CandidateEngine> = indices.iter().map(|index| &members[*index]).collect();
            let count = counts.get(zone).copied().unwrap_or(0);
            let drawn = draw_zone(fleet_size, &in_zone, count);
            for (subset, drawn) in subsets.iter_mut().zip(drawn) {
                subset.extend(drawn.into_iter().map(|index| indices[index]));
            }
        }
        AssignmentTable { subsets }
    }

    /// The engines of an ordinal, as indices into the list of members; empty if there is no such ordinal.
    pub fn subset_of(&self, ordinal: u32) -> &[usize] {
        self.subsets.get(ordinal as usize).map_or(&[], Vec::as_slice)
    }

    /// The engines of all ordinals, as indices into the list of members.
    pub fn subsets(&self) -> &[Vec<usize>] {
        &self.subsets
    }
}

/// Distributes the places of a subset over the zones, in proportion to the zones' sizes (largest remainders first). Each
/// zone gets at least one, as long as there are enough places.
fn engines_per_zone(
    zones: &BTreeMap<u64, Vec<usize>>,
    members: &[CandidateEngine],
    subset_size: usize,
) -> BTreeMap<u64, usize> {
    let size_of = |indices: &Vec<usize>| indices.iter().map(|index| members[*index].size).sum::<f64>();
    let sizes: BTreeMap<u64, f64> = zones.iter().map(|(zone, indices)| (*zone, size_of(indices))).collect();
    let total: f64 = sizes.values().sum();
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    for _ in 0..subset_size {
        // The next place goes to the zone that has least for its size: empty zones first, the largest of them at the front,
        // then by what the zone would have over what it should have.
        let urgency = |zone: &u64| match counts.get(zone) {
            None => -sizes[zone],
            Some(count) => (*count as f64 + 0.5) * total / sizes[zone],
        };
        let has_room = |zone: &&u64| counts.get(*zone).copied().unwrap_or(0) < zones[*zone].len();
        let open = zones.keys().filter(has_room);
        let Some(next) = open.min_by(|a, b| urgency(a).total_cmp(&urgency(b))).copied() else { break };
        *counts.entry(next).or_default() += 1;
    }
    counts
}

/// Computes the subsets of all ordinals within one zone, as indices into `members`.
fn draw_zone(fleet_size: usize, members: &[&CandidateEngine], subset_size: usize) -> Vec<Vec<usize>> {
    let subset_size = subset_size.min(members.len());
    if subset_size == members.len() {
        return vec![(0..subset_size).collect(); fleet_size];
    }
    let mut draw = ZoneDraw {
        members,
        subset_size,
        remaining: quotas(members, fleet_size, subset_size),
        subsets: vec![Vec::with_capacity(subset_size); fleet_size],
    };
    draw.take_pairs_in_order();
    draw.fill_gaps();
    draw.subsets
}

/// A draw within one zone that is under way.
struct ZoneDraw<'a> {
    members: &'a [&'a CandidateEngine],
    subset_size: usize,
    /// By engine: how many more subsets it is to belong to.
    remaining: Vec<usize>,
    /// By ordinal: its engines so far.
    subsets: Vec<Vec<usize>>,
}

/// A pair of an ordinal and an engine.
struct Pair {
    /// Pairs are visited in this order.
    order: f64,
    ordinal: u32,
    engine: u32,
}

impl ZoneDraw<'_> {
    /// Visits all pairs in their order and takes those whose ordinal and engine both have room.
    fn take_pairs_in_order(&mut self) {
        let mut pairs: Vec<Pair> = Vec::with_capacity(self.subsets.len() * self.members.len());
        for (engine, member) in self.members.iter().enumerate() {
            // Divided by the quota, so that all engines fill up at the same pace.
            let quota = self.remaining[engine].max(1) as f64;
            for ordinal in 0..self.subsets.len() {
                let order = exponential_hash(member.key, ordinal as u64) / quota;
                pairs.push(Pair { order, ordinal: ordinal as u32, engine: engine as u32 });
            }
        }
        let key = |pair: &Pair| self.members[pair.engine as usize].key;
        pairs.sort_unstable_by(|a, b| {
            let by_order = a.order.total_cmp(&b.order).then(a.ordinal.cmp(&b.ordinal));
            by_order.then_with(|| key(a).cmp(&key(b)))
        });
        for pair in pairs {
            let (subset, engine) = (&mut self.subsets[pair.ordinal as usize], pair.engine as usize);
            if subset.len() < self.subset_size && self.remaining[engine] > 0 {
                subset.push(engine);
                self.remaining[engine] -= 1;
            }
        }
    }

    /// Fills the subsets that are still too small. The engines with room may all belong to such a subset already; then
    /// another subset takes one of them in exchange for an engine that the small subset lacks.
    fn fill_gaps(&mut self) {
        let mut by_key: Vec<usize> = (0..self.members.len()).collect();
        by_key.sort_by_key(|engine| self.members[*engine].key);
        for ordinal in 0..self.subsets.len() {
            while self.subsets[ordinal].len() < self.subset_size {
                let Some(engine) = by_key.iter().copied().find(|engine| self.remaining[*engine] > 0) else {
                    break;
                };
                let Some(gained) = self.engine_gained(ordinal, engine) else { break };
                self.subsets[ordinal].push(gained);
                self.remaining[engine] -= 1;
            }
        }
    }

    /// What an ordinal gains if `engine` is placed: the engine itself, or one that another ordinal gives up for it.
    fn engine_gained(&mut self, ordinal: usize, engine: usize) -> Option<usize> {
        let own = &self.subsets[ordinal];
        if !own.contains(&engine) {
            return Some(engine);
        }
        let exchange = |subset: &Vec<usize>| {
            let spare = subset.iter().position(|other| !own.contains(other));
            spare.filter(|_| !subset.contains(&engine))
        };
        let mut others = self.subsets.iter().enumerate();
        let (other, place) = others.find_map(|(other, subset)| Some((other, exchange(subset)?)))?;
        Some(std::mem::replace(&mut self.subsets[other][place], engine))
    }
}

/// How many subsets each engine belongs to: its share by size, rounded so that the sum is exact, and at most every subset.
fn quotas(members: &[&CandidateEngine], fleet_size: usize, subset_size: usize) -> Vec<usize> {
    let exact: Vec<f64> =
        shares(members, subset_size).iter().map(|share| share * fleet_size as f64).collect();
    let mut quotas: Vec<usize> =
        exact.iter().map(|quota| (quota + ROUNDING_TOLERANCE).floor() as usize).collect();
    let remainder = |engine: usize| {
        let remainder: f64 = exact[engine] - exact[engine].floor();
        (remainder * REMAINDER_RESOLUTION).round()
    };
    // Equal remainders are ordered by a hash, which stays the same while the remainders of all grow together.
    let tie_breaker = |engine: usize| uniform_hash(members[engine].key, REMAINDER_SALT);
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by(|a, b| {
        let by_remainder = remainder(*b).total_cmp(&remainder(*a));
        by_remainder.then_with(|| tie_breaker(*a).total_cmp(&tie_breaker(*b)))
    });
    let missing = (fleet_size * subset_size).saturating_sub(quotas.iter().sum());
    let open: Vec<usize> = order.into_iter().filter(|engine| quotas[*engine] < fleet_size).collect();
    open.into_iter().take(missing).for_each(|engine| quotas[engine] += 1);
    quotas
}

/// The part of all subsets that each engine belongs to, at most 1. What an engine too large for its share cannot take is
/// divided among the others.
fn shares(members: &[&CandidateEngine], subset_size: usize) -> Vec<f64> {
    let mut shares = vec![0.0f64; members.len()];
    let mut full = vec![false; members.len()];
    loop {
        let taken = full.iter().filter(|full| **full).count();
        let open = members.iter().zip(&full).filter(|(_, full)| !**full);
        let open_size: f64 = open.map(|(member, _)| member.size).sum();
        for (engine, member) in members.iter().enumerate().filter(|(engine, _)| !full[*engine]) {
            shares[engine] = (subset_size - taken) as f64 * member.size / open_size;
        }
        let mut changed = false;
        for (share, full) in shares.iter_mut().zip(&mut full) {
            if *share >= 1.0 && !*full {
                (*share, *full, changed) = (1.0, true, true);
            }
        }
        if !changed {
            return shares;
        }
    }
}
