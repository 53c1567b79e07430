//! The errors that clients are sent, each with its SQLSTATE.

use gaugestep_dispatch::interface::{Millis, RejectReason};
use thiserror::Error;

use crate::downstream::request_fields::RequestFieldError;

/// An error code of PostgreSQL.
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

    /// The five characters of the code.
    pub fn code(self) -> &'static str {
        self.0
    }
}

/// An error that ends the session (severity `FATAL`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FatalError {
    /// The length of the startup message is out of range.
    #[error("invalid length of startup packet")]
    StartupLength,
    /// The startup message does not end with a zero byte.
    #[error("invalid startup packet layout: expected terminator as last byte")]
    StartupLayout,
    /// The startup message asks for another version of the protocol.
    #[error("unsupported frontend protocol: this server supports 3.0")]
    UnsupportedProtocol,
    /// A cancel request lacks its key.
    #[error("invalid cancel request")]
    CancelRequestLayout,
    /// Encryption was requested again after it had been declined.
    #[error("encryption was asked for more than once")]
    RepeatedEncryptionRequest,
    /// The length of a message is less than that of the length itself.
    #[error("invalid message length")]
    MessageLength,
    /// A message is longer than the proxy accepts.
    #[error("message too long")]
    MessageTooLong,
    /// A message of a kind that is unknown, or not valid here.
    #[error("invalid frontend message type")]
    MessageKind,
    /// The text of a query is not one zero-terminated string.
    #[error("invalid string in message")]
    QueryString,
    /// The rest of a message did not come in time.
    #[error("canceling: the client's message did not come in time")]
    MessageTimeout,
    /// The client closed its side of the connection while its query was running.
    #[error("canceling: the client has closed its side of the connection")]
    ClientClosed,
    /// The client sent Terminate while its query was running.
    #[error("canceling: the client has taken its leave")]
    ClientTerminated,
    /// The client sent more ahead of an answer than is buffered.
    #[error("too much was sent ahead of an answer")]
    TooMuchReadAhead,
    /// There are too many sessions.
    #[error("sorry, too many clients already")]
    TooManyClients,
    /// The proxy accepts no queries any more.
    #[error("the proxy is shutting down")]
    ShuttingDown,
}

impl FatalError {
    /// The SQLSTATE that clients are sent.
    pub fn sql_state(self) -> SqlState {
        match self {
            FatalError::StartupLength
            | FatalError::StartupLayout
            | FatalError::CancelRequestLayout
            | FatalError::RepeatedEncryptionRequest
            | FatalError::MessageLength
            | FatalError::MessageKind
            | FatalError::QueryString => SqlState::PROTOCOL_VIOLATION,
            FatalError::UnsupportedProtocol => SqlState::FEATURE_NOT_SUPPORTED,
            FatalError::MessageTooLong | FatalError::TooMuchReadAhead => SqlState::PROGRAM_LIMIT_EXCEEDED,
            FatalError::MessageTimeout | FatalError::ClientClosed | FatalError::ClientTerminated => {
                SqlState::QUERY_CANCELED
            }
            FatalError::TooManyClients => SqlState::TOO_MANY_CONNECTIONS,
            FatalError::ShuttingDown => SqlState::CANNOT_CONNECT_NOW,
        }
    }
}

/// An error that ends a query and leaves the session open (severity `ERROR`).
#[derive(Clone, Debug, PartialEq, Error)]
pub enum QueryError {
    /// A message of the extended query protocol.
    #[error("only simple queries are supported")]
    ExtendedQuery,
    /// A function call.
    #[error("function calls are not supported")]
    FunctionCall,
    /// The fields in the comment or the statement are malformed.
    #[error(transparent)]
    Fields(#[from] RequestFieldError),
    /// The class is not one of the settings in force.
    #[error("field 'method' is '{0}', which is no class")]
    UnknownClass(String),
    /// The tenant is not one of the settings in force.
    #[error("field 'acct' is '{0}', which is no tenant")]
    UnknownTenant(String),
    /// As many requests are open as the proxy accepts.
    #[error("too many requests are open")]
    TooManyOpen,
    /// No coroutine could be started for the request.
    #[error("out of memory")]
    OutOfMemory,
    /// The client cancelled the query.
    #[error("canceling statement due to user request")]
    Cancelled,
    /// The request was rejected; it did not run.
    #[error("refused, nothing was done: backoff={:.0}", retry_after.max(0.0))]
    Rejected {
        /// How long the client should wait before it tries again, in milliseconds.
        retry_after: Millis,
        /// Why.
        reason: RejectReason,
    },
    /// A request with this id is open.
    #[error("a request with this 'rid' is open")]
    Duplicate,
    /// The request failed.
    #[error("failed: the statement may have run")]
    Failed,
}

impl QueryError {
    /// The SQLSTATE that clients are sent.
    pub fn sql_state(&self) -> SqlState {
        match self {
            QueryError::ExtendedQuery | QueryError::FunctionCall => SqlState::FEATURE_NOT_SUPPORTED,
            QueryError::Fields(_) => SqlState::SYNTAX_ERROR,
            QueryError::UnknownClass(_) | QueryError::UnknownTenant(_) => SqlState::INVALID_PARAMETER_VALUE,
            QueryError::TooManyOpen => SqlState::TOO_MANY_CONNECTIONS,
            QueryError::OutOfMemory => SqlState::OUT_OF_MEMORY,
            QueryError::Cancelled => SqlState::QUERY_CANCELED,
            QueryError::Rejected { .. } => SqlState::INSUFFICIENT_RESOURCES,
            QueryError::Duplicate => SqlState::DUPLICATE_OBJECT,
            QueryError::Failed => SqlState::SYSTEM_ERROR,
        }
    }

    /// More about the cause, for the people who use the client.
    pub fn hint(&self) -> Option<&'static str> {
        match self {
            QueryError::Rejected { reason, .. } => Some(reason.description()),
            _ => None,
        }
    }
}
