//! Whether a document is valid by itself, whatever the proxy: ranges, names, references, weights.
//!
//! What depends on the proxy as it runs is checked in [`crate::proxy_check`].

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use crate::schema::logging::Level;
use crate::schema::target::Which;
use crate::{Document, MAX_DOCUMENT_LENGTH, RejectReason, schema};

use prost::Message as _;

/// What a document may hold.
pub mod bounds {
    use std::ops::RangeInclusive;

    /// Routes.
    pub const ROUTES: usize = 1_000;
    /// Targets of one route, names in one list, parts of the program that are logged.
    pub const ENTRIES: usize = 1_000;
    /// Tenants.
    pub const TENANTS: usize = 10_000;
    /// Bytes of a name.
    pub const NAME: usize = 128;
    /// The weight of a target.
    pub const WEIGHT: RangeInclusive<f64> = 0.001..=1_000.0;
    /// Requests per second of a tenant.
    pub const QUOTA: RangeInclusive<f64> = 0.001..=1e9;
    /// Requests open together.
    pub const OPEN: RangeInclusive<f64> = 1.0..=1e9;
    /// Attempts for one request.
    pub const ATTEMPTS: RangeInclusive<f64> = 1.0..=100.0;
    /// Retries for each request.
    pub const RATIO: RangeInclusive<f64> = 0.0..=1.0;
    /// Retries on top of these.
    pub const FREE: RangeInclusive<f64> = 0.0..=1e6;
}

/// Characters of a bad name that are shown.
const MAX_SHOWN_NAME: usize = 64;

/// Every fault of the document, in the order of its fields.
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
    checker.faults
}

/// Collects the faults of one document.
#[derive(Default)]
struct Checker {
    faults: Vec<RejectReason>,
}

impl Checker {
    fn range(&mut self, path: &str, value: Option<f64>, allowed: RangeInclusive<f64>) {
        // No range contains NaN.
        if let Some(value) = value.filter(|value| !allowed.contains(value)) {
            let (least, most) = allowed.into_inner();
            self.faults.push(RejectReason::OutOfRange { path: path.into(), value, least, most });
        }
    }

    /// A name must be printable and free of separators: names appear in logs and figures and, as classes and tenants, in
    /// the comment of a query that holds a request's fields.
    fn name(&mut self, path: &str, name: &str) {
        let is_allowed = |c: char| c.is_ascii_graphic() && !matches!(c, ',' | '=' | '*' | '/' | '"' | '\\');
        if name.is_empty() {
            self.missing(path);
        } else if name.len() > bounds::NAME || !name.chars().all(is_allowed) {
            let name = name.chars().take(MAX_SHOWN_NAME).collect();
            self.faults.push(RejectReason::BadName { path: path.into(), name });
        }
    }

