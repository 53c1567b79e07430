//! A receiver rejects messages with a stale term, and persists a term before it accepts messages under it.

use gaugestep_leadership::fencing::{FencingAction, FencingGuard, FencingRejected, PersistError};
use std::collections::BTreeMap;

#[test]
fn a_term_is_persisted_before_a_message_is_accepted() {
    let mut guard = FencingGuard::new(BTreeMap::new());
    let terms = |term| BTreeMap::from([("versions".to_owned(), term)]);
    assert_eq!(guard.check("versions", 3, 'a'), [FencingAction::Persist(terms(3))]);
    assert_eq!(guard.check("versions", 3, 'b'), []);
    assert_eq!(guard.term("versions"), 0);
    assert_eq!(guard.on_persisted(Ok(())), [FencingAction::Accept('a'), FencingAction::Accept('b')]);
    assert_eq!(guard.check("versions", 3, 'c'), [FencingAction::Accept('c')]);
    let stale = FencingRejected::StaleTerm { term: 2, highest: 3 };
    assert_eq!(guard.check("versions", 2, 'd'), [FencingAction::Reject('d', stale)]);
    assert_eq!(guard.check("other", 1, 'e').len(), 1, "each role has its own terms");
    assert_eq!(guard.stale_count(), 1);
}

#[test]
fn a_newer_term_that_arrives_during_a_write_makes_waiting_messages_stale() {
    let mut guard = FencingGuard::new(BTreeMap::new());
    guard.check("d", 1, 'a');
    assert_eq!(guard.check("d", 2, 'b'), []);
    let actions = guard.on_persisted(Ok(()));
    assert_eq!(actions[0], FencingAction::Reject('a', FencingRejected::StaleTerm { term: 1, highest: 2 }));
    assert!(matches!(&actions[1], FencingAction::Persist(terms) if terms["d"] == 2), "{actions:?}");
    assert_eq!(guard.on_persisted(Ok(())), [FencingAction::Accept('b')]);
}

#[test]
fn a_failed_write_accepts_no_message_and_lower_terms_stay_rejected() {
    let mut guard = FencingGuard::new(BTreeMap::from([("d".to_owned(), 4)]));
    guard.check("d", u64::MAX, 'a');
    assert!(matches!(
        &guard.on_persisted(Err(PersistError::new("full")))[..],
        [FencingAction::Reject('a', FencingRejected::NotPersisted(_))]
    ));
    assert!(matches!(
        &guard.check("d", 4, 'b')[..],
        [FencingAction::Reject('b', FencingRejected::StaleTerm { .. })]
    ));
    assert!(
        matches!(&guard.check("d", u64::MAX, 'c')[..], [FencingAction::Persist(_)]),
        "the write is retried"
    );
    assert_eq!(guard.check("d", 0, 'z'), [FencingAction::Reject('z', FencingRejected::MissingTerm)]);
}
