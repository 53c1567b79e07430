//! What leadership costs: `cargo bench --bench leadership`. Prints figures and asserts none; those of note are kept in
//! docs/leadership.md, as ratios within one run. `GAUGESTEP_ROUNDS` sets how often a lease holder is lost (50). If
//! `GAUGESTEP_EARLIER` names a control service of an earlier build, it is measured in the same run.
#![allow(clippy::unwrap_used, reason = "a benchmark that fails may panic")]

#[path = "../tests/common/group.rs"]
mod group;
#[path = "../tests/common/proxy.rs"]
mod proxy;
#[path = "../tests/common/subscriber.rs"]
mod subscriber;

use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use gaugestep_config::schema::{List, Publish, Status, call};
use gaugestep_config::text;
use gaugestep_control_plane::cli::admin_client::{AdminClient, Delivery};
use gaugestep_testbed::process::Process;
use group::{Group, wait_until};
use subscriber::{median_and_max, subscribers};

/// How long no service leads once the leader is lost.
fn lost(kind: &str, rounds: usize) {
    let mut group = Group::start(3);
    let mut spans = Vec::new();
    for _ in 0..rounds {
        wait_until("all are there", || {
            group.members.iter().all(|member| group.known_members(member.number).len() == 3)
        });
        let (old, _) = group.lease_holder();
        let beside = group.admin_client(&group.numbers_except(old));
        let began = Instant::now();
        match kind {
            "kill" => group.member_mut(old).kill(),
            "stop" => group.member_mut(old).suspend(),
            _ => group.isolate(old),
        }
        // Whoever answers drives versions; the one that is lost may still be named for a while, and is not reached.
        while beside.call(&call::What::Status(Status {}), Delivery::AtLeastOnce).is_err()
            || group.has_no_successor(old)
        {}
        spans.push(began.elapsed().as_secs_f64() * 1e3);
        match kind {
            "kill" => group.member_mut(old).start(),
            "stop" => group.member_mut(old).resume(),
            _ => group.network.heal_all(),
        }
    }
    let (middle, worst) = median_and_max(spans);
    let lease = gaugestep_leadership::lease::LeaseTiming::default().duration.as_secs_f64() * 1e3;
    println!(
        "{kind}: {rounds} owners lost, nobody owns for {middle:.0} ms median, {worst:.0} ms worst; {:.2} and {:.2} leases",
        middle / lease,
        worst / lease
    );
}

/// Publish to acknowledged by all, in milliseconds; from the moment at which the call is made.
fn published(listen: SocketAddr, operators: SocketAddr, count: usize) -> (f64, f64) {
    let heard = subscribers(listen, count);
    let service = AdminClient { addresses: vec![operators], keys: None };
    let mut spans = Vec::new();
    for round in 0..20u64 {
        let publish = Publish {
            document: Some(text::parse(&format!("limits {{ max_open: {} }}", 10 + round)).unwrap()),
            ..Publish::default()
        };
        let began = Instant::now();
        service.call(&call::What::Publish(publish), Delivery::AtLeastOnce).unwrap();
        let mut last = began;
        let mut have = 0;
        while have < count {
            let (number, at, _) = heard.recv().unwrap();
            if number > 0 {
                (have, last) = (have + 1, last.max(at));
            }
        }
        spans.push((last - began).as_secs_f64() * 1e3);
    }
    median_and_max(spans)
}

fn earlier(count: usize) -> Option<(f64, f64)> {
    let program = std::env::var("GAUGESTEP_EARLIER").ok()?;
    let folder = tempfile::tempdir().unwrap();
    let (listen, operators) = (proxy::free_address(), proxy::free_address());
    let config = folder.path().join("c.textproto");
    let store = folder.path().join("v.redb").display().to_string();
    std::fs::write(&config, format!("listen: \"{listen}\" operators: \"{operators}\" store: {store:?}"))
        .unwrap();
    let mut command = Command::new(program);
    command.args(["serve", "--config"]).arg(&config).stdout(Stdio::null()).stderr(Stdio::null());
    let _process = Process::start(&mut command).unwrap();
    let service = AdminClient { addresses: vec![operators], keys: None };
    wait_until("the earlier build starts", || {
        service.call(&call::What::List(List { most: 1 }), Delivery::AtLeastOnce).is_ok()
    });
    Some(published(listen, operators, count))
}

