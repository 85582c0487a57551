//! Chunks on disk: bounded, durable, verified at each read.
//!
//! A chunk is a file named by its digest, written beside, brought to disk and renamed; the index (in an embedded store)
//! says what it costs to fetch again and how long it is. Files are the truth: what the index lacks is adopted, what it
//! has beyond them is dropped, and an index that can't be read is made anew. Killed at any write, the cache comes back
//! with what was whole. A full or broken disk costs fetches, never an answer, and what it leaves behind counts: while a file
//! that should be gone can't be removed nothing new is kept, and a chunk that can't be read keeps its place until it is
//! fetched again or evicted.

use crate::cut;
use crate::plan::{Kept, Shelf};
use crate::{Chunk, Digest};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use saltdrum_durable::{database, file};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The file operations that a cache needs, so that tests can let each of them fail.
pub trait Disk {
    fn create_dir_all(&self, path: &Path) -> io::Result<()>;
    /// Creates, writes, brings to disk.
    fn write_new(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// So many bytes at the most.
    fn read(&self, path: &Path, most: u64) -> io::Result<Vec<u8>>;
    /// Names and lengths.
    fn list(&self, path: &Path) -> io::Result<Vec<(String, u64)>>;
    fn open_index(&self, path: &Path) -> Result<Database, redb::DatabaseError>;
}

/// The machine's own disk.
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

    fn read(&self, path: &Path, most: u64) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(path)?.take(most).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn list(&self, path: &Path) -> io::Result<Vec<(String, u64)>> {
        let entry = |e: io::Result<fs::DirEntry>| {
            let e = e?;
            Ok((
                e.file_name().to_string_lossy().into_owned(),
                e.metadata()?.len(),
            ))
        };
        fs::read_dir(path)?.map(entry).collect()
    }

    fn open_index(&self, path: &Path) -> Result<Database, redb::DatabaseError> {
        database::open(path, INDEX_CACHE_BYTES)
    }
}

/// Of the index's pages, held in memory.
const INDEX_CACHE_BYTES: usize = 4 << 20;
/// Digest to stored bytes, cost, sharers.
const CHUNKS: TableDefinition<&[u8; 32], (u64, f64, u32)> = TableDefinition::new("chunks");

/// What happened so far.
#[derive(Debug, Default)]
pub struct Counts {
    pub hits: Cell<u64>,
    pub misses: Cell<u64>,
    /// Read back and found not to be what they were: thrown away.
    pub damaged: Cell<u64>,
    pub evicted: Cell<u64>,
    /// Could not be kept: no room that may be freed, or the disk refused.
    pub not_kept: Cell<u64>,
    pub index_rebuilt: Cell<u64>,
}

pub struct Cache {
    folder: PathBuf,
    disk: Rc<dyn Disk>,
    shelf: RefCell<Shelf>,
    /// None: the index can't be had; the cache works on and forgets costs at its end.
    index: RefCell<Option<Database>>,
    parts: Cell<u64>,
    /// Chunks whose files stand and could not be read: not held, and not free room either.
    unreadable: RefCell<BTreeSet<Digest>>,
    /// Files that should be gone and could not be removed.
    unremoved: RefCell<BTreeSet<PathBuf>>,
    pub counts: Counts,
}

