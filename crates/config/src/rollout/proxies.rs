//! What a server knows of the proxies that follow it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::schema::Refusal;
use crate::{RejectReason, Timestamp};

use super::comparison::RequestCounts;
use super::{ANSWER_TIMEOUT, ConnectedProxy, RECONNECT_TIMEOUT, ReportedVersion};

/// Disconnected proxies that are remembered.
const MAX_DISCONNECTED: usize = 10_000;

/// What is known of a proxy.
#[derive(Clone, Debug, Default)]
pub struct ProxyStatus {
    /// Its stream, while it is connected.
    pub stream: Option<u64>,
    /// Its build.
    pub build: String,
    /// The version in force; 0: none.
    pub in_force: u64,
    /// Since when that version is in force, as the proxy reported.
    pub in_force_since: Timestamp,
    /// The offer that it has not answered yet.
    pub pending_offer: Option<PendingOffer>,
    /// The version that it rejected last.
    pub last_rejection: Option<Rejection>,
    /// When it last sent anything.
    pub last_seen: Timestamp,
    /// It has a version in force that this server has not published.
    pub is_ahead: bool,
    last_counts: Option<CountReport>,
    /// It is offered no version up to this one, as it rejected this one.
    pub(super) skipped_up_to: u64,
}

/// An offer that awaits its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingOffer {
    /// The nonce under which the proxy answers.
    pub nonce: u64,
    /// The version offered.
    pub number: u64,
    /// When it was offered.
    pub offered_at: Timestamp,
}

/// Outcomes of requests as a proxy has reported them.
#[derive(Clone, Copy, Debug)]
struct CountReport {
    counts: RequestCounts,
    /// The version in force then.
    number: u64,
}

/// A version that a proxy has rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// The version.
    pub number: u64,
    /// Why it was rejected.
    pub refusal: Refusal,
}

impl ProxyStatus {
    pub(super) fn is_connected(&self) -> bool {
        self.stream.is_some()
    }

    /// Starts over for a stream that was opened. Only the last rejection is kept: a proxy that was restarted may accept
    /// what it rejected before.
    pub(super) fn connect(&mut self, now: Timestamp, hello: ConnectedProxy) {
        *self = ProxyStatus {
            stream: Some(hello.stream),
            build: hello.build,
            in_force: hello.in_force.number(),
            // By the proxy's own account, so that a stage that has held goes on holding under another server.
            in_force_since: now - hello.in_force_for,
            last_seen: now,
            is_ahead: matches!(hello.in_force, ReportedVersion::Unpublished(_)),
            last_rejection: self.last_rejection.take(),
            ..ProxyStatus::default()
        };
    }

    pub(super) fn disconnect(&mut self, now: Timestamp) {
        self.stream = None;
        self.pending_offer = None;
        self.last_counts = None;
        self.last_seen = now;
    }

    /// Takes the answer to the pending offer and returns the number of the version that it concerns; `None` if no offer of
    /// this nonce is pending.
    pub(super) fn take_answer(&mut self, now: Timestamp, nonce: u64) -> Option<u64> {
        self.last_seen = now;
        self.pending_offer.take_if(|offer| offer.nonce == nonce).map(|offer| offer.number)
    }

    pub(super) fn accepted(&mut self, now: Timestamp, number: u64) {
        self.in_force = number;
        self.in_force_since = now;
        self.is_ahead = false;
    }

    /// Notes a rejection, and returns its reason if it counts against the version itself.
    pub(super) fn rejected(&mut self, name: &str, number: u64, refusal: Refusal) -> Option<String> {
        if refusal.code == RejectReason::WRONG_BASE {
            // The proxy lacks the version that the delta builds on: the next offer has the complete document.
            self.in_force = 0;
        } else {
            self.skipped_up_to = self.skipped_up_to.max(number);
        }
        let concerns_content = RejectReason::code_concerns_content(&refusal.code);
        let reason = format!("{name}: {}", refusal.reason);
        self.last_rejection = Some(Rejection { number, refusal });
        concerns_content.then_some(reason)
    }

    /// Notes the reported counts and returns the growth since the last report, if one version was in force meanwhile.
    pub(super) fn report_counts(
        &mut self,
        now: Timestamp,
        counts: RequestCounts,
        number: u64,
    ) -> Option<RequestCounts> {
        self.last_seen = now;
        let earlier = self.last_counts.replace(CountReport { counts, number })?;
        (earlier.number == number).then(|| counts.since(earlier.counts))
    }

    /// Why the proxy counts against a version that it was offered or has taken: it has been silent for too long.
    pub(super) fn unresponsive_reason(&self, now: Timestamp, number: u64) -> Option<&'static str> {
        let has_waited = |since: Timestamp, timeout: Duration| now.duration_since(since) >= timeout;
        let unanswered =
            |offer: &PendingOffer| offer.number == number && has_waited(offer.offered_at, ANSWER_TIMEOUT);
        if self.pending_offer.as_ref().is_some_and(unanswered) {
            return Some("does not answer");
        }
        let is_lost =
            !self.is_connected() && self.in_force == number && has_waited(self.last_seen, RECONNECT_TIMEOUT);
        is_lost.then_some("left after it took the version")
    }
}

/// Forgets the proxy that has been disconnected for longest, once there are too many of them.
pub(super) fn forget_longest_disconnected(proxies: &mut BTreeMap<String, ProxyStatus>) {
    let disconnected = proxies.iter().filter(|(_, proxy)| !proxy.is_connected());
    let longest = disconnected.clone().min_by_key(|(_, proxy)| proxy.last_seen);
    if let Some(name) = longest.map(|(name, _)| name.clone()) {
        if disconnected.count() > MAX_DISCONNECTED {
            proxies.remove(&name);
        }
    }
}
