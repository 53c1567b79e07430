//! Measures the time for drawing subsets by ordinals: `cargo bench --bench subsets`. Prints the results and
//! checks none of them; docs/subsetting.md has the relevant ones.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Instant;

use common::*;
use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;
use gaugestep_subsetting::key;
use gaugestep_subsetting::subset::{CandidateEngine, Subset};

/// The median of five measurements of the time of one run, in microseconds; each measurement repeats `run`
/// `times` times.
fn micros(times: u32, mut run: impl FnMut()) -> f64 {
    let mut durations: Vec<f64> = (0..5)
        .map(|_| {
            let started_at = Instant::now();
            (0..times).for_each(|_| run());
            started_at.elapsed().as_secs_f64() * 1e6 / f64::from(times)
        })
        .collect();
    durations.sort_by(f64::total_cmp);
    durations[2]
}

/// The time in which one of 100 dispatchers with 60 engines sends one request and handles its end, in
/// microseconds.
fn request_micros() -> f64 {
    let settings = Settings { dispatchers: 100, ..settings(vec![class(Idempotency::Safe, 1.0)]) };
    let mut harness =
        Harness { dispatcher: Dispatcher::new(settings, 7).expect("the settings are valid"), now: 0.0 };
    harness.handle(Event::EngineList((0..60).map(entry).collect()));
    let mut number = 0;
    micros(4_000, || {
        number += 1;
        harness.now += 20.0;
        let sent = sends(&harness.arrive(request(number, 0, harness.now + 10_000.0)));
        if let Some(engine) = sent.first() {
            harness.end(number, 0, *engine, Outcome::Served, 15.0);
        }
    })
}

fn main() {
    println!("one request, sent and served: {:.2} us", request_micros());
    for (proxies, engines) in [(10, 40), (100, 60), (300, 80), (1_000, 80)] {
        let member = |id: u32| CandidateEngine { id, key: key(&format!("s-{id}")), size: 8.0, zone: 0 };
        let members: Vec<CandidateEngine> = (0..engines).map(member).collect();
        let position = FleetPosition::ordinal(3, proxies).expect("the ordinal is valid");
        let micros = micros(20, || drop(Subset::compute(position, proxies as usize, &members, 8)));
        println!("{proxies} proxies, {engines} engines: drawing the subset takes {micros:.0} us");
    }
}
