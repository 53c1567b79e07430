//! Races between two events, with scripted peers: each test plays the order that would do harm. The proxy is suspended
//! (SIGSTOP) while both events arrive, so that it finds them together however busy the machine is; docs/crossings.md lists
//! each race, what protects against it and its test.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "../common/proxy.rs"]
mod proxy;

mod client_leaves;
mod connections_close;
mod floods;
mod list_changes;

use std::net::SocketAddr;

use proxy::{Database, DatabaseConnection, Proxy, query};

/// A configuration with far more time to dial than anything here takes.
fn with_long_dial_timeout(text: String) -> String {
    text.replace(r#""dial_timeout_ms": 250"#, r#""dial_timeout_ms": 15000"#)
}

/// A configuration with a coordinator at this address.
fn with_coordinator(text: String, coordinator: SocketAddr) -> String {
    text.replace(r#""seed":"8c1f""#, &format!(r#""seed":"8c1f","coordinator":"{coordinator}""#))
}

/// Answers the request that [`query`] names by this number.
fn serve(lines: &mut DatabaseConnection, id: u64) {
    lines.serve(&format!("{id:016x}"));
}

/// Has one query served, so that a connection to the database is open and idle. Returns that connection.
fn open_idle_connection(proxy: &Proxy, database: &Database, id: u64) -> DatabaseConnection {
    let mut client = proxy.client();
    client.send(&query("lookup", id, 15_000));
    let mut lines = database.accept();
    assert_eq!(lines.command()[1], format!("{id:016x}"));
    serve(&mut lines, id);
    assert_eq!(client.answer(), "TDC");
    lines
}

/// Sends a query after all earlier ones and has it served: whatever was due to be sent has been sent by then. The database
/// must receive this query and nothing else.
fn assert_only_next_query_arrives(proxy: &Proxy, lines: &mut DatabaseConnection) {
    let mut client = proxy.client();
    client.send(&query("lookup", 0xeeee, 15_000));
    let command = lines.command();
    assert_eq!(command[..2], ["serve", "000000000000eeee"], "nothing else is sent");
    serve(lines, 0xeeee);
    assert_eq!(client.answer(), "TDC");
}
