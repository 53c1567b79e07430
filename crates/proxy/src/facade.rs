//! The decision module in blocking style: [`Facade::pick`], [`Facade::report`] and [`Facade::tick`].
//!
//! The facade owns the dispatcher, its clock and its timers, and turns the module's actions into events to
//! the coroutines concerned. Each request has one [`Mailbox`]; whatever reaches its coroutine comes through it.
//! Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::Thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gaugestep_coroutine_io::lock;
use gaugestep_dispatch::interface::*;
use gaugestep_dispatch::{Action, Dispatcher, Event, Settings};
use may::sync::mpsc::{Receiver, Sender, channel};

/// What reaches a request's coroutine. `Upstream` is whatever the databases' side has to say of an attempt.
#[derive(Debug)]
pub enum RequestEvent<Upstream> {
    /// The module sends the request to an engine.
    Send(AttemptOrder),
    /// The module calls an attempt off.
    Cancel(AttemptNo),
    /// The module gives what runs another priority.
    Priority(u8),
    /// The module's final answer: refused; milliseconds to stay away.
    Reject(Millis, RejectReason),
    /// The module's final answer: failed.
    Fail,
    /// The deadline has come while this attempt was out.
    Deadline(AttemptNo),
    /// The client has left.
    ClientGone,
    /// UpstreamEvent of an attempt from the databases' side.
    Upstream(AttemptNo, Upstream),
}

/// One attempt that the module wants made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOrder {
    /// Where to.
    pub engine: EngineId,
    /// Its number.
    pub attempt: AttemptNo,
    /// Its priority, where the engines heed one.
    pub priority: Option<u8>,
    /// How long it may still be sent, where engines drop repeats only for a while.
    pub left: Option<Duration>,
}

/// What a request's coroutine has to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Make this attempt, then [`Facade::report`] its end.
    Send(AttemptOrder),
    /// Refuse it; the client should stay away for so many milliseconds.
    Reject(Millis, RejectReason),
    /// Fail it.
    Fail,
    /// Nothing was taken: a request with this id is open.
    Duplicate,
    /// Nothing: the request is over.
    Finished,
}

/// How an attempt ended, in the module's terms.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// The outcome.
    pub outcome: Outcome,
    /// What it needed.
    pub cost: Option<Cost>,
    /// The engine's load.
    pub load: Option<LoadReport>,
}

/// The receiving end of a request's events.
pub struct Mailbox<Upstream> {
    events: Receiver<RequestEvent<Upstream>>,
    sender: Sender<RequestEvent<Upstream>>,
}

impl<Upstream> Mailbox<Upstream> {
    /// An empty mailbox.
    pub fn new() -> Self {
        let (sender, events) = channel();
        Mailbox { events, sender }
    }

    /// An address to write to it.
    pub fn sender(&self) -> Sender<RequestEvent<Upstream>> {
        self.sender.clone()
    }

    /// The final answer that may still lie here. Guards against losing a request: the module can answer while the
    /// event before that answer, such as the deadline, is still being dealt with.
    fn drain_for_answer(&self) -> NextStep {
        while let Ok(event) = self.events.try_recv() {
            match event {
                RequestEvent::Reject(backoff, reason) => return NextStep::Reject(backoff, reason),
                RequestEvent::Fail => return NextStep::Fail,
                _ => {}
            }
        }
        NextStep::Finished
    }

    /// Blocks the coroutine until a event comes.
    pub fn next(&self) -> RequestEvent<Upstream> {
        // The mailbox holds a sender of its own, so the channel cannot close under it.
        self.events.recv().unwrap_or(RequestEvent::ClientGone)
    }
}

/// Milliseconds between two times that the module looks at all that waits, while much is open.
const PENDING_RUN_INTERVAL: Millis = 1.0;

/// Microseconds after which the ticker looks again, whatever it was told.
const MAX_TICKER_WAIT_US: u64 = 1_000_000;

/// A request as the facade keeps it.
struct RequestEntry<Upstream> {
    events: Sender<RequestEvent<Upstream>>,
    due: Millis,
    /// Answered, or left by its client.
    over: bool,
    /// The attempt that is out, where and since when.
    out: Option<(AttemptNo, EngineId, Millis)>,
    /// Attempts sent so far, and how many may be.
    sent: usize,
    most: usize,
    priority: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Alarm {
    Deadline(RequestId),
    Timer(TimerId),
    RunPending,
}

struct Inner<Upstream> {
    dispatcher: Dispatcher,
    requests: BTreeMap<RequestId, RequestEntry<Upstream>>,
    /// Microseconds of the clock, and what is due then. A request's deadline goes with it: a client may name one that
    /// lies an hour ahead.
    alarms: BTreeSet<(u64, Alarm)>,
    logs: Vec<String>,
    /// All is answered by then.
    closing_by: Millis,
    /// When the module last settled, and whether an alarm is set for it to do so again.
    settled: (Millis, bool),
    max_attempts: usize,
    priorities: bool,
}

impl<Upstream> Inner<Upstream> {
    /// Forgets a request and its deadline.
    fn remove(&mut self, id: &RequestId) {
        if let Some(entry) = self.requests.remove(id) {
            self.alarms.remove(&(micros(entry.due), Alarm::Deadline(id.clone())));
        }
    }

