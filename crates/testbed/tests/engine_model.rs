//! Tests of the engine model: its work is conserved, and it behaves as the platform specifies for engines.

use gaugestep_testbed::engine_model::{EngineModel, EngineProfile, Query};
use proptest::prelude::*;

fn query(work: f64) -> Query {
    Query { work, threads: 1.0, data_set: 1, is_load: false, waits_for_loads: false, priority: 1 }
}

fn engine(cores: f64) -> EngineModel<u32> {
    EngineModel::start(
        0.0,
        EngineProfile { cores, cached_work_fraction: 0.0, ..EngineProfile::default() },
        true,
    )
}

#[test]
fn a_single_query_uses_all_its_threads_and_several_queries_share_the_cores() {
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
    let mut warming: EngineModel<u32> = EngineModel::start(
        0.0,
        EngineProfile { cached_work_fraction: 0.0, ..EngineProfile::default() },
        false,
    );
    warming.submit(0.0, 1, query(34.0));
    assert!((warming.next_completion().unwrap().0 - 100.0).abs() < 1e-6);
    let work_done = |queries: u32| {
        let mut engine = engine(2.0);
        for id in 0..queries {
            engine.submit(0.0, id, query(1e6));
        }
        engine.take_completed(1_000.0);
        engine.work_done()
    };
    assert!((work_done(2) - 2_000.0).abs() < 1e-6 && (work_done(3) - 2_000.0).abs() < 1e-6);
    assert!((work_done(8) - 1_000.0).abs() < 1e-6, "far above the knee half of the throughput is lost");
}

#[test]
fn priorities_share_scarce_cores_one_to_sixteen() {
    let profile =
        EngineProfile { cores: 1.0, knee: 4.0, cached_work_fraction: 0.0, ..EngineProfile::default() };
    let mut engine: EngineModel<u32> = EngineModel::start(0.0, profile, true);
    engine.submit(0.0, 1, Query { priority: 0, ..query(1_700.0) });
    engine.submit(0.0, 2, Query { priority: 3, ..query(1_600.0) });
    assert_eq!(engine.next_completion().map(|(at, id)| (at.round(), id)), Some((1_700.0, 2)));
    engine.set_priority(850.0, &1, 3);
    // The remaining work is 800 ms of query 2 and 1,650 ms of query 1, which share the core evenly from now
    // on.
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
    let profile = EngineProfile { max_sessions: 2, cached_work_fraction: 0.5, ..EngineProfile::default() };
    let mut engine: EngineModel<u32> = EngineModel::start(0.0, profile, true);
    assert!(engine.submit(0.0, 1, query(100.0)) && engine.submit(0.0, 2, query(100.0)));
    assert!(!engine.submit(0.0, 3, query(100.0)));
    assert_eq!(
        engine.take_completed(1_000.0),
        [(50.0, 2), (100.0, 1)],
        "the data set of the second query is cached"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Under any sequence of submissions, cancels and changes of priority: each query ends once or is
    /// cancelled, no more work is done than was submitted, and the same steps yield bit-identical results.
    #[test]
    fn work_is_conserved_and_the_model_is_deterministic(
        steps in prop::collection::vec((0.0..200.0f64, 0u8..4, 1.0..400.0f64, 1.0..4.0f64, 0u64..3), 1..60),
    ) {
        let run = || {
            let profile =
                EngineProfile { max_sessions: 20, cached_work_fraction: 0.0, ..EngineProfile::default() };
            let mut engine: EngineModel<u32> = EngineModel::start(0.0, profile, false);
            let (mut now, mut accepted, mut ended, mut cancelled) = (0.0, Vec::new(), Vec::new(), Vec::new());
            for (number, (wait, action, work, threads, data_set)) in steps.iter().enumerate() {
                now += wait;
                ended.extend(engine.take_completed(now));
                match action {
                    0 => {
                        let id = accepted.get(number / 2).filter(|id| engine.cancel(now, id));
                        cancelled.extend(id.copied());
                    }
                    1 => engine.set_priority(now, &(number as u32 / 2), 3),
                    _ => {
                        let query = Query {
                            work: *work,
                            threads: *threads,
                            data_set: *data_set,
                            is_load: number % 5 == 0,
                            waits_for_loads: number % 2 == 0,
                            priority: 1,
                        };
                        if engine.submit(now, number as u32, query) {
                            accepted.push(number as u32);
                        }
                    }
                }
            }
            ended.extend(engine.take_completed(1e7));
            (accepted, ended, cancelled, engine.in_flight(), engine.work_done())
        };
        let (accepted, ended, cancelled, in_flight, work_done) = run();
        prop_assert_eq!(run(), (accepted.clone(), ended.clone(), cancelled.clone(), in_flight, work_done));
        prop_assert_eq!(in_flight, 0);
        prop_assert_eq!(ended.len() + cancelled.len(), accepted.len());
        prop_assert!(ended.is_sorted_by(|a, b| a.0 <= b.0));
        let work_of = |id: &u32| steps[*id as usize].2;
        let completed: f64 = ended.iter().map(|(_, id)| work_of(id)).sum();
        let submitted: f64 = accepted.iter().map(work_of).sum();
        prop_assert!(
            work_done >= completed - 1e-3 && work_done <= submitted + 1e-3,
            "{} done, {} completed, {} submitted",
            work_done,
            completed,
            submitted,
        );
    }
}
