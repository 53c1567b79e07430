//! The way of a request through the parts. `on_request` admits it. `send_waiting` ranks what waits and gives
//! each request an engine with capacity. `on_timer` cancels a run past its class's timeout; the request waits
//! for its one relaunch elsewhere, which runs to its end. `on_attempt_ended` learns from each outcome, and
//! retries or answers. What cannot be served in time is rejected; every request gets one final answer.

use super::*;

/// ms between tries to place what waits, where no event brings one: engines free up unseen.
const PLACEMENT_INTERVAL: Millis = 25.0;
/// ms between reviews: timeouts are chosen again, and a line is logged on what was not served.
const REVIEW_INTERVAL: Millis = 1_000.0;
/// Open requests up to which each event is followed by a look at all that waits.
const MAX_OPEN_FOR_EACH_EVENT: usize = 300;
/// Share of `max_open` from which only the most urgent requests are sent: slow ones must not fill the limit.
const URGENT_ONLY_FROM: f64 = 0.85;

impl Dispatcher {
    pub(crate) fn run_or_defer(&mut self, out: &mut Vec<Action>) {
        self.pending = self.requests.len() > MAX_OPEN_FOR_EACH_EVENT;
        if !self.pending {
            self.run(out);
        }
    }

    pub(crate) fn run(&mut self, out: &mut Vec<Action>) {
        self.send_waiting(out);
        let next = self.next_timer();
        if next < self.wakes_at {
            self.wakes_at = next;
            out.push(Action::SetTimer { timer: TimerId(0), delay: next - self.context.now });
        }
    }

    pub(crate) fn on_request(&mut self, new: NewRequest) {
        let context = &self.context;
        if self.requests.contains_key(&new.id) || new.class.0 >= context.settings.classes.len() {
            return;
        }
        self.retries.on_request(context);
        self.queues.push(context.settings.order_key(&new), &new.id);
        self.work.on_request(context, &new);
        let mut request = Request::new(new, context.now, context.settings.max_attempts.max(1));
        request.in_quota = self.quotas.on_request(context, request.new.tenant);
        request.exempt_from_timeout = self.random.rand_float() < EXEMPT_SHARE;
        self.ranking.on_request(rank(context, &self.work, &self.queues, &request), context.now);
        self.requests.insert(request.new.id.clone(), request);
    }

    pub(crate) fn on_attempt_ended(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        self.on_load_report(end.engine, end.load);
        let Some(request) = self.requests.get_mut(&end.id) else { return };
        let attempt = request.attempts.get_mut(end.attempt.0);
        let Some(attempt) = attempt.filter(|attempt| attempt.outcome.is_none()) else { return };
        attempt.outcome = Some(end.outcome);
        self.queues.on_attempt_ended(&self.context, &request.new, end.outcome);
        self.learn(end, out);
        let Some(request) = self.requests.get(&end.id) else { return };
        let overdue = end.outcome == Outcome::TimedOut || self.context.now >= request.new.deadline;
        if end.finished || end.outcome == Outcome::Served {
            self.finish(&end.id, out);
        } else if request.finished {
            self.remove_if_over(&end.id);
        } else if request.is_idle() && (overdue || !self.retries.allows(&self.context, request, false)) {
            self.answer(&end.id, out);
        }
    }

    pub(crate) fn on_load_report(&mut self, engine: EngineId, load: Option<LoadReport>) {
        let Some((load, in_flight)) = load.and_then(|load| Some((load, load.in_flight?))) else { return };
        let live = self.requests.values().flat_map(Request::live);
        let own = live.filter(|(_, attempt)| attempt.engine == engine).count();
        // What waits for memory there takes up neither cores nor memory yet.
        let running = in_flight - load.queued.unwrap_or(0.0);
        let others = if self.context.settings.dispatchers > 1 { running - own as f64 } else { 0.0 };
        if let Some(engine) = self.fleet.engines.get_mut(&engine) {
            self.fleet.loads.on_report(engine, others, self.context.now);
        }
    }

    /// Looks at all that runs: cancels at timeouts, and answers what is overdue.
    pub(crate) fn on_timer(&mut self, out: &mut Vec<Action>) {
        if self.context.now + 1e-3 < self.wakes_at {
            return;
        }
        self.wakes_at = f64::INFINITY;
        if self.context.now - self.reviewed_at >= REVIEW_INTERVAL {
            self.review(out);
        }
        self.queues.prune(self.context.now);
        let due = self.requests.iter().filter(|(_, request)| self.due(request).is_some());
        let due: Vec<RequestId> = due.map(|(id, _)| id.clone()).collect();
        due.iter().for_each(|id| self.act_on_due(id, out));
    }

