//! The version tracker under random interleavings: a document in force was always validated completely, every
//! offer gets exactly one response, versions never decrease, and an acknowledged version survives a crash at
//! any point.

use std::collections::BTreeMap;

use gaugestep_config::proxy_state::{Class, Engine, EngineState, PlatformLimits, ProxyState};
use gaugestep_config::schema::offer::Content;
use gaugestep_config::schema::{Limits, Offer, Route, Target, target::Which};
use gaugestep_config::version_tracker::{
    AcceptedVersion, Action, Event, OfferId, Recovery, StorageFailure, VersionTracker,
};
use gaugestep_config::{Document, RejectReason, Timestamp, check, delta, proxy_check, text, version};
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

/// One of four documents: without routes, with a route to an engine that is up, with a route to an engine
/// that may be draining, or invalid.
fn document(kind: u8, number: u64) -> Document {
    let target = |name: &str| Target { which: Some(Which::Engine(name.into())), weight: Some(1.0) };
    let route = |name: &str, targets| Route { name: name.into(), targets, ..Route::default() };
    let limits = Some(Limits { max_open: Some(100 + number as u32), max_attempts: None });
    let routes = match kind % 4 {
        0 => vec![],
        1 => vec![route("r", vec![target("s-0")])],
        2 => vec![route("r", vec![target("s-1")])],
        _ => vec![route("r", vec![])],
    };
    Document { routes, limits, ..Document::default() }
}

/// One step of a random interleaving.
#[derive(Clone, Debug)]
enum Step {
    /// A version is offered, `ahead` above the highest number so far, or below it where `form` says so.
    Offer { ahead: u64, document_kind: u8, form: u8 },
    /// The oldest pending store operation ends.
    EndStore { fails: bool },
    /// An engine begins or stops draining.
    Drain(bool),
    /// The number of open requests changes.
    Open(u64),
    /// The stream ends and the next one begins.
    Reconnect,
    /// The process ends. `stored` says whether a pending commit took effect before that, `listed` whether the
    /// configuration of the next process contains the discovery list.
    Crash { stored: bool, listed: bool },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0u64..4, any::<u8>(), 0u8..6)
            .prop_map(|(ahead, document_kind, form)| Step::Offer { ahead, document_kind, form }),
        6 => prop::bool::weighted(0.15).prop_map(|fails| Step::EndStore { fails }),
        2 => any::<bool>().prop_map(Step::Drain),
        1 => (0u64..200).prop_map(Step::Open),
        1 => Just(Step::Reconnect),
        1 => (any::<bool>(), any::<bool>()).prop_map(|(stored, listed)| Step::Crash { stored, listed }),
    ]
}

/// Decodes a version that the embedder has stored.
fn decode(bytes: &[u8]) -> AcceptedVersion {
    AcceptedVersion::decode(bytes).expect("the stored version is intact")
}

/// The embedder with its store, which checks the guarantees at each action.
struct Embedder {
    tracker: VersionTracker,
    proxy: ProxyState,
    stream: u64,
    nonce: u64,
    number: u64,
    /// The offered documents, by number.
    offered: BTreeMap<u64, Vec<Document>>,
    /// The number of responses to each offer.
    responses: BTreeMap<OfferId, u32>,
    /// The store: the staged version, the one that a restart reads first, and the fallback.
    staged: Option<(u64, Vec<u8>)>,
    current: Option<Vec<u8>>,
    previous: Option<Vec<u8>>,
    /// Pending store operations, in order.
    pending_stores: Vec<Action>,
    applied: Document,
    /// The highest acknowledged version.
    acknowledged: u64,
}

impl Embedder {
    fn handle(&mut self, event: Event) {
        let previous = self.tracker.in_force().map(|accepted| accepted.document.clone()).unwrap_or_default();
        let actions = self.tracker.handle(Timestamp::default(), event, &self.proxy);
        for action in actions {
            match action {
                Action::Apply(document) => {
                    let valid = check::check(&document).is_empty()
                        && proxy_check::check(&document, &self.proxy).is_empty();
                    let was_offered = self.offered.values().flatten().any(|offered| *offered == *document);
                    // The previous document, or the empty one, may be restored without validation.
                    let is_restored = *document == previous || *document == Document::default() || {
                        let stored = self.current.as_deref().map(decode);
                        stored.is_some_and(|stored| stored.document == *document)
                    };
                    assert!(valid && was_offered || is_restored, "in force without validation: {document:?}");
                    self.applied = *document;
                }
                Action::Respond { offer, number, outcome } => {
                    *self.responses.entry(offer).or_default() += 1;
                    if outcome.is_ok() {
                        let current = decode(self.current.as_deref().expect("a version was committed"));
                        assert_eq!(
                            current.version.number, number,
                            "an acknowledged version is found after a restart"
                        );
                        assert!(number >= self.acknowledged, "versions never decrease");
                        self.acknowledged = number;
                    }
                }
                store => self.pending_stores.push(store),
            }
        }
        let in_force = self.tracker.in_force().map(|accepted| accepted.document.clone()).unwrap_or_default();
        assert_eq!(in_force, self.applied, "the applied document is the one in force");
    }

