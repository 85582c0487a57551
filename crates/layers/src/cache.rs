//! A bounded, durable chunk cache on disk that verifies chunks at each read.
//!
//! Each chunk is a file named by its digest, written to a temporary file, synced and renamed. The index, in an embedded
//! database, holds the length and refetch cost of each chunk. The files are authoritative: a file without an index entry
//! is adopted, an entry without a file is dropped, and an unreadable index is rebuilt. After a kill at any write the cache
//! reopens with all complete chunks. A full or failing disk costs extra fetches but no error, and its leftovers count
//! against the bound: while a file can't be removed nothing new is cached, and a chunk that can't be read keeps its space
//! until it is fetched again or evicted.

use crate::cut;
use crate::plan::{CachedChunk, EvictionPolicy};
use crate::{Chunk, Digest};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use saltdrum_durable::{database, file};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The file operations of a cache. Tests inject faults into each of them.
pub trait Disk {
    fn create_dir_all(&self, path: &Path) -> io::Result<()>;
    /// Creates, writes and syncs a file.
    fn write_new(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Reads at most `max_bytes` from the start of a file.
    fn read(&self, path: &Path, max_bytes: u64) -> io::Result<Vec<u8>>;
    /// File names and lengths in a folder.
    fn list(&self, path: &Path) -> io::Result<Vec<(String, u64)>>;
    fn open_index(&self, path: &Path) -> Result<Database, redb::DatabaseError>;
}

/// The local file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealDisk;

impl Disk for RealDisk {
    fn create_dir_all(&self, path: &Path) -> io::Result<()> {
        fs::create_dir_all(path)
    }

    fn write_new(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        file::write_synced(path, bytes)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        file::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        file::remove_if_exists(path)
    }

    fn read(&self, path: &Path, max_bytes: u64) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(path)?.take(max_bytes).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn list(&self, path: &Path) -> io::Result<Vec<(String, u64)>> {
        let entry = |entry: io::Result<fs::DirEntry>| {
            let entry = entry?;
            Ok((
                entry.file_name().to_string_lossy().into_owned(),
                entry.metadata()?.len(),
            ))
        };
        fs::read_dir(path)?.map(entry).collect()
    }

    fn open_index(&self, path: &Path) -> Result<Database, redb::DatabaseError> {
        database::open(path, INDEX_CACHE_BYTES)
    }
}

/// Page cache of the index database.
const INDEX_CACHE_BYTES: usize = 4 << 20;
/// Digest to stored bytes, refetch cost and number of sharers.
const CHUNKS: TableDefinition<&[u8; 32], (u64, f64, u32)> = TableDefinition::new("chunks");

/// Counters since the cache was opened.
#[derive(Debug, Default)]
pub struct Counts {
    pub hits: Cell<u64>,
    pub misses: Cell<u64>,
    /// Chunks that failed verification when read, and were removed.
    pub damaged: Cell<u64>,
    pub evicted: Cell<u64>,
    /// Chunks that were not cached, for lack of evictable space or because of a disk error.
    pub not_cached: Cell<u64>,
    pub index_rebuilt: Cell<u64>,
}

/// A chunk cache in a folder.
pub struct Cache {
    folder: PathBuf,
    disk: Rc<dyn Disk>,
    eviction: RefCell<EvictionPolicy>,
    /// `None` if the index can't be opened or written: the cache works without it, and refetch costs are lost on restart.
    index: RefCell<Option<Database>>,
    part_count: Cell<u64>,
    /// Chunks whose files exist but could not be read. They are not available but still take up space.
    unreadable: RefCell<BTreeSet<Digest>>,
    /// Files that could not be removed yet.
    pending_removals: RefCell<BTreeSet<PathBuf>>,
    pub counts: Counts,
}

impl Cache {
    /// Opens a cache with the chunks in its folder. Fails only if the folder can't be created or listed.
    pub fn open(folder: &Path, max_bytes: u64, disk: Rc<dyn Disk>) -> io::Result<Self> {
        let chunks = folder.join("chunks");
        disk.create_dir_all(&chunks)?;
        let counts = Counts::default();
        let path = folder.join("index.redb");
        let index = disk.open_index(&path).or_else(|_| {
            counts.index_rebuilt.set(1);
            let _ = disk.remove(&path);
            disk.open_index(&path)
        });
        let index = index.ok();
        let indexed = index
            .as_ref()
            .and_then(|i| read_index(i).ok())
            .unwrap_or_default();
        let mut eviction = EvictionPolicy::new(max_bytes);
        let mut pending_removals = BTreeSet::new();
        let mut remove_file = |file: PathBuf| {
            if disk.remove(&file).is_err() {
                pending_removals.insert(file);
            }
        };
        for (name, length) in disk.list(&chunks)? {
            let digest: Result<Digest, _> = format!("sha256:{name}").parse();
            let file = chunks.join(&name);
            let Ok(digest) = digest else {
                // A temporary file of a process that died: chunks have digests as names.
                remove_file(file);
                continue;
            };
            let cached = match indexed.get(&digest) {
                Some(cached) if cached.bytes == length => *cached,
                // Renamed, but its index entry was not written. Its digest is verified when it is read.
                _ => CachedChunk {
                    bytes: length,
                    cost: 1.0,
                    sharers: 1,
                },
            };
            match eviction.admit(digest, cached) {
                Some(evicted) => evicted
                    .iter()
                    .for_each(|d| remove_file(chunks.join(d.hex()))),
                None => remove_file(file),
            }
        }
        let cache = Self {
            folder: folder.to_owned(),
            disk,
            eviction: RefCell::new(eviction),
            index: RefCell::new(index),
            part_count: Cell::new(0),
            unreadable: RefCell::default(),
            pending_removals: RefCell::new(pending_removals),
            counts,
        };
        let stale: Vec<Digest> = indexed.into_keys().filter(|d| !cache.contains(d)).collect();
        cache.remove_index_entries(&stale);
        Ok(cache)
    }

