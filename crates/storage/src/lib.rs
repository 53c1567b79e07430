#![forbid(unsafe_code)]
//! Crash-safe durable state. If the process is killed at any time, a restart finds either the old or the new
//! value, never a mix of both.
//!
//! - [`snapshot_slots`]: the current and the previous value of one owner, as checksummed files. A proxy
//!   stores its last good configuration in them.
//! - [`control_store`]: the configuration versions, the Raft log and further values of a control server, in
//!   an embedded database.
//! - [`generation_file`]: a small file next to that database, by which a copied or restored database is
//!   detected.
//!
//! Values are opaque bytes in this crate; their owners encode and decode them.

pub mod control_store;
mod error;
pub mod generation_file;
pub mod snapshot_slots;

pub use error::{Corruption, StorageError};
