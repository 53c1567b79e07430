//! Stores, services and proxies are recognised: a copy, an old store and a second process of one name.

use std::time::Duration;

use gaugestep_config::schema::{Hello, call};
use gaugestep_testbed::leadership_audit::audit;
use gaugestep_testbed::network::Partition;

use crate::group::{Group, wait_until};
use crate::{connect_with_hello, single_stage, version};

/// Measured before: both stayed connected, the earlier one was never offered anything again without notice, and `status`
/// showed one.
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
    wait_until("the earlier one is told", || {
        earlier.statistics().pointer("/configuration/displaced") == Some(&true.into())
    });
    assert_eq!(earlier.call("GET", "/ops/readiness").0, 503);
    assert_eq!(later.call("GET", "/ops/readiness").0, 200);
    assert_eq!(version(&earlier), Some(1), "it is offered nothing");
    let shown = group.status().unwrap().proxies;
    let two: Vec<_> = shown.iter().map(|it| (it.name.as_str(), it.displaced, it.in_force)).collect();
    assert_eq!(two, [("n0", false, 2), ("n0", true, 1)]);
    assert_ne!(shown[0].incarnation, shown[1].incarnation);
    assert!(group.log_lines("earlier").iter().any(|line| line["level"] == "ERROR" && line["name_term"] == 2));
    // The later one goes for good: the name, and what it missed, come back to the earlier one.
    drop(later);
    group.wait_until_in_force(std::slice::from_ref(&earlier), second);
    assert_eq!(earlier.call("GET", "/ops/readiness").0, 200);
}

/// Measured before: a service on a copy of another's store published a second version 2, and both reported success.
#[test]
fn a_copied_store_is_refused_and_a_lone_service_that_was_suspended_waits_for_a_proxy() {
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
    wait_until("the proxy is back", || {
        group.status().is_some_and(|it| it.proxies.iter().any(|one| one.connected))
    });
    let (listen, operators) = (crate::proxy::free_address(), crate::proxy::free_address());
    let config = copy.join("control.textproto");
    let store = copy.join("versions.redb").display().to_string();
    std::fs::write(&config, format!("listen: \"{listen}\" operators: \"{operators}\" store: {store:?}"))
        .unwrap();
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
    let done = command.args(["serve", "--config"]).arg(&config).output().unwrap();
    let why = String::from_utf8_lossy(&done.stderr).into_owned();
    assert_eq!((done.status.code(), why.lines().count()), (Some(1), 1), "{why}");
    assert!(why.contains("is a copy") && why.contains("--restored"), "{why}");

    // It is suspended; its proxy does not reach it any more, as if it followed another by now.
    group.member_mut(1).suspend();
    group.network.partition("n0", "1", Partition::Closed);
    wait_until("the proxy has left", || {
        proxies[0].statistics().pointer("/configuration/connected") == Some(&false.into())
    });
    // A proxy connects meanwhile and is gone by the time its hello is read: that proves nothing.
    let _ghost = connect_with_hello(&group, Hello { proxy: "ghost".into(), ..Hello::default() });
    std::thread::sleep(Duration::from_millis(2_100));
    group.member_mut(1).resume();
    wait_until("the hello that waited is heard", || group.member(1).log().contains("ghost"));
    let refused = group.publish("limits { max_open: 12 }", "b", single_stage()).unwrap_err();
    assert!(refused.contains("stood still") && refused.contains("take-over"), "{refused}");
    assert_eq!(group.member(1).versions().len(), 1, "nothing was published");
    group.network.heal_all();
    let second = group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    group.wait_until_in_force(&proxies, second);
}

#[test]
fn two_services_that_restart_with_swapped_addresses_are_identified_correctly() {
    let mut group = Group::start(3);
    let proxies = [group.start_proxy("n0", 0), group.start_proxy("n1", 1), group.start_proxy("n2", 2)];
    group.wait_until_in_force(
        &proxies,
        group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage()),
    );
    let (one, other) = (1, 2);
    group.members[one].kill();
    group.members[other].kill();
    let places = |group: &Group, at: usize| {
        (group.members[at].listen, group.members[at].relay, group.members[at].operators)
    };
    let (mine, theirs) = (places(&group, one), places(&group, other));
    for (at, place) in [(one, theirs), (other, mine)] {
        let member = &mut group.members[at];
        (member.listen, member.relay, member.operators) = place;
    }
    // The relays stay where they were: what reached one now reaches the other.
    group.members[one].start();
    group.members[other].start();
    for number in [1, 2, 3] {
        wait_until("all hear all", || group.known_members(number).len() == 3);
    }
    let second = group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    group.wait_until_in_force(&proxies, second);
    group.wait_for_equal_versions();
    assert_eq!(audit(&group.records(&["n0", "n1", "n2"])).violations, []);
}

#[test]
fn a_service_with_an_old_store_is_refused_by_its_generation_file_and_by_its_peers() {
    let mut group = Group::start(3);
    let proxies = [group.start_proxy("n0", 0)];
    group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    let folder = group.members[2].folder.clone();
    let (store, seal) = (folder.join("versions.redb"), folder.join("versions.redb.seal"));
    group.members[2].kill();
    let yesterday = std::fs::read(&store).unwrap();
    let sealed = std::fs::read(&seal).unwrap();
    group.members[2].start();
    wait_until("the others know of its start", || {
        group.known_members(1).contains(&3) && group.known_members(2).contains(&3)
    });
    let second = group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    group.wait_for_equal_versions();
    group.members[2].kill();
    // The store alone is refused by its generation file; both together by the other members.
    for both in [false, true] {
        std::fs::write(&store, &yesterday).unwrap();
        if both {
            std::fs::write(&seal, &sealed).unwrap();
        }
        group.members[2].start();
        wait_until("it has ended", || group.members[2].has_ended());
        let log = group.members[2].log();
        let last = log.lines().last().unwrap_or_default();
        let wanted = if both { "a later start of member 3 is known" } else { "older than its seal" };
        assert!(last.contains(wanted), "{last}");
        group.members[2].kill();
    }
    // The way that the line names: it leaves, and a new one comes with an empty store.
    group.call_until_accepted(call::What::RemoveMember(3));
    group.members.pop();
    group.start_member(4);
    wait_until("the new one has all", || group.member(4).versions().len() == 2);
    group.wait_until_in_force(&proxies, second);
    let again = group.members[0].call(call::What::AddMember(gaugestep_config::schema::Member {
        number: 3,
        listen: "127.0.0.1:1".into(),
        ..Default::default()
    }));
    assert!(again.unwrap_err().contains("number 3 was a member's"), "its number is never used again");
}

/// A store as earlier builds left it: versions and a lineage, and nothing that anybody agreed on.
#[test]
fn a_lone_service_takes_over_the_store_of_an_earlier_build() {
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
