//! Which planner a forwarder turns to: who is alive, and who comes first.
//!
//! Every forwarder judges by what it hears itself; planners that are cut off from some forwarders only are dead to those
//! alone. Forwarders spread by rendezvous hashing, so that one planner's death moves only its own, and a planner that has
//! its share already turns further ones away (bounded load), so that these spread too.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::{Millis, PlannerId};

/// How long a planner that turned a forwarder away, or failed it, is passed over; doubled with each time in a row.
const PASSED_OVER: Millis = 500.0;
const PASSED_OVER_MOST: Millis = 8_000.0;
/// Forwarders that a planner may have beyond the mean, as a part of it.
const SLACK: f64 = 0.25;

/// What a forwarder knows of a planner.
#[derive(Clone, Debug, Default)]
struct Known {
    /// It is alive until then, as far as it has said.
    alive_until: Option<Millis>,
    passed_over_until: Millis,
    failures: u32,
}

/// The planners as one forwarder sees them.
#[derive(Clone, Debug)]
pub struct Planners {
    forwarder: String,
    known: BTreeMap<PlannerId, Known>,
}

impl Planners {
    /// The planners that an operator has named, none of which has been heard of.
    pub fn new(forwarder: &str, named: impl IntoIterator<Item = PlannerId>) -> Self {
        let known = named.into_iter().map(|planner| (planner, Known::default())).collect();
        Planners { forwarder: forwarder.to_owned(), known }
    }

    /// The named planners have changed.
    pub fn rename(&mut self, named: impl IntoIterator<Item = PlannerId>) {
        let mut before = std::mem::take(&mut self.known);
        self.known = named
            .into_iter()
            .map(|planner| (planner.clone(), before.remove(&planner).unwrap_or_default()))
            .collect();
    }

    /// A planner has said that it lives, and vouches for so long. The span counts from when the forwarder asked, not from
    /// when the word came: a word that was long on its way vouches for less.
    pub fn heard(&mut self, planner: &PlannerId, asked: Millis, span: Millis) {
        if let Some(known) = self.known.get_mut(planner) {
            let until = asked + span;
            known.alive_until = Some(known.alive_until.map_or(until, |before| before.max(until)));
            known.failures = 0;
            known.passed_over_until = 0.0;
        }
    }

    /// A planner turned this forwarder away, or could not be reached, or its lease ran out.
    pub fn failed(&mut self, now: Millis, planner: &PlannerId) {
        if let Some(known) = self.known.get_mut(planner) {
            known.alive_until = None;
            let wait = (PASSED_OVER * f64::from(known.failures.min(10)).exp2()).min(PASSED_OVER_MOST);
            known.failures = known.failures.saturating_add(1);
            known.passed_over_until = now + wait;
        }
    }

    /// Whether a planner's word still holds.
    pub fn alive(&self, now: Millis, planner: &PlannerId) -> bool {
        self.known.get(planner).and_then(|known| known.alive_until).is_some_and(|until| now < until)
    }

    /// The planners to try now, best first: by rendezvous, without those that are passed over.
    pub fn candidates(&self, now: Millis) -> Vec<PlannerId> {
        let open = self.known.iter().filter(|(_, known)| now >= known.passed_over_until);
        let mut open: Vec<(u64, &PlannerId)> = open.map(|(id, _)| (self.place(id), id)).collect();
        open.sort_unstable();
        open.into_iter().rev().map(|(_, planner)| planner.clone()).collect()
    }

    /// Whether another planner than the present one should plan, and which: only one that comes before it, is alive by
    /// its own word and did not fail of late. Forwarders go home once their planner is back.
    pub fn better(&self, now: Millis, present: &PlannerId) -> Option<PlannerId> {
        let candidates = self.candidates(now);
        let before = candidates.iter().take_while(|planner| *planner != present);
        before.into_iter().find(|planner| self.alive(now, planner)).cloned()
    }

