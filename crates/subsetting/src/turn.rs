//! What a proxy may send an engine that can bear only so much from all proxies together, without asking them.
//!
//! A cold engine tells all who draw it when it started; what it may be sent from then on gathers at a rate that everybody
//! can work out. It is cut into *rights*, some large enough for a heavy request and some for a light one, that come up one
//! after the other, evenly spaced, and go round among those who draw the engine. So two proxies send a heavy request at
//! one moment only if the rule allows two. A right that is not used lapses, and what has gathered while a process stood
//! still is not there to be spent at once.
//!
//! **The sum.** With every proxy at a place of its own ([`Stand::exact`]), clocks that differ by no more than [`SKEW`]
//! windows, and requests no heavier than their rights, the work sent within any window stays under [`Budget::limit`]:
//! `tests/turns.rs` holds this against any interleaving. Proxies without a seat stand somewhere by lot: then the mean is the
//! same, and chance is on top, so they take a smaller part.

use crate::subset::Stand;

/// The part of what the rule allows that is gathered where places are exact: an engine whose multiple is 2.5 can do no more
/// than this. And the part where places are by lot.
pub const PART: f64 = 0.5;
/// See [`PART`].
pub const PART_BY_LOT: f64 = 0.3;
/// The part of what the rule allows at an engine's start that goes to light requests as long as it is cold. They are worth
/// most for their work; what the engine can do beyond that, as it warms, goes to heavy ones.
const LIGHT: f64 = 0.4;
/// A request is light if so many fit into what may be sent in the first window.
const MANY: f64 = 32.0;
/// For how many windows a right may be used from when it has come up.
pub const LASTS: f64 = 0.5;
/// By how many windows clocks may differ.
pub const SKEW: f64 = 0.1;
/// Sizes of rights halve within so many steps.
const STEPS: f64 = 4.0;
/// The largest right, against what may be sent in the first window, with which all that is gathered stays under the limit.
const LARGEST: f64 = 0.35;

/// By what a proxy stretches a pause that all others begin at the same moment, so that they do not end together: evenly from
/// a half to one and a half, by where it stands.
pub fn spread(stand: Stand) -> f64 {
    0.5 + (stand.at + 0.5).clamp(0.0, stand.of) / stand.of.max(1.0)
}

/// What a freshly started engine can bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSettings {
    /// It starts at this share of its capacity or more.
    pub share: f64,
    /// It is warm after this long, in milliseconds.
    pub warm_within: f64,
    /// Work beyond this multiple of its present capacity pushes it over...
    pub multiple: f64,
    /// ...when it is sent over this long, in milliseconds.
    pub span: f64,
}

impl ColdSettings {
    /// The share of its capacity that an engine has at this age, at the least.
    pub fn warmth(&self, age: f64) -> f64 {
        if age >= self.warm_within {
            return 1.0;
        }
        (self.share + (1.0 - self.share) * age.max(0.0) / self.warm_within).clamp(0.05, 1.0)
    }
}

/// What an engine may be sent while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Its cores: what it can do in a millisecond once it is warm.
    pub cores: f64,
    /// How it warms, and what the rule allows.
    pub cold: ColdSettings,
}

/// The rights into which what is gathered is cut: their sizes, in milliseconds of work; none where no class needs any.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rights {
    /// For light requests.
    pub light: Option<f64>,
    /// For heavy ones.
    pub heavy: Option<f64>,
}

impl Budget {
    /// The rule's limit on the work that reaches the engine within the window from this age on, if it warms evenly.
    pub fn limit(&self, age: f64) -> f64 {
        self.gathered(age + self.cold.span) - self.gathered(age)
    }

    /// What the rule's limit comes to from the engine's start up to this age, in milliseconds of work.
    pub fn gathered(&self, age: f64) -> f64 {
        let (age, warm) = (age.max(0.0), self.cold.warm_within.max(1.0));
        let warming = age.min(warm);
        let steep = (1.0 - self.cold.share) * warming * warming / (2.0 * warm);
        self.cold.multiple * self.cores * (self.cold.share * warming + steep + age - warming)
    }

    /// What may be sent in the first window, if the engine warmed no further in it.
    fn first(&self) -> f64 {
        (self.cold.multiple * self.cores * self.cold.share * self.cold.span).max(1.0)
    }

    /// Whether a request of this work is light: many fit into a window.
    fn light(&self, work: f64) -> bool {
        work * MANY <= self.first()
    }

