//! Members that are partitioned from each other, in one or both directions, or lose the majority.

use std::time::{Duration, Instant};

use gaugestep_config::schema::call;
use gaugestep_control_plane::cli::admin_client::Delivery;
use gaugestep_testbed::leadership_audit::audit;
use gaugestep_testbed::network::{Link, LinkFault, Partition};

use crate::group::{Group, wait_until};
use crate::proxy::Proxy;
use crate::{single_stage, version};

#[test]
fn a_leader_cut_off_from_the_group_but_not_from_half_of_the_proxies_steps_down() {
    let group = Group::start(3);
    let proxies: Vec<Proxy> = (0..4).map(|number| group.start_proxy(&format!("n{number}"), number)).collect();
    let first = group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    group.wait_until_in_force(&proxies, first);
    let (old, _) = group.lease_holder();
    let name = old.to_string();
    for other in group.members.iter().filter(|member| member.number != old) {
        group.network.partition(&name, &other.name(), Partition::Silent);
    }
    for proxy in ["n0", "n1"] {
        group.network.partition(proxy, &name, Partition::Closed);
    }
    let only_old = group.admin_client(&[old]);
    let status = || only_old.call(&call::What::Status(Default::default()), Delivery::AtLeastOnce);
    wait_until("the old holder reports that it cannot act", || status().is_err());
    wait_until("another member holds the lease", || {
        let others = group.members.iter().filter(|member| member.number != old);
        others.flat_map(|member| member.roles()).any(|role| role.owner != old && role.owner > 0)
    });
    wait_until("a version is published in the majority partition", || {
        group.publish("limits { max_open: 12 }", "b", single_stage()).is_ok()
    });
    // Proxies that reach only the old leader disconnect, as it names no leader, and find the new one.
    group.wait_until_in_force(&proxies, first + 1);
    group.network.heal_all();
    let third = group.publish_until_acknowledged("limits { max_open: 13 }", "c", single_stage());
    group.wait_until_in_force(&proxies, third);
    group.wait_for_equal_versions();
    assert_eq!(audit(&group.records(&["n0", "n1", "n2", "n3"])).violations, []);
}

#[test]
fn one_way_link_failures_leave_one_active_leader() {
    let group = Group::start(3);
    let proxies = [group.start_proxy("n0", 0), group.start_proxy("n1", 1)];
    group.wait_until_in_force(
        &proxies,
        group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage()),
    );
    for round in 0..3 {
        let (holder, _) = group.lease_holder();
        let others = group.numbers_except(holder);
        // Round 0 stalls all messages from the leader, round 1 all messages to it, and round 2 those from the
        // leader to one other member.
        for other in if round < 2 { &others[..] } else { &others[..1] } {
            let (from, to) = if round == 1 { (*other, holder) } else { (holder, *other) };
            let stalled = Link { forward: LinkFault::Stalled, ..Link::default() };
            group.network.set(&from.to_string(), &to.to_string(), stalled);
        }
        let number = group.publish_until_acknowledged(
            &format!("limits {{ max_open: {} }}", 20 + round),
            &format!("r{round}"),
            single_stage(),
        );
        group.wait_until_in_force(&proxies, number);
        group.network.heal_all();
    }
    group.wait_for_equal_versions();
    assert_eq!(audit(&group.records(&["n0", "n1"])).violations, []);
}

#[test]
fn without_a_majority_commands_fail_fast_and_proxies_run_and_start_on_their_last_version() {
    let mut group = Group::start(3);
    let mut proxies = [group.start_proxy("n0", 0), group.start_proxy("n1", 1)];
    let first = group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    group.wait_until_in_force(&proxies, first);
    let (holder, _) = group.lease_holder();
    let survivor = group.members.iter().map(|member| member.number).find(|number| *number != holder).unwrap();
    for number in [1, 2, 3].into_iter().filter(|number| *number != survivor) {
        group.member_mut(number).kill();
    }
    let called = Instant::now();
    let error = group.publish("limits { max_open: 12 }", "b", single_stage()).unwrap_err();
    assert!(error.contains("no majority") || error.contains("cannot be reached"), "{error}");
    assert!(called.elapsed() < Duration::from_secs(15), "{:?}", called.elapsed());
    wait_until("the remaining member reports that there is no majority", || {
        group
            .publish("limits { max_open: 12 }", "b", single_stage())
            .is_err_and(|error| error.contains("no majority"))
    });
    proxies[0].kill();
    proxies[0].restart();
    let new_proxy = group.start_proxy("n2", 2);
    assert_eq!((version(&proxies[0]), version(&proxies[1])), (Some(first), Some(first)));
    assert_eq!(version(&new_proxy), Some(0), "a new proxy starts without a lease holder");
    for number in [1, 2, 3].into_iter().filter(|number| *number != survivor) {
        group.member_mut(number).start();
    }
    let second = group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    group.wait_until_in_force(&proxies, second);
    group.wait_until_in_force(std::slice::from_ref(&new_proxy), second);
}

#[test]
fn five_members_keep_working_with_two_killed_and_a_third_isolated_for_a_while() {
    let mut group = Group::start(5);
    let proxies = [group.start_proxy("n0", 0), group.start_proxy("n1", 3)];
    group.wait_until_in_force(
        &proxies,
        group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage()),
    );
    let (holder, _) = group.lease_holder();
    group.member_mut(holder).kill();
    let (next, _) = group.successor_of(holder);
    group.member_mut(next).kill();
    let second = group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    group.wait_until_in_force(&proxies, second);
    // Three members remain, and all of them are needed for a majority.
    let remaining = group.members.iter().find(|member| member.is_running()).unwrap().number;
    group.isolate(remaining);
    wait_until("there is no majority", || {
        group.publish("limits { max_open: 13 }", "c", single_stage()).is_err()
    });
    // A proposal that was in flight when the member was isolated may still have been committed.
    assert!(proxies.iter().all(|proxy| version(proxy) >= Some(second)));
    group.network.heal_all();
    let third = group.publish_until_acknowledged("limits { max_open: 13 }", "c", single_stage());
    group.wait_until_in_force(&proxies, third);
    group.member_mut(holder).start();
    group.member_mut(next).start();
    group.wait_for_equal_versions();
    assert_eq!(audit(&group.records(&["n0", "n1"])).violations, []);
}
