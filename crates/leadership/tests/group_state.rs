//! What is agreed on, act by act: whatever comes in whatever order, terms rise, numbers are given once, and old owners do
//! nothing.

use std::collections::{BTreeMap, BTreeSet};

use gaugestep_config::schema::act::What;
use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{Act, Declare, Keep, Limits, Member, NewState, NewVersion};
use gaugestep_config::{Document, digest};
use gaugestep_leadership::CONFIGURATION_ROLE;
use gaugestep_leadership::group_state::{GroupState, MAX_TERM_RAISE, Outcome, StateChange};
use proptest::prelude::*;

fn member(number: u64) -> Member {
    Member { number, boot: 1, ..Member::default() }
}

fn group_state() -> GroupState {
    let mut state = GroupState::single_member(9, member(1), BTreeMap::new());
    state.add_member(member(2));
    state.apply(&act(1, 0, What::Assign(1)));
    state
}

fn act(by: u64, term: u64, what: What) -> Act {
    Act { duty: CONFIGURATION_ROLE.into(), term, by, what: Some(what) }
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
        Outcome::Rejected(why) => why.clone(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_old_owner_publishes_keeps_and_hands_over_nothing() {
    let mut state = group_state();
    assert_eq!(state.apply(&act(1, 1, What::HandOver(2))).0, Outcome::Applied);
    assert_eq!(state.holder(CONFIGURATION_ROLE), (2, 2));
    let before = state.clone();
    let keep = Keep { state: vec![1], order: 1 };
    for what in [
        What::Version(version(11, "a")),
        What::Keep(keep.clone()),
        What::HandOver(1),
        What::State(NewState::default()),
        What::Raise(9),
    ] {
        assert_eq!(
            state.apply(&act(1, 1, what.clone())),
            (Outcome::StaleTerm { term: 1, current: 2 }, vec![])
        );
        assert_eq!(
            state.apply(&act(1, 2, what)).0,
            Outcome::StaleTerm { term: 2, current: 2 },
            "not its owner"
        );
    }
    assert_eq!(state.apply(&act(1, 1, What::Assign(1))).0, Outcome::StaleTerm { term: 1, current: 2 });
    assert_eq!(state, before);
    assert_eq!(state.apply(&act(2, 2, What::Keep(keep))).0, Outcome::Applied);
}

#[test]
fn a_key_publishes_once_and_never_two_contents() {
    let mut state = group_state();
    let first = state.apply(&act(1, 1, What::Version(version(11, "a")))).0;
    let Outcome::Published(told) = &first else { panic!("{first:?}") };
    assert_eq!((told.number, &told.digest), (1, &digest(&document(11))));
    state.apply(&act(1, 1, What::HandOver(2)));
    assert_eq!(
        state.apply(&act(2, 2, What::Version(version(11, "a")))),
        (first, vec![]),
        "by the next owner too"
    );
    let other = state.apply(&act(2, 2, What::Version(version(12, "a")))).0;
    assert!(refused(&other).contains("another content"));
    let expected = NewVersion { expected_newest: 7, ..version(12, "b") };
    assert!(refused(&state.apply(&act(2, 2, What::Version(expected))).0).contains("version 1 is the newest"));
    let above = NewVersion { at_least: 40, ..version(12, "b") };
    let (outcome, changes) = state.apply(&act(2, 2, What::Version(above)));
    assert!(matches!(outcome, Outcome::Published(told) if told.number == 40));
    assert_eq!(
        changes,
        [StateChange::VersionUpdated(1), StateChange::VersionPublished(40)],
        "what was on its way is overtaken by that very act"
    );
    let late = NewState { number: 1, state: State::Complete as i32, halted_for: String::new() };
    state.apply(&act(2, 2, What::State(late)));
    assert_eq!(state.versions[&1].entry.state(), State::Overtaken, "what has ended stays as it ended");
    let last = NewVersion { at_least: u64::MAX, ..version(13, "c") };
    state.apply(&act(2, 2, What::Version(last)));
    assert!(refused(&state.apply(&act(2, 2, What::Version(version(14, "d")))).0).contains("used up"));
}

#[test]
fn old_versions_go_and_what_is_needed_stays() {
    let mut state = group_state();
    for number in 1..=6 {
        let new = NewVersion { keep: 3, needed: vec![1], ..version(10 + number, &number.to_string()) };
        state.apply(&act(1, 1, What::Version(new)));
    }
    assert_eq!(state.versions.keys().copied().collect::<Vec<_>>(), [1, 4, 5, 6]);
}

#[test]
fn terms_at_the_edge_have_no_successor_and_an_absurd_one_is_not_gone_above() {
    let mut state = group_state();
    let far = state.apply(&act(1, 1, What::Raise(2 + MAX_TERM_RAISE))).0;
    assert!(refused(&far).contains("further off"));
    assert_eq!(state.apply(&act(1, 1, What::Raise(1 + MAX_TERM_RAISE))).0, Outcome::Applied);
    assert_eq!(state.holder(CONFIGURATION_ROLE), (1, 2 + MAX_TERM_RAISE));
    for (term, outcome) in
        [(u64::MAX - 2, Outcome::Applied), (u64::MAX - 1, Outcome::Rejected(String::new()))]
    {
        state.roles.get_mut(CONFIGURATION_ROLE).unwrap().term = term;
        let told = state.apply(&act(1, term, What::HandOver(2))).0;
        match outcome {
            Outcome::Applied => {
                assert_eq!((told, state.holder(CONFIGURATION_ROLE)), (Outcome::Applied, (2, u64::MAX - 1)))
            }
            _ => assert!(refused(&state.apply(&act(2, term, What::HandOver(1))).0).contains("used up")),
        }
    }
    state.remove_member(2);
    assert_eq!(
        state.holder(CONFIGURATION_ROLE),
        (2, u64::MAX - 1),
        "nobody can follow, and nobody acts for a member that left"
    );
}

#[test]
fn members_come_once_and_a_state_that_comes_twice_does_not_undo_a_later_one() {
    let mut state = group_state();
    state.apply(&act(1, 1, What::HandOver(2)));
    state.remove_member(2);
    assert_eq!(state.holder(CONFIGURATION_ROLE), (0, 3), "what it owned has no owner");
    assert!(state.join_rejection(&member(2)).unwrap().contains("is gone"));
    assert!(state.join_rejection(&member(1)).unwrap().contains("there already"));
    assert_eq!(state.join_rejection(&member(3)), None);
    state.apply(&act(1, 3, What::Assign(1)));
    for (bytes, order) in [(vec![1], 1), (vec![2], 2), (vec![1], 1)] {
        state.apply(&act(1, 4, What::Keep(Keep { state: bytes, order })));
    }
    assert_eq!(state.roles[CONFIGURATION_ROLE].state, [2]);
    let moved = Member { boot: 2, listen: "x".into(), ..member(1) };
    state.apply(&act(1, 0, What::Member(moved.clone())));
    assert!(
        matches!(state.apply(&act(1, 0, What::Member(member(1)))).0, Outcome::Rejected(_)),
        "an earlier start"
    );
    assert_eq!(state.members[&1], moved);
    let copy = GroupState::from_schema(state.to_snapshot());
    assert_eq!(copy, state, "what is sent is all of it");
    for name in ["", "a b", &"n".repeat(200)] {
        let declare = Act { duty: name.into(), what: Some(What::Declare(Declare {})), ..Act::default() };
        assert!(refused(&state.apply(&declare).0).contains("no name"));
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
        let duty = [CONFIGURATION_ROLE, "seats"][duty].to_owned();
        Act { duty, term, by, what: Some(what) }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any acts, most of them out of place; half are made to fit the current owner, so that much is done.
    #[test]
    fn whatever_comes_terms_rise_and_numbers_are_given_once(
        acts in prop::collection::vec((any_act(), any::<bool>()), 1..120),
    ) {
        let (mut state, mut twin) = (group_state(), group_state());
        let mut given: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
        for (mut act, fits) in acts {
            if fits {
                let (owner, term) = state.holder(&act.duty);
                (act.by, act.term) = (owner, term);
            }
            let before = state.clone();
            let (outcome, changes) = state.apply(&act);
            prop_assert_eq!(&twin.apply(&act), &(outcome.clone(), changes.clone()), "all members come to the same");
            for (name, duty) in &state.roles {
                let (owner, term) = before.holder(name);
                let changed = (owner, term) != (duty.owner, duty.term);
                prop_assert!(!changed || duty.term > term, "an owner changes only with a higher term");
                prop_assert_eq!(changed, changes.contains(&StateChange::HolderChanged(name.clone())));
            }
            match outcome {
                Outcome::Applied => {}
                Outcome::Published(told) => {
                    let content = given.entry(told.number).or_insert_with(|| told.digest.clone());
                    prop_assert_eq!(&*content, &told.digest, "one number, one content");
                }
                Outcome::StaleTerm { .. } | Outcome::Rejected(_) => prop_assert_eq!(&state, &before),
            }
        }
        let numbers: BTreeSet<u64> = state.versions.keys().copied().collect();
        prop_assert!(numbers.iter().all(|number| given.contains_key(number)));
    }
}
