//! The lifecycle of a request, in the order of its methods.
//!
//! `on_request` admits a request. `place_waiting` ranks the waiting requests and sends each to an engine with
//! capacity. `on_timer` cancels a first run that passes the timeout of its class; the request then waits for
//! its one relaunch on another engine, which is not cancelled at the timeout. `on_attempt_ended` learns from
//! each outcome, and retries or responds. Requests that cannot be served in time are rejected. Every request
//! gets one final response.

use std::collections::BTreeMap;

use super::fleet::MAX_DISPATCHERS_COMPARING_ALL;
use super::timeout::EXEMPT_FRACTION;
use super::{
    ENGINE_HORIZON, HIGHEST_PRIORITY, TIMER_SLACK, is_hopeless, is_timeout_due, lock_holders,
    may_repeat_until, rank,
};
use crate::dispatcher::Dispatcher;
use crate::engines::Engine;
use crate::interface::{
    Action, AttemptEnd, AttemptNo, ClassId, DedupGroup, EngineId, Idempotency, LoadReport, Millis,
    NewRequest, Outcome, RejectReason, RequestId, TimerId,
};
use crate::requests::{Attempt, DueAction, OngoingRun, Request, WaitingRequest};

/// Milliseconds between attempts to place waiting requests while no event causes one: engines become free
/// without an event at this dispatcher.
const PLACEMENT_INTERVAL: Millis = 25.0;
/// Milliseconds between reviews, which choose the timeouts again and log how many requests were not served.
const REVIEW_INTERVAL: Millis = 1_000.0;
/// Up to this many open requests, the waiting ones are placed after each event; with more, that is deferred.
const MAX_OPEN_FOR_IMMEDIATE_PLACEMENT: usize = 300;
/// Fraction of `max_open` from which only requests of the highest priority are sent, so that slow ones cannot
/// use up the limit.
const URGENT_ONLY_FRACTION: f64 = 0.85;
/// Milliseconds by which a timer may fire early.
const TIMER_TOLERANCE: Millis = 1e-3;
/// Milliseconds from the timeout of a run until the timer that cancels the run is due.
const TIMEOUT_TIMER_DELAY: Millis = 0.5;
/// Least delay of a timer in milliseconds.
const MIN_TIMER_DELAY: Millis = 1.0;

impl Dispatcher {
    /// Places the waiting requests after an event, or defers that to `run_pending` while many requests are
    /// open.
    pub(crate) fn place_or_defer(&mut self, out: &mut Vec<Action>) {
        self.placement_pending = self.requests.len() > MAX_OPEN_FOR_IMMEDIATE_PLACEMENT;
        if !self.placement_pending {
            self.place_and_set_timer(out);
        }
    }

    /// Places the waiting requests, and asks for a timer if one is due before the earliest that was set.
    pub(crate) fn place_and_set_timer(&mut self, out: &mut Vec<Action>) {
        self.place_waiting(out);
        let due_at = self.next_timer();
        if due_at < self.timer_due_at {
            self.timer_due_at = due_at;
            out.push(Action::SetTimer { timer: TimerId(0), delay: due_at - self.context.now });
        }
    }

    /// Admits a request, and counts it in the statistics of its tenant, its class and all requests. Ignores a
    /// request whose id is stored already or whose class is not in the settings.
    pub(crate) fn on_request(&mut self, new: NewRequest) {
        let context = &self.context;
        if self.requests.contains_key(&new.id) || new.class.0 >= context.settings.classes.len() {
            return;
        }
        self.retries.on_request(context);
        self.queues.push(context.settings.order_key(&new), &new.id);
        self.work.on_request(context, &new);
        let mut request = Request::new(new, context.now, context.settings.max_attempts.max(1));
        request.in_quota_fraction = self.quotas.on_request(context, request.new.tenant);
        request.exempt_from_timeout = self.random.rand_float() < EXEMPT_FRACTION;
        self.ranking.on_request(rank(context, &self.work, &self.queues, &request), context.now);
        self.requests.insert(request.new.id.clone(), request);
    }

