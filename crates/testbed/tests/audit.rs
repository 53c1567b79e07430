//! The audit of requests on runs that keep every rule, and on runs that break each.

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

fn answered(at: f64, id: &str, outcome: RequestOutcome) -> Record {
    Record::Responded { at, id: id.into(), outcome }
}

fn engine_listed(at: f64, engine: &str, phase: Phase) -> Record {
    Record::EngineListed { at, via: "f".into(), engine: engine.into(), phase }
}

/// A run that keeps every rule: with a timeout cancel and relaunch, a load that was rejected and retried, a rejection, a
/// client that left, and an engine that drains.
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
        answered(401.0, "a", RequestOutcome::Served),
        attempt_ended(500.0, "b", "y", AttemptOutcome::Served),
        answered(501.0, "b", RequestOutcome::Served),
        answered(600.0, "c", RequestOutcome::Rejected),
        Record::ClientGone { at: 700.0, id: "d".into() },
        attempt_ended(800.0, "e", "x", AttemptOutcome::Broken),
        answered(801.0, "e", RequestOutcome::Failed),
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

/// Retries of "z" beyond the budget, and the violation.
fn retries_beyond_the_budget() -> (Vec<Record>, Violation) {
    let mut records = vec![requested(5.0, "z", "lookup"), answered(900.0, "z", RequestOutcome::Failed)];
    for number in 0..4 {
        let at = 20.0 + 10.0 * f64::from(number);
        records.extend([
            attempt_started(at, "z", "y"),
            attempt_ended(at + 1.0, "z", "y", AttemptOutcome::Failed),
        ]);
    }
    // Three of "z" and those of "a" and "b" are retries: six requests allow for four.
    (records, Violation::RetryBudgetExceeded { via: "f".into(), at: 301.0, made: 5, allowed: 4.0 })
}

/// More work than an engine can bear that has just started, and the violation.
fn overload_of_an_engine_that_warms_up() -> (Vec<Record>, Violation) {
    let engine = "cold";
    let mut records = vec![Record::EngineStarted { at: 0.0, engine: engine.into(), cores: 1.0 }];
    for number in 0..7 {
        let (id, at) = (format!("p{number}"), 10.0 * f64::from(number));
        records.extend([
            requested(at, &id, "lookup"),
            attempt_started(at, &id, engine),
            attempt_ended(at + 1.0, &id, engine, AttemptOutcome::Served),
            answered(at + 2.0, &id, RequestOutcome::Served),
        ]);
    }
    // 100 ms of work each, and 2 times 0.3 of a core for a second can bear 600.
    let bearable = 2.0 * (0.3 + 0.7 * 60.0 / 10_000.0) * 1_000.0;
    (records, Violation::Overloaded { engine: engine.into(), at: 60.0, times: 700.0 / bearable })
}

/// The valid run with one record more, or less, and the one violation that this is.
#[test]
fn each_broken_rule_is_reported_as_its_violation() {
    let id = |text: &str| text.to_owned();
    let mut cases: Vec<(Vec<Record>, Violation)> = vec![
        (vec![answered(900.0, "a", RequestOutcome::Failed)], Violation::AnsweredTwice { id: id("a") }),
        (vec![requested(5.0, "z", "lookup")], Violation::Unanswered { id: id("z"), due: 1_005.0 }),
        (
            vec![requested(5.0, "z", "lookup"), answered(1_100.0, "z", RequestOutcome::Rejected)],
            Violation::AnsweredLate { id: id("z"), by: 95.0 },
        ),
        (
            vec![requested(5.0, "z", "lookup"), answered(50.0, "z", RequestOutcome::Served)],
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
                answered(50.0, "z", RequestOutcome::Rejected),
            ],
            Violation::RejectedAfterRun { id: id("z") },
        ),
        (
            vec![
                requested(5.0, "z", "lookup"),
                attempt_started(290.0, "z", "x"),
                attempt_ended(295.0, "z", "x", AttemptOutcome::Served),
                answered(299.0, "z", RequestOutcome::Served),
            ],
            Violation::SentToDraining { id: id("z"), engine: id("x"), after: 280.0 },
        ),
    ];
    cases.extend([retries_beyond_the_budget(), overload_of_an_engine_that_warms_up()]);
    for (more, violation) in cases {
        let run = [valid_run(), more].concat();
        assert_eq!(violations(&run), std::slice::from_ref(&violation), "{violation}");
    }
}

/// A forwarder that the test killed owes no answers for its open requests, and all answers for later ones.
#[test]
fn open_requests_of_a_killed_forwarder_are_owed_no_answer() {
    let mut run = vec![requested(0.0, "a", "lookup"), Record::ForwarderKilled { at: 10.0, via: "f".into() }];
    assert_eq!(violations(&run), []);
    run.push(requested(20.0, "b", "lookup"));
    assert_eq!(violations(&run), [Violation::Unanswered { id: "b".into(), due: 1_020.0 }]);
}
