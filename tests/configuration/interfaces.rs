//! Malformed peers, files and commands are rejected with one line, and commands report their results.

use std::fs::File;
use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::process::Command;
use std::time::Instant;

use gaugestep_testbed::process::Process;

use crate::control::{ControlServer, wait_until};
use crate::proxy::TIMEOUT;

/// Peers send another protocol, a length that is too large, an undecodable message or an empty one: the
/// control server closes their connections. Peers that send nothing do not block it.
#[test]
fn malformed_peers_are_disconnected_and_the_control_server_keeps_running() {
    let control = ControlServer::start();
    let malformed: [&[u8]; 4] =
        [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64], &[0, 0, 0, 2, 0xff, 0xff], &[0, 0, 0, 0]];
    for (address, bytes) in
        [control.listen, control.operators].iter().flat_map(|address| malformed.map(|bytes| (address, bytes)))
    {
        let mut peer = TcpStream::connect(address).unwrap();
        peer.set_read_timeout(Some(TIMEOUT)).unwrap();
        peer.write_all(bytes).unwrap();
        // A reset counts as a close too: the peer has sent more than was read.
        let _ = peer.read(&mut [0; 64]).map(|read| assert_eq!(read, 0, "{bytes:?}"));
    }
    let _silent: Vec<TcpStream> = (0..50).map(|_| TcpStream::connect(control.listen).unwrap()).collect();
    let began = Instant::now();
    assert_eq!(control.publish("limits { max_open: 5 }", &[]), 1);
    assert!(began.elapsed() < TIMEOUT);
    let log = control.log();
    assert!(log.lines().all(|line| serde_json::from_str::<serde_json::Value>(line).is_ok()), "{log}");
    assert!(log.contains(r#""version":1"#));
}

/// Guards against two control servers that share the connections of one address.
#[test]
fn a_second_control_server_on_an_address_in_use_ends_with_one_line() {
    let control = ControlServer::start();
    let folder = tempfile::tempdir().unwrap();
    let config = folder.path().join("control.textproto");
    let store = folder.path().join("versions.redb").display().to_string();
    let free = || crate::proxy::free_address();
    for (listen, operators, in_use) in
        [(control.listen, free(), control.listen), (free(), control.operators, control.operators)]
    {
        let text = format!("listen: \"{listen}\" operators: \"{operators}\" store: {store:?}");
        std::fs::write(&config, text).unwrap();
        let log = folder.path().join("log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
        command.args(["serve", "--config"]).arg(&config).stderr(File::create(&log).unwrap());
        let mut second = Process::start(&mut command).unwrap();
        wait_until("the second control server ends", || second.exit_status().unwrap().is_some());
        let error = std::fs::read_to_string(&log).unwrap();
        assert_eq!(second.exit_status().unwrap().unwrap().code(), Some(1), "{error}");
        assert!(error.contains(&format!("cannot listen on {in_use}")), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
    assert_eq!(control.publish("limits { max_open: 5 }", &[]), 1);
}

#[test]
fn an_unusable_operator_file_ends_the_start_with_one_error_line() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operator.textproto");
    let cases = [
        ("control { colour: 1 }", "colour"),
        ("control { state: \"x\" }", "'control.services' is missing"),
        ("control { services: \"nowhere\" state: \"x\" }", "no address"),
        ("control { services: \"10.0.0.1:9\" state: \"x\" }", "without keys only loopback"),
        ("control { services: \"127.0.0.1:9\" }", "'control.state' is missing"),
    ];
    let config = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
    let example = std::fs::read_to_string(config).unwrap();
    let config_path = folder.path().join("config.json");
    let listen = crate::proxy::free_address().to_string();
    let management = crate::proxy::free_address().to_string();
    std::fs::write(
        &config_path,
        example.replace("127.0.0.1:9090", &listen).replace("127.0.0.1:9100", &management),
    )
    .unwrap();
    for (text, cause) in cases {
        std::fs::write(&file, text).unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_gaugestep"));
        command.args(["serve", "--config"]).arg(&config_path).arg("--operator").arg(&file);
        let output = command.env("GAUGESTEP_LOG", "off").output().unwrap();
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{text}: {error}");
        assert!(error.contains(cause) && error.lines().count() <= 3, "{text}: {error}");
    }
}

#[test]
fn commands_report_their_results_as_text_json_and_exit_codes() {
    let control = ControlServer::start();
    let (good, bad) = (
        control.write_file("good", "limits { max_open: 5 }"),
        control.write_file("bad", "limits { max_open: 0 }"),
    );
    assert_eq!(control.run(&["validate", &good]).0, 0);
    let (code, output, _) = control.run(&["--json", "validate", &bad]);
    assert_eq!(code, 1);
    assert!(output.contains(r#""path":"limits.max_open""#), "{output}");
    let (code, _, error) = control.run(&["publish", &bad]);
    assert_eq!(code, 1);
    assert!(error.contains("'limits.max_open' is 0"), "{error}");
    assert_eq!(control.run_json(&["publish", &good, "--note", "a note"])["version"], 1);
    let (code, _, error) = control.run(&["publish", &good, "--expect", "7"]);
    assert!(code == 1 && error.contains("version 1 is the newest"), "{error}");
    control.publish("limits { max_open: 6 }", &["--expect", "1"]);
    let list = control.run_json(&["list"]);
    assert_eq!((&list[0]["version"], &list[1]["note"]), (&2.into(), &"a note".into()));
    assert!(control.run(&["show", "1"]).1.contains("max_open: 5"));
    let (code, diff, _) = control.run(&["diff", "1", "2"]);
    assert!(code == 1 && diff.contains("-  max_open: 5") && diff.contains("+  max_open: 6"), "{diff}");
    assert_eq!(control.run(&["diff", &good, "1"]).0, 0);
    assert_eq!(control.run_json(&["rollback", "1"])["version"], 3);
    assert_eq!(control.run(&["watch", "--within", "5"]).0, 0);
    assert_eq!(control.run_json(&["list"])[0]["rolls_back_to"], 1);
    assert_eq!(control.run(&["rollback", "99"]).0, 1);
    assert_eq!(control.run(&["nonsense"]).0, 2);
    assert!(control.run(&["completions", "bash"]).1.contains("gaugestep-control"));
}
