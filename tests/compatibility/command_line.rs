//! Commands, options, arguments and exit codes of the three programs.

use std::process::{Command, Output};

use crate::golden;

const PROXY: &str = env!("CARGO_BIN_EXE_gaugestep");
const ADAPTER: &str = env!("CARGO_BIN_EXE_gaugestep-adapter");
const CONTROL: &str = env!("CARGO_BIN_EXE_gaugestep-control");

const PROXY_COMMANDS: [&str; 3] = ["serve", "check-config", "version"];
const CONTROL_COMMANDS: [&str; 16] = [
    "serve",
    "validate",
    "publish",
    "list",
    "show",
    "diff",
    "status",
    "watch",
    "rollback",
    "members",
    "duties",
    "seats",
    "hand-over",
    "take-over",
    "declare",
    "completions",
];
const MEMBERS_COMMANDS: [&str; 2] = ["members add", "members remove"];

/// Options whose default value is drawn at random.
const RANDOM_DEFAULTS: [&str; 1] = ["--once"];

/// Runs a program with an empty environment, so that no variable sets an option.
fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).env_clear().output().unwrap()
}

/// The help text of a command, which may consist of several words.
fn help(program: &str, command: &str) -> String {
    let mut arguments: Vec<&str> = command.split_whitespace().collect();
    arguments.push("--help");
    let output = run(program, &arguments);
    assert_eq!(output.status.code(), Some(0), "{command}");
    assert!(output.stderr.is_empty(), "{command}");
    String::from_utf8(output.stdout).unwrap()
}

/// An entry of a section of a help text: an option, an argument or a command.
struct HelpEntry {
    section: String,
    signature: String,
    description: String,
}

/// Reads the sections of a help text. An entry begins with a short indent; further lines belong to its
/// description.
fn help_entries(text: &str) -> Vec<HelpEntry> {
    const DEEPEST_ENTRY: usize = 6;
    let mut section = String::new();
    let mut entries: Vec<HelpEntry> = Vec::new();
    for line in text.lines() {
        let content = line.trim_start();
        let indent = line.len() - content.len();
        let begins_entry = match section.as_str() {
            "Options" => content.starts_with('-'),
            "Arguments" => content.starts_with(['<', '[']),
            _ => true,
        };
        if indent == 0 {
            section = line.strip_suffix(':').unwrap_or_default().to_owned();
        } else if !section.is_empty() && indent <= DEEPEST_ENTRY && begins_entry {
            let (signature, description) = content.split_once("  ").unwrap_or((content, ""));
            entries.push(HelpEntry {
                section: section.clone(),
                signature: signature.trim().to_owned(),
                description: description.trim().to_owned(),
            });
        } else if let Some(entry) = entries.last_mut().filter(|_| !content.is_empty()) {
            entry.description += " ";
            entry.description += content;
        }
    }
    entries
}

/// The text of a description after `[name: `, up to the closing bracket.
fn attribute<'a>(description: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = description.split_once(&format!("[{name}: "))?;
    rest.split_once(']').map(|(value, _)| value)
}

/// The interface of one command: its arguments, and its options with value names, environment variables and
/// defaults.
fn interface(program: &str, command: &str) -> String {
    let text = help(program, command);
    let usage = text.lines().find_map(|line| line.strip_prefix("Usage: ")).unwrap();
    let arguments = usage.split_whitespace().skip(1 + command.split_whitespace().count());
    let mut recorded = format!("[{command}] {}\n", arguments.collect::<Vec<_>>().join(" "));
    for entry in help_entries(&text).iter().filter(|entry| entry.section != "Commands") {
        recorded += &format!("  {}", entry.signature);
        if let Some(variable) = attribute(&entry.description, "env") {
            recorded += &format!(" env={}", variable.trim_end_matches('='));
        }
        let random = RANDOM_DEFAULTS.iter().any(|option| entry.signature.starts_with(option));
        if let Some(value) = attribute(&entry.description, "default").filter(|_| !random) {
            recorded += &format!(" default={value}");
        }
        if let Some(values) = attribute(&entry.description, "possible values") {
            recorded += &format!(" values={values}");
        }
        recorded.push('\n');
    }
    recorded
}

