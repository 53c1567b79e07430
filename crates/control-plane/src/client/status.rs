//! The status of a subscriber, as operators see it.

use std::sync::atomic::Ordering;

use gaugestep_config::short_digest;
use gaugestep_config::version_tracker::VersionStatus;
use gaugestep_leadership::{CONFIGURATION_ROLE, ORDINALS_ROLE};
use gaugestep_subsetting::position::FleetPosition;
use serde::Serialize;

use crate::{clock, lock};

use super::state::SubscriberState;
use super::subscriber::ConfigSubscriber;

/// The status of a subscriber, as the proxy's admin API shows it under `configuration`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SubscriberStatus {
    /// The version in force; 0 if there is none.
    pub version: u64,
    /// The first digits of the digest of the version in force; empty if there is none.
    pub digest: String,
    /// Seconds since the version in force was applied; `None` if there is none.
    #[serde(rename = "age_s")]
    pub in_force_seconds: Option<f64>,
    /// Whether the proxy is connected to the holder of the configuration role.
    #[serde(rename = "connected")]
    pub is_following: bool,
    /// The number of versions rejected since the start.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// The highest term of the configuration role that was stored.
    pub term: u64,
    /// The number of messages rejected for a stale term since the start.
    #[serde(rename = "stale_refused")]
    pub stale_rejected: u64,
    /// The random number that identifies this process, in hexadecimal.
    #[serde(rename = "process")]
    pub incarnation: String,
    /// The term under which this process was granted the proxy's name; 0 if it never was.
    pub name_term: u64,
    /// Whether another process was granted the proxy's name since.
    #[serde(rename = "displaced")]
    pub name_is_superseded: bool,
    /// The ordinal that the proxy has a lease on; `None` without a lease.
    #[serde(rename = "seat")]
    pub ordinal: Option<OrdinalStatus>,
    /// The version that was rejected last; `None` if none was.
    #[serde(rename = "last_refusal")]
    pub last_rejection: Option<RejectionStatus>,
    /// The names of the routes in force that have no engine which accepts requests.
    #[serde(rename = "weak_routes")]
    pub routes_without_engines: Vec<String>,
}

/// The ordinal that a proxy has a lease on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OrdinalStatus {
    /// The ordinal, from 0.
    #[serde(rename = "seat")]
    pub ordinal: u32,
    /// The number of ordinals in the fleet.
    #[serde(rename = "seats")]
    pub fleet_size: u32,
    /// The epoch of the roster that assigned the ordinal.
    pub epoch: Option<u64>,
    /// The highest stored term of the role that manages the roster.
    pub term: u64,
    /// Milliseconds until the lease expires.
    #[serde(rename = "left_ms")]
    pub remaining_ms: f64,
}

/// A version that was rejected.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RejectionStatus {
    /// The version's number.
    pub version: u64,
    /// The code of the reject reason.
    pub code: &'static str,
    /// The path of the invalid field; empty if the reason concerns no field.
    pub path: String,
    /// The reject reason as text.
    pub reason: String,
}

impl ConfigSubscriber {
    /// Returns the current status.
    pub fn status(&self) -> SubscriberStatus {
        let mut routes_without_engines = Vec::new();
        self.proxy.with_state(&mut |proxy| {
            routes_without_engines = lock(&self.state).tracker.routes_without_engines(proxy);
        });
        let state = lock(&self.state);
        let in_force = state.tracker.in_force();
        SubscriberStatus {
            version: in_force.map_or(0, |accepted| accepted.version.number),
            digest: in_force.map_or_else(String::new, |accepted| short_digest(&accepted.version.digest)),
            in_force_seconds: in_force.map(|_| self.in_force_seconds(&state).round()),
            is_following: self.is_following.load(Ordering::Relaxed),
            rejected: self.rejected_count.load(Ordering::Relaxed),
            term: state.fencing.term(CONFIGURATION_ROLE),
            stale_rejected: state.fencing.stale_count(),
            incarnation: format!("{:016x}", self.incarnation),
            name_term: state.identity.term,
            name_is_superseded: state.identity.is_superseded,
            ordinal: ordinal_status(&state),
            last_rejection: last_rejection(&state),
            routes_without_engines,
        }
    }

    /// Returns the version in force, its age, and whether the proxy follows the lease holder, as one line.
    pub fn status_line(&self) -> String {
        let state = lock(&self.state);
        let following = if self.is_following.load(Ordering::Relaxed) { "following" } else { "no service" };
        match state.tracker.in_force() {
            None => format!("no version, {following}"),
            Some(accepted) => {
                let seconds = self.in_force_seconds(&state);
                format!("version {}, in force for {seconds:.0} s, {following}", accepted.version.number)
            }
        }
    }

    fn in_force_seconds(&self, state: &SubscriberState) -> f64 {
        self.now().duration_since(state.tracker.in_force_since()).as_secs_f64()
    }
}

fn ordinal_status(state: &SubscriberState) -> Option<OrdinalStatus> {
    let now = clock::now();
    let leased = state.ordinal.lease.position(now)?;
    let FleetPosition::Ordinal { ordinal, fleet_size } = leased.position else { return None };
    Some(OrdinalStatus {
        ordinal,
        fleet_size,
        epoch: state.ordinal.lease.last_grant().map(|grant| grant.epoch),
        term: state.fencing.term(ORDINALS_ROLE),
        remaining_ms: (leased.expires_at.duration_since(now).as_secs_f64() * 1e3).round(),
    })
}

fn last_rejection(state: &SubscriberState) -> Option<RejectionStatus> {
    let rejections = state.tracker.records().filter_map(|record| match &record.status {
        VersionStatus::Rejected(reason) => Some(RejectionStatus {
            version: record.number,
            code: reason.code(),
            path: reason.path().to_owned(),
            reason: reason.to_string(),
        }),
        _ => None,
    });
    rejections.last()
}
