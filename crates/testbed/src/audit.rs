//! Whether the rules held, from the records alone.
//!
//! The auditor knows nothing of how the program decides: it takes what clients, engines and lists saw, in the order of
//! time, and names each breach with the request or engine concerned. Where records cannot tell (an attempt that an engine
//! never saw), it says nothing: it must not invent breaches.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::record::{Answer, End, Phase, Record};

/// What a repeat of a class would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated.
    Safe,
    /// It must never run twice.
    Unsafe,
}

/// The rules, with their figures and slack.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Classes by name.
    pub classes: BTreeMap<String, Effect>,
    /// A final answer may come so many milliseconds after the client's time.
    pub answer_slack: f64,
    /// New work may reach an engine so many milliseconds after its forwarder was told that it drains or is gone.
    pub drain_grace: f64,
    /// Attempts beyond requests' first, by one forwarder within any span: free, for each request, the span.
    pub ration: Option<(f64, f64, f64)>,
    /// What a cold engine can take.
    pub cold: Option<Cold>,
    /// Differences between the clocks of records of one process and another.
    pub skew: f64,
}

/// What a cold engine can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// The share of its capacity at its start.
    pub share: f64,
    /// It is warm after so many milliseconds.
    pub warm_within: f64,
    /// It falls over if it is sent more than this many times what it can do...
    pub multiple: f64,
    /// ...over this many milliseconds.
    pub span: f64,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Breach {
    /// No final answer in time.
    Unanswered {
        /// The request.
        id: String,
        /// When it was due.
        due: f64,
    },
    /// More than one final answer.
    AnsweredTwice {
        /// The request.
        id: String,
    },
    /// A final answer after its time.
    AnsweredLate {
        /// The request.
        id: String,
        /// How late, in milliseconds.
        by: f64,
    },
    /// Served, though no engine served it.
    ServedByNobody {
        /// The request.
        id: String,
    },
    /// Two attempts out at a time.
    TwoOut {
        /// The request.
        id: String,
        /// Where.
        engines: (String, String),
    },
    /// A request that must not run twice was sent again though it may have run.
    RanTwice {
        /// The request.
        id: String,
    },
    /// A request that must not run twice was refused though it may have run: its client may come again.
    RefusedAfterRun {
        /// The request.
        id: String,
    },
    /// New work for an engine that drains or is gone.
    SentToDraining {
        /// The request.
        id: String,
        /// The engine.
        engine: String,
        /// How long after its forwarder was told.
        after: f64,
    },
    /// More further attempts than the ration.
    OverRation {
        /// The forwarder.
        via: String,
        /// When.
        at: f64,
        /// Attempts, and how many were allowed.
        made: usize,
        /// See `made`.
        allowed: f64,
    },
    /// A cold engine was sent more than it bears.
    PushedOver {
        /// The engine.
        engine: String,
        /// The end of the window.
        at: f64,
        /// Work in the window over what it bears.
        times: f64,
    },
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breach::Unanswered { id, due } => write!(f, "{id}: no final answer, due at {due:.0}"),
            Breach::AnsweredTwice { id } => write!(f, "{id}: a second final answer"),
            Breach::AnsweredLate { id, by } => write!(f, "{id}: answered {by:.0} ms late"),
            Breach::ServedByNobody { id } => write!(f, "{id}: served, though no engine served it"),
            Breach::TwoOut { id, engines: (a, b) } => write!(f, "{id}: out on {a} and {b} at a time"),
            Breach::RanTwice { id } => write!(f, "{id}: sent again though it may have run"),
            Breach::RefusedAfterRun { id } => write!(f, "{id}: refused though it may have run"),
            Breach::SentToDraining { id, engine, after } => {
                write!(f, "{id}: sent to {engine} {after:.0} ms after it was told to drain or to be gone")
            }
            Breach::OverRation { via, at, made, allowed } => {
                write!(f, "{via}: {made} further attempts at {at:.0}, {allowed:.1} allowed")
            }
            Breach::PushedOver { engine, at, times } => {
                write!(f, "{engine}: sent {times:.2} times what it bears, at {at:.0}")
            }
        }
    }
}

/// What the records hold, counted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests asked, served, refused, failed, and left by their clients.
    pub asked: usize,
    /// See `asked`.
    pub served: usize,
    /// See `asked`.
    pub refused: usize,
    /// See `asked`.
    pub failed: usize,
    /// See `asked`.
    pub left: usize,
    /// Attempts that reached engines.
    pub attempts: usize,
}

