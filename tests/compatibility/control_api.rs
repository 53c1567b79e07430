//! Operator commands with `--json`: keys and values of their output, and their exit codes.

use serde_json::Value;

use crate::control::{ControlServer, RespondingEngine, wait_until};
use crate::golden;
use crate::proxy::{Launch, Proxy};

/// Keys whose values differ between runs.
const VARYING: [&str; 13] = [
    "published_ms",
    "heard_ms",
    "held_ms",
    "process",
    "build",
    "listen",
    "operators",
    "term",
    "name_term",
    "epoch",
    "changes",
    "halted_for",
    "reason",
];

/// A record of commands with their output, in the form of a golden file.
struct Transcript<'a> {
    control: &'a ControlServer,
    text: String,
}

impl Transcript<'_> {
    /// Runs a command with `--json` and records it. Paths among the arguments are recorded by file name
    /// alone.
    fn run(&mut self, arguments: &[&str]) {
        let (code, output, error) = self.control.run(&[&["--json"], arguments].concat());
        let shown: Vec<&str> =
            arguments.iter().map(|argument| argument.rsplit('/').next().unwrap()).collect();
        self.text +=
            &format!("$ {}\nexit code {code}, stderr {} line(s)\n", shown.join(" "), error.lines().count());
        // A watch prints a line for each state that it observes; only the last line is the same in every run.
        let output = output.replace(&self.control.folder.path().display().to_string(), "FOLDER");
        if let Some(last) = output.lines().last() {
            let mut value: Value = serde_json::from_str(last).unwrap();
            hide_notes_of_the_control_server(&mut value);
            self.text += &golden::pretty(&golden::without_varying(&value, &VARYING));
            self.text.push('\n');
        }
    }
}

/// Replaces the notes that the control server writes, which are prose.
fn hide_notes_of_the_control_server(value: &mut Value) {
    for entry in value.as_array_mut().into_iter().flatten() {
        if entry["author"] == "gaugestep-control" {
            assert_ne!(entry["note"], "");
            entry["note"] = "<prose>".into();
        }
    }
}

/// Waits until the proxy has a version in force and its rollout is over.
fn wait_until_complete(control: &ControlServer, proxy: &Proxy, version: u64) {
    wait_until("the version is in force", || in_force(proxy) == Some(version));
    wait_until("the rollout is complete", || {
        control.run_json(&["show", &version.to_string()])["state"] == "complete"
    });
}

fn in_force(proxy: &Proxy) -> Option<u64> {
    proxy.statistic("/configuration/version")
}

#[test]
fn json_output_of_commands_stays() {
    let (control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.write_operator_file(&folder.path().join("n0")));
    let engine = RespondingEngine::new();
    let proxy = Launch { operator, ..Launch::new(&[&engine.listener]) }.start();
    wait_until("the proxy is connected", || control.proxy_status("n0")["connected"] == true);
    let first = control.write_file("first.textproto", r#"limits { max_open: 500 } logging { level: INFO }"#);
    let second = control.write_file("second.textproto", r#"limits { max_open: 600 }"#);
    let rejected = control.write_file("rejected.textproto", r#"classes: "unknown""#);
    let faulty = control.write_file("faulty.textproto", r#"limits { max_open: 0 }"#);

    let mut transcript = Transcript { control: &control, text: String::new() };
    transcript.run(&["list"]);
    transcript.run(&["show"]);
    transcript.run(&["publish", &first, "--note", "the first", "--author", "a", "--once", "key-1"]);
    wait_until_complete(&control, &proxy, 1);
    transcript.run(&["publish", &first, "--once", "key-1"]);
    transcript.run(&["publish", &second, "--expect", "7"]);
    transcript.run(&["publish", &faulty]);
    transcript.run(&["publish", &second, "--share", "2"]);
    transcript.run(&["publish", &second, "--worse-by", "2"]);
    transcript.run(&["publish", &second, "--hold", "-1"]);
    transcript.run(&["publish", &second, "--refusals", "0"]);
    transcript.run(&["publish", &second, "--expect", "1"]);
    wait_until_complete(&control, &proxy, 2);
    transcript.run(&["watch", "2"]);
    transcript.run(&["diff", "1", "2"]);
    transcript.run(&["diff", "2", "2"]);
    transcript.run(&["rollback", "1", "--note", "back"]);
    wait_until_complete(&control, &proxy, 3);
    transcript.run(&["rollback", "99"]);
    transcript.run(&["publish", &rejected]);
    wait_until("the version is rejected", || {
        proxy.statistic("/configuration/last_refusal/version") == Some(4)
    });
    wait_until_complete(&control, &proxy, 5);
    wait_until("no offer is in flight", || {
        control.proxy_status("n0")["in_force"] == 5 && control.proxy_status("n0")["offered"] == 0
    });
    transcript.run(&["watch", "4"]);
    transcript.run(&["list"]);
    transcript.run(&["list", "--most", "1"]);
    transcript.run(&["show", "1"]);
    transcript.run(&["show", "99"]);
    transcript.run(&["status"]);
    transcript.run(&["status", "--proxy", "n0"]);
    transcript.run(&["status", "--proxy", "nobody"]);
    transcript.run(&["members"]);
    transcript.run(&["members", "add", "1", "127.0.0.1:1", "127.0.0.1:2"]);
    transcript.run(&["members", "remove", "9"]);
    transcript.run(&["seats"]);
    transcript.run(&["declare", "seats"]);
    wait_until("the roster has the proxy", || control.run_json(&["seats"])["proxies"][0] == "n0");
    transcript.run(&["seats"]);
    transcript.run(&["duties"]);
    transcript.run(&["hand-over"]);
    transcript.run(&["hand-over", "unknown", "--to", "3"]);
    transcript.run(&["take-over", "versions"]);
    transcript.run(&["validate", &first]);
    transcript.run(&["validate", &faulty]);
    golden::assert_matches("control_json.txt", &transcript.text);
}
