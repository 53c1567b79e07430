//! The guard of a forwarder, which decides which orders of planners are executed.
//!
//! Planners may die, be suspended and resume, be unreachable, or plan for the same forwarder at the same
//! time; their orders may arrive late, twice or out of order. Only the forwarder starts attempts and responds
//! to clients, so this guard is the one place that enforces these rules, whatever a planner orders:
//!
//! - Each request gets one final response, at its deadline at the latest.
//! - At most one attempt of a request is in flight.
//! - A request that may have run is sent again only if its effect allows it.
//! - No new attempt is sent to an engine that drains or is gone.
//! - Retries stay within the retry budget.
//! - Only orders of the planner that the forwarder followed last are executed, until its lease expires.
//!
//! The guard also stores the state that another planner needs to take over: every open request with the
//! history of its attempts.

mod message;
mod orders;
mod request;
mod retry_budget;

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::PlannerId;

pub use message::{Action, Order, OrderRejectReason, PlannerEvent, Response};
pub use request::{
    Attempt, AttemptEnd, AttemptState, DeduplicationScope, Effect, Engine, EngineId, RequestInfo,
};
pub use retry_budget::RetryBudgetSettings;

use request::Request;
use retry_budget::RetryBudget;

/// The planner that the forwarder follows.
#[derive(Clone, Debug)]
struct Followed {
    planner: PlannerId,
    lease_until: Timestamp,
}

/// The guard of one forwarder. `Id` identifies a request, and `T` holds the details of a request that
/// planners need.
///
/// Methods that handle an event return the actions that the forwarder must execute, in this order.
#[derive(Clone, Debug)]
pub struct OrderGuard<Id, T> {
    engines: BTreeMap<EngineId, Engine>,
    followed: Option<Followed>,
    /// Incremented whenever the forwarder begins to follow a planner, also the same one again.
    epoch: u64,
    requests: BTreeMap<Id, Request<T>>,
    retry_budget: RetryBudget,
}

impl<Id: Ord + Clone, T: Clone> OrderGuard<Id, T> {
    /// Creates a guard that follows no planner. Without a retry budget any number of retries is allowed.
    pub fn new(retry_budget: Option<RetryBudgetSettings>) -> Self {
        OrderGuard {
            engines: BTreeMap::new(),
            followed: None,
            epoch: 0,
            requests: BTreeMap::new(),
            retry_budget: RetryBudget::new(retry_budget),
        }
    }

    /// Returns the planner that the forwarder follows.
    pub fn planner(&self) -> Option<&PlannerId> {
        self.followed.as_ref().map(|followed| &followed.planner)
    }

    /// Returns the epoch under which the forwarder follows a planner; `None` if it follows none.
    pub fn epoch(&self) -> Option<u64> {
        self.followed.as_ref().map(|_| self.epoch)
    }

    /// Returns the number of open requests.
    pub fn open_count(&self) -> usize {
        self.open_requests().count()
    }

    /// Returns the ids of all open requests.
    pub fn open_requests(&self) -> impl Iterator<Item = &Id> {
        self.requests.iter().filter(|(_, request)| !request.finished).map(|(id, _)| id)
    }

    /// Follows a planner from now on, and returns the new epoch. The planner's lease lasts for `duration`
    /// from `requested_at`. Orders of other planners, and of the same planner under an earlier epoch, are
    /// rejected.
    pub fn follow(&mut self, planner: PlannerId, requested_at: Timestamp, duration: Duration) -> u64 {
        self.epoch += 1;
        self.followed = Some(Followed { planner, lease_until: requested_at + duration });
        self.epoch
    }

    /// Extends the planner's lease to `duration` from `requested_at`. Returns false if no planner is followed
    /// under this epoch.
    pub fn renew(&mut self, epoch: u64, requested_at: Timestamp, duration: Duration) -> bool {
        let Some(followed) = self.followed.as_mut().filter(|_| epoch == self.epoch) else { return false };
        followed.lease_until = followed.lease_until.max(requested_at + duration);
        true
    }

    /// Stops following a planner: all orders are rejected until the next [`OrderGuard::follow`]. Attempts in
    /// flight continue.
    pub fn abandon(&mut self) {
        self.followed = None;
    }

    /// Whether the forwarder follows a planner whose lease has expired.
    pub fn is_lease_expired(&self, now: Timestamp) -> bool {
        self.followed.as_ref().is_some_and(|followed| now >= followed.lease_until)
    }

