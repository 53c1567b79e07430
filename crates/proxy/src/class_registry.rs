//! The classes and tenants by the names that requests give, with the request counts of each class.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};

use gaugestep_dispatch::Settings;
use gaugestep_dispatch::interface::{ClassId, ClassSettings};

use crate::config::Names;
use crate::lock;

/// Request counts of one class name: open requests, and ended requests by outcome since the start of the
/// proxy.
#[derive(Debug, Default)]
pub struct ClassCounts {
    open: AtomicU64,
    succeeded: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

impl ClassCounts {
    /// Returns the counts of ended requests under the key names that operators read.
    fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "succeeded": load(&self.succeeded),
            "declined": load(&self.rejected),
            "aborted": load(&self.failed),
        })
    }
}

/// Ended requests of all classes by outcome, since the start of the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTotals {
    /// Number of served requests.
    pub succeeded: u64,
    /// Number of rejected requests.
    pub rejected: u64,
    /// Number of failed requests.
    pub failed: u64,
}

/// A class with fixed settings. A request refers to the same `Class` until it ends, also when the settings
/// change.
#[derive(Debug)]
pub struct Class {
    /// The dispatcher's index of the class.
    pub id: ClassId,
    /// The name by which requests select the class.
    pub name: String,
    counts: Arc<ClassCounts>,
}

impl Class {
    /// Counts an accepted request as open.
    pub fn record_opened(&self) {
        self.counts.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends the count of a request as open, once its response has been written.
    pub fn record_closed(&self) {
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts a served request.
    pub fn record_succeeded(&self) {
        self.counts.succeeded.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a rejected request.
    pub fn record_rejected(&self) {
        self.counts.rejected.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a failed request.
    pub fn record_failed(&self) {
        self.counts.failed.fetch_add(1, Ordering::Relaxed);
    }
}

/// The classes and tenants of the current settings.
#[derive(Debug, Default)]
pub struct ActiveClasses {
    classes: Vec<Arc<Class>>,
    tenants: Vec<String>,
}

impl ActiveClasses {
    /// Returns the class of this name, or `None` if the current settings have no such class.
    pub fn class(&self, name: &str) -> Option<&Arc<Class>> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns the index of the tenant of this name, or `None` if the current settings have no such tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant == name)
    }
}

/// An entry of the dispatcher's list of classes.
struct ClassSlot {
    settings: ClassSettings,
    /// Dangling once the class has been removed from the settings and its last request has ended: the slot
    /// is then free.
    class: Weak<Class>,
}

#[derive(Default)]
struct RegistryState {
    active: Arc<ActiveClasses>,
    /// Indexed by [`ClassId`].
    slots: Vec<ClassSlot>,
    /// Counts by class name. Entries are never removed, because operators also read the counts of removed
    /// classes. The map stays small, because only operators define class names.
    counts: BTreeMap<String, Arc<ClassCounts>>,
}

impl RegistryState {
    /// Returns the active class of this name if its settings are the same. Otherwise creates a class, in
    /// the first free slot or in a new one.
    fn get_or_create_class(&mut self, name: &str, settings: ClassSettings) -> Arc<Class> {
        let slots = &self.slots;
        let is_unchanged = |class: &&Arc<Class>| class.name == name && slots[class.id.0].settings == settings;
        if let Some(class) = self.active.classes.iter().find(is_unchanged) {
            return class.clone();
        }
        let free_slot = slots.iter().position(|slot| slot.class.strong_count() == 0);
        let id = ClassId(free_slot.unwrap_or(slots.len()));
        let counts = self.counts.entry(name.to_owned()).or_default().clone();
        let class = Arc::new(Class { id, name: name.to_owned(), counts });
        let slot = ClassSlot { settings, class: Arc::downgrade(&class) };
        match free_slot {
            Some(index) => self.slots[index] = slot,
            None => self.slots.push(slot),
        }
        class
    }
}

/// All classes: those of the current settings, and removed ones that still have open requests.
#[derive(Default)]
pub struct ClassRegistry(Mutex<RegistryState>);

impl ClassRegistry {
    /// Returns the classes and tenants of the current settings.
    pub fn active(&self) -> Arc<ActiveClasses> {
        lock(&self.0).active.clone()
    }

    /// Applies new settings. Calls `apply` with the settings, whose classes are reordered by [`ClassId`],
    /// and with the classes in the order of `names`. The new classes become active after `apply` returns.
    ///
    /// A class whose settings change becomes a new class, so that open requests keep the settings under
    /// which they were accepted. The id of a removed class is reused once its last request has ended.
    pub fn update(&self, names: &Names, mut settings: Settings, apply: impl FnOnce(Settings, &[Arc<Class>])) {
        let mut state = lock(&self.0);
        let class_settings = std::mem::take(&mut settings.classes);
        let named_settings = names.classes.iter().zip(class_settings);
        let classes: Vec<_> =
            named_settings.map(|(name, settings)| state.get_or_create_class(name, settings)).collect();
        settings.classes = state.slots.iter().map(|slot| slot.settings.clone()).collect();
        apply(settings, &classes);
        state.active = Arc::new(ActiveClasses { classes, tenants: names.tenants.clone() });
    }

    /// Returns the number of open requests of each class name, also of removed classes.
    pub fn open_requests(&self) -> Vec<(String, u64)> {
        let state = lock(&self.0);
        state.counts.iter().map(|(name, counts)| (name.clone(), load(&counts.open))).collect()
    }

    /// Returns the numbers of ended requests of all classes by outcome, since the start of the proxy.
    pub fn totals(&self) -> RequestTotals {
        let state = lock(&self.0);
        let sum = |count: fn(&ClassCounts) -> &AtomicU64| {
            state.counts.values().map(|counts| load(count(counts))).sum()
        };
        RequestTotals {
            succeeded: sum(|counts| &counts.succeeded),
            rejected: sum(|counts| &counts.rejected),
            failed: sum(|counts| &counts.failed),
        }
    }

    /// Returns the counts of ended requests of each class name, as the JSON object that operators read.
    pub fn counts_json(&self) -> serde_json::Value {
        let state = lock(&self.0);
        state.counts.iter().map(|(name, counts)| (name.clone(), counts.to_json())).collect()
    }
}

fn load(count: &AtomicU64) -> u64 {
    count.load(Ordering::Relaxed)
}