impl Cache {
    /// Opens what is there. Fails only where not even the folder can be read or made.
    pub fn open(folder: &Path, most_bytes: u64, disk: Rc<dyn Disk>) -> io::Result<Self> {
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
        let known = index
            .as_ref()
            .and_then(|i| read_index(i).ok())
            .unwrap_or_default();
        let mut shelf = Shelf::new(most_bytes);
        let mut unremoved = BTreeSet::new();
        let mut discard = |file: PathBuf| {
            if disk.remove(&file).is_err() {
                unremoved.insert(file);
            }
        };
        for (name, length) in disk.list(&chunks)? {
            let digest: Result<Digest, _> = format!("sha256:{name}").parse();
            let file = chunks.join(&name);
            let Ok(digest) = digest else {
                // Begun by one who died: no chunk has such a name.
                discard(file);
                continue;
            };
            let kept = match known.get(&digest) {
                Some(kept) if kept.bytes == length => *kept,
                // Renamed, but its line was not written any more. Its digest is looked at when it is read.
                _ => Kept {
                    bytes: length,
                    cost: 1.0,
                    sharers: 1,
                },
            };
            match shelf.admit(digest, kept) {
                Some(gone) => gone.iter().for_each(|d| discard(chunks.join(d.hex()))),
                None => discard(file),
            }
        }
        let cache = Self {
            folder: folder.to_owned(),
            disk,
            shelf: RefCell::new(shelf),
            index: RefCell::new(index),
            parts: Cell::new(0),
            unreadable: RefCell::default(),
            unremoved: RefCell::new(unremoved),
            counts,
        };
        let stale: Vec<Digest> = known.into_keys().filter(|d| !cache.holds(d)).collect();
        cache.forget(&stale);
        Ok(cache)
    }

    fn path(&self, digest: &Digest) -> PathBuf {
        self.folder.join("chunks").join(digest.hex())
    }

    pub fn holds(&self, digest: &Digest) -> bool {
        self.shelf.borrow().holds(digest) && !self.unreadable.borrow().contains(digest)
    }

    pub fn bytes(&self) -> u64 {
        self.shelf.borrow().bytes()
    }

    pub fn digests(&self) -> Vec<Digest> {
        self.shelf
            .borrow()
            .digests()
            .filter(|d| !self.unreadable.borrow().contains(d))
            .copied()
            .collect()
    }

    /// A copy that stands, or a load, uses it: it stays.
    pub fn pin(&self, digest: &Digest) {
        self.shelf.borrow_mut().pin(digest);
    }

    pub fn unpin(&self, digest: &Digest) {
        self.shelf.borrow_mut().unpin(digest);
    }

    /// The chunk as stored, its digest just checked. What does not hold is thrown away and as good as never held.
    pub fn get(&self, chunk: &Chunk) -> Option<Vec<u8>> {
        if !self.holds(&chunk.digest) {
            bump(&self.counts.misses);
            return None;
        }
        // A byte more than stated is enough to see that the file is longer.
        let read = self
            .disk
            .read(&self.path(&chunk.digest), chunk.stored_bytes + 1);
        let bytes = match read {
            Ok(bytes) if cut::verify(chunk, &bytes).is_ok() => bytes,
            Ok(_) => {
                bump(&self.counts.damaged);
                self.drop_chunk(&chunk.digest);
                return None;
            }
            Err(_) => {
                // Unreadable now, perhaps not for ever: the file stays until the next start, the chunk is fetched.
                bump(&self.counts.misses);
                self.shelf.borrow_mut().unpin_all(&chunk.digest);
                self.unreadable.borrow_mut().insert(chunk.digest);
                return None;
            }
        };
        bump(&self.counts.hits);
        self.shelf.borrow_mut().used(&chunk.digest);
        Some(bytes)
    }

    /// Keeps a chunk if it can. False: it could not; the caller uses its bytes all the same.
    pub fn put(
        &self,
        chunk: &Chunk,
        bytes: &[u8],
        cost: f64,
        sharers: u32,
    ) -> Result<bool, cut::ChunkError> {
        cut::verify(chunk, bytes)?;
        let kept = Kept {
            bytes: chunk.stored_bytes,
            cost,
            sharers,
        };
        if self.holds(&chunk.digest) {
            self.shelf.borrow_mut().used(&chunk.digest);
            return Ok(true);
        }
        if !self.removes_leftovers() || !self.makes_room(chunk.digest, kept) {
            bump(&self.counts.not_kept);
            return Ok(false);
        }
        if self.write(&chunk.digest, bytes).is_err() {
            // Whether it was renamed is not known: what a failed sync leaves there goes as well.
            self.drop_chunk(&chunk.digest);
            bump(&self.counts.not_kept);
            return Ok(false);
        }
        self.unreadable.borrow_mut().remove(&chunk.digest);
        let line = (kept.bytes, kept.cost, kept.sharers);
        self.write_index(|table| table.insert(chunk.digest.bytes(), line).map(|_| ()));
        Ok(true)
    }

