//! A request on its way through the proxy.
//!
//! The client's side yields a [`Query`] and takes an [`Answer`]; the databases' side gets a [`Query`] and yields [`UpstreamEvent`].
//! Neither knows the other: [`crate::request_lifecycle`] stands between them and asks the facade what to do.

use std::fmt::Debug;
use std::sync::Arc;

use gaugestep_dispatch::interface::{Cost, LoadReport, NewRequest, ProgressReport, RejectReason};

use crate::class_registry::Class;
use crate::facade::RequestEvent;
use crate::termination::Termination;

/// Who waits for a request's answer, as can be asked at any moment.
pub trait Client: Debug + Send + Sync {
    /// Whether it has closed its connection or called the request off, also if nobody else has noticed yet.
    fn has_left(&self) -> bool;

    /// Whether something has come from outside that is still to be heard and may be what calls the request off.
    fn has_unread_input(&self) -> bool;
}

/// A client's request, whatever front it came through.
#[derive(Clone, Debug)]
pub struct Query {
    /// What the module is told.
    pub new: NewRequest,
    /// Its class.
    pub class: Arc<Class>,
    /// The statement, byte for byte.
    pub statement: Vec<u8>,
    /// Who waits for its answer.
    pub client: Arc<dyn Client>,
}

/// A whole result: pages of rows, in order. A tab parts the columns of a row, a line feed ends it.
pub type Pages = Vec<Vec<u8>>;

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// Served.
    Served(Pages),
    /// It never ran, or may be repeated: the client may come again, after so many milliseconds.
    Rejected(f64, RejectReason),
    /// Failed; nothing is promised.
    Failed,
    /// Not taken: its id is that of a request which is open.
    Duplicate,
}

/// What the databases' side tells of an attempt.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// It reported progress.
    Progress(ProgressReport),
    /// Its end.
    Ended(AttemptResult),
}

/// The end of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub termination: Termination,
    /// What it needed, where that was told.
    pub cost: Option<Cost>,
    /// The database's load, where that was told.
    pub load: Option<LoadReport>,
    /// The result, if it was served.
    pub pages: Pages,
}

impl From<Termination> for AttemptResult {
    fn from(termination: Termination) -> Self {
        AttemptResult { termination, cost: None, load: None, pages: Pages::new() }
    }
}

/// What a request's coroutine receives through its mailbox.
pub type LifecycleEvent = RequestEvent<UpstreamEvent>;
/// The sending end of a request's mailbox.
pub type EventSender = may::sync::mpsc::Sender<LifecycleEvent>;
