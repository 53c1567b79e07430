//! A proxy's subset: which engines it prefers, and its place among the proxies that share each of them.
//!
//! A proxy with an ordinal takes its subset from the [`AssignmentTable`] that all proxies compute alike. A proxy without one
//! uses weighted rendezvous hashing by its name alone: the subset is the same after a restart, but no more even over the
//! fleet than chance, as nothing ties it to the subsets of other proxies.

use std::collections::BTreeMap;

use crate::assignment::AssignmentTable;
pub use crate::assignment::CandidateEngine;
use crate::position::FleetPosition;
use crate::rotation::RotationSlot;
use crate::{exponential_hash, uniform_hash};

/// Added to the salt of hashes that order the proxies at an engine, so that they are independent of the hashes that decide
/// which engines a proxy has.
const ROTATION_SALT: u64 = 1 << 40;

/// The engines in the order in which a proxy prefers them, and its place in the rotation at each.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    /// The position that it was drawn for.
    pub position: Option<FleetPosition>,
    /// Ids of all engines: first the proxy's own, then the others, which step in for those that cannot be used.
    pub order: Vec<u32>,
    /// How many engines at the beginning of `order` are the proxy's own.
    pub own_count: usize,
    /// By id of the engine: the place among the proxies whose own it is.
    slots: BTreeMap<u32, RotationSlot>,
}

impl Subset {
    /// Draws the subset of a proxy at this position. `fleet_size` is the number of proxies where the position does not tell.
    pub fn compute(
        position: FleetPosition,
        fleet_size: usize,
        members: &[CandidateEngine],
        subset_size: usize,
    ) -> Self {
        let seed = match position {
            FleetPosition::Ordinal { ordinal, .. } => u64::from(ordinal),
            FleetPosition::NameKey(key) => key,
        };
        let rendezvous = |index: usize| exponential_hash(members[index].key, seed) / members[index].size;
        let mut order: Vec<usize> = (0..members.len()).collect();
        order.sort_by(|a, b| rendezvous(*a).total_cmp(&rendezvous(*b)));
        let own_count = subset_size.min(members.len());
        let mut slots = random_slots(seed, fleet_size, members, own_count);
        if let FleetPosition::Ordinal { ordinal, fleet_size } = position {
            let table = AssignmentTable::draw(fleet_size, members, subset_size);
            let own = table.subset_of(ordinal);
            // A stable sort: both groups keep their order.
            order.sort_by_key(|index| !own.contains(index));
            for index in own {
                slots.insert(members[*index].id, exclusive_slot(ordinal, *index, &table, &members[*index]));
            }
        }
        let order = order.into_iter().map(|index| members[index].id).collect();
        Subset { position: Some(position), order, own_count, slots }
    }

    /// The proxy's place in the rotation at an engine, or that of a lone proxy if the engine is not known.
    pub fn rotation_slot(&self, id: u32) -> RotationSlot {
        self.slots.get(&id).copied().unwrap_or(RotationSlot::UNKNOWN)
    }
}

/// Places at all engines where it is not known which other proxies have them: random ones among as many as an engine has on
/// average.
fn random_slots(
    seed: u64,
    fleet_size: usize,
    members: &[CandidateEngine],
    own_count: usize,
) -> BTreeMap<u32, RotationSlot> {
    let count = (fleet_size as f64 * own_count as f64 / members.len().max(1) as f64).max(1.0);
    let slot = |member: &CandidateEngine| {
        let index = uniform_hash(member.key, seed ^ ROTATION_SALT) * count;
        (member.id, RotationSlot { index, count, exclusive: false })
    };
    members.iter().map(slot).collect()
}

/// The place of an ordinal among those whose subsets contain the engine at this index; they are ordered by a hash.
fn exclusive_slot(
    ordinal: u32,
    engine: usize,
    table: &AssignmentTable,
    member: &CandidateEngine,
) -> RotationSlot {
    let rank = |ordinal: usize| (uniform_hash(member.key, ordinal as u64 ^ ROTATION_SALT), ordinal);
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
