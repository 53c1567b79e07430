//! What a decision costs: `cargo bench --bench dispatch`. Prints figures and asserts none.
//!
//! Each case keeps a number of requests open and repeats one round: the oldest attempt in flight ends as served and a new
//! request arrives; the module sends it, or another one that waits. Timers come due between rounds, and pending requests are
//! served as often as the proxy does it. So a round is the whole cost of one request in a steady state. The clock is
//! simulated, and moves so that attempts run for about their estimated time.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::VecDeque;
use std::time::Instant;

use common::{class, entry, request, settings};
use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;

/// Rounds before measuring, so that estimates and queues are in a steady state.
const WARM_UP_ROUNDS: u32 = 2_000;
/// Repetitions of each case, of which the median is reported.
const REPETITIONS: usize = 7;
/// ms between two calls to serve pending requests, as in the proxy.
const RUN_PENDING_EVERY: Millis = 1.0;
/// ms that an attempt runs, about.
const RUN_TIME: Millis = 1_000.0;
/// ms that clients wait.
const PATIENCE: Millis = 600_000.0;

/// One case of the benchmark.
struct Case {
    name: &'static str,
    dispatchers: usize,
    engines: u32,
    /// Requests open at any time.
    open: u32,
    /// Whether ends carry the engine's load report.
    load_reports: bool,
    /// Rounds in one repetition.
    rounds: u32,
}

const CASES: [Case; 5] = [
    Case {
        name: "8 engines, 2 dispatchers, 20 requests open",
        dispatchers: 2,
        engines: 8,
        open: 20,
        load_reports: true,
        rounds: 20_000,
    },
    Case {
        name: "80 engines, 100 dispatchers, 20 requests open",
        dispatchers: 100,
        engines: 80,
        open: 20,
        load_reports: true,
        rounds: 20_000,
    },
    Case {
        name: "80 engines, 100 dispatchers, 20 requests open, no load reports",
        dispatchers: 100,
        engines: 80,
        open: 20,
        load_reports: false,
        rounds: 20_000,
    },
    Case {
        name: "160 engines, 2 dispatchers, 1,000 requests open, all in flight",
        dispatchers: 2,
        engines: 160,
        open: 1_000,
        load_reports: true,
        rounds: 1_000,
    },
    Case {
        name: "8 engines, 2 dispatchers, 1,000 requests open, most waiting",
        dispatchers: 2,
        engines: 8,
        open: 1_000,
        load_reports: true,
        rounds: 1_000,
    },
];

/// An attempt in flight.
struct InFlight {
    id: RequestId,
    engine: EngineId,
    sent: Millis,
}

/// The module under a steady stream of requests.
struct SteadyLoad {
    dispatcher: Dispatcher,
    now: Millis,
    pending_run_at: Millis,
    timer_due: Option<Millis>,
    arrivals: u32,
    in_flight: VecDeque<InFlight>,
    /// Attempts in flight by engine.
    held: Vec<u32>,
    load_reports: bool,
    actions: Vec<Action>,
}

impl SteadyLoad {
    /// Opens the case's requests, evenly over the time of one run.
    fn new(case: &Case) -> Self {
        let safe = class(Idempotency::Safe, 1.0);
        let settings =
            Settings { dispatchers: case.dispatchers, memory_grants: false, ..settings(vec![safe]) };
        let mut load = SteadyLoad {
            dispatcher: Dispatcher::new(settings, 7).expect("the settings are valid"),
            now: 0.0,
            pending_run_at: 0.0,
            timer_due: None,
            arrivals: 0,
            in_flight: VecDeque::new(),
            held: vec![0; case.engines as usize],
            load_reports: case.load_reports,
            actions: Vec::new(),
        };
        load.handle(Event::EngineList((0..case.engines).map(entry).collect()));
        for _ in 0..case.open {
            load.now += RUN_TIME / f64::from(case.open);
            load.request();
        }
        load
    }

    /// Hands over an event, and serves pending requests if the last time is long enough ago.
    fn handle(&mut self, event: Event) {
        self.dispatcher.handle(self.now, event, &mut self.actions);
        if self.now - self.pending_run_at >= RUN_PENDING_EVERY {
            self.pending_run_at = self.now;
            self.dispatcher.run_pending(self.now, &mut self.actions);
        }
        for action in self.actions.drain(..) {
            match action {
                Action::Send { id, engine } => {
                    self.held[engine.0 as usize] += 1;
                    self.in_flight.push_back(InFlight { id, engine, sent: self.now });
                }
                Action::SetTimer { delay, .. } => self.timer_due = Some(self.now + delay),
                Action::SetAttemptOptions { .. } | Action::Log(_) => {}
                Action::Cancel { .. } | Action::Reject { .. } | Action::Fail { .. } => {
                    panic!("a steady load is served without cancels, rejections and failures")
                }
            }
        }
    }

    fn request(&mut self) {
        self.arrivals += 1;
        self.handle(Event::Request(request(self.arrivals, 0, self.now + PATIENCE)));
    }

    /// Ends the oldest attempt as served.
    fn end_oldest(&mut self) {
        let Some(oldest) = self.in_flight.pop_front() else { return };
        let held = &mut self.held[oldest.engine.0 as usize];
        *held -= 1;
        let report = LoadReport { in_flight: Some(f64::from(*held)), ..LoadReport::default() };
        self.handle(Event::AttemptEnded(AttemptEnd {
            id: oldest.id,
            attempt: AttemptNo(0),
            engine: oldest.engine,
            outcome: Outcome::Served,
            finished: true,
            elapsed: self.now - oldest.sent,
            cost: None,
            load: self.load_reports.then_some(report),
        }));
    }

    /// One request ends and one arrives, after as long as keeps attempts running for about the run time.
    fn round(&mut self) {
        self.now += RUN_TIME / self.in_flight.len().max(1) as f64;
        if self.timer_due.is_some_and(|due| due <= self.now) {
            self.timer_due = None;
            self.handle(Event::Timer(TimerId(0)));
        }
        self.end_oldest();
        self.request();
    }
}

/// What a case measured.
struct Figures {
    /// The median cost of a round.
    nanoseconds: f64,
    /// Attempts in flight at the end.
    in_flight: usize,
}

fn measure(case: &Case) -> Figures {
    let mut load = SteadyLoad::new(case);
    for _ in 0..WARM_UP_ROUNDS.min(case.rounds) {
        load.round();
    }
    let mut repetition = || {
        let began = Instant::now();
        for _ in 0..case.rounds {
            load.round();
        }
        began.elapsed().as_secs_f64() * 1e9 / f64::from(case.rounds)
    };
    let mut costs: Vec<f64> = (0..REPETITIONS).map(|_| repetition()).collect();
    costs.sort_by(f64::total_cmp);
    Figures { nanoseconds: costs[REPETITIONS / 2], in_flight: load.in_flight.len() }
}

fn main() {
    for case in &CASES {
        let Figures { nanoseconds, in_flight } = measure(case);
        println!("{}: {nanoseconds:.0} ns a request ({in_flight} attempts in flight)", case.name);
    }
}
