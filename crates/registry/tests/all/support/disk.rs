//! A disk that dies: what was written and not yet synced may be there, in part, or not, in any order.

use redb::{Database, StorageBackend};
use std::io;
use std::sync::{Arc, Mutex};

#[derive(Debug, Default, Clone)]
struct MemoryDisk {
    /// As after the last sync.
    safe: Vec<u8>,
    /// As the program sees it.
    seen: Vec<u8>,
    /// Since the last sync, in order: where, and what.
    loose: Vec<(u64, Vec<u8>)>,
    /// Lengths set since the last sync.
    resized: bool,
    operations: u64,
    /// Dies before this operation; nothing works from then on.
    dies_at: Option<u64>,
    /// Growing beyond this is refused.
    room: Option<u64>,
}

/// Handles to one disk.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disk(Arc<Mutex<MemoryDisk>>);

fn dead(why: &'static str) -> io::Error {
    io::Error::other(why)
}

impl Disk {
    pub(crate) fn opens(&self) -> saltdrum_registry::store::OpenDatabase {
        let disk = self.clone();
        Box::new(move || Database::builder().create_with_backend(disk.clone()))
    }

    pub(crate) fn dies_at(&self, operation: Option<u64>) {
        self.0.lock().unwrap().dies_at = operation;
    }

    pub(crate) fn room(&self, bytes: Option<u64>) {
        self.0.lock().unwrap().room = bytes;
    }

    pub(crate) fn operations(&self) -> u64 {
        self.0.lock().unwrap().operations
    }

    pub(crate) fn length(&self) -> u64 {
        self.0.lock().unwrap().seen.len() as u64
    }

    /// What is found after the power came back: of each loose write, chance says whether it is there, half there or not,
    /// and they reached the disk in any order.
    pub(crate) fn after_power_cut(&self, rng: &mut fastrand::Rng) -> Disk {
        let old = self.0.lock().unwrap();
        let mut safe = old.safe.clone();
        if old.resized && rng.bool() {
            safe.resize(old.seen.len(), 0);
        }
        let mut loose = old.loose.clone();
        rng.shuffle(&mut loose);
        for (at, bytes) in loose {
            let kept = match rng.u8(..4) {
                0 => 0,
                1 => rng.usize(..=bytes.len()),
                _ => bytes.len(),
            };
            let end = at as usize + kept;
            if end <= safe.len() {
                safe[at as usize..end].copy_from_slice(&bytes[..kept]);
            }
        }
        Disk(Arc::new(Mutex::new(MemoryDisk {
            seen: safe.clone(),
            safe,
            ..Default::default()
        })))
    }

    /// The same bytes with one of them other.
    pub(crate) fn bent(&self, at: u64) -> Disk {
        let mut safe = self.0.lock().unwrap().seen.clone();
        safe[at as usize] ^= 0x20;
        Disk(Arc::new(Mutex::new(MemoryDisk {
            seen: safe.clone(),
            safe,
            ..Default::default()
        })))
    }
}

impl MemoryDisk {
    fn step(&mut self) -> Result<(), io::Error> {
        if self.dies_at.is_some_and(|at| self.operations >= at) {
            return Err(dead("the power is gone"));
        }
        self.operations += 1;
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.lock().unwrap().seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let p = self.0.lock().unwrap();
        let (from, to) = (offset as usize, offset as usize + out.len());
        out.copy_from_slice(
            p.seen
                .get(from..to)
                .ok_or_else(|| dead("read beyond the end"))?,
        );
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        let mut p = self.0.lock().unwrap();
        p.step()?;
        if p.room.is_some_and(|room| len > room) {
            return Err(dead("no space left on device"));
        }
        p.resized = true;
        p.seen.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut p = self.0.lock().unwrap();
        p.step()?;
        p.safe = p.seen.clone();
        p.loose.clear();
        p.resized = false;
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let mut p = self.0.lock().unwrap();
        p.step()?;
        if p.room.is_some() {
            // A disk that is full refuses to allocate even what the file seems to have.
            return Err(dead("no space left on device"));
        }
        let from = offset as usize;
        p.seen[from..from + data.len()].copy_from_slice(data);
        p.loose.push((offset, data.to_vec()));
        Ok(())
    }
}
