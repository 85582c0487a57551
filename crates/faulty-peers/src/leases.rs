//! Lease holders, journals and a coordinator that break one rule each, to test the judge of trials. They use the messages of
//! the real implementations but none of their decision code.

use redb::{Database, ReadableDatabase, TableDefinition};
use saltdrum::interface::{MILLISECOND, SECOND, Ticks};
use saltdrum_coordinator::rpc_client::RpcClient;
use saltdrum_coordinator::server::{CallHandler, RpcError, read_params};
use saltdrum_coordinator::wire::{Heartbeat, HeartbeatReply, NOT_VOTING};
use saltdrum_coordinator::{HeldLease, LeaseWatch};
use saltdrum_fleet::fence::Token;
use saltdrum_fleet::state::{Fleet, Lease, LeaseName};
use saltdrum_leases::journal::{Accepted, Append, Appended, OnAccepted};
use saltdrum_leases::messages::{Effect, REJECTED, Seal, Sealed};
use saltdrum_protocol::rpc::{self, Call};
use saltdrum_transport::Clock;
use serde::Deserialize;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Fault of a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalFault {
    /// Accepts effects of any epoch.
    DropsTheEpoch,
    /// Trusts the epoch on its own disk at start instead of querying a quorum.
    BelievesItsDisk,
    /// Stores its epoch only in memory.
    ForgetsItsEpoch,
}

/// Faults of journals by their names on the command line.
pub const JOURNAL_FAULTS: &[(&str, JournalFault)] = &[
    ("drops-the-epoch", JournalFault::DropsTheEpoch),
    ("believes-its-disk", JournalFault::BelievesItsDisk),
    ("forgets-its-epoch", JournalFault::ForgetsItsEpoch),
];

const SEALS_TABLE: TableDefinition<&str, u64> = TableDefinition::new("seals");
const SEALED_EPOCH_KEY: &str = "sealed";
const CALL_TIMEOUT: Ticks = 5 * SECOND;
const EFFECT_INTERVAL: Ticks = 20 * MILLISECOND;

/// A journal that breaks a rule.
pub struct FaultyJournal {
    fault: JournalFault,
    fleet: String,
    sealed: Cell<u64>,
    database: Database,
    lines: Cell<u64>,
    on_accepted: OnAccepted,
}

impl FaultyJournal {
    /// Opens a journal with this fault and its own database.
    pub fn open(
        fault: JournalFault,
        fleet: &str,
        database: Database,
        on_accepted: OnAccepted,
    ) -> Result<Rc<Self>, redb::Error> {
        let journal = Self {
            fault,
            fleet: fleet.to_owned(),
            sealed: Cell::new(0),
            database,
            lines: Cell::new(0),
            on_accepted,
        };
        if fault == JournalFault::BelievesItsDisk {
            journal.sealed.set(journal.read_sealed_epoch()?);
        }
        Ok(Rc::new(journal))
    }

    fn read_sealed_epoch(&self) -> Result<u64, redb::Error> {
        let transaction = self.database.begin_write()?;
        transaction.open_table(SEALS_TABLE)?;
        transaction.commit()?;
        let table = self.database.begin_read()?.open_table(SEALS_TABLE)?;
        Ok(table
            .get(SEALED_EPOCH_KEY)?
            .map_or(0, |epoch| epoch.value()))
    }

    fn seal(&self, epoch: u64) -> Result<(), redb::Error> {
        self.sealed.set(epoch.max(self.sealed.get()));
        if self.fault == JournalFault::BelievesItsDisk {
            let transaction = self.database.begin_write()?;
            transaction
                .open_table(SEALS_TABLE)?
                .insert(SEALED_EPOCH_KEY, self.sealed.get())?;
            transaction.commit()?;
        }
        Ok(())
    }
}

