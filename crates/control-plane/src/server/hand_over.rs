//! Hand-over of roles to other members, requested by an operator or done before shutdown.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use crate::server::state::ServerContext;

impl ServerContext {
    /// Chooses the member that receives a role: the requested member or, if `requested` is 0, the one that
    /// holds the fewest roles. Only other voters that are currently alive are eligible; `None` if there is no
    /// such member.
    pub(crate) fn choose_successor(&self, requested: u64) -> Option<u64> {
        let members = self.replica.members();
        let is_eligible = |member: &u64| {
            *member != members.own && members.heard.contains(member) && members.voters.contains(member)
        };
        if requested != 0 {
            return Some(requested).filter(is_eligible);
        }
        let eligible = members.heard.iter().copied().filter(is_eligible);
        eligible.min_by_key(|member| (self.roles_of_member(*member).len(), *member))
    }

    fn roles_of_member(&self, member: u64) -> Vec<String> {
        self.replica.with_state(|group| {
            let roles = group.roles.values().filter(|role| role.owner == member);
            roles.map(|role| role.name.clone()).collect()
        })
    }

    /// Hands all roles over and waits for the results until the timeout expires. Blocks the calling thread.
    pub(crate) fn hand_over_all(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let (sender, outcomes) = mpsc::channel();
        let mut proposed = 0;
        for role in self.roles_of_member(self.replica.member_number()) {
            let Some(term) = self.replica.acting_term(&role) else { continue };
            let Some(successor) = self.choose_successor(0) else { continue };
            tracing::info!(role, term, to = successor, "handing over a role before shutdown");
            let sender = sender.clone();
            // Sending fails once the timeout has expired and the receiver is dropped.
            let responder = move |outcome| drop(sender.send(outcome));
            self.replica.hand_over(&role, term, successor, Box::new(responder));
            proposed += 1;
        }
        for _ in 0..proposed {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if outcomes.recv_timeout(remaining).is_err() {
                return;
            }
        }
    }
}
