//! Whether a proxy may use the seat that it was told of. It may for a while behind each confirmation, counted from when it
//! asked, so that neither a slow answer nor a stop makes that longer; then it goes by what else it knows.

use crate::position::FleetPosition;
use crate::roster::ORDINAL_LEASE;

/// What a service confirms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrdinalGrant {
    /// The roster's term and epoch, which both rise.
    pub term: u64,
    /// See `term`.
    pub epoch: u64,
    /// The proxy's seat, and how many there are; none: it has none yet.
    pub ordinal: Option<(u32, u32)>,
}

/// A proxy's side.
#[derive(Clone, Copy, Debug)]
pub struct OrdinalLease {
    told: Option<OrdinalGrant>,
    until: f64,
}

impl Default for OrdinalLease {
    fn default() -> Self {
        OrdinalLease { told: None, until: f64::NEG_INFINITY }
    }
}

impl OrdinalLease {
    /// A service confirms what it was asked at `asked`, on this clock, which must count the time for which the process was
    /// suspended. False: an older roster than the one known, which changes nothing.
    pub fn confirm(&mut self, asked: f64, told: OrdinalGrant) -> bool {
        if self.told.is_some_and(|known| (told.term, told.epoch) < (known.term, known.epoch)) {
            return false;
        }
        let same = self.told.is_some_and(|known| known.ordinal == told.ordinal);
        // A seat is confirmed from the asking on; another one lasts no longer because the last one did.
        self.until = if same { self.until.max(asked + ORDINAL_LEASE) } else { asked + ORDINAL_LEASE };
        self.told = Some(told);
        true
    }

    /// The place at this moment, and until when.
    pub fn position(&self, now: f64) -> Option<(FleetPosition, f64)> {
        let (seat, seats) = self.told.filter(|_| now < self.until)?.ordinal?;
        Some((FleetPosition::ordinal(seat, seats)?, self.until))
    }

    /// The roster known, also where it does not hold any more.
    pub fn last_grant(&self) -> Option<OrdinalGrant> {
        self.told
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seat_holds_from_the_asking_and_an_older_roster_changes_nothing() {
        let mut lease = OrdinalLease::default();
        assert_eq!(lease.position(0.0), None);
        let told = |term, epoch, seat| OrdinalGrant { term, epoch, ordinal: Some((seat, 9)) };
        assert!(lease.confirm(100.0, told(2, 7, 3)));
        let seat = |seat| FleetPosition::Ordinal { ordinal: seat, fleet_size: 9 };
        assert_eq!(lease.position(100.0 + ORDINAL_LEASE - 1.0), Some((seat(3), 100.0 + ORDINAL_LEASE)));
        assert_eq!(lease.position(100.0 + ORDINAL_LEASE), None, "however late it looks");
        assert!(!lease.confirm(4_000.0, told(1, 9, 4)) && !lease.confirm(4_000.0, told(2, 6, 4)));
        assert!(lease.confirm(2_000.0, told(2, 7, 3)) && lease.confirm(1_000.0, told(2, 7, 3)));
        assert_eq!(
            lease.position(2_000.0).unwrap().1,
            2_000.0 + ORDINAL_LEASE,
            "answers may come in any order"
        );
        assert!(lease.confirm(1_500.0, told(3, 8, 5)));
        assert_eq!(lease.position(2_000.0), Some((seat(5), 1_500.0 + ORDINAL_LEASE)));
        assert!(lease.confirm(2_500.0, OrdinalGrant { term: 3, epoch: 9, ordinal: None }));
        assert_eq!(lease.position(2_500.0), None, "it has none any more");
    }
}