#[derive(Default)]
struct Request {
    asked: Option<(f64, String, Option<Effect>, f64)>,
    answered: Option<Answer>,
    left: bool,
    attempts: Vec<Tried>,
}

impl Request {
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|tried| !tried.end.is_some_and(|(how, _)| how.never_ran()))
    }
}

/// An attempt that reached an engine.
struct Tried {
    engine: String,
    /// How it ended there, and when.
    end: Option<(End, f64)>,
}

/// Reads records against the rules. They may come in any order; those of one moment keep theirs.
pub fn audit(records: &[Record], rules: &Rules) -> (Vec<Breach>, Counts) {
    let mut ordered: Vec<&Record> = records.iter().collect();
    ordered.sort_by(|a, b| a.at().total_cmp(&b.at()));
    let mut auditor =
        Auditor { rules, found: Vec::new(), counts: Counts::default(), requests: BTreeMap::new() };
    let mut killed: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for record in &ordered {
        if let Record::Killed { at, via } = record {
            killed.entry(via).or_default().push(*at);
        }
    }
    for record in &ordered {
        auditor.take(record);
    }
    auditor.unanswered(&killed);
    auditor.drained(&ordered);
    auditor.rationed(&ordered);
    auditor.cold(&ordered);
    (auditor.found, auditor.counts)
}

struct Auditor<'a> {
    rules: &'a Rules,
    found: Vec<Breach>,
    counts: Counts,
    requests: BTreeMap<String, Request>,
}

