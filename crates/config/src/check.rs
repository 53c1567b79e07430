//! Whether a document can be used at all, whatever the proxy: types, ranges, names, references, weights.
//!
//! What depends on the proxy as it runs is decided in [`crate::proxy_state`].

use std::collections::BTreeSet;

use crate::schema::logging::Level;
use crate::schema::target::Which;
use crate::{Document, MAX_DOCUMENT_LENGTH, RejectReason, schema};

use prost::Message as _;

/// Bounds of what a document may hold.
pub mod bounds {
    /// Routes.
    pub const ROUTES: usize = 1_000;
    /// Targets of one route, names in one list, parts that are logged.
    pub const ENTRIES: usize = 1_000;
    /// Tenants.
    pub const TENANTS: usize = 10_000;
    /// Bytes of a name.
    pub const NAME: usize = 128;
    /// A target's weight.
    pub const WEIGHT: (f64, f64) = (0.001, 1_000.0);
    /// A tenant's requests a second.
    pub const QUOTA: (f64, f64) = (0.001, 1e9);
    /// Requests open together, and attempts for one request.
    pub const OPEN: (f64, f64) = (1.0, 1e9);
    /// See [`OPEN`].
    pub const ATTEMPTS: (f64, f64) = (1.0, 100.0);
    /// Further attempts for each request, and on top.
    pub const RATIO: (f64, f64) = (0.0, 1.0);
    /// See [`RATIO`].
    pub const FREE: (f64, f64) = (0.0, 1e6);
}

/// Everything that is wrong with the document, in the order of its fields.
pub fn check(document: &Document) -> Vec<RejectReason> {
    let bytes = document.encoded_len();
    if bytes > MAX_DOCUMENT_LENGTH {
        return vec![RejectReason::TooLong { bytes, most: MAX_DOCUMENT_LENGTH }];
    }
    let mut checker = Checker::default();
    checker.routes(&document.routes);
    checker.tenants(&document.tenants);
    if let Some(limits) = &document.limits {
        checker.range("limits.max_open", limits.max_open.map(f64::from), bounds::OPEN);
        checker.range("limits.max_attempts", limits.max_attempts.map(f64::from), bounds::ATTEMPTS);
    }
    if let Some(retries) = &document.retries {
        checker.range("retries.ratio", retries.ratio, bounds::RATIO);
        checker.range("retries.free", retries.free, bounds::FREE);
    }
    if let Some(logging) = &document.logging {
        checker.logging(logging);
    }
    checker.names("classes", &document.classes);
    checker.names("proxies", &document.proxies);
    checker.references(document);
    checker.found
}

#[derive(Default)]
struct Checker {
    found: Vec<RejectReason>,
}

impl Checker {
    fn range(&mut self, path: &str, value: Option<f64>, (least, most): (f64, f64)) {
        // Not a number lies in no range.
        if let Some(value) = value.filter(|value| !(least..=most).contains(value)) {
            self.found.push(RejectReason::OutOfRange { path: path.into(), value, least, most });
        }
    }

    /// Names go into logs, figures and, as classes and tenants, into the comment that holds a request's fields.
    fn name(&mut self, path: &str, name: &str) {
        let plain = |c: char| c.is_ascii_graphic() && !matches!(c, ',' | '=' | '*' | '/' | '"' | '\\');
        if name.is_empty() {
            self.found.push(RejectReason::Missing { path: path.into() });
        } else if name.len() > bounds::NAME || !name.chars().all(plain) {
            self.found
                .push(RejectReason::BadName { path: path.into(), name: name.chars().take(64).collect() });
        }
    }

    /// A list of names, none twice.
    fn names(&mut self, path: &str, names: &[String]) {
        self.length(path, names.len(), bounds::ENTRIES);
        let mut seen = BTreeSet::new();
        for (at, name) in names.iter().enumerate() {
            let path = format!("{path}[{at}]");
            self.name(&path, name);
            if !seen.insert(name) {
                self.found.push(RejectReason::Duplicate { path, name: name.clone() });
            }
        }
    }

    fn length(&mut self, path: &str, entries: usize, most: usize) {
        if entries > most {
            self.found.push(RejectReason::TooMany { path: path.into(), entries, most });
        }
    }

    fn routes(&mut self, routes: &[schema::Route]) {
        self.length("routes", routes.len(), bounds::ROUTES);
        let mut seen = BTreeSet::new();
        for (at, route) in routes.iter().enumerate() {
            let path = format!("routes[{at}]");
            self.name(&format!("{path}.name"), &route.name);
            if !seen.insert(&route.name) {
                let path = format!("{path}.name");
                self.found.push(RejectReason::Duplicate { path, name: route.name.clone() });
            }
            self.names(&format!("{path}.classes"), &route.classes);
            self.names(&format!("{path}.tenants"), &route.tenants);
            self.targets(&format!("{path}.targets"), &route.targets);
            if schema::route::Otherwise::try_from(route.otherwise).is_err() {
                let path = format!("{path}.otherwise");
                self.found.push(RejectReason::Unknown { path, value: route.otherwise });
            }
            let covers = |before: &schema::Route| {
                let all = |wide: &[String], narrow: &[String]| {
                    wide.is_empty() || !narrow.is_empty() && narrow.iter().all(|name| wide.contains(name))
                };
                all(&before.classes, &route.classes) && all(&before.tenants, &route.tenants)
            };
            if let Some(behind) = routes[..at].iter().find(|before| covers(before)) {
                self.found.push(RejectReason::Unreachable { path, behind: behind.name.clone() });
            }
        }
    }

