//! Existing log filters of operators keep their effect: the names of parts in `GAUGESTEP_LOG` and in stored
//! documents show the lines of these parts, even if their code has moved to another module.
//!
//! Lines are distinguished by their level alone, as their texts, fields and targets may be reworded. Where a
//! filter names one part and silences all others, every line in the log is of that part.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde_json::Value;

use crate::control::{
    ControlServer, RespondingEngine, ScriptedControlServer, offer, offer_message, wait_until,
    write_operator_file,
};
use crate::proxy::{Coordinator, Engine, Launch, Proxy, event, free_address, query};
use crate::upstream::accept_request;

/// The number of lines of one level in a log file.
fn lines_of_level(log: &Path, level: &str) -> usize {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let levels = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    levels.filter(|line| line["level"] == level).count()
}

/// The number of lines of any level in a log file.
fn lines(log: &Path) -> usize {
    ["ERROR", "WARN", "INFO", "DEBUG", "TRACE"].iter().map(|level| lines_of_level(log, level)).sum()
}

/// A folder for the log and the state of a program, with the path of the log.
struct LogFolder {
    folder: tempfile::TempDir,
    log: PathBuf,
}

impl LogFolder {
    fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let log = folder.path().join("log");
        LogFolder { folder, log }
    }

    fn launch<'a>(&self, engines: &'a [&'a Engine], filter: &str) -> Launch<'a> {
        Launch { log: Some(self.log.clone()), log_filter: Some(filter.into()), ..Launch::new(engines) }
    }

    fn state(&self) -> PathBuf {
        self.folder.path().join("n0")
    }

    fn wait_for(&self, level: &str, count: usize) {
        wait_until("the part logs its lines", || lines_of_level(&self.log, level) >= count);
    }
}

/// Sends this many requests one after the other; each is served by one attempt.
fn serve(proxy: &Proxy, first: u64, count: u64) {
    let mut client = proxy.client();
    for id in first..first + count {
        assert_eq!(client.request(&query("lookup", id, 15_000)), "TDC");
    }
}

/// Terminates the proxy in order, so that all its lines are in the log.
fn stop(mut proxy: Proxy) {
    assert!(proxy.terminate().success());
}

#[test]
fn the_default_filter_shows_info_and_hides_debug() {
    let (logged, engine) = (LogFolder::new(), RespondingEngine::new());
    let engines = [&engine.listener];
    let launch = Launch { log_filter: None, ..logged.launch(&engines, "") };
    let proxy = launch.start();
    serve(&proxy, 0, 3);
    stop(proxy);
    assert!(lines_of_level(&logged.log, "INFO") > 0);
    assert_eq!(lines_of_level(&logged.log, "DEBUG"), 0);
}

#[test]
fn a_filter_that_cannot_be_parsed_is_replaced_by_the_default() {
    let (logged, engine) = (LogFolder::new(), RespondingEngine::new());
    let engines = [&engine.listener];
    let proxy = logged.launch(&engines, "gaugestep=loud").start();
    serve(&proxy, 0, 1);
    stop(proxy);
    assert!(lines_of_level(&logged.log, "INFO") > 0);
    assert_eq!(lines_of_level(&logged.log, "DEBUG"), 0);
}

/// Sends a load to an engine that closes the connection, so that the request fails.
fn fail_a_request(proxy: &Proxy, engine: &Engine) {
    let mut client = proxy.client();
    client.send(&query("load", 1, 15_000));
    let mut connection = engine.accept();
    connection.command();
    drop(connection);
    assert!(client.read_response().starts_with("E 58000"));
}

/// Lines of the request lifecycle when a load fails: one for the attempt, and one for the request.
const LINES_OF_A_FAILED_REQUEST: usize = 2;

/// The names of outer modules cover their parts: both the request lifecycle and the connections to engines
/// are logged.
#[test]
fn outer_names_cover_all_parts() {
    for filter in ["gaugestep=debug", "gaugestep::net=debug", "debug"] {
        let (logged, engine) = (LogFolder::new(), Engine::new());
        let engines = [&engine];
        let proxy = logged.launch(&engines, filter).start();
        fail_a_request(&proxy, &engine);
        logged.wait_for("DEBUG", LINES_OF_A_FAILED_REQUEST + 1);
        stop(proxy);
        assert!(lines_of_level(&logged.log, "INFO") > 0, "{filter}");
    }
}

