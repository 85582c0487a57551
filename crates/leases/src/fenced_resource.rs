//! The resource's side of leases. A seal raises the fence of a lease: it is on disk before the request is answered, and the first
//! seal of each incarnation of the resource is confirmed by a quorum of coordinators.

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

/// Time that one coordinator has to confirm an epoch.
const CONFIRM_TIMEOUT: Ticks = 4 * SECOND;

/// Durable storage of a resource's seals.
pub trait SealStore {
    /// The epoch that is on disk for a lease; 0: none.
    fn sealed_epoch(&self, lease: &LeaseName) -> Result<Epoch, String>;
    /// Writes the epoch of a lease, which is on disk when this returns.
    fn write_seal(&self, lease: &LeaseName, epoch: Epoch) -> Result<(), String>;
}

/// Why a resource could not be sealed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The fence rejected the epoch.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// No quorum confirmed the epoch, or the lease has another epoch.
    #[error("epoch {epoch} was not confirmed: {reason}")]
    Unconfirmed {
        /// The epoch to confirm.
        epoch: Epoch,
        /// The last coordinator's error.
        reason: String,
    },
    /// The disk failed.
    #[error("the seal can't be written: {0}")]
    Unwritable(String),
}

impl SealError {
    /// The error as it is sent to the holder.
    pub fn to_rpc_error(&self) -> RpcError {
        match self {
            Self::Rejected(rejection) => (REJECTED, rejection_text(rejection)),
            Self::Unconfirmed { .. } => (UNCONFIRMED, self.to_string()),
            Self::Unwritable(_) => (UNWRITABLE, self.to_string()),
        }
    }
}

/// The fences of a resource, one for each lease that has sealed it.
pub struct FencedResource {
    incarnation: u64,
    fences: RefCell<BTreeMap<LeaseName, Fence>>,
    coordinators: Vec<RpcClient>,
}

impl FencedResource {
    /// Creates a resource that has just started; `incarnation` was never used before.
    pub fn new(incarnation: u64, coordinators: Vec<RpcClient>) -> Self {
        Self {
            incarnation,
            fences: RefCell::default(),
            coordinators,
        }
    }

    /// Seals the resource: from then on it accepts only this epoch of the lease. Returns the resource's incarnation.
    pub async fn seal(
        &self,
        store: &impl SealStore,
        lease: &LeaseName,
        epoch: Epoch,
    ) -> Result<u64, SealError> {
        let epoch_on_disk = store.sealed_epoch(lease).map_err(SealError::Unwritable)?;
        let new_fence = || Fence::new(lease.clone(), self.incarnation, epoch_on_disk);
        let step = self
            .fences
            .borrow_mut()
            .entry(lease.clone())
            .or_insert_with(new_fence)
            .seal(epoch)?;
        let step = match step {
            SealStep::Confirm => {
                self.confirm(lease, epoch).await?;
                // Another holder may have sealed the resource in the meantime.
                self.fences.borrow()[lease].after_confirmation(epoch)?
            }
            step => step,
        };
        if step == SealStep::Write {
            self.write_seal(store, lease, epoch)?;
        }
        Ok(self.incarnation)
    }

    fn write_seal(
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

    /// Checks the token of an effect: whether the effect may be made now.
    pub fn admit(&self, token: &Token) -> Result<(), Rejection> {
        let fences = self.fences.borrow();
        fences
            .get(&token.lease)
            .ok_or(Rejection::Unsealed)?
            .admit(token)
    }

    /// The epochs that this incarnation is sealed to.
    pub fn sealed_epochs(&self) -> BTreeMap<LeaseName, Epoch> {
        let fences = self.fences.borrow();
        fences
            .iter()
            .filter_map(|(lease, fence)| Some((lease.clone(), fence.sealed_epoch()?)))
            .collect()
    }

    /// Asks the coordinators, one after the other, to get it agreed that this is the lease's epoch.
    async fn confirm(&self, lease: &LeaseName, epoch: Epoch) -> Result<(), SealError> {
        let mut last_error = "no steward is known".to_owned();
        for coordinator in &self.coordinators {
            let change = Change::ConfirmEpoch {
                lease: lease.clone(),
                epoch,
            };
            match coordinator
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
                Err(error) => last_error = error.to_string(),
            }
        }
        warn!(%lease, epoch, last = last_error, "seal not confirmed by a quorum");
        Err(SealError::Unconfirmed {
            epoch,
            reason: last_error,
        })
    }
}
