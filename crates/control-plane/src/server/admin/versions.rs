//! Operator calls that publish and show versions.

use gaugestep_config::schema::act::What;
use gaugestep_config::schema::{NewVersion, Plan, Publish, Rollback, Shown, Versions, reply};
use gaugestep_leadership::CONFIGURATION_ROLE;

use crate::clock;
use crate::server::admin::outcome::{CallFailure, CallResult, await_outcome};
use crate::server::proxy_session::MAX_NAME_BYTES;
use crate::server::state::ServerContext;

/// The maximum length of an operator's note about a version.
const MAX_NOTE_BYTES: usize = 4_096;

impl ServerContext {
    pub(super) fn publish(&self, request: Publish) -> CallResult {
        self.publish_version(NewVersion {
            document: request.document,
            author: request.author,
            note: request.note,
            plan: request.plan,
            expected_newest: request.expected_newest,
            key: request.key,
            ..NewVersion::default()
        })
    }

    pub(super) fn roll_back(&self, request: Rollback) -> CallResult {
        let restored = self.replica.with_state(|group| group.versions.get(&request.to).cloned());
        let Some(restored) = restored else {
            return Err(CallFailure::Rejected(format!("there is no version {}", request.to)));
        };
        self.publish_version(NewVersion {
            document: Some((*restored.document).clone()),
            author: request.author,
            note: request.note,
            rolls_back_to: request.to,
            key: request.key,
            ..NewVersion::default()
        })
    }

    fn publish_version(&self, mut new: NewVersion) -> CallResult {
        if new.author.len() > MAX_NAME_BYTES || new.note.len() > MAX_NOTE_BYTES {
            return Err(CallFailure::rejected("author or note is too long"));
        }
        check_plan(new.plan.get_or_insert_default())?;
        let term = self.require_lease(CONFIGURATION_ROLE)?;
        self.check_no_higher_term(&self.lock_state(), term)
            .map_err(|higher| CallFailure::Rejected(higher.to_string()))?;
        self.check_not_superseded_while_suspended()?;
        let new = self.complete_new_version(&self.lock_state(), new);
        await_outcome(|responder| self.propose(CONFIGURATION_ROLE, term, What::Version(new), responder))
    }

    /// Rejects publications of a group of one after a suspension. It has no other members to ask whether
    /// another server replaced it meanwhile, so it waits until a proxy has confirmed that none did.
    fn check_not_superseded_while_suspended(&self) -> Result<(), CallFailure> {
        self.check_suspension(&mut self.lock_state(), clock::now());
        let suspended_for = self.lock_suspension_detector().suspended_for();
        let Some(suspended_for) = suspended_for.filter(|_| self.replica.is_single_voter()) else {
            return Ok(());
        };
        Err(CallFailure::Unavailable(format!(
            "this service stood still for {:.0} s, and no proxy has come back since: another may have taken its \
             place (if not: `take-over {CONFIGURATION_ROLE}`)",
            suspended_for.as_secs_f64()
        )))
    }

    /// Lists the newest `most` versions, newest first; 0 lists all.
    pub(super) fn list_versions(&self, most: u32) -> reply::What {
        let most = if most == 0 { usize::MAX } else { most as usize };
        let entries = self.replica.with_state(|group| {
            group.versions.values().rev().take(most).map(|version| version.entry.clone()).collect()
        });
        reply::What::Versions(Versions { entries })
    }

    /// Returns a version with its document; `number` 0 returns the newest version.
    pub(super) fn show_version(&self, number: u64) -> CallResult {
        let version = self.replica.with_state(|group| {
            let number = if number == 0 { group.newest_version() } else { number };
            group.versions.get(&number).cloned()
        });
        let Some(version) = version else {
            return Err(CallFailure::Rejected(format!("there is no version {number}")));
        };
        let (entry, document) = (Some(version.entry), Some((*version.document).clone()));
        Ok(reply::What::Shown(Shown { entry, document }))
    }
}

fn check_plan(plan: &Plan) -> Result<(), CallFailure> {
    if !(0.0..=1.0).contains(&plan.share) {
        return Err(CallFailure::rejected("the plan's share must lie between 0 and 1"));
    }
    if !(0.0..=1.0).contains(&plan.worse_by) {
        return Err(CallFailure::rejected("the plan's worsening must lie between 0 and 1"));
    }
    if plan.refusals == Some(0) {
        return Err(CallFailure::rejected("the plan must allow for one refusal at least before it halts"));
    }
    Ok(())
}
