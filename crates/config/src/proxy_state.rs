//! A document against the proxy as it runs, and what of it counts there.
//!
//! Decides what a version may not do to the proxy that it meets ([`check`]), which engines a route leaves for a request
//! ([`resolve`]), and that what the platform's own file sets wins ([`EffectiveConfig`]).

use crate::schema::route::Otherwise;
use crate::schema::target::Which;
use crate::{Document, RejectReason, schema};

/// Whether an engine takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
}

/// A listed engine; those that have gone are not listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Its id in the list.
    pub name: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it takes work.
    pub state: EngineState,
}

/// A class of the platform's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its requests that are open.
    pub open: u64,
}

/// What the platform's file and the rules allow.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformLimits {
    /// Tenants by name, with their budget where the file gives one.
    pub tenants: Vec<(String, Option<f64>)>,
    /// Requests that may be open together.
    pub max_open: u64,
    /// Attempts for one request.
    pub max_attempts: u64,
    /// Further attempts for each request and on top, where they are rationed.
    pub retries: Option<(f64, f64)>,
}

/// The proxy as it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyState {
    /// The engines that are listed; none before the first list has come.
    pub engines: Option<Vec<Engine>>,
    /// The classes.
    pub classes: Vec<Class>,
    /// Requests that are open.
    pub open: u64,
    /// What the platform allows.
    pub platform: PlatformLimits,
}

/// What speaks against taking the document now. The document alone has been checked.
///
/// While no list has come, routes are not held against it: a proxy that starts on its last good version must not be
/// kept from it by a coordinator that is late.
pub fn check(document: &Document, proxy: &ProxyState) -> Vec<RejectReason> {
    let mut found = Vec::new();
    classes(document, proxy, &mut found);
    routes(document, proxy, &mut found);
    tenants(document, proxy, &mut found);
    limits(document, proxy, &mut found);
    found
}

fn classes(document: &Document, proxy: &ProxyState, found: &mut Vec<RejectReason>) {
    for (at, name) in document.classes.iter().enumerate() {
        if !proxy.classes.iter().any(|class| class.name == *name) {
            let path = format!("classes[{at}]");
            found.push(RejectReason::UnknownName { path, kind: "class", name: name.clone() });
        }
    }
    let dropped = |class: &&Class| !document.classes.is_empty() && !document.classes.contains(&class.name);
    for class in proxy.classes.iter().filter(dropped).filter(|class| class.open > 0) {
        let (path, open) = ("classes".to_owned(), class.open);
        found.push(RejectReason::ClassInUse { path, class: class.name.clone(), open });
    }
}

fn routes(document: &Document, proxy: &ProxyState, found: &mut Vec<RejectReason>) {
    for (at, route) in document.routes.iter().enumerate() {
        for (place, name) in route.classes.iter().enumerate() {
            if !proxy.classes.iter().any(|class| class.name == *name) {
                let path = format!("routes[{at}].classes[{place}]");
                found.push(RejectReason::UnknownName { path, kind: "class", name: name.clone() });
            }
        }
        for (place, name) in route.tenants.iter().enumerate() {
            let known = proxy.platform.tenants.iter().any(|(tenant, _)| tenant == name)
                || document.tenants.iter().any(|tenant| tenant.name == *name);
            if !known {
                let path = format!("routes[{at}].tenants[{place}]");
                found.push(RejectReason::UnknownName { path, kind: "tenant", name: name.clone() });
            }
        }
        let Some(engines) = &proxy.engines else { continue };
        let named: Vec<&Engine> = engines.iter().filter(|engine| weight(route, engine).is_some()).collect();
        let strict = route.otherwise == Otherwise::Wait as i32;
        if !strict || named.iter().any(|engine| engine.state == EngineState::Up) {
            continue;
        }
        let draining = named.iter().map(|engine| engine.name.clone()).collect();
        let listed = |name: &str| engines.iter().any(|engine| engine.name == name);
        let unlisted = route.targets.iter().filter_map(|target| match &target.which {
            Some(Which::Engine(name)) if !listed(name) => Some(name.clone()),
            _ => None,
        });
        let of_all = proxy.classes.iter().find(|class| serves(document, &class.name));
        let class = route.classes.first().or(of_all.map(|class| &class.name)).cloned().unwrap_or_default();
        let path = format!("routes[{at}].targets");
        found.push(RejectReason::NoUsableEngine { path, class, draining, unlisted: unlisted.collect() });
    }
}

