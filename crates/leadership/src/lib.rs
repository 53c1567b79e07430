#![forbid(unsafe_code)]
//! Work done once for the whole fleet: who owns it, until when, and what a receiver refuses.
//!
//! A *duty* has a name, one owner or none, and a *term*: the fencing token, which rises with each change of owner and is
//! never used twice. What the control services agree on is the [`group_state`]; who may act until when is decided by
//! [`lease`]s, who is to own what by [`assignment`]. That is the polite half. The safe half is the [`fencing`]: it keeps the
//! highest term it has seen before it acts, and refuses lower ones. [`identity`] gives each proxy's name to one process at a
//! time, and [`rollback_guard`] decides whether a store may be used at all.
//!
//! Nothing here does I/O, reads a clock or starts a thread. Times are milliseconds on the embedder's clock, which must
//! count the time for which the process or the machine was suspended.

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

/// The duty of publishing versions and driving their rollouts.
pub const CONFIGURATION_ROLE: &str = "versions";
/// The duty of keeping the roster of seats. There is one once an operator has declared it.
pub const ORDINALS_ROLE: &str = "seats";
