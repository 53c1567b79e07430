//! Which process has a proxy's name.
//!
//! A name has one holder under a rising term, like a role. A process that claims the name of another takes it with a
//! higher term; the earlier process is notified, and does not take the name back while the later one is connected.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;

/// A process that lost its name may take it back once the later process has been disconnected for this long.
pub const RECLAIM_AFTER: Duration = Duration::from_secs(10);
/// Names remembered while their process is disconnected.
const MAX_DISCONNECTED: usize = 10_000;

/// A process that opens a stream under a name.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// The name.
    pub name: &'a str,
    /// The process.
    pub incarnation: u64,
    /// The term under which the process was granted the name before; 0: it never was.
    pub term: u64,
    /// The stream.
    pub stream: u64,
}

/// The answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The process has the name.
    Granted {
        /// The name's term.
        term: u64,
        /// The stream of the process that had the name and must be notified.
        superseded: Option<u64>,
    },
    /// A later process has the name.
    Superseded {
        /// The name's term.
        term: u64,
        /// That process.
        by: u64,
    },
}

/// The process that has a name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NameHolder {
    /// The process.
    pub incarnation: u64,
    /// The name's term.
    pub term: u64,
}

/// A connected process whose name is another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupersededProcess<'a> {
    /// Its stream.
    pub stream: u64,
    /// The name.
    pub name: &'a str,
    /// The process.
    pub incarnation: u64,
}

/// Whether the process that has a name is connected.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    /// On this stream.
    Open(u64),
    /// Since this time it is not.
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
    /// By stream, the name and the process of those whose name is another's; they stay connected, to be shown.
    superseded: BTreeMap<u64, (String, u64)>,
}

impl IdentityRegistry {
    /// A process claims a name.
    pub fn claim(&mut self, now: Timestamp, request: ClaimRequest<'_>) -> Claim {
        let ClaimRequest { name, incarnation, term, stream } = request;
        self.superseded.remove(&stream);
        let connection = Connection::Open(stream);
        let Some(registration) = self.registrations.get_mut(name) else {
            // A term above 0 was granted by another service: terms continue from it.
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
        // A process that had the name under a lower term is the earlier one. A process with a higher term was granted
        // the name by another service, after this one granted it.
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

    /// A stream was closed.
    pub fn disconnected(&mut self, now: Timestamp, stream: u64) {
        self.superseded.remove(&stream);
        let open = Connection::Open(stream);
        if let Some(registration) = self.registrations.values_mut().find(|it| it.connection == open) {
            registration.connection = Connection::ClosedAt(now);
        }
    }

    /// Whether the process on this stream has the name.
    pub fn is_holder(&self, name: &str, stream: u64) -> bool {
        let open = Connection::Open(stream);
        self.registrations.get(name).is_some_and(|registration| registration.connection == open)
    }

    /// Whether no process ever claimed a name.
    pub fn is_empty(&self) -> bool {
        self.registrations.is_empty()
    }

    /// The process that has a name, connected or not.
    pub fn holder(&self, name: &str) -> Option<NameHolder> {
        let Registration { incarnation, term, .. } = *self.registrations.get(name)?;
        Some(NameHolder { incarnation, term })
    }

    /// Connected processes whose name is another's.
    pub fn superseded(&self) -> impl Iterator<Item = SupersededProcess<'_>> {
        self.superseded.iter().map(|(stream, (name, incarnation))| SupersededProcess {
            stream: *stream,
            name,
            incarnation: *incarnation,
        })
    }

    /// Bounds the memory that names take which never connect again.
    fn evict_oldest(&mut self) {
        let closed = |(name, registration): (&String, &Registration)| match registration.connection {
            Connection::Open(_) => None,
            Connection::ClosedAt(at) => Some((at, name.clone())),
        };
        let disconnected = self.registrations.values().filter(|it| it.open_stream().is_none()).count();
        if disconnected > MAX_DISCONNECTED {
            if let Some((_, oldest)) = self.registrations.iter().filter_map(closed).min() {
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
