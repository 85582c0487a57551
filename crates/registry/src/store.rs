//! The history on disk. The log is authoritative: each start reads all of it and checks its chain, and a change that is not in
//! the log was never acknowledged.

use crate::chain::{ChainError, Entry, Hash, Head};
use crate::state::{Change, ChangeError, Revision};
use redb::{Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use saltdrum_durable::{DiskFailure, database, file};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// Size of the database's page cache in memory.
const CACHE_BYTES: usize = 16 << 20;
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
/// The epoch that the registry is sealed to, by lease.
const SEALS: TableDefinition<&str, u64> = TableDefinition::new("seals");
/// Version of the database's layout. A database with a later one is not modified.
pub const SCHEMA: u64 = 1;
/// Largest entry. Larger than any valid change, whose names and digests are bounded.
const MAX_ENTRY_BYTES: usize = 64 << 10;

/// Why the history could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk failed.
    #[error("{place}: {why}")]
    Disk {
        /// Path or name of the database or file.
        place: String,
        /// The reason.
        why: DiskFailure,
    },
    /// The database was written by a later build.
    #[error("{place}: schema {found}: this program knows up to {SCHEMA}")]
    SchemaTooNew {
        /// Path or name of the database or file.
        place: String,
        /// Version of its layout.
        found: u64,
    },
    /// An entry is damaged.
    #[error("{place}: revision {revision}: {why}")]
    Damaged {
        /// Path or name of the database or file.
        place: String,
        /// Revision of the entry.
        revision: Revision,
        /// The reason.
        why: String,
    },
    /// A line of a backup is invalid.
    #[error("{place}: line {line}: {why}")]
    InvalidLine {
        /// Path or name of the database or file.
        place: String,
        /// Number of the line, from 1.
        line: usize,
        /// The reason.
        why: String,
    },
    /// The change was rejected.
    #[error("{0}")]
    Rejected(#[from] ChangeError),
    /// The target exists, and is not overwritten.
    #[error("{place}: there is a registry already")]
    AlreadyExists {
        /// Path or name of the database or file.
        place: String,
    },
}

impl StoreError {
    /// Whether a retry may succeed later.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Disk { why, .. } if why.is_transient)
    }
}

/// Opens the database, at each start and after each failure.
pub type OpenDatabase = Box<dyn Fn() -> Result<Database, redb::DatabaseError>>;

/// A change that a caller requests.
pub struct ChangeRequest {
    /// Identifier of the key that requests it.
    pub who: String,
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// What is changed.
    pub change: Change,
}

/// The history on disk, and the head that it leads to.
pub struct Store {
    place: String,
    open_database: OpenDatabase,
    /// `None` after a failed write: the content of the disk is unknown until it is read again.
    database: Option<Database>,
    head: Head,
    /// Hash after each revision.
    hashes: BTreeMap<Revision, Hash>,
    last_restored: Option<Entry>,
}

/// Why a registry could not be created.
enum CreateError {
    Store(StoreError),
    File(std::io::Error),
}

impl From<std::io::Error> for CreateError {
    fn from(error: std::io::Error) -> Self {
        Self::File(error)
    }
}

/// What is read from disk at a start.
struct StoredHistory {
    head: Head,
    hashes: BTreeMap<Revision, Hash>,
    last_restored: Option<Entry>,
}

impl Store {
    /// Opens the database at a path.
    pub fn open_file(path: &Path) -> Result<Self, StoreError> {
        let database_path = path.to_owned();
        let open_database = move || database::open(&database_path, CACHE_BYTES);
        Self::open(path.display().to_string(), Box::new(open_database))
    }

    /// Creates a registry at `path`, where there is none, atomically with everything that `fill` writes to it.
    pub fn create_file<T>(
        path: &Path,
        fill: impl FnOnce(&mut Self) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let place = || path.display().to_string();
        let filled = file::create_atomically(path, |unfinished| {
            let mut store = Self::open_file(unfinished).map_err(CreateError::Store)?;
            fill(&mut store).map_err(CreateError::Store)
        });
        filled.map_err(|error| match error {
            CreateError::Store(error) => error,
            CreateError::File(why) => StoreError::Disk {
                place: place(),
                why: why.into(),
            },
        })
    }

    /// Opens a database; `place` names it in errors.
    pub fn open(place: String, open_database: OpenDatabase) -> Result<Self, StoreError> {
        let mut store = Self {
            place,
            open_database,
            database: None,
            head: Head::default(),
            hashes: BTreeMap::new(),
            last_restored: None,
        };
        store.reopen()?;
        Ok(store)
    }