impl Auditor<'_> {
    fn take(&mut self, record: &Record) {
        match record {
            Record::Asked { at, via, id, class, budget } => {
                self.counts.asked += 1;
                let effect = self.rules.classes.get(class).copied();
                let request = self.requests.entry(id.clone()).or_default();
                request.asked = Some((*at, via.clone(), effect, at + budget));
            }
            Record::Answered { at, id, how } => self.answered(*at, id, *how),
            Record::Left { id, .. } => {
                let request = self.requests.entry(id.clone()).or_default();
                if request.answered.is_none() && !request.left {
                    self.counts.left += 1;
                }
                request.left = true;
            }
            Record::Took { at, engine, id, .. } => self.took(*at, engine, id),
            Record::Ended { at, engine, id, how } => {
                let request = self.requests.entry(id.clone()).or_default();
                let open = request.attempts.iter_mut().find(|it| it.engine == *engine && it.end.is_none());
                if let Some(tried) = open {
                    tried.end = Some((*how, *at));
                }
            }
            Record::Killed { .. } | Record::Listed { .. } | Record::Started { .. } => {}
        }
    }

    fn answered(&mut self, at: f64, id: &str, how: Answer) {
        match how {
            Answer::Served => self.counts.served += 1,
            Answer::Refused => self.counts.refused += 1,
            Answer::Failed => self.counts.failed += 1,
        }
        let slack = self.rules.answer_slack + self.rules.skew;
        let request = self.requests.entry(id.to_owned()).or_default();
        if request.answered.replace(how).is_some() {
            self.found.push(Breach::AnsweredTwice { id: id.to_owned() });
            return;
        }
        let Some((_, _, effect, due)) = request.asked else { return };
        if at > due + slack && !request.left {
            self.found.push(Breach::AnsweredLate { id: id.to_owned(), by: at - due });
        }
        let served = |tried: &Tried| tried.end.is_some_and(|(how, _)| how == End::Served);
        if how == Answer::Served && !request.attempts.iter().any(served) {
            self.found.push(Breach::ServedByNobody { id: id.to_owned() });
        }
        if how == Answer::Refused && effect == Some(Effect::Unsafe) && request.may_have_run() {
            self.found.push(Breach::RefusedAfterRun { id: id.to_owned() });
        }
    }

    fn took(&mut self, at: f64, engine: &str, id: &str) {
        self.counts.attempts += 1;
        let skew = self.rules.skew;
        let request = self.requests.entry(id.to_owned()).or_default();
        // Of clocks that differ a little, an attempt that ended just now may seem to be out.
        let seems_out = |tried: &&Tried| tried.end.is_none_or(|(_, ended)| ended > at + skew);
        if let Some(other) = request.attempts.iter().find(seems_out) {
            let engines = (other.engine.clone(), engine.to_owned());
            self.found.push(Breach::TwoOut { id: id.to_owned(), engines });
        }
        let unsafe_class = request.asked.as_ref().is_some_and(|it| it.2 == Some(Effect::Unsafe));
        if unsafe_class && request.may_have_run() {
            self.found.push(Breach::RanTwice { id: id.to_owned() });
        }
        request.attempts.push(Tried { engine: engine.to_owned(), end: None });
    }

    fn unanswered(&mut self, killed: &BTreeMap<&str, Vec<f64>>) {
        for (id, request) in &self.requests {
            let Some((asked, via, _, due)) = &request.asked else { continue };
            let died =
                killed.get(via.as_str()).is_some_and(|all| all.iter().any(|at| at >= asked && at <= due));
            if request.answered.is_none() && !request.left && !died {
                self.found.push(Breach::Unanswered { id: id.clone(), due: *due });
            }
        }
    }

    fn drained(&mut self, ordered: &[&Record]) {
        let mut told: BTreeMap<(&str, &str), f64> = BTreeMap::new();
        for record in ordered {
            match record {
                Record::Listed { at, via, engine, phase } => match phase {
                    Phase::Serving => drop(told.remove(&(via.as_str(), engine.as_str()))),
                    Phase::Draining | Phase::Gone => {
                        told.entry((via, engine)).or_insert(*at);
                    }
                },
                Record::Took { at, engine, via, id, .. } => {
                    let since = told.get(&(via.as_str(), engine.as_str()));
                    let after = since.map_or(0.0, |since| at - since);
                    if after > self.rules.drain_grace + self.rules.skew {
                        let (id, engine) = (id.clone(), engine.clone());
                        self.found.push(Breach::SentToDraining { id, engine, after });
                    }
                }
                _ => {}
            }
        }
    }

    fn rationed(&mut self, ordered: &[&Record]) {
        let Some((free, ratio, span)) = self.rules.ration else { return };
        let mut taken: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        let mut further: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        let mut seen = BTreeSet::new();
        let within = |times: &[f64], at: f64, span: f64| {
            times.iter().rev().take_while(|time| at - **time <= span).count()
        };
        for record in ordered {
            match record {
                Record::Asked { at, via, .. } => taken.entry(via).or_default().push(*at),
                // A forwarder that starts anew counts anew.
                Record::Killed { via, .. } => {
                    taken.remove(via.as_str());
                    further.remove(via.as_str());
                }
                Record::Took { at, via, id, .. } if !seen.insert(id.as_str()) => {
                    let made = further.entry(via).or_default();
                    made.push(*at);
                    // Attempts reach engines a little after they are counted, requests a little before.
                    let made = within(made, *at, span - self.rules.skew);
                    let asked =
                        taken.get(via.as_str()).map_or(0, |times| within(times, *at, span + self.rules.skew));
                    let allowed = free + ratio * asked as f64;
                    if made as f64 > allowed {
                        let (via, at) = (via.clone(), *at);
                        self.found.push(Breach::OverRation { via, at, made, allowed });
                    }
                }
                _ => {}
            }
        }
    }

    fn cold(&mut self, ordered: &[&Record]) {
        let Some(cold) = self.rules.cold else { return };
        let mut started: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut sent: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
        let mut told = BTreeSet::new();
        for record in ordered {
            match record {
                Record::Started { at, engine, cores } => {
                    started.insert(engine, (*at, *cores));
                    sent.remove(engine.as_str());
                    told.remove(engine.as_str());
                }
                Record::Took { at, engine, work, .. } => {
                    let Some((since, cores)) = started.get(engine.as_str()) else { continue };
                    let age = at - since;
                    if age >= cold.warm_within {
                        continue;
                    }
                    let all = sent.entry(engine).or_default();
                    all.push((*at, *work));
                    let window = all.iter().filter(|(time, _)| at - time <= cold.span);
                    let work: f64 = window.map(|(_, work)| work).sum();
                    let present = cold.share + (1.0 - cold.share) * age / cold.warm_within;
                    let bears = cold.multiple * present * cores * cold.span;
                    if work > bears && told.insert(engine.as_str()) {
                        let (engine, at, times) = (engine.clone(), *at, work / bears);
                        self.found.push(Breach::PushedOver { engine, at, times });
                    }
                }
                _ => {}
            }
        }
    }
}