    /// Learns run times, sizes and health from an outcome.
    fn learn(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (context, Some(request)) = (&self.context, self.requests.get(&end.id)) else { return };
        let slowness = self.fleet.slowness(request.attempts[end.attempt.0].engine, context.now);
        let ratio = end.elapsed / (self.work.nominal_run(context, &request.new) * slowness);
        let (served, relaunch) = (end.outcome == Outcome::Served, request.is_relaunch(end.attempt.0));
        if !end.outcome.never_ran() {
            self.fleet.loads.on_attempt_ended(self.work.demand(context, &request.new), end.elapsed);
            self.timeouts.on_run_ended(request.new.class, ratio, relaunch, served, context.now);
        }
        if !served {
            return out.extend(self.fleet.on_failure(end, context.now).map(Action::Log));
        }
        for failed in request.attempts.iter().filter(|it| it.outcome == Some(Outcome::Failed)) {
            let engine = self.fleet.engines.entry(failed.engine);
            engine.and_modify(|engine| engine.health.on_served_elsewhere(context.now));
        }
        if let Some(engine) = self.fleet.engines.get_mut(&end.engine) {
            engine.health.on_served(context.now);
            if let Some(relative) = self.work.on_served(context, &request.new, end) {
                engine.slowness.add(relative, context.now, ENGINE_HORIZON);
            }
        }
    }

    /// Chooses the timeouts again, and logs what was not served.
    fn review(&mut self, out: &mut Vec<Action>) {
        self.reviewed_at = self.context.now;
        let ongoing: Vec<OngoingRun> = self.requests.values().flat_map(|it| self.ongoing_runs(it)).collect();
        for class in (0..self.context.settings.classes.len()).map(ClassId) {
            let change = self.timeouts.choose_timeout(class, &ongoing, self.context.settings.cancellation);
            out.extend(change.map(Action::Log));
        }
        if self.unserved > 0 {
            out.push(Action::Log(format!("not served: {}", std::mem::take(&mut self.unserved))));
        }
    }

    /// The first runs of a request that go on. A progress report tells the end of a run while it lasts:
    /// stragglers show long before they end.
    fn ongoing_runs<'a>(&'a self, request: &'a Request) -> impl Iterator<Item = OngoingRun> + 'a {
        let first_runs = request.running().filter(|(index, _)| !request.is_relaunch(*index));
        first_runs.map(|(_, attempt)| {
            let time_left = attempt.time_left().unwrap_or(0.0);
            let ratio = self.run_ratio(request, attempt, time_left);
            OngoingRun { class: request.new.class, ratio, end_known: time_left > 0.0 }
        })
    }

    /// How long an attempt has run, and runs on, over its estimate and the slowness of its engine.
    fn run_ratio(&self, request: &Request, attempt: &Attempt, time_left: Millis) -> f64 {
        let nominal = self.work.nominal_run(&self.context, &request.new);
        let slowness = self.fleet.slowness(attempt.engine, self.context.now);
        (self.context.now + time_left - attempt.sent_at) / (nominal * slowness)
    }

    fn due(&self, request: &Request) -> Option<Due> {
        if request.finished {
            return None;
        }
        let (context, attempts) = (&self.context, request.attempts.len());
        let lost = || context.now >= repeat_until(context, request, attempts) || self.is_too_late(request);
        // A run that by its progress report cannot by far end before the client leaves only slows others.
        let time_left = request.live().next().and_then(|(_, attempt)| attempt.time_left());
        let hopeless = time_left.is_some_and(|left| is_hopeless(context, request, left));
        let given_up = hopeless && context.settings.class(&request.new).idempotency == Idempotency::Safe;
        if context.now >= self.answer_by(request) || (request.is_idle() && lost()) || given_up {
            return Some(Due::Answer);
        }
        self.timeout_due(request).map(Due::Cancel)
    }

