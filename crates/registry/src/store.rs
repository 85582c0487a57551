//! The history on disk. The log is the truth: each start reads it whole and checks its chain, and what is not in it was
//! never acknowledged.

use crate::chain::{ChainError, Entry, Hash, Head};
use crate::state::{Change, ChangeError, Revision};
use redb::{Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use saltdrum_durable::{DiskFailure, database, file};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// Of the database's pages, held in memory.
const CACHE_BYTES: usize = 16 << 20;
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
/// For each lease the epoch that the registry is sealed to.
const SEALS: TableDefinition<&str, u64> = TableDefinition::new("seals");
/// Of what is written here. A later one is not touched.
pub const SCHEMA: u64 = 1;
/// An entry is no longer: a change is bounded by what its names and digests are.
const ENTRY_MOST_BYTES: usize = 64 << 10;

/// Why the history could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk failed.
    #[error("{place}: {why}")]
    Disk {
        /// Where it was found.
        place: String,
        /// The reason.
        why: DiskFailure,
    },
    /// It was written by a later build.
    #[error("{place}: schema {found}: this program knows up to {SCHEMA}")]
    SchemaTooNew {
        /// Where it was found.
        place: String,
        /// What was found.
        found: u64,
    },
    /// An entry is damaged.
    #[error("{place}: revision {revision}: {why}")]
    Damaged {
        /// Where it was found.
        place: String,
        /// Revision of the entry.
        revision: Revision,
        /// The reason.
        why: String,
    },
    /// A line of a backup is invalid.
    #[error("{place}: line {line}: {why}")]
    InvalidLine {
        /// Where it was found.
        place: String,
        /// Number of the line, from 1.
        line: usize,
        /// The reason.
        why: String,
    },
    /// The change was rejected.
    #[error("{0}")]
    Rejected(#[from] ChangeError),
    /// Nothing is overwritten.
    #[error("{place}: there is a registry already")]
    AlreadyExists {
        /// Where it was found.
        place: String,
    },
}

impl StoreError {
    /// Whether the same may succeed a while later.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Disk { why, .. } if why.is_transient)
    }
}

/// Makes the database, at each start and after each failure.
pub type OpenDatabase = Box<dyn Fn() -> Result<Database, redb::DatabaseError>>;

/// A change somebody waits for.
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
    opens: OpenDatabase,
    /// None: a write failed, and what the disk has is not known until it is read again.
    database: Option<Database>,
    head: Head,
    /// Hash after each revision.
    hashes: BTreeMap<Revision, Hash>,
    last_restored: Option<Entry>,
}

/// Why a registry was not made.
enum Unmade {
    StoreError(StoreError),
    File(std::io::Error),
}

impl From<std::io::Error> for Unmade {
    fn from(error: std::io::Error) -> Self {
        Self::File(error)
    }
}

struct Read {
    head: Head,
    hashes: BTreeMap<Revision, Hash>,
    last_restored: Option<Entry>,
}

impl Store {
    /// Opens the database at a path.
    pub fn open_file(path: &Path) -> Result<Self, StoreError> {
        let at = path.to_owned();
        let opens = move || database::open(&at, CACHE_BYTES);
        Self::open(path.display().to_string(), Box::new(opens))
    }

    /// Makes a registry at `path`, where there is none: with all that `fill` puts into it, or not at all.
    pub fn create_file<T>(
        path: &Path,
        fill: impl FnOnce(&mut Self) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let place = || path.display().to_string();
        let filled = file::create_atomically(path, |unfinished| {
            let mut store = Self::open_file(unfinished).map_err(Unmade::StoreError)?;
            fill(&mut store).map_err(Unmade::StoreError)
        });
        filled.map_err(|unmade| match unmade {
            Unmade::StoreError(fault) => fault,
            Unmade::File(why) => StoreError::Disk {
                place: place(),
                why: why.into(),
            },
        })
    }