    /// A name that no entry before it may have.
    fn unique_name<'a>(&mut self, path: &str, name: &'a str, seen: &mut BTreeSet<&'a str>) {
        self.name(path, name);
        if !seen.insert(name) {
            self.faults.push(RejectReason::Duplicate { path: path.into(), name: name.to_owned() });
        }
    }

    /// A list of names, none of them twice.
    fn names(&mut self, path: &str, names: &[String]) {
        self.length(path, names.len(), bounds::ENTRIES);
        let mut seen = BTreeSet::new();
        for (index, name) in names.iter().enumerate() {
            self.unique_name(&format!("{path}[{index}]"), name, &mut seen);
        }
    }

    fn length(&mut self, path: &str, entries: usize, most: usize) {
        if entries > most {
            self.faults.push(RejectReason::TooMany { path: path.into(), entries, most });
        }
    }

    fn missing(&mut self, path: &str) {
        self.faults.push(RejectReason::Missing { path: path.into() });
    }

    fn unknown_value(&mut self, path: String, value: i32) {
        self.faults.push(RejectReason::Unknown { path, value });
    }

    fn routes(&mut self, routes: &[schema::Route]) {
        self.length("routes", routes.len(), bounds::ROUTES);
        let mut seen = BTreeSet::new();
        for (index, route) in routes.iter().enumerate() {
            let path = format!("routes[{index}]");
            self.unique_name(&format!("{path}.name"), &route.name, &mut seen);
            self.names(&format!("{path}.classes"), &route.classes);
            self.names(&format!("{path}.tenants"), &route.tenants);
            self.targets(&format!("{path}.targets"), &route.targets);
            if schema::route::Otherwise::try_from(route.otherwise).is_err() {
                self.unknown_value(format!("{path}.otherwise"), route.otherwise);
            }
            if let Some(earlier) = routes[..index].iter().find(|earlier| shadows(earlier, route)) {
                self.faults.push(RejectReason::Unreachable { path, behind: earlier.name.clone() });
            }
        }
    }

    fn targets(&mut self, path: &str, targets: &[schema::Target]) {
        self.length(path, targets.len(), bounds::ENTRIES);
        if targets.is_empty() {
            self.missing(path);
        }
        for (index, target) in targets.iter().enumerate() {
            let path = format!("{path}[{index}]");
            match &target.which {
                None => self.missing(&path),
                Some(Which::Engine(name)) => self.name(&format!("{path}.engine"), name),
                Some(Which::Kind(name)) => self.name(&format!("{path}.kind"), name),
                Some(Which::Zone(name)) => self.name(&format!("{path}.zone"), name),
                Some(Which::Cell(_)) => {}
            }
            let is_same = |earlier: &schema::Target| earlier.which == target.which;
            if target.which.is_some() && targets[..index].iter().any(is_same) {
                let name = describe_target(target);
                self.faults.push(RejectReason::Duplicate { path: path.clone(), name });
            }
            self.range(&format!("{path}.weight"), target.weight, bounds::WEIGHT);
        }
    }

    fn tenants(&mut self, tenants: &[schema::Tenant]) {
        self.length("tenants", tenants.len(), bounds::TENANTS);
        let mut seen = BTreeSet::new();
        for (index, tenant) in tenants.iter().enumerate() {
            let path = format!("tenants[{index}]");
            self.unique_name(&format!("{path}.name"), &tenant.name, &mut seen);
            self.range(&format!("{path}.quota_per_s"), Some(tenant.quota_per_s), bounds::QUOTA);
        }
    }

    fn logging(&mut self, logging: &schema::Logging) {
        self.level("logging.level", logging.level);
        self.length("logging.parts", logging.parts.len(), bounds::ENTRIES);
        for (index, part) in logging.parts.iter().enumerate() {
            let path = format!("logging.parts[{index}]");
            self.name(&format!("{path}.name"), &part.name);
            self.level(&format!("{path}.level"), part.level);
        }
    }

    fn level(&mut self, path: &str, value: i32) {
        if Level::try_from(value).is_err() {
            self.unknown_value(path.into(), value);
        }
    }

    /// A route for a class that the same document drops would never be used, so it is taken for a mistake.
    fn references(&mut self, document: &Document) {
        if document.classes.is_empty() {
            return;
        }
        for (route_index, route) in document.routes.iter().enumerate() {
            for (index, class) in route.classes.iter().enumerate() {
                if !document.classes.contains(class) {
                    let path = format!("routes[{route_index}].classes[{index}]");
                    let name = class.clone();
                    self.faults.push(RejectReason::UnknownName { path, kind: "class", name });
                }
            }
        }
    }
}

/// Whether the earlier route matches every request that the later one matches.
fn shadows(earlier: &schema::Route, later: &schema::Route) -> bool {
    // An empty list names all of them.
    let covers = |wide: &[String], narrow: &[String]| {
        wide.is_empty() || !narrow.is_empty() && narrow.iter().all(|name| wide.contains(name))
    };
    covers(&earlier.classes, &later.classes) && covers(&earlier.tenants, &later.tenants)
}

/// A target as it is shown to operators.
pub fn describe_target(target: &schema::Target) -> String {
    match &target.which {
        None => "nothing".into(),
        Some(Which::Engine(name)) => format!("engine {name}"),
        Some(Which::Kind(name)) => format!("kind {name}"),
        Some(Which::Zone(name)) => format!("zone {name}"),
        Some(Which::Cell(cell)) => format!("cell {cell}"),
    }
}
