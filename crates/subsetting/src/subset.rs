//! The subset of a proxy: which engines it prefers, and its slot among the proxies that share each of them.
//!
//! A proxy with an ordinal has its subset from the [`AssignmentTable`], which all proxies compute alike. A
//! proxy without one uses weighted rendezvous hashing by its name alone: the subset is the same after a
//! restart, but engines are distributed over the fleet no more evenly than at random, as the subset does not
//! depend on those of other proxies.

use std::collections::BTreeMap;

use crate::assignment::AssignmentTable;
pub use crate::assignment::CandidateEngine;
use crate::position::FleetPosition;
use crate::rotation::RotationSlot;
use crate::{exponential_hash, uniform_hash};

/// Combined (XOR) with the salt of the hashes that order the proxies at an engine, so that these hashes are
/// independent of those that decide which engines are in a subset.
const ROTATION_SALT: u64 = 1 << 40;

/// The engines in the order in which a proxy prefers them, and its slot in the rotation at each.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    /// The position that it was computed for; `None` before the first computation.
    pub position: Option<FleetPosition>,
    /// Ids of all engines: first those of the subset, then all others, which replace engines that cannot be
    /// used.
    pub order: Vec<u32>,
    /// How many engines at the beginning of `order` are in the subset.
    pub own_count: usize,
    /// By id of the engine: the slot among the proxies that have the engine in their subsets.
    slots: BTreeMap<u32, RotationSlot>,
}

impl Subset {
    /// Computes the subset of a proxy at this position. `fleet_size`, the number of proxies, determines the
    /// slots at engines where the proxy has no exclusive one.
    pub fn compute(
        position: FleetPosition,
        fleet_size: usize,
        candidates: &[CandidateEngine],
        subset_size: usize,
    ) -> Self {
        let seed = match position {
            FleetPosition::Ordinal { ordinal, .. } => u64::from(ordinal),
            FleetPosition::NameKey(key) => key,
        };
        let rendezvous =
            |index: usize| exponential_hash(candidates[index].key, seed) / candidates[index].size;
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        order.sort_by(|a, b| rendezvous(*a).total_cmp(&rendezvous(*b)));
        let own_count = subset_size.min(candidates.len());
        let mut slots = random_slots(seed, fleet_size, candidates, own_count);
        if let FleetPosition::Ordinal { ordinal, fleet_size } = position {
            let table = AssignmentTable::compute(fleet_size, candidates, subset_size);
            let own = table.subset_of(ordinal);
            // The sort is stable: engines in the subset and all others each keep their order.
            order.sort_by_key(|index| !own.contains(index));
            for index in own {
                slots.insert(
                    candidates[*index].id,
                    exclusive_slot(ordinal, *index, &table, &candidates[*index]),
                );
            }
        }
        let order = order.into_iter().map(|index| candidates[index].id).collect();
        Subset { position: Some(position), order, own_count, slots }
    }

    /// The proxy's slot in the rotation at an engine; a slot that is not exclusive, in a rotation of one, if
    /// there is no engine with this id.
    pub fn rotation_slot(&self, id: u32) -> RotationSlot {
        self.slots.get(&id).copied().unwrap_or(RotationSlot::UNKNOWN)
    }
}

/// Slots at all engines, for a proxy that cannot compute which other proxies share them: pseudo-random ones
/// among as many slots as there are proxies per engine on average.
fn random_slots(
    seed: u64,
    fleet_size: usize,
    candidates: &[CandidateEngine],
    own_count: usize,
) -> BTreeMap<u32, RotationSlot> {
    let count = (fleet_size as f64 * own_count as f64 / candidates.len().max(1) as f64).max(1.0);
    let slot = |candidate: &CandidateEngine| {
        let index = uniform_hash(candidate.key, seed ^ ROTATION_SALT) * count;
        (candidate.id, RotationSlot { index, count, exclusive: false })
    };
    candidates.iter().map(slot).collect()
}

/// The slot of an ordinal among the ordinals whose subsets contain the engine at this index. A hash
/// determines their order.
fn exclusive_slot(
    ordinal: u32,
    engine: usize,
    table: &AssignmentTable,
    candidate: &CandidateEngine,
) -> RotationSlot {
    let rank = |ordinal: usize| (uniform_hash(candidate.key, ordinal as u64 ^ ROTATION_SALT), ordinal);
    let own = rank(ordinal as usize);
    let mut slot = RotationSlot { index: 0.0, count: 0.0, exclusive: true };
    for (other, subset) in table.subsets().iter().enumerate() {
        if subset.contains(&engine) {
            slot.count += 1.0;
            slot.index += f64::from(u8::from(rank(other) < own));
        }
    }
    slot
}
