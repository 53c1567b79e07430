//! The cost of leadership: `cargo bench --bench leadership`. Prints figures and asserts none; notable ones
//! are recorded in docs/leadership.md, as ratios within one run. `GAUGESTEP_ROUNDS` sets how often a lease
//! holder is lost (50). If `GAUGESTEP_EARLIER` names the control server program of an earlier build, it is
//! measured in the same run.
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

/// Measures the time from the loss of the lease holder until another member holds the lease. `kind` is
/// "kill", "stop" (suspended) or "cut" (isolated).
fn lose_lease_holder(kind: &str, rounds: usize) {
    let mut group = Group::start(3);
    let mut spans = Vec::new();
    for _ in 0..rounds {
        wait_until("every member has received messages from all", || {
            group.members.iter().all(|member| group.known_members(member.number).len() == 3)
        });
        let (old, _) = group.lease_holder();
        let others = group.admin_client(&group.numbers_except(old));
        let began = Instant::now();
        match kind {
            "kill" => group.member_mut(old).kill(),
            "stop" => group.member_mut(old).suspend(),
            _ => group.isolate(old),
        }
        // A member that responds to `status` holds the lease. The other members may still name the lost one
        // for a while, which cannot be reached.
        while others.call(&call::What::Status(Status {}), Delivery::AtLeastOnce).is_err()
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

/// Median and maximum time from the call of a publication until all scripted subscribers have acknowledged
/// it, in milliseconds.
fn publish_to_subscribers(listen: SocketAddr, operators: SocketAddr, count: usize) -> (f64, f64) {
    let received = subscribers(listen, count);
    let client = AdminClient { addresses: vec![operators], tls: None };
    let mut spans = Vec::new();
    for round in 0..20u64 {
        let publish = Publish {
            document: Some(text::parse(&format!("limits {{ max_open: {} }}", 10 + round)).unwrap()),
            ..Publish::default()
        };
        let began = Instant::now();
        client.call(&call::What::Publish(publish), Delivery::AtLeastOnce).unwrap();
        let mut last = began;
        let mut offers = 0;
        while offers < count {
            let (number, at, _) = received.recv().unwrap();
            if number > 0 {
                (offers, last) = (offers + 1, last.max(at));
            }
        }
        spans.push((last - began).as_secs_f64() * 1e3);
    }
    median_and_max(spans)
}

/// Like [`publish_to_subscribers`], with the control server of an earlier build; `None` if no build is named.
fn publish_with_earlier_build(count: usize) -> Option<(f64, f64)> {
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
    let client = AdminClient { addresses: vec![operators], tls: None };
    wait_until("the earlier build starts", || {
        client.call(&call::What::List(List { most: 1 }), Delivery::AtLeastOnce).is_ok()
    });
    Some(publish_to_subscribers(listen, operators, count))
}

/// Measures the time from a publication until the version is in force and stored at this many real proxies.
fn publish_to_proxies(group: &Group, count: usize) {
    let proxies: Vec<proxy::Proxy> =
        (0..count).map(|number| group.start_proxy(&format!("n{number}"), number)).collect();
    let in_force_at = |number: u64| {
        let proxies = group.status().map(|fleet| fleet.proxies).unwrap_or_default();
        proxies.iter().filter(|proxy| proxy.connected && proxy.in_force == number).count()
    };
    wait_until("all proxies are connected", || {
        group
            .status()
            .is_some_and(|fleet| fleet.proxies.iter().filter(|proxy| proxy.connected).count() == count)
    });
    let mut spans = Vec::new();
    for round in 0..10 {
        let began = Instant::now();
        let number = group.publish_until_acknowledged(
            &format!("limits {{ max_open: {} }}", 50 + round),
            "",
            Default::default(),
        );
        while in_force_at(number) < count {}
        spans.push(began.elapsed().as_secs_f64() * 1e3);
    }
    let (middle, worst) = median_and_max(spans);
    println!(
        "{} services, {count:>3} real proxies: publish to in force and synced at all {middle:.1} ms median, {worst:.1} ms worst",
        group.members.len()
    );
    drop(proxies);
}

/// Processor time that a process has used, in milliseconds.
fn processor_time_ms(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) * 10.0
}

/// Measures processor time and traffic of an idle group with this many roles.
fn idle_group(group: &Group, duties: usize) {
    let declared = group.members[0].roles().len();
    for number in declared..duties {
        group.call_until_accepted(call::What::Declare(format!("duty-{number}")));
    }
    wait_until("every role has a lease holder", || {
        group.members[0].roles().iter().all(|role| role.owner > 0)
    });
    std::thread::sleep(Duration::from_secs(3));
    let span = 10.0;
    let used = || {
        group
            .members
            .iter()
            .map(|member| processor_time_ms(member.process.as_ref().unwrap().id()))
            .sum::<f64>()
    };
    let (before, earlier) = (used(), group.network.traffic());
    std::thread::sleep(Duration::from_secs_f64(span));
    println!(
        "idle, {duties:>5} duties on 3 services: {:.2} ms of processor a second for each; over all links {:.0} messages and {:.0} \
         bytes a second",
        (used() - before) / span / 3.0,
        (group.network.traffic().chunks - earlier.chunks) as f64 / span,
        (group.network.traffic().bytes - earlier.bytes) as f64 / span
    );
}

/// Measures the memory of an idle proxy that follows a group, and whether it writes files.
fn idle_proxy(group: &Group) {
    let proxy = group.start_proxy("n0", 0);
    wait_until("the proxy follows", || {
        proxy.statistics().pointer("/configuration/connected") == Some(&true.into())
    });
    let state = group.folder.path().join("proxy-n0");
    let last_write = || {
        let times = modification_times(&state);
        times.into_iter().max()
    };
    let before = last_write();
    std::thread::sleep(Duration::from_secs(10));
    println!(
        "a proxy: memory {}, files written in 10 s while nothing changes: {}",
        proxy.status("VmRSS:"),
        if last_write() == before { "none" } else { "some" }
    );
}

/// Modification times of all files in a folder and its subfolders.
fn modification_times(folder: &std::path::Path) -> Vec<std::time::SystemTime> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    entries
        .flat_map(|entry| match entry.path().is_dir() {
            true => modification_times(&entry.path()),
            false => vec![entry.metadata().unwrap().modified().unwrap()],
        })
        .collect()
}

fn main() {
    let rounds =
        std::env::var("GAUGESTEP_ROUNDS").ok().and_then(|configured| configured.parse().ok()).unwrap_or(50);
    for count in [1, 30, 300] {
        let before = publish_with_earlier_build(count);
        for members in [1, 3, 5] {
            let group = Group::start(members);
            let (holder, _) = group.lease_holder();
            let member = group.member(holder);
            let (middle, worst) = publish_to_subscribers(member.listen, member.operators, count);
            let ratio = before.map_or(String::new(), |before| {
                format!("; {:.2} and {:.2} times the earlier build's", middle / before.0, worst / before.1)
            });
            println!(
                "{members} services, {count:>3} subscribers: publish to acknowledged {middle:.1} ms median, {worst:.1} ms \
                 worst{ratio}"
            );
        }
    }
    for members in [1, 3, 5] {
        for count in [1, 30] {
            publish_to_proxies(&Group::start(members), count);
        }
    }
    let group = Group::start(3);
    for duties in [1, 100, 1_000] {
        idle_group(&group, duties);
    }
    idle_proxy(&group);
    drop(group);
    std::thread::scope(|scope| {
        for kind in ["kill", "stop", "cut"] {
            scope.spawn(move || lose_lease_holder(kind, rounds));
        }
    });
}
