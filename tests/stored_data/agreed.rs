//! What a group agreed on: as a stored member's store says, and as a running member says.

use gaugestep_config::schema::{self, Charter, Entry, ListMembers, call, reply};
use gaugestep_config::short_digest;
use gaugestep_storage::control_store::ControlStore;
use prost::Message as _;

use crate::files::{MEMBERS, copy_store};
use crate::group::MemberProcess;

/// A member and where it is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberAddresses {
    pub number: u64,
    pub listen: String,
    pub operators: String,
}

impl From<schema::Member> for MemberAddresses {
    fn from(member: schema::Member) -> Self {
        let schema::Member { number, listen, operators, .. } = member;
        MemberAddresses { number, listen, operators }
    }
}

/// A singleton role: work for the whole fleet with one owner at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Role {
    pub name: String,
    pub owner: u64,
    /// The fencing token.
    pub term: u64,
}

/// A version as a member holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldVersion {
    pub number: u64,
    pub digest: String,
    pub key: String,
}

/// What a group agreed on.
#[derive(Debug, PartialEq)]
pub struct Agreed {
    pub members: Vec<MemberAddresses>,
    pub roles: Vec<Role>,
    /// Newest first.
    pub versions: Vec<HeldVersion>,
}

impl Agreed {
    /// What the stored group agreed on. One of its members may know of a later term than another; the latest counts.
    pub fn by_stored_group() -> Self {
        let mut all = MEMBERS.map(Self::by_stored_member).into_iter();
        let mut latest = all.next().expect("there are members");
        for other in all {
            assert_eq!(other.members, latest.members);
            assert_eq!(other.versions, latest.versions);
            for (role, other) in latest.roles.iter_mut().zip(other.roles) {
                assert_eq!(role.name, other.name);
                if other.term > role.term {
                    *role = other;
                }
            }
        }
        latest
    }

    /// What a copy of a stored member's store says.
    fn by_stored_member(member: u64) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let store = ControlStore::open(&copy_store(member, folder.path())).unwrap();
        let state = store.value("charter").unwrap().expect("a state is stored");
        let state = Charter::decode(state.as_slice()).unwrap();
        let role = |it: schema::Duty| Role { name: it.name, owner: it.owner, term: it.term };
        let version = |stored: gaugestep_storage::control_store::VersionRow| {
            let entry = Entry::decode(stored.entry.as_slice()).unwrap();
            let digest = short_digest(&entry.version.unwrap_or_default().digest);
            HeldVersion { number: stored.number, digest, key: entry.key }
        };
        Agreed {
            members: state.members.into_iter().map(MemberAddresses::from).collect(),
            roles: state.duties.into_iter().map(role).collect(),
            versions: store.versions().unwrap().into_iter().rev().map(version).collect(),
        }
    }

    /// What a running member says; empty where it does not answer.
    pub fn by_running(member: &MemberProcess) -> Self {
        let members = match member.call(call::What::Members(ListMembers {})) {
            Ok(reply::What::Members(answer)) => answer.members,
            _ => Vec::new(),
        };
        let role = |it: schema::DutyState| Role { name: it.name, owner: it.owner, term: it.term };
        let version = |(number, digest, key)| HeldVersion { number, digest, key };
        Agreed {
            members: members.into_iter().map(MemberAddresses::from).collect(),
            roles: member.roles().into_iter().map(role).collect(),
            versions: member.versions().into_iter().map(version).collect(),
        }
    }

    /// The role of this name.
    pub fn role(&self, name: &str) -> Option<&Role> {
        self.roles.iter().find(|role| role.name == name)
    }

    /// Checks that there are the same roles as in the stored group, and that no term is below the stored one. Under a stored
    /// term the owner is the stored one, as no term is given twice.
    pub fn no_term_went_back(&self, stored: &Agreed) {
        assert_eq!(self.roles.len(), stored.roles.len(), "{self:?}");
        for (now, then) in self.roles.iter().zip(&stored.roles) {
            assert_eq!(now.name, then.name);
            assert!(now.term >= then.term, "{now:?} after {then:?}");
            assert!(now.term > then.term || now.owner == then.owner, "{now:?} after {then:?}");
        }
    }
}
