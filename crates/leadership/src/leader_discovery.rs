//! Which control service a proxy connects to: the holder of the configuration role, wherever it is.
//!
//! A proxy knows the services only by its own list of endpoints, and learns which member is behind which endpoint. It
//! stays with the holder, leaves a service that announces another one, and leaves after a while where none is announced.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::RoleHolder;

/// A service that announces no holder is left after this time.
pub const NO_HOLDER_TIMEOUT: Duration = Duration::from_secs(3);

/// What to do with a stream after the service's welcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamDecision {
    /// Stay with this service.
    Keep,
    /// Close the stream, and connect to the next endpoint.
    Close,
}

/// How soon to connect to the next endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reconnect {
    /// Without backoff: another service announced a holder that was not tried yet.
    Promptly,
    /// After the backoff of a failed connection.
    AfterBackoff,
}

/// The search for the holder.
#[derive(Debug)]
pub struct LeaderDiscovery {
    endpoints: usize,
    /// The member that was found at each endpoint.
    found: BTreeMap<usize, u64>,
    current: usize,
    /// The holder that was announced last and is another member than the one at the current endpoint.
    announced: Option<RoleHolder>,
    /// Since when the current endpoint announces no holder.
    no_holder_since: Option<Timestamp>,
    /// The announced member whose endpoint was tried since, to no avail.
    tried: Option<u64>,
}

impl LeaderDiscovery {
    /// A search over this many endpoints, which begins at the first.
    pub fn new(endpoints: usize) -> Self {
        LeaderDiscovery {
            endpoints: endpoints.max(1),
            found: BTreeMap::new(),
            current: 0,
            announced: None,
            no_holder_since: None,
            tried: None,
        }
    }

    /// The index of the endpoint to connect to.
    pub fn endpoint(&self) -> usize {
        self.current
    }

    /// The service at the current endpoint says which member it is and which holder it knows. `highest_term` is the
    /// highest term that the proxy has seen: an announced holder of a lower term counts as none.
    pub fn on_welcome(
        &mut self,
        now: Timestamp,
        member: u64,
        announced: Option<RoleHolder>,
        highest_term: u64,
    ) -> StreamDecision {
        self.found.insert(self.current, member);
        match announced.filter(|holder| holder.term >= highest_term) {
            Some(holder) if holder.member == member => {
                (self.no_holder_since, self.tried) = (None, None);
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

    /// The stream to the current endpoint has ended, or could not be opened: moves to the next endpoint.
    pub fn on_disconnect(&mut self) -> Reconnect {
        self.no_holder_since = None;
        let here = self.found.get(&self.current).copied();
        let announced = self.announced.take().map(|holder| holder.member);
        let Some(member) = announced.filter(|_| announced != here && announced != self.tried) else {
            self.tried = None;
            self.move_to_next();
            return Reconnect::AfterBackoff;
        };
        match self.endpoint_of(member) {
            Some(endpoint) => {
                self.current = endpoint;
                self.tried = Some(member);
            }
            // The member was not found yet: it is at one of the other endpoints.
            None => self.move_to_next(),
        }
        Reconnect::Promptly
    }

    fn endpoint_of(&self, member: u64) -> Option<usize> {
        self.found.iter().find(|(_, found)| **found == member).map(|(endpoint, _)| *endpoint)
    }

    fn move_to_next(&mut self) {
        self.current = (self.current + 1) % self.endpoints;
    }
}
