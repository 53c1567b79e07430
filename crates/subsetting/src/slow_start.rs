//! Slow start of an engine that several proxies share: how much each proxy may send while the engine warms
//! up. Each proxy decides this without communication.
//!
//! An engine announces when it started. From that moment on, work that may be sent to it accrues at a rate
//! that every proxy computes alike ([`SlowStartLimit::accrued`]). The accrued work is divided into *credits*,
//! some large enough for a heavy request and some for a light one. Credits become due one after the other and
//! are assigned in rotation to the proxies that share the engine. Two proxies can therefore send a heavy
//! request at the same time only if the limit allows two. An unused credit expires, so that a process that
//! was suspended does not spend at once all that accrued meanwhile.
//!
//! **Invariant.** If every proxy has an exclusive slot ([`RotationSlot::exclusive`]), clocks differ by at
//! most [`MAX_CLOCK_SKEW_WINDOWS`] windows, and no request is heavier than its credit, then the work sent
//! within any window stays below [`SlowStartLimit::window_limit`]; `tests/slow_start.rs` checks this with
//! random interleavings. Pseudo-random slots respect the limit only on average, so proxies with such slots
//! use a smaller fraction of it.
//!
//! Work is measured in milliseconds of one core, and the age of an engine in milliseconds since its start.

use crate::rotation::RotationSlot;

/// The fraction of the limit that is divided into credits where slots are exclusive. With a limit of 2.5
/// times the capacity this is still more than the engine can process.
pub const EXCLUSIVE_FRACTION: f64 = 0.5;
/// The fraction of the limit that is divided into credits where slots are pseudo-random.
pub const RANDOM_SLOT_FRACTION: f64 = 0.3;
/// The fraction of the limit at the engine's start that goes to light credits all the time while it warms up,
/// as light requests benefit most from each unit of work. The capacity gained while the engine warms up goes
/// to heavy credits.
const LIGHT_FRACTION: f64 = 0.4;
/// A request is light if at least this many requests of its work fit into the limit of the first window.
const LIGHT_REQUESTS_PER_WINDOW: f64 = 32.0;
/// How long a credit can be used after it becomes due, in windows.
pub const CREDIT_LIFETIME_WINDOWS: f64 = 0.5;
/// The fraction of its lifetime for which a heavy credit is reserved for heavy requests.
const HEAVY_RESERVATION_FRACTION: f64 = 0.5;
/// The largest difference between clocks, in windows, for which the invariant holds.
pub const MAX_CLOCK_SKEW_WINDOWS: f64 = 0.1;
/// Sizes of credits are rounded to this many steps per factor of two.
const SIZE_STEPS_PER_OCTAVE: f64 = 4.0;
/// The size of the largest credit, as a fraction of the limit of the first window, for which the sum of all
/// credits in a window stays below the limit.
const MAX_CREDIT_FRACTION: f64 = 0.35;
/// The smallest fraction of its capacity that an engine is assumed to have.
const MIN_CAPACITY_FRACTION: f64 = 0.05;

/// How the capacity of an engine grows after its start, and how much load overloads it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSettings {
    /// The lower bound of the fraction of its capacity that an engine has at its start, from 0 to 1.
    pub initial_fraction: f64,
    /// The age at which an engine has warmed up, in milliseconds; 0: engines have their full capacity from
    /// the start.
    pub warm_up_ms: f64,
    /// An engine is overloaded by work of more than this multiple of its present capacity within one window;
    /// 0: no limit applies.
    pub capacity_multiple: f64,
    /// The length of that window, in milliseconds.
    pub window_ms: f64,
}

impl SlowStartSettings {
    /// The lower bound of the fraction of its capacity that an engine of this age has, from 0.05 to 1.
    pub fn capacity_fraction(&self, age_ms: f64) -> f64 {
        if age_ms >= self.warm_up_ms {
            return 1.0;
        }
        let fraction =
            self.initial_fraction + (1.0 - self.initial_fraction) * age_ms.max(0.0) / self.warm_up_ms;
        fraction.clamp(MIN_CAPACITY_FRACTION, 1.0)
    }
}

/// How much work all proxies together may send one engine while it warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimit {
    /// The number of cores of the engine: the milliseconds of work that it processes per millisecond after it
    /// has warmed up.
    pub cores: f64,
    /// How the capacity of the engine grows, and how much load overloads it.
    pub settings: SlowStartSettings,
}

/// The sizes of credits, in milliseconds of work; `None` if no request class needs credits of that kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CreditSizes {
    /// The size of credits for light requests.
    pub light: Option<f64>,
    /// The size of credits for heavy requests.
    pub heavy: Option<f64>,
}

