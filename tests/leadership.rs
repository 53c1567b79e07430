//! One owner at a time, with processes of the program and faults between them: each hard case by its name.

#[path = "common/group.rs"]
mod group;
#[path = "common/proxy.rs"]
mod proxy;

use std::time::{Duration, Instant};

use gaugestep_config::rollout::selection_rank;
use gaugestep_config::schema::{Hello, Plan, Seen, call};
use gaugestep_control_plane::cli::admin_client::Delivery;
use gaugestep_testbed::faults::Schedule;
use gaugestep_testbed::leadership_audit::{self, Violation, audit};
use gaugestep_testbed::network::{Link, LinkFault, Partition};
use group::{Group, Publisher, wait};
use proxy::Proxy;

fn at_once() -> Plan {
    Plan::default()
}

fn version(proxy: &Proxy) -> Option<u64> {
    proxy.figure("/configuration/version")
}

fn term(proxy: &Proxy) -> Option<u64> {
    proxy.figure("/configuration/term")
}

/// A stream on which somebody says this hello, and no more.
fn say_hello(group: &Group, hello: Hello) -> std::net::TcpStream {
    let said = gaugestep_config::schema::from_client::Said::Hello(Hello { protocol: 1, ..hello });
    let message = gaugestep_config::schema::FromClient { said: Some(said) };
    let mut stream = std::net::TcpStream::connect(group.nodes[0].listen).unwrap();
    std::io::Write::write_all(&mut stream, &gaugestep_control_plane::transport::framing::encode(&message))
        .unwrap();
    stream
}

/// Measured before: both stayed connected, the earlier one was never offered anything again and not told so, and `status`
/// showed one.
#[test]
fn two_processes_with_one_name_are_listed_separately_and_the_earlier_one_is_notified() {
    let group = Group::start(1);
    let earlier = group.proxy_in("n0", "earlier", 0);
    group
        .in_force(std::slice::from_ref(&earlier), group.published("limits { max_open: 11 }", "a", at_once()));
    let later = group.proxy_in("n0", "later", 0);
    let second = group.published("limits { max_open: 12 }", "b", at_once());
    group.in_force(std::slice::from_ref(&later), second);
    wait("the earlier one is told", || {
        earlier.figures().pointer("/configuration/displaced") == Some(&true.into())
    });
    assert_eq!(earlier.call("GET", "/ops/readiness").0, 503);
    assert_eq!(later.call("GET", "/ops/readiness").0, 200);
    assert_eq!(version(&earlier), Some(1), "it is offered nothing");
    let shown = group.status().unwrap().proxies;
    let two: Vec<_> = shown.iter().map(|it| (it.name.as_str(), it.displaced, it.in_force)).collect();
    assert_eq!(two, [("n0", false, 2), ("n0", true, 1)]);
    assert_ne!(shown[0].incarnation, shown[1].incarnation);
    assert!(group.lines("earlier").iter().any(|line| line["level"] == "ERROR" && line["name_term"] == 2));
    // The later one goes for good: the name, and what it missed, come back to the earlier one.
    drop(later);
    group.in_force(std::slice::from_ref(&earlier), second);
    assert_eq!(earlier.call("GET", "/ops/readiness").0, 200);
}

/// Measured before: a service on a copy of another's store published a second version 2, and each was told of success.
#[test]
fn a_copied_store_is_refused_and_a_lone_service_that_was_suspended_waits_for_a_proxy() {
    let mut group = Group::start(1);
    let proxies = [group.proxy("n0", 0)];
    let first = group.published("limits { max_open: 11 }", "a", at_once());
    group.in_force(&proxies, first);
    let copy = group.folder.path().join("copy");
    std::fs::create_dir(&copy).unwrap();
    group.node_mut(1).kill();
    for name in ["versions.redb", "versions.redb.seal"] {
        std::fs::copy(group.node(1).folder.join(name), copy.join(name)).unwrap();
    }
    group.node_mut(1).start();
    group.owner();
    wait("the proxy is back", || group.status().is_some_and(|it| it.proxies.iter().any(|one| one.connected)));
    let (listen, operators) = (proxy::free_address(), proxy::free_address());
    let config = copy.join("control.textproto");
    let store = copy.join("versions.redb").display().to_string();
    std::fs::write(&config, format!("listen: \"{listen}\" operators: \"{operators}\" store: {store:?}"))
        .unwrap();
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
    let done = command.args(["serve", "--config"]).arg(&config).output().unwrap();
    let why = String::from_utf8_lossy(&done.stderr).into_owned();
    assert_eq!((done.status.code(), why.lines().count()), (Some(1), 1), "{why}");
    assert!(why.contains("is a copy") && why.contains("--restored"), "{why}");

    // It stands still; its proxy does not reach it any more, as if it followed another by now.
    group.node_mut(1).stop();
    group.net.partition("n0", "1", Partition::Closed);
    wait("the proxy has left", || {
        proxies[0].figures().pointer("/configuration/connected") == Some(&false.into())
    });
    // Somebody says hello meanwhile and is not there any more by the time it is heard: that vouches for nothing.
    let _ghost = say_hello(&group, Hello { proxy: "ghost".into(), ..Hello::default() });
    std::thread::sleep(Duration::from_millis(2_100));
    group.node_mut(1).go_on();
    wait("the hello that waited is heard", || group.node(1).log().contains("ghost"));
    let refused = group.publish("limits { max_open: 12 }", "b", at_once()).unwrap_err();
    assert!(refused.contains("stood still") && refused.contains("take-over"), "{refused}");
    assert_eq!(group.node(1).versions().len(), 1, "nothing was published");
    group.net.heal_all();
    let second = group.published("limits { max_open: 12 }", "b", at_once());
    group.in_force(&proxies, second);
}