/// A request that fails has two lines, and the connection that ended has none.
#[test]
fn net_relay_shows_requests_that_fail() {
    let (logged, engine) = (LogFolder::new(), Engine::new());
    let engines = [&engine];
    let proxy = logged.launch(&engines, "gaugestep::net::relay=debug").start();
    fail_a_request(&proxy, &engine);
    logged.wait_for("DEBUG", LINES_OF_A_FAILED_REQUEST);
    stop(proxy);
    assert_eq!(lines(&logged.log), LINES_OF_A_FAILED_REQUEST);
}

/// The dispatcher logs from time to time how many requests no engine served.
#[test]
fn facade_shows_lines_of_the_dispatcher() {
    let logged = LogFolder::new();
    let proxy = logged.launch(&[], "gaugestep::facade=info").start();
    assert_eq!(lines(&logged.log), 0);
    let mut id = 0;
    wait_until("requests that were not served are logged", || {
        id += 1;
        assert!(proxy.client().request(&query("lookup", id, 100)).starts_with("E 53000"));
        lines_of_level(&logged.log, "INFO") > 0
    });
    stop(proxy);
    assert_eq!(lines(&logged.log), lines_of_level(&logged.log, "INFO"));
}

/// The request lifecycle logs one line for each attempt, and no other part logs anything.
#[test]
fn net_relay_shows_one_line_an_attempt() {
    for filter in ["gaugestep::net::relay=debug", "off,gaugestep::net::relay=debug", "gaugestep::net::relay"]
    {
        let (logged, engine) = (LogFolder::new(), RespondingEngine::new());
        let engines = [&engine.listener];
        let proxy = logged.launch(&engines, filter).start();
        serve(&proxy, 0, 5);
        let attempts = proxy.attempts_once_idle() as usize;
        stop(proxy);
        assert_eq!(
            (lines(&logged.log), lines_of_level(&logged.log, "DEBUG")),
            (attempts, attempts),
            "{filter}"
        );
    }
}

/// A connection to an engine logs a line when it ends. The name of the outer module covers it too.
#[test]
fn net_back_shows_connections_that_end() {
    for filter in ["gaugestep::net::back=debug", "gaugestep::net::back::lines=debug"] {
        let (logged, engine) = (LogFolder::new(), Engine::new());
        let engines = [&engine];
        let proxy = logged.launch(&engines, filter).start();
        assert_eq!(lines(&logged.log), 0, "{filter}");
        fail_a_request(&proxy, &engine);
        logged.wait_for("DEBUG", 1);
        stop(proxy);
        assert_eq!(lines(&logged.log), lines_of_level(&logged.log, "DEBUG"), "{filter}");
    }
}

/// Discovery logs the list of engines at INFO and an orderly end of the stream at DEBUG.
#[test]
fn net_coordinator_shows_lists_and_the_end_of_the_stream() {
    let (logged, engine, coordinator) = (LogFolder::new(), RespondingEngine::new(), Coordinator::new());
    let engines = [&engine.listener];
    let launch = logged.launch(&engines, "gaugestep::net::coordinator=debug");
    let proxy = Launch { coordinator: Some(&coordinator), ..launch }.start();
    let mut stream = accept_request(&coordinator).stream;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    // One line for the list of the configuration, and one for its only engine.
    logged.wait_for("INFO", 2);
    let before = lines_of_level(&logged.log, "INFO");
    let changed = event(2, &[engine.listener.list_entry("s-0", "DRAINING")]);
    write!(stream, "{:x}\r\n{changed}\r\n", changed.len()).unwrap();
    logged.wait_for("INFO", before + 1);
    assert_eq!(lines_of_level(&logged.log, "DEBUG"), 0);
    stream.write_all(b"0\r\n\r\n").unwrap();
    logged.wait_for("DEBUG", 1);
    stop(proxy);
}

/// The server logs when an operator starts and stops a drain.
#[test]
fn net_server_shows_drains() {
    let logged = LogFolder::new();
    let proxy = logged.launch(&[], "gaugestep::net::server=debug").start();
    assert_eq!(lines(&logged.log), 0);
    assert_eq!(proxy.call("PUT", "/ops/drain/start").0, 200);
    logged.wait_for("INFO", 1);
    assert_eq!(proxy.call("PUT", "/ops/drain/stop").0, 200);
    logged.wait_for("INFO", 2);
    stop(proxy);
    assert_eq!(lines(&logged.log), 2);
}

