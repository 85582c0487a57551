//! The cache when killed at each of its writes, on full and failing disks, and with files that change on disk.

use redb::backends::FileBackend;
use redb::{Database, StorageBackend};
use saltdrum_layers::cache::{Cache, Disk, RealDisk};
use saltdrum_layers::{Chunk, Digest, Packing};
use std::cell::Cell;
use std::fs::{self, OpenOptions};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering::SeqCst};

/// A disk that fails every write after the first `remaining_writes`, and writes only half of the last one, as a kill or a
/// power cut does.
#[derive(Clone, Debug)]
struct FailingAfter {
    remaining_writes: Arc<AtomicI64>,
}

impl FailingAfter {
    /// Writes left, this one included.
    fn next(&self) -> i64 {
        self.remaining_writes.fetch_sub(1, SeqCst)
    }

    fn killed() -> io::Error {
        io::Error::other("killed")
    }

    fn fail_if_spent(&self, operation: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
        if self.next() > 0 {
            operation()
        } else {
            Err(Self::killed())
        }
    }
}

impl Disk for FailingAfter {
    fn create_dir_all(&self, path: &Path) -> io::Result<()> {
        RealDisk.create_dir_all(path)
    }
    fn write_new(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        match self.next() {
            2.. => RealDisk.write_new(path, bytes),
            1 => fs::write(path, &bytes[..bytes.len() / 2]).and(Err(Self::killed())),
            _ => Err(Self::killed()),
        }
    }
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.fail_if_spent(|| RealDisk.rename(from, to))
    }
    fn remove(&self, path: &Path) -> io::Result<()> {
        self.fail_if_spent(|| RealDisk.remove(path))
    }
    fn read(&self, path: &Path, max_bytes: u64) -> io::Result<Vec<u8>> {
        RealDisk.read(path, max_bytes)
    }
    fn list(&self, path: &Path) -> io::Result<Vec<(String, u64)>> {
        RealDisk.list(path)
    }
    fn open_index(&self, path: &Path) -> Result<Database, redb::DatabaseError> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        let file = FileBackend::new(file)?;
        Database::builder().create_with_backend(FailingIndex {
            file,
            disk: self.clone(),
        })
    }
}

#[derive(Debug)]
struct FailingIndex {
    file: FileBackend,
    disk: FailingAfter,
}

impl StorageBackend for FailingIndex {
    fn len(&self) -> Result<u64, io::Error> {
        self.file.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        self.file.read(offset, out)
    }
    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        if self.disk.next() > 0 {
            self.file.set_len(len)
        } else {
            Err(FailingAfter::killed())
        }
    }
    fn sync_data(&self) -> Result<(), io::Error> {
        if self.disk.next() > 0 {
            self.file.sync_data()
        } else {
            Err(FailingAfter::killed())
        }
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        match self.disk.next() {
            2.. => self.file.write(offset, data),
            1 => self
                .file
                .write(offset, &data[..data.len() / 2])
                .and(Err(FailingAfter::killed())),
            _ => Err(FailingAfter::killed()),
        }
    }
}

fn chunk(n: u32) -> (Chunk, Vec<u8>) {
    let mut rng = fastrand::Rng::with_seed(n.into());
    let bytes: Vec<u8> = (0..2_000 + n * 7).map(|_| rng.u8(..)).collect();
    let length = bytes.len() as u64;
    let digest = Digest::of(&bytes);
    (
        Chunk {
            digest,
            stored_bytes: length,
            bytes: length,
            packing: Packing::Plain,
        },
        bytes,
    )
}

/// Puts twelve chunks into a cache with room for eight and reads some again. Returns the chunks reported as cached that
/// are still there.
fn exercise(cache: &Cache) -> Vec<u32> {
    let mut cached = Vec::new();
    for n in 0..12 {
        let (c, bytes) = chunk(n);
        if cache.put(&c, &bytes, 1.0, 1).unwrap() {
            cached.push(n);
        }
        if n % 3 == 0 {
            cache.get(&chunk(n / 2).0);
            cache.sync();
        }
    }
    cached.retain(|n| cache.contains(&chunk(*n).0.digest));
    cached
}

const MAX_BYTES: u64 = 8 * 2_100;

