//! Fencing: seals and fencing tokens that keep the effects of a lease exclusive at the resources, as state machines without
//! I/O.
//!
//! Guarantee: no effect of a task is accepted from a holder once a later holder's first effect has been accepted anywhere. It
//! rests on these rules:
//!
//! 1. A holder seals every resource of the task with its epoch before its first effect anywhere ([`HolderFence::token`]).
//! 2. A resource is sealed once the epoch is on its disk, and from then on accepts only that epoch ([`Fence::admit`]).
//! 3. A restarted resource accepts no effect until it is sealed again, and has the first seal of its incarnation confirmed by
//!    a quorum of the fleet ([`SealStep::Confirm`]), because its disk may be an old copy.
//!
//! So when a later holder makes an effect, every resource is sealed to its epoch, is unsealed, or is sealed to a later epoch.
//! None of this depends on a clock.

use crate::state::{Epoch, LeaseName, ResourceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The fencing token sent with each effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// The lease of the task.
    pub lease: LeaseName,
    /// The epoch of the holder's grant.
    pub epoch: Epoch,
    /// The incarnation of the resource when it was sealed. Effects still in flight to a former incarnation are rejected.
    pub incarnation: u64,
}

/// Why a resource rejected an effect or a seal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "why", rename_all = "kebab-case")]
pub enum Rejection {
    /// The resource has not been sealed since it started.
    #[error("not sealed since it started")]
    Unsealed,
    /// The resource is sealed to another epoch.
    #[error("sealed to epoch {expected}, {found} was given")]
    Epoch {
        /// The sealed epoch.
        expected: Epoch,
        /// The epoch of the request.
        found: Epoch,
    },
    /// The resource has restarted since the seal.
    #[error("incarnation {expected:x} is here, {found:x} was meant")]
    Incarnation {
        /// The current incarnation of the resource.
        expected: u64,
        /// The incarnation in the token.
        found: u64,
    },
    /// The resource belongs to the task of another lease.
    #[error("another lease than {expected}")]
    Lease {
        /// The resource's lease.
        expected: LeaseName,
    },
}

/// The next step of a resource to complete a requested seal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealStep {
    /// It is already sealed to this epoch.
    Done,
    /// Have a quorum confirm that this epoch is the lease's current one, then call [`Fence::after_confirmation`].
    Confirm,
    /// Write the epoch to disk and sync, then call [`Fence::record_write`].
    Write,
}

/// The fence of a resource for one lease, in one incarnation of the resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fence {
    lease: LeaseName,
    incarnation: u64,
    /// The epoch on disk; 0: none.
    durable: Epoch,
    /// The epoch sealed in this incarnation.
    sealed: Option<Epoch>,
}

impl Fence {
    /// The fence of a resource that has just started. `incarnation` was never used before; `durable` is the epoch on its disk.
    pub fn new(lease: LeaseName, incarnation: u64, durable: Epoch) -> Self {
        Self {
            lease,
            incarnation,
            durable,
            sealed: None,
        }
    }

    /// The incarnation of the resource that this fence belongs to.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The epoch whose effects are accepted; `None`: no effect is accepted.
    pub fn sealed_epoch(&self) -> Option<Epoch> {
        self.sealed
    }

    /// The epoch on disk.
    pub fn durable_epoch(&self) -> Epoch {
        self.durable
    }

    /// Starts a seal to an epoch; returns the next step.
    pub fn seal(&self, epoch: Epoch) -> Result<SealStep, Rejection> {
        if self.sealed == Some(epoch) {
            return Ok(SealStep::Done);
        }
        self.check_not_older(epoch)?;
        Ok(if self.sealed.is_none() {
            SealStep::Confirm
        } else {
            SealStep::Write
        })
    }

    /// Continues a seal after a quorum has confirmed the epoch. Another seal may have completed meanwhile.
    pub fn after_confirmation(&self, epoch: Epoch) -> Result<SealStep, Rejection> {
        if self.sealed == Some(epoch) {
            return Ok(SealStep::Done);
        }
        self.check_not_older(epoch)?;
        Ok(SealStep::Write)
    }

