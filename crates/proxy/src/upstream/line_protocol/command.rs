//! The commands that databases are sent. Each is appended to the write buffer of its connection.

use std::io::Write as _;
use std::time::Duration;

use crate::query::Query;

/// Starts a query. `budget` is how long its client still waits; it is sent as whole milliseconds, at least one.
pub fn serve(out: &mut Vec<u8>, id: &str, query: &Query, priority: Option<u8>, budget: Duration) {
    let budget_ms = budget.as_millis().max(1);
    // Writing to a vector cannot fail; this holds for all commands.
    let _ = write!(out, "serve {id} queue={},budget={budget_ms}", query.class.name);
    if let Some(priority) = priority {
        let _ = write!(out, ",band={priority}");
    }
    let _ = write!(out, " {}\r\n", query.statement.len());
    out.extend_from_slice(&query.statement);
    out.extend_from_slice(b"\r\n");
}

/// Cancels a query of which no result has come.
pub fn cancel(out: &mut Vec<u8>, id: &str) {
    let _ = write!(out, "cancel {id}\r\n");
}

/// Gives up the pages of a result that have not been read.
pub fn release(out: &mut Vec<u8>, id: &str) {
    let _ = write!(out, "release {id}\r\n");
}

/// Changes the priority of a running query.
pub fn change_priority(out: &mut Vec<u8>, id: &str, priority: u8) {
    let _ = write!(out, "weigh {id} {priority}\r\n");
}

/// Requests a further page of a result.
pub fn read_page(out: &mut Vec<u8>, id: &str, page: usize) {
    let _ = write!(out, "read {id} {page}\r\n");
}

/// Requests a reply that shows that the database is alive.
pub fn health_check(out: &mut Vec<u8>) {
    out.extend_from_slice(b"health check\r\n");
}
