//! A document as the difference to another: routes and tenants by name, everything else complete.

use std::collections::BTreeMap;

use crate::schema::Delta;
use crate::{Document, RejectReason};

/// The difference that makes `new` of `old`, which is version `base`. Names are unique in both, as [`crate::check`] ensures.
pub fn diff(base: u64, old: &Document, new: &Document) -> Delta {
    Delta {
        base,
        routes: new.routes.iter().filter(|route| !old.routes.contains(route)).cloned().collect(),
        route_order: new.routes.iter().map(|route| route.name.clone()).collect(),
        tenants: new.tenants.iter().filter(|tenant| !old.tenants.contains(tenant)).cloned().collect(),
        tenant_order: new.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        limits: new.limits,
        retries: new.retries,
        logging: new.logging.clone(),
        classes: new.classes.clone(),
        proxies: new.proxies.clone(),
    }
}

/// The document that the difference makes of `old`. Its digest shows whether it is the one meant.
///
/// # Errors
///
/// [`RejectReason::Unreadable`] if the difference orders an entry that neither it nor `old` has.
pub fn apply(old: &Document, delta: &Delta) -> Result<Document, RejectReason> {
    Ok(Document {
        routes: merge("routes", &old.routes, &delta.routes, &delta.route_order, |route| &route.name)?,
        tenants: merge("tenants", &old.tenants, &delta.tenants, &delta.tenant_order, |tenant| &tenant.name)?,
        limits: delta.limits,
        retries: delta.retries,
        logging: delta.logging.clone(),
        classes: delta.classes.clone(),
        proxies: delta.proxies.clone(),
    })
}

/// The entries named by `order`, each from `changed` if it is there, else from `old`.
fn merge<T: Clone>(
    list: &str,
    old: &[T],
    changed: &[T],
    order: &[String],
    name: impl Fn(&T) -> &String,
) -> Result<Vec<T>, RejectReason> {
    // Later entries replace earlier ones of the same name.
    let entries: BTreeMap<&String, &T> =
        old.iter().chain(changed).map(|entry| (name(entry), entry)).collect();
    let find = |name: &String| {
        let missing =
            || RejectReason::Unreadable(format!("the change names '{name}' in {list}, which is not there"));
        entries.get(name).map(|entry| (*entry).clone()).ok_or_else(missing)
    };
    order.iter().map(find).collect()
}
