//! The difference between two documents: changed routes and tenants by name, everything else complete.

use std::collections::BTreeMap;

use crate::schema::Delta;
use crate::{Document, RejectReason};

/// Computes the delta that turns `old`, the document of version `base`, into `new`. Names must be unique in
/// both, which [`crate::check`] ensures.
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

/// Applies a delta to `old` and returns the new document. Its digest must be compared with
/// that of the offered version.
///
/// # Errors
///
/// [`RejectReason::Unreadable`] if the order of entries in the delta names one that neither the delta nor
/// `old` has.
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

/// Returns the entries named by `order`, each from `changed` if it is there, otherwise from `old`.
fn merge<T: Clone>(
    list_name: &str,
    old: &[T],
    changed: &[T],
    order: &[String],
    name_of: impl Fn(&T) -> &String,
) -> Result<Vec<T>, RejectReason> {
    // Entries of `changed` replace those of `old` that have the same name.
    let entries: BTreeMap<&String, &T> =
        old.iter().chain(changed).map(|entry| (name_of(entry), entry)).collect();
    let find = |name: &String| {
        let missing = || {
            RejectReason::Unreadable(format!("the change names '{name}' in {list_name}, which is not there"))
        };
        entries.get(name).map(|entry| (*entry).clone()).ok_or_else(missing)
    };
    order.iter().map(find).collect()
}
