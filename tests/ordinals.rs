//! Seats of the fleet, with processes of the program and faults between them: whoever dies, stops, wakes up late or is cut
//! off, no two processes are at one seat, and all come back to one each.

#[path = "common/group.rs"]
mod group;
#[path = "common/proxy.rs"]
mod proxy;

use std::collections::BTreeSet;

use gaugestep_config::schema::{HandOver, Plan, call};
use gaugestep_leadership::ORDINALS_ROLE;
use gaugestep_testbed::faults::Schedule;
use gaugestep_testbed::fleet_audit::{OrdinalConflict, OrdinalGrant, ordinal_conflicts};
use gaugestep_testbed::network::{Link, LinkFault};
use group::{Group, wait};
use oorandom::Rand64;
use proxy::Proxy;

/// A group of services that keeps a roster, and has proxies log each confirmation.
fn group(services: u64) -> Group {
    let group = Group::start(services);
    group.until_done(call::What::Declare(ORDINALS_ROLE.into()));
    let logging = "logging { level: INFO parts { name: \"gaugestep_control::follow\" level: DEBUG } }";
    group.published(logging, "logging", Plan::default());
    group
}

fn seat(proxy: &Proxy) -> Option<u64> {
    proxy.figure("/configuration/seat/seat")
}

fn start(group: &Group, names: &[String]) -> Vec<Proxy> {
    names.iter().enumerate().map(|(at, name)| group.proxy(name, at)).collect()
}

fn names(from: usize, to: usize) -> Vec<String> {
    (from..to).map(|at| format!("n{at}")).collect()
}

/// Confirmations that the logs of these processes hold, by folder.
fn grants(group: &Group, folders: &[String]) -> Vec<OrdinalGrant> {
    let mut out = Vec::new();
    for folder in folders {
        // A process that was started anew under the same name is another one: its first line says so.
        let mut starts = 0;
        for line in group.lines(folder) {
            let number = |key: &str| line[key].as_u64().unwrap_or(0);
            match line["message"].as_str() {
                Some("serving") => starts += 1,
                Some("ordinal confirmed") => out.push(OrdinalGrant {
                    process: format!("{folder}/{starts}"),
                    ordinal: number("ordinal"),
                    fleet_size: number("fleet_size"),
                    epoch: number("epoch"),
                    from: line["at"].as_f64().unwrap_or(0.0),
                    until: line["until"].as_f64().unwrap_or(0.0),
                }),
                _ => {}
            }
        }
    }
    out
}

/// Two processes at one seat. A process that was killed and its successor under the same name are not two: it is gone.
fn conflicts(group: &Group, folders: &[String]) -> Vec<OrdinalConflict> {
    let name = |process: &str| process.split('/').next().unwrap_or_default().to_owned();
    let mut found = ordinal_conflicts(&grants(group, folders));
    found.retain(|one| name(&one.processes[0]) != name(&one.processes[1]));
    found
}

#[test]
fn ordinals_stay_unique_while_proxies_are_killed_or_suspended_and_the_roster_manager_changes() {
    let mut group = group(3);
    let mut known = names(0, 12);
    let mut proxies = start(&group, &known);
    group.seated(&proxies.iter().collect::<Vec<_>>(), 12);
    // A restart keeps the seat.
    let before = seat(&proxies[5]);
    proxies[5].kill();
    proxies[5].restart();
    wait("it has a seat again", || seat(&proxies[5]).is_some());
    assert_eq!(seat(&proxies[5]), before);
    // A third at one moment, two stopped, and the keeper with them.
    for killed in [0, 3, 6, 9] {
        proxies[killed].kill();
    }
    for stopped in [1, 2] {
        proxies[stopped].pause();
    }
    let keeper = |group: &Group, but: u64| {
        let asked = group.nodes.iter().filter(|node| node.number != but && node.runs());
        let told = asked.flat_map(|node| node.duties()).filter(|it| it.name == ORDINALS_ROLE);
        told.max_by_key(|it| it.term).map_or((0, 0), |it| (it.owner, it.term))
    };
    let (old, old_term) = keeper(&group, 0);
    group.node_mut(old).stop();
    wait("another one keeps the roster", || {
        let (owner, term) = keeper(&group, old);
        owner != old && owner > 0 && term > old_term
    });
    // Newcomers have the seats of those that are gone, once these have rested.
    known.extend(names(12, 15));
    proxies.extend(start(&group, &known[12..]));
    let left: Vec<usize> = vec![4, 5, 7, 8, 10, 11, 12, 13, 14];
    let here: Vec<&Proxy> = left.iter().map(|at| &proxies[*at]).collect();
    group.seated(&here, 9);
    group.node_mut(old).go_on();
    // They wake up and believe to have seats that are others' by now.
    for stopped in [1, 2] {
        proxies[stopped].go_on();
    }
    let all: Vec<&Proxy> = here.into_iter().chain([&proxies[1], &proxies[2]]).collect();
    group.seated(&all, 11);
    let terms: Vec<u64> = all.iter().filter_map(|it| it.figure("/configuration/seat/term")).collect();
    assert!(terms.iter().all(|term| *term > old_term), "{terms:?}, {old_term} before");
    assert_eq!(conflicts(&group, &known), []);
}

