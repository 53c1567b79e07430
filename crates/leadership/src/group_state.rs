//! What the control services agree on: members, duties with owners and terms, and the versions that the owner of
//! [`VERSIONS`] published. Every member applies the same acts in the same order and comes to the same
//! charter; an act under an old term is refused here by all of them alike, whatever its proposer believed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gaugestep_config::schema::act::What;
use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{self, Act, Duty, Entry, Keep, Member, NewState, NewVersion};
use gaugestep_config::{Document, Version, check, version};

use crate::VERSIONS;

/// Duties at most, and bytes of what each keeps for its next owner.
pub const DUTIES: usize = 4_096;
/// See [`DUTIES`].
pub const STATE: usize = 256 * 1024;
/// Members at most.
pub const MEMBERS: usize = 7;
/// Bytes of a duty's name and of a key.
const NAME: usize = 128;
/// How far a term may be raised at once: a receiver that names a higher one is garbled, and must not use terms up.
pub const RAISED_BY: u64 = 1 << 32;

/// What became of an act.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is done.
    Done,
    /// The version is there, by this act or by an earlier one under the same key.
    Published(Version),
    /// Its proposer does not own the duty under that term any more.
    Stale {
        /// The act's term.
        term: u64,
        /// The present one.
        present: u64,
    },
    /// It cannot be done, in words.
    Refused(String),
}

/// What an act has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A version is new.
    Version(u64),
    /// What is known of a version has changed.
    Entry(u64),
    /// A version is not kept any more.
    Dropped(u64),
    /// A duty has a new owner or term.
    Owner(String),
    /// What a duty keeps has changed, or it is new.
    Duty(String),
    /// A member is new, gone, or reached elsewhere.
    Members,
}

/// A version as it is held.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// What is known of it.
    pub entry: Entry,
    /// Its content.
    pub document: Arc<Document>,
}

/// The charter.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Charter {
    /// Where the numbers of versions come from: a group that is set up anew has another.
    pub lineage: u64,
    /// The members, by number.
    pub members: BTreeMap<u64, Member>,
    /// Numbers that no member may have again.
    pub removed: BTreeSet<u64>,
    /// The duties, by name.
    pub duties: BTreeMap<String, Duty>,
    /// The versions, by number.
    pub versions: BTreeMap<u64, Held>,
}

impl Charter {
    /// A charter of a service that is alone, with the versions that an older build left.
    pub fn alone(lineage: u64, member: Member, versions: BTreeMap<u64, Held>) -> Self {
        let duty = Duty { name: VERSIONS.into(), ..Duty::default() };
        Charter {
            lineage,
            members: BTreeMap::from([(member.number, member)]),
            removed: BTreeSet::new(),
            duties: BTreeMap::from([(duty.name.clone(), duty)]),
            versions,
        }
    }

    /// As it is stored beside the versions.
    pub fn stored(&self) -> schema::Charter {
        schema::Charter {
            lineage: self.lineage,
            members: self.members.values().cloned().collect(),
            duties: self.duties.values().cloned().collect(),
            removed: self.removed.iter().copied().collect(),
            versions: Vec::new(),
        }
    }

    /// As it is sent, with the versions.
    pub fn whole(&self) -> schema::Charter {
        let held = |held: &Held| schema::Held {
            entry: Some(held.entry.clone()),
            document: Some((*held.document).clone()),
        };
        schema::Charter { versions: self.versions.values().map(held).collect(), ..self.stored() }
    }

    /// Reads either.
    pub fn of(told: schema::Charter) -> Self {
        let held = |held: schema::Held| {
            let (entry, document) = (held.entry.unwrap_or_default(), held.document.unwrap_or_default());
            (number(&entry), Held { entry, document: Arc::new(document) })
        };
        Charter {
            lineage: told.lineage,
            members: told.members.into_iter().map(|it| (it.number, it)).collect(),
            removed: told.removed.into_iter().collect(),
            duties: told.duties.into_iter().map(|it| (it.name.clone(), it)).collect(),
            versions: told.versions.into_iter().map(held).collect(),
        }
    }

    /// The newest version; 0: none.
    pub fn newest(&self) -> u64 {
        self.versions.keys().next_back().copied().unwrap_or(0)
    }

    /// The owner of a duty and its term; no owner: 0.
    pub fn owner(&self, duty: &str) -> (u64, u64) {
        self.duties.get(duty).map_or((0, 0), |duty| (duty.owner, duty.term))
    }

