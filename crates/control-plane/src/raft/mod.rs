//! The replicated state of a group of control services, agreed on by Raft.

pub(crate) mod codec;
pub(crate) mod driver;
pub(crate) mod recovery;
pub mod replica;
pub(crate) mod storage;
pub mod transport;
