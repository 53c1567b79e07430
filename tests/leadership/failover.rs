//! Changes of the lease holder while versions are published and rolled out.

use std::time::{Duration, Instant};

use gaugestep_config::rollout::selection_rank;
use gaugestep_config::schema::{Plan, call};
use gaugestep_testbed::leadership_audit::audit;

use crate::group::{Group, Publisher, wait_until};
use crate::proxy::Proxy;
use crate::{single_stage, term, version};

#[test]
fn a_leader_suspended_in_the_second_stage_of_a_rollout_changes_nothing_after_its_successor_completed_it() {
    let mut group = Group::start(3);
    // By their selection ranks for version 2, one proxy is in the first stage, two more join in the second,
    // and the last one in the third. The third and the last proxy have no class `lookup` and reject a
    // document that names it.
    let mut names: Vec<String> = (0..4).map(|number| format!("n{number}")).collect();
    names.sort_by_key(|name| selection_rank(2, name));
    let edit = |index| if index < 2 { ("", "") } else { ("\"lookup\"", "\"look-up\"") };
    let started = names.iter().enumerate();
    let mut proxies: Vec<Proxy> = started
        .map(|(index, name)| group.start_proxy_with_edit("", name, name, index, edit(index)))
        .collect();
    let first = group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    group.wait_until_in_force(&proxies, first);
    let (old, old_term) = group.lease_holder();
    let plan = Plan { first: 1, share: 0.75, hold_ms: 12_000, refusals: Some(2), ..Plan::default() };
    let staged = group.publish_until_acknowledged("limits { max_open: 12 } classes: \"lookup\"", "b", plan);
    assert_eq!(staged, 2);
    let in_second_stage = |line: Option<serde_json::Value>| {
        line.is_some_and(|line| line["version"] == 2 && line["step"] == 1 && line["rejections"] == 1)
    };
    wait_until("the second stage begins and one rejection is committed", || {
        version(&proxies[1]) == Some(2)
            && in_second_stage(group.last_log_line(old, "rollout progress committed"))
    });
    group.member_mut(old).suspend();
    // The proxy that rejected the version ends: only the committed progress of the old leader records its
    // rejection.
    proxies.remove(2).kill();
    let (next, next_term) = group.lease_holder_other_than(old);
    assert!(next_term > old_term);
    assert!(
        in_second_stage(group.last_log_line(next, "lease acquired")),
        "the successor resumes in the second stage, with the rejection counted"
    );
    // The third stage brings the second rejection, which halts the rollout.
    wait_until("the rollout is halted", || group.version_state(staged) == "HALTED");
    let rollback = staged + 1;
    group.wait_until_in_force(&proxies, rollback);
    group.member_mut(old).resume();
    group.wait_for_equal_versions();
    let last = group.publish_until_acknowledged("limits { max_open: 14 }", "d", single_stage());
    assert_eq!(last, rollback + 1, "the old holder has published nothing");
    group.wait_until_in_force(&proxies, last);
    group.wait_for_equal_versions();
    let report = audit(&group.records(&["n0", "n1", "n2", "n3"]));
    assert_eq!(report.violations, []);
    assert!(report.terms >= 2, "{report:?}");
}

#[test]
fn a_version_of_a_leader_suspended_between_storing_and_answering_is_complete_or_absent() {
    let mut group = Group::start(3);
    let proxies = [group.start_proxy("n0", 0), group.start_proxy("n1", 1)];
    let first = group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    group.wait_until_in_force(&proxies, first);
    let (old, _) = group.lease_holder();
    std::fs::write(group.member(old).folder.join("stop"), "stored").unwrap();
    let publisher = Publisher::start(group.admin_client(&group.numbers_except(0)), Duration::from_millis(50));
    wait_until("the lease holder has suspended itself after storing", || {
        !group.member(old).folder.join("stop").exists()
    });
    group.member_mut(old).suspend();
    let (_, term) = group.lease_holder_other_than(old);
    wait_until("the successor publishes", || !group.version_state(first + 2).is_empty());
    group.member_mut(old).resume();
    group.wait_for_equal_versions();
    let mut records = publisher.stop();
    wait_until("both proxies have seen the successor's term", || {
        proxies.iter().all(|proxy| self::term(proxy) >= Some(term))
    });
    group.wait_for_equal_versions();
    records.extend(group.records(&["n0", "n1"]));
    let report = audit(&records);
    assert_eq!(report.violations, []);
    assert!(report.acknowledged > 1);
}

