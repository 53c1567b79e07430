//! Simulates ten forwarders, three planners and six engines in simulated time. From a seed, planners are
//! killed, suspended and cut off, engines drain, die and are replaced under new ids, and messages are
//! delayed, duplicated and lost. Every request is then audited from the records of the clients and the
//! engines.
//!
//! The planners follow a simple policy with a random element, as the rules must hold whatever they order. The
//! quality of their plans is not tested.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

mod engines;
mod faults;
mod forwarder;
mod planner;
mod simulation;

use gaugestep_testbed::audit::{self, Rules, audit};
use gaugestep_testbed::record;
use gaugestep_two_level::forwarder_leases::{EXPIRE_AFTER, LEASE_DURATION};
use gaugestep_two_level::order_guard::RetryBudgetSettings;

use simulation::{Counters, Simulation};

/// The number of fleets that are simulated, one for each seed.
const FLEETS: u64 = 200;

fn rules(retry_budget: RetryBudgetSettings) -> Rules {
    let classes =
        [("lookup", audit::Effect::Safe), ("report", audit::Effect::Safe), ("load", audit::Effect::Unsafe)];
    let RetryBudgetSettings { base, ratio, window } = retry_budget;
    Rules {
        classes: classes.map(|(name, effect)| (name.to_owned(), effect)).into(),
        response_slack_ms: 20.0,
        drain_grace_ms: 250.0,
        retry_budget: Some(audit::RetryBudget { base, ratio, window_ms: window.as_secs_f64() * 1e3 }),
        slow_start: None,
        // The guard counts attempts by its own clock, and the engines receive them up to a millisecond later.
        clock_skew_ms: 2.0,
    }
}

/// The result of one simulated fleet.
struct Outcome {
    violations: Vec<String>,
    requested: usize,
    served: usize,
    counters: Counters,
}

/// Simulates the fleet of a seed and audits its records.
fn simulate(seed: u64) -> Outcome {
    const VIOLATIONS_SHOWN: usize = 5;
    let simulation = Simulation::new(seed).run();
    let (violations, counts) = audit(&simulation.records, &rules(forwarder::RETRY_BUDGET));
    let shown = violations.iter().take(VIOLATIONS_SHOWN);
    Outcome {
        violations: shown.map(|violation| format!("seed {seed}: {violation}")).collect(),
        requested: counts.requested,
        served: counts.served,
        counters: simulation.counters,
    }
}

/// Simulates all fleets, on as many threads as there are cores.
fn simulate_all() -> Vec<Outcome> {
    let threads = std::thread::available_parallelism().map_or(2, usize::from) as u64;
    let simulate_from = |first: u64| {
        let seeds = (first..FLEETS).step_by(threads as usize);
        seeds.map(simulate).collect::<Vec<Outcome>>()
    };
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads).map(|first| scope.spawn(move || simulate_from(first))).collect();
        running.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

#[test]
fn two_hundred_fleets_with_failing_planners_violate_no_rule() {
    const { assert!(EXPIRE_AFTER.as_nanos() > LEASE_DURATION.as_nanos()) };
    let outcomes = simulate_all();
    let violations: Vec<&String> = outcomes.iter().flat_map(|outcome| &outcome.violations).collect();
    assert!(violations.is_empty(), "{violations:#?}");
    let requested: usize = outcomes.iter().map(|outcome| outcome.requested).sum();
    let served: usize = outcomes.iter().map(|outcome| outcome.served).sum();
    let sum = |counter: fn(&Counters) -> u32| -> u32 {
        outcomes.iter().map(|outcome| counter(&outcome.counters)).sum()
    };
    let faults = sum(|counters| counters.faults);
    let rejected_orders = sum(|counters| counters.rejected_orders);
    let hand_overs = sum(|counters| counters.hand_overs);
    let standalone = sum(|counters| counters.standalone);
    println!(
        "{requested} requested, {served} served, {faults} faults, {rejected_orders} rejected orders, \
         {hand_overs} hand-overs, {standalone} times without a planner"
    );
    // The faults must have the intended effects, and most requests must still be served.
    assert!(faults > 2_000 && rejected_orders > 1_000 && hand_overs > 4_000 && standalone > 100);
    assert!(served * 10 > requested * 8, "{served} of {requested}");
}

#[test]
fn a_seed_yields_the_same_records_byte_for_byte() {
    let records = |seed| record::write(&Simulation::new(seed).run().records);
    assert_eq!(records(7), records(7));
    assert_ne!(records(7), records(8));
}
