//! Starts after kills, with corrupt files and from backups.

use std::fs::File;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::control::{ControlServer, RespondingEngine, wait_until};
use crate::proxy::{Client, Coordinator, Launch, event, free_listener, query};
use crate::{in_force, run_query, state_folder};

#[test]
fn a_proxy_starts_on_its_last_good_version_without_a_control_server_and_survives_corrupt_files() {
    let (mut control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let engine = RespondingEngine::new();
    let engines = [&engine.listener];
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let mut proxy = Launch { operator, ..Launch::new(&engines) }.start();
    for max_open in [41, 42] {
        let number = control.publish(&format!("limits {{ max_open: {max_open} }}"), &[]);
        wait_until("the version is in force", || in_force(&proxy) == number);
    }
    control.kill();
    proxy.kill();
    proxy.restart();
    let statistics = proxy.statistics();
    assert_eq!((in_force(&proxy), &statistics["configuration"]["connected"]), (2, &false.into()));
    assert!(statistics["configuration"]["age_s"].is_number(), "{statistics}");
    let (_, readiness) = proxy.call("GET", "/ops/readiness");
    assert!(readiness.starts_with("ready; version 2, in force for "), "{readiness}");
    assert!(readiness.ends_with(" s, no service\n"), "{readiness}");
    assert_eq!(run_query(&proxy, "lookup", 1), "TDC");

    let current = state_folder(&folder).join("current");
    for (corrupt_file, version) in [("current", 1), ("previous", 0)] {
        proxy.kill();
        std::fs::write(state_folder(&folder).join(corrupt_file), b"rot").unwrap();
        proxy.restart();
        assert_eq!(in_force(&proxy), version);
        assert_eq!(run_query(&proxy, "lookup", 2 + version), "TDC");
    }
    control.restart();
    wait_until("the newest version is in force again", || in_force(&proxy) == 2);
    // The version is in force before its file replaces the corrupt one.
    wait_until("the newest version is stored", || std::fs::read(&current).unwrap().len() > 20);
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
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let launch =
        || Launch { address, listener: Some(&listener), operator: operator.clone(), ..Launch::new(&engines) };
    let mut proxy = launch().start();
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
        let restarted = scope.spawn(|| launch().start());
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

#[test]
fn killing_the_proxy_or_the_control_server_at_any_moment_loses_no_acknowledged_version() {
    let (mut control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let mut proxy = Launch { operator, ..Launch::new(&[]) }.start();
    let mut published = 0;
    for round in 0..6u64 {
        let file = control.write_file("d.textproto", &format!("limits {{ max_open: {} }}", 100 + round));
        std::thread::scope(|scope| {
            let publisher = scope.spawn(|| {
                let mut last = 0;
                for _ in 0..40 {
                    let (code, output, _) = control.run(&["--json", "publish", &file]);
                    if code != 0 {
                        break;
                    }
                    last = serde_json::from_str::<serde_json::Value>(&output).unwrap()["version"]
                        .as_u64()
                        .unwrap();
                }
                last
            });
            std::thread::sleep(Duration::from_millis(40 + 17 * round));
            if round % 2 == 0 {
                proxy.kill();
            }
            published = publisher.join().unwrap().max(published);
        });
        let acknowledged = control.proxy_status("n0")["in_force"].as_u64().unwrap_or(0);
        control.kill();
        if round % 2 == 0 {
            proxy.restart();
            assert!(
                in_force(&proxy) >= acknowledged,
                "{} in force, {acknowledged} acknowledged",
                in_force(&proxy)
            );
        }
        control.restart();
        let newest = control.run_json(&["status"])["newest"].as_u64().unwrap();
        assert!(newest >= published, "{newest} found, {published} published");
        wait_until("the newest version is in force", || in_force(&proxy) == newest);
    }
}

/// After each restart the newest version is the last acknowledged one, or one more that was stored without a
/// response.
#[test]
fn a_control_server_killed_while_publishing_recovers_every_acknowledged_version() {
    let mut control = ControlServer::start();
    let file = control.write_file("d.textproto", "limits { max_open: 9 }");
    let mut acknowledged = 0;
    for round in 0..5u64 {
        let (address, file) = (control.operators.to_string(), file.clone());
        let publisher = std::thread::spawn(move || {
            let mut last = 0;
            loop {
                let program = env!("CARGO_BIN_EXE_gaugestep-control");
                let command = &mut std::process::Command::new(program);
                let output =
                    command.args(["--json", "publish", &file, "--service", &address]).output().unwrap();
                if !output.status.success() {
                    return last;
                }
                let published: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
                last = published["version"].as_u64().unwrap();
            }
        });
        std::thread::sleep(Duration::from_millis(60 + 23 * round));
        control.kill();
        acknowledged = publisher.join().unwrap().max(acknowledged);
        control.restart();
        let newest = control.run_json(&["status"])["newest"].as_u64().unwrap();
        assert!(
            (acknowledged..=acknowledged + 1).contains(&newest),
            "{newest} found, {acknowledged} acknowledged"
        );
        acknowledged = newest;
    }
    assert!(acknowledged > 0);
}

#[test]
fn a_control_server_restored_from_an_older_backup_rolls_nothing_back_and_continues_the_numbering() {
    let (mut control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let proxy = Launch { operator, ..Launch::new(&[]) }.start();
    control.publish("limits { max_open: 11 }", &[]);
    let backup = control.folder.path().join("backup");
    control.kill();
    std::fs::copy(control.store(), &backup).unwrap();
    control.restart();
    let second = control.publish("limits { max_open: 12 }", &[]);
    wait_until("the second version is in force", || in_force(&proxy) == second);
    control.kill();
    std::fs::copy(&backup, control.store()).unwrap();
    let (code, _, error) = control.run_to_end();
    assert_eq!(code, 1);
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(error.contains("older than its seal") && error.contains("--restored"), "{error}");
    control.restart_with(&["--restored"]);
    wait_until("the status shows that the proxy is ahead", || control.proxy_status("n0")["ahead"] == true);
    assert_eq!(in_force(&proxy), second);
    let third = control.publish("limits { max_open: 13 }", &[]);
    assert!(third > second, "{third} is above the version in force at the proxy");
    wait_until("the third version is in force", || in_force(&proxy) == third);
    // The proxy applies a version before the control server receives the acknowledgement.
    wait_until("the control server has received the acknowledgement", || {
        control.proxy_status("n0")["in_force"] == third
    });
    assert_eq!(control.proxy_status("n0")["ahead"], false);
    assert_eq!(in_force(&proxy), third);
}

/// While a successor takes over, its predecessor has the state folder locked. The successor still starts on
/// the last good version, also without a control server, and stores versions once the predecessor has ended.
#[test]
fn a_successor_starts_on_the_last_good_version_beside_its_predecessor() {
    let (mut control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let listener = crate::proxy::free_listener();
    let address = listener.local_addr().unwrap();
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let launch = |operator| Launch { address, listener: Some(&listener), operator, ..Launch::new(&[]) };
    let mut old = launch(operator.clone()).start();
    let first = control.publish("limits { max_open: 33 }", &[]);
    wait_until("the version is in force", || in_force(&old) == first);
    control.kill();
    let new = launch(operator).start();
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
    let address = listener.local_addr().unwrap();
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let launch = |operator| Launch { address, listener: Some(&listener), operator, ..Launch::new(&[]) };
    let mut old = launch(operator.clone()).start();
    let first = control.publish("limits { max_open: 33 }", &[]);
    wait_until("the version is in force", || in_force(&old) == first);
    let new = launch(operator).start();
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
