//! A proxy's side of the configuration stream.
//!
//! [`ConfigSubscriber`] follows the holder of the configuration role and applies the versions that it offers. The decisions
//! are made by state machines without I/O:
//!
//! - [`VersionTracker`](gaugestep_config::version_tracker::VersionTracker): whether a version is accepted or rejected;
//! - [`FencingGuard`](gaugestep_leadership::fencing::FencingGuard): whether a message is of a former holder;
//! - [`LeaderDiscovery`](gaugestep_leadership::leader_discovery::LeaderDiscovery): which server to connect to;
//! - [`OrdinalLease`](gaugestep_subsetting::ordinal_lease::OrdinalLease): which ordinal the proxy may use.
//!
//! The modules here do the I/O for them:
//!
//! - `stream` connects to one server after the other, and `session` exchanges the messages on one stream;
//! - `fencing` passes on the messages that take effect and rejects the others;
//! - `versions` applies versions and answers offers;
//! - `ordinal` assigns the proxy its ordinal;
//! - `persistence` stores the last good version and the highest terms, as `storage_queue` asks it to;
//! - `status` shows all that to operators;
//! - `start` sets these up, with what is found on disk.
//!
//! Without any server, and after any failure here, the proxy serves on under the version in force.
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
mod start;
mod state;
mod status;
mod storage_queue;
mod stream;
mod subscriber;
mod versions;

pub use proxy_handle::{PositionLease, ProxyHandle, RequestTotals};
pub use settings::{SubscriberSettings, SubscriberSettingsError};
pub use start::StartError;
pub use status::{OrdinalStatus, RejectionStatus, SubscriberStatus};
pub use subscriber::ConfigSubscriber;
