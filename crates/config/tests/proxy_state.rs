//! Documents validated against the state of a proxy, and the limits and routes that follow from them.

use gaugestep_config::RejectReason;
use gaugestep_config::effective_config::effective_config;
use gaugestep_config::proxy_check::check;
use gaugestep_config::proxy_state::{
    Class, Engine, EngineState, PlatformLimits, ProxyState, RetryBudget, Tenant,
};
use gaugestep_config::routing::{WeightedEngine, resolve};
use gaugestep_config::text::parse;

fn engine(name: &str, zone: &str, state: EngineState) -> Engine {
    Engine { name: name.into(), kind: "k".into(), zone: zone.into(), cell: 0, state }
}

fn proxy() -> ProxyState {
    let class = |name: &str, open| Class { name: name.into(), open };
    ProxyState {
        engines: Some(vec![
            engine("s-0", "east", EngineState::Up),
            engine("s-1", "east", EngineState::Draining),
            engine("s-2", "west", EngineState::Draining),
        ]),
        classes: vec![class("lookup", 3), class("load", 0)],
        open: 3,
        platform: PlatformLimits {
            tenants: vec![
                Tenant { name: "acme".into(), quota_per_s: Some(10.0) },
                Tenant { name: "zeta".into(), quota_per_s: None },
            ],
            max_open: 100,
            max_attempts: 4,
            retries: Some(RetryBudget { ratio: 0.2, free: 5.0 }),
        },
    }
}

fn faults(text: &str) -> Vec<RejectReason> {
    check(&parse(text).expect("the test's document can be read"), &proxy())
}

#[test]
fn a_route_to_draining_and_unlisted_engines_is_rejected_with_their_names() {
    let reasons = faults(
        r#"routes { name: "r" classes: "lookup" targets { zone: "west" } targets { engine: "s-9" } }"#,
    );
    let (draining, unlisted) = (vec!["s-2".to_owned()], vec!["s-9".to_owned()]);
    let path = "routes[0].targets".into();
    assert_eq!(reasons, [RejectReason::NoUsableEngine { path, class: "lookup".into(), draining, unlisted }]);
    assert!(reasons[0].to_string().contains("draining: s-2; not listed: s-9"), "{}", reasons[0]);
    assert_eq!(faults(r#"routes { name: "r" targets { zone: "west" } otherwise: ANY }"#), []);
    assert_eq!(faults(r#"routes { name: "r" targets { zone: "east" } }"#), []);
}

#[test]
fn classes_in_use_cannot_be_dropped_and_limits_and_names_must_fit_the_proxy() {
    let codes = |text| faults(text).iter().map(RejectReason::code).collect::<Vec<_>>();
    assert_eq!(codes(r#"classes: "load""#), ["class-in-use"]);
    assert_eq!(codes(r#"classes: "lookup""#), [] as [&str; 0]);
    assert_eq!(codes("limits { max_open: 2 }"), ["below-use"]);
    assert_eq!(codes("limits { max_open: 101 max_attempts: 5 }"), ["beyond-rule", "beyond-rule"]);
    assert_eq!(codes("retries { ratio: 0.3 free: 6 }"), ["beyond-rule", "beyond-rule"]);
    assert_eq!(codes(r#"tenants { name: "nobody" quota_per_s: 1 }"#), ["unknown-name"]);
    assert_eq!(
        codes(r#"routes { name: "r" classes: "x" tenants: "y" targets { cell: 0 } }"#),
        ["unknown-name", "unknown-name"]
    );
}

#[test]
fn a_document_cannot_exceed_the_limits_of_the_proxy_settings() {
    let document = parse(
        r#"tenants { name: "acme" quota_per_s: 99 } tenants { name: "zeta" quota_per_s: 7 }
           limits { max_open: 1000 max_attempts: 2 } retries { ratio: 0.9 }"#,
    );
    let effective = effective_config(&document.unwrap(), &proxy().platform);
    assert_eq!(effective.quotas, [10.0, 7.0]);
    assert_eq!((effective.max_open, effective.max_attempts), (100, 2));
    assert_eq!(effective.retries, Some(RetryBudget { ratio: 0.2, free: 5.0 }));
}

#[test]
fn routes_resolve_to_weighted_engines_and_allow_other_engines_only_if_set_to_any() {
    let document = parse(
        r#"routes { name: "a" classes: "load" targets { engine: "s-0" weight: 2 } targets { zone: "east" } }
           routes { name: "b" targets { zone: "west" } otherwise: ANY }
           routes { name: "c" targets { zone: "west" } }"#,
    )
    .unwrap();
    let routes = resolve(&document, &proxy().engines.unwrap());
    let engines: Vec<_> = routes.iter().map(|route| route.engines.clone()).collect();
    let weighted =
        |(name, weight): &(&str, f64)| WeightedEngine { name: (*name).to_owned(), weight: *weight };
    let named = |engines: &[(&str, f64)]| Some(engines.iter().map(weighted).collect::<Vec<_>>());
    assert_eq!(engines, [named(&[("s-0", 2.0), ("s-1", 1.0)]), None, named(&[("s-2", 1.0)])]);
}
