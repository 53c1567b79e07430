//! Ownership of proxy names by processes.
//!
//! Like a role, a name has one holder and a rising term. A process that claims a name which another process
//! holds becomes its holder under a higher term. The superseded process is notified, and cannot reclaim the
//! name while the later one is connected.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;

/// A superseded process may reclaim its name once the later process has been disconnected for this time.
pub const RECLAIM_AFTER: Duration = Duration::from_secs(10);
/// The limit of registered names whose process is disconnected; the oldest one is removed beyond it.
const MAX_DISCONNECTED_NAMES: usize = 10_000;

/// The claim of a process that opens a stream under a name.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// Name of the proxy.
    pub name: &'a str,
    /// Identifies the process.
    pub incarnation: u64,
    /// The term under which the process was granted the name before; 0 if it never was.
    pub term: u64,
    /// Identifies the stream.
    pub stream: u64,
}

/// The result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The process holds the name from now on.
    Granted {
        /// Term of the name.
        term: u64,
        /// The stream of the process that held the name and must be notified; `None` if there is none.
        superseded: Option<u64>,
    },
    /// A later process holds the name.
    Superseded {
        /// Term of the name.
        term: u64,
        /// Incarnation of the later process.
        by: u64,
    },
}

/// The process that holds a name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NameHolder {
    /// Identifies the process.
    pub incarnation: u64,
    /// Term of the name.
    pub term: u64,
}

/// A connected process whose name is held by a later process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupersededProcess<'a> {
    /// The stream on which the process is connected.
    pub stream: u64,
    /// Name of the proxy.
    pub name: &'a str,
    /// Identifies the process.
    pub incarnation: u64,
}

/// Whether the process that holds a name is connected.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    /// The process is connected on this stream.
    Open(u64),
    /// The process disconnected at this time.
    ClosedAt(Timestamp),
}

#[derive(Debug)]
struct Registration {
    term: u64,
    incarnation: u64,
    connection: Connection,
}

/// The holders of all names.
#[derive(Debug, Default)]
pub struct IdentityRegistry {
    registrations: BTreeMap<String, Registration>,
    /// Name and incarnation, by stream, of connected processes whose name is held by a later process. They
    /// stay connected so that operators can list them.
    superseded: BTreeMap<u64, (String, u64)>,
}

impl IdentityRegistry {
    /// Decides the claim of a process to a name.
    pub fn claim(&mut self, now: Timestamp, request: ClaimRequest<'_>) -> Claim {
        let ClaimRequest { name, incarnation, term, stream } = request;
        self.superseded.remove(&stream);
        let connection = Connection::Open(stream);
        let Some(registration) = self.registrations.get_mut(name) else {
            // A term above 0 was granted by another control server; terms continue from it.
            let term = term.max(1);
            self.registrations.insert(name.to_owned(), Registration { term, incarnation, connection });
            self.evict_oldest();
            return Claim::Granted { term, superseded: None };
        };
        if registration.incarnation == incarnation {
            registration.term = registration.term.max(term);
            registration.connection = connection;
            return Claim::Granted { term: registration.term, superseded: None };
        }
        // A process whose term is not above the registered one held the name earlier. A process with a higher
        // term was granted the name by another control server, after the registered process.
        let is_earlier = term > 0 && term <= registration.term;
        if is_earlier && !registration.may_be_reclaimed(now) {
            let (term, by) = (registration.term, registration.incarnation);
            self.superseded.insert(stream, (name.to_owned(), incarnation));
            return Claim::Superseded { term, by };
        }
        let superseded = registration.open_stream();
        if let Some(old_stream) = superseded {
            self.superseded.insert(old_stream, (name.to_owned(), registration.incarnation));
        }
        let term = registration.term.max(term).saturating_add(1);
        *registration = Registration { term, incarnation, connection };
        Claim::Granted { term, superseded }
    }

    /// Records that a stream was closed.
    pub fn on_disconnected(&mut self, now: Timestamp, stream: u64) {
        self.superseded.remove(&stream);
        let open = Connection::Open(stream);
        if let Some(registration) =
            self.registrations.values_mut().find(|registration| registration.connection == open)
        {
            registration.connection = Connection::ClosedAt(now);
        }
    }

    /// Whether the process on this stream holds the name.
    pub fn is_holder(&self, name: &str, stream: u64) -> bool {
        let open = Connection::Open(stream);
        self.registrations.get(name).is_some_and(|registration| registration.connection == open)
    }

    /// Whether no name is registered.
    pub fn is_empty(&self) -> bool {
        self.registrations.is_empty()
    }

    /// The process that holds a name, whether connected or not.
    pub fn holder(&self, name: &str) -> Option<NameHolder> {
        let Registration { incarnation, term, .. } = *self.registrations.get(name)?;
        Some(NameHolder { incarnation, term })
    }

    /// Connected processes whose name is held by a later process.
    pub fn superseded(&self) -> impl Iterator<Item = SupersededProcess<'_>> {
        self.superseded.iter().map(|(stream, (name, incarnation))| SupersededProcess {
            stream: *stream,
            name,
            incarnation: *incarnation,
        })
    }

    /// Removes the name that has been disconnected longest if there are too many, to bound the memory of
    /// names whose process never connects again.
    fn evict_oldest(&mut self) {
        let closed_at = |(name, registration): (&String, &Registration)| match registration.connection {
            Connection::Open(_) => None,
            Connection::ClosedAt(at) => Some((at, name.clone())),
        };
        let disconnected =
            self.registrations.values().filter(|registration| registration.open_stream().is_none()).count();
        if disconnected > MAX_DISCONNECTED_NAMES {
            if let Some((_, oldest)) = self.registrations.iter().filter_map(closed_at).min() {
                self.registrations.remove(&oldest);
            }
        }
    }
}

impl Registration {
    fn open_stream(&self) -> Option<u64> {
        match self.connection {
            Connection::Open(stream) => Some(stream),
            Connection::ClosedAt(_) => None,
        }
    }

    fn may_be_reclaimed(&self, now: Timestamp) -> bool {
        match self.connection {
            Connection::Open(_) => false,
            Connection::ClosedAt(at) => now.duration_since(at) >= RECLAIM_AFTER,
        }
    }
}
