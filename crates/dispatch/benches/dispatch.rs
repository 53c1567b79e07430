//! Measures the time that the dispatcher needs for one request: `cargo bench --bench dispatch`. Prints the
//! results and checks none of them.
//!
//! Each case has a constant number of open requests and repeats one round: the oldest attempt in flight is
//! served and a new request arrives, after which the dispatcher sends this request or another one that is
//! waiting. Timers fire between rounds, and `run_pending` is called as often as the proxy calls it, so that a
//! round is the complete cost of one request in a steady state. The clock is simulated and advances so that
//! attempts run for about their estimated time.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::VecDeque;
use std::time::Instant;

use common::{class, entry, request, settings};
use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;

/// The number of rounds before the measurement, after which estimates and queues are in a steady state.
const WARM_UP_ROUNDS: u32 = 2_000;
/// The number of repetitions of each case, of which the median is reported.
const REPETITIONS: usize = 7;
/// The minimum time between two calls of `run_pending`, as in the proxy, in ms.
const RUN_PENDING_INTERVAL: Millis = 1.0;
/// The approximate run time of an attempt, in ms.
const RUN_TIME: Millis = 1_000.0;
/// The time that clients wait for a response, in ms.
const CLIENT_WAIT: Millis = 600_000.0;

/// One case of the benchmark.
struct Case {
    name: &'static str,
    dispatchers: usize,
    engines: u32,
    /// The number of requests that are open at any time.
    open: u32,
    /// Whether the end of an attempt carries the engine's load report.
    load_reports: bool,
    /// The number of rounds in one repetition.
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

/// A dispatcher with a steady stream of requests.
struct SteadyLoad {
    dispatcher: Dispatcher,
    now: Millis,
    pending_run_at: Millis,
    timer_due: Option<Millis>,
    arrivals: u32,
    in_flight: VecDeque<InFlight>,
    /// The number of attempts in flight on each engine.
    in_flight_by_engine: Vec<u32>,
    load_reports: bool,
    actions: Vec<Action>,
}

impl SteadyLoad {
    /// Opens the requests of the case, evenly spread over the run time of one attempt.
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
            in_flight_by_engine: vec![0; case.engines as usize],
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

    /// Passes an event to the dispatcher, and calls `run_pending` if its interval has passed.
    fn handle(&mut self, event: Event) {
        self.dispatcher.handle(self.now, event, &mut self.actions);
        if self.now - self.pending_run_at >= RUN_PENDING_INTERVAL {
            self.pending_run_at = self.now;
            self.dispatcher.run_pending(self.now, &mut self.actions);
        }
        for action in self.actions.drain(..) {
            match action {
                Action::Send { id, engine } => {
                    self.in_flight_by_engine[engine.0 as usize] += 1;
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
        self.handle(Event::Request(request(self.arrivals, 0, self.now + CLIENT_WAIT)));
    }

    /// Ends the oldest attempt as served.
    fn end_oldest(&mut self) {
        let Some(oldest) = self.in_flight.pop_front() else { return };
        let in_flight = &mut self.in_flight_by_engine[oldest.engine.0 as usize];
        *in_flight -= 1;
        let report = LoadReport { in_flight: Some(f64::from(*in_flight)), ..LoadReport::default() };
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

    /// Ends one request and adds one. The clock advances so that attempts run for about `RUN_TIME`.
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

/// The results of one case.
struct Measurement {
    /// The median time of a round, in ns.
    nanoseconds: f64,
    /// The number of attempts in flight at the end.
    in_flight: usize,
}

fn measure(case: &Case) -> Measurement {
    let mut load = SteadyLoad::new(case);
    for _ in 0..WARM_UP_ROUNDS.min(case.rounds) {
        load.round();
    }
    let mut repetition = || {
        let started_at = Instant::now();
        for _ in 0..case.rounds {
            load.round();
        }
        started_at.elapsed().as_secs_f64() * 1e9 / f64::from(case.rounds)
    };
    let mut costs: Vec<f64> = (0..REPETITIONS).map(|_| repetition()).collect();
    costs.sort_by(f64::total_cmp);
    Measurement { nanoseconds: costs[REPETITIONS / 2], in_flight: load.in_flight.len() }
}

fn main() {
    for case in &CASES {
        let Measurement { nanoseconds, in_flight } = measure(case);
        println!("{}: {nanoseconds:.0} ns a request ({in_flight} attempts in flight)", case.name);
    }
}