    fn disk_error(&self, why: impl Into<DiskFailure>) -> StoreError {
        StoreError::Disk {
            place: self.place.clone(),
            why: why.into(),
        }
    }

    /// Reads the complete history from disk, and continues from there.
    fn reopen(&mut self) -> Result<(), StoreError> {
        self.database = None;
        let database = (self.open_database)().map_err(|e| self.disk_error(e))?;
        let stored = self.read(&database)?;
        // A disk that lacks an acknowledged change has lost it, and nothing may be appended to such a history.
        let acknowledged = self.head.revision();
        if acknowledged > 0 && stored.hashes.get(&acknowledged) != Some(&self.head.hash) {
            let why = format!("revision {acknowledged} was acknowledged and is not there any more");
            return Err(self.disk_error(DiskFailure::permanent(why)));
        }
        (self.head, self.hashes, self.last_restored) =
            (stored.head, stored.hashes, stored.last_restored);
        self.database = Some(database);
        Ok(())
    }

    /// Creates missing tables. Fails if a later build wrote the database.
    fn prepare_tables(&self, database: &Database) -> Result<(), StoreError> {
        let txn = database.begin_write().map_err(|e| self.disk_error(e))?;
        {
            let mut about = txn.open_table(ABOUT).map_err(|e| self.disk_error(e))?;
            let found = about
                .get("schema")
                .map_err(|e| self.disk_error(e))?
                .map(|v| v.value());
            match found {
                None => drop(
                    about
                        .insert("schema", SCHEMA)
                        .map_err(|e| self.disk_error(e))?,
                ),
                Some(found) if found > SCHEMA => {
                    return Err(StoreError::SchemaTooNew {
                        place: self.place.clone(),
                        found,
                    });
                }
                Some(_) => {}
            }
            txn.open_table(LOG).map_err(|e| self.disk_error(e))?;
            txn.open_table(SEALS).map_err(|e| self.disk_error(e))?;
        }
        txn.commit().map_err(|e| self.disk_error(e))
    }

    /// Reads the complete history and checks its chain.
    fn read(&self, database: &Database) -> Result<StoredHistory, StoreError> {
        self.prepare_tables(database)?;
        let txn = database.begin_read().map_err(|e| self.disk_error(e))?;
        let log = txn.open_table(LOG).map_err(|e| self.disk_error(e))?;
        let mut stored = StoredHistory {
            head: Head::default(),
            hashes: BTreeMap::new(),
            last_restored: None,
        };
        for row in log.iter().map_err(|e| self.disk_error(e))? {
            let (revision, bytes) = row.map_err(|e| self.disk_error(e))?;
            let damaged = |why: String| StoreError::Damaged {
                place: self.place.clone(),
                revision: revision.value(),
                why,
            };
            let entry: Entry =
                serde_json::from_slice(bytes.value()).map_err(|e| damaged(e.to_string()))?;
            if entry.revision != revision.value() {
                return Err(damaged(format!(
                    "the entry there says revision {}",
                    entry.revision
                )));
            }
            stored.head = stored
                .head
                .with_entry(&entry)
                .map_err(|e: ChainError| damaged(e.to_string()))?;
            stored
                .hashes
                .insert(entry.revision, stored.head.hash.clone());
            if matches!(entry.change, Change::Restored { .. }) {
                stored.last_restored = Some(entry);
            }
        }
        Ok(stored)
    }

    /// The head as it was last acknowledged. Stays available while the disk fails.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Hash after a revision of the history.
    pub fn hash_at(&self, revision: Revision) -> Option<Hash> {
        self.hashes.get(&revision).cloned()
    }

    /// The last entry that came from a restore.
    pub fn last_restored(&self) -> Option<Entry> {
        self.last_restored.clone()
    }

    /// Whether the last write succeeded.
    pub fn is_writable(&self) -> bool {
        self.database.is_some()
    }

