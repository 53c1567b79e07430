//! What a forwarder lets happen to its requests, whoever orders it.
//!
//! Planners may die, pause and wake, be cut off, or both believe that a forwarder is theirs; their orders may come late,
//! twice or out of turn. The forwarder alone starts attempts and answers clients, so this guard in it is the one place
//! that decides which orders hold, and keeps whatever a planner says: one final answer to each request, at its deadline
//! at the latest; one attempt out at a time; nothing that may have run sent again unless its class allows it; nothing new
//! to an engine that drains or is gone; the ration of further attempts; and only the orders of the planner that the
//! forwarder itself has chosen last, while its lease lasts.
//!
//! It also holds all that another planner needs to take over: each open request with the history of its attempts.

use std::collections::{BTreeMap, VecDeque};

use crate::{Millis, PlannerId};

/// An engine, by the number that the forwarder's list gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u32);

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// It may be repeated freely.
    Safe,
    /// Engines of this group drop repeats, within so many milliseconds of the first attempt that may have run.
    Keyed(Group, Millis),
    /// It must never run twice.
    Unsafe,
}

/// Which engines drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// An engine as the forwarder's own list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Whether it takes work; if not, it drains.
    pub up: bool,
    /// Its zone and cell.
    pub zone: u64,
    /// See `zone`.
    pub cell: u64,
}

/// What the rules ration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ration {
    /// Further attempts in any span, however light the traffic.
    pub free: f64,
    /// Further attempts for each request taken in the span.
    pub ratio: f64,
    /// The span.
    pub span: Millis,
}

/// A request as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct Facts<T> {
    /// What a repeat would do.
    pub effect: Effect,
    /// When the final answer is due.
    pub due: Millis,
    /// Attempts that it may have.
    pub most: usize,
    /// What else a planner is told of it: class, tenant, estimates.
    pub told: T,
}

/// How an attempt ended, or that it has not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    /// It is out.
    Out,
    /// It is proved never to have run.
    NeverRan,
    /// It may have run, or may still be running.
    MayHaveRun,
}

/// One attempt, as another planner must know it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// Where.
    pub engine: EngineId,
    /// When it was started.
    pub at: Millis,
    /// How it stands.
    pub stand: Stand,
    /// Its priority.
    pub priority: u8,
}

/// What a planner orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Order {
    /// Start this attempt, counted from 0, on an engine.
    Send {
        /// The attempt.
        attempt: usize,
        /// The engine.
        engine: EngineId,
        /// Its priority.
        priority: u8,
    },
    /// Call an attempt off.
    Cancel {
        /// The attempt.
        attempt: usize,
    },
    /// Another priority for what is out.
    Weigh {
        /// The priority.
        priority: u8,
    },
    /// Final answer: nothing was done; come again after so many milliseconds.
    Refuse {
        /// The milliseconds.
        retry_after: Millis,
    },
    /// Final answer: failed.
    Fail,
}

/// Why an order is void.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Veto {
    /// It is of a planner that this forwarder does not follow, or of an earlier time when it did.
    Fenced,
    /// The planner's lease has run out.
    Silent,
    /// The request is not open, or was not registered with this planner.
    Unknown,
    /// It speaks of an attempt that is not the next, or not the one that is out.
    OutOfTurn,
    /// An attempt is out.
    AttemptOut,
    /// It may have run, and its class or group does not allow this repeat.
    NotRepeatable,
    /// It has had all its attempts.
    TooMany,
    /// The ration of further attempts is used up.
    Rationed,
    /// The engine drains, or is not on the forwarder's list.
    EngineNotUp,
    /// The request's time is up.
    TooLate,
}

/// A final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Served, with what the attempt brought.
    Served,
    /// Refused: nothing was done, or it may be repeated; come again after so many milliseconds.
    Refused(Millis),
    /// Failed: nothing is promised.
    Failed,
}

