//! The operators' HTTP interface: paths, methods, statuses, content types and keys.

use std::io::Write as _;

use crate::control::{ControlServer, RespondingEngine, wait_until};
use crate::golden;
use crate::proxy::{Launch, Proxy, query, read_to_close};

const PATHS: [&str; 6] =
    ["/ops/readiness", "/ops/stats", "/ops/drain/start", "/ops/drain/stop", "/ops/none", "/"];
const METHODS: [&str; 5] = ["GET", "PUT", "POST", "DELETE", "HEAD"];

/// Sends these bytes to the admin API and returns the head of the response, and its body if that is plain
/// text.
fn response(proxy: &Proxy, request: &str) -> String {
    let mut socket = proxy.admin_connection();
    socket.write_all(request.as_bytes()).unwrap();
    socket.shutdown(std::net::Shutdown::Write).unwrap();
    let response = read_to_close(&socket);
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    let head: Vec<&str> = head.lines().filter(|line| !line.starts_with("Content-Length: ")).collect();
    let body = if body.starts_with('{') { "{...}" } else { body.trim_end() };
    format!("{}; body {body:?}\n", head.join("; "))
}

fn call(proxy: &Proxy, method: &str, path: &str) -> String {
    format!("{method} {path}: {}", response(proxy, &format!("{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n")))
}

#[test]
fn paths_methods_and_statuses_stay() {
    let proxy = Proxy::start(&[]);
    let mut recorded = String::new();
    for path in PATHS {
        // A drain that a call has started is stopped at once, so that each call finds a proxy that serves.
        for method in METHODS {
            recorded += &call(&proxy, method, path);
            proxy.call("PUT", "/ops/drain/stop");
        }
    }
    recorded += "while it drains:\n";
    for (method, path) in [
        ("PUT", "/ops/drain/start"),
        ("PUT", "/ops/drain/start"),
        ("GET", "/ops/readiness"),
        ("GET", "/ops/stats"),
        ("PUT", "/ops/drain/stop"),
        ("PUT", "/ops/drain/stop"),
        ("GET", "/ops/readiness?verbose=1"),
    ] {
        recorded += &call(&proxy, method, path);
    }
    recorded += "malformed:\n";
    let long_path = format!("GET /{} HTTP/1.1\r\n", "a".repeat(9000));
    for (name, malformed) in
        [("noise", "\u{1}\u{2}\r\n\r\n"), ("half a call", "GET /ops/stats HT"), ("too long", &*long_path)]
    {
        recorded += &format!("{name}: {}", response(&proxy, malformed));
    }
    golden::assert_matches("operators_http.txt", &recorded);
}

#[test]
fn statistics_without_a_control_server_keep_their_keys() {
    let engine = RespondingEngine::new();
    let proxy = Proxy::start(&[&engine.listener]);
    assert_eq!(proxy.client().request(&query("lookup", 1, 3_000)), "TDC");
    proxy.attempts_once_idle();
    let statistics = golden::pretty(&golden::without_varying(&proxy.statistics(), &["forwards"]));
    golden::assert_matches("statistics.json", &statistics);
}

#[test]
fn statistics_and_readiness_under_a_control_server_keep_their_form() {
    let (control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.write_operator_file(&folder.path().join("n0")));
    let engine = RespondingEngine::new();
    let proxy = Launch { operator, ..Launch::new(&[&engine.listener]) }.start();
    wait_until("the proxy follows", || proxy.statistics()["configuration"]["connected"] == true);
    let first = control.publish(
        r#"limits { max_open: 500 } routes { name: "r" classes: "lookup" targets { engine: "s-0" } }"#,
        &[],
    );
    wait_until("the version is in force", || proxy.statistic("/configuration/version") == Some(first));
    let second = control.publish(r#"classes: "unknown""#, &[]);
    wait_until("the version is rejected", || {
        proxy.statistic("/configuration/last_refusal/version") == Some(second)
    });
    wait_until("the rollback is in force", || proxy.statistic("/configuration/version") == Some(second + 1));
    let varying = ["age_s", "process", "term", "name_term", "reason", "connected"];
    let statistics = golden::without_varying(&proxy.statistics(), &varying);
    golden::assert_matches("statistics_followed.json", &golden::pretty(&statistics));
    let (status, readiness) = proxy.call("GET", "/ops/readiness");
    let digits_replaced =
        readiness.split(' ').map(|word| if word.parse::<u64>().is_ok() { "N" } else { word });
    let readiness = digits_replaced.collect::<Vec<_>>().join(" ");
    golden::assert_matches("readiness_followed.txt", &format!("{status} {readiness}"));
}
