//! Whom not to ask for a while: sources that broke, hung or sent damaged bytes.

use super::Source;
use saltdrum::interface::{SECOND, Ticks};
use std::collections::BTreeMap;

const FIRST: Ticks = SECOND / 2;
const MOST: Ticks = 60 * SECOND;
/// Damaged bytes count for so many broken fetches: they cost the fetch and tell of a bad disk or worse.
const DAMAGE: u32 = 3;

/// A time that doubles with each fault in a row.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    faults: BTreeMap<Source, (u32, Ticks)>,
}

impl Suspects {
    pub fn trusted(&self, source: Source, now: Ticks) -> bool {
        self.faults
            .get(&source)
            .is_none_or(|(_, until)| now >= *until)
    }

    pub fn broke(&mut self, source: Source, now: Ticks) {
        self.count(source, now, 1);
    }

    pub fn damaged(&mut self, source: Source, now: Ticks) {
        self.count(source, now, DAMAGE);
    }

    pub fn well(&mut self, source: Source) {
        self.faults.remove(&source);
    }

    /// It has started anew, or is no more on the list.
    pub fn forget(&mut self, source: Source) {
        self.faults.remove(&source);
    }

    fn count(&mut self, source: Source, now: Ticks, by: u32) {
        let (faults, until) = self.faults.entry(source).or_default();
        // Those asked together fail together: one fault.
        if now < *until && by == 1 {
            return;
        }
        *faults = faults.saturating_add(by);
        *until = now + MOST.min(FIRST << (*faults - 1).min(16));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn suspicion_grows_with_faults_in_a_row_and_damage_weighs_more() {
        let (mut s, a, b) = (Suspects::default(), Source::Peer(1), Source::Store);
        s.broke(a, 0);
        s.broke(a, 1);
        assert!(
            !s.trusted(a, FIRST - 1) && s.trusted(a, FIRST),
            "two that failed together are one fault"
        );
        s.broke(a, FIRST);
        assert!(!s.trusted(a, 3 * FIRST - 1) && s.trusted(a, 3 * FIRST));
        s.damaged(b, 0);
        assert!(!s.trusted(b, 4 * FIRST - 1) && s.trusted(b, 4 * FIRST));
        (0..40).for_each(|n| s.damaged(b, n));
        assert!(s.trusted(b, MOST + 40));
        s.well(b);
        s.broke(b, 100);
        assert!(s.trusted(b, 100 + FIRST));
    }
}
