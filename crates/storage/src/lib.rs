#![forbid(unsafe_code)]
//! State that outlives the process, whole whatever instant the process is killed at.
//!
//! [`snapshot_slots`]: the last good value of one proxy and the one before, as files. [`control_store`]: what a control service keeps, in
//! an embedded database; [`generation_file`]: which file that is, and how often it was used. What the bytes mean is their owners' business; nothing is decided here but what is whole.

pub mod control_store;
pub mod generation_file;
pub mod snapshot_slots;
