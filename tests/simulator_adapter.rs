//! Black-box tests of the simulator adapter: every message of the protocol in both directions, and malformed
//! input.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use std::io::Write;
use std::process::{Command, Stdio};

use gaugestep_dispatch::interface::*;
use gaugestep_settings::decode;
use gaugestep_simulator_adapter::{Host, write_action};

const SETTINGS: &str = r#"{"zone": 0, "balancers": 1, "unknown": {"a": 1}, "kinds": ["k"],
 "family_info": {"class_threads": [1], "size_cores": [8], "ram_of_kind_mb": [16384], "tells_cost": true,
 "takes_grants": true, "lanes_count": true}, "limits": {"cancelling": true, "max_attempts": 3},
 "rules": {"answer_slack_ms": 20}, "stats": {"fields": ["rif", "q", "busy", "x0", "later"]},
 "services": [{"effect": "safe", "aim_ms": 500, "deadline_ms": 4000, "importance": 1}]}"#;

fn provision() -> String {
    format!("provision dispatcher_id=3 salt=11 profile_data={}", SETTINGS.replace('\n', ""))
}

/// Sends the lines of a batch and returns the response, or the error.
fn run_batch(host: &mut Host, wall_ms: &str, lines: &[&str]) -> Result<String, String> {
    host.handle_line(&format!("tick wall_ms={wall_ms}")).map_err(|error| error.to_string())?;
    for line in lines {
        assert_eq!(host.handle_line(line).map_err(|error| error.to_string())?, None);
    }
    Ok(host
        .handle_line("eob")
        .map_err(|error| error.to_string())?
        .expect("the last line of a batch has a response"))
}

/// A host with one dispatcher and two engines.
fn started_host() -> Host {
    let mut host = Host::new();
    let response = run_batch(
        &mut host,
        "1000.5",
        &[
            &provision(),
            "define_list bank=2 members_list=2",
            "item node=51 campus=0 machine=0 group=0 readiness=U share=1",
            "item node=74 readiness=U share=1.5 online_since_ms=0 later=x",
            "discovery dispatcher_id=3 bank=2 kind=cached epoch=41",
        ],
    );
    assert_eq!(response.unwrap(), "done\n");
    host
}

#[test]
fn every_message_of_the_protocol_is_decoded() {
    let mut host = started_host();
    let new = "new_request dispatcher_id=3 req=r-1 estimate_ms=12.0 due_ms=5000 owner=0 source_set=11 \
               ram_mb=384 category=0 is_retry=1";
    let response = run_batch(&mut host, "1001", &[new]).unwrap();
    let lines: Vec<&str> = response.lines().collect();
    assert!(lines[0].starts_with("set_terms dispatcher_id=3 req=r-1 memory_grant="));
    assert!(lines[1].starts_with("forward dispatcher_id=3 req=r-1 node="));
    assert!(lines[2].starts_with("sleep dispatcher_id=3 handle=0 offset_ms="));
    assert_eq!(lines[3], "done");
    let node = lines[1].rsplit('=').next().unwrap();
    let response = run_batch(
        &mut host,
        "1010",
        &[
            &format!("progress dispatcher_id=3 req=r-1 amount=0.5 send_no=0 sort=1 node={node}"),
            &format!("progress dispatcher_id=3 req=r-1 amount=64 send_no=0 sort=2 node={node}"),
            &format!("progress dispatcher_id=3 req=r-1 amount=1 send_no=0 sort=3 node={node}"),
            "sampled dispatcher_id=3 time_taken_ms=1.4 verdict=200 node=51 load=7,0,0.62,0.1,9",
            "whisper dispatcher_id=3 src=2 msg=68692037",
            "timer dispatcher_id=3 handle=0",
        ],
    );
    assert!(response.unwrap().ends_with("done\n"));
    let ended = format!(
        "reply dispatcher_id=3 req=r-1 no_more=1 used_up=69728 node={node} verdict=200 time_taken_ms=18.5 \
         send_no=0 load=7,0,0.62,0.1,9"
    );
    run_batch(&mut host, "1020", &[&ended, "client_gone dispatcher_id=3 req=r-1"]).unwrap();
    let lists = [
        "define_list bank=2 members_list=1",
        "item node=51 readiness=L",
        "discovery dispatcher_id=3 bank=2 kind=delta epoch=42",
        "discovery dispatcher_id=3 bank=0 kind=failed epoch=42",
        "new_request dispatcher_id=3 req=r-2 estimate_ms=12 due_ms=9000 category=0",
        "streaming dispatcher_id=3 req=r-2 time_taken_ms=1 send_no=0 node=74",
    ];
    assert!(
        run_batch(&mut host, "1030", &lists).unwrap().contains("forward dispatcher_id=3 req=r-2 node=74\n")
    );
    run_batch(&mut host, "1040", &["shutdown dispatcher_id=3", &provision()]).unwrap();
    assert_eq!(run_batch(&mut host, "1050", &[]).unwrap(), "done\n");
    assert!(host.finish().is_ok());
}

