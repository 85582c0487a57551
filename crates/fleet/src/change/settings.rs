//! What operators state of the fleet itself: its bounds and the stewards that hold it.

use super::outcome::{ALREADY, CHANGED, Done, Refusal, TEXT_MOST_BYTES, text};
use crate::register::{Config, Voter};
use crate::state::{Bound, Fleet};
use std::collections::{BTreeMap, BTreeSet};

const BOUNDS_MOST: usize = 100;

impl Fleet {
    pub(super) fn state_bounds(&mut self, bounds: &[Bound], by: &str) -> Result<Done, Refusal> {
        text("by", by, TEXT_MOST_BYTES)?;
        bounds.iter().try_for_each(Bound::fits)?;
        if bounds.len() > BOUNDS_MOST {
            return Err(Refusal::Many {
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

    pub(super) fn change_stewards(
        &mut self,
        voters: &BTreeSet<Voter>,
        at: &BTreeMap<u32, String>,
        by: &str,
    ) -> Result<Done, Refusal> {
        text("by", by, TEXT_MOST_BYTES)?;
        if let Some(v) = voters.iter().find(|v| !at.contains_key(&v.steward)) {
            let found = format!("steward-{}", v.steward);
            return Err(Refusal::Value {
                place: "voters",
                found,
                expected: "an address for each",
            });
        }
        let done = Config::founding(voters.clone())?;
        if self.config == done {
            return ALREADY;
        }
        self.config = self.config.changing_to(voters.clone())?;
        self.stewards.extend(at.clone());
        CHANGED
    }

    pub(super) fn settle_stewards(&mut self, seen: &Config) -> Result<Done, Refusal> {
        if self.config != *seen || !seen.is_changing() {
            return ALREADY;
        }
        self.config = seen.settled()?;
        let voters = self.config.voters();
        self.stewards
            .retain(|n, _| voters.iter().any(|v| v.steward == *n));
        CHANGED
    }
}
