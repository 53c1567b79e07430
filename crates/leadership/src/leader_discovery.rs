//! The choice of the control server that a proxy connects to: the holder of the configuration role.
//!
//! A proxy has a list of addresses of control servers, the endpoints, and learns which member serves each
//! endpoint when it connects. It stays connected to the holder, disconnects at once from a control server
//! that announces another holder, and disconnects after [`NO_HOLDER_TIMEOUT`] from one that announces none.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::RoleHolder;

/// A proxy disconnects from a control server that has announced no holder for this time.
pub const NO_HOLDER_TIMEOUT: Duration = Duration::from_secs(3);

/// The decision about a stream after the welcome of the control server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamDecision {
    /// Stay connected to this control server.
    Keep,
    /// Close the stream and connect to another endpoint.
    Close,
}

/// How soon to connect to the next endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reconnect {
    /// Without backoff, because the last control server announced a holder that was not tried yet.
    Promptly,
    /// After the backoff that follows a failed connection.
    AfterBackoff,
}

/// The state of the search for the holder.
#[derive(Debug)]
pub struct LeaderDiscovery {
    endpoint_count: usize,
    /// The member that last sent a welcome at each endpoint, by index of the endpoint.
    member_at: BTreeMap<usize, u64>,
    /// Index of the endpoint to connect to.
    current: usize,
    /// The holder that the control server at the current endpoint announced, if it is another member.
    announced: Option<RoleHolder>,
    /// The time since which the control server at the current endpoint announces no holder; `None` if it has
    /// announced one, or before its first welcome.
    no_holder_since: Option<Timestamp>,
    /// The announced member whose endpoint was tried last; `None` once a holder is found or the search moves
    /// on.
    tried_member: Option<u64>,
}

impl LeaderDiscovery {
    /// Creates a search over this number of endpoints, which starts at the first one.
    pub fn new(endpoint_count: usize) -> Self {
        LeaderDiscovery {
            endpoint_count: endpoint_count.max(1),
            member_at: BTreeMap::new(),
            current: 0,
            announced: None,
            no_holder_since: None,
            tried_member: None,
        }
    }

    /// The index of the endpoint to connect to.
    pub fn endpoint(&self) -> usize {
        self.current
    }

    /// Handles the welcome of the control server at the current endpoint: its member number, and the holder
    /// that it announces. `highest_term` is the highest term that the proxy has received; an announced holder
    /// with a lower term is ignored.
    pub fn on_welcome(
        &mut self,
        now: Timestamp,
        member: u64,
        announced: Option<RoleHolder>,
        highest_term: u64,
    ) -> StreamDecision {
        self.member_at.insert(self.current, member);
        match announced.filter(|holder| holder.term >= highest_term) {
            Some(holder) if holder.member == member => {
                self.no_holder_since = None;
                self.tried_member = None;
                StreamDecision::Keep
            }
            Some(holder) => {
                self.announced = Some(holder);
                StreamDecision::Close
            }
            None => {
                let since = *self.no_holder_since.get_or_insert(now);
                match now.duration_since(since) >= NO_HOLDER_TIMEOUT {
                    true => StreamDecision::Close,
                    false => StreamDecision::Keep,
                }
            }
        }
    }

    /// Selects the next endpoint after the stream to the current one ended or could not be opened.
    pub fn on_disconnect(&mut self) -> Reconnect {
        self.no_holder_since = None;
        let current_member = self.member_at.get(&self.current).copied();
        let announced = self.announced.take().map(|holder| holder.member);
        let is_untried = announced != current_member && announced != self.tried_member;
        let Some(member) = announced.filter(|_| is_untried) else {
            self.tried_member = None;
            self.move_to_next();
            return Reconnect::AfterBackoff;
        };
        match self.endpoint_of(member) {
            Some(endpoint) => {
                self.current = endpoint;
                self.tried_member = Some(member);
            }
            // Which endpoint the member serves has not been learned yet; it is one of the other endpoints.
            None => self.move_to_next(),
        }
        Reconnect::Promptly
    }

    fn endpoint_of(&self, member: u64) -> Option<usize> {
        self.member_at.iter().find(|(_, at)| **at == member).map(|(endpoint, _)| *endpoint)
    }

    fn move_to_next(&mut self) {
        self.current = (self.current + 1) % self.endpoint_count;
    }
}
