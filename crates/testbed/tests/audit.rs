//! Tests of the request audit on a run without violations and on runs with one violation each.

use gaugestep_testbed::audit::{Effect, RetryBudget, Rules, SlowStartRule, Violation, audit};
use gaugestep_testbed::record::{AttemptOutcome, Phase, Record, RequestOutcome, read, write};

fn rules() -> Rules {
    let classes = [("lookup".to_owned(), Effect::Safe), ("load".to_owned(), Effect::Unsafe)];
    Rules {
        classes: classes.into(),
        response_slack_ms: 20.0,
        drain_grace_ms: 250.0,
        retry_budget: Some(RetryBudget { base: 1.0, ratio: 0.5, window_ms: 5_000.0 }),
        slow_start: Some(SlowStartRule {
            initial_fraction: 0.3,
            warm_up_ms: 10_000.0,
            capacity_multiple: 2.0,
            window_ms: 1_000.0,
        }),
        clock_skew_ms: 5.0,
    }
}

fn requested(at: f64, id: &str, class: &str) -> Record {
    Record::Requested { at, via: "f".into(), id: id.into(), class: class.into(), budget: 1_000.0 }
}

fn attempt_started(at: f64, id: &str, engine: &str) -> Record {
    Record::AttemptStarted { at, engine: engine.into(), via: "f".into(), id: id.into(), work: 100.0 }
}

fn attempt_ended(at: f64, id: &str, engine: &str, outcome: AttemptOutcome) -> Record {
    Record::AttemptEnded { at, engine: engine.into(), id: id.into(), outcome }
}

fn responded(at: f64, id: &str, outcome: RequestOutcome) -> Record {
    Record::Responded { at, id: id.into(), outcome }
}

fn engine_listed(at: f64, engine: &str, phase: Phase) -> Record {
    Record::EngineListed { at, via: "f".into(), engine: engine.into(), phase }
}

/// A run without violations. It contains a timeout cancel with a relaunch, a load that was rejected by an
/// engine and retried, a rejected request, a client that disconnected, and an engine that drains.
fn valid_run() -> Vec<Record> {
    vec![
        requested(0.0, "a", "lookup"),
        requested(0.0, "b", "load"),
        requested(0.0, "c", "lookup"),
        requested(0.0, "d", "lookup"),
        requested(0.0, "e", "load"),
        attempt_started(1.0, "a", "x"),
        attempt_started(1.0, "b", "x"),
        attempt_ended(2.0, "b", "x", AttemptOutcome::Rejected),
        attempt_started(3.0, "b", "y"),
        engine_listed(10.0, "x", Phase::Draining),
        attempt_started(200.0, "e", "x"),
        attempt_ended(300.0, "a", "x", AttemptOutcome::Cancelled),
        attempt_started(301.0, "a", "y"),
        attempt_ended(400.0, "a", "y", AttemptOutcome::Served),
        responded(401.0, "a", RequestOutcome::Served),
        attempt_ended(500.0, "b", "y", AttemptOutcome::Served),
        responded(501.0, "b", RequestOutcome::Served),
        responded(600.0, "c", RequestOutcome::Rejected),
        Record::ClientGone { at: 700.0, id: "d".into() },
        attempt_ended(800.0, "e", "x", AttemptOutcome::Broken),
        responded(801.0, "e", RequestOutcome::Failed),
    ]
}

fn violations(records: &[Record]) -> Vec<Violation> {
    audit(records, &rules()).0
}

#[test]
fn a_valid_run_has_no_violation_and_its_counts_do_not_depend_on_the_order_of_records() {
    let mut run = valid_run();
    let (found, counts) = audit(&run, &rules());
    assert_eq!(found, []);
    assert_eq!(
        (counts.requested, counts.served, counts.rejected, counts.failed, counts.client_gone),
        (5, 2, 1, 1, 1)
    );
    assert_eq!(counts.attempts, 5);
    run.sort_by_key(|record| (record.at() * 7.0) as u64 % 13);
    assert_eq!(violations(&run), []);
    assert_eq!(read(&write(&run)).unwrap(), run);
    assert!(read("{\"event\":\"requested\"}\n").unwrap_err().to_string().starts_with("line 1:"));
}

