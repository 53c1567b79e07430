//! Ordinals of the fleet, with processes of the program and faults between them: whether proxies die, are suspended, resume
//! late or are cut off, no two have one ordinal, and all regain one each.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

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
use group::{Group, wait_until};
use oorandom::Rand64;
use proxy::Proxy;

/// A group of services that keeps a roster, and has proxies log each confirmation.
fn group(services: u64) -> Group {
    let group = Group::start(services);
    group.call_until_accepted(call::What::Declare(ORDINALS_ROLE.into()));
    let logging = "logging { level: INFO parts { name: \"gaugestep_control::follow\" level: DEBUG } }";
    group.publish_until_acknowledged(logging, "logging", Plan::default());
    group
}

fn ordinal(proxy: &Proxy) -> Option<u64> {
    proxy.statistic("/configuration/seat/seat")
}

fn start(group: &Group, names: &[String]) -> Vec<Proxy> {
    names.iter().enumerate().map(|(at, name)| group.start_proxy(name, at)).collect()
}

fn names(from: usize, to: usize) -> Vec<String> {
    (from..to).map(|at| format!("n{at}")).collect()
}

/// Confirmations that the logs of these processes hold, by folder.
fn grants(group: &Group, folders: &[String]) -> Vec<OrdinalGrant> {
    let mut grants = Vec::new();
    for folder in folders {
        // A process that was restarted with the same name is another one: its first line shows it.
        let mut starts = 0;
        for line in group.log_lines(folder) {
            let number = |key: &str| line[key].as_u64().unwrap_or(0);
            match line["message"].as_str() {
                Some("serving") => starts += 1,
                Some("ordinal confirmed") => grants.push(OrdinalGrant {
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
    grants
}

/// Two processes with one ordinal. A process that was killed and its successor of the same name are not two: it is gone.
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
    group.wait_for_ordinals(&proxies.iter().collect::<Vec<_>>(), 12);
    // A restart keeps the ordinal.
    let before = ordinal(&proxies[5]);
    proxies[5].kill();
    proxies[5].restart();
    wait_until("it has an ordinal again", || ordinal(&proxies[5]).is_some());
    assert_eq!(ordinal(&proxies[5]), before);
    // A third is killed at one moment, two proxies and the roster manager are suspended.
    for killed in [0, 3, 6, 9] {
        proxies[killed].kill();
    }
    for suspended in [1, 2] {
        proxies[suspended].suspend();
    }
    let roster_manager = |group: &Group, but: u64| {
        let asked = group.members.iter().filter(|member| member.number != but && member.is_running());
        let answer = asked.flat_map(|member| member.roles()).filter(|it| it.name == ORDINALS_ROLE);
        answer.max_by_key(|it| it.term).map_or((0, 0), |it| (it.owner, it.term))
    };
    let (old, old_term) = roster_manager(&group, 0);
    group.member_mut(old).suspend();
    wait_until("another service manages the roster", || {
        let (holder, term) = roster_manager(&group, old);
        holder != old && holder > 0 && term > old_term
    });
    // New proxies get the ordinals of those that are gone, once their quarantine is over.
    known.extend(names(12, 15));
    proxies.extend(start(&group, &known[12..]));
    let left: Vec<usize> = vec![4, 5, 7, 8, 10, 11, 12, 13, 14];
    let here: Vec<&Proxy> = left.iter().map(|at| &proxies[*at]).collect();
    group.wait_for_ordinals(&here, 9);
    group.member_mut(old).resume();
    // They resume with ordinals that belong to others by now.
    for suspended in [1, 2] {
        proxies[suspended].resume();
    }
    let all: Vec<&Proxy> = here.into_iter().chain([&proxies[1], &proxies[2]]).collect();
    group.wait_for_ordinals(&all, 11);
    let terms: Vec<u64> = all.iter().filter_map(|it| it.statistic("/configuration/seat/term")).collect();
    assert!(terms.iter().all(|term| *term > old_term), "{terms:?}, {old_term} before");
    assert_eq!(conflicts(&group, &known), []);
}

#[test]
fn a_disconnected_proxy_keeps_its_ordinal_for_a_while_falls_back_to_its_name_and_regains_it() {
    let group = group(3);
    let known = names(0, 4);
    let proxies = start(&group, &known);
    group.wait_for_ordinals(&proxies.iter().collect::<Vec<_>>(), 4);
    let before = ordinal(&proxies[0]);
    // What it sends does not arrive, what it is sent does.
    for member in &group.members {
        group.network.set("n0", &member.name(), Link { forward: LinkFault::Stalled, ..Link::default() });
    }
    wait_until("it falls back to its name", || ordinal(&proxies[0]).is_none());
    wait_until("it logs it", || group.log_lines("n0").iter().any(|line| line["message"] == "ordinal lost"));
    // All services are gone: the others keep their ordinals for a while, then fall back to their names, and serve all the same.
    let mut group = group;
    group.members.iter_mut().for_each(|member| member.suspend());
    wait_until("no proxy has an ordinal", || proxies.iter().all(|proxy| ordinal(proxy).is_none()));
    assert!(proxies.iter().all(|proxy| proxy.client().request("") == "I"));
    group.members.iter_mut().for_each(|member| member.resume());
    group.network.heal_all();
    group.wait_for_ordinals(&proxies.iter().collect::<Vec<_>>(), 4);
    assert!(before.is_some());
    assert_eq!(conflicts(&group, &known), []);
}

/// With the proxy's own check disabled, one that resumes late keeps an ordinal that is another's by then, and the audit
/// finds it.
#[test]
fn without_the_proxys_own_check_one_that_resumes_late_duplicates_an_ordinal_and_the_audit_finds_it() {
    let group = group(1);
    let mut known = names(0, 3);
    let unchecked = group.start_proxy_without_check("seat", "n0", "n0", 0);
    let other = group.start_proxy("n1", 0);
    group.wait_for_ordinals(&[&unchecked, &other], 2);
    unchecked.suspend();
    let late = group.start_proxy("n2", 0);
    wait_until("the new proxy has a confirmed ordinal", || {
        ordinal(&late).is_some() && group.members[0].ordinals().len() == 2
    });
    unchecked.resume();
    known.truncate(3);
    wait_until("the audit finds it", || {
        conflicts(&group, &known).iter().any(|one| one.processes[0].starts_with("n0/"))
    });
}

/// Faults of services and proxies from a seed: `GAUGESTEP_SEED` names one to replay.
#[test]
fn seeded_fault_schedules_leave_ordinals_unique_and_every_proxy_with_one() {
    let configured = std::env::var("GAUGESTEP_SEED").ok().and_then(|seed| seed.parse().ok());
    let seed: u64 = configured.unwrap_or(11);
    eprintln!("seed {seed}");
    let mut group = group(3);
    let known = names(0, 10);
    let mut proxies = start(&group, &known);
    let mut random = Rand64::new(u128::from(seed));
    let mut suspended: BTreeSet<usize> = BTreeSet::new();
    for round in 0..6 {
        let schedule = Schedule::draw(seed * 100 + round, 3, 10, 3);
        for _ in 0..3 {
            let one = random.rand_range(0..10) as usize;
            match random.rand_range(0..3) {
                0 if !suspended.contains(&one) => {
                    proxies[one].kill();
                    proxies[one].restart();
                }
                1 if suspended.insert(one) => proxies[one].suspend(),
                _ if suspended.remove(&one) => proxies[one].resume(),
                _ => {}
            }
        }
        group.run_schedule(&schedule, &known);
        let _ = group.call(call::What::HandOver(HandOver { duty: ORDINALS_ROLE.into(), to: 0 }));
    }
    suspended.iter().for_each(|one| proxies[*one].resume());
    group.wait_for_ordinals(&proxies.iter().collect::<Vec<_>>(), 10);
    assert_eq!(conflicts(&group, &known), [], "seed {seed}");
    assert!(group.members.iter_mut().all(|member| !member.has_ended()), "no process ends by itself");
}
