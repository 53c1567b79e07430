//! What goes into a [`Rollout`](super::Rollout) and what comes out of it.

use std::time::Duration;

use crate::schema::entry::State;
use crate::schema::{Plan, Refusal};

use super::comparison::RequestCounts;

/// What the embedder reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// A version was published and stored.
    Published {
        /// Its number, the highest so far.
        number: u64,
        /// How it is rolled out.
        plan: Plan,
        /// The version whose content it restores; 0: none.
        rolls_back_to: u64,
    },
    /// A proxy has opened a stream.
    Connected(ConnectedProxy),
    /// A stream has ended.
    Disconnected {
        /// The proxy.
        proxy: String,
        /// The stream.
        stream: u64,
    },
    /// A proxy has answered an offer.
    Responded {
        /// The proxy.
        proxy: String,
        /// The stream.
        stream: u64,
        /// The offer's nonce.
        nonce: u64,
        /// Why the version was rejected, if it was.
        refusal: Option<Refusal>,
    },
    /// A proxy has reported the outcomes of its requests.
    RequestsCounted {
        /// The proxy.
        proxy: String,
        /// The stream.
        stream: u64,
        /// Outcomes since the proxy's start.
        counts: RequestCounts,
        /// The version in force meanwhile.
        number: u64,
    },
    /// Time has passed.
    Tick,
}

/// What a proxy says of itself when it opens a stream.
#[derive(Clone, Debug)]
pub struct ConnectedProxy {
    /// The proxy's name.
    pub proxy: String,
    /// The stream; the numbers of streams rise.
    pub stream: u64,
    /// The version in force there.
    pub in_force: ReportedVersion,
    /// The proxy's build.
    pub build: String,
    /// For how long it has had that version in force.
    pub in_force_for: Duration,
}

/// The version that a proxy reports to have in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedVersion {
    /// It has none.
    None,
    /// A version that this server has published, with the same content.
    Published(u64),
    /// A version that this server has not published.
    Unpublished(u64),
}

impl ReportedVersion {
    /// The version's number; 0: none.
    pub fn number(self) -> u64 {
        match self {
            ReportedVersion::None => 0,
            ReportedVersion::Published(number) | ReportedVersion::Unpublished(number) => number,
        }
    }
}

/// What the embedder has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer a version to a proxy.
    Offer {
        /// The proxy.
        proxy: String,
        /// Its stream.
        stream: u64,
        /// The nonce under which the proxy answers.
        nonce: u64,
        /// The version.
        number: u64,
        /// The version in force at the proxy, relative to which a delta may be sent; 0: none that this server knows.
        base: u64,
    },
    /// Store that the state of a version has changed.
    StateChanged {
        /// The version.
        number: u64,
        /// Its new state.
        state: State,
        /// Why it was halted; empty where it was not.
        reason: String,
    },
    /// Publish the content of version `restored` as the next version, to all proxies at once.
    RollBack {
        /// The version that was halted.
        halted: u64,
        /// The version whose content is restored; 0: an empty document.
        restored: u64,
        /// Why the version was halted.
        reason: String,
    },
}
