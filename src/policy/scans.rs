//! Counts of the table entries that the policy examines one after the other. They tell which work grows with the number
//! of functions.

use crate::interface::ScanCounts;

/// Why entries are examined.
#[derive(Clone, Copy)]
pub(super) enum ScanPurpose {
    /// To find the instances to unload before a load.
    Unload,
    /// To expire entries, and to size and fill the pools, in a timer.
    Timer,
}

/// Counts examined entries, in total and within the current event.
#[derive(Default)]
pub(super) struct ScanCounter {
    counts: ScanCounts,
    in_event: u64,
}

impl ScanCounter {
    /// Begins a new event.
    pub(super) fn begin_event(&mut self) {
        self.in_event = 0;
    }

    /// Counts examined entries.
    pub(super) fn record(&mut self, purpose: ScanPurpose, entries: usize) {
        let entries = entries as u64;
        let count = match purpose {
            ScanPurpose::Unload => &mut self.counts.unload,
            ScanPurpose::Timer => &mut self.counts.timers,
        };
        *count += entries;
        self.in_event += entries;
        self.counts.longest_event = self.counts.longest_event.max(self.in_event);
    }

    /// The counts since the start.
    pub(super) fn counts(&self) -> ScanCounts {
        self.counts
    }
}