    fn path(&self, digest: &Digest) -> PathBuf {
        self.folder.join("chunks").join(digest.hex())
    }

    /// Whether the chunk is cached and readable as far as known.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.eviction.borrow().contains(digest) && !self.unreadable.borrow().contains(digest)
    }

    /// Total stored length of the cached chunks, unreadable ones included.
    pub fn bytes(&self) -> u64 {
        self.eviction.borrow().bytes()
    }

    /// The cached chunks, without unreadable ones.
    pub fn digests(&self) -> Vec<Digest> {
        self.eviction
            .borrow()
            .digests()
            .filter(|d| !self.unreadable.borrow().contains(d))
            .copied()
            .collect()
    }

    /// Protects a chunk from eviction while a load or a loaded instance uses it.
    pub fn pin(&self, digest: &Digest) {
        self.eviction.borrow_mut().pin(digest);
    }

    /// Releases one pin.
    pub fn unpin(&self, digest: &Digest) {
        self.eviction.borrow_mut().unpin(digest);
    }

    /// Reads and verifies the stored bytes of a chunk. A damaged chunk is removed and counts as not cached.
    pub fn get(&self, chunk: &Chunk) -> Option<Vec<u8>> {
        if !self.contains(&chunk.digest) {
            increment(&self.counts.misses);
            return None;
        }
        // One byte more than stated is enough to detect a longer file.
        let read = self
            .disk
            .read(&self.path(&chunk.digest), chunk.stored_bytes + 1);
        let bytes = match read {
            Ok(bytes) if cut::verify(chunk, &bytes).is_ok() => bytes,
            Ok(_) => {
                increment(&self.counts.damaged);
                self.drop_chunk(&chunk.digest);
                return None;
            }
            Err(_) => {
                // The error may be temporary: the file stays for the next start, and the chunk is fetched again.
                increment(&self.counts.misses);
                self.eviction.borrow_mut().unpin_all(&chunk.digest);
                self.unreadable.borrow_mut().insert(chunk.digest);
                return None;
            }
        };
        increment(&self.counts.hits);
        self.eviction.borrow_mut().touch(&chunk.digest);
        Some(bytes)
    }

    /// Caches a chunk. Returns false if it could not be cached; the caller can still use its bytes.
    pub fn put(
        &self,
        chunk: &Chunk,
        bytes: &[u8],
        cost: f64,
        sharers: u32,
    ) -> Result<bool, cut::ChunkError> {
        cut::verify(chunk, bytes)?;
        let cached = CachedChunk {
            bytes: chunk.stored_bytes,
            cost,
            sharers,
        };
        if self.contains(&chunk.digest) {
            self.eviction.borrow_mut().touch(&chunk.digest);
            return Ok(true);
        }
        if !self.retry_removals() || !self.make_room(chunk.digest, cached) {
            increment(&self.counts.not_cached);
            return Ok(false);
        }
        if self.write_chunk(&chunk.digest, bytes).is_err() {
            // The rename may have happened before the sync failed, so the final file is removed too.
            self.drop_chunk(&chunk.digest);
            increment(&self.counts.not_cached);
            return Ok(false);
        }
        self.unreadable.borrow_mut().remove(&chunk.digest);
        let record = (cached.bytes, cached.cost, cached.sharers);
        self.write_index(|table| table.insert(chunk.digest.bytes(), record).map(|_| ()));
        Ok(true)
    }