/// A list entry that cannot be parsed is logged as a warning, and there is no other line.
#[test]
fn a_level_applies_to_the_part_that_it_names() {
    let (logged, engine, coordinator) = (LogFolder::new(), RespondingEngine::new(), Coordinator::new());
    let engines = [&engine.listener];
    let launch = logged.launch(&engines, "gaugestep::net::coordinator=warn");
    let proxy = Launch { coordinator: Some(&coordinator), ..launch }.start();
    let (mut stream, _) = coordinator.accept();
    stream.write_all(b"id: 2\ndata: {\"endpoints\":{\"complete\":false,\"members\":[{}]}}\n\n").unwrap();
    logged.wait_for("WARN", 1);
    stop(proxy);
    assert_eq!(lines(&logged.log), lines_of_level(&logged.log, "WARN"));
}

/// The proxy's side of the control stream logs versions.
#[test]
fn control_follow_shows_versions() {
    for filter in ["gaugestep_control::follow=info", "gaugestep_control=info"] {
        let (logged, server, engine) =
            (LogFolder::new(), ScriptedControlServer::new(), RespondingEngine::new());
        let engines = [&engine.listener];
        let address = server.0.local_addr().unwrap();
        let operator = Some(write_operator_file(logged.folder.path(), address, &logged.state(), ""));
        let proxy = Launch { operator, ..logged.launch(&engines, filter) }.start();
        let mut stream = server.accept();
        logged.wait_for("INFO", 1);
        let before = lines_of_level(&logged.log, "INFO");
        stream.send(&offer_message(offer(5, 1, "limits { max_open: 50 }")));
        assert_eq!(stream.next_acknowledgement(), (1, None));
        logged.wait_for("INFO", before + 1);
        stream.send(&offer_message(offer(6, 2, r#"classes: "none""#)));
        assert!(stream.next_acknowledgement().1.is_some());
        logged.wait_for("WARN", 1);
        assert_eq!(lines_of_level(&logged.log, "DEBUG"), 0, "{filter}");
        stop(proxy);
    }
}

/// A document shows a part that the filter in the environment hides, also after a restart without a control
/// server; a document without the part hides it again.
#[test]
fn a_document_shows_a_part_at_once_and_after_a_restart() {
    for part in [
        r#"parts { name: "gaugestep::net::relay" level: DEBUG }"#,
        r#"parts { name: "gaugestep::net" level: DEBUG }"#,
        "level: DEBUG",
    ] {
        let (logged, mut control, engine) =
            (LogFolder::new(), ControlServer::start(), RespondingEngine::new());
        let engines = [&engine.listener];
        let operator = Some(control.write_operator_file(&logged.state()));
        let launch = Launch { log_filter: None, operator, ..logged.launch(&engines, "") };
        let mut proxy = launch.start();
        serve(&proxy, 0, 2);
        assert_eq!(lines_of_level(&logged.log, "DEBUG"), 0, "{part}");
        let number = control.publish(&format!("logging {{ {part} }}"), &[]);
        wait_until("the version is in force", || proxy.statistic("/configuration/version") == Some(number));
        serve(&proxy, 10, 2);
        logged.wait_for("DEBUG", 2);

        control.kill();
        proxy.kill();
        let before = lines_of_level(&logged.log, "DEBUG");
        proxy.restart();
        serve(&proxy, 20, 2);
        logged.wait_for("DEBUG", before + 2);

        control.restart();
        wait_until("the proxy follows again", || proxy.statistics()["configuration"]["connected"] == true);
        let number = control.publish("", &[]);
        wait_until("the version is in force", || proxy.statistic("/configuration/version") == Some(number));
        let baseline = DebugBaseline::once_stable(&logged);
        serve(&proxy, 30, 2);
        stop(proxy);
        baseline.assert_unchanged(&logged, part);
    }
}

/// The number of DEBUG lines at a moment at which all earlier lines have been written.
struct DebugBaseline(usize);

impl DebugBaseline {
    /// Waits until the count is the same in several samples, so that all pending lines have been written.
    fn once_stable(logged: &LogFolder) -> Self {
        const STABLE_SAMPLES: usize = 20;
        let (mut count, mut stable) = (usize::MAX, 0);
        wait_until("the log stops growing", || {
            let now = lines_of_level(&logged.log, "DEBUG");
            stable = if now == count { stable + 1 } else { 0 };
            count = now;
            stable >= STABLE_SAMPLES
        });
        DebugBaseline(count)
    }

    fn assert_unchanged(&self, logged: &LogFolder, part: &str) {
        assert_eq!(lines_of_level(&logged.log, "DEBUG"), self.0, "{part}");
    }
}

/// A control server with its own log filter.
struct FilteredControlServer {
    child: Child,
    operators: String,
    logged: LogFolder,
}

impl FilteredControlServer {
    fn start(filter: &str) -> Self {
        Self::start_with(Some(filter))
    }

    /// Starts a control server with this filter; `None` for the default.
    fn start_with(filter: Option<&str>) -> Self {
        let logged = LogFolder::new();
        let (listen, operators) = (free_address(), free_address().to_string());
        let config = logged.folder.path().join("control.textproto");
        let store = logged.folder.path().join("versions.redb");
        let text =
            format!("listen: \"{listen}\" operators: \"{operators}\" store: {:?}", store.to_str().unwrap());
        std::fs::write(&config, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
        command.args(["--json", "serve", "--config"]).arg(&config);
        match filter {
            Some(filter) => command.env("GAUGESTEP_LOG", filter),
            None => command.env_remove("GAUGESTEP_LOG"),
        };
        command.stdout(Stdio::null()).stderr(std::fs::File::create(&logged.log).unwrap());
        let server = FilteredControlServer { child: command.spawn().unwrap(), operators, logged };
        wait_until("the control server starts", || server.run(&["list"]));
        server
    }

    /// Runs an operator command against the control server and returns whether it succeeded.
    fn run(&self, arguments: &[&str]) -> bool {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
        command.args(arguments).args(["--service", &self.operators]);
        command.stdout(Stdio::null()).stderr(Stdio::null()).status().unwrap().success()
    }

    fn publish(&self) {
        let path = self.logged.folder.path().join("document.textproto");
        std::fs::write(&path, "limits { max_open: 5 }").unwrap();
        wait_until("a version is published", || self.run(&["publish", path.to_str().unwrap()]));
    }
}

impl Drop for FilteredControlServer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn the_default_filter_of_the_control_server_shows_info_and_hides_debug() {
    let server = FilteredControlServer::start_with(None);
    server.publish();
    server.logged.wait_for("INFO", 3);
    assert_eq!(lines_of_level(&server.logged.log, "DEBUG"), 0);
    assert_eq!(lines_of_level(&server.logged.log, "TRACE"), 0);
}

/// The command line logs a line once the control server serves.
#[test]
fn control_cli_shows_the_start() {
    let server = FilteredControlServer::start("gaugestep_control::cli=info");
    server.logged.wait_for("INFO", 1);
}

/// The leadership of the group is logged from the start.
#[test]
fn control_node_shows_leadership() {
    let server = FilteredControlServer::start("gaugestep_control::node=info");
    server.logged.wait_for("INFO", 2);
}

/// The lines of the Raft library are logged at TRACE.
#[test]
fn control_node_shows_raft_at_its_lowest_level() {
    let server = FilteredControlServer::start("gaugestep_control::node=trace");
    server.logged.wait_for("TRACE", 1);
}

/// The rollout driver logs a publication.
#[test]
fn control_driving_shows_publications() {
    let server = FilteredControlServer::start("gaugestep_control::driving=info");
    server.publish();
    server.logged.wait_for("INFO", 1);
}

/// The roster of proxies is logged once it is managed.
#[test]
fn control_seating_shows_the_roster() {
    let server = FilteredControlServer::start("gaugestep_control::seating=info");
    assert_eq!(lines(&server.logged.log), 0);
    wait_until("the role of the roster is declared", || server.run(&["declare", "seats"]));
    server.logged.wait_for("INFO", 1);
}

/// The stream of a peer that sends a malformed message logs a line when it ends.
#[test]
fn control_service_shows_streams_that_end() {
    let server = FilteredControlServer::start("gaugestep_control::service=info");
    assert_eq!(lines(&server.logged.log), 0);
    let mut socket = std::net::TcpStream::connect(&server.operators).unwrap();
    socket.write_all(&[0xff; 8]).unwrap();
    server.logged.wait_for("INFO", 1);
}

/// An operator's take-over is logged as a warning.
#[test]
fn control_calls_shows_a_take_over() {
    let server = FilteredControlServer::start("gaugestep_control::calls=info");
    assert_eq!(lines(&server.logged.log), 0);
    wait_until("the take-over is done", || server.run(&["take-over"]));
    server.logged.wait_for("WARN", 1);
}

/// A part that the filter does not name logs nothing.
#[test]
fn a_filter_that_names_another_part_shows_nothing() {
    let server = FilteredControlServer::start("gaugestep_control::peers=info");
    server.publish();
    assert_eq!(lines(&server.logged.log), 0);
}
