//! Completes versions for publication, and builds their offers to proxies.

use std::time::{SystemTime, UNIX_EPOCH};

use gaugestep_config::delta;
use gaugestep_config::schema::offer::Content;
use gaugestep_config::schema::{NewVersion, Offer};
use gaugestep_leadership::CONFIGURATION_ROLE;
use gaugestep_leadership::group_state::{GroupState, StoredVersion, version_number};
use prost::Message as _;

use crate::server::state::{ServerContext, ServerState};

/// The error if at least half of the connected proxies have received a higher term than that of the
/// publication. Its text is sent to the operator.
#[derive(Debug, thiserror::Error)]
#[error(
    "proxies follow an owner of term {highest}, this one's is {term}: if that owner is gone for good, \
     `take-over {CONFIGURATION_ROLE}`"
)]
pub(crate) struct HigherTerm {
    highest: u64,
    term: u64,
}

impl ServerContext {
    /// Sets the fields of a new version that the server determines: the lowest version number allowed, the
    /// time, the number of versions to retain, and the versions to retain regardless of age, because proxies
    /// have them in force or a rollback would restore them.
    pub(crate) fn complete_new_version(&self, state: &ServerState, new: NewVersion) -> NewVersion {
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

    /// Rejects a publication if the proxies follow a lease holder of a higher term: only that holder may
    /// publish to them.
    pub(crate) fn check_no_higher_term(&self, state: &ServerState, term: u64) -> Result<(), HigherTerm> {
        let terms = state.sessions.proxies().map(|(_, proxy)| proxy.highest_term());
        let (higher_terms, other_terms): (Vec<u64>, Vec<u64>) = terms.partition(|highest| *highest > term);
        match higher_terms.iter().max() {
            // A minority of proxies with a higher term does not block changes for the fleet.
            Some(highest) if higher_terms.len() >= other_terms.len() => {
                Err(HigherTerm { highest: *highest, term })
            }
            _ => Ok(()),
        }
    }
}

fn unix_milliseconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Builds the offer of a version to a proxy. The content is a delta to `base`, the version that the proxy has
/// in force, if that is shorter than the full document.
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
