#![forbid(unsafe_code)]
//! Singleton roles of the fleet: which member holds each role, how long it may act, and which messages of a
//! former holder are rejected.
//!
//! A *role* has a name, at most one holder, and a *term*: the fencing token, which rises with each change of
//! holder and is never used twice. The control servers replicate roles, members and configuration versions as
//! a [`group_state::GroupState`].
//!
//! Two mechanisms ensure that only one member acts for a role. With a [`lease`], a holder acts only until the
//! lease expires, and the role is assigned to another member only after the lease has expired on every clock
//! within the drift bound; [`assignment`] computes which member should hold which role. [`fencing`] does not
//! depend on clocks: a receiver persists the highest term that it has received before it acts on it, and
//! rejects messages with a lower term.
//!
//! | module | concern |
//! | --- | --- |
//! | [`group_state`] | the replicated state machine |
//! | [`pending_proposals`] | commands that are proposed but not committed yet |
//! | [`lease`], [`assignment`] | leases of members, and the assignment of roles to members |
//! | [`checkpoint`] | progress of a rollout is committed before it takes effect |
//! | [`fencing`] | receivers reject messages of an old term |
//! | [`identity`] | at most one process owns the name of a proxy |
//! | [`leader_discovery`] | a proxy finds the holder of the configuration role |
//! | [`peer_directory`], [`rollback_guard`] | which members may join the group, and with which store |
//! | [`pause_detector`] | a control server without peers stops publishing after a suspension |
//!
//! The crate does no I/O, reads no clock and starts no thread. The embedder passes a
//! [`Timestamp`](gaugestep_clock::Timestamp) to every method that depends on time.

pub mod assignment;
pub mod checkpoint;
pub mod fencing;
pub mod group_state;
pub mod identity;
pub mod leader_discovery;
pub mod lease;
pub mod pause_detector;
pub mod peer_directory;
pub mod pending_proposals;
pub mod rollback_guard;

mod role;

pub use role::{CONFIGURATION_ROLE, NO_MEMBER, ORDINALS_ROLE, RoleHolder};
