//! The cost of versioned configuration: `cargo bench --bench configuration`. Prints figures and asserts none;
//! notable ones are recorded in docs/versioned-configuration.md, as ratios within one run.
#![allow(clippy::unwrap_used, reason = "a benchmark that fails may panic")]

#[path = "../tests/common/control.rs"]
mod control;
#[path = "../tests/common/proxy.rs"]
mod proxy;
#[path = "../tests/common/subscriber.rs"]
mod subscriber;

use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use control::{ControlServer, RespondingEngine, wait_until};
use proxy::{Launch, Proxy, query};
use subscriber::{median_and_max, subscribe, subscribers};

/// The resident memory of a process, in KB.
fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// A document with a hundred routes.
fn document(max_open: u64) -> String {
    let route = |number: u64| {
        format!(
            "routes {{ name: \"r{number}\" classes: \"lookup\" tenants: \"t{number}\" targets {{ zone: \"dc\" weight: 2 }} }}\n"
        )
    };
    (0..100).map(route).collect::<String>() + &format!("limits {{ max_open: {max_open} }}")
}

/// Measures the time from a publication to its acknowledgement by this many scripted subscribers, and memory
/// and bytes for each subscriber.
fn publish_to_subscribers(count: usize) {
    let control = ControlServer::start();
    let empty = resident_kb(control.process_id());
    let received = subscribers(control.listen, count);
    let filled = resident_kb(control.process_id());
    let (mut spans, mut first, mut later) = (Vec::new(), 0, 0);
    for round in 1..=10u64 {
        let file = control.write_file("d", &document(round));
        let began = Instant::now();
        assert_eq!(control.run(&["publish", &file]).0, 0);
        let events: Vec<(u64, Instant, usize)> = (0..count).map(|_| received.recv().unwrap()).collect();
        spans.extend(events.iter().map(|(_, at, _)| (*at - began).as_secs_f64() * 1e3));
        let bytes = events.iter().map(|(.., bytes)| bytes).sum::<usize>() / count;
        if round == 1 { first = bytes } else { later = bytes }
    }
    let (middle, worst) = median_and_max(spans);
    println!(
        "{count:>4} subscribers: publish to acknowledged {middle:.1} ms median, {worst:.1} ms worst; {} KB at the service \
         for each; {first} bytes for a first version of 100 routes, {later} for a change of one limit",
        (filled.saturating_sub(empty)) / count as u64
    );
}

/// Measures how long 300 subscribers take to reconnect at once, with the backoff of proxies, and to receive
/// the newest version.
fn reconnect_storm() {
    let control = ControlServer::start();
    control.publish(&document(1), &[]);
    let (events, received) = channel();
    let began = Instant::now();
    for number in 0..300u64 {
        let (events, address) = (events.clone(), control.listen);
        let run = move || {
            let delay = gaugestep_control_plane::transport::backoff::Backoff::new(number)
                .next_delay(Duration::from_secs(60));
            std::thread::sleep(delay);
            let _ = subscribe(address, format!("n{number}"), &events);
        };
        std::thread::Builder::new().stack_size(64 * 1024).spawn(run).unwrap();
    }
    let mut up_to_date = 0;
    while up_to_date < 300 {
        up_to_date += u64::from(received.recv().unwrap().0 == 1);
    }
    println!(
        "storm: 300 subscribers are back and have the newest version {:.0} ms after they lost it",
        began.elapsed().as_secs_f64() * 1e3
    );
}

/// Measures the time from a publication until the version is in force and stored at this many real proxies.
fn publish_to_proxies(count: usize) {
    let control = ControlServer::start();
    let folder = tempfile::tempdir().unwrap();
    let start_proxy = |number: usize| {
        let operator = Some(control.write_operator_file(&folder.path().join(format!("n{number}"))));
        let name = format!(r#""name":"p{number}""#);
        Launch { operator, edit_config: &|text| text.replace(r#""name":"n0""#, &name), ..Launch::new(&[]) }
            .start()
    };
    let proxies: Vec<Proxy> = (0..count).map(start_proxy).collect();
    let in_force_at = |number: u64| {
        let status = control.run_json(&["status"]);
        status["proxies"].as_array().unwrap().iter().filter(|proxy| proxy["in_force"] == number).count()
    };
    wait_until("all proxies are connected", || {
        control.run_json(&["status"])["proxies"].as_array().unwrap().len() == count
    });
    let mut spans = Vec::new();
    for round in 1..=5u64 {
        let began = Instant::now();
        let number = control.publish(&format!("limits {{ max_open: {} }}", 50 + round), &[]);
        while in_force_at(number) < count {}
        spans.push(began.elapsed().as_secs_f64() * 1e3);
    }
    let (middle, worst) = median_and_max(spans);
    println!(
        "{count:>4} real proxies: publish to in force and synced at all {middle:.1} ms median, {worst:.1} ms worst"
    );
    drop(proxies);
}

/// Measures the time from the start of a killed proxy and of a killed control server until they serve.
fn recovery() {
    let (mut control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.write_operator_file(&folder.path().join("n0")));
    let mut proxy = Launch { operator, ..Launch::new(&[]) }.start();
    let number = control.publish("limits { max_open: 7 }", &[]);
    wait_until("the version is in force", || proxy.statistic("/configuration/version") == Some(number));
    proxy.kill();
    control.kill();
    let began = Instant::now();
    proxy.restart();
    assert_eq!(proxy.statistic("/configuration/version"), Some(number));
    println!(
        "recovery: a killed proxy serves on its last good version {:.0} ms after its start",
        began.elapsed().as_secs_f64() * 1e3
    );
    let began = Instant::now();
    control.restart();
    println!(
        "recovery: a killed service answers {:.0} ms after its start",
        began.elapsed().as_secs_f64() * 1e3
    );
}

/// Measures how following a control server affects a proxy that serves: its memory, and the time of a request
/// compared with a proxy that follows none, in turns within one run.
fn follow_while_idle() {
    let control = ControlServer::start();
    let folder = tempfile::tempdir().unwrap();
    let engine = RespondingEngine::new();
    let engines = [&engine.listener];
    let operator = Some(control.write_operator_file(&folder.path().join("n0")));
    let following = Launch { operator, ..Launch::new(&engines) }.start();
    let independent = Launch::new(&engines).start();
    control.publish("limits { max_open: 90 }", &[]);
    wait_until("the version is in force", || following.statistic("/configuration/version") == Some(1));
    let mut spans = [Vec::new(), Vec::new()];
    let mut clients = [following.client(), independent.client()];
    for id in 0..20_000u64 {
        // The second request of a pair finds the engine's thread running, so the order alternates.
        for turn in 0..2 {
            let index = (turn + id as usize) % 2;
            let began = Instant::now();
            assert_eq!(clients[index].request(&query("lookup", id, 3_000)), "TDC");
            spans[index].push(began.elapsed().as_secs_f64() * 1e6);
        }
    }
    let [with_span, without_span] = spans.map(|all| median_and_max(all).0);
    let kb = |proxy: &Proxy| proxy.status("VmRSS:").trim_end_matches(" kB").trim().parse::<u64>().unwrap();
    println!(
        "idle: a request takes {:.3} times as long (median {with_span:.0} and {without_span:.0} us); memory {} and {} KB",
        with_span / without_span,
        kb(&following),
        kb(&independent)
    );
}

fn main() {
    for count in [1, 30, 300] {
        publish_to_subscribers(count);
    }
    for count in [1, 30] {
        publish_to_proxies(count);
    }
    reconnect_storm();
    recovery();
    follow_while_idle();
}
