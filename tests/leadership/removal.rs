//! A group of two that goes back to one: the member that stays acts alone, whichever process is killed.

use gaugestep_config::schema::{ListMembers, call, reply};
use gaugestep_control_plane::cli::admin_client::{AdminClient, Delivery};

use crate::group::{Group, wait_until};
use crate::single_stage;

/// The member that leads, as the first member knows it.
fn leader(group: &Group) -> u64 {
    match group.members[0].call(call::What::Members(ListMembers::default())) {
        Ok(reply::What::Members(report)) => report.leader,
        _ => 0,
    }
}

/// Waits until the group publishes a version, and checks that only this member is left.
fn assert_acts_alone(group: &Group, number: u64) {
    group.publish_until_acknowledged("limits { max_open: 12 }", "after the removal", single_stage());
    let Ok(reply::What::Members(report)) =
        group.member(number).call(call::What::Members(ListMembers::default()))
    else {
        panic!("member {number} does not list the members");
    };
    let listed: Vec<u64> = report.members.iter().map(|member| member.number).collect();
    assert_eq!((listed, report.voters), (vec![number], vec![number]));
}

/// Requests a removal once in the background, whatever the outcome.
fn request_removal(client: AdminClient, number: u64) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let _ = client.call(&call::What::RemoveMember(number), Delivery::AtMostOnce);
    })
}

/// Guards against a removal that is acknowledged before it is on disk: the killed member counted the removed
/// one as a voter again, and no command worked any more.
#[test]
fn an_acknowledged_removal_survives_the_kill_of_the_last_member() {
    let mut group = Group::start(2);
    assert_eq!(group.lease_holder().0, 1);
    group.call_until_accepted(call::What::RemoveMember(2));
    wait_until("the removed member ends", || group.member_mut(2).has_ended());
    group.members.pop();
    group.member_mut(1).kill();
    group.member_mut(1).start();
    assert_acts_alone(&group, 1);
}

/// Guards against a removed member that ends before the one that stays has the removal on disk: the latter
/// needed a vote that it could not get any more.
#[test]
fn a_member_ends_only_once_its_removal_is_on_disk_at_the_member_that_stays() {
    let mut group = Group::start(2);
    assert_eq!(group.lease_holder().0, 1);
    let suspend_file = group.member(1).folder.join("stop");
    std::fs::write(&suspend_file, "membership applied").unwrap();
    let request = request_removal(group.admin_client(&[1]), 2);
    wait_until("the leader has suspended itself with the removal in memory", || !suspend_file.exists());
    group.member_mut(1).kill();
    request.join().unwrap();
    group.member_mut(1).start();
    group.call_until_accepted(call::What::RemoveMember(2));
    wait_until("the removed member ends", || group.member_mut(2).has_ended());
    group.members.pop();
    assert_acts_alone(&group, 1);
}

/// Guards against a leader that ends with its own removal before the other member knows of it: the latter
/// needed a vote that it could not get any more. The operator got an error although the removal was carried
/// out.
#[test]
fn a_leader_can_be_removed_and_the_other_member_acts_alone() {
    let mut group = Group::start(2);
    wait_until("a member leads", || leader(&group) > 0);
    let removed = leader(&group);
    let left = 3 - removed;
    group.call(call::What::RemoveMember(removed)).unwrap();
    group.call(call::What::RemoveMember(removed)).expect("a command is repeated if its response was lost");
    wait_until("the removed member ends", || group.member_mut(removed).has_ended());
    group.members.retain(|member| member.number == left);
    assert_acts_alone(&group, left);
}

/// Like the test above, for a leader that has to commit its own removal, as one does that is elected between
/// the proposal and the commit.
#[test]
fn a_leader_that_commits_its_own_removal_ends_only_once_the_other_member_knows() {
    const ROUNDS: usize = 4;
    for _ in 0..ROUNDS {
        let mut group = Group::start(1);
        group.member_mut(1).kill();
        group.member_mut(1).disabled_check = "transfer";
        group.member_mut(1).start();
        group.start_member(2);
        wait_until("the first member leads", || leader(&group) == 1);
        group.call_until_accepted(call::What::RemoveMember(1));
        wait_until("the removed member ends", || group.member_mut(1).has_ended());
        group.members.remove(0);
        assert_acts_alone(&group, 2);
    }
}
