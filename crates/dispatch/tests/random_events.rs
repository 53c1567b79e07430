//! Seeded random sequences of legal events; an independent model checks the actions.

mod common;

use std::collections::BTreeMap;

use common::*;
use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;

struct Sent {
    engine: EngineId,
    at: Millis,
    outcome: Option<Outcome>,
}

struct Seen {
    class: usize,
    deadline: Millis,
    key: Option<OrderKey>,
    sent: Vec<Sent>,
    answered: bool,
}

fn site() -> Settings {
    let keyed = class(Effect::Keyed(DedupGroup::Cell, 900.0), 2.0);
    let mut ordered = class(Effect::Unsafe, 2.0);
    ordered.ordered = true;
    let mut bound = class(Effect::Safe, 4.0);
    bound.zones = Some(vec![ZoneId(1)]);
    let mut site = settings(vec![class(Effect::Safe, 1.0), keyed, ordered, bound]);
    site.tenants = vec![TenantSettings { quota_per_s: 20.0 }, TenantSettings { quota_per_s: 5.0 }];
    site.dispatchers = 2;
    site.max_attempts = 3;
    site.retry_budget = Some(RetryBudgetSettings { min_retries: 2.0, ratio: 0.1, window: 5_000.0 });
    site
}

fn place(engine: u32) -> EngineEntry {
    EngineEntry { zone: ZoneId(engine as usize % 2), cell: CellId(u64::from(engine / 3)), ..entry(engine) }
}

fn ran(sent: &Sent) -> bool {
    !sent.outcome.is_some_and(Outcome::never_ran)
}