impl CallHandler for FaultyJournal {
    async fn handle_call(self: &Rc<Self>, call: &Call) -> Result<String, RpcError> {
        let reject = |reason: &str| Err((REJECTED, reason.to_owned()));
        match call.method.as_str() {
            "seal" => {
                let request: Seal = read_params(call, &self.fleet)?;
                if request.epoch < self.sealed.get() {
                    return reject("sealed to a later epoch");
                }
                self.seal(request.epoch)
                    .map_err(|e| (REJECTED, e.to_string()))?;
                Ok(json!(Sealed { incarnation: 1 }).to_string())
            }
            "append" => {
                let effect: Effect<Append> = read_params(call, &self.fleet)?;
                let ignores_epoch = self.fault == JournalFault::DropsTheEpoch;
                if !ignores_epoch && effect.token.epoch < self.sealed.get() {
                    return reject("sealed to a later epoch");
                }
                self.lines.set(self.lines.get() + 1);
                (self.on_accepted)(&Accepted {
                    token: effect.token,
                    actor: effect.actor,
                });
                Ok(json!(Appended {
                    number: self.lines.get()
                })
                .to_string())
            }
            other => Err((
                rpc::METHOD_NOT_FOUND,
                format!("method '{other}' is not one of a journal"),
            )),
        }
    }
}

/// Runs a holder that seals each resource when it first acts on it, without waiting for the others to be sealed. It pauses
/// between reading its lease and acting on it, so that after a process pause it always acts once on its previous lease.
pub async fn run_holder_without_all_seals(
    actor: String,
    task: &str,
    clock: Clock,
    watch: Rc<LeaseWatch>,
    resources: BTreeMap<String, RpcClient>,
) {
    let incarnations: RefCell<BTreeMap<(String, u64), u64>> = RefCell::default();
    loop {
        for (name, client) in &resources {
            let held = watch.held_lease(task);
            clock.sleep_until(clock.now() + EFFECT_INTERVAL).await;
            let Some(held) = held else {
                continue;
            };
            let known = incarnations
                .borrow()
                .get(&(name.clone(), held.epoch))
                .copied();
            let incarnation = match known {
                Some(incarnation) => incarnation,
                None => {
                    let request = Seal {
                        lease: held.lease.clone(),
                        epoch: held.epoch,
                    };
                    let reply = client
                        .call::<Sealed>("seal", &request, CALL_TIMEOUT / 20)
                        .await;
                    let Ok(reply) = reply else { continue };
                    incarnations
                        .borrow_mut()
                        .insert((name.clone(), held.epoch), reply.incarnation);
                    reply.incarnation
                }
            };
            let token = Token {
                lease: held.lease.clone(),
                epoch: held.epoch,
                incarnation,
            };
            let params = Append {
                line: String::new(),
            };
            let effect = Effect {
                token,
                actor: actor.clone(),
                params,
            };
            let _ = client
                .call::<Appended>("append", &effect, CALL_TIMEOUT / 20)
                .await;
        }
    }
}

/// A coordinator that grants each lease to every member that sends it a heartbeat, without a decision of the quorum. It never
/// votes.
pub struct FaultyCoordinator {
    pub fleet: String,
    /// A correct coordinator, from which it reads the rest of the state.
    pub coordinator: RpcClient,
}

#[derive(Deserialize)]
struct Status {
    fleet: Option<Fleet>,
}

impl FaultyCoordinator {
    async fn reply(&self, heartbeat: &Heartbeat) -> Option<HeartbeatReply> {
        let status: Status = self
            .coordinator
            .call("status", json!({}), CALL_TIMEOUT)
            .await
            .ok()?;
        let fleet = status.fleet?;
        let member = fleet.members.get(&heartbeat.member);
        let to_held = |(name, lease): (&LeaseName, &Lease)| HeldLease {
            lease: name.clone(),
            task: lease.terms.task.clone(),
            epoch: lease.epoch,
            resources: lease.terms.resources.clone(),
        };
        Some(HeartbeatReply {
            revision: fleet.revision,
            incarnation: member.map(|m| m.info.incarnation),
            phase: member.map(|m| m.phase.clone()),
            drain_withdrawn: false,
            leases: fleet.leases.iter().map(to_held).collect(),
        })
    }
}

impl CallHandler for FaultyCoordinator {
    async fn handle_call(self: &Rc<Self>, call: &Call) -> Result<String, RpcError> {
        if call.method != "renew" {
            return Err((NOT_VOTING, "it does not vote".to_owned()));
        }
        let reply = self.reply(&read_params(call, &self.fleet)?).await;
        reply
            .map(|reply| json!(reply).to_string())
            .ok_or((NOT_VOTING, "nothing is known yet".to_owned()))
    }
}
