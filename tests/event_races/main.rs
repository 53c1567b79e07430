//! Races between two events, with scripted clients, engines and a scripted coordinator. Each test produces
//! the order of events that would do harm without protection. Most suspend the proxy (SIGSTOP) while both
//! events arrive, so that it finds them together however busy the machine is. docs/crossings.md lists each
//! race, its protection and its test.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "../common/proxy.rs"]
mod proxy;

mod client_leaves;
mod connections_close;
mod floods;
mod identity;
mod list_changes;

use std::net::SocketAddr;

use proxy::{Engine, EngineConnection, Proxy, query};

/// Raises the dial timeout of a configuration far above the duration of any dial in these tests.
fn with_long_dial_timeout(text: String) -> String {
    text.replace(r#""dial_timeout_ms": 250"#, r#""dial_timeout_ms": 15000"#)
}

/// Adds the address of a coordinator to a configuration.
fn with_coordinator(text: String, coordinator: SocketAddr) -> String {
    text.replace(r#""seed":"8c1f""#, &format!(r#""seed":"8c1f","coordinator":"{coordinator}""#))
}

/// Sends a result for the request that [`query`] gave this id.
fn serve(connection: &mut EngineConnection, id: u64) {
    connection.serve(&format!("{id:016x}"));
}

/// Serves one query, so that a connection to the engine is open and idle, and returns that connection.
fn open_idle_connection(proxy: &Proxy, engine: &Engine, id: u64) -> EngineConnection {
    let mut client = proxy.client();
    client.send(&query("lookup", id, 15_000));
    let mut connection = engine.accept();
    assert_eq!(connection.command()[1], format!("{id:016x}"));
    serve(&mut connection, id);
    assert_eq!(client.read_response(), "TDC");
    connection
}

/// Sends a query after all earlier ones and serves it. By then the proxy has sent whatever it was going to
/// send, so the engine must receive this query and nothing else.
fn assert_only_next_query_arrives(proxy: &Proxy, connection: &mut EngineConnection) {
    let mut client = proxy.client();
    client.send(&query("lookup", 0xeeee, 15_000));
    let command = connection.command();
    assert_eq!(command[..2], ["serve", "000000000000eeee"], "nothing else is sent");
    serve(connection, 0xeeee);
    assert_eq!(client.read_response(), "TDC");
}
