//! Checks of each request: one answer in time, one attempt at a time, and no repeat of what must not run twice.

use std::collections::BTreeMap;

use super::{Counts, Effect, Rules, Violation};
use crate::record::{AttemptOutcome, Record, RequestOutcome};

/// What a client asked for.
struct Asked {
    at: f64,
    via: String,
    /// `None` for a class that the rules do not know.
    effect: Option<Effect>,
    due: f64,
}

/// An attempt that reached an engine.
struct Attempt {
    engine: String,
    /// How it ended there, and when.
    end: Option<(AttemptOutcome, f64)>,
}

#[derive(Default)]
struct Request {
    asked: Option<Asked>,
    answer: Option<RequestOutcome>,
    client_gone: bool,
    attempts: Vec<Attempt>,
}

impl Request {
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.end.is_some_and(|(outcome, _)| outcome.never_ran()))
    }

    fn must_not_repeat(&self) -> bool {
        self.asked.as_ref().is_some_and(|asked| asked.effect == Some(Effect::Unsafe))
    }
}

/// Checks the requests of records in the order of time, and counts them.
pub(super) fn check(ordered: &[&Record], rules: &Rules) -> (Vec<Violation>, Counts) {
    let mut checker =
        Checker { rules, violations: Vec::new(), counts: Counts::default(), requests: BTreeMap::new() };
    for record in ordered {
        checker.on_record(record);
    }
    checker.check_unanswered(&kills(ordered));
    (checker.violations, checker.counts)
}

/// When each forwarder was killed.
fn kills<'a>(ordered: &[&'a Record]) -> BTreeMap<&'a str, Vec<f64>> {
    let mut kills: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for record in ordered {
        if let Record::ForwarderKilled { at, via } = record {
            kills.entry(via).or_default().push(*at);
        }
    }
    kills
}

struct Checker<'a> {
    rules: &'a Rules,
    violations: Vec<Violation>,
    counts: Counts,
    requests: BTreeMap<String, Request>,
}

impl Checker<'_> {
    fn on_record(&mut self, record: &Record) {
        match record {
            Record::Requested { at, via, id, class, budget } => {
                self.counts.requested += 1;
                let effect = self.rules.classes.get(class).copied();
                let asked = Asked { at: *at, via: via.clone(), effect, due: at + budget };
                self.request(id).asked = Some(asked);
            }
            Record::Responded { at, id, outcome } => self.on_answer(*at, id, *outcome),
            Record::ClientGone { id, .. } => self.on_client_gone(id),
            Record::AttemptStarted { at, engine, id, .. } => self.on_attempt(*at, engine, id),
            Record::AttemptEnded { at, engine, id, outcome } => {
                let mut attempts = self.request(id).attempts.iter_mut();
                if let Some(open) = attempts.find(|it| it.engine == *engine && it.end.is_none()) {
                    open.end = Some((*outcome, *at));
                }
            }
            Record::ForwarderKilled { .. } | Record::EngineListed { .. } | Record::EngineStarted { .. } => {}
        }
    }

    fn request(&mut self, id: &str) -> &mut Request {
        self.requests.entry(id.to_owned()).or_default()
    }

    fn on_answer(&mut self, at: f64, id: &str, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Served => self.counts.served += 1,
            RequestOutcome::Rejected => self.counts.rejected += 1,
            RequestOutcome::Failed => self.counts.failed += 1,
        }
        let slack = self.rules.response_slack_ms + self.rules.clock_skew_ms;
        let request = self.requests.entry(id.to_owned()).or_default();
        if request.answer.replace(outcome).is_some() {
            self.violations.push(Violation::AnsweredTwice { id: id.to_owned() });
            return;
        }
        let Some(Asked { due, .. }) = request.asked else { return };
        if at > due + slack && !request.client_gone {
            self.violations.push(Violation::AnsweredLate { id: id.to_owned(), by: at - due });
        }
        let served =
            |attempt: &Attempt| attempt.end.is_some_and(|(outcome, _)| outcome == AttemptOutcome::Served);
        if outcome == RequestOutcome::Served && !request.attempts.iter().any(served) {
            self.violations.push(Violation::ServedByNoEngine { id: id.to_owned() });
        }
        if outcome == RequestOutcome::Rejected && request.must_not_repeat() && request.may_have_run() {
            self.violations.push(Violation::RejectedAfterRun { id: id.to_owned() });
        }
    }

    fn on_client_gone(&mut self, id: &str) {
        let request = self.request(id);
        let first = request.answer.is_none() && !request.client_gone;
        request.client_gone = true;
        self.counts.client_gone += usize::from(first);
    }

    fn on_attempt(&mut self, at: f64, engine: &str, id: &str) {
        self.counts.attempts += 1;
        let skew = self.rules.clock_skew_ms;
        let request = self.requests.entry(id.to_owned()).or_default();
        // With clocks that differ a little, an attempt that has just ended may seem to be in flight.
        let seems_open = |it: &&Attempt| it.end.is_none_or(|(_, ended)| ended > at + skew);
        if let Some(other) = request.attempts.iter().find(seems_open) {
            let engines = [other.engine.clone(), engine.to_owned()];
            self.violations.push(Violation::ConcurrentAttempts { id: id.to_owned(), engines });
        }
        if request.must_not_repeat() && request.may_have_run() {
            self.violations.push(Violation::RanTwice { id: id.to_owned() });
        }
        request.attempts.push(Attempt { engine: engine.to_owned(), end: None });
    }

    /// Requests without an answer, but for those whose clients left or whose forwarders were killed meanwhile.
    fn check_unanswered(&mut self, kills: &BTreeMap<&str, Vec<f64>>) {
        for (id, request) in &self.requests {
            let Some(asked) = &request.asked else { continue };
            let of_forwarder = kills.get(asked.via.as_str());
            let killed =
                of_forwarder.is_some_and(|all| all.iter().any(|at| (asked.at..=asked.due).contains(at)));
            if request.answer.is_none() && !request.client_gone && !killed {
                self.violations.push(Violation::Unanswered { id: id.clone(), due: asked.due });
            }
        }
    }
}
