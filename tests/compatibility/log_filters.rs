//! Log filters that operators have written down: names of parts in `GAUGESTEP_LOG` and in stored documents keep
//! bringing out the lines of these parts, wherever their code has moved.
//!
//! Lines are distinguished by their level alone, as their texts, fields and targets may be reworded. Where a filter names
//! one part and silences all others, every line that comes is of that part.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde_json::Value;

use crate::control::{
    ControlServer, RespondingEngine, ScriptedControlServer, offer, offer_message, wait_until,
    write_operator_file,
};
use crate::proxy::{Coordinator, Engine, Launch, Proxy, event, free_address, query};
use crate::upstream::accept_call;

/// The lines of a log file of one level.
fn lines_of_level(log: &Path, level: &str) -> usize {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let levels = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    levels.filter(|line| line["level"] == level).count()
}

/// Lines of any level that name a part.
fn lines(log: &Path) -> usize {
    ["ERROR", "WARN", "INFO", "DEBUG", "TRACE"].iter().map(|level| lines_of_level(log, level)).sum()
}

/// A folder for log and state, with the path of the log.
struct Logged {
    folder: tempfile::TempDir,
    log: PathBuf,
}

impl Logged {
    fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let log = folder.path().join("log");
        Logged { folder, log }
    }

    fn launch<'a>(&self, engines: &'a [&'a Engine], filter: &str) -> Launch<'a> {
        Launch { log: Some(self.log.clone()), log_filter: Some(filter.into()), ..Launch::new(engines) }
    }

    fn state(&self) -> PathBuf {
        self.folder.path().join("n0")
    }

    fn wait_for(&self, level: &str, count: usize) {
        wait_until("lines of the part come", || lines_of_level(&self.log, level) >= count);
    }
}

/// Serves requests one by one, each with one attempt.
fn serve(proxy: &Proxy, first: u64, count: u64) {
    let mut client = proxy.client();
    for id in first..first + count {
        assert_eq!(client.request(&query("lookup", id, 15_000)), "TDC");
    }
}

/// Ends the proxy in order, so that whatever it had to log is in the file.
fn stop(mut proxy: Proxy) {
    assert!(proxy.terminate().success());
}

#[test]
fn the_default_filter_shows_info_and_hides_debug() {
    let (logged, engine) = (Logged::new(), RespondingEngine::new());
    let engines = [&engine.listener];
    let launch = Launch { log_filter: None, ..logged.launch(&engines, "") };
    let proxy = launch.start();
    serve(&proxy, 0, 3);
    stop(proxy);
    assert!(lines_of_level(&logged.log, "INFO") > 0);
    assert_eq!(lines_of_level(&logged.log, "DEBUG"), 0);
}

/// A filter that cannot be read is as none.
#[test]
fn a_filter_that_cannot_be_read_is_replaced_by_the_default() {
    let (logged, engine) = (Logged::new(), RespondingEngine::new());
    let engines = [&engine.listener];
    let proxy = logged.launch(&engines, "gaugestep=loud").start();
    serve(&proxy, 0, 1);
    stop(proxy);
    assert!(lines_of_level(&logged.log, "INFO") > 0);
    assert_eq!(lines_of_level(&logged.log, "DEBUG"), 0);
}

/// Sends a load to an engine that breaks the connection: the request fails.
fn break_a_connection(proxy: &Proxy, engine: &Engine) {
    let mut client = proxy.client();
    client.send(&query("load", 1, 15_000));
    let mut connection = engine.accept();
    connection.command();
    drop(connection);
    assert!(client.read_response().starts_with("E 58000"));
}

/// Lines of the request's lifecycle when a load fails: its attempt, and the request itself.
const LINES_OF_A_FAILED_REQUEST: usize = 2;

/// Names of outer modules cover their parts: request lifecycle and connections to engines both tell.
#[test]
fn outer_names_cover_all_parts() {
    for filter in ["gaugestep=debug", "gaugestep::net=debug", "debug"] {
        let (logged, engine) = (Logged::new(), Engine::new());
        let engines = [&engine];
        let proxy = logged.launch(&engines, filter).start();
        break_a_connection(&proxy, &engine);
        logged.wait_for("DEBUG", LINES_OF_A_FAILED_REQUEST + 1);
        stop(proxy);
        assert!(lines_of_level(&logged.log, "INFO") > 0, "{filter}");
    }
}