    /// Opens a database; `place` names it in errors.
    pub fn open(place: String, opens: OpenDatabase) -> Result<Self, StoreError> {
        let mut store = Self {
            place,
            opens,
            database: None,
            head: Head::default(),
            hashes: BTreeMap::new(),
            last_restored: None,
        };
        store.come_back()?;
        Ok(store)
    }

    fn disk(&self, why: impl Into<DiskFailure>) -> StoreError {
        StoreError::Disk {
            place: self.place.clone(),
            why: why.into(),
        }
    }

    /// Reads all that the disk has, and goes on from there.
    fn come_back(&mut self) -> Result<(), StoreError> {
        self.database = None;
        let database = (self.opens)().map_err(|e| self.disk(e))?;
        let read = self.read(&database)?;
        // What was acknowledged stands; a disk that has less has lost it, and nothing is to be built upon that.
        let mine = self.head.revision();
        if mine > 0 && read.hashes.get(&mine) != Some(&self.head.hash) {
            let why = format!("revision {mine} was acknowledged and is not there any more");
            return Err(self.disk(DiskFailure::permanent(why)));
        }
        (self.head, self.hashes, self.last_restored) = (read.head, read.hashes, read.last_restored);
        self.database = Some(database);
        Ok(())
    }

    /// Makes the tables where they are missing. Fails where a later build wrote them.
    fn prepare_tables(&self, database: &Database) -> Result<(), StoreError> {
        let txn = database.begin_write().map_err(|e| self.disk(e))?;
        {
            let mut about = txn.open_table(ABOUT).map_err(|e| self.disk(e))?;
            let found = about
                .get("schema")
                .map_err(|e| self.disk(e))?
                .map(|v| v.value());
            match found {
                None => drop(about.insert("schema", SCHEMA).map_err(|e| self.disk(e))?),
                Some(found) if found > SCHEMA => {
                    return Err(StoreError::SchemaTooNew {
                        place: self.place.clone(),
                        found,
                    });
                }
                Some(_) => {}
            }
            txn.open_table(LOG).map_err(|e| self.disk(e))?;
            txn.open_table(SEALS).map_err(|e| self.disk(e))?;
        }
        txn.commit().map_err(|e| self.disk(e))
    }

    /// Reads the complete history and checks its chain.
    fn read(&self, database: &Database) -> Result<Read, StoreError> {
        self.prepare_tables(database)?;
        let txn = database.begin_read().map_err(|e| self.disk(e))?;
        let log = txn.open_table(LOG).map_err(|e| self.disk(e))?;
        let mut read = Read {
            head: Head::default(),
            hashes: BTreeMap::new(),
            last_restored: None,
        };
        for line in log.iter().map_err(|e| self.disk(e))? {
            let (revision, bytes) = line.map_err(|e| self.disk(e))?;
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
            read.head = read
                .head
                .with_entry(&entry)
                .map_err(|e: ChainError| damaged(e.to_string()))?;
            read.hashes.insert(entry.revision, read.head.hash.clone());
            if matches!(entry.change, Change::Restored { .. }) {
                read.last_restored = Some(entry);
            }
        }
        Ok(read)
    }

    /// As it was last acknowledged; it stands while the disk does not.
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

    /// Whether the last write went well.
    pub fn is_writable(&self) -> bool {
        self.database.is_some()
    }

