//! What is agreed on, act by act: whatever comes in whatever order, terms rise, numbers are given once, and old owners do
//! nothing.

use std::collections::{BTreeMap, BTreeSet};

use gaugestep_config::schema::act::What;
use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{Act, Declare, Keep, Limits, Member, NewState, NewVersion};
use gaugestep_config::{Document, digest};
use gaugestep_leadership::VERSIONS;
use gaugestep_leadership::group_state::{Change, Charter, Outcome, RAISED_BY};
use proptest::prelude::*;

fn member(number: u64) -> Member {
    Member { number, boot: 1, ..Member::default() }
}

fn charter() -> Charter {
    let mut charter = Charter::alone(9, member(1), BTreeMap::new());
    charter.join(member(2));
    charter.apply(&act(1, 0, What::Assign(1)));
    charter
}

fn act(by: u64, term: u64, what: What) -> Act {
    Act { duty: VERSIONS.into(), term, by, what: Some(what) }
}

fn document(max_open: u64) -> Document {
    let limits = Limits { max_open: Some(max_open as u32), ..Limits::default() };
    Document { limits: Some(limits), ..Document::default() }
}

fn version(max_open: u64, key: &str) -> NewVersion {
    NewVersion { document: Some(document(max_open)), key: key.into(), keep: 100, ..NewVersion::default() }
}

