//! What a bounded cache keeps: dear, shared, lately used chunks. Greedy-dual by size, without I/O.

use crate::Digest;
use std::collections::BTreeMap;

/// Fetching from the store again costs so many times what a peer costs.
pub const STORE_OVER_PEER: f64 = 8.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kept {
    pub bytes: u64,
    /// What fetching it again would cost: 1 from a peer, more from the store. Never 0.
    pub cost: f64,
    /// Models known here that contain it.
    pub sharers: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    kept: Kept,
    priority: f64,
    /// Among equals the one used longest ago goes first.
    touched: u64,
    /// Loads and standing copies that use it: it is not evicted meanwhile.
    pins: u32,
}

/// The books of one cache. Bytes in it never exceed `most_bytes`.
#[derive(Clone, Debug)]
pub struct Shelf {
    most_bytes: u64,
    bytes: u64,
    entries: BTreeMap<Digest, Entry>,
    /// The priority of the last that went: all that came since stand above it.
    floor: f64,
    touches: u64,
}

impl Shelf {
    pub fn new(most_bytes: u64) -> Self {
        Self {
            most_bytes,
            bytes: 0,
            entries: BTreeMap::new(),
            floor: 0.0,
            touches: 0,
        }
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn holds(&self, digest: &Digest) -> bool {
        self.entries.contains_key(digest)
    }

    pub fn digests(&self) -> impl Iterator<Item = &Digest> {
        self.entries.keys()
    }

    fn priority(&self, kept: &Kept) -> f64 {
        let megabytes = (kept.bytes as f64 / 1e6).max(1e-3);
        // What loads a copy uses its chunks together: size must not decide alone, or large ones would never stay.
        self.floor + kept.cost * f64::from(kept.sharers.max(1)) / megabytes.sqrt()
    }

    /// Makes room. Gives who has to go, in order; `None` when it can't stay: too large, or all else is dearer or in use.
    pub fn admit(&mut self, digest: Digest, kept: Kept) -> Option<Vec<Digest>> {
        if self.holds(&digest) {
            self.used(&digest);
            return Some(Vec::new());
        }
        let priority = self.priority(&kept);
        let mut going = Vec::new();
        let mut freed = 0;
        if self.bytes + kept.bytes > self.most_bytes {
            let mut cheap: Vec<(f64, u64, Digest, u64)> = self
                .entries
                .iter()
                .filter(|(_, e)| e.pins == 0)
                .map(|(d, e)| (e.priority, e.touched, *d, e.kept.bytes))
                .collect();
            cheap.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            for (theirs, _, d, bytes) in cheap {
                if self.bytes - freed + kept.bytes <= self.most_bytes {
                    break;
                }
                if theirs > priority {
                    return None;
                }
                going.push((theirs, d));
                freed += bytes;
            }
            if self.bytes - freed + kept.bytes > self.most_bytes {
                return None;
            }
        }
        for (theirs, d) in &going {
            self.floor = self.floor.max(*theirs);
            self.remove(d);
        }
        let priority = self.priority(&kept);
        self.bytes += kept.bytes;
        self.touches += 1;
        let touched = self.touches;
        self.entries.insert(
            digest,
            Entry {
                kept,
                priority,
                touched,
                pins: 0,
            },
        );
        Some(going.into_iter().map(|(_, d)| d).collect())
    }

    pub fn used(&mut self, digest: &Digest) {
        let Some(kept) = self.entries.get(digest).map(|e| e.kept) else {
            return;
        };
        let priority = self.priority(&kept);
        self.touches += 1;
        let e = self.entries.get_mut(digest).expect("it was just there");
        (e.priority, e.touched) = (priority, self.touches);
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
        self.used(digest);
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
            self.bytes -= e.kept.bytes;
        }
    }
}

#[cfg(test)]
mod tests;
