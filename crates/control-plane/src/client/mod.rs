//! A proxy's side of the configuration stream.
//!
//! [`ConfigSubscriber`] connects to the holder of the configuration role and applies the versions that it
//! offers. The decisions are made by state machines without I/O:
//!
//! - [`VersionTracker`](gaugestep_config::version_tracker::VersionTracker): whether a version is accepted or
//!   rejected;
//! - [`FencingGuard`](gaugestep_leadership::fencing::FencingGuard): whether a message was sent under a stale
//!   term;
//! - [`LeaderDiscovery`](gaugestep_leadership::leader_discovery::LeaderDiscovery): which server to connect
//!   to;
//! - [`OrdinalLease`](gaugestep_subsetting::ordinal_lease::OrdinalLease): which ordinal the proxy may use.
//!
//! The modules here do the I/O for them:
//!
//! - `stream` connects to the control servers in turn, and `session` exchanges the messages on one stream;
//! - `fencing` applies messages under the latest term and rejects those under a stale one;
//! - `versions` applies versions and responds to offers;
//! - `ordinal` sets the ordinal of the proxy while its lease is valid;
//! - `persistence` stores the last good version and the highest terms on a thread, which takes its work from
//!   `storage_queue`;
//! - `status` reports the state of the subscriber to operators;
//! - `start` recovers the stored state and starts the thread and the coroutines.
//!
//! While no control server is reachable, and after any failure of the subscriber, the proxy continues to
//! serve requests with the version in force.
//!
//! # Threads and locks
//!
//! One coroutine owns the stream, another checks timeouts periodically, and a thread does the blocking disk
//! I/O. They share the `SubscriberState` behind one mutex. Locks are acquired in this order: the proxy's own
//! ([`ProxyHandle::with_state`]), the state, the queue of storage requests.

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