/// What the forwarder is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act<Id, T> {
    /// Start an attempt.
    Start {
        /// The request.
        id: Id,
        /// The attempt.
        attempt: usize,
        /// Where.
        engine: EngineId,
        /// Its priority.
        priority: u8,
    },
    /// Call an attempt off; its end is to be told all the same.
    CallOff {
        /// The request.
        id: Id,
        /// The attempt.
        attempt: usize,
    },
    /// Give what is out another priority.
    Weigh {
        /// The request.
        id: Id,
        /// The attempt.
        attempt: usize,
        /// The priority.
        priority: u8,
    },
    /// Answer the client.
    Answer {
        /// The request.
        id: Id,
        /// The answer.
        answer: Answer,
    },
    /// Tell the planner that is followed, under this epoch.
    Tell {
        /// The epoch.
        epoch: u64,
        /// What.
        what: Tell<Id, T>,
    },
}

/// What a planner is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Tell<Id, T> {
    /// A request that is open, with all that was tried: a new one, or one that another planner had.
    Register {
        /// The request.
        id: Id,
        /// As it came.
        facts: Facts<T>,
        /// Its attempts, in order.
        attempts: Vec<Attempt>,
    },
    /// An attempt ended, and whether the request is over with it.
    Ended {
        /// The request.
        id: Id,
        /// The attempt.
        attempt: usize,
        /// How.
        stand: Stand,
        /// The request is over: nothing more may be ordered for it.
        over: bool,
    },
    /// An order was void.
    Vetoed {
        /// The request.
        id: Id,
        /// The order.
        order: Order,
        /// Why.
        why: Veto,
    },
    /// The request is over without this planner's doing: its client left, or its time was up.
    Over {
        /// The request.
        id: Id,
    },
}

#[derive(Clone, Debug)]
struct Request<T> {
    facts: Facts<T>,
    attempts: Vec<Attempt>,
    /// It has its answer, or nobody waits for one.
    over: bool,
    /// The epoch under which a planner was last told of it.
    registered: u64,
}

impl<T> Request<T> {
    fn out(&self) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.stand == Stand::Out)
    }

    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.stand != Stand::NeverRan)
    }

    /// Whether a client may be told that coming again does no harm.
    fn refusable(&self) -> bool {
        match self.facts.effect {
            Effect::Safe | Effect::Keyed(Group::All, _) => true,
            Effect::Keyed(..) | Effect::Unsafe => !self.may_have_run(),
        }
    }
}

#[derive(Clone, Debug)]
struct Owner {
    planner: PlannerId,
    /// Its orders hold until then; for good, if it is the forwarder's own.
    until: Millis,
}

/// The guard of one forwarder. `Id` names a request, `T` is what planners are told of one.
#[derive(Clone, Debug)]
pub struct Guard<Id, T> {
    ration: Option<Ration>,
    engines: BTreeMap<EngineId, Engine>,
    owner: Option<Owner>,
    epoch: u64,
    requests: BTreeMap<Id, Request<T>>,
    /// When requests were taken and further attempts made, within the ration's span.
    taken: VecDeque<Millis>,
    further: VecDeque<Millis>,
}

impl<Id: Ord + Clone, T: Clone> Guard<Id, T> {
    /// A guard that follows nobody yet.
    pub fn new(ration: Option<Ration>) -> Self {
        Guard {
            ration,
            engines: BTreeMap::new(),
            owner: None,
            epoch: 0,
            requests: BTreeMap::new(),
            taken: VecDeque::new(),
            further: VecDeque::new(),
        }
    }

    /// The planner that is followed, and the epoch.
    pub fn owner(&self) -> Option<(&PlannerId, u64)> {
        self.owner.as_ref().map(|owner| (&owner.planner, self.epoch))
    }

    /// Requests that are open.
    pub fn open(&self) -> usize {
        self.requests.values().filter(|request| !request.over).count()
    }

