//! The holder's side of leases. A holder first seals every resource of the task, then runs the task with tokens for as long as it
//! holds the lease.

use crate::messages::{Effect, REJECTED, Seal, Sealed};
use saltdrum::interface::{MILLISECOND, SECOND, Ticks};
use saltdrum_coordinator::rpc_client::{CallError, RpcClient};
use saltdrum_coordinator::{HeldLease, LeaseWatch};
use saltdrum_fleet::fence::{HolderFence, Rejection};
use saltdrum_fleet::state::{Epoch, LeaseName, ResourceName};
use saltdrum_transport::Clock;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tracing::{debug, info, warn};

/// Time that one resource has to answer.
const RESOURCE_TIMEOUT: Ticks = 5 * SECOND;
/// Delay before the next attempt to seal, or the next check whether the lease is still held.
const RETRY_DELAY: Ticks = 100 * MILLISECOND;

/// A fleet-wide task.
pub trait Task {
    /// The name that leases and members use for it.
    fn name(&self) -> &str;
    /// Runs one step. Called repeatedly while the lease is held; the task itself waits between its steps.
    fn step(&self, effects: &Effects) -> impl Future<Output = Result<(), EffectError>>;
}

/// Why an effect failed.
#[derive(Debug, Clone, thiserror::Error)]
pub enum EffectError {
    /// The lease is no longer held, no coordinator replied recently, or not all resources are sealed.
    #[error("lease {lease}, epoch {epoch}: nothing may be done now")]
    NotPermitted {
        /// The lease.
        lease: LeaseName,
        /// Epoch of the grant that was used.
        epoch: Epoch,
    },
    /// The resource rejected the effect.
    #[error("{resource}: {reason}")]
    Rejected {
        /// The resource.
        resource: ResourceName,
        /// Reason of the resource.
        reason: Rejection,
    },
    /// Whether the effect was made is unknown.
    #[error("{resource}: {reason}")]
    OutcomeUnknown {
        /// The resource.
        resource: ResourceName,
        /// What failed.
        reason: String,
    },
    /// No address of the resource is configured.
    #[error("{0}: no such resource")]
    UnknownResource(ResourceName),
}

/// Runs a fleet-wide task whenever this process holds its lease.
pub struct Holder {
    /// Name of the process; for records only.
    pub actor: String,
    /// Clock of the process.
    pub clock: Clock,
    /// The member's view of its leases.
    pub lease_watch: Rc<LeaseWatch>,
    /// Clients of the resources, by name.
    pub resources: BTreeMap<ResourceName, RpcClient>,
    /// No new effect is started if no coordinator has replied for this long, in ticks. Safety does not depend on it.
    pub contact_timeout: Ticks,
}

/// Makes effects on the resources of a task under one grant of its lease.
pub struct Effects<'a> {
    holder: &'a Holder,
    fence: RefCell<HolderFence>,
    task: &'a str,
}

impl Holder {
    /// Runs the task whenever the lease is held, until the future is dropped.
    pub async fn run(&self, task: &impl Task) {
        loop {
            let Some(held) = self.lease_watch.held_lease(task.name()) else {
                self.lease_watch.changed().await;
                continue;
            };
            info!(lease = %held.lease, epoch = held.epoch, by = self.actor, "lease acquired");
            self.use_grant(task, &held).await;
            info!(lease = %held.lease, epoch = held.epoch, by = self.actor, "lease released");
        }
    }

    /// Seals the resources and runs the task until this grant ends.
    async fn use_grant(&self, task: &impl Task, held: &HeldLease) {
        let fence = HolderFence::new(held.lease.clone(), held.epoch, &held.resources);
        let effects = Effects {
            holder: self,
            fence: RefCell::new(fence),
            task: task.name(),
        };
        while effects.is_held() {
            if effects.fence.borrow().is_superseded()
                || self.is_out_of_contact()
                || !effects.seal_all().await
            {
                self.wait_before_retry().await;
                continue;
            }
            if let Err(why) = task.step(&effects).await {
                debug!(%why, "task step failed");
                self.wait_before_retry().await;
            }
        }
    }

