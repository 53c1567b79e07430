//! The assignment of engines to ordinals: which engines make up the subset of which proxy.
//!
//! All proxies compute the same table from the same engines and the same number of ordinals. Within its zone,
//! every engine belongs to a number of subsets that is proportional to its size, rounded up or down: its
//! quota.
//!
//! The algorithm is weighted rendezvous hashing with exact bounds. Every pair of an ordinal and an engine has
//! a pseudo-random number that depends on these two alone. The pairs are visited in the order of these
//! numbers, and a pair is accepted if the subset of the ordinal is not full and the quota of the engine is
//! not used up. As the number of a pair does not depend on the other ordinals and engines, a change of the
//! fleet moves few pairs.

use std::collections::BTreeMap;

use crate::{exponential_hash, uniform_hash};

/// Salt of the hash that orders engines with equal remainders. It must not change: proxies of all builds must
/// agree on it.
const REMAINDER_SALT: u64 = 1;
/// Added before a quota is rounded down, so that a rounding error does not turn an integer into the one below
/// it.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Remainders are rounded to multiples of one over this number before they are compared.
const REMAINDER_RESOLUTION: f64 = 1e6;

/// An engine that can belong to subsets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateEngine {
    /// The number by which the embedder identifies the engine.
    pub id: u32,
    /// The engine's key, the same at every proxy; see [`crate::key`].
    pub key: u64,
    /// The size of the engine relative to the other engines, above 0.
    pub size: f64,
    /// The zone of the engine.
    pub zone: u64,
}

/// The subsets of all ordinals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AssignmentTable {
    /// By ordinal: indices into the list of engines.
    subsets: Vec<Vec<usize>>,
}

impl AssignmentTable {
    /// Computes the subsets of all ordinals, each of `subset_size` engines, or of all if there are fewer. The
    /// result does not depend on the order of the engines; their keys must differ.
    pub fn compute(fleet_size: u32, candidates: &[CandidateEngine], subset_size: usize) -> Self {
        let fleet_size = fleet_size as usize;
        let mut zones: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (index, candidate) in candidates.iter().enumerate() {
            zones.entry(candidate.zone).or_default().push(index);
        }
        let counts = engines_per_zone(&zones, candidates, subset_size);
        let mut subsets = vec![Vec::new(); fleet_size];
        for (zone, indices) in &zones {
            let in_zone: Vec<&CandidateEngine> = indices.iter().map(|index| &candidates[*index]).collect();
            let count = counts.get(zone).copied().unwrap_or(0);
            let zone_subsets = assign_zone(fleet_size, &in_zone, count);
            for (subset, zone_subset) in subsets.iter_mut().zip(zone_subsets) {
                subset.extend(zone_subset.into_iter().map(|index| indices[index]));
            }
        }
        AssignmentTable { subsets }
    }

    /// The engines in the subset of an ordinal, as indices into the list of engines; empty if there is no
    /// such ordinal.
    pub fn subset_of(&self, ordinal: u32) -> &[usize] {
        self.subsets.get(ordinal as usize).map_or(&[], Vec::as_slice)
    }

    /// The subsets by ordinal, as indices into the list of engines.
    pub fn subsets(&self) -> &[Vec<usize>] {
        &self.subsets
    }
}

