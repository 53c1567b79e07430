//! Validates a document against the present state of a proxy.
//!
//! [`crate::check`] validates what does not depend on the proxy.

use crate::proxy_state::ProxyState;
use crate::schema::target::Which;
use crate::{Document, RejectReason, routing, schema};

/// Returns the faults for which the proxy rejects the document if it is offered now, in the order of its
/// fields; empty if there are none. The document must have passed [`crate::check`].
///
/// The engines of routes are not checked before the first discovery list has arrived.
pub fn check(document: &Document, proxy: &ProxyState) -> Vec<RejectReason> {
    let mut faults = Vec::new();
    check_classes(document, proxy, &mut faults);
    for (index, route) in document.routes.iter().enumerate() {
        check_route_names(document, proxy, index, route, &mut faults);
        faults.extend(check_route_engines(document, proxy, index, route));
    }
    check_tenants(document, proxy, &mut faults);
    check_limits(document, proxy, &mut faults);
    faults
}

fn unknown_class(path: String, name: &str) -> RejectReason {
    RejectReason::UnknownName { path, kind: "class", name: name.to_owned() }
}

fn unknown_tenant(path: String, name: &str) -> RejectReason {
    RejectReason::UnknownName { path, kind: "tenant", name: name.to_owned() }
}

fn check_classes(document: &Document, proxy: &ProxyState, faults: &mut Vec<RejectReason>) {
    for (index, name) in document.classes.iter().enumerate() {
        if !proxy.has_class(name) {
            faults.push(unknown_class(format!("classes[{index}]"), name));
        }
    }
    let dropped = proxy.classes.iter().filter(|class| !routing::serves(document, &class.name));
    for class in dropped.filter(|class| class.open > 0) {
        let (path, open) = ("classes".to_owned(), class.open);
        faults.push(RejectReason::ClassInUse { path, class: class.name.clone(), open });
    }
}

fn check_route_names(
    document: &Document,
    proxy: &ProxyState,
    route_index: usize,
    route: &schema::Route,
    faults: &mut Vec<RejectReason>,
) {
    for (index, name) in route.classes.iter().enumerate() {
        if !proxy.has_class(name) {
            faults.push(unknown_class(format!("routes[{route_index}].classes[{index}]"), name));
        }
    }
    for (index, name) in route.tenants.iter().enumerate() {
        let is_in_document = document.tenants.iter().any(|tenant| tenant.name == *name);
        if !is_in_document && !proxy.has_tenant(name) {
            faults.push(unknown_tenant(format!("routes[{route_index}].tenants[{index}]"), name));
        }
    }
}

/// Returns a fault if requests on a route must wait for its engines although none of them accepts work.
fn check_route_engines(
    document: &Document,
    proxy: &ProxyState,
    route_index: usize,
    route: &schema::Route,
) -> Option<RejectReason> {
    let engines = proxy.engines.as_ref()?;
    if !routing::is_strict(route) || routing::has_usable_engine(route, engines) {
        return None;
    }
    let matching = engines.iter().filter(|engine| routing::weight(route, engine).is_some());
    let is_listed = |name: &str| engines.iter().any(|engine| engine.name == name);
    let unlisted_names = route.targets.iter().filter_map(|target| match &target.which {
        Some(Which::Engine(name)) if !is_listed(name) => Some(name.clone()),
        _ => None,
    });
    Some(RejectReason::NoUsableEngine {
        path: format!("routes[{route_index}].targets"),
        class: example_class(document, proxy, route),
        draining: matching.map(|engine| engine.name.clone()).collect(),
        unlisted: unlisted_names.collect(),
    })
}

/// A class that the route applies to: the first one that it names, or if it names none, the first one that
/// the document serves.
fn example_class(document: &Document, proxy: &ProxyState, route: &schema::Route) -> String {
    let mut served_classes =
        proxy.classes.iter().map(|class| &class.name).filter(|name| routing::serves(document, name));
    route.classes.first().or_else(|| served_classes.next()).cloned().unwrap_or_default()
}

fn check_tenants(document: &Document, proxy: &ProxyState, faults: &mut Vec<RejectReason>) {
    for (index, tenant) in document.tenants.iter().enumerate() {
        if !proxy.has_tenant(&tenant.name) {
            faults.push(unknown_tenant(format!("tenants[{index}].name"), &tenant.name));
        }
    }
}

fn check_limits(document: &Document, proxy: &ProxyState, faults: &mut Vec<RejectReason>) {
    let platform = &proxy.platform;
    let limits = document.limits.unwrap_or_default();
    if let Some(limit) = limits.max_open.map(u64::from).filter(|limit| *limit < proxy.open) {
        let path = "limits.max_open".into();
        faults.push(RejectReason::BelowUse { path, limit, in_use: proxy.open });
    }
    let mut check_upper_bound = |path: &str, value: Option<f64>, platform_limit: f64| {
        if let Some(value) = value.filter(|value| *value > platform_limit) {
            faults.push(RejectReason::BeyondRule { path: path.into(), value, platform_limit });
        }
    };
    check_upper_bound("limits.max_open", limits.max_open.map(f64::from), platform.max_open as f64);
    check_upper_bound(
        "limits.max_attempts",
        limits.max_attempts.map(f64::from),
        platform.max_attempts as f64,
    );
    if let (Some(retries), Some(budget)) = (&document.retries, platform.retries) {
        check_upper_bound("retries.ratio", retries.ratio, budget.ratio);
        check_upper_bound("retries.free", retries.free, budget.free);
    }
}
