//! The tracker of versions of one proxy: what was offered, what became of it, what is in force.
//!
//! Decides in which order an offer is checked, stored, checked once more against the proxy as it then runs, taken and
//! answered, and what happens when two come together. Whoever embeds it carries out [`Action`]s and tells of their
//! ends; all I/O and every clock is the embedder's.
//!
//! What it keeps: a version is in force whole or not at all, and only after it was checked whole against the document
//! rules and the proxy at that moment; versions never go backwards; every offer gets exactly one answer, unless its
//! stream ends first; what was acknowledged survives the process.

use std::collections::VecDeque;

use prost::Message as _;

use crate::proxy_state::{self, ProxyState};
use crate::schema::offer::Content;
use crate::{Document, RejectReason, Version, check, delta, digest, schema, short_digest};

/// Versions remembered.
const REMEMBERED: usize = 32;

/// A version with its content.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedVersion {
    /// Its number and digest.
    pub version: Version,
    /// What it holds.
    pub document: Document,
}

impl AcceptedVersion {
    /// As it is stored.
    pub fn encode(&self) -> Vec<u8> {
        let offer = schema::Offer {
            version: Some(self.version.clone()),
            content: Some(Content::Snapshot(self.document.clone())),
            ..schema::Offer::default()
        };
        offer.encode_to_vec()
    }

    /// Reads what was stored; it must be whole.
    pub fn decode(bytes: &[u8]) -> Result<Self, RejectReason> {
        let offer =
            schema::Offer::decode(bytes).map_err(|error| RejectReason::Unreadable(error.to_string()))?;
        let (Some(version), Some(Content::Snapshot(document))) = (offer.version, offer.content) else {
            return Err(RejectReason::Unreadable("it holds no version".into()));
        };
        if digest(&document) != version.digest {
            return Err(RejectReason::DigestDiffers);
        }
        Ok(AcceptedVersion { version, document })
    }
}

/// Names an offer: the stream that it came on and its nonce there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OfferId {
    /// The stream, which the embedder numbers.
    pub stream: u64,
    /// The nonce.
    pub nonce: u64,
}

/// What the embedder tells.
#[derive(Clone, Debug)]
pub enum Event {
    /// A version is offered.
    Offered(u64, Box<schema::Offer>),
    /// [`Action::Stage`] has ended.
    Staged(u64, Result<(), String>),
    /// [`Action::Commit`] has ended.
    Committed(u64, Result<(), String>),
    /// A stream has ended: its offers need no answer any more.
    StreamEnded(u64),
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store this version where a start does not look yet; then tell [`Event::Staged`].
    Stage(u64, Vec<u8>),
    /// This document is in force from now on.
    Apply(Box<Document>),
    /// What was staged is what a start finds, with what was there before kept beside it; then tell
    /// [`Event::Committed`].
    Commit(u64),
    /// The answer to an offer; a refusal if there is one.
    Answer(OfferId, u64, Option<RejectReason>),
}

/// What became of a version.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionStatus {
    /// It came, and waits for the one before it.
    Offered,
    /// It was checked and is being stored.
    Checked,
    /// It is stored, checked again and taken; it is being made what a start finds.
    Staged,
    /// It is in force.
    InForce,
    /// It was in force, and a newer one is.
    Replaced,
    /// It was in force, and was rolled back.
    RolledBack,
    /// It was turned down.
    Rejected(RejectReason),
}

/// One line of the tracker.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionRecord {
    /// The version's number.
    pub number: u64,
    /// The start of its digest.
    pub digest: String,
    /// What became of it.
    pub status: VersionStatus,
    /// When that was last told.
    pub at: f64,
}

/// How far the version that is being taken has come.
enum Step {
    /// It is being stored.
    Staging,
    /// It is in force and being committed; what was in force before, for the case that this fails.
    Committing(Option<Box<AcceptedVersion>>),
}

struct Staging {
    id: OfferId,
    taken: AcceptedVersion,
    rolls_back_to: u64,
    step: Step,
    /// A newer one came, and this one has its answer.
    superseded: bool,
}

/// The tracker.
#[derive(Default)]
pub struct VersionTracker {
    in_force: Option<AcceptedVersion>,
    since: f64,
    staging: Option<Staging>,
    /// The newest offer that waits for the one that is being stored.
    next: Option<(OfferId, schema::Offer)>,
    records: VecDeque<VersionRecord>,
}

impl VersionTracker {
    /// A tracker without any version.
    pub fn new() -> Self {
        Self::default()
    }

    /// A tracker of a proxy that starts, with what it finds stored, the newest first. The first that is whole and that
    /// the proxy may take is in force; why others are not is told with their place.
    pub fn recover(
        now: f64,
        stored: impl IntoIterator<Item = Result<Vec<u8>, String>>,
        proxy: &ProxyState,
    ) -> (Self, Vec<(usize, RejectReason)>) {
        let mut tracker = VersionTracker::new();
        let mut refused = Vec::new();
        for (place, bytes) in stored.into_iter().enumerate() {
            let taken =
                bytes.map_err(RejectReason::Unreadable).and_then(|bytes| AcceptedVersion::decode(&bytes));
            match taken.and_then(|taken| sound(&taken.document, proxy).map(|()| taken)) {
                Ok(taken) => {
                    tracker.note(now, taken.version.number, &taken.version.digest, VersionStatus::InForce);
                    tracker.in_force = Some(taken);
                    tracker.since = now;
                    break;
                }
                Err(refusal) => refused.push((place, refusal)),
            }
        }
        (tracker, refused)
    }

