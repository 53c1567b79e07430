//! Checks of each request: one response in time, one attempt at a time, and no second run if it must not run
//! twice.

use std::collections::BTreeMap;

use super::{Counts, Effect, Rules, Violation};
use crate::record::{AttemptOutcome, Record, RequestOutcome};

/// A request as its client sent it.
struct SentRequest {
    at: f64,
    via: String,
    /// `None` for a class that the rules do not know.
    effect: Option<Effect>,
    deadline: f64,
}

/// An attempt that reached an engine.
struct Attempt {
    engine: String,
    /// The outcome and the time of its end; `None` while it is in flight.
    end: Option<(AttemptOutcome, f64)>,
}

/// The events recorded for one request.
#[derive(Default)]
struct Request {
    sent: Option<SentRequest>,
    outcome: Option<RequestOutcome>,
    client_gone: bool,
    attempts: Vec<Attempt>,
}

impl Request {
    /// Whether any attempt is not proved never to have run.
    fn may_have_run(&self) -> bool {
        let never_ran = |attempt: &Attempt| attempt.end.is_some_and(|(outcome, _)| outcome.never_ran());
        self.attempts.iter().any(|attempt| !never_ran(attempt))
    }

    fn must_not_repeat(&self) -> bool {
        self.sent.as_ref().is_some_and(|sent| sent.effect == Some(Effect::Unsafe))
    }
}

/// Checks all requests, from records in the order of time, and counts their events.
pub(super) fn check(ordered: &[&Record], rules: &Rules) -> (Vec<Violation>, Counts) {
    let mut checker =
        Checker { rules, violations: Vec::new(), counts: Counts::default(), requests: BTreeMap::new() };
    for record in ordered {
        checker.on_record(record);
    }
    checker.check_missing_responses(&kills(ordered));
    (checker.violations, checker.counts)
}

/// The times at which each forwarder was killed.
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
                let sent = SentRequest { at: *at, via: via.clone(), effect, deadline: at + budget };
                self.request(id).sent = Some(sent);
            }
            Record::Responded { at, id, outcome } => self.on_response(*at, id, *outcome),
            Record::ClientGone { id, .. } => self.on_client_gone(id),
            Record::AttemptStarted { at, engine, id, .. } => self.on_attempt(*at, engine, id),
            Record::AttemptEnded { at, engine, id, outcome } => {
                let mut attempts = self.request(id).attempts.iter_mut();
                let in_flight = attempts.find(|attempt| attempt.engine == *engine && attempt.end.is_none());
                if let Some(attempt) = in_flight {
                    attempt.end = Some((*outcome, *at));
                }
            }
            Record::ForwarderKilled { .. } | Record::EngineListed { .. } | Record::EngineStarted { .. } => {}
        }
    }

    fn request(&mut self, id: &str) -> &mut Request {
        self.requests.entry(id.to_owned()).or_default()
    }

    fn on_response(&mut self, at: f64, id: &str, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Served => self.counts.served += 1,
            RequestOutcome::Rejected => self.counts.rejected += 1,
            RequestOutcome::Failed => self.counts.failed += 1,
        }
        let slack = self.rules.response_slack_ms + self.rules.clock_skew_ms;
        let request = self.requests.entry(id.to_owned()).or_default();
        if request.outcome.replace(outcome).is_some() {
            self.violations.push(Violation::RespondedTwice { id: id.to_owned() });
            return;
        }
        let Some(SentRequest { deadline, .. }) = request.sent else { return };
        if at > deadline + slack && !request.client_gone {
            self.violations.push(Violation::RespondedLate { id: id.to_owned(), late_by_ms: at - deadline });
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
        let is_counted = request.outcome.is_none() && !request.client_gone;
        request.client_gone = true;
        self.counts.client_gone += usize::from(is_counted);
    }

    fn on_attempt(&mut self, at: f64, engine: &str, id: &str) {
        self.counts.attempts += 1;
        let skew = self.rules.clock_skew_ms;
        let request = self.requests.entry(id.to_owned()).or_default();
        // Clocks may differ by the skew, so an attempt that seems to end up to that long after this start may
        // have ended before it.
        let overlaps = |attempt: &&Attempt| attempt.end.is_none_or(|(_, ended_at)| ended_at > at + skew);
        if let Some(other) = request.attempts.iter().find(overlaps) {
            let engines = [other.engine.clone(), engine.to_owned()];
            self.violations.push(Violation::ConcurrentAttempts { id: id.to_owned(), engines });
        }
        if request.must_not_repeat() && request.may_have_run() {
            self.violations.push(Violation::RanTwice { id: id.to_owned() });
        }
        request.attempts.push(Attempt { engine: engine.to_owned(), end: None });
    }

    /// Reports requests without a response, except those whose client disconnected or whose forwarder was
    /// killed before the deadline.
    fn check_missing_responses(&mut self, kills: &BTreeMap<&str, Vec<f64>>) {
        for (id, request) in &self.requests {
            let Some(sent) = &request.sent else { continue };
            let kills = kills.get(sent.via.as_str());
            let before_deadline = |at: &f64| (sent.at..=sent.deadline).contains(at);
            let killed = kills.is_some_and(|times| times.iter().any(before_deadline));
            if request.outcome.is_none() && !request.client_gone && !killed {
                let deadline = sent.deadline;
                self.violations.push(Violation::MissingResponse { id: id.clone(), deadline });
            }
        }
    }
}