    /// When the next alarm goes off.
    fn next(&self) -> u64 {
        self.alarms.first().map_or(u64::MAX, |(at, _)| *at)
    }
}

/// The dispatcher, its clock and its timers.
pub struct Facade<Upstream> {
    inner: Mutex<Inner<Upstream>>,
    started: Instant,
    /// Unix time of the clock's zero, in milliseconds.
    epoch: Millis,
    /// The thread that calls [`Facade::tick`], and when it will next, in microseconds.
    ticker: Mutex<(Option<Thread>, u64)>,
}

impl<Upstream> Facade<Upstream> {
    /// A facade of a new dispatcher whose clock starts now.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let (max_attempts, priorities) = (settings.max_attempts.max(1), settings.priorities);
        let inner = Inner {
            dispatcher: Dispatcher::new(settings, seed)?,
            requests: BTreeMap::new(),
            alarms: BTreeSet::new(),
            logs: Vec::new(),
            closing_by: f64::INFINITY,
            settled: (0.0, false),
            max_attempts,
            priorities,
        };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Ok(Facade {
            inner: Mutex::new(inner),
            started: Instant::now(),
            epoch: unix.as_secs_f64() * 1e3,
            ticker: Mutex::new((None, u64::MAX)),
        })
    }

    /// The module's clock.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// A Unix time in milliseconds on the module's clock. It may lie before the clock's zero.
    pub fn at_unix(&self, unix_ms: Millis) -> Millis {
        unix_ms - self.epoch
    }

    /// Hands a new request to the module and blocks until there is something to do for it.
    pub fn pick(&self, mut new: NewRequest, mailbox: &Mailbox<Upstream>) -> NextStep {
        let id = new.id.clone();
        let mut inner = lock(&self.inner);
        // Guards the request that is open: its answer would go to whoever names its id.
        if inner.requests.contains_key(&id) {
            return NextStep::Duplicate;
        }
        new.deadline = new.deadline.min(inner.closing_by);
        let entry = RequestEntry {
            events: mailbox.sender(),
            due: new.deadline,
            over: false,
            out: None,
            sent: 0,
            most: inner.max_attempts,
            priority: 1,
        };
        inner.alarms.insert((micros(new.deadline), Alarm::Deadline(id.clone())));
        inner.requests.insert(id.clone(), entry);
        self.dispatch(inner, Some(Event::Request(new)));
        self.wait_for_step(&id, mailbox)
    }

    /// Tells the module how an attempt ended and blocks until there is something further to do.
    pub fn report(&self, id: &RequestId, end: AttemptReport, mailbox: &Mailbox<Upstream>) -> NextStep {
        let now = self.now();
        let mut inner = lock(&self.inner);
        let Some(entry) = inner.requests.get_mut(id) else { return NextStep::Finished };
        let Some((attempt, engine, sent)) = entry.out.take() else { return NextStep::Finished };
        let was_finished = entry.over;
        entry.over |= end.outcome == Outcome::Served;
        let over = entry.over;
        if over {
            inner.remove(id);
        }
        self.dispatch(
            inner,
            Some(Event::AttemptEnded(AttemptEnd {
                id: id.clone(),
                attempt,
                engine,
                outcome: end.outcome,
                finished: over,
                elapsed: now - sent,
                cost: end.cost,
                load: end.load,
            })),
        );
        if over || was_finished { mailbox.drain_for_answer() } else { self.wait_for_step(id, mailbox) }
    }

    /// Passes on what an engine tells of a running attempt.
    pub fn on_progress(&self, id: &RequestId, attempt: AttemptNo, report: ProgressReport) {
        self.dispatch(lock(&self.inner), Some(Event::Progress(id.clone(), attempt, report)));
    }

    /// The client has left: nothing is owed any more. What runs is called off by event.
    pub fn client_gone(&self, id: &RequestId) {
        let mut inner = lock(&self.inner);
        let Some(entry) = inner.requests.get_mut(id) else { return };
        entry.over = true;
        if entry.out.is_none() {
            inner.remove(id);
        }
        self.dispatch(inner, Some(Event::ClientGone(id.clone())));
    }