    /// Takes one act; what became of it, and what it has changed.
    pub fn apply(&mut self, act: &Act) -> (Outcome, Vec<Change>) {
        let mut changes = Vec::new();
        let outcome = match self.try_apply(act, &mut changes) {
            Ok(outcome) => outcome,
            Err(outcome) => {
                debug_assert!(changes.is_empty(), "what is refused changes nothing");
                outcome
            }
        };
        (outcome, changes)
    }

    fn try_apply(&mut self, act: &Act, changes: &mut Vec<Change>) -> Result<Outcome, Outcome> {
        let refused = |why: &str| Err(Outcome::Refused(why.into()));
        let Some(what) = &act.what else { return refused("an act that this build does not know") };
        match what {
            What::Declare(_) => self.declare(&act.duty, changes),
            What::Member(member) => self.member(member, changes),
            What::Assign(to) => {
                // Its term is the one that it replaces: two leaders, or one that repeats itself, replace it once.
                let present = self.owner(&act.duty).1;
                if act.term != present {
                    return Err(Outcome::Stale { term: act.term, present });
                }
                self.give(&act.duty, *to, present, changes)
            }
            what => {
                let (owner, present) = self.owner(&act.duty);
                if act.term != present || act.by != owner || owner == 0 {
                    return Err(Outcome::Stale { term: act.term, present });
                }
                match what {
                    What::Version(new) => self.publish(new, changes),
                    What::State(new) => self.state(new, changes),
                    What::Keep(keep) => self.keep(&act.duty, keep, changes),
                    What::HandOver(to) => self.give(&act.duty, *to, present, changes),
                    What::Raise(above) if above.saturating_sub(present) > RAISED_BY => {
                        refused("the term to go above is further off than any owner can have come")
                    }
                    What::Raise(above) => self.give(&act.duty, owner, present.max(*above), changes),
                    What::Declare(_) | What::Member(_) | What::Assign(_) => unreachable!("handled above"),
                }
            }
        }
    }

    fn declare(&mut self, name: &str, changes: &mut Vec<Change>) -> Result<Outcome, Outcome> {
        let sound = (1..=NAME).contains(&name.len()) && name.bytes().all(|it| it.is_ascii_graphic());
        if !sound {
            return Err(Outcome::Refused(format!("'{name}' is no name for a duty")));
        }
        if self.duties.contains_key(name) {
            return Ok(Outcome::Done);
        }
        if self.duties.len() >= DUTIES {
            return Err(Outcome::Refused(format!("there are {DUTIES} duties already")));
        }
        self.duties.insert(name.into(), Duty { name: name.into(), ..Duty::default() });
        changes.push(Change::Duty(name.into()));
        Ok(Outcome::Done)
    }

    /// Where a member is reached. A later boot replaces an earlier one; nothing replaces a later one.
    fn member(&mut self, member: &Member, changes: &mut Vec<Change>) -> Result<Outcome, Outcome> {
        let Some(known) = self.members.get_mut(&member.number) else {
            return Err(Outcome::Refused(format!("there is no member {}", member.number)));
        };
        if (known.boot, known.nonce) == (member.boot, member.nonce) {
            return Ok(Outcome::Done);
        }
        if known.boot >= member.boot {
            return Err(Outcome::Refused(format!("a later start of member {} is known", member.number)));
        }
        *known = member.clone();
        changes.push(Change::Members);
        Ok(Outcome::Done)
    }

    /// A member joins, by a change of the members that is agreed on.
    pub fn join(&mut self, member: Member) -> Vec<Change> {
        self.members.insert(member.number, member);
        vec![Change::Members]
    }

    /// A member leaves for good; what it owned has no owner.
    pub fn leave(&mut self, member: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        if self.members.remove(&member).is_some() {
            self.removed.insert(member);
            changes.push(Change::Members);
        }
        let owned: Vec<(String, u64)> = self
            .duties
            .values()
            .filter(|duty| duty.owner == member)
            .map(|duty| (duty.name.clone(), duty.term))
            .collect();
        for (duty, term) in owned {
            let _ = self.give(&duty, 0, term, &mut changes);
        }
        changes
    }

    /// Why a member may not join; none: it may.
    pub fn bars(&self, member: &Member) -> Option<String> {
        if member.number == 0 || self.members.contains_key(&member.number) {
            return Some(format!("member {} is there already", member.number));
        }
        if self.removed.contains(&member.number) {
            return Some(format!("number {} was a member's that is gone: take another", member.number));
        }
        (self.members.len() >= MEMBERS).then(|| format!("there are {MEMBERS} members already"))
    }