    /// Commits a batch of changes with one write. Returns a result for each: rejected, or on disk. After a failed write no
    /// change of the batch is acknowledged, and the next call reads the history from disk again.
    pub fn commit(
        &mut self,
        requests: Vec<ChangeRequest>,
    ) -> Result<Vec<Result<Entry, ChangeError>>, StoreError> {
        if self.database.is_none() {
            self.reopen()?;
        }
        let (mut head, mut results, mut accepted) = (self.head.clone(), Vec::new(), Vec::new());
        for request in requests {
            match head.prepare_entry(&request.who, request.at_ms, request.change) {
                Ok((entry, next)) => {
                    if entry.bytes().len() > MAX_ENTRY_BYTES {
                        let why = format!("over {MAX_ENTRY_BYTES} bytes");
                        results.push(Err(ChangeError::InvalidValue {
                            place: "change",
                            why,
                        }));
                        continue;
                    }
                    head = next;
                    accepted.push((entry.clone(), head.hash.clone()));
                    results.push(Ok(entry));
                }
                Err(error) => results.push(Err(error)),
            }
        }
        if accepted.is_empty() {
            return Ok(results);
        }
        if let Err(why) = self.write(accepted.iter().map(|(entry, _)| entry)) {
            self.database = None;
            return Err(self.disk_error(why));
        }
        for (entry, hash) in accepted {
            self.hashes.insert(entry.revision, hash);
            if matches!(entry.change, Change::Restored { .. }) {
                self.last_restored = Some(entry);
            }
        }
        self.head = head;
        Ok(results)
    }

    fn write<'a>(&self, entries: impl Iterator<Item = &'a Entry>) -> Result<(), redb::Error> {
        let Some(database) = &self.database else {
            return Ok(());
        };
        // With the default durability, the entries are on disk before commit returns.
        let txn = database.begin_write()?;
        {
            let mut log = txn.open_table(LOG)?;
            for entry in entries {
                log.insert(entry.revision, entry.bytes().as_slice())?;
            }
        }
        txn.commit()?;
        Ok(())
    }

    /// The epoch on disk that a lease of the fleet is sealed to; 0: none.
    pub fn sealed_epoch(&self, lease: &str) -> Result<u64, StoreError> {
        let Some(database) = &self.database else {
            return Err(self.disk_error(DiskFailure::permanent(
                "a write failed; it is not read before the next",
            )));
        };
        let read = || -> Result<u64, redb::Error> {
            let seals = database.begin_read()?.open_table(SEALS)?;
            Ok(seals.get(lease)?.map_or(0, |epoch| epoch.value()))
        };
        read().map_err(|e| self.disk_error(e))
    }

    /// Seals the registry to an epoch of a lease. The seal is on disk when this returns.
    pub fn write_seal(&mut self, lease: &str, epoch: u64) -> Result<(), StoreError> {
        self.write_transaction(|txn| {
            txn.open_table(SEALS)?.insert(lease, epoch)?;
            Ok(())
        })
    }

    /// Runs `work` in a write transaction if the disk has this epoch for the lease, so that no seal can come between the check
    /// and the end of `work`. `None`: the disk has another epoch, and `work` was not run.
    pub fn run_if_sealed<T>(
        &mut self,
        lease: &str,
        epoch: u64,
        work: impl FnOnce() -> T,
    ) -> Result<Option<T>, StoreError> {
        self.write_transaction(|txn| {
            let sealed = txn
                .open_table(SEALS)?
                .get(lease)?
                .map(|found| found.value());
            Ok((sealed == Some(epoch)).then(work))
        })
    }

    /// Runs `work` in a write transaction. After a failure the next call reads the history from disk again.
    fn write_transaction<T>(
        &mut self,
        work: impl FnOnce(&redb::WriteTransaction) -> Result<T, redb::Error>,
    ) -> Result<T, StoreError> {
        if self.database.is_none() {
            self.reopen()?;
        }
        let Some(database) = &self.database else {
            return Err(self.disk_error(DiskFailure::permanent("not open")));
        };
        let write = || -> Result<T, redb::Error> {
            let txn = database.begin_write()?;
            let value = work(&txn)?;
            txn.commit()?;
            Ok(value)
        };
        let result = write().map_err(|e| self.disk_error(e));
        if result.is_err() {
            self.database = None;
        }
        result
    }

    /// Entries after a revision, oldest first, at most `limit` of them.
    pub fn entries_after(
        &self,
        revision: Revision,
        limit: usize,
    ) -> Result<Vec<Entry>, StoreError> {
        let Some(database) = &self.database else {
            return Err(self.disk_error(DiskFailure::permanent(
                "a write failed; it is not read before the next",
            )));
        };
        let txn = database.begin_read().map_err(|e| self.disk_error(e))?;
        let log = txn.open_table(LOG).map_err(|e| self.disk_error(e))?;
        let mut entries = Vec::new();
        for row in log
            .range(revision + 1..)
            .map_err(|e| self.disk_error(e))?
            .take(limit)
        {
            let (entry_revision, bytes) = row.map_err(|e| self.disk_error(e))?;
            let entry = serde_json::from_slice(bytes.value());
            let damaged = |e: serde_json::Error| StoreError::Damaged {
                place: self.place.clone(),
                revision: entry_revision.value(),
                why: e.to_string(),
            };
            entries.push(entry.map_err(damaged)?);
        }
        Ok(entries)
    }

    /// Reads the complete history from disk as a start does, and compares it with the head in memory. Returns the number of
    /// entries.
    pub fn verify(&self) -> Result<u64, StoreError> {
        let Some(database) = &self.database else {
            return Err(self.disk_error(DiskFailure::permanent(
                "a write failed; it is not read before the next",
            )));
        };
        let stored = self.read(database)?;
        if stored.head != self.head {
            let why = "the disk has another book than the one that is told".into();
            return Err(StoreError::Damaged {
                place: self.place.clone(),
                revision: self.head.revision(),
                why,
            });
        }
        let count =
            || -> Result<u64, redb::Error> { Ok(database.begin_read()?.open_table(LOG)?.len()?) };
        count().map_err(|e| self.disk_error(e))
    }

    /// Writes the complete history atomically to a file with one entry per line. Returns the number of entries.
    pub fn back_up(&self, to: &Path) -> Result<u64, StoreError> {
        let entries = self.entries_after(0, usize::MAX)?;
        let disk_error = |e: std::io::Error| StoreError::Disk {
            place: to.display().to_string(),
            why: e.into(),
        };
        let write = |unfinished: &Path| -> std::io::Result<()> {
            let mut file = BufWriter::new(File::create(unfinished)?);
            for entry in &entries {
                file.write_all(&entry.bytes())?;
                file.write_all(b"\n")?;
            }
            // Without this line, a backup that was truncated at the end of an entry would look complete.
            writeln!(file, "end {} {}", entries.len(), self.head.hash)?;
            file.into_inner().map_err(|e| e.into_error())?.sync_all()
        };
        file::create_atomically(to, write).map_err(disk_error)?;
        Ok(entries.len() as u64)
    }
}

