//! Processes the messages of a session: starts queries, and writes their answers.

use std::sync::{Arc, Mutex};

use may::io::WaitIo as _;

use super::state::RunningQuery;
use super::{MAX_READ_AHEAD, MESSAGES_PER_TURN, Session};
use crate::downstream::postgres::backend;
use crate::downstream::postgres::client_handle::ClientHandle;
use crate::downstream::postgres::error::{FatalError, QueryError};
use crate::downstream::postgres::frontend::{self, Message, StartupMessage, kind};
use crate::downstream::postgres::request::build_query;
use crate::downstream::postgres::session_end::SessionEnd;
use crate::facade::{Mailbox, Rejection};
use crate::query::{Answer, Query};
use crate::request_lifecycle::handle_request;
use crate::{lock, task};

/// Requests for encryption that are answered: there are two kinds, and each may be tried once.
const MAX_ENCRYPTION_REQUESTS: u32 = 2;
/// Letters of a statement's first word that are kept.
const MAX_COMMAND_LENGTH: usize = 16;

impl Session<'_> {
    /// Processes the complete messages that were read, up to the next query.
    pub(super) fn process_messages(&mut self) {
        let mut input = std::mem::take(&mut self.input);
        let mut consumed = 0;
        for _ in 0..MESSAGES_PER_TURN {
            if !self.state.accepts_messages() || self.out.pending() >= MAX_READ_AHEAD {
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
        // An idle session keeps no buffer.
        self.input = if input.is_empty() { Vec::new() } else { input };
    }

    /// Processes the message at the front of `input`, and returns its length; 0 if it is incomplete.
    fn process_message(&mut self, input: &[u8]) -> Result<usize, FatalError> {
        if self.state.is_startup() {
            return self.process_startup(input);
        }
        let Some(message) = frontend::parse(input, self.manager.max_message_length)? else { return Ok(0) };
        let length = message.length;
        self.process_session_message(&message)?;
        Ok(length)
    }

    fn process_startup(&mut self, input: &[u8]) -> Result<usize, FatalError> {
        let Some((message, length)) = frontend::parse_startup(input)? else { return Ok(0) };
        match message {
            StartupMessage::Session if self.manager.end_policy.applies(SessionEnd::WhenIdle) => {
                return Err(FatalError::ShuttingDown);
            }
            StartupMessage::Session => {
                backend::session_start(self.out.buffer(), self.key);
                self.state.started();
            }
            StartupMessage::Encryption if self.encryption_requests >= MAX_ENCRYPTION_REQUESTS => {
                return Err(FatalError::RepeatedEncryptionRequest);
            }
            StartupMessage::Encryption => {
                self.encryption_requests += 1;
                backend::encryption_declined(self.out.buffer());
            }
            StartupMessage::Cancel(key) => {
                self.manager.registry.cancel(key);
                self.state.close();
            }
        }
        Ok(length)
    }

    fn process_session_message(&mut self, message: &Message) -> Result<(), FatalError> {
        match message.kind {
            kind::TERMINATE => self.state.close(),
            kind::SYNC => {
                backend::ready_for_query(self.out.buffer());
                self.state.synced();
            }
            _ if self.state.is_skipping() => {}
            kind::QUERY => self.process_query(message.body)?,
            kind::PARSE | kind::BIND | kind::DESCRIBE | kind::EXECUTE | kind::CLOSE | kind::FLUSH => {
                backend::query_error(self.out.buffer(), &QueryError::ExtendedQuery);
                self.state.skip_until_sync();
            }
            kind::FUNCTION_CALL => self.fail_query(&QueryError::FunctionCall),
            // Copy data too: the proxy never starts a copy, and discarding it might never end.
            _ => return Err(FatalError::MessageKind),
        }
        Ok(())
    }

    fn process_query(&mut self, body: &[u8]) -> Result<(), FatalError> {
        let text = body.strip_suffix(&[0]).filter(|text| !text.contains(&0));
        let text = text.ok_or(FatalError::QueryString)?;
        if self.manager.end_policy.applies(SessionEnd::WhenIdle) {
            return Err(FatalError::ShuttingDown);
        }
        if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') {
            backend::empty_query_response(self.out.buffer());
            backend::ready_for_query(self.out.buffer());
            return Ok(());
        }
        if std::mem::take(&mut self.next_query_cancelled) {
            self.fail_query(&QueryError::Cancelled);
            return Ok(());
        }
        let client = Arc::new(ClientHandle::new(self.manager.clone(), self.handle.clone()));
        match build_query(&self.manager.handler, text, self.read_at, client.clone()) {
            Ok(query) => self.start_query(query, client),
            Err(error) => self.fail_query(&error),
        }
        Ok(())
    }

    /// Starts a coroutine that handles the request and leaves its answer with this session.
    fn start_query(&mut self, query: Query, client: Arc<ClientHandle>) {
        let handler = self.manager.handler.clone();
        let mailbox = Mailbox::new();
        let running = RunningQuery {
            events: mailbox.sender(),
            answer: Arc::new(Mutex::new(None)),
            command: command_word(&query.statement),
            open: handler.track_open(&query.class),
            client,
        };
        let answer_slot = running.answer.clone();
        let waker = self.stream.waker();
        let spawned = task::spawn("request", move || {
            handle_request(&handler, query, &mailbox, |answer| {
                *lock(&answer_slot) = Some(answer);
                waker.wakeup();
            });
        });
        match spawned {
            Ok(()) => self.state.query_started(running),
            Err(_) => self.fail_query(&QueryError::OutOfMemory),
        }
    }

    /// Ends a query with an error; the session stays open.
    fn fail_query(&mut self, error: &QueryError) {
        backend::query_error(self.out.buffer(), error);
        backend::ready_for_query(self.out.buffer());
    }

    /// Writes the answer of the running query if it has come. The request counts as open until the client has it all.
    pub(super) fn write_answer(&mut self) {
        let Some((answer, query)) = self.state.take_answer() else { return };
        let out = self.out.buffer();
        match answer {
            Answer::Served(pages) => backend::result(out, &query.command, &pages),
            Answer::Rejected(Rejection { retry_after, reason }) => {
                backend::query_error(out, &QueryError::Rejected { retry_after, reason });
            }
            Answer::Duplicate => backend::query_error(out, &QueryError::Duplicate),
            Answer::Failed => backend::query_error(out, &QueryError::Failed),
        }
        backend::ready_for_query(out);
        self.unwritten = Some(query.open);
    }

    /// Cancels the running query, or the one that has come and was not processed yet.
    pub(super) fn cancel_query(&mut self) {
        if self.abandon_request() {
            self.fail_query(&QueryError::Cancelled);
        } else if self.state.accepts_messages() {
            self.next_query_cancelled = !self.input.is_empty();
        }
    }
}

/// The first word of a statement.
fn command_word(statement: &[u8]) -> String {
    let letters = statement.iter().take_while(|byte| byte.is_ascii_alphabetic());
    letters.take(MAX_COMMAND_LENGTH).map(|byte| char::from(*byte)).collect()
}
