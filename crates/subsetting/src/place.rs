//! Where a proxy stands among all that choose by the same rules.

use crate::lot;
use crate::subset::Stand;

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

    /// Where it stands among all.
    pub fn stand(self) -> Stand {
        match self {
            Place::Seat { seat, seats } => Stand { at: f64::from(seat), of: f64::from(seats), exact: true },
            Place::Name(name) => Stand { at: lot(name, 0) * NAMES, of: NAMES, exact: false },
        }
    }
}

/// Proxies that are told apart by a lot of their names.
const NAMES: f64 = 1_000.0;

/// Seats at most: a table of more would take a proxy longer to draw than its requests may wait.
pub const SEATS: u32 = 2_000;

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{key, turn::spread};

    /// Pauses that a hundred proxies begin together end spread out, from half to one and a half of their length.
    #[test]
    fn pauses_that_begin_together_end_one_after_the_other() {
        let tenths = |places: &dyn Fn(u32) -> Place| {
            let mut counts = [0; 10];
            (0..100).for_each(|at| counts[((spread(places(at).stand()) - 0.5) * 10.0) as usize] += 1);
            counts
        };
        assert_eq!(tenths(&|at| Place::seat(at, 100).unwrap()), [10; 10]);
        let names = tenths(&|at| Place::Name(key(&format!("n{at}"))));
        assert!(names.iter().all(|count| (2..25).contains(count)), "{names:?}");
        assert_eq!((Place::seat(4, 4), Place::seat(0, SEATS + 1)), (None, None), "no such seats");
    }
}
