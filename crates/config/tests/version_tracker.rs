//! The version tracker under random interleavings: what is in force was always checked completely, every offer gets exactly
//! one answer, versions never go backwards, and what was acknowledged survives a crash at any point.

use std::collections::BTreeMap;

use gaugestep_config::proxy_state::{Class, Engine, EngineState, PlatformLimits, ProxyState};
use gaugestep_config::schema::offer::Content;
use gaugestep_config::schema::{Limits, Offer, Route, Target, target::Which};
use gaugestep_config::version_tracker::{
    AcceptedVersion, Action, Event, OfferId, Recovery, StorageFailure, VersionTracker,
};
use gaugestep_config::{Document, RejectReason, Timestamp, check, delta, proxy_check, version};
use proptest::prelude::*;
use prost::Message as _;

fn engine(name: &str, state: EngineState) -> Engine {
    Engine { name: name.into(), kind: "k".into(), zone: "z".into(), cell: 0, state }
}

fn proxy(draining: bool, open: u64) -> ProxyState {
    let state = if draining { EngineState::Draining } else { EngineState::Up };
    ProxyState {
        engines: Some(vec![engine("s-0", EngineState::Up), engine("s-1", state)]),
        classes: vec![Class { name: "load".into(), open }],
        open,
        platform: PlatformLimits { tenants: vec![], max_open: 1_000, max_attempts: 4, retries: None },
    }
}

/// A document that names an engine; not all are valid, and not all are at all times.
fn document(which: u8, number: u64) -> Document {
    let target = |name: &str| Target { which: Some(Which::Engine(name.into())), weight: Some(1.0) };
    let route = |name: &str, targets| Route { name: name.into(), targets, ..Route::default() };
    let limits = Some(Limits { max_open: Some(100 + number as u32), max_attempts: None });
    let routes = match which % 4 {
        0 => vec![],
        1 => vec![route("r", vec![target("s-0")])],
        2 => vec![route("r", vec![target("s-1")])],
        _ => vec![route("r", vec![])],
    };
    Document { routes, limits, ..Document::default() }
}

#[derive(Clone, Debug)]
enum Step {
    Offer {
        ahead: u64,
        which: u8,
        form: u8,
    },
    EndStore {
        fails: bool,
    },
    Drain(bool),
    Open(u64),
    Reconnect,
    /// The process ends; the store operation under way may have been done by then.
    Crash {
        stored: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0u64..4, any::<u8>(), 0u8..6).prop_map(|(ahead, which, form)| Step::Offer { ahead, which, form }),
        6 => prop::bool::weighted(0.15).prop_map(|fails| Step::EndStore { fails }),
        2 => any::<bool>().prop_map(Step::Drain),
        1 => (0u64..200).prop_map(Step::Open),
        1 => Just(Step::Reconnect),
        1 => any::<bool>().prop_map(|stored| Step::Crash { stored }),
    ]
}

/// What the embedder finds stored, which it stored itself.
fn decode(bytes: &[u8]) -> AcceptedVersion {
    AcceptedVersion::decode(bytes).expect("what was stored is intact")
}

/// The embedder, its store and the checks.
struct World {
    tracker: VersionTracker,
    proxy: ProxyState,
    stream: u64,
    nonce: u64,
    number: u64,
    /// Documents by number, as they were offered.
    offered: BTreeMap<u64, Vec<Document>>,
    answers: BTreeMap<OfferId, u32>,
    /// The store: staged, what a start finds, and what was there before.
    staged: Option<(u64, Vec<u8>)>,
    current: Option<Vec<u8>>,
    previous: Option<Vec<u8>>,
    /// Store operations under way, in order.
    storing: Vec<Action>,
    applied: Document,
    acknowledged: u64,
}

