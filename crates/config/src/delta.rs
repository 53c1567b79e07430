//! A document as changes to another: routes and tenants by name, all else whole.

use std::collections::BTreeMap;

use crate::schema::Delta;
use crate::{Document, RejectReason};

/// The changes that make `new` of `old`, which is version `base`. Names are unique in both, as [`crate::check`] sees to.
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

/// The document that the changes make of `old`. Whether it is the one meant, its digest tells.
pub fn apply(old: &Document, delta: &Delta) -> Result<Document, RejectReason> {
    Ok(Document {
        routes: ordered("routes", &old.routes, &delta.routes, &delta.route_order, |route| &route.name)?,
        tenants: ordered("tenants", &old.tenants, &delta.tenants, &delta.tenant_order, |tenant| {
            &tenant.name
        })?,
        limits: delta.limits,
        retries: delta.retries,
        logging: delta.logging.clone(),
        classes: delta.classes.clone(),
        proxies: delta.proxies.clone(),
    })
}

/// Entries in the order of their names, the changed ones before the old.
fn ordered<T: Clone>(
    list: &str,
    old: &[T],
    changed: &[T],
    order: &[String],
    name: impl Fn(&T) -> &String,
) -> Result<Vec<T>, RejectReason> {
    let known: BTreeMap<&String, &T> = old.iter().chain(changed).map(|entry| (name(entry), entry)).collect();
    let find = |name: &String| {
        let missing =
            || RejectReason::Unreadable(format!("the change names '{name}' in {list}, which is not there"));
        known.get(name).map(|entry| (*entry).clone()).ok_or_else(missing)
    };
    order.iter().map(find).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::text::parse;

    #[test]
    fn a_change_holds_only_what_differs_and_makes_the_new_document() {
        let old = parse(
            r#"routes { name: "a" targets { cell: 1 } } routes { name: "b" classes: "x" targets { cell: 2 } }
               tenants { name: "t" quota_per_s: 1 } limits { max_open: 5 }"#,
        )
        .unwrap();
        let new = parse(
            r#"routes { name: "b" classes: "x" targets { cell: 3 } } routes { name: "a" targets { cell: 1 } }
               classes: "x""#,
        )
        .unwrap();
        let delta = diff(7, &old, &new);
        assert_eq!(delta.routes.len(), 1);
        assert_eq!(apply(&old, &delta).unwrap(), new);
        assert_eq!(apply(&Document::default(), &delta).unwrap_err().code(), "unreadable");
    }
}
