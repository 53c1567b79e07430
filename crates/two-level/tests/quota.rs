//! Quotas under loss, delay, duplication, restarts and clocks that differ in rate: together never more than the total, and
//! what is wanted is lent once the network is quiet.

use gaugestep_clock::Timestamp;
use gaugestep_two_level::PlannerId;
use gaugestep_two_level::quota::{LEASE_DURATION, QuotaAllocator, QuotaLease, allocator_of, floor};
use proptest::prelude::*;

const TOTAL: f64 = 100.0;
const PLANNERS: usize = 4;
/// Tolerance for rounding errors of sums.
const TOLERANCE: f64 = 1e-6;
/// More requests than a planner can make between two restarts.
const REQUESTS_PER_LIFE: u64 = 1_000_000;
/// Index of the allocator's clock; those of the planners follow.
const ALLOCATOR_CLOCK: usize = 0;

#[derive(Clone, Debug)]
enum Step {
    Request {
        planner: usize,
        wanted: f64,
    },
    /// The message at this index of all in flight arrives. If duplicated, it also stays in flight.
    Deliver {
        index: usize,
        duplicated: bool,
    },
    Lose {
        index: usize,
    },
    Pass {
        millis: f64,
    },
    RestartAllocator,
    RestartPlanner {
        planner: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..PLANNERS, 0.0..80.0f64).prop_map(|(planner, wanted)| Step::Request { planner, wanted }),
        10 => (any::<usize>(), prop::bool::weighted(0.1))
            .prop_map(|(index, duplicated)| Step::Deliver { index, duplicated }),
        2 => any::<usize>().prop_map(|index| Step::Lose { index }),
        6 => (0.0..900.0f64).prop_map(|millis| Step::Pass { millis }),
        1 => Just(Step::RestartAllocator),
        1 => (0..PLANNERS).prop_map(|planner| Step::RestartPlanner { planner }),
    ]
}

#[derive(Clone, Debug)]
enum Message {
    Request {
        planner: usize,
        request: u64,
        wanted: f64,
    },
    /// `life` counts the planner's restarts: a response to an earlier life does not reach it.
    Response {
        planner: usize,
        life: u64,
        request: u64,
        amount: f64,
    },
}

struct World {
    /// Milliseconds.
    now: f64,
    /// The rate of each clock.
    rates: [f64; PLANNERS + 1],
    allocator: QuotaAllocator,
    leases: [QuotaLease; PLANNERS],
    lives: [u64; PLANNERS],
    in_flight: Vec<Message>,
}

fn planner_id(planner: usize) -> PlannerId {
    PlannerId(format!("p{planner}"))
}

fn millis(millis: f64) -> Timestamp {
    Timestamp::from_millis_f64(millis)
}

impl World {
    fn new(rates: [f64; PLANNERS + 1]) -> Self {
        World {
            now: 0.0,
            rates,
            allocator: QuotaAllocator::new(Timestamp::ORIGIN, TOTAL),
            leases: Default::default(),
            lives: [0; PLANNERS],
            in_flight: Vec::new(),
        }
    }

