//! The ordinals of proxies. The lease holder of the ordinals role assigns them through a [`RosterManager`],
//! which makes the decisions. Every member sends the ordinals of the committed roster to its own proxies.
//!
//! Members report the proxies that are connected to them to the lease holder. The roster is committed by the
//! group, so every member has it.

use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::act::What;
use gaugestep_config::schema::peer::Said;
use gaugestep_config::schema::{self, Keep, Present, Seated, from_service};
use gaugestep_leadership::ORDINALS_ROLE;
use gaugestep_leadership::group_state::Outcome;
use gaugestep_subsetting::roster::{Roster, RosterManager};
use prost::Message as _;

use crate::clock;
use crate::server::state::{ManagedRoster, ServerContext, ServerState, SessionId};

/// The interval at which members report the proxies that are connected to them.
const PRESENCE_INTERVAL: Duration = Duration::from_secs(1);

/// The roster that the group has committed, and the term it belongs to.
struct CommittedRoster {
    /// The member that holds the ordinals role; 0: none.
    holder: u64,
    term: u64,
    roster: Roster,
}

impl CommittedRoster {
    fn from_role(role: &schema::Duty) -> Self {
        // The group itself wrote this state, so a decoding error is treated as an empty roster.
        let stored = schema::Roster::decode(role.state.as_slice()).unwrap_or_default();
        let roster = Roster { epoch: stored.epoch, names: stored.proxies };
        CommittedRoster { holder: role.owner, term: role.term, roster }
    }

    /// The ordinal message for a session's proxy; `None` while another process holds the proxy's name.
    fn grant(&self, state: &ServerState, id: SessionId) -> Option<Seated> {
        let proxy = state.identified_proxy(id)?;
        let session = state.sessions.get(id)?;
        Some(Seated {
            term: self.term,
            epoch: self.roster.epoch,
            asked_ms: session.figures_sent_ms,
            seat: self.roster.ordinal_of(&proxy.hello.proxy).map(|assignment| assignment.ordinal),
            seats: self.roster.names.len() as u32,
        })
    }
}

impl ServerContext {
    /// The committed roster; `None` if the ordinals role has not been declared by an operator.
    fn committed_roster(&self) -> Option<CommittedRoster> {
        self.replica.with_state(|group| group.roles.get(ORDINALS_ROLE).map(CommittedRoster::from_role))
    }

    /// Reports the proxies that are connected to this server, and assigns ordinals while it holds the lease.
    pub(crate) fn maintain_roster(&self, state: &mut ServerState, now: Timestamp) {
        self.refresh_roster_lease(state, now);
        self.report_presence(state, now);
        self.propose_roster(state, now);
    }

    fn refresh_roster_lease(&self, state: &mut ServerState, now: Timestamp) {
        let acting_term = self.replica.acting_term(ORDINALS_ROLE);
        if acting_term == state.roster.managed.as_ref().map(|managed| managed.term) {
            return;
        }
        state.roster.managed = None;
        let (Some(term), Some(CommittedRoster { roster, .. })) = (acting_term, self.committed_roster())
        else {
            tracing::warn!(role = ORDINALS_ROLE, "lease lost");
            return;
        };
        let (epoch, ordinals) = (roster.epoch, roster.names.len());
        tracing::info!(role = ORDINALS_ROLE, term, epoch, ordinals, "lease acquired");
        state.roster.managed = Some(ManagedRoster { term, manager: RosterManager::resume(now, roster) });
    }

    fn report_presence(&self, state: &mut ServerState, now: Timestamp) {
        let holder = self.replica.with_state(|group| group.holder(ORDINALS_ROLE)).member;
        let reported_at = state.roster.reported_at;
        let was_reported = reported_at.is_some_and(|at| now.duration_since(at) < PRESENCE_INTERVAL);
        if holder == 0 || was_reported {
            return;
        }
        state.roster.reported_at = Some(now);
        let identified = state
            .sessions
            .proxies()
            .filter(|(id, proxy)| state.identities.is_holder(&proxy.hello.proxy, *id));
        let report = Present { proxies: identified.map(|(_, proxy)| proxy.hello.proxy.clone()).collect() };
        if holder == self.replica.member_number() {
            self.replica.report_presence(report);
        } else if !report.proxies.is_empty() {
            // A lost report is replaced by the next one.
            self.replica.links.send(holder, Said::Present(report));
        }
    }

