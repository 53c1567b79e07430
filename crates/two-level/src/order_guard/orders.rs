//! Checks and executes the orders of planners.

use gaugestep_clock::Timestamp;

use super::OrderGuard;
use super::message::{Action, Order, OrderRejectReason, PlannerEvent, Response};
use super::request::{Attempt, AttemptState, Effect, Engine, EngineId, Request};

impl<Id: Ord + Clone, T: Clone> OrderGuard<Id, T> {
    /// Executes an order for a request under an epoch. If the order is rejected, the planner that the
    /// forwarder follows is notified.
    pub fn on_order(&mut self, now: Timestamp, epoch: u64, id: &Id, order: Order) -> Vec<Action<Id, T>> {
        let mut actions = Vec::new();
        if let Err(reason) = self.execute(now, epoch, id, order, &mut actions) {
            // A fenced planner is not notified; one without a lease must first be followed again.
            let is_notified = !matches!(reason, OrderRejectReason::Fenced | OrderRejectReason::LeaseExpired);
            if is_notified {
                let event = PlannerEvent::OrderRejected { id: id.clone(), order, reason };
                actions.push(Action::Notify { epoch: self.epoch, event });
            }
        }
        actions
    }

    /// Checks an order and appends the actions that execute it.
    fn execute(
        &mut self,
        now: Timestamp,
        epoch: u64,
        id: &Id,
        order: Order,
        actions: &mut Vec<Action<Id, T>>,
    ) -> Result<(), OrderRejectReason> {
        let request = self.addressed_request(now, epoch, id)?;
        let id = id.clone();
        match order {
            Order::StartAttempt { attempt, engine, priority } => {
                self.check_start(now, request, attempt, engine)?;
                self.start_attempt(now, &id, engine, priority);
                actions.push(Action::StartAttempt { id, attempt, engine, priority });
            }
            Order::CancelAttempt { attempt } => {
                if request.in_flight() != Some(attempt) {
                    return Err(OrderRejectReason::UnexpectedAttempt);
                }
                actions.push(Action::CancelAttempt { id, attempt });
            }
            Order::SetPriority { priority } => {
                let attempt = request.in_flight().ok_or(OrderRejectReason::UnexpectedAttempt)?;
                if let Some(request) = self.requests.get_mut(&id) {
                    request.attempts[attempt].priority = priority;
                }
                actions.push(Action::SetPriority { id, attempt, priority });
            }
            Order::Reject { retry_after } => {
                // A planner may not know of an attempt yet. Its rejection would let the client retry a
                // request that may have run.
                if !request.is_rejectable() {
                    return Err(OrderRejectReason::NotRepeatable);
                }
                self.finish(&id, Some(Response::Rejected { retry_after }), actions);
            }
            Order::Fail => self.finish(&id, Some(Response::Failed), actions),
        }
        Ok(())
    }

    /// Returns the open request `id` if an order under this epoch may address it.
    fn addressed_request(
        &self,
        now: Timestamp,
        epoch: u64,
        id: &Id,
    ) -> Result<&Request<T>, OrderRejectReason> {
        if self.epoch() != Some(epoch) {
            return Err(OrderRejectReason::Fenced);
        }
        if self.is_lease_expired(now) {
            return Err(OrderRejectReason::LeaseExpired);
        }
        let request = self.requests.get(id);
        let addressable = request.filter(|request| !request.finished && request.registered_epoch == epoch);
        addressable.ok_or(OrderRejectReason::UnknownRequest)
    }

    /// Checks whether an attempt may be started now on an engine.
    fn check_start(
        &self,
        now: Timestamp,
        request: &Request<T>,
        attempt: usize,
        engine: EngineId,
    ) -> Result<(), OrderRejectReason> {
        // The number must be the next one: a duplicated order names an attempt that was already started.
        if attempt != request.attempts.len() {
            return Err(OrderRejectReason::UnexpectedAttempt);
        }
        if request.in_flight().is_some() {
            return Err(OrderRejectReason::AttemptInFlight);
        }
        if now >= request.info.deadline {
            return Err(OrderRejectReason::DeadlineExceeded);
        }
        if attempt >= request.info.max_attempts {
            return Err(OrderRejectReason::AttemptsExhausted);
        }
        let engine = self.engines.get(&engine).filter(|engine| engine.up);
        let engine = engine.ok_or(OrderRejectReason::EngineNotUp)?;
        if request.may_have_run() && !self.is_repeatable(now, request, engine) {
            return Err(OrderRejectReason::NotRepeatable);
        }
        if attempt > 0 && !self.retry_budget.is_available(now) {
            return Err(OrderRejectReason::RetryBudgetExhausted);
        }
        Ok(())
    }

    /// Whether a request that may have run may now run again on this engine.
    fn is_repeatable(&self, now: Timestamp, request: &Request<T>, engine: &Engine) -> bool {
        match request.info.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Deduplicated { scope, window } => request.possible_runs().all(|attempt| {
                let in_scope = scope.covers(self.engines.get(&attempt.engine), engine);
                in_scope && now.duration_since(attempt.started_at) < window
            }),
        }
    }

    /// Records the start of an attempt; any attempt after the first one counts as a retry.
    fn start_attempt(&mut self, now: Timestamp, id: &Id, engine: EngineId, priority: u8) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if !request.attempts.is_empty() {
            self.retry_budget.record_retry(now);
        }
        request.attempts.push(Attempt { engine, started_at: now, state: AttemptState::InFlight, priority });
    }
}
