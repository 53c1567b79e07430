//! Identity of stores, members and proxies: a copied store, an old store, swapped addresses and two processes
//! with one name.

use std::time::Duration;

use gaugestep_config::schema::{Fleet, Hello, ListMembers, call, reply};
use gaugestep_testbed::leadership_audit::audit;
use gaugestep_testbed::network::Partition;

use crate::group::{Group, wait_until};
use crate::{connect_with_hello, single_stage, version};

/// Guards against two proxies with one name that both stay connected while only the later one is offered
/// versions, where the earlier one is not notified and `status` shows a single proxy.
#[test]
fn two_processes_with_one_name_are_listed_separately_and_the_earlier_one_is_notified() {
    let group = Group::start(1);
    let earlier = group.start_proxy_in("n0", "earlier", 0);
    group.wait_until_in_force(
        std::slice::from_ref(&earlier),
        group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage()),
    );
    let later = group.start_proxy_in("n0", "later", 0);
    let second = group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    group.wait_until_in_force(std::slice::from_ref(&later), second);
    wait_until("the earlier process is notified", || {
        earlier.statistics().pointer("/configuration/displaced") == Some(&true.into())
    });
    assert_eq!(earlier.call("GET", "/ops/readiness").0, 503);
    assert_eq!(later.call("GET", "/ops/readiness").0, 200);
    assert_eq!(version(&earlier), Some(1), "the earlier process is offered nothing");
    // The control server records the acknowledgement some time after the proxy has the version in force.
    wait_until("the control server records the acknowledgement of the later process", || {
        let is_recorded = |fleet: &Fleet| fleet.proxies.iter().any(|proxy| proxy.in_force == second);
        group.status().as_ref().is_some_and(is_recorded)
    });
    let shown = group.status().unwrap().proxies;
    let summary: Vec<_> =
        shown.iter().map(|proxy| (proxy.name.as_str(), proxy.displaced, proxy.in_force)).collect();
    assert_eq!(summary, [("n0", false, 2), ("n0", true, 1)]);
    assert_ne!(shown[0].incarnation, shown[1].incarnation);
    assert!(group.log_lines("earlier").iter().any(|line| line["level"] == "ERROR" && line["name_term"] == 2));
    // Once the later process has ended, the earlier one regains the name and receives the version that it
    // missed.
    drop(later);
    group.wait_until_in_force(std::slice::from_ref(&earlier), second);
    assert_eq!(earlier.call("GET", "/ops/readiness").0, 200);
}

/// Guards against a control server on a copy of another one's store, where both publish a version 2 of their
/// own and both report success.
#[test]
fn a_copied_store_is_rejected_and_a_single_member_that_was_suspended_waits_for_a_proxy() {
    let mut group = Group::start(1);
    let proxies = [group.start_proxy("n0", 0)];
    let first = group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    group.wait_until_in_force(&proxies, first);
    let copy = group.folder.path().join("copy");
    std::fs::create_dir(&copy).unwrap();
    group.member_mut(1).kill();
    for name in ["versions.redb", "versions.redb.seal"] {
        std::fs::copy(group.member(1).folder.join(name), copy.join(name)).unwrap();
    }
    group.member_mut(1).start();
    group.lease_holder();
    wait_until("the proxy is connected again", || {
        group.status().is_some_and(|fleet| fleet.proxies.iter().any(|proxy| proxy.connected))
    });
    let (listen, operators) = (crate::proxy::free_address(), crate::proxy::free_address());
    let config = copy.join("control.textproto");
    let store = copy.join("versions.redb").display().to_string();
    std::fs::write(&config, format!("listen: \"{listen}\" operators: \"{operators}\" store: {store:?}"))
        .unwrap();
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
    let output = command.args(["serve", "--config"]).arg(&config).output().unwrap();
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!((output.status.code(), error.lines().count()), (Some(1), 1), "{error}");
    assert!(error.contains("is a copy") && error.contains("--restored"), "{error}");

    // The member is suspended and its proxy cannot reach it, as if the proxy followed another control server
    // by now.
    group.member_mut(1).suspend();
    group.network.partition("n0", "1", Partition::Closed);
    wait_until("the proxy is disconnected", || {
        proxies[0].statistics().pointer("/configuration/connected") == Some(&false.into())
    });
    // A proxy connects meanwhile and its hello is read late: it does not prove that the proxy follows this
    // member now.
    let _late_hello = connect_with_hello(&group, Hello { proxy: "ghost".into(), ..Hello::default() });
    std::thread::sleep(Duration::from_millis(2_100));
    group.member_mut(1).resume();
    wait_until("the delayed hello is read", || group.member(1).log().contains("ghost"));
    let error = group.publish("limits { max_open: 12 }", "b", single_stage()).unwrap_err();
    assert!(error.contains("stood still") && error.contains("take-over"), "{error}");
    assert_eq!(group.member(1).versions().len(), 1, "nothing was published");
    group.network.heal_all();
    let second = group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    group.wait_until_in_force(&proxies, second);
}