/// Records of more retries of the request "z" than the budget allows, and the expected violation.
fn retries_beyond_the_budget() -> (Vec<Record>, Violation) {
    let mut records = vec![requested(5.0, "z", "lookup"), responded(900.0, "z", RequestOutcome::Failed)];
    for number in 0..4 {
        let at = 20.0 + 10.0 * f64::from(number);
        records.extend([
            attempt_started(at, "z", "y"),
            attempt_ended(at + 1.0, "z", "y", AttemptOutcome::Failed),
        ]);
    }
    // The retries are three of "z", one of "a" and one of "b". The base of 1 and six requests allow 4.
    (records, Violation::RetryBudgetExceeded { via: "f".into(), at: 301.0, retries: 5, allowed: 4.0 })
}

/// Records of more work for an engine that has just started than the rule allows, and the expected violation.
fn overload_of_an_engine_that_warms_up() -> (Vec<Record>, Violation) {
    let engine = "new";
    let mut records = vec![Record::EngineStarted { at: 0.0, engine: engine.into(), cores: 1.0 }];
    for number in 0..7 {
        let (id, at) = (format!("p{number}"), 10.0 * f64::from(number));
        records.extend([
            requested(at, &id, "lookup"),
            attempt_started(at, &id, engine),
            attempt_ended(at + 1.0, &id, engine, AttemptOutcome::Served),
            responded(at + 2.0, &id, RequestOutcome::Served),
        ]);
    }
    // Each attempt is 100 ms of work; 2 times 0.3 of a core for one second allow 600 ms.
    let allowed = 2.0 * (0.3 + 0.7 * 60.0 / 10_000.0) * 1_000.0;
    (records, Violation::Overloaded { engine: engine.into(), at: 60.0, ratio: 700.0 / allowed })
}

/// Each case adds records to the valid run and names the only violation that the audit must then report.
#[test]
fn each_violated_rule_is_reported_as_its_violation() {
    let id = |text: &str| text.to_owned();
    let mut cases: Vec<(Vec<Record>, Violation)> = vec![
        (vec![responded(900.0, "a", RequestOutcome::Failed)], Violation::RespondedTwice { id: id("a") }),
        (vec![requested(5.0, "z", "lookup")], Violation::MissingResponse { id: id("z"), deadline: 1_005.0 }),
        (
            vec![requested(5.0, "z", "lookup"), responded(1_100.0, "z", RequestOutcome::Rejected)],
            Violation::RespondedLate { id: id("z"), late_by_ms: 95.0 },
        ),
        (
            vec![requested(5.0, "z", "lookup"), responded(50.0, "z", RequestOutcome::Served)],
            Violation::ServedByNoEngine { id: id("z") },
        ),
        (
            vec![attempt_started(350.0, "a", "w")],
            Violation::ConcurrentAttempts { id: id("a"), engines: [id("y"), id("w")] },
        ),
        (vec![attempt_started(820.0, "e", "y")], Violation::RanTwice { id: id("e") }),
        (
            vec![
                requested(5.0, "z", "load"),
                attempt_started(6.0, "z", "y"),
                responded(50.0, "z", RequestOutcome::Rejected),
            ],
            Violation::RejectedAfterRun { id: id("z") },
        ),
        (
            vec![
                requested(5.0, "z", "lookup"),
                attempt_started(290.0, "z", "x"),
                attempt_ended(295.0, "z", "x", AttemptOutcome::Served),
                responded(299.0, "z", RequestOutcome::Served),
            ],
            Violation::SentToDraining { id: id("z"), engine: id("x"), delay_ms: 280.0 },
        ),
    ];
    cases.extend([retries_beyond_the_budget(), overload_of_an_engine_that_warms_up()]);
    for (added, violation) in cases {
        let run = [valid_run(), added].concat();
        assert_eq!(violations(&run), std::slice::from_ref(&violation), "{violation}");
    }
}

/// When a forwarder is killed, its open requests need no response, but later requests do.
#[test]
fn open_requests_of_a_killed_forwarder_need_no_response() {
    let mut run = vec![requested(0.0, "a", "lookup"), Record::ForwarderKilled { at: 10.0, via: "f".into() }];
    assert_eq!(violations(&run), []);
    run.push(requested(20.0, "b", "lookup"));
    assert_eq!(violations(&run), [Violation::MissingResponse { id: "b".into(), deadline: 1_020.0 }]);
}
