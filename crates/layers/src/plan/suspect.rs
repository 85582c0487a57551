//! Sources to avoid for a while because they failed, timed out or sent corrupt chunks.

use super::Source;
use saltdrum::interface::{SECOND, Ticks};
use std::collections::BTreeMap;

/// Suspicion after the first fault.
const INITIAL_SUSPICION: Ticks = SECOND / 2;
/// Longest suspicion.
const MAX_SUSPICION: Ticks = 60 * SECOND;
/// A corrupt chunk counts as this many failed fetches: the transfer is wasted and it indicates a bad disk or worse.
const CORRUPTION_WEIGHT: u32 = 3;

/// Suspicion per source. Its duration doubles with each consecutive fault.
#[derive(Clone, Debug, Default)]
pub struct SuspectSources {
    faults: BTreeMap<Source, (u32, Ticks)>,
}

impl SuspectSources {
    /// Whether the source may be used now.
    pub fn is_trusted(&self, source: Source, now: Ticks) -> bool {
        self.faults
            .get(&source)
            .is_none_or(|(_, until)| now >= *until)
    }

    /// Records a failed fetch.
    pub fn fetch_failed(&mut self, source: Source, now: Ticks) {
        self.record_fault(source, now, 1);
    }

    /// Records a corrupt chunk.
    pub fn sent_corrupt(&mut self, source: Source, now: Ticks) {
        self.record_fault(source, now, CORRUPTION_WEIGHT);
    }

    /// Clears the suspicion after a successful fetch.
    pub fn fetch_succeeded(&mut self, source: Source) {
        self.faults.remove(&source);
    }

    /// Clears the suspicion of a source that has restarted or left the list.
    pub fn forget(&mut self, source: Source) {
        self.faults.remove(&source);
    }

    fn record_fault(&mut self, source: Source, now: Ticks, weight: u32) {
        let (faults, until) = self.faults.entry(source).or_default();
        // Requests that were in flight together fail together and count as one fault.
        if now < *until && weight == 1 {
            return;
        }
        *faults = faults.saturating_add(weight);
        *until = now + MAX_SUSPICION.min(INITIAL_SUSPICION << (*faults - 1).min(16));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn suspicion_doubles_with_consecutive_faults_and_corruption_weighs_more() {
        let (mut suspects, peer, store) =
            (SuspectSources::default(), Source::Peer(1), Source::Store);
        suspects.fetch_failed(peer, 0);
        suspects.fetch_failed(peer, 1);
        assert!(
            !suspects.is_trusted(peer, INITIAL_SUSPICION - 1)
                && suspects.is_trusted(peer, INITIAL_SUSPICION),
            "two concurrent failures count as one fault"
        );
        suspects.fetch_failed(peer, INITIAL_SUSPICION);
        assert!(
            !suspects.is_trusted(peer, 3 * INITIAL_SUSPICION - 1)
                && suspects.is_trusted(peer, 3 * INITIAL_SUSPICION)
        );
        suspects.sent_corrupt(store, 0);
        assert!(
            !suspects.is_trusted(store, 4 * INITIAL_SUSPICION - 1)
                && suspects.is_trusted(store, 4 * INITIAL_SUSPICION)
        );
        (0..40).for_each(|n| suspects.sent_corrupt(store, n));
        assert!(suspects.is_trusted(store, MAX_SUSPICION + 40));
        suspects.fetch_succeeded(store);
        suspects.fetch_failed(store, 100);
        assert!(suspects.is_trusted(store, 100 + INITIAL_SUSPICION));
    }
}