impl World {
    fn handle(&mut self, event: Event) {
        let was = self.tracker.in_force().map(|it| it.document.clone()).unwrap_or_default();
        let actions = self.tracker.handle(Timestamp::default(), event, &self.proxy);
        for action in actions {
            match action {
                Action::Apply(document) => {
                    let valid = check::check(&document).is_empty()
                        && proxy_check::check(&document, &self.proxy).is_empty();
                    let known = self.offered.values().flatten().any(|it| *it == *document);
                    // A document that was in force, or none at all, may come back as it was.
                    let again = *document == was || *document == Document::default() || {
                        let stored = self.current.as_deref().map(decode);
                        stored.is_some_and(|stored| stored.document == *document)
                    };
                    assert!(valid && known || again, "in force without a check: {document:?}");
                    self.applied = *document;
                }
                Action::Respond { offer, number, outcome } => {
                    *self.answers.entry(offer).or_default() += 1;
                    if outcome.is_ok() {
                        let current = decode(self.current.as_deref().expect("a version was committed"));
                        assert_eq!(
                            current.version.number, number,
                            "acknowledged, and a start would not find it"
                        );
                        assert!(number >= self.acknowledged, "versions never go backwards");
                        self.acknowledged = number;
                    }
                }
                store => self.storing.push(store),
            }
        }
        let in_force = self.tracker.in_force().map(|it| it.document.clone()).unwrap_or_default();
        assert_eq!(in_force, self.applied, "half applied");
    }

    fn end_store(&mut self, fails: bool) {
        if self.storing.is_empty() {
            return;
        }
        let result = if fails { Err(StorageFailure::new("disk full")) } else { Ok(()) };
        match self.storing.remove(0) {
            Action::Stage { number, bytes } => {
                if !fails {
                    self.staged = Some((number, bytes));
                }
                self.handle(Event::Staged { number, result });
            }
            Action::Commit { number } => {
                if !fails {
                    let (staged, bytes) = self.staged.take().expect("something is staged");
                    assert_eq!(staged, number);
                    self.previous = self.current.replace(bytes);
                }
                self.handle(Event::Committed { number, result });
            }
            other => panic!("{other:?}"),
        }
    }

    fn offer(&mut self, ahead: u64, which: u8, form: u8) {
        let number = if form == 5 { self.number.saturating_sub(ahead) } else { self.number + ahead };
        self.number = self.number.max(number);
        let document = document(which, number);
        self.offered.entry(number).or_default().push(document.clone());
        self.nonce += 1;
        let mut offered = version(number, &document);
        let in_force = self.tracker.in_force();
        let base = in_force.map_or(0, |taken| taken.version.number);
        let old = in_force.map(|taken| taken.document.clone()).unwrap_or_default();
        let content = match form {
            0 => Content::Delta(delta::diff(base, &old, &document)),
            1 => Content::Delta(delta::diff(base + 1, &old, &document)),
            _ => Content::Snapshot(document),
        };
        if form == 2 {
            offered.digest[0] ^= 1;
        }
        let content = (form != 3 || which % 3 > 0).then_some(content);
        let id = OfferId { stream: self.stream, nonce: self.nonce };
        self.answers.insert(id, 0);
        let (version, nonce) = (Some(offered), self.nonce);
        let offer = Offer { version, nonce, content, rolls_back_to: 0, term: 1 };
        self.handle(Event::Offered { stream: self.stream, offer: Box::new(offer) });
    }

    fn reconnect(&mut self) {
        self.handle(Event::StreamEnded { stream: self.stream });
        let ended = self.stream;
        self.answers.retain(|id, answers| id.stream != ended || *answers > 0);
        self.stream += 1;
    }

