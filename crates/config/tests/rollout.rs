//! Rollouts over a small fleet: stages, halts, rollbacks and the takeover by another server.

use std::collections::VecDeque;
use std::time::Duration;

use gaugestep_config::Timestamp;
use gaugestep_config::rollout::{
    Action, ConnectedProxy, Event, RECONNECT_TIMEOUT, RESPONSE_TIMEOUT, ReportedVersion, RequestCounts,
    Rollout, StoredRollout,
};
use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{Plan, Refusal};

/// The proxies of one server, and its clock.
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

    /// A server that finds one version under way in its store.
    fn taking_over(now: Timestamp, number: u64, plan: Plan) -> Self {
        let stored = StoredRollout { number, plan, state: State::Rolling, rolls_back_to: 0 };
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
        self.handle(Event::Published { number, plan, rolls_back_to: 0 })
    }

    /// Answers all offers among the actions, and those that follow.
    fn answer(&mut self, actions: Vec<Action>, refusal: Option<&str>) -> Vec<Action> {
        let mut rest = Vec::new();
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            if let Action::Offer { proxy, stream, nonce, .. } = action {
                let refusal = refusal.map(|code| Refusal { code: code.into(), ..Refusal::default() });
                queue.extend(self.handle(Event::Responded { proxy, stream, nonce, refusal }));
            } else {
                rest.push(action);
            }
        }
        rest
    }
}

fn offers(actions: &[Action], number: u64) -> usize {
    let of = |it: &&Action| matches!(it, Action::Offer { number: offered, .. } if *offered == number);
    actions.iter().filter(of).count()
}

fn staged() -> Plan {
    Plan { first: 2, share: 0.5, hold_ms: 1_000, worse_by: 0.05, ..Plan::default() }
}

#[test]
fn a_version_goes_to_canaries_then_a_share_then_all_and_each_stage_holds() {
    let mut fleet = Fleet::new(10);
    let first = fleet.publish(1, staged());
    assert_eq!(offers(&first, 1), 2);
    assert!(fleet.answer(first, None).is_empty());
    fleet.now = at(999.0);
    assert!(fleet.handle(Event::Tick).is_empty(), "the stage has not held yet");
    fleet.now = at(1_000.0);
    let share = fleet.handle(Event::Tick);
    assert_eq!(offers(&share, 1), 3, "half of ten, less those that have it");
    fleet.answer(share, None);
    fleet.now = at(2_000.0);
    let all = fleet.handle(Event::Tick);
    assert_eq!(offers(&all, 1), 5);
    fleet.answer(all, None);
    assert_eq!(fleet.rollout.state(1), Some(State::Rolling));
    fleet.now = at(3_000.0);
    fleet.handle(Event::Tick);
    assert_eq!(fleet.rollout.state(1), Some(State::Complete));
    assert_eq!(offers(&fleet.connect(20, 20, 0), 1), 1, "a newcomer gets it at once");
}

/// The last proxy leaves while the version is held, or a server restarts: no proxy has it, and it is not complete.
#[test]
fn a_version_is_not_complete_while_no_proxy_is_connected() {
    let hold = Plan { hold_ms: 60_000, ..Plan::default() };
    let mut fleet = Fleet::new(1);
    let offered = fleet.publish(1, hold);
    fleet.answer(offered, None);
    fleet.handle(Event::Disconnected { proxy: name(0), stream: 0 });
    fleet.now = at(120_000.0);
    fleet.handle(Event::Tick);
    assert_eq!(fleet.rollout.state(1), Some(State::Rolling));
    let mut next = Fleet::taking_over(at(0.0), 1, hold);
    next.now = at(9_000.0);
    next.handle(Event::Tick);
    assert_eq!(next.rollout.state(1), Some(State::Rolling), "proxies may be on their way here");
    next.connect(0, 0, 0);
    next.now = at(20_000.0);
    next.handle(Event::Tick);
    assert_eq!(next.rollout.state(1), Some(State::Rolling));
}

/// Another server takes the rollout over in its partial stage and continues there, with what counts against it and the
/// time for which the stage has held.
#[test]
fn a_successor_continues_in_the_stage_it_finds() {
    let mut fleet = Fleet::new(10);
    let plan = Plan { refusals: Some(2), ..staged() };
    let first = fleet.publish(1, plan);
    let chosen: Vec<String> = first
        .iter()
        .map(|it| match it {
            Action::Offer { proxy, .. } => proxy.clone(),
            other => panic!("{other:?}"),
        })
        .collect();
    fleet.answer(first[..1].to_vec(), None);
    fleet.answer(first[1..].to_vec(), Some("no-usable-engine"));
    fleet.now = at(1_000.0);
    let share = fleet.handle(Event::Tick);
    fleet.answer(share.clone(), None);
    assert!(!share.is_empty());
    let progress = fleet.rollout.progress().unwrap();
    assert_eq!((progress.step, progress.against.len()), (1, 1));
    let mut next = Fleet::taking_over(at(50.0), 1, plan);
    next.rollout.resume(progress.clone());
    let rejecting = &chosen[1];
    let mut offered_again = Vec::new();
    for proxy in 0..10 {
        let has_version = progress.chosen.contains(&name(proxy)) && name(proxy) != *rejecting;
        let in_force = if has_version { ReportedVersion::Published(1) } else { ReportedVersion::None };
        offered_again.extend(next.connect_with(proxy, 0, in_force, Duration::from_millis(900)));
    }
    let before = next.rollout.progress().unwrap();
    assert_eq!((before.step, before.against.len()), (1, 1), "no stage back, nothing forgotten");
    assert_eq!(offers(&next.handle(Event::Tick), 1), 0, "the stage has held for 900 of 1,000 ms");
    next.now = next.now + Duration::from_millis(100);
    let [Action::Offer { proxy, stream, nonce, .. }] = &offered_again[..] else {
        panic!("{offered_again:?}")
    };
    assert_eq!(proxy, rejecting);
    let refusal = Some(Refusal { code: "no-usable-engine".into(), ..Refusal::default() });
    let (proxy, stream, nonce) = (proxy.clone(), *stream, *nonce);
    let advanced = next.handle(Event::Responded { proxy, stream, nonce, refusal });
    assert!(offers(&advanced, 1) > 0, "and advances once it has held for all of them");
}

