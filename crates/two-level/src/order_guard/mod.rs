//! The guard in a forwarder that decides which orders of planners count.
//!
//! Planners may die, be suspended and resume, be unreachable, or both believe that a forwarder is theirs; their orders may
//! arrive late, twice or out of turn. Only the forwarder starts attempts and answers clients, so this guard is the one place
//! that enforces, whatever a planner orders:
//!
//! - one final answer to each request, at its deadline at the latest;
//! - at most one attempt of a request in flight;
//! - nothing that may have run is sent again unless its effect allows it;
//! - nothing new is sent to an engine that drains or has gone;
//! - the retry budget;
//! - only the planner that the forwarder followed last is obeyed, and only while its lease lasts.
//!
//! The guard also holds all that another planner needs to take over: every open request with the history of its attempts.

mod message;
mod orders;
mod request;
mod retry_budget;

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::PlannerId;

pub use message::{Action, Answer, Order, OrderRejected, PlannerEvent};
pub use request::{
    Attempt, AttemptEnd, AttemptState, DeduplicationScope, Effect, Engine, EngineId, RequestInfo,
};
pub use retry_budget::RetryBudgetSettings;

use request::Request;
use retry_budget::RetryBudget;

/// The planner that is followed.
#[derive(Clone, Debug)]
struct Followed {
    planner: PlannerId,
    lease_until: Timestamp,
}

/// The guard of one forwarder. `Id` identifies a request, `T` is what planners need to know of one.
///
/// Each event returns the actions that the forwarder must carry out, in order.
#[derive(Clone, Debug)]
pub struct OrderGuard<Id, T> {
    engines: BTreeMap<EngineId, Engine>,
    followed: Option<Followed>,
    /// Increases whenever another planner is followed, or the same one again.
    epoch: u64,
    requests: BTreeMap<Id, Request<T>>,
    retry_budget: RetryBudget,
}

impl<Id: Ord + Clone, T: Clone> OrderGuard<Id, T> {
    /// A guard that follows no planner. Without a retry budget any number of retries is allowed.
    pub fn new(retry_budget: Option<RetryBudgetSettings>) -> Self {
        OrderGuard {
            engines: BTreeMap::new(),
            followed: None,
            epoch: 0,
            requests: BTreeMap::new(),
            retry_budget: RetryBudget::new(retry_budget),
        }
    }

    /// The planner that is followed.
    pub fn planner(&self) -> Option<&PlannerId> {
        self.followed.as_ref().map(|followed| &followed.planner)
    }

    /// The epoch under which a planner is followed; `None` if none is.
    pub fn epoch(&self) -> Option<u64> {
        self.followed.as_ref().map(|_| self.epoch)
    }

    /// How many requests are open.
    pub fn open_count(&self) -> usize {
        self.open_requests().count()
    }

    /// The ids of open requests.
    pub fn open_requests(&self) -> impl Iterator<Item = &Id> {
        self.requests.iter().filter(|(_, request)| !request.finished).map(|(id, _)| id)
    }

    /// Follows a planner from now on, and returns the new epoch. The planner's lease lasts for `duration` from
    /// `requested_at`. Orders of others are void, also those of the same planner under an earlier epoch.
    pub fn follow(&mut self, planner: PlannerId, requested_at: Timestamp, duration: Duration) -> u64 {
        self.epoch += 1;
        self.followed = Some(Followed { planner, lease_until: requested_at + duration });
        self.epoch
    }

    /// The planner has renewed its lease for `duration` from `requested_at`. Returns false if this is not the current epoch.
    pub fn renew(&mut self, epoch: u64, requested_at: Timestamp, duration: Duration) -> bool {
        let Some(followed) = self.followed.as_mut().filter(|_| epoch == self.epoch) else { return false };
        followed.lease_until = followed.lease_until.max(requested_at + duration);
        true
    }

    /// Follows no planner: all orders are void until [`OrderGuard::follow`]. Attempts in flight continue.
    pub fn abandon(&mut self) {
        self.followed = None;
    }

    /// Whether the lease of the planner that is followed has expired.
    pub fn is_lease_expired(&self, now: Timestamp) -> bool {
        self.followed.as_ref().is_some_and(|followed| now >= followed.lease_until)
    }

    /// Registers open requests with the planner that is followed, the earliest deadline first, at most `limit` of them: a
    /// planner that takes over many forwarders must not be flooded.
    pub fn register(&mut self, now: Timestamp, limit: usize) -> Vec<Action<Id, T>> {
        let epoch = self.epoch;
        if self.followed.is_none() || self.is_lease_expired(now) {
            return Vec::new();
        }
        let mut unregistered: Vec<(&Id, &mut Request<T>)> = self
            .requests
            .iter_mut()
            .filter(|(_, request)| !request.finished && request.registered_epoch != epoch)
            .collect();
        unregistered.sort_by_key(|(_, request)| request.info.deadline);
        let register = |(id, request): (&Id, &mut Request<T>)| {
            request.registered_epoch = epoch;
            let (id, info, attempts) = (id.clone(), request.info.clone(), request.attempts.clone());
            Action::Notify { epoch, event: PlannerEvent::Registered { id, info, attempts } }
        };
        unregistered.into_iter().take(limit).map(register).collect()
    }

