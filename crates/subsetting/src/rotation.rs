//! A proxy's place in a rotation among the proxies that share something.

/// Which place in a rotation a proxy has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RotationSlot {
    /// How many places are before it. Not a whole number where the place was drawn at random.
    pub index: f64,
    /// How many places there are, at least 1.
    pub count: f64,
    /// Whether no other proxy has this place.
    pub exclusive: bool,
}

impl RotationSlot {
    /// The only place of a rotation of one. Not exclusive, as it stands for a rotation of which nothing is known.
    pub(crate) const UNKNOWN: RotationSlot = RotationSlot { index: 0.0, count: 1.0, exclusive: false };

    /// The factor by which the proxy stretches a pause that all proxies begin at the same moment, so that the pauses end one
    /// after the other: from 0.5 to 1.5, evenly by place.
    pub fn stagger_factor(self) -> f64 {
        0.5 + (self.index + 0.5).clamp(0.0, self.count) / self.count.max(1.0)
    }
}