    /// The attempt to cancel, if the first run has passed the timeout and a relaunch may and should follow.
    fn timeout_due(&self, request: &Request) -> Option<AttemptNo> {
        let (context, class) = (&self.context, request.new.class);
        let timeout = self.timeouts.0[class.0].timeout?;
        let (index, attempt) = request.live().next()?;
        if request.exempt_from_timeout || attempt.timeout_cancelled || request.is_relaunch(index) {
            return None;
        }
        let ratio = self.run_ratio(request, attempt, 0.0);
        let slowness = self.fleet.slowness(attempt.engine, context.now).max(1.0);
        let nominal = self.work.nominal_run(context, &request.new);
        let relaunch = self.timeouts.0[class.0].expected_relaunch * nominal * slowness;
        // A class bound to zones or groups may have no other engine to go to.
        let other = |engine: &&Engine| engine.entry.engine != attempt.engine;
        let takes = |engine: &Engine| self.fleet.takes(context, engine, request);
        let relaunches = is_due(timeout, ratio, attempt.time_left(), relaunch)
            && request.new.deadline - context.now >= relaunch
            && self.fleet.engines.values().filter(other).any(takes)
            && self.retries.allows(context, request, true);
        relaunches.then_some(AttemptNo(index))
    }

    /// Cancels the request's run, or answers it, if that is due.
    pub(crate) fn act_on_due(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        match self.requests.get(id).and_then(|request| self.due(request)) {
            Some(Due::Answer) => self.answer(id, out),
            Some(Due::Cancel(attempt)) => {
                out.push(Action::Cancel { id: id.clone(), attempt });
                let request = self.requests.entry(id.clone());
                request.and_modify(|request| request.attempts[attempt.0].timeout_cancelled = true);
            }
            None => {}
        }
    }

    /// Whether a request that waits can earn nothing any more, as half its usual run no longer fits.
    fn is_too_late(&self, request: &Request) -> bool {
        let run = self.work.expected_run(&self.context, &request.new);
        let rank = rank(&self.context, &self.work, &self.queues, request);
        rank <= 0.0 || is_hopeless(&self.context, request, run)
    }

    /// The time-out at the deadline answers for what runs; this guards against its coming late.
    fn answer_by(&self, request: &Request) -> Millis {
        request.new.deadline - if request.is_idle() { 2.0 * TIMER_SLACK } else { 0.0 }
    }

    /// When the next timer is due: for a timeout, an answer, what waits, or a review.
    fn next_timer(&self) -> Millis {
        let now = self.context.now;
        let slowness = |id: &EngineId| (*id, self.fleet.slowness(*id, now));
        let slowness: BTreeMap<_, _> = self.fleet.engines.keys().map(slowness).collect();
        let mut next = f64::INFINITY;
        for request in self.requests.values().filter(|request| !request.finished) {
            let timeout = self.timeouts.0[request.new.class.0].timeout.unwrap_or(f64::INFINITY);
            let at = request.running().next().map_or(now + PLACEMENT_INTERVAL, |(_, run)| {
                let nominal = self.work.nominal_run(&self.context, &request.new);
                run.sent_at + timeout * nominal * slowness.get(&run.engine).unwrap_or(&1.0) + 0.5
            });
            let at = if at > now { at } else { f64::INFINITY };
            next = next.min(at).min(self.answer_by(request)).min(now + REVIEW_INTERVAL);
        }
        next.max(now + 1.0)
    }

    /// The requests that wait for an engine, best first.
    fn waiting(&self) -> Vec<Waiting> {
        let waits = |request: &&Request| {
            request.is_waiting()
                && self.retries.allows(&self.context, request, false)
                && self.queues.is_next(&self.context, &request.new)
                && !self.is_too_late(request)
        };
        let ranked = |request: &Request| {
            let rank = rank(&self.context, &self.work, &self.queues, request);
            Waiting { rank, id: request.new.id.clone() }
        };
        let mut waiting: Vec<_> = self.requests.values().filter(waits).map(ranked).collect();
        waiting.sort_by(|a, b| b.rank.total_cmp(&a.rank).then_with(|| a.id.cmp(&b.id)));
        waiting
    }