    /// Takes changes that came together, with one write for all. Each is told apart: refused, or on disk when this
    /// returns. After a failed write nothing of it is acknowledged, and the next call reads the disk anew.
    pub fn commit(
        &mut self,
        all: Vec<ChangeRequest>,
    ) -> Result<Vec<Result<Entry, ChangeError>>, StoreError> {
        if self.database.is_none() {
            self.come_back()?;
        }
        let (mut head, mut told, mut taken) = (self.head.clone(), Vec::new(), Vec::new());
        for asked in all {
            match head.prepare_entry(&asked.who, asked.at_ms, asked.change) {
                Ok((entry, next)) => {
                    if entry.bytes().len() > ENTRY_MOST_BYTES {
                        let why = format!("over {ENTRY_MOST_BYTES} bytes");
                        told.push(Err(ChangeError::InvalidValue {
                            place: "change",
                            why,
                        }));
                        continue;
                    }
                    head = next;
                    taken.push((entry.clone(), head.hash.clone()));
                    told.push(Ok(entry));
                }
                Err(refusal) => told.push(Err(refusal)),
            }
        }
        if taken.is_empty() {
            return Ok(told);
        }
        if let Err(why) = self.write(taken.iter().map(|t| &t.0)) {
            self.database = None;
            return Err(self.disk(why));
        }
        for (entry, hash) in taken {
            self.hashes.insert(entry.revision, hash);
            if matches!(entry.change, Change::Restored { .. }) {
                self.last_restored = Some(entry);
            }
        }
        self.head = head;
        Ok(told)
    }

    fn write<'a>(&self, entries: impl Iterator<Item = &'a Entry>) -> Result<(), redb::Error> {
        let Some(database) = &self.database else {
            return Ok(());
        };
        // The default durability: on disk before commit returns.
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

    /// The epoch that is on the disk for a lease of the fleet; 0: none.
    pub fn sealed_epoch(&self, lease: &str) -> Result<u64, StoreError> {
        let Some(database) = &self.database else {
            return Err(self.disk(DiskFailure::permanent(
                "a write failed; it is not read before the next",
            )));
        };
        let read = || -> Result<u64, redb::Error> {
            let seals = database.begin_read()?.open_table(SEALS)?;
            Ok(seals.get(lease)?.map_or(0, |epoch| epoch.value()))
        };
        read().map_err(|e| self.disk(e))
    }

    /// Seals the registry to an epoch of a lease: on disk when this returns.
    pub fn write_seal(&mut self, lease: &str, epoch: u64) -> Result<(), StoreError> {
        self.with_writing(|txn| {
            txn.open_table(SEALS)?.insert(lease, epoch)?;
            Ok(())
        })
    }

    /// Does `work` in a write transaction in which the disk has this epoch for the lease; none: it has another, and
    /// nothing was done. No seal comes between the look and the end of the work.
    pub fn run_if_sealed<T>(
        &mut self,
        lease: &str,
        epoch: u64,
        work: impl FnOnce() -> T,
    ) -> Result<Option<T>, StoreError> {
        self.with_writing(|txn| {
            let sealed = txn
                .open_table(SEALS)?
                .get(lease)?
                .map(|found| found.value());
            Ok((sealed == Some(epoch)).then(work))
        })
    }

    /// One write transaction. After a failure the next call reads the disk anew.
    fn with_writing<T>(
        &mut self,
        work: impl FnOnce(&redb::WriteTransaction) -> Result<T, redb::Error>,
    ) -> Result<T, StoreError> {
        if self.database.is_none() {
            self.come_back()?;
        }
        let Some(database) = &self.database else {
            return Err(self.disk(DiskFailure::permanent("not open")));
        };
        let write = || -> Result<T, redb::Error> {
            let txn = database.begin_write()?;
            let done = work(&txn)?;
            txn.commit()?;
            Ok(done)
        };
        let done = write().map_err(|e| self.disk(e));
        if done.is_err() {
            self.database = None;
        }
        done
    }

    /// Entries after a revision, so many at the most, oldest first.
    pub fn entries_after(&self, revision: Revision, most: usize) -> Result<Vec<Entry>, StoreError> {
        let Some(database) = &self.database else {
            return Err(self.disk(DiskFailure::permanent(
                "a write failed; it is not read before the next",
            )));
        };
        let txn = database.begin_read().map_err(|e| self.disk(e))?;
        let log = txn.open_table(LOG).map_err(|e| self.disk(e))?;
        let mut all = Vec::new();
        for line in log
            .range(revision + 1..)
            .map_err(|e| self.disk(e))?
            .take(most)
        {
            let (at, bytes) = line.map_err(|e| self.disk(e))?;
            let entry = serde_json::from_slice(bytes.value());
            let damaged = |e: serde_json::Error| StoreError::Damaged {
                place: self.place.clone(),
                revision: at.value(),
                why: e.to_string(),
            };
            all.push(entry.map_err(damaged)?);
        }
        Ok(all)
    }

    /// Reads all that is on disk as a start would, and compares it with what is told to others. Tells how many entries.
    pub fn verify(&self) -> Result<u64, StoreError> {
        let Some(database) = &self.database else {
            return Err(self.disk(DiskFailure::permanent(
                "a write failed; it is not read before the next",
            )));
        };
        let read = self.read(database)?;
        if read.head != self.head {
            let why = "the disk has another book than the one that is told".into();
            return Err(StoreError::Damaged {
                place: self.place.clone(),
                revision: self.head.revision(),
                why,
            });
        }
        let count =
            || -> Result<u64, redb::Error> { Ok(database.begin_read()?.open_table(LOG)?.len()?) };
        count().map_err(|e| self.disk(e))
    }

    /// Writes the whole history to a file of lines: whole or not at all.
    pub fn back_up(&self, to: &Path) -> Result<u64, StoreError> {
        let entries = self.entries_after(0, usize::MAX)?;
        let fault = |e: std::io::Error| StoreError::Disk {
            place: to.display().to_string(),
            why: e.into(),
        };
        let write = |unfinished: &Path| -> std::io::Result<()> {
            let mut file = BufWriter::new(File::create(unfinished)?);
            for entry in &entries {
                file.write_all(&entry.bytes())?;
                file.write_all(b"\n")?;
            }
            // A backup cut short at an entry's end would look whole.
            writeln!(file, "end {} {}", entries.len(), self.head.hash)?;
            file.into_inner().map_err(|e| e.into_error())?.sync_all()
        };
        file::create_atomically(to, write).map_err(fault)?;
        Ok(entries.len() as u64)
    }
}

