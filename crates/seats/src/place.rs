//! Where a proxy stands among all that choose by the same rules.

/// Where a proxy stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Its number among all, each of which has another one.
    Seat {
        /// The number, from 0.
        seat: u32,
        /// How many there are.
        seats: u32,
    },
    /// It has none, and chooses by a number that is most likely its own: the key of its name.
    Name(u64),
}

impl Place {
    /// A seat, if there is such a one.
    pub fn seat(seat: u32, seats: u32) -> Option<Self> {
        (seat < seats && seats <= SEATS).then_some(Place::Seat { seat, seats })
    }
}

/// Seats at most: a table of more would take a proxy longer to draw than its requests may wait.
pub const SEATS: u32 = 2_000;
