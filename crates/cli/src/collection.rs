//! The registry's collection on the command line: the registry's door for it, the controllers that do it when they hold
//! the lease, and operators by hand while it is paused.

use crate::leases::{QUIET_AFTER, holder_of};
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

/// PendingProposal for stewards and for the registry.
const PATIENCE: Ticks = 5 * SECOND;

/// The fleet whose lease a registry is collected by.
#[derive(Args, Clone)]
pub struct FleetTasks {
    /// Where the registry listens for fleet-wide tasks.
    #[arg(long, requires = "fleet")]
    tasks: Option<String>,
    /// The fleet's name.
    #[arg(long, requires = "tasks")]
    fleet: Option<String>,
    /// Where a steward is; once for each.
    #[arg(long = "steward", requires = "tasks")]
    stewards: Vec<String>,
}

impl FleetTasks {
    /// Whether a fleet's lease was named.
    pub fn is_said(&self) -> bool {
        self.tasks.is_some()
    }

    fn stewards(&self, fleet: &str) -> Result<Vec<RpcClient>, String> {
        let caller = |at: &String| {
            Ok(RpcClient::new(
                Rc::new(SocketNetwork),
                at.parse::<Address>()?,
                fleet,
            ))
        };
        let callers = self
            .stewards
            .iter()
            .map(caller)
            .collect::<Result<Vec<_>, String>>()?;
        if callers.is_empty() {
            Err("--steward: at least one is expected".into())
        } else {
            Ok(callers)
        }
    }
}

/// The registry's door for its collection; never ends where none was asked for.
pub fn serve(
    said: &FleetTasks,
    registry: &Rc<Registry>,
) -> Result<impl Future<Output = Result<(), String>> + use<>, String> {
    let resource = match (&said.tasks, &said.fleet) {
        (Some(tasks), Some(fleet)) => {
            let (incarnation, stewards) = (fastrand::u64(1..1 << 48), said.stewards(fleet)?);
            let listen: Address = tasks.parse()?;
            Some((
                CollectionResource::new(fleet, incarnation, stewards, registry.clone()),
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

/// A controller that collects when it holds the lease.
#[derive(Args, Clone)]
pub struct Collects {
    /// Where the registry listens for fleet-wide tasks: this controller offers to collect it.
    #[arg(long, requires = "stewards")]
    collect_registry: Option<String>,
    /// Between two collections.
    #[arg(long, default_value_t = 3_600)]
    collect_every_s: u64,
    /// Longer than the longest load.
    #[arg(long, default_value_t = 600)]
    collect_grace_s: u64,
}

impl Collects {
    /// The fleet-wide tasks that this controller offers.
    pub fn tasks(&self) -> BTreeSet<String> {
        self.collect_registry
            .iter()
            .map(|_| TASK.to_owned())
            .collect()
    }

    pub fn holder(&self, with: Option<&Membership>) -> Result<Option<Holder>, String> {
        match (&self.collect_registry, with) {
            (Some(at), Some(with)) => Ok(Some(holder_of(
                with,
                BTreeMap::from([(RESOURCE.to_owned(), at.parse()?)]),
            ))),
            _ => Ok(None),
        }
    }

    /// Collects whenever the lease is held; never ends.
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
        let what = CollectBlobs {
            grace_ms: self.grace_ms,
        };
        let done: Collected = effects.call(RESOURCE, "collect", what).await?;
        tracing::info!(
            gone = done.removed,
            bytes = done.bytes,
            epoch = effects.epoch(),
            "collected"
        );
        // A lease that is lost meanwhile is noticed before the next collection.
        let next = self.clock.now() + self.every;
        while self.clock.now() < next && effects.is_held() {
            self.clock
                .sleep_until(next.min(self.clock.now() + QUIET_AFTER))
                .await;
        }
        Ok(())
    }
}

#[derive(Deserialize)]
struct Status {
    fleet: Option<Fleet>,
}

/// A collection by an operator, who has paused the lease.
pub fn by_hand(said: &FleetTasks, grace_s: u64) -> Result<u8, String> {
    let (Some(tasks), Some(fleet)) = (&said.tasks, &said.fleet) else {
        return Err("--tasks is missing".into());
    };
    let registry = RpcClient::new(Rc::new(SocketNetwork), tasks.parse()?, fleet);
    on_this_thread(async {
        let (lease, epoch) = paused_epoch(&said.stewards(fleet)?).await?;
        let asked = Seal {
            lease: lease.clone(),
            epoch,
        };
        let sealed: Sealed = registry
            .call("seal", &asked, PATIENCE)
            .await
            .map_err(|e| e.to_string())?;
        let token = Token {
            lease,
            epoch,
            incarnation: sealed.incarnation,
        };
        let what = CollectBlobs {
            grace_ms: grace_s * 1_000,
        };
        let effect = Effect {
            token,
            actor: "operator".to_owned(),
            params: what,
        };
        let done: Collected = registry
            .call("collect", &effect, PATIENCE)
            .await
            .map_err(|e| e.to_string())?;
        println!("{} blobs gone, {} bytes", done.removed, done.bytes);
        Ok(0)
    })?
}

/// The epoch that operators have while the lease of the collection is paused.
async fn paused_epoch(stewards: &[RpcClient]) -> Result<(LeaseName, Epoch), String> {
    let mut last = String::new();
    for steward in stewards {
        let status = match steward.call::<Status>("status", json!({}), PATIENCE).await {
            Ok(status) => status,
            Err(why) => {
                last = why.to_string();
                continue;
            }
        };
        let fleet = status.fleet.ok_or("nothing is known of the fleet yet")?;
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
    Err(last)
}
