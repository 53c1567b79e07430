//! The state of a group of control services, replicated by Raft. A service that is alone is a group of one.
//!
//! Coroutines use a [`replica::Replica`]: it reads the state and sends requests to the replica's thread, which owns the
//! Raft library and the store, as both block. From the bottom up:
//!
//! | module | concern |
//! | --- | --- |
//! | [`settings`], [`error`], [`request`] | how a replica runs, why it cannot, what its thread is asked for |
//! | `codec` | messages of the Raft library in the project's own schema |
//! | `storage` | the Raft log as the library reads it, in memory |
//! | `stored_values` | names and encoding of the values in the store |
//! | `state` | what coroutines and the thread share |
//! | [`peer_links`] | messages that wait for each member |
//! | [`replica`] | the handle for coroutines |
//! | [`transport`] | streams to and from the other members |
//! | `recovery` | opens the store, or refuses it |
//! | `driver` | one turn with the library and the store |
//! | [`replica_thread`] | starts the thread, and another turn after the store has failed |

pub(crate) mod codec;
pub(crate) mod driver;
pub mod error;
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