#[test]
fn a_leader_suspended_in_the_second_stage_of_a_rollout_changes_nothing_after_its_successor_completed_it() {
    let mut group = Group::start(3);
    // By its lot in version 2 one proxy goes first, two more second, one last. The third and the last know no class
    // `lookup`, and turn down a document that names it.
    let mut names: Vec<String> = (0..4).map(|at| format!("n{at}")).collect();
    names.sort_by_key(|name| selection_rank(2, name));
    let change = |at| if at < 2 { ("", "") } else { ("\"lookup\"", "\"look-up\"") };
    let started = names.iter().enumerate();
    let mut proxies: Vec<Proxy> =
        started.map(|(at, name)| group.proxy_changed("", name, name, at, change(at))).collect();
    let first = group.published("limits { max_open: 11 }", "a", at_once());
    group.in_force(&proxies, first);
    let (old, old_term) = group.owner();
    let plan = Plan { first: 1, share: 0.75, hold_ms: 12_000, refusals: Some(2), ..Plan::default() };
    let staged = group.published("limits { max_open: 12 } classes: \"lookup\"", "b", plan);
    assert_eq!(staged, 2);
    let second_step = |line: Option<serde_json::Value>| {
        line.is_some_and(|it| it["version"] == 2 && it["step"] == 1 && it["rejections"] == 1)
    };
    wait("the second step is taken, and one refusal agreed on", || {
        version(&proxies[1]) == Some(2) && second_step(group.said(old, "rollout progress committed"))
    });
    group.node_mut(old).stop();
    // The one that refused is gone for good: nobody but the old owner's progress tells of it.
    proxies.remove(2).kill();
    let (next, next_term) = group.owner_but(old);
    assert!(next_term > old_term);
    assert!(
        second_step(group.said(next, "lease acquired")),
        "it goes on in the second step, with the refusal counted"
    );
    // The last step brings the second refusal, of two that halt it.
    wait("it is halted", || group.state(staged) == "HALTED");
    let back = staged + 1;
    group.in_force(&proxies, back);
    group.node_mut(old).go_on();
    group.settled();
    let last = group.published("limits { max_open: 14 }", "d", at_once());
    assert_eq!(last, back + 1, "the old owner has published nothing");
    group.in_force(&proxies, last);
    group.settled();
    let report = audit(&group.records(&["n0", "n1", "n2", "n3"]));
    assert_eq!(report.violations, []);
    assert!(report.terms >= 2, "{report:?}");
}

#[test]
fn a_version_of_a_leader_suspended_between_storing_and_answering_is_complete_or_absent() {
    let mut group = Group::start(3);
    let proxies = [group.proxy("n0", 0), group.proxy("n1", 1)];
    let first = group.published("limits { max_open: 11 }", "a", at_once());
    group.in_force(&proxies, first);
    let (old, _) = group.owner();
    std::fs::write(group.node(old).folder.join("stop"), "stored").unwrap();
    let publisher = Publisher::start(group.service(&group.but(0)), Duration::from_millis(50));
    wait("it has stopped itself", || !group.node(old).folder.join("stop").exists());
    group.node_mut(old).stop();
    let (_, term) = group.owner_but(old);
    wait("its successor publishes", || !group.state(first + 2).is_empty());
    group.node_mut(old).go_on();
    group.settled();
    let mut records = publisher.end();
    wait("both proxies have seen the successor", || proxies.iter().all(|it| self::term(it) >= Some(term)));
    group.settled();
    records.extend(group.records(&["n0", "n1"]));
    let report = audit(&records);
    assert_eq!(report.violations, []);
    assert!(report.acknowledged > 1);
}