    /// Replaces the list of engines.
    pub fn replace_engines(&mut self, engines: impl IntoIterator<Item = (EngineId, Engine)>) {
        self.engines = engines.into_iter().collect();
    }

    /// An engine has changed, or has gone if `None`.
    pub fn update_engine(&mut self, id: EngineId, engine: Option<Engine>) {
        match engine {
            Some(engine) => self.engines.insert(id, engine),
            None => self.engines.remove(&id),
        };
    }

    /// A request has arrived. Returns false if its id is open already. The next [`OrderGuard::register`] registers it.
    pub fn on_request(&mut self, now: Timestamp, id: Id, info: RequestInfo<T>) -> bool {
        if self.requests.contains_key(&id) {
            return false;
        }
        self.retry_budget.record_request(now);
        let request = Request { info, attempts: Vec::new(), finished: false, registered_epoch: 0 };
        self.requests.insert(id, request);
        true
    }

    /// The client has disconnected: it needs no answer any more.
    pub fn on_disconnect(&mut self, id: &Id) -> Vec<Action<Id, T>> {
        let mut actions = Vec::new();
        self.finish(id, None, &mut actions);
        actions
    }

    /// Answers the requests whose deadline has passed. This needs no planner.
    pub fn answer_overdue(&mut self, now: Timestamp) -> Vec<Action<Id, T>> {
        let overdue = |request: &Request<T>| !request.finished && now >= request.info.deadline;
        let answer = |request: &Request<T>| match request.is_rejectable() {
            true => Answer::Rejected { retry_after: Duration::ZERO },
            false => Answer::Failed,
        };
        let answers: Vec<(Id, Answer)> = self
            .requests
            .iter()
            .filter(|(_, request)| overdue(request))
            .map(|(id, request)| (id.clone(), answer(request)))
            .collect();
        let mut actions = Vec::new();
        for (id, answer) in answers {
            self.finish(&id, Some(answer), &mut actions);
        }
        actions
    }

    /// The next deadline, when [`OrderGuard::answer_overdue`] must be called.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let open = self.requests.values().filter(|request| !request.finished);
        open.map(|request| request.info.deadline).min()
    }

    /// An attempt has ended. Every attempt ends once, also one that was cancelled; a second end is ignored.
    pub fn on_attempt_end(&mut self, id: &Id, attempt: usize, end: AttemptEnd) -> Vec<Action<Id, T>> {
        let mut actions = Vec::new();
        let Some(request) = self.requests.get_mut(id) else { return actions };
        let in_flight = request.attempts.get_mut(attempt);
        let Some(ended) = in_flight.filter(|it| it.state == AttemptState::InFlight) else { return actions };
        let state = match end {
            AttemptEnd::NeverRan => AttemptState::NeverRan,
            AttemptEnd::Served | AttemptEnd::MayHaveRun => AttemptState::MayHaveRun,
        };
        ended.state = state;
        if end == AttemptEnd::Served {
            self.finish(id, Some(Answer::Served), &mut actions);
        }
        let Some(request) = self.requests.get(id) else { return actions };
        let finished = request.finished;
        if self.is_registered(request) {
            let event = PlannerEvent::AttemptEnded { id: id.clone(), attempt, state, finished };
            actions.push(Action::Notify { epoch: self.epoch, event });
        }
        if finished {
            self.requests.remove(id);
        }
        actions
    }

    /// Whether the planner that is followed knows of a request.
    fn is_registered(&self, request: &Request<T>) -> bool {
        self.followed.is_some() && request.registered_epoch == self.epoch
    }

    /// Finishes a request, once: answers it, cancels the attempt in flight, and notifies the planner.
    fn finish(&mut self, id: &Id, answer: Option<Answer>, actions: &mut Vec<Action<Id, T>>) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.finished) else { return };
        request.finished = true;
        if let Some(answer) = answer {
            actions.push(Action::Answer { id: id.clone(), answer });
        }
        let in_flight = request.in_flight();
        if let Some(attempt) = in_flight {
            actions.push(Action::CancelAttempt { id: id.clone(), attempt });
        }
        // `on_attempt_end` notifies of a request that was served, and removes it.
        if answer == Some(Answer::Served) {
            return;
        }
        if self.requests.get(id).is_some_and(|request| self.is_registered(request)) {
            let event = PlannerEvent::Finished { id: id.clone() };
            actions.push(Action::Notify { epoch: self.epoch, event });
        }
        // With an attempt in flight it is kept until that has ended.
        if in_flight.is_none() {
            self.requests.remove(id);
        }
    }
}
