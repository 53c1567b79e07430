//! Random sequences of legal events from fixed seeds. An independent model checks every action.

mod common;

use std::collections::BTreeMap;
use std::fmt::Write as _;

use common::*;
use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;
use oorandom::Rand64;

/// The number of engines on the list.
const ENGINES: u32 = 7;
/// The numbers of the classes in the settings.
const KEYED: usize = 1;
const ORDERED: usize = 2;
const RESTRICTED: usize = 3;
/// The deduplication window of keyed requests and the window of the retry budget, in ms.
const DEDUP_WINDOW: Millis = 900.0;
const BUDGET_WINDOW: Millis = 5_000.0;
/// The time after the deadline by which a final response must have been sent, in ms: timers are late in this
/// simulation.
const RESPONSE_SLACK: Millis = 140.0;

struct SentAttempt {
    engine: EngineId,
    at: Millis,
    outcome: Option<Outcome>,
}

impl SentAttempt {
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

struct OpenRequest {
    class: usize,
    deadline: Millis,
    key: Option<OrderKey>,
    sent: Vec<SentAttempt>,
    has_response: bool,
}

impl OpenRequest {
    fn is_over(&self) -> bool {
        self.has_response && self.sent.iter().all(|sent| sent.outcome.is_some())
    }
}

fn random_settings() -> Settings {
    let keyed = class(Idempotency::Keyed(DedupGroup::Cell, DEDUP_WINDOW), 2.0);
    let mut ordered = class(Idempotency::Unsafe, 2.0);
    ordered.ordered = true;
    let mut restricted = class(Idempotency::Safe, 4.0);
    restricted.zones = Some(vec![ZoneId(1)]);
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0), keyed, ordered, restricted]);
    settings.tenants = vec![TenantSettings { quota_per_s: 20.0 }, TenantSettings { quota_per_s: 5.0 }];
    settings.dispatchers = 2;
    settings.max_attempts = 3;
    settings.retry_budget = Some(RetryBudgetSettings { min_retries: 2.0, ratio: 0.1, window: BUDGET_WINDOW });
    settings
}

fn zoned_entry(engine: u32) -> EngineEntry {
    EngineEntry { zone: ZoneId(engine as usize % 2), cell: CellId(u64::from(engine / 3)), ..entry(engine) }
}

/// The requests, attempts and responses from the embedder's point of view.
struct Model {
    settings: Settings,
    now: Millis,
    timer_at: Option<Millis>,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// The requests of each order key, in the order of arrival.
    queues: BTreeMap<OrderKey, Vec<RequestId>>,
    /// The end of the latest pause of each order key.
    paused_until: BTreeMap<OrderKey, Millis>,
    up: BTreeMap<EngineId, bool>,
    arrivals: Vec<Millis>,
    retries: Vec<Millis>,
}

impl Model {
    fn new(settings: Settings) -> Self {
        Model {
            settings,
            now: 0.0,
            timer_at: None,
            requests: BTreeMap::new(),
            queues: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            up: (0..ENGINES).map(|engine| (EngineId(engine), true)).collect(),
            arrivals: vec![],
            retries: vec![],
        }
    }

