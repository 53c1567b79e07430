//! A request id that comes again, and a new process at the address of one that has gone.

use std::io::Write;

use crate::proxy::{Coordinator, Engine, Proxy, event};
use crate::{assert_only_next_query_arrives, open_idle_connection};

/// Guards against work for an engine that has gone at the engine which has its address now.
#[test]
fn an_engine_at_the_address_of_a_listed_one_replaces_it() {
    let (engine, coordinator) = (Engine::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&engine], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    let mut old = open_idle_connection(&proxy, &engine, 1);
    stream.write_all(event(2, &[engine.list_entry("s-9", "SERVING")]).as_bytes()).unwrap();
    old.assert_closed_by_proxy();
    assert_eq!(proxy.statistic("/discovered"), Some(1));
    drop(open_idle_connection(&proxy, &engine, 2));
    // The late removal of the engine before does not remove the one that has its address.
    stream.write_all(event(3, &[engine.list_entry("s-0", "DELETED")]).as_bytes()).unwrap();
    drop(open_idle_connection(&proxy, &engine, 3));
    assert_eq!(proxy.statistic("/discovered"), Some(1));
}

/// Guards against connections to the process before, which may be silent, after an engine has restarted.
#[test]
fn a_restarted_engine_is_reached_on_new_connections() {
    let (engine, coordinator) = (Engine::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&engine], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    let mut old = open_idle_connection(&proxy, &engine, 1);
    let entry = engine.list_entry("s-0", "SERVING").replace('}', r#","up_since_ms":1700000000000}"#);
    stream.write_all(event(2, std::slice::from_ref(&entry)).as_bytes()).unwrap();
    old.assert_closed_by_proxy();
    let mut connection = open_idle_connection(&proxy, &engine, 2);
    // The same entry again is no restart.
    stream.write_all(event(3, &[entry]).as_bytes()).unwrap();
    assert_only_next_query_arrives(&proxy, &mut connection);
}
