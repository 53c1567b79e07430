//! What choosing by ordinals costs: `cargo bench --bench subsets`. Prints figures and asserts none; those of note are kept in
//! docs/subsetting.md.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Instant;

use common::*;
use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;
use gaugestep_subsetting::key;
use gaugestep_subsetting::subset::{CandidateEngine, Subset};

/// The median of five, in microseconds for each of `times`.
fn micros(times: u32, mut run: impl FnMut()) -> f64 {
    let mut spans: Vec<f64> = (0..5)
        .map(|_| {
            let began = Instant::now();
            (0..times).for_each(|_| run());
            began.elapsed().as_secs_f64() * 1e6 / f64::from(times)
        })
        .collect();
    spans.sort_by(f64::total_cmp);
    spans[2]
}

/// One request arrives, is sent and served, at one of 100 dispatchers with 60 engines.
fn pick() -> f64 {
    let settings = Settings { dispatchers: 100, ..settings(vec![class(Effect::Safe, 1.0)]) };
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
    println!("one request, sent and served: {:.2} us", pick());
    for (proxies, engines) in [(10, 40), (100, 60), (300, 80), (1_000, 80)] {
        let member = |id: u32| CandidateEngine { id, key: key(&format!("s-{id}")), size: 8.0, zone: 0 };
        let members: Vec<CandidateEngine> = (0..engines).map(member).collect();
        let place = FleetPosition::ordinal(3, proxies).expect("there is such an ordinal");
        let span = micros(20, || drop(Subset::compute(place, proxies as usize, &members, 8)));
        println!("{proxies} proxies, {engines} engines: the subset is drawn anew in {span:.0} us");
    }
}
