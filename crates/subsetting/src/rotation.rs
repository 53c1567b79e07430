//! The slot of a proxy in a rotation among proxies, such as those that share an engine.

/// The slot of a proxy in a rotation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RotationSlot {
    /// The number of slots before it. Not an integer if the slot is pseudo-random.
    pub index: f64,
    /// The number of slots in the rotation, at least 1.
    pub count: f64,
    /// Whether no other proxy has this slot.
    pub exclusive: bool,
}

impl RotationSlot {
    /// The slot in a rotation of unknown size: the only one, but not exclusive.
    pub(crate) const UNKNOWN: RotationSlot = RotationSlot { index: 0.0, count: 1.0, exclusive: false };

    /// The factor by which the proxy multiplies a pause that all proxies begin at the same moment, so that
    /// the pauses end one after the other: from 0.5 to 1.5, evenly distributed by slot.
    pub fn stagger_factor(self) -> f64 {
        0.5 + (self.index + 0.5).clamp(0.0, self.count) / self.count.max(1.0)
    }
}