    /// Records the outcome of an attempt and learns from it. Finishes a request that was served. Responds for
    /// a request without attempts in flight that may not be retried; any other unfinished one waits for its
    /// next attempt.
    pub(crate) fn on_attempt_ended(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        self.on_load_report(end.engine, end.load);
        let Some(request) = self.requests.get_mut(&end.id) else { return };
        let Some(attempt) = request.attempts.get_mut(end.attempt.0) else { return };
        if attempt.outcome.is_some() {
            return;
        }
        attempt.outcome = Some(end.outcome);
        let idempotency = self.context.settings.class(&request.new).idempotency;
        self.replays.on_attempt_ended(&end.id, idempotency, end.outcome);
        self.queues.on_attempt_ended(&self.context, &request.new, end.outcome);
        self.learn_from_outcome(end, out);
        let Some(request) = self.requests.get(&end.id) else { return };
        if end.finished || end.outcome == Outcome::Served {
            self.finish(&end.id, out);
        } else if request.finished {
            self.remove_if_ended(&end.id);
        } else if !request.is_in_flight() {
            let is_overdue = end.outcome == Outcome::TimedOut || self.context.now >= request.new.deadline;
            if is_overdue || !self.retries.allows_attempt(&self.context, request, false) {
                self.respond(&end.id, out);
            }
        }
    }

    /// Applies an engine's load report: the number of queries that run there and are not this dispatcher's
    /// own.
    pub(crate) fn on_load_report(&mut self, engine: EngineId, load: Option<LoadReport>) {
        let Some(load) = load else { return };
        let Some(in_flight) = load.in_flight else { return };
        let attempts = self.requests.values().flat_map(Request::in_flight);
        let own_queries = attempts.filter(|(_, attempt)| attempt.engine == engine).count();
        // Queries that wait for memory on the engine use neither its cores nor its memory yet.
        let running_queries = in_flight - load.queued.unwrap_or(0.0);
        let has_other_dispatchers = self.context.settings.dispatchers > 1;
        let queries_of_other_dispatchers =
            if has_other_dispatchers { running_queries - own_queries as f64 } else { 0.0 };
        if let Some(engine) = self.fleet.engines.get_mut(&engine) {
            self.fleet.loads.on_report(engine, queries_of_other_dispatchers, self.context.now);
        }
    }

    /// Acts on the requests for which something is due: cancels runs at the timeout, and responds for
    /// requests that cannot be served. Ignores a timer that fires before the earliest one that was set.
    pub(crate) fn on_timer(&mut self, out: &mut Vec<Action>) {
        if self.context.now + TIMER_TOLERANCE < self.timer_due_at {
            return;
        }
        self.timer_due_at = f64::INFINITY;
        if self.context.now - self.reviewed_at >= REVIEW_INTERVAL {
            self.review(out);
        }
        self.queues.discard_empty(self.context.now);
        let due_requests = self.requests.iter().filter(|(_, request)| self.due_action(request).is_some());
        let due_ids: Vec<RequestId> = due_requests.map(|(id, _)| id.clone()).collect();
        for id in &due_ids {
            self.act_on_due(id, out);
        }
    }

    /// Learns from an outcome: the run times of the class, its estimates, and the health and slowness of the
    /// engine.
    fn learn_from_outcome(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let context = &self.context;
        let Some(request) = self.requests.get(&end.id) else { return };
        let slowness = self.fleet.slowness(request.attempts[end.attempt.0].engine, context.now);
        let run_ratio = end.elapsed / (self.work.nominal_run_time(context, &request.new) * slowness);
        let served = end.outcome == Outcome::Served;
        if !end.outcome.never_ran() {
            let is_relaunch = request.is_relaunch(end.attempt.0);
            self.fleet.loads.on_attempt_ended(self.work.demand(context, &request.new), end.elapsed);
            self.timeouts.on_run_ended(request.new.class, run_ratio, is_relaunch, served, context.now);
        }
        if !served {
            let ejection_line = self.fleet.on_failure(end, context.now);
            out.extend(ejection_line.map(Action::Log));
            return;
        }
        let failed = |attempt: &&Attempt| attempt.outcome == Some(Outcome::Failed);
        for attempt in request.attempts.iter().filter(failed) {
            let engine = self.fleet.engines.entry(attempt.engine);
            engine.and_modify(|engine| engine.health.on_served_elsewhere(context.now));
        }
        if let Some(engine) = self.fleet.engines.get_mut(&end.engine) {
            engine.health.on_served(context.now);
            if let Some(log_slowness) = self.work.on_served(context, &request.new, end) {
                engine.log_slowness.add(log_slowness, context.now, ENGINE_HORIZON);
            }
        }
    }