/// The accrued work, split into what goes to light and to heavy credits.
#[derive(Clone, Copy)]
struct CreditedWork {
    light: f64,
    heavy: f64,
}

impl SlowStartLimit {
    /// The work that may reach the engine within the window that begins at this age.
    pub fn window_limit(&self, age_ms: f64) -> f64 {
        self.accrued(age_ms + self.settings.window_ms) - self.accrued(age_ms)
    }

    /// The work that may reach the engine from its start up to this age.
    pub fn accrued(&self, age_ms: f64) -> f64 {
        let (age_ms, warm_up_ms) = (age_ms.max(0.0), self.settings.warm_up_ms.max(1.0));
        let warming = age_ms.min(warm_up_ms);
        // The integral of the capacity gained since the start, as a fraction of the full capacity.
        let gained = (1.0 - self.settings.initial_fraction) * warming * warming / (2.0 * warm_up_ms);
        self.settings.capacity_multiple
            * self.cores
            * (self.settings.initial_fraction * warming + gained + age_ms - warming)
    }

    /// The work that may reach the engine in the first window if its capacity stayed as it is at its start;
    /// at least 1.
    fn first_window_limit(&self) -> f64 {
        let SlowStartSettings { initial_fraction, capacity_multiple, window_ms, .. } = self.settings;
        (capacity_multiple * self.cores * initial_fraction * window_ms).max(1.0)
    }

    fn is_light(&self, work: f64) -> bool {
        work * LIGHT_REQUESTS_PER_WINDOW <= self.first_window_limit()
    }

    /// Computes sizes of credits that requests of all classes fit into; `typical_works` yields the typical
    /// work of each class. The sizes are rounded up to fixed steps, so that proxies whose estimates differ
    /// slightly agree on them.
    pub fn credit_sizes(&self, typical_works: impl Iterator<Item = f64>) -> CreditSizes {
        let (mut light, mut heavy) = (0.0f64, 0.0f64);
        for work in typical_works.filter(|work| work.is_finite()) {
            let largest = if self.is_light(work) { &mut light } else { &mut heavy };
            *largest = largest.max(work);
        }
        CreditSizes {
            light: (light > 0.0 || heavy <= 0.0).then(|| self.rounded_size(light.max(1.0))),
            heavy: (heavy > 0.0).then(|| self.rounded_size(heavy)),
        }
    }

    fn rounded_size(&self, work: f64) -> f64 {
        let octaves = (self.first_window_limit() / work).log2();
        let rounded_octaves = (octaves * SIZE_STEPS_PER_OCTAVE).floor() / SIZE_STEPS_PER_OCTAVE;
        self.first_window_limit() / rounded_octaves.exp2()
    }

    /// The work that goes to light and to heavy credits up to this age.
    fn credited(&self, age_ms: f64, sizes: CreditSizes, exclusive: bool) -> CreditedWork {
        let fraction = if exclusive { EXCLUSIVE_FRACTION } else { RANDOM_SLOT_FRACTION };
        let total = self.accrued(age_ms) * fraction;
        let Some(heavy_size) = sizes.heavy else { return CreditedWork { light: total, heavy: 0.0 } };
        let at_initial_rate = self.first_window_limit() / self.settings.window_ms * age_ms.max(0.0);
        let light =
            sizes.light.map_or(0.0, |_| at_initial_rate * LIGHT_FRACTION * fraction / EXCLUSIVE_FRACTION);
        // Credits above the largest size become due less often: two of them within a window exceed the limit
        // even if the average does not.
        let heavy = (total - light) * (MAX_CREDIT_FRACTION * self.first_window_limit() / heavy_size).min(1.0);
        CreditedWork { light, heavy }
    }
}

/// A credit that is due and has not expired.
#[derive(Clone, Copy, Debug, PartialEq)]
struct AccruedCredit {
    /// The number of the credit among the credits of its size, counted from the engine's start over all
    /// proxies.
    number: f64,
    /// The work that may still be sent under it.
    remaining: f64,
}

/// The credits of one proxy at one engine that is warming up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartBudget {
    /// The age of the engine at the first refresh by this process; `None` before it.
    first_refresh_age_ms: Option<f64>,
    light: Option<AccruedCredit>,
    heavy: Option<AccruedCredit>,
    /// The work up to which a request is light, as of the last refresh.
    max_light_work: f64,
    /// Light requests may use a heavy credit that has less than this remaining, as of the last refresh.
    heavy_usable_below: f64,
}

/// When credits of one size become due and when they expire.
struct CreditSchedule<'a, F: Fn(f64) -> f64> {
    /// The work that goes to credits of this size up to an age.
    credited: F,
    size: f64,
    limit: &'a SlowStartLimit,
    slot: RotationSlot,
}

