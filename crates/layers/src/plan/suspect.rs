//! Whom not to ask for a while: sources that broke, hung or sent damaged bytes.

use super::Source;
use saltdrum::interface::{SECOND, Ticks};
use std::collections::BTreeMap;

const INITIAL_SUSPICION: Ticks = SECOND / 2;
const MAX_SUSPICION: Ticks = 60 * SECOND;
/// Damaged bytes count for so many broken fetches: they cost the fetch and tell of a bad disk or worse.
const CORRUPTION_WEIGHT: u32 = 3;

/// A time that doubles with each fault in a row.
#[derive(Clone, Debug, Default)]
pub struct SuspectSources {
    faults: BTreeMap<Source, (u32, Ticks)>,
}

impl SuspectSources {
    pub fn is_trusted(&self, source: Source, now: Ticks) -> bool {
        self.faults
            .get(&source)
            .is_none_or(|(_, until)| now >= *until)
    }

    pub fn fetch_failed(&mut self, source: Source, now: Ticks) {
        self.record_fault(source, now, 1);
    }

    pub fn sent_corrupt(&mut self, source: Source, now: Ticks) {
        self.record_fault(source, now, CORRUPTION_WEIGHT);
    }

    pub fn fetch_succeeded(&mut self, source: Source) {
        self.faults.remove(&source);
    }

    /// It has started anew, or is no more on the list.
    pub fn forget(&mut self, source: Source) {
        self.faults.remove(&source);
    }

    fn record_fault(&mut self, source: Source, now: Ticks, weight: u32) {
        let (faults, until) = self.faults.entry(source).or_default();
        // Those asked together fail together: one fault.
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
    fn suspicion_grows_with_faults_in_a_row_and_damage_weighs_more() {
        let (mut s, a, b) = (SuspectSources::default(), Source::Peer(1), Source::Store);
        s.fetch_failed(a, 0);
        s.fetch_failed(a, 1);
        assert!(
            !s.is_trusted(a, INITIAL_SUSPICION - 1) && s.is_trusted(a, INITIAL_SUSPICION),
            "two that failed together are one fault"
        );
        s.fetch_failed(a, INITIAL_SUSPICION);
        assert!(
            !s.is_trusted(a, 3 * INITIAL_SUSPICION - 1) && s.is_trusted(a, 3 * INITIAL_SUSPICION)
        );
        s.sent_corrupt(b, 0);
        assert!(
            !s.is_trusted(b, 4 * INITIAL_SUSPICION - 1) && s.is_trusted(b, 4 * INITIAL_SUSPICION)
        );
        (0..40).for_each(|n| s.sent_corrupt(b, n));
        assert!(s.is_trusted(b, MAX_SUSPICION + 40));
        s.fetch_succeeded(b);
        s.fetch_failed(b, 100);
        assert!(s.is_trusted(b, 100 + INITIAL_SUSPICION));
    }
}
