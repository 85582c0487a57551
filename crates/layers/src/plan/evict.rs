//! What a bounded cache keeps: dear, shared, lately used chunks. Greedy-dual by size, without I/O.

use crate::Digest;
use std::collections::BTreeMap;

/// Fetching from the store again costs so many times what a peer costs.
pub const STORE_COST_FACTOR: f64 = 8.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedChunk {
    pub bytes: u64,
    /// What fetching it again would cost: 1 from a peer, more from the store. Never 0.
    pub cost: f64,
    /// Models known here that contain it.
    pub sharers: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    chunk: CachedChunk,
    priority: f64,
    /// Among equals the one used longest ago goes first.
    last_touch: u64,
    /// Loads and standing copies that use it: it is not evicted meanwhile.
    pins: u32,
}

/// The books of one cache. Bytes in it never exceed `most_bytes`.
#[derive(Clone, Debug)]
pub struct EvictionPolicy {
    max_bytes: u64,
    bytes: u64,
    entries: BTreeMap<Digest, Entry>,
    /// The priority of the last that went: all that came since stand above it.
    priority_floor: f64,
    touch_count: u64,
}

impl EvictionPolicy {
    pub fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            entries: BTreeMap::new(),
            priority_floor: 0.0,
            touch_count: 0,
        }
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn contains(&self, digest: &Digest) -> bool {
        self.entries.contains_key(digest)
    }

    pub fn digests(&self) -> impl Iterator<Item = &Digest> {
        self.entries.keys()
    }

    fn priority(&self, chunk: &CachedChunk) -> f64 {
        let megabytes = (chunk.bytes as f64 / 1e6).max(1e-3);
        // What loads a copy uses its chunks together: size must not decide alone, or large ones would never stay.
        self.priority_floor + chunk.cost * f64::from(chunk.sharers.max(1)) / megabytes.sqrt()
    }

    /// Makes room. Gives who has to go, in order; `None` when it can't stay: too large, or all else is dearer or in use.
    pub fn admit(&mut self, digest: Digest, chunk: CachedChunk) -> Option<Vec<Digest>> {
        if self.contains(&digest) {
            self.touch(&digest);
            return Some(Vec::new());
        }
        let priority = self.priority(&chunk);
        let mut evicted = Vec::new();
        let mut freed = 0;
        if self.bytes + chunk.bytes > self.max_bytes {
            let mut candidates: Vec<(f64, u64, Digest, u64)> = self
                .entries
                .iter()
                .filter(|(_, e)| e.pins == 0)
                .map(|(d, e)| (e.priority, e.last_touch, *d, e.chunk.bytes))
                .collect();
            candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            for (candidate_priority, _, d, bytes) in candidates {
                if self.bytes - freed + chunk.bytes <= self.max_bytes {
                    break;
                }
                if candidate_priority > priority {
                    return None;
                }
                evicted.push((candidate_priority, d));
                freed += bytes;
            }
            if self.bytes - freed + chunk.bytes > self.max_bytes {
                return None;
            }
        }
        for (candidate_priority, d) in &evicted {
            self.priority_floor = self.priority_floor.max(*candidate_priority);
            self.remove(d);
        }
        let priority = self.priority(&chunk);
        self.bytes += chunk.bytes;
        self.touch_count += 1;
        let last_touch = self.touch_count;
        self.entries.insert(
            digest,
            Entry {
                chunk,
                priority,
                last_touch,
                pins: 0,
            },
        );
        Some(evicted.into_iter().map(|(_, d)| d).collect())
    }

    pub fn touch(&mut self, digest: &Digest) {
        let Some(chunk) = self.entries.get(digest).map(|e| e.chunk) else {
            return;
        };
        let priority = self.priority(&chunk);
        self.touch_count += 1;
        let e = self.entries.get_mut(digest).expect("it was just there");
        (e.priority, e.last_touch) = (priority, self.touch_count);
    }

    pub fn pin(&mut self, digest: &Digest) {
        if let Some(e) = self.entries.get_mut(digest) {
            e.pins += 1;
        }
    }

    pub fn unpin(&mut self, digest: &Digest) {
        if let Some(e) = self.entries.get_mut(digest) {
            e.pins = e.pins.saturating_sub(1);
        }
        self.touch(digest);
    }

    /// Nobody can use it any more, though it keeps its place.
    pub fn unpin_all(&mut self, digest: &Digest) {
        if let Some(e) = self.entries.get_mut(digest) {
            e.pins = 0;
        }
    }

    /// It is gone, or turned out damaged.
    pub fn remove(&mut self, digest: &Digest) {
        if let Some(e) = self.entries.remove(digest) {
            self.bytes -= e.chunk.bytes;
        }
    }
}

#[cfg(test)]
mod tests;
