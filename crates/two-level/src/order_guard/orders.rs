//! Checking and carrying out the orders of planners.

use gaugestep_clock::Timestamp;

use super::OrderGuard;
use super::message::{Action, Answer, Order, OrderRejected, PlannerEvent};
use super::request::{Attempt, AttemptState, Effect, Engine, EngineId, Request};

impl<Id: Ord + Clone, T: Clone> OrderGuard<Id, T> {
    /// Carries out an order for a request, given under an epoch. The planner that is followed is notified if its order is
    /// void.
    pub fn on_order(&mut self, now: Timestamp, epoch: u64, id: &Id, order: Order) -> Vec<Action<Id, T>> {
        let mut actions = Vec::new();
        if let Err(reason) = self.carry_out(now, epoch, id, order, &mut actions) {
            // A fenced planner is not listened to, and one without a lease must be followed again first.
            if !matches!(reason, OrderRejected::Fenced | OrderRejected::LeaseExpired) {
                let event = PlannerEvent::OrderRejected { id: id.clone(), order, reason };
                actions.push(Action::Notify { epoch: self.epoch, event });
            }
        }
        actions
    }

    fn carry_out(
        &mut self,
        now: Timestamp,
        epoch: u64,
        id: &Id,
        order: Order,
        actions: &mut Vec<Action<Id, T>>,
    ) -> Result<(), OrderRejected> {
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
                    return Err(OrderRejected::OutOfTurn);
                }
                actions.push(Action::CancelAttempt { id, attempt });
            }
            Order::SetPriority { priority } => {
                let attempt = request.in_flight().ok_or(OrderRejected::OutOfTurn)?;
                if let Some(request) = self.requests.get_mut(&id) {
                    request.attempts[attempt].priority = priority;
                }
                actions.push(Action::SetPriority { id, attempt, priority });
            }
            Order::Reject { retry_after } => {
                // A planner that does not know of an attempt would invite the client to have the request run twice.
                if !request.is_rejectable() {
                    return Err(OrderRejected::NotRepeatable);
                }
                self.finish(&id, Some(Answer::Rejected { retry_after }), actions);
            }
            Order::Fail => self.finish(&id, Some(Answer::Failed), actions),
        }
        Ok(())
    }

    /// The open request that an order under this epoch may address.
    fn addressed_request(&self, now: Timestamp, epoch: u64, id: &Id) -> Result<&Request<T>, OrderRejected> {
        if self.epoch() != Some(epoch) {
            return Err(OrderRejected::Fenced);
        }
        if self.is_lease_expired(now) {
            return Err(OrderRejected::LeaseExpired);
        }
        let request = self.requests.get(id);
        let open = request.filter(|request| !request.finished && request.registered_epoch == epoch);
        open.ok_or(OrderRejected::UnknownRequest)
    }

    /// Checks whether an attempt may be started now.
    fn check_start(
        &self,
        now: Timestamp,
        request: &Request<T>,
        attempt: usize,
        engine: EngineId,
    ) -> Result<(), OrderRejected> {
        // A duplicated order names an attempt that was started already.
        if attempt != request.attempts.len() {
            return Err(OrderRejected::OutOfTurn);
        }
        if request.in_flight().is_some() {
            return Err(OrderRejected::AttemptInFlight);
        }
        if now >= request.info.deadline {
            return Err(OrderRejected::DeadlineExceeded);
        }
        if attempt >= request.info.max_attempts {
            return Err(OrderRejected::AttemptsExhausted);
        }
        let engine = self.engines.get(&engine).filter(|engine| engine.up);
        let engine = engine.ok_or(OrderRejected::EngineNotUp)?;
        if request.may_have_run() && !self.is_repeatable(now, request, engine) {
            return Err(OrderRejected::NotRepeatable);
        }
        if attempt > 0 && !self.retry_budget.is_available(now) {
            return Err(OrderRejected::RetryBudgetExhausted);
        }
        Ok(())
    }

    /// Whether a request that may have run may run again now on this engine.
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

    fn start_attempt(&mut self, now: Timestamp, id: &Id, engine: EngineId, priority: u8) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if !request.attempts.is_empty() {
            self.retry_budget.record_retry(now);
        }
        request.attempts.push(Attempt { engine, started_at: now, state: AttemptState::InFlight, priority });
    }
}
