//! The last good version of a proxy that is started again or upgraded: in force before any request, whatever the
//! state of engines and settings is by then.

use std::fs::File;
use std::io::Write as _;
use std::net::TcpListener;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::control::{ControlServer, RespondingEngine, wait_until};
use crate::proxy::{Client, Coordinator, Engine, Launch, event, free_listener, query};
use crate::{in_force, run_query, state_folder};

/// A launch on a listening socket that several processes of one proxy share.
fn launch_on<'a>(listener: &'a TcpListener, engines: &'a [&'a Engine], operator: &Path) -> Launch<'a> {
    let address = listener.local_addr().unwrap();
    let operator = Some(operator.to_owned());
    Launch { address, listener: Some(listener), operator, ..Launch::new(engines) }
}

/// Guards against a restart that drops an acknowledged version because the engine of a strict route drains.
#[test]
fn a_proxy_killed_while_the_engine_of_a_strict_route_drains_keeps_its_version() {
    let (control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let (a, b, coordinator) = (RespondingEngine::new(), RespondingEngine::new(), Coordinator::new());
    let engines = [&a.listener, &b.listener];
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let mut proxy = Launch { coordinator: Some(&coordinator), operator, ..Launch::new(&engines) }.start();
    let to_b = r#"routes { name: "lookups" classes: "lookup" targets { engine: "s-1" } }"#;
    let version = control.publish(to_b, &[]);
    wait_until("the version is acknowledged", || control.proxy_status("n0")["in_force"] == version);
    drop(coordinator.accept());
    proxy.kill();
    // The configuration of the restart lists the engine as draining.
    let (serving, draining) =
        (b.listener.list_entry("s-1", "SERVING"), b.listener.list_entry("s-1", "DRAINING"));
    proxy.rewrite(&serving, &draining);
    proxy.restart();
    let (mut list, last_event) = coordinator.accept();
    assert_eq!(in_force(&proxy), version, "the acknowledged version is in force after the restart");
    assert_eq!(proxy.statistics()["configuration"]["weak_routes"], serde_json::json!(["lookups"]));
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 3_900));
    wait_until("the request is open", || proxy.statistic("/outstanding") == Some(1));
    wait_until("the proxy follows", || control.proxy_status("n0")["connected"] == true);
    list.write_all(event(last_event + 1, &[serving]).as_bytes()).unwrap();
    assert_eq!(client.read_response(), "TDC");
    assert_eq!(run_query(&proxy, "lookup", 2), "TDC");
    assert_eq!((a.served(), b.served()), (0, 2), "only the engine of the route serves its requests");
    let status = control.proxy_status("n0");
    assert_eq!((&status["in_force"], &status["refused"]), (&version.into(), &0.into()), "{status}");
}

