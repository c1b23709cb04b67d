//! The publisher's durable log, on an embedded store: each accepted batch and the state that it leads to are committed in
//! one transaction, before anybody hears of the batch. Killed at any instant, a publisher finds what it acknowledged.

use crate::records::{StoredBatch, StoredChange, StoredOrder};
use ochrewalk_distribution::messages::{Resource, ResourceName};
use ochrewalk_distribution::{Batch, ChangeOrder};
use prost::Message;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::path::Path;

/// The newest change of each name, deletions included.
const RESOURCES: TableDefinition<&[u8], &[u8]> = TableDefinition::new("resources");
/// Batches by revision, for rollbacks.
const BATCHES: TableDefinition<u64, &[u8]> = TableDefinition::new("batches");
/// The order of changes as a whole, under one key.
const ORDER: TableDefinition<&str, &[u8]> = TableDefinition::new("order");
const ORDER_KEY: &str = "order";
/// Batches kept for rollbacks: a day of them at 0.8 a second.
pub const HISTORY_BATCHES: u64 = 70_000;
/// Memory for pages of the store.
const CACHE_BYTES: usize = 8 * 1024 * 1024;

/// Why the log cannot be used. After one of these no batch may be acknowledged until it was opened anew.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    #[error("the log cannot be opened: {0}")]
    Open(#[from] redb::DatabaseError),
    #[error("the log cannot be written or read: {0}")]
    Storage(String),
    #[error("the log holds a record that cannot be decoded ({0}); restore it from a copy")]
    Damaged(&'static str),
    #[error("an earlier write failed; open the log anew")]
    Failed,
}

macro_rules! storage_errors {
    ($($error:ty),*) => {
        $(impl From<$error> for LogError {
            fn from(error: $error) -> LogError {
                LogError::Storage(error.to_string())
            }
        })*
    };
}
storage_errors!(redb::TransactionError, redb::TableError, redb::StorageError, redb::CommitError);

/// What was found when the log was opened.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    pub order: ChangeOrder,
    pub resources: Vec<Resource>,
}

/// An open log. Another process that has it open keeps this one out.
#[derive(Debug)]
pub struct PublisherLog {
    database: Database,
    has_failed: bool,
}

impl PublisherLog {
    /// Opens the log at `path`, or makes an empty one.
    pub fn open(path: &Path) -> Result<(PublisherLog, Recovered), LogError> {
        PublisherLog::from_database(Database::builder().set_cache_size(CACHE_BYTES).create(path)?)
    }

    /// Opens a log on another storage than a file.
    pub fn open_on(storage: impl StorageBackend) -> Result<(PublisherLog, Recovered), LogError> {
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

    /// Makes a batch durable, with the order as it is after it. Once this returns, it may be acknowledged.
    pub fn append(&mut self, batch: &Batch, order: &ChangeOrder, unix_ms: u64) -> Result<(), LogError> {
        if self.has_failed {
            return Err(LogError::Failed);
        }
        // A write or a sync that failed once says nothing good of what is on the disk: it is not tried again.
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
                let stored = stored_batch(batch, unix_ms).encode_to_vec();
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

    /// Forgets deletions that the state no longer remembers.
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

    /// The batches after a revision, oldest first, as far as they are kept.
    pub fn batches_after(&self, revision: u64) -> Result<Vec<Batch>, LogError> {
        let transaction = self.database.begin_read()?;
        let batches = transaction.open_table(BATCHES)?;
        let mut found = Vec::new();
        for entry in batches.range(revision + 1..)? {
            let (_, stored) = entry?;
            let stored = StoredBatch::decode(stored.value()).map_err(|_| LogError::Damaged("a batch"))?;
            found.push(batch_of(stored));
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

fn stored_batch(batch: &Batch, unix_ms: u64) -> StoredBatch {
    let changes = batch.resources.iter().zip(&batch.previous).map(|(resource, previous)| StoredChange {
        resource: resource.clone(),
        previous: previous.clone().map(|value| Resource {
            name: resource.name.clone(),
            revision: 0,
            value: Some(value),
        }),
    });
    StoredBatch { position: batch.position, changes: changes.collect(), unix_ms }
}

fn batch_of(stored: StoredBatch) -> Batch {
    let changes = stored.changes.into_iter();
    let (resources, previous) =
        changes.map(|change| (change.resource, change.previous.and_then(|before| before.value))).unzip();
    Batch { position: stored.position, resources, previous }
}
