//! The replicated state machine, command by command: in whatever order they are committed, terms rise, version numbers are
//! given once, and former holders change nothing.

use std::collections::{BTreeMap, BTreeSet};

use gaugestep_config::schema::act::What;
use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{Declare, Keep, Limits, Member, NewState, NewVersion};
use gaugestep_config::{Document, digest};
use gaugestep_leadership::group_state::{
    Command, CommandRejected, GroupState, MAX_TERM_RAISE, Outcome, StateChange,
};
use gaugestep_leadership::{CONFIGURATION_ROLE, ORDINALS_ROLE, RoleHolder};
use proptest::prelude::*;

fn member(number: u64) -> Member {
    Member { number, boot: 1, ..Member::default() }
}

fn group_state() -> GroupState {
    let mut state = GroupState::single_member(9, member(1), BTreeMap::new());
    state.add_member(member(2));
    state.apply(&command(1, 0, What::Assign(1)));
    state
}

fn command(by: u64, term: u64, what: What) -> Command {
    Command { duty: CONFIGURATION_ROLE.into(), term, by, what: Some(what) }
}

fn document(max_open: u64) -> Document {
    let limits = Limits { max_open: Some(max_open as u32), ..Limits::default() };
    Document { limits: Some(limits), ..Document::default() }
}

fn version(max_open: u64, key: &str) -> NewVersion {
    NewVersion { document: Some(document(max_open)), key: key.into(), keep: 100, ..NewVersion::default() }
}

fn holder(member: u64, term: u64) -> RoleHolder {
    RoleHolder { member, term }
}

/// The text with which a command was rejected.
fn rejection(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Rejected(rejected) => rejected.to_string(),
        other => panic!("{other:?}"),
    }
}

/// The text with which a member is refused.
fn join_error(state: &GroupState, number: u64) -> String {
    state.check_join(&member(number)).expect_err("it may not join").to_string()
}

#[test]
fn a_former_holder_publishes_stores_and_hands_over_nothing() {
    let mut state = group_state();
    assert_eq!(state.apply(&command(1, 1, What::HandOver(2))).0, Outcome::Applied);
    assert_eq!(state.holder(CONFIGURATION_ROLE), holder(2, 2));
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
            state.apply(&command(1, 1, what.clone())),
            (Outcome::StaleTerm { term: 1, current: 2 }, vec![])
        );
        assert_eq!(
            state.apply(&command(1, 2, what)).0,
            Outcome::StaleTerm { term: 2, current: 2 },
            "not its holder"
        );
    }
    assert_eq!(state.apply(&command(1, 1, What::Assign(1))).0, Outcome::StaleTerm { term: 1, current: 2 });
    assert_eq!(state, before);
    assert_eq!(state.apply(&command(2, 2, What::Keep(keep))).0, Outcome::Applied);
}

#[test]
fn a_key_publishes_once_and_never_two_contents() {
    let mut state = group_state();
    let first = state.apply(&command(1, 1, What::Version(version(11, "a")))).0;
    let Outcome::Published(published) = &first else { panic!("{first:?}") };
    assert_eq!((published.number, &published.digest), (1, &digest(&document(11))));
    state.apply(&command(1, 1, What::HandOver(2)));
    assert_eq!(
        state.apply(&command(2, 2, What::Version(version(11, "a")))),
        (first, vec![]),
        "by the next holder too"
    );
    let other = state.apply(&command(2, 2, What::Version(version(12, "a")))).0;
    assert!(rejection(&other).contains("another content"));
    let expected = NewVersion { expected_newest: 7, ..version(12, "b") };
    assert!(
        rejection(&state.apply(&command(2, 2, What::Version(expected))).0)
            .contains("version 1 is the newest")
    );
    let above = NewVersion { at_least: 40, ..version(12, "b") };
    let (outcome, changes) = state.apply(&command(2, 2, What::Version(above)));
    assert!(matches!(outcome, Outcome::Published(version) if version.number == 40));
    assert_eq!(
        changes,
        [StateChange::VersionUpdated(1), StateChange::VersionPublished(40)],
        "the same command supersedes a rollout under way"
    );
    let late = NewState { number: 1, state: State::Complete as i32, halted_for: String::new() };
    state.apply(&command(2, 2, What::State(late)));
    assert_eq!(
        state.versions[&1].entry.state(),
        State::Overtaken,
        "a rollout that has ended stays as it ended"
    );
    let last = NewVersion { at_least: u64::MAX, ..version(13, "c") };
    state.apply(&command(2, 2, What::Version(last)));
    assert!(rejection(&state.apply(&command(2, 2, What::Version(version(14, "d")))).0).contains("used up"));
}

#[test]
fn old_versions_are_dropped_but_those_that_are_needed() {
    let mut state = group_state();
    for number in 1..=6 {
        let new = NewVersion { keep: 3, needed: vec![1], ..version(10 + number, &number.to_string()) };
        state.apply(&command(1, 1, What::Version(new)));
    }
    assert_eq!(state.versions.keys().copied().collect::<Vec<_>>(), [1, 4, 5, 6]);
}