    fn end_store(&mut self, fails: bool) {
        if self.pending_stores.is_empty() {
            return;
        }
        let result = if fails { Err(StorageFailure::new("disk full")) } else { Ok(()) };
        match self.pending_stores.remove(0) {
            Action::Stage { number, bytes } => {
                if !fails {
                    self.staged = Some((number, bytes));
                }
                self.handle(Event::Staged { number, result });
            }
            Action::Commit { number } => {
                if !fails {
                    let (staged, bytes) = self.staged.take().expect("a version is staged");
                    assert_eq!(staged, number);
                    self.previous = self.current.replace(bytes);
                }
                self.handle(Event::Committed { number, result });
            }
            other => panic!("{other:?}"),
        }
    }

    /// Offers a version: form 0 is a delta, 1 a delta to a version that is not in force, 2 has a wrong
    /// digest, 3 may have no content, 5 has a number that is not above the highest one, and the rest are
    /// complete documents.
    fn offer(&mut self, ahead: u64, document_kind: u8, form: u8) {
        let number = if form == 5 { self.number.saturating_sub(ahead) } else { self.number + ahead };
        self.number = self.number.max(number);
        let document = document(document_kind, number);
        self.offered.entry(number).or_default().push(document.clone());
        self.nonce += 1;
        let mut offered = version(number, &document);
        let in_force = self.tracker.in_force();
        let base = in_force.map_or(0, |accepted| accepted.version.number);
        let old = in_force.map(|accepted| accepted.document.clone()).unwrap_or_default();
        let content = match form {
            0 => Content::Delta(delta::diff(base, &old, &document)),
            1 => Content::Delta(delta::diff(base + 1, &old, &document)),
            _ => Content::Snapshot(document),
        };
        if form == 2 {
            offered.digest[0] ^= 1;
        }
        let content = (form != 3 || document_kind % 3 > 0).then_some(content);
        let id = OfferId { stream: self.stream, nonce: self.nonce };
        self.responses.insert(id, 0);
        let (version, nonce) = (Some(offered), self.nonce);
        let offer = Offer { version, nonce, content, rolls_back_to: 0, term: 1 };
        self.handle(Event::Offered { stream: self.stream, offer: Box::new(offer) });
    }

    fn reconnect(&mut self) {
        self.handle(Event::StreamEnded { stream: self.stream });
        let ended = self.stream;
        self.responses.retain(|id, responses| id.stream != ended || *responses > 0);
        self.stream += 1;
    }

    /// Whether the engine that may be draining is.
    fn is_draining(&self) -> bool {
        let engines = self.proxy.engines.as_ref();
        engines.is_some_and(|engines| engines[1].state == EngineState::Draining)
    }

