//! The subsets of all proxies of a fleet: how many contain each engine, how many pairs a change moves, and
//! how subsets of proxies without ordinals compare.

use std::collections::{BTreeMap, BTreeSet};

use gaugestep_subsetting::assignment::AssignmentTable;
use gaugestep_subsetting::fairness::{Fairness, fairness};
use gaugestep_subsetting::key;
use gaugestep_subsetting::position::FleetPosition;
use gaugestep_subsetting::subset::{CandidateEngine, Subset};
use proptest::prelude::*;

/// Size of a typical engine, in cores.
const CORES: f64 = 8.0;

/// A proxy and the key of an engine in its subset.
type Pair = (u32, u64);

fn candidates(count: u32) -> Vec<CandidateEngine> {
    let candidate = |id: u32| CandidateEngine { id, key: key(&format!("s-{id:08x}")), size: CORES, zone: 0 };
    (0..count).map(candidate).collect()
}

/// Engines of which every third is twice as large.
fn mixed_candidates(count: u32) -> Vec<CandidateEngine> {
    let size = |candidate: &CandidateEngine| if candidate.id % 3 == 0 { 2.0 * CORES } else { CORES };
    candidates(count)
        .into_iter()
        .map(|candidate| CandidateEngine { size: size(&candidate), ..candidate })
        .collect()
}

fn total_size(candidates: &[CandidateEngine]) -> f64 {
    candidates.iter().map(|candidate| candidate.size).sum()
}

/// All pairs of an ordinal and an engine in its subset.
fn pairs(fleet_size: u32, candidates: &[CandidateEngine], subset_size: usize) -> BTreeSet<Pair> {
    let table = AssignmentTable::compute(fleet_size, candidates, subset_size);
    let pairs_of = |ordinal: u32| {
        let engines: Vec<u64> = table.subset_of(ordinal).iter().map(|index| candidates[*index].key).collect();
        engines.into_iter().map(move |key| (ordinal, key))
    };
    (0..fleet_size).flat_map(pairs_of).collect()
}

/// All pairs of a proxy without an ordinal and an engine in its subset.
fn pairs_by_name(proxies: u32, candidates: &[CandidateEngine], subset_size: usize) -> BTreeSet<Pair> {
    let pairs_of = |proxy: u32| {
        let subset = subset_by_name(proxy, proxies, candidates, subset_size);
        let own_ids = &subset.order[..subset.own_count];
        let own_keys: Vec<u64> = own_ids.iter().map(|id| candidates[*id as usize].key).collect();
        own_keys.into_iter().map(move |key| (proxy, key))
    };
    (0..proxies).flat_map(pairs_of).collect()
}

fn subset_by_name(proxy: u32, proxies: u32, candidates: &[CandidateEngine], subset_size: usize) -> Subset {
    let position = FleetPosition::NameKey(key(&format!("n{proxy}")));
    Subset::compute(position, proxies as usize, candidates, subset_size)
}

/// How evenly subsets contain the engines, in relation to their sizes.
fn evenness(pairs: &BTreeSet<Pair>, candidates: &[CandidateEngine]) -> Fairness {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    for (_, key) in pairs {
        *counts.entry(*key).or_default() += 1;
    }
    fairness(candidates.iter().map(|candidate| {
        let count = counts.get(&candidate.key).copied().unwrap_or(0);
        (count as f64, candidate.size)
    }))
}

/// The number of pairs that are new.
fn moved(before: &BTreeSet<Pair>, after: &BTreeSet<Pair>) -> usize {
    after.difference(before).count()
}

/// The keys of the engines in each subset, independent of the order of the list of engines.
fn keys(table: &AssignmentTable, candidates: &[CandidateEngine]) -> Vec<BTreeSet<u64>> {
    let keys_of = |subset: &Vec<usize>| subset.iter().map(|index| candidates[*index].key).collect();
    table.subsets().iter().map(keys_of).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    /// Within its zone, every engine belongs to a number of subsets that is proportional to its size, rounded
    /// up or down. Every subset has all its engines and none twice.
    #[test]
    fn the_number_of_subsets_of_an_engine_is_proportional_to_its_size_rounded_up_or_down(
        fleet_size in 1..120u32,
        sizes in proptest::collection::vec((1..5u32, 0..3u64), 1..50),
        subset_size in 1..20usize,
    ) {
        let all: Vec<CandidateEngine> = candidates(sizes.len() as u32)
            .into_iter()
            .zip(&sizes)
            .map(|(candidate, (size, zone))| {
                CandidateEngine { size: f64::from(*size), zone: *zone, ..candidate }
            })
            .collect();
        let table = AssignmentTable::compute(fleet_size, &all, subset_size);
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for subset in table.subsets() {
            prop_assert_eq!(subset.len(), subset_size.min(all.len()));
            prop_assert_eq!(subset.iter().collect::<BTreeSet<_>>().len(), subset.len());
            subset.iter().for_each(|index| *counts.entry(all[*index].key).or_default() += 1);
        }
        let count = |candidate: &CandidateEngine| counts.get(&candidate.key).copied().unwrap_or(0);
        for zone in 0..3u64 {
            // Engines whose size asks for more belong to every subset; the remaining places go to all other
            // engines.
            let not_in_all: Vec<&CandidateEngine> = all
                .iter()
                .filter(|candidate| candidate.zone == zone && count(candidate) < fleet_size as usize)
                .collect();
            let places: usize = not_in_all.iter().map(|candidate| count(candidate)).sum();
            let total_size: f64 = not_in_all.iter().map(|candidate| candidate.size).sum();
            for candidate in not_in_all {
                let expected = places as f64 * candidate.size / total_size;
                let count = count(candidate);
                prop_assert!((count as f64 - expected).abs() < 1.0 + 1e-6, "{} for {expected}", count);
            }
        }
        let reversed: Vec<CandidateEngine> = all.iter().rev().copied().collect();
        let of_reversed = AssignmentTable::compute(fleet_size, &reversed, subset_size);
        prop_assert_eq!(
            keys(&table, &all),
            keys(&of_reversed, &reversed),
            "the order of the engines has no effect"
        );
    }

    /// Adding one engine or one proxy moves at most ten times as many pairs as any table must move, plus
    /// twelve; on average two to four times as many.
    #[test]
    fn adding_one_engine_or_one_proxy_moves_few_pairs(
        fleet_size in 10..150u32,
        engines in 20..80u32,
        subset_size in 4..17usize,
    ) {
        let (fewer, more) = (mixed_candidates(engines), mixed_candidates(engines + 1));
        let before = pairs(fleet_size, &fewer, subset_size);
        let after = pairs(fleet_size, &more, subset_size);
        let new = after.iter().filter(|(_, key)| *key == more[engines as usize].key).count();
        prop_assert!(moved(&before, &after) <= 10 * new + 12, "{} for {new}", moved(&before, &after));
        let after = pairs(fleet_size + 1, &fewer, subset_size);
        let moved = moved(&before, &after);
        prop_assert!(moved <= 10 * subset_size + 12, "{moved} for {subset_size}");
    }
}

