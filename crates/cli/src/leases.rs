//! Leases of fleet-wide tasks on the command line: the journal process, the task `count`, and operators' commands.

use crate::fleet::{FleetTarget, table};
use crate::process::{
    handle_file_size_signal, monotonic_ns, on_this_thread, open_on_disk, until_interrupted,
};
use crate::scripts::load_fleet;
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

type CommandResult = Result<u8, String>;

/// The fleet-wide task that stand-in invokers offer.
pub const COUNT_TASK: &str = "count";
/// Interval between two effects of the task `count`.
const COUNT_INTERVAL: Ticks = 20 * MILLISECOND;
/// A holder begins no new effect after this time without an answer from a coordinator.
pub const COORDINATOR_CONTACT_TIMEOUT: Ticks = 2 * SECOND;
/// Timeout of a call for a resource's status.
const CALL_TIMEOUT: Ticks = 5 * SECOND;

/// Options of a journal process.
#[derive(Args)]
pub struct JournalOptions {
    /// Starlark script of the deployment, for the fleet's name.
    deployment: PathBuf,
    /// Name of the resource in the lease.
    #[arg(long)]
    name: String,
    #[arg(long)]
    listen: String,
    /// File in which it stores its lines and sealed epochs.
    #[arg(long)]
    disk: PathBuf,
    /// Address of a coordinator; repeat for each one.
    #[arg(long = "steward", value_name = "STEWARDS", required = true)]
    coordinators: Vec<String>,
    /// Injected fault for testing the judge of trials.
    #[arg(long, hide = true)]
    fault: Option<String>,
}

/// Runs a journal until interrupted. Prints each accepted effect as a line of JSON.
pub fn run_journal(options: &JournalOptions) -> CommandResult {
    let fleet = load_fleet(&options.deployment)?.name;
    let listen: Address = options.listen.parse()?;
    let coordinators: Vec<Address> = options
        .coordinators
        .iter()
        .map(|s| s.parse().map_err(String::from))
        .collect::<Result<_, String>>()?;
    if let Some(fault) = &options.fault {
        return run_faulty_journal(options, fault, &fleet, &listen);
    }
    let incarnation = fastrand::u64(1..1 << 48);
    on_this_thread(async {
        handle_file_size_signal()?;
        let disk = open_on_disk(|| JournalDisk::open_file(&options.disk)).await?;
        let client = |at: Address| RpcClient::new(Rc::new(SocketNetwork), at, &fleet);
        let coordinators = coordinators.into_iter().map(client).collect();
        let journal = Journal::new(
            &fleet,
            incarnation,
            coordinators,
            disk,
            Box::new(print_effect),
        );
        tokio::select! {
            biased;
            served = server::serve(journal, Rc::new(SocketNetwork), &listen, Clock::start()) => {
                served.map(|()| 0).map_err(|e| format!("{listen}: {e}"))
            }
            () = until_interrupted() => Ok(0),
        }
    })?
}

fn run_faulty_journal(
    options: &JournalOptions,
    fault: &str,
    fleet: &str,
    listen: &Address,
) -> CommandResult {
    let known = JOURNAL_FAULTS
        .iter()
        .find(|(name, _)| *name == fault)
        .map(|(_, fault)| *fault);
    let fault = known.ok_or_else(|| format!("--fault '{fault}': no such fault"))?;
    let database = Database::create(&options.disk).map_err(|e| e.to_string())?;
    let journal = FaultyJournal::open(fault, fleet, database, Box::new(print_effect))
        .map_err(|e| e.to_string())?;
    on_this_thread(async {
        tokio::select! {
            biased;
            served = server::serve(journal, Rc::new(SocketNetwork), listen, Clock::start()) => served.map(|()| 0).map_err(|e| e.to_string()),
            () = until_interrupted() => Ok(0),
        }
    })?
}