fn refused(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Refused(why) => why.clone(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_old_owner_publishes_keeps_and_hands_over_nothing() {
    let mut charter = charter();
    assert_eq!(charter.apply(&act(1, 1, What::HandOver(2))).0, Outcome::Done);
    assert_eq!(charter.owner(VERSIONS), (2, 2));
    let before = charter.clone();
    let keep = Keep { state: vec![1], order: 1 };
    for what in [
        What::Version(version(11, "a")),
        What::Keep(keep.clone()),
        What::HandOver(1),
        What::State(NewState::default()),
        What::Raise(9),
    ] {
        assert_eq!(charter.apply(&act(1, 1, what.clone())), (Outcome::Stale { term: 1, present: 2 }, vec![]));
        assert_eq!(
            charter.apply(&act(1, 2, what)).0,
            Outcome::Stale { term: 2, present: 2 },
            "not its owner"
        );
    }
    assert_eq!(charter.apply(&act(1, 1, What::Assign(1))).0, Outcome::Stale { term: 1, present: 2 });
    assert_eq!(charter, before);
    assert_eq!(charter.apply(&act(2, 2, What::Keep(keep))).0, Outcome::Done);
}

#[test]
fn a_key_publishes_once_and_never_two_contents() {
    let mut charter = charter();
    let first = charter.apply(&act(1, 1, What::Version(version(11, "a")))).0;
    let Outcome::Published(told) = &first else { panic!("{first:?}") };
    assert_eq!((told.number, &told.digest), (1, &digest(&document(11))));
    charter.apply(&act(1, 1, What::HandOver(2)));
    assert_eq!(
        charter.apply(&act(2, 2, What::Version(version(11, "a")))),
        (first, vec![]),
        "by the next owner too"
    );
    let other = charter.apply(&act(2, 2, What::Version(version(12, "a")))).0;
    assert!(refused(&other).contains("another content"));
    let expected = NewVersion { expected_newest: 7, ..version(12, "b") };
    assert!(
        refused(&charter.apply(&act(2, 2, What::Version(expected))).0).contains("version 1 is the newest")
    );
    let above = NewVersion { at_least: 40, ..version(12, "b") };
    let (outcome, changes) = charter.apply(&act(2, 2, What::Version(above)));
    assert!(matches!(outcome, Outcome::Published(told) if told.number == 40));
    assert_eq!(
        changes,
        [Change::Entry(1), Change::Version(40)],
        "what was on its way is overtaken by that very act"
    );
    let late = NewState { number: 1, state: State::Complete as i32, halted_for: String::new() };
    charter.apply(&act(2, 2, What::State(late)));
    assert_eq!(charter.versions[&1].entry.state(), State::Overtaken, "what has ended stays as it ended");
    let last = NewVersion { at_least: u64::MAX, ..version(13, "c") };
    charter.apply(&act(2, 2, What::Version(last)));
    assert!(refused(&charter.apply(&act(2, 2, What::Version(version(14, "d")))).0).contains("used up"));
}

#[test]
fn old_versions_go_and_what_is_needed_stays() {
    let mut charter = charter();
    for number in 1..=6 {
        let new = NewVersion { keep: 3, needed: vec![1], ..version(10 + number, &number.to_string()) };
        charter.apply(&act(1, 1, What::Version(new)));
    }
    assert_eq!(charter.versions.keys().copied().collect::<Vec<_>>(), [1, 4, 5, 6]);
}

#[test]
fn terms_at_the_edge_have_no_successor_and_an_absurd_one_is_not_gone_above() {
    let mut charter = charter();
    let far = charter.apply(&act(1, 1, What::Raise(2 + RAISED_BY))).0;
    assert!(refused(&far).contains("further off"));
    assert_eq!(charter.apply(&act(1, 1, What::Raise(1 + RAISED_BY))).0, Outcome::Done);
    assert_eq!(charter.owner(VERSIONS), (1, 2 + RAISED_BY));
    for (term, outcome) in [(u64::MAX - 2, Outcome::Done), (u64::MAX - 1, Outcome::Refused(String::new()))] {
        charter.duties.get_mut(VERSIONS).unwrap().term = term;
        let told = charter.apply(&act(1, term, What::HandOver(2))).0;
        match outcome {
            Outcome::Done => assert_eq!((told, charter.owner(VERSIONS)), (Outcome::Done, (2, u64::MAX - 1))),
            _ => assert!(refused(&charter.apply(&act(2, term, What::HandOver(1))).0).contains("used up")),
        }
    }
    charter.leave(2);
    assert_eq!(
        charter.owner(VERSIONS),
        (2, u64::MAX - 1),
        "nobody can follow, and nobody acts for a member that left"
    );
}

#[test]
fn members_come_once_and_a_state_that_comes_twice_does_not_undo_a_later_one() {
    let mut charter = charter();
    charter.apply(&act(1, 1, What::HandOver(2)));
    charter.leave(2);
    assert_eq!(charter.owner(VERSIONS), (0, 3), "what it owned has no owner");
    assert!(charter.bars(&member(2)).unwrap().contains("is gone"));
    assert!(charter.bars(&member(1)).unwrap().contains("there already"));
    assert_eq!(charter.bars(&member(3)), None);
    charter.apply(&act(1, 3, What::Assign(1)));
    for (state, order) in [(vec![1], 1), (vec![2], 2), (vec![1], 1)] {
        charter.apply(&act(1, 4, What::Keep(Keep { state, order })));
    }
    assert_eq!(charter.duties[VERSIONS].state, [2]);
    let moved = Member { boot: 2, listen: "x".into(), ..member(1) };
    charter.apply(&act(1, 0, What::Member(moved.clone())));
    assert!(
        matches!(charter.apply(&act(1, 0, What::Member(member(1)))).0, Outcome::Refused(_)),
        "an earlier start"
    );
    assert_eq!(charter.members[&1], moved);
    let copy = Charter::of(charter.whole());
    assert_eq!(copy, charter, "what is sent is all of it");
    for name in ["", "a b", &"n".repeat(200)] {
        let declare = Act { duty: name.into(), what: Some(What::Declare(Declare {})), ..Act::default() };
        assert!(refused(&charter.apply(&declare).0).contains("no name"));
    }
}

fn any_act() -> impl Strategy<Value = Act> {
    let what = prop_oneof![
        (0..4u64).prop_map(What::Assign),
        (0..4u64).prop_map(What::HandOver),
        (0..20u64, 0..6u32).prop_map(|(open, key)| What::Version(NewVersion {
            keep: 4,
            ..version(10 + open, &key.to_string())
        })),
        (0..30u64).prop_map(What::Raise),
        (0..9u64).prop_map(|order| What::Keep(Keep { state: vec![order as u8], order })),
        (0..9u64, 0..4i32).prop_map(|(number, state)| What::State(NewState {
            number,
            state,
            halted_for: String::new()
        })),
        Just(What::Declare(Declare {})),
    ];
    (what, 0..30u64, 1..4u64, 0..2usize).prop_map(|(what, term, by, duty)| {
        let duty = [VERSIONS, "seats"][duty].to_owned();
        Act { duty, term, by, what: Some(what) }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any acts, most of them out of place; half are made to fit the present owner, so that much is done.
    #[test]
    fn whatever_comes_terms_rise_and_numbers_are_given_once(
        acts in prop::collection::vec((any_act(), any::<bool>()), 1..120),
    ) {
        let (mut charter, mut twin) = (charter(), charter());
        let mut given: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
        for (mut act, fits) in acts {
            if fits {
                let (owner, term) = charter.owner(&act.duty);
                (act.by, act.term) = (owner, term);
            }
            let before = charter.clone();
            let (outcome, changes) = charter.apply(&act);
            prop_assert_eq!(&twin.apply(&act), &(outcome.clone(), changes.clone()), "all members come to the same");
            for (name, duty) in &charter.duties {
                let (owner, term) = before.owner(name);
                let changed = (owner, term) != (duty.owner, duty.term);
                prop_assert!(!changed || duty.term > term, "an owner changes only with a higher term");
                prop_assert_eq!(changed, changes.contains(&Change::Owner(name.clone())));
            }
            match outcome {
                Outcome::Done => {}
                Outcome::Published(told) => {
                    let content = given.entry(told.number).or_insert_with(|| told.digest.clone());
                    prop_assert_eq!(&*content, &told.digest, "one number, one content");
                }
                Outcome::Stale { .. } | Outcome::Refused(_) => prop_assert_eq!(&charter, &before),
            }
        }
        let numbers: BTreeSet<u64> = charter.versions.keys().copied().collect();
        prop_assert!(numbers.iter().all(|number| given.contains_key(number)));
    }
}