fn tenants(document: &Document, proxy: &ProxyState, found: &mut Vec<RejectReason>) {
    for (at, tenant) in document.tenants.iter().enumerate() {
        if !proxy.platform.tenants.iter().any(|(name, _)| *name == tenant.name) {
            let path = format!("tenants[{at}].name");
            found.push(RejectReason::UnknownName { path, kind: "tenant", name: tenant.name.clone() });
        }
    }
}

fn limits(document: &Document, proxy: &ProxyState, found: &mut Vec<RejectReason>) {
    let platform = &proxy.platform;
    if let Some(limit) = document.limits.as_ref().and_then(|limits| limits.max_open).map(u64::from) {
        if limit < proxy.open {
            let path = "limits.max_open".into();
            found.push(RejectReason::BelowUse { path, limit, in_use: proxy.open });
        }
    }
    let mut beyond = |path: &str, value: Option<f64>, rule: f64| {
        if let Some(value) = value.filter(|value| *value > rule) {
            found.push(RejectReason::BeyondRule { path: path.into(), value, rule });
        }
    };
    if let Some(limits) = &document.limits {
        beyond("limits.max_open", limits.max_open.map(f64::from), platform.max_open as f64);
        beyond("limits.max_attempts", limits.max_attempts.map(f64::from), platform.max_attempts as f64);
    }
    if let (Some(retries), Some((ratio, free))) = (&document.retries, platform.retries) {
        beyond("retries.ratio", retries.ratio, ratio);
        beyond("retries.free", retries.free, free);
    }
}

/// Whether a class is served under the document.
pub fn serves(document: &Document, class: &str) -> bool {
    document.classes.is_empty() || document.classes.iter().any(|name| name == class)
}

/// The weight of an engine in a route; none if no target names it.
pub fn weight(route: &schema::Route, engine: &Engine) -> Option<f64> {
    let names = |target: &&schema::Target| match &target.which {
        Some(Which::Engine(name)) => *name == engine.name,
        Some(Which::Kind(name)) => *name == engine.kind,
        Some(Which::Zone(name)) => *name == engine.zone,
        Some(Which::Cell(cell)) => *cell == engine.cell,
        None => false,
    };
    route.targets.iter().find(names).map(|target| target.weight.unwrap_or(1.0))
}

/// A route with the engines that it names just now.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRoute {
    /// Its name.
    pub name: String,
    /// The classes and tenants that it holds for; empty: all.
    pub classes: Vec<String>,
    /// See `classes`.
    pub tenants: Vec<String>,
    /// The engines by name, with their weights, also those that drain: nothing new goes there anyway. None if any engine
    /// may serve, as none of them takes work and the route lets all step in.
    pub engines: Option<Vec<(String, f64)>>,
}

/// The routes of a document among the engines that are listed, in their order: the first that holds for a request
/// decides. To be asked anew whenever the list changes.
pub fn resolve(document: &Document, engines: &[Engine]) -> Vec<ResolvedRoute> {
    let resolved = |route: &schema::Route| {
        let named = engines.iter().filter_map(|engine| Some((engine, weight(route, engine)?)));
        let up = named.clone().any(|(engine, _)| engine.state == EngineState::Up);
        let strict = up || route.otherwise == Otherwise::Wait as i32;
        ResolvedRoute {
            name: route.name.clone(),
            classes: route.classes.clone(),
            tenants: route.tenants.clone(),
            engines: strict.then(|| named.map(|(engine, weight)| (engine.name.clone(), weight)).collect()),
        }
    };
    document.routes.iter().map(resolved).collect()
}

/// The limits that count once the document is in force: the platform's, where the document does not tighten them.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveConfig {
    /// Tenants' budgets, in the platform's order; 0 where there is none.
    pub quotas: Vec<f64>,
    /// Requests that may be open together.
    pub max_open: u64,
    /// Attempts for one request.
    pub max_attempts: u64,
    /// Further attempts for each request and on top, where they are rationed.
    pub retries: Option<(f64, f64)>,
}

