//! Leases of fleet-wide tasks on the command line: a journal as a process, the task `count`, and what operators ask.

use crate::fleet::{To, table};
use crate::process::{
    monotonic_ns, on_this_thread, open_on_disk, until_interrupted, writes_may_fail,
};
use crate::scripts::stated_fleet;
use clap::{Args, Subcommand};
use redb::Database;
use saltdrum::interface::{MILLISECOND, SECOND, Ticks};
use saltdrum_coordinator::Membership;
use saltdrum_coordinator::rpc_client::RpcClient;
use saltdrum_coordinator::server;
use saltdrum_faulty_peers::leases::{FaultyJournal, JOURNAL_FAULTS, run_holder_without_all_seals};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::state::{Fleet, Lease, LeaseName, LeaseState};
use saltdrum_leases::holder::EffectError;
use saltdrum_leases::journal::{Accepted, Append, Appended, Journal, JournalDisk};
use saltdrum_leases::{Effects, Holder, Task};
use saltdrum_transport::{Address, Clock, SocketNetwork};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;
use std::rc::Rc;

type Done = Result<u8, String>;

/// The stand-ins' task.
pub const COUNT: &str = "count";
/// Between two of its effects.
const COUNT_EVERY: Ticks = 20 * MILLISECOND;
/// No new effect begins when no steward was heard for so long.
pub const QUIET_AFTER: Ticks = 2 * SECOND;
/// PendingProposal for a resource's status.
const PATIENCE: Ticks = 5 * SECOND;

/// A journal as a process.
#[derive(Args)]
pub struct RunsJournal {
    /// Starlark script of the deployment, for the fleet's name.
    deployment: PathBuf,
    /// As the lease names it.
    #[arg(long)]
    name: String,
    #[arg(long)]
    listen: String,
    /// File that it keeps its lines and its seals in.
    #[arg(long)]
    disk: PathBuf,
    /// Where a steward is; once for each.
    #[arg(long = "steward", required = true)]
    stewards: Vec<String>,
    /// A planted fault, to try the judge of trials on.
    #[arg(long, hide = true)]
    fault: Option<String>,
}

/// Runs a journal until interrupted. Each accepted effect goes to standard output, a line of JSON.
pub fn journal(runs: &RunsJournal) -> Done {
    let fleet = stated_fleet(&runs.deployment)?.name;
    let listen: Address = runs.listen.parse()?;
    let stewards: Vec<Address> = runs
        .stewards
        .iter()
        .map(|s| s.parse().map_err(String::from))
        .collect::<Result<_, String>>()?;
    if let Some(fault) = &runs.fault {
        return faulty_journal(runs, fault, &fleet, &listen);
    }
    let incarnation = fastrand::u64(1..1 << 48);
    on_this_thread(async {
        writes_may_fail()?;
        let disk = open_on_disk(|| JournalDisk::open_file(&runs.disk)).await?;
        let caller = |at: Address| RpcClient::new(Rc::new(SocketNetwork), at, &fleet);
        let stewards = stewards.into_iter().map(caller).collect();
        let journal = Journal::new(&fleet, incarnation, stewards, disk, Box::new(tell_effect));
        tokio::select! {
            biased;
            served = server::serve(journal, Rc::new(SocketNetwork), &listen, Clock::start()) => {
                served.map(|()| 0).map_err(|e| format!("{listen}: {e}"))
            }
            () = until_interrupted() => Ok(0),
        }
    })?
}

fn faulty_journal(runs: &RunsJournal, fault: &str, fleet: &str, listen: &Address) -> Done {
    let known = JOURNAL_FAULTS
        .iter()
        .find(|(name, _)| *name == fault)
        .map(|(_, fault)| *fault);
    let fault = known.ok_or_else(|| format!("--fault '{fault}': no such fault"))?;
    let database = Database::create(&runs.disk).map_err(|e| e.to_string())?;
    let journal = FaultyJournal::open(fault, fleet, database, Box::new(tell_effect))
        .map_err(|e| e.to_string())?;
    on_this_thread(async {
        tokio::select! {
            biased;
            served = server::serve(journal, Rc::new(SocketNetwork), listen, Clock::start()) => served.map(|()| 0).map_err(|e| e.to_string()),
            () = until_interrupted() => Ok(0),
        }
    })?
}