    fn crash(&mut self, stored: bool, listed: bool) {
        if let (true, Some(Action::Commit { .. }), Some((_, bytes))) =
            (stored, self.pending_stores.first(), &self.staged)
        {
            self.previous = self.current.replace(bytes.clone());
        }
        self.pending_stores.clear();
        self.staged = None;
        let stored_versions: Vec<Result<Vec<u8>, StorageFailure>> =
            [&self.current, &self.previous].into_iter().flatten().map(|bytes| Ok(bytes.clone())).collect();
        // When a proxy starts, no requests are open, and engines drain as before.
        let restarted = proxy(self.is_draining(), 0);
        let at_start =
            ProxyState { engines: restarted.engines.clone().filter(|_| listed), ..restarted.clone() };
        let Recovery { tracker, unusable, .. } =
            VersionTracker::recover(Timestamp::default(), stored_versions, &at_start);
        assert!(unusable.is_empty(), "{unusable:?}");
        let recovered = tracker.in_force().map_or(0, |accepted| accepted.version.number);
        assert!(recovered >= self.acknowledged, "a restart finds the acknowledged version or a later one");
        self.acknowledged = recovered;
        self.applied = tracker.in_force().map(|accepted| accepted.document.clone()).unwrap_or_default();
        self.tracker = tracker;
        self.responses.retain(|_, responses| *responses > 0);
        self.stream += 1;
        self.proxy = restarted;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_guarantees_hold_for_any_order_of_events(steps in prop::collection::vec(step(), 1..60)) {
        let mut embedder = Embedder {
            tracker: VersionTracker::new(),
            proxy: proxy(false, 0),
            stream: 0,
            nonce: 0,
            number: 1,
            offered: BTreeMap::new(),
            responses: BTreeMap::new(),
            staged: None,
            current: None,
            previous: None,
            pending_stores: Vec::new(),
            applied: Document::default(),
            acknowledged: 0,
        };
        for step in steps {
            match step {
                Step::Offer { ahead, document_kind, form } => embedder.offer(ahead, document_kind, form),
                Step::EndStore { fails } => embedder.end_store(fails),
                Step::Drain(draining) => embedder.proxy = proxy(draining, embedder.proxy.open),
                Step::Open(open) => embedder.proxy = proxy(embedder.is_draining(), open),
                Step::Reconnect => embedder.reconnect(),
                Step::Crash { stored, listed } => embedder.crash(stored, listed),
            }
            prop_assert!(embedder.pending_stores.len() <= 1, "one store operation at a time");
        }
        while !embedder.pending_stores.is_empty() {
            embedder.end_store(false);
        }
        for (id, responses) in &embedder.responses {
            prop_assert_eq!(*responses, 1, "{:?}", id);
        }
    }
}

/// A proxy whose last stored version is truncated, at any byte, starts with the version before it and reports
/// why.
#[test]
fn a_proxy_with_a_truncated_last_version_recovers_the_version_before() {
    let document = document(1, 4);
    let good = AcceptedVersion { version: version(4, &document), document };
    let complete = good.encode();
    for cut in 0..complete.len() {
        let stored = [Ok(complete[..cut].to_vec()), Ok(complete.clone())];
        let Recovery { tracker, unusable, .. } =
            VersionTracker::recover(Timestamp::default(), stored, &proxy(false, 0));
        assert_eq!(tracker.in_force(), Some(&good), "cut at byte {cut}");
        assert_eq!(unusable.len(), 1);
    }
    let Recovery { tracker, unusable, .. } = VersionTracker::recover(
        Timestamp::default(),
        [Ok(vec![0xff; 9]), Err(StorageFailure::new("gone"))],
        &proxy(false, 0),
    );
    assert!(tracker.in_force().is_none());
    assert_eq!(unusable.iter().map(|version| version.reason.code()).collect::<Vec<_>>(), ["unreadable"; 2]);
}

/// Guards against the loss of an acknowledged version at a restart whose engines or settings would no longer
/// allow a new version like it.
#[test]
fn a_restart_keeps_the_stored_version_when_engines_have_left_or_the_settings_were_tightened() {
    let documents = [
        (r#"routes { name: "r" targets { engine: "s-1" } }"#, "no-usable-engine"),
        (r#"routes { name: "r" targets { engine: "s-9" } }"#, "no-usable-engine"),
        (r#"routes { name: "r" classes: "report" targets { engine: "s-0" } }"#, "unknown-name"),
        (r#"tenants { name: "acme" quota_per_s: 5 }"#, "unknown-name"),
        (r#"limits { max_open: 2000 }"#, "beyond-rule"),
    ];
    for (text, code) in documents {
        let document = text::parse(text).expect("the test's document can be read");
        let newest = AcceptedVersion { version: version(4, &document), document };
        let older =
            AcceptedVersion { version: version(3, &Document::default()), document: Document::default() };
        let Recovery { tracker, conflicts, unusable } = VersionTracker::recover(
            Timestamp::default(),
            [Ok(newest.encode()), Ok(older.encode())],
            &proxy(true, 0),
        );
        assert_eq!(tracker.in_force(), Some(&newest), "{text}");
        assert_eq!(unusable, [], "{text}");
        let codes: Vec<&str> = conflicts.iter().map(RejectReason::code).collect();
        assert_eq!(codes, [code], "{text}");
    }
}

/// An offer that was truncated at any byte, without a frame length that would reveal it, cannot be decoded or
/// is rejected.
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
    let mut rejected = 0;
    for cut in 0..complete.len() {
        let Ok(offer) = Offer::decode(&complete[..cut]) else { continue };
        // If only fields after the content are cut off, the version is complete.
        let has_version = offer.content.is_some() && offer.version.is_some();
        let mut tracker = VersionTracker::new();
        let actions = tracker.handle(
            Timestamp::default(),
            Event::Offered { stream: 0, offer: Box::new(offer) },
            &proxy(false, 0),
        );
        match &actions[..] {
            [Action::Respond { outcome: Err(_), .. }] => rejected += 1,
            [Action::Stage { number: 3, .. }] if has_version => {}
            other => panic!("cut at byte {cut}: {other:?}"),
        }
    }
    assert!(rejected > 0);
}

/// A drain notice that arrives between the two validations must not be missed.
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