/// Publish to in force and synced at this many proxies of the real program, in milliseconds.
fn real(group: &Group, count: usize) {
    let proxies: Vec<proxy::Proxy> = (0..count).map(|at| group.start_proxy(&format!("n{at}"), at)).collect();
    let have = |number: u64| {
        let answer = group.status().map(|fleet| fleet.proxies).unwrap_or_default();
        answer.iter().filter(|it| it.connected && it.in_force == number).count()
    };
    wait_until("all are here", || {
        group.status().is_some_and(|it| it.proxies.iter().filter(|it| it.connected).count() == count)
    });
    let mut spans = Vec::new();
    for round in 0..10 {
        let began = Instant::now();
        let number = group.publish_until_acknowledged(
            &format!("limits {{ max_open: {} }}", 50 + round),
            "",
            Default::default(),
        );
        while have(number) < count {}
        spans.push(began.elapsed().as_secs_f64() * 1e3);
    }
    let (middle, worst) = median_and_max(spans);
    println!(
        "{} services, {count:>3} real proxies: publish to in force and synced at all {middle:.1} ms median, {worst:.1} ms worst",
        group.members.len()
    );
    drop(proxies);
}

/// Processor time of a process so far, in milliseconds.
fn cpu(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) * 10.0
}

/// What a group costs that does nothing, with this many roles.
fn idle(group: &Group, duties: usize) {
    let have = group.members[0].roles().len();
    for at in have..duties {
        group.call_until_accepted(call::What::Declare(format!("duty-{at}")));
    }
    wait_until("all have holders", || group.members[0].roles().iter().all(|duty| duty.owner > 0));
    std::thread::sleep(Duration::from_secs(3));
    let span = 10.0;
    let spent = || group.members.iter().map(|member| cpu(member.process.as_ref().unwrap().id())).sum::<f64>();
    let (before, earlier) = (spent(), group.network.traffic());
    std::thread::sleep(Duration::from_secs_f64(span));
    println!(
        "idle, {duties:>5} duties on 3 services: {:.2} ms of processor a second for each; over all links {:.0} messages and {:.0} \
         bytes a second",
        (spent() - before) / span / 3.0,
        (group.network.traffic().pieces - earlier.pieces) as f64 / span,
        (group.network.traffic().bytes - earlier.bytes) as f64 / span
    );
}

/// What following a group costs a proxy while nothing changes.
fn proxies(group: &Group) {
    let proxy = group.start_proxy("n0", 0);
    wait_until("it follows", || proxy.statistics().pointer("/configuration/connected") == Some(&true.into()));
    let state = group.folder.path().join("proxy-n0");
    let written = || {
        let times = walk(&state);
        times.into_iter().max()
    };
    let before = written();
    std::thread::sleep(Duration::from_secs(10));
    println!(
        "a proxy: memory {}, files written in 10 s while nothing changes: {}",
        proxy.status("VmRSS:"),
        if written() == before { "none" } else { "some" }
    );
}

fn walk(folder: &std::path::Path) -> Vec<std::time::SystemTime> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    entries
        .flat_map(|entry| match entry.path().is_dir() {
            true => walk(&entry.path()),
            false => vec![entry.metadata().unwrap().modified().unwrap()],
        })
        .collect()
}

fn main() {
    let rounds =
        std::env::var("GAUGESTEP_ROUNDS").ok().and_then(|configured| configured.parse().ok()).unwrap_or(50);
    for count in [1, 30, 300] {
        let before = earlier(count);
        for services in [1, 3, 5] {
            let group = Group::start(services);
            let (holder, _) = group.lease_holder();
            let member = group.member(holder);
            let (middle, worst) = published(member.listen, member.operators, count);
            let ratio = before.map_or(String::new(), |before| {
                format!("; {:.2} and {:.2} times the earlier build's", middle / before.0, worst / before.1)
            });
            println!(
                "{services} services, {count:>3} subscribers: publish to acknowledged {middle:.1} ms median, {worst:.1} ms \
                 worst{ratio}"
            );
        }
    }
    for services in [1, 3, 5] {
        for count in [1, 30] {
            real(&Group::start(services), count);
        }
    }
    let group = Group::start(3);
    for duties in [1, 100, 1_000] {
        idle(&group, duties);
    }
    proxies(&group);
    drop(group);
    std::thread::scope(|scope| {
        for kind in ["kill", "stop", "cut"] {
            scope.spawn(move || lost(kind, rounds));
        }
    });
}