#[test]
fn a_leader_cut_off_from_the_group_but_not_from_half_of_the_proxies_steps_down() {
    let group = Group::start(3);
    let proxies: Vec<Proxy> = (0..4).map(|at| group.proxy(&format!("n{at}"), at)).collect();
    let first = group.published("limits { max_open: 11 }", "a", at_once());
    group.in_force(&proxies, first);
    let (old, _) = group.owner();
    let name = old.to_string();
    for other in group.nodes.iter().filter(|node| node.number != old) {
        group.net.partition(&name, &other.name(), Partition::Silent);
    }
    for proxy in ["n0", "n1"] {
        group.net.partition(proxy, &name, Partition::Closed);
    }
    let why = |told: Result<(u64, String), String>| told.err();
    let only_old = group.service(&[old]);
    let status = || only_old.call(&call::What::Status(Default::default()), Delivery::AtLeastOnce);
    wait("the old owner says that it cannot act", || status().is_err());
    wait("another one owns the versions", || {
        let others = group.nodes.iter().filter(|node| node.number != old);
        others.flat_map(|node| node.duties()).any(|duty| duty.owner != old && duty.owner > 0)
    });
    wait("a version is published behind the cut", || {
        why(group.publish("limits { max_open: 12 }", "b", at_once())).is_none()
    });
    // Those that reached the old owner leave it, as it names nobody, and find the new one.
    group.in_force(&proxies, first + 1);
    group.net.heal_all();
    let third = group.published("limits { max_open: 13 }", "c", at_once());
    group.in_force(&proxies, third);
    group.settled();
    assert_eq!(audit(&group.records(&["n0", "n1", "n2", "n3"])).violations, []);
}

#[test]
fn one_way_link_failures_leave_one_active_leader() {
    let group = Group::start(3);
    let proxies = [group.proxy("n0", 0), group.proxy("n1", 1)];
    group.in_force(&proxies, group.published("limits { max_open: 11 }", "a", at_once()));
    for round in 0..3 {
        let (owner, _) = group.owner();
        let others: Vec<u64> = group.nodes.iter().map(|it| it.number).filter(|it| *it != owner).collect();
        // What the owner says is not heard, and then what is said to it; then one of the others alone is deaf to it.
        for other in if round < 2 { &others[..] } else { &others[..1] } {
            let (from, to) = if round == 1 { (*other, owner) } else { (owner, *other) };
            let deaf = Link { forward: LinkFault::Stalled, ..Link::default() };
            group.net.set(&from.to_string(), &to.to_string(), deaf);
        }
        let number = group.published(
            &format!("limits {{ max_open: {} }}", 20 + round),
            &format!("r{round}"),
            at_once(),
        );
        group.in_force(&proxies, number);
        group.net.heal_all();
    }
    group.settled();
    assert_eq!(audit(&group.records(&["n0", "n1"])).violations, []);
}

#[test]
fn a_group_killed_at_once_under_load_and_restarted_in_another_order_loses_nothing() {
    let mut group = Group::start(3);
    let proxies = [group.proxy("n0", 0), group.proxy("n1", 1)];
    let publisher = Publisher::start(group.service(&group.but(0)), Duration::from_millis(10));
    for order in [[3, 1, 2], [2, 3, 1]] {
        let before = group.nodes[0].versions().len();
        wait("some are published", || group.nodes[0].versions().len() >= before + 3);
        group.nodes.iter_mut().for_each(|node| node.kill());
        assert!(group.call(call::What::Duties(Default::default())).is_err());
        for number in order {
            group.node_mut(number).start();
        }
        group.owner();
    }
    let last = group.nodes[0].versions().len();
    wait("some more are published", || group.nodes[0].versions().len() >= last + 2);
    let mut records = publisher.end();
    group.settled();
    let newest = group.nodes[0].versions()[0].0;
    group.in_force(&proxies, newest);
    records.extend(group.records(&["n0", "n1"]));
    let report = audit(&records);
    assert_eq!(report.violations, []);
    assert!(report.acknowledged >= 8, "{report:?}");
}