/// Plays `steps` random events and checks every action; returns what was done, as text.
fn play(seed: u128, steps: usize) -> String {
    let site = site();
    let mut random = oorandom::Rand64::new(seed);
    let mut dispatcher = Dispatcher::new(site.clone(), seed as u64).unwrap();
    let mut seen: BTreeMap<RequestId, Seen> = BTreeMap::new();
    let mut order: BTreeMap<OrderKey, Vec<RequestId>> = BTreeMap::new();
    let mut paused: BTreeMap<OrderKey, Millis> = BTreeMap::new();
    let mut up: BTreeMap<EngineId, bool> = (0..7).map(|engine| (EngineId(engine), true)).collect();
    let (mut accepted, mut further): (Vec<Millis>, Vec<Millis>) = (vec![], vec![]);
    let (mut now, mut number, mut log, mut timer) = (0.0, 0, String::new(), None);
    let mut first = Some(Event::EngineList((0..7).map(place).collect()));
    for _ in 0..steps {
        let pick = random.rand_range(0..100);
        let out: Vec<(RequestId, usize)> = seen
            .iter()
            .flat_map(|(id, seen)| {
                let live = seen.sent.iter().enumerate().filter(|(_, sent)| sent.outcome.is_none());
                live.map(|(index, _)| (id.clone(), index))
            })
            .collect();
        // The timer comes when it is due; other events between.
        let event = if let Some(event) = first.take() {
            event
        } else if timer.is_some_and(|at| at <= now) {
            timer = None;
            Event::Timer(TimerId(0))
        } else if pick < 30 {
            number += 1;
            let class = random.rand_range(0..4) as usize;
            let due = now + random.rand_range(0..8_000) as f64;
            let key = (class == 2).then(|| OrderKey(format!("k{}", random.rand_range(0..3)).into()));
            let new = NewRequest {
                tenant: TenantId(number as usize % 2),
                estimate: random.rand_range(0..3_000) as f64,
                key: key.clone(),
                ..request(number, class, due)
            };
            accepted.push(now);
            if let Some(key) = &key {
                order.entry(key.clone()).or_default().push(new.id.clone());
            }
            seen.insert(new.id.clone(), Seen { class, deadline: due, key, sent: vec![], answered: false });
            Event::Request(new)
        } else if pick < 60 && !out.is_empty() {
            let (id, index) = out[random.rand_range(0..out.len() as u64) as usize].clone();
            let this = seen.get_mut(&id).unwrap();
            let outcome = match random.rand_range(0..10) {
                0 => Outcome::Failed,
                1 => Outcome::Rejected,
                2 => Outcome::Reset,
                3 => Outcome::ConnectFailed,
                4 => Outcome::Cancelled,
                _ => Outcome::Served,
            };
            this.sent[index].outcome = Some(outcome);
            this.answered |= outcome == Outcome::Served;
            if matches!(outcome, Outcome::Reset | Outcome::Cancelled)
                && let Some(key) = &this.key
            {
                paused.insert(key.clone(), now + site.order_pause);
            }
            Event::AttemptEnded(AttemptEnd {
                id,
                attempt: AttemptNo(index),
                engine: this.sent[index].engine,
                outcome,
                finished: this.answered,
                elapsed: now - this.sent[index].at,
                cost: None,
                load: None,
            })
        } else if pick < 66 {
            let engine = random.rand_range(0..7) as u32;
            let readiness =
                [Readiness::Up, Readiness::Draining, Readiness::Gone][random.rand_range(0..3) as usize];
            up.insert(EngineId(engine), readiness == Readiness::Up);
            Event::EngineChanges(vec![EngineEntry { readiness, ..place(engine) }])
        } else if pick < 70 && !out.is_empty() {
            let (id, index) = out[0].clone();
            Event::Progress(id, AttemptNo(index), ProgressReport::Done(random.rand_float()))
        } else {
            now += random.rand_range(1..120) as f64;
            timer = timer.map(|at: f64| at.max(now - 5.0));
            continue;
        };
        let mut actions = Vec::new();
        dispatcher.handle(now, event, &mut actions);
        for action in actions {
            log.push_str(&format!("{now} {action:?}\n"));
            match action {
                Action::Send { id, engine } => {
                    assert!(up[&engine], "a send to an engine that drains or is gone");
                    let this = &seen[&id];
                    assert!(!this.answered, "a send after the answer");
                    assert!(this.sent.iter().all(|sent| sent.outcome.is_some()), "two attempts at once");
                    assert!(this.sent.len() < site.max_attempts);
                    let before: Vec<&Sent> = this.sent.iter().filter(|sent| ran(sent)).collect();
                    match this.class {
                        1 => assert!(
                            before
                                .iter()
                                .all(|sent| { sent.engine.0 / 3 == engine.0 / 3 && now - sent.at <= 900.0 })
                        ),
                        2 => assert!(before.is_empty(), "an effect twice"),
                        3 => assert_eq!(engine.0 % 2, 1, "out of its zone"),
                        _ => {}
                    }
                    if let Some(key) = &this.key {
                        let earlier = order[key].iter().take_while(|other| **other != id);
                        for other in earlier.map(|other| &seen[other]) {
                            assert!(other.answered && other.sent.iter().all(|sent| sent.outcome.is_some()));
                        }
                        let again = !this.sent.is_empty();
                        assert!(
                            again || paused.get(key).is_none_or(|until| now >= *until),
                            "the key is paused"
                        );
                    }
                    if !this.sent.is_empty() {
                        further.push(now);
                        let made = further.iter().filter(|at| now - **at <= 5_000.0).count() as f64;
                        let taken = accepted.iter().filter(|at| now - **at <= 5_000.0).count() as f64;
                        assert!(made <= 2.0 + 0.1 * taken, "over the budget of attempts");
                    }
                    seen.get_mut(&id).unwrap().sent.push(Sent { engine, at: now, outcome: None });
                }
                Action::Reject { id, .. } | Action::Fail { id } if seen[&id].answered => {
                    panic!("two answers for {id:?}");
                }
                Action::Reject { id, .. } => {
                    let this = seen.get_mut(&id).unwrap();
                    assert!(matches!(this.class, 0 | 3) || !this.sent.iter().any(ran), "a false promise");
                    this.answered = true;
                }
                Action::Fail { id } => seen.get_mut(&id).unwrap().answered = true,
                Action::SetTimer { delay, .. } => timer = Some(now + delay),
                Action::Cancel { id, attempt } => assert!(attempt.0 < seen[&id].sent.len()),
                Action::SetTerms { priority, memory_mb, .. } => {
                    assert!(priority <= 3 && memory_mb.is_finite() && memory_mb >= 0.0)
                }
                Action::Log(_) => {}
            }
        }
        if timer.is_none_or(|at| at > now) {
            for (id, this) in &seen {
                assert!(this.answered || now <= this.deadline + 140.0, "{id:?} was lost");
            }
        }
    }
    log
}

#[test]
fn random_events_break_no_rule_and_repeat_exactly() {
    for seed in 1..13 {
        assert_eq!(play(seed, 1_500), play(seed, 1_500));
    }
}
