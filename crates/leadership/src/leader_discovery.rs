//! Which of its control services a proxy turns to: the owner of the versions, wherever it is.
//!
//! A proxy knows its services by its own list alone, and learns which member is behind which place. It stays with the
//! owner, leaves a service that names another one, and does not stay for long where nobody is named.

use std::collections::BTreeMap;

/// A service that names no owner is left after this many milliseconds.
pub const PATIENCE: f64 = 3_000.0;

/// Who owns the versions, as a service said: the member and its term.
pub type Named = Option<(u64, u64)>;

/// The search.
#[derive(Debug)]
pub struct Seek {
    places: usize,
    /// Which member was found at which place.
    found: BTreeMap<usize, u64>,
    at: usize,
    owner: Named,
    /// Since when this place has named nobody.
    nobody: Option<f64>,
    /// The place of the owner was tried since it was named, and was of no use.
    tried: Option<u64>,
}

impl Seek {
    /// A search over so many places, which begins at the first.
    pub fn new(places: usize) -> Self {
        Seek { places: places.max(1), found: BTreeMap::new(), at: 0, owner: None, nobody: None, tried: None }
    }

    /// The place to turn to.
    pub fn place(&self) -> usize {
        self.at
    }

    /// The service at this place says which member it is and who the owner is. `seen`: the highest term that the proxy has
    /// seen; an owner of a lower one is none. True: the proxy is to leave.
    pub fn welcomed(&mut self, now: f64, member: u64, named: Named, seen: u64) -> bool {
        self.found.insert(self.at, member);
        let named = named.filter(|(_, term)| *term >= seen);
        match named {
            Some((owner, _)) if owner == member => {
                (self.nobody, self.tried) = (None, None);
                false
            }
            Some(owner) => {
                self.owner = Some(owner);
                true
            }
            None => now - *self.nobody.get_or_insert(now) >= PATIENCE,
        }
    }

    /// The stream to this place has ended, or did not come up. True if the next place is one that another service named
    /// as the owner's and that was not tried in vain: there is no need to wait longer than for a lot.
    pub fn ended(&mut self) -> bool {
        let here = self.found.get(&self.at).copied();
        self.nobody = None;
        let owner = self.owner.take().map(|(owner, _)| owner);
        if owner.is_some() && owner != here && owner != self.tried {
            let place =
                self.found.iter().find(|(_, member)| Some(**member) == owner).map(|(place, _)| *place);
            if let Some(place) = place {
                (self.at, self.tried) = (place, owner);
                return true;
            }
            // Nobody has met it yet: it is at one of the others.
            self.at = (self.at + 1) % self.places;
            return true;
        }
        self.tried = None;
        self.at = (self.at + 1) % self.places;
        false
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Plays services that all name the same owner; how many streams until the proxy stays, and where.
    fn play(seek: &mut Seek, behind: &[u64], reached: &[bool], owner: Named, seen: u64) -> Option<u64> {
        for _ in 0..8 {
            let place = seek.place();
            if reached[place]
                && !seek.welcomed(0.0, behind[place], owner, seen)
                && owner.is_some_and(|it| it.0 == behind[place])
            {
                return Some(behind[place]);
            }
            seek.ended();
        }
        None
    }

    #[test]
    fn the_owner_is_found_wherever_it_is_and_followed_when_it_changes() {
        for owner in 1..4 {
            let mut seek = Seek::new(3);
            assert_eq!(play(&mut seek, &[2, 3, 1], &[true; 3], Some((owner, 4)), 4), Some(owner));
            // The next one is known by now: one step.
            let next = owner % 3 + 1;
            seek.welcomed(0.0, owner, Some((next, 5)), 5);
            seek.ended();
            let known = [2, 3, 1][seek.place()] == next;
            assert!(known || play(&mut seek, &[2, 3, 1], &[true; 3], Some((next, 5)), 5) == Some(next));
        }
    }

    #[test]
    fn swapped_addresses_an_owner_out_of_reach_and_old_owners_do_not_hold_a_proxy() {
        let mut seek = Seek::new(3);
        play(&mut seek, &[1, 2, 3], &[true; 3], Some((2, 1)), 1);
        assert_eq!(play(&mut seek, &[1, 3, 2], &[true; 3], Some((2, 1)), 1), Some(2));
        assert_eq!(play(&mut seek, &[1, 3, 2], &[true, true, false], Some((2, 1)), 1), None, "out of reach");
        assert_eq!(play(&mut seek, &[1, 3, 2], &[true; 3], Some((2, 1)), 1), Some(2), "and found again");
        let mut seek = Seek::new(2);
        assert!(!seek.welcomed(0.0, 1, Some((1, 3)), 4), "an old owner is nobody: left only after a while");
        assert!(seek.welcomed(PATIENCE, 1, Some((1, 3)), 4));
        assert!(!seek.ended());
        assert_eq!(seek.place(), 1);
    }
}
