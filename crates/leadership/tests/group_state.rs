//! The replicated state machine: in whatever order commands are committed, terms rise, each version number is
//! assigned once, and commands of former holders change nothing.

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

fn command(by: u64, term: u64, operation: What) -> Command {
    Command { duty: CONFIGURATION_ROLE.into(), term, by, what: Some(operation) }
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

/// The text of the reason for which a command was rejected.
fn reject_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Rejected(rejected) => rejected.to_string(),
        other => panic!("{other:?}"),
    }
}

/// The text of the reason for which a member is not allowed to join.
fn join_error(state: &GroupState, number: u64) -> String {
    state.check_join(&member(number)).expect_err("the member may not join").to_string()
}

#[test]
fn commands_of_a_former_holder_change_nothing() {
    let mut state = group_state();
    assert_eq!(state.apply(&command(1, 1, What::HandOver(2))).0, Outcome::Applied);
    assert_eq!(state.holder(CONFIGURATION_ROLE), holder(2, 2));
    let before = state.clone();
    let keep = Keep { state: vec![1], order: 1 };
    for operation in [
        What::Version(version(11, "a")),
        What::Keep(keep.clone()),
        What::HandOver(1),
        What::State(NewState::default()),
        What::Raise(9),
    ] {
        assert_eq!(
            state.apply(&command(1, 1, operation.clone())),
            (Outcome::StaleTerm { term: 1, current: 2 }, vec![])
        );
        assert_eq!(
            state.apply(&command(1, 2, operation)).0,
            Outcome::StaleTerm { term: 2, current: 2 },
            "the proposer does not hold the role"
        );
    }
    assert_eq!(state.apply(&command(1, 1, What::Assign(1))).0, Outcome::StaleTerm { term: 1, current: 2 });
    assert_eq!(state, before);
    assert_eq!(state.apply(&command(2, 2, What::Keep(keep))).0, Outcome::Applied);
}

#[test]
fn a_key_publishes_one_version_with_one_document() {
    let mut state = group_state();
    let first = state.apply(&command(1, 1, What::Version(version(11, "a")))).0;
    let Outcome::Published(published) = &first else { panic!("{first:?}") };
    assert_eq!((published.number, &published.digest), (1, &digest(&document(11))));
    state.apply(&command(1, 1, What::HandOver(2)));
    assert_eq!(
        state.apply(&command(2, 2, What::Version(version(11, "a")))),
        (first, vec![]),
        "a publication of the next holder under the same key returns the first version"
    );
    let other_document = state.apply(&command(2, 2, What::Version(version(12, "a")))).0;
    assert!(reject_text(&other_document).contains("another content"));
    let unexpected = NewVersion { expected_newest: 7, ..version(12, "b") };
    assert!(
        reject_text(&state.apply(&command(2, 2, What::Version(unexpected))).0)
            .contains("version 1 is the newest")
    );
    let above = NewVersion { at_least: 40, ..version(12, "b") };
    let (outcome, changes) = state.apply(&command(2, 2, What::Version(above)));
    assert!(matches!(outcome, Outcome::Published(version) if version.number == 40));
    assert_eq!(
        changes,
        [StateChange::VersionUpdated(1), StateChange::VersionPublished(40)],
        "a publication supersedes the rollout under way"
    );
    let late_state = NewState { number: 1, state: State::Complete as i32, halted_for: String::new() };
    state.apply(&command(2, 2, What::State(late_state)));
    assert_eq!(
        state.versions[&1].entry.state(),
        State::Overtaken,
        "the state of a rollout that has ended does not change"
    );
    let last = NewVersion { at_least: u64::MAX, ..version(13, "c") };
    state.apply(&command(2, 2, What::Version(last)));
    assert!(reject_text(&state.apply(&command(2, 2, What::Version(version(14, "d")))).0).contains("used up"));
}

