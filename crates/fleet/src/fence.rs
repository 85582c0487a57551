//! How a lease's effects are kept exclusive where they happen: seals and fencing tokens, as state machines without I/O.
//!
//! Promised: no effect of a task is accepted from a holder once a later holder's first effect has been accepted anywhere.
//! What holds it, in order:
//!
//! 1. A holder seals every resource of the task with its epoch before its first effect anywhere ([`HolderFence::token`]).
//! 2. A resource is sealed when the epoch is on its disk, and from then on accepts that epoch alone ([`Fence::admit`]).
//! 3. A resource that has started accepts nothing until it is sealed anew, and has the first seal of its incarnation confirmed by a
//!    quorum of the fleet ([`SealStep::Confirm`]): its disk may be an old copy.
//!
//! So when a later holder acts, every resource is sealed to it, is not sealed at all, or was sealed to one later still. None of
//! it rests on a clock.

use crate::state::{Epoch, LeaseName, ResourceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What every effect carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// The lease of the task.
    pub lease: LeaseName,
    /// Of the holder's grant.
    pub epoch: Epoch,
    /// Of the resource, at the seal: an effect that was on its way to a former incarnation is not accepted.
    pub incarnation: u64,
}

/// Why a resource did not accept an effect, or did not let itself be sealed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "why", rename_all = "kebab-case")]
pub enum Rejection {
    /// No epoch is accepted before the first seal.
    #[error("not sealed since it started")]
    Unsealed,
    /// Another epoch is sealed.
    #[error("sealed to epoch {expected}, {found} was given")]
    Epoch {
        /// The sealed one.
        expected: Epoch,
        /// The one given.
        found: Epoch,
    },
    /// The resource has restarted since the seal.
    #[error("incarnation {expected:x} is here, {found:x} was meant")]
    Incarnation {
        /// The resource's.
        expected: u64,
        /// The one given.
        found: u64,
    },
    /// The resource belongs to the task of another lease.
    #[error("another lease than {expected}")]
    Lease {
        /// The resource's lease.
        expected: LeaseName,
    },
}

/// What a resource has to do about a seal that it was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealStep {
    /// It is sealed so already.
    Done,
    /// DrainRequest a quorum whether this epoch is the lease's, then call [`Fence::after_confirmation`].
    Confirm,
    /// Write the epoch to the disk, synced, then call [`Fence::record_write`].
    Write,
}

/// A resource's side of one lease, in one incarnation of the resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fence {
    lease: LeaseName,
    incarnation: u64,
    /// The epoch on the disk; 0: none.
    durable: Epoch,
    /// Sealed in this incarnation.
    sealed: Option<Epoch>,
}

impl Fence {
    /// A resource that has just started: `incarnation` was never used before, `durable` is what its disk has.
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

    /// The epoch whose effects are accepted; none: no effect is.
    pub fn sealed_epoch(&self) -> Option<Epoch> {
        self.sealed
    }

    /// The epoch on the disk.
    pub fn durable_epoch(&self) -> Epoch {
        self.durable
    }

    /// A seal was asked for.
    pub fn seal(&self, epoch: Epoch) -> Result<SealStep, Rejection> {
        if self.sealed == Some(epoch) {
            return Ok(SealStep::Done);
        }
        self.is_not_older(epoch)?;
        Ok(if self.sealed.is_none() {
            SealStep::Confirm
        } else {
            SealStep::Write
        })
    }

    /// A quorum has confirmed the epoch. Another seal may have come first.
    pub fn after_confirmation(&self, epoch: Epoch) -> Result<SealStep, Rejection> {
        if self.sealed == Some(epoch) {
            return Ok(SealStep::Done);
        }
        self.is_not_older(epoch)?;
        Ok(SealStep::Write)
    }

    /// The epoch is on the disk. Writes of one fence come one after the other.
    pub fn record_write(&mut self, epoch: Epoch) {
        assert!(
            epoch >= self.durable,
            "epoch {epoch} was written over {}",
            self.durable
        );
        (self.durable, self.sealed) = (epoch, Some(epoch));
    }

    /// A write of a seal failed: what the disk has is not known, so nothing is accepted before the next seal.
    pub fn record_write_failure(&mut self) {
        self.sealed = None;
    }

    /// Whether an effect may be made. To be checked in the same transaction as the effect.
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

    fn is_not_older(&self, found: Epoch) -> Result<(), Rejection> {
        let expected = self.sealed.unwrap_or(0).max(self.durable);
        if found < expected {
            Err(Rejection::Epoch { expected, found })
        } else {
            Ok(())
        }
    }
}

/// A holder's side of one grant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderFence {
    lease: LeaseName,
    epoch: Epoch,
    /// For each resource of the task the incarnation that it was sealed in.
    seals: BTreeMap<ResourceName, Option<u64>>,
    is_superseded: bool,
}

impl HolderFence {
    /// A grant of which nothing was done yet.
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

    /// A resource has accepted a later epoch: nothing that this grant still does would be accepted.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// All resources of the task.
    pub fn resources(&self) -> impl Iterator<Item = &ResourceName> {
        self.seals.keys()
    }

    /// Resources that are to be sealed before anything else is done.
    pub fn unsealed_resources(&self) -> impl Iterator<Item = &ResourceName> {
        self.seals
            .iter()
            .filter(|(_, life)| life.is_none())
            .map(|(name, _)| name)
    }

    /// A resource says that it is sealed to this epoch, in this incarnation.
    pub fn record_seal(&mut self, resource: &str, incarnation: u64) {
        if let Some(life) = self.seals.get_mut(resource) {
            *life = Some(incarnation);
        }
    }

    /// A resource has rejected a seal or an effect.
    pub fn record_rejection(&mut self, resource: &str, why: &Rejection) {
        match why {
            Rejection::Epoch { expected, .. } if *expected > self.epoch => {
                self.is_superseded = true
            }
            _ => drop(self.seals.get_mut(resource).and_then(Option::take)),
        }
    }

    /// What an effect on a resource has to carry; none while any resource of the task is not sealed.
    pub fn token(&self, resource: &str) -> Option<Token> {
        let all_are_sealed = self.seals.values().all(Option::is_some);
        let incarnation =
            (*self.seals.get(resource)?).filter(|_| all_are_sealed && !self.is_superseded)?;
        Some(Token {
            lease: self.lease.clone(),
            epoch: self.epoch,
            incarnation,
        })
    }
}
