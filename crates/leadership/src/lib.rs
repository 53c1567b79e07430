#![forbid(unsafe_code)]
//! Singleton roles of the fleet: who holds each one, until when, and which messages of an earlier holder are refused.
//!
//! A *role* has a name, one holder or none, and a *term*: the fencing token, which rises with each change of holder and
//! is never used twice. The control services replicate roles, members and configuration versions as a
//! [`group_state::GroupState`].
//!
//! Two mechanisms keep a role with one holder. [`lease`] is the efficient one: a holder acts only while its lease lasts,
//! and nobody else is assigned the role before that lease has expired on any clock within the drift bound;
//! [`assignment`] decides who is assigned what. [`fencing`] is the safe one and needs no clock: a receiver persists the
//! highest term that it has seen before it acts, and rejects lower ones.
//!
//! | module | concern |
//! | --- | --- |
//! | [`group_state`] | the replicated state machine |
//! | [`pending_proposals`] | commands that are proposed and not committed yet |
//! | [`lease`], [`assignment`] | leases of members, and which member is to hold which role |
//! | [`checkpoint`] | progress of a holder is committed before its effect |
//! | [`fencing`] | receivers reject messages of an old term |
//! | [`identity`] | one process at a time has a proxy's name |
//! | [`leader_discovery`] | a proxy finds the holder of the configuration |
//! | [`peer_directory`], [`rollback_guard`] | which member may take part, and with which store |
//! | [`pause_detector`] | a service that is alone fences itself after a suspension |
//!
//! The crate does no I/O, reads no clock and starts no thread. Every method that depends on time takes a
//! [`Timestamp`](gaugestep_clock::Timestamp) from the embedder.

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
