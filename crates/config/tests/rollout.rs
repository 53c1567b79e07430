//! Rollouts over a small fleet: stages, halts, rollbacks and the change to another control server.

use std::collections::VecDeque;
use std::time::Duration;

use gaugestep_config::Timestamp;
use gaugestep_config::rollout::{
    Action, ConnectedProxy, Event, Purpose, RECONNECT_TIMEOUT, RESPONSE_TIMEOUT, ReportedVersion,
    RequestCounts, Rollout, StoredRollout,
};
use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{Plan, Refusal};

/// A control server with its proxies and its clock.
struct Fleet {
    rollout: Rollout,
    now: Timestamp,
}

fn name(number: u64) -> String {
    format!("n{number}")
}

fn at(millis: f64) -> Timestamp {
    Timestamp::from_millis_f64(millis)
}

impl Fleet {
    fn new(proxies: u64) -> Self {
        let mut fleet = Fleet { rollout: Rollout::default(), now: at(0.0) };
        for proxy in 0..proxies {
            fleet.connect(proxy, proxy, 0);
        }
        fleet
    }

    /// A control server that starts with a rollout in progress in its store.
    fn recovered(now: Timestamp, number: u64, plan: Plan) -> Self {
        let stored = StoredRollout { number, plan, state: State::Rolling, purpose: Purpose::Change };
        Fleet { rollout: Rollout::recover(now, [stored]), now }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.rollout.handle(self.now, event)
    }

    fn connect(&mut self, proxy: u64, stream: u64, number: u64) -> Vec<Action> {
        let in_force = match (number, self.rollout.state(number)) {
            (0, _) => ReportedVersion::None,
            (_, Some(_)) => ReportedVersion::Published(number),
            (_, None) => ReportedVersion::Unpublished(number),
        };
        self.connect_with(proxy, stream, in_force, Duration::ZERO)
    }

    fn connect_with(
        &mut self,
        proxy: u64,
        stream: u64,
        in_force: ReportedVersion,
        in_force_for: Duration,
    ) -> Vec<Action> {
        let (proxy, build) = (name(proxy), "b".into());
        self.handle(Event::Connected(ConnectedProxy { proxy, stream, in_force, build, in_force_for }))
    }

    fn publish(&mut self, number: u64, plan: Plan) -> Vec<Action> {
        self.handle(Event::Published { number, plan, purpose: Purpose::Change })
    }

    /// Responds to all offers among the actions and to the offers that follow from the responses; returns the
    /// other actions.
    fn respond(&mut self, actions: Vec<Action>, refusal: Option<&str>) -> Vec<Action> {
        let mut other_actions = Vec::new();
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            if let Action::Offer { proxy, stream, nonce, .. } = action {
                let refusal = refusal.map(|code| Refusal { code: code.into(), ..Refusal::default() });
                queue.extend(self.handle(Event::Responded { proxy, stream, nonce, refusal }));
            } else {
                other_actions.push(action);
            }
        }
        other_actions
    }
}

/// The number of offers of a version among the actions.
fn offers(actions: &[Action], number: u64) -> usize {
    let is_offer =
        |action: &&Action| matches!(action, Action::Offer { number: offered, .. } if *offered == number);
    actions.iter().filter(is_offer).count()
}

fn is_rollback(action: &Action) -> bool {
    matches!(action, Action::RollBack { .. })
}

/// A plan with two canaries and a partial stage of half the fleet; each stage lasts 1 s.
fn staged_plan() -> Plan {
    Plan { first: 2, share: 0.5, hold_ms: 1_000, worse_by: 0.05, ..Plan::default() }
}

#[test]
fn a_version_goes_to_canaries_then_a_fraction_then_all_and_each_stage_lasts_its_time() {
    let mut fleet = Fleet::new(10);
    let first = fleet.publish(1, staged_plan());
    assert_eq!(offers(&first, 1), 2);
    assert!(fleet.respond(first, None).is_empty());
    fleet.now = at(999.0);
    assert!(fleet.handle(Event::Tick).is_empty(), "the time of the stage has not elapsed");
    fleet.now = at(1_000.0);
    let partial = fleet.handle(Event::Tick);
    assert_eq!(offers(&partial, 1), 3, "half of ten proxies, less the two canaries");
    fleet.respond(partial, None);
    fleet.now = at(2_000.0);
    let all = fleet.handle(Event::Tick);
    assert_eq!(offers(&all, 1), 5);
    fleet.respond(all, None);
    assert_eq!(fleet.rollout.state(1), Some(State::Rolling));
    fleet.now = at(3_000.0);
    fleet.handle(Event::Tick);
    assert_eq!(fleet.rollout.state(1), Some(State::Complete));
    assert_eq!(offers(&fleet.connect(20, 20, 0), 1), 1, "a proxy that connects later is offered it at once");
}

