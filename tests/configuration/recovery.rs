//! Starts of proxies and control servers after kills, with corrupt files and from backups.

use std::time::Duration;

use crate::control::{ControlServer, RespondingEngine, wait_until};
use crate::proxy::Launch;
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
