//! The publisher's durable log, in an embedded database. Each accepted batch and the resulting state are committed in one
//! transaction before the batch is acknowledged. A publisher that was killed at any time recovers all batches that it
//! acknowledged.

use crate::records::{StoredBatch, StoredOrder};
use ochrewalk_distribution::messages::{Resource, ResourceName};
use ochrewalk_distribution::{Batch, ChangeOrder};
use prost::Message;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::path::Path;

/// The newest change of each name, deletions included.
const RESOURCES: TableDefinition<&[u8], &[u8]> = TableDefinition::new("resources");
/// The batches by revision, for rollbacks.
const BATCHES: TableDefinition<u64, &[u8]> = TableDefinition::new("batches");
/// The order of all changes, under one key.
const ORDER: TableDefinition<&str, &[u8]> = TableDefinition::new("order");
const ORDER_KEY: &str = "order";
/// The number of batches recorded for rollbacks: one day at 0.8 batches per second.
pub const HISTORY_BATCHES: u64 = 70_000;
/// The memory for cached pages of the database.
const CACHE_BYTES: usize = 8 * 1024 * 1024;

/// The reason why the log cannot be used. After such an error no batch may be acknowledged until the log was opened
/// again.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The file is damaged, or another process has it open.
    #[error("the log cannot be opened: {0}")]
    Open(#[from] redb::DatabaseError),
    /// A transaction failed.
    #[error("the log cannot be written or read: {0}")]
    Storage(#[source] redb::Error),
    /// A record is damaged, or was written by another program.
    #[error("the log holds a record that cannot be decoded ({0}); restore it from a copy")]
    Damaged(&'static str),
    /// The content of the disk is unknown, because an earlier write failed.
    #[error("an earlier write failed; open the log anew")]
    Failed,
}

macro_rules! storage_errors {
    ($($error:ty),*) => {
        $(impl From<$error> for LogError {
            fn from(error: $error) -> LogError {
                LogError::Storage(error.into())
            }
        })*
    };
}
storage_errors!(redb::TransactionError, redb::TableError, redb::StorageError, redb::CommitError);

/// The state that a log contained when it was opened.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The order of all changes; the default order if the log is empty.
    pub order: ChangeOrder,
    /// The newest change of each name, deletions included.
    pub resources: Vec<Resource>,
}

/// An open log. Only one process can have the log open.
#[derive(Debug)]
pub struct PublisherLog {
    database: Database,
    has_failed: bool,
}

impl PublisherLog {
    /// Opens the log at `path`, or creates an empty one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened, or its content cannot be decoded.
    pub fn open(path: &Path) -> Result<(PublisherLog, Recovered), LogError> {
        PublisherLog::from_database(Database::builder().set_cache_size(CACHE_BYTES).create(path)?)
    }

    /// Opens a log on a storage backend other than a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage cannot be opened, or its content cannot be decoded.
    pub fn open_with_backend(storage: impl StorageBackend) -> Result<(PublisherLog, Recovered), LogError> {
        let mut builder = Database::builder();
        PublisherLog::from_database(builder.set_cache_size(CACHE_BYTES).create_with_backend(storage)?)
    }

    fn from_database(database: Database) -> Result<(PublisherLog, Recovered), LogError> {
        let setup = database.begin_write()?;
        setup.open_table(RESOURCES)?;
        setup.open_table(BATCHES)?;
        setup.open_table(ORDER)?;
        setup.commit()?;
        let recovered = recover(&database)?;
        Ok((PublisherLog { database, has_failed: false }, recovered))
    }

    /// Makes a batch durable, together with the order of changes after it. The batch may be acknowledged once this method
    /// returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the transaction failed, or an earlier one did: the log accepts no further batches until it is
    /// opened again.
    pub fn append(&mut self, batch: &Batch, order: &ChangeOrder, unix_ms: u64) -> Result<(), LogError> {
        if self.has_failed {
            return Err(LogError::Failed);
        }
        // After a failed write or sync the content of the disk is unknown, so that the write is not retried.
        self.write(batch, order, unix_ms).inspect_err(|_| self.has_failed = true)
    }

    fn write(&self, batch: &Batch, order: &ChangeOrder, unix_ms: u64) -> Result<(), LogError> {
        let transaction = self.database.begin_write()?;
        {
            let mut resources = transaction.open_table(RESOURCES)?;
            for resource in &batch.resources {
                let key = resource.name.encode_to_vec();
                resources.insert(key.as_slice(), resource.encode_to_vec().as_slice())?;
            }
            if !batch.resources.is_empty() {
                let mut batches = transaction.open_table(BATCHES)?;
                let stored = StoredBatch::new(batch, unix_ms).encode_to_vec();
                batches.insert(batch.position.revision, stored.as_slice())?;
                batches.retain_in(..batch.position.revision.saturating_sub(HISTORY_BATCHES), |_, _| false)?;
            }
            transaction
                .open_table(ORDER)?
                .insert(ORDER_KEY, StoredOrder::from(order).encode_to_vec().as_slice())?;
        }
        transaction.commit()?;
        Ok(())
    }

    /// Removes deletions whose tombstones the state has dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the transaction failed; the log is unchanged.
    pub fn forget(&mut self, names: &[ResourceName]) -> Result<(), LogError> {
        let transaction = self.database.begin_write()?;
        {
            let mut resources = transaction.open_table(RESOURCES)?;
            for name in names {
                resources.remove(name.encode_to_vec().as_slice())?;
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// Returns the batches after a revision that are still recorded, oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read or a record cannot be decoded.
    pub fn batches_after(&self, revision: u64) -> Result<Vec<Batch>, LogError> {
        let transaction = self.database.begin_read()?;
        let batches = transaction.open_table(BATCHES)?;
        let mut found = Vec::new();
        for entry in batches.range(revision + 1..)? {
            let (_, stored) = entry?;
            let stored = StoredBatch::decode(stored.value()).map_err(|_| LogError::Damaged("a batch"))?;
            found.push(Batch::from(stored));
        }
        Ok(found)
    }
}

fn recover(database: &Database) -> Result<Recovered, LogError> {
    let transaction = database.begin_read()?;
    let order = match transaction.open_table(ORDER)?.get(ORDER_KEY)? {
        Some(stored) => {
            StoredOrder::decode(stored.value()).map_err(|_| LogError::Damaged("the order of changes"))?
        }
        None => StoredOrder::default(),
    };
    let order = ChangeOrder::from(order);
    let mut resources = Vec::new();
    for entry in transaction.open_table(RESOURCES)?.iter()? {
        let (_, stored) = entry?;
        resources.push(Resource::decode(stored.value()).map_err(|_| LogError::Damaged("a resource"))?);
    }
    Ok(Recovered { order, resources })
}