    /// Registers open requests with the planner that the forwarder follows, those with the earliest deadline
    /// first. At most `limit` requests are registered at once, so that a planner that takes over many
    /// forwarders is not overloaded.
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

    /// Updates an engine of the list, or removes it if `None`.
    pub fn update_engine(&mut self, id: EngineId, engine: Option<Engine>) {
        match engine {
            Some(engine) => self.engines.insert(id, engine),
            None => self.engines.remove(&id),
        };
    }

    /// Adds a request that has arrived. Returns false if a request with this id is open. The next
    /// [`OrderGuard::register`] registers the request with the planner.
    pub fn on_request(&mut self, now: Timestamp, id: Id, info: RequestInfo<T>) -> bool {
        if self.requests.contains_key(&id) {
            return false;
        }
        self.retry_budget.record_request(now);
        let request = Request { info, attempts: Vec::new(), finished: false, registered_epoch: 0 };
        self.requests.insert(id, request);
        true
    }

    /// Finishes a request whose client has disconnected and needs no response any more.
    pub fn on_disconnect(&mut self, id: &Id) -> Vec<Action<Id, T>> {
        let mut actions = Vec::new();
        self.finish(id, None, &mut actions);
        actions
    }

    /// Responds to the requests whose deadline has passed. This needs no planner.
    pub fn respond_to_overdue(&mut self, now: Timestamp) -> Vec<Action<Id, T>> {
        let is_overdue = |request: &Request<T>| !request.finished && now >= request.info.deadline;
        let response = |request: &Request<T>| match request.is_rejectable() {
            true => Response::Rejected { retry_after: Duration::ZERO },
            false => Response::Failed,
        };
        let responses: Vec<(Id, Response)> = self
            .requests
            .iter()
            .filter(|(_, request)| is_overdue(request))
            .map(|(id, request)| (id.clone(), response(request)))
            .collect();
        let mut actions = Vec::new();
        for (id, response) in responses {
            self.finish(&id, Some(response), &mut actions);
        }
        actions
    }

    /// Returns the earliest deadline of an open request, at which [`OrderGuard::respond_to_overdue`] must be
    /// called.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let open = self.requests.values().filter(|request| !request.finished);
        open.map(|request| request.info.deadline).min()
    }

    /// Handles the end of an attempt. Every attempt, also a cancelled one, ends once; a second end is
    /// ignored.
    pub fn on_attempt_end(&mut self, id: &Id, attempt: usize, end: AttemptEnd) -> Vec<Action<Id, T>> {
        let mut actions = Vec::new();
        let Some(request) = self.requests.get_mut(id) else { return actions };
        let in_flight =
            request.attempts.get_mut(attempt).filter(|attempt| attempt.state == AttemptState::InFlight);
        let Some(ended) = in_flight else { return actions };
        let state = match end {
            AttemptEnd::NeverRan => AttemptState::NeverRan,
            AttemptEnd::Served | AttemptEnd::MayHaveRun => AttemptState::MayHaveRun,
        };
        ended.state = state;
        if end == AttemptEnd::Served {
            self.finish(id, Some(Response::Served), &mut actions);
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

    /// Whether a request is registered with the planner that the forwarder follows.
    fn is_registered(&self, request: &Request<T>) -> bool {
        self.followed.is_some() && request.registered_epoch == self.epoch
    }

    /// Finishes a request once: sends the response if there is one, cancels the attempt in flight, and
    /// notifies the planner.
    fn finish(&mut self, id: &Id, response: Option<Response>, actions: &mut Vec<Action<Id, T>>) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.finished) else { return };
        request.finished = true;
        if let Some(response) = response {
            actions.push(Action::Respond { id: id.clone(), response });
        }
        let in_flight = request.in_flight();
        if let Some(attempt) = in_flight {
            actions.push(Action::CancelAttempt { id: id.clone(), attempt });
        }
        // `on_attempt_end` notifies the planner of a request that was served, and removes the request.
        if response == Some(Response::Served) {
            return;
        }
        if self.requests.get(id).is_some_and(|request| self.is_registered(request)) {
            let event = PlannerEvent::Finished { id: id.clone() };
            actions.push(Action::Notify { epoch: self.epoch, event });
        }
        // A request with an attempt in flight is stored until the attempt has ended.
        if in_flight.is_none() {
            self.requests.remove(id);
        }
    }
}