    fn targets(&mut self, path: &str, targets: &[schema::Target]) {
        self.length(path, targets.len(), bounds::ENTRIES);
        if targets.is_empty() {
            self.found.push(RejectReason::Missing { path: path.into() });
        }
        for (at, target) in targets.iter().enumerate() {
            let path = format!("{path}[{at}]");
            match &target.which {
                None => self.found.push(RejectReason::Missing { path: path.clone() }),
                Some(Which::Engine(name)) => self.name(&format!("{path}.engine"), name),
                Some(Which::Kind(name)) => self.name(&format!("{path}.kind"), name),
                Some(Which::Zone(name)) => self.name(&format!("{path}.zone"), name),
                Some(Which::Cell(_)) => {}
            }
            if targets[..at].iter().any(|before| before.which.is_some() && before.which == target.which) {
                let name = describe_target(target);
                self.found.push(RejectReason::Duplicate { path: path.clone(), name });
            }
            self.range(&format!("{path}.weight"), target.weight, bounds::WEIGHT);
        }
    }

    fn tenants(&mut self, tenants: &[schema::Tenant]) {
        self.length("tenants", tenants.len(), bounds::TENANTS);
        let mut seen = BTreeSet::new();
        for (at, tenant) in tenants.iter().enumerate() {
            let path = format!("tenants[{at}]");
            self.name(&format!("{path}.name"), &tenant.name);
            if !seen.insert(&tenant.name) {
                let path = format!("{path}.name");
                self.found.push(RejectReason::Duplicate { path, name: tenant.name.clone() });
            }
            self.range(&format!("{path}.quota_per_s"), Some(tenant.quota_per_s), bounds::QUOTA);
        }
    }

    fn logging(&mut self, logging: &schema::Logging) {
        self.level("logging.level", logging.level);
        self.length("logging.parts", logging.parts.len(), bounds::ENTRIES);
        for (at, part) in logging.parts.iter().enumerate() {
            let path = format!("logging.parts[{at}]");
            self.name(&format!("{path}.name"), &part.name);
            self.level(&format!("{path}.level"), part.level);
        }
    }

    fn level(&mut self, path: &str, value: i32) {
        if Level::try_from(value).is_err() {
            self.found.push(RejectReason::Unknown { path: path.into(), value });
        }
    }

    /// A route for a class that the same document drops would never be used: a slip of the pen.
    fn references(&mut self, document: &Document) {
        if document.classes.is_empty() {
            return;
        }
        for (at, route) in document.routes.iter().enumerate() {
            for (place, class) in route.classes.iter().enumerate() {
                if !document.classes.contains(class) {
                    self.found.push(RejectReason::UnknownName {
                        path: format!("routes[{at}].classes[{place}]"),
                        kind: "class",
                        name: class.clone(),
                    });
                }
            }
        }
    }
}

/// A target as people read it.
pub fn describe_target(target: &schema::Target) -> String {
    match &target.which {
        None => "nothing".into(),
        Some(Which::Engine(name)) => format!("engine {name}"),
        Some(Which::Kind(name)) => format!("kind {name}"),
        Some(Which::Zone(name)) => format!("zone {name}"),
        Some(Which::Cell(cell)) => format!("cell {cell}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::text;

    fn found(text: &str) -> Vec<(&'static str, String)> {
        let document = text::parse(text).unwrap();
        check(&document).iter().map(|refusal| (refusal.code(), refusal.path().to_owned())).collect()
    }

    #[test]
    fn each_fault_is_told_with_the_path_of_its_field() {
        let cases = [
            (r#"routes { name: "a" }"#, "missing", "routes[0].targets"),
            (r#"routes { targets { cell: 1 } }"#, "missing", "routes[0].name"),
            (r#"routes { name: "a" targets { } }"#, "missing", "routes[0].targets[0]"),
            (r#"routes { name: "a" targets { zone: "" } }"#, "missing", "routes[0].targets[0].zone"),
            (
                r#"routes { name: "a" targets { cell: 1 weight: 0 } }"#,
                "out-of-range",
                "routes[0].targets[0].weight",
            ),
            (
                r#"routes { name: "a" targets { cell: 1 weight: nan } }"#,
                "out-of-range",
                "routes[0].targets[0].weight",
            ),
            (
                r#"routes { name: "a" targets { cell: 1 } targets { cell: 1 } }"#,
                "duplicate",
                "routes[0].targets[1]",
            ),
            (r#"routes { name: "a b" targets { cell: 1 } }"#, "bad-name", "routes[0].name"),
            (
                r#"routes { name: "a" classes: "x" targets { cell: 1 } } classes: "y""#,
                "unknown-name",
                "routes[0].classes[0]",
            ),
            (
                r#"routes { name: "a" targets { cell: 1 } } routes { name: "b" classes: "x" targets { cell: 2 } }"#,
                "unreachable",
                "routes[1]",
            ),
            (r#"tenants { name: "t" }"#, "out-of-range", "tenants[0].quota_per_s"),
            (r#"limits { max_open: 0 }"#, "out-of-range", "limits.max_open"),
            (r#"retries { ratio: -0.5 }"#, "out-of-range", "retries.ratio"),
            (r#"logging { level: 9 }"#, "unknown-value", "logging.level"),
            (r#"classes: "x" classes: "x""#, "duplicate", "classes[1]"),
        ];
        for (text, code, path) in cases {
            assert_eq!(found(text), [(code, path.to_owned())], "{text}");
        }
    }

    #[test]
    fn all_faults_are_told_at_once_and_a_sound_document_has_none() {
        assert_eq!(found("limits { max_open: 0 } retries { ratio: 2 }").len(), 2);
        let sound = r#"routes { name: "a" classes: "x" targets { engine: "s-1" } }
            routes { name: "b" targets { zone: "east" weight: 3 } targets { zone: "west" } otherwise: ANY }"#;
        assert_eq!(found(sound), []);
        assert_eq!(check(&Document::default()), []);
    }
}
