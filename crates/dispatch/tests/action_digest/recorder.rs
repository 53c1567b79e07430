//! Records the dispatcher's actions: a digest of all of them, and the counts of each kind of action and
//! event.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use gaugestep_dispatch::interface::{Action, Event, Millis};
use sha2::{Digest, Sha256};

use crate::encoding;

/// The number of occurrences of each of a fixed list of names.
#[derive(Clone)]
pub struct Counts {
    names: &'static [&'static str],
    counts: BTreeMap<&'static str, u64>,
}

impl Counts {
    fn new(names: &'static [&'static str]) -> Self {
        Counts { names, counts: names.iter().map(|name| (*name, 0)).collect() }
    }

    fn add(&mut self, name: &'static str) {
        *self.counts.get_mut(name).expect("the name is on the list") += 1;
    }

    /// Adds the counts of another stream for the same names.
    pub fn merge(&mut self, other: &Counts) {
        for (name, count) in &other.counts {
            *self.counts.get_mut(name).expect("both have the same list") += count;
        }
    }

    /// The names that never occurred.
    pub fn missing(&self) -> Vec<&'static str> {
        self.names.iter().filter(|name| self.counts[**name] == 0).copied().collect()
    }

    /// All names with their counts, in the order of the list.
    pub fn text(&self) -> String {
        let each: Vec<String> =
            self.names.iter().map(|name| format!("{name} {}", self.counts[name])).collect();
        each.join(", ")
    }
}

/// The counts of all kinds of events and actions.
#[derive(Clone)]
pub struct Coverage {
    /// Actions by kind.
    pub actions: Counts,
    /// Rejections by reason.
    pub rejections: Counts,
    /// Events by kind.
    pub events: Counts,
    /// Ends of attempts by outcome.
    pub outcomes: Counts,
    /// Progress reports by kind.
    pub progress: Counts,
    /// Calls of `run_pending` that led to an action.
    pub pending_runs: u64,
    /// The largest number of requests open at one time.
    pub most_open: usize,
    /// The largest number of engines ejected at one time.
    pub most_ejected: usize,
}

impl Default for Coverage {
    fn default() -> Self {
        Coverage {
            actions: Counts::new(&encoding::ACTION_KINDS),
            rejections: Counts::new(&encoding::REJECT_REASONS),
            events: Counts::new(&encoding::EVENT_KINDS),
            outcomes: Counts::new(&encoding::OUTCOMES),
            progress: Counts::new(&encoding::PROGRESS_KINDS),
            pending_runs: 0,
            most_open: 0,
            most_ejected: 0,
        }
    }
}

impl Coverage {
    /// Adds the counts of another stream.
    pub fn merge(&mut self, other: &Coverage) {
        self.actions.merge(&other.actions);
        self.rejections.merge(&other.rejections);
        self.events.merge(&other.events);
        self.outcomes.merge(&other.outcomes);
        self.progress.merge(&other.progress);
        self.pending_runs += other.pending_runs;
        self.most_open = self.most_open.max(other.most_open);
        self.most_ejected = self.most_ejected.max(other.most_ejected);
    }

    /// All kinds that never occurred.
    pub fn missing(&self) -> Vec<&'static str> {
        let all = [&self.actions, &self.rejections, &self.events, &self.outcomes, &self.progress];
        all.into_iter().flat_map(Counts::missing).collect()
    }
}

/// Records one stream.
pub struct Recorder {
    /// The counts so far.
    pub coverage: Coverage,
    /// Events handled so far.
    pub events: u64,
    calls: u64,
    hash: Sha256,
    trace: Option<BufWriter<File>>,
}

impl Recorder {
    /// An empty record. With a path, the digested text is also written to that file.
    pub fn new(trace: Option<&Path>) -> Self {
        let create = |path| BufWriter::new(File::create(path).expect("the trace file can be created"));
        Recorder {
            coverage: Coverage::default(),
            events: 0,
            calls: 0,
            hash: Sha256::new(),
            trace: trace.map(create),
        }
    }

    /// Records an event and the actions that followed.
    pub fn event(&mut self, now: Millis, event: &'static str, actions: &[Action]) {
        self.events += 1;
        self.coverage.events.add(event);
        self.call(now, event, actions);
    }

    /// Records a call of `run_pending` and the actions that followed.
    pub fn run_pending(&mut self, now: Millis, actions: &[Action]) {
        self.coverage.pending_runs += u64::from(!actions.is_empty());
        self.call(now, "run_pending", actions);
    }

    /// Records the result of `Dispatcher::sendable_until`.
    pub fn sendable_until(&mut self, until: Millis) {
        let mut text = String::new();
        encoding::write_sendable_until(&mut text, until);
        self.write(&text);
    }

    /// Records the result of `Dispatcher::ejected_count`.
    pub fn ejected_count(&mut self, engines: usize) {
        self.coverage.most_ejected = self.coverage.most_ejected.max(engines);
        let mut text = String::new();
        encoding::write_ejected_count(&mut text, engines);
        self.write(&text);
    }

    fn call(&mut self, now: Millis, call: &str, actions: &[Action]) {
        self.calls += 1;
        let mut text = String::new();
        encoding::write_call(&mut text, self.calls, now, call);
        for action in actions {
            self.coverage.actions.add(encoding::action_kind(action));
            if let Action::Reject { reason, .. } = action {
                self.coverage.rejections.add(encoding::reject_reason(*reason));
            }
            encoding::write_action(&mut text, action);
        }
        self.write(&text);
    }

    fn write(&mut self, text: &str) {
        self.hash.update(text);
        if let Some(trace) = &mut self.trace {
            trace.write_all(text.as_bytes()).expect("the trace file can be written");
        }
    }

    /// Counts the outcome or the progress report that an event carries.
    pub fn count_content(&mut self, event: &Event) {
        match event {
            Event::AttemptEnded(end) => self.coverage.outcomes.add(encoding::outcome(end.outcome)),
            Event::Progress(_, _, report) => self.coverage.progress.add(encoding::progress_kind(*report)),
            _ => {}
        }
    }

    /// The SHA-256 digest of the recorded text, in hexadecimal.
    pub fn digest(self) -> String {
        self.hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }
}
