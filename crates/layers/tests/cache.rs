//! The cache killed at each of its writes, on a full disk, with files that change under it.

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

/// After so many writes everything fails, and the last one is done by half: what a kill, or power, leaves behind.
#[derive(Clone, Debug)]
struct Dying {
    left: Arc<AtomicI64>,
}

impl Dying {
    /// Writes left, this one included.
    fn next(&self) -> i64 {
        self.left.fetch_sub(1, SeqCst)
    }

    fn gone() -> io::Error {
        io::Error::other("killed")
    }

    fn whole(&self, then: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
        if self.next() > 0 {
            then()
        } else {
            Err(Self::gone())
        }
    }
}

impl Disk for Dying {
    fn create_dir_all(&self, path: &Path) -> io::Result<()> {
        RealDisk.create_dir_all(path)
    }
    fn write_new(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        match self.next() {
            2.. => RealDisk.write_new(path, bytes),
            1 => fs::write(path, &bytes[..bytes.len() / 2]).and(Err(Self::gone())),
            _ => Err(Self::gone()),
        }
    }
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.whole(|| RealDisk.rename(from, to))
    }
    fn remove(&self, path: &Path) -> io::Result<()> {
        self.whole(|| RealDisk.remove(path))
    }
    fn read(&self, path: &Path, most: u64) -> io::Result<Vec<u8>> {
        RealDisk.read(path, most)
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
        Database::builder().create_with_backend(DyingIndex {
            file,
            dying: self.clone(),
        })
    }
}

#[derive(Debug)]
struct DyingIndex {
    file: FileBackend,
    dying: Dying,
}