    /// The version in force.
    pub fn in_force(&self) -> Option<&AcceptedVersion> {
        self.in_force.as_ref()
    }

    /// Since when it is.
    pub fn in_force_since(&self) -> f64 {
        self.since
    }

    /// What became of the versions of late, the latest last.
    pub fn records(&self) -> impl Iterator<Item = &VersionRecord> {
        self.records.iter()
    }

    /// The routes in force that have no engine which takes work, by name. A version in force is not withdrawn when
    /// engines go: its routes wait, or open to all, as they say.
    pub fn routes_without_engines(&self, proxy: &ProxyState) -> Vec<String> {
        let (Some(taken), Some(engines)) = (&self.in_force, &proxy.engines) else { return Vec::new() };
        let usable = |route: &schema::Route| {
            engines.iter().any(|it| {
                it.state == proxy_state::EngineState::Up && proxy_state::weight(route, it).is_some()
            })
        };
        taken.document.routes.iter().filter(|route| !usable(route)).map(|it| it.name.clone()).collect()
    }

    /// Takes one event; `live` is the proxy at this moment, which the actions are carried out on before it changes.
    pub fn handle(&mut self, now: f64, event: Event, proxy: &ProxyState) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Offered(stream, offer) => self.offered(now, stream, *offer, proxy, &mut out),
            Event::Staged(number, end) => self.staged(now, number, end, proxy, &mut out),
            Event::Committed(number, end) => self.committed(now, number, end, proxy, &mut out),
            Event::StreamEnded(stream) => {
                // Nobody hears of the one that waits: the next stream offers what is newest then.
                self.next = self.next.take().filter(|(id, _)| id.stream != stream);
            }
        }
        out
    }

    fn offered(
        &mut self,
        now: f64,
        stream: u64,
        offer: schema::Offer,
        proxy: &ProxyState,
        out: &mut Vec<Action>,
    ) {
        let id = OfferId { stream, nonce: offer.nonce };
        let Some(version) = offer.version.clone() else {
            let refusal = RejectReason::Missing { path: "version".into() };
            out.push(Action::Answer(id, 0, Some(refusal)));
            return;
        };
        self.note(now, version.number, &version.digest, VersionStatus::Offered);
        let Some(staging) = &mut self.staging else { return self.begin(now, id, offer, proxy, out) };
        // Only the newest matters: whatever is not in force yet gives way.
        if let Step::Staging = staging.step {
            if !staging.superseded && staging.taken.version.number < version.number {
                staging.superseded = true;
                let (old, number) = (staging.id, staging.taken.version.number);
                self.refuse(now, old, number, RejectReason::Superseded { by: version.number }, out);
            }
        }
        match self.next.take() {
            Some((old, waits)) if waits.version.as_ref().is_some_and(|it| it.number > version.number) => {
                let by = waits.version.as_ref().map_or(0, |it| it.number);
                self.next = Some((old, waits));
                self.refuse(now, id, version.number, RejectReason::Superseded { by }, out);
            }
            waits => {
                self.next = Some((id, offer));
                if let Some((old, waits)) = waits {
                    let number = waits.version.map_or(0, |it| it.number);
                    self.refuse(now, old, number, RejectReason::Superseded { by: version.number }, out);
                }
            }
        }
    }

    /// Checks an offer, and has it stored if nothing speaks against it.
    fn begin(
        &mut self,
        now: f64,
        id: OfferId,
        offer: schema::Offer,
        proxy: &ProxyState,
        out: &mut Vec<Action>,
    ) {
        let version = offer.version.clone().unwrap_or_default();
        let number = version.number;
        if let Some(refusal) = self.stale(&version) {
            return self.refuse(now, id, number, refusal, out);
        }
        if self.in_force.as_ref().is_some_and(|taken| taken.version == version) {
            // Offered anew, as after a lost answer.
            self.note(now, number, &version.digest, VersionStatus::InForce);
            out.push(Action::Answer(id, number, None));
            return;
        }
        let document = self.content(&offer).and_then(|document| {
            if digest(&document) != version.digest {
                return Err(RejectReason::DigestDiffers);
            }
            sound(&document, proxy).map(|()| document)
        });
        match document {
            Err(refusal) => self.refuse(now, id, number, refusal, out),
            Ok(document) => {
                self.note(now, number, &version.digest, VersionStatus::Checked);
                let taken = AcceptedVersion { version, document };
                out.push(Action::Stage(number, taken.encode()));
                let (rolls_back_to, step) = (offer.rolls_back_to, Step::Staging);
                self.staging = Some(Staging { id, taken, rolls_back_to, step, superseded: false });
            }
        }
    }

    /// What the number speaks against.
    fn stale(&self, version: &Version) -> Option<RejectReason> {
        let in_force = &self.in_force.as_ref()?.version;
        let number = version.number;
        if number < in_force.number {
            return Some(RejectReason::NotNewer { offered: number, in_force: in_force.number });
        }
        (number == in_force.number && version.digest != in_force.digest)
            .then_some(RejectReason::Conflicting { number })
    }

    fn content(&self, offer: &schema::Offer) -> Result<Document, RejectReason> {
        match &offer.content {
            None => Err(RejectReason::Missing { path: "content".into() }),
            Some(Content::Snapshot(document)) => Ok(document.clone()),
            Some(Content::Delta(changes)) => match &self.in_force {
                Some(taken) if taken.version.number == changes.base => delta::apply(&taken.document, changes),
                other => {
                    let in_force = other.as_ref().map_or(0, |taken| taken.version.number);
                    Err(RejectReason::WrongBase { base: changes.base, in_force })
                }
            },
        }
    }

    fn staged(
        &mut self,
        now: f64,
        number: u64,
        end: Result<(), String>,
        proxy: &ProxyState,
        out: &mut Vec<Action>,
    ) {
        let ours = |it: &Staging| it.taken.version.number == number && matches!(it.step, Step::Staging);
        let Some(mut staging) = self.staging.take_if(|it| ours(it)) else { return };
        if staging.superseded {
            return self.go_on(now, proxy, out);
        }
        // The proxy may have changed since the first check: an engine that drains, a request that came.
        let fits = end.map_err(RejectReason::NotStored).and_then(|()| sound(&staging.taken.document, proxy));
        if let Err(refusal) = fits {
            self.refuse(now, staging.id, number, refusal, out);
            return self.go_on(now, proxy, out);
        }
        out.push(Action::Apply(Box::new(staging.taken.document.clone())));
        out.push(Action::Commit(number));
        self.note(now, number, &staging.taken.version.digest, VersionStatus::Staged);
        staging.step = Step::Committing(self.in_force.replace(staging.taken.clone()).map(Box::new));
        self.staging = Some(staging);
    }

    fn committed(
        &mut self,
        now: f64,
        number: u64,
        end: Result<(), String>,
        proxy: &ProxyState,
        out: &mut Vec<Action>,
    ) {
        let ours = |it: &Staging| it.taken.version.number == number && matches!(it.step, Step::Committing(_));
        let Some(staging) = self.staging.take_if(|it| ours(it)) else { return };
        let Step::Committing(before) = staging.step else { return };
        match end {
            Ok(()) => {
                let status = if staging.rolls_back_to > 0 {
                    VersionStatus::RolledBack
                } else {
                    VersionStatus::Replaced
                };
                if let Some(before) = &before {
                    self.note(now, before.version.number, &before.version.digest, status);
                }
                self.note(now, number, &staging.taken.version.digest, VersionStatus::InForce);
                self.since = now;
                out.push(Action::Answer(staging.id, number, None));
            }
            Err(why) => {
                // What a start would not find must not be in force: it would be gone without a word.
                let document = before.as_ref().map(|taken| taken.document.clone()).unwrap_or_default();
                self.in_force = before.map(|taken| *taken);
                out.push(Action::Apply(Box::new(document)));
                self.refuse(now, staging.id, number, RejectReason::NotStored(why), out);
            }
        }
        self.go_on(now, proxy, out);
    }

    /// Turns to the offer that has waited.
    fn go_on(&mut self, now: f64, proxy: &ProxyState, out: &mut Vec<Action>) {
        if let Some((id, offer)) = self.next.take() {
            self.begin(now, id, offer, proxy, out);
        }
    }

    fn refuse(&mut self, now: f64, id: OfferId, number: u64, refusal: RejectReason, out: &mut Vec<Action>) {
        // A stale offer says nothing new of the version in force.
        if self.in_force.as_ref().is_none_or(|taken| taken.version.number != number) {
            self.note(now, number, &[], VersionStatus::Rejected(refusal.clone()));
        }
        out.push(Action::Answer(id, number, Some(refusal)));
    }

    fn note(&mut self, now: f64, number: u64, digest: &[u8], status: VersionStatus) {
        let in_force =
            |it: &VersionTracker| it.in_force.as_ref().is_some_and(|taken| taken.version.number == number);
        // An offer of what is in force changes nothing about it.
        if status == VersionStatus::Offered && in_force(self) {
            return;
        }
        match self.records.iter_mut().find(|entry| entry.number == number) {
            Some(entry) => (entry.status, entry.at) = (status, now),
            None => self.records.push_back(VersionRecord {
                number,
                digest: short_digest(digest),
                status,
                at: now,
            }),
        }
        while self.records.len() > REMEMBERED {
            self.records.pop_front();
        }
    }
}

/// Whether the document may be taken now: the first thing that speaks against it.
fn sound(document: &Document, proxy: &ProxyState) -> Result<(), RejectReason> {
    match check::check(document).into_iter().chain(proxy_state::check(document, proxy)).next() {
        None => Ok(()),
        Some(refusal) => Err(refusal),
    }
}