    /// Their ids.
    pub fn open_requests(&self) -> impl Iterator<Item = &Id> {
        self.requests.iter().filter(|(_, request)| !request.over).map(|(id, _)| id)
    }

    // Whom to follow.

    /// Follows a planner from now on, under a new epoch; its lease lasts for `span` from `asked`. Everybody else's orders
    /// are void, also those of the same planner under an earlier epoch.
    pub fn follow(&mut self, planner: PlannerId, asked: Millis, span: Millis) -> u64 {
        self.epoch += 1;
        self.owner = Some(Owner { planner, until: asked + span });
        self.epoch
    }

    /// The planner that is followed has renewed its lease: asked for at `asked`, it lasts for `span`. False if the word
    /// is not of the planner that is followed now.
    pub fn renewed(&mut self, epoch: u64, asked: Millis, span: Millis) -> bool {
        let Some(owner) = self.owner.as_mut().filter(|_| epoch == self.epoch) else { return false };
        owner.until = owner.until.max(asked + span);
        true
    }

    /// Follows nobody: until [`Guard::follow`] all orders are void. What is out goes on.
    pub fn forsake(&mut self) {
        self.owner = None;
    }

    /// Whether the planner that is followed has let its lease run out.
    pub fn silent(&self, now: Millis) -> bool {
        self.owner.as_ref().is_some_and(|owner| now >= owner.until)
    }

    /// Registers open requests with the planner that is followed, those whose time is up first, at most so many: a
    /// planner that takes over many forwarders must not be flooded by all that they have open.
    pub fn register(&mut self, now: Millis, most: usize) -> Vec<Act<Id, T>> {
        let epoch = self.epoch;
        if self.owner.is_none() || self.silent(now) {
            return Vec::new();
        }
        let due = |request: &Request<T>| request.facts.due;
        let open = self.requests.iter_mut().filter(|(_, it)| !it.over && it.registered != epoch);
        let mut open: Vec<_> = open.collect();
        open.sort_by(|a, b| due(a.1).total_cmp(&due(b.1)));
        let register = |(id, request): (&Id, &mut Request<T>)| {
            request.registered = epoch;
            let (id, facts, attempts) = (id.clone(), request.facts.clone(), request.attempts.clone());
            Act::Tell { epoch, what: Tell::Register { id, facts, attempts } }
        };
        open.into_iter().take(most).map(register).collect()
    }

    // What comes from the list.

    /// The whole list of engines, or what has changed of it; none stands for one that has gone.
    pub fn listed(&mut self, entries: impl IntoIterator<Item = (EngineId, Option<Engine>)>, whole: bool) {
        if whole {
            self.engines.clear();
        }
        for (id, engine) in entries {
            match engine {
                Some(engine) => drop(self.engines.insert(id, engine)),
                None => drop(self.engines.remove(&id)),
            }
        }
    }

    // What comes from clients.

    /// A request has come; false if its id is open already. It is registered by the next [`Guard::register`].
    pub fn arrived(&mut self, now: Millis, id: Id, facts: Facts<T>) -> bool {
        if self.requests.contains_key(&id) {
            return false;
        }
        self.forget(now);
        self.taken.push_back(now);
        self.requests.insert(id, Request { facts, attempts: Vec::new(), over: false, registered: 0 });
        true
    }

    /// The client has left: nothing is owed any more.
    pub fn client_gone(&mut self, id: &Id) -> Vec<Act<Id, T>> {
        let mut acts = Vec::new();
        self.end(id, None, &mut acts);
        acts
    }

    /// Answers what is due: no planner need be there for it.
    pub fn overdue(&mut self, now: Millis) -> Vec<Act<Id, T>> {
        let due = self.requests.iter().filter(|(_, it)| !it.over && now >= it.facts.due);
        let due: Vec<Id> = due.map(|(id, _)| id.clone()).collect();
        let mut acts = Vec::new();
        for id in due {
            let refusable = self.requests.get(&id).is_some_and(Request::refusable);
            let answer = if refusable { Answer::Refused(0.0) } else { Answer::Failed };
            self.end(&id, Some(answer), &mut acts);
        }
        acts
    }