#[test]
fn cache_reopens_with_all_complete_chunks_after_a_kill_at_any_write() {
    let mut survived = 0;
    for killed_at in 0.. {
        let folder = tempfile::tempdir().unwrap();
        let disk = FailingAfter {
            remaining_writes: Arc::new(AtomicI64::new(killed_at)),
        };
        let cached = Cache::open(folder.path(), MAX_BYTES, Rc::new(disk.clone()))
            .map(|c| exercise(&c))
            .unwrap_or_default();
        let done = disk.remaining_writes.load(SeqCst) > 0;
        let reopened = Cache::open(folder.path(), MAX_BYTES, Rc::new(RealDisk)).unwrap();
        assert!(reopened.bytes() <= MAX_BYTES);
        let files = fs::read_dir(folder.path().join("chunks")).unwrap();
        assert_eq!(
            files.count(),
            reopened.digests().len(),
            "killed at {killed_at}: a partial file is left"
        );
        for n in 0..12 {
            let (c, bytes) = chunk(n);
            let is_cached = reopened.contains(&c.digest);
            let read = reopened.get(&c);
            assert!(
                read.as_ref().is_none_or(|g| *g == bytes),
                "killed at {killed_at}: an altered chunk was served"
            );
            assert!(
                !cached.contains(&n) || read.is_some(),
                "killed at {killed_at}: chunk {n} was cached and is lost"
            );
            assert!(
                !is_cached || read.is_some(),
                "killed at {killed_at}: chunk {n} is reported as cached and is not readable"
            );
            survived += u32::from(read.is_some());
        }
        // The reopened cache works as usual.
        let cached_again = exercise(&reopened);
        assert!(cached_again.len() >= 7, "{cached_again:?}");
        if done {
            assert!(killed_at > 60, "{killed_at} writes");
            break;
        }
    }
    assert!(survived > 100);
}

#[test]
fn chunks_changed_on_disk_are_dropped_and_can_be_cached_again() {
    let folder = tempfile::tempdir().unwrap();
    let cache = Cache::open(folder.path(), MAX_BYTES, Rc::new(RealDisk)).unwrap();
    for n in 0..4 {
        let (c, bytes) = chunk(n);
        assert_eq!(cache.put(&c, &bytes, 8.0, 1), Ok(true));
    }
    let path = |n| folder.path().join("chunks").join(chunk(n).0.digest.hex());
    let mut corrupted = fs::read(path(0)).unwrap();
    corrupted[77] ^= 4;
    fs::write(path(0), &corrupted).unwrap();
    fs::write(path(1), &corrupted[..100]).unwrap();
    fs::remove_file(path(2)).unwrap();
    for n in 0..3 {
        assert_eq!(cache.get(&chunk(n).0), None, "{n}");
        assert!(!cache.contains(&chunk(n).0.digest));
    }
    assert_eq!(
        (cache.counts.damaged.get(), cache.counts.misses.get()),
        (2, 1)
    );
    assert!(cache.get(&chunk(3).0).is_some());
    let (c, bytes) = chunk(0);
    assert!(
        cache.put(&c, &corrupted, 1.0, 1).is_err(),
        "corrupt bytes are not cached"
    );
    assert_eq!(cache.put(&c, &bytes, 1.0, 1), Ok(true));
    // An unreadable index is rebuilt from the files.
    drop(cache);
    fs::write(
        folder.path().join("index.redb"),
        b"nonsense, and more of it",
    )
    .unwrap();
    let cache = Cache::open(folder.path(), MAX_BYTES, Rc::new(RealDisk)).unwrap();
    assert_eq!(cache.counts.index_rebuilt.get(), 1);
    assert!(cache.get(&chunk(0).0).is_some() && cache.get(&chunk(3).0).is_some());
}

struct FullDisk;

impl Disk for FullDisk {
    fn create_dir_all(&self, path: &Path) -> io::Result<()> {
        RealDisk.create_dir_all(path)
    }
    fn write_new(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        fs::write(path, &bytes[..10]).and(Err(io::ErrorKind::StorageFull.into()))
    }
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        RealDisk.rename(from, to)
    }
    fn remove(&self, path: &Path) -> io::Result<()> {
        RealDisk.remove(path)
    }
    fn read(&self, _: &Path, _: u64) -> io::Result<Vec<u8>> {
        Err(io::ErrorKind::PermissionDenied.into())
    }
    fn list(&self, path: &Path) -> io::Result<Vec<(String, u64)>> {
        RealDisk.list(path)
    }
    fn open_index(&self, _: &Path) -> Result<Database, redb::DatabaseError> {
        Err(redb::DatabaseError::UpgradeRequired(0))
    }
}

