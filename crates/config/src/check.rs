//! Validates a document by itself, independent of any proxy: ranges, names, references, weights.
//!
//! [`crate::proxy_check`] validates what depends on the state of a proxy.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use crate::schema::logging::Level;
use crate::schema::target::Which;
use crate::{Document, MAX_DOCUMENT_BYTES, RejectReason, schema};

use prost::Message as _;

/// The sizes and ranges that documents may have.
pub mod bounds {
    use std::ops::RangeInclusive;

    /// Largest number of routes.
    pub const MAX_ROUTES: usize = 1_000;
    /// Largest number of targets of one route, of names in one list, and of parts of the program with a log
    /// level.
    pub const MAX_ENTRIES: usize = 1_000;
    /// Largest number of tenants.
    pub const MAX_TENANTS: usize = 10_000;
    /// Largest length of a name, in bytes.
    pub const MAX_NAME_BYTES: usize = 128;
    /// Weight of a target.
    pub const WEIGHT: RangeInclusive<f64> = 0.001..=1_000.0;
    /// Quota of a tenant, in requests per second.
    pub const QUOTA_PER_S: RangeInclusive<f64> = 0.001..=1e9;
    /// Limit on requests open at the same time.
    pub const OPEN_REQUESTS: RangeInclusive<f64> = 1.0..=1e9;
    /// Limit on attempts per request.
    pub const ATTEMPTS: RangeInclusive<f64> = 1.0..=100.0;
    /// Retries allowed per request.
    pub const RETRY_RATIO: RangeInclusive<f64> = 0.0..=1.0;
    /// Retries allowed in addition to these.
    pub const FREE_RETRIES: RangeInclusive<f64> = 0.0..=1e6;
}

/// Number of characters of a bad name that are shown.
const MAX_SHOWN_CHARS: usize = 64;

/// Returns every fault of the document, in the order of its fields; empty if it is valid.
pub fn check(document: &Document) -> Vec<RejectReason> {
    let bytes = document.encoded_len();
    if bytes > MAX_DOCUMENT_BYTES {
        return vec![RejectReason::TooLong { bytes, most: MAX_DOCUMENT_BYTES }];
    }
    let mut checker = Checker::default();
    checker.check_routes(&document.routes);
    checker.check_tenants(&document.tenants);
    if let Some(limits) = &document.limits {
        checker.check_range("limits.max_open", limits.max_open.map(f64::from), bounds::OPEN_REQUESTS);
        checker.check_range("limits.max_attempts", limits.max_attempts.map(f64::from), bounds::ATTEMPTS);
    }
    if let Some(retries) = &document.retries {
        checker.check_range("retries.ratio", retries.ratio, bounds::RETRY_RATIO);
        checker.check_range("retries.free", retries.free, bounds::FREE_RETRIES);
    }
    if let Some(logging) = &document.logging {
        checker.check_logging(logging);
    }
    checker.check_names("classes", &document.classes);
    checker.check_names("proxies", &document.proxies);
    checker.check_class_references(document);
    checker.faults
}

/// Collects the faults of one document.
#[derive(Default)]
struct Checker {
    faults: Vec<RejectReason>,
}

impl Checker {
    fn check_range(&mut self, path: &str, value: Option<f64>, allowed: RangeInclusive<f64>) {
        // No range contains NaN.
        if let Some(value) = value.filter(|value| !allowed.contains(value)) {
            let (least, most) = allowed.into_inner();
            self.faults.push(RejectReason::OutOfRange { path: path.into(), value, least, most });
        }
    }

    /// Checks that a name consists of printable ASCII characters without separators: names appear in logs and
    /// metrics, and those of classes and tenants also in the query comment that contains the fields of a
    /// request.
    fn check_name(&mut self, path: &str, name: &str) {
        let is_allowed = |c: char| c.is_ascii_graphic() && !matches!(c, ',' | '=' | '*' | '/' | '"' | '\\');
        if name.is_empty() {
            self.add_missing(path);
        } else if name.len() > bounds::MAX_NAME_BYTES || !name.chars().all(is_allowed) {
            let name = name.chars().take(MAX_SHOWN_CHARS).collect();
            self.faults.push(RejectReason::BadName { path: path.into(), name });
        }
    }

