//! The durable state of a control server in an embedded database (redb): configuration versions by number,
//! the Raft log by index, and single values by name. Each change is one transaction.

use std::path::{Path, PathBuf};

use redb::{Database, Durability, ReadTransaction, ReadableTable as _, TableDefinition, WriteTransaction};

use crate::error::StorageError;

/// Documents by version number.
const DOCUMENTS: TableDefinition<u64, &[u8]> = TableDefinition::new("documents");
/// Encoded metadata of each version, such as the state of its rollout, by version number.
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
/// Numbers by name; contains only the lineage.
const NUMBERS: TableDefinition<&str, u64> = TableDefinition::new("values");
/// Entries of the Raft log by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Opaque values by name.
const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");

/// The key of the lineage in [`NUMBERS`].
const LINEAGE: &str = "lineage";

/// The database of one control server. Only one process at a time can open it.
pub struct ControlStore {
    database: Database,
    path: PathBuf,
}

/// Changes that are written in one transaction, in the order of the fields.
#[derive(Debug, Default)]
pub struct WriteBatch {
    /// Numbers of the versions to remove.
    pub removed_versions: Vec<u64>,
    /// Documents to write, by version number.
    pub documents: Vec<(u64, Vec<u8>)>,
    /// Encoded metadata of versions to write, by version number.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Removes the log entries from this index on.
    pub truncate_log_from: Option<u64>,
    /// Removes the log entries below this index.
    pub compact_log_below: Option<u64>,
    /// Log entries to write, by index.
    pub log_entries: Vec<(u64, Vec<u8>)>,
    /// Values to write, by name.
    pub values: Vec<(&'static str, Vec<u8>)>,
    /// Whether the batch must be on disk when the write returns. If false, a crash may lose this batch, but
    /// no batch that was synced before.
    pub sync: bool,
}

/// A stored configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRow {
    /// Number of the version.
    pub number: u64,
    /// Encoded metadata of the version; empty if none was written.
    pub entry: Vec<u8>,
    /// Encoded document of the version.
    pub document: Vec<u8>,
}

impl ControlStore {
    /// Opens the database in this file, and creates it if it does not exist.
    ///
    /// # Errors
    /// [`StorageError::Database`] if the file cannot be opened, is in use by another process, or is not such
    /// a database.
    pub fn open(path: &Path) -> Result<Self, StorageError> {
        const OPERATION: &str = "open the store";
        let database =
            Database::create(path).map_err(|error| DatabaseError::from(error).context(path, OPERATION))?;
        let store = ControlStore { database, path: path.to_owned() };
        store.write_with(OPERATION, Durability::Immediate, |transaction| {
            transaction.open_table(DOCUMENTS)?;
            transaction.open_table(ENTRIES)?;
            transaction.open_table(NUMBERS)?;
            transaction.open_table(LOG)?;
            transaction.open_table(VALUES)?;
            Ok(())
        })?;
        Ok(store)
    }

    /// The number that distinguishes the history of this store from that of any other store. If none is
    /// stored yet, `fresh` is stored and returned.
    ///
    /// # Errors
    /// [`StorageError::Database`] if the database fails.
    pub fn lineage(&self, fresh: u64) -> Result<u64, StorageError> {
        self.write_with("read the lineage", Durability::Immediate, |transaction| {
            let mut numbers = transaction.open_table(NUMBERS)?;
            let stored = numbers.get(LINEAGE)?.map(|lineage| lineage.value());
            if let Some(lineage) = stored {
                return Ok(lineage);
            }
            numbers.insert(LINEAGE, fresh)?;
            Ok(fresh)
        })
    }

    /// Writes a batch atomically.
    ///
    /// # Errors
    /// [`StorageError::Database`] if the database fails.
    pub fn write(&self, batch: &WriteBatch) -> Result<(), StorageError> {
        let durability = if batch.sync { Durability::Immediate } else { Durability::None };
        self.write_with("write a batch", durability, |transaction| {
            write_versions(transaction, batch)?;
            write_log(transaction, batch)?;
            let mut values = transaction.open_table(VALUES)?;
            for (name, value) in &batch.values {
                values.insert(*name, value.as_slice())?;
            }
            Ok(())
        })
    }