/// Compares the evenness of subsets by ordinal and by name; `--nocapture` prints the table that the
/// documentation shows.
#[test]
fn ordinals_spread_engines_more_evenly_than_names_and_names_are_stable() {
    let cases = [(10, 40, 8), (40, 30, 8), (100, 60, 8), (300, 80, 8), (300, 80, 16), (100, 30, 4)];
    for (proxies, engines, subset_size) in cases {
        let all = mixed_candidates(engines);
        let ordinals = evenness(&pairs(proxies, &all, subset_size), &all);
        let names = evenness(&pairs_by_name(proxies, &all, subset_size), &all);
        let again = || subset_by_name(3, proxies, &all, subset_size).order;
        assert_eq!(again(), again());
        println!(
            "{proxies} proxies, {engines} engines, {subset_size} each: \
             ordinals {:.2} {:.2} {:.4}, names {:.2} {:.2} {:.4}",
            ordinals.max_ratio,
            ordinals.min_ratio,
            ordinals.jain_index,
            names.max_ratio,
            names.min_ratio,
            names.jain_index
        );
        // Every count is within one of the proportional number of subsets of an engine of typical size.
        let expected = f64::from(proxies) * subset_size as f64 * CORES / total_size(&all);
        assert!(ordinals.max_ratio <= 1.0 + 1.0 / expected, "{ordinals:?}");
        assert!(ordinals.min_ratio >= 1.0 - 1.0 / expected, "{ordinals:?}");
        assert!(ordinals.jain_index > names.jain_index, "{ordinals:?} {names:?}");
    }
}

/// The fleet grows from 10 proxies to 300 and shrinks back, once by a third at once, with 8 to 80 engines.
/// The bound holds at every size, and the table depends on the sizes alone.
#[test]
fn the_bound_holds_at_every_fleet_size_and_does_not_depend_on_earlier_sizes() {
    const SUBSET_SIZE: usize = 8;
    let all = mixed_candidates(80);
    let first = pairs(10, &all[..40], SUBSET_SIZE);
    for fleet_size in [10, 11, 20, 40, 75, 100, 200, 300, 200, 100, 67, 10] {
        for engines in [8, 9, 20, 40, 80] {
            let candidates = &all[..engines];
            let evenness = evenness(&pairs(fleet_size, candidates, SUBSET_SIZE), candidates);
            let expected = f64::from(fleet_size) * SUBSET_SIZE as f64 * CORES / total_size(candidates);
            // The bound does not apply where a large engine's proportional number exceeds the number of
            // subsets.
            if expected * 2.0 <= f64::from(fleet_size) {
                assert!(evenness.max_ratio <= 1.0 + 1.0 / expected, "{fleet_size} {engines}: {evenness:?}");
            }
        }
    }
    assert_eq!(pairs(10, &all[..40], SUBSET_SIZE), first);
}

/// Proxies that assume another fleet size compute another table; engines are then distributed as evenly as at
/// random.
#[test]
fn a_fleet_size_that_is_wrong_by_a_factor_of_two_is_no_worse_than_random_subsets() {
    let all = candidates(60);
    let correct = evenness(&pairs(100, &all, 8), &all);
    let too_large: BTreeSet<Pair> =
        pairs(200, &all, 8).into_iter().filter(|(ordinal, _)| *ordinal < 100).collect();
    let too_small: BTreeSet<Pair> = pairs(50, &all, 8)
        .into_iter()
        .flat_map(|(ordinal, key)| [(ordinal, key), (ordinal + 50, key)])
        .collect();
    let (too_large, too_small) = (evenness(&too_large, &all), evenness(&too_small, &all));
    println!("correct {correct:?}, twice as large {too_large:?}, half as large {too_small:?}");
    // Random subsets have an index of 0.936 here: 1 / (1 + (1 - 8 / 60) / (100 * 8 / 60)).
    assert!(correct.jain_index > 0.998 && too_large.jain_index > 0.936 && too_small.jain_index > 0.99);
}
