//! The registry as a resource of the fleet's lease for blob collection: sealed to one epoch, and collected only by the lease
//! holder.

use crate::service::Registry;
use saltdrum_coordinator::rpc_client::RpcClient;
use saltdrum_coordinator::server::{CallHandler, RpcError, read_params};
use saltdrum_fleet::state::{Epoch, LeaseName};
use saltdrum_leases::messages::{Effect, REJECTED, Seal, Sealed, UNWRITABLE, rejection_text};
use saltdrum_leases::{FencedResource, SealStore};
use saltdrum_protocol::rpc::{self, Call};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::rc::Rc;
use tracing::info;

/// Task offered by members that can collect the registry's blobs.
pub const TASK: &str = "registry-collection";
/// Name of the registry as a resource of leases.
pub const RESOURCE: &str = "registry";

/// `collect`: removes blobs that have been unreferenced for the grace period.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CollectBlobs {
    /// The grace period, in milliseconds.
    pub grace_ms: u64,
}

/// Result of a collection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Collected {
    /// Blobs removed.
    #[serde(rename = "gone")]
    pub removed: u64,
    /// Total size of the removed blobs.
    pub bytes: u64,
}

/// Serves the registry to the holders of leases for fleet-wide tasks.
pub struct CollectionResource {
    fleet: String,
    registry: Rc<Registry>,
    guard: FencedResource,
}

impl CollectionResource {
    /// From now on only the fleet collects the registry. `incarnation` must not have been used before.
    pub fn new(
        fleet: &str,
        incarnation: u64,
        stewards: Vec<RpcClient>,
        registry: Rc<Registry>,
    ) -> Rc<Self> {
        registry.set_collected_by_fleet();
        let guard = FencedResource::new(incarnation, stewards);
        Rc::new(Self {
            fleet: fleet.to_owned(),
            registry,
            guard,
        })
    }

    /// Checks the epoch and removes the blobs in one transaction, so that no seal can come between them.
    fn collect(&self, effect: &Effect<CollectBlobs>) -> Result<String, RpcError> {
        let token = &effect.token;
        self.guard
            .admit(token)
            .map_err(|rejection| (REJECTED, rejection_text(&rejection)))?;
        let collectable = self.registry.collectable(effect.params.grace_ms)?;
        let remove = || self.registry.remove_blobs(&collectable);
        let result =
            self.registry
                .store()
                .borrow_mut()
                .run_if_sealed(&token.lease.0, token.epoch, remove);
        let result = result.map_err(|error| (UNWRITABLE, error.to_string()))?;
        let collected = result.ok_or((
            UNWRITABLE,
            "the disk has another seal than this life".to_owned(),
        ))??;
        info!(epoch = token.epoch, by = effect.actor, %collected, "registry blobs collected");
        Ok(collected.to_string())
    }
}

impl SealStore for CollectionResource {
    fn sealed_epoch(&self, lease: &LeaseName) -> Result<Epoch, String> {
        self.registry
            .store()
            .borrow()
            .sealed_epoch(&lease.0)
            .map_err(|error| error.to_string())
    }

    fn write_seal(&self, lease: &LeaseName, epoch: Epoch) -> Result<(), String> {
        self.registry
            .store()
            .borrow_mut()
            .write_seal(&lease.0, epoch)
            .map_err(|error| error.to_string())
    }
}

impl CallHandler for CollectionResource {
    async fn handle_call(self: &Rc<Self>, call: &Call) -> Result<String, RpcError> {
        match call.method.as_str() {
            "seal" => {
                let request: Seal = read_params(call, &self.fleet)?;
                let sealed = self
                    .guard
                    .seal(&**self, &request.lease, request.epoch)
                    .await;
                let incarnation = sealed.map_err(|error| error.to_rpc_error())?;
                Ok(json!(Sealed { incarnation }).to_string())
            }
            "collect" => self.collect(&read_params(call, &self.fleet)?),
            "status" => Ok(json!({"sealed": self.guard.sealed_epochs()}).to_string()),
            other => Err((
                rpc::METHOD_NOT_FOUND,
                format!("method '{other}' is not one of the registry's tasks"),
            )),
        }
    }
}
