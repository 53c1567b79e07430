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

use proxy::{Engine, EngineConnection, Proxy, query};

/// A configuration with far more time to dial than anything here takes.
fn with_long_dial_timeout(text: String) -> String {
    text.replace(r#""dial_timeout_ms": 250"#, r#""dial_timeout_ms": 15000"#)
}

/// A configuration with a coordinator at this address.
fn with_coordinator(text: String, coordinator: SocketAddr) -> String {
    text.replace(r#""seed":"8c1f""#, &format!(r#""seed":"8c1f","coordinator":"{coordinator}""#))
}

/// Answers the request that [`query`] names by this number.
fn serve(connection: &mut EngineConnection, id: u64) {
    connection.serve(&format!("{id:016x}"));
}

/// Has one query served, so that a connection to the engine is open and idle. Returns that connection.
fn open_idle_connection(proxy: &Proxy, engine: &Engine, id: u64) -> EngineConnection {
    let mut client = proxy.client();
    client.send(&query("lookup", id, 15_000));
    let mut connection = engine.accept();
    assert_eq!(connection.command()[1], format!("{id:016x}"));
    serve(&mut connection, id);
    assert_eq!(client.read_response(), "TDC");
    connection
}

/// Sends a query after all earlier ones and has it served: whatever was due to be sent has been sent by then. The engine
/// must receive this query and nothing else.
fn assert_only_next_query_arrives(proxy: &Proxy, connection: &mut EngineConnection) {
    let mut client = proxy.client();
    client.send(&query("lookup", 0xeeee, 15_000));
    let command = connection.command();
    assert_eq!(command[..2], ["serve", "000000000000eeee"], "nothing else is sent");
    serve(connection, 0xeeee);
    assert_eq!(client.read_response(), "TDC");
}