    /// Reads a value by name; `None` if none is stored under it.
    ///
    /// # Errors
    /// [`StorageError::Database`] if the database fails.
    pub fn value(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        self.read_with("read a value", |transaction| {
            let values = transaction.open_table(VALUES)?;
            Ok(values.get(name)?.map(|value| value.value().to_vec()))
        })
    }

    /// Reads the Raft log as pairs of index and entry, in the order of the indices.
    ///
    /// # Errors
    /// [`StorageError::Database`] if the database fails.
    pub fn log(&self) -> Result<Vec<(u64, Vec<u8>)>, StorageError> {
        self.read_with("read the log", |transaction| {
            let mut entries = Vec::new();
            for row in transaction.open_table(LOG)?.iter()? {
                let (index, entry) = row?;
                entries.push((index.value(), entry.value().to_vec()));
            }
            Ok(entries)
        })
    }

    /// Reads all stored versions in the order of their numbers.
    ///
    /// # Errors
    /// [`StorageError::Database`] if the database fails.
    pub fn versions(&self) -> Result<Vec<VersionRow>, StorageError> {
        self.read_with("read the versions", |transaction| {
            let documents = transaction.open_table(DOCUMENTS)?;
            let entries = transaction.open_table(ENTRIES)?;
            let mut versions = Vec::new();
            for row in documents.iter()? {
                let (number, document) = row?;
                let entry = entries.get(number.value())?;
                versions.push(VersionRow {
                    number: number.value(),
                    entry: entry.map(|entry| entry.value().to_vec()).unwrap_or_default(),
                    document: document.value().to_vec(),
                });
            }
            Ok(versions)
        })
    }

    /// Runs `read` in a read transaction. `operation` completes the sentence "cannot ..." in the error.
    fn read_with<T>(
        &self,
        operation: &'static str,
        read: impl FnOnce(&ReadTransaction) -> Result<T, DatabaseError>,
    ) -> Result<T, StorageError> {
        let transact = || read(&self.database.begin_read()?);
        transact().map_err(|error| error.context(&self.path, operation))
    }

    /// Runs `change` in a write transaction and commits it, or rolls it back on an error. `operation`
    /// completes the sentence "cannot ..." in the error.
    fn write_with<T>(
        &self,
        operation: &'static str,
        durability: Durability,
        change: impl FnOnce(&WriteTransaction) -> Result<T, DatabaseError>,
    ) -> Result<T, StorageError> {
        let transact = || {
            let mut transaction = self.database.begin_write()?;
            transaction.set_durability(durability);
            let result = change(&transaction)?;
            transaction.commit()?;
            Ok(result)
        };
        transact().map_err(|error: DatabaseError| error.context(&self.path, operation))
    }
}

/// An error of the database to which the path and the operation are not added yet. It is boxed because it is
/// large.
struct DatabaseError(Box<redb::Error>);

impl<E: Into<redb::Error>> From<E> for DatabaseError {
    fn from(error: E) -> Self {
        DatabaseError(Box::new(error.into()))
    }
}

impl DatabaseError {
    fn context(self, path: &Path, operation: &'static str) -> StorageError {
        StorageError::Database { path: path.to_owned(), operation, source: self.0 }
    }
}

fn write_versions(transaction: &WriteTransaction, batch: &WriteBatch) -> Result<(), DatabaseError> {
    let mut documents = transaction.open_table(DOCUMENTS)?;
    let mut entries = transaction.open_table(ENTRIES)?;
    for number in &batch.removed_versions {
        documents.remove(number)?;
        entries.remove(number)?;
    }
    for (number, document) in &batch.documents {
        documents.insert(number, document.as_slice())?;
    }
    for (number, entry) in &batch.entries {
        entries.insert(number, entry.as_slice())?;
    }
    Ok(())
}

fn write_log(transaction: &WriteTransaction, batch: &WriteBatch) -> Result<(), DatabaseError> {
    let mut log = transaction.open_table(LOG)?;
    if let Some(from) = batch.truncate_log_from {
        log.retain_in(from.., |_, _| false)?;
    }
    if let Some(below) = batch.compact_log_below {
        log.retain_in(..below, |_, _| false)?;
    }
    for (index, entry) in &batch.log_entries {
        log.insert(index, entry.as_slice())?;
    }
    Ok(())
}