/// Starts a group whose member 2 is restored to a state before its last start, and started beside member 3, which
/// has recorded that start and was killed since. Member 1 does not run. Waits until member 2 ends.
fn start_group_with_restored_member() -> Group {
    let mut group = Group::start(3);
    group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    group.wait_for_equal_versions();
    let files = ["versions.redb", "versions.redb.seal"].map(|name| group.member(2).folder.join(name));
    group.member_mut(2).suspend();
    let snapshot = files.each_ref().map(|file| std::fs::read(file).unwrap());
    group.member_mut(2).resume();
    group.member_mut(2).kill();
    group.member_mut(2).start();
    wait_until("the other members have recorded the second start", || {
        [1, 3].iter().all(|observer| recorded_starts(&group, *observer, 2) == Some(2))
    });
    // The group is idle from here on, so that nothing is written after the start was committed.
    std::thread::sleep(Duration::from_secs(2));
    for number in [3, 2, 1] {
        group.member_mut(number).kill();
    }
    for (file, bytes) in files.iter().zip(&snapshot) {
        std::fs::write(file, bytes).unwrap();
    }
    group.member_mut(3).start();
    group.member_mut(2).start();
    wait_until("the restored member ends", || group.member_mut(2).has_ended());
    group
}

/// Guards against a restored store that votes again because a killed member forgot a start that it had recorded.
#[test]
fn a_restored_store_is_rejected_by_a_member_that_was_killed_after_it_recorded_a_later_start() {
    let mut group = start_group_with_restored_member();
    assert!(
        group.member(2).log().contains("a later start of member 2 is known"),
        "{}",
        group.member(2).log()
    );
    group.member_mut(2).kill();
    group.member_mut(1).start();
    group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
}

/// Guards against a rejected store that is accepted once it was started as often as the others have recorded.
#[test]
fn a_rejected_store_is_not_accepted_when_its_member_is_started_again() {
    let mut group = start_group_with_restored_member();
    for _ in 0..2 {
        group.member_mut(2).kill();
        group.member_mut(2).start();
        wait_until("the rejected member ends again", || group.member_mut(2).has_ended());
    }
    assert_eq!(group.member(2).log().matches("the store is older than its seal").count(), 2);
}

/// The number of starts of a member that another one has recorded.
fn recorded_starts(group: &Group, observer: u64, number: u64) -> Option<u64> {
    match group.member(observer).call(call::What::Members(ListMembers {})) {
        Ok(reply::What::Members(response)) => {
            response.members.iter().find(|member| member.number == number).map(|member| member.boot)
        }
        _ => None,
    }
}

#[test]
fn two_members_that_restart_with_swapped_addresses_are_identified_correctly() {
    let mut group = Group::start(3);
    let proxies = [group.start_proxy("n0", 0), group.start_proxy("n1", 1), group.start_proxy("n2", 2)];
    group.wait_until_in_force(
        &proxies,
        group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage()),
    );
    let (one, other) = (1, 2);
    group.members[one].kill();
    group.members[other].kill();
    let addresses = |group: &Group, index: usize| {
        (group.members[index].listen, group.members[index].relay, group.members[index].operators)
    };
    let (of_one, of_other) = (addresses(&group, one), addresses(&group, other));
    for (index, swapped) in [(one, of_other), (other, of_one)] {
        let member = &mut group.members[index];
        (member.listen, member.relay, member.operators) = swapped;
    }
    // The relays keep their addresses: what reached one member now reaches the other.
    group.members[one].start();
    group.members[other].start();
    for number in [1, 2, 3] {
        wait_until("every member has received messages from all", || group.known_members(number).len() == 3);
    }
    let second = group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    group.wait_until_in_force(&proxies, second);
    group.wait_for_equal_versions();
    assert_eq!(audit(&group.records(&["n0", "n1", "n2"])).violations, []);
}

