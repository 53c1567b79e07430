//! The protocol of the simulator: responses of the adapter to messages, malformed lines and invalid settings.

use std::io::Write as _;
use std::process::{Command, Stdio};

use serde_json::{Value, json};

use crate::golden;

/// Settings with every key that the adapter reads.
fn settings() -> Value {
    json!({
        "zone": 0, "balancers": 2, "me": 1, "over_share_worth": 0.5, "areas": ["a", "b"], "kinds": ["k"],
        "orgs": [{"name": "acme", "quota_per_s": 100}, {"name": "other"}],
        "prices": {"cross_zone": 0.1},
        "family_info": {
            "class_threads": [1, 2], "size_cores": [8], "ram_of_kind_mb": [16384], "tells_cost": true,
            "takes_grants": true, "lanes_count": true, "out_of_memory": "queue", "writes_tables": [false, true],
            "waits_for_loads": [true, false]
        },
        "limits": {
            "cancelling": true, "max_attempts": 3, "max_open": 50, "second_copies": true, "retry_after": true,
            "max_retry_after_ms": 700
        },
        "rules": {
            "answer_slack_ms": 20, "cold_share": 0.3, "warm_within_ms": 14000, "tip_multiple": 3,
            "overload_for_ms": 1500, "order_pause_ms": 500, "ratio_span_ms": 5000, "budget_free": 5,
            "further_ratio": 0.2
        },
        "stats": {"fields": ["rif", "q", "busy", "x0", "later"]},
        "services": [
            {"name": "lookup", "effect": "safe", "aim_ms": 500, "aim_stretch": 2, "late_share": 0.5,
             "deadline_ms": 4000, "importance": 1, "areas_open": [0, 1], "served_on": [0]},
            {"name": "load", "effect": "keyed", "group": "cell", "window_ms": 900, "aim_ms": 500,
             "deadline_ms": 4000, "importance": 8, "keep_order": true}
        ]
    })
}

fn provision(settings: &Value) -> String {
    format!("provision dispatcher_id=3 salt=11 profile_data={settings}")
}

/// A first batch: a dispatcher with two engines.
fn start(settings: &Value) -> Vec<String> {
    [
        "tick wall_ms=1000.5",
        &provision(settings),
        "define_list bank=2 members_list=2",
        "item node=51 campus=0 machine=0 group=0 readiness=U share=1",
        "item node=74 campus=1 readiness=U share=1.5 online_since_ms=0 later=x",
        "discovery dispatcher_id=3 bank=2 kind=cached epoch=41",
        "eob",
    ]
    .map(String::from)
    .to_vec()
}

/// Runs the adapter with these lines as its input and returns its output and exit code in the form of a
/// golden file.
fn run(lines: &[String]) -> String {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_gaugestep-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let input: String = lines.iter().map(|line| format!("{line}\n")).collect();
    let mut stdin = adapter.stdin.take().unwrap();
    // The adapter may end before it has read its complete input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let output = adapter.wait_with_output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    let code = output.status.code().unwrap();
    format!("{}{}exit code {code}\n", text(&output.stdout), text(&output.stderr))
}

/// Every message of the protocol, and all responses of the dispatcher.
#[test]
fn responses_to_every_message_stay() {
    let mut lines = start(&settings());
    let mut batch = |wall_ms: f64, messages: &[&str]| {
        lines.push(format!("tick wall_ms={wall_ms}"));
        lines.extend(messages.iter().map(|message| message.to_string()));
        lines.push("eob".into());
        lines.push(String::new());
    };
    batch(
        1001.0,
        &[
            "new_request dispatcher_id=3 req=r-1 estimate_ms=12.0 due_ms=5000 owner=0 source_set=11 ram_mb=384 category=0 is_retry=1",
            "new_request dispatcher_id=3 req=r-2 estimate_ms=900 due_ms=5000 owner=1 ram_mb=64 category=1 relation=t",
            "new_request dispatcher_id=3 req=r-3 estimate_ms=900 due_ms=5000 owner=1 ram_mb=64 category=1 relation=t",
        ],
    );
    batch(
        1010.0,
        &[
            "progress dispatcher_id=3 req=r-1 amount=0.5 send_no=0 sort=1 node=51",
            "progress dispatcher_id=3 req=r-1 amount=64 send_no=0 sort=2 node=51",
            "progress dispatcher_id=3 req=r-1 amount=1 send_no=0 sort=3 node=51",
            "progress dispatcher_id=3 req=r-1 amount=2 send_no=0 sort=3 node=51",
            "progress dispatcher_id=3 req=r-1 amount=2 send_no=0 sort=9 node=51",
            "sampled dispatcher_id=3 time_taken_ms=1.4 verdict=200 node=51 load=7,0,0.62,0.1,9",
            "whisper dispatcher_id=3 src=2 msg=68692037",
            "timer dispatcher_id=3 handle=0",
        ],
    );
    for (number, verdict) in [502, 429, 408, 521, 520, 444, 409, 200].iter().enumerate() {
        for node in [51, 74] {
            let reply = format!(
                "reply dispatcher_id=3 req=r-1 no_more=1 used_up=69728 node={node} verdict={verdict} \
                 time_taken_ms=18.5 send_no={number} load=7,0,0.62,0.1,9"
            );
            batch(1020.0 + 40.0 * number as f64, &[&reply, "timer dispatcher_id=3 handle=0"]);
        }
    }
    batch(1500.0, &["streaming dispatcher_id=3 req=r-2 time_taken_ms=1 send_no=0 node=74"]);
    for step in 0..50 {
        batch(1600.0 + 100.0 * f64::from(step), &["timer dispatcher_id=3 handle=0"]);
    }
    batch(6700.0, &["client_gone dispatcher_id=3 req=r-3"]);
    batch(
        6800.0,
        &[
            "define_list bank=2 members_list=1",
            "item node=51 readiness=L",
            "discovery dispatcher_id=3 bank=2 kind=delta epoch=42",
            "discovery dispatcher_id=3 bank=0 kind=failed epoch=42",
            "define_list bank=4 members_list=0",
            "discovery dispatcher_id=3 bank=4 kind=full epoch=43",
            "new_request dispatcher_id=3 req=r-4 estimate_ms=12 due_ms=6900 category=0",
            "timer dispatcher_id=3 handle=0",
        ],
    );
    batch(7000.0, &["timer dispatcher_id=3 handle=0"]);
    batch(7100.0, &["shutdown dispatcher_id=3"]);
    golden::assert_matches("simulator_replies.txt", &run(&lines));
}

