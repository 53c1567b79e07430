//! Tests of the facade with a real dispatcher: pick, report, deadlines, disconnecting clients and timers.

use std::sync::Arc;

use gaugestep_dispatch::interface::{
    AttemptNo, CellId, ClassId, EngineEntry, EngineId, MachineTypeId, Millis, NewRequest, Outcome, Readiness,
    TableSetId, TenantId, ZoneId,
};
use serde_json::json;

use super::mailbox::{AttemptReport, Mailbox, NextStep, RequestEvent};
use super::timers::{ClockTime, Timer, TimerQueue};
use super::{Facade, request_id};

/// Type of the upstream events; no engine reports any in these tests.
type NoUpstream = ();

fn facade() -> Arc<Facade<NoUpstream>> {
    let settings = gaugestep_settings::decode(&json!({
        "services": [{ "name": "report", "effect": "safe" }],
        "kinds": ["large"],
        "family_info": { "size_cores": [8], "ram_of_kind_mb": [16384] },
        "limits": { "max_attempts": 2, "cancelling": true },
    }));
    let facade = Facade::new(settings.unwrap(), 1).unwrap();
    Arc::new(facade)
}

fn engine() -> EngineEntry {
    EngineEntry {
        engine: EngineId(4),
        zone: ZoneId(0),
        machine_type: MachineTypeId(0),
        cell: CellId(0),
        readiness: Readiness::Up,
        started_at: None,
        name_key: 1,
    }
}

fn request(id: &str, deadline: Millis) -> NewRequest {
    NewRequest {
        id: request_id(id),
        class: ClassId(0),
        tenant: TenantId(0),
        deadline,
        estimate: 10.0,
        memory_mb: 1.0,
        tables: TableSetId(0),
        order_key: None,
    }
}

fn run_ticker(facade: &Arc<Facade<NoUpstream>>) {
    let facade = facade.clone();
    std::thread::spawn(move || facade.run_ticker());
}

#[test]
fn a_request_is_sent_and_finishes_once_it_is_served() {
    let facade = facade();
    facade.update_engines(vec![engine()], true);
    let mailbox = Mailbox::new();
    let step = facade.pick(request("a", 60_000.0), &mailbox);
    let NextStep::Send(order) = step else { panic!("{step:?}") };
    assert_eq!((order.engine, order.attempt), (EngineId(4), AttemptNo(0)));
    let id = request_id("a");
    assert_eq!(facade.report(&id, AttemptReport::outcome(Outcome::Served), &mailbox), NextStep::Finished);
    assert_eq!(facade.report(&id, AttemptReport::outcome(Outcome::Served), &mailbox), NextStep::Finished);
}

#[test]
fn a_request_whose_id_is_open_is_not_accepted() {
    let facade = facade();
    facade.update_engines(vec![engine()], true);
    let mailbox = Mailbox::new();
    assert!(matches!(facade.pick(request("a", 60_000.0), &mailbox), NextStep::Send(_)));
    assert_eq!(facade.pick(request("a", 60_000.0), &Mailbox::new()), NextStep::Duplicate);
    let step = facade.report(&request_id("a"), AttemptReport::outcome(Outcome::Served), &mailbox);
    assert_eq!(step, NextStep::Finished);
}

#[test]
fn a_request_without_engines_is_rejected() {
    let facade = facade();
    run_ticker(&facade);
    let step = facade.pick(request("a", facade.now() + 100.0), &Mailbox::new());
    assert!(matches!(step, NextStep::Reject(_)), "{step:?}");
}

#[test]
fn the_coroutine_of_an_attempt_in_flight_is_notified_of_the_deadline() {
    let facade = facade();
    facade.update_engines(vec![engine()], true);
    run_ticker(&facade);
    let mailbox = Mailbox::new();
    assert!(matches!(facade.pick(request("a", facade.now() + 100.0), &mailbox), NextStep::Send(_)));
    while !matches!(mailbox.next(), RequestEvent::Deadline(AttemptNo(0))) {}
}

#[test]
fn limiting_deadlines_shortens_those_that_are_later() {
    let facade = facade();
    facade.update_engines(vec![engine()], true);
    run_ticker(&facade);
    let mailbox = Mailbox::new();
    assert!(matches!(facade.pick(request("a", 3_600_000.0), &mailbox), NextStep::Send(_)));
    facade.limit_deadlines(facade.now() + 50.0);
    while !matches!(mailbox.next(), RequestEvent::Deadline(AttemptNo(0))) {}
}

#[test]
fn a_disconnect_before_the_first_step_closes_the_request() {
    let facade = facade();
    let mailbox = Mailbox::new();
    mailbox.sender().send(RequestEvent::ClientGone).unwrap();
    assert_eq!(facade.pick(request("a", 60_000.0), &mailbox), NextStep::Finished);
    facade.update_engines(vec![engine()], true);
    assert!(matches!(facade.pick(request("a", 60_000.0), &Mailbox::new()), NextStep::Send(_)));
}

#[test]
fn timers_fire_in_order_and_never_early() {
    let mut timers = TimerQueue::default();
    let deadline = || Timer::Deadline(request_id("a"));
    timers.set(2.0, Timer::RunPending);
    timers.set(2.0, deadline());
    timers.set(1.0001, Timer::RunPending);
    assert_eq!(timers.next_at(), ClockTime::from_millis(1.001));
    assert_eq!(timers.pop_due(1.0), None);
    assert_eq!(timers.pop_due(1.001), Some(Timer::RunPending));
    assert_eq!(timers.pop_due(1.5), None);
    assert_eq!(timers.pop_due(3.0), Some(deadline()));
    timers.clear(2.0, Timer::RunPending);
    assert_eq!(timers.pop_due(3.0), None);
    assert_eq!(timers.next_at(), ClockTime::NEVER);
}

#[test]
fn the_final_response_is_found_behind_earlier_events() {
    let mailbox: Mailbox<NoUpstream> = Mailbox::new();
    let sender = mailbox.sender();
    sender.send(RequestEvent::Deadline(AttemptNo(0))).unwrap();
    sender.send(RequestEvent::Fail).unwrap();
    assert_eq!(mailbox.take_final_response(), NextStep::Fail);
    assert_eq!(mailbox.take_final_response(), NextStep::Finished);
}