#[test]
fn full_or_unreadable_disk_only_causes_cache_misses() {
    let folder = tempfile::tempdir().unwrap();
    let (c, bytes) = chunk(1);
    Cache::open(folder.path(), MAX_BYTES, Rc::new(RealDisk))
        .unwrap()
        .put(&c, &bytes, 1.0, 1)
        .unwrap();
    let cache = Cache::open(folder.path(), MAX_BYTES, Rc::new(FullDisk)).unwrap();
    assert_eq!(cache.get(&c), None);
    let (other, bytes) = chunk(2);
    assert_eq!(cache.put(&other, &bytes, 1.0, 1), Ok(false));
    assert!(!cache.contains(&other.digest) && cache.counts.not_cached.get() == 1);
    let cache = Cache::open(folder.path(), MAX_BYTES, Rc::new(RealDisk)).unwrap();
    assert!(
        cache.get(&c).is_some(),
        "a temporary read error loses no chunk"
    );
    assert_eq!(cache.digests().len(), 1);
}

/// A disk on which syncs, reads and removals fail with EIO while its flag is set.
#[derive(Clone, Default)]
struct FlakyDisk(Rc<Cell<bool>>);

impl FlakyDisk {
    fn or(&self, operation: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
        if self.0.get() {
            Err(io::Error::from_raw_os_error(5))
        } else {
            operation()
        }
    }
}

impl Disk for FlakyDisk {
    fn create_dir_all(&self, path: &Path) -> io::Result<()> {
        RealDisk.create_dir_all(path)
    }
    fn write_new(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        // As on a real disk: the file is written and its sync fails.
        fs::write(path, bytes)?;
        self.or(|| Ok(()))
    }
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)?;
        self.or(|| Ok(()))
    }
    fn remove(&self, path: &Path) -> io::Result<()> {
        self.or(|| RealDisk.remove(path))
    }
    fn read(&self, path: &Path, max_bytes: u64) -> io::Result<Vec<u8>> {
        self.or(|| Ok(()))?;
        RealDisk.read(path, max_bytes)
    }
    fn list(&self, path: &Path) -> io::Result<Vec<(String, u64)>> {
        RealDisk.list(path)
    }
    fn open_index(&self, path: &Path) -> Result<Database, redb::DatabaseError> {
        RealDisk.open_index(path)
    }
}

fn bytes_in(folder: &Path) -> u64 {
    fs::read_dir(folder.join("chunks"))
        .unwrap()
        .map(|e| e.unwrap().metadata().unwrap().len())
        .sum()
}

#[test]
fn cache_stays_within_its_bound_while_the_disk_fails() {
    let folder = tempfile::tempdir().unwrap();
    let disk = FlakyDisk::default();
    let cache = Cache::open(folder.path(), MAX_BYTES, Rc::new(disk.clone())).unwrap();
    // Costs rise, so that each chunk may evict those before it.
    let put = |n: u32| {
        cache
            .put(&chunk(n).0, &chunk(n).1, f64::from(n + 1), 1)
            .unwrap()
    };
    assert!((0..8).all(put));
    disk.0.set(true);
    for n in 0..40 {
        assert!(!put(100 + n), "a chunk whose sync failed is not cached");
        cache.get(&chunk(n % 8).0);
    }
    let one = chunk(140).0.stored_bytes;
    assert!(
        bytes_in(folder.path()) <= MAX_BYTES + one,
        "{} bytes of {MAX_BYTES}",
        bytes_in(folder.path())
    );
    disk.0.set(false);
    for n in 0..20 {
        assert!(put(200 + n), "chunks are cached again");
        assert!(cache.get(&chunk(200 + n).0).is_some());
    }
    assert!(
        bytes_in(folder.path()) <= MAX_BYTES,
        "{} bytes of {MAX_BYTES}",
        bytes_in(folder.path())
    );
    // A chunk that was unreadable for a while can be cached again, and is evicted like any other.
    let (c, bytes) = chunk(219);
    disk.0.set(true);
    assert!(cache.get(&c).is_none() && !cache.contains(&c.digest));
    disk.0.set(false);
    assert_eq!(cache.put(&c, &bytes, 219.0, 1), Ok(true));
    assert!(cache.get(&c).is_some());
    assert!((300..320).all(put));
    assert!(
        bytes_in(folder.path()) <= MAX_BYTES,
        "{} bytes of {MAX_BYTES}",
        bytes_in(folder.path())
    );
}