#[test]
fn a_disconnected_proxy_keeps_its_ordinal_for_a_while_falls_back_to_its_name_and_regains_it() {
    let group = group(3);
    let known = names(0, 4);
    let proxies = start(&group, &known);
    group.seated(&proxies.iter().collect::<Vec<_>>(), 4);
    let before = seat(&proxies[0]);
    // What it says does not arrive, what it is told does.
    for node in &group.nodes {
        group.net.set("n0", &node.name(), Link { forward: LinkFault::Stalled, ..Link::default() });
    }
    wait("it goes by its name", || seat(&proxies[0]).is_none());
    wait("it says so", || group.lines("n0").iter().any(|line| line["message"] == "ordinal lost"));
    // All services gone: the others go on for a while, then by their names, and serve all the same.
    let mut group = group;
    group.nodes.iter_mut().for_each(|node| node.stop());
    wait("nobody has a seat", || proxies.iter().all(|proxy| seat(proxy).is_none()));
    assert!(proxies.iter().all(|proxy| proxy.client().ask("") == "I"));
    group.nodes.iter_mut().for_each(|node| node.go_on());
    group.net.heal_all();
    group.seated(&proxies.iter().collect::<Vec<_>>(), 4);
    assert!(before.is_some());
    assert_eq!(conflicts(&group, &known), []);
}

/// The proxy's own check taken out: one that wakes up late goes on at a seat that is another's by then, and the audit finds it.
#[test]
fn without_the_proxys_own_check_one_that_resumes_late_duplicates_an_ordinal_and_the_audit_finds_it() {
    let group = group(1);
    let mut known = names(0, 3);
    let careless = group.proxy_without("seat", "n0", "n0", 0);
    let other = group.proxy("n1", 0);
    group.seated(&[&careless, &other], 2);
    careless.pause();
    let late = group.proxy("n2", 0);
    wait("the newcomer has a seat for good", || seat(&late).is_some() && group.nodes[0].seats().len() == 2);
    careless.go_on();
    known.truncate(3);
    wait("the audit finds it", || {
        conflicts(&group, &known).iter().any(|one| one.processes[0].starts_with("n0/"))
    });
}

/// Faults of services and proxies from a seed: `GAUGESTEP_SEED` names one to replay.
#[test]
fn seeded_fault_schedules_leave_ordinals_unique_and_every_proxy_with_one() {
    let told = std::env::var("GAUGESTEP_SEED").ok().and_then(|seed| seed.parse().ok());
    let seed: u64 = told.unwrap_or(11);
    eprintln!("seed {seed}");
    let mut group = group(3);
    let known = names(0, 10);
    let mut proxies = start(&group, &known);
    let mut random = Rand64::new(u128::from(seed));
    let mut stopped: BTreeSet<usize> = BTreeSet::new();
    for round in 0..6 {
        let schedule = Schedule::draw(seed * 100 + round, 3, 10, 3);
        for _ in 0..3 {
            let one = random.rand_range(0..10) as usize;
            match random.rand_range(0..3) {
                0 if !stopped.contains(&one) => {
                    proxies[one].kill();
                    proxies[one].restart();
                }
                1 if stopped.insert(one) => proxies[one].pause(),
                _ if stopped.remove(&one) => proxies[one].go_on(),
                _ => {}
            }
        }
        group.play(&schedule, &known);
        let _ = group.call(call::What::HandOver(HandOver { duty: ORDINALS_ROLE.into(), to: 0 }));
    }
    stopped.iter().for_each(|one| proxies[*one].go_on());
    group.seated(&proxies.iter().collect::<Vec<_>>(), 10);
    assert_eq!(conflicts(&group, &known), [], "seed {seed}");
    assert!(group.nodes.iter_mut().all(|node| !node.has_ended()), "no process ends by itself");
}
