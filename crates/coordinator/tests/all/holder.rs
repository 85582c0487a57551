//! Holders and journals as built, and in the two ways that are not enough, for comparison under the same faults.

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

/// What keeps effects exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseMode {
    AsBuilt,
    /// A holder acts until its own clock says that it was not heard for long; resources check nothing.
    TimeOnly,
    /// Resources refuse epochs lower than the highest that they saw in this life; nothing is sealed.
    EpochsWithoutSeals,
    /// Planted: a resource that is sealed without asking a quorum, and forgets its epoch at restart.
    ForgetsItsEpoch,
}

/// Between two effects, and how long a holder goes on that hears no steward.
const STEP: Ticks = 20 * MILLISECOND;
const QUIET_AFTER: Ticks = SECOND;

/// Appends to each journal in turn.
struct Count {
    clock: Clock,
}

impl Task for Count {
    fn name(&self) -> &str {
        TASK
    }

    async fn step(&self, effects: &Effects<'_>) -> Result<(), EffectError> {
        for journal in JOURNALS {
            let line = format!("epoch {}", effects.epoch());
            let _: Appended = effects.call(journal, "append", Append { line }).await?;
            self.clock.sleep_until(self.clock.now() + STEP).await;
        }
        Ok(())
    }
}

/// The holder's side of one member, for as long as it lives.
pub async fn holds(
    world: Rc<World>,
    network: Rc<dyn Network>,
    clock: Clock,
    watch: Rc<LeaseWatch>,
    by: String,
) {
    if world.leases.borrow().is_empty() {
        return std::future::pending().await;
    }
    let caller =
        |name: &str| RpcClient::new(network.clone(), Address::Memory(name.into()), "museums");
    let resources: BTreeMap<_, _> = JOURNALS
        .iter()
        .map(|name| ((*name).to_owned(), caller(name)))
        .collect();
    match world.lease_mode.get() {
        LeaseMode::AsBuilt | LeaseMode::ForgetsItsEpoch => {
            let holder = Holder {
                actor: by,
                clock,
                lease_watch: watch,
                resources,
                contact_timeout: QUIET_AFTER,
            };
            holder.run(&Count { clock }).await;
        }
        LeaseMode::TimeOnly | LeaseMode::EpochsWithoutSeals => {
            acts_without_seals(clock, &watch, &resources, &by).await;
        }
    }
}

async fn acts_without_seals(
    clock: Clock,
    watch: &LeaseWatch,
    resources: &BTreeMap<String, RpcClient>,
    by: &str,
) -> ! {
    loop {
        for caller in resources.values() {
            clock.sleep_until(clock.now() + STEP).await;
            let held = watch
                .held_lease(TASK)
                .filter(|_| clock.now() <= watch.last_reply_at() + QUIET_AFTER);
            let Some(held) = held else { continue };
            let token = Token {
                lease: held.lease,
                epoch: held.epoch,
                incarnation: 0,
            };
            let what = Append {
                line: String::new(),
            };
            let effect = Effect {
                token,
                actor: by.to_owned(),
                params: what,
            };
            let _ = caller.call::<Appended>("append", &effect, 5 * SECOND).await;
        }
    }
}

/// A journal that is not sealed.
struct Unsealed {
    mode: LeaseMode,
    highest: RefCell<BTreeMap<LeaseName, u64>>,
    tells: OnAccepted,
}

impl CallHandler for Unsealed {
    async fn handle_call(self: &Rc<Self>, call: &Call) -> Result<String, RpcError> {
        if call.method == "seal" {
            return Ok(json!({"incarnation": 0}).to_string());
        }
        let effect: Effect<Append> = read_params(call, "museums")?;
        let mut highest = self.highest.borrow_mut();
        let seen = highest.entry(effect.token.lease.clone()).or_insert(0);
        if self.mode != LeaseMode::TimeOnly && effect.token.epoch < *seen {
            return Err((REJECTED, "a later epoch was seen".into()));
        }
        *seen = effect.token.epoch;
        (self.tells)(&Accepted {
            token: effect.token,
            actor: effect.actor,
        });
        Ok(json!(Appended { number: 0 }).to_string())
    }
}

#[expect(
    clippy::too_many_arguments,
    reason = "all that a journal is started with"
)]
pub async fn serve_journal(
    mode: LeaseMode,
    incarnation: u64,
    stewards: Vec<RpcClient>,
    disk: JournalDisk,
    tells: OnAccepted,
    network: Rc<dyn Network>,
    listen: Address,
    clock: Clock,
) {
    if mode == LeaseMode::AsBuilt {
        let journal = Journal::new("museums", incarnation, stewards, disk, tells);
        return serve(journal, network, &listen, clock).await.unwrap();
    }
    let journal = Rc::new(Unsealed {
        mode,
        highest: RefCell::default(),
        tells,
    });
    serve(journal, network, &listen, clock).await.unwrap();
}
