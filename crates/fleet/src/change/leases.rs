//! Which leases there are and who holds them.

use super::outcome::{
    ALREADY, CHANGED, ChangeOutcome, ID_MOST_BYTES, Refusal, TEXT_MOST_BYTES, check_text,
};
use crate::leases::{InvalidLease, MAX_LEASES, MAX_RESOURCES_PER_LEASE};
use crate::state::{Epoch, Fleet, HistoryEntry, Lease, LeaseName, LeaseState, LeaseTerms};
use std::collections::BTreeMap;

impl LeaseTerms {
    /// Whether this can be stated of a lease of that name.
    pub fn validate(&self, lease: &LeaseName) -> Result<(), Refusal> {
        check_text("lease", &lease.0, ID_MOST_BYTES)?;
        check_text("task", &self.task, ID_MOST_BYTES)?;
        if self.resources.is_empty() {
            return Err(InvalidLease::NoResource {
                lease: lease.clone(),
            }
            .into());
        }
        if self.resources.len() > MAX_RESOURCES_PER_LEASE {
            let (found, most) = (self.resources.len(), MAX_RESOURCES_PER_LEASE);
            return Err(Refusal::TooMany {
                place: "resources",
                found,
                most,
            });
        }
        self.resources
            .iter()
            .try_for_each(|name| check_text("resource", name, TEXT_MOST_BYTES))
    }
}

impl Fleet {
    /// States which leases there are. One that changes its terms is granted anew; epochs go on where they were.
    pub(super) fn state_leases(
        &mut self,
        leases: &BTreeMap<LeaseName, LeaseTerms>,
        by: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, TEXT_MOST_BYTES)?;
        if leases.len() > MAX_LEASES {
            return Err(Refusal::TooMany {
                place: "leases",
                found: leases.len(),
                most: MAX_LEASES,
            });
        }
        leases
            .iter()
            .try_for_each(|(name, terms)| terms.validate(name))?;
        let stated: BTreeMap<_, _> = self
            .leases
            .iter()
            .map(|(name, l)| (name, &l.terms))
            .collect();
        if stated.into_iter().eq(leases.iter()) {
            return ALREADY;
        }
        let since = self.revision + 1;
        self.leases
            .retain(|name, lease| leases.get(name) == Some(&lease.terms));
        for (name, terms) in leases {
            self.leases
                .entry(name.clone())
                .or_insert_with(|| Lease::vacant(terms.clone(), since));
        }
        CHANGED
    }

    /// Takes the lease from its holder and grants it to nobody until it is resumed.
    pub(super) fn pause_lease(
        &mut self,
        name: &LeaseName,
        by: &str,
        why: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, TEXT_MOST_BYTES)?;
        check_text("why", why, TEXT_MOST_BYTES)?;
        if matches!(self.lease(name)?.state, LeaseState::Paused { .. }) {
            return ALREADY;
        }
        let epoch = self.next_epoch();
        let state = LeaseState::Paused {
            by: by.to_owned(),
            why: why.to_owned(),
            epoch,
        };
        self.enter_lease(name, state, epoch, self.revision + 1);
        CHANGED
    }

    /// Lets a paused lease be granted again.
    pub(super) fn resume_lease(
        &mut self,
        name: &LeaseName,
        by: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, TEXT_MOST_BYTES)?;
        let lease = self.lease(name)?;
        if !matches!(lease.state, LeaseState::Paused { .. }) {
            return ALREADY;
        }
        let epoch = lease.epoch;
        self.enter_lease(name, LeaseState::Vacant, epoch, self.revision + 1);
        CHANGED
    }

    /// Whether the epoch is the lease's latest. As a change it goes through a round, so it is answered from what a quorum holds.
    pub(super) fn confirm_epoch(
        &mut self,
        name: &LeaseName,
        found: Epoch,
    ) -> Result<ChangeOutcome, Refusal> {
        let expected = self.lease(name)?.epoch;
        match expected == found {
            true => ALREADY,
            false => Err(Refusal::WrongEpoch {
                lease: name.clone(),
                expected,
                found,
            }),
        }
    }

    /// Takes leases from holders that lost them by the change just made, and grants vacant ones to eligible members.
    pub(super) fn hand_over_leases(&mut self) {
        for name in self.lost_leases() {
            let epoch = self.leases[&name].epoch;
            self.enter_lease(&name, LeaseState::Vacant, epoch, self.revision);
        }
        let vacant = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.state == LeaseState::Vacant);
        let vacant: Vec<LeaseName> = vacant.map(|(name, _)| name.clone()).collect();
        for name in vacant {
            let Some((holder, incarnation)) =
                self.leases[&name].successor(&name, self.members.iter())
            else {
                continue;
            };
            let epoch = self.next_epoch();
            // One line of the history, one revision.
            self.revision += 1;
            let state = LeaseState::Held {
                holder,
                incarnation,
                epoch,
            };
            self.enter_lease(&name, state, epoch, self.revision);
            let description = format!("lease {name} goes to {holder}, epoch {epoch}");
            self.history.push_back(HistoryEntry {
                revision: self.revision,
                description,
            });
        }
    }

    /// Leases whose holders may not keep them.
    fn lost_leases(&self) -> Vec<LeaseName> {
        let is_lost = |lease: &Lease| match lease.state {
            LeaseState::Held {
                holder,
                incarnation,
                ..
            } => self
                .members
                .get(&holder)
                .is_none_or(|member| !lease.stays_with(member, incarnation)),
            LeaseState::Vacant | LeaseState::Paused { .. } => false,
        };
        self.leases
            .iter()
            .filter(|(_, lease)| is_lost(lease))
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn lease(&self, name: &LeaseName) -> Result<&Lease, Refusal> {
        self.leases
            .get(name)
            .ok_or_else(|| Refusal::UnknownLease(name.clone()))
    }

    /// One counter for all leases: a lease that is stated again after it was gone can't use an epoch again.
    fn next_epoch(&mut self) -> Epoch {
        self.lease_epochs += 1;
        self.lease_epochs
    }

    /// Moves a lease into a state.
    fn enter_lease(&mut self, name: &LeaseName, state: LeaseState, epoch: Epoch, since: u64) {
        let Some(lease) = self.leases.get_mut(name) else {
            return;
        };
        lease.grants += u64::from(matches!(state, LeaseState::Held { .. }));
        (lease.state, lease.epoch, lease.since) = (state, epoch, since);
    }
}