    fn crash(&mut self, stored: bool) {
        if let (true, Some(Action::Commit { .. }), Some((_, bytes))) =
            (stored, self.storing.first(), &self.staged)
        {
            self.previous = self.current.replace(bytes.clone());
        }
        self.storing.clear();
        self.staged = None;
        let stored_versions: Vec<Result<Vec<u8>, StorageFailure>> =
            [&self.current, &self.previous].into_iter().flatten().map(|bytes| Ok(bytes.clone())).collect();
        // The list has not arrived yet when a proxy starts, and nothing is open.
        let start = ProxyState { engines: None, ..proxy(false, 0) };
        let Recovery { tracker, unusable } =
            VersionTracker::recover(Timestamp::default(), stored_versions, &start);
        assert!(unusable.is_empty(), "{unusable:?}");
        let found = tracker.in_force().map_or(0, |taken| taken.version.number);
        assert!(found >= self.acknowledged, "a start finds what was acknowledged, or a later version");
        self.acknowledged = found;
        self.applied = tracker.in_force().map(|it| it.document.clone()).unwrap_or_default();
        self.tracker = tracker;
        self.answers.retain(|_, answers| *answers > 0);
        self.stream += 1;
        self.proxy = proxy(false, 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_guarantees_hold_for_any_order_of_events(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World {
            tracker: VersionTracker::new(),
            proxy: proxy(false, 0),
            stream: 0,
            nonce: 0,
            number: 1,
            offered: BTreeMap::new(),
            answers: BTreeMap::new(),
            staged: None,
            current: None,
            previous: None,
            storing: Vec::new(),
            applied: Document::default(),
            acknowledged: 0,
        };
        for step in steps {
            match step {
                Step::Offer { ahead, which, form } => world.offer(ahead, which, form),
                Step::EndStore { fails } => world.end_store(fails),
                Step::Drain(draining) => world.proxy = proxy(draining, world.proxy.open),
                Step::Open(open) => {
                    let draining = world.proxy.engines.as_ref().is_some_and(|it| it[1].state == EngineState::Draining);
                    world.proxy = proxy(draining, open);
                }
                Step::Reconnect => world.reconnect(),
                Step::Crash { stored } => world.crash(stored),
            }
            prop_assert!(world.storing.len() <= 1, "one store operation at a time");
        }
        while !world.storing.is_empty() {
            world.end_store(false);
        }
        for (id, answers) in &world.answers {
            prop_assert_eq!(*answers, 1, "{:?}", id);
        }
    }
}

/// A proxy whose last good version is truncated starts on the one before, and says why.
#[test]
fn a_truncated_last_good_version_leaves_the_one_before() {
    let document = document(1, 4);
    let good = AcceptedVersion { version: version(4, &document), document };
    let complete = good.encode();
    for cut in 0..complete.len() {
        let stored = [Ok(complete[..cut].to_vec()), Ok(complete.clone())];
        let Recovery { tracker, unusable } =
            VersionTracker::recover(Timestamp::default(), stored, &proxy(false, 0));
        assert_eq!(tracker.in_force(), Some(&good), "cut at byte {cut}");
        assert_eq!(unusable.len(), 1);
    }
    let Recovery { tracker, unusable } = VersionTracker::recover(
        Timestamp::default(),
        [Ok(vec![0xff; 9]), Err(StorageFailure::new("gone"))],
        &proxy(false, 0),
    );
    assert!(tracker.in_force().is_none());
    assert_eq!(unusable.iter().map(|version| version.reason.code()).collect::<Vec<_>>(), ["unreadable"; 2]);
}

/// An offer that is truncated at any byte, in a frame that hides it, is no message or is rejected.
#[test]
fn an_offer_truncated_at_any_byte_is_never_accepted() {
    let document = document(1, 3);
    let offer = Offer {
        version: Some(version(3, &document)),
        nonce: 9,
        content: Some(Content::Snapshot(document)),
        rolls_back_to: 1,
        term: 1,
    };
    let complete = offer.encode_to_vec();
    let mut messages = 0;
    for cut in 0..complete.len() {
        let Ok(offer) = Offer::decode(&complete[..cut]) else { continue };
        // All but the last field may be there: then the version is complete.
        let all = offer.content.is_some() && offer.version.is_some();
        let mut tracker = VersionTracker::new();
        let actions = tracker.handle(
            Timestamp::default(),
            Event::Offered { stream: 0, offer: Box::new(offer) },
            &proxy(false, 0),
        );
        match &actions[..] {
            [Action::Respond { outcome: Err(_), .. }] => messages += 1,
            [Action::Stage { number: 3, .. }] if all => {}
            other => panic!("cut at byte {cut}: {other:?}"),
        }
    }
    assert!(messages > 0);
}

/// The drain notice that arrives between the two checks.
#[test]
fn a_version_is_rejected_if_its_engine_drains_while_it_is_stored() {
    let mut tracker = VersionTracker::new();
    let document = document(2, 1);
    let offer = Offer {
        version: Some(version(1, &document)),
        nonce: 1,
        content: Some(Content::Snapshot(document)),
        rolls_back_to: 0,
        term: 1,
    };
    let begun = tracker.handle(
        Timestamp::default(),
        Event::Offered { stream: 0, offer: Box::new(offer) },
        &proxy(false, 0),
    );
    assert!(matches!(begun[..], [Action::Stage { number: 1, .. }]), "{begun:?}");
    let ended = tracker.handle(
        Timestamp::from_millis(1),
        Event::Staged { number: 1, result: Ok(()) },
        &proxy(true, 0),
    );
    let [Action::Respond { number: 1, outcome: Err(reason), .. }] = &ended[..] else { panic!("{ended:?}") };
    assert!(
        matches!(reason, RejectReason::NoUsableEngine { draining, .. } if draining == &["s-1"]),
        "{reason}"
    );
    assert!(tracker.in_force().is_none());
}
