//! Commands of stale terms are rejected, and terms are not exhausted.

use gaugestep_config::schema::{Hello, Plan, Publish, Seen, call};
use gaugestep_control_plane::cli::admin_client::Delivery;
use gaugestep_testbed::leadership_audit::{Violation, audit};

use crate::group::{Group, wait_until};
use crate::{connect_with_hello, single_stage, term, version};

#[test]
fn a_proxy_that_has_seen_a_higher_term_than_any_member_follows_none_until_a_takeover() {
    let mut group = Group::start(1);
    let mut proxies = [group.start_proxy("n0", 0)];
    let first = group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
    group.wait_until_in_force(&proxies, first);
    // The proxy gets the stored terms of a proxy of another group, which are higher.
    let other = Group::start(1);
    for _ in 0..3 {
        other.call_until_accepted(call::What::TakeOver("versions".into()));
    }
    let other_proxy = other.start_proxy("n0", 0);
    wait_until("the other group's proxy has stored the term", || term(&other_proxy).unwrap_or(0) >= 4);
    let high = term(&other_proxy).unwrap();
    drop(other_proxy);
    proxies[0].kill();
    let (from, to) = (other.folder.path().join("proxy-n0/terms"), group.folder.path().join("proxy-n0/terms"));
    std::fs::copy(from.join("current"), to.join("current")).unwrap();
    proxies[0].restart();
    wait_until("the status shows the proxy's higher term", || {
        group.status().is_some_and(|fleet| fleet.proxies.iter().any(|proxy| proxy.beyond == high))
    });
    let error = group.publish("limits { max_open: 12 }", "b", single_stage()).unwrap_err();
    assert!(error.contains("take-over"), "{error}");
    assert_eq!(version(&proxies[0]), Some(first), "the proxy keeps its version in force");
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
    let _stream = connect_with_hello(&group, Hello { proxy: "odd".into(), seen, ..Hello::default() });
    wait_until("the status shows the reported term", || {
        group.status().is_some_and(|fleet| fleet.proxies.iter().any(|proxy| proxy.beyond == u64::MAX))
    });
    let (_, before) = group.lease_holder();
    group.call_until_accepted(call::What::TakeOver("versions".into()));
    assert_eq!(
        group.lease_holder().1,
        before + 1,
        "a take-over ignores a term that no group can have reached"
    );
    group.wait_until_in_force(
        &proxies,
        group.publish_until_acknowledged("limits { max_open: 12 }", "b", single_stage()),
    );
}

/// With its own checks disabled, a stale leader acts as if its lease never expired. The proxies still reject
/// its commands. With the check of the proxies disabled too, a superseded version comes into force at a
/// proxy, and the audit finds it.
#[test]
fn a_stale_leader_without_its_own_checks_is_fenced_by_receivers_and_by_nothing_else() {
    for disabled_check in ["", "receiver"] {
        let mut group = Group::start(3);
        let old = 1;
        group.member_mut(old).kill();
        group.member_mut(old).disabled_check = "owner";
        group.member_mut(old).start();
        wait_until("the member without checks holds the lease", || {
            group.lease_holder().0 == old
                || (group.transfer_role(old).is_ok() && group.lease_holder().0 == old)
        });
        let proxies = [
            group.start_proxy_without_check(disabled_check, "n0", "n0", 0),
            group.start_proxy_without_check(disabled_check, "n1", "n1", 0),
        ];
        let first = group.publish_until_acknowledged("limits { max_open: 11 }", "a", single_stage());
        group.wait_until_in_force(&proxies, first);
        // One proxy is disconnected while the next version goes to the connected ones and its rollout pauses.
        group.partition_proxy_only_from("n1", &[1, 2, 3]);
        wait_until("the proxy is disconnected", || {
            proxies[1].statistics().pointer("/configuration/connected") == Some(&false.into())
        });
        let paused = Plan { hold_ms: 3_600_000, ..Plan::default() };
        let superseded = group.publish_until_acknowledged("limits { max_open: 12 }", "b", paused);
        group.wait_until_in_force(&proxies[..1], superseded);
        // The leader is isolated; its successor publishes a version that only the first proxy receives.
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
        group.wait_until_in_force(&proxies[..1], superseded + 1);
        group.partition_proxy_only_from("n1", &[old]);
        wait_until("the other proxy follows the new holder too", || term(&proxies[1]) == Some(next));
        assert_eq!(version(&proxies[1]), Some(first));
        // Now this proxy reaches only the old leader, which knows neither the new term nor the new version.
        group.partition_proxy_only_from("n1", &group.numbers_except(old));
        match disabled_check {
            "" => {
                let rejected = |line: &serde_json::Value| line["code"] == "stale-term";
                wait_until("the proxy rejects the old holder", || group.log_lines("n1").iter().any(rejected));
                assert_eq!(version(&proxies[1]), Some(first));
                assert!(proxies[1].statistic("/configuration/stale_refused") > Some(0));
            }
            _ => {
                group.wait_until_in_force(&proxies[1..], superseded);
                wait_until_logged(&group, "n1", superseded);
            }
        }
        let violations = audit(&group.records(&["n0", "n1"])).violations;
        let stale_term_applied = violations
            .iter()
            .any(|violation| matches!(violation, Violation::StaleTermApplied { proxy, .. } if proxy == "n1"));
        assert_eq!(stale_term_applied, disabled_check == "receiver", "{violations:?}");
    }
}

/// Waits until a proxy has logged that a version is in force. A separate thread writes the log, so that the
/// line may appear after the statistic.
fn wait_until_logged(group: &Group, proxy: &str, version: u64) {
    let in_force =
        |line: &serde_json::Value| line["message"] == "version in force" && line["version"] == version;
    wait_until("the proxy logs the version", || group.log_lines(proxy).iter().any(in_force));
}

/// A request to publish a document once under its key.
fn publish_once(document: &str, key: &str, plan: Plan) -> Publish {
    let document = gaugestep_config::text::parse(document).unwrap();
    Publish { document: Some(document), key: key.into(), plan: Some(plan), ..Publish::default() }
}
