//! Commands of stale terms are rejected, and terms are not used up.

use gaugestep_config::schema::{Hello, Plan, Publish, Seen, call};
use gaugestep_control_plane::cli::admin_client::Delivery;
use gaugestep_testbed::leadership_audit::{Violation, audit};

use crate::group::{Group, wait_until};
use crate::{connect_with_hello, single_stage, term, version};

#[test]
fn a_proxy_that_has_seen_a_higher_term_than_any_service_follows_none_until_a_takeover() {
    let mut group = Group::start(1);
    let mut proxies = [group.start_proxy("n0", 0)];
    let first = group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    group.wait_until_in_force(&proxies, first);
    // Its state directory is of another fleet's proxy, whose terms are higher.
    let other = Group::start(1);
    for _ in 0..3 {
        other.call_until_accepted(call::What::TakeOver("versions".into()));
    }
    let there = other.start_proxy("n0", 0);
    wait_until("the term is kept there", || term(&there).unwrap_or(0) >= 4);
    let high = term(&there).unwrap();
    drop(there);
    proxies[0].kill();
    let (from, to) = (other.folder.path().join("proxy-n0/terms"), group.folder.path().join("proxy-n0/terms"));
    std::fs::copy(from.join("current"), to.join("current")).unwrap();
    proxies[0].restart();
    wait_until("it is shown to be beyond", || {
        group.status().is_some_and(|it| it.proxies.iter().any(|one| one.beyond == high))
    });
    let why = group.publish("limits { max_open: 12 }", "b", single_stage()).unwrap_err();
    assert!(why.contains("take-over"), "{why}");
    assert_eq!(version(&proxies[0]), Some(first), "it goes on under what it has");
    group.call_until_accepted(call::What::TakeOver("versions".into()));
    assert!(group.lease_holder().1 > high);
    let second = group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage());
    group.wait_until_in_force(&proxies, second);
    group.member_mut(1).kill();
}

#[test]
fn a_proxy_that_reports_the_highest_possible_term_neither_blocks_the_fleet_nor_exhausts_terms() {
    let group = Group::start(1);
    let proxies = [group.start_proxy("n0", 0), group.start_proxy("n1", 0)];
    group.wait_until_in_force(
        &proxies,
        group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage()),
    );
    let seen = vec![Seen { duty: "versions".into(), term: u64::MAX }];
    let _odd = connect_with_hello(&group, Hello { proxy: "odd".into(), seen, ..Hello::default() });
    wait_until("it is shown", || {
        group.status().is_some_and(|it| it.proxies.iter().any(|one| one.beyond == u64::MAX))
    });
    let (_, before) = group.lease_holder();
    group.call_until_accepted(call::What::TakeOver("versions".into()));
    assert_eq!(group.lease_holder().1, before + 1, "a term that nobody can have come to is not gone above");
    group.wait_until_in_force(
        &proxies,
        group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage()),
    );
}

/// With its own checks disabled, a stale leader acts as if its lease never expired. The proxies reject its commands all the
/// same; with their check disabled too, a superseded version comes in force where it must not, and the audit finds it.
#[test]
fn a_stale_leader_without_its_own_checks_is_fenced_by_receivers_and_by_nothing_else() {
    for disabled_check in ["", "receiver"] {
        let mut group = Group::start(3);
        let old = 1;
        group.member_mut(old).kill();
        group.member_mut(old).disabled_check = "owner";
        group.member_mut(old).start();
        wait_until("it owns the versions", || {
            group.lease_holder().0 == old
                || (group.transfer_role(old).is_ok() && group.lease_holder().0 == old)
        });
        let proxies = [
            group.start_proxy_without_check(disabled_check, "n0", "n0", 0),
            group.start_proxy_without_check(disabled_check, "n1", "n1", 0),
        ];
        let first = group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
        group.wait_until_in_force(&proxies, first);
        // One proxy is away while the next version goes to all that are here, and is held.
        group.partition_proxy_only_from("n1", &[1, 2, 3]);
        wait_until("it is away", || {
            proxies[1].statistics().pointer("/configuration/connected") == Some(&false.into())
        });
        let hold = Plan { hold_ms: 3_600_000, ..Plan::default() };
        let overtaken = group.publish_until_acknowledged("limits { max_open: 12 }", "b", hold);
        group.wait_until_in_force(&proxies[..1], overtaken);
        // The leader is cut off; the next one publishes a version that only the first proxy gets.
        group.isolate(old);
        group.partition_proxy_only_from("n0", &[old]);
        let (_, next) = group.successor_of(old);
        wait_until("the first proxy follows the new owner", || term(&proxies[0]) == Some(next));
        let staged = Plan { first: 1, hold_ms: 3_600_000, ..Plan::default() };
        let others = group.admin_client(&group.numbers_except(old));
        let publish = publish_once("limits { max_open: 13 }", "c", staged);
        wait_until("the new holder publishes", || {
            others.call(&call::What::Publish(publish.clone()), Delivery::AtLeastOnce).is_ok()
        });
        group.wait_until_in_force(&proxies[..1], overtaken + 1);
        group.partition_proxy_only_from("n1", &[old]);
        wait_until("the other proxy follows the new holder too", || term(&proxies[1]) == Some(next));
        assert_eq!(version(&proxies[1]), Some(first));
        // Now it reaches the old leader alone, which knows of none of this.
        group.partition_proxy_only_from("n1", &group.numbers_except(old));
        match disabled_check {
            "" => {
                let refused = |line: &serde_json::Value| line["code"] == "stale-term";
                wait_until("it refuses the old owner", || group.log_lines("n1").iter().any(refused));
                assert_eq!(version(&proxies[1]), Some(first));
                assert!(proxies[1].statistic("/configuration/stale_refused") > Some(0));
            }
            _ => {
                group.wait_until_in_force(&proxies[1..], overtaken);
                wait_until_logged(&group, "n1", overtaken);
            }
        }
        let violations = audit(&group.records(&["n0", "n1"])).violations;
        let harm = violations
            .iter()
            .any(|it| matches!(it, Violation::StaleTermApplied { proxy, .. } if proxy == "n1"));
        assert_eq!(harm, disabled_check == "receiver", "{violations:?}");
    }
}

/// Waits until a proxy has logged a version: a thread of its own writes the log, so the line may follow the statistic.
fn wait_until_logged(group: &Group, proxy: &str, version: u64) {
    let applied =
        |line: &serde_json::Value| line["message"] == "version in force" && line["version"] == version;
    wait_until("it logs the version", || group.log_lines(proxy).iter().any(applied));
}

/// A request to publish a document once under its key.
fn publish_once(document: &str, key: &str, plan: Plan) -> Publish {
    let document = gaugestep_config::text::parse(document).unwrap();
    Publish { document: Some(document), key: key.into(), plan: Some(plan), ..Publish::default() }
}
