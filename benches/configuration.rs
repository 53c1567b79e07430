//! What versioned configuration costs: `cargo bench --bench configuration`. Prints figures and asserts none; those of note are
//! kept in docs/versioned-configuration.md, as ratios within one run.
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

/// A figure of a process as the system tells it, in KB.
fn resident(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// A document of some size: a hundred routes.
fn document(open: u64) -> String {
    let route = |at: u64| {
        format!(
            "routes {{ name: \"r{at}\" classes: \"lookup\" tenants: \"t{at}\" targets {{ zone: \"dc\" weight: 2 }} }}\n"
        )
    };
    (0..100).map(route).collect::<String>() + &format!("limits {{ max_open: {open} }}")
}

fn published(count: usize) {
    let control = ControlServer::start();
    let empty = resident(control.process_id());
    let heard = subscribers(control.listen, count);
    let filled = resident(control.process_id());
    let (mut spans, mut first, mut later) = (Vec::new(), 0, 0);
    for round in 1..=10u64 {
        let file = control.write_file("d", &document(round));
        let began = Instant::now();
        assert_eq!(control.run(&["publish", &file]).0, 0);
        let ends: Vec<(u64, Instant, usize)> = (0..count).map(|_| heard.recv().unwrap()).collect();
        spans.extend(ends.iter().map(|(_, at, _)| (*at - began).as_secs_f64() * 1e3));
        let bytes = ends.iter().map(|(.., bytes)| bytes).sum::<usize>() / count;
        if round == 1 { first = bytes } else { later = bytes }
    }
    let (middle, worst) = median_and_max(spans);
    println!(
        "{count:>4} subscribers: publish to acknowledged {middle:.1} ms median, {worst:.1} ms worst; {} KB at the service \
         for each; {first} bytes for a first version of 100 routes, {later} for a change of one limit",
        (filled.saturating_sub(empty)) / count as u64
    );
}

/// All subscribers lose the service at one moment and come back by the waits that proxies draw.
fn storm() {
    let control = ControlServer::start();
    control.publish(&document(1), &[]);
    let (events, heard) = channel();
    let began = Instant::now();
    for number in 0..300u64 {
        let (events, service) = (events.clone(), control.listen);
        let run = move || {
            let wait = gaugestep_control_plane::transport::backoff::Backoff::new(number)
                .next_delay(Duration::from_secs(60));
            std::thread::sleep(wait);
            let _ = subscribe(service, format!("n{number}"), &events);
        };
        std::thread::Builder::new().stack_size(64 * 1024).spawn(run).unwrap();
    }
    let mut have = 0;
    while have < 300 {
        have += u64::from(heard.recv().unwrap().0 == 1);
    }
    println!(
        "storm: 300 subscribers are back and have the newest version {:.0} ms after they lost it",
        began.elapsed().as_secs_f64() * 1e3
    );
}

fn real(count: usize) {
    let control = ControlServer::start();
    let kept = tempfile::tempdir().unwrap();
    let named = |number: usize| {
        let operator = Some(control.write_operator_file(&kept.path().join(format!("n{number}"))));
        let name = format!(r#""name":"p{number}""#);
        Launch { operator, edit_config: &|text| text.replace(r#""name":"n0""#, &name), ..Launch::new(&[]) }
            .start()
    };
    let proxies: Vec<Proxy> = (0..count).map(named).collect();
    let have = |number: u64| {
        let status = control.run_json(&["status"]);
        status["proxies"].as_array().unwrap().iter().filter(|it| it["in_force"] == number).count()
    };
    wait_until("all are here", || {
        control.run_json(&["status"])["proxies"].as_array().unwrap().len() == count
    });
    let mut spans = Vec::new();
    for round in 1..=5u64 {
        let began = Instant::now();
        let number = control.publish(&format!("limits {{ max_open: {} }}", 50 + round), &[]);
        while have(number) < count {}
        spans.push(began.elapsed().as_secs_f64() * 1e3);
    }
    let (middle, worst) = median_and_max(spans);
    println!(
        "{count:>4} real proxies: publish to in force and synced at all {middle:.1} ms median, {worst:.1} ms worst"
    );
    drop(proxies);
}

fn recovery() {
    let (mut control, kept) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.write_operator_file(&kept.path().join("n0")));
    let mut proxy = Launch { operator, ..Launch::new(&[]) }.start();
    let number = control.publish("limits { max_open: 7 }", &[]);
    wait_until("in force", || proxy.statistic("/configuration/version") == Some(number));
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

/// What following adds to a proxy that serves: its memory, and the time of a request, in turns within one run.
fn idle() {
    let control = ControlServer::start();
    let kept = tempfile::tempdir().unwrap();
    let engine = RespondingEngine::new();
    let engines = [&engine.listener];
    let operator = Some(control.write_operator_file(&kept.path().join("n0")));
    let with = Launch { operator, ..Launch::new(&engines) }.start();
    let without = Launch::new(&engines).start();
    control.publish("limits { max_open: 90 }", &[]);
    wait_until("in force", || with.statistic("/configuration/version") == Some(1));
    let mut spans = [Vec::new(), Vec::new()];
    let mut clients = [with.client(), without.client()];
    for id in 0..20_000u64 {
        // Whoever comes second finds the engine's thread warm: in turns.
        for turn in 0..2 {
            let which = (turn + id as usize) % 2;
            let began = Instant::now();
            assert_eq!(clients[which].request(&query("lookup", id, 3_000)), "TDC");
            spans[which].push(began.elapsed().as_secs_f64() * 1e6);
        }
    }
    let [with_span, without_span] = spans.map(|all| median_and_max(all).0);
    let kb = |proxy: &Proxy| proxy.status("VmRSS:").trim_end_matches(" kB").trim().parse::<u64>().unwrap();
    println!(
        "idle: a request takes {:.3} times as long (median {with_span:.0} and {without_span:.0} us); memory {} and {} KB",
        with_span / without_span,
        kb(&with),
        kb(&without)
    );
}

fn main() {
    for count in [1, 30, 300] {
        published(count);
    }
    for count in [1, 30] {
        real(count);
    }
    storm();
    recovery();
    idle();
}
