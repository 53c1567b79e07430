//! The classes and tenants by the names of the protocol, and what operators are told of them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};

use gaugestep_dispatch::Settings;
use gaugestep_dispatch::interface::{ClassId, ClassSettings};

use crate::config::Names;
use crate::lock;

/// What became of the requests of one class since the start.
#[derive(Debug, Default)]
pub struct Counts {
    open: AtomicU64,
    succeeded: AtomicU64,
    declined: AtomicU64,
    aborted: AtomicU64,
}

/// A class under one set of rules; a request keeps it until it ends.
#[derive(Debug)]
pub struct Class {
    /// The module's number.
    pub id: ClassId,
    /// The protocol's name.
    pub name: String,
    counts: Arc<Counts>,
}

impl Class {
    /// Counts a request that is taken.
    pub fn opened(&self) {
        self.counts.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that was taken and has its answer.
    pub fn closed(&self) {
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts a request served.
    pub fn succeeded(&self) {
        self.counts.succeeded.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request refused.
    pub fn declined(&self) {
        self.counts.declined.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request failed.
    pub fn aborted(&self) {
        self.counts.aborted.fetch_add(1, Ordering::Relaxed);
    }
}

/// The classes and tenants of the settings in force.
#[derive(Debug, Default)]
pub struct Book {
    classes: Vec<Arc<Class>>,
    tenants: Vec<String>,
}

impl Book {
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
    book: Arc<Book>,
    slots: Vec<Slot>,
    /// By name, for good: operators read them after a class has gone, and only they name classes.
    counts: BTreeMap<String, Arc<Counts>>,
}

/// All classes, also those that have gone and still have requests open.
#[derive(Default)]
pub struct Classes(Mutex<State>);

impl Classes {
    /// The book in force.
    pub fn book(&self) -> Arc<Book> {
        lock(&self.0).book.clone()
    }

    /// Takes new settings: `apply` gets them with the classes at the module's places. A class whose rules change
    /// becomes another one. Guards open requests, which end under the rules that they came under; the place of a
    /// class that has gone is used again once its last request has ended.
    pub fn take(&self, names: &Names, mut settings: Settings, apply: impl FnOnce(Settings, &[Arc<Class>])) {
        let mut state = lock(&self.0);
        let State { book, slots, counts } = &mut *state;
        let mut classes = Vec::with_capacity(names.classes.len());
        for (name, rules) in names.classes.iter().zip(std::mem::take(&mut settings.classes)) {
            let same = |class: &&Arc<Class>| class.name == *name && slots[class.id.0].rules == rules;
            if let Some(class) = book.classes.iter().find(same) {
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
        *book = Arc::new(Book { classes, tenants: names.tenants.clone() });
    }

    /// The classes by name, with their requests that are open.
    pub fn open(&self) -> Vec<(String, u64)> {
        let state = lock(&self.0);
        let open = |counts: &Counts| counts.open.load(Ordering::Relaxed);
        state.counts.iter().map(|(name, counts)| (name.clone(), open(counts))).collect()
    }

    /// Requests since the start, over all classes: served, refused, failed.
    pub fn totals(&self) -> (u64, u64, u64) {
        let state = lock(&self.0);
        let sum = |of: fn(&Counts) -> &AtomicU64| {
            state.counts.values().map(|counts| of(counts).load(Ordering::Relaxed)).sum()
        };
        (sum(|it| &it.succeeded), sum(|it| &it.declined), sum(|it| &it.aborted))
    }

    /// The counts of each class.
    pub fn counted(&self) -> serde_json::Value {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let told = |counts: &Counts| {
            serde_json::json!({
                "succeeded": read(&counts.succeeded),
                "declined": read(&counts.declined),
                "aborted": read(&counts.aborted),
            })
        };
        let state = lock(&self.0);
        state.counts.iter().map(|(name, counts)| (name.clone(), told(counts))).collect()
    }
}