    /// Proposes the next roster if the manager requests a change.
    fn propose_roster(&self, state: &mut ServerState, now: Timestamp) {
        let Some(ManagedRoster { term, manager }) = &mut state.roster.managed else { return };
        for report in self.replica.take_presence_reports() {
            manager.record_heartbeats(now, report.proxies.iter().map(String::as_str));
        }
        let Some(next) = manager.next_change(now) else { return };
        let (term, context) = (*term, self.downgrade());
        let command = What::Keep(self.roster_checkpoint(&next));
        let responder = move |outcome| {
            let committed = outcome == Ok(Outcome::Applied);
            log_roster(&next, term, committed);
            if let Some(context) = context.upgrade() {
                context.on_roster_outcome(term, &next);
            }
        };
        self.propose(ORDINALS_ROLE, term, command, Box::new(responder));
    }

    /// The checkpoint command for a roster. Its sequence number (`order`) follows the committed one, so that
    /// of two proposals that are based on the same roster only the first takes effect.
    fn roster_checkpoint(&self, roster: &Roster) -> Keep {
        let committed =
            self.replica.with_state(|group| group.roles.get(ORDINALS_ROLE).map_or(0, |role| role.order));
        let roster = schema::Roster { epoch: roster.epoch, proxies: roster.names.clone() };
        Keep { state: roster.encode_to_vec(), order: committed + 1 }
    }

    fn on_roster_outcome(&self, term: u64, proposed: &Roster) {
        let is_current = self.committed_roster().is_some_and(|committed| committed.roster == *proposed);
        let mut state = self.lock_state();
        match state.roster.managed.as_mut().filter(|managed| managed.term == term) {
            Some(managed) if is_current => {
                managed.manager.on_change_decided(clock::now(), proposed.epoch, true);
            }
            // The proposal may still be committed, or another one was: resumes from the committed roster.
            Some(_) => state.roster.managed = None,
            None => {}
        }
    }

    /// The roster from which ordinals may be sent; `None` while this member has no lease and may be behind
    /// the group.
    ///
    /// The lease is checked before the roster is read. In the other order, an outdated roster could be
    /// combined with a lease that was granted after it was read.
    fn roster_under_lease(&self) -> Option<CommittedRoster> {
        let has_lease = self.replica.has_lease() || crate::failpoints::is_check_disabled("owner");
        self.committed_roster().filter(|committed| has_lease && committed.term > 0)
    }

    /// The ordinal message to send to the proxy of a session.
    pub(crate) fn ordinal_grant(&self, state: &ServerState, id: SessionId) -> Option<Seated> {
        self.roster_under_lease()?.grant(state, id)
    }

    /// Sends every proxy its ordinal.
    pub(crate) fn send_ordinals(&self, state: &mut ServerState) {
        let Some(roster) = self.roster_under_lease() else { return };
        for id in state.sessions.proxy_ids() {
            if let Some(grant) = roster.grant(state, id) {
                state.sessions.send(id, from_service::Said::Seated(grant));
            }
        }
    }

    /// The roster for the command `seats`; `None` if the ordinals role has not been declared by an operator.
    pub(crate) fn roster_report(&self) -> Option<schema::Seats> {
        let CommittedRoster { holder, term, roster } = self.committed_roster()?;
        Some(schema::Seats { keeper: holder, term, epoch: roster.epoch, proxies: roster.names })
    }
}

fn log_roster(roster: &Roster, term: u64, committed: bool) {
    let (epoch, ordinals) = (roster.epoch, roster.names.len());
    if committed {
        tracing::info!(role = ORDINALS_ROLE, term, epoch, ordinals, "roster committed");
    } else {
        tracing::info!(role = ORDINALS_ROLE, term, epoch, ordinals, "roster not committed");
    }
}