/// Reads a complete backup and checks its chain.
pub fn read_backup(from: &Path) -> Result<(Vec<Entry>, Head), StoreError> {
    let place = from.display().to_string();
    let file = File::open(from).map_err(|e| StoreError::Disk {
        place: place.clone(),
        why: e.into(),
    })?;
    let (mut entries, mut head) = (Vec::new(), Head::default());
    let mut is_complete = false;
    for (index, line) in BufReader::new(file).lines().enumerate() {
        let invalid = |why: String| StoreError::InvalidLine {
            place: place.clone(),
            line: index + 1,
            why,
        };
        let line = line.map_err(|e| invalid(e.to_string()))?;
        if is_complete {
            return Err(invalid("something after the end".into()));
        }
        if let Some(end) = line.strip_prefix("end ") {
            let expected = format!("{} {}", entries.len(), head.hash);
            if end != expected {
                return Err(invalid(format!("end {end}: end {expected} is expected")));
            }
            is_complete = true;
            continue;
        }
        let entry: Entry = serde_json::from_str(&line).map_err(|e| invalid(e.to_string()))?;
        head = head
            .with_entry(&entry)
            .map_err(|e| invalid(e.to_string()))?;
        entries.push(entry);
    }
    if !is_complete {
        return Err(StoreError::InvalidLine {
            place,
            line: entries.len() + 1,
            why: "the end is missing: it was cut short".into(),
        });
    }
    Ok((entries, head))
}

/// Creates a registry from a backup, at a path where there is none. Its head jumps over `over`, the highest revision that the
/// lost registry may have issued, so that watchers that applied revisions up to it accept the restored history.
pub fn restore(
    from: &Path,
    to: &Path,
    over: Revision,
    who: &str,
    at_ms: u64,
) -> Result<Head, StoreError> {
    let (entries, head) = read_backup(from)?;
    if to.exists() {
        return Err(StoreError::AlreadyExists {
            place: to.display().to_string(),
        });
    }
    // An invalid restore is rejected before any file is created.
    let (restore_entry, restored) = head.prepare_entry(who, at_ms, Change::Restored { over })?;
    Store::create_file(to, |store| {
        store
            .write(entries.iter().chain([&restore_entry]))
            .map_err(|e| store.disk_error(e))
    })?;
    Ok(restored)
}