    /// The attempts without an outcome, each by its request and number.
    fn in_flight(&self) -> Vec<(RequestId, usize)> {
        let attempts_of = |(id, request): (&RequestId, &OpenRequest)| {
            let in_flight = request.sent.iter().enumerate().filter(|(_, sent)| sent.outcome.is_none());
            in_flight.map(|(index, _)| (id.clone(), index)).collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(attempts_of).collect()
    }

    fn arrive(&mut self, random: &mut Rand64) -> Event {
        let number = self.arrivals.len() as u32 + 1;
        let class = random.rand_range(0..4) as usize;
        let deadline = self.now + random.rand_range(0..8_000) as f64;
        let key = (class == ORDERED).then(|| OrderKey(format!("k{}", random.rand_range(0..3)).into()));
        let new = NewRequest {
            tenant: TenantId(number as usize % 2),
            estimate: random.rand_range(0..3_000) as f64,
            order_key: key.clone(),
            ..request(number, class, deadline)
        };
        self.arrivals.push(self.now);
        if let Some(key) = &key {
            self.queues.entry(key.clone()).or_default().push(new.id.clone());
        }
        let open = OpenRequest { class, deadline, key, sent: vec![], has_response: false };
        self.requests.insert(new.id.clone(), open);
        Event::Request(new)
    }

    fn end(&mut self, id: RequestId, index: usize, outcome: Outcome) -> Event {
        let request = self.requests.get_mut(&id).expect("the request of an attempt in flight is open");
        let sent = &mut request.sent[index];
        sent.outcome = Some(outcome);
        let (engine, elapsed) = (sent.engine, self.now - sent.at);
        request.has_response |= outcome == Outcome::Served;
        if matches!(outcome, Outcome::Reset | Outcome::Cancelled)
            && let Some(key) = &request.key
        {
            self.paused_until.insert(key.clone(), self.now + self.settings.order_pause);
        }
        Event::AttemptEnded(AttemptEnd {
            id,
            attempt: AttemptNo(index),
            engine,
            outcome,
            finished: request.has_response,
            elapsed,
            cost: None,
            load: None,
        })
    }

    /// The next event: the timer if it is due, else a random one. `None` if only the clock advances.
    fn next_event(&mut self, random: &mut Rand64) -> Option<Event> {
        let pick = random.rand_range(0..100);
        let in_flight = self.in_flight();
        if self.timer_at.is_some_and(|at| at <= self.now) {
            self.timer_at = None;
            return Some(Event::Timer(TimerId(0)));
        }
        if pick < 30 {
            return Some(self.arrive(random));
        }
        if pick < 60 && !in_flight.is_empty() {
            let (id, index) = in_flight[random.rand_range(0..in_flight.len() as u64) as usize].clone();
            let outcome = match random.rand_range(0..10) {
                0 => Outcome::Failed,
                1 => Outcome::Rejected,
                2 => Outcome::Reset,
                3 => Outcome::ConnectFailed,
                4 => Outcome::Cancelled,
                _ => Outcome::Served,
            };
            return Some(self.end(id, index, outcome));
        }
        if pick < 66 {
            let engine = random.rand_range(0..u64::from(ENGINES)) as u32;
            let readiness =
                [Readiness::Up, Readiness::Draining, Readiness::Gone][random.rand_range(0..3) as usize];
            self.up.insert(EngineId(engine), readiness == Readiness::Up);
            return Some(Event::EngineChanges(vec![EngineEntry { readiness, ..zoned_entry(engine) }]));
        }
        if pick < 70 && !in_flight.is_empty() {
            let (id, index) = in_flight[0].clone();
            return Some(Event::Progress(id, AttemptNo(index), ProgressReport::Done(random.rand_float())));
        }
        self.now += random.rand_range(1..120) as f64;
        self.timer_at = self.timer_at.map(|at| at.max(self.now - 5.0));
        None
    }

    fn check_idempotency(&self, request: &OpenRequest, engine: EngineId) {
        let mut ran = request.sent.iter().filter(|sent| sent.may_have_run());
        match request.class {
            KEYED => assert!(
                ran.all(|sent| { sent.engine.0 / 3 == engine.0 / 3 && self.now - sent.at <= DEDUP_WINDOW })
            ),
            ORDERED => assert!(ran.next().is_none(), "an unsafe request may have run before"),
            RESTRICTED => {
                assert_eq!(engine.0 % 2, 1, "the engine is in a zone that the class may not be sent to")
            }
            _ => {}
        }
    }

    fn check_order(&self, id: &RequestId, request: &OpenRequest) {
        let Some(key) = &request.key else { return };
        for earlier in self.queues[key].iter().take_while(|other| *other != id) {
            assert!(self.requests[earlier].is_over(), "an earlier request of the key is not finished");
        }
        let paused = self.paused_until.get(key).is_some_and(|until| self.now < *until);
        assert!(!request.sent.is_empty() || !paused, "the key is paused");
    }

    fn check_retry_budget(&mut self) {
        self.retries.push(self.now);
        let recent =
            |times: &[Millis]| times.iter().filter(|at| self.now - **at <= BUDGET_WINDOW).count() as f64;
        assert!(recent(&self.retries) <= 2.0 + 0.1 * recent(&self.arrivals), "the retry budget is exceeded");
    }

    fn check_send(&mut self, id: &RequestId, engine: EngineId) {
        assert!(self.up[&engine], "an attempt is sent to an engine that is draining or removed");
        let request = &self.requests[id];
        assert!(!request.has_response, "an attempt is sent after the final response");
        assert!(
            request.sent.iter().all(|sent| sent.outcome.is_some()),
            "two attempts are in flight together"
        );
        assert!(request.sent.len() < self.settings.max_attempts);
        self.check_idempotency(request, engine);
        self.check_order(id, request);
        if !request.sent.is_empty() {
            self.check_retry_budget();
        }
        let sent = SentAttempt { engine, at: self.now, outcome: None };
        self.requests.get_mut(id).expect("the request was found above").sent.push(sent);
    }

    fn check_response(&mut self, id: &RequestId, rejected: bool) {
        let request = self.requests.get_mut(id).expect("only open requests get a response");
        assert!(!request.has_response, "two responses for {id:?}");
        let repeatable = matches!(request.class, 0 | RESTRICTED);
        let ran = request.sent.iter().any(SentAttempt::may_have_run);
        assert!(!rejected || repeatable || !ran, "a request that may have run is rejected");
        request.has_response = true;
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { id, engine } => self.check_send(&id, engine),
            Action::Reject { id, .. } => self.check_response(&id, true),
            Action::Fail { id } => self.check_response(&id, false),
            Action::SetTimer { delay, .. } => self.timer_at = Some(self.now + delay),
            Action::Cancel { id, attempt } => assert!(attempt.0 < self.requests[&id].sent.len()),
            Action::SetAttemptOptions { priority, memory_mb, .. } => {
                assert!(priority <= 3 && memory_mb.is_finite() && memory_mb >= 0.0);
            }
            Action::Log(_) => {}
        }
    }

