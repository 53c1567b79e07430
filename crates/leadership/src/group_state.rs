//! What the control services agree on: members, duties with owners and terms, and the versions that the owner of
//! [`CONFIGURATION_ROLE`] published. Every member applies the same acts in the same order and comes to the same
//! charter; an act under an old term is refused here by all of them alike, whatever its proposer believed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gaugestep_config::schema::act::What;
use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{self, Act, Duty, Entry, Keep, Member, NewState, NewVersion};
use gaugestep_config::{Document, Version, check, version};

use crate::CONFIGURATION_ROLE;

/// Duties at most, and bytes of what each keeps for its next owner.
pub const MAX_ROLES: usize = 4_096;
/// See [`MAX_ROLES`].
pub const MAX_ROLE_STATE_BYTES: usize = 256 * 1024;
/// Members at most.
pub const MAX_MEMBERS: usize = 7;
/// Bytes of a duty's name and of a key.
const MAX_NAME_BYTES: usize = 128;
/// How far a term may be raised at once: a receiver that names a higher one is garbled, and must not use terms up.
pub const MAX_TERM_RAISE: u64 = 1 << 32;

/// What became of an act.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is done.
    Applied,
    /// The version is there, by this act or by an earlier one under the same key.
    Published(Version),
    /// Its proposer does not own the duty under that term any more.
    StaleTerm {
        /// The act's term.
        term: u64,
        /// The current one.
        current: u64,
    },
    /// It cannot be done, in words.
    Rejected(String),
}

/// What an act has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// A version is new.
    VersionPublished(u64),
    /// What is known of a version has changed.
    VersionUpdated(u64),
    /// A version is not kept any more.
    VersionDropped(u64),
    /// A duty has a new owner or term.
    HolderChanged(String),
    /// What a duty keeps has changed, or it is new.
    RoleChanged(String),
    /// A member is new, gone, or reached elsewhere.
    MembersChanged,
}

/// A version as it is held.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredVersion {
    /// What is known of it.
    pub entry: Entry,
    /// Its content.
    pub document: Arc<Document>,
}

/// The charter.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupState {
    /// Where the numbers of versions come from: a group that is set up anew has another.
    pub lineage: u64,
    /// The members, by number.
    pub members: BTreeMap<u64, Member>,
    /// Numbers that no member may have again.
    pub removed: BTreeSet<u64>,
    /// The duties, by name.
    pub roles: BTreeMap<String, Duty>,
    /// The versions, by number.
    pub versions: BTreeMap<u64, StoredVersion>,
}

impl GroupState {
    /// A charter of a service that is alone, with the versions that an older build left.
    pub fn single_member(lineage: u64, member: Member, versions: BTreeMap<u64, StoredVersion>) -> Self {
        let duty = Duty { name: CONFIGURATION_ROLE.into(), ..Duty::default() };
        GroupState {
            lineage,
            members: BTreeMap::from([(member.number, member)]),
            removed: BTreeSet::new(),
            roles: BTreeMap::from([(duty.name.clone(), duty)]),
            versions,
        }
    }

    /// As it is stored beside the versions.
    pub fn to_stored(&self) -> schema::Charter {
        schema::Charter {
            lineage: self.lineage,
            members: self.members.values().cloned().collect(),
            duties: self.roles.values().cloned().collect(),
            removed: self.removed.iter().copied().collect(),
            versions: Vec::new(),
        }
    }

    /// As it is sent, with the versions.
    pub fn to_snapshot(&self) -> schema::Charter {
        let held = |held: &StoredVersion| schema::Held {
            entry: Some(held.entry.clone()),
            document: Some((*held.document).clone()),
        };
        schema::Charter { versions: self.versions.values().map(held).collect(), ..self.to_stored() }
    }

    /// Reads either.
    pub fn from_schema(told: schema::Charter) -> Self {
        let held = |held: schema::Held| {
            let (entry, document) = (held.entry.unwrap_or_default(), held.document.unwrap_or_default());
            (version_number(&entry), StoredVersion { entry, document: Arc::new(document) })
        };
        GroupState {
            lineage: told.lineage,
            members: told.members.into_iter().map(|it| (it.number, it)).collect(),
            removed: told.removed.into_iter().collect(),
            roles: told.duties.into_iter().map(|it| (it.name.clone(), it)).collect(),
            versions: told.versions.into_iter().map(held).collect(),
        }
    }

    /// The newest version; 0: none.
    pub fn newest_version(&self) -> u64 {
        self.versions.keys().next_back().copied().unwrap_or(0)
    }

