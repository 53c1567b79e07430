//! What a version is published with, and how it is offered to a proxy.

use std::time::{SystemTime, UNIX_EPOCH};

use gaugestep_config::delta;
use gaugestep_config::schema::offer::Content;
use gaugestep_config::schema::{NewVersion, Offer};
use gaugestep_leadership::CONFIGURATION_ROLE;
use gaugestep_leadership::group_state::{GroupState, StoredVersion, version_number};
use prost::Message as _;

use crate::server::state::{ServerContext, ServerState};

/// Most proxies have seen a later term than the one under which something was to be published.
#[derive(Debug, thiserror::Error)]
#[error(
    "proxies follow an owner of term {highest}, this one's is {term}: if that owner is gone for good, \
     `take-over {CONFIGURATION_ROLE}`"
)]
pub(crate) struct NewerTermSeen {
    highest: u64,
    term: u64,
}

impl ServerContext {
    /// Completes a publication: the least number that it may have, and the versions that are kept whatever their age, as
    /// proxies have them in force or a rollback would restore them.
    pub(crate) fn complete_publication(&self, state: &ServerState, new: NewVersion) -> NewVersion {
        let rollout = &state.rollout_lease.rollout;
        let newest = self.replica.with_state(GroupState::newest_version);
        let mut needed: Vec<u64> = rollout.proxies().values().map(|proxy| proxy.in_force).collect();
        needed.push(rollout.newest_complete_before(newest + 1));
        needed.sort_unstable();
        needed.dedup();
        NewVersion {
            at_least: rollout.next_number(),
            needed,
            keep: self.retained_versions,
            published_ms: unix_milliseconds(),
            ..new
        }
    }

    /// Checks that the proxies do not follow a lease holder of a later term, which alone may publish to them.
    pub(crate) fn check_no_newer_term(&self, state: &ServerState, term: u64) -> Result<(), NewerTermSeen> {
        let seen = state.sessions.proxies().map(|(_, proxy)| proxy.highest_term_seen());
        let (newer, others): (Vec<u64>, Vec<u64>) = seen.partition(|seen| *seen > term);
        match newer.iter().max() {
            // One odd proxy of many does not stop a fleet from being changed.
            Some(highest) if newer.len() >= others.len() => Err(NewerTermSeen { highest: *highest, term }),
            _ => Ok(()),
        }
    }
}

fn unix_milliseconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// An offer of a version: as changes to what the proxy has in force, where that is shorter.
pub(crate) fn build_offer(
    version: &StoredVersion,
    base: Option<&StoredVersion>,
    nonce: u64,
    term: u64,
) -> Offer {
    let delta = base.map(|base| delta::diff(version_number(&base.entry), &base.document, &version.document));
    let delta = delta.filter(|delta| delta.encoded_len() < version.document.encoded_len());
    let content = match delta {
        Some(delta) => Content::Delta(delta),
        None => Content::Snapshot((*version.document).clone()),
    };
    Offer {
        version: version.entry.version.clone(),
        nonce,
        content: Some(content),
        rolls_back_to: version.entry.rolls_back_to,
        term,
    }
}
