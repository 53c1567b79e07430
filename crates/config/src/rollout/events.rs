//! The events that a [`Rollout`](super::Rollout) processes and the actions that it returns.

use std::time::Duration;

use crate::schema::entry::State;
use crate::schema::{Plan, Refusal};

use super::comparison::RequestCounts;
use super::version::Purpose;

/// An event that the embedder reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// A version was published and stored.
    Published {
        /// The number of the version, the highest so far.
        number: u64,
        /// The plan of its rollout.
        plan: Plan,
        /// Why the version was published.
        purpose: Purpose,
    },
    /// A proxy has opened a stream.
    Connected(ConnectedProxy),
    /// A stream has ended.
    Disconnected {
        /// The name of the proxy.
        proxy: String,
        /// The number of the stream.
        stream: u64,
    },
    /// A proxy has responded to an offer.
    Responded {
        /// The name of the proxy.
        proxy: String,
        /// The number of the stream.
        stream: u64,
        /// The nonce of the offer.
        nonce: u64,
        /// Why the proxy rejected the version; `None` if it acknowledged it.
        refusal: Option<Refusal>,
    },
    /// A proxy has reported the outcomes of its requests.
    RequestsCounted {
        /// The name of the proxy.
        proxy: String,
        /// The number of the stream.
        stream: u64,
        /// The outcomes of requests since the start of the proxy.
        counts: RequestCounts,
        /// The version in force at the time of the report.
        number: u64,
    },
    /// Time has passed; sent at regular intervals.
    Tick,
}

/// The state that a proxy reports when it opens a stream.
#[derive(Clone, Debug)]
pub struct ConnectedProxy {
    /// The name of the proxy.
    pub proxy: String,
    /// The number of the stream; a later stream has a higher number.
    pub stream: u64,
    /// The version in force at the proxy.
    pub in_force: ReportedVersion,
    /// The build that the proxy runs.
    pub build: String,
    /// The time for which that version has been in force at the proxy.
    pub in_force_for: Duration,
}

/// The version that a proxy reports as in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedVersion {
    /// No version is in force.
    None,
    /// A version that this control server has published with the same content.
    Published(u64),
    /// A version that this control server has not published, or published with other content.
    Unpublished(u64),
}

impl ReportedVersion {
    /// The number of the version; 0 if none is in force.
    pub fn number(self) -> u64 {
        match self {
            ReportedVersion::None => 0,
            ReportedVersion::Published(number) | ReportedVersion::Unpublished(number) => number,
        }
    }
}

/// An action that the embedder executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer a version to a proxy.
    Offer {
        /// The name of the proxy.
        proxy: String,
        /// The number of its stream.
        stream: u64,
        /// The nonce that identifies the offer in the proxy's response.
        nonce: u64,
        /// The number of the version.
        number: u64,
        /// The version in force at the proxy, to which a delta may be sent; 0 if the complete document must
        /// be sent.
        base: u64,
    },
    /// Store the changed state of a version's rollout.
    StateChanged {
        /// The number of the version.
        number: u64,
        /// The new state of the rollout.
        state: State,
        /// Why the rollout halted; empty if the new state is not halted.
        reason: String,
    },
    /// Publish the content of version `restored` as the next version, to all proxies at once.
    RollBack {
        /// The number of the version that was halted.
        halted: u64,
        /// The version whose content is restored; 0 for an empty document.
        restored: u64,
        /// Why the rollout halted.
        reason: String,
    },
}
