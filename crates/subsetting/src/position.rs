//! A proxy's position among all proxies that decide by the same rules.

use crate::rotation::RotationSlot;
use crate::uniform_hash;

/// The largest fleet with ordinals: an assignment table for more would take a proxy longer to compute than its requests can
/// wait.
pub const MAX_ORDINALS: u32 = 2_000;

/// Places of the rotation among proxies that are only known by their names.
const NAME_BUCKETS: f64 = 1_000.0;

/// An ordinal together with the size of the fleet that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrdinalAssignment {
    /// The ordinal, from 0.
    pub ordinal: u32,
    /// How many ordinals there are.
    pub fleet_size: u32,
}

/// A proxy's position among all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetPosition {
    /// A number that no other proxy has.
    Ordinal {
        /// The number, from 0.
        ordinal: u32,
        /// How many ordinals there are.
        fleet_size: u32,
    },
    /// No ordinal is known: the proxy decides by the key of its name, which is most likely unique.
    NameKey(u64),
}

impl FleetPosition {
    /// The position with this ordinal; `None` if the fleet has no such ordinal or is larger than [`MAX_ORDINALS`].
    pub fn ordinal(ordinal: u32, fleet_size: u32) -> Option<Self> {
        let valid = ordinal < fleet_size && fleet_size <= MAX_ORDINALS;
        valid.then_some(FleetPosition::Ordinal { ordinal, fleet_size })
    }

    /// The place in a rotation among all proxies.
    pub fn rotation_slot(self) -> RotationSlot {
        match self {
            FleetPosition::Ordinal { ordinal, fleet_size } => {
                RotationSlot { index: f64::from(ordinal), count: f64::from(fleet_size), exclusive: true }
            }
            FleetPosition::NameKey(key) => {
                let index = uniform_hash(key, 0) * NAME_BUCKETS;
                RotationSlot { index, count: NAME_BUCKETS, exclusive: false }
            }
        }
    }
}
