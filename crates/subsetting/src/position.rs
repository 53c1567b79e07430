//! The position of a proxy in the fleet, which consists of all proxies that decide by the same rules.

use crate::rotation::RotationSlot;
use crate::uniform_hash;

/// The largest fleet with ordinals. Computing the assignment table of a larger one would delay requests for
/// too long.
pub const MAX_ORDINALS: u32 = 2_000;

/// The number of slots in a rotation of proxies without ordinals.
const NAME_KEY_SLOTS: f64 = 1_000.0;

/// An ordinal together with the size of the fleet that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrdinalAssignment {
    /// The ordinal, from 0.
    pub ordinal: u32,
    /// The number of ordinals in the fleet, assigned or free.
    pub fleet_size: u32,
}

/// The position of a proxy in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetPosition {
    /// The proxy has an ordinal, which no other proxy has at the same time.
    Ordinal {
        /// The ordinal, from 0.
        ordinal: u32,
        /// The number of ordinals in the fleet, assigned or free.
        fleet_size: u32,
    },
    /// The proxy has no ordinal and decides by the key of its name, which is unique with high probability.
    NameKey(u64),
}

impl FleetPosition {
    /// The position with this ordinal; `None` if the fleet has no such ordinal or is larger than
    /// [`MAX_ORDINALS`].
    pub fn ordinal(ordinal: u32, fleet_size: u32) -> Option<Self> {
        let valid = ordinal < fleet_size && fleet_size <= MAX_ORDINALS;
        valid.then_some(FleetPosition::Ordinal { ordinal, fleet_size })
    }

    /// The slot of the proxy in a rotation among all proxies.
    pub fn rotation_slot(self) -> RotationSlot {
        match self {
            FleetPosition::Ordinal { ordinal, fleet_size } => {
                RotationSlot { index: f64::from(ordinal), count: f64::from(fleet_size), exclusive: true }
            }
            FleetPosition::NameKey(key) => {
                let index = uniform_hash(key, 0) * NAME_KEY_SLOTS;
                RotationSlot { index, count: NAME_KEY_SLOTS, exclusive: false }
            }
        }
    }
}