#[test]
fn without_a_majority_commands_fail_fast_and_proxies_run_and_start_on_their_last_version() {
    let mut group = Group::start(3);
    let mut proxies = [group.proxy("n0", 0), group.proxy("n1", 1)];
    let first = group.published("limits { max_open: 11 }", "a", at_once());
    group.in_force(&proxies, first);
    let (owner, _) = group.owner();
    let left = group.nodes.iter().map(|it| it.number).find(|it| *it != owner).unwrap();
    for number in [1, 2, 3].into_iter().filter(|it| *it != left) {
        group.node_mut(number).kill();
    }
    let asked = Instant::now();
    let why = group.publish("limits { max_open: 12 }", "b", at_once()).unwrap_err();
    assert!(why.contains("no majority") || why.contains("cannot be reached"), "{why}");
    assert!(asked.elapsed() < Duration::from_secs(15), "{:?}", asked.elapsed());
    wait("it says that there is no majority", || {
        group.publish("limits { max_open: 12 }", "b", at_once()).is_err_and(|why| why.contains("no majority"))
    });
    proxies[0].kill();
    proxies[0].restart();
    let fresh = group.proxy("n2", 2);
    assert_eq!((version(&proxies[0]), version(&proxies[1])), (Some(first), Some(first)));
    assert_eq!(version(&fresh), Some(0), "it starts without an owner");
    for number in [1, 2, 3].into_iter().filter(|it| *it != left) {
        group.node_mut(number).start();
    }
    let second = group.published("limits { max_open: 12 }", "b", at_once());
    group.in_force(&proxies, second);
    group.in_force(std::slice::from_ref(&fresh), second);
}

#[test]
fn two_services_that_restart_with_swapped_addresses_are_identified_correctly() {
    let mut group = Group::start(3);
    let proxies = [group.proxy("n0", 0), group.proxy("n1", 1), group.proxy("n2", 2)];
    group.in_force(&proxies, group.published("limits { max_open: 11 }", "a", at_once()));
    let (one, other) = (1, 2);
    group.nodes[one].kill();
    group.nodes[other].kill();
    let places =
        |group: &Group, at: usize| (group.nodes[at].listen, group.nodes[at].relay, group.nodes[at].operators);
    let (mine, theirs) = (places(&group, one), places(&group, other));
    for (at, place) in [(one, theirs), (other, mine)] {
        let node = &mut group.nodes[at];
        (node.listen, node.relay, node.operators) = place;
    }
    // The relays stand where they stood: what reached one now reaches the other.
    group.nodes[one].start();
    group.nodes[other].start();
    for number in [1, 2, 3] {
        wait("all hear all", || group.heard(number).len() == 3);
    }
    let second = group.published("limits { max_open: 12 }", "b", at_once());
    group.in_force(&proxies, second);
    group.settled();
    assert_eq!(audit(&group.records(&["n0", "n1", "n2"])).violations, []);
}

#[test]
fn a_service_with_an_old_store_is_refused_by_its_generation_file_and_by_its_peers() {
    let mut group = Group::start(3);
    let proxies = [group.proxy("n0", 0)];
    group.published("limits { max_open: 11 }", "a", at_once());
    let folder = group.nodes[2].folder.clone();
    let (store, seal) = (folder.join("versions.redb"), folder.join("versions.redb.seal"));
    group.nodes[2].kill();
    let yesterday = std::fs::read(&store).unwrap();
    let sealed = std::fs::read(&seal).unwrap();
    group.nodes[2].start();
    wait("the others know of its start", || group.heard(1).contains(&3) && group.heard(2).contains(&3));
    let second = group.published("limits { max_open: 12 }", "b", at_once());
    group.settled();
    group.nodes[2].kill();
    // Only the store: its seal tells. Both: the others tell.
    for both in [false, true] {
        std::fs::write(&store, &yesterday).unwrap();
        if both {
            std::fs::write(&seal, &sealed).unwrap();
        }
        group.nodes[2].start();
        wait("it has ended", || group.nodes[2].has_ended());
        let log = group.nodes[2].log();
        let last = log.lines().last().unwrap_or_default();
        let wanted = if both { "a later start of member 3 is known" } else { "older than its seal" };
        assert!(last.contains(wanted), "{last}");
        group.nodes[2].kill();
    }
    // The way that the line names: it leaves, and a new one comes with an empty store.
    group.until_done(call::What::RemoveMember(3));
    group.nodes.pop();
    group.add(4);
    wait("the new one has all", || group.node(4).versions().len() == 2);
    group.in_force(&proxies, second);
    let again = group.nodes[0].call(call::What::AddMember(gaugestep_config::schema::Member {
        number: 3,
        listen: "127.0.0.1:1".into(),
        ..Default::default()
    }));
    assert!(again.unwrap_err().contains("number 3 was a member's"), "its number is never used again");
}