    /// Whether no coordinator has replied for longer than the contact timeout.
    fn is_out_of_contact(&self) -> bool {
        self.clock.now() > self.lease_watch.last_reply_at() + self.contact_timeout
    }

    /// Waits for the retry delay or a change of the held leases.
    async fn wait_before_retry(&self) {
        tokio::select! {
            () = self.clock.sleep_until(self.clock.now() + RETRY_DELAY) => {}
            () = self.lease_watch.changed() => {}
        }
    }
}

impl Effects<'_> {
    /// Whether the member still holds this grant, as far as it knows.
    pub fn is_held(&self) -> bool {
        let epoch = self.fence.borrow().epoch();
        self.holder
            .lease_watch
            .held_lease(self.task)
            .is_some_and(|held| held.epoch == epoch)
    }

    /// The epoch of the grant.
    pub fn epoch(&self) -> Epoch {
        self.fence.borrow().epoch()
    }

    /// The resources of the task.
    pub fn resources(&self) -> Vec<ResourceName> {
        self.fence.borrow().resources().cloned().collect()
    }

    /// Makes one effect on a resource, by a call of this method with the token of the grant.
    pub async fn call<T: DeserializeOwned>(
        &self,
        resource: &str,
        method: &str,
        params: impl Serialize,
    ) -> Result<T, EffectError> {
        let client = self.client(resource)?;
        let token = self
            .fence
            .borrow()
            .token(resource)
            .filter(|_| self.is_held() && !self.holder.is_out_of_contact());
        let Some(token) = token else {
            let (lease, epoch) = (self.fence.borrow().lease().clone(), self.epoch());
            return Err(EffectError::NotPermitted { lease, epoch });
        };
        let effect = Effect {
            token,
            actor: self.holder.actor.clone(),
            params,
        };
        client
            .call(method, &effect, RESOURCE_TIMEOUT)
            .await
            .map_err(|error| self.effect_error(resource, error))
    }

    /// Seals the resources that are not sealed yet, one after the other. Returns whether all are sealed.
    async fn seal_all(&self) -> bool {
        let unsealed: Vec<ResourceName> =
            self.fence.borrow().unsealed_resources().cloned().collect();
        for resource in &unsealed {
            if let Err(why) = self.seal(resource).await {
                warn!(resource, %why, epoch = self.epoch(), "seal failed");
                return false;
            }
        }
        true
    }

    async fn seal(&self, resource: &str) -> Result<(), EffectError> {
        let client = self.client(resource)?;
        let request = Seal {
            lease: self.fence.borrow().lease().clone(),
            epoch: self.epoch(),
        };
        let sealed: Sealed = client
            .call("seal", &request, RESOURCE_TIMEOUT)
            .await
            .map_err(|error| self.effect_error(resource, error))?;
        self.fence
            .borrow_mut()
            .record_seal(resource, sealed.incarnation);
        Ok(())
    }

    fn client(&self, resource: &str) -> Result<&RpcClient, EffectError> {
        self.holder
            .resources
            .get(resource)
            .ok_or_else(|| EffectError::UnknownResource(resource.to_owned()))
    }

    /// Converts the error of a call, and applies a rejection to the holder's fence.
    fn effect_error(&self, resource: &str, error: CallError) -> EffectError {
        let resource = resource.to_owned();
        let rejection = match &error {
            CallError::ErrorReply {
                code: REJECTED,
                message,
            } => serde_json::from_str(message).ok(),
            _ => None,
        };
        match rejection {
            Some(rejection) => {
                self.fence
                    .borrow_mut()
                    .record_rejection(&resource, &rejection);
                EffectError::Rejected {
                    resource,
                    reason: rejection,
                }
            }
            None => EffectError::OutcomeUnknown {
                resource,
                reason: error.to_string(),
            },
        }
    }
}
