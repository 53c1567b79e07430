//! The list of engines, and the subset of a large fleet.

use super::common::entry;
use super::*;
use crate::engines::{Fleet, GrantedPosition};
use crate::policy::WorkEstimator;
use crate::requests::{ClassWork, Requests};

fn listed(context: &Context, engines: u32) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.on_engine_list(context, (0..engines).map(entry).collect(), true);
    fleet
}

fn many_dispatchers(now: Millis) -> Context {
    let mut context = safe_class(now);
    context.settings.dispatchers = 100;
    context
}

#[test]
fn complete_list_drops_what_is_missing_and_changes_do_not() {
    let context = safe_class(0.0);
    let mut fleet = listed(&context, 3);
    fleet.on_engine_list(&context, vec![entry(5)], false);
    assert_eq!(fleet.engines.len(), 4);
    fleet.on_engine_list(&context, vec![entry(1)], true);
    assert_eq!(fleet.engines.keys().collect::<Vec<_>>(), [&EngineId(1)]);
}

#[test]
fn engine_that_turns_up_later_warms_up_and_one_of_the_first_list_does_not() {
    let context = safe_class(7_000.0);
    let mut fleet = listed(&context, 1);
    fleet.on_engine_list(&context, vec![entry(1)], false);
    assert_eq!(fleet.engines[&EngineId(0)].warm_up.started_at, None);
    assert_eq!(fleet.engines[&EngineId(1)].warm_up.started_at, Some(7_000.0));
}

#[test]
fn restarted_engine_is_a_new_one() {
    let context = safe_class(7_000.0);
    let mut fleet = listed(&context, 1);
    let health = |fleet: &mut Fleet| {
        let health = &mut fleet.engines.get_mut(&EngineId(0)).unwrap().health;
        health.on_failure(Outcome::Rejected, 7_000.0);
        health.consecutive_failures
    };
    assert_eq!(health(&mut fleet), 3);
    fleet.on_engine_list(&context, vec![entry(0)], false);
    assert_eq!(health(&mut fleet), 6, "a change of its line keeps what is known");
    let restarted = EngineEntry { started_at: Some(6_000.0), ..entry(0) };
    fleet.on_engine_list(&context, vec![restarted], false);
    assert_eq!(health(&mut fleet), 3);
    assert_eq!(fleet.engines[&EngineId(0)].warm_up.started_at, Some(6_000.0));
}

#[test]
fn few_dispatchers_or_engines_draw_from_all() {
    assert!(!listed(&safe_class(0.0), 40).is_wide(&safe_class(0.0)));
    assert!(!listed(&many_dispatchers(0.0), 5).is_wide(&many_dispatchers(0.0)));
    assert!(listed(&many_dispatchers(0.0), 6).is_wide(&many_dispatchers(0.0)));
}

#[test]
fn ejected_engines_of_the_subset_are_replaced_for_a_while() {
    let work = WorkEstimator(vec![ClassWork::default()]);
    let context = many_dispatchers(0.0);
    let mut fleet = listed(&context, 40);
    fleet.update(&context, &Requests::default(), &work);
    let members = fleet.subset.members.clone();
    assert_eq!(members.len(), 8);
    fleet.engines.get_mut(&members[0]).unwrap().health.ejected_until = 1_000.0;
    let later = many_dispatchers(300.0);
    fleet.update(&later, &Requests::default(), &work);
    assert_eq!(fleet.subset.members.len(), 8);
    assert!(!fleet.subset.members.contains(&members[0]));
    let back = many_dispatchers(1_100.0);
    fleet.update(&back, &Requests::default(), &work);
    assert_eq!(fleet.subset.members, members);
}

#[test]
fn requests_in_flight_are_summed_by_engine() {
    let (context, work) = (safe_class(0.0), WorkEstimator(vec![ClassWork::default()]));
    let mut fleet = listed(&context, 2);
    let mut cancelled = Attempt::new(EngineId(0), 0.0);
    cancelled.timeout_cancelled = true;
    let attempts = [
        Attempt::new(EngineId(0), 0.0),
        Attempt::new(EngineId(0), 0.0),
        ended(0, 0.0, Outcome::Failed),
        cancelled,
    ];
    let requests = (0..).zip(attempts).map(|(number, attempt)| {
        let request = Request { attempts: vec![attempt], ..open_request(number) };
        (request.new.id.clone(), request)
    });
    fleet.update(&context, &requests.collect(), &work);
    assert_eq!(fleet.engines[&EngineId(0)].own.queries, 2.0);
    assert_eq!(fleet.engines[&EngineId(1)].own.queries, 0.0);
}

#[test]
fn granted_position_holds_until_its_time() {
    let mut fleet = Fleet::default();
    let (granted, own) = (FleetPosition::NameKey(5), FleetPosition::NameKey(1));
    fleet.subset.granted = Some(GrantedPosition { position: granted, until: 100.0 });
    assert_eq!(fleet.subset.position(99.0, own), granted);
    assert_eq!(fleet.subset.position(100.0, own), own);
}