impl<F: Fn(f64) -> f64> CreditSchedule<'_, F> {
    /// The number of the newest credit that is due at this age, over all proxies; not an integer between two
    /// credits.
    fn due_number(&self, age_ms: f64) -> f64 {
        (self.credited)(age_ms) / self.size - 1.0
    }

    /// The newest credit of this proxy, if it can be used at this age. `current` is the credit as of the last
    /// refresh.
    fn newest(
        &self,
        age_ms: f64,
        first_refresh_age_ms: f64,
        current: Option<AccruedCredit>,
    ) -> Option<AccruedCredit> {
        let RotationSlot { index, count, .. } = self.slot;
        let completed_rounds = ((self.due_number(age_ms) - index) / count).floor();
        let number = completed_rounds * count + index;
        let expired_up_to = self.due_number(age_ms - CREDIT_LIFETIME_WINDOWS * self.limit.settings.window_ms);
        // A credit that was due before this process started may have been used by the process before it.
        let unusable_up_to = expired_up_to.max(self.due_number(first_refresh_age_ms));
        let usable = number > unusable_up_to && number >= 0.0;
        let unused = AccruedCredit { number, remaining: self.size };
        usable.then(|| current.filter(|current| current.number == number).unwrap_or(unused))
    }

    /// Whether the reservation of a credit for heavy requests has ended.
    fn usable_by_light(&self, age_ms: f64, credit: Option<AccruedCredit>) -> bool {
        let reserved_for =
            HEAVY_RESERVATION_FRACTION * CREDIT_LIFETIME_WINDOWS * self.limit.settings.window_ms;
        credit.is_some_and(|credit| credit.number <= self.due_number(age_ms - reserved_for))
    }
}

impl SlowStartBudget {
    /// Whether a request of this work may be sent to the engine at this age. `slot` is the slot of the proxy
    /// among those that share the engine, and `typical_works` yields the typical work of each request class.
    pub fn available(
        &mut self,
        limit: &SlowStartLimit,
        slot: RotationSlot,
        age_ms: f64,
        typical_works: impl Iterator<Item = f64>,
        work: f64,
    ) -> bool {
        if age_ms >= limit.settings.warm_up_ms || limit.settings.capacity_multiple <= 0.0 {
            *self = SlowStartBudget::default();
            return true;
        }
        self.refresh(limit, slot, age_ms, limit.credit_sizes(typical_works));
        self.usable_credit(work).is_some()
    }

    /// Adds the credits that have become due, and discards those that have expired.
    fn refresh(&mut self, limit: &SlowStartLimit, slot: RotationSlot, age_ms: f64, sizes: CreditSizes) {
        let first_refresh_age_ms = *self.first_refresh_age_ms.get_or_insert(age_ms);
        let credited = |age_ms: f64| limit.credited(age_ms, sizes, slot.exclusive);
        self.light = sizes.light.and_then(|size| {
            let schedule = CreditSchedule { credited: |age_ms| credited(age_ms).light, size, limit, slot };
            schedule.newest(age_ms, first_refresh_age_ms, self.light)
        });
        self.max_light_work = limit.first_window_limit() / LIGHT_REQUESTS_PER_WINDOW;
        let Some(size) = sizes.heavy else {
            (self.heavy, self.heavy_usable_below) = (None, 0.0);
            return;
        };
        let schedule = CreditSchedule { credited: |age_ms| credited(age_ms).heavy, size, limit, slot };
        self.heavy = schedule.newest(age_ms, first_refresh_age_ms, self.heavy);
        self.heavy_usable_below =
            if schedule.usable_by_light(age_ms, self.heavy) { f64::INFINITY } else { size };
    }

    /// The credit that a request of this work uses; `None` if none suffices. A light request uses a heavy
    /// credit only if part of that credit is already used or its reservation has ended.
    fn usable_credit(&mut self, work: f64) -> Option<&mut AccruedCredit> {
        let is_light = work <= self.max_light_work;
        let heavy_usable_below = self.heavy_usable_below;
        let light = self.light.as_mut().filter(|_| is_light);
        let heavy = self.heavy.as_mut().filter(|credit| !is_light || credit.remaining < heavy_usable_below);
        light.into_iter().chain(heavy).find(|credit| work <= credit.remaining)
    }

    /// Deducts a request of this work from the credit that it uses. To be called after [`Self::available`]
    /// with the same work.
    pub fn consume(&mut self, work: f64) {
        if let Some(credit) = self.usable_credit(work) {
            credit.remaining -= work;
        }
    }
}
