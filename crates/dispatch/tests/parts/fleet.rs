//! The endpoint list, and the subset of a large fleet.

use super::common::entry;
use super::*;
use crate::engines::{AssignedPosition, Fleet};
use crate::policy::WorkEstimator;
use crate::requests::{ClassCorrections, Requests};

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
fn complete_list_removes_missing_engines_and_changes_do_not() {
    let context = safe_class(0.0);
    let mut fleet = listed(&context, 3);
    fleet.on_engine_list(&context, vec![entry(5)], false);
    assert_eq!(fleet.engines.len(), 4);
    fleet.on_engine_list(&context, vec![entry(1)], true);
    assert_eq!(fleet.engines.keys().collect::<Vec<_>>(), [&EngineId(1)]);
}

#[test]
fn engine_added_by_a_change_warms_up_and_one_of_the_first_list_does_not() {
    let context = safe_class(7_000.0);
    let mut fleet = listed(&context, 1);
    fleet.on_engine_list(&context, vec![entry(1)], false);
    assert_eq!(fleet.engines[&EngineId(0)].warm_up.started_at, None);
    assert_eq!(fleet.engines[&EngineId(1)].warm_up.started_at, Some(7_000.0));
}

#[test]
fn restarted_engine_loses_its_history() {
    let context = safe_class(7_000.0);
    let mut fleet = listed(&context, 1);
    let fail_once = |fleet: &mut Fleet| {
        let health = &mut fleet.engines.get_mut(&EngineId(0)).unwrap().health;
        health.on_failure(Outcome::Rejected, 7_000.0);
        health.consecutive_failures
    };
    assert_eq!(fail_once(&mut fleet), 3);
    fleet.on_engine_list(&context, vec![entry(0)], false);
    assert_eq!(fail_once(&mut fleet), 6, "a change of its entry keeps its history");
    let restarted = EngineEntry { started_at: Some(6_000.0), ..entry(0) };
    fleet.on_engine_list(&context, vec![restarted], false);
    assert_eq!(fail_once(&mut fleet), 3);
    assert_eq!(fleet.engines[&EngineId(0)].warm_up.started_at, Some(6_000.0));
}

#[test]
fn few_dispatchers_or_engines_use_no_subset() {
    assert!(!listed(&safe_class(0.0), 40).uses_subset(&safe_class(0.0)));
    assert!(!listed(&many_dispatchers(0.0), 5).uses_subset(&many_dispatchers(0.0)));
    assert!(listed(&many_dispatchers(0.0), 6).uses_subset(&many_dispatchers(0.0)));
}

#[test]
fn ejected_engines_of_the_subset_are_replaced_until_they_return() {
    let work = WorkEstimator { corrections: vec![ClassCorrections::default()] };
    let context = many_dispatchers(0.0);
    let mut fleet = listed(&context, 40);
    fleet.update_statistics(&context, &Requests::default(), &work);
    let members = fleet.subset.available_members.clone();
    assert_eq!(members.len(), 8);
    fleet.engines.get_mut(&members[0]).unwrap().health.ejected_until = 1_000.0;
    let later = many_dispatchers(300.0);
    fleet.update_statistics(&later, &Requests::default(), &work);
    assert_eq!(fleet.subset.available_members.len(), 8);
    assert!(!fleet.subset.available_members.contains(&members[0]));
    let after_ejection = many_dispatchers(1_100.0);
    fleet.update_statistics(&after_ejection, &Requests::default(), &work);
    assert_eq!(fleet.subset.available_members, members);
}

#[test]
fn requests_in_flight_are_summed_by_engine() {
    let (context, work) = (safe_class(0.0), WorkEstimator { corrections: vec![ClassCorrections::default()] });
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
    fleet.update_statistics(&context, &requests.collect(), &work);
    assert_eq!(fleet.engines[&EngineId(0)].own_load.queries, 2.0);
    assert_eq!(fleet.engines[&EngineId(1)].own_load.queries, 0.0);
}

#[test]
fn assigned_position_is_valid_until_its_time() {
    let mut fleet = Fleet::default();
    let (assigned, from_settings) = (FleetPosition::NameKey(5), FleetPosition::NameKey(1));
    fleet.subset.assigned = Some(AssignedPosition { position: assigned, until: 100.0 });
    assert_eq!(fleet.subset.position(99.0, from_settings), assigned);
    assert_eq!(fleet.subset.position(100.0, from_settings), from_settings);
}
