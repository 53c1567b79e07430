//! Members that join, are removed, lag behind or return, and the balance of roles between members.

use gaugestep_config::schema::call;
use gaugestep_testbed::leadership_audit::audit;

use crate::group::{Group, wait_until};
use crate::single_stage;

#[test]
fn a_group_grows_to_three_and_shrinks_to_one_and_replaces_a_dead_member() {
    let mut group = Group::start(1);
    let proxies = [group.start_proxy("n0", 0)];
    let first = group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    group.wait_until_in_force(&proxies, first);
    group.start_member(2);
    group.start_member(3);
    assert_eq!(group.member(3).versions().len(), 1, "a new member has the versions of the first");
    group.member_mut(3).kill();
    group.call_until_accepted(call::What::RemoveMember(3));
    group.members.pop();
    group.start_member(4);
    let (holder, _) = group.lease_holder();
    group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    group.call_until_accepted(call::What::RemoveMember(if holder == 2 { 4 } else { 2 }));
    let removed = if holder == 2 { 4 } else { 2 };
    wait_until("the removed member ends", || group.member_mut(removed).has_ended());
    group.members.retain(|member| member.number != removed);
    let further: Vec<u64> =
        group.members.iter().map(|member| member.number).filter(|number| *number != 1).collect();
    for number in further {
        group.call_until_accepted(call::What::RemoveMember(number));
        wait_until("the removed member ends too", || group.member_mut(number).has_ended());
        group.members.retain(|member| member.number != number);
    }
    let last = group.publish_until_acknowledged("limits { max_open: 13 }", "c", single_stage());
    group.wait_until_in_force(&proxies, last);
    assert!(group.members[0].call(call::What::RemoveMember(1)).unwrap_err().contains("last member"));
    assert_eq!(audit(&group.records(&["n0"])).violations, []);
}

/// While a member is down, more entries are committed than a member keeps in its log: the member receives a
/// snapshot, and the logs of all members are compacted.
#[test]
fn a_member_that_lags_behind_the_compacted_log_receives_a_snapshot() {
    let mut group = Group::start(3);
    let first = group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    group.member_mut(3).kill();
    group.lease_holder();
    for _ in 0..1_500 {
        group.call_until_accepted(call::What::Declare("further".into()));
    }
    let second = group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    let installed =
        |group: &Group| group.member(3).log().matches("installed a snapshot of another member").count();
    let before = installed(&group);
    group.member_mut(3).start();
    wait_until("the member installs a snapshot", || installed(&group) > before);
    group.wait_for_equal_versions();
    // The stored logs of the other members are compacted too, whichever of them was the leader.
    for number in [1, 2] {
        group.member_mut(number).kill();
        let store =
            gaugestep_storage::control_store::ControlStore::open(&group.member(number).store()).unwrap();
        let log_entries = store.log().unwrap().len();
        assert!(log_entries < 1_300, "{log_entries} entries at member {number}");
        drop(store);
        group.member_mut(number).start();
    }
    group.wait_for_equal_versions();
    let versions = group.members[0].versions();
    assert_eq!(versions.iter().map(|(number, ..)| *number).collect::<Vec<_>>(), [second, first]);
}

#[test]
fn many_roles_are_balanced_and_few_move_when_a_member_leaves_and_returns() {
    let mut group = Group::start(3);
    for number in 0..8 {
        group.call_until_accepted(call::What::Declare(format!("duty-{number}")));
    }
    // Holder and number of changes of each role.
    let holders = |group: &Group| {
        let running = group.members.iter().find(|member| member.is_running()).unwrap();
        running
            .roles()
            .into_iter()
            .map(|role| (role.name, (role.owner, role.changes)))
            .collect::<std::collections::BTreeMap<_, _>>()
    };
    let has_counts = |group: &Group, expected: &[usize]| {
        let holders = holders(group);
        let mut counts: Vec<usize> = (1..=3)
            .map(|member| holders.values().filter(|(holder, _)| *holder == member).count())
            .filter(|count| *count > 0)
            .collect();
        counts.sort_unstable();
        counts == expected
    };
    wait_until("nine roles are spread over three members", || has_counts(&group, &[3, 3, 3]));
    let before = holders(&group);
    group.member_mut(3).kill();
    wait_until("two members have all roles", || has_counts(&group, &[4, 5]));
    let after = holders(&group);
    let moved = before.iter().filter(|(name, (holder, _))| after[*name].0 != *holder).count();
    assert_eq!(moved, 3, "only the roles of the killed member move");
    group.member_mut(3).start();
    wait_until("three members have roles again", || has_counts(&group, &[3, 3, 3]));
    let changes = |holders: &std::collections::BTreeMap<String, (u64, u64)>| {
        holders.values().map(|(_, changes)| changes).sum::<u64>()
    };
    assert_eq!(changes(&holders(&group)) - changes(&after), 3, "and three roles move back");
}