#[test]
fn a_leader_with_a_full_disk_steps_down_and_returns_when_there_is_space() {
    let mut group = Group::start(3);
    let proxies = [group.proxy("n0", 0), group.proxy("n1", 1)];
    group.in_force(&proxies, group.published("limits { max_open: 11 }", "a", at_once()));
    let (owner, _) = group.owner();
    // No file of its may grow any more.
    let node = group.node_mut(owner);
    node.kill();
    let blocks = std::fs::metadata(node.store()).unwrap().len() / 512;
    node.shell = format!("trap '' XFSZ; ulimit -f {blocks};");
    node.start();
    group.owner();
    let _ = group.hand_over(owner);
    let long: String = (0..400)
        .map(|at| format!("routes {{ name: \"route-{at}\" classes: \"c{at}\" targets {{ engine: \"e-{at}\" }} otherwise: ANY }}\n"))
        .collect();
    let mut newest = 0;
    wait("its store cannot be written", || {
        newest += 1;
        let document = format!("{long} limits {{ max_open: {} }}", 100 + newest);
        group.published(&document, &format!("long-{newest}"), at_once());
        group.node(owner).log().contains("the store cannot be used")
    });
    let after = group.published("limits { max_open: 12 }", "after", at_once());
    for proxy in &proxies {
        // A long one that the proxies had turned down may be rolled back behind it.
        wait("it is in force, or what follows it", || version(proxy) >= Some(after));
    }
    let node = group.node_mut(owner);
    node.kill();
    node.shell.clear();
    node.start();
    group.settled();
    assert_eq!(audit(&group.records(&["n0", "n1"])).violations, []);
}

#[test]
fn a_proxy_that_has_seen_a_higher_term_than_any_service_follows_none_until_a_takeover() {
    let mut group = Group::start(1);
    let mut proxies = [group.proxy("n0", 0)];
    let first = group.published("limits { max_open: 11 }", "a", at_once());
    group.in_force(&proxies, first);
    // Its folder is of another fleet's proxy, whose owner has come further.
    let other = Group::start(1);
    for _ in 0..3 {
        other.until_done(call::What::TakeOver("versions".into()));
    }
    let there = other.proxy("n0", 0);
    wait("the term is kept there", || term(&there).unwrap_or(0) >= 4);
    let high = term(&there).unwrap();
    drop(there);
    proxies[0].kill();
    let (from, to) = (other.folder.path().join("proxy-n0/terms"), group.folder.path().join("proxy-n0/terms"));
    std::fs::copy(from.join("current"), to.join("current")).unwrap();
    proxies[0].restart();
    wait("it is shown to be beyond", || {
        group.status().is_some_and(|it| it.proxies.iter().any(|one| one.beyond == high))
    });
    let why = group.publish("limits { max_open: 12 }", "b", at_once()).unwrap_err();
    assert!(why.contains("take-over"), "{why}");
    assert_eq!(version(&proxies[0]), Some(first), "it goes on under what it has");
    group.until_done(call::What::TakeOver("versions".into()));
    assert!(group.owner().1 > high);
    let second = group.published("limits { max_open: 12 }", "b", at_once());
    group.in_force(&proxies, second);
    group.node_mut(1).kill();
}

#[test]
fn a_proxy_that_reports_the_highest_possible_term_neither_blocks_the_fleet_nor_exhausts_terms() {
    let group = Group::start(1);
    let proxies = [group.proxy("n0", 0), group.proxy("n1", 0)];
    group.in_force(&proxies, group.published("limits { max_open: 11 }", "a", at_once()));
    let seen = vec![Seen { duty: "versions".into(), term: u64::MAX }];
    let _odd = say_hello(&group, Hello { proxy: "odd".into(), seen, ..Hello::default() });
    wait("it is shown", || {
        group.status().is_some_and(|it| it.proxies.iter().any(|one| one.beyond == u64::MAX))
    });
    let (_, before) = group.owner();
    group.until_done(call::What::TakeOver("versions".into()));
    assert_eq!(group.owner().1, before + 1, "a term that nobody can have come to is not gone above");
    group.in_force(&proxies, group.published("limits { max_open: 12 }", "b", at_once()));
}

#[test]
fn a_command_in_flight_across_a_change_of_leader_is_executed_once() {
    let group = Group::start(3);
    let publisher = Publisher::start(group.service(&group.but(0)), Duration::ZERO);
    let (mut changes, began) = (0, Instant::now());
    // As many as a slow machine gets done, and no fewer than ten.
    while changes < 10 || began.elapsed() < Duration::from_secs(1) {
        changes += u32::from(group.hand_over(0).is_ok());
    }
    let mut records = publisher.end();
    group.settled();
    records.extend(group.records(&[]));
    let report = audit(&records);
    assert_eq!(report.violations, []);
    assert!(report.acknowledged > 0 && report.terms > 10, "{report:?}");
}