/// The last proxy disconnects during the time of a stage, or a control server restarts: the rollout must not
/// become complete, as no connected proxy has the version in force.
#[test]
fn a_version_is_not_complete_while_no_proxy_is_connected() {
    let plan = Plan { hold_ms: 60_000, ..Plan::default() };
    let mut fleet = Fleet::new(1);
    let offered = fleet.publish(1, plan);
    fleet.respond(offered, None);
    fleet.handle(Event::Disconnected { proxy: name(0), stream: 0 });
    fleet.now = at(120_000.0);
    fleet.handle(Event::Tick);
    assert_eq!(fleet.rollout.state(1), Some(State::Rolling));
    let mut next = Fleet::recovered(at(0.0), 1, plan);
    next.now = at(9_000.0);
    next.handle(Event::Tick);
    assert_eq!(next.rollout.state(1), Some(State::Rolling), "proxies may still reconnect");
    next.connect(0, 0, 0);
    next.now = at(20_000.0);
    next.handle(Event::Tick);
    assert_eq!(next.rollout.state(1), Some(State::Rolling));
}

/// Another control server takes the rollout over in its partial stage. It continues in that stage, with the
/// objections so far and the time for which proxies have had the version in force.
#[test]
fn the_next_control_server_continues_in_the_stage_that_is_stored() {
    let mut fleet = Fleet::new(10);
    let plan = Plan { refusals: Some(2), ..staged_plan() };
    let first = fleet.publish(1, plan);
    let canaries: Vec<String> = first
        .iter()
        .map(|action| match action {
            Action::Offer { proxy, .. } => proxy.clone(),
            other => panic!("{other:?}"),
        })
        .collect();
    fleet.respond(first[..1].to_vec(), None);
    fleet.respond(first[1..].to_vec(), Some("no-usable-engine"));
    fleet.now = at(1_000.0);
    let partial = fleet.handle(Event::Tick);
    fleet.respond(partial.clone(), None);
    assert!(!partial.is_empty());
    let progress = fleet.rollout.progress().unwrap();
    assert_eq!((progress.step, progress.against.len()), (1, 1));
    let mut next = Fleet::recovered(at(50.0), 1, plan);
    next.rollout.resume(progress.clone());
    let rejecting = &canaries[1];
    let mut offered_again = Vec::new();
    for proxy in 0..10 {
        let has_version = progress.chosen.contains(&name(proxy)) && name(proxy) != *rejecting;
        let in_force = if has_version { ReportedVersion::Published(1) } else { ReportedVersion::None };
        offered_again.extend(next.connect_with(proxy, 0, in_force, Duration::from_millis(900)));
    }
    let before = next.rollout.progress().unwrap();
    assert_eq!((before.step, before.against.len()), (1, 1), "the stage and the objections are restored");
    assert_eq!(offers(&next.handle(Event::Tick), 1), 0, "only 900 of the 1,000 ms of the stage have elapsed");
    next.now = next.now + Duration::from_millis(100);
    let [Action::Offer { proxy, stream, nonce, .. }] = &offered_again[..] else {
        panic!("{offered_again:?}")
    };
    assert_eq!(proxy, rejecting);
    let refusal = Some(Refusal { code: "no-usable-engine".into(), ..Refusal::default() });
    let (proxy, stream, nonce) = (proxy.clone(), *stream, *nonce);
    let advanced = next.handle(Event::Responded { proxy, stream, nonce, refusal });
    assert!(offers(&advanced, 1) > 0, "the rollout advances once no selected proxy is waited for");
}

/// Guards against taking a fleet that is not known yet for an empty one: a version that every proxy rejects
/// was complete before a proxy had reconnected, and was never rolled back.
#[test]
fn a_version_published_after_a_start_is_complete_only_once_proxies_could_reconnect() {
    let stored = [(1, State::Complete), (2, State::Overtaken)].map(|(number, state)| StoredRollout {
        number,
        plan: Plan::default(),
        state,
        purpose: Purpose::Change,
    });
    let start = || {
        let mut fleet = Fleet { rollout: Rollout::recover(at(0.0), stored), now: at(100.0) };
        fleet.publish(3, Plan::default());
        assert_eq!(fleet.rollout.state(3), Some(State::Rolling));
        fleet
    };
    let mut rejecting = start();
    rejecting.now = at(3_000.0);
    let offered = rejecting.connect(0, 0, 1);
    let halted = rejecting.respond(offered, Some("unknown-name"));
    assert!(halted.iter().any(|action| matches!(action, Action::RollBack { halted: 3, restored: 1, .. })));
    let mut accepting = start();
    accepting.now = at(3_000.0);
    let offered = accepting.connect(0, 0, 1);
    accepting.respond(offered, None);
    assert_eq!(accepting.rollout.state(3), Some(State::Rolling), "another proxy may still reconnect");
    for mut fleet in [accepting, start()] {
        fleet.now = at(0.0) + RECONNECT_TIMEOUT;
        fleet.handle(Event::Tick);
        assert_eq!(fleet.rollout.state(3), Some(State::Complete));
    }
}

