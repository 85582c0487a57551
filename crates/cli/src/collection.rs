//! Garbage collection of the registry: the registry's endpoint for it, the controllers that run it while they hold the
//! lease, and the command that an operator runs while the lease is paused.

use crate::leases::{COORDINATOR_CONTACT_TIMEOUT, lease_holder};
use crate::process::on_this_thread;
use clap::Args;
use saltdrum::interface::{SECOND, Ticks};
use saltdrum_coordinator::Membership;
use saltdrum_coordinator::rpc_client::RpcClient;
use saltdrum_coordinator::server;
use saltdrum_fleet::fence::Token;
use saltdrum_fleet::state::{Epoch, Fleet, LeaseName, LeaseState};
use saltdrum_leases::holder::EffectError;
use saltdrum_leases::messages::{Effect, Seal, Sealed};
use saltdrum_leases::{Effects, Holder, Task};
use saltdrum_registry::collection::{CollectBlobs, Collected, CollectionResource, RESOURCE, TASK};
use saltdrum_registry::service::Registry;
use saltdrum_transport::{Address, Clock, SocketNetwork};
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::rc::Rc;

/// Timeout of a call to a coordinator or to the registry.
const CALL_TIMEOUT: Ticks = 5 * SECOND;

/// The fleet whose lease protects the collection of a registry.
#[derive(Args, Clone)]
pub struct FleetTaskOptions {
    /// Address on which the registry listens for fleet-wide tasks.
    #[arg(long, requires = "fleet")]
    tasks: Option<String>,
    /// The fleet's name.
    #[arg(long, requires = "tasks")]
    fleet: Option<String>,
    /// Address of a coordinator; repeat for each one.
    #[arg(long = "steward", value_name = "STEWARDS", requires = "tasks")]
    coordinators: Vec<String>,
}

impl FleetTaskOptions {
    /// Whether the collection runs under a fleet's lease.
    pub fn is_given(&self) -> bool {
        self.tasks.is_some()
    }

    fn coordinator_clients(&self, fleet: &str) -> Result<Vec<RpcClient>, String> {
        let client = |address: &String| {
            Ok(RpcClient::new(
                Rc::new(SocketNetwork),
                address.parse::<Address>()?,
                fleet,
            ))
        };
        let clients = self
            .coordinators
            .iter()
            .map(client)
            .collect::<Result<Vec<_>, String>>()?;
        if clients.is_empty() {
            Err("--steward: at least one is expected".into())
        } else {
            Ok(clients)
        }
    }
}

/// Serves the registry's endpoint for collection; never returns if none was requested.
pub fn serve(
    options: &FleetTaskOptions,
    registry: &Rc<Registry>,
) -> Result<impl Future<Output = Result<(), String>> + use<>, String> {
    let resource = match (&options.tasks, &options.fleet) {
        (Some(tasks), Some(fleet)) => {
            let (incarnation, coordinators) = (
                fastrand::u64(1..1 << 48),
                options.coordinator_clients(fleet)?,
            );
            let listen: Address = tasks.parse()?;
            Some((
                CollectionResource::new(fleet, incarnation, coordinators, registry.clone()),
                listen,
            ))
        }
        _ => None,
    };
    Ok(async move {
        let Some((resource, listen)) = resource else {
            return std::future::pending().await;
        };
        let served = server::serve(resource, Rc::new(SocketNetwork), &listen, Clock::start()).await;
        served.map_err(|e| format!("{listen}: {e}"))
    })
}

/// Options of a controller that collects a registry while it holds the lease.
#[derive(Args, Clone)]
pub struct CollectionOptions {
    /// Address on which a registry listens for fleet-wide tasks; this controller offers to collect it.
    #[arg(long, requires = "coordinators")]
    collect_registry: Option<String>,
    /// Interval between two collections, in seconds.
    #[arg(long, default_value_t = 3_600)]
    collect_every_s: u64,
    /// Time for which a blob must be unreferenced before it is deleted, in seconds; must exceed the longest load.
    #[arg(long, default_value_t = 600)]
    collect_grace_s: u64,
}

impl CollectionOptions {
    /// The fleet-wide tasks that this controller offers.
    pub fn tasks(&self) -> BTreeSet<String> {
        self.collect_registry
            .iter()
            .map(|_| TASK.to_owned())
            .collect()
    }