    fn check_deadlines(&self) {
        if self.timer_at.is_none_or(|at| at > self.now) {
            for (id, request) in &self.requests {
                assert!(
                    request.has_response || self.now <= request.deadline + RESPONSE_SLACK,
                    "{id:?} has no response by its deadline"
                );
            }
        }
    }
}

/// Passes `steps` random events to a dispatcher and checks every action. Returns the actions as text.
fn simulate(seed: u128, steps: usize) -> String {
    let mut random = Rand64::new(seed);
    let mut model = Model::new(random_settings());
    let mut dispatcher =
        Dispatcher::new(model.settings.clone(), seed as u64).expect("the settings are valid");
    let mut log = String::new();
    for step in 0..steps {
        let event = match step {
            0 => Some(Event::EngineList((0..ENGINES).map(zoned_entry).collect())),
            _ => model.next_event(&mut random),
        };
        let Some(event) = event else { continue };
        let mut actions = Vec::new();
        dispatcher.handle(model.now, event, &mut actions);
        for action in actions {
            writeln!(log, "{} {action:?}", model.now).expect("a string takes any text");
            model.check(action);
        }
        model.check_deadlines();
    }
    log
}

#[test]
fn random_events_violate_no_rule_and_give_the_same_actions_again() {
    for seed in 1..13 {
        assert_eq!(simulate(seed, 1_500), simulate(seed, 1_500));
    }
}