/// The number of commands that a help text lists, except `help`.
fn listed_commands(text: &str) -> usize {
    let entries = help_entries(text);
    entries.iter().filter(|entry| entry.section == "Commands" && entry.signature != "help").count()
}

fn interfaces(program: &str, commands: &[&str]) -> String {
    commands.iter().map(|command| interface(program, command)).collect()
}

#[test]
fn proxy_commands_keep_their_options() {
    assert_eq!(listed_commands(&help(PROXY, "")), PROXY_COMMANDS.len());
    let commands = [&[""], &PROXY_COMMANDS[..]].concat();
    golden::assert_matches("command_line_proxy.txt", &interfaces(PROXY, &commands));
}

#[test]
fn control_commands_keep_their_options() {
    assert_eq!(listed_commands(&help(CONTROL, "")), CONTROL_COMMANDS.len());
    assert_eq!(listed_commands(&help(CONTROL, "members")), MEMBERS_COMMANDS.len());
    let commands = [&[""], &CONTROL_COMMANDS[..], &MEMBERS_COMMANDS[..]].concat();
    golden::assert_matches("command_line_control.txt", &interfaces(CONTROL, &commands));
}

/// Runs a program and returns its exit code and how many lines it wrote to each stream, as one line.
fn outcome(program: &str, arguments: &[&str]) -> String {
    let output = run(program, arguments);
    let lines = |bytes: &[u8]| match String::from_utf8_lossy(bytes).trim_end().lines().count() {
        0 => "empty",
        1 => "one line",
        _ => "several lines",
    };
    let name = program.rsplit('/').next().unwrap();
    format!(
        "{name} {}: exit code {}, stdout {}, stderr {}\n",
        arguments.join(" "),
        output.status.code().unwrap(),
        lines(&output.stdout),
        lines(&output.stderr)
    )
}

#[test]
fn exit_codes_stay() {
    // No control server listens on this address: port 1 of a loopback address that no other test uses.
    const NOWHERE: &str = "127.255.255.1:1";
    let calls: &[(&str, &[&str])] = &[
        (PROXY, &[]),
        (PROXY, &["version"]),
        (PROXY, &["--version"]),
        (PROXY, &["unknown"]),
        (PROXY, &["serve"]),
        (PROXY, &["serve", "--config", "absent.json"]),
        (PROXY, &["serve", "--config", "absent.json", "--management", "x"]),
        (PROXY, &["serve", "--config", "absent.json", "--socket-fd", "x"]),
        (PROXY, &["check-config"]),
        (PROXY, &["check-config", "absent.json"]),
        (PROXY, &["check-config", "a", "b"]),
        (ADAPTER, &[]),
        (CONTROL, &[]),
        (CONTROL, &["--version"]),
        (CONTROL, &["unknown"]),
        (CONTROL, &["serve"]),
        (CONTROL, &["serve", "--config", "absent.textproto"]),
        (CONTROL, &["validate"]),
        (CONTROL, &["validate", "absent.textproto"]),
        (CONTROL, &["--json", "validate", "absent.textproto"]),
        (CONTROL, &["publish", "absent.textproto", "--service", NOWHERE]),
        (CONTROL, &["list", "--service", "x"]),
        (CONTROL, &["list", "--most", "-1"]),
        (CONTROL, &["list", "--service", NOWHERE]),
        (CONTROL, &["show", "--service", NOWHERE]),
        (CONTROL, &["diff", "1", "2", "--service", NOWHERE]),
        (CONTROL, &["diff", "absent.textproto", "absent.textproto", "--service", NOWHERE]),
        (CONTROL, &["status", "--service", NOWHERE]),
        (CONTROL, &["watch", "--service", NOWHERE]),
        (CONTROL, &["rollback", "--service", NOWHERE]),
        (CONTROL, &["members", "add", "1", "x", "y"]),
        (CONTROL, &["members", "remove"]),
        (CONTROL, &["list", "--certificate", "a"]),
        (CONTROL, &["list", "--key", "a"]),
        (CONTROL, &["completions", "bash"]),
        (CONTROL, &["completions", "unknown"]),
    ];
    let recorded: String = calls.iter().map(|(program, arguments)| outcome(program, arguments)).collect();
    golden::assert_matches("exit_codes.txt", &recorded);
}
