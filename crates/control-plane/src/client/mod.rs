//! A proxy's side of the configuration stream.

pub mod subscriber;
