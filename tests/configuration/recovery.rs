//! Starts after kills, with corrupt files and from backups.

use std::time::Duration;

use crate::control::{ControlServer, RespondingEngine, wait_until};
use crate::proxy::Launch;
use crate::{ask, in_force, state};

#[test]
fn a_proxy_starts_on_its_last_good_version_without_the_service_and_survives_a_corrupt_one() {
    let (mut control, kept) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let engine = RespondingEngine::new();
    let engines = [&engine.listener];
    let operator = Some(control.write_operator_file(&state(&kept)));
    let mut proxy = Launch { operator, ..Launch::new(&engines) }.start();
    for open in [41, 42] {
        let number = control.publish(&format!("limits {{ max_open: {open} }}"), &[]);
        wait_until("the version is in force", || in_force(&proxy) == number);
    }
    control.kill();
    proxy.kill();
    proxy.restart();
    let figures = proxy.statistics();
    assert_eq!((in_force(&proxy), &figures["configuration"]["connected"]), (2, &false.into()));
    assert!(figures["configuration"]["age_s"].is_number(), "{figures}");
    let (_, standing) = proxy.call("GET", "/ops/readiness");
    assert!(standing.starts_with("ready; version 2, in force for "), "{standing}");
    assert!(standing.ends_with(" s, no service\n"), "{standing}");
    assert_eq!(ask(&proxy, "lookup", 1), "TDC");

    let current = state(&kept).join("current");
    for (spoil, version) in [("current", 1), ("previous", 0)] {
        proxy.kill();
        std::fs::write(state(&kept).join(spoil), b"rot").unwrap();
        proxy.restart();
        assert_eq!(in_force(&proxy), version);
        assert_eq!(ask(&proxy, "lookup", 2 + version), "TDC");
    }
    control.restart();
    wait_until("the newest comes again", || in_force(&proxy) == 2);
    // It is in force before its file replaces the corrupt one.
    wait_until("the newest is stored", || std::fs::read(&current).unwrap().len() > 20);
}

#[test]
fn killing_the_proxy_or_the_service_at_any_moment_loses_no_acknowledged_version() {
    let (mut control, kept) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.write_operator_file(&state(&kept)));
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
        wait_until("the newest is in force", || in_force(&proxy) == newest);
    }
}

/// A service that is killed while it publishes finds all that it answered for.
#[test]
fn a_service_killed_while_publishing_recovers_every_acknowledged_version() {
    let mut control = ControlServer::start();
    let file = control.write_file("d.textproto", "limits { max_open: 9 }");
    let mut most = 0;
    for round in 0..5u64 {
        let address = control.operators.to_string();
        let (service, file) = (address, file.clone());
        let publisher = std::thread::spawn(move || {
            let mut last = 0;
            loop {
                let program = env!("CARGO_BIN_EXE_gaugestep-control");
                let command = &mut std::process::Command::new(program);
                let done =
                    command.args(["--json", "publish", &file, "--service", &service]).output().unwrap();
                if !done.status.success() {
                    return last;
                }
                let output: serde_json::Value = serde_json::from_slice(&done.stdout).unwrap();
                last = output["version"].as_u64().unwrap();
            }
        });
        std::thread::sleep(Duration::from_millis(60 + 23 * round));
        control.kill();
        most = publisher.join().unwrap().max(most);
        control.restart();
        let newest = control.run_json(&["status"])["newest"].as_u64().unwrap();
        assert!((most..=most + 1).contains(&newest), "{newest} found, {most} answered for");
        most = newest;
    }
    assert!(most > 0);
}

#[test]
fn a_service_restored_from_an_older_backup_rolls_nothing_back_and_continues_the_numbering() {
    let (mut control, kept) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.write_operator_file(&state(&kept)));
    let proxy = Launch { operator, ..Launch::new(&[]) }.start();
    control.publish("limits { max_open: 11 }", &[]);
    let backup = control.folder.path().join("backup");
    control.kill();
    std::fs::copy(control.store(), &backup).unwrap();
    control.restart();
    let second = control.publish("limits { max_open: 12 }", &[]);
    wait_until("the second is in force", || in_force(&proxy) == second);
    control.kill();
    std::fs::copy(&backup, control.store()).unwrap();
    let (code, _, why) = control.run_to_end();
    assert_eq!(code, 1);
    assert_eq!(why.lines().count(), 1, "{why}");
    assert!(why.contains("older than its seal") && why.contains("--restored"), "{why}");
    control.restart_with(&["--restored"]);
    wait_until("the proxy is seen to be ahead", || control.proxy_status("n0")["ahead"] == true);
    assert_eq!(in_force(&proxy), second);
    let third = control.publish("limits { max_open: 13 }", &[]);
    assert!(third > second, "{third} is above what the proxy has in force");
    wait_until("the third is in force", || in_force(&proxy) == third);
    // The proxy applies a version before the service receives its answer.
    wait_until("the service has received the proxy's answer", || {
        control.proxy_status("n0")["in_force"] == third
    });
    assert_eq!(control.proxy_status("n0")["ahead"], false);
    assert_eq!(in_force(&proxy), third);
}

/// While a successor takes over, its predecessor holds the store: the successor starts on the last good version all the
/// same, also without a service, and holds the store once it is alone.
#[test]
fn a_successor_starts_on_the_last_good_version_beside_its_predecessor() {
    let (mut control, kept) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let listener = crate::proxy::free_listener();
    let address = listener.local_addr().unwrap();
    let operator = Some(control.write_operator_file(&state(&kept)));
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