fn tell_effect(accepted: &Accepted) {
    let line = json!({"at_ns": monotonic_ns(), "what": "effect", "lease": accepted.token.lease,
        "epoch": accepted.token.epoch, "by": accepted.actor});
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

/// NAME=ADDRESS, as often as there are resources.
fn named(all: &[String]) -> Result<BTreeMap<String, Address>, String> {
    let one = |said: &String| {
        let (name, at) = said
            .split_once('=')
            .ok_or(format!("'{said}': NAME=ADDRESS is expected"))?;
        Ok((name.to_owned(), at.parse::<Address>()?))
    };
    all.iter().map(one).collect()
}

/// A member's side of the leases that it may hold.
pub fn holder(with: &Membership, resources: &[String]) -> Result<Holder, String> {
    Ok(holder_of(with, named(resources)?))
}

/// The same, of resources that are known by their addresses.
pub fn holder_of(with: &Membership, resources: BTreeMap<String, Address>) -> Holder {
    let caller = |at: Address| RpcClient::new(Rc::new(SocketNetwork), at, &with.fleet);
    Holder {
        actor: format!("{}/{:x}", with.member, with.info.incarnation),
        clock: Clock::start(),
        lease_watch: with.lease_watch.clone(),
        resources: resources
            .into_iter()
            .map(|(name, at)| (name, caller(at)))
            .collect(),
        contact_timeout: QUIET_AFTER,
    }
}

/// Does the task `count` whenever its lease is held; never ends. `acts_before_seals`: planted.
pub async fn counts(holder: Option<Holder>, acts_before_seals: bool) {
    match holder {
        Some(Holder {
            actor,
            clock,
            lease_watch,
            resources,
            ..
        }) if acts_before_seals => {
            run_holder_without_all_seals(actor, COUNT, clock, lease_watch, resources).await;
        }
        Some(holder) => {
            holder
                .run(&Count {
                    clock: holder.clock,
                })
                .await
        }
        None => std::future::pending().await,
    }
}

/// Appends a line to each resource in turn.
struct Count {
    clock: Clock,
}

impl Task for Count {
    fn name(&self) -> &str {
        COUNT
    }

    async fn step(&self, effects: &Effects<'_>) -> Result<(), EffectError> {
        for resource in effects.resources() {
            let line = format!("epoch {}", effects.epoch());
            let _: Appended = effects.call(&resource, "append", Append { line }).await?;
            self.clock.sleep_until(self.clock.now() + COUNT_EVERY).await;
        }
        Ok(())
    }
}

/// What operators may do about a lease.
#[derive(Subcommand)]
pub enum LeaseCommand {
    /// Takes it from its holder and gives it to nobody. The effects of the holder are refused once a resource is sealed anew.
    Pause {
        lease: String,
        #[arg(long)]
        why: String,
    },
    /// Lets it be given again.
    Resume { lease: String },
    /// Takes the leases of a script in place of those that there are.
    State { deployment: PathBuf },
}

impl LeaseCommand {
    /// The change that an operator asks for.
    pub fn change(&self, by: &str) -> Result<Change, String> {
        let by = by.to_owned();
        Ok(match self {
            Self::Pause { lease, why } => Change::PauseLease {
                lease: LeaseName(lease.clone()),
                by,
                why: why.clone(),
            },
            Self::Resume { lease } => Change::ResumeLease {
                lease: LeaseName(lease.clone()),
                by,
            },
            Self::State { deployment } => Change::Leases {
                leases: stated_fleet(deployment)?.leases,
                by,
            },
        })
    }
}

/// Shows who holds what, since when and why not.
pub async fn show(to: &To, as_json: bool, resources: &[String]) -> Done {
    let fleet = to
        .status()
        .await?
        .fleet
        .ok_or("nothing is known of the fleet yet")?;
    let sealed = sealed_epochs(to, resources).await?;
    if as_json {
        println!(
            "{}",
            json!({"revision": fleet.revision, "leases": fleet.leases, "sealed": sealed})
        );
        return Ok(0);
    }
    let mut shown = table(&[
        "lease",
        "is",
        "epoch",
        "since revision",
        "grants",
        "resources",
    ]);
    for (name, lease) in &fleet.leases {
        let resources = lease
            .terms
            .resources
            .iter()
            .map(|resource| match sealed.get(resource) {
                Some(told) => format!("{resource} (sealed: {told})"),
                None => resource.clone(),
            });
        let resources = resources.collect::<Vec<_>>().join(", ");
        let (epoch, since, grants) = (
            lease.epoch.to_string(),
            lease.since.to_string(),
            lease.grants.to_string(),
        );
        shown.add_row([
            name.to_string(),
            described(lease, &fleet),
            epoch,
            since,
            grants,
            resources,
        ]);
    }
    println!("{shown}");
    Ok(0)
}

fn described(lease: &Lease, fleet: &Fleet) -> String {
    match &lease.state {
        LeaseState::Held { holder, .. } => format!("held by {holder}"),
        LeaseState::Paused { by, why, .. } => format!("paused by {by}: {why}"),
        LeaseState::Vacant => {
            let task = &lease.terms.task;
            let offering = fleet
                .members
                .values()
                .filter(|m| m.info.tasks.contains(task))
                .count();
            match offering {
                0 => format!("vacant: no member offers the task '{task}'"),
                n => format!("vacant: none of {n} members that offer '{task}' is up"),
            }
        }
    }
}

/// What each resource says that it is sealed to.
async fn sealed_epochs(to: &To, resources: &[String]) -> Result<BTreeMap<String, String>, String> {
    let mut all = BTreeMap::new();
    for (name, at) in named(resources)? {
        let told = RpcClient::new(Rc::new(SocketNetwork), at, &to.fleet)
            .call::<Json>("status", json!({}), PATIENCE)
            .await;
        let told = told.map_or_else(|fault| fault.to_string(), |told| told["sealed"].to_string());
        all.insert(name, told);
    }
    Ok(all)
}