#[test]
fn the_highest_terms_have_no_successor_and_a_term_out_of_reach_is_rejected() {
    let mut state = group_state();
    let far = state.apply(&command(1, 1, What::Raise(2 + MAX_TERM_RAISE))).0;
    assert!(rejection(&far).contains("further off"));
    assert_eq!(state.apply(&command(1, 1, What::Raise(1 + MAX_TERM_RAISE))).0, Outcome::Applied);
    assert_eq!(state.holder(CONFIGURATION_ROLE), holder(1, 2 + MAX_TERM_RAISE));
    let exhausted = CommandRejected::TermsExhausted(CONFIGURATION_ROLE.into());
    for (term, expected) in
        [(u64::MAX - 2, Outcome::Applied), (u64::MAX - 1, Outcome::Rejected(exhausted.clone()))]
    {
        state.roles.get_mut(CONFIGURATION_ROLE).unwrap().term = term;
        let outcome = state.apply(&command(1, term, What::HandOver(2))).0;
        match expected {
            Outcome::Applied => {
                assert_eq!(
                    (outcome, state.holder(CONFIGURATION_ROLE)),
                    (Outcome::Applied, holder(2, u64::MAX - 1))
                )
            }
            _ => assert!(rejection(&state.apply(&command(2, term, What::HandOver(1))).0).contains("used up")),
        }
    }
    state.remove_member(2);
    assert_eq!(
        state.holder(CONFIGURATION_ROLE),
        holder(2, u64::MAX - 1),
        "no term can follow, and nobody acts for a member that left"
    );
}

#[test]
fn members_join_once_and_a_state_stored_twice_does_not_undo_a_later_one() {
    let mut state = group_state();
    state.apply(&command(1, 1, What::HandOver(2)));
    state.remove_member(2);
    assert_eq!(state.holder(CONFIGURATION_ROLE), holder(0, 3), "nobody holds its roles");
    assert!(join_error(&state, 2).contains("is gone"));
    assert!(join_error(&state, 1).contains("there already"));
    assert_eq!(state.check_join(&member(3)), Ok(()));
    state.apply(&command(1, 3, What::Assign(1)));
    for (bytes, order) in [(vec![1], 1), (vec![2], 2), (vec![1], 1)] {
        state.apply(&command(1, 4, What::Keep(Keep { state: bytes, order })));
    }
    assert_eq!(state.roles[CONFIGURATION_ROLE].state, [2]);
    let moved = Member { boot: 2, listen: "x".into(), ..member(1) };
    state.apply(&command(1, 0, What::Member(moved.clone())));
    assert!(
        matches!(state.apply(&command(1, 0, What::Member(member(1)))).0, Outcome::Rejected(_)),
        "an earlier start"
    );
    assert_eq!(state.members[&1], moved);
    let copy = GroupState::from_schema(state.to_snapshot());
    assert_eq!(copy, state, "a snapshot has all of the state");
    for name in ["", "a b", &"n".repeat(200)] {
        let declare =
            Command { duty: name.into(), what: Some(What::Declare(Declare {})), ..Command::default() };
        assert!(rejection(&state.apply(&declare).0).contains("no name"));
    }
}

fn any_command() -> impl Strategy<Value = Command> {
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
    (what, 0..30u64, 1..4u64, 0..2usize).prop_map(|(what, term, by, role)| {
        let duty = [CONFIGURATION_ROLE, ORDINALS_ROLE][role].to_owned();
        Command { duty, term, by, what: Some(what) }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any commands, most of them stale; half are made to fit the current holder, so that many take effect.
    #[test]
    fn for_any_commands_terms_rise_and_version_numbers_are_given_once(
        commands in prop::collection::vec((any_command(), any::<bool>()), 1..120),
    ) {
        let (mut state, mut twin) = (group_state(), group_state());
        let mut given: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
        for (mut command, fits) in commands {
            if fits {
                let current = state.holder(&command.duty);
                (command.by, command.term) = (current.member, current.term);
            }
            let before = state.clone();
            let (outcome, changes) = state.apply(&command);
            prop_assert_eq!(&twin.apply(&command), &(outcome.clone(), changes.clone()), "all members come to the same state");
            for (name, role) in &state.roles {
                let (previous, current) = (before.holder(name), state.holder(name));
                let changed = previous != current;
                prop_assert!(!changed || role.term > previous.term, "a holder changes only with a higher term");
                prop_assert_eq!(changed, changes.contains(&StateChange::HolderChanged(name.clone())));
            }
            match outcome {
                Outcome::Applied => {}
                Outcome::Published(version) => {
                    let content = given.entry(version.number).or_insert_with(|| version.digest.clone());
                    prop_assert_eq!(&*content, &version.digest, "one number, one content");
                }
                Outcome::StaleTerm { .. } | Outcome::Rejected(_) => prop_assert_eq!(&state, &before),
            }
        }
        let numbers: BTreeSet<u64> = state.versions.keys().copied().collect();
        prop_assert!(numbers.iter().all(|number| given.contains_key(number)));
    }
}
