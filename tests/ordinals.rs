//! Ordinals of the fleet, with the real programs as processes and faults between them. Proxies are killed,
//! suspended, resumed late or disconnected: no two of them have the same ordinal at a time, and each one that
//! runs regains one.
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

/// Starts a group that manages a roster and has proxies log each confirmation of an ordinal.
fn start_group(members: u64) -> Group {
    let group = Group::start(members);
    group.call_until_accepted(call::What::Declare(ORDINALS_ROLE.into()));
    let logging = "logging { level: INFO parts { name: \"gaugestep_control::follow\" level: DEBUG } }";
    group.publish_until_acknowledged(logging, "logging", Plan::default());
    group
}

fn ordinal(proxy: &Proxy) -> Option<u64> {
    proxy.statistic("/configuration/seat/seat")
}

fn start_proxies(group: &Group, names: &[String]) -> Vec<Proxy> {
    names.iter().enumerate().map(|(index, name)| group.start_proxy(name, index)).collect()
}

fn names(from: usize, to: usize) -> Vec<String> {
    (from..to).map(|number| format!("n{number}")).collect()
}

/// The confirmations of ordinals in the logs of proxies, which are named by their folders.
fn confirmed_grants(group: &Group, folders: &[String]) -> Vec<OrdinalGrant> {
    let mut grants = Vec::new();
    for folder in folders {
        // A restarted proxy counts as another process; the first line of each process is "serving".
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

/// Pairs of processes that had the same ordinal at a time. A killed process and its successor of the same
/// name do not count, as the killed process uses its ordinal no longer.
fn conflicts(group: &Group, folders: &[String]) -> Vec<OrdinalConflict> {
    let name = |process: &str| process.split('/').next().unwrap_or_default().to_owned();
    let mut conflicts = ordinal_conflicts(&confirmed_grants(group, folders));
    conflicts.retain(|conflict| name(&conflict.processes[0]) != name(&conflict.processes[1]));
    conflicts
}

#[test]
fn ordinals_stay_unique_while_proxies_are_killed_or_suspended_and_the_roster_manager_changes() {
    let mut group = start_group(3);
    let mut names = self::names(0, 12);
    let mut proxies = start_proxies(&group, &names);
    group.wait_for_ordinals(&proxies.iter().collect::<Vec<_>>(), 12);
    // A restart keeps the ordinal.
    let before = ordinal(&proxies[5]);
    proxies[5].kill();
    proxies[5].restart();
    wait_until("the restarted proxy has an ordinal", || ordinal(&proxies[5]).is_some());
    assert_eq!(ordinal(&proxies[5]), before);
    // A third of the proxies is killed at once, and two further proxies and the roster manager are suspended.
    for killed in [0, 3, 6, 9] {
        proxies[killed].kill();
    }
    for suspended in [1, 2] {
        proxies[suspended].suspend();
    }
    let roster_manager = |group: &Group, excluded: u64| {
        let asked = group.members.iter().filter(|member| member.number != excluded && member.is_running());
        let roles = asked.flat_map(|member| member.roles()).filter(|role| role.name == ORDINALS_ROLE);
        roles.max_by_key(|role| role.term).map_or((0, 0), |role| (role.owner, role.term))
    };
    let (old, old_term) = roster_manager(&group, 0);
    group.member_mut(old).suspend();
    wait_until("another member manages the roster", || {
        let (holder, term) = roster_manager(&group, old);
        holder != old && holder > 0 && term > old_term
    });
    // New proxies get the ordinals of the killed and suspended ones after a quarantine.
    names.extend(self::names(12, 15));
    proxies.extend(start_proxies(&group, &names[12..]));
    let running = [4, 5, 7, 8, 10, 11, 12, 13, 14];
    let running: Vec<&Proxy> = running.iter().map(|index| &proxies[*index]).collect();
    group.wait_for_ordinals(&running, 9);
    group.member_mut(old).resume();
    // The suspended proxies resume with ordinals that other proxies have by now.
    for suspended in [1, 2] {
        proxies[suspended].resume();
    }
    let all: Vec<&Proxy> = running.into_iter().chain([&proxies[1], &proxies[2]]).collect();
    group.wait_for_ordinals(&all, 11);
    let terms: Vec<u64> =
        all.iter().filter_map(|proxy| proxy.statistic("/configuration/seat/term")).collect();
    assert!(terms.iter().all(|term| *term > old_term), "{terms:?}, {old_term} before");
    assert_eq!(conflicts(&group, &names), []);
}

#[test]
fn a_disconnected_proxy_keeps_its_ordinal_for_a_while_falls_back_to_its_name_and_regains_it() {
    let group = start_group(3);
    let names = names(0, 4);
    let proxies = start_proxies(&group, &names);
    group.wait_for_ordinals(&proxies.iter().collect::<Vec<_>>(), 4);
    let before = ordinal(&proxies[0]);
    // Messages of the first proxy do not arrive; messages to it do.
    for member in &group.members {
        group.network.set("n0", &member.name(), Link { forward: LinkFault::Stalled, ..Link::default() });
    }
    wait_until("the proxy falls back to its name", || ordinal(&proxies[0]).is_none());
    wait_until("the proxy logs the loss", || {
        group.log_lines("n0").iter().any(|line| line["message"] == "ordinal lost")
    });
    // All members are suspended: the other proxies keep their ordinals for a while, then fall back to their
    // names, and still serve.
    let mut group = group;
    group.members.iter_mut().for_each(|member| member.suspend());
    wait_until("no proxy has an ordinal", || proxies.iter().all(|proxy| ordinal(proxy).is_none()));
    assert!(proxies.iter().all(|proxy| proxy.client().request("") == "I"));
    group.members.iter_mut().for_each(|member| member.resume());
    group.network.heal_all();
    group.wait_for_ordinals(&proxies.iter().collect::<Vec<_>>(), 4);
    assert!(before.is_some());
    assert_eq!(conflicts(&group, &names), []);
}

/// A proxy whose own check is disabled resumes late and keeps an ordinal that another proxy has by then: the
/// audit finds the conflict.
#[test]
fn a_proxy_without_its_own_check_that_resumes_late_duplicates_an_ordinal_and_the_audit_finds_it() {
    let group = start_group(1);
    let mut names = names(0, 3);
    let unchecked = group.start_proxy_without_check("seat", "n0", "n0", 0);
    let other = group.start_proxy("n1", 0);
    group.wait_for_ordinals(&[&unchecked, &other], 2);
    unchecked.suspend();
    let late = group.start_proxy("n2", 0);
    wait_until("the new proxy has a confirmed ordinal", || {
        ordinal(&late).is_some() && group.members[0].ordinals().len() == 2
    });
    unchecked.resume();
    names.truncate(3);
    wait_until("the audit finds the conflict", || {
        conflicts(&group, &names).iter().any(|conflict| conflict.processes[0].starts_with("n0/"))
    });
}

/// Faults of members and proxies are drawn from a seed; `GAUGESTEP_SEED` names another seed to replay.
#[test]
fn seeded_fault_schedules_leave_ordinals_unique_and_every_proxy_with_one() {
    let configured = std::env::var("GAUGESTEP_SEED").ok().and_then(|seed| seed.parse().ok());
    let seed: u64 = configured.unwrap_or(11);
    eprintln!("seed {seed}");
    let mut group = start_group(3);
    let names = names(0, 10);
    let mut proxies = start_proxies(&group, &names);
    let mut random = Rand64::new(u128::from(seed));
    let mut suspended: BTreeSet<usize> = BTreeSet::new();
    for round in 0..6 {
        let schedule = Schedule::draw(seed * 100 + round, 3, 10, 3);
        for _ in 0..3 {
            let index = random.rand_range(0..10) as usize;
            match random.rand_range(0..3) {
                0 if !suspended.contains(&index) => {
                    proxies[index].kill();
                    proxies[index].restart();
                }
                1 if suspended.insert(index) => proxies[index].suspend(),
                _ if suspended.remove(&index) => proxies[index].resume(),
                _ => {}
            }
        }
        group.run_schedule(&schedule, &names);
        let _ = group.call(call::What::HandOver(HandOver { duty: ORDINALS_ROLE.into(), to: 0 }));
    }
    suspended.iter().for_each(|index| proxies[*index].resume());
    group.wait_for_ordinals(&proxies.iter().collect::<Vec<_>>(), 10);
    assert_eq!(conflicts(&group, &names), [], "seed {seed}");
    assert!(group.members.iter_mut().all(|member| !member.has_ended()), "no process ends by itself");
}