    /// Checks a name that must not be among `earlier_names`, and adds it to them.
    fn check_unique_name<'a>(&mut self, path: &str, name: &'a str, earlier_names: &mut BTreeSet<&'a str>) {
        self.check_name(path, name);
        if !earlier_names.insert(name) {
            self.faults.push(RejectReason::Duplicate { path: path.into(), name: name.to_owned() });
        }
    }

    /// Checks a list of names that must be unique.
    fn check_names(&mut self, path: &str, names: &[String]) {
        self.check_length(path, names.len(), bounds::MAX_ENTRIES);
        let mut earlier_names = BTreeSet::new();
        for (index, name) in names.iter().enumerate() {
            self.check_unique_name(&format!("{path}[{index}]"), name, &mut earlier_names);
        }
    }

    fn check_length(&mut self, path: &str, entries: usize, most: usize) {
        if entries > most {
            self.faults.push(RejectReason::TooMany { path: path.into(), entries, most });
        }
    }

    fn add_missing(&mut self, path: &str) {
        self.faults.push(RejectReason::Missing { path: path.into() });
    }

    fn add_unknown_value(&mut self, path: String, value: i32) {
        self.faults.push(RejectReason::Unknown { path, value });
    }

    fn check_routes(&mut self, routes: &[schema::Route]) {
        self.check_length("routes", routes.len(), bounds::MAX_ROUTES);
        let mut earlier_names = BTreeSet::new();
        for (index, route) in routes.iter().enumerate() {
            let path = format!("routes[{index}]");
            self.check_unique_name(&format!("{path}.name"), &route.name, &mut earlier_names);
            self.check_names(&format!("{path}.classes"), &route.classes);
            self.check_names(&format!("{path}.tenants"), &route.tenants);
            self.check_targets(&format!("{path}.targets"), &route.targets);
            if schema::route::Otherwise::try_from(route.otherwise).is_err() {
                self.add_unknown_value(format!("{path}.otherwise"), route.otherwise);
            }
            if let Some(earlier) = routes[..index].iter().find(|earlier| shadows(earlier, route)) {
                self.faults.push(RejectReason::Unreachable { path, earlier: earlier.name.clone() });
            }
        }
    }

    fn check_targets(&mut self, path: &str, targets: &[schema::Target]) {
        self.check_length(path, targets.len(), bounds::MAX_ENTRIES);
        if targets.is_empty() {
            self.add_missing(path);
        }
        for (index, target) in targets.iter().enumerate() {
            let path = format!("{path}[{index}]");
            match &target.which {
                None => self.add_missing(&path),
                Some(Which::Engine(name)) => self.check_name(&format!("{path}.engine"), name),
                Some(Which::Kind(name)) => self.check_name(&format!("{path}.kind"), name),
                Some(Which::Zone(name)) => self.check_name(&format!("{path}.zone"), name),
                Some(Which::Cell(_)) => {}
            }
            let selects_same = |earlier: &schema::Target| earlier.which == target.which;
            if target.which.is_some() && targets[..index].iter().any(selects_same) {
                let name = describe_target(target);
                self.faults.push(RejectReason::Duplicate { path: path.clone(), name });
            }
            self.check_range(&format!("{path}.weight"), target.weight, bounds::WEIGHT);
        }
    }

    fn check_tenants(&mut self, tenants: &[schema::Tenant]) {
        self.check_length("tenants", tenants.len(), bounds::MAX_TENANTS);
        let mut earlier_names = BTreeSet::new();
        for (index, tenant) in tenants.iter().enumerate() {
            let path = format!("tenants[{index}]");
            self.check_unique_name(&format!("{path}.name"), &tenant.name, &mut earlier_names);
            self.check_range(&format!("{path}.quota_per_s"), Some(tenant.quota_per_s), bounds::QUOTA_PER_S);
        }
    }

    fn check_logging(&mut self, logging: &schema::Logging) {
        self.check_level("logging.level", logging.level);
        self.check_length("logging.parts", logging.parts.len(), bounds::MAX_ENTRIES);
        for (index, part) in logging.parts.iter().enumerate() {
            let path = format!("logging.parts[{index}]");
            self.check_name(&format!("{path}.name"), &part.name);
            self.check_level(&format!("{path}.level"), part.level);
        }
    }

    fn check_level(&mut self, path: &str, value: i32) {
        if Level::try_from(value).is_err() {
            self.add_unknown_value(path.into(), value);
        }
    }

    /// Checks that routes name only classes that the document serves. A route for another class would never
    /// apply, so it is treated as a mistake.
    fn check_class_references(&mut self, document: &Document) {
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

/// Whether the earlier route matches every request that the later route matches.
fn shadows(earlier: &schema::Route, later: &schema::Route) -> bool {
    // An empty list matches all classes or tenants.
    let covers = |wide: &[String], narrow: &[String]| {
        wide.is_empty() || !narrow.is_empty() && narrow.iter().all(|name| wide.contains(name))
    };
    covers(&earlier.classes, &later.classes) && covers(&earlier.tenants, &later.tenants)
}

/// The text that describes a target to operators.
pub fn describe_target(target: &schema::Target) -> String {
    match &target.which {
        None => "nothing".into(),
        Some(Which::Engine(name)) => format!("engine {name}"),
        Some(Which::Kind(name)) => format!("kind {name}"),
        Some(Which::Zone(name)) => format!("zone {name}"),
        Some(Which::Cell(cell)) => format!("cell {cell}"),
    }
}