/// Guards against a restart that drops an acknowledged version because the platform's file was tightened since.
#[test]
fn a_proxy_restarted_with_a_tightened_file_keeps_its_version_within_the_new_limits() {
    let (mut control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let (a, b) = (RespondingEngine::new(), RespondingEngine::new());
    let engines = [&a.listener, &b.listener];
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let mut proxy = Launch { operator, ..Launch::new(&engines) }.start();
    let document = r#"routes { name: "lookups" classes: "lookup" targets { engine: "s-1" } }
                      limits { max_open: 900 }"#;
    let version = control.publish(document, &[]);
    wait_until("the version is in force", || in_force(&proxy) == version);
    control.kill();
    proxy.kill();
    proxy.rewrite(r#""max_open": 1000"#, r#""max_open": 1"#);
    proxy.restart();
    assert_eq!(in_force(&proxy), version);
    assert_eq!(run_query(&proxy, "lookup", 1), "TDC");
    assert_eq!((a.served(), b.served()), (0, 1), "the route of the version applies");
    b.paused.store(true, Ordering::SeqCst);
    let (mut first, mut second) = (proxy.client(), proxy.client());
    first.send(&query("lookup", 2, 3_900));
    wait_until("the engine receives the request", || b.received.load(Ordering::SeqCst) == 2);
    assert!(second.request(&query("lookup", 3, 1_000)).starts_with("E 53300"), "the file's limit applies");
    b.paused.store(false, Ordering::SeqCst);
    assert_eq!(first.read_response(), "TDC");
}

/// Opens a named pipe for writing, once another process has it open for reading.
fn open_pipe_once_read(path: &Path) -> File {
    /// The value of this flag on Linux. With it, the call fails in place of waiting for a reader.
    const O_NONBLOCK: i32 = 0o4000;
    let mut pipe = None;
    wait_until("the pipe is open for reading", || {
        pipe = File::options().write(true).custom_flags(O_NONBLOCK).open(path).ok();
        pipe.is_some()
    });
    pipe.unwrap()
}

/// Guards against requests that a starting proxy serves before its last good version is in force.
#[test]
fn a_starting_proxy_serves_no_request_before_its_last_good_version_is_in_force() {
    let (mut control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let (a, b) = (RespondingEngine::new(), RespondingEngine::new());
    let engines = [&a.listener, &b.listener];
    let listener = free_listener();
    let address = listener.local_addr().unwrap();
    let operator = control.write_operator_file(&state_folder(&folder));
    let mut proxy = launch_on(&listener, &engines, &operator).start();
    let to_b = r#"routes { name: "lookups" classes: "lookup" targets { engine: "s-1" } }"#;
    let version = control.publish(to_b, &[]);
    wait_until("the version is in force", || in_force(&proxy) == version);
    control.kill();
    proxy.kill();

    // Clients connect while the proxy is down, and the file of its version is a pipe, which blocks the reader.
    let path = state_folder(&folder).join("current");
    let stored = std::fs::read(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(std::process::Command::new("mkfifo").arg(&path).status().unwrap().success());
    std::thread::scope(|scope| {
        let request = |id| Client::open(address).request(&query("lookup", id, 3_900));
        let clients: Vec<_> = (0..8).map(|id| scope.spawn(move || request(id))).collect();
        let restarted = scope.spawn(|| launch_on(&listener, &engines, &operator).start());
        let mut pipe = open_pipe_once_read(&path);
        // The proxy reads its version now; one that accepted clients already would serve them meanwhile.
        std::thread::sleep(Duration::from_millis(300));
        assert_eq!(a.served() + b.served(), 0, "requests are served before the version is in force");
        pipe.write_all(&stored).unwrap();
        drop(pipe);
        let proxy = restarted.join().unwrap();
        assert_eq!(in_force(&proxy), version);
        for client in clients {
            assert_eq!(client.join().unwrap(), "TDC");
        }
    });
    assert_eq!((a.served(), b.served()), (0, 8), "only the engine of the route serves its requests");
}

/// While a successor takes over, its predecessor has the state folder locked. The successor still starts on
/// the last good version, also without a control server, and stores versions once the predecessor has ended.
#[test]
fn a_successor_starts_on_the_last_good_version_beside_its_predecessor() {
    let (mut control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let listener = free_listener();
    let operator = control.write_operator_file(&state_folder(&folder));
    let mut old = launch_on(&listener, &[], &operator).start();
    let first = control.publish("limits { max_open: 33 }", &[]);
    wait_until("the version is in force", || in_force(&old) == first);
    control.kill();
    let new = launch_on(&listener, &[], &operator).start();
    assert_eq!(in_force(&new), first);
    assert_eq!(old.terminate().code(), Some(0));
    control.restart();
    let second = control.publish("limits { max_open: 34 }", &[]);
    wait_until("the next version is in force and stored", || in_force(&new) == second);
}

/// Guards against a publication during an upgrade that is rejected, and so rolled back on the whole fleet.
#[test]
fn a_version_published_during_a_hand_over_is_stored_once_the_predecessor_has_ended() {
    let (control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let listener = free_listener();
    let operator = control.write_operator_file(&state_folder(&folder));
    let mut old = launch_on(&listener, &[], &operator).start();
    let first = control.publish("limits { max_open: 33 }", &[]);
    wait_until("the version is in force", || in_force(&old) == first);
    let new = launch_on(&listener, &[], &operator).start();
    wait_until("the successor follows", || new.statistics()["configuration"]["connected"] == true);
    let second = control.publish("limits { max_open: 34 }", &[]);
    wait_until("the version is offered or rejected", || {
        let status = control.proxy_status("n0");
        status["offered"] == second || status["refused"] == second
    });
    assert_eq!(control.proxy_status("n0")["refused"], 0, "{}", control.proxy_status("n0"));
    assert_eq!(
        (in_force(&old), in_force(&new)),
        (first, first),
        "the store still belongs to the predecessor"
    );
    assert_eq!(old.terminate().code(), Some(0));
    wait_until("the version is in force", || in_force(&new) == second);
    wait_until("the version is acknowledged", || control.proxy_status("n0")["in_force"] == second);
    assert_eq!(control.run_json(&["status"])["newest"], second, "nothing was rolled back");
}
