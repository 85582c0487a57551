//! A holder's side: it seals every resource of the task, then does the task with tokens, for as long as the lease is its own.

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

/// How long one resource may take to answer.
const RESOURCE_TIMEOUT: Ticks = 5 * SECOND;
/// Delay before another try to seal, or another look whether the lease is still held.
const RETRY_DELAY: Ticks = 100 * MILLISECOND;

/// A fleet-wide task.
pub trait Task {
    /// As leases and members name it.
    fn name(&self) -> &str;
    /// Does one step of it. Called again and again while the lease is held; it waits itself between steps.
    fn step(&self, effects: &Effects) -> impl Future<Output = Result<(), EffectError>>;
}

/// Why an effect was not made, as far as is known.
#[derive(Debug, Clone, thiserror::Error)]
pub enum EffectError {
    /// The lease is over, or not all resources are sealed.
    #[error("lease {lease}, epoch {epoch}: nothing may be done now")]
    NotPermitted {
        /// The lease.
        lease: LeaseName,
        /// Of the grant that was used.
        epoch: Epoch,
    },
    /// The resource rejected it.
    #[error("{resource}: {reason}")]
    Rejected {
        /// The resource.
        resource: ResourceName,
        /// Its reason.
        reason: Rejection,
    },
    /// Whether it was made is not known.
    #[error("{resource}: {reason}")]
    OutcomeUnknown {
        /// The resource.
        resource: ResourceName,
        /// What failed.
        reason: String,
    },
    /// No way to the resource is configured.
    #[error("{0}: no such resource")]
    UnknownResource(ResourceName),
}

/// What a process needs to do a task when it holds the lease.
pub struct Holder {
    /// Who it is, for records alone.
    pub actor: String,
    /// Of the process.
    pub clock: Clock,
    /// What the member knows of its leases.
    pub lease_watch: Rc<LeaseWatch>,
    /// How each resource is reached.
    pub resources: BTreeMap<ResourceName, RpcClient>,
    /// No new effect starts after no coordinator was heard for this long, in ticks. Safety does not depend on it.
    pub contact_timeout: Ticks,
}

/// One grant being used: the way to the resources.
pub struct Effects<'a> {
    holder: &'a Holder,
    holding: RefCell<HolderFence>,
    task: &'a str,
}

impl Holder {
    /// Does the task whenever the lease is held, for as long as it is polled.
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

    async fn use_grant(&self, task: &impl Task, held: &HeldLease) {
        let holding = HolderFence::new(held.lease.clone(), held.epoch, &held.resources);
        let effects = Effects {
            holder: self,
            holding: RefCell::new(holding),
            task: task.name(),
        };
        while effects.is_held() {
            if effects.holding.borrow().is_superseded()
                || self.is_quiet()
                || !effects.seal_all().await
            {
                self.pause().await;
                continue;
            }
            if let Err(why) = task.step(&effects).await {
                debug!(%why, "task step failed");
                self.pause().await;
            }
        }
    }

    /// Whether no coordinator was heard for too long.
    fn is_quiet(&self) -> bool {
        self.clock.now() > self.lease_watch.last_reply_at() + self.contact_timeout
    }

    async fn pause(&self) {
        tokio::select! {
            () = self.clock.sleep_until(self.clock.now() + RETRY_DELAY) => {}
            () = self.lease_watch.changed() => {}
        }
    }
}

impl Effects<'_> {
    /// Whether this very grant is still the member's, as far as it knows.
    pub fn is_held(&self) -> bool {
        let epoch = self.holding.borrow().epoch();
        self.holder
            .lease_watch
            .held_lease(self.task)
            .is_some_and(|held| held.epoch == epoch)
    }

    /// The epoch of the grant that is being used.
    pub fn epoch(&self) -> Epoch {
        self.holding.borrow().epoch()
    }

    /// The resources of the task.
    pub fn resources(&self) -> Vec<ResourceName> {
        self.holding.borrow().resources().cloned().collect()
    }

    /// Makes one effect on one resource, or says why not.
    pub async fn call<T: DeserializeOwned>(
        &self,
        resource: &str,
        method: &str,
        what: impl Serialize,
    ) -> Result<T, EffectError> {
        let caller = self.caller(resource)?;
        let token = self
            .holding
            .borrow()
            .token(resource)
            .filter(|_| self.is_held() && !self.holder.is_quiet());
        let Some(token) = token else {
            let (lease, epoch) = (self.holding.borrow().lease().clone(), self.epoch());
            return Err(EffectError::NotPermitted { lease, epoch });
        };
        let effect = Effect {
            token,
            actor: self.holder.actor.clone(),
            params: what,
        };
        caller
            .call(method, &effect, RESOURCE_TIMEOUT)
            .await
            .map_err(|fault| self.failed(resource, fault))
    }

    /// Asks the resources that are not sealed, one after the other. True: all are.
    async fn seal_all(&self) -> bool {
        let unsealed: Vec<ResourceName> = self
            .holding
            .borrow()
            .unsealed_resources()
            .cloned()
            .collect();
        for resource in &unsealed {
            if let Err(why) = self.seal(resource).await {
                warn!(resource, %why, epoch = self.epoch(), "seal failed");
                return false;
            }
        }
        true
    }

    async fn seal(&self, resource: &str) -> Result<(), EffectError> {
        let caller = self.caller(resource)?;
        let asked = Seal {
            lease: self.holding.borrow().lease().clone(),
            epoch: self.epoch(),
        };
        let sealed: Sealed = caller
            .call("seal", &asked, RESOURCE_TIMEOUT)
            .await
            .map_err(|fault| self.failed(resource, fault))?;
        self.holding
            .borrow_mut()
            .record_seal(resource, sealed.incarnation);
        Ok(())
    }

    fn caller(&self, resource: &str) -> Result<&RpcClient, EffectError> {
        self.holder
            .resources
            .get(resource)
            .ok_or_else(|| EffectError::UnknownResource(resource.to_owned()))
    }

    fn failed(&self, resource: &str, fault: CallError) -> EffectError {
        let resource = resource.to_owned();
        let rejection = match &fault {
            CallError::ErrorReply {
                code: REJECTED,
                message,
            } => serde_json::from_str(message).ok(),
            _ => None,
        };
        match rejection {
            Some(why) => {
                self.holding.borrow_mut().record_rejection(&resource, &why);
                EffectError::Rejected {
                    resource,
                    reason: why,
                }
            }
            None => EffectError::OutcomeUnknown {
                resource,
                reason: fault.to_string(),
            },
        }
    }
}
