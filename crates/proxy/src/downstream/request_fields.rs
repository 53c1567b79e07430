//! Parses the fields of a request, which the client writes in a comment before the statement.

use gaugestep_dispatch::interface::Millis;
use thiserror::Error;

/// The longest time budget that a request may have, in milliseconds: one hour.
const MAX_TIME_BUDGET: Millis = 3_600_000.0;

/// The largest value of any numeric field, among them the estimates of work (milliseconds) and of memory
/// (MB).
const MAX_NUMBER: f64 = 1e9;

/// The longest comment with fields, in bytes. Its fields are parsed while other clients wait.
const MAX_COMMENT_BYTES: usize = 8 * 1024;

/// The length of a request id, in hexadecimal digits.
const REQUEST_ID_LENGTH: usize = 16;

/// The fields of one request, named as in the comment. Strings are slices of the buffer that the query was
/// read into.
#[derive(Debug, Default, PartialEq)]
pub struct RequestFields<'a> {
    /// The name of the request's class.
    pub method: &'a str,
    /// The request id, chosen by the client.
    pub rid: &'a str,
    /// How long the client waits for the response, in milliseconds.
    pub budget: Millis,
    /// The name of the request's tenant, or `None` if the client gave none.
    pub acct: Option<&'a str>,
    /// The estimated work, in milliseconds on one core; 0 if the client gave none.
    pub est: Millis,
    /// The estimated memory, in MB; 0 if the client gave none.
    pub space: f64,
}

/// Why a query is not a valid request. The texts are sent to clients.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum RequestFieldError {
    /// The query does not begin with a comment.
    #[error("a comment with the fields must stand ahead of the statement")]
    CommentMissing,
    /// The comment has no end.
    #[error("the comment with the fields does not end")]
    CommentUnterminated,
    /// The comment does not end within the maximum length.
    #[error("the comment with the fields is longer than {MAX_COMMENT_BYTES} bytes")]
    CommentTooLong,
    /// The comment is not UTF-8.
    #[error("the fields are not UTF-8")]
    FieldsNotUtf8,
    /// An item of the comment does not have the form `name=value`.
    #[error("'{0}' is no name=value pair")]
    NotAPair(String),
    /// The value of a numeric field is not a number, or is out of range.
    #[error("field '{name}' is '{value}', not a number from 0 to {MAX_NUMBER}")]
    InvalidNumber {
        /// The name of the field.
        name: String,
        /// The value that the client sent.
        value: String,
    },
    /// The request id is missing or malformed.
    #[error("field 'rid' is '{0}', not {REQUEST_ID_LENGTH} hex digits")]
    InvalidId(String),
    /// The time budget is missing, zero or above the maximum.
    #[error("field 'budget' must be a time above 0")]
    InvalidBudget,
    /// No statement follows the comment.
    #[error("the statement is empty")]
    StatementEmpty,
    /// The statement is not UTF-8.
    #[error("the statement is not UTF-8")]
    StatementNotUtf8,
}

/// Splits a query into the fields in its leading comment and the statement after the comment. Ignores
/// unknown fields.
///
/// # Errors
///
/// Returns an error if the comment, a required field or the statement is missing or malformed.
pub fn parse(query: &[u8]) -> Result<(RequestFields<'_>, &[u8]), RequestFieldError> {
    let (comment, statement) = split_comment(query)?;
    let comment = std::str::from_utf8(comment).map_err(|_| RequestFieldError::FieldsNotUtf8)?;
    let fields = parse_fields(comment)?;
    if statement.is_empty() {
        return Err(RequestFieldError::StatementEmpty);
    }
    // An engine that receives a malformed statement closes the connection, which ends all other attempts on
    // it too.
    if std::str::from_utf8(statement).is_err() {
        return Err(RequestFieldError::StatementNotUtf8);
    }
    Ok((fields, statement))
}

/// Splits a query into the text of its leading comment and the statement after the comment.
fn split_comment(query: &[u8]) -> Result<(&[u8], &[u8]), RequestFieldError> {
    let query = query.trim_ascii_start();
    let comment = query.strip_prefix(b"/*").ok_or(RequestFieldError::CommentMissing)?;
    let limited = &comment[..comment.len().min(MAX_COMMENT_BYTES)];
    let end = limited.windows(2).position(|pair| pair == b"*/").ok_or_else(|| {
        let is_too_long = limited.len() < comment.len();
        if is_too_long { RequestFieldError::CommentTooLong } else { RequestFieldError::CommentUnterminated }
    })?;
    Ok((&comment[..end], comment[end + 2..].trim_ascii_start()))
}

fn parse_fields(comment: &str) -> Result<RequestFields<'_>, RequestFieldError> {
    let mut fields = RequestFields::default();
    for pair in comment.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or_else(|| RequestFieldError::NotAPair(excerpt(pair)))?;
        match name {
            "method" => fields.method = value,
            "rid" => fields.rid = value,
            "budget" => fields.budget = parse_numeric_field(name, value)?,
            "acct" => fields.acct = Some(value),
            "est" => fields.est = parse_numeric_field(name, value)?,
            "space" => fields.space = parse_numeric_field(name, value)?,
            // Newer clients may send fields that this version of the proxy does not support.
            _ => {}
        }
    }
    let is_id =
        fields.rid.len() == REQUEST_ID_LENGTH && fields.rid.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_id {
        return Err(RequestFieldError::InvalidId(excerpt(fields.rid)));
    }
    // The default of 0 marks a missing budget.
    if fields.budget <= 0.0 || fields.budget > MAX_TIME_BUDGET {
        return Err(RequestFieldError::InvalidBudget);
    }
    Ok(fields)
}

/// Parses the value of the field `name` as a number from 0 to [`MAX_NUMBER`].
fn parse_numeric_field(name: &str, value: &str) -> Result<f64, RequestFieldError> {
    match value.parse::<f64>() {
        Ok(number) if (0.0..=MAX_NUMBER).contains(&number) => Ok(number),
        _ => Err(RequestFieldError::InvalidNumber { name: name.to_owned(), value: excerpt(value) }),
    }
}

/// Returns the beginning of a text that a client sent, for an error message.
pub fn excerpt(text: &str) -> String {
    /// The longest excerpt, in characters.
    const MAX_LENGTH: usize = 100;
    match text.char_indices().nth(MAX_LENGTH) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request_fields.rs"]
mod tests;