#[test]
fn fifty_consecutive_changes_of_leader_under_publications_leave_one_history() {
    let group = Group::start(3);
    let proxies = [group.proxy("n0", 0), group.proxy("n1", 1)];
    let publisher = Publisher::start(group.service(&group.but(0)), Duration::from_millis(100));
    let (_, first) = group.owner();
    while group.owner().1 < first + 50 {
        let _ = group.hand_over(0);
    }
    let mut records = publisher.end();
    group.settled();
    let newest = group.nodes[0].versions().first().map_or(0, |it| it.0);
    group.in_force(&proxies, newest);
    records.extend(group.records(&["n0", "n1"]));
    let report = audit(&records);
    assert_eq!(report.violations, []);
    assert!(report.terms >= 50, "{report:?}");
}

/// With the owner's own checks taken out, an old owner goes on as if its duty were its own for good. The proxies refuse
/// what it says all the same; with their check taken out too, a version that was overtaken comes in force where it must
/// not, and the auditor finds it.
#[test]
fn a_stale_leader_without_its_own_checks_is_fenced_by_receivers_and_by_nothing_else() {
    for out in ["", "receiver"] {
        let mut group = Group::start(3);
        let old = 1;
        group.node_mut(old).kill();
        group.node_mut(old).out = "owner";
        group.node_mut(old).start();
        wait("it owns the versions", || {
            group.owner().0 == old || (group.hand_over(old).is_ok() && group.owner().0 == old)
        });
        let proxies = [group.proxy_without(out, "n0", "n0", 0), group.proxy_without(out, "n1", "n1", 0)];
        let first = group.published("limits { max_open: 11 }", "a", at_once());
        group.in_force(&proxies, first);
        // One proxy is away while the next version goes to all that are here, and is held.
        group.only_away("n1", &[1, 2, 3]);
        wait("it is away", || {
            proxies[1].figures().pointer("/configuration/connected") == Some(&false.into())
        });
        let hold = Plan { hold_ms: 3_600_000, ..Plan::default() };
        let overtaken = group.published("limits { max_open: 12 }", "b", hold);
        group.in_force(&proxies[..1], overtaken);
        // Its owner is cut off; the next one publishes a version that only the first proxy gets.
        group.isolate(old);
        group.only_away("n0", &[old]);
        let (_, next) = group.owner_beside(old);
        wait("the first proxy follows the new owner", || term(&proxies[0]) == Some(next));
        let staged = Plan { first: 1, hold_ms: 3_600_000, ..Plan::default() };
        let others = group.service(&group.but(old));
        let publish = gaugestep_config::schema::Publish {
            document: Some(gaugestep_config::text::parse("limits { max_open: 13 }").unwrap()),
            key: "c".into(),
            plan: Some(staged),
            ..Default::default()
        };
        wait("the new owner publishes", || {
            others.call(&call::What::Publish(publish.clone()), Delivery::AtLeastOnce).is_ok()
        });
        group.in_force(&proxies[..1], overtaken + 1);
        group.only_away("n1", &[old]);
        wait("the other proxy follows the new owner too", || term(&proxies[1]) == Some(next));
        assert_eq!(version(&proxies[1]), Some(first));
        // And now it meets the old owner alone, which knows of none of this.
        group.only_away("n1", &group.but(old));
        match out {
            "" => {
                let refused = |line: &serde_json::Value| line["code"] == "stale-term";
                wait("it refuses the old owner", || group.lines("n1").iter().any(refused));
                assert_eq!(version(&proxies[1]), Some(first));
                assert!(proxies[1].figure("/configuration/stale_refused") > Some(0));
            }
            _ => group.in_force(&proxies[1..], overtaken),
        }
        let violations = audit(&group.records(&["n0", "n1"])).violations;
        let harm = violations
            .iter()
            .any(|it| matches!(it, Violation::StaleTermApplied { proxy, .. } if proxy == "n1"));
        assert_eq!(harm, out == "receiver", "{violations:?}");
    }
}

#[test]
fn a_group_grows_to_three_and_shrinks_to_one_and_replaces_a_dead_member() {
    let mut group = Group::start(1);
    let proxies = [group.proxy("n0", 0)];
    let first = group.published("limits { max_open: 11 }", "a", at_once());
    group.in_force(&proxies, first);
    group.add(2);
    group.add(3);
    assert_eq!(group.node(3).versions().len(), 1, "what one had, three have");
    group.node_mut(3).kill();
    group.until_done(call::What::RemoveMember(3));
    group.nodes.pop();
    group.add(4);
    let (owner, _) = group.owner();
    group.published("limits { max_open: 12 }", "b", at_once());
    group.until_done(call::What::RemoveMember(if owner == 2 { 4 } else { 2 }));
    let gone = if owner == 2 { 4 } else { 2 };
    wait("the one that was removed ends", || group.node_mut(gone).has_ended());
    group.nodes.retain(|node| node.number != gone);
    let rest: Vec<u64> = group.nodes.iter().map(|it| it.number).filter(|it| *it != 1).collect();
    for number in rest {
        group.until_done(call::What::RemoveMember(number));
        wait("it ends too", || group.node_mut(number).has_ended());
        group.nodes.retain(|node| node.number != number);
    }
    let last = group.published("limits { max_open: 13 }", "c", at_once());
    group.in_force(&proxies, last);
    assert!(group.nodes[0].call(call::What::RemoveMember(1)).unwrap_err().contains("last member"));
    assert_eq!(audit(&group.records(&["n0"])).violations, []);
}

