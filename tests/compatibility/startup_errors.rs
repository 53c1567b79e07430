//! Programs that cannot start: exit code 1, one line on standard error that names the cause, nothing on
//! standard output.

use std::path::Path;
use std::process::Command;

use serde_json::{Value, json};

use crate::golden;

const PROXY: &str = env!("CARGO_BIN_EXE_gaugestep");
const CONTROL: &str = env!("CARGO_BIN_EXE_gaugestep-control");

/// A valid configuration.
fn configuration() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "management": "127.0.0.1:0", "seed": "8c1f",
        "coordinator": "127.0.0.1:1", "limits": {"sockets": 256, "memory_mb": 192},
        "known": {"index": 1, "updates": []},
        "settings": {
            "areas": ["dc"], "kinds": ["k"], "balancers": 1, "orgs": [{"name": "acme", "quota_per_s": 100}],
            "family_info": {"class_threads": [1], "size_cores": [8], "ram_of_kind_mb": [16384]},
            "limits": {
                "cancelling": true, "max_attempts": 4, "multiplex": 100, "dial_timeout_ms": 250,
                "conn_idle_ms": 30000, "max_open": 1000
            },
            "services": [{"name": "lookup", "effect": "safe", "aim_ms": 500, "deadline_ms": 4000}]
        }
    })
}

/// An invalid value of the configuration, and the word by which the error names it.
struct BadValue {
    pointer: &'static str,
    value: Value,
    named: &'static str,
}

fn bad(pointer: &'static str, value: Value, named: &'static str) -> BadValue {
    BadValue { pointer, value, named }
}

fn bad_values() -> Vec<BadValue> {
    vec![
        bad("/settings", json!(null), "settings"),
        bad("/listen", json!(null), "listen"),
        bad("/listen", json!("x"), "listen"),
        bad("/listen", json!(7), "listen"),
        bad("/management", json!("x"), "management"),
        bad("/coordinator", json!("x"), "coordinator"),
        bad("/seed", json!("xyz"), "seed"),
        bad("/seed", json!(-1), "seed"),
        bad("/seed", json!([]), "seed"),
        bad("/limits/sockets", json!(63), "limits.sockets"),
        bad("/limits/sockets", json!("x"), "sockets"),
        bad("/limits/memory_mb", json!(-1), "memory_mb"),
        bad("/known/index", json!("x"), "index"),
        bad("/settings/services", json!([]), "classes"),
        bad("/settings/services/0/name", json!(""), "services"),
        bad("/settings/services/0/name", json!(3), "services"),
        bad("/settings/services/0/deadline_ms", json!(0), "deadline_ms"),
        bad("/settings/services/0/deadline_ms", json!("4000"), "deadline_ms"),
        bad("/settings/services/0/aim_ms", json!("x"), "aim_ms"),
        bad("/settings/limits/max_attempts", json!(0), "max_attempts"),
        bad("/settings/limits/multiplex", json!(-1), "multiplex"),
        bad("/settings/limits/dial_timeout_ms", json!("x"), "dial_timeout_ms"),
        bad("/settings/limits/conn_idle_ms", json!("x"), "conn_idle_ms"),
        bad("/settings/limits/max_open", json!("x"), "max_open"),
        bad("/settings/orgs/0/quota_per_s", json!("x"), "quota_per_s"),
        bad("/settings/balancers", json!("x"), "balancers"),
    ]
}

/// Runs a program that fails to start, checks that its error contains `named`, and returns the result in the
/// form of a golden file.
fn failure(command: &mut Command, named: &str) -> String {
    let output = command.output().unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains(named), "'{named}' is not named: {error}");
    format!(
        "exit code {}, stdout {} bytes, stderr {} line(s)\n",
        output.status.code().unwrap(),
        output.stdout.len(),
        error.lines().count()
    )
}

fn write(folder: &Path, name: &str, text: &str) -> std::path::PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn proxy(arguments: &[&str]) -> Command {
    let mut command = Command::new(PROXY);
    command.env_clear().args(arguments);
    command
}

#[test]
fn bad_configurations_end_the_proxy_with_one_line() {
    let folder = tempfile::tempdir().unwrap();
    let mut recorded = String::new();
    for BadValue { pointer, value, named } in bad_values() {
        let mut changed = configuration();
        *changed.pointer_mut(pointer).unwrap() = value.clone();
        let path = write(folder.path(), "config.json", &changed.to_string());
        for command in [&["check-config"][..], &["serve", "--config"]] {
            let failed = failure(proxy(command).arg(&path), named);
            recorded += &format!("{pointer} = {value}, {}: {failed}", command[0]);
        }
    }
    let path = write(folder.path(), "config.json", "{");
    recorded += &format!("not JSON: {}", failure(proxy(&["check-config"]).arg(&path), "config.json"));
    golden::assert_matches("startup_errors_configuration.txt", &recorded);
}

#[test]
fn a_valid_configuration_is_reported_as_such() {
    let folder = tempfile::tempdir().unwrap();
    let path = write(folder.path(), "config.json", &configuration().to_string());
    let output = proxy(&["check-config"]).arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stderr.is_empty());
    assert_eq!(String::from_utf8(output.stdout).unwrap().lines().count(), 1);
}

