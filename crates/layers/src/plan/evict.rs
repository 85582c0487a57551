//! Eviction for a bounded cache, without I/O: Greedy-Dual-Size, which prefers to keep chunks that are expensive to fetch,
//! shared by models and recently used.

use crate::Digest;
use std::collections::BTreeMap;

/// Cost of a fetch from the store relative to one from a peer.
pub const STORE_COST_FACTOR: f64 = 8.0;

/// Size and value of a cached chunk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedChunk {
    pub bytes: u64,
    /// Relative cost of fetching it again: 1 from a peer, more from the store. Never 0.
    pub cost: f64,
    /// Known models that contain it.
    pub sharers: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    chunk: CachedChunk,
    priority: f64,
    /// Sequence number of the last use. At equal priority the least recently used chunk is evicted first.
    last_touch: u64,
    /// Loads and loaded instances that use it. A pinned chunk is not evicted.
    pins: u32,
}

/// Tracks the chunks of one cache and selects those to evict. Their total size never exceeds `max_bytes`.
#[derive(Clone, Debug)]
pub struct EvictionPolicy {
    max_bytes: u64,
    bytes: u64,
    entries: BTreeMap<Digest, Entry>,
    /// Highest priority evicted so far. Chunks added or used since then have a higher one.
    priority_floor: f64,
    touch_count: u64,
}

impl EvictionPolicy {
    /// An empty cache with this bound.
    pub fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            entries: BTreeMap::new(),
            priority_floor: 0.0,
            touch_count: 0,
        }
    }

    /// Total size of the tracked chunks.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Whether the chunk is tracked.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.entries.contains_key(digest)
    }

    /// The tracked chunks.
    pub fn digests(&self) -> impl Iterator<Item = &Digest> {
        self.entries.keys()
    }

    fn priority(&self, chunk: &CachedChunk) -> f64 {
        let megabytes = (chunk.bytes as f64 / 1e6).max(1e-3);
        // The square root: a load uses all chunks of a model together, and dividing by the size itself would evict large
        // chunks first every time.
        self.priority_floor + chunk.cost * f64::from(chunk.sharers.max(1)) / megabytes.sqrt()
    }

    /// Adds a chunk and returns the chunks evicted for it, in order. Returns `None`, without evicting, if the chunk is
    /// larger than what may be freed: other chunks are pinned or have a higher priority.
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

    /// Marks a chunk as used now.
    pub fn touch(&mut self, digest: &Digest) {
        let Some(chunk) = self.entries.get(digest).map(|e| e.chunk) else {
            return;
        };
        let priority = self.priority(&chunk);
        self.touch_count += 1;
        let entry = self
            .entries
            .get_mut(digest)
            .expect("the entry was just found");
        (entry.priority, entry.last_touch) = (priority, self.touch_count);
    }

    /// Protects a chunk from eviction until it is unpinned as often.
    pub fn pin(&mut self, digest: &Digest) {
        if let Some(entry) = self.entries.get_mut(digest) {
            entry.pins += 1;
        }
    }

    /// Releases one pin and marks the chunk as used now.
    pub fn unpin(&mut self, digest: &Digest) {
        if let Some(entry) = self.entries.get_mut(digest) {
            entry.pins = entry.pins.saturating_sub(1);
        }
        self.touch(digest);
    }

    /// Drops all pins of a chunk that can't be read any more but still takes up space.
    pub fn unpin_all(&mut self, digest: &Digest) {
        if let Some(entry) = self.entries.get_mut(digest) {
            entry.pins = 0;
        }
    }

    /// Removes a chunk that was deleted or is damaged.
    pub fn remove(&mut self, digest: &Digest) {
        if let Some(entry) = self.entries.remove(digest) {
            self.bytes -= entry.chunk.bytes;
        }
    }
}

#[cfg(test)]
mod tests;
