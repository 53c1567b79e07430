//! The first example of the README (`examples/config.json`, the toy engine and the statement), and the
//! settings files of the other examples.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "common/proxy.rs"]
mod proxy;

use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use proxy::{Proxy, TIMEOUT, free_address};

/// The process of the toy engine; killed when dropped.
struct ToyEngine(Child);

impl Drop for ToyEngine {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

/// The statement that the README has `psql` send.
fn statement() -> String {
    let readme = std::fs::read_to_string(file("README.md")).unwrap();
    let line = readme.lines().find(|line| line.trim_start().starts_with("\"/* method=")).unwrap();
    line.trim().trim_matches('"').to_owned()
}

#[test]
fn the_example_serves_its_two_rows_to_the_first_query_and_to_later_ones() {
    let address = free_address();
    let mut command = Command::new("python3");
    command.arg(file("examples/toy_database.py")).arg(address.to_string()).stdout(Stdio::null());
    let _engine = ToyEngine(command.spawn().unwrap());
    let until = Instant::now() + TIMEOUT;
    while TcpStream::connect(address).is_err() {
        assert!(Instant::now() < until, "the toy engine does not start");
        std::thread::sleep(Duration::from_millis(20));
    }
    let example = std::fs::read_to_string(file("examples/config.json")).unwrap();
    assert!(example.contains("127.0.0.1:9101"));
    let proxy = Proxy::configured(&example.replace("127.0.0.1:9101", &address.to_string()));
    let statement = statement();
    let rid = "rid=9b1f03aa5c7e2d41";
    assert!(statement.contains(rid));
    for number in 0..5 {
        let text = statement.replace(rid, &format!("rid={number:016x}"));
        assert_eq!(proxy.client().request(&text), "TDDC", "query {number}");
    }
}

/// The error alone shows a client whether to retry, and why the request was rejected.
#[test]
fn a_rejection_carries_its_code_and_reason() {
    let proxy = Proxy::start(&[]);
    let mut client = proxy.client();
    let response = client.request("/* method=lookup,rid=00000000000000aa,budget=300 */ SELECT 1");
    assert!(response.starts_with("E 53000 refused, nothing was done: backoff="), "{response}");
    assert_eq!(client.hint.as_deref(), Some("no engine had room before the time ran out"));
}

/// The settings files of the example with versions can be parsed, and its document can be published.
#[test]
fn the_example_of_a_control_server_is_valid() {
    use gaugestep_config::schema::{Operator, Service};
    use gaugestep_config::text;
    let read = |name: &str| std::fs::read_to_string(file(name)).unwrap();
    for folder in ["examples/versions", "deploy"] {
        let operator: Operator =
            text::read("Operator", &read(&format!("{folder}/operator.textproto"))).unwrap();
        let control_server: Service =
            text::read("Service", &read(&format!("{folder}/control.textproto"))).unwrap();
        assert_eq!(operator.control.unwrap().services, [control_server.listen]);
    }
    let document = text::parse(&read("examples/versions/document.textproto")).unwrap();
    assert_eq!(gaugestep_config::check::check(&document), []);
}

/// The settings files of the example with a group can be parsed, and the operator's file lists all members of
/// the group.
#[test]
fn the_example_of_a_group_is_valid() {
    use gaugestep_config::schema::{Operator, Service};
    use gaugestep_config::text;
    let read = |name: &str| std::fs::read_to_string(file(name)).unwrap();
    let control_servers: Vec<Service> = (1..=3)
        .map(|member| {
            text::read("Service", &read(&format!("examples/group/control-{member}.textproto"))).unwrap()
        })
        .collect();
    let operator: Operator = text::read("Operator", &read("examples/group/operator.textproto")).unwrap();
    let listen: Vec<String> = control_servers.iter().map(|server| server.listen.clone()).collect();
    assert_eq!(operator.control.unwrap().services, listen);
    for (index, server) in control_servers.iter().enumerate() {
        let settings = gaugestep_control_plane::server::Settings::from_schema(server).unwrap();
        assert_eq!((settings.member.number, settings.joins), (index as u64 + 1, index > 0));
    }
}