#[test]
fn a_group_killed_at_once_under_load_and_restarted_in_another_order_loses_no_acknowledged_version() {
    let mut group = Group::start(3);
    let proxies = [group.start_proxy("n0", 0), group.start_proxy("n1", 1)];
    let publisher = Publisher::start(group.admin_client(&group.numbers_except(0)), Duration::from_millis(10));
    for order in [[3, 1, 2], [2, 3, 1]] {
        let before = group.members[0].versions().len();
        wait_until("some versions are published", || group.members[0].versions().len() >= before + 3);
        group.members.iter_mut().for_each(|member| member.kill());
        assert!(group.call(call::What::Duties(Default::default())).is_err());
        for number in order {
            group.member_mut(number).start();
        }
        group.lease_holder();
    }
    let last = group.members[0].versions().len();
    wait_until("some more versions are published", || group.members[0].versions().len() >= last + 2);
    let mut records = publisher.stop();
    group.wait_for_equal_versions();
    let newest = group.members[0].versions()[0].0;
    group.wait_until_in_force(&proxies, newest);
    records.extend(group.records(&["n0", "n1"]));
    let report = audit(&records);
    assert_eq!(report.violations, []);
    assert!(report.acknowledged >= 8, "{report:?}");
}

#[test]
fn a_leader_with_a_full_disk_steps_down_and_returns_when_there_is_space() {
    let mut group = Group::start(3);
    let proxies = [group.start_proxy("n0", 0), group.start_proxy("n1", 1)];
    group.wait_until_in_force(
        &proxies,
        group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage()),
    );
    let (holder, _) = group.lease_holder();
    // The file size limit of the process prevents its files from growing.
    let member = group.member_mut(holder);
    member.kill();
    let blocks = std::fs::metadata(member.store()).unwrap().len() / 512;
    member.shell_prefix = format!("trap '' XFSZ; ulimit -f {blocks};");
    member.start();
    group.lease_holder();
    let _ = group.transfer_role(holder);
    let long_document: String = (0..400)
        .map(|at| format!("routes {{ name: \"route-{at}\" classes: \"c{at}\" targets {{ engine: \"e-{at}\" }} otherwise: ANY }}\n"))
        .collect();
    let mut newest = 0;
    wait_until("the store of the lease holder cannot be written", || {
        newest += 1;
        let document = format!("{long_document} limits {{ max_open: {} }}", 100 + newest);
        group.publish_until_acknowledged(&document, &format!("long-{newest}"), single_stage());
        group.member(holder).log().contains("the store cannot be used")
    });
    let after = group.publish_until_acknowledged("limits { max_open: 12 }", "after", single_stage());
    for proxy in &proxies {
        // The rollback of a long version that the proxies rejected may follow this version.
        wait_until("the version or a later one is in force", || version(proxy) >= Some(after));
    }
    let member = group.member_mut(holder);
    member.kill();
    member.shell_prefix.clear();
    member.start();
    group.wait_for_equal_versions();
    assert_eq!(audit(&group.records(&["n0", "n1"])).violations, []);
}

#[test]
fn a_command_in_flight_across_a_change_of_leader_is_executed_once() {
    let group = Group::start(3);
    let publisher = Publisher::start(group.admin_client(&group.numbers_except(0)), Duration::ZERO);
    let (mut changes, began) = (0, Instant::now());
    // At least ten role transfers, and as many more as complete within a second.
    while changes < 10 || began.elapsed() < Duration::from_secs(1) {
        changes += u32::from(group.transfer_role(0).is_ok());
    }
    let mut records = publisher.stop();
    group.wait_for_equal_versions();
    records.extend(group.records(&[]));
    let report = audit(&records);
    assert_eq!(report.violations, []);
    assert!(report.acknowledged > 0 && report.terms > 10, "{report:?}");
}

#[test]
fn fifty_consecutive_changes_of_leader_under_publications_leave_one_history() {
    let group = Group::start(3);
    let proxies = [group.start_proxy("n0", 0), group.start_proxy("n1", 1)];
    let publisher =
        Publisher::start(group.admin_client(&group.numbers_except(0)), Duration::from_millis(100));
    let (_, first) = group.lease_holder();
    while group.lease_holder().1 < first + 50 {
        let _ = group.transfer_role(0);
    }
    let mut records = publisher.stop();
    group.wait_for_equal_versions();
    let newest = group.members[0].versions().first().map_or(0, |(number, ..)| *number);
    group.wait_until_in_force(&proxies, newest);
    records.extend(group.records(&["n0", "n1"]));
    let report = audit(&records);
    assert_eq!(report.violations, []);
    assert!(report.terms >= 50, "{report:?}");
}

#[test]
fn a_member_that_is_terminated_transfers_its_roles_first() {
    let mut group = Group::start(3);
    let proxies = [group.start_proxy("n0", 0)];
    let (old, term) = group.lease_holder();
    let ended = group.member_mut(old).process.take().unwrap().terminate().unwrap();
    assert!(ended.success());
    let (next, next_term) = group.successor_of(old);
    assert_eq!(next_term, term + 1);
    let assigned = |log: String| log.lines().any(|line| line.contains("assigning a role"));
    assert!(
        group.numbers_except(old).into_iter().all(|number| !assigned(group.member(number).log())),
        "the role did not wait for the lease to expire"
    );
    let number = group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    group.wait_until_in_force(&proxies, number);
    assert_ne!(next, old);
}
