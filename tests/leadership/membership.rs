//! Members that join, leave, lag behind and return, and the balance of roles between them.

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
    assert_eq!(group.member(3).versions().len(), 1, "what one had, three have");
    group.member_mut(3).kill();
    group.call_until_accepted(call::What::RemoveMember(3));
    group.members.pop();
    group.start_member(4);
    let (holder, _) = group.lease_holder();
    group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    group.call_until_accepted(call::What::RemoveMember(if holder == 2 { 4 } else { 2 }));
    let gone = if holder == 2 { 4 } else { 2 };
    wait_until("the one that was removed ends", || group.member_mut(gone).has_ended());
    group.members.retain(|member| member.number != gone);
    let rest: Vec<u64> = group.members.iter().map(|it| it.number).filter(|it| *it != 1).collect();
    for number in rest {
        group.call_until_accepted(call::What::RemoveMember(number));
        wait_until("it ends too", || group.member_mut(number).has_ended());
        group.members.retain(|member| member.number != number);
    }
    let last = group.publish_until_acknowledged("limits { max_open: 13 }", "c", single_stage());
    group.wait_until_in_force(&proxies, last);
    assert!(group.members[0].call(call::What::RemoveMember(1)).unwrap_err().contains("last member"));
    assert_eq!(audit(&group.records(&["n0"])).violations, []);
}

/// More is agreed on while a member is away than anybody keeps as a log: it is sent all of it, and every member lets go.
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
    let took =
        |group: &Group| group.member(3).log().matches("installed a snapshot of another member").count();
    let before = took(&group);
    group.member_mut(3).start();
    wait_until("it has been sent all of it", || took(&group) > before);
    group.wait_for_equal_versions();
    // The other members hold no more of the log either, whoever led; their stored logs start again too.
    for number in [1, 2] {
        group.member_mut(number).kill();
        let store =
            gaugestep_storage::control_store::ControlStore::open(&group.member(number).store()).unwrap();
        let kept = store.log().unwrap().len();
        assert!(kept < 1_300, "{kept} entries at member {number}");
        drop(store);
        group.member_mut(number).start();
    }
    group.wait_for_equal_versions();
    assert_eq!(group.members[0].versions().iter().map(|it| it.0).collect::<Vec<_>>(), [second, first]);
}

#[test]
fn many_roles_are_balanced_and_few_move_when_a_member_leaves_and_returns() {
    let mut group = Group::start(3);
    for at in 0..8 {
        group.call_until_accepted(call::What::Declare(format!("duty-{at}")));
    }
    let holders = |group: &Group| {
        let asked = group.members.iter().find(|member| member.is_running()).unwrap();
        asked
            .roles()
            .into_iter()
            .map(|it| (it.name, (it.owner, it.changes)))
            .collect::<std::collections::BTreeMap<_, _>>()
    };
    let even = |group: &Group, parts: &[usize]| {
        let holders = holders(group);
        let mut counts: Vec<usize> = (1..=3)
            .map(|member| holders.values().filter(|it| it.0 == member).count())
            .filter(|it| *it > 0)
            .collect();
        counts.sort_unstable();
        counts == parts
    };
    wait_until("nine duties are spread over three", || even(&group, &[3, 3, 3]));
    let before = holders(&group);
    group.member_mut(3).kill();
    wait_until("two have them all", || even(&group, &[4, 5]));
    let after = holders(&group);
    let moved = before.iter().filter(|(name, holder)| after[*name].0 != holder.0).count();
    assert_eq!(moved, 3, "only those of the dead one move");
    group.member_mut(3).start();
    wait_until("three have them again", || even(&group, &[3, 3, 3]));
    let changes = |holders: &std::collections::BTreeMap<String, (u64, u64)>| {
        holders.values().map(|it| it.1).sum::<u64>()
    };
    assert_eq!(changes(&holders(&group)) - changes(&after), 3, "and three come back");
}
