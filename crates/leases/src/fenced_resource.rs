//! A resource's side of its leases. A seal raises the fence: it is on disk before it is answered, and the first of each
//! incarnation is confirmed by a quorum of coordinators.

use crate::messages::{REJECTED, UNCONFIRMED, UNWRITABLE, rejection_text};
use saltdrum::interface::{SECOND, Ticks};
use saltdrum_coordinator::rpc_client::{CallError, RpcClient};
use saltdrum_coordinator::server::RpcError;
use saltdrum_coordinator::wire::{ChangeReply, ChangeRequest, REFUSED};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::fence::{Fence, Rejection, SealStep, Token};
use saltdrum_fleet::state::{Epoch, LeaseName};
use std::cell::RefCell;
use std::collections::BTreeMap;
use tracing::{info, warn};

/// How long one coordinator may take to confirm an epoch.
const CONFIRM_TIMEOUT: Ticks = 4 * SECOND;

/// Where a resource keeps its seals. Both are synced when they return.
pub trait SealStore {
    /// The epoch that is on the disk for a lease; 0: none.
    fn sealed_epoch(&self, lease: &LeaseName) -> Result<Epoch, String>;
    /// Writes the epoch of a lease.
    fn write_seal(&self, lease: &LeaseName, epoch: Epoch) -> Result<(), String>;
}

/// Why a resource was not sealed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The epoch is not the one to accept.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// No quorum confirmed the epoch, or another one is the lease's.
    #[error("epoch {epoch} was not confirmed: {reason}")]
    Unconfirmed {
        /// The epoch that was given.
        epoch: Epoch,
        /// The last answer.
        reason: String,
    },
    /// The disk failed.
    #[error("the seal can't be written: {0}")]
    Unwritable(String),
}

impl SealError {
    /// The error as it goes over the wire.
    pub fn to_rpc_error(&self) -> RpcError {
        match self {
            Self::Rejected(why) => (REJECTED, rejection_text(why)),
            Self::Unconfirmed { .. } => (UNCONFIRMED, self.to_string()),
            Self::Unwritable(_) => (UNWRITABLE, self.to_string()),
        }
    }
}

/// The fences of a resource, one for each lease that has sealed it.
pub struct FencedResource {
    incarnation: u64,
    fences: RefCell<BTreeMap<LeaseName, Fence>>,
    stewards: Vec<RpcClient>,
}

impl FencedResource {
    /// A resource that has just started; `incarnation` was never used before.
    pub fn new(incarnation: u64, stewards: Vec<RpcClient>) -> Self {
        Self {
            incarnation,
            fences: RefCell::default(),
            stewards,
        }
    }

    /// Seals the resource: afterwards it accepts this epoch of the lease alone. Returns the resource's incarnation.
    pub async fn seal(
        &self,
        store: &impl SealStore,
        lease: &LeaseName,
        epoch: Epoch,
    ) -> Result<u64, SealError> {
        let durable = store.sealed_epoch(lease).map_err(SealError::Unwritable)?;
        let started = || Fence::new(lease.clone(), self.incarnation, durable);
        let step = self
            .fences
            .borrow_mut()
            .entry(lease.clone())
            .or_insert_with(started)
            .seal(epoch)?;
        let step = match step {
            SealStep::Confirm => {
                self.confirm(lease, epoch).await?;
                // Others may have sealed it meanwhile.
                self.fences.borrow()[lease].after_confirmation(epoch)?
            }
            step => step,
        };
        if step == SealStep::Write {
            self.write(store, lease, epoch)?;
        }
        Ok(self.incarnation)
    }

    fn write(
        &self,
        store: &impl SealStore,
        lease: &LeaseName,
        epoch: Epoch,
    ) -> Result<(), SealError> {
        let written = store.write_seal(lease, epoch);
        if let Some(fence) = self.fences.borrow_mut().get_mut(lease) {
            match &written {
                Ok(()) => fence.record_write(epoch),
                Err(_) => fence.record_write_failure(),
            }
        }
        written.map_err(SealError::Unwritable)?;
        info!(%lease, epoch, "sealed");
        Ok(())
    }

    /// Whether an effect may be made now.
    pub fn admit(&self, token: &Token) -> Result<(), Rejection> {
        let fences = self.fences.borrow();
        fences
            .get(&token.lease)
            .ok_or(Rejection::Unsealed)?
            .admit(token)
    }

    /// Epochs that this incarnation is sealed to.
    pub fn sealed_epochs(&self) -> BTreeMap<LeaseName, Epoch> {
        let fences = self.fences.borrow();
        fences
            .iter()
            .filter_map(|(lease, fence)| Some((lease.clone(), fence.sealed_epoch()?)))
            .collect()
    }

    /// Asks coordinators, one after the other, to have it agreed that this epoch is the lease's.
    async fn confirm(&self, lease: &LeaseName, epoch: Epoch) -> Result<(), SealError> {
        let mut last = "no steward is known".to_owned();
        for steward in &self.stewards {
            let change = Change::ConfirmEpoch {
                lease: lease.clone(),
                epoch,
            };
            match steward
                .call::<ChangeReply>("change", &ChangeRequest { change }, CONFIRM_TIMEOUT)
                .await
            {
                Ok(_) => return Ok(()),
                Err(CallError::ErrorReply {
                    code: REFUSED,
                    message,
                }) => {
                    return Err(SealError::Unconfirmed {
                        epoch,
                        reason: message,
                    });
                }
                Err(why) => last = why.to_string(),
            }
        }
        warn!(%lease, epoch, last, "seal not confirmed by a quorum");
        Err(SealError::Unconfirmed {
            epoch,
            reason: last,
        })
    }
}