#[test]
fn a_member_with_an_old_store_is_rejected_by_its_generation_file_and_by_its_peers() {
    let mut group = Group::start(3);
    let proxies = [group.start_proxy("n0", 0)];
    group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    let folder = group.members[2].folder.clone();
    let (store, seal) = (folder.join("versions.redb"), folder.join("versions.redb.seal"));
    group.members[2].kill();
    let old_store = std::fs::read(&store).unwrap();
    let old_seal = std::fs::read(&seal).unwrap();
    group.members[2].start();
    wait_until("the other members know of the restart", || {
        group.known_members(1).contains(&3) && group.known_members(2).contains(&3)
    });
    let second = group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    group.wait_for_equal_versions();
    group.members[2].kill();
    // The generation file rejects an old store; the other members reject an old store with an old generation
    // file.
    for with_seal in [false, true] {
        std::fs::write(&store, &old_store).unwrap();
        if with_seal {
            std::fs::write(&seal, &old_seal).unwrap();
        }
        group.members[2].start();
        wait_until("the member has ended", || group.members[2].has_ended());
        let log = group.members[2].log();
        let last = log.lines().last().unwrap_or_default();
        let expected = if with_seal { "a later start of member 3 is known" } else { "older than its seal" };
        assert!(last.contains(expected), "{last}");
        group.members[2].kill();
    }
    // The remedy that the line names: the member is removed and a new one joins with an empty store.
    group.call_until_accepted(call::What::RemoveMember(3));
    group.members.pop();
    group.start_member(4);
    wait_until("the new member stores both versions", || group.member(4).versions().len() == 2);
    group.wait_until_in_force(&proxies, second);
    let reused = group.members[0].call(call::What::AddMember(gaugestep_config::schema::Member {
        number: 3,
        listen: "127.0.0.1:1".into(),
        ..Default::default()
    }));
    assert!(reused.unwrap_err().contains("number 3 was a member's"), "a member's number is never used again");
}

/// The store holds versions and a lineage, as earlier builds wrote them, and no replicated state.
#[test]
fn a_single_member_opens_the_store_of_an_earlier_build() {
    use gaugestep_config::schema::{Entry, entry::State};
    use prost::Message as _;
    let mut group = Group::start(1);
    group.member_mut(1).kill();
    for name in ["versions.redb", "versions.redb.seal"] {
        std::fs::remove_file(group.member(1).folder.join(name)).unwrap();
    }
    let document = gaugestep_config::text::parse("limits { max_open: 17 }").unwrap();
    {
        let store = gaugestep_storage::control_store::ControlStore::open(&group.member(1).store()).unwrap();
        assert_eq!(store.lineage(77).unwrap(), 77);
        let entry = Entry {
            version: Some(gaugestep_config::version(5, &document)),
            state: State::Complete as i32,
            ..Entry::default()
        };
        let batch = gaugestep_storage::control_store::WriteBatch {
            documents: vec![(5, document.encode_to_vec())],
            entries: vec![(5, entry.encode_to_vec())],
            sync: true,
            ..Default::default()
        };
        store.write(&batch).unwrap();
    }
    group.member_mut(1).start();
    let proxies = [group.start_proxy("n0", 0)];
    group.wait_until_in_force(&proxies, 5);
    assert!(group.log_lines("n0").iter().any(|line| line["lineage"] == 77));
    let next = group.publish_until_acknowledged("limits { max_open: 18 }", "a", single_stage());
    assert_eq!(next, 6);
    group.wait_until_in_force(&proxies, next);
}
