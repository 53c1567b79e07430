//! Handing roles over to other members, on an operator's request or before the process ends.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use crate::server::state::ServerContext;

impl ServerContext {
    /// Who may be handed a role: the member that is wanted, or (0) the one that holds the fewest roles. None if there is
    /// no other voter that this server has heard of within the last seconds.
    pub(crate) fn choose_successor(&self, wanted: u64) -> Option<u64> {
        let members = self.replica.members();
        let is_eligible = |member: &u64| {
            *member != members.own && members.heard.contains(member) && members.voters.contains(member)
        };
        if wanted != 0 {
            return Some(wanted).filter(is_eligible);
        }
        let eligible = members.heard.iter().copied().filter(is_eligible);
        eligible.min_by_key(|member| (self.roles_of_member(*member).len(), *member))
    }

    fn roles_of_member(&self, member: u64) -> Vec<String> {
        self.replica.with_state(|group| {
            let held = group.roles.values().filter(|role| role.owner == member);
            held.map(|role| role.name.clone()).collect()
        })
    }

    /// Hands all roles over, and waits until that is decided, but for no longer than the timeout. Blocks its thread.
    pub(crate) fn hand_over_all(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let (sender, decided) = mpsc::channel();
        let mut proposed = 0;
        for role in self.roles_of_member(self.replica.member_number()) {
            let Some(term) = self.replica.acting_term(&role) else { continue };
            let Some(successor) = self.choose_successor(0) else { continue };
            tracing::info!(role, term, to = successor, "handing over a role before shutdown");
            let sender = sender.clone();
            // Nobody waits any more once the timeout is over.
            let responder = move |outcome| drop(sender.send(outcome));
            self.replica.hand_over(&role, term, successor, Box::new(responder));
            proposed += 1;
        }
        for _ in 0..proposed {
            if decided.recv_timeout(deadline.saturating_duration_since(Instant::now())).is_err() {
                return;
            }
        }
    }
}