    /// Rights that the classes fit into whose usual works these are. Sizes are taken from a row, down from what may be sent in
    /// the first window, so that proxies whose means differ a little agree on them.
    pub fn rights(&self, works: impl Iterator<Item = f64>) -> Rights {
        let (mut light, mut heavy) = (0.0f64, 0.0f64);
        for work in works.filter(|work| work.is_finite()) {
            let most = if self.light(work) { &mut light } else { &mut heavy };
            *most = most.max(work);
        }
        let size = |work: f64| self.first() / (((self.first() / work).log2() * STEPS).floor() / STEPS).exp2();
        Rights {
            light: (light > 0.0 || heavy <= 0.0).then(|| size(light.max(1.0))),
            heavy: (heavy > 0.0).then(|| size(heavy)),
        }
    }

    /// What has been cut into rights up to this age, for light requests and for heavy ones.
    fn cut(&self, age: f64, rights: Rights, exact: bool) -> (f64, f64) {
        let part = if exact { PART } else { PART_BY_LOT };
        let all = self.gathered(age) * part;
        let Some(size) = rights.heavy else { return (all, 0.0) };
        let first = self.first() / self.cold.span * age.max(0.0);
        let light = rights.light.map_or(0.0, |_| first * LIGHT * part / PART);
        // A right larger than this comes less often than it could: two of them pass the limit sooner than their mean does.
        let heavy = (all - light) * (LARGEST * self.first() / size).min(1.0);
        (light, heavy)
    }
}

/// A right that has come up and not lapsed: its number from the engine's start, and what is left of it.
type Right = Option<(f64, f64)>;

/// What one proxy may send one cold engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// The engine's age when this process heard of it first.
    heard: Option<f64>,
    light: Right,
    heavy: Right,
    /// The work up to which a request is light, and what a heavy right must have lost for a light one to take of it, when it
    /// was looked at last.
    sizes: (f64, f64),
}

impl Allowance {
    /// Whether a request of this work may be sent at this age of the engine; `works` are the usual ones of all classes.
    pub fn room(
        &mut self,
        budget: &Budget,
        stand: Stand,
        age: f64,
        works: impl Iterator<Item = f64>,
        work: f64,
    ) -> bool {
        if age >= budget.cold.warm_within || budget.cold.multiple <= 0.0 {
            *self = Allowance::default();
            return true;
        }
        let rights = budget.rights(works);
        let heard = *self.heard.get_or_insert(age);
        let now = |size: Option<f64>, cut: &dyn Fn(f64) -> f64, held: Right| {
            let size = size?;
            // Rights that have come up, from 0; every `of`th is this proxy's, and its newest counts.
            let up = |age: f64| cut(age) / size - 1.0;
            let newest = ((up(age) - stand.at) / stand.of).floor() * stand.of + stand.at;
            // One that came up before this process was here may have been used by its predecessor.
            let here = newest > up(age - LASTS * budget.cold.span).max(up(heard)) && newest >= 0.0;
            here.then(|| held.filter(|(number, _)| *number == newest).unwrap_or((newest, size)))
        };
        let cut = |age: f64| budget.cut(age, rights, stand.exact);
        self.light = now(rights.light, &|age| cut(age).0, self.light);
        self.heavy = now(rights.heavy, &|age| cut(age).1, self.heavy);
        // Half of its time a heavy right waits for a heavy request; then it is there for whatever comes.
        let late = |size: f64| {
            let up = |age: f64| cut(age).1 / size - 1.0;
            self.heavy.is_some_and(|(number, _)| number <= up(age - 0.5 * LASTS * budget.cold.span))
        };
        let whole = rights.heavy.map_or(0.0, |size| if late(size) { f64::INFINITY } else { size });
        self.sizes = (budget.first() / MANY, whole);
        self.from(work).is_some()
    }

    /// The right that a request of this work would take its part of. A light request leaves a heavy right whole at first.
    fn from(&mut self, work: f64) -> Option<&mut f64> {
        let (light, whole) = (work <= self.sizes.0, self.sizes.1);
        let heavy = self.heavy.as_mut().filter(|(_, left)| !light || *left < whole);
        let own = self.light.as_mut().filter(|_| light);
        own.into_iter().chain(heavy).map(|(_, left)| left).find(|left| work <= **left)
    }

    /// A request of this work was sent.
    pub fn sent(&mut self, work: f64) {
        if let Some(left) = self.from(work) {
            *left -= work;
        }
    }
}
