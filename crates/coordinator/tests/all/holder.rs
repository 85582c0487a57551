//! Holders and journals of the real implementation, and of weaker schemes that are compared with it under the same faults.

use crate::world::{JOURNALS, TASK, World};
use saltdrum::interface::{MILLISECOND, SECOND, Ticks};
use saltdrum_coordinator::LeaseWatch;
use saltdrum_coordinator::rpc_client::RpcClient;
use saltdrum_coordinator::server::{CallHandler, RpcError, read_params, serve};
use saltdrum_fleet::fence::Token;
use saltdrum_fleet::state::LeaseName;
use saltdrum_leases::holder::EffectError;
use saltdrum_leases::journal::{Accepted, Append, Appended, Journal, JournalDisk, OnAccepted};
use saltdrum_leases::messages::{Effect, REJECTED};
use saltdrum_leases::{Effects, Holder, Task};
use saltdrum_protocol::rpc::Call;
use saltdrum_transport::{Address, Clock, Network};
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The scheme that is to keep effects exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseMode {
    /// The real implementation.
    AsBuilt,
    /// A holder acts until its own clock says that no coordinator has replied for [`CONTACT_TIMEOUT`]; resources check nothing.
    TimeOnly,
    /// Resources refuse epochs lower than the highest that this incarnation has seen; nothing is sealed.
    EpochsWithoutSeals,
    /// A faulty resource, which is sealed without confirmation by a quorum and loses its epoch on restart.
    ForgetsItsEpoch,
}

/// Interval between two effects of a holder.
const EFFECT_INTERVAL: Ticks = 20 * MILLISECOND;
/// Time without a reply of any coordinator after which a holder starts no more effects.
const CONTACT_TIMEOUT: Ticks = SECOND;

/// A task that appends to each journal in turn.
struct CountTask {
    clock: Clock,
}

impl Task for CountTask {
    fn name(&self) -> &str {
        TASK
    }

    async fn step(&self, effects: &Effects<'_>) -> Result<(), EffectError> {
        for journal in JOURNALS {
            let line = format!("epoch {}", effects.epoch());
            let _: Appended = effects.call(journal, "append", Append { line }).await?;
            self.clock
                .sleep_until(self.clock.now() + EFFECT_INTERVAL)
                .await;
        }
        Ok(())
    }
}

/// Runs the task in one member whenever it holds the lease, by the scheme of this world.
pub async fn run_holder(
    world: Rc<World>,
    network: Rc<dyn Network>,
    clock: Clock,
    watch: Rc<LeaseWatch>,
    actor: String,
) {
    if world.leases.borrow().is_empty() {
        return std::future::pending().await;
    }
    let client =
        |name: &str| RpcClient::new(network.clone(), Address::Memory(name.into()), "museums");
    let resources: BTreeMap<_, _> = JOURNALS
        .iter()
        .map(|name| ((*name).to_owned(), client(name)))
        .collect();
    match world.lease_mode.get() {
        LeaseMode::AsBuilt | LeaseMode::ForgetsItsEpoch => {
            let holder = Holder {
                actor,
                clock,
                lease_watch: watch,
                resources,
                contact_timeout: CONTACT_TIMEOUT,
            };
            holder.run(&CountTask { clock }).await;
        }
        LeaseMode::TimeOnly | LeaseMode::EpochsWithoutSeals => {
            run_unsealed_holder(clock, &watch, &resources, &actor).await;
        }
    }
}

/// Appends to the journals while the lease is held, without sealing them.
async fn run_unsealed_holder(
    clock: Clock,
    watch: &LeaseWatch,
    resources: &BTreeMap<String, RpcClient>,
    actor: &str,
) -> ! {
    loop {
        for client in resources.values() {
            clock.sleep_until(clock.now() + EFFECT_INTERVAL).await;
            let held = watch
                .held_lease(TASK)
                .filter(|_| clock.now() <= watch.last_reply_at() + CONTACT_TIMEOUT);
            let Some(held) = held else { continue };
            let token = Token {
                lease: held.lease,
                epoch: held.epoch,
                incarnation: 0,
            };
            let params = Append {
                line: String::new(),
            };
            let effect = Effect {
                token,
                actor: actor.to_owned(),
                params,
            };
            let _ = client.call::<Appended>("append", &effect, 5 * SECOND).await;
        }
    }
}

/// A journal that is not sealed.
struct UnsealedJournal {
    mode: LeaseMode,
    highest_epochs: RefCell<BTreeMap<LeaseName, u64>>,
    on_accepted: OnAccepted,
}

impl CallHandler for UnsealedJournal {
    async fn handle_call(self: &Rc<Self>, call: &Call) -> Result<String, RpcError> {
        if call.method == "seal" {
            return Ok(json!({"incarnation": 0}).to_string());
        }
        let effect: Effect<Append> = read_params(call, "museums")?;
        let mut highest_epochs = self.highest_epochs.borrow_mut();
        let highest = highest_epochs
            .entry(effect.token.lease.clone())
            .or_insert(0);
        if self.mode != LeaseMode::TimeOnly && effect.token.epoch < *highest {
            return Err((REJECTED, "a later epoch was seen".into()));
        }
        *highest = effect.token.epoch;
        (self.on_accepted)(&Accepted {
            token: effect.token,
            actor: effect.actor,
        });
        Ok(json!(Appended { number: 0 }).to_string())
    }
}

/// Serves a journal of this scheme until the future is dropped.
#[expect(
    clippy::too_many_arguments,
    reason = "these are all the arguments that a journal starts with"
)]
pub async fn serve_journal(
    mode: LeaseMode,
    incarnation: u64,
    coordinators: Vec<RpcClient>,
    disk: JournalDisk,
    on_accepted: OnAccepted,
    network: Rc<dyn Network>,
    listen: Address,
    clock: Clock,
) {
    if mode == LeaseMode::AsBuilt {
        let journal = Journal::new("museums", incarnation, coordinators, disk, on_accepted);
        return serve(journal, network, &listen, clock).await.unwrap();
    }
    let journal = Rc::new(UnsealedJournal {
        mode,
        highest_epochs: RefCell::default(),
        on_accepted,
    });
    serve(journal, network, &listen, clock).await.unwrap();
}