    /// Chooses the timeout of each class again, and logs the changes and the number of requests that were not
    /// served since the last such line.
    fn review(&mut self, out: &mut Vec<Action>) {
        self.reviewed_at = self.context.now;
        let requests = self.requests.values();
        let ongoing: Vec<OngoingRun> = requests.flat_map(|request| self.ongoing_runs(request)).collect();
        let cancellation_enabled = self.context.settings.cancellation;
        for class in (0..self.context.settings.classes.len()).map(ClassId) {
            let change_line = self.timeouts.choose_timeout(class, &ongoing, cancellation_enabled);
            out.extend(change_line.map(Action::Log));
        }
        if self.unserved_requests > 0 {
            let line = format!("not served: {}", std::mem::take(&mut self.unserved_requests));
            out.push(Action::Log(line));
        }
    }

    /// The first runs of a request that are in flight. A progress report predicts the end of a run, so that
    /// stragglers count as such long before they end.
    fn ongoing_runs<'a>(&'a self, request: &'a Request) -> impl Iterator<Item = OngoingRun> + 'a {
        let first_runs = request.running().filter(|(index, _)| !request.is_relaunch(*index));
        first_runs.map(|(_, attempt)| {
            let remaining = attempt.remaining_time().unwrap_or(0.0);
            let run_ratio = self.run_ratio(request, attempt, remaining);
            OngoingRun { class: request.new.class, run_ratio, end_is_predicted: remaining > 0.0 }
        })
    }

    /// The run time of an attempt up to `remaining` milliseconds from now, as a ratio to its estimate times
    /// the slowness of its engine.
    fn run_ratio(&self, request: &Request, attempt: &Attempt, remaining: Millis) -> f64 {
        let nominal = self.work.nominal_run_time(&self.context, &request.new);
        let slowness = self.fleet.slowness(attempt.engine, self.context.now);
        (self.context.now + remaining - attempt.sent_at) / (nominal * slowness)
    }

    /// What is to be done for a request now, if anything. The final response is due at its time limit, when a
    /// request without attempts in flight can no longer be served, or when a run whose effect is safe cannot
    /// end in time.
    fn due_action(&self, request: &Request) -> Option<DueAction> {
        if request.finished {
            return None;
        }
        let context = &self.context;
        let cannot_be_served = || {
            let repeat_until = may_repeat_until(context, request, request.attempts.len());
            context.now >= repeat_until || self.is_too_late(request)
        };
        // A run that by its progress report ends far beyond the deadline only slows down other queries.
        let remaining = request.in_flight().next().and_then(|(_, attempt)| attempt.remaining_time());
        let run_is_hopeless = remaining.is_some_and(|remaining| is_hopeless(context, request, remaining));
        let is_safe = context.settings.class(&request.new).idempotency == Idempotency::Safe;
        let must_respond = context.now >= self.respond_by(request)
            || (!request.is_in_flight() && cannot_be_served())
            || (run_is_hopeless && is_safe);
        if must_respond {
            return Some(DueAction::Respond);
        }
        self.attempt_to_cancel(request).map(DueAction::Cancel)
    }

    /// The first run of a request, if it is to be cancelled by [`is_timeout_due`] and a relaunch is possible:
    /// the relaunch can end before the deadline, another engine is eligible for it, and the retry rules allow
    /// it.
    fn attempt_to_cancel(&self, request: &Request) -> Option<AttemptNo> {
        let context = &self.context;
        let history = &self.timeouts.histories[request.new.class.0];
        let timeout_ratio = history.timeout_ratio?;
        let (index, attempt) = request.in_flight().next()?;
        if request.exempt_from_timeout || attempt.timeout_cancelled || request.is_relaunch(index) {
            return None;
        }
        let run_ratio = self.run_ratio(request, attempt, 0.0);
        let slowness = self.fleet.slowness(attempt.engine, context.now).max(1.0);
        let nominal = self.work.nominal_run_time(context, &request.new);
        let relaunch_time = history.expected_relaunch_ratio * nominal * slowness;
        // A class that is restricted to zones or deduplication groups may have no other engine.
        let is_other_engine = |engine: &&Engine| engine.entry.engine != attempt.engine;
        let is_eligible = |engine: &Engine| self.fleet.is_eligible(context, engine, request);
        let cancels = is_timeout_due(timeout_ratio, run_ratio, attempt.remaining_time(), relaunch_time)
            && request.new.deadline - context.now >= relaunch_time
            && self.fleet.engines.values().filter(is_other_engine).any(is_eligible)
            && self.retries.allows_attempt(context, request, true);
        cancels.then_some(AttemptNo(index))
    }

    /// Does what is due for a request: sends its final response, or cancels its first run at the timeout.
    pub(crate) fn act_on_due(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        match self.requests.get(id).and_then(|request| self.due_action(request)) {
            Some(DueAction::Respond) => self.respond(id, out),
            Some(DueAction::Cancel(attempt)) => {
                out.push(Action::Cancel { id: id.clone(), attempt });
                let request = self.requests.entry(id.clone());
                request.and_modify(|request| request.attempts[attempt.0].timeout_cancelled = true);
            }
            None => {}
        }
    }

