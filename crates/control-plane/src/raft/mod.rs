//! The state of a group of control servers, replicated by Raft. A single server is a group of one member.
//!
//! Coroutines use a [`replica::Replica`], which reads the state and sends requests to the replica's thread.
//! That thread owns the Raft library and the store, because both block. The modules, from the bottom up:
//!
//! | module | purpose |
//! | --- | --- |
//! | [`settings`], [`error`], [`request`] | settings of a replica, its errors, and requests to its thread |
//! | `codec` | conversion of the Raft library's messages to the project's own schema |
//! | `storage` | the Raft log in memory, as the library reads it |
//! | `stored_values` | the names and encoding of the values in the store |
//! | `state` | the state that coroutines and the thread share |
//! | [`peer_links`] | the queue of messages to each member |
//! | [`replica`] | the handle for coroutines |
//! | [`transport`] | streams to and from the other members |
//! | `member_starts` | the starts of members that log entries record |
//! | `recovery` | opens the store or rejects it, and loads its contents |
//! | `driver` | runs the library with the store until the store fails |
//! | [`replica_thread`] | starts the thread, and restarts the driver after a store failure |

pub(crate) mod codec;
pub(crate) mod driver;
pub mod error;
pub(crate) mod member_starts;
pub mod peer_links;
pub(crate) mod recovery;
pub mod replica;
pub mod replica_thread;
pub mod request;
pub mod settings;
pub(crate) mod state;
pub(crate) mod storage;
pub(crate) mod stored_values;
pub mod transport;
