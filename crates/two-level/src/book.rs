//! A planner's side of membership: which forwarders it plans for, under which epoch, and whom it turns away.

use std::collections::BTreeMap;

use crate::Millis;
use crate::membership::most_forwarders;

/// For how long a planner vouches for itself with each word: a forwarder obeys it for no longer than that.
pub const LEASE: Millis = 600.0;
/// How often a forwarder asks for the next word.
pub const RENEW_EVERY: Millis = 150.0;
/// A forwarder that has been silent for so long is forgotten, with all that was registered for it.
pub const FORGET_AFTER: Millis = 3_000.0;

/// What a forwarder that comes is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Welcome {
    /// It is planned for from now on.
    Taken,
    /// This planner has its share of forwarders.
    Full,
    /// The epoch is one that the forwarder itself has left behind: a word that was long on its way.
    Old,
}

#[derive(Clone, Debug)]
struct Entry {
    epoch: u64,
    heard: Millis,
}

/// The forwarders of one planner.
#[derive(Clone, Debug)]
pub struct Book {
    forwarders: BTreeMap<String, Entry>,
    most: usize,
}

impl Book {
    /// A planner that begins, among so many forwarders and planners as it has heard of.
    pub fn new(forwarders: usize, planners: usize) -> Self {
        Book { forwarders: BTreeMap::new(), most: most_forwarders(forwarders, planners) }
    }

    /// So many forwarders and live planners are known of now. Nobody who is here is sent away for it.
    pub fn resize(&mut self, forwarders: usize, planners: usize) {
        self.most = most_forwarders(forwarders, planners);
    }

    /// A forwarder wants to be planned for under an epoch of its own.
    pub fn attach(&mut self, now: Millis, forwarder: &str, epoch: u64) -> Welcome {
        let here = self.forwarders.len();
        match self.forwarders.get_mut(forwarder) {
            Some(entry) if epoch < entry.epoch => return Welcome::Old,
            Some(entry) => (entry.epoch, entry.heard) = (epoch, now),
            None if here >= self.most => return Welcome::Full,
            None => drop(self.forwarders.insert(forwarder.to_owned(), Entry { epoch, heard: now })),
        }
        Welcome::Taken
    }

    /// A forwarder asks for the next word; false if it is not planned for under this epoch.
    pub fn renew(&mut self, now: Millis, forwarder: &str, epoch: u64) -> bool {
        match self.forwarders.get_mut(forwarder).filter(|entry| entry.epoch == epoch) {
            Some(entry) => {
                entry.heard = now;
                true
            }
            None => false,
        }
    }

    /// Whether what comes from a forwarder under this epoch still counts.
    pub fn holds(&self, forwarder: &str, epoch: u64) -> bool {
        self.forwarders.get(forwarder).is_some_and(|entry| entry.epoch == epoch)
    }

    /// A forwarder has left for another planner.
    pub fn left(&mut self, forwarder: &str, epoch: u64) {
        if self.holds(forwarder, epoch) {
            self.forwarders.remove(forwarder);
        }
    }

    /// Forgets forwarders that are silent; which.
    pub fn forget(&mut self, now: Millis) -> Vec<String> {
        let silent = |entry: &Entry| now - entry.heard >= FORGET_AFTER;
        let gone: Vec<String> =
            self.forwarders.iter().filter(|(_, entry)| silent(entry)).map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.forwarders.remove(name);
        }
        gone
    }

    /// Forwarders that are planned for.
    pub fn len(&self) -> usize {
        self.forwarders.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.forwarders.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_planner_takes_its_share_keeps_who_is_here_and_forgets_the_silent() {
        let mut book = Book::new(8, 4);
        let taken: Vec<Welcome> = (0..4).map(|number| book.attach(0.0, &format!("f{number}"), 1)).collect();
        assert_eq!(taken, [Welcome::Taken, Welcome::Taken, Welcome::Taken, Welcome::Full]);
        assert_eq!(book.attach(1.0, "f0", 5), Welcome::Taken, "who is here comes again at any time");
        assert_eq!(book.attach(1.0, "f0", 4), Welcome::Old);
        assert!(book.renew(10.0, "f0", 5) && !book.renew(10.0, "f0", 4) && !book.renew(10.0, "f9", 1));
        book.resize(8, 8);
        assert_eq!(book.len(), 3, "nobody is sent away");
        book.left("f1", 2);
        assert!(book.holds("f1", 1), "a word of another epoch");
        book.left("f1", 1);
        assert!(!book.holds("f1", 1));
        assert_eq!(book.forget(FORGET_AFTER + 1.0), ["f2"]);
        assert_eq!(book.forget(FORGET_AFTER + 10.0), ["f0"]);
        assert!(book.is_empty());
    }
}