    /// Whether sending a request would gain nothing: it has no priority weight left, or its expected run
    /// would end far beyond its deadline.
    fn is_too_late(&self, request: &Request) -> bool {
        let run_time = self.work.expected_run_time(&self.context, &request.new);
        let rank = rank(&self.context, &self.work, &self.queues, request);
        rank <= 0.0 || is_hopeless(&self.context, request, run_time)
    }

    /// The time at which the final response is sent at the latest. While an attempt is in flight that is the
    /// deadline, at which the attempt itself should time out; this covers a delayed outcome. A waiting
    /// request gets its response earlier, so that a late timer cannot delay it beyond the deadline.
    fn respond_by(&self, request: &Request) -> Millis {
        let margin = if request.is_in_flight() { 0.0 } else { 2.0 * TIMER_SLACK };
        request.new.deadline - margin
    }

    /// When the next timer is due: for the timeout of a run, a final response, a waiting request or a review.
    fn next_timer(&self) -> Millis {
        let now = self.context.now;
        let engines = self.fleet.engines.keys();
        let slowness: BTreeMap<_, _> = engines.map(|id| (*id, self.fleet.slowness(*id, now))).collect();
        let mut next_due = f64::INFINITY;
        for request in self.requests.values().filter(|request| !request.finished) {
            let timeout_ratio =
                self.timeouts.histories[request.new.class.0].timeout_ratio.unwrap_or(f64::INFINITY);
            let due_at = request.running().next().map_or(now + PLACEMENT_INTERVAL, |(_, attempt)| {
                let nominal = self.work.nominal_run_time(&self.context, &request.new);
                let slowness = slowness.get(&attempt.engine).unwrap_or(&1.0);
                attempt.sent_at + timeout_ratio * nominal * slowness + TIMEOUT_TIMER_DELAY
            });
            // A run that has passed its timeout without being cancelled gets no timer for it, which would
            // fire again and again.
            let future_due_at = if due_at > now { due_at } else { f64::INFINITY };
            next_due = next_due.min(future_due_at).min(self.respond_by(request)).min(now + REVIEW_INTERVAL);
        }
        next_due.max(now + MIN_TIMER_DELAY)
    }

    /// The waiting requests that may be sent now, highest rank first.
    fn waiting(&self) -> Vec<WaitingRequest> {
        let may_be_sent = |request: &&Request| {
            request.is_waiting()
                && self.retries.allows_attempt(&self.context, request, false)
                && self.queues.is_next(&self.context, &request.new)
                && !self.is_too_late(request)
        };
        let with_rank = |request: &Request| {
            let rank = rank(&self.context, &self.work, &self.queues, request);
            WaitingRequest { rank, id: request.new.id.clone() }
        };
        let mut waiting: Vec<_> = self.requests.values().filter(may_be_sent).map(with_rank).collect();
        waiting.sort_by(|a, b| b.rank.total_cmp(&a.rank).then_with(|| a.id.cmp(&b.id)));
        waiting
    }

    /// Sends the waiting requests, highest rank first, as far as engines have capacity. Then rejects the
    /// lowest ranked ones that exceed `max_open`.
    fn place_waiting(&mut self, out: &mut Vec<Action>) {
        let waiting = self.waiting();
        if waiting.is_empty() {
            return;
        }
        self.fleet.update_statistics(&self.context, &self.requests, &self.work);
        let settings = &self.context.settings;
        let max_in_flight = settings.max_open as f64 * URGENT_ONLY_FRACTION;
        // For each class, the least memory in MB of a request without attempts for which no engine had
        // capacity. Requests of the class that need as much are skipped: engines fill up and ranks fall in
        // the course of the loop. That holds only if all engines were compared.
        let mut memory_without_capacity_mb = vec![f64::INFINITY; settings.classes.len()];
        let compares_all_engines = settings.dispatchers <= MAX_DISPATCHERS_COMPARING_ALL;
        let skips_after_failure =
            self.requests.len() > MAX_OPEN_FOR_IMMEDIATE_PLACEMENT && compares_all_engines;
        let is_in_flight = |request: &&Request| !request.finished && request.is_in_flight();
        let mut requests_in_flight = self.requests.values().filter(is_in_flight).count();
        let mut not_sent = Vec::new();
        for WaitingRequest { rank, id } in waiting {
            let Some(request) = self.requests.get(&id) else { continue };
            let class = request.new.class.0;
            let memory_mb = request.new.memory_mb;
            let is_first_attempt = request.attempts.is_empty();
            let priority = self.ranking.priority(rank);
            let is_below_limit = priority == HIGHEST_PRIORITY || (requests_in_flight as f64) < max_in_flight;
            let may_send = is_below_limit
                && memory_mb < memory_without_capacity_mb[class]
                && self.retries.allows_attempt(&self.context, request, false);
            if may_send && self.send(&id, priority, out) {
                requests_in_flight += 1;
                continue;
            }
            if may_send && is_first_attempt && skips_after_failure {
                memory_without_capacity_mb[class] = memory_mb;
            }
            not_sent.push(id);
        }
        self.reject_excess(&not_sent, out);
    }