#[test]
fn a_rejection_halts_and_restores_the_last_complete_version_under_a_new_number() {
    let mut fleet = Fleet::new(10);
    let all = fleet.publish(1, Plan::default());
    fleet.respond(all, None);
    let first = fleet.publish(2, staged_plan());
    let halted = fleet.respond(first, Some("no-usable-engine"));
    assert!(
        halted.iter().any(|action| matches!(action, Action::RollBack { halted: 2, restored: 1, .. })),
        "{halted:?}"
    );
    assert_eq!(fleet.rollout.state(2), Some(State::Halted));
    assert_eq!(offers(&fleet.handle(Event::Tick), 2), 0);
    let back = fleet.handle(Event::Published { number: 3, plan: staged_plan(), purpose: Purpose::RollBack });
    assert_eq!(offers(&back, 3), 10, "a rollback is offered to all at once");
    let ended = fleet.respond(back, Some("no-usable-engine"));
    assert!(!ended.iter().any(is_rollback), "a rollback is never rolled back: {ended:?}");
}

#[test]
fn a_proxy_that_never_responds_and_one_that_disconnects_with_the_version_count_against_it() {
    for disconnects in [false, true] {
        let mut fleet = Fleet::new(4);
        let first = fleet.publish(1, Plan { first: 1, ..staged_plan() });
        let [Action::Offer { proxy, stream, nonce, .. }] = &first[..] else { panic!("{first:?}") };
        let (proxy, stream, nonce) = (proxy.clone(), *stream, *nonce);
        if disconnects {
            fleet.handle(Event::Responded { proxy: proxy.clone(), stream, nonce, refusal: None });
            fleet.handle(Event::Disconnected { proxy, stream });
        }
        fleet.now = at(0.0) + RESPONSE_TIMEOUT.max(RECONNECT_TIMEOUT);
        assert!(
            fleet
                .handle(Event::Tick)
                .iter()
                .any(|action| matches!(action, Action::RollBack { halted: 1, restored: 0, .. }))
        );
    }
}

/// A version that is offered to all at once halts if a fraction of the fleet rejects it, but not if only a
/// few proxies do.
#[test]
fn a_version_offered_to_all_at_once_is_halted_by_five_percent_of_rejections() {
    for (rejecting, halts) in [(2, false), (3, true)] {
        let mut fleet = Fleet::new(50);
        let offered = fleet.publish(1, Plan::default());
        let (rejected, acknowledged) = offered.split_at(rejecting);
        let actions = fleet.respond(rejected.to_vec(), Some("no-usable-engine"));
        assert_eq!(actions.iter().any(is_rollback), halts, "{rejecting} of 50");
        fleet.respond(acknowledged.to_vec(), None);
    }
}

#[test]
fn significantly_worse_request_counts_halt_a_rollout_and_small_differences_do_not() {
    for (unserved, halts) in [(300, true), (60, false)] {
        let mut fleet = Fleet::new(10);
        let first = fleet.publish(1, staged_plan());
        fleet.respond(first, None);
        let report = |fleet: &mut Fleet, served, unserved: u64| {
            let mut actions = Vec::new();
            for proxy in 0..10 {
                let in_force = fleet.rollout.proxies()[&name(proxy)].in_force;
                let unserved = if in_force == 1 { unserved } else { served / 20 };
                let counts = RequestCounts { served, unserved };
                let (proxy, stream, number) = (name(proxy), proxy, in_force);
                actions.extend(fleet.handle(Event::RequestsCounted { proxy, stream, counts, number }));
            }
            actions
        };
        report(&mut fleet, 0, 0);
        let actions = report(&mut fleet, 1_000, unserved);
        let halted = actions.iter().any(|action| matches!(action, Action::RollBack { halted: 1, .. }));
        assert_eq!(halted, halts, "{unserved} of 1,000 not served");
    }
}

#[test]
fn a_server_restored_from_an_older_backup_offers_and_publishes_only_higher_numbers() {
    let mut fleet = Fleet::new(0);
    fleet.publish(3, Plan::default());
    assert_eq!(offers(&fleet.connect(0, 0, 7), 3), 0);
    assert!(fleet.rollout.proxies()["n0"].is_ahead);
    assert_eq!(fleet.rollout.next_number(), 8);
    let next = fleet.publish(8, Plan::default());
    assert!(matches!(&next[..], [Action::Offer { number: 8, base: 0, .. }]), "{next:?}");
}

#[test]
fn a_slow_proxy_is_offered_only_the_newest_version_once_it_responds() {
    let mut fleet = Fleet::new(1);
    let first = fleet.publish(1, Plan::default());
    assert_eq!(offers(&first, 1), 1);
    for number in 2..6 {
        assert_eq!(offers(&fleet.publish(number, Plan::default()), number), 0);
    }
    fleet.respond(first, None);
    assert_eq!(fleet.rollout.proxies()["n0"].in_force, 5);
}
