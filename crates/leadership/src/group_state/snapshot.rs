//! Conversion from and to the message in which the state is stored and sent.

use std::sync::Arc;

use gaugestep_config::schema::{Charter, Held};

use super::{GroupState, StoredVersion, version_number};

impl GroupState {
    /// The message as it is stored: without the versions, which are stored beside it.
    pub fn to_stored(&self) -> Charter {
        Charter {
            lineage: self.lineage,
            members: self.members.values().cloned().collect(),
            duties: self.roles.values().cloned().collect(),
            removed: self.removed.iter().copied().collect(),
            versions: Vec::new(),
        }
    }

    /// The message as it is sent to a member that has fallen behind: with the versions.
    pub fn to_snapshot(&self) -> Charter {
        let held = |stored: &StoredVersion| Held {
            entry: Some(stored.entry.clone()),
            document: Some((*stored.document).clone()),
        };
        Charter { versions: self.versions.values().map(held).collect(), ..self.to_stored() }
    }

    /// The state that a message holds, stored or sent.
    pub fn from_schema(message: Charter) -> Self {
        let stored = |held: Held| {
            let (entry, document) = (held.entry.unwrap_or_default(), held.document.unwrap_or_default());
            (version_number(&entry), StoredVersion { entry, document: Arc::new(document) })
        };
        GroupState {
            lineage: message.lineage,
            members: message.members.into_iter().map(|member| (member.number, member)).collect(),
            removed: message.removed.into_iter().collect(),
            roles: message.duties.into_iter().map(|role| (role.name.clone(), role)).collect(),
            versions: message.versions.into_iter().map(stored).collect(),
        }
    }
}
