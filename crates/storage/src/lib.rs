#![forbid(unsafe_code)]
//! State that outlives the process, whole whatever instant the process is killed at.
//!
//! [`slots`]: the last good value of one proxy and the one before, as files. [`versions`]: what a control service keeps, in
//! an embedded database; [`seal`]: which file that is, and how often it was used. What the bytes mean is their owners' business; nothing is decided here but what is whole.

pub mod seal;
pub mod slots;
pub mod versions;
