//! Settings of the fleet: its bounds and its set of coordinators.

use super::outcome::{CHANGED, ChangeOutcome, MAX_TEXT_BYTES, Refusal, UNCHANGED, check_text};
use crate::register::{Config, Voter};
use crate::state::{Bound, Fleet};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of bounds of a fleet.
const MAX_BOUNDS: usize = 100;

impl Fleet {
    /// Replaces the bounds.
    pub(super) fn set_bounds(
        &mut self,
        bounds: &[Bound],
        by: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, MAX_TEXT_BYTES)?;
        bounds.iter().try_for_each(Bound::validate)?;
        if bounds.len() > MAX_BOUNDS {
            return Err(Refusal::TooMany {
                place: "bounds",
                found: bounds.len(),
                most: MAX_BOUNDS,
            });
        }
        if self.bounds == bounds {
            return UNCHANGED;
        }
        self.bounds = bounds.to_vec();
        CHANGED
    }

    /// Starts to replace the coordinators. Until the change is settled, both sets must agree.
    pub(super) fn change_coordinators(
        &mut self,
        voters: &BTreeSet<Voter>,
        at: &BTreeMap<u32, String>,
        by: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, MAX_TEXT_BYTES)?;
        if let Some(unlisted) = voters.iter().find(|v| !at.contains_key(&v.steward)) {
            let found = format!("steward-{}", unlisted.steward);
            return Err(Refusal::InvalidValue {
                place: "voters",
                found,
                expected: "an address for each",
            });
        }
        let target = Config::initial(voters.clone())?;
        if self.config == target {
            return UNCHANGED;
        }
        self.config = self.config.changing_to(voters.clone())?;
        self.coordinators.extend(at.clone());
        CHANGED
    }

    /// Completes the replacement in progress in `seen`, a configuration that a quorum is known to hold.
    pub(super) fn settle_coordinators(&mut self, seen: &Config) -> Result<ChangeOutcome, Refusal> {
        if self.config != *seen || !seen.is_changing() {
            return UNCHANGED;
        }
        self.config = seen.settled()?;
        let voters = self.config.voters();
        self.coordinators
            .retain(|number, _| voters.iter().any(|v| v.steward == *number));
        CHANGED
    }
}
