//! The fields of a request, which its client writes in a comment ahead of the statement.

use gaugestep_dispatch::interface::Millis;
use thiserror::Error;

/// The longest time that a client may wait, in milliseconds.
const MAX_BUDGET: Millis = 3_600_000.0;

/// The largest value of a number: the most work in milliseconds, and the most memory in MB, that an estimate may give.
const MAX_NUMBER: f64 = 1e9;

/// The length of a request's id, in hexadecimal digits.
const REQUEST_ID_LENGTH: usize = 16;

/// The fields of one request. Texts are slices of the buffer that the query was read into.
#[derive(Debug, Default, PartialEq)]
pub struct RequestFields<'a> {
    /// The name of the class.
    pub method: &'a str,
    /// The request's id.
    pub rid: &'a str,
    /// How long the client waits, in milliseconds.
    pub budget: Millis,
    /// The name of the tenant, if given.
    pub acct: Option<&'a str>,
    /// The estimated work, in milliseconds on one core; 0 if not given.
    pub est: Millis,
    /// The estimated memory, in MB; 0 if not given.
    pub space: f64,
}

/// Why the fields of a request or its statement cannot be read.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum RequestFieldError {
    /// The query does not begin with a comment.
    #[error("a comment with the fields must stand ahead of the statement")]
    CommentMissing,
    /// The comment has no end.
    #[error("the comment with the fields does not end")]
    CommentUnterminated,
    /// The comment is not UTF-8.
    #[error("the fields are not UTF-8")]
    FieldsNotUtf8,
    /// A part of the comment is not of the form `name=value`.
    #[error("'{0}' is no name=value pair")]
    NotAPair(String),
    /// The value of a numeric field is not a number, or out of range.
    #[error("field '{name}' is '{value}', not a number from 0 to {MAX_NUMBER}")]
    InvalidNumber {
        /// The field's name.
        name: String,
        /// The value given.
        value: String,
    },
    /// The id is missing or malformed.
    #[error("field 'rid' is '{0}', not {REQUEST_ID_LENGTH} hex digits")]
    InvalidId(String),
    /// The budget is missing, zero or above the maximum.
    #[error("field 'budget' must be a time above 0")]
    InvalidBudget,
    /// Nothing follows the comment.
    #[error("the statement is empty")]
    StatementEmpty,
    /// The statement is not UTF-8.
    #[error("the statement is not UTF-8")]
    StatementNotUtf8,
}

/// Splits a query into the fields in its leading comment and the statement behind them.
///
/// # Errors
///
/// If the comment, a field or the statement is missing or malformed. Unknown fields are ignored.
pub fn parse(query: &[u8]) -> Result<(RequestFields<'_>, &[u8]), RequestFieldError> {
    let (comment, statement) = split_comment(query)?;
    let comment = std::str::from_utf8(comment).map_err(|_| RequestFieldError::FieldsNotUtf8)?;
    let fields = parse_fields(comment)?;
    if statement.is_empty() {
        return Err(RequestFieldError::StatementEmpty);
    }
    // A database that cannot read a statement closes the connection, and with it all other requests on it.
    if std::str::from_utf8(statement).is_err() {
        return Err(RequestFieldError::StatementNotUtf8);
    }
    Ok((fields, statement))
}

/// Splits a query into the text of its leading comment and the statement behind it.
fn split_comment(query: &[u8]) -> Result<(&[u8], &[u8]), RequestFieldError> {
    let query = query.trim_ascii_start();
    let comment = query.strip_prefix(b"/*").ok_or(RequestFieldError::CommentMissing)?;
    let end =
        comment.windows(2).position(|pair| pair == b"*/").ok_or(RequestFieldError::CommentUnterminated)?;
    Ok((&comment[..end], comment[end + 2..].trim_ascii_start()))
}

fn parse_fields(comment: &str) -> Result<RequestFields<'_>, RequestFieldError> {
    let mut fields = RequestFields::default();
    for pair in comment.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let (name, value) =
            pair.split_once('=').ok_or_else(|| RequestFieldError::NotAPair(pair.to_owned()))?;
        match name {
            "method" => fields.method = value,
            "rid" => fields.rid = value,
            "budget" => fields.budget = parse_number(name, value)?,
            "acct" => fields.acct = Some(value),
            "est" => fields.est = parse_number(name, value)?,
            "space" => fields.space = parse_number(name, value)?,
            // Later clients may send fields that this version does not know.
            _ => {}
        }
    }
    let is_id =
        fields.rid.len() == REQUEST_ID_LENGTH && fields.rid.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_id {
        return Err(RequestFieldError::InvalidId(fields.rid.to_owned()));
    }
    // A budget that was not given is 0.
    if fields.budget <= 0.0 || fields.budget > MAX_BUDGET {
        return Err(RequestFieldError::InvalidBudget);
    }
    Ok(fields)
}

fn parse_number(name: &str, value: &str) -> Result<f64, RequestFieldError> {
    match value.parse::<f64>() {
        Ok(number) if (0.0..=MAX_NUMBER).contains(&number) => Ok(number),
        _ => Err(RequestFieldError::InvalidNumber { name: name.to_owned(), value: value.to_owned() }),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request_fields.rs"]
mod tests;