    /// The owner of a duty and its term; no owner: 0.
    pub fn holder(&self, duty: &str) -> (u64, u64) {
        self.roles.get(duty).map_or((0, 0), |duty| (duty.owner, duty.term))
    }

    /// Takes one act; what became of it, and what it has changed.
    pub fn apply(&mut self, act: &Act) -> (Outcome, Vec<StateChange>) {
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

    fn try_apply(&mut self, act: &Act, changes: &mut Vec<StateChange>) -> Result<Outcome, Outcome> {
        let refused = |why: &str| Err(Outcome::Rejected(why.into()));
        let Some(what) = &act.what else { return refused("an act that this build does not know") };
        match what {
            What::Declare(_) => self.declare_role(&act.duty, changes),
            What::Member(member) => self.update_member(member, changes),
            What::Assign(to) => {
                // Its term is the one that it replaces: two leaders, or one that repeats itself, replace it once.
                let current = self.holder(&act.duty).1;
                if act.term != current {
                    return Err(Outcome::StaleTerm { term: act.term, current });
                }
                self.assign(&act.duty, *to, current, changes)
            }
            what => {
                let (owner, current) = self.holder(&act.duty);
                if act.term != current || act.by != owner || owner == 0 {
                    return Err(Outcome::StaleTerm { term: act.term, current });
                }
                match what {
                    What::Version(new) => self.publish(new, changes),
                    What::State(new) => self.set_version_state(new, changes),
                    What::Keep(keep) => self.store_role_state(&act.duty, keep, changes),
                    What::HandOver(to) => self.assign(&act.duty, *to, current, changes),
                    What::Raise(above) if above.saturating_sub(current) > MAX_TERM_RAISE => {
                        refused("the term to go above is further off than any owner can have come")
                    }
                    What::Raise(above) => self.assign(&act.duty, owner, current.max(*above), changes),
                    What::Declare(_) | What::Member(_) | What::Assign(_) => unreachable!("handled above"),
                }
            }
        }
    }

    fn declare_role(&mut self, name: &str, changes: &mut Vec<StateChange>) -> Result<Outcome, Outcome> {
        let sound =
            (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(|it| it.is_ascii_graphic());
        if !sound {
            return Err(Outcome::Rejected(format!("'{name}' is no name for a duty")));
        }
        if self.roles.contains_key(name) {
            return Ok(Outcome::Applied);
        }
        if self.roles.len() >= MAX_ROLES {
            return Err(Outcome::Rejected(format!("there are {MAX_ROLES} duties already")));
        }
        self.roles.insert(name.into(), Duty { name: name.into(), ..Duty::default() });
        changes.push(StateChange::RoleChanged(name.into()));
        Ok(Outcome::Applied)
    }

    /// Where a member is reached. A later boot replaces an earlier one; nothing replaces a later one.
    fn update_member(&mut self, member: &Member, changes: &mut Vec<StateChange>) -> Result<Outcome, Outcome> {
        let Some(known) = self.members.get_mut(&member.number) else {
            return Err(Outcome::Rejected(format!("there is no member {}", member.number)));
        };
        if (known.boot, known.nonce) == (member.boot, member.nonce) {
            return Ok(Outcome::Applied);
        }
        if known.boot >= member.boot {
            return Err(Outcome::Rejected(format!("a later start of member {} is known", member.number)));
        }
        *known = member.clone();
        changes.push(StateChange::MembersChanged);
        Ok(Outcome::Applied)
    }

    /// A member joins, by a change of the members that is agreed on.
    pub fn add_member(&mut self, member: Member) -> Vec<StateChange> {
        self.members.insert(member.number, member);
        vec![StateChange::MembersChanged]
    }

    /// A member leaves for good; what it owned has no owner.
    pub fn remove_member(&mut self, member: u64) -> Vec<StateChange> {
        let mut changes = Vec::new();
        if self.members.remove(&member).is_some() {
            self.removed.insert(member);
            changes.push(StateChange::MembersChanged);
        }
        let owned: Vec<(String, u64)> = self
            .roles
            .values()
            .filter(|duty| duty.owner == member)
            .map(|duty| (duty.name.clone(), duty.term))
            .collect();
        for (duty, term) in owned {
            let _ = self.assign(&duty, 0, term, &mut changes);
        }
        changes
    }

    /// Why a member may not join; none: it may.
    pub fn join_rejection(&self, member: &Member) -> Option<String> {
        if member.number == 0 || self.members.contains_key(&member.number) {
            return Some(format!("member {} is there already", member.number));
        }
        if self.removed.contains(&member.number) {
            return Some(format!("number {} was a member's that is gone: take another", member.number));
        }
        (self.members.len() >= MAX_MEMBERS).then(|| format!("there are {MAX_MEMBERS} members already"))
    }

    /// Gives a duty to an owner under the term behind `below`.
    fn assign(
        &mut self,
        name: &str,
        to: u64,
        below: u64,
        changes: &mut Vec<StateChange>,
    ) -> Result<Outcome, Outcome> {
        let member = to == 0 || self.members.contains_key(&to);
        let Some(duty) = self.roles.get_mut(name) else {
            return Err(Outcome::Rejected(format!("there is no duty '{name}'")));
        };
        if !member {
            return Err(Outcome::Rejected(format!("there is no member {to}")));
        }
        // The last term is nobody's: an owner of it could never be followed by another.
        let Some(term) = below.checked_add(1).filter(|term| *term < u64::MAX) else {
            return Err(Outcome::Rejected(format!("the terms of '{name}' are used up")));
        };
        (duty.owner, duty.term, duty.order) = (to, term, 0);
        duty.changes = duty.changes.saturating_add(1);
        changes.push(StateChange::HolderChanged(name.into()));
        Ok(Outcome::Applied)
    }

    fn store_role_state(
        &mut self,
        name: &str,
        keep: &Keep,
        changes: &mut Vec<StateChange>,
    ) -> Result<Outcome, Outcome> {
        if keep.state.len() > MAX_ROLE_STATE_BYTES {
            let bytes = keep.state.len();
            return Err(Outcome::Rejected(format!("{bytes} bytes are too many to keep for the next owner")));
        }
        if let Some(duty) = self.roles.get_mut(name).filter(|duty| keep.order > duty.order) {
            (duty.state, duty.order) = (keep.state.clone(), keep.order);
            changes.push(StateChange::RoleChanged(name.into()));
        }
        Ok(Outcome::Applied)
    }

    fn publish(&mut self, new: &NewVersion, changes: &mut Vec<StateChange>) -> Result<Outcome, Outcome> {
        let document = new.document.clone().unwrap_or_default();
        if new.key.len() > MAX_NAME_BYTES {
            return Err(Outcome::Rejected("the key is too long".into()));
        }
        let same = |held: &&StoredVersion| !new.key.is_empty() && held.entry.key == new.key;
        if let Some(held) = self.versions.values().find(same) {
            let there = held.entry.version.clone().unwrap_or_default();
            return match there.digest == gaugestep_config::digest(&document) {
                true => Ok(Outcome::Published(there)),
                false => Err(Outcome::Rejected(format!(
                    "version {} was published under this key, with another content",
                    there.number
                ))),
            };
        }
        if let Some(refusal) = check::check(&document).into_iter().next() {
            return Err(Outcome::Rejected(refusal.to_string()));
        }
        let newest = self.newest_version();
        if new.expected_newest > 0 && newest != new.expected_newest {
            let expected = new.expected_newest;
            return Err(Outcome::Rejected(format!("version {newest} is the newest, not version {expected}")));
        }
        let Some(number) = newest.checked_add(1).map(|next| next.max(new.at_least)) else {
            return Err(Outcome::Rejected("the numbers of versions are used up".into()));
        };
        for (older, held) in &mut self.versions {
            if held.entry.state() == State::Rolling {
                held.entry.state = State::Overtaken as i32;
                changes.push(StateChange::VersionUpdated(*older));
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
        self.versions.insert(number, StoredVersion { entry, document: Arc::new(document) });
        changes.push(StateChange::VersionPublished(number));
        let above = self.versions.len().saturating_sub(new.keep.max(1) as usize);
        let old: Vec<u64> = self.versions.keys().copied().take(above).collect();
        for number in old.into_iter().filter(|number| !new.needed.contains(number)) {
            self.versions.remove(&number);
            changes.push(StateChange::VersionDropped(number));
        }
        Ok(Outcome::Published(version))
    }

    fn set_version_state(
        &mut self,
        new: &NewState,
        changes: &mut Vec<StateChange>,
    ) -> Result<Outcome, Outcome> {
        let Some(held) = self.versions.get_mut(&new.number) else {
            return Err(Outcome::Rejected(format!("there is no version {}", new.number)));
        };
        // What has ended stays as it ended.
        if held.entry.state() == State::Rolling {
            held.entry.state = new.state;
            held.entry.halted_for = new.halted_for.clone();
            changes.push(StateChange::VersionUpdated(new.number));
        }
        Ok(Outcome::Applied)
    }
}

/// The number of a version's entry.
pub fn version_number(entry: &Entry) -> u64 {
    entry.version.as_ref().map_or(0, |version| version.number)
}