/// What counts under the document on this platform. Guards the platform's file, which wins, whatever was checked.
pub fn effective_config(document: &Document, platform: &PlatformLimits) -> EffectiveConfig {
    let quota = |(name, own): &(String, Option<f64>)| {
        let told = document.tenants.iter().find(|tenant| tenant.name == *name);
        own.or(told.map(|tenant| tenant.quota_per_s)).unwrap_or(0.0)
    };
    let limits = document.limits.unwrap_or_default();
    let retries = document.retries.unwrap_or_default();
    EffectiveConfig {
        quotas: platform.tenants.iter().map(quota).collect(),
        max_open: limits.max_open.map_or(platform.max_open, |most| platform.max_open.min(most.into())),
        max_attempts: limits
            .max_attempts
            .map_or(platform.max_attempts, |most| platform.max_attempts.min(most.into())),
        retries: match platform.retries {
            Some((ratio, free)) => {
                Some((retries.ratio.unwrap_or(ratio).min(ratio), retries.free.unwrap_or(free).min(free)))
            }
            None => retries.ratio.map(|ratio| (ratio, retries.free.unwrap_or(0.0))),
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::text::parse;

    fn engine(name: &str, zone: &str, state: EngineState) -> Engine {
        Engine { name: name.into(), kind: "k".into(), zone: zone.into(), cell: 0, state }
    }

    fn live() -> ProxyState {
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
                tenants: vec![("acme".into(), Some(10.0)), ("zeta".into(), None)],
                max_open: 100,
                max_attempts: 4,
                retries: Some((0.2, 5.0)),
            },
        }
    }

    fn found(text: &str) -> Vec<RejectReason> {
        check(&parse(text).unwrap(), &live())
    }

    #[test]
    fn a_route_to_draining_and_unlisted_engines_is_refused_with_their_names() {
        let refused = found(
            r#"routes { name: "r" classes: "lookup" targets { zone: "west" } targets { engine: "s-9" } }"#,
        );
        let (draining, unlisted) = (vec!["s-2".to_owned()], vec!["s-9".to_owned()]);
        let path = "routes[0].targets".into();
        assert_eq!(
            refused,
            [RejectReason::NoUsableEngine { path, class: "lookup".into(), draining, unlisted }]
        );
        assert!(refused[0].to_string().contains("draining: s-2; not listed: s-9"), "{}", refused[0]);
        assert_eq!(found(r#"routes { name: "r" targets { zone: "west" } otherwise: ANY }"#), []);
        assert_eq!(found(r#"routes { name: "r" targets { zone: "east" } }"#), []);
    }

    #[test]
    fn what_is_in_use_is_not_taken_away() {
        let codes = |text| found(text).iter().map(RejectReason::code).collect::<Vec<_>>();
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
    fn the_platform_wins() {
        let document = parse(
            r#"tenants { name: "acme" quota_per_s: 99 } tenants { name: "zeta" quota_per_s: 7 }
               limits { max_open: 1000 max_attempts: 2 } retries { ratio: 0.9 }"#,
        );
        let counts = effective_config(&document.unwrap(), &live().platform);
        assert_eq!(counts.quotas, [10.0, 7.0]);
        assert_eq!((counts.max_open, counts.max_attempts), (100, 2));
        assert_eq!(counts.retries, Some((0.2, 5.0)));
    }

    #[test]
    fn routes_name_engines_with_weights_and_open_to_all_only_if_they_say_so() {
        let document = parse(
            r#"routes { name: "a" classes: "load" targets { engine: "s-0" weight: 2 } targets { zone: "east" } }
               routes { name: "b" targets { zone: "west" } otherwise: ANY }
               routes { name: "c" targets { zone: "west" } }"#,
        )
        .unwrap();
        let routes = resolve(&document, &live().engines.unwrap());
        let engines: Vec<_> = routes.iter().map(|route| route.engines.clone()).collect();
        let named =
            |names: &[(&str, f64)]| Some(names.iter().map(|(n, w)| (n.to_string(), *w)).collect::<Vec<_>>());
        assert_eq!(engines, [named(&[("s-0", 2.0), ("s-1", 1.0)]), None, named(&[("s-2", 1.0)])]);
    }
}
