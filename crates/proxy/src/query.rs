//! A request on its way through the proxy.
//!
//! The client's side makes a [`Query`] and takes an [`Answer`]; the databases' side takes a [`Query`] and reports
//! [`UpstreamEvent`]s. Neither knows the other: [`crate::request_lifecycle`] connects them, as the facade decides.

use std::fmt::Debug;
use std::sync::Arc;

use gaugestep_dispatch::interface::{Cost, LoadReport, NewRequest, ProgressReport};

use crate::class_registry::Class;
use crate::facade::{Rejection, RequestEvent};
use crate::termination::Termination;

/// The client that waits for a request's answer, as it can be queried at any moment.
pub trait Client: Debug + Send + Sync {
    /// Whether it has closed its connection or cancelled the request, even if its session has not noticed yet.
    fn is_gone(&self) -> bool;

    /// Whether there is input from clients that has not been read: it may cancel the request.
    fn has_unread_input(&self) -> bool;
}

/// A client's request, independent of the protocol that it came by.
#[derive(Clone, Debug)]
pub struct Query {
    /// The request as the dispatcher sees it.
    pub request: NewRequest,
    /// Its class.
    pub class: Arc<Class>,
    /// The statement, byte for byte.
    pub statement: Vec<u8>,
    /// Its client.
    pub client: Arc<dyn Client>,
}

/// A complete result: pages of rows, in order. A tab separates the columns of a row, a line feed ends it.
pub type Pages = Vec<Vec<u8>>;

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// Its result.
    Served(Pages),
    /// It did not run, or may be repeated.
    Rejected(Rejection),
    /// It failed, and may have run.
    Failed,
    /// It was not accepted, as a request with its id is open.
    Duplicate,
}

/// What the databases' side reports about an attempt.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// Progress while it runs.
    Progress(ProgressReport),
    /// Its end.
    Ended(AttemptResult),
}

/// The end of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub termination: Termination,
    /// The resources it used, if reported.
    pub cost: Option<Cost>,
    /// The database's load, if reported.
    pub load: Option<LoadReport>,
    /// The result, if it was served.
    pub pages: Pages,
}

impl From<Termination> for AttemptResult {
    fn from(termination: Termination) -> Self {
        AttemptResult { termination, cost: None, load: None, pages: Pages::new() }
    }
}

/// What reaches a request's coroutine.
pub type LifecycleEvent = RequestEvent<UpstreamEvent>;
/// Reaches the mailbox of a request's coroutine.
pub type EventSender = may::sync::mpsc::Sender<LifecycleEvent>;