    /// Writes a chunk's file, whole or not at all.
    fn write(&self, digest: &Digest, bytes: &[u8]) -> io::Result<()> {
        self.parts.set(self.parts.get() + 1);
        let part = self
            .folder
            .join("chunks")
            .join(format!("{}.part", self.parts.get()));
        let written = self.disk.write_new(&part, bytes);
        let renamed = written.and_then(|()| self.disk.rename(&part, &self.path(digest)));
        if renamed.is_err() {
            self.discard(part);
        }
        renamed
    }

    /// Evicts what has to go for this chunk. False: it can't be kept.
    fn makes_room(&self, digest: Digest, kept: Kept) -> bool {
        let room = self.shelf.borrow_mut().admit(digest, kept);
        let Some(gone) = room else { return false };
        for digest in &gone {
            bump(&self.counts.evicted);
            self.unreadable.borrow_mut().remove(digest);
            self.discard(self.path(digest));
        }
        self.forget(&gone);
        let is_free = self.unremoved.borrow().is_empty();
        if !is_free && !self.unreadable.borrow().contains(&digest) {
            self.shelf.borrow_mut().remove(&digest);
        }
        is_free
    }

    /// Removes a file, now or later.
    fn discard(&self, file: PathBuf) {
        if self.disk.remove(&file).is_err() {
            self.unremoved.borrow_mut().insert(file);
        }
    }

    /// Tries again to remove what could not be removed. False: some of it is still there.
    fn removes_leftovers(&self) -> bool {
        let mut unremoved = self.unremoved.borrow_mut();
        while let Some(file) = unremoved.first().cloned() {
            if self.disk.remove(&file).is_err() {
                return false;
            }
            unremoved.remove(&file);
        }
        true
    }

    fn drop_chunk(&self, digest: &Digest) {
        self.shelf.borrow_mut().remove(digest);
        self.unreadable.borrow_mut().remove(digest);
        self.discard(self.path(digest));
        self.forget(&[*digest]);
    }

    fn forget(&self, digests: &[Digest]) {
        if !digests.is_empty() {
            self.write_index(|table| {
                digests
                    .iter()
                    .try_for_each(|d| table.remove(d.bytes()).map(|_| ()))
            });
        }
    }

    /// An index that can't be written is given up for this life: the files are the truth.
    fn write_index(
        &self,
        change: impl FnOnce(
            &mut redb::Table<&[u8; 32], (u64, f64, u32)>,
        ) -> Result<(), redb::StorageError>,
    ) {
        let mut index = self.index.borrow_mut();
        let Some(db) = index.as_ref() else { return };
        let written = (|| -> Result<(), redb::Error> {
            let mut txn = db.begin_write()?;
            // The line is a hint: it need not be on disk before the next one is.
            txn.set_durability(redb::Durability::None)?;
            change(&mut txn.open_table(CHUNKS)?)?;
            txn.commit()?;
            Ok(())
        })();
        if written.is_err() {
            *index = None;
        }
    }

    /// Brings the index to disk. Losing it costs only what it knew of costs.
    pub fn sync(&self) {
        let mut index = self.index.borrow_mut();
        let Some(db) = index.as_ref() else { return };
        let synced = db
            .begin_write()
            .map_err(redb::Error::from)
            .and_then(|t| Ok(t.commit()?));
        if synced.is_err() {
            *index = None;
        }
    }
}

fn bump(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

fn read_index(db: &Database) -> Result<BTreeMap<Digest, Kept>, redb::Error> {
    let txn = db.begin_read()?;
    let table = match txn.open_table(CHUNKS) {
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(BTreeMap::new()),
        table => table?,
    };
    let mut all = BTreeMap::new();
    for line in table.iter()? {
        let (digest, kept) = line?;
        let (bytes, cost, sharers) = kept.value();
        let cost = if cost.is_finite() {
            cost.clamp(0.1, 1e3)
        } else {
            1.0
        };
        all.insert(
            Digest::from_bytes(*digest.value()),
            Kept {
                bytes,
                cost,
                sharers,
            },
        );
    }
    Ok(all)
}
