//! The classes and tenants by the names of the protocol, with the counts of their requests.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};

use gaugestep_dispatch::Settings;
use gaugestep_dispatch::interface::{ClassId, ClassSettings};

use crate::config::Names;
use crate::lock;

/// The requests of one class: those that are open, and how the others ended since the start.
#[derive(Debug, Default)]
pub struct ClassCounts {
    open: AtomicU64,
    succeeded: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

impl ClassCounts {
    fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "succeeded": read(&self.succeeded),
            "declined": read(&self.rejected),
            "aborted": read(&self.failed),
        })
    }
}

/// How requests ended, over all classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTotals {
    /// Requests that were served.
    pub succeeded: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// A class under one set of rules; a request keeps it until it ends.
#[derive(Debug)]
pub struct Class {
    /// The dispatcher's number of it.
    pub id: ClassId,
    /// Its name in the protocol.
    pub name: String,
    counts: Arc<ClassCounts>,
}

impl Class {
    /// Counts a request that is accepted.
    pub fn request_opened(&self) {
        self.counts.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that was accepted and has its answer.
    pub fn request_closed(&self) {
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts a request that was served.
    pub fn succeeded(&self) {
        self.counts.succeeded.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that was rejected.
    pub fn rejected(&self) {
        self.counts.rejected.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that failed.
    pub fn failed(&self) {
        self.counts.failed.fetch_add(1, Ordering::Relaxed);
    }
}

/// The classes and tenants of the settings in force.
#[derive(Debug, Default)]
pub struct ActiveClasses {
    classes: Vec<Arc<Class>>,
    tenants: Vec<String>,
}

impl ActiveClasses {
    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<&Arc<Class>> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The position of the tenant of this name in the settings.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|other| other == name)
    }
}

/// One of the dispatcher's classes.
struct Slot {
    rules: ClassSettings,
    /// Gone once the class is not in force and no request of it is open.
    class: Weak<Class>,
}

#[derive(Default)]
struct State {
    active: Arc<ActiveClasses>,
    /// By the dispatcher's numbers.
    slots: Vec<Slot>,
    /// By name. Never removed: operators read the counts of a class that is no longer in force, and only operators name
    /// classes.
    counts: BTreeMap<String, Arc<ClassCounts>>,
}

impl State {
    /// The class of this name under these rules: the one in force, or else a new one.
    fn class(&mut self, name: &str, rules: ClassSettings) -> Arc<Class> {
        let slots = &self.slots;
        let is_same = |class: &&Arc<Class>| class.name == name && slots[class.id.0].rules == rules;
        if let Some(class) = self.active.classes.iter().find(is_same) {
            return class.clone();
        }
        let free = slots.iter().position(|slot| slot.class.strong_count() == 0);
        let id = ClassId(free.unwrap_or(slots.len()));
        let counts = self.counts.entry(name.to_owned()).or_default().clone();
        let class = Arc::new(Class { id, name: name.to_owned(), counts });
        let slot = Slot { rules, class: Arc::downgrade(&class) };
        match free {
            Some(at) => self.slots[at] = slot,
            None => self.slots.push(slot),
        }
        class
    }
}

/// All classes, also those that are no longer in force and still have requests open.
#[derive(Default)]
pub struct ClassRegistry(Mutex<State>);

impl ClassRegistry {
    /// The classes and tenants in force.
    pub fn active(&self) -> Arc<ActiveClasses> {
        lock(&self.0).active.clone()
    }

    /// Puts new settings into force. `apply` is given the settings with their classes in the order of the dispatcher's
    /// numbers, and the classes in the order of `names`.
    ///
    /// A class whose rules change becomes another class: open requests end under the rules that they were opened under. The
    /// number of a class that is no longer in force is used again once its last request has ended.
    pub fn update(&self, names: &Names, mut settings: Settings, apply: impl FnOnce(Settings, &[Arc<Class>])) {
        let mut state = lock(&self.0);
        let rules = std::mem::take(&mut settings.classes);
        let named = names.classes.iter().zip(rules);
        let classes: Vec<_> = named.map(|(name, rules)| state.class(name, rules)).collect();
        settings.classes = state.slots.iter().map(|slot| slot.rules.clone()).collect();
        apply(settings, &classes);
        state.active = Arc::new(ActiveClasses { classes, tenants: names.tenants.clone() });
    }

    /// The classes by name, with the number of their open requests.
    pub fn open_requests(&self) -> Vec<(String, u64)> {
        let state = lock(&self.0);
        state.counts.iter().map(|(name, counts)| (name.clone(), read(&counts.open))).collect()
    }

    /// How the requests of all classes ended since the start.
    pub fn totals(&self) -> RequestTotals {
        let state = lock(&self.0);
        let sum = |count: fn(&ClassCounts) -> &AtomicU64| {
            state.counts.values().map(|counts| read(count(counts))).sum()
        };
        RequestTotals {
            succeeded: sum(|counts| &counts.succeeded),
            rejected: sum(|counts| &counts.rejected),
            failed: sum(|counts| &counts.failed),
        }
    }

    /// The counts of each class by name, as operators read them.
    pub fn counts_json(&self) -> serde_json::Value {
        let state = lock(&self.0);
        state.counts.iter().map(|(name, counts)| (name.clone(), counts.to_json())).collect()
    }
}

fn read(count: &AtomicU64) -> u64 {
    count.load(Ordering::Relaxed)
}
