//! All versions of a service, by number, in an embedded database (redb): each change is one transaction.

use std::path::Path;

use redb::{Database, ReadableTable as _, TableDefinition};

/// Documents by the version's number, and what else is known of the version.
const DOCUMENTS: TableDefinition<u64, &[u8]> = TableDefinition::new("documents");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
/// Values by name.
const VALUES: TableDefinition<&str, u64> = TableDefinition::new("values");
const LINEAGE: &str = "lineage";

/// Why the store failed, in words.
pub type Error = String;

fn told(error: impl std::fmt::Display) -> Error {
    error.to_string()
}

/// The versions of one service. Only one process at a time may hold them.
pub struct Versions {
    database: Database,
    most: usize,
}

/// One version as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Its number.
    pub number: u64,
    /// What is known of it.
    pub entry: Vec<u8>,
    /// The document.
    pub document: Vec<u8>,
}

impl Versions {
    /// The versions in this file, which is made if it is not there; `most` of them are kept at least.
    pub fn open(path: &Path, most: usize) -> Result<Self, Error> {
        let database = Database::create(path).map_err(|error| format!("{}: {error}", path.display()))?;
        let writing = database.begin_write().map_err(told)?;
        writing.open_table(DOCUMENTS).map_err(told)?;
        writing.open_table(ENTRIES).map_err(told)?;
        writing.open_table(VALUES).map_err(told)?;
        writing.commit().map_err(told)?;
        Ok(Versions { database, most: most.max(1) })
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

    /// Keeps a new version. Versions that are older than those to be kept, and that `needed` does not name, are let go
    /// in the same transaction: the store does not grow without bound. The numbers that are kept, in order.
    pub fn publish(&self, version: &Stored, needed: &[u64]) -> Result<Vec<u64>, Error> {
        let writing = self.database.begin_write().map_err(told)?;
        let kept = {
            let mut documents = writing.open_table(DOCUMENTS).map_err(told)?;
            let mut entries = writing.open_table(ENTRIES).map_err(told)?;
            if let Some((newest, _)) = documents.last().map_err(told)? {
                if newest.value() >= version.number {
                    return Err(format!("version {} is there already", newest.value()));
                }
            }
            documents.insert(version.number, version.document.as_slice()).map_err(told)?;
            entries.insert(version.number, version.entry.as_slice()).map_err(told)?;
            let mut numbers = Vec::new();
            for item in documents.iter().map_err(told)? {
                numbers.push(item.map_err(told)?.0.value());
            }
            let newest = numbers.split_off(numbers.len().saturating_sub(self.most));
            let (mut kept, gone): (Vec<u64>, Vec<u64>) =
                numbers.into_iter().partition(|number| needed.contains(number));
            for number in gone {
                documents.remove(number).map_err(told)?;
                entries.remove(number).map_err(told)?;
            }
            kept.extend(newest);
            kept
        };
        writing.commit().map_err(told)?;
        Ok(kept)
    }

    /// Keeps what has become known of a version.
    pub fn set_entry(&self, number: u64, entry: &[u8]) -> Result<(), Error> {
        let writing = self.database.begin_write().map_err(told)?;
        {
            let mut entries = writing.open_table(ENTRIES).map_err(told)?;
            if entries.get(number).map_err(told)?.is_none() {
                return Err(format!("there is no version {number}"));
            }
            entries.insert(number, entry).map_err(told)?;
        }
        writing.commit().map_err(told)
    }

    /// All versions that are kept, in the order of their numbers.
    pub fn all(&self) -> Result<Vec<Stored>, Error> {
        let reading = self.database.begin_read().map_err(told)?;
        let documents = reading.open_table(DOCUMENTS).map_err(told)?;
        let entries = reading.open_table(ENTRIES).map_err(told)?;
        let mut all = Vec::new();
        for item in documents.iter().map_err(told)? {
            let (number, document) = item.map_err(told)?;
            let entry = entries.get(number.value()).map_err(told)?;
            all.push(Stored {
                number: number.value(),
                entry: entry.map(|entry| entry.value().to_vec()).unwrap_or_default(),
                document: document.value().to_vec(),
            });
        }
        Ok(all)
    }
}
