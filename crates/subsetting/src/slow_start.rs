//! Slow start of an engine that all proxies share: how much each may send it while it warms up, without asking the others.
//!
//! An engine announces when it started. From that moment on, work that it may be sent accrues at a rate that every proxy
//! computes alike ([`SlowStartLimit::accrued`]). The accrued work is divided into *credits*, some large enough for a heavy
//! request and some for a light one, which become due one after the other and go round among the proxies that share the
//! engine. Two proxies can therefore send a heavy request at the same time only if the limit allows two. A credit that is
//! not used expires, so that a process which was suspended does not spend at once what accrued meanwhile.
//!
//! **Invariant.** If every proxy has a place of its own ([`RotationSlot::exclusive`]), clocks differ by at most
//! [`MAX_CLOCK_SKEW`] windows, and no request is heavier than its credit, the work sent within any window stays below
//! [`SlowStartLimit::window_limit`]; `tests/slow_start.rs` checks this against arbitrary interleavings. Places drawn at
//! random keep the limit on average only, so such proxies use a smaller part of it.
//!
//! Work is measured in milliseconds of one core, and an engine's age in milliseconds since its start.

use crate::rotation::RotationSlot;

/// The part of the limit that is given out where places are exclusive. With a limit of 2.5 times the capacity this is more
/// than the engine can do.
pub const EXCLUSIVE_SHARE: f64 = 0.5;
/// The part of the limit that is given out where places are drawn at random.
pub const PROBABILISTIC_SHARE: f64 = 0.3;
/// The part of the limit at the engine's start that is reserved for light requests while it warms up. They are worth most
/// for their work; what the engine can do beyond that, as it warms up, goes to heavy ones.
const LIGHT_SHARE: f64 = 0.4;
/// A request is light if this many fit into the limit of the first window.
const LIGHT_REQUESTS_PER_WINDOW: f64 = 32.0;
/// For how many windows a credit can be used once it is due.
pub const CREDIT_LIFETIME: f64 = 0.5;
/// The part of its lifetime for which a heavy credit is reserved for heavy requests.
const HEAVY_RESERVATION: f64 = 0.5;
/// By how many windows clocks may differ.
pub const MAX_CLOCK_SKEW: f64 = 0.1;
/// Sizes of credits are rounded to this many steps for each factor of two.
const SIZE_STEPS_PER_OCTAVE: f64 = 4.0;
/// The largest credit relative to the limit of the first window with which the sum of all stays below the limit.
const LARGEST_CREDIT: f64 = 0.35;
/// The smallest share of its capacity that an engine is taken to have.
const MIN_CAPACITY_SHARE: f64 = 0.05;

/// How a freshly started engine warms up, and how much load it tolerates meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSettings {
    /// The share of its capacity that it starts with, at the least.
    pub initial_fraction: f64,
    /// The age at which it has warmed up, in milliseconds.
    pub warm_up: f64,
    /// The multiple of its present capacity that overloads it...
    pub capacity_multiple: f64,
    /// ...if it is sent that much for this long, in milliseconds.
    pub window: f64,
}

impl SlowStartSettings {
    /// The share of its capacity that an engine of this age has, at the least.
    pub fn capacity_fraction(&self, age: f64) -> f64 {
        if age >= self.warm_up {
            return 1.0;
        }
        let share = self.initial_fraction + (1.0 - self.initial_fraction) * age.max(0.0) / self.warm_up;
        share.clamp(MIN_CAPACITY_SHARE, 1.0)
    }
}

/// How much one engine may be sent by all proxies together while it warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimit {
    /// Its cores: how many milliseconds of work it does in a millisecond once it has warmed up.
    pub cores: f64,
    /// How it warms up, and what overloads it.
    pub settings: SlowStartSettings,
}

/// The sizes of credits, in milliseconds of work; `None` where no class of requests needs such credits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CreditSizes {
    /// For light requests.
    pub light: Option<f64>,
    /// For heavy requests.
    pub heavy: Option<f64>,
}