    /// Records that the epoch is on disk. Writes of one fence must not overlap.
    pub fn record_write(&mut self, epoch: Epoch) {
        assert!(
            epoch >= self.durable,
            "epoch {epoch} is older than the durable epoch {}",
            self.durable
        );
        (self.durable, self.sealed) = (epoch, Some(epoch));
    }

    /// Records that the write of a seal failed. The epoch on disk is then unknown, so no effect is accepted before the next
    /// seal.
    pub fn record_write_failure(&mut self) {
        self.sealed = None;
    }

    /// Checks that an effect may be made. Must be checked in the same transaction as the effect.
    pub fn admit(&self, token: &Token) -> Result<(), Rejection> {
        if token.lease != self.lease {
            return Err(Rejection::Lease {
                expected: self.lease.clone(),
            });
        }
        let expected = self.sealed.ok_or(Rejection::Unsealed)?;
        if token.epoch != expected {
            return Err(Rejection::Epoch {
                expected,
                found: token.epoch,
            });
        }
        if token.incarnation != self.incarnation {
            return Err(Rejection::Incarnation {
                expected: self.incarnation,
                found: token.incarnation,
            });
        }
        Ok(())
    }

    fn check_not_older(&self, found: Epoch) -> Result<(), Rejection> {
        let expected = self.sealed.unwrap_or(0).max(self.durable);
        if found < expected {
            Err(Rejection::Epoch { expected, found })
        } else {
            Ok(())
        }
    }
}

/// The fencing state of a holder, for one grant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderFence {
    lease: LeaseName,
    epoch: Epoch,
    /// For each resource of the task, the incarnation in which it was sealed.
    seals: BTreeMap<ResourceName, Option<u64>>,
    is_superseded: bool,
}

impl HolderFence {
    /// The state for a new grant, with no resource sealed yet.
    pub fn new(lease: LeaseName, epoch: Epoch, resources: &BTreeSet<ResourceName>) -> Self {
        let seals = resources.iter().map(|name| (name.clone(), None)).collect();
        Self {
            lease,
            epoch,
            seals,
            is_superseded: false,
        }
    }

    /// The lease that was granted.
    pub fn lease(&self) -> &LeaseName {
        &self.lease
    }

    /// The epoch of the grant.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether a resource is sealed to a later epoch, so that no further effect of this grant would be accepted.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// All resources of the task.
    pub fn resources(&self) -> impl Iterator<Item = &ResourceName> {
        self.seals.keys()
    }

    /// Resources that must be sealed before the first effect.
    pub fn unsealed_resources(&self) -> impl Iterator<Item = &ResourceName> {
        self.seals
            .iter()
            .filter(|(_, incarnation)| incarnation.is_none())
            .map(|(name, _)| name)
    }

    /// Records that a resource is sealed to this epoch, in this incarnation of the resource.
    pub fn record_seal(&mut self, resource: &str, incarnation: u64) {
        if let Some(sealed_in) = self.seals.get_mut(resource) {
            *sealed_in = Some(incarnation);
        }
    }

    /// Records that a resource has rejected a seal or an effect.
    pub fn record_rejection(&mut self, resource: &str, why: &Rejection) {
        match why {
            Rejection::Epoch { expected, .. } if *expected > self.epoch => {
                self.is_superseded = true
            }
            _ => drop(self.seals.get_mut(resource).and_then(Option::take)),
        }
    }

    /// The token for an effect on a resource; `None` while any resource of the task is not sealed.
    pub fn token(&self, resource: &str) -> Option<Token> {
        let is_sealed_everywhere = self.seals.values().all(Option::is_some);
        let incarnation =
            (*self.seals.get(resource)?).filter(|_| is_sealed_everywhere && !self.is_superseded)?;
        Some(Token {
            lease: self.lease.clone(),
            epoch: self.epoch,
            incarnation,
        })
    }
}
