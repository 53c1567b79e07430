//! Shares under loss, delay, doubling, restarts and clocks that differ in pace: together never more than the whole, and
//! what is wanted is lent once all is quiet.

use gaugestep_two_level::PlannerId;
use gaugestep_two_level::shares::{Holder, Keeper, LEASE, floor, keeper_of};
use proptest::prelude::*;

const WHOLE: f64 = 100.0;

#[derive(Clone, Debug)]
enum Step {
    Ask {
        planner: usize,
        wanted: f64,
    },
    /// The message at this place of all on their way arrives; or arrives and stays on its way.
    Deliver {
        place: usize,
        again: bool,
    },
    Lose {
        place: usize,
    },
    Pass {
        millis: f64,
    },
    RestartKeeper,
    RestartHolder {
        planner: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..4, 0.0..80.0f64).prop_map(|(planner, wanted)| Step::Ask { planner, wanted }),
        10 => (any::<usize>(), prop::bool::weighted(0.1)).prop_map(|(place, again)| Step::Deliver { place, again }),
        2 => any::<usize>().prop_map(|place| Step::Lose { place }),
        6 => (0.0..900.0f64).prop_map(|millis| Step::Pass { millis }),
        1 => Just(Step::RestartKeeper),
        1 => (0usize..4).prop_map(|planner| Step::RestartHolder { planner }),
    ]
}

#[derive(Clone, Debug)]
enum Message {
    Ask { planner: usize, number: u64, wanted: f64 },
    Lent { planner: usize, life: u64, number: u64, amount: f64 },
}

struct World {
    now: f64,
    /// How fast each clock runs: the keeper's, then the holders'.
    pace: [f64; 5],
    keeper: Keeper,
    holders: [Holder; 4],
    /// Which life of a holder this is: answers to an earlier life do not reach it.
    lives: [u64; 4],
    on_way: Vec<Message>,
}

fn name(planner: usize) -> PlannerId {
    PlannerId(format!("p{planner}"))
}

impl World {
    fn clock(&self, which: usize) -> f64 {
        self.now * self.pace[which]
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Ask { planner, number, wanted } => {
                let now = self.clock(0);
                if let Some(amount) = self.keeper.ask(now, &name(planner), number, wanted) {
                    let life = self.lives[planner];
                    self.on_way.push(Message::Lent { planner, life, number, amount });
                }
            }
            Message::Lent { planner, life, number, amount } if life == self.lives[planner] => {
                self.holders[planner].lent(number, amount);
            }
            Message::Lent { .. } => {}
        }
    }

    fn ask(&mut self, planner: usize, wanted: f64) {
        let now = self.clock(planner + 1);
        // A planner's lives are numbered in its store; a million requests in one life are more than there can be.
        let number = self.holders[planner].ask(now, self.lives[planner] * 1_000_000);
        self.on_way.push(Message::Ask { planner, number, wanted });
    }

    fn held(&self) -> f64 {
        (0..4).map(|planner| floor(WHOLE, 4) + self.holders[planner].held(self.clock(planner + 1))).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn shares_never_add_up_to_more_than_the_whole(
        steps in prop::collection::vec(step(), 1..150),
        pace in prop::array::uniform5(0.96..1.04f64),
    ) {
        let mut world = World {
            now: 0.0,
            pace,
            keeper: Keeper::new(0.0, WHOLE),
            holders: Default::default(),
            lives: [0; 4],
            on_way: Vec::new(),
        };
        for step in steps {
            match step {
                Step::Ask { planner, wanted } => world.ask(planner, wanted),
                Step::Deliver { place, again } if !world.on_way.is_empty() => {
                    let place = place % world.on_way.len();
                    let message = if again { world.on_way[place].clone() } else { world.on_way.remove(place) };
                    world.deliver(message);
                }
                Step::Lose { place } if !world.on_way.is_empty() => {
                    world.on_way.remove(place % world.on_way.len());
                }
                Step::Deliver { .. } | Step::Lose { .. } => {}
                Step::Pass { millis } => world.now += millis,
                Step::RestartKeeper => world.keeper = Keeper::new(world.clock(0), WHOLE),
                Step::RestartHolder { planner } => {
                    world.holders[planner] = Holder::new();
                    world.lives[planner] += 1;
                }
            }
            prop_assert!(world.held() <= WHOLE + 1e-6, "{} of {WHOLE} are held", world.held());
        }
        // Quiet: everybody is lent its fair part.
        world.on_way.clear();
        let wants = [5.0, 60.0, 60.0, 0.0];
        for _ in 0..12 {
            world.now += LEASE * 0.4;
            for (planner, wanted) in wants.into_iter().enumerate() {
                world.ask(planner, wanted);
                while let Some(message) = world.on_way.pop() {
                    world.deliver(message);
                }
            }
            prop_assert!(world.held() <= WHOLE + 1e-6);
        }
        let held: Vec<f64> = (0..4).map(|planner| world.holders[planner].held(world.clock(planner + 1))).collect();
        for (held, fair) in held.iter().zip([5.0, 22.5, 22.5, 0.0]) {
            prop_assert!((held - fair).abs() < 1e-6, "{:?}", held);
        }
    }
}

#[test]
fn a_holder_that_dies_gives_its_share_back_and_demand_moves_it() {
    let mut keeper = Keeper::new(-1e6, WHOLE);
    let mut holder = Holder::new();
    let number = holder.ask(0.0, 0);
    holder.lent(number, keeper.ask(0.0, &name(0), number, 100.0).unwrap());
    assert_eq!(holder.held(0.0), 50.0);
    assert_eq!(keeper.ask(100.0, &name(1), 1, 100.0), Some(0.0), "all is lent");
    assert_eq!(holder.held(LEASE), 0.0);
    assert_eq!(keeper.ask(LEASE * 1.2, &name(1), 2, 100.0), Some(50.0), "it is back");
    assert_eq!(keeper.ask(LEASE * 1.2, &name(1), 2, 100.0), None, "a request that comes twice");
}

#[test]
fn a_resource_has_one_keeper_wherever_it_is_asked_for_and_keepers_differ() {
    let named: Vec<PlannerId> = (0..5).map(name).collect();
    let reversed: Vec<PlannerId> = named.iter().rev().cloned().collect();
    let mut kept = std::collections::BTreeSet::new();
    for engine in 0..40 {
        let resource = format!("engine {engine}");
        assert_eq!(keeper_of(&resource, &named), keeper_of(&resource, &reversed));
        kept.insert(keeper_of(&resource, &named).unwrap().clone());
    }
    assert_eq!(kept.len(), 5);
    assert_eq!(keeper_of("engine", &[]), None);
}