#[test]
fn bad_operator_files_end_the_proxy_with_one_line() {
    let folder = tempfile::tempdir().unwrap();
    let config = write(folder.path(), "config.json", &configuration().to_string());
    let mut recorded = String::new();
    for (text, named) in [
        ("control {", "operator.textproto"),
        ("colour: 3", "colour"),
        ("control { }", "control.services"),
        ("control { services: \"x\" state: \"s\" }", "control.services"),
        ("control { services: \"127.0.0.1:1\" }", "control.state"),
        ("control { services: \"127.0.0.1:1\" state: \"s\" keys { } }", "control.service_name"),
        (
            "control { services: \"127.0.0.1:1\" state: \"s\" service_name: \"a\" keys { } }",
            "keys.certificate",
        ),
        (
            "control { services: \"127.0.0.1:1\" state: \"s\" service_name: \"a\" keys { certificate: \"c\" } }",
            "keys.key",
        ),
        ("control { services: \"192.0.2.1:1\" state: \"s\" }", "192.0.2.1:1"),
    ] {
        let operator = write(folder.path(), "operator.textproto", text);
        let mut command = proxy(&["serve", "--config"]);
        command.arg(&config).arg("--operator").arg(&operator).env("GAUGESTEP_LOG", "off");
        recorded += &format!("{text}: {}", failure(&mut command, named));
    }
    golden::assert_matches("startup_errors_operator.txt", &recorded);
}

#[test]
fn bad_settings_files_end_the_control_server_with_one_line() {
    let folder = tempfile::tempdir().unwrap();
    let listen = "listen: \"127.0.0.1:0\" operators: \"127.0.0.1:0\"";
    let mut recorded = String::new();
    for (text, named) in [
        ("listen".to_owned(), "control.textproto"),
        ("colour: 3".to_owned(), "colour"),
        (listen.to_owned(), "store"),
        ("store: \"s\" operators: \"127.0.0.1:0\"".to_owned(), "listen"),
        ("store: \"s\" listen: \"x\" operators: \"127.0.0.1:0\"".to_owned(), "listen"),
        ("store: \"s\" listen: \"127.0.0.1:0\"".to_owned(), "operators"),
        ("store: \"s\" listen: \"192.0.2.1:0\" operators: \"127.0.0.1:0\"".to_owned(), "192.0.2.1:0"),
        (format!("store: \"s\" {listen} keys {{ }}"), "operators_authority"),
        (format!("store: \"s\" {listen} operators_authority: \"a\" keys {{ }}"), "keys.certificate"),
        (format!("store: \"s\" {listen} group {{ listen_as: \"x\" }}"), "group.listen_as"),
        (format!("store: \"s\" {listen} group {{ operators_as: \"x\" }}"), "group.operators_as"),
        (
            format!(
                "store: \"s\" {listen} operators_authority: \"a\" group {{ member: 2 }} \
                 keys {{ certificate: \"c\" key: \"k\" authority: \"a\" }}"
            ),
            "group.service_name",
        ),
    ] {
        let file = write(folder.path(), "control.textproto", &text);
        let mut command = Command::new(CONTROL);
        command.env_clear().current_dir(folder.path()).args(["serve", "--config"]).arg(&file);
        recorded += &format!("{text}: {}", failure(&mut command, named));
    }
    golden::assert_matches("startup_errors_service.txt", &recorded);
}

/// Every fault of a document is pinned by code and path; its reason is prose.
#[test]
fn faults_of_documents_keep_codes_and_paths() {
    let folder = tempfile::tempdir().unwrap();
    let long_list: String = (0..1001).map(|number| format!("classes: \"c{number}\" ")).collect();
    let documents = [
        "routes {",
        "colour: 3",
        "",
        r#"routes { name: "a" }"#,
        r#"routes { targets { cell: 1 } }"#,
        r#"routes { name: "a" targets { } }"#,
        r#"routes { name: "a" targets { zone: "" } }"#,
        r#"routes { name: "a" targets { engine: "a b" } }"#,
        r#"routes { name: "a" targets { kind: "a=b" } }"#,
        r#"routes { name: "a" targets { cell: 1 weight: 0 } }"#,
        r#"routes { name: "a" targets { cell: 1 weight: 1001 } }"#,
        r#"routes { name: "a" targets { cell: 1 } targets { cell: 1 } }"#,
        r#"routes { name: "a" targets { cell: 1 } otherwise: 7 }"#,
        r#"routes { name: "a b" targets { cell: 1 } }"#,
        r#"routes { name: "a" classes: "x" targets { cell: 1 } } routes { name: "a" tenants: "x" targets { cell: 1 } }"#,
        r#"routes { name: "a" classes: "x" targets { cell: 1 } } classes: "y""#,
        r#"routes { name: "a" targets { cell: 1 } } routes { name: "b" classes: "x" targets { cell: 2 } }"#,
        r#"tenants { name: "t" }"#,
        r#"tenants { quota_per_s: 1 }"#,
        r#"tenants { name: "t" quota_per_s: 1 } tenants { name: "t" quota_per_s: 1 }"#,
        r#"limits { max_open: 0 }"#,
        r#"limits { max_attempts: 101 }"#,
        r#"retries { ratio: -0.5 }"#,
        r#"retries { ratio: 2 free: 2000000 }"#,
        r#"logging { level: 9 }"#,
        r#"logging { parts { level: DEBUG } }"#,
        r#"logging { parts { name: "a" level: 9 } }"#,
        r#"classes: "x" classes: "x""#,
        r#"proxies: "x" proxies: "x""#,
        &long_list,
    ];
    let mut recorded = String::new();
    for document in documents {
        let path = write(folder.path(), "document.textproto", document);
        let output = Command::new(CONTROL).args(["--json", "validate"]).arg(&path).output().unwrap();
        let faults: Value = serde_json::from_slice(&output.stdout).unwrap();
        let shown = if document.len() > 200 { "1001 classes" } else { document };
        let faults = golden::without_varying(&faults, &["document", "reason"]);
        recorded += &format!("{shown}\n  exit code {}: {faults}\n", output.status.code().unwrap());
    }
    golden::assert_matches("document_faults.txt", &recorded);
}
