//! The registry as a resource of the fleet's lease of its collection: sealed to one epoch, and collected by its holder alone.

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

/// The task that members offer who collect.
pub const TASK: &str = "registry-collection";
/// As leases name the registry.
pub const RESOURCE: &str = "registry";

/// `collect`: remove what nothing has named for so long.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CollectBlobs {
    /// How long a blob has to be unreferenced, in milliseconds.
    pub grace_ms: u64,
}

/// What a collection came to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Collected {
    /// Blobs removed.
    #[serde(rename = "gone")]
    pub removed: u64,
    /// Sum of their sizes.
    pub bytes: u64,
}

/// The registry's door for fleet-wide tasks.
pub struct CollectionResource {
    fleet: String,
    registry: Rc<Registry>,
    guard: FencedResource,
}

impl CollectionResource {
    /// From now on the registry is collected by the fleet alone. `incarnation` was never used before.
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

    /// Epoch and effect are one transaction: no seal comes between them.
    fn collect(&self, effect: &Effect<CollectBlobs>) -> Result<String, RpcError> {
        let token = &effect.token;
        self.guard
            .admit(token)
            .map_err(|why| (REJECTED, rejection_text(&why)))?;
        let gone = self.registry.collectable(effect.params.grace_ms)?;
        let remove = || self.registry.remove_blobs(&gone);
        let done =
            self.registry
                .store()
                .borrow_mut()
                .run_if_sealed(&token.lease.0, token.epoch, remove);
        let done = done.map_err(|fault| (UNWRITABLE, fault.to_string()))?;
        let collected = done.ok_or((
            UNWRITABLE,
            "the disk has another seal than this life".to_owned(),
        ))??;
        info!(epoch = token.epoch, by = effect.actor, %collected, "collected");
        Ok(collected.to_string())
    }
}

impl SealStore for CollectionResource {
    fn sealed_epoch(&self, lease: &LeaseName) -> Result<Epoch, String> {
        self.registry
            .store()
            .borrow()
            .sealed_epoch(&lease.0)
            .map_err(|fault| fault.to_string())
    }

    fn write_seal(&self, lease: &LeaseName, epoch: Epoch) -> Result<(), String> {
        self.registry
            .store()
            .borrow_mut()
            .write_seal(&lease.0, epoch)
            .map_err(|fault| fault.to_string())
    }
}

impl CallHandler for CollectionResource {
    async fn handle_call(self: &Rc<Self>, call: &Call) -> Result<String, RpcError> {
        match call.method.as_str() {
            "seal" => {
                let asked: Seal = read_params(call, &self.fleet)?;
                let sealed = self.guard.seal(&**self, &asked.lease, asked.epoch).await;
                let incarnation = sealed.map_err(|fault| fault.to_rpc_error())?;
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
