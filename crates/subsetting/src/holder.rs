//! Whether a proxy may use the seat that it was told of. It may for a while behind each confirmation, counted from when it
//! asked, so that neither a slow answer nor a stop makes that longer; then it goes by what else it knows.

use crate::place::Place;
use crate::roster::HOLD;

/// What a service confirms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// The roster's term and epoch, which both rise.
    pub term: u64,
    /// See `term`.
    pub epoch: u64,
    /// The proxy's seat, and how many there are; none: it has none yet.
    pub seat: Option<(u32, u32)>,
}

/// A proxy's side.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    told: Option<Told>,
    until: f64,
}

impl Default for Holder {
    fn default() -> Self {
        Holder { told: None, until: f64::NEG_INFINITY }
    }
}

impl Holder {
    /// A service confirms what it was asked at `asked`, on this clock, which must count the time for which the process was
    /// suspended. False: an older roster than the one known, which changes nothing.
    pub fn told(&mut self, asked: f64, told: Told) -> bool {
        if self.told.is_some_and(|known| (told.term, told.epoch) < (known.term, known.epoch)) {
            return false;
        }
        let same = self.told.is_some_and(|known| known.seat == told.seat);
        // A seat is confirmed from the asking on; another one lasts no longer because the last one did.
        self.until = if same { self.until.max(asked + HOLD) } else { asked + HOLD };
        self.told = Some(told);
        true
    }

    /// The place at this moment, and until when.
    pub fn place(&self, now: f64) -> Option<(Place, f64)> {
        let (seat, seats) = self.told.filter(|_| now < self.until)?.seat?;
        Some((Place::seat(seat, seats)?, self.until))
    }

    /// The roster known, also where it does not hold any more.
    pub fn known(&self) -> Option<Told> {
        self.told
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seat_holds_from_the_asking_and_an_older_roster_changes_nothing() {
        let mut holder = Holder::default();
        assert_eq!(holder.place(0.0), None);
        let told = |term, epoch, seat| Told { term, epoch, seat: Some((seat, 9)) };
        assert!(holder.told(100.0, told(2, 7, 3)));
        let seat = |seat| Place::Seat { seat, seats: 9 };
        assert_eq!(holder.place(100.0 + HOLD - 1.0), Some((seat(3), 100.0 + HOLD)));
        assert_eq!(holder.place(100.0 + HOLD), None, "however late it looks");
        assert!(!holder.told(4_000.0, told(1, 9, 4)) && !holder.told(4_000.0, told(2, 6, 4)));
        assert!(holder.told(2_000.0, told(2, 7, 3)) && holder.told(1_000.0, told(2, 7, 3)));
        assert_eq!(holder.place(2_000.0).unwrap().1, 2_000.0 + HOLD, "answers may come in any order");
        assert!(holder.told(1_500.0, told(3, 8, 5)));
        assert_eq!(holder.place(2_000.0), Some((seat(5), 1_500.0 + HOLD)));
        assert!(holder.told(2_500.0, Told { term: 3, epoch: 9, seat: None }));
        assert_eq!(holder.place(2_500.0), None, "it has none any more");
    }
}