/// Malformed lines. Each is sent in a batch of its own after a valid one.
const MALFORMED: [&str; 40] = [
    "nonsense dispatcher_id=3",
    " dispatcher_id=3",
    "timer handle=1",
    "timer dispatcher_id=4 handle=1",
    "timer dispatcher_id=-1 handle=1",
    "timer dispatcher_id=3 handle=x",
    "timer dispatcher_id=3 handle",
    "timer dispatcher_id=3 =1",
    "timer dispatcher_id=3  handle=1",
    "tick wall_ms=2000",
    "new_request dispatcher_id=3 req=r due_ms=nan category=0",
    "new_request dispatcher_id=3 req=r due_ms=9 category=5",
    "new_request dispatcher_id=3 req= due_ms=9 category=0",
    "new_request dispatcher_id=3 req=r category=0",
    "new_request dispatcher_id=3 req=r due_ms=9 category=0 estimate_ms=x",
    "new_request dispatcher_id=3 req=r due_ms=9 category=0 owner=-1",
    "new_request dispatcher_id=3 req=r due_ms=9 category=0 ram_mb=inf",
    "new_request dispatcher_id=3 req=r due_ms=9 category=0 source_set=x",
    "discovery dispatcher_id=3 bank=7 kind=full epoch=1",
    "discovery dispatcher_id=3 bank=2 kind=other epoch=1",
    "discovery dispatcher_id=3 bank=2 epoch=1",
    "discovery dispatcher_id=3 kind=full",
    "define_list bank=x members_list=1",
    "define_list bank=2",
    "item node=3 readiness=U",
    "sampled dispatcher_id=3 verdict=999 node=51",
    "sampled dispatcher_id=3 verdict=200 node=4294967296",
    "sampled dispatcher_id=3 verdict=200 node=51 load=7,x",
    "streaming dispatcher_id=3 req=r",
    "streaming dispatcher_id=3 send_no=0",
    "reply dispatcher_id=3 req=r send_no=0 node=51 verdict=200 no_more=2 time_taken_ms=1",
    "reply dispatcher_id=3 req=r send_no=0 node=51 verdict=200 no_more=1",
    "reply dispatcher_id=3 req=r send_no=0 node=51 verdict=200 time_taken_ms=1 used_up=x",
    "progress dispatcher_id=3 req=r send_no=0",
    "progress dispatcher_id=3 req=r send_no=0 sort=1 amount=x",
    "client_gone dispatcher_id=3",
    "provision dispatcher_id=5 profile_data={}",
    "provision dispatcher_id=5 salt=1",
    "provision dispatcher_id=5 salt=1 profile_data={",
    "provision dispatcher_id=5 salt=1 profile_data={}",
];

#[test]
fn responses_to_malformed_lines_stay() {
    let mut recorded = String::new();
    for line in MALFORMED {
        let mut lines = start(&settings());
        lines.extend(["tick wall_ms=1001".into(), line.into(), "eob".into()]);
        recorded += &format!("> {line}\n{}", run(&lines));
    }
    let malformed_batches: [&[&str]; 7] = [
        &["eob"],
        &["timer dispatcher_id=3 handle=1"],
        &["tick"],
        &["tick wall_ms=x"],
        &["tick wall_ms=1"],
        &["tick wall_ms=1", "define_list bank=2 members_list=1", "eob"],
        &["tick wall_ms=1", "define_list bank=2 members_list=1", "item node=1 readiness=X"],
    ];
    for lines in malformed_batches {
        let lines: Vec<String> = lines.iter().map(|line| line.to_string()).collect();
        recorded += &format!("> {}\n{}", lines.join("\n> "), run(&lines));
    }
    golden::assert_matches("simulator_malformed_lines.txt", &recorded);
}

/// Each number in the settings is replaced by a text and by a negative number.
#[test]
fn responses_to_bad_settings_stay() {
    let mut recorded = String::new();
    for pointer in number_pointers(&settings(), "") {
        for bad in [json!("x"), json!(-1)] {
            let mut changed = settings();
            *changed.pointer_mut(&pointer).unwrap() = bad.clone();
            recorded += &format!("> {pointer} = {bad}\n{}", run(&start(&changed)));
        }
    }
    golden::assert_matches("simulator_bad_settings.txt", &recorded);
}

/// JSON pointers to all numbers in a value.
fn number_pointers(value: &Value, path: &str) -> Vec<String> {
    match value {
        Value::Number(_) => vec![path.to_owned()],
        Value::Object(fields) => {
            fields.iter().flat_map(|(key, field)| number_pointers(field, &format!("{path}/{key}"))).collect()
        }
        Value::Array(entries) => entries
            .iter()
            .enumerate()
            .flat_map(|(index, entry)| number_pointers(entry, &format!("{path}/{index}")))
            .collect(),
        _ => Vec::new(),
    }
}