/// Work that was divided into credits.
#[derive(Clone, Copy)]
struct DividedWork {
    light: f64,
    heavy: f64,
}

impl SlowStartLimit {
    /// The work that may reach the engine within the window that begins at this age.
    pub fn window_limit(&self, age: f64) -> f64 {
        self.accrued(age + self.settings.window) - self.accrued(age)
    }

    /// The work that may reach the engine from its start up to this age.
    pub fn accrued(&self, age: f64) -> f64 {
        let (age, warm_up) = (age.max(0.0), self.settings.warm_up.max(1.0));
        let warming = age.min(warm_up);
        // The integral of the part by which the capacity has risen since the start.
        let risen = (1.0 - self.settings.initial_fraction) * warming * warming / (2.0 * warm_up);
        self.settings.capacity_multiple
            * self.cores
            * (self.settings.initial_fraction * warming + risen + age - warming)
    }

    /// The work that may be sent in the first window if the engine did not warm up meanwhile.
    fn first_window(&self) -> f64 {
        let SlowStartSettings { initial_fraction, capacity_multiple, window, .. } = self.settings;
        (capacity_multiple * self.cores * initial_fraction * window).max(1.0)
    }

    fn is_light(&self, work: f64) -> bool {
        work * LIGHT_REQUESTS_PER_WINDOW <= self.first_window()
    }

    /// Sizes of credits into which requests of all classes fit; `works` is the usual work of each class. The sizes are
    /// rounded up to fixed steps, so that proxies whose estimates differ a little agree on them.
    pub fn credit_sizes(&self, works: impl Iterator<Item = f64>) -> CreditSizes {
        let (mut light, mut heavy) = (0.0f64, 0.0f64);
        for work in works.filter(|work| work.is_finite()) {
            let largest = if self.is_light(work) { &mut light } else { &mut heavy };
            *largest = largest.max(work);
        }
        CreditSizes {
            light: (light > 0.0 || heavy <= 0.0).then(|| self.rounded_size(light.max(1.0))),
            heavy: (heavy > 0.0).then(|| self.rounded_size(heavy)),
        }
    }

    fn rounded_size(&self, work: f64) -> f64 {
        let octaves = (self.first_window() / work).log2();
        self.first_window() / ((octaves * SIZE_STEPS_PER_OCTAVE).floor() / SIZE_STEPS_PER_OCTAVE).exp2()
    }

    /// The work that was divided into light and heavy credits up to this age.
    fn divided(&self, age: f64, sizes: CreditSizes, exclusive: bool) -> DividedWork {
        let part = if exclusive { EXCLUSIVE_SHARE } else { PROBABILISTIC_SHARE };
        let all = self.accrued(age) * part;
        let Some(heavy_size) = sizes.heavy else { return DividedWork { light: all, heavy: 0.0 } };
        let at_initial_rate = self.first_window() / self.settings.window * age.max(0.0);
        let light = sizes.light.map_or(0.0, |_| at_initial_rate * LIGHT_SHARE * part / EXCLUSIVE_SHARE);
        // Credits above the largest size become due less often: two of them exceed the limit before their average does.
        let heavy = (all - light) * (LARGEST_CREDIT * self.first_window() / heavy_size).min(1.0);
        DividedWork { light, heavy }
    }
}

/// A credit that is due and has not expired.
#[derive(Clone, Copy, Debug, PartialEq)]
struct AccruedCredit {
    /// Counted from the engine's start over all proxies.
    number: f64,
    /// The work that may still be sent with it.
    remaining: f64,
}

/// What one proxy may send one engine that is warming up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartBudget {
    /// The engine's age when this process first asked.
    first_seen: Option<f64>,
    light: Option<AccruedCredit>,
    heavy: Option<AccruedCredit>,
    /// The work up to which a request is light, as of the last look.
    light_limit: f64,
    /// Light requests may use a heavy credit with less than this remaining, as of the last look.
    heavy_open_below: f64,
}

/// The clock of credits of one size: which of them are due when.
struct CreditSchedule<'a, F: Fn(f64) -> f64> {
    /// The work that was divided into credits of this size up to an age.
    divided: F,
    size: f64,
    limit: &'a SlowStartLimit,
    slot: RotationSlot,
}

