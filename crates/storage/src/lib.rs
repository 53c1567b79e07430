#![forbid(unsafe_code)]
//! Crash-safe durable state. Whenever the process is killed, a restart finds either the old or the new value, never a mix.
//!
//! - [`snapshot_slots`]: the current and the previous value of one owner, as checksummed files. A proxy keeps its last good
//!   configuration there.
//! - [`control_store`]: the versions, the Raft log and further values of a control server, in an embedded database.
//! - [`generation_file`]: a small file beside that database which detects that the database was copied or restored.
//!
//! Values are opaque bytes here; their owners encode and decode them.

pub mod control_store;
mod error;
pub mod generation_file;
pub mod snapshot_slots;

pub use error::{Corruption, StorageError};
