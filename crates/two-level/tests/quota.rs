//! Tests of quotas under message loss, delay and duplication, restarts, and clocks that differ in rate: the
//! quotas never exceed the total, and demands are met by max-min fairness once no messages are lost or
//! delayed.

use gaugestep_clock::Timestamp;
use gaugestep_two_level::PlannerId;
use gaugestep_two_level::quota::{LEASE_DURATION, QuotaAllocator, QuotaLease, allocator_of, floor};
use proptest::prelude::*;

const TOTAL: f64 = 100.0;
const PLANNERS: usize = 4;
/// Tolerance for rounding errors of sums.
const TOLERANCE: f64 = 1e-6;
/// More requests than a planner can make between two restarts.
const REQUESTS_PER_INCARNATION: u64 = 1_000_000;
/// The index of the allocator's clock; the clocks of the planners follow.
const ALLOCATOR_CLOCK: usize = 0;

/// A step of a test run.
#[derive(Clone, Debug)]
enum Step {
    Request {
        planner: usize,
        demand: f64,
    },
    /// The message at this index among those in flight arrives. If it is duplicated, it also stays in flight.
    Deliver {
        index: usize,
        duplicated: bool,
    },
    Lose {
        index: usize,
    },
    AdvanceTime {
        millis: f64,
    },
    RestartAllocator,
    RestartPlanner {
        planner: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..PLANNERS, 0.0..80.0f64).prop_map(|(planner, demand)| Step::Request { planner, demand }),
        10 => (any::<usize>(), prop::bool::weighted(0.1))
            .prop_map(|(index, duplicated)| Step::Deliver { index, duplicated }),
        2 => any::<usize>().prop_map(|index| Step::Lose { index }),
        6 => (0.0..900.0f64).prop_map(|millis| Step::AdvanceTime { millis }),
        1 => Just(Step::RestartAllocator),
        1 => (0..PLANNERS).prop_map(|planner| Step::RestartPlanner { planner }),
    ]
}

#[derive(Clone, Debug)]
enum Message {
    Request {
        planner: usize,
        request: u64,
        demand: f64,
    },
    /// `incarnation` counts the restarts of the planner; a response to an earlier incarnation is discarded.
    Response {
        planner: usize,
        incarnation: u64,
        request: u64,
        amount: f64,
    },
}

/// The simulated allocator, planners and network.
struct Simulation {
    /// The simulated time in milliseconds.
    now: f64,
    /// The rate of each clock relative to the simulated time.
    rates: [f64; PLANNERS + 1],
    allocator: QuotaAllocator,
    leases: [QuotaLease; PLANNERS],
    incarnations: [u64; PLANNERS],
    in_flight: Vec<Message>,
}

fn planner_id(planner: usize) -> PlannerId {
    PlannerId(format!("p{planner}"))
}

fn millis(millis: f64) -> Timestamp {
    Timestamp::from_millis_f64(millis)
}

impl Simulation {
    fn new(rates: [f64; PLANNERS + 1]) -> Self {
        Simulation {
            now: 0.0,
            rates,
            allocator: QuotaAllocator::new(Timestamp::ORIGIN, TOTAL),
            leases: Default::default(),
            incarnations: [0; PLANNERS],
            in_flight: Vec::new(),
        }
    }

    /// Reads the clock at an index.
    fn clock(&self, clock: usize) -> Timestamp {
        millis(self.now * self.rates[clock])
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Request { planner, demand } => self.request(planner, demand),
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
            Step::AdvanceTime { millis } => self.now += millis,
            Step::RestartAllocator => {
                self.allocator = QuotaAllocator::new(self.clock(ALLOCATOR_CLOCK), TOTAL);
            }
            Step::RestartPlanner { planner } => {
                self.leases[planner] = QuotaLease::new();
                self.incarnations[planner] += 1;
            }
        }
    }

    fn request(&mut self, planner: usize, demand: f64) {
        let now = self.clock(planner + 1);
        let last_used = self.incarnations[planner] * REQUESTS_PER_INCARNATION;
        let request = self.leases[planner].begin_request(now, last_used);
        self.in_flight.push(Message::Request { planner, request, demand });
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request { planner, request, demand } => {
                let now = self.clock(ALLOCATOR_CLOCK);
                let lent = self.allocator.request(now, &planner_id(planner), request, demand);
                let incarnation = self.incarnations[planner];
                self.in_flight.extend(lent.map(|amount| Message::Response {
                    planner,
                    incarnation,
                    request,
                    amount,
                }));
            }
            Message::Response { planner, incarnation, request, amount }
                if incarnation == self.incarnations[planner] =>
            {
                self.leases[planner].on_response(request, amount);
            }
            Message::Response { .. } => {}
        }
    }

    /// Returns the quota of a planner beyond its floor.
    fn leased(&self, planner: usize) -> f64 {
        self.leases[planner].amount(self.clock(planner + 1))
    }

    /// Returns the sum of the floors and leased quotas of all planners.
    fn total_quota(&self) -> f64 {
        (0..PLANNERS).map(|planner| floor(TOTAL, PLANNERS) + self.leased(planner)).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn quotas_never_exceed_the_total(
        steps in prop::collection::vec(step(), 1..150),
        rates in prop::array::uniform5(0.96..1.04f64),
    ) {
        let mut simulation = Simulation::new(rates);
        for step in steps {
            simulation.execute(step);
            let total_quota = simulation.total_quota();
            prop_assert!(total_quota <= TOTAL + TOLERANCE, "the quotas sum to {total_quota} of {TOTAL}");
        }
        // Once no messages are lost or delayed, every planner gets its max-min fair quota.
        simulation.in_flight.clear();
        for _ in 0..12 {
            simulation.now += LEASE_DURATION.as_secs_f64() * 1e3 * 0.4;
            for (planner, demand) in [5.0, 60.0, 60.0, 0.0].into_iter().enumerate() {
                simulation.request(planner, demand);
                while let Some(message) = simulation.in_flight.pop() {
                    simulation.deliver(message);
                }
            }
            prop_assert!(simulation.total_quota() <= TOTAL + TOLERANCE);
        }
        let leased: Vec<f64> = (0..PLANNERS).map(|planner| simulation.leased(planner)).collect();
        for (leased, fair) in leased.iter().zip([5.0, 22.5, 22.5, 0.0]) {
            prop_assert!((leased - fair).abs() < TOLERANCE, "{leased:?}");
        }
    }
}

#[test]
fn the_quota_of_a_dead_planner_expires_and_is_lent_to_another() {
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
    assert_eq!(
        allocator.request(later, &planner_id(1), 2, 100.0),
        Some(50.0),
        "the lease of the other planner has expired"
    );
    assert_eq!(allocator.request(later, &planner_id(1), 2, 100.0), None, "the request is duplicated");
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