    /// Writes the file of a chunk atomically.
    fn write_chunk(&self, digest: &Digest, bytes: &[u8]) -> io::Result<()> {
        self.part_count.set(self.part_count.get() + 1);
        let part = self
            .folder
            .join("chunks")
            .join(format!("{}.part", self.part_count.get()));
        let written = self.disk.write_new(&part, bytes);
        let renamed = written.and_then(|()| self.disk.rename(&part, &self.path(digest)));
        if renamed.is_err() {
            self.remove_file(part);
        }
        renamed
    }

    /// Evicts chunks to make room for this one. Returns false if it can't be cached.
    fn make_room(&self, digest: Digest, cached: CachedChunk) -> bool {
        let room = self.eviction.borrow_mut().admit(digest, cached);
        let Some(evicted) = room else { return false };
        for digest in &evicted {
            increment(&self.counts.evicted);
            self.unreadable.borrow_mut().remove(digest);
            self.remove_file(self.path(digest));
        }
        self.remove_index_entries(&evicted);
        let has_room = self.pending_removals.borrow().is_empty();
        if !has_room && !self.unreadable.borrow().contains(&digest) {
            self.eviction.borrow_mut().remove(&digest);
        }
        has_room
    }

    /// Removes a file, or records it for another attempt.
    fn remove_file(&self, file: PathBuf) {
        if self.disk.remove(&file).is_err() {
            self.pending_removals.borrow_mut().insert(file);
        }
    }

    /// Retries pending removals. Returns false if files remain.
    fn retry_removals(&self) -> bool {
        let mut pending_removals = self.pending_removals.borrow_mut();
        while let Some(file) = pending_removals.first().cloned() {
            if self.disk.remove(&file).is_err() {
                return false;
            }
            pending_removals.remove(&file);
        }
        true
    }

    fn drop_chunk(&self, digest: &Digest) {
        self.eviction.borrow_mut().remove(digest);
        self.unreadable.borrow_mut().remove(digest);
        self.remove_file(self.path(digest));
        self.remove_index_entries(&[*digest]);
    }

    fn remove_index_entries(&self, digests: &[Digest]) {
        if !digests.is_empty() {
            self.write_index(|table| {
                digests
                    .iter()
                    .try_for_each(|d| table.remove(d.bytes()).map(|_| ()))
            });
        }
    }

    /// Applies a change to the index. After an error the index is not used until the next start: the files are
    /// authoritative.
    fn write_index(
        &self,
        change: impl FnOnce(
            &mut redb::Table<&[u8; 32], (u64, f64, u32)>,
        ) -> Result<(), redb::StorageError>,
    ) {
        let mut index = self.index.borrow_mut();
        let Some(database) = index.as_ref() else {
            return;
        };
        let written = (|| -> Result<(), redb::Error> {
            let mut txn = database.begin_write()?;
            // Index entries are hints and need no sync of their own.
            txn.set_durability(redb::Durability::None)?;
            change(&mut txn.open_table(CHUNKS)?)?;
            txn.commit()?;
            Ok(())
        })();
        if written.is_err() {
            *index = None;
        }
    }

    /// Syncs the index to disk. If it is lost, only the refetch costs are.
    pub fn sync(&self) {
        let mut index = self.index.borrow_mut();
        let Some(database) = index.as_ref() else {
            return;
        };
        let synced = database
            .begin_write()
            .map_err(redb::Error::from)
            .and_then(|t| Ok(t.commit()?));
        if synced.is_err() {
            *index = None;
        }
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

fn read_index(database: &Database) -> Result<BTreeMap<Digest, CachedChunk>, redb::Error> {
    let txn = database.begin_read()?;
    let table = match txn.open_table(CHUNKS) {
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(BTreeMap::new()),
        table => table?,
    };
    let mut all = BTreeMap::new();
    for record in table.iter()? {
        let (digest, cached) = record?;
        let (bytes, cost, sharers) = cached.value();
        let cost = if cost.is_finite() {
            cost.clamp(0.1, 1e3)
        } else {
            1.0
        };
        all.insert(
            Digest::from_bytes(*digest.value()),
            CachedChunk {
                bytes,
                cost,
                sharers,
            },
        );
    }
    Ok(all)
}
