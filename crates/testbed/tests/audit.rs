//! The auditor on runs that keep every rule, and on runs that break each.

use gaugestep_testbed::audit::{Breach, Cold, Effect, Rules, audit};
use gaugestep_testbed::record::{Answer, End, Phase, Record, read, write};

fn rules() -> Rules {
    let classes = [("lookup".to_owned(), Effect::Safe), ("load".to_owned(), Effect::Unsafe)];
    Rules {
        classes: classes.into(),
        answer_slack: 20.0,
        drain_grace: 250.0,
        ration: Some((1.0, 0.5, 5_000.0)),
        cold: Some(Cold { share: 0.3, warm_within: 10_000.0, multiple: 2.0, span: 1_000.0 }),
        skew: 5.0,
    }
}

fn asked(at: f64, id: &str, class: &str) -> Record {
    Record::Asked { at, via: "f".into(), id: id.into(), class: class.into(), budget: 1_000.0 }
}

fn took(at: f64, id: &str, engine: &str) -> Record {
    Record::Took { at, engine: engine.into(), via: "f".into(), id: id.into(), work: 100.0 }
}

fn ended(at: f64, id: &str, engine: &str, how: End) -> Record {
    Record::Ended { at, engine: engine.into(), id: id.into(), how }
}

fn answered(at: f64, id: &str, how: Answer) -> Record {
    Record::Answered { at, id: id.into(), how }
}

fn listed(at: f64, engine: &str, phase: Phase) -> Record {
    Record::Listed { at, via: "f".into(), engine: engine.into(), phase }
}

/// A run that keeps every rule, with a cut and relaunch, a load that was shed and went again, a refusal, a client that
/// left, and an engine that drains.
fn clean() -> Vec<Record> {
    vec![
        asked(0.0, "a", "lookup"),
        asked(0.0, "b", "load"),
        asked(0.0, "c", "lookup"),
        asked(0.0, "d", "lookup"),
        asked(0.0, "e", "load"),
        took(1.0, "a", "x"),
        took(1.0, "b", "x"),
        ended(2.0, "b", "x", End::Shed),
        took(3.0, "b", "y"),
        listed(10.0, "x", Phase::Draining),
        took(200.0, "e", "x"),
        ended(300.0, "a", "x", End::Cancelled),
        took(301.0, "a", "y"),
        ended(400.0, "a", "y", End::Served),
        answered(401.0, "a", Answer::Served),
        ended(500.0, "b", "y", End::Served),
        answered(501.0, "b", Answer::Served),
        answered(600.0, "c", Answer::Refused),
        Record::Left { at: 700.0, id: "d".into() },
        ended(800.0, "e", "x", End::Broken),
        answered(801.0, "e", Answer::Failed),
    ]
}

fn breaches(records: &[Record]) -> Vec<Breach> {
    audit(records, &rules()).0
}

#[test]
fn a_clean_run_has_no_breach_and_is_counted_in_any_order() {
    let mut run = clean();
    let (found, counts) = audit(&run, &rules());
    assert_eq!(found, []);
    assert_eq!((counts.asked, counts.served, counts.refused, counts.failed, counts.left), (5, 2, 1, 1, 1));
    assert_eq!(counts.attempts, 5);
    run.sort_by_key(|record| (record.at() * 7.0) as u64 % 13);
    assert_eq!(breaches(&run), []);
    assert_eq!(read(&write(&run)).unwrap(), run);
    assert!(read("{\"what\":\"asked\"}\n").unwrap_err().starts_with("line 1:"));
}

/// The clean run with one thing more, or less, and the one breach that this is.
#[test]
fn each_rule_that_is_broken_is_named() {
    let id = |text: &str| text.to_owned();
    let mut cases: Vec<(Vec<Record>, Breach)> = vec![
        (vec![answered(900.0, "a", Answer::Failed)], Breach::AnsweredTwice { id: id("a") }),
        (vec![asked(5.0, "z", "lookup")], Breach::Unanswered { id: id("z"), due: 1_005.0 }),
        (
            vec![asked(5.0, "z", "lookup"), answered(1_100.0, "z", Answer::Refused)],
            Breach::AnsweredLate { id: id("z"), by: 95.0 },
        ),
        (
            vec![asked(5.0, "z", "lookup"), answered(50.0, "z", Answer::Served)],
            Breach::ServedByNobody { id: id("z") },
        ),
        (vec![took(350.0, "a", "w")], Breach::TwoOut { id: id("a"), engines: (id("y"), id("w")) }),
        (vec![took(820.0, "e", "y")], Breach::RanTwice { id: id("e") }),
        (
            vec![asked(5.0, "z", "load"), took(6.0, "z", "y"), answered(50.0, "z", Answer::Refused)],
            Breach::RefusedAfterRun { id: id("z") },
        ),
        (
            vec![
                asked(5.0, "z", "lookup"),
                took(290.0, "z", "x"),
                ended(295.0, "z", "x", End::Served),
                answered(299.0, "z", Answer::Served),
            ],
            Breach::SentToDraining { id: id("z"), engine: id("x"), after: 280.0 },
        ),
    ];
    let ration = (0..4).flat_map(|again| {
        let at = 20.0 + 10.0 * f64::from(again);
        vec![took(at, "z", "y"), ended(at + 1.0, "z", "y", End::Errored)]
    });
    let mut over = vec![asked(5.0, "z", "lookup"), answered(900.0, "z", Answer::Failed)];
    over.extend(ration);
    // Three of "z" and those of "a" and "b" are beyond the first: six requests allow for four.
    cases.push((over, Breach::OverRation { via: id("f"), at: 301.0, made: 5, allowed: 4.0 }));
    let mut pushed = vec![Record::Started { at: 0.0, engine: id("cold"), cores: 1.0 }];
    for number in 0..7 {
        let (id, at) = (format!("p{number}"), 10.0 * f64::from(number));
        pushed.extend([
            asked(at, &id, "lookup"),
            took(at, &id, "cold"),
            ended(at + 1.0, &id, "cold", End::Served),
        ]);
        pushed.push(answered(at + 2.0, &id, Answer::Served));
    }
    // 100 ms of work each, and 2 times 0.3 of a core for a second bears 600.
    let bears = 2.0 * (0.3 + 0.7 * 60.0 / 10_000.0) * 1_000.0;
    cases.push((pushed, Breach::PushedOver { engine: id("cold"), at: 60.0, times: 700.0 / bears }));
    for (more, breach) in cases {
        let run = [clean(), more].concat();
        assert_eq!(breaches(&run), std::slice::from_ref(&breach), "{breach}");
    }
}

/// A forwarder that the test killed owes nothing for what it had open, and everything for what came later.
#[test]
fn what_a_killed_forwarder_had_open_is_owed_nothing() {
    let mut run = vec![asked(0.0, "a", "lookup"), Record::Killed { at: 10.0, via: "f".into() }];
    assert_eq!(breaches(&run), []);
    run.push(asked(20.0, "b", "lookup"));
    assert_eq!(breaches(&run), [Breach::Unanswered { id: "b".into(), due: 1_020.0 }]);
}
