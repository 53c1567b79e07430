//! What a proxy may send an engine that can bear only so much from all proxies together, without asking them.
//!
//! A cold engine tells all who draw it when it started; what it may be sent from then on gathers at a rate that everybody
//! can work out. It is cut into *rights*, some large enough for a heavy request and some for a light one, that come up one
//! after the other, evenly spaced, and go round among those who draw the engine. So two proxies send a heavy request at
//! one moment only if the rule allows two. A right that is not used lapses, and what has gathered while a process stood
//! still is not there to be spent at once.
//!
//! **The sum.** With every proxy at a place of its own ([`RotationSlot::exclusive`]), clocks that differ by no more than [`MAX_CLOCK_SKEW`]
//! windows, and requests no heavier than their rights, the work sent within any window stays under [`SlowStartLimit::window_limit`]:
//! `tests/slow_start.rs` holds this against any interleaving. Proxies without a seat stand somewhere by lot: then the mean is the
//! same, and chance is on top, so they take a smaller part.

use crate::subset::RotationSlot;

/// The part of what the rule allows that is gathered where places are exact: an engine whose multiple is 2.5 can do no more
/// than this. And the part where places are by lot.
pub const EXCLUSIVE_SHARE: f64 = 0.5;
/// See [`EXCLUSIVE_SHARE`].
pub const PROBABILISTIC_SHARE: f64 = 0.3;
/// The part of what the rule allows at an engine's start that goes to light requests as long as it is cold. They are worth
/// most for their work; what the engine can do beyond that, as it warms, goes to heavy ones.
const LIGHT: f64 = 0.4;
/// A request is light if so many fit into what may be sent in the first window.
const MANY: f64 = 32.0;
/// For how many windows a right may be used from when it has come up.
pub const CREDIT_LIFETIME: f64 = 0.5;
/// By how many windows clocks may differ.
pub const MAX_CLOCK_SKEW: f64 = 0.1;
/// Sizes of rights halve within so many steps.
const STEPS: f64 = 4.0;
/// The largest right, against what may be sent in the first window, with which all that is gathered stays under the limit.
const LARGEST: f64 = 0.35;

/// By what a proxy stretches a pause that all others begin at the same moment, so that they do not end together: evenly from
/// a half to one and a half, by where it stands.
pub fn stagger_factor(slot: RotationSlot) -> f64 {
    0.5 + (slot.index + 0.5).clamp(0.0, slot.count) / slot.count.max(1.0)
}

/// What a freshly started engine can bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSettings {
    /// It starts at this share of its capacity or more.
    pub initial_share: f64,
    /// It is warm after this long, in milliseconds.
    pub warm_up: f64,
    /// Work beyond this multiple of its present capacity pushes it over...
    pub capacity_multiple: f64,
    /// ...when it is sent over this long, in milliseconds.
    pub window: f64,
}

impl SlowStartSettings {
    /// The share of its capacity that an engine has at this age, at the least.
    pub fn capacity_share(&self, age: f64) -> f64 {
        if age >= self.warm_up {
            return 1.0;
        }
        (self.initial_share + (1.0 - self.initial_share) * age.max(0.0) / self.warm_up).clamp(0.05, 1.0)
    }
}

/// What an engine may be sent while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimit {
    /// Its cores: what it can do in a millisecond once it is warm.
    pub cores: f64,
    /// How it warms, and what the rule allows.
    pub settings: SlowStartSettings,
}

/// The rights into which what is gathered is cut: their sizes, in milliseconds of work; none where no class needs any.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CreditSizes {
    /// For light requests.
    pub light: Option<f64>,
    /// For heavy ones.
    pub heavy: Option<f64>,
}

impl SlowStartLimit {
    /// The rule's limit on the work that reaches the engine within the window from this age on, if it warms evenly.
    pub fn window_limit(&self, age: f64) -> f64 {
        self.accrued(age + self.settings.window) - self.accrued(age)
    }

    /// What the rule's limit comes to from the engine's start up to this age, in milliseconds of work.
    pub fn accrued(&self, age: f64) -> f64 {
        let (age, warm) = (age.max(0.0), self.settings.warm_up.max(1.0));
        let warming = age.min(warm);
        let steep = (1.0 - self.settings.initial_share) * warming * warming / (2.0 * warm);
        self.settings.capacity_multiple
            * self.cores
            * (self.settings.initial_share * warming + steep + age - warming)
    }

    /// What may be sent in the first window, if the engine warmed no further in it.
    fn first(&self) -> f64 {
        (self.settings.capacity_multiple * self.cores * self.settings.initial_share * self.settings.window)
            .max(1.0)
    }

    /// Whether a request of this work is light: many fit into a window.
    fn light(&self, work: f64) -> bool {
        work * MANY <= self.first()
    }