    /// Responds for the lowest ranked of the waiting requests (which are given highest rank first) that
    /// exceed `max_open`. Without the limit, the clients of later requests could not even connect.
    fn reject_excess(&mut self, waiting: &[RequestId], out: &mut Vec<Action>) {
        let open_requests = self.requests.values().filter(|request| !request.finished).count();
        let excess = open_requests.saturating_sub(self.context.settings.max_open);
        for id in waiting.iter().rev().take(excess) {
            self.respond(id, out);
        }
    }

    /// Sends a request to the best engine with capacity for it. Returns false if there is none.
    fn send(&mut self, id: &RequestId, priority: u8, out: &mut Vec<Action>) -> bool {
        let Dispatcher { context, random, requests, work, fleet, .. } = self;
        let Some(request) = requests.get(id) else { return false };
        let class = request.new.class;
        let demand = work.demand(context, &request.new);
        let locked_engines = lock_holders(&context.settings, requests, &request.new);
        let ranked = fleet.ranked(context, request, demand, priority, random);
        let engines = ranked.into_iter().map(|candidate| candidate.engine);
        let mut unlocked = engines.filter(|engine| !locked_engines.contains(engine));
        let admitting = unlocked.find(|engine| fleet.admits(context, work, *engine, class));
        let Some(engine) = admitting else { return false };
        let Some(request) = requests.get_mut(id) else { return false };
        if !request.attempts.is_empty() {
            self.retries.on_retry(context.now);
        }
        request.attempts.push(Attempt::new(engine, context.now));
        if let Some(engine) = fleet.engines.get_mut(&engine) {
            engine.own_load.add_scaled(demand, 1.0);
            engine.warm_up.budget.consume(work.typical_work(class));
        }
        let settings = &context.settings;
        if settings.memory_grants || settings.priorities {
            let memory_mb = if settings.memory_grants { demand.memory_mb } else { 0.0 };
            out.push(Action::SetAttemptOptions { id: id.clone(), memory_mb, priority });
        }
        out.push(Action::Send { id: id.clone(), engine });
        true
    }

    /// Sends the final response of a request that cannot be served, and finishes it: a rejection if a retry
    /// by the client is harmless, else a failure.
    fn respond(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let retry_is_harmless = match self.context.settings.class(&request.new).idempotency {
            Idempotency::Safe | Idempotency::Keyed(DedupGroup::All, _) => true,
            Idempotency::Keyed(..) | Idempotency::Unsafe => !request.may_have_run(),
        };
        let reason = if !request.attempts.is_empty() {
            RejectReason::AttemptsFailed
        } else if self.context.now >= self.respond_by(request) {
            RejectReason::QueueTimeout
        } else if self.is_too_late(request) {
            RejectReason::TooLong
        } else {
            RejectReason::Overloaded
        };
        self.unserved_requests += 1;
        if retry_is_harmless {
            let retry_after = self.context.settings.max_retry_after;
            out.push(Action::Reject { id: id.clone(), retry_after, reason });
        } else {
            out.push(Action::Fail { id: id.clone() });
        }
        self.finish(id, out);
    }

    /// Marks a request as finished, and cancels its running attempts if cancellation is enabled.
    pub(crate) fn finish(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.finished = true;
        if self.context.settings.cancellation {
            for (index, _) in request.running() {
                out.push(Action::Cancel { id: id.clone(), attempt: AttemptNo(index) });
            }
        }
        self.remove_if_ended(id);
    }

    /// Removes a finished request once no attempt of it is in flight. Only then may the next request of its
    /// order key be sent.
    fn remove_if_ended(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if !request.finished || request.is_in_flight() {
            return;
        }
        self.queues.remove(self.context.settings.order_key(&request.new), id);
        self.requests.remove(id);
    }
}
