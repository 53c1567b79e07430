//! The model of an engine: no work is made or lost, and what the brief says of engines holds.

use gaugestep_testbed::engine::{Engine, Query, Shape};
use proptest::prelude::*;

fn query(work: f64) -> Query {
    Query { work, threads: 1.0, set: 1, load: false, waits: false, priority: 1 }
}

fn engine(cores: f64) -> Engine<u32> {
    Engine::start(0.0, Shape { cores, warm_gain: 0.0, ..Shape::default() }, true)
}

#[test]
fn a_query_alone_takes_its_work_over_its_threads_and_many_share_the_cores() {
    let mut alone = engine(2.0);
    assert!(alone.take(0.0, 1, Query { threads: 2.0, ..query(100.0) }));
    assert_eq!(alone.ended(1_000.0), [(50.0, 1)]);
    let mut shared = engine(2.0);
    for id in 0..3 {
        assert!(shared.take(0.0, id, query(100.0)));
    }
    let ends = shared.ended(1_000.0);
    assert!(ends.iter().all(|(at, _)| (at - 150.0).abs() < 1e-6), "{ends:?}");
}

#[test]
fn a_cold_engine_is_slow_and_a_crowded_one_gets_less_done_in_all() {
    let mut cold: Engine<u32> = Engine::start(0.0, Shape { warm_gain: 0.0, ..Shape::default() }, false);
    cold.take(0.0, 1, query(34.0));
    assert!((cold.next_end().unwrap().0 - 100.0).abs() < 1e-6);
    let done = |queries: u32| {
        let mut engine = engine(2.0);
        for id in 0..queries {
            engine.take(0.0, id, query(1e6));
        }
        engine.ended(1_000.0);
        engine.done()
    };
    assert!((done(2) - 2_000.0).abs() < 1e-6 && (done(3) - 2_000.0).abs() < 1e-6);
    assert!((done(8) - 1_000.0).abs() < 1e-6, "far beyond the knee half of it is lost");
}

#[test]
fn priorities_share_short_cores_one_to_sixteen() {
    let shape = Shape { cores: 1.0, knee: 4.0, warm_gain: 0.0, ..Shape::default() };
    let mut engine: Engine<u32> = Engine::start(0.0, shape, true);
    engine.take(0.0, 1, Query { priority: 0, ..query(1_700.0) });
    engine.take(0.0, 2, Query { priority: 3, ..query(1_600.0) });
    assert_eq!(engine.next_end().map(|(at, id)| (at.round(), id)), Some((1_700.0, 2)));
    engine.weigh(850.0, &1, 3);
    // 800 are left of the one and 1,650 of the other, evenly shared from here on.
    assert_eq!(engine.next_end().map(|(at, id)| (at.round(), id)), Some((2_450.0, 2)));
}

#[test]
fn a_load_holds_its_data_set_and_what_waits_for_it_goes_on_when_it_is_called_off() {
    let mut engine = engine(8.0);
    let load = Query { load: true, ..query(500.0) };
    engine.take(0.0, 1, load.clone());
    engine.take(0.0, 2, load.clone());
    engine.take(0.0, 3, Query { waits: true, ..query(100.0) });
    engine.take(0.0, 4, Query { load: true, set: 2, ..query(100.0) });
    assert_eq!(engine.ended(400.0), [(100.0, 4)]);
    assert!(engine.cancel(400.0, &1) && !engine.cancel(400.0, &1));
    assert_eq!(engine.ended(2_000.0), [(900.0, 2), (1_000.0, 3)]);
}

#[test]
fn a_full_engine_turns_away_and_a_warm_data_set_saves_work() {
    let shape = Shape { sessions: 2, warm_gain: 0.5, ..Shape::default() };
    let mut engine: Engine<u32> = Engine::start(0.0, shape, true);
    assert!(engine.take(0.0, 1, query(100.0)) && engine.take(0.0, 2, query(100.0)));
    assert!(!engine.take(0.0, 3, query(100.0)));
    assert_eq!(engine.ended(1_000.0), [(50.0, 2), (100.0, 1)], "the second found its data set warm");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is taken, called off and weighed when: each ends once or is called off, all work is done, no more than
    /// the cores can do in the time, and the same again gives the same to the bit.
    #[test]
    fn work_is_neither_made_nor_lost(
        steps in prop::collection::vec((0.0..200.0f64, 0u8..4, 1.0..400.0f64, 1.0..4.0f64, 0u64..3), 1..60),
    ) {
        let run = || {
            let mut engine: Engine<u32> = Engine::start(0.0, Shape { sessions: 20, warm_gain: 0.0, ..Shape::default() }, false);
            let (mut now, mut taken, mut ended, mut off) = (0.0, Vec::new(), Vec::new(), Vec::new());
            for (number, (wait, what, work, threads, set)) in steps.iter().enumerate() {
                now += wait;
                ended.extend(engine.ended(now));
                match what {
                    0 => off.extend(taken.get(number / 2).filter(|id| engine.cancel(now, id)).copied()),
                    1 => engine.weigh(now, &(number as u32 / 2), 3),
                    _ => {
                        let (load, waits) = (number % 5 == 0, number % 2 == 0);
                        let query = Query { work: *work, threads: *threads, set: *set, load, waits, priority: 1 };
                        if engine.take(now, number as u32, query) {
                            taken.push(number as u32);
                        }
                    }
                }
            }
            ended.extend(engine.ended(1e7));
            (taken, ended, off, engine.held(), engine.done())
        };
        let (taken, ended, off, held, done) = run();
        prop_assert_eq!(run(), (taken.clone(), ended.clone(), off.clone(), held, done));
        prop_assert_eq!(held, 0);
        prop_assert_eq!(ended.len() + off.len(), taken.len());
        prop_assert!(ended.is_sorted_by(|a, b| a.0 <= b.0));
        let works = |id: &u32| steps[*id as usize].2;
        let whole: f64 = ended.iter().map(|(_, id)| works(id)).sum();
        let most: f64 = taken.iter().map(works).sum();
        prop_assert!(done >= whole - 1e-3 && done <= most + 1e-3, "{} done, {} ended, {} taken", done, whole, most);
    }
}