    /// Tells of the list of engines, or of changes to it.
    pub fn update_engines(&self, entries: Vec<EngineEntry>, complete: bool) {
        let event = if complete { Event::EngineList(entries) } else { Event::EngineChanges(entries) };
        self.dispatch(lock(&self.inner), Some(event));
    }

    /// How many engines are listed and left alone for now.
    pub fn ejected_count(&self) -> usize {
        lock(&self.inner).dispatcher.ejected_count(self.now())
    }

    /// New settings. What is open stays under the rules that it came under.
    pub fn update_settings(&self, settings: Settings) {
        let mut inner = lock(&self.inner);
        (inner.max_attempts, inner.priorities) = (settings.max_attempts.max(1), settings.priorities);
        self.dispatch(inner, Some(Event::SettingsUpdated(Box::new(settings))));
    }

    /// The dispatcher has this place for so long, and the one of its settings from then on.
    pub fn set_fleet_position(&self, place: FleetPosition, left: Millis) {
        let until = self.now() + left;
        self.dispatch(lock(&self.inner), Some(Event::PositionAssigned(place, until)));
    }

    /// The proxy will end: every request, taken or yet to come, is due by then at the latest.
    pub fn close_by(&self, at: Millis) {
        let mut inner = lock(&self.inner);
        inner.closing_by = at;
        let Inner { requests, alarms, .. } = &mut *inner;
        for (id, entry) in requests.iter_mut().filter(|(_, entry)| entry.due > at) {
            alarms.remove(&(micros(entry.due), Alarm::Deadline(id.clone())));
            alarms.insert((micros(at), Alarm::Deadline(id.clone())));
            entry.due = at;
        }
        self.dispatch(inner, Some(Event::ClosingBy(at)));
    }

    /// Fires what is due.
    pub fn tick(&self) {
        loop {
            let now = self.now();
            let mut inner = lock(&self.inner);
            if inner.next() > micros(now) {
                return;
            }
            let Some((_, alarm)) = inner.alarms.pop_first() else { return };
            match alarm {
                Alarm::Timer(timer) => self.dispatch(inner, Some(Event::Timer(timer))),
                Alarm::RunPending => {
                    inner.settled = (now - PENDING_RUN_INTERVAL, false);
                    self.dispatch(inner, None);
                }
                Alarm::Deadline(id) => {
                    let Some(entry) = inner.requests.get(&id) else { continue };
                    if let Some((attempt, ..)) = entry.out.filter(|_| !entry.over) {
                        let _ = entry.events.send(RequestEvent::Deadline(attempt));
                    }
                }
            }
        }
    }

    /// Calls [`Facade::tick`] for good, whenever something is due. Blocks its thread, which must run no coroutine.
    pub fn run_ticker(&self) {
        lock(&self.ticker).0 = Some(std::thread::current());
        loop {
            let now = micros(self.now());
            // Both at once: an alarm set in between would find a time that has passed, and wake nobody.
            let mut ticker = lock(&self.ticker);
            let next = lock(&self.inner).next();
            ticker.1 = next;
            drop(ticker);
            if next > now {
                let wait = (next - now).min(MAX_TICKER_WAIT_US);
                std::thread::park_timeout(Duration::from_micros(wait));
            }
            self.tick();
        }
    }

    /// Blocks until the module has something to do for a request of which nothing is out.
    fn wait_for_step(&self, id: &RequestId, mailbox: &Mailbox<Upstream>) -> NextStep {
        loop {
            match mailbox.next() {
                RequestEvent::Send(order) => return NextStep::Send(order),
                RequestEvent::Reject(backoff, reason) => return NextStep::Reject(backoff, reason),
                RequestEvent::Fail => return NextStep::Fail,
                RequestEvent::ClientGone => {
                    self.client_gone(id);
                    // The module may have sent it just before: that attempt is owed an end.
                    while let Some(order) = self.unsent_attempt(id) {
                        tracing::debug!(attempt = order.0, "attempt cancelled before it was sent");
                        let end = AttemptReport { outcome: Outcome::NotSent, cost: None, load: None };
                        self.report(id, end, mailbox);
                    }
                    return NextStep::Finished;
                }
                // What is left of attempts that have ended.
                RequestEvent::Cancel(_)
                | RequestEvent::Priority(_)
                | RequestEvent::Deadline(_)
                | RequestEvent::Upstream(..) => {}
            }
        }
    }

    fn unsent_attempt(&self, id: &RequestId) -> Option<AttemptNo> {
        lock(&self.inner).requests.get(id).and_then(|entry| entry.out).map(|(attempt, ..)| attempt)
    }

