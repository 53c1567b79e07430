//! Encodes the commands that engines are sent. Each function appends one command to the output of a
//! connection.

use std::io::Write as _;
use std::time::Duration;

use crate::query::Query;

/// Starts a query. `remaining_time` is how long the client still waits; the command carries it in whole
/// milliseconds, at least 1.
pub fn serve(out: &mut Vec<u8>, id: &str, query: &Query, priority: Option<u8>, remaining_time: Duration) {
    let budget_ms = remaining_time.as_millis().max(1);
    // Here and in all other commands: writing to a vector cannot fail.
    let _ = write!(out, "serve {id} queue={},budget={budget_ms}", query.class.name);
    if let Some(priority) = priority {
        let _ = write!(out, ",band={priority}");
    }
    let _ = write!(out, " {}\r\n", query.statement.len());
    out.extend_from_slice(&query.statement);
    out.extend_from_slice(b"\r\n");
}

/// Cancels a query for which no page of a result has been received.
pub fn cancel(out: &mut Vec<u8>, id: &str) {
    let _ = write!(out, "cancel {id}\r\n");
}

/// Requests that the engine discard the remaining pages of a result.
pub fn release(out: &mut Vec<u8>, id: &str) {
    let _ = write!(out, "release {id}\r\n");
}

/// Changes the priority of a running query.
pub fn change_priority(out: &mut Vec<u8>, id: &str, priority: u8) {
    let _ = write!(out, "weigh {id} {priority}\r\n");
}

/// Requests the page of a result with this index.
pub fn read_page(out: &mut Vec<u8>, id: &str, page: usize) {
    let _ = write!(out, "read {id} {page}\r\n");
}

/// Requests a response that shows that the engine is alive.
pub fn health_check(out: &mut Vec<u8>) {
    out.extend_from_slice(b"health check\r\n");
}