    /// When a planner that is passed over may be tried again; none if all may be tried now.
    pub fn next_try(&self, now: Millis) -> Option<Millis> {
        let waits = self.known.values().map(|known| known.passed_over_until).filter(|until| *until > now);
        waits.min_by(f64::total_cmp)
    }

    /// A planner's rendezvous weight for this forwarder.
    fn place(&self, planner: &PlannerId) -> u64 {
        let mut hasher = DefaultHasher::new();
        (planner, &self.forwarder).hash(&mut hasher);
        hasher.finish()
    }
}

/// Forwarders that a planner takes at most, of so many that are known of and with so many planners that live.
pub fn most_forwarders(forwarders: usize, planners: usize) -> usize {
    let mean = forwarders as f64 / planners.max(1) as f64;
    (mean * (1.0 + SLACK)).ceil().max(1.0) as usize
}

#[cfg(test)]
mod tests {
    use super::*;

    fn planners(count: usize) -> Vec<PlannerId> {
        (0..count).map(|number| PlannerId(format!("p{number}"))).collect()
    }

    fn forwarder(number: usize, count: usize) -> Planners {
        Planners::new(&format!("f{number}"), planners(count))
    }

    #[test]
    fn a_planners_death_moves_only_its_own_forwarders_and_they_go_home() {
        let gone = PlannerId("p1".into());
        let mut moved = 0;
        for number in 0..200 {
            let mut seen = forwarder(number, 4);
            let first = seen.candidates(0.0)[0].clone();
            seen.failed(0.0, &gone);
            let second = seen.candidates(0.0)[0].clone();
            assert_eq!(first != second, first == gone);
            moved += usize::from(first == gone);
            seen.heard(&gone, 600.0, 1_000.0);
            seen.heard(&second, 600.0, 1_000.0);
            assert_eq!(seen.better(700.0, &second).is_some(), first == gone);
            assert_eq!(seen.better(1_700.0, &second), None, "its word no longer holds");
        }
        assert!((25..80).contains(&moved), "{moved} of 200 were of one of four");
    }

    #[test]
    fn bounded_load_spreads_whoever_the_hash_favours() {
        let mut taken: BTreeMap<PlannerId, usize> = BTreeMap::new();
        let most = most_forwarders(50, 3);
        for number in 0..50 {
            let mut seen = forwarder(number, 3);
            loop {
                let next = seen.candidates(0.0).into_iter().next().expect("somebody has room");
                let load = taken.entry(next.clone()).or_default();
                if *load < most {
                    *load += 1;
                    break;
                }
                seen.failed(0.0, &next);
            }
        }
        assert!(taken.values().all(|load| *load <= most && *load >= 50 - 2 * most), "{taken:?}");
    }

    #[test]
    fn a_word_that_was_long_on_its_way_vouches_for_less_and_an_old_one_takes_nothing_back() {
        let mut seen = forwarder(0, 2);
        let planner = PlannerId("p0".into());
        seen.heard(&planner, 1_000.0, 500.0);
        seen.heard(&planner, 200.0, 500.0);
        assert!(seen.alive(1_499.0, &planner) && !seen.alive(1_500.0, &planner));
        seen.heard(&PlannerId("unnamed".into()), 0.0, 1e9);
        assert!(!seen.alive(1.0, &PlannerId("unnamed".into())));
    }

    #[test]
    fn a_planner_that_fails_again_and_again_is_tried_ever_more_rarely_but_always_again() {
        let mut seen = forwarder(0, 1);
        let planner = PlannerId("p0".into());
        let mut now = 0.0;
        for _ in 0..30 {
            seen.failed(now, &planner);
            assert!(seen.candidates(now).is_empty());
            let next = seen.next_try(now).unwrap();
            assert!(next - now <= PASSED_OVER_MOST);
            now = next;
            assert_eq!(seen.candidates(now), std::slice::from_ref(&planner));
        }
    }
}