    /// Rights that the classes fit into whose usual works these are. Sizes are taken from a row, down from what may be sent in
    /// the first window, so that proxies whose means differ a little agree on them.
    pub fn credit_sizes(&self, works: impl Iterator<Item = f64>) -> CreditSizes {
        let (mut light, mut heavy) = (0.0f64, 0.0f64);
        for work in works.filter(|work| work.is_finite()) {
            let most = if self.light(work) { &mut light } else { &mut heavy };
            *most = most.max(work);
        }
        let size = |work: f64| self.first() / (((self.first() / work).log2() * STEPS).floor() / STEPS).exp2();
        CreditSizes {
            light: (light > 0.0 || heavy <= 0.0).then(|| size(light.max(1.0))),
            heavy: (heavy > 0.0).then(|| size(heavy)),
        }
    }

    /// What has been cut into rights up to this age, for light requests and for heavy ones.
    fn cut(&self, age: f64, rights: CreditSizes, exact: bool) -> (f64, f64) {
        let part = if exact { EXCLUSIVE_SHARE } else { PROBABILISTIC_SHARE };
        let all = self.accrued(age) * part;
        let Some(size) = rights.heavy else { return (all, 0.0) };
        let first = self.first() / self.settings.window * age.max(0.0);
        let light = rights.light.map_or(0.0, |_| first * LIGHT * part / EXCLUSIVE_SHARE);
        // A right larger than this comes less often than it could: two of them pass the limit sooner than their mean does.
        let heavy = (all - light) * (LARGEST * self.first() / size).min(1.0);
        (light, heavy)
    }
}

/// A right that has come up and not lapsed: its number from the engine's start, and what is left of it.
type AccruedCredit = Option<(f64, f64)>;

/// What one proxy may send one cold engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartBudget {
    /// The engine's age when this process heard of it first.
    heard: Option<f64>,
    light: AccruedCredit,
    heavy: AccruedCredit,
    /// The work up to which a request is light, and what a heavy right must have lost for a light one to take of it, when it
    /// was looked at last.
    sizes: (f64, f64),
}

impl SlowStartBudget {
    /// Whether a request of this work may be sent at this age of the engine; `works` are the usual ones of all classes.
    pub fn available(
        &mut self,
        budget: &SlowStartLimit,
        slot: RotationSlot,
        age: f64,
        works: impl Iterator<Item = f64>,
        work: f64,
    ) -> bool {
        if age >= budget.settings.warm_up || budget.settings.capacity_multiple <= 0.0 {
            *self = SlowStartBudget::default();
            return true;
        }
        let rights = budget.credit_sizes(works);
        let heard = *self.heard.get_or_insert(age);
        let now = |size: Option<f64>, cut: &dyn Fn(f64) -> f64, held: AccruedCredit| {
            let size = size?;
            // Rights that have come up, from 0; every `of`th is this proxy's, and its newest counts.
            let up = |age: f64| cut(age) / size - 1.0;
            let newest = ((up(age) - slot.index) / slot.count).floor() * slot.count + slot.index;
            // One that came up before this process was here may have been used by its predecessor.
            let here =
                newest > up(age - CREDIT_LIFETIME * budget.settings.window).max(up(heard)) && newest >= 0.0;
            here.then(|| held.filter(|(number, _)| *number == newest).unwrap_or((newest, size)))
        };
        let cut = |age: f64| budget.cut(age, rights, slot.exclusive);
        self.light = now(rights.light, &|age| cut(age).0, self.light);
        self.heavy = now(rights.heavy, &|age| cut(age).1, self.heavy);
        // Half of its time a heavy right waits for a heavy request; then it is there for whatever comes.
        let late = |size: f64| {
            let up = |age: f64| cut(age).1 / size - 1.0;
            self.heavy
                .is_some_and(|(number, _)| number <= up(age - 0.5 * CREDIT_LIFETIME * budget.settings.window))
        };
        let whole = rights.heavy.map_or(0.0, |size| if late(size) { f64::INFINITY } else { size });
        self.sizes = (budget.first() / MANY, whole);
        self.usable_credit(work).is_some()
    }

    /// The right that a request of this work would take its part of. A light request leaves a heavy right whole at first.
    fn usable_credit(&mut self, work: f64) -> Option<&mut f64> {
        let (light, whole) = (work <= self.sizes.0, self.sizes.1);
        let heavy = self.heavy.as_mut().filter(|(_, left)| !light || *left < whole);
        let own = self.light.as_mut().filter(|_| light);
        own.into_iter().chain(heavy).map(|(_, left)| left).find(|left| work <= **left)
    }

    /// A request of this work was sent.
    pub fn consume(&mut self, work: f64) {
        if let Some(left) = self.usable_credit(work) {
            *left -= work;
        }
    }
}