#[test]
fn a_service_that_is_terminated_transfers_its_roles_first() {
    let mut group = Group::start(3);
    let proxies = [group.proxy("n0", 0)];
    let (old, term) = group.owner();
    let ended = group.node_mut(old).process.take().unwrap().terminate().unwrap();
    assert!(ended.success());
    let (next, later) = group.owner_beside(old);
    assert_eq!(later, term + 1);
    let assigned = |log: String| log.lines().any(|line| line.contains("assigning a role"));
    assert!(
        group.but(old).into_iter().all(|it| !assigned(group.node(it).log())),
        "nobody had to wait for a lease"
    );
    let number = group.published("limits { max_open: 11 }", "a", at_once());
    group.in_force(&proxies, number);
    assert_ne!(next, old);
}

#[test]
fn five_services_keep_working_with_two_dead_and_a_third_cut_off_for_a_while() {
    let mut group = Group::start(5);
    let proxies = [group.proxy("n0", 0), group.proxy("n1", 3)];
    group.in_force(&proxies, group.published("limits { max_open: 11 }", "a", at_once()));
    let (owner, _) = group.owner();
    group.node_mut(owner).kill();
    let (next, _) = group.owner_beside(owner);
    group.node_mut(next).kill();
    let second = group.published("limits { max_open: 12 }", "b", at_once());
    group.in_force(&proxies, second);
    // Three are left, and all of them are needed.
    let left = group.nodes.iter().find(|node| node.runs()).unwrap().number;
    group.isolate(left);
    wait("there is no majority", || group.publish("limits { max_open: 13 }", "c", at_once()).is_err());
    // What was under way at the moment of the cut may have been agreed on still.
    assert!(proxies.iter().all(|proxy| version(proxy) >= Some(second)));
    group.net.heal_all();
    let third = group.published("limits { max_open: 13 }", "c", at_once());
    group.in_force(&proxies, third);
    group.node_mut(owner).start();
    group.node_mut(next).start();
    group.settled();
    assert_eq!(audit(&group.records(&["n0", "n1"])).violations, []);
}