#[test]
fn old_versions_are_dropped_unless_they_are_needed() {
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
    let too_high = state.apply(&command(1, 1, What::Raise(2 + MAX_TERM_RAISE))).0;
    assert!(reject_text(&too_high).contains("further off"));
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
            _ => {
                assert!(reject_text(&state.apply(&command(2, term, What::HandOver(1))).0).contains("used up"))
            }
        }
    }
    state.remove_member(2);
    assert_eq!(
        state.holder(CONFIGURATION_ROLE),
        holder(2, u64::MAX - 1),
        "no term can follow, so that the removed member stays the holder"
    );
}

#[test]
fn members_join_once_and_a_state_stored_twice_does_not_undo_a_later_one() {
    let mut state = group_state();
    state.apply(&command(1, 1, What::HandOver(2)));
    state.remove_member(2);
    assert_eq!(
        state.holder(CONFIGURATION_ROLE),
        holder(0, 3),
        "the roles of a removed member have no holder"
    );
    assert!(join_error(&state, 2).contains("is gone"));
    assert!(join_error(&state, 1).contains("there already"));
    assert_eq!(state.check_join(&member(3)), Ok(()));
    state.apply(&command(1, 3, What::Assign(1)));
    for (bytes, order) in [(vec![1], 1), (vec![2], 2), (vec![1], 1)] {
        state.apply(&command(1, 4, What::Keep(Keep { state: bytes, order })));
    }
    assert_eq!(state.roles[CONFIGURATION_ROLE].state, [2]);
    let later_start = Member { boot: 2, listen: "x".into(), ..member(1) };
    state.apply(&command(1, 0, What::Member(later_start.clone())));
    assert!(
        matches!(state.apply(&command(1, 0, What::Member(member(1)))).0, Outcome::Rejected(_)),
        "an earlier start is rejected"
    );
    assert_eq!(state.members[&1], later_start);
    let restored = GroupState::from_schema(state.to_snapshot());
    assert_eq!(restored, state, "a snapshot contains the complete state");
    for name in ["", "a b", &"n".repeat(200)] {
        let declare =
            Command { duty: name.into(), what: Some(What::Declare(Declare {})), ..Command::default() };
        assert!(reject_text(&state.apply(&declare).0).contains("no name"));
    }
}

fn any_command() -> impl Strategy<Value = Command> {
    let operation = prop_oneof![
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
    (operation, 0..30u64, 1..4u64, 0..2usize).prop_map(|(operation, term, by, role)| {
        let duty = [CONFIGURATION_ROLE, ORDINALS_ROLE][role].to_owned();
        Command { duty, term, by, what: Some(operation) }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Applies random commands. About half of them get the current holder and term, so that many take effect;
    /// most others are stale.
    #[test]
    fn for_any_commands_terms_rise_and_version_numbers_are_assigned_once(
        commands in prop::collection::vec((any_command(), any::<bool>()), 1..120),
    ) {
        let (mut state, mut state_of_other_member) = (group_state(), group_state());
        let mut digests: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
        for (mut command, is_from_holder) in commands {
            if is_from_holder {
                let current = state.holder(&command.duty);
                (command.by, command.term) = (current.member, current.term);
            }
            let before = state.clone();
            let (outcome, changes) = state.apply(&command);
            let result_at_other_member = state_of_other_member.apply(&command);
            let result = (outcome.clone(), changes.clone());
            prop_assert_eq!(&result_at_other_member, &result, "all members reach the same state");
            for (name, role) in &state.roles {
                let changed = before.holder(name) != state.holder(name);
                let term_rose = role.term > before.holder(name).term;
                prop_assert!(!changed || term_rose, "a holder changes only with a higher term");
                prop_assert_eq!(changed, changes.contains(&StateChange::HolderChanged(name.clone())));
            }
            match outcome {
                Outcome::Applied => {}
                Outcome::Published(version) => {
                    let digest = digests.entry(version.number).or_insert_with(|| version.digest.clone());
                    prop_assert_eq!(&*digest, &version.digest, "each version number has one document");
                }
                Outcome::StaleTerm { .. } | Outcome::Rejected(_) => prop_assert_eq!(&state, &before),
            }
        }
        let numbers: BTreeSet<u64> = state.versions.keys().copied().collect();
        prop_assert!(numbers.iter().all(|number| digests.contains_key(number)));
    }
}
