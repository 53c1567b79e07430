//! What the records of a fleet say of choices that are to add up: seats, subsets, and what reaches engines that can bear only
//! so much. Judged without any knowledge of how anybody chooses.

use std::collections::{BTreeMap, BTreeSet};

use crate::stand::Arrival;

/// A process was told that a seat is its own, for a while.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// The process.
    pub process: String,
    /// The seat, and how many there were.
    pub seat: u64,
    /// See `seat`.
    pub seats: u64,
    /// The roster's epoch.
    pub epoch: u64,
    /// From when, and until when at most, in milliseconds on one clock.
    pub from: f64,
    /// See `from`.
    pub until: f64,
}

/// Two processes at one seat.
#[derive(Clone, Debug, PartialEq)]
pub struct Shared {
    /// The seat.
    pub seat: u64,
    /// The earlier and the later one.
    pub by: [String; 2],
    /// For how many milliseconds.
    pub for_ms: f64,
}

/// Finds seats that two processes had at one moment. A process has a seat from when it was told until what it was told last
/// ends, or until it was told another one.
pub fn shared(held: &[Held]) -> Vec<Shared> {
    let mut by_process: BTreeMap<&str, Vec<&Held>> = BTreeMap::new();
    for one in held {
        by_process.entry(&one.process).or_default().push(one);
    }
    let mut spans: BTreeMap<u64, Vec<(f64, f64, &str)>> = BTreeMap::new();
    for (process, mut told) in by_process {
        told.sort_by(|a, b| a.from.total_cmp(&b.from));
        for (at, one) in told.iter().enumerate() {
            let next = told.get(at + 1).map_or(f64::INFINITY, |next| next.from);
            spans.entry(one.seat).or_default().push((one.from, one.until.min(next), process));
        }
    }
    let mut out = Vec::new();
    for (seat, mut spans) in spans {
        spans.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut last: Option<(f64, f64, &str)> = None;
        for span in spans {
            if let Some(before) = last.filter(|before| before.2 != span.2 && span.0 < before.1) {
                let by = [before.2.to_owned(), span.2.to_owned()];
                out.push(Shared { seat, by, for_ms: before.1.min(span.1) - span.0 });
            }
            if last.is_none_or(|before| span.1 >= before.1) {
                last = Some(span);
            }
        }
    }
    out
}

/// What an engine that has just started may be sent: the rule, in the terms of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Its cores.
    pub cores: f64,
    /// It starts at this share of its capacity...
    pub share: f64,
    /// ...and is warm after so many milliseconds.
    pub warm_within: f64,
    /// This multiple of its present capacity may reach it...
    pub multiple: f64,
    /// ...within so many milliseconds.
    pub span: f64,
}

/// The largest sum of work that reached an engine in one window while it was cold, over what the rule allows there; the
/// number of proxies, as `proxy_of` reads it from a request's id, that sent any; and all work that reached it meanwhile.
pub fn cold(
    arrivals: &[Arrival],
    engine: &str,
    started: f64,
    rule: &Rule,
    proxy_of: impl Fn(&str) -> u64,
) -> (f64, usize, f64) {
    let age = |it: &&Arrival| it.at - started;
    let here: Vec<&Arrival> = arrivals
        .iter()
        .filter(|it| it.engine == engine && (0.0..rule.warm_within).contains(&age(it)))
        .collect();
    // The capacity at an age, and so the limit over a window, by summing in steps: no closed form to be wrong together with.
    let capacity =
        |age: f64| rule.cores * (rule.share + (1.0 - rule.share) * (age / rule.warm_within).min(1.0));
    let limit = |from: f64| {
        (0..100).map(|at| capacity(from + (f64::from(at) + 0.5) * rule.span / 100.0)).sum::<f64>() * rule.span
            / 100.0
            * rule.multiple
    };
    let (mut first, mut sum, mut worst) = (0, 0.0, 0.0f64);
    for (at, it) in here.iter().enumerate() {
        sum += it.work;
        while here[first].at <= here[at].at - rule.span {
            sum -= here[first].work;
            first += 1;
        }
        worst = worst.max(sum / limit((age(it) - rule.span).max(0.0)));
    }
    let proxies: BTreeSet<u64> = here.iter().map(|it| proxy_of(&it.id)).collect();
    (worst, proxies.len(), here.iter().map(|it| it.work).sum())
}

/// How many proxies sent anything to each engine.
pub fn drawn(arrivals: &[Arrival], proxy_of: impl Fn(&str) -> u64) -> BTreeMap<String, usize> {
    let mut by_engine: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
    for it in arrivals {
        by_engine.entry(it.engine.clone()).or_default().insert(proxy_of(&it.id));
    }
    by_engine.into_iter().map(|(engine, proxies)| (engine, proxies.len())).collect()
}

/// Requests that reached an engine more than `grace` milliseconds behind the moment at which it began to drain or was gone.
pub fn late<'a>(arrivals: &'a [Arrival], engine: &str, drained: f64, grace: f64) -> Vec<&'a Arrival> {
    arrivals.iter().filter(|it| it.engine == engine && it.at > drained + grace).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn held(process: &str, seat: u64, from: f64, until: f64) -> Held {
        Held { process: process.into(), seat, seats: 9, epoch: 1, from, until }
    }

    #[test]
    fn two_at_one_seat_are_found_and_one_that_moves_or_follows_is_not() {
        let fair = [
            held("a", 1, 0.0, 50.0),
            held("a", 1, 20.0, 70.0),
            held("a", 2, 40.0, 90.0),
            held("b", 1, 41.0, 90.0),
            held("c", 2, 91.0, 99.0),
        ];
        assert_eq!(shared(&fair), []);
        let mut foul = fair.to_vec();
        foul.push(held("d", 2, 80.0, 85.0));
        let by = ["a".to_owned(), "d".to_owned()];
        assert_eq!(shared(&foul), [Shared { seat: 2, by, for_ms: 5.0 }]);
    }

    #[test]
    fn work_in_a_window_is_held_against_what_the_engine_could_do_then() {
        let rule = Rule { cores: 8.0, share: 0.5, warm_within: 1_000.0, multiple: 2.0, span: 100.0 };
        let one = |at: f64, work: f64| Arrival { engine: "e".into(), id: "01".into(), work, at };
        // 8 cores at 0.5 and a little: some 840 in the first window.
        let (worst, proxies, sum) = cold(&[one(10.0, 400.0), one(60.0, 400.0)], "e", 0.0, &rule, |_| 7);
        assert!((0.93..0.97).contains(&worst) && proxies == 1 && sum == 800.0, "{worst}");
        let (spread, ..) = cold(&[one(10.0, 400.0), one(160.0, 400.0)], "e", 0.0, &rule, |_| 7);
        assert!(spread < 0.5, "{spread}");
        assert_eq!(cold(&[one(1_001.0, 1e6)], "e", 0.0, &rule, |_| 7).0, 0.0, "it is warm");
        assert_eq!(late(&[one(10.0, 1.0), one(20.0, 1.0)], "e", 5.0, 10.0).len(), 1);
    }
}