/// Computes how many engines of each zone a subset contains: in proportion to the sizes of the zones, by
/// Webster's method, except that every zone gets one engine before any zone gets a second one.
fn engines_per_zone(
    zones: &BTreeMap<u64, Vec<usize>>,
    candidates: &[CandidateEngine],
    subset_size: usize,
) -> BTreeMap<u64, usize> {
    let size_of = |indices: &Vec<usize>| indices.iter().map(|index| candidates[*index].size).sum::<f64>();
    let sizes: BTreeMap<u64, f64> = zones.iter().map(|(zone, indices)| (*zone, size_of(indices))).collect();
    let total: f64 = sizes.values().sum();
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    for _ in 0..subset_size {
        // The zone with the lowest rank gets the next engine: first zones without any, the largest of them
        // first, then the zone that would stay furthest below its proportion.
        let rank = |zone: &u64| match counts.get(zone) {
            None => -sizes[zone],
            Some(count) => (*count as f64 + 0.5) * total / sizes[zone],
        };
        let has_unused_engine = |zone: &&u64| counts.get(*zone).copied().unwrap_or(0) < zones[*zone].len();
        let unfilled_zones = zones.keys().filter(has_unused_engine);
        let Some(next) = unfilled_zones.min_by(|a, b| rank(a).total_cmp(&rank(b))).copied() else { break };
        *counts.entry(next).or_default() += 1;
    }
    counts
}

/// Computes the subsets of all ordinals within one zone, as indices into `candidates`.
fn assign_zone(fleet_size: usize, candidates: &[&CandidateEngine], subset_size: usize) -> Vec<Vec<usize>> {
    let subset_size = subset_size.min(candidates.len());
    if subset_size == candidates.len() {
        return vec![(0..subset_size).collect(); fleet_size];
    }
    let mut assignment = ZoneAssignment {
        candidates,
        subset_size,
        remaining_quotas: quotas(candidates, fleet_size, subset_size),
        subsets: vec![Vec::with_capacity(subset_size); fleet_size],
    };
    assignment.accept_pairs_in_order();
    assignment.fill_gaps();
    assignment.subsets
}

/// The assignment within one zone while it is computed.
struct ZoneAssignment<'a> {
    candidates: &'a [&'a CandidateEngine],
    subset_size: usize,
    /// By engine: how many more subsets the engine is to be added to.
    remaining_quotas: Vec<usize>,
    /// By ordinal: the engines that have been added to its subset.
    subsets: Vec<Vec<usize>>,
}

/// A pair of an ordinal and an engine.
struct Pair {
    /// Pairs are visited in ascending order of this number.
    order: f64,
    ordinal: u32,
    engine: u32,
}

impl ZoneAssignment<'_> {
    /// Visits all pairs in their order and accepts each one whose subset is not full and whose engine has
    /// quota remaining.
    fn accept_pairs_in_order(&mut self) {
        let mut pairs: Vec<Pair> = Vec::with_capacity(self.subsets.len() * self.candidates.len());
        for (engine, candidate) in self.candidates.iter().enumerate() {
            // Divided by the quota, so that all engines use up their quotas at the same rate.
            let quota = self.remaining_quotas[engine].max(1) as f64;
            for ordinal in 0..self.subsets.len() {
                let order = exponential_hash(candidate.key, ordinal as u64) / quota;
                pairs.push(Pair { order, ordinal: ordinal as u32, engine: engine as u32 });
            }
        }
        let key = |pair: &Pair| self.candidates[pair.engine as usize].key;
        pairs.sort_unstable_by(|a, b| {
            let by_order = a.order.total_cmp(&b.order).then(a.ordinal.cmp(&b.ordinal));
            by_order.then_with(|| key(a).cmp(&key(b)))
        });
        for pair in pairs {
            let (subset, engine) = (&mut self.subsets[pair.ordinal as usize], pair.engine as usize);
            if subset.len() < self.subset_size && self.remaining_quotas[engine] > 0 {
                subset.push(engine);
                self.remaining_quotas[engine] -= 1;
            }
        }
    }

    /// Fills the subsets that are not full. If such a subset already contains the engine that has quota
    /// remaining, the engine goes to the subset of another ordinal, in exchange for an engine that the first
    /// subset lacks.
    fn fill_gaps(&mut self) {
        let mut by_key: Vec<usize> = (0..self.candidates.len()).collect();
        by_key.sort_by_key(|engine| self.candidates[*engine].key);
        for ordinal in 0..self.subsets.len() {
            while self.subsets[ordinal].len() < self.subset_size {
                let has_quota = |engine: &usize| self.remaining_quotas[*engine] > 0;
                let Some(engine) = by_key.iter().copied().find(has_quota) else { break };
                let Some(added) = self.exchange_if_contained(ordinal, engine) else { break };
                self.subsets[ordinal].push(added);
                self.remaining_quotas[engine] -= 1;
            }
        }
    }

    /// Returns the engine to add to the subset of an ordinal: `engine` itself, or if the subset already
    /// contains it, an engine from another subset, in which `engine` takes the place of that one. `None` if
    /// no subset allows the exchange.
    fn exchange_if_contained(&mut self, ordinal: usize, engine: usize) -> Option<usize> {
        let own = &self.subsets[ordinal];
        if !own.contains(&engine) {
            return Some(engine);
        }
        let exchange = |subset: &Vec<usize>| {
            let exchangeable = subset.iter().position(|other| !own.contains(other));
            exchangeable.filter(|_| !subset.contains(&engine))
        };
        let mut subsets = self.subsets.iter().enumerate();
        let (other, position) = subsets.find_map(|(other, subset)| Some((other, exchange(subset)?)))?;
        Some(std::mem::replace(&mut self.subsets[other][position], engine))
    }
}

