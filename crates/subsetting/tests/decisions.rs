//! Digests that pin the decisions of this crate to the bit: all proxies of a fleet must compute the same
//! tables and credits, whichever build they run. A changed digest means that proxies of different builds
//! would disagree.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use gaugestep_subsetting::assignment::AssignmentTable;
use gaugestep_subsetting::key;
use gaugestep_subsetting::position::FleetPosition;
use gaugestep_subsetting::slow_start::{SlowStartBudget, SlowStartLimit, SlowStartSettings};
use gaugestep_subsetting::subset::{CandidateEngine, Subset};
use oorandom::Rand64;

/// FNV-1a over 64-bit words.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn add(&mut self, word: u64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

fn candidates(count: u32, random: &mut Rand64) -> Vec<CandidateEngine> {
    (0..count)
        .map(|id| CandidateEngine {
            id,
            key: key(&format!("engine-{id}")),
            size: 1.0 + random.rand_range(0..8) as f64,
            zone: random.rand_range(0..3),
        })
        .collect()
}

#[test]
fn subsets_are_the_same_in_every_build() {
    let mut random = Rand64::new(31);
    let mut digest = Digest::new();
    for _ in 0..40 {
        let count = random.rand_range(1..60) as u32;
        let candidates = candidates(count, &mut random);
        let size = random.rand_range(1..20) as usize;
        let fleet_size = random.rand_range(1..120) as u32;
        let table = AssignmentTable::compute(fleet_size, &candidates, size);
        table.subsets().iter().flatten().for_each(|index| digest.add(*index as u64));
        let ordinal = random.rand_range(0..u64::from(fleet_size)) as u32;
        let with_ordinal = FleetPosition::ordinal(ordinal, fleet_size).unwrap();
        for position in [with_ordinal, FleetPosition::NameKey(key(&format!("proxy-{ordinal}")))] {
            let subset = Subset::compute(position, fleet_size as usize, &candidates, size);
            digest.add(subset.own_count as u64);
            for id in subset.order.iter().chain([&u32::MAX]) {
                let slot = subset.rotation_slot(*id);
                digest.add(u64::from(*id));
                digest.add(slot.index.to_bits());
                digest.add(slot.count.to_bits());
                digest.add(u64::from(slot.exclusive));
            }
            digest.add(position.rotation_slot().index.to_bits());
        }
    }
    assert_eq!(digest.0, 0xc42f_8122_ed2b_8be5, "{:#x}", digest.0);
}

#[test]
fn slow_start_budgets_are_the_same_in_every_build() {
    let mut random = Rand64::new(32);
    let mut digest = Digest::new();
    let mut consumed = 0;
    for _ in 0..60 {
        let settings = SlowStartSettings {
            initial_fraction: 0.2 + 0.4 * random.rand_float(),
            warm_up_ms: 8_000.0 + 6_000.0 * random.rand_float(),
            capacity_multiple: 1.5 + 2.0 * random.rand_float(),
            window_ms: 1_500.0 + 2_000.0 * random.rand_float(),
        };
        let limit = SlowStartLimit { cores: 4.0 + 12.0 * random.rand_float(), settings };
        let first = limit.window_limit(0.0);
        let typical = [first * 0.2 * random.rand_float(), first * 0.02 * random.rand_float(), f64::NAN];
        let position = match random.rand_range(0..2) {
            0 => FleetPosition::ordinal(random.rand_range(0..5) as u32, 5).unwrap(),
            _ => FleetPosition::NameKey(random.rand_u64()),
        };
        let mut slot = position.rotation_slot();
        (slot.index, slot.count) = (slot.index % 5.0, slot.count.min(5.0));
        let mut budget = SlowStartBudget::default();
        let mut age = -500.0;
        while age < settings.warm_up_ms + 500.0 {
            age += 150.0 * random.rand_float();
            digest.add(limit.accrued(age).to_bits());
            digest.add(settings.capacity_fraction(age).to_bits());
            for work in [typical[0], typical[1], first * 0.5 * random.rand_float()] {
                let available = budget.available(&limit, slot, age, typical.into_iter(), work);
                digest.add(u64::from(available));
                if available {
                    budget.consume(work);
                    consumed += 1;
                }
            }
        }
    }
    assert!(consumed > 500, "only {consumed} requests were sent");
    assert_eq!(digest.0, 0x70b6_27dd_8733_e4a7, "{:#x}", digest.0);
}