#[test]
fn every_action_is_encoded_as_the_protocol_states() {
    let id = || RequestId("r".into());
    let cases = [
        (Action::Send { id: id(), engine: EngineId(4) }, "forward dispatcher_id=1 req=r node=4\n"),
        (Action::Cancel { id: id(), attempt: AttemptNo(2) }, "cancel dispatcher_id=1 req=r send_no=2\n"),
        (
            Action::Reject { id: id(), retry_after: 250.0, reason: RejectReason::QueueTimeout },
            "bounce dispatcher_id=1 req=r wait_ms=250.000\n",
        ),
        (Action::Fail { id: id() }, "respond_error dispatcher_id=1 req=r\n"),
        (
            Action::SetAttemptOptions { id: id(), memory_mb: 64.2, priority: 3 },
            "set_terms dispatcher_id=1 req=r memory_grant=64 importance=3\n",
        ),
        (
            Action::SetTimer { timer: TimerId(9), delay: 1.5 },
            "sleep dispatcher_id=1 handle=9 offset_ms=1.500\n",
        ),
        (Action::Log("a\nb".into()), "record dispatcher_id=1 text=a b\n"),
    ];
    for (action, expected) in cases {
        let mut line = String::new();
        write_action(1, &action, &mut line);
        assert_eq!(line, expected);
    }
}

#[test]
fn exactly_the_verdicts_of_the_protocol_are_accepted() {
    for verdict in [200, 502, 429, 408, 521, 520, 444, 409, 999] {
        let mut host = started_host();
        let line = format!("sampled dispatcher_id=3 time_taken_ms=1 verdict={verdict} node=51");
        assert_eq!(run_batch(&mut host, "1001", &[&line]).is_ok(), verdict != 999, "{verdict}");
    }
}

#[test]
fn absent_settings_take_the_defaults_of_the_protocol() {
    let json =
        serde_json::from_str(r#"{"services": [{"effect": "keyed", "group": "cell", "window_ms": 9}]}"#);
    let settings = decode(&json.unwrap()).unwrap();
    let class = &settings.classes[0];
    assert_eq!(class.idempotency, Idempotency::Keyed(DedupGroup::Cell, 9.0));
    assert_eq!(class.target_stretch, 0.0);
    assert_eq!((settings.retry_budget, settings.order_pause, settings.tenants.len()), (None, 0.0, 0));
    assert!(
        !settings.cancellation && !settings.concurrent_attempts && !settings.memory_grants && !class.ordered
    );
}

#[test]
fn malformed_lines_are_reported_with_their_number_and_cause() {
    let cases = [
        ("nonsense dispatcher_id=3", "unknown message 'nonsense'"),
        ("timer handle=1", "field 'dispatcher_id' is missing"),
        ("timer dispatcher_id=4 handle=1", "dispatcher 4, which is not running"),
        ("timer dispatcher_id=3 handle=x", "field 'handle' is 'x', not a whole number"),
        ("timer dispatcher_id=3 handle", "is no name=value pair"),
        ("new_request dispatcher_id=3 req=r due_ms=nan category=0", "field 'due_ms' is 'nan', not a number"),
        ("new_request dispatcher_id=3 req=r due_ms=9 category=5", "which is no class"),
        ("discovery dispatcher_id=3 bank=7 kind=full epoch=1", "list 7 is not defined"),
        ("item node=3 readiness=U", "'item' outside a list"),
        ("provision dispatcher_id=5 salt=1 profile_data={", "is not JSON"),
        ("provision dispatcher_id=5 salt=1 profile_data={}", "classes must not be empty"),
    ];
    for (line, message) in cases {
        let mut host = started_host();
        let error = run_batch(&mut host, "1001", &[line]).unwrap_err();
        assert!(error.contains(message), "'{line}' gave '{error}'");
        assert!(error.starts_with("line 9: "), "{error}");
    }
}

#[test]
fn the_program_ends_with_one_error_line_and_a_failing_exit_code() {
    for (input, message) in [
        ("tick wall_ms=1\nwhat=1\n", "line 2: "),
        ("eob\n", "outside a batch"),
        ("tick wall_ms=1\n", "inside a batch"),
    ] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_gaugestep-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
        let output = child.wait_with_output().unwrap();
        assert!(!output.status.success() && output.stdout.is_empty());
        assert!(String::from_utf8_lossy(&output.stderr).contains(message));
    }
}