    fn clock(&self, clock: usize) -> Timestamp {
        millis(self.now * self.rates[clock])
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Request { planner, wanted } => self.request(planner, wanted),
            Step::Deliver { index, duplicated } if !self.in_flight.is_empty() => {
                let index = index % self.in_flight.len();
                let message = match duplicated {
                    true => self.in_flight[index].clone(),
                    false => self.in_flight.remove(index),
                };
                self.deliver(message);
            }
            Step::Lose { index } if !self.in_flight.is_empty() => {
                self.in_flight.remove(index % self.in_flight.len());
            }
            Step::Deliver { .. } | Step::Lose { .. } => {}
            Step::Pass { millis } => self.now += millis,
            Step::RestartAllocator => {
                self.allocator = QuotaAllocator::new(self.clock(ALLOCATOR_CLOCK), TOTAL);
            }
            Step::RestartPlanner { planner } => {
                self.leases[planner] = QuotaLease::new();
                self.lives[planner] += 1;
            }
        }
    }

    fn request(&mut self, planner: usize, wanted: f64) {
        let now = self.clock(planner + 1);
        let unused = self.lives[planner] * REQUESTS_PER_LIFE;
        let request = self.leases[planner].begin_request(now, unused);
        self.in_flight.push(Message::Request { planner, request, wanted });
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request { planner, request, wanted } => {
                let now = self.clock(ALLOCATOR_CLOCK);
                let lent = self.allocator.request(now, &planner_id(planner), request, wanted);
                let life = self.lives[planner];
                self.in_flight.extend(lent.map(|amount| Message::Response {
                    planner,
                    life,
                    request,
                    amount,
                }));
            }
            Message::Response { planner, life, request, amount } if life == self.lives[planner] => {
                self.leases[planner].on_response(request, amount);
            }
            Message::Response { .. } => {}
        }
    }

    /// What a planner has beyond its floor.
    fn leased(&self, planner: usize) -> f64 {
        self.leases[planner].amount(self.clock(planner + 1))
    }

    /// What all planners may use together.
    fn used(&self) -> f64 {
        (0..PLANNERS).map(|planner| floor(TOTAL, PLANNERS) + self.leased(planner)).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn quotas_never_add_up_to_more_than_the_total(
        steps in prop::collection::vec(step(), 1..150),
        rates in prop::array::uniform5(0.96..1.04f64),
    ) {
        let mut world = World::new(rates);
        for step in steps {
            world.play(step);
            prop_assert!(world.used() <= TOTAL + TOLERANCE, "{} of {TOTAL} are used", world.used());
        }
        // Once nothing is lost or delayed, every planner gets its fair share.
        world.in_flight.clear();
        for _ in 0..12 {
            world.now += LEASE_DURATION.as_secs_f64() * 1e3 * 0.4;
            for (planner, wanted) in [5.0, 60.0, 60.0, 0.0].into_iter().enumerate() {
                world.request(planner, wanted);
                while let Some(message) = world.in_flight.pop() {
                    world.deliver(message);
                }
            }
            prop_assert!(world.used() <= TOTAL + TOLERANCE);
        }
        let leased: Vec<f64> = (0..PLANNERS).map(|planner| world.leased(planner)).collect();
        for (leased, fair) in leased.iter().zip([5.0, 22.5, 22.5, 0.0]) {
            prop_assert!((leased - fair).abs() < TOLERANCE, "{leased:?}");
        }
    }
}

#[test]
fn the_quota_of_a_dead_planner_returns_and_is_lent_to_others() {
    let mut allocator = QuotaAllocator::new(millis(-1e6), TOTAL);
    let mut lease = QuotaLease::new();
    let start = Timestamp::ORIGIN;
    let request = lease.begin_request(start, 0);
    lease.on_response(request, allocator.request(start, &planner_id(0), request, 100.0).unwrap());
    assert_eq!(lease.amount(start), 50.0);
    let all_lent = allocator.request(millis(100.0), &planner_id(1), 1, 100.0);
    assert_eq!(all_lent, Some(0.0));
    assert_eq!(lease.amount(start + LEASE_DURATION), 0.0);
    let later = start + LEASE_DURATION * 6 / 5;
    assert_eq!(allocator.request(later, &planner_id(1), 2, 100.0), Some(50.0), "it has returned");
    assert_eq!(allocator.request(later, &planner_id(1), 2, 100.0), None, "a duplicated request");
}

#[test]
fn all_planners_agree_on_the_allocator_of_a_resource_and_allocators_differ() {
    let planners: Vec<PlannerId> = (0..5).map(planner_id).collect();
    let reversed: Vec<PlannerId> = planners.iter().rev().cloned().collect();
    let mut allocators = std::collections::BTreeSet::new();
    for engine in 0..40 {
        let resource = format!("engine {engine}");
        let allocator = allocator_of(&resource, &planners).unwrap();
        assert_eq!(Some(allocator), allocator_of(&resource, &reversed));
        allocators.insert(allocator);
    }
    assert_eq!(allocators.len(), 5);
    assert_eq!(allocator_of("engine", &[]), None);
}