/// Reads a backup whole, and checks its chain.
pub fn read_backup(from: &Path) -> Result<(Vec<Entry>, Head), StoreError> {
    let place = from.display().to_string();
    let file = File::open(from).map_err(|e| StoreError::Disk {
        place: place.clone(),
        why: e.into(),
    })?;
    let (mut entries, mut head) = (Vec::new(), Head::default());
    let mut ended = false;
    for (n, line) in BufReader::new(file).lines().enumerate() {
        let fault = |why: String| StoreError::InvalidLine {
            place: place.clone(),
            line: n + 1,
            why,
        };
        let line = line.map_err(|e| fault(e.to_string()))?;
        if ended {
            return Err(fault("something after the end".into()));
        }
        if let Some(end) = line.strip_prefix("end ") {
            let expected = format!("{} {}", entries.len(), head.hash);
            if end != expected {
                return Err(fault(format!("end {end}: end {expected} is expected")));
            }
            ended = true;
            continue;
        }
        let entry: Entry = serde_json::from_str(&line).map_err(|e| fault(e.to_string()))?;
        head = head.with_entry(&entry).map_err(|e| fault(e.to_string()))?;
        entries.push(entry);
    }
    if !ended {
        return Err(StoreError::InvalidLine {
            place,
            line: entries.len() + 1,
            why: "the end is missing: it was cut short".into(),
        });
    }
    Ok((entries, head))
}

/// Makes a registry of a backup, in a place where there is none, and goes over revisions that may have been given out
/// since: watchers that obeyed up to `over` come along.
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
    // What could not be taken is found before anything is made.
    let (last, after) = head.prepare_entry(who, at_ms, Change::Restored { over })?;
    Store::create_file(to, |store| {
        store
            .write(entries.iter().chain([&last]))
            .map_err(|e| store.disk(e))
    })?;
    Ok(after)
}