    /// The lease holder of this controller, if it offers the collection and is a member of a fleet.
    pub fn holder(&self, membership: Option<&Membership>) -> Result<Option<Holder>, String> {
        match (&self.collect_registry, membership) {
            (Some(address), Some(membership)) => Ok(Some(lease_holder(
                membership,
                BTreeMap::from([(RESOURCE.to_owned(), address.parse()?)]),
            ))),
            _ => Ok(None),
        }
    }

    /// Collects blobs while the lease is held; never returns.
    pub async fn run(&self, holder: Option<Holder>) {
        let Some(holder) = holder else {
            return std::future::pending().await;
        };
        let (every, grace_ms) = (self.collect_every_s * SECOND, self.collect_grace_s * 1_000);
        holder
            .run(&Collection {
                clock: holder.clock,
                every,
                grace_ms,
            })
            .await;
    }
}

/// The fleet-wide task that collects a registry at intervals.
struct Collection {
    clock: Clock,
    every: Ticks,
    grace_ms: u64,
}

impl Task for Collection {
    fn name(&self) -> &str {
        TASK
    }

    async fn step(&self, effects: &Effects<'_>) -> Result<(), EffectError> {
        let request = CollectBlobs {
            grace_ms: self.grace_ms,
        };
        let collected: Collected = effects.call(RESOURCE, "collect", request).await?;
        tracing::info!(
            gone = collected.removed,
            bytes = collected.bytes,
            epoch = effects.epoch(),
            "unreferenced blobs collected"
        );
        // Wakes often enough to notice a lost lease before the next collection is due.
        let next = self.clock.now() + self.every;
        while self.clock.now() < next && effects.is_held() {
            self.clock
                .sleep_until(next.min(self.clock.now() + COORDINATOR_CONTACT_TIMEOUT))
                .await;
        }
        Ok(())
    }
}

#[derive(Deserialize)]
struct Status {
    fleet: Option<Fleet>,
}

/// Runs a collection on behalf of an operator, who has paused the lease.
pub fn collect_by_operator(options: &FleetTaskOptions, grace_s: u64) -> Result<u8, String> {
    let (Some(tasks), Some(fleet)) = (&options.tasks, &options.fleet) else {
        return Err("--tasks and --fleet are required".into());
    };
    let registry = RpcClient::new(Rc::new(SocketNetwork), tasks.parse()?, fleet);
    on_this_thread(async {
        let (lease, epoch) = paused_epoch(&options.coordinator_clients(fleet)?).await?;
        let seal = Seal {
            lease: lease.clone(),
            epoch,
        };
        let sealed: Sealed = registry
            .call("seal", &seal, CALL_TIMEOUT)
            .await
            .map_err(|e| e.to_string())?;
        let token = Token {
            lease,
            epoch,
            incarnation: sealed.incarnation,
        };
        let request = CollectBlobs {
            grace_ms: grace_s * 1_000,
        };
        let effect = Effect {
            token,
            actor: "operator".to_owned(),
            params: request,
        };
        let collected: Collected = registry
            .call("collect", &effect, CALL_TIMEOUT)
            .await
            .map_err(|e| e.to_string())?;
        println!(
            "{} blobs gone, {} bytes",
            collected.removed, collected.bytes
        );
        Ok(0)
    })?
}

/// The lease of the collection and the epoch reserved for operators while it is paused.
async fn paused_epoch(coordinators: &[RpcClient]) -> Result<(LeaseName, Epoch), String> {
    let mut last_error = String::new();
    for coordinator in coordinators {
        let status = match coordinator
            .call::<Status>("status", json!({}), CALL_TIMEOUT)
            .await
        {
            Ok(status) => status,
            Err(why) => {
                last_error = why.to_string();
                continue;
            }
        };
        let fleet = status
            .fleet
            .ok_or("the coordinator does not know the fleet yet")?;
        let lease = fleet
            .leases
            .iter()
            .find(|(_, lease)| lease.terms.task == TASK);
        let (name, lease) = lease.ok_or(format!("the fleet has no lease of the task '{TASK}'"))?;
        return match &lease.state {
            LeaseState::Paused { epoch, .. } => Ok((name.clone(), *epoch)),
            LeaseState::Held { holder, .. } => Err(format!(
                "{holder} holds the lease '{name}': pause it first, with fleet lease pause"
            )),
            LeaseState::Vacant => Err(format!(
                "the lease '{name}' is vacant: pause it first, with fleet lease pause"
            )),
        };
    }
    Err(last_error)
}
