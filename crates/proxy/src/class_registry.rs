//! The classes and tenants by the names of the protocol, and what operators are to_json of them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};

use gaugestep_dispatch::Settings;
use gaugestep_dispatch::interface::{ClassId, ClassSettings};

use crate::config::Names;
use crate::lock;

/// What became of the requests of one class since the start.
#[derive(Debug, Default)]
pub struct ClassCounts {
    open: AtomicU64,
    succeeded: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

/// A class under one set of rules; a request keeps it until it ends.
#[derive(Debug)]
pub struct Class {
    /// The module's number.
    pub id: ClassId,
    /// The protocol's name.
    pub name: String,
    counts: Arc<ClassCounts>,
}

impl Class {
    /// ClassCounts a request that is taken.
    pub fn request_opened(&self) {
        self.counts.open.fetch_add(1, Ordering::Relaxed);
    }

    /// ClassCounts a request that was taken and has its answer.
    pub fn request_closed(&self) {
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// ClassCounts a request served.
    pub fn succeeded(&self) {
        self.counts.succeeded.fetch_add(1, Ordering::Relaxed);
    }

    /// ClassCounts a request refused.
    pub fn rejected(&self) {
        self.counts.rejected.fetch_add(1, Ordering::Relaxed);
    }

    /// ClassCounts a request failed.
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

    /// The place of the tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|other| other == name)
    }
}

/// One of the module's classes.
struct Slot {
    rules: ClassSettings,
    class: Weak<Class>,
}

#[derive(Default)]
struct State {
    active: Arc<ActiveClasses>,
    slots: Vec<Slot>,
    /// By name, for good: operators read them after a class has gone, and only they name classes.
    counts: BTreeMap<String, Arc<ClassCounts>>,
}

/// All classes, also those that have gone and still have requests open.
#[derive(Default)]
pub struct ClassRegistry(Mutex<State>);

impl ClassRegistry {
    /// The active in force.
    pub fn active(&self) -> Arc<ActiveClasses> {
        lock(&self.0).active.clone()
    }

    /// Takes new settings: `apply` gets them with the classes at the module's places. A class whose rules change
    /// becomes another one. Guards open requests, which end under the rules that they came under; the place of a
    /// class that has gone is used again once its last request has ended.
    pub fn update(&self, names: &Names, mut settings: Settings, apply: impl FnOnce(Settings, &[Arc<Class>])) {
        let mut state = lock(&self.0);
        let State { active, slots, counts } = &mut *state;
        let mut classes = Vec::with_capacity(names.classes.len());
        for (name, rules) in names.classes.iter().zip(std::mem::take(&mut settings.classes)) {
            let same = |class: &&Arc<Class>| class.name == *name && slots[class.id.0].rules == rules;
            if let Some(class) = active.classes.iter().find(same) {
                classes.push(class.clone());
                continue;
            }
            let free = slots.iter().position(|slot| slot.class.strong_count() == 0);
            let id = ClassId(free.unwrap_or(slots.len()));
            let counts = counts.entry(name.clone()).or_default().clone();
            let class = Arc::new(Class { id, name: name.clone(), counts });
            let slot = Slot { rules, class: Arc::downgrade(&class) };
            match free {
                Some(at) => slots[at] = slot,
                None => slots.push(slot),
            }
            classes.push(class);
        }
        settings.classes = slots.iter().map(|slot| slot.rules.clone()).collect();
        apply(settings, &classes);
        *active = Arc::new(ActiveClasses { classes, tenants: names.tenants.clone() });
    }

    /// The classes by name, with their requests that are open.
    pub fn open_requests(&self) -> Vec<(String, u64)> {
        let state = lock(&self.0);
        let open = |counts: &ClassCounts| counts.open.load(Ordering::Relaxed);
        state.counts.iter().map(|(name, counts)| (name.clone(), open(counts))).collect()
    }

    /// Requests since the start, over all classes: served, refused, failed.
    pub fn totals(&self) -> (u64, u64, u64) {
        let state = lock(&self.0);
        let sum = |of: fn(&ClassCounts) -> &AtomicU64| {
            state.counts.values().map(|counts| of(counts).load(Ordering::Relaxed)).sum()
        };
        (sum(|it| &it.succeeded), sum(|it| &it.rejected), sum(|it| &it.failed))
    }

    /// The counts of each class.
    pub fn counts_json(&self) -> serde_json::Value {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let to_json = |counts: &ClassCounts| {
            serde_json::json!({
                "succeeded": read(&counts.succeeded),
                "declined": read(&counts.rejected),
                "aborted": read(&counts.failed),
            })
        };
        let state = lock(&self.0);
        state.counts.iter().map(|(name, counts)| (name.clone(), to_json(counts))).collect()
    }
}