    /// Gives a duty to an owner under the term behind `below`.
    fn give(
        &mut self,
        name: &str,
        to: u64,
        below: u64,
        changes: &mut Vec<Change>,
    ) -> Result<Outcome, Outcome> {
        let member = to == 0 || self.members.contains_key(&to);
        let Some(duty) = self.duties.get_mut(name) else {
            return Err(Outcome::Refused(format!("there is no duty '{name}'")));
        };
        if !member {
            return Err(Outcome::Refused(format!("there is no member {to}")));
        }
        // The last term is nobody's: an owner of it could never be followed by another.
        let Some(term) = below.checked_add(1).filter(|term| *term < u64::MAX) else {
            return Err(Outcome::Refused(format!("the terms of '{name}' are used up")));
        };
        (duty.owner, duty.term, duty.order) = (to, term, 0);
        duty.changes = duty.changes.saturating_add(1);
        changes.push(Change::Owner(name.into()));
        Ok(Outcome::Done)
    }

    fn keep(&mut self, name: &str, keep: &Keep, changes: &mut Vec<Change>) -> Result<Outcome, Outcome> {
        if keep.state.len() > STATE {
            let bytes = keep.state.len();
            return Err(Outcome::Refused(format!("{bytes} bytes are too many to keep for the next owner")));
        }
        if let Some(duty) = self.duties.get_mut(name).filter(|duty| keep.order > duty.order) {
            (duty.state, duty.order) = (keep.state.clone(), keep.order);
            changes.push(Change::Duty(name.into()));
        }
        Ok(Outcome::Done)
    }

    fn publish(&mut self, new: &NewVersion, changes: &mut Vec<Change>) -> Result<Outcome, Outcome> {
        let document = new.document.clone().unwrap_or_default();
        if new.key.len() > NAME {
            return Err(Outcome::Refused("the key is too long".into()));
        }
        let same = |held: &&Held| !new.key.is_empty() && held.entry.key == new.key;
        if let Some(held) = self.versions.values().find(same) {
            let there = held.entry.version.clone().unwrap_or_default();
            return match there.digest == gaugestep_config::digest(&document) {
                true => Ok(Outcome::Published(there)),
                false => Err(Outcome::Refused(format!(
                    "version {} was published under this key, with another content",
                    there.number
                ))),
            };
        }
        if let Some(refusal) = check::check(&document).into_iter().next() {
            return Err(Outcome::Refused(refusal.to_string()));
        }
        let newest = self.newest();
        if new.expected_newest > 0 && newest != new.expected_newest {
            let expected = new.expected_newest;
            return Err(Outcome::Refused(format!("version {newest} is the newest, not version {expected}")));
        }
        let Some(number) = newest.checked_add(1).map(|next| next.max(new.at_least)) else {
            return Err(Outcome::Refused("the numbers of versions are used up".into()));
        };
        for (older, held) in &mut self.versions {
            if held.entry.state() == State::Rolling {
                held.entry.state = State::Overtaken as i32;
                changes.push(Change::Entry(*older));
            }
        }
        let version = version(number, &document);
        let entry = Entry {
            version: Some(version.clone()),
            published_ms: new.published_ms,
            author: new.author.clone(),
            note: new.note.clone(),
            rolls_back_to: new.rolls_back_to,
            plan: new.plan,
            state: State::Rolling as i32,
            halted_for: String::new(),
            key: new.key.clone(),
        };
        self.versions.insert(number, Held { entry, document: Arc::new(document) });
        changes.push(Change::Version(number));
        let above = self.versions.len().saturating_sub(new.keep.max(1) as usize);
        let old: Vec<u64> = self.versions.keys().copied().take(above).collect();
        for number in old.into_iter().filter(|number| !new.needed.contains(number)) {
            self.versions.remove(&number);
            changes.push(Change::Dropped(number));
        }
        Ok(Outcome::Published(version))
    }

    fn state(&mut self, new: &NewState, changes: &mut Vec<Change>) -> Result<Outcome, Outcome> {
        let Some(held) = self.versions.get_mut(&new.number) else {
            return Err(Outcome::Refused(format!("there is no version {}", new.number)));
        };
        // What has ended stays as it ended.
        if held.entry.state() == State::Rolling {
            held.entry.state = new.state;
            held.entry.halted_for = new.halted_for.clone();
            changes.push(Change::Entry(new.number));
        }
        Ok(Outcome::Done)
    }
}

/// The number of a version's entry.
pub fn number(entry: &Entry) -> u64 {
    entry.version.as_ref().map_or(0, |version| version.number)
}
