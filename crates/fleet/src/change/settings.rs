//! What operators state of the fleet itself: its bounds and its coordinators.

use super::outcome::{ALREADY, CHANGED, ChangeOutcome, Refusal, TEXT_MOST_BYTES, check_text};
use crate::register::{Config, Voter};
use crate::state::{Bound, Fleet};
use std::collections::{BTreeMap, BTreeSet};

/// Bounds that a fleet may have.
const BOUNDS_MOST: usize = 100;

impl Fleet {
    /// Replaces the bounds.
    pub(super) fn state_bounds(
        &mut self,
        bounds: &[Bound],
        by: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, TEXT_MOST_BYTES)?;
        bounds.iter().try_for_each(Bound::validate)?;
        if bounds.len() > BOUNDS_MOST {
            return Err(Refusal::TooMany {
                place: "bounds",
                found: bounds.len(),
                most: BOUNDS_MOST,
            });
        }
        if self.bounds == bounds {
            return ALREADY;
        }
        self.bounds = bounds.to_vec();
        CHANGED
    }

    /// Starts to replace the coordinators; until it is settled both sets decide.
    pub(super) fn change_stewards(
        &mut self,
        voters: &BTreeSet<Voter>,
        at: &BTreeMap<u32, String>,
        by: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, TEXT_MOST_BYTES)?;
        if let Some(v) = voters.iter().find(|v| !at.contains_key(&v.steward)) {
            let found = format!("steward-{}", v.steward);
            return Err(Refusal::InvalidValue {
                place: "voters",
                found,
                expected: "an address for each",
            });
        }
        let done = Config::initial(voters.clone())?;
        if self.config == done {
            return ALREADY;
        }
        self.config = self.config.changing_to(voters.clone())?;
        self.coordinators.extend(at.clone());
        CHANGED
    }

    /// Ends the replacement that `seen` shows, once a quorum holds it.
    pub(super) fn settle_stewards(&mut self, seen: &Config) -> Result<ChangeOutcome, Refusal> {
        if self.config != *seen || !seen.is_changing() {
            return ALREADY;
        }
        self.config = seen.settled()?;
        let voters = self.config.voters();
        self.coordinators
            .retain(|n, _| voters.iter().any(|v| v.steward == *n));
        CHANGED
    }
}
