//! The types that the downstream and upstream sides of the proxy exchange about a request.
//!
//! The downstream side builds a [`Query`] and receives a [`Response`]. The upstream side receives a
//! [`Query`] and emits [`UpstreamEvent`]s. The two sides are independent of each other:
//! [`crate::request_lifecycle`] connects them, as the facade decides.

use std::fmt::Debug;
use std::sync::Arc;

use gaugestep_dispatch::interface::{Cost, LoadReport, NewRequest, ProgressReport};

use crate::class_registry::Class;
use crate::facade::{Rejection, RequestEvent};
use crate::memory::MemoryCharge;
use crate::termination::Termination;

/// The client that waits for the response to a request. It can be checked at any moment.
pub trait Client: Debug + Send + Sync {
    /// Whether the client has closed its connection or cancelled the request, even if its session has not
    /// noticed yet.
    fn is_gone(&self) -> bool;

    /// Whether the client's own connection has input that its session has not read. A close may wait behind
    /// it, which the proxy cannot see until the input is read.
    fn has_unread_own_input(&self) -> bool;

    /// Whether a client connection has input that the proxy has not read: it may be a cancel request for
    /// this request.
    fn has_unread_input(&self) -> bool;
}

/// A client's request, independent of the protocol by which it arrived.
#[derive(Clone, Debug)]
pub struct Query {
    /// The request as the dispatcher receives it.
    pub request: NewRequest,
    /// The class of the request.
    pub class: Arc<Class>,
    /// The SQL statement, byte for byte as the client sent it.
    pub statement: Vec<u8>,
    /// The client that waits for the response.
    pub client: Arc<dyn Client>,
    /// The memory of the request, its attempt and its result.
    pub memory: Arc<MemoryCharge>,
}

/// A complete query result: pages of rows, in order. A tab separates the columns of a row, and a line feed
/// ends the row.
pub type Pages = Vec<Vec<u8>>;

/// The one final response to a request.
#[derive(Debug)]
pub enum Response {
    /// The request was served, with this result.
    Served(Pages),
    /// The request was rejected: it did not run, or it is safe to run it again.
    Rejected(Rejection),
    /// The request failed; its statement may have run.
    Failed,
    /// The request was not accepted, because a request with the same id is open.
    Duplicate,
    /// The request was not accepted, because a request with the same id may have run and must not run again.
    AlreadyRun,
}

/// An event of an attempt on the upstream side.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// The engine reported progress of the attempt.
    Progress(ProgressReport),
    /// The attempt has ended.
    Ended(AttemptResult),
}

/// How an attempt ended, with what the engine reported about it.
#[derive(Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub termination: Termination,
    /// The resources that the attempt used. `None` if the engine did not report them.
    pub cost: Option<Cost>,
    /// The load of the engine. `None` if the engine did not report it.
    pub load: Option<LoadReport>,
    /// The query result; empty unless the attempt was served.
    pub pages: Pages,
}

impl From<Termination> for AttemptResult {
    fn from(termination: Termination) -> Self {
        AttemptResult { termination, cost: None, load: None, pages: Pages::new() }
    }
}

/// An event in the mailbox of a request's coroutine.
pub type LifecycleEvent = RequestEvent<UpstreamEvent>;
/// Sends events to the mailbox of a request's coroutine.
pub type EventSender = may::sync::mpsc::Sender<LifecycleEvent>;