    /// Hands an event to the module and carries out its actions; then lets go of the lock and logs.
    fn dispatch(&self, mut inner: MutexGuard<'_, Inner<Upstream>>, event: Option<Event>) {
        let now = self.now();
        let mut events = VecDeque::from_iter(event);
        let mut actions = Vec::new();
        loop {
            match events.pop_front() {
                Some(event) => inner.dispatcher.handle(now, event, &mut actions),
                None if now - inner.settled.0 >= PENDING_RUN_INTERVAL => {
                    inner.settled.0 = now;
                    inner.dispatcher.run_pending(now, &mut actions);
                }
                None => break,
            }
            for action in actions.drain(..) {
                if let Some(not_sent) = self.apply_action(&mut inner, now, action) {
                    events.push_back(not_sent);
                }
            }
        }
        if inner.settled.0 < now && !inner.settled.1 {
            inner.settled.1 = true;
            let at = micros(inner.settled.0 + PENDING_RUN_INTERVAL);
            inner.alarms.insert((at, Alarm::RunPending));
        }
        let next = inner.next();
        let logs = std::mem::take(&mut inner.logs);
        drop(inner);
        let ticker = lock(&self.ticker);
        if next < ticker.1 {
            if let Some(thread) = &ticker.0 {
                thread.unpark();
            }
        }
        drop(ticker);
        for text in logs {
            tracing::info!("module: {text}");
        }
    }

    /// Carries out one action; the event is the end of an attempt that could not be sent at all.
    fn apply_action(&self, inner: &mut Inner<Upstream>, now: Millis, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, engine } => {
                let entry = inner.requests.get_mut(&id);
                let sendable = |entry: &RequestEntry<Upstream>| {
                    !entry.over && entry.out.is_none() && entry.sent < entry.most && now < entry.due
                };
                let attempt = AttemptNo(entry.as_ref().map_or(0, |entry| entry.sent));
                match entry {
                    Some(entry) if sendable(entry) => {
                        entry.sent += 1;
                        entry.out = Some((attempt, engine, now));
                        let priority = inner.priorities.then_some(entry.priority);
                        let until = inner.dispatcher.sendable_until(&id);
                        let left = until.is_finite().then(|| to_duration(until - now));
                        let _ = entry.events.send(RequestEvent::Send(AttemptOrder {
                            engine,
                            attempt,
                            priority,
                            left,
                        }));
                    }
                    entry => {
                        let finished = entry.as_ref().is_none_or(|entry| entry.over);
                        if let Some(entry) = entry {
                            entry.sent += 1;
                        }
                        return Some(Event::AttemptEnded(AttemptEnd {
                            id,
                            attempt,
                            engine,
                            outcome: Outcome::NotSent,
                            finished,
                            elapsed: 0.0,
                            cost: None,
                            load: None,
                        }));
                    }
                }
            }
            Action::Cancel { id, attempt } => {
                let entry = inner.requests.get(&id);
                if let Some(entry) = entry.filter(|entry| entry.out.is_some_and(|(out, ..)| out == attempt)) {
                    let _ = entry.events.send(RequestEvent::Cancel(attempt));
                }
            }
            Action::Reject { id, retry_after, reason } => {
                Self::answer(inner, &id, RequestEvent::Reject(retry_after, reason));
            }
            Action::Fail { id } => Self::answer(inner, &id, RequestEvent::Fail),
            Action::SetTerms { id, priority, .. } => {
                if let Some(entry) = inner.requests.get_mut(&id) {
                    if entry.out.is_some() && entry.priority != priority {
                        let _ = entry.events.send(RequestEvent::Priority(priority));
                    }
                    entry.priority = priority;
                }
            }
            Action::SetTimer { timer, delay } => {
                inner.alarms.insert((micros(now + delay), Alarm::Timer(timer)));
            }
            Action::Log(text) => inner.logs.push(text),
        }
        None
    }

    fn answer(inner: &mut Inner<Upstream>, id: &RequestId, event: RequestEvent<Upstream>) {
        let Some(entry) = inner.requests.get_mut(id).filter(|entry| !entry.over) else { return };
        entry.over = true;
        let _ = entry.events.send(event);
        if entry.out.is_none() {
            inner.remove(id);
        }
    }
}

/// A time that lasts so long, or none.
pub fn to_duration(time: Millis) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1e3)
}

/// Whole microseconds, rounded up: an alarm never goes off before its time.
fn micros(at: Millis) -> u64 {
    (at.max(0.0) * 1e3).ceil() as u64
}

/// The name of a request.
pub fn request_id(text: &str) -> RequestId {
    RequestId(Arc::from(text))
}