impl<F: Fn(f64) -> f64> CreditSchedule<'_, F> {
    /// The number of the credit that is due at this age, over all proxies; between two credits not a whole number.
    fn due(&self, age: f64) -> f64 {
        (self.divided)(age) / self.size - 1.0
    }

    /// This proxy's newest credit that can be used at this age. `held` is the one it had at the last look.
    fn newest(&self, age: f64, first_seen: f64, held: Option<AccruedCredit>) -> Option<AccruedCredit> {
        let RotationSlot { index, count, .. } = self.slot;
        let number = ((self.due(age) - index) / count).floor() * count + index;
        let expired_up_to = self.due(age - CREDIT_LIFETIME * self.limit.settings.window);
        // A credit that was due before this process started may have been used by its predecessor.
        let unusable_up_to = expired_up_to.max(self.due(first_seen));
        let usable = number > unusable_up_to && number >= 0.0;
        let unused = AccruedCredit { number, remaining: self.size };
        usable.then(|| held.filter(|held| held.number == number).unwrap_or(unused))
    }

    /// Whether a credit is no longer reserved for heavy requests.
    fn open_to_light(&self, age: f64, credit: Option<AccruedCredit>) -> bool {
        let reserved = HEAVY_RESERVATION * CREDIT_LIFETIME * self.limit.settings.window;
        credit.is_some_and(|credit| credit.number <= self.due(age - reserved))
    }
}

impl SlowStartBudget {
    /// Whether a request of this work may be sent to the engine at this age. `slot` is the proxy's place among those that
    /// share the engine, `works` the usual work of each class of requests.
    pub fn available(
        &mut self,
        limit: &SlowStartLimit,
        slot: RotationSlot,
        age: f64,
        works: impl Iterator<Item = f64>,
        work: f64,
    ) -> bool {
        if age >= limit.settings.warm_up || limit.settings.capacity_multiple <= 0.0 {
            *self = SlowStartBudget::default();
            return true;
        }
        self.refresh(limit, slot, age, limit.credit_sizes(works));
        self.usable_credit(work).is_some()
    }

    /// Takes the credits that have become due, and drops those that have expired.
    fn refresh(&mut self, limit: &SlowStartLimit, slot: RotationSlot, age: f64, sizes: CreditSizes) {
        let first_seen = *self.first_seen.get_or_insert(age);
        let divided = |age: f64| limit.divided(age, sizes, slot.exclusive);
        self.light = sizes.light.and_then(|size| {
            let schedule = CreditSchedule { divided: |age| divided(age).light, size, limit, slot };
            schedule.newest(age, first_seen, self.light)
        });
        self.light_limit = limit.first_window() / LIGHT_REQUESTS_PER_WINDOW;
        let Some(size) = sizes.heavy else {
            (self.heavy, self.heavy_open_below) = (None, 0.0);
            return;
        };
        let schedule = CreditSchedule { divided: |age| divided(age).heavy, size, limit, slot };
        self.heavy = schedule.newest(age, first_seen, self.heavy);
        self.heavy_open_below = if schedule.open_to_light(age, self.heavy) { f64::INFINITY } else { size };
    }

    /// The credit that a request of this work would use. A light request uses a heavy credit only if that was begun or is no
    /// longer reserved.
    fn usable_credit(&mut self, work: f64) -> Option<&mut AccruedCredit> {
        let is_light = work <= self.light_limit;
        let heavy_open_below = self.heavy_open_below;
        let light = self.light.as_mut().filter(|_| is_light);
        let heavy = self.heavy.as_mut().filter(|credit| !is_light || credit.remaining < heavy_open_below);
        light.into_iter().chain(heavy).find(|credit| work <= credit.remaining)
    }

    /// Records that a request of this work was sent. To be called after [`Self::available`] with the same work.
    pub fn consume(&mut self, work: f64) {
        if let Some(credit) = self.usable_credit(work) {
            credit.remaining -= work;
        }
    }
}
