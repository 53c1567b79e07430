//! Conversion between the state and the protobuf message in which it is stored and sent.

use std::sync::Arc;

use gaugestep_config::schema::{Charter, Held};

use super::{GroupState, StoredVersion, version_number};

impl GroupState {
    /// The message to store. It omits the versions, which are stored separately.
    pub fn to_stored(&self) -> Charter {
        Charter {
            lineage: self.lineage,
            members: self.members.values().cloned().collect(),
            duties: self.roles.values().cloned().collect(),
            removed: self.removed.iter().copied().collect(),
            versions: Vec::new(),
        }
    }

    /// The message to send to a member whose log is too far behind. It contains the versions.
    pub fn to_snapshot(&self) -> Charter {
        let to_message = |stored: &StoredVersion| Held {
            entry: Some(stored.entry.clone()),
            document: Some((*stored.document).clone()),
        };
        Charter { versions: self.versions.values().map(to_message).collect(), ..self.to_stored() }
    }

    /// Decodes the state from a message that was stored or received.
    pub fn from_schema(message: Charter) -> Self {
        let to_stored_version = |message: Held| {
            let entry = message.entry.unwrap_or_default();
            let document = message.document.unwrap_or_default();
            (version_number(&entry), StoredVersion { entry, document: Arc::new(document) })
        };
        GroupState {
            lineage: message.lineage,
            members: message.members.into_iter().map(|member| (member.number, member)).collect(),
            removed: message.removed.into_iter().collect(),
            roles: message.duties.into_iter().map(|role| (role.name.clone(), role)).collect(),
            versions: message.versions.into_iter().map(to_stored_version).collect(),
        }
    }
}
