//! The status of the proxies that are connected to a control server, or were.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::schema::Refusal;
use crate::{RejectReason, Timestamp};

use super::comparison::RequestCounts;
use super::{ConnectedProxy, RECONNECT_TIMEOUT, RESPONSE_TIMEOUT, ReportedVersion};

/// The number of disconnected proxies whose status is kept.
const MAX_DISCONNECTED: usize = 10_000;

/// The status of a proxy.
#[derive(Clone, Debug, Default)]
pub struct ProxyStatus {
    /// The number of its stream; `None` while it is disconnected.
    pub stream: Option<u64>,
    /// The build that it runs.
    pub build: String,
    /// The number of the version in force at the proxy; 0 if there is none.
    pub in_force: u64,
    /// When that version came into force: by the report of the proxy when it connected, later by its
    /// acknowledgement.
    pub in_force_since: Timestamp,
    /// The offer that it has not responded to yet.
    pub pending_offer: Option<PendingOffer>,
    /// The version that it rejected last.
    pub last_rejection: Option<Rejection>,
    /// When it last connected, sent a message or disconnected.
    pub last_active_at: Timestamp,
    /// Whether it has a version in force that this control server has not published.
    pub is_ahead: bool,
    /// The last report of request outcomes on the present stream.
    last_counts: Option<CountReport>,
    /// The highest version that it rejected on the present stream; no version up to this one is offered.
    pub(super) skipped_up_to: u64,
}

/// An offer that the proxy has not responded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingOffer {
    /// The nonce that identifies the offer in the proxy's response.
    pub nonce: u64,
    /// The number of the offered version.
    pub number: u64,
    /// When it was offered.
    pub offered_at: Timestamp,
}

/// Outcomes of requests as a proxy has reported them.
#[derive(Clone, Copy, Debug)]
struct CountReport {
    counts: RequestCounts,
    /// The version in force at the time of the report.
    number: u64,
}

/// A version that a proxy has rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// The number of the rejected version.
    pub number: u64,
    /// Why it was rejected.
    pub refusal: Refusal,
}

impl ProxyStatus {
    pub(super) fn is_connected(&self) -> bool {
        self.stream.is_some()
    }

    /// Resets the status for a new stream. Only the last rejection is kept, for display: a restarted proxy
    /// may accept a version that it rejected before.
    pub(super) fn connect(&mut self, now: Timestamp, report: ConnectedProxy) {
        *self = ProxyStatus {
            stream: Some(report.stream),
            build: report.build,
            in_force: report.in_force.number(),
            // The time that the proxy reports counts, so that a change of the control server does not restart
            // the wait of a stage.
            in_force_since: now - report.in_force_for,
            last_active_at: now,
            is_ahead: matches!(report.in_force, ReportedVersion::Unpublished(_)),
            last_rejection: self.last_rejection.take(),
            ..ProxyStatus::default()
        };
    }

    pub(super) fn disconnect(&mut self, now: Timestamp) {
        self.stream = None;
        self.pending_offer = None;
        self.last_counts = None;
        self.last_active_at = now;
    }

    /// Ends the pending offer after a response and returns the number of the offered version; `None` if no
    /// offer with this nonce is pending.
    pub(super) fn take_pending_offer(&mut self, now: Timestamp, nonce: u64) -> Option<u64> {
        self.last_active_at = now;
        self.pending_offer.take_if(|offer| offer.nonce == nonce).map(|offer| offer.number)
    }

    /// Records that the proxy has acknowledged a version, which is in force there now.
    pub(super) fn record_acknowledgement(&mut self, now: Timestamp, number: u64) {
        self.in_force = number;
        self.in_force_since = now;
        self.is_ahead = false;
    }

    /// Records a rejection, and returns its reason if it concerns the content of the version.
    pub(super) fn record_rejection(&mut self, name: &str, number: u64, refusal: Refusal) -> Option<String> {
        if refusal.code == RejectReason::WRONG_BASE {
            // The proxy does not have the base version of the delta, so the next offer has the complete
            // document.
            self.in_force = 0;
        } else {
            self.skipped_up_to = self.skipped_up_to.max(number);
        }
        let concerns_content = RejectReason::code_concerns_content(&refusal.code);
        let reason = format!("{name}: {}", refusal.reason);
        self.last_rejection = Some(Rejection { number, refusal });
        concerns_content.then_some(reason)
    }

    /// Records the reported counts and returns the increase since the last report if the same version was in
    /// force at both.
    pub(super) fn record_counts(
        &mut self,
        now: Timestamp,
        counts: RequestCounts,
        number: u64,
    ) -> Option<RequestCounts> {
        self.last_active_at = now;
        let earlier = self.last_counts.replace(CountReport { counts, number })?;
        (earlier.number == number).then(|| counts.since(earlier.counts))
    }

    /// The reason why the proxy counts against a version if it has not responded to the offer, or has
    /// disconnected with the version in force, for too long.
    pub(super) fn unresponsive_reason(&self, now: Timestamp, number: u64) -> Option<&'static str> {
        let has_elapsed = |since: Timestamp, timeout: Duration| now.duration_since(since) >= timeout;
        let is_overdue =
            |offer: &PendingOffer| offer.number == number && has_elapsed(offer.offered_at, RESPONSE_TIMEOUT);
        if self.pending_offer.as_ref().is_some_and(is_overdue) {
            return Some("does not answer");
        }
        let is_lost = !self.is_connected()
            && self.in_force == number
            && has_elapsed(self.last_active_at, RECONNECT_TIMEOUT);
        is_lost.then_some("left after it took the version")
    }
}

/// Discards the status of the proxy that has been disconnected for longest if there are more than
/// [`MAX_DISCONNECTED`].
pub(super) fn discard_longest_disconnected(proxies: &mut BTreeMap<String, ProxyStatus>) {
    let disconnected = proxies.iter().filter(|(_, proxy)| !proxy.is_connected());
    let longest = disconnected.clone().min_by_key(|(_, proxy)| proxy.last_active_at);
    if let Some(name) = longest.map(|(name, _)| name.clone()) {
        if disconnected.count() > MAX_DISCONNECTED {
            proxies.remove(&name);
        }
    }
}