    /// When [`Guard::overdue`] has something to do next.
    pub fn next_due(&self) -> Option<Millis> {
        let due = self.requests.values().filter(|request| !request.over).map(|request| request.facts.due);
        due.min_by(f64::total_cmp)
    }

    // What comes from engines.

    /// An attempt has ended: served, or as [`Stand`] says. Each attempt ends once, also one that was called off.
    pub fn ended(&mut self, id: &Id, attempt: usize, served: bool, stand: Stand) -> Vec<Act<Id, T>> {
        let mut acts = Vec::new();
        let Some(request) = self.requests.get_mut(id) else { return acts };
        let Some(ended) = request.attempts.get_mut(attempt).filter(|it| it.stand == Stand::Out) else {
            return acts;
        };
        // An attempt cannot end in being out; of what is said wrongly the worse is believed.
        ended.stand = if served || stand == Stand::Out { Stand::MayHaveRun } else { stand };
        let stand = ended.stand;
        if served {
            self.end(id, Some(Answer::Served), &mut acts);
        }
        let Some(request) = self.requests.get(id) else { return acts };
        let over = request.over;
        if request.registered == self.epoch && self.owner.is_some() {
            let (epoch, id) = (self.epoch, id.clone());
            acts.push(Act::Tell { epoch, what: Tell::Ended { id, attempt, stand, over } });
        }
        if over {
            self.requests.remove(id);
        }
        acts
    }

    // What comes from planners.

    /// An order for a request, given under an epoch. What is void is told to the planner that is followed, if it is its
    /// own doing.
    pub fn ordered(&mut self, now: Millis, epoch: u64, id: &Id, order: Order) -> Vec<Act<Id, T>> {
        let mut acts = Vec::new();
        if let Err(why) = self.carry_out(now, epoch, id, order, &mut acts) {
            // Nobody listens to the fenced, and the silent must be followed anew before they count.
            if !matches!(why, Veto::Fenced | Veto::Silent) {
                let what = Tell::Vetoed { id: id.clone(), order, why };
                acts.push(Act::Tell { epoch: self.epoch, what });
            }
        }
        acts
    }

    fn carry_out(
        &mut self,
        now: Millis,
        epoch: u64,
        id: &Id,
        order: Order,
        acts: &mut Vec<Act<Id, T>>,
    ) -> Result<(), Veto> {
        if self.owner.is_none() || epoch != self.epoch {
            return Err(Veto::Fenced);
        }
        if self.silent(now) {
            return Err(Veto::Silent);
        }
        let request = self.requests.get(id).filter(|it| !it.over && it.registered == epoch);
        let request = request.ok_or(Veto::Unknown)?;
        match order {
            Order::Send { attempt, engine, priority } => {
                self.may_send(now, request, attempt, engine)?;
                self.start(now, id, engine, priority);
                acts.push(Act::Start { id: id.clone(), attempt, engine, priority });
            }
            Order::Cancel { attempt } => {
                if request.out() != Some(attempt) {
                    return Err(Veto::OutOfTurn);
                }
                acts.push(Act::CallOff { id: id.clone(), attempt });
            }
            Order::Weigh { priority } => {
                let attempt = request.out().ok_or(Veto::OutOfTurn)?;
                if let Some(request) = self.requests.get_mut(id) {
                    request.attempts[attempt].priority = priority;
                }
                acts.push(Act::Weigh { id: id.clone(), attempt, priority });
            }
            Order::Refuse { retry_after } => {
                // A planner that does not know of an attempt would invite the client to have it run twice.
                if !request.refusable() {
                    return Err(Veto::NotRepeatable);
                }
                self.end(id, Some(Answer::Refused(retry_after)), acts);
            }
            Order::Fail => self.end(id, Some(Answer::Failed), acts),
        }
        Ok(())
    }