/// A store as earlier builds left it: versions and a lineage, and nothing that anybody agreed on.
#[test]
fn a_lone_service_takes_over_the_store_of_an_earlier_build() {
    use gaugestep_config::schema::{Entry, entry::State};
    use prost::Message as _;
    let mut group = Group::start(1);
    group.node_mut(1).kill();
    for name in ["versions.redb", "versions.redb.seal"] {
        std::fs::remove_file(group.node(1).folder.join(name)).unwrap();
    }
    let document = gaugestep_config::text::parse("limits { max_open: 17 }").unwrap();
    {
        let store = gaugestep_storage::control_store::ControlStore::open(&group.node(1).store()).unwrap();
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
    group.node_mut(1).start();
    let proxies = [group.proxy("n0", 0)];
    group.in_force(&proxies, 5);
    assert!(group.lines("n0").iter().any(|line| line["lineage"] == 77));
    let next = group.published("limits { max_open: 18 }", "a", at_once());
    assert_eq!(next, 6);
    group.in_force(&proxies, next);
}

/// More is agreed on while a member is away than anybody keeps as a log: it is sent all of it, and every member lets go.
#[test]
fn a_member_that_lags_behind_the_compacted_log_receives_a_snapshot() {
    let mut group = Group::start(3);
    let first = group.published("limits { max_open: 11 }", "a", at_once());
    group.node_mut(3).kill();
    group.owner();
    for _ in 0..1_500 {
        group.until_done(call::What::Declare("further".into()));
    }
    let second = group.published("limits { max_open: 12 }", "b", at_once());
    let took = |group: &Group| group.node(3).log().matches("installed a snapshot of another member").count();
    let before = took(&group);
    group.node_mut(3).start();
    wait("it has been sent all of it", || took(&group) > before);
    group.settled();
    // Those that were there hold no more of the log either, whoever led; what they stored of it starts anew too.
    for number in [1, 2] {
        group.node_mut(number).kill();
        let store =
            gaugestep_storage::control_store::ControlStore::open(&group.node(number).store()).unwrap();
        let kept = store.log().unwrap().len();
        assert!(kept < 1_300, "{kept} entries at member {number}");
        drop(store);
        group.node_mut(number).start();
    }
    group.settled();
    assert_eq!(group.nodes[0].versions().iter().map(|it| it.0).collect::<Vec<_>>(), [second, first]);
}

#[test]
fn many_roles_are_balanced_and_few_move_when_a_member_leaves_and_returns() {
    let mut group = Group::start(3);
    for at in 0..8 {
        group.until_done(call::What::Declare(format!("duty-{at}")));
    }
    let owners = |group: &Group| {
        let asked = group.nodes.iter().find(|node| node.runs()).unwrap();
        asked
            .duties()
            .into_iter()
            .map(|it| (it.name, (it.owner, it.changes)))
            .collect::<std::collections::BTreeMap<_, _>>()
    };
    let even = |group: &Group, parts: &[usize]| {
        let owners = owners(group);
        let mut counts: Vec<usize> = (1..=3)
            .map(|member| owners.values().filter(|it| it.0 == member).count())
            .filter(|it| *it > 0)
            .collect();
        counts.sort_unstable();
        counts == parts
    };
    wait("nine duties are spread over three", || even(&group, &[3, 3, 3]));
    let before = owners(&group);
    group.node_mut(3).kill();
    wait("two have them all", || even(&group, &[4, 5]));
    let after = owners(&group);
    let moved = before.iter().filter(|(name, owner)| after[*name].0 != owner.0).count();
    assert_eq!(moved, 3, "only those of the dead one move");
    group.node_mut(3).start();
    wait("three have them again", || even(&group, &[3, 3, 3]));
    let changes =
        |owners: &std::collections::BTreeMap<String, (u64, u64)>| owners.values().map(|it| it.1).sum::<u64>();
    assert_eq!(changes(&owners(&group)) - changes(&after), 3, "and three come back");
}

/// One schedule of faults, drawn from its seed, under publications; what the records say of it.
fn storm(seed: u64, faults: usize) -> leadership_audit::Report {
    eprintln!("seed {seed}");
    let mut group = Group::start(3);
    let names: Vec<String> = (0..3).map(|at| format!("n{at}")).collect();
    let proxies: Vec<Proxy> = names.iter().enumerate().map(|(at, name)| group.proxy(name, at)).collect();
    let publisher = Publisher::start(group.service(&group.but(0)), Duration::from_millis(100));
    group.play(&Schedule::draw(seed, 3, 3, faults), &names);
    // All is healed: there is one owner again, it publishes, and everybody comes to what it published.
    group.owner();
    let mut records = publisher.end();
    let last = group.published("limits { max_open: 9 }", "last", Plan::default());
    group.in_force(&proxies, last);
    group.settled();
    assert!(group.nodes.iter_mut().all(|node| !node.has_ended()), "no process ends by itself");
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    records.extend(group.records(&names));
    let report = audit(&records);
    assert_eq!(report.violations, [], "seed {seed}");
    report
}

/// A few schedules; `GAUGESTEP_SEED` names another one to replay.
#[test]
fn seeded_fault_schedules_leave_one_history() {
    let told = std::env::var("GAUGESTEP_SEED").ok().and_then(|seed| seed.parse().ok());
    let seeds = told.map_or(vec![1, 2], |seed| vec![seed]);
    for seed in seeds {
        let report = storm(seed, 10);
        assert!(report.acknowledged > 0, "{report:?}");
    }
}

/// Out of CI: `cargo test --test duties campaign -- --ignored --nocapture`, a hundred schedules, their sums printed.
#[test]
#[ignore = "a quarter of an hour"]
fn campaign() {
    let from = std::env::var("GAUGESTEP_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1000);
    let seeds: std::sync::Mutex<Vec<u64>> = std::sync::Mutex::new((from..from + 100).rev().collect());
    let sums = std::sync::Mutex::new((0, 0, 0, 0));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                loop {
                    let Some(seed) = seeds.lock().unwrap().pop() else { return };
                    let report = storm(seed, 14);
                    let mut sums = sums.lock().unwrap();
                    sums.0 += 1;
                    sums.1 += report.acknowledged;
                    sums.2 += report.terms;
                    sums.3 += report.rejected;
                }
            });
        }
    });
    let (schedules, acknowledged, terms, refused) = *sums.lock().unwrap();
    eprintln!(
        "{schedules} schedules: {acknowledged} acknowledged, {terms} terms, {refused} stale acts refused, no breach"
    );
}
