//! What a control service keeps, in an embedded database (redb): versions by number, the log on which a group agrees, and
//! values by name. Each change is one transaction.

use std::path::Path;

use redb::{Database, ReadableTable as _, TableDefinition};

/// Documents by the version's number, and what else is known of the version.
const DOCUMENTS: TableDefinition<u64, &[u8]> = TableDefinition::new("documents");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
/// Values by name.
const VALUES: TableDefinition<&str, u64> = TableDefinition::new("values");
const LINEAGE: &str = "lineage";
/// The log by index, and further values.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const KEPT: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");

/// Why the store failed, in words.
pub type Error = String;

fn told(error: impl std::fmt::Display) -> Error {
    error.to_string()
}

/// The versions of one service. Only one process at a time may hold them.
pub struct ControlStore {
    database: Database,
}

/// What is written together.
#[derive(Debug, Default)]
pub struct WriteBatch {
    /// Entries of the log from this index on are no more; before `log` is written.
    pub truncate_log_from: Option<u64>,
    /// Entries of the log below this index are no more.
    pub compact_log_below: Option<u64>,
    /// Entries of the log.
    pub log_entries: Vec<(u64, Vec<u8>)>,
    /// Values by name.
    pub values: Vec<(&'static str, Vec<u8>)>,
    /// Versions that are not kept any more; before `documents` and `entries` are written.
    pub removed_versions: Vec<u64>,
    /// Documents by the version's number.
    pub documents: Vec<(u64, Vec<u8>)>,
    /// What else is known of versions.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// It is on the disk when the call returns. Without it, a kill may lose it; nothing that was synced is lost.
    pub sync: bool,
}

/// One version as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRow {
    /// Its number.
    pub number: u64,
    /// What is known of it.
    pub entry: Vec<u8>,
    /// The document.
    pub document: Vec<u8>,
}

impl ControlStore {
    /// What is kept in this file, which is made if it is not there.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let database = Database::create(path).map_err(|error| format!("{}: {error}", path.display()))?;
        let writing = database.begin_write().map_err(told)?;
        writing.open_table(DOCUMENTS).map_err(told)?;
        writing.open_table(ENTRIES).map_err(told)?;
        writing.open_table(VALUES).map_err(told)?;
        writing.open_table(LOG).map_err(told)?;
        writing.open_table(KEPT).map_err(told)?;
        writing.commit().map_err(told)?;
        Ok(ControlStore { database })
    }

    /// The number that tells this store from others: `fresh` where it has none yet.
    pub fn lineage(&self, fresh: u64) -> Result<u64, Error> {
        let writing = self.database.begin_write().map_err(told)?;
        let lineage = {
            let mut values = writing.open_table(VALUES).map_err(told)?;
            let known = values.get(LINEAGE).map_err(told)?.map(|value| value.value());
            match known {
                Some(lineage) => lineage,
                None => {
                    values.insert(LINEAGE, fresh).map_err(told)?;
                    fresh
                }
            }
        };
        writing.commit().map_err(told)?;
        Ok(lineage)
    }

    /// Writes all of a batch, or nothing.
    pub fn write(&self, batch: &WriteBatch) -> Result<(), Error> {
        let mut writing = self.database.begin_write().map_err(told)?;
        if !batch.sync {
            writing.set_durability(redb::Durability::None);
        }
        {
            let mut documents = writing.open_table(DOCUMENTS).map_err(told)?;
            let mut entries = writing.open_table(ENTRIES).map_err(told)?;
            for number in &batch.removed_versions {
                documents.remove(number).map_err(told)?;
                entries.remove(number).map_err(told)?;
            }
            for (number, document) in &batch.documents {
                documents.insert(number, document.as_slice()).map_err(told)?;
            }
            for (number, entry) in &batch.entries {
                entries.insert(number, entry.as_slice()).map_err(told)?;
            }
            let mut log = writing.open_table(LOG).map_err(told)?;
            if let Some(from) = batch.truncate_log_from {
                log.retain_in(from.., |_, _| false).map_err(told)?;
            }
            if let Some(below) = batch.compact_log_below {
                log.retain_in(..below, |_, _| false).map_err(told)?;
            }
            for (index, entry) in &batch.log_entries {
                log.insert(index, entry.as_slice()).map_err(told)?;
            }
            let mut kept = writing.open_table(KEPT).map_err(told)?;
            for (name, value) in &batch.values {
                kept.insert(*name, value.as_slice()).map_err(told)?;
            }
        }
        writing.commit().map_err(told)
    }

    /// A value by name.
    pub fn value(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let reading = self.database.begin_read().map_err(told)?;
        let kept = reading.open_table(KEPT).map_err(told)?;
        Ok(kept.get(name).map_err(told)?.map(|value| value.value().to_vec()))
    }

    /// The log, in the order of its indices.
    pub fn log(&self) -> Result<Vec<(u64, Vec<u8>)>, Error> {
        let reading = self.database.begin_read().map_err(told)?;
        let log = reading.open_table(LOG).map_err(told)?;
        let mut all = Vec::new();
        for item in log.iter().map_err(told)? {
            let (index, entry) = item.map_err(told)?;
            all.push((index.value(), entry.value().to_vec()));
        }
        Ok(all)
    }

    /// All versions that are kept, in the order of their numbers.
    pub fn versions(&self) -> Result<Vec<VersionRow>, Error> {
        let reading = self.database.begin_read().map_err(told)?;
        let documents = reading.open_table(DOCUMENTS).map_err(told)?;
        let entries = reading.open_table(ENTRIES).map_err(told)?;
        let mut all = Vec::new();
        for item in documents.iter().map_err(told)? {
            let (number, document) = item.map_err(told)?;
            let entry = entries.get(number.value()).map_err(told)?;
            all.push(VersionRow {
                number: number.value(),
                entry: entry.map(|entry| entry.value().to_vec()).unwrap_or_default(),
                document: document.value().to_vec(),
            });
        }
        Ok(all)
    }
}
