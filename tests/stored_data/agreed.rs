//! The replicated state of a group, from the store of a stored member or as a running member reports it.

use gaugestep_config::schema::{self, Charter, Entry, ListMembers, call, reply};
use gaugestep_config::short_digest;
use gaugestep_storage::control_store::ControlStore;
use prost::Message as _;

use crate::files::{MEMBERS, copy_store};
use crate::group::MemberProcess;

/// A member and its addresses.
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

/// A singleton role: work for the complete fleet with one lease holder at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Role {
    pub name: String,
    /// The member that holds the lease; 0 for none.
    pub owner: u64,
    /// The fencing token.
    pub term: u64,
}

/// A version in a member's store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredVersion {
    pub number: u64,
    pub digest: String,
    pub key: String,
}

/// The state that the members of a group have committed.
#[derive(Debug, PartialEq)]
pub struct GroupState {
    pub members: Vec<MemberAddresses>,
    pub roles: Vec<Role>,
    /// Newest first.
    pub versions: Vec<StoredVersion>,
}

impl GroupState {
    /// The state of the stored group, with the latest term of each role, as some members know of a later term
    /// than others.
    pub fn of_stored_group() -> Self {
        let mut all = MEMBERS.map(Self::of_stored_member).into_iter();
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

    /// The state in a copy of a stored member's store.
    fn of_stored_member(member: u64) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let store = ControlStore::open(&copy_store(member, folder.path())).unwrap();
        let state = store.value("charter").unwrap().expect("a state is stored");
        let state = Charter::decode(state.as_slice()).unwrap();
        let role = |duty: schema::Duty| Role { name: duty.name, owner: duty.owner, term: duty.term };
        let version = |stored: gaugestep_storage::control_store::VersionRow| {
            let entry = Entry::decode(stored.entry.as_slice()).unwrap();
            let digest = short_digest(&entry.version.unwrap_or_default().digest);
            StoredVersion { number: stored.number, digest, key: entry.key }
        };
        GroupState {
            members: state.members.into_iter().map(MemberAddresses::from).collect(),
            roles: state.duties.into_iter().map(role).collect(),
            versions: store.versions().unwrap().into_iter().rev().map(version).collect(),
        }
    }

    /// The state that a running member reports; lists are empty if it does not respond.
    pub fn of_running_member(member: &MemberProcess) -> Self {
        let members = match member.call(call::What::Members(ListMembers {})) {
            Ok(reply::What::Members(response)) => response.members,
            _ => Vec::new(),
        };
        let role = |duty: schema::DutyState| Role { name: duty.name, owner: duty.owner, term: duty.term };
        let version = |(number, digest, key)| StoredVersion { number, digest, key };
        GroupState {
            members: members.into_iter().map(MemberAddresses::from).collect(),
            roles: member.roles().into_iter().map(role).collect(),
            versions: member.versions().into_iter().map(version).collect(),
        }
    }

    /// The role of this name.
    pub fn role(&self, name: &str) -> Option<&Role> {
        self.roles.iter().find(|role| role.name == name)
    }

    /// Asserts that there are the same roles as in the stored group, that no term is below the stored one,
    /// and that a role whose term is the stored one has the stored lease holder, as each term has one holder.
    pub fn assert_no_term_decreased(&self, stored: &GroupState) {
        assert_eq!(self.roles.len(), stored.roles.len(), "{self:?}");
        for (now, then) in self.roles.iter().zip(&stored.roles) {
            assert_eq!(now.name, then.name);
            assert!(now.term >= then.term, "{now:?} after {then:?}");
            assert!(now.term > then.term || now.owner == then.owner, "{now:?} after {then:?}");
        }
    }
}
