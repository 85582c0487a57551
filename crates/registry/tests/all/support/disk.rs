//! A simulated disk that can lose power: after a power cut, each unsynced write may be present, partial or missing, in any order.

use redb::{Database, StorageBackend};
use std::io;
use std::sync::{Arc, Mutex};

#[derive(Debug, Default, Clone)]
struct MemoryDisk {
    /// Content as of the last sync.
    synced: Vec<u8>,
    /// Content as the program sees it.
    current: Vec<u8>,
    /// Offset and bytes of each write since the last sync, in order.
    unsynced_writes: Vec<(u64, Vec<u8>)>,
    /// Whether the length was set since the last sync.
    resized: bool,
    operations: u64,
    /// Every operation from this one on fails.
    fails_from: Option<u64>,
    /// Length beyond which the disk is full.
    capacity: Option<u64>,
}

/// A handle to a disk; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disk(Arc<Mutex<MemoryDisk>>);

fn io_error(message: &'static str) -> io::Error {
    io::Error::other(message)
}

impl Disk {
    pub(crate) fn open_database(&self) -> saltdrum_registry::store::OpenDatabase {
        let disk = self.clone();
        Box::new(move || Database::builder().create_with_backend(disk.clone()))
    }

    pub(crate) fn fail_from(&self, operation: Option<u64>) {
        self.0.lock().unwrap().fails_from = operation;
    }

    pub(crate) fn limit_capacity(&self, bytes: Option<u64>) {
        self.0.lock().unwrap().capacity = bytes;
    }

    pub(crate) fn operations(&self) -> u64 {
        self.0.lock().unwrap().operations
    }

    pub(crate) fn length(&self) -> u64 {
        self.0.lock().unwrap().current.len() as u64
    }

    /// The disk after a power cut: each unsynced write is at random present, partial or missing, and they reached the disk in
    /// any order.
    pub(crate) fn after_power_cut(&self, rng: &mut fastrand::Rng) -> Disk {
        let old = self.0.lock().unwrap();
        let mut synced = old.synced.clone();
        if old.resized && rng.bool() {
            synced.resize(old.current.len(), 0);
        }
        let mut writes = old.unsynced_writes.clone();
        rng.shuffle(&mut writes);
        for (offset, bytes) in writes {
            let written = match rng.u8(..4) {
                0 => 0,
                1 => rng.usize(..=bytes.len()),
                _ => bytes.len(),
            };
            let end = offset as usize + written;
            if end <= synced.len() {
                synced[offset as usize..end].copy_from_slice(&bytes[..written]);
            }
        }
        Disk(Arc::new(Mutex::new(MemoryDisk {
            current: synced.clone(),
            synced,
            ..Default::default()
        })))
    }

    /// A copy of the disk with one byte corrupted.
    pub(crate) fn with_corrupted_byte(&self, offset: u64) -> Disk {
        let mut synced = self.0.lock().unwrap().current.clone();
        synced[offset as usize] ^= 0x20;
        Disk(Arc::new(Mutex::new(MemoryDisk {
            current: synced.clone(),
            synced,
            ..Default::default()
        })))
    }
}

impl MemoryDisk {
    /// Counts an operation, and fails if the disk has lost power.
    fn count_operation(&mut self) -> Result<(), io::Error> {
        if self
            .fails_from
            .is_some_and(|first| self.operations >= first)
        {
            return Err(io_error("the power is gone"));
        }
        self.operations += 1;
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.lock().unwrap().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let state = self.0.lock().unwrap();
        let (from, to) = (offset as usize, offset as usize + out.len());
        out.copy_from_slice(
            state
                .current
                .get(from..to)
                .ok_or_else(|| io_error("read beyond the end"))?,
        );
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        let mut state = self.0.lock().unwrap();
        state.count_operation()?;
        if state.capacity.is_some_and(|capacity| len > capacity) {
            return Err(io_error("no space left on device"));
        }
        state.resized = true;
        state.current.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut state = self.0.lock().unwrap();
        state.count_operation()?;
        state.synced = state.current.clone();
        state.unsynced_writes.clear();
        state.resized = false;
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let mut state = self.0.lock().unwrap();
        state.count_operation()?;
        if state.capacity.is_some() {
            // A full disk may fail to allocate even blocks within the length of the file.
            return Err(io_error("no space left on device"));
        }
        let from = offset as usize;
        state.current[from..from + data.len()].copy_from_slice(data);
        state.unsynced_writes.push((offset, data.to_vec()));
        Ok(())
    }
}