#[test]
fn a_rejection_halts_and_restores_the_last_complete_version_under_a_new_number() {
    let mut fleet = Fleet::new(10);
    let all = fleet.publish(1, Plan::default());
    fleet.answer(all, None);
    let first = fleet.publish(2, staged());
    let halted = fleet.answer(first, Some("no-usable-engine"));
    assert!(
        halted.iter().any(|it| matches!(it, Action::RollBack { halted: 2, restored: 1, .. })),
        "{halted:?}"
    );
    assert_eq!(fleet.rollout.state(2), Some(State::Halted));
    assert_eq!(offers(&fleet.handle(Event::Tick), 2), 0);
    let back = fleet.handle(Event::Published { number: 3, plan: staged(), rolls_back_to: 1 });
    assert_eq!(offers(&back, 3), 10, "at once to all");
    let ended = fleet.answer(back, Some("no-usable-engine"));
    assert!(!ended.iter().any(|it| matches!(it, Action::RollBack { .. })), "never back and forth: {ended:?}");
}

#[test]
fn a_proxy_that_never_answers_and_one_that_leaves_with_the_version_count_against_it() {
    for leaves in [false, true] {
        let mut fleet = Fleet::new(4);
        let first = fleet.publish(1, Plan { first: 1, ..staged() });
        let [Action::Offer { proxy, stream, nonce, .. }] = &first[..] else { panic!("{first:?}") };
        let (proxy, stream, nonce) = (proxy.clone(), *stream, *nonce);
        if leaves {
            fleet.handle(Event::Responded { proxy: proxy.clone(), stream, nonce, refusal: None });
            fleet.handle(Event::Disconnected { proxy, stream });
        }
        fleet.now = at(0.0) + RESPONSE_TIMEOUT.max(RECONNECT_TIMEOUT);
        assert!(
            fleet
                .handle(Event::Tick)
                .iter()
                .any(|it| matches!(it, Action::RollBack { halted: 1, restored: 0, .. }))
        );
    }
}

/// A version for all at once is halted too if a part of the fleet rejects it, but not by single proxies of many.
#[test]
fn a_version_for_all_at_once_is_halted_by_more_than_single_rejections() {
    for (refuse, halts) in [(2, false), (3, true)] {
        let mut fleet = Fleet::new(50);
        let offered = fleet.publish(1, Plan::default());
        let (bad, good) = offered.split_at(refuse);
        let seen = fleet.answer(bad.to_vec(), Some("no-usable-engine"));
        assert_eq!(seen.iter().any(|it| matches!(it, Action::RollBack { .. })), halts, "{refuse} of 50");
        fleet.answer(good.to_vec(), None);
    }
}

#[test]
fn request_counts_that_worsen_halt_and_chance_does_not() {
    for (unserved, halts) in [(300, true), (60, false)] {
        let mut fleet = Fleet::new(10);
        let first = fleet.publish(1, staged());
        fleet.answer(first, None);
        let report = |fleet: &mut Fleet, served, unserved: u64| {
            let mut seen = Vec::new();
            for proxy in 0..10 {
                let on = fleet.rollout.proxies()[&name(proxy)].in_force;
                let unserved = if on == 1 { unserved } else { served / 20 };
                let counts = RequestCounts { served, unserved };
                let (proxy, stream, number) = (name(proxy), proxy, on);
                seen.extend(fleet.handle(Event::RequestsCounted { proxy, stream, counts, number }));
            }
            seen
        };
        report(&mut fleet, 0, 0);
        let seen = report(&mut fleet, 1_000, unserved);
        let halted = seen.iter().any(|it| matches!(it, Action::RollBack { halted: 1, .. }));
        assert_eq!(halted, halts, "{unserved} of 1,000 not served");
    }
}

#[test]
fn a_server_from_an_older_backup_offers_nothing_lower_and_numbers_above_what_it_meets() {
    let mut fleet = Fleet::new(0);
    fleet.publish(3, Plan::default());
    assert_eq!(offers(&fleet.connect(0, 0, 7), 3), 0);
    assert!(fleet.rollout.proxies()["n0"].is_ahead);
    assert_eq!(fleet.rollout.next_number(), 8);
    let next = fleet.publish(8, Plan::default());
    assert!(matches!(&next[..], [Action::Offer { number: 8, base: 0, .. }]), "{next:?}");
}

#[test]
fn a_slow_proxy_is_offered_only_the_newest_once_it_answers() {
    let mut fleet = Fleet::new(1);
    let first = fleet.publish(1, Plan::default());
    assert_eq!(offers(&first, 1), 1);
    for number in 2..6 {
        assert_eq!(offers(&fleet.publish(number, Plan::default()), number), 0);
    }
    let mut left = fleet.answer(first, None);
    left.retain(|it| matches!(it, Action::Offer { .. }));
    assert_eq!(fleet.rollout.proxies()["n0"].in_force, 5);
}
