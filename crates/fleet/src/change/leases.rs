//! Changes to the set of leases, and their assignment to holders.

use super::outcome::{
    CHANGED, ChangeOutcome, MAX_ID_BYTES, MAX_TEXT_BYTES, Refusal, UNCHANGED, check_text,
};
use crate::leases::{InvalidLease, MAX_LEASES, MAX_RESOURCES_PER_LEASE};
use crate::state::{Epoch, Fleet, HistoryEntry, Lease, LeaseName, LeaseState, LeaseTerms};
use std::collections::BTreeMap;

impl LeaseTerms {
    /// Checks that the terms are valid for the lease.
    pub fn validate(&self, lease: &LeaseName) -> Result<(), Refusal> {
        check_text("lease", &lease.0, MAX_ID_BYTES)?;
        check_text("task", &self.task, MAX_ID_BYTES)?;
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
            .try_for_each(|name| check_text("resource", name, MAX_TEXT_BYTES))
    }
}

impl Fleet {
    /// Replaces the set of leases. A lease whose terms change is granted again; epochs continue to increase.
    pub(super) fn set_leases(
        &mut self,
        leases: &BTreeMap<LeaseName, LeaseTerms>,
        by: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, MAX_TEXT_BYTES)?;
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
        let current: BTreeMap<_, _> = self
            .leases
            .iter()
            .map(|(name, lease)| (name, &lease.terms))
            .collect();
        if current.into_iter().eq(leases.iter()) {
            return UNCHANGED;
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

    /// Revokes the lease from its holder and grants it to nobody until it is resumed.
    pub(super) fn pause_lease(
        &mut self,
        name: &LeaseName,
        by: &str,
        why: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, MAX_TEXT_BYTES)?;
        check_text("why", why, MAX_TEXT_BYTES)?;
        if matches!(self.lease(name)?.state, LeaseState::Paused { .. }) {
            return UNCHANGED;
        }
        let epoch = self.next_epoch();
        let state = LeaseState::Paused {
            by: by.to_owned(),
            why: why.to_owned(),
            epoch,
        };
        self.enter_lease_state(name, state, epoch, self.revision + 1);
        CHANGED
    }

    /// Makes a paused lease available again.
    pub(super) fn resume_lease(
        &mut self,
        name: &LeaseName,
        by: &str,
    ) -> Result<ChangeOutcome, Refusal> {
        check_text("by", by, MAX_TEXT_BYTES)?;
        let lease = self.lease(name)?;
        if !matches!(lease.state, LeaseState::Paused { .. }) {
            return UNCHANGED;
        }
        let epoch = lease.epoch;
        self.enter_lease_state(name, LeaseState::Vacant, epoch, self.revision + 1);
        CHANGED
    }

    /// Checks that the epoch is the lease's latest. As a change it takes a full round, so the answer reflects the value of a
    /// quorum.
    pub(super) fn confirm_epoch(
        &mut self,
        name: &LeaseName,
        found: Epoch,
    ) -> Result<ChangeOutcome, Refusal> {
        let expected = self.lease(name)?.epoch;
        match expected == found {
            true => UNCHANGED,
            false => Err(Refusal::WrongEpoch {
                lease: name.clone(),
                expected,
                found,
            }),
        }
    }

    /// Revokes leases from holders that lost them by the change just made, and grants vacant leases to eligible members.
    pub(super) fn reassign_leases(&mut self) {
        for name in self.revoked_leases() {
            let epoch = self.leases[&name].epoch;
            self.enter_lease_state(&name, LeaseState::Vacant, epoch, self.revision);
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
            // Each history entry has its own revision.
            self.revision += 1;
            let state = LeaseState::Held {
                holder,
                incarnation,
                epoch,
            };
            self.enter_lease_state(&name, state, epoch, self.revision);
            let description = format!("lease {name} goes to {holder}, epoch {epoch}");
            self.history.push_back(HistoryEntry {
                revision: self.revision,
                description,
            });
        }
    }

    /// Leases whose holders may no longer keep them.
    fn revoked_leases(&self) -> Vec<LeaseName> {
        let is_revoked = |lease: &Lease| match lease.state {
            LeaseState::Held {
                holder,
                incarnation,
                ..
            } => self
                .members
                .get(&holder)
                .is_none_or(|member| !lease.may_be_kept_by(member, incarnation)),
            LeaseState::Vacant | LeaseState::Paused { .. } => false,
        };
        self.leases
            .iter()
            .filter(|(_, lease)| is_revoked(lease))
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn lease(&self, name: &LeaseName) -> Result<&Lease, Refusal> {
        self.leases
            .get(name)
            .ok_or_else(|| Refusal::UnknownLease(name.clone()))
    }

    /// Issues the next epoch. All leases share one counter, so a lease that is removed and added again never reuses an epoch.
    fn next_epoch(&mut self) -> Epoch {
        self.lease_epochs += 1;
        self.lease_epochs
    }

    /// Moves a lease into a state.
    fn enter_lease_state(&mut self, name: &LeaseName, state: LeaseState, epoch: Epoch, since: u64) {
        let Some(lease) = self.leases.get_mut(name) else {
            return;
        };
        lease.grants += u64::from(matches!(state, LeaseState::Held { .. }));
        (lease.state, lease.epoch, lease.since) = (state, epoch, since);
    }
}
