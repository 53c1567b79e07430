//! Processes the messages of a session: starts queries and writes their responses.

use std::sync::{Arc, Mutex};

use may::io::WaitIo as _;

use super::state::RunningQuery;
use super::{MAX_UNWRITTEN_BYTES, MESSAGES_PER_ITERATION, Session};
use crate::downstream::postgres::backend;
use crate::downstream::postgres::client_handle::ClientHandle;
use crate::downstream::postgres::error::{FatalError, QueryError};
use crate::downstream::postgres::frontend::{self, Message, StartupMessage, kind};
use crate::downstream::postgres::request::build_query;
use crate::downstream::postgres::result_encoder::ResultEncoder;
use crate::downstream::postgres::session_end::SessionEnd;
use crate::facade::{Mailbox, Rejection};
use crate::query::{Query, Response};
use crate::request_lifecycle::handle_request;
use crate::{lock, task};

/// Maximum number of encryption requests in a session: a client may try TLS and GSSAPI once each.
const MAX_ENCRYPTION_REQUESTS: u32 = 2;
/// Maximum number of letters that are kept of the first word of a statement. All words that command tags
/// use are shorter.
const MAX_COMMAND_LENGTH: usize = 16;

impl Session<'_> {
    /// Processes the complete messages of the input, until one starts a query or the limits of an iteration
    /// are reached.
    pub(super) fn process_messages(&mut self) {
        let mut input = std::mem::take(&mut self.input);
        let mut consumed = 0;
        for _ in 0..MESSAGES_PER_ITERATION {
            let has_output = self.result.is_some() || self.out.pending() >= MAX_UNWRITTEN_BYTES;
            if has_output || !self.state.accepts_messages() {
                break;
            }
            match self.process_message(&input[consumed..]) {
                Ok(0) => break,
                Ok(length) => consumed += length,
                Err(error) => self.fail(error),
            }
        }
        if self.state.is_closing() {
            consumed = input.len();
        }
        input.drain(..consumed);
        self.input = input;
    }

    /// Processes the message at the front of `input`. Returns its length in bytes, or 0 if it is incomplete.
    fn process_message(&mut self, input: &[u8]) -> Result<usize, FatalError> {
        if self.state.is_startup() {
            return self.process_startup(input);
        }
        let Some(message) = frontend::parse(input, self.manager.max_message_length)? else { return Ok(0) };
        let length = message.length;
        self.process_session_message(&message)?;
        Ok(length)
    }

    /// Processes the startup message at the front of `input`. Returns its length in bytes, or 0 if it is
    /// incomplete.
    fn process_startup(&mut self, input: &[u8]) -> Result<usize, FatalError> {
        let Some((message, length)) = frontend::parse_startup(input)? else { return Ok(0) };
        match message {
            StartupMessage::Session if self.manager.end_policy.includes(SessionEnd::WhenIdle) => {
                return Err(FatalError::ShuttingDown);
            }
            StartupMessage::Session => {
                backend::session_start(self.out.buffer(), self.key);
                self.state.on_startup_accepted();
            }
            StartupMessage::Encryption if self.encryption_requests >= MAX_ENCRYPTION_REQUESTS => {
                return Err(FatalError::RepeatedEncryptionRequest);
            }
            StartupMessage::Encryption => {
                self.encryption_requests += 1;
                backend::encryption_rejected(self.out.buffer());
            }
            StartupMessage::Cancel(key) => {
                if !self.manager.registry.cancel(key) {
                    self.manager.handler.handover.forward_cancel(key);
                }
                self.state.close();
            }
        }
        Ok(length)
    }

    /// Processes a message of an open session.
    fn process_session_message(&mut self, message: &Message) -> Result<(), FatalError> {
        match message.kind {
            kind::TERMINATE => self.state.close(),
            kind::SYNC => {
                backend::ready_for_query(self.out.buffer());
                self.state.on_sync();
            }
            _ if self.state.is_skipping() => {}
            kind::QUERY => self.process_query(message.body)?,
            kind::PARSE | kind::BIND | kind::DESCRIBE | kind::EXECUTE | kind::CLOSE | kind::FLUSH => {
                backend::query_error(self.out.buffer(), &QueryError::ExtendedQuery);
                self.state.skip_until_sync();
            }
            kind::FUNCTION_CALL => self.fail_query(&QueryError::FunctionCall),
            // CopyData is an error too. PostgreSQL discards it outside a copy, but the proxy never starts a
            // copy, and discarding it might never end.
            _ => return Err(FatalError::InvalidMessageKind),
        }
        Ok(())
    }

    /// Starts the simple query in a message body, or writes the response to one that cannot be started.
    fn process_query(&mut self, body: &[u8]) -> Result<(), FatalError> {
        let without_terminator = body.strip_suffix(&[0]);
        let text = without_terminator.filter(|text| !text.contains(&0));
        let text = text.ok_or(FatalError::MalformedQueryString)?;
        if self.manager.end_policy.includes(SessionEnd::WhenIdle) {
            return Err(FatalError::ShuttingDown);
        }
        let is_empty = text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';');
        if is_empty {
            backend::empty_query_response(self.out.buffer());
            backend::ready_for_query(self.out.buffer());
            return Ok(());
        }
        if std::mem::take(&mut self.cancel_next_query) {
            self.fail_query(&QueryError::Cancelled);
            return Ok(());
        }
        let client = Arc::new(ClientHandle::new(self.manager.clone(), self.handle.clone()));
        match build_query(&self.manager.handler, text, self.read_at, client.clone()) {
            Ok(query) => self.start_query(query, client),
            Err(error) => {
                if error == QueryError::OutOfMemory {
                    self.manager.evict_slowest_reader();
                }
                self.fail_query(&error);
            }
        }
        Ok(())
    }

    /// Starts a coroutine that runs the request, stores the response for this session and wakes the session.
    fn start_query(&mut self, query: Query, client: Arc<ClientHandle>) {
        let handler = self.manager.handler.clone();
        let mailbox = Mailbox::new();
        let running = RunningQuery {
            events: mailbox.sender(),
            response: Arc::new(Mutex::new(None)),
            command: command_word(&query.statement),
            open_guard: handler.track_open(&query),
            client,
        };
        let response_slot = running.response.clone();
        let waker = self.stream.waker();
        let spawned = task::spawn("request", move || {
            let send_response = |response| {
                *lock(&response_slot) = Some(response);
                waker.wakeup();
            };
            handle_request(&handler, query, &mailbox, send_response);
        });
        match spawned {
            Ok(()) => self.state.on_query_started(running),
            Err(_) => self.fail_query(&QueryError::OutOfMemory),
        }
    }

    /// Ends a query with an error; the session stays open.
    fn fail_query(&mut self, error: &QueryError) {
        backend::query_error(self.out.buffer(), error);
        backend::ready_for_query(self.out.buffer());
    }

    /// Appends the response of the running query to the output, if it has been stored. The request counts
    /// as open until the response has been written in full.
    pub(super) fn write_response(&mut self) {
        let Some((response, query)) = self.state.take_response() else { return };
        let out = self.out.buffer();
        match response {
            Response::Served(pages) => {
                self.result = Some(ResultEncoder::new(&query.command, pages));
                self.unsent_response_guard = Some(query.open_guard);
                return;
            }
            Response::Rejected(Rejection { retry_after, reason }) => {
                backend::query_error(out, &QueryError::Rejected { retry_after, reason });
            }
            Response::Duplicate => backend::query_error(out, &QueryError::Duplicate),
            Response::AlreadyRun => backend::query_error(out, &QueryError::AlreadyRun),
            Response::Failed => backend::query_error(out, &QueryError::Failed),
        }
        backend::ready_for_query(out);
        self.unsent_response_guard = Some(query.open_guard);
    }

    /// Handles a cancel request: cancels the running query, or else the next query if it is buffered in
    /// full or in part.
    pub(super) fn cancel_query(&mut self) {
        if self.abandon_request() {
            self.fail_query(&QueryError::Cancelled);
        } else if self.state.accepts_messages() {
            self.cancel_next_query = !self.input.is_empty();
        }
    }
}

/// Returns the first word of a statement, of which at most [`MAX_COMMAND_LENGTH`] letters are kept.
fn command_word(statement: &[u8]) -> String {
    let letters = statement.iter().take_while(|byte| byte.is_ascii_alphabetic());
    letters.take(MAX_COMMAND_LENGTH).map(|byte| char::from(*byte)).collect()
}