    /// Sends what waits as long as engines have capacity, and rejects what is too much.
    fn send_waiting(&mut self, out: &mut Vec<Action>) {
        let waiting = self.waiting();
        if waiting.is_empty() {
            return;
        }
        self.fleet.update(&self.context, &self.requests, &self.work);
        let settings = &self.context.settings;
        let max_running = settings.max_open as f64 * URGENT_ONLY_FROM;
        // The least memory of fresh requests of each class for which no engine had capacity. Engines fill up
        // and ranks fall: what needs as much need not be tried, if all engines were compared.
        let mut full_from = vec![f64::INFINITY; settings.classes.len()];
        let compares_all = settings.dispatchers <= MAX_COMPARING_ALL;
        let alike = self.requests.len() > MAX_OPEN_FOR_EACH_EVENT && compares_all;
        let mut running = self.requests.values().filter(|it| !it.finished && !it.is_idle()).count();
        let mut left = Vec::new();
        for Waiting { rank, id } in waiting {
            let Some(request) = self.requests.get(&id) else { continue };
            let (class, memory_mb) = (request.new.class.0, request.new.memory_mb);
            let (fresh, priority) = (request.attempts.is_empty(), self.ranking.priority(rank));
            let opens = priority == HIGHEST_PRIORITY || (running as f64) < max_running;
            let may_fit = opens && memory_mb < full_from[class];
            let may_send = may_fit && self.retries.allows(&self.context, request, false);
            if may_send && self.send(&id, priority, out) {
                running += 1;
                continue;
            }
            if may_send && fresh && alike {
                full_from[class] = memory_mb;
            }
            left.push(id);
        }
        // Guards against a full house: the clients of whatever comes next could not even connect.
        let open = self.requests.values().filter(|request| !request.finished).count();
        let excess = open.saturating_sub(self.context.settings.max_open);
        left.iter().rev().take(excess).for_each(|id| self.answer(id, out));
    }

    /// Sends the request to the best engine that has capacity for it, if there is one.
    fn send(&mut self, id: &RequestId, priority: u8, out: &mut Vec<Action>) -> bool {
        let Dispatcher { context, random, requests, work, fleet, .. } = self;
        let Some(request) = requests.get(id) else { return false };
        let (class, demand) = (request.new.class, work.demand(context, &request.new));
        let locked = lock_holders(&context.settings, requests, &request.new);
        let ranked = fleet.ranked(context, request, demand, priority, random).into_iter();
        let mut open = ranked.map(|it| it.engine).filter(|engine| !locked.contains(engine));
        let engine = open.find(|engine| fleet.admits(context, work, *engine, class));
        let (Some(engine), Some(request)) = (engine, requests.get_mut(id)) else { return false };
        if !request.attempts.is_empty() {
            self.retries.on_retry(context.now);
        }
        request.attempts.push(Attempt::new(engine, context.now));
        if let Some(engine) = fleet.engines.get_mut(&engine) {
            engine.own.add(demand, 1.0);
            engine.warm_up.budget.consume(work.typical_work(class));
        }
        if context.settings.memory_grants || context.settings.priorities {
            let memory_mb = if context.settings.memory_grants { demand.memory_mb } else { 0.0 };
            out.push(Action::SetAttemptOptions { id: id.clone(), memory_mb, priority });
        }
        out.push(Action::Send { id: id.clone(), engine });
        true
    }

    /// Ends a request that is not finished with a rejection where that may be promised, else with a failure.
    fn answer(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let harmless = match self.context.settings.class(&request.new).idempotency {
            Idempotency::Safe | Idempotency::Keyed(DedupGroup::All, _) => true,
            Idempotency::Keyed(..) | Idempotency::Unsafe => !request.may_have_run(),
        };
        let reason = match request.attempts.is_empty() {
            false => RejectReason::AttemptsFailed,
            true if self.context.now >= self.answer_by(request) => RejectReason::QueueTimeout,
            true if self.is_too_late(request) => RejectReason::TooLong,
            true => RejectReason::Overloaded,
        };
        self.unserved += 1;
        let retry_after = self.context.settings.max_retry_after;
        out.push(match harmless {
            true => Action::Reject { id: id.clone(), retry_after, reason },
            false => Action::Fail { id: id.clone() },
        });
        self.finish(id, out);
    }

    /// Marks a request as finished and cancels what is still in flight for it.
    pub(crate) fn finish(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.finished = true;
        if self.context.settings.cancellation {
            let cancel = |(at, _)| Action::Cancel { id: id.clone(), attempt: AttemptNo(at) };
            out.extend(request.running().map(cancel));
        }
        self.remove_if_over(id);
    }

    /// Removes a finished request once all its attempts have ended; only then does its key move on.
    fn remove_if_over(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id).filter(|it| it.finished && it.is_idle()) else { return };
        self.queues.remove(self.context.settings.order_key(&request.new), id);
        self.requests.remove(id);
    }
}
