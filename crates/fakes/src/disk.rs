//! A disk that loses what was written last when the power goes.

use saltdrum::interface::Ticks;
use saltdrum_layers::cache::{Disk, RealDisk};
use saltdrum_transport::Clock;
use std::cell::RefCell;
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

/// What a torn write leaves is no longer than this behind its begin.
const SECTOR: u64 = 4_096;

/// The machine's own disk, whose promise that bytes have reached it is a lie for a while.
pub struct TearingDisk {
    disk: RealDisk,
    clock: Clock,
    written: RefCell<Vec<(Ticks, PathBuf)>>,
    index: RefCell<Option<PathBuf>>,
}

impl TearingDisk {
    pub fn new(clock: Clock) -> Self {
        Self {
            disk: RealDisk,
            clock,
            written: RefCell::default(),
            index: RefCell::default(),
        }
    }

    /// The power has gone at `at`, and nothing holds the files any more. Of what was written since `since`, each is
    /// torn with a chance of `part`: cut short, a sector of it blank, or gone. Tells how many.
    pub fn tear(&self, since: Ticks, part: f64, rng: &mut fastrand::Rng) -> io::Result<usize> {
        let written = std::mem::take(&mut *self.written.borrow_mut());
        let index = self.index.borrow().clone().map(|path| (Ticks::MAX, path));
        let mut torn = 0;
        for (at, path) in written.into_iter().chain(index) {
            if at < since || rng.f64() >= part || !path.exists() {
                continue;
            }
            let length = fs::metadata(&path)?.len();
            match rng.u8(..3) {
                0 => fs::remove_file(&path)?,
                1 => OpenOptions::new()
                    .write(true)
                    .open(&path)?
                    .set_len(rng.u64(..=length.saturating_sub(1)))?,
                _ => {
                    let mut bytes = fs::read(&path)?;
                    let first = rng.u64(..=length.saturating_sub(1)) / SECTOR * SECTOR;
                    let end = (first + SECTOR).min(length);
                    bytes[first as usize..end as usize].fill(0);
                    fs::write(&path, bytes)?;
                }
            }
            torn += 1;
        }
        Ok(torn)
    }
}

impl Disk for TearingDisk {
    fn create_dir_all(&self, path: &Path) -> io::Result<()> {
        self.disk.create_dir_all(path)
    }

    fn write_new(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.disk.write_new(path, bytes)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.written
            .borrow_mut()
            .push((self.clock.now(), to.to_owned()));
        self.disk.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.disk.remove(path)
    }

    fn read(&self, path: &Path, most: u64) -> io::Result<Vec<u8>> {
        self.disk.read(path, most)
    }

    fn list(&self, path: &Path) -> io::Result<Vec<(String, u64)>> {
        // By name: a folder lists its files in an order of its own.
        let mut all = self.disk.list(path)?;
        all.sort_unstable();
        Ok(all)
    }

    fn open_index(&self, path: &Path) -> Result<redb::Database, redb::DatabaseError> {
        *self.index.borrow_mut() = Some(path.to_owned());
        self.disk.open_index(path)
    }
}
