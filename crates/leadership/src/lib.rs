#![forbid(unsafe_code)]
//! Work done once for the whole fleet: who owns it, until when, and what a receiver refuses.
//!
//! A *duty* has a name, one owner or none, and a *term*: the fencing token, which rises with each change of owner and is
//! never used twice. What the control services agree on is the [`charter`]; who may act until when is decided by
//! [`lease`]s, who is to own what by [`spread`]. That is the polite half. The safe half is the [`receiver`]: it keeps the
//! highest term it has seen before it acts, and refuses lower ones. [`names`] gives each proxy's name to one process at a
//! time, and [`seal`] decides whether a store may be used at all.
//!
//! Nothing here does I/O, reads a clock or starts a thread. Times are milliseconds on the embedder's clock, which must
//! count the time for which the process or the machine was suspended.

pub mod book;
pub mod charter;
pub mod doubt;
pub mod gate;
pub mod lease;
pub mod names;
pub mod proposals;
pub mod receiver;
pub mod seal;
pub mod seek;
pub mod spread;

/// The duty of publishing versions and driving their rollouts.
pub const VERSIONS: &str = "versions";
/// The duty of keeping the roster of seats. There is one once an operator has declared it.
pub const SEATS: &str = "seats";
