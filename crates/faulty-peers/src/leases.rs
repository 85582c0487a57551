//! Holders and resources of fleet-wide tasks that break one rule each, to try the judge of trials on. They share the
//! messages with the real ones and none of their decisions.

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

/// What a journal does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalFault {
    /// Accepts effects of any epoch.
    DropsTheEpoch,
    /// Goes by its own disk at its start, and asks no quorum.
    BelievesItsDisk,
    /// Keeps its epoch in memory alone.
    ForgetsItsEpoch,
}

/// Faults of journals by the names they go by on a command line.
pub const JOURNAL_FAULTS: &[(&str, JournalFault)] = &[
    ("drops-the-epoch", JournalFault::DropsTheEpoch),
    ("believes-its-disk", JournalFault::BelievesItsDisk),
    ("forgets-its-epoch", JournalFault::ForgetsItsEpoch),
];

const SEALED: TableDefinition<&str, u64> = TableDefinition::new("seals");
const KEY: &str = "sealed";
const PATIENCE: Ticks = 5 * SECOND;
const BETWEEN_EFFECTS: Ticks = 20 * MILLISECOND;

/// A journal that breaks a rule.
pub struct FaultyJournal {
    fault: JournalFault,
    fleet: String,
    sealed: Cell<u64>,
    database: Database,
    lines: Cell<u64>,
    tells: OnAccepted,
}

impl FaultyJournal {
    /// A journal with this fault on a disk of its own.
    pub fn open(
        fault: JournalFault,
        fleet: &str,
        database: Database,
        tells: OnAccepted,
    ) -> Result<Rc<Self>, redb::Error> {
        let journal = Self {
            fault,
            fleet: fleet.to_owned(),
            sealed: Cell::new(0),
            database,
            lines: Cell::new(0),
            tells,
        };
        if fault == JournalFault::BelievesItsDisk {
            journal.sealed.set(journal.on_disk()?);
        }
        Ok(Rc::new(journal))
    }

    fn on_disk(&self) -> Result<u64, redb::Error> {
        let transaction = self.database.begin_write()?;
        transaction.open_table(SEALED)?;
        transaction.commit()?;
        let table = self.database.begin_read()?.open_table(SEALED)?;
        Ok(table.get(KEY)?.map_or(0, |epoch| epoch.value()))
    }

    fn seal(&self, epoch: u64) -> Result<(), redb::Error> {
        self.sealed.set(epoch.max(self.sealed.get()));
        if self.fault == JournalFault::BelievesItsDisk {
            let transaction = self.database.begin_write()?;
            transaction
                .open_table(SEALED)?
                .insert(KEY, self.sealed.get())?;
            transaction.commit()?;
        }
        Ok(())
    }
}

impl CallHandler for FaultyJournal {
    async fn handle_call(self: &Rc<Self>, call: &Call) -> Result<String, RpcError> {
        let refused = |why: &str| Err((REJECTED, why.to_owned()));
        match call.method.as_str() {
            "seal" => {
                let asked: Seal = read_params(call, &self.fleet)?;
                if asked.epoch < self.sealed.get() {
                    return refused("sealed to a later epoch");
                }
                self.seal(asked.epoch)
                    .map_err(|e| (REJECTED, e.to_string()))?;
                Ok(json!(Sealed { incarnation: 1 }).to_string())
            }
            "append" => {
                let effect: Effect<Append> = read_params(call, &self.fleet)?;
                let drops = self.fault == JournalFault::DropsTheEpoch;
                if !drops && effect.token.epoch < self.sealed.get() {
                    return refused("sealed to a later epoch");
                }
                self.lines.set(self.lines.get() + 1);
                (self.tells)(&Accepted {
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

/// A holder that seals each resource when it first acts on it, and does not wait for the others. It pauses between reading its
/// lease and acting on it, so that after a stop it always acts once on the lease that it had before.
pub async fn run_holder_without_all_seals(
    by: String,
    task: &str,
    clock: Clock,
    watch: Rc<LeaseWatch>,
    resources: BTreeMap<String, RpcClient>,
) {
    let sealed: RefCell<BTreeMap<(String, u64), u64>> = RefCell::default();
    loop {
        for (name, caller) in &resources {
            let held = watch.held_lease(task);
            clock.sleep_until(clock.now() + BETWEEN_EFFECTS).await;
            let Some(held) = held else {
                continue;
            };
            let known = sealed.borrow().get(&(name.clone(), held.epoch)).copied();
            let incarnation = match known {
                Some(incarnation) => incarnation,
                None => {
                    let asked = Seal {
                        lease: held.lease.clone(),
                        epoch: held.epoch,
                    };
                    let told = caller.call::<Sealed>("seal", &asked, PATIENCE / 20).await;
                    let Ok(told) = told else { continue };
                    sealed
                        .borrow_mut()
                        .insert((name.clone(), held.epoch), told.incarnation);
                    told.incarnation
                }
            };
            let token = Token {
                lease: held.lease.clone(),
                epoch: held.epoch,
                incarnation,
            };
            let what = Append {
                line: String::new(),
            };
            let effect = Effect {
                token,
                actor: by.clone(),
                params: what,
            };
            let _ = caller
                .call::<Appended>("append", &effect, PATIENCE / 20)
                .await;
        }
    }
}

/// A steward that gives each lease to every member that it hears, on its own opinion. It never votes.
pub struct FaultyCoordinator {
    pub fleet: String,
    /// An honest one, of which it takes all that is not its own opinion.
    pub coordinator: RpcClient,
}

#[derive(Deserialize)]
struct Status {
    fleet: Option<Fleet>,
}

impl FaultyCoordinator {
    async fn standing(&self, said: &Heartbeat) -> Option<HeartbeatReply> {
        let status: Status = self
            .coordinator
            .call("status", json!({}), PATIENCE)
            .await
            .ok()?;
        let fleet = status.fleet?;
        let member = fleet.members.get(&said.member);
        let given = |(lease, of): (&LeaseName, &Lease)| HeldLease {
            lease: lease.clone(),
            task: of.terms.task.clone(),
            epoch: of.epoch,
            resources: of.terms.resources.clone(),
        };
        Some(HeartbeatReply {
            revision: fleet.revision,
            incarnation: member.map(|m| m.info.incarnation),
            phase: member.map(|m| m.phase.clone()),
            drain_withdrawn: false,
            leases: fleet.leases.iter().map(given).collect(),
        })
    }
}

impl CallHandler for FaultyCoordinator {
    async fn handle_call(self: &Rc<Self>, call: &Call) -> Result<String, RpcError> {
        if call.method != "renew" {
            return Err((NOT_VOTING, "it does not vote".to_owned()));
        }
        let standing = self.standing(&read_params(call, &self.fleet)?).await;
        standing
            .map(|told| json!(told).to_string())
            .ok_or((NOT_VOTING, "nothing is known yet".to_owned()))
    }
}