/// Computes how many subsets each engine belongs to: in proportion to its size, rounded up or down so that
/// the sum is exact, and at most `fleet_size`.
fn quotas(candidates: &[&CandidateEngine], fleet_size: usize, subset_size: usize) -> Vec<usize> {
    let exact: Vec<f64> = subset_fractions(candidates, subset_size)
        .iter()
        .map(|fraction| fraction * fleet_size as f64)
        .collect();
    let mut quotas: Vec<usize> =
        exact.iter().map(|quota| (quota + ROUNDING_TOLERANCE).floor() as usize).collect();
    let remainder = |engine: usize| {
        let remainder: f64 = exact[engine] - exact[engine].floor();
        (remainder * REMAINDER_RESOLUTION).round()
    };
    // Equal remainders are ordered by a hash of the key alone, so that the order stays the same while all
    // remainders grow together.
    let tie_breaker = |engine: usize| uniform_hash(candidates[engine].key, REMAINDER_SALT);
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by(|a, b| {
        let by_remainder = remainder(*b).total_cmp(&remainder(*a));
        by_remainder.then_with(|| tie_breaker(*a).total_cmp(&tie_breaker(*b)))
    });
    let missing = (fleet_size * subset_size).saturating_sub(quotas.iter().sum());
    let not_in_all: Vec<usize> = order.into_iter().filter(|engine| quotas[*engine] < fleet_size).collect();
    not_in_all.into_iter().take(missing).for_each(|engine| quotas[engine] += 1);
    quotas
}

/// Computes the fraction of all subsets that each engine belongs to, from 0 to 1. Where the size of an engine
/// asks for more than 1, the excess is divided among the other engines.
fn subset_fractions(candidates: &[&CandidateEngine], subset_size: usize) -> Vec<f64> {
    let mut fractions = vec![0.0f64; candidates.len()];
    let mut in_all = vec![false; candidates.len()];
    loop {
        let in_all_count = in_all.iter().filter(|in_all| **in_all).count();
        let not_in_all = candidates.iter().zip(&in_all).filter(|(_, in_all)| !**in_all);
        let size_not_in_all: f64 = not_in_all.map(|(candidate, _)| candidate.size).sum();
        for (engine, candidate) in candidates.iter().enumerate().filter(|(engine, _)| !in_all[*engine]) {
            fractions[engine] = (subset_size - in_all_count) as f64 * candidate.size / size_not_in_all;
        }
        let mut changed = false;
        for (fraction, in_all) in fractions.iter_mut().zip(&mut in_all) {
            if *fraction >= 1.0 && !*in_all {
                (*fraction, *in_all, changed) = (1.0, true, true);
            }
        }
        if !changed {
            return fractions;
        }
    }
}