impl StorageBackend for DyingIndex {
    fn len(&self) -> Result<u64, io::Error> {
        self.file.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        self.file.read(offset, out)
    }
    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        if self.dying.next() > 0 {
            self.file.set_len(len)
        } else {
            Err(Dying::gone())
        }
    }
    fn sync_data(&self) -> Result<(), io::Error> {
        if self.dying.next() > 0 {
            self.file.sync_data()
        } else {
            Err(Dying::gone())
        }
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        match self.dying.next() {
            2.. => self.file.write(offset, data),
            1 => self
                .file
                .write(offset, &data[..data.len() / 2])
                .and(Err(Dying::gone())),
            _ => Err(Dying::gone()),
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

/// A day in a cache's life: twelve chunks through a cache that holds eight, some read again. Gives those kept and said so.
fn live(cache: &Cache) -> Vec<u32> {
    let mut kept = Vec::new();
    for n in 0..12 {
        let (c, bytes) = chunk(n);
        if cache.put(&c, &bytes, 1.0, 1).unwrap() {
            kept.push(n);
        }
        if n % 3 == 0 {
            cache.get(&chunk(n / 2).0);
            cache.sync();
        }
    }
    kept.retain(|n| cache.holds(&chunk(*n).0.digest));
    kept
}

const MOST: u64 = 8 * 2_100;

#[test]
fn killed_at_any_write_it_comes_back_with_what_was_whole() {
    let mut survived = 0;
    for killed_at in 0.. {
        let folder = tempfile::tempdir().unwrap();
        let dying = Dying {
            left: Arc::new(AtomicI64::new(killed_at)),
        };
        let kept = Cache::open(folder.path(), MOST, Rc::new(dying.clone()))
            .map(|c| live(&c))
            .unwrap_or_default();
        let done = dying.left.load(SeqCst) > 0;
        let back = Cache::open(folder.path(), MOST, Rc::new(RealDisk)).unwrap();
        assert!(back.bytes() <= MOST);
        let parts = fs::read_dir(folder.path().join("chunks")).unwrap();
        assert_eq!(
            parts.count(),
            back.digests().len(),
            "killed at {killed_at}: nothing half-written is left"
        );
        for n in 0..12 {
            let (c, bytes) = chunk(n);
            let held = back.holds(&c.digest);
            let got = back.get(&c);
            assert!(
                got.as_ref().is_none_or(|g| *g == bytes),
                "killed at {killed_at}: an altered chunk was served"
            );
            assert!(
                !kept.contains(&n) || got.is_some(),
                "killed at {killed_at}: chunk {n} was kept and is gone"
            );
            assert!(
                !held || got.is_some(),
                "killed at {killed_at}: {n} is said to be here and is not whole"
            );
            survived += u32::from(got.is_some());
        }
        // It goes on as if nothing had been.
        let again = live(&back);
        assert!(again.len() >= 7, "{again:?}");
        if done {
            assert!(killed_at > 60, "{killed_at} writes");
            break;
        }
    }
    assert!(survived > 100);
}

#[test]
fn what_changed_on_disk_is_never_served_and_is_fetched_again() {
    let folder = tempfile::tempdir().unwrap();
    let cache = Cache::open(folder.path(), MOST, Rc::new(RealDisk)).unwrap();
    for n in 0..4 {
        let (c, bytes) = chunk(n);
        assert_eq!(cache.put(&c, &bytes, 8.0, 1), Ok(true));
    }
    let path = |n| folder.path().join("chunks").join(chunk(n).0.digest.hex());
    let mut bent = fs::read(path(0)).unwrap();
    bent[77] ^= 4;
    fs::write(path(0), &bent).unwrap();
    fs::write(path(1), &bent[..100]).unwrap();
    fs::remove_file(path(2)).unwrap();
    for n in 0..3 {
        assert_eq!(cache.get(&chunk(n).0), None, "{n}");
        assert!(!cache.holds(&chunk(n).0.digest));
    }
    assert_eq!(
        (cache.counts.damaged.get(), cache.counts.misses.get()),
        (2, 1)
    );
    assert!(cache.get(&chunk(3).0).is_some());
    let (c, bytes) = chunk(0);
    assert!(
        cache.put(&c, &bent, 1.0, 1).is_err(),
        "damaged bytes are not taken in either"
    );
    assert_eq!(cache.put(&c, &bytes, 1.0, 1), Ok(true));
    // An index full of nonsense is made anew; the files are the truth.
    drop(cache);
    fs::write(
        folder.path().join("index.redb"),
        b"nonsense, and more of it",
    )
    .unwrap();
    let cache = Cache::open(folder.path(), MOST, Rc::new(RealDisk)).unwrap();
    assert_eq!(cache.counts.index_rebuilt.get(), 1);
    assert!(cache.get(&chunk(0).0).is_some() && cache.get(&chunk(3).0).is_some());
}

struct Full;

impl Disk for Full {
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
fn a_full_or_unreadable_disk_costs_fetches_and_nothing_else() {
    let folder = tempfile::tempdir().unwrap();
    let (c, bytes) = chunk(1);
    Cache::open(folder.path(), MOST, Rc::new(RealDisk))
        .unwrap()
        .put(&c, &bytes, 1.0, 1)
        .unwrap();
    let cache = Cache::open(folder.path(), MOST, Rc::new(Full)).unwrap();
    assert_eq!(cache.get(&c), None);
    let (other, bytes) = chunk(2);
    assert_eq!(cache.put(&other, &bytes, 1.0, 1), Ok(false));
    assert!(!cache.holds(&other.digest) && cache.counts.not_kept.get() == 1);
    let cache = Cache::open(folder.path(), MOST, Rc::new(RealDisk)).unwrap();
    assert!(
        cache.get(&c).is_some(),
        "it was only unreadable for a while"
    );
    assert_eq!(cache.digests().len(), 1);
}

/// While it fails, nothing is brought to disk, and nothing can be removed: EIO for a while.
#[derive(Clone, Default)]
struct Failing(Rc<Cell<bool>>);

impl Failing {
    fn or(&self, then: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
        if self.0.get() {
            Err(io::Error::from_raw_os_error(5))
        } else {
            then()
        }
    }
}

impl Disk for Failing {
    fn create_dir_all(&self, path: &Path) -> io::Result<()> {
        RealDisk.create_dir_all(path)
    }
    fn write_new(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        // As the machine does it: what was written is there, and its sync fails.
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
    fn read(&self, path: &Path, most: u64) -> io::Result<Vec<u8>> {
        self.or(|| Ok(()))?;
        RealDisk.read(path, most)
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
fn a_disk_that_fails_a_while_never_makes_the_cache_outgrow_its_bound() {
    let folder = tempfile::tempdir().unwrap();
    let disk = Failing::default();
    let cache = Cache::open(folder.path(), MOST, Rc::new(disk.clone())).unwrap();
    // Later ones are dearer, so that they are worth the place of those before.
    let put = |n: u32| {
        cache
            .put(&chunk(n).0, &chunk(n).1, f64::from(n + 1), 1)
            .unwrap()
    };
    assert!((0..8).all(put));
    disk.0.set(true);
    for n in 0..40 {
        assert!(!put(100 + n), "nothing is kept that may not be on disk");
        cache.get(&chunk(n % 8).0);
    }
    let one = chunk(140).0.stored_bytes;
    assert!(
        bytes_in(folder.path()) <= MOST + one,
        "{} bytes of {MOST}",
        bytes_in(folder.path())
    );
    disk.0.set(false);
    for n in 0..20 {
        assert!(put(200 + n), "it keeps again");
        assert!(cache.get(&chunk(200 + n).0).is_some());
    }
    assert!(
        bytes_in(folder.path()) <= MOST,
        "{} bytes of {MOST}",
        bytes_in(folder.path())
    );
    // What could not be read for a while is fetched and kept again, and evicted like any other.
    let (c, bytes) = chunk(219);
    disk.0.set(true);
    assert!(cache.get(&c).is_none() && !cache.holds(&c.digest));
    disk.0.set(false);
    assert_eq!(cache.put(&c, &bytes, 219.0, 1), Ok(true));
    assert!(cache.get(&c).is_some());
    assert!((300..320).all(put));
    assert!(
        bytes_in(folder.path()) <= MOST,
        "{} bytes of {MOST}",
        bytes_in(folder.path())
    );
}
