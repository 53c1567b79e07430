#![forbid(unsafe_code)]
//! State that outlives the process, whole whatever instant the process is killed at.
//!
//! [`slots`]: the last good value of one proxy and the one before, as files. [`versions`]: all versions of a service, in
//! an embedded database. What the bytes mean is their owners' business; nothing is decided here but what is whole.

pub mod slots;
pub mod versions;