/// A request that fails: two lines, and nothing of the connection that ended.
#[test]
fn net_relay_brings_out_requests_that_fail() {
    let (logged, engine) = (Logged::new(), Engine::new());
    let engines = [&engine];
    let proxy = logged.launch(&engines, "gaugestep::net::relay=debug").start();
    break_a_connection(&proxy, &engine);
    logged.wait_for("DEBUG", LINES_OF_A_FAILED_REQUEST);
    stop(proxy);
    assert_eq!(lines(&logged.log), LINES_OF_A_FAILED_REQUEST);
}

/// What the decisions have logged: from time to time, how many requests no engine served.
#[test]
fn facade_brings_out_lines_of_the_decisions() {
    let logged = Logged::new();
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

/// The lifecycle of requests: one line for each attempt, and nothing of any other part.
#[test]
fn net_relay_brings_out_one_line_an_attempt() {
    for filter in ["gaugestep::net::relay=debug", "off,gaugestep::net::relay=debug", "gaugestep::net::relay"]
    {
        let (logged, engine) = (Logged::new(), RespondingEngine::new());
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

/// Connections to engines: a line when one ends. The outer module's name covers it too.
#[test]
fn net_back_brings_out_connections_that_end() {
    for filter in ["gaugestep::net::back=debug", "gaugestep::net::back::lines=debug"] {
        let (logged, engine) = (Logged::new(), Engine::new());
        let engines = [&engine];
        let proxy = logged.launch(&engines, filter).start();
        assert_eq!(lines(&logged.log), 0, "{filter}");
        break_a_connection(&proxy, &engine);
        logged.wait_for("DEBUG", 1);
        stop(proxy);
        assert_eq!(lines(&logged.log), lines_of_level(&logged.log, "DEBUG"), "{filter}");
    }
}

/// The list of engines: INFO for what it holds, DEBUG for an orderly end of the stream.
#[test]
fn net_coordinator_brings_out_lists_and_the_end_of_the_stream() {
    let (logged, engine, coordinator) = (Logged::new(), RespondingEngine::new(), Coordinator::new());
    let engines = [&engine.listener];
    let launch = logged.launch(&engines, "gaugestep::net::coordinator=debug");
    let proxy = Launch { coordinator: Some(&coordinator), ..launch }.start();
    let mut stream = accept_call(&coordinator).stream;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    // The list of the configuration, and its only engine.
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

/// The listener: drains that operators ask for.
#[test]
fn net_server_brings_out_drains() {
    let logged = Logged::new();
    let proxy = logged.launch(&[], "gaugestep::net::server=debug").start();
    assert_eq!(lines(&logged.log), 0);
    assert_eq!(proxy.call("PUT", "/ops/drain/start").0, 200);
    logged.wait_for("INFO", 1);
    assert_eq!(proxy.call("PUT", "/ops/drain/stop").0, 200);
    logged.wait_for("INFO", 2);
    stop(proxy);
    assert_eq!(lines(&logged.log), 2);
}

/// What cannot be read of a list: a warning, and no other line of the program.
#[test]
fn a_level_holds_for_the_part_that_it_names() {
    let (logged, engine, coordinator) = (Logged::new(), RespondingEngine::new(), Coordinator::new());
    let engines = [&engine.listener];
    let launch = logged.launch(&engines, "gaugestep::net::coordinator=warn");
    let proxy = Launch { coordinator: Some(&coordinator), ..launch }.start();
    let (mut stream, _) = coordinator.accept();
    stream.write_all(b"id: 2\ndata: {\"endpoints\":{\"complete\":false,\"members\":[{}]}}\n\n").unwrap();
    logged.wait_for("WARN", 1);
    stop(proxy);
    assert_eq!(lines(&logged.log), lines_of_level(&logged.log, "WARN"));
}

/// The proxy's side of the control stream.
#[test]
fn control_follow_brings_out_versions() {
    for filter in ["gaugestep_control::follow=info", "gaugestep_control=info"] {
        let (logged, service, engine) =
            (Logged::new(), ScriptedControlServer::new(), RespondingEngine::new());
        let engines = [&engine.listener];
        let address = service.0.local_addr().unwrap();
        let operator = Some(write_operator_file(logged.folder.path(), address, &logged.state(), ""));
        let proxy = Launch { operator, ..logged.launch(&engines, filter) }.start();
        let mut stream = service.accept();
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

/// A document brings out a part that the filter of the start hides, also when the proxy starts on it again without a
/// control service; a document without it hides the part again.
#[test]
fn a_document_brings_out_a_part_now_and_after_a_restart() {
    for part in [
        r#"parts { name: "gaugestep::net::relay" level: DEBUG }"#,
        r#"parts { name: "gaugestep::net" level: DEBUG }"#,
        "level: DEBUG",
    ] {
        let (logged, mut control, engine) = (Logged::new(), ControlServer::start(), RespondingEngine::new());
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
        let quiet = Quiet::since(&logged);
        serve(&proxy, 30, 2);
        stop(proxy);
        quiet.assert_no_debug(&logged, part);
    }
}

/// Lines of the level DEBUG up to a moment at which all earlier ones were written.
struct Quiet(usize);

impl Quiet {
    /// Waits until the log holds all lines that were being written: the count stays the same over several looks.
    fn since(logged: &Logged) -> Self {
        const STABLE_LOOKS: usize = 20;
        let (mut count, mut stable) = (usize::MAX, 0);
        wait_until("the log comes to rest", || {
            let now = lines_of_level(&logged.log, "DEBUG");
            stable = if now == count { stable + 1 } else { 0 };
            count = now;
            stable >= STABLE_LOOKS
        });
        Quiet(count)
    }

    fn assert_no_debug(&self, logged: &Logged, what: &str) {
        assert_eq!(lines_of_level(&logged.log, "DEBUG"), self.0, "{what}");
    }
}

/// A control service under a log filter of its own.
struct FilteredService {
    child: Child,
    operators: String,
    logged: Logged,
}

impl FilteredService {
    fn start(filter: &str) -> Self {
        Self::start_with(Some(filter))
    }

    /// Starts one under a filter, or under the default.
    fn start_with(filter: Option<&str>) -> Self {
        let logged = Logged::new();
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
        let service = FilteredService { child: command.spawn().unwrap(), operators, logged };
        wait_until("the control service starts", || service.run(&["list"]));
        service
    }

    /// Runs a command against it; whether that succeeded.
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

impl Drop for FilteredService {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn the_default_filter_of_the_control_service_shows_info_and_hides_debug() {
    let service = FilteredService::start_with(None);
    service.publish();
    service.logged.wait_for("INFO", 3);
    assert_eq!(lines_of_level(&service.logged.log, "DEBUG"), 0);
    assert_eq!(lines_of_level(&service.logged.log, "TRACE"), 0);
}

/// The program itself, once it serves.
#[test]
fn control_cli_brings_out_the_start() {
    let service = FilteredService::start("gaugestep_control::cli=info");
    service.logged.wait_for("INFO", 1);
}

/// Leadership of the group, from the start on.
#[test]
fn control_node_brings_out_leadership() {
    let service = FilteredService::start("gaugestep_control::node=info");
    service.logged.wait_for("INFO", 2);
}

/// Raft's own lines, at the level under which they are logged.
#[test]
fn control_node_brings_out_raft_at_its_lowest_level() {
    let service = FilteredService::start("gaugestep_control::node=trace");
    service.logged.wait_for("TRACE", 1);
}

/// Rollouts of versions: nothing else is logged, so the count grows with a publication.
#[test]
fn control_driving_brings_out_publications() {
    let service = FilteredService::start("gaugestep_control::driving=info");
    service.publish();
    service.logged.wait_for("INFO", 1);
}

/// The roster of proxies, once it is managed.
#[test]
fn control_seating_brings_out_the_roster() {
    let service = FilteredService::start("gaugestep_control::seating=info");
    assert_eq!(lines(&service.logged.log), 0);
    wait_until("the roster is kept", || service.run(&["declare", "seats"]));
    service.logged.wait_for("INFO", 1);
}

/// Streams of proxies: a peer that sends noise ends with a line.
#[test]
fn control_service_brings_out_streams_that_end() {
    let service = FilteredService::start("gaugestep_control::service=info");
    assert_eq!(lines(&service.logged.log), 0);
    let mut socket = std::net::TcpStream::connect(&service.operators).unwrap();
    socket.write_all(&[0xff; 8]).unwrap();
    service.logged.wait_for("INFO", 1);
}

/// An operator's take-over.
#[test]
fn control_calls_brings_out_a_take_over() {
    let service = FilteredService::start("gaugestep_control::calls=info");
    assert_eq!(lines(&service.logged.log), 0);
    wait_until("the take-over is done", || service.run(&["take-over"]));
    service.logged.wait_for("WARN", 1);
}

/// A part that is not named stays silent.
#[test]
fn a_filter_that_names_another_part_shows_nothing() {
    let service = FilteredService::start("gaugestep_control::peers=info");
    service.publish();
    assert_eq!(lines(&service.logged.log), 0);
}
