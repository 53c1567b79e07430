//! Where a proxy stands among all that choose by the same rules.

use crate::lot;
use crate::subset::RotationSlot;

/// Where a proxy stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetPosition {
    /// Its number among all, each of which has another one.
    Ordinal {
        /// The number, from 0.
        ordinal: u32,
        /// How many there are.
        fleet_size: u32,
    },
    /// It has none, and chooses by a number that is most likely its own: the key of its name.
    NameKey(u64),
}

impl FleetPosition {
    /// A seat, if there is such a one.
    pub fn ordinal(ordinal: u32, fleet_size: u32) -> Option<Self> {
        (ordinal < fleet_size && fleet_size <= MAX_ORDINALS)
            .then_some(FleetPosition::Ordinal { ordinal, fleet_size })
    }

    /// Where it stands among all.
    pub fn rotation_slot(self) -> RotationSlot {
        match self {
            FleetPosition::Ordinal { ordinal, fleet_size } => {
                RotationSlot { index: f64::from(ordinal), count: f64::from(fleet_size), exclusive: true }
            }
            FleetPosition::NameKey(name) => {
                RotationSlot { index: lot(name, 0) * NAME_BUCKETS, count: NAME_BUCKETS, exclusive: false }
            }
        }
    }
}

/// Proxies that are told apart by a lot of their names.
const NAME_BUCKETS: f64 = 1_000.0;

/// Seats at most: a table of more would take a proxy longer to draw than its requests may wait.
pub const MAX_ORDINALS: u32 = 2_000;

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{key, slow_start::stagger_factor};

    /// Pauses that a hundred proxies begin together end spread out, from half to one and a half of their length.
    #[test]
    fn pauses_that_begin_together_end_one_after_the_other() {
        let tenths = |places: &dyn Fn(u32) -> FleetPosition| {
            let mut counts = [0; 10];
            (0..100).for_each(|at| {
                counts[((stagger_factor(places(at).rotation_slot()) - 0.5) * 10.0) as usize] += 1
            });
            counts
        };
        assert_eq!(tenths(&|at| FleetPosition::ordinal(at, 100).unwrap()), [10; 10]);
        let names = tenths(&|at| FleetPosition::NameKey(key(&format!("n{at}"))));
        assert!(names.iter().all(|count| (2..25).contains(count)), "{names:?}");
        assert_eq!(
            (FleetPosition::ordinal(4, 4), FleetPosition::ordinal(0, MAX_ORDINALS + 1)),
            (None, None),
            "no such seats"
        );
    }
}
