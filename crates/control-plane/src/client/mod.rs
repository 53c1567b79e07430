//! A proxy's side of the configuration stream.
//!
//! [`ConfigSubscriber`] follows the leader of the control plane and has the versions applied that it offers. What is decided
//! is decided in crates without I/O: the [`VersionTracker`](gaugestep_config::version_tracker::VersionTracker) says what
//! becomes of a version, the [`FencingGuard`](gaugestep_leadership::fencing::FencingGuard) rejects messages of former
//! leaders, the [`LeaderDiscovery`](gaugestep_leadership::leader_discovery::LeaderDiscovery) chooses the server. Here is
//! the I/O round them, one job a module:
//!
//! - `stream`: connects to one server after the other; `session`: the messages on one stream;
//! - `fencing`: which messages take effect;
//! - `versions`: versions are applied and answered;
//! - `ordinal`: the ordinal that the proxy holds a lease on;
//! - `persistence`: the last good version and the highest terms, on disk;
//! - `status`: what operators are shown.
//!
//! Whatever goes wrong here, the proxy goes on under the version in force.
//!
//! # Threads and locks
//!
//! One coroutine owns the stream, another looks at clocks, and a thread stores, as that blocks. They share the
//! `SubscriberState` behind one mutex. Where several locks are held at once they are taken in this order: the proxy's
//! own ([`ProxyHandle::with_state`]), the state, the queue of storage requests.

mod fencing;
mod ordinal;
mod persistence;
mod proxy_handle;
mod session;
mod settings;
mod state;
mod status;
mod stream;
mod subscriber;
mod versions;

pub use proxy_handle::{PositionLease, ProxyHandle, RequestTotals};
pub use settings::{SubscriberSettings, SubscriberSettingsError, TlsIdentity};
pub use status::{OrdinalStatus, RejectionStatus, SubscriberStatus};
pub use subscriber::{ConfigSubscriber, StartError};
