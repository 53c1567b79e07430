//! The model of an engine: no work is made or lost, and what the platform states of engines holds.

use gaugestep_testbed::engine_model::{EngineModel, EngineProfile, Query};
use proptest::prelude::*;

fn query(work: f64) -> Query {
    Query { work, threads: 1.0, data_set: 1, is_load: false, waits_for_loads: false, priority: 1 }
}

fn engine(cores: f64) -> EngineModel<u32> {
    EngineModel::start(0.0, EngineProfile { cores, cache_gain: 0.0, ..EngineProfile::default() }, true)
}

#[test]
fn a_query_alone_takes_its_work_over_its_threads_and_several_share_the_cores() {
    let mut alone = engine(2.0);
    assert!(alone.submit(0.0, 1, Query { threads: 2.0, ..query(100.0) }));
    assert_eq!(alone.take_completed(1_000.0), [(50.0, 1)]);
    let mut shared = engine(2.0);
    for id in 0..3 {
        assert!(shared.submit(0.0, id, query(100.0)));
    }
    let ends = shared.take_completed(1_000.0);
    assert!(ends.iter().all(|(at, _)| (at - 150.0).abs() < 1e-6), "{ends:?}");
}

#[test]
fn an_engine_that_warms_up_is_slow_and_an_overloaded_one_loses_throughput() {
    let mut cold: EngineModel<u32> =
        EngineModel::start(0.0, EngineProfile { cache_gain: 0.0, ..EngineProfile::default() }, false);
    cold.submit(0.0, 1, query(34.0));
    assert!((cold.next_completion().unwrap().0 - 100.0).abs() < 1e-6);
    let done = |queries: u32| {
        let mut engine = engine(2.0);
        for id in 0..queries {
            engine.submit(0.0, id, query(1e6));
        }
        engine.take_completed(1_000.0);
        engine.work_done()
    };
    assert!((done(2) - 2_000.0).abs() < 1e-6 && (done(3) - 2_000.0).abs() < 1e-6);
    assert!((done(8) - 1_000.0).abs() < 1e-6, "far beyond the knee half of it is lost");
}

#[test]
fn priorities_share_scarce_cores_one_to_sixteen() {
    let profile = EngineProfile { cores: 1.0, knee: 4.0, cache_gain: 0.0, ..EngineProfile::default() };
    let mut engine: EngineModel<u32> = EngineModel::start(0.0, profile, true);
    engine.submit(0.0, 1, Query { priority: 0, ..query(1_700.0) });
    engine.submit(0.0, 2, Query { priority: 3, ..query(1_600.0) });
    assert_eq!(engine.next_completion().map(|(at, id)| (at.round(), id)), Some((1_700.0, 2)));
    engine.set_priority(850.0, &1, 3);
    // 800 are left of the one and 1,650 of the other, evenly shared from here on.
    assert_eq!(engine.next_completion().map(|(at, id)| (at.round(), id)), Some((2_450.0, 2)));
}

#[test]
fn a_load_locks_its_data_set_and_waiting_queries_proceed_when_it_is_cancelled() {
    let mut engine = engine(8.0);
    let load = Query { is_load: true, ..query(500.0) };
    engine.submit(0.0, 1, load.clone());
    engine.submit(0.0, 2, load.clone());
    engine.submit(0.0, 3, Query { waits_for_loads: true, ..query(100.0) });
    engine.submit(0.0, 4, Query { is_load: true, data_set: 2, ..query(100.0) });
    assert_eq!(engine.take_completed(400.0), [(100.0, 4)]);
    assert!(engine.cancel(400.0, &1) && !engine.cancel(400.0, &1));
    assert_eq!(engine.take_completed(2_000.0), [(900.0, 2), (1_000.0, 3)]);
}

#[test]
fn an_engine_at_its_session_limit_rejects_and_a_cached_data_set_saves_work() {
    let profile = EngineProfile { sessions: 2, cache_gain: 0.5, ..EngineProfile::default() };
    let mut engine: EngineModel<u32> = EngineModel::start(0.0, profile, true);
    assert!(engine.submit(0.0, 1, query(100.0)) && engine.submit(0.0, 2, query(100.0)));
    assert!(!engine.submit(0.0, 3, query(100.0)));
    assert_eq!(
        engine.take_completed(1_000.0),
        [(50.0, 2), (100.0, 1)],
        "the second found its data set cached"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is submitted, cancelled and given another priority: each query ends once or is cancelled, no work is
    /// done beyond what was submitted, and the same steps give the same results to the bit.
    #[test]
    fn work_is_neither_made_nor_lost(
        steps in prop::collection::vec((0.0..200.0f64, 0u8..4, 1.0..400.0f64, 1.0..4.0f64, 0u64..3), 1..60),
    ) {
        let run = || {
            let mut engine: EngineModel<u32> = EngineModel::start(0.0, EngineProfile { sessions: 20, cache_gain: 0.0, ..EngineProfile::default() }, false);
            let (mut now, mut taken, mut ended, mut off) = (0.0, Vec::new(), Vec::new(), Vec::new());
            for (number, (wait, what, work, threads, set)) in steps.iter().enumerate() {
                now += wait;
                ended.extend(engine.take_completed(now));
                match what {
                    0 => off.extend(taken.get(number / 2).filter(|id| engine.cancel(now, id)).copied()),
                    1 => engine.set_priority(now, &(number as u32 / 2), 3),
                    _ => {
                        let (load, waits) = (number % 5 == 0, number % 2 == 0);
                        let query = Query { work: *work, threads: *threads, data_set: *set, is_load: load, waits_for_loads: waits, priority: 1 };
                        if engine.submit(now, number as u32, query) {
                            taken.push(number as u32);
                        }
                    }
                }
            }
            ended.extend(engine.take_completed(1e7));
            (taken, ended, off, engine.in_flight(), engine.work_done())
        };
        let (taken, ended, off, held, done) = run();
        prop_assert_eq!(run(), (taken.clone(), ended.clone(), off.clone(), held, done));
        prop_assert_eq!(held, 0);
        prop_assert_eq!(ended.len() + off.len(), taken.len());
        prop_assert!(ended.is_sorted_by(|a, b| a.0 <= b.0));
        let works = |id: &u32| steps[*id as usize].2;
        let completed: f64 = ended.iter().map(|(_, id)| works(id)).sum();
        let most: f64 = taken.iter().map(works).sum();
        prop_assert!(done >= completed - 1e-3 && done <= most + 1e-3, "{} done, {} ended, {} submitted", done, completed, most);
    }
}