    /// Whether this attempt may be started now.
    fn may_send(
        &self,
        now: Millis,
        request: &Request<T>,
        attempt: usize,
        engine: EngineId,
    ) -> Result<(), Veto> {
        // An order that comes twice names an attempt that was made already.
        if attempt != request.attempts.len() {
            return Err(Veto::OutOfTurn);
        }
        if request.out().is_some() {
            return Err(Veto::AttemptOut);
        }
        if now >= request.facts.due {
            return Err(Veto::TooLate);
        }
        if attempt >= request.facts.most {
            return Err(Veto::TooMany);
        }
        let there = self.engines.get(&engine).filter(|engine| engine.up).ok_or(Veto::EngineNotUp)?;
        if request.may_have_run() && !self.repeatable(now, request, *there) {
            return Err(Veto::NotRepeatable);
        }
        if attempt > 0 && !self.ration_left(now) {
            return Err(Veto::Rationed);
        }
        Ok(())
    }

    /// Whether a request that may have run may run again, there and now.
    fn repeatable(&self, now: Millis, request: &Request<T>, there: Engine) -> bool {
        match request.facts.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed(group, window) => {
                let mut ran = request.attempts.iter().filter(|attempt| attempt.stand != Stand::NeverRan);
                ran.all(|attempt| {
                    let same = match (group, self.engines.get(&attempt.engine)) {
                        (Group::All, _) => true,
                        // Of an engine that has gone nobody knows any more where it stood.
                        (Group::Zone | Group::Cell, None) => false,
                        (Group::Zone, Some(engine)) => engine.zone == there.zone,
                        (Group::Cell, Some(engine)) => engine.cell == there.cell,
                    };
                    same && now - attempt.at < window
                })
            }
        }
    }

    fn ration_left(&self, now: Millis) -> bool {
        let Some(ration) = self.ration else { return true };
        let within = |times: &VecDeque<Millis>| times.iter().filter(|at| now - **at <= ration.span).count();
        (within(&self.further) + 1) as f64 <= ration.free + ration.ratio * within(&self.taken) as f64
    }

    /// Forgets what lies before the ration's span.
    fn forget(&mut self, now: Millis) {
        let span = self.ration.map_or(0.0, |ration| ration.span);
        for times in [&mut self.taken, &mut self.further] {
            while times.front().is_some_and(|at| now - at > span) {
                times.pop_front();
            }
        }
    }

    fn start(&mut self, now: Millis, id: &Id, engine: EngineId, priority: u8) {
        self.forget(now);
        let Some(request) = self.requests.get_mut(id) else { return };
        if !request.attempts.is_empty() {
            self.further.push_back(now);
        }
        request.attempts.push(Attempt { engine, at: now, stand: Stand::Out, priority });
    }

    /// Ends a request, once: answers it, if it is owed an answer, calls off what is out, and tells the planner.
    fn end(&mut self, id: &Id, answer: Option<Answer>, acts: &mut Vec<Act<Id, T>>) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.over) else { return };
        request.over = true;
        if let Some(answer) = answer {
            acts.push(Act::Answer { id: id.clone(), answer });
        }
        let registered = request.registered == self.epoch && self.owner.is_some();
        let out = request.out();
        if let Some(attempt) = out {
            acts.push(Act::CallOff { id: id.clone(), attempt });
        }
        if registered && answer != Some(Answer::Served) {
            acts.push(Act::Tell { epoch: self.epoch, what: Tell::Over { id: id.clone() } });
        }
        // One whose attempt is out is kept until that has ended; one that was served is let go by `ended`.
        if out.is_none() && answer != Some(Answer::Served) {
            self.requests.remove(id);
        }
    }
}