/// Prints an accepted effect as a line of JSON.
fn print_effect(accepted: &Accepted) {
    let line = json!({"at_ns": monotonic_ns(), "what": "effect", "lease": accepted.token.lease,
        "epoch": accepted.token.epoch, "by": accepted.actor});
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

/// Parses arguments of the form NAME=ADDRESS, one for each resource.
fn parse_resources(arguments: &[String]) -> Result<BTreeMap<String, Address>, String> {
    let parse = |argument: &String| {
        let (name, address) = argument
            .split_once('=')
            .ok_or(format!("'{argument}': NAME=ADDRESS is expected"))?;
        Ok((name.to_owned(), address.parse::<Address>()?))
    };
    arguments.iter().map(parse).collect()
}

/// The lease holder of a member, for resources given as NAME=ADDRESS.
pub fn lease_holder_from_arguments(
    membership: &Membership,
    resources: &[String],
) -> Result<Holder, String> {
    Ok(lease_holder(membership, parse_resources(resources)?))
}

/// The lease holder of a member, for resources given by their addresses.
pub fn lease_holder(membership: &Membership, resources: BTreeMap<String, Address>) -> Holder {
    let client = |at: Address| RpcClient::new(Rc::new(SocketNetwork), at, &membership.fleet);
    Holder {
        actor: format!("{}/{:x}", membership.member, membership.info.incarnation),
        clock: Clock::start(),
        lease_watch: membership.lease_watch.clone(),
        resources: resources
            .into_iter()
            .map(|(name, at)| (name, client(at)))
            .collect(),
        contact_timeout: COORDINATOR_CONTACT_TIMEOUT,
    }
}

/// Runs the task `count` while its lease is held; never returns. `acts_before_seals` injects a fault.
pub async fn run_count_task(holder: Option<Holder>, acts_before_seals: bool) {
    match holder {
        Some(Holder {
            actor,
            clock,
            lease_watch,
            resources,
            ..
        }) if acts_before_seals => {
            run_holder_without_all_seals(actor, COUNT_TASK, clock, lease_watch, resources).await;
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

/// The task `count`: appends a line to each resource in turn.
struct Count {
    clock: Clock,
}

impl Task for Count {
    fn name(&self) -> &str {
        COUNT_TASK
    }

    async fn step(&self, effects: &Effects<'_>) -> Result<(), EffectError> {
        for resource in effects.resources() {
            let line = format!("epoch {}", effects.epoch());
            let _: Appended = effects.call(&resource, "append", Append { line }).await?;
            self.clock
                .sleep_until(self.clock.now() + COUNT_INTERVAL)
                .await;
        }
        Ok(())
    }
}

/// Operators' commands on leases.
#[derive(Subcommand)]
pub enum LeaseCommand {
    /// Revokes a lease and grants it to nobody. Resources reject the holder's effects once they are sealed to a newer epoch.
    Pause {
        lease: String,
        #[arg(long)]
        why: String,
    },
    /// Allows a paused lease to be granted again.
    Resume { lease: String },
    /// Replaces all leases with those of a script.
    State { deployment: PathBuf },
}

impl LeaseCommand {
    /// The change of the fleet that this command requests.
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
                leases: load_fleet(deployment)?.leases,
                by,
            },
        })
    }
}

/// Prints the state, the epoch and the resources of each lease.
pub async fn show(to: &FleetTarget, as_json: bool, resources: &[String]) -> CommandResult {
    let fleet = to
        .status()
        .await?
        .fleet
        .ok_or("the coordinator does not know the fleet yet")?;
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
                Some(epoch) => format!("{resource} (sealed: {epoch})"),
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
            describe_state(lease, &fleet),
            epoch,
            since,
            grants,
            resources,
        ]);
    }
    println!("{shown}");
    Ok(0)
}

/// Why a lease is held, paused or vacant, in words.
fn describe_state(lease: &Lease, fleet: &Fleet) -> String {
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

/// Queries the epoch to which each resource is sealed.
async fn sealed_epochs(
    to: &FleetTarget,
    resources: &[String],
) -> Result<BTreeMap<String, String>, String> {
    let mut sealed = BTreeMap::new();
    for (name, address) in parse_resources(resources)? {
        let status = RpcClient::new(Rc::new(SocketNetwork), address, &to.fleet)
            .call::<Json>("status", json!({}), CALL_TIMEOUT)
            .await;
        let epoch = status.map_or_else(
            |fault| fault.to_string(),
            |status| status["sealed"].to_string(),
        );
        sealed.insert(name, epoch);
    }
    Ok(sealed)
}
