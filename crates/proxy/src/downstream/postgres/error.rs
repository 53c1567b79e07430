//! The errors that clients receive, each with its SQLSTATE.

use gaugestep_dispatch::interface::{Millis, RejectReason};
use thiserror::Error;

use crate::downstream::request_fields::RequestFieldError;

/// A PostgreSQL error code (SQLSTATE).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SqlState(&'static str);

impl SqlState {
    const PROTOCOL_VIOLATION: Self = SqlState("08P01");
    const FEATURE_NOT_SUPPORTED: Self = SqlState("0A000");
    const INVALID_PARAMETER_VALUE: Self = SqlState("22023");
    const SYNTAX_ERROR: Self = SqlState("42601");
    const DUPLICATE_OBJECT: Self = SqlState("42710");
    const INSUFFICIENT_RESOURCES: Self = SqlState("53000");
    const OUT_OF_MEMORY: Self = SqlState("53200");
    const TOO_MANY_CONNECTIONS: Self = SqlState("53300");
    const PROGRAM_LIMIT_EXCEEDED: Self = SqlState("54000");
    const QUERY_CANCELED: Self = SqlState("57014");
    const CANNOT_CONNECT_NOW: Self = SqlState("57P03");
    const SYSTEM_ERROR: Self = SqlState("58000");

    /// Returns the five characters of the code.
    pub fn code(self) -> &'static str {
        self.0
    }
}

/// An error that ends the session (severity `FATAL`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum FatalError {
    /// The length of the startup message is out of range.
    #[error("invalid length of startup packet")]
    InvalidStartupLength,
    /// The startup message does not end with a zero byte.
    #[error("invalid startup packet layout: expected terminator as last byte")]
    MalformedStartup,
    /// The startup message requests an unsupported protocol version.
    #[error("unsupported frontend protocol: this server supports 3.0")]
    UnsupportedProtocol,
    /// A cancel request contains no complete cancel key.
    #[error("invalid cancel request")]
    MalformedCancelRequest,
    /// The client requested encryption again after the proxy had rejected it twice.
    #[error("encryption was asked for more than once")]
    RepeatedEncryptionRequest,
    /// The length of a message is less than the size of its length field.
    #[error("invalid message length")]
    InvalidMessageLength,
    /// A message is longer than the proxy accepts.
    #[error("message too long")]
    MessageTooLong,
    /// The message kind is unknown, or not valid in this state of the session.
    #[error("invalid frontend message type")]
    InvalidMessageKind,
    /// The text of a query is not one zero-terminated string.
    #[error("invalid string in message")]
    MalformedQueryString,
    /// The client did not send the rest of a message in time.
    #[error("canceling: the client's message did not come in time")]
    MessageTimeout,
    /// The client closed its side of the connection while its query was running.
    #[error("canceling: the client has closed its side of the connection")]
    ClientClosed,
    /// The client sent Terminate while its query was running.
    #[error("canceling: the client has taken its leave")]
    ClientTerminated,
    /// The client sent more input ahead of a response than the proxy buffers.
    #[error("too much was sent ahead of an answer")]
    TooMuchReadAhead,
    /// The memory for incomplete messages is used up, and this one is the oldest.
    #[error("out of memory for incomplete messages")]
    OutOfMemory,
    /// The maximum number of sessions is open.
    #[error("sorry, too many clients already")]
    TooManyClients,
    /// The proxy is shutting down or draining and accepts no more queries.
    #[error("the proxy is shutting down")]
    ShuttingDown,
}

impl FatalError {
    /// Returns the SQLSTATE that the client receives.
    pub fn sql_state(self) -> SqlState {
        match self {
            FatalError::InvalidStartupLength
            | FatalError::MalformedStartup
            | FatalError::MalformedCancelRequest
            | FatalError::RepeatedEncryptionRequest
            | FatalError::InvalidMessageLength
            | FatalError::InvalidMessageKind
            | FatalError::MalformedQueryString => SqlState::PROTOCOL_VIOLATION,
            FatalError::UnsupportedProtocol => SqlState::FEATURE_NOT_SUPPORTED,
            FatalError::MessageTooLong | FatalError::TooMuchReadAhead => SqlState::PROGRAM_LIMIT_EXCEEDED,
            FatalError::MessageTimeout | FatalError::ClientClosed | FatalError::ClientTerminated => {
                SqlState::QUERY_CANCELED
            }
            FatalError::OutOfMemory => SqlState::OUT_OF_MEMORY,
            FatalError::TooManyClients => SqlState::TOO_MANY_CONNECTIONS,
            FatalError::ShuttingDown => SqlState::CANNOT_CONNECT_NOW,
        }
    }
}

/// An error that ends a query and leaves the session open (severity `ERROR`).
#[derive(Clone, Debug, PartialEq, Error)]
pub enum QueryError {
    /// The client sent a message of the extended query protocol.
    #[error("only simple queries are supported")]
    ExtendedQuery,
    /// The client sent a function call.
    #[error("function calls are not supported")]
    FunctionCall,
    /// The comment with the request fields or the statement is malformed.
    #[error(transparent)]
    Fields(#[from] RequestFieldError),
    /// The current settings have no class of this name.
    #[error("field 'method' is '{0}', which is no class")]
    UnknownClass(String),
    /// The current settings have no tenant of this name.
    #[error("field 'acct' is '{0}', which is no tenant")]
    UnknownTenant(String),
    /// The maximum number of requests is open.
    #[error("too many requests are open")]
    TooManyOpenRequests,
    /// The memory for requests is used up, or the coroutine of the request could not be started.
    #[error("out of memory")]
    OutOfMemory,
    /// The client cancelled the query.
    #[error("canceling statement due to user request")]
    Cancelled,
    /// The dispatcher rejected the request, which did not run.
    #[error("refused, nothing was done: backoff={:.0}", retry_after.max(0.0))]
    Rejected {
        /// How long the client should wait before it retries, in milliseconds.
        retry_after: Millis,
        /// Why the request was rejected.
        reason: RejectReason,
    },
    /// A request with the same id is open.
    #[error("a request with this 'rid' is open")]
    Duplicate,
    /// A request with the same id may have run, and its class must not run twice.
    #[error("a request with this 'rid' may have run already")]
    AlreadyRun,
    /// The request failed; its statement may have run.
    #[error("failed: the statement may have run")]
    Failed,
}

impl QueryError {
    /// Returns the SQLSTATE that the client receives.
    pub fn sql_state(&self) -> SqlState {
        match self {
            QueryError::ExtendedQuery | QueryError::FunctionCall => SqlState::FEATURE_NOT_SUPPORTED,
            QueryError::Fields(_) => SqlState::SYNTAX_ERROR,
            QueryError::UnknownClass(_) | QueryError::UnknownTenant(_) => SqlState::INVALID_PARAMETER_VALUE,
            QueryError::TooManyOpenRequests => SqlState::TOO_MANY_CONNECTIONS,
            QueryError::OutOfMemory => SqlState::OUT_OF_MEMORY,
            QueryError::Cancelled => SqlState::QUERY_CANCELED,
            QueryError::Rejected { .. } => SqlState::INSUFFICIENT_RESOURCES,
            QueryError::Duplicate | QueryError::AlreadyRun => SqlState::DUPLICATE_OBJECT,
            QueryError::Failed => SqlState::SYSTEM_ERROR,
        }
    }

    /// Returns the hint that the client receives with the error, or `None` if there is none.
    pub fn hint(&self) -> Option<&'static str> {
        match self {
            QueryError::Rejected { reason, .. } => Some(reason.description()),
            _ => None,
        }
    }
}
