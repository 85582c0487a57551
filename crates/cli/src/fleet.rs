//! `saltdrum coordinator` and `saltdrum fleet`, and the fleet membership of controllers and invokers.

use crate::leases::{self, LeaseCommand};
use crate::process::{
    handle_file_size_signal, monotonic_ns, on_this_thread, open_on_disk, until_interrupted,
};
use crate::scripts::load_fleet;
use clap::{Args, Subcommand};
use comfy_table::{Table, presets};
use saltdrum::interface::{SECOND, Ticks};
use saltdrum_controller::shutdown::{ShutdownHandle, ShutdownPhase};
use saltdrum_coordinator::disk::{Disk, Identity, SCHEMA_VERSION};
use saltdrum_coordinator::member::MembershipEnd;
use saltdrum_coordinator::rpc_client::{CallError, RpcClient};
use saltdrum_coordinator::server;
use saltdrum_coordinator::wire::{ChangeReply, ChangeRequest, DryRun, OUTCOME_UNKNOWN};
use saltdrum_coordinator::{CoordinatorConfig, FleetConfig, MemberRole, Membership, join, service};
use saltdrum_deployment::DeploymentSpec;
use saltdrum_fakes::Invoker;
use saltdrum_faulty_peers::leases::FaultyCoordinator;
use saltdrum_fleet::change::Change;
use saltdrum_fleet::drain_scheduler::{Batch, MemberLoad};
use saltdrum_fleet::register::{Config, Voter};
use saltdrum_fleet::state::{self as agreed, Bound, MemberId, MemberInfo, Phase};
use saltdrum_protocol::list::Life;
use saltdrum_transport::{Address, Clock, SocketNetwork};
use serde::Deserialize;
use serde_json::json;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

type CommandResult = Result<u8, String>;

/// Options with which a process joins the fleet that its deployment script describes.
#[derive(Args, Clone)]
pub struct MembershipOptions {
    /// Address of a coordinator; repeat for each one. Without it the process joins no fleet.
    #[arg(long = "steward", value_name = "STEWARDS")]
    coordinators: Vec<String>,
    /// Address at which other members reach it, if it differs from the listen address.
    #[arg(long, requires = "coordinators")]
    reached_at: Option<String>,
    /// The invoker starts cold, with no function loaded.
    #[arg(long, requires = "coordinators")]
    pub cold: bool,
}

/// The validated options of a member, and the settings of its fleet.
#[derive(Clone)]
pub struct MemberConfig {
    coordinators: Vec<Address>,
    reached_at: Option<Address>,
    fleet: FleetConfig,
}

impl MembershipOptions {
    /// Parses the addresses; none: the process joins no fleet.
    pub fn resolve(&self, fleet: Option<&FleetConfig>) -> Result<Option<MemberConfig>, String> {
        if self.coordinators.is_empty() {
            return Ok(None);
        }
        let fleet = fleet
            .ok_or("--steward: the script has no fleet(...)")?
            .clone();
        let coordinators = self
            .coordinators
            .iter()
            .map(|s| s.parse().map_err(String::from))
            .collect::<Result<_, String>>()?;
        let reached_at = self.reached_at.as_ref().map(|a| a.parse()).transpose()?;
        Ok(Some(MemberConfig {
            coordinators,
            reached_at,
            fleet,
        }))
    }
}

/// Prints an event of a member as a line of JSON.
fn print_event(member: MemberId, incarnation: u64, event: &str, grant: u64) {
    let line = json!({"at_ns": monotonic_ns(), "member": member, "incarnation": incarnation, "what": event, "grant": grant});
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

impl MemberConfig {
    fn membership(&self, member: MemberId, info: MemberInfo) -> Membership {
        Membership {
            fleet: self.fleet.name.clone(),
            member,
            info,
            coordinators: self.coordinators.clone(),
            heartbeat_interval: self.fleet.renew,
            lease_watch: Default::default(),
        }
    }

    /// The membership of a controller.
    #[expect(
        clippy::too_many_arguments,
        reason = "a controller reports each of them to the fleet"
    )]
    pub fn controller(
        &self,
        number: u32,
        incarnation: u64,
        zone: u8,
        terms: &DeploymentSpec,
        clients: &Address,
        shutdown: &ShutdownHandle,
        tasks: BTreeSet<String>,
    ) -> (Membership, Rc<dyn MemberRole>) {
        let member = MemberId::controller(number);
        let info = MemberInfo {
            incarnation,
            site: terms
                .zones
                .get(usize::from(zone))
                .cloned()
                .unwrap_or_default(),
            cell: 0,
            size: 1.0,
            memory_mb: 0.0,
            version: env!("CARGO_PKG_VERSION").into(),
            address: clients.to_string(),
            machine: 0,
            zone,
            tasks,
        };
        let role = ControllerRole {
            member,
            incarnation,
            shutdown: shutdown.clone(),
            // Clients that are about to connect learn of the drain before any request is throttled.
            redirect_period: 2 * terms.deployment.drain_grace,
            longest_client_timeout: terms
                .deployment
                .trigger_types
                .iter()
                .map(|t| t.client_timeout)
                .max()
                .unwrap_or(0),
            drain_generation: Rc::default(),
            rejecting_since: Rc::default(),
        };
        (self.membership(member, info), Rc::new(role))
    }

    /// The membership of a stand-in invoker.
    pub fn invoker(
        &self,
        invoker: &Rc<Invoker>,
        tasks: BTreeSet<String>,
    ) -> (Membership, Rc<dyn MemberRole>) {
        let entry = invoker.entry(Life::Ready);
        let site = &invoker.config;
        let member = MemberId::invoker(entry.invoker);
        let info = MemberInfo {
            incarnation: entry.incarnation,
            site: site
                .terms
                .zones
                .get(usize::from(entry.zone))
                .cloned()
                .unwrap_or_default(),
            cell: entry.cell,
            size: f64::from(entry.size),
            memory_mb: site.terms.kinds[site.stated.kind].memory.0,
            version: env!("CARGO_PKG_VERSION").into(),
            address: self
                .reached_at
                .as_ref()
                .map_or(entry.address, ToString::to_string),
            machine: entry.kind,
            zone: entry.zone,
            tasks,
        };
        let role = InvokerRole {
            member,
            incarnation: entry.incarnation,
            invoker: invoker.clone(),
            // Covers the propagation of the endpoint list and the requests in flight to this invoker at that time.
            quiet_period: 2 * site.terms.deployment.drain_grace,
            draining_since: Cell::default(),
        };
        (self.membership(member, info), Rc::new(role))
    }
}

/// How a controller drains and returns.
struct ControllerRole {
    member: MemberId,
    incarnation: u64,
    shutdown: ShutdownHandle,
    /// Time between redirecting clients and rejecting requests.
    redirect_period: Ticks,
    /// Changes with each drain and each cancelled one, so that a cancelled drain does not reject requests later.
    drain_generation: Rc<Cell<u64>>,
    /// Longest client timeout of all trigger types; bytes that stay unread for longer do not delay the drain.
    longest_client_timeout: Ticks,
    /// When the present drain began to reject requests.
    rejecting_since: Rc<Cell<Option<tokio::time::Instant>>>,
}

impl MemberRole for ControllerRole {
    fn is_healthy(&self) -> bool {
        let status = self.shutdown.status();
        status.has_endpoint_list && status.connections_up * 2 >= status.connections
    }

    fn load(&self) -> MemberLoad {
        MemberLoad {
            busy: self.shutdown.status().in_flight as f64 / 1_000.0,
            last_copies: 0,
        }
    }

    fn start_drain(&self) {
        self.shutdown.set_phase(ShutdownPhase::Redirecting);
        self.drain_generation.set(self.drain_generation.get() + 1);
        let (generation, drain_generation, rejecting_since) = (
            self.drain_generation.get(),
            self.drain_generation.clone(),
            self.rejecting_since.clone(),
        );
        let (shutdown, redirect_period) = (self.shutdown.clone(), self.redirect_period);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_micros(redirect_period * 100)).await;
            if drain_generation.get() == generation {
                shutdown.set_phase(ShutdownPhase::Rejecting);
                rejecting_since.set(Some(tokio::time::Instant::now()));
            }
        });
    }

    fn is_drained(&self) -> bool {
        let status = self.shutdown.status();
        let longest = Duration::from_micros(self.longest_client_timeout * 100);
        let unread_expired = self
            .rejecting_since
            .get()
            .is_some_and(|at| at.elapsed() > longest);
        self.shutdown.phase() == ShutdownPhase::Rejecting
            && status.in_flight == 0
            && (status.unsent_bytes == 0 || unread_expired)
    }

    fn cancel_drain(&self) -> bool {
        self.drain_generation.set(self.drain_generation.get() + 1);
        self.shutdown.set_phase(ShutdownPhase::Serving);
        true
    }

    fn record_event(&self, event: &'static str, grant: u64) {
        print_event(self.member, self.incarnation, event, grant);
    }
}

/// How a stand-in invoker drains and returns.
struct InvokerRole {
    member: MemberId,
    incarnation: u64,
    invoker: Rc<Invoker>,
    /// Time without work in hand before the drain is complete.
    quiet_period: Ticks,
    draining_since: Cell<Option<Ticks>>,
}

impl MemberRole for InvokerRole {
    fn is_healthy(&self) -> bool {
        let (site, entry) = (&self.invoker.config, self.invoker.entry(Life::Ready));
        entry.age_tenths >= site.terms.deployment.warm_up_time
    }

    fn load(&self) -> MemberLoad {
        let size = f64::from(self.invoker.entry(Life::Ready).size).max(1.0);
        MemberLoad {
            busy: self.invoker.in_flight() as f64 / size,
            last_copies: 0,
        }
    }

    fn start_drain(&self) {
        self.draining_since
            .set(Some(self.invoker.config.clock.now()));
    }

    fn is_drained(&self) -> bool {
        let now = self.invoker.config.clock.now();
        self.invoker.in_flight() == 0
            && self
                .draining_since
                .get()
                .is_some_and(|at| now >= at + self.quiet_period)
    }

    fn cancel_drain(&self) -> bool {
        self.draining_since.set(None);
        true
    }

    fn record_event(&self, event: &'static str, grant: u64) {
        print_event(self.member, self.incarnation, event, grant);
    }
}

/// Runs a membership until it ends; without a fleet, never returns.
pub async fn run_membership(
    membership: Option<(Membership, Rc<dyn MemberRole>)>,
) -> Result<(), String> {
    let Some((membership, role)) = membership else {
        return std::future::pending().await;
    };
    let member = membership.member;
    match join(membership, Rc::new(SocketNetwork), Clock::start(), role).await {
        MembershipEnd::Drained => Ok(()),
        MembershipEnd::Replaced => Err(format!("{member}: replaced by a newer incarnation")),
    }
}

/// Options of one coordinator.
#[derive(Args)]
pub struct CoordinatorOptions {
    deployment: PathBuf,
    #[arg(long)]
    number: u32,
    #[arg(long)]
    listen: String,
    /// Address on which it serves the invoker list.
    #[arg(long)]
    list: Option<String>,
    /// File in which it stores its promises and accepted values.
    #[arg(long)]
    disk: PathBuf,
    /// NUMBER=ADDRESS of a founding coordinator of the fleet; repeat for each one, including this one.
    #[arg(long = "steward", value_name = "STEWARDS", required = true)]
    coordinators: Vec<String>,
    /// It is a founding coordinator, and starts for the first time or from its original disk.
    #[arg(long)]
    found: bool,
    /// Injected fault for testing the judge of trials: it grants leases to all members without any agreement.
    #[arg(long, hide = true)]
    gives_leases_away: bool,
}

/// Parses arguments of the form NUMBER=ADDRESS.
fn parse_numbered_addresses(arguments: &[String]) -> Result<BTreeMap<u32, String>, String> {
    let mut addresses = BTreeMap::new();
    for argument in arguments {
        let (number, address) = argument
            .split_once('=')
            .ok_or(format!("'{argument}': NUMBER=ADDRESS is expected"))?;
        let number = number
            .parse()
            .map_err(|_| format!("'{argument}': a number is expected before '='"))?;
        address.parse::<Address>()?;
        if addresses.insert(number, address.to_owned()).is_some() {
            return Err(format!("steward {number} is given twice"));
        }
    }
    Ok(addresses)
}

/// Runs one coordinator until interrupted.
pub fn run_coordinator(options: &CoordinatorOptions) -> CommandResult {
    let fleet = load_fleet(&options.deployment)?;
    let coordinators = parse_numbered_addresses(&options.coordinators)?;
    if options.gives_leases_away {
        return run_faulty_coordinator(options, &fleet.name, &coordinators);
    }
    let founders: BTreeSet<Voter> = coordinators
        .keys()
        .map(|number| Voter {
            steward: *number,
            disk: 0,
        })
        .collect();
    let config = Config::initial(founders).map_err(|e| format!("--steward: {e}"))?;
    let mut initial_fleet = agreed::Fleet::new(
        &fleet.name,
        config,
        coordinators,
        fleet.bounds.clone(),
        fleet.halt_at_lost,
    );
    if !fleet.leases.is_empty() {
        let state = Change::Leases {
            leases: fleet.leases.clone(),
            by: "the script".into(),
        };
        initial_fleet.apply(&state).map_err(|e| e.to_string())?;
    }
    let disk = if options.found {
        0
    } else {
        fastrand::u64(1..1 << 48)
    };
    let voter = Voter {
        steward: options.number,
        disk,
    };
    let identity = Identity {
        schema: SCHEMA_VERSION,
        fleet: fleet.name.clone(),
        voter,
    };
    let coordinator_config = CoordinatorConfig {
        number: options.number,
        incarnation: fastrand::u64(1..1 << 48),
        seed: fastrand::u64(..),
        fleet_config: fleet,
        initial_fleet,
        listen: options.listen.parse()?,
        invoker_list: options.list.as_ref().map(|l| l.parse()).transpose()?,
    };
    on_this_thread(async {
        handle_file_size_signal()?;
        let (disk, acceptor) =
            open_on_disk(|| Disk::open_file(&options.disk, identity.clone())).await?;
        println!(
            "steward {} votes as {}",
            options.number, disk.identity.voter
        );
        tokio::select! {
            biased;
            done = service::serve(coordinator_config, disk, acceptor, Rc::new(SocketNetwork), Clock::start()) => done.map(|()| 0),
            () = until_interrupted() => Ok(0),
        }
    })?
}

fn run_faulty_coordinator(
    options: &CoordinatorOptions,
    fleet: &str,
    coordinators: &BTreeMap<u32, String>,
) -> CommandResult {
    let honest = coordinators
        .iter()
        .find(|(number, _)| **number != options.number);
    let (_, honest) =
        honest.ok_or("--steward: another coordinator is required beside the faulty one")?;
    let honest = RpcClient::new(Rc::new(SocketNetwork), honest.parse()?, fleet);
    let faulty = Rc::new(FaultyCoordinator {
        fleet: fleet.to_owned(),
        coordinator: honest,
    });
    let listen: Address = options.listen.parse()?;
    on_this_thread(async {
        tokio::select! {
            biased;
            served = server::serve(faulty, Rc::new(SocketNetwork), &listen, Clock::start()) => {
                served.map(|()| 0).map_err(|e| e.to_string())
            }
            () = until_interrupted() => Ok(0),
        }
    })?
}

/// A fleet's name and the addresses of its coordinators.
#[derive(Args)]
pub struct FleetTarget {
    /// Address of a coordinator; repeat to add others, which are queried when it does not answer.
    #[arg(long = "to", required = true)]
    to: Vec<String>,
    /// The fleet's name.
    #[arg(long)]
    pub fleet: String,
}

/// Options of a command that changes the fleet.
#[derive(Args)]
pub struct ChangeOptions {
    #[command(flatten)]
    to: FleetTarget,
    /// Name of the requester, recorded in the history.
    #[arg(long, default_value = "operator")]
    by: String,
}

#[derive(Subcommand)]
pub enum FleetCommand {
    /// Shows the state of the members and what pending drains wait for.
    Status {
        #[command(flatten)]
        to: FleetTarget,
        #[arg(long)]
        json: bool,
    },
    /// Requests that members drain and return, as many at a time as the bounds allow.
    Drain {
        #[command(flatten)]
        by: ChangeOptions,
        /// Id of the request; repeating it after a lost answer starts nothing twice.
        #[arg(long)]
        id: String,
        /// controller-N or invoker-N
        #[arg(required = true)]
        members: Vec<MemberId>,
        /// Shows the planned order and what limits it, without changing anything.
        #[arg(long)]
        dry_run: bool,
        /// Shows progress until the request is complete.
        #[arg(long)]
        wait: bool,
    },
    /// Withdraws drain requests: members that have not begun stay up, draining ones may cancel their drain.
    Back {
        #[command(flatten)]
        by: ChangeOptions,
        #[arg(required = true)]
        members: Vec<MemberId>,
    },
    /// Halts the fleet: once this command reports success, no further drain begins.
    Halt {
        #[command(flatten)]
        by: ChangeOptions,
        #[arg(long)]
        why: String,
    },
    /// Ends a halt and continues with the remaining drains.
    Resume {
        #[command(flatten)]
        by: ChangeOptions,
    },
    /// Removes a lost or away member that will not return, so that it no longer counts.
    Forget {
        #[command(flatten)]
        by: ChangeOptions,
        member: MemberId,
    },
    /// Replaces the bounds in effect with those of a script.
    Bounds {
        #[command(flatten)]
        by: ChangeOptions,
        deployment: PathBuf,
    },
    /// Replaces the coordinators; VOTER is steward-N/DISK=ADDRESS, as each prints it at its start.
    Stewards {
        #[command(flatten)]
        by: ChangeOptions,
        #[arg(required = true)]
        voters: Vec<String>,
    },
    /// Shows the leases of fleet-wide tasks and their holders.
    Leases {
        #[command(flatten)]
        to: FleetTarget,
        #[arg(long)]
        json: bool,
        /// NAME=ADDRESS of a resource whose sealed epoch is shown as well.
        #[arg(long = "resource")]
        resources: Vec<String>,
    },
    /// Pauses, resumes or replaces leases.
    Lease {
        #[command(flatten)]
        by: ChangeOptions,
        #[command(subcommand)]
        command: LeaseCommand,
    },
    /// Shows the history of the fleet, oldest event first.
    History {
        #[command(flatten)]
        to: FleetTarget,
        #[arg(long)]
        json: bool,
    },
}

/// Status of a coordinator and of the fleet.
#[derive(Deserialize)]
pub struct Status {
    steward: u32,
    votes: bool,
    waits_for: Option<String>,
    pub fleet: Option<agreed::Fleet>,
}

/// Timeout of a call to a coordinator.
const CALL_TIMEOUT: Ticks = 5 * SECOND;

impl FleetTarget {
    fn clients(&self) -> Result<Vec<RpcClient>, String> {
        let client = |address: &String| {
            let address = address.parse::<Address>()?;
            Ok(RpcClient::new(Rc::new(SocketNetwork), address, &self.fleet))
        };
        self.to.iter().map(client).collect()
    }

    /// Queries the coordinators in order, and returns the first answer that is settled.
    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        method: &str,
        params: &impl serde::Serialize,
    ) -> Result<T, String> {
        let mut last_error = String::new();
        for client in self.clients()? {
            match client.call(method, params, CALL_TIMEOUT).await {
                Ok(reply) => return Ok(reply),
                Err(CallError::ErrorReply { code, message })
                    if code == saltdrum_coordinator::wire::REFUSED =>
                {
                    return Err(message);
                }
                Err(CallError::ErrorReply {
                    code: OUTCOME_UNKNOWN,
                    message,
                }) => last_error = message,
                Err(why) => last_error = why.to_string(),
            }
        }
        Err(last_error)
    }

    async fn change(&self, change: Change) -> CommandResult {
        let reply: ChangeReply = self.call("change", &ChangeRequest { change }).await?;
        let outcome = if reply.changed { "done" } else { "done before" };
        println!("{outcome}, at revision {}", reply.revision);
        Ok(0)
    }

    /// The status reported by the first coordinator that answers.
    pub async fn status(&self) -> Result<Status, String> {
        self.call("status", &json!({})).await
    }
}

/// A table without borders with the given column titles.
pub fn table(titles: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_header(titles.iter().copied());
    table
}

fn print_status(status: &Status) {
    let votes = if status.votes {
        "votes"
    } else {
        "does not vote"
    };
    let Some(fleet) = &status.fleet else {
        println!(
            "steward {} {votes}, and knows nothing of the fleet yet",
            status.steward
        );
        return;
    };
    println!(
        "fleet {}, revision {}, told by steward {}, which {votes}",
        fleet.name, fleet.revision, status.steward
    );
    let mut counts: BTreeMap<(String, &str), usize> = BTreeMap::new();
    for (id, member) in &fleet.members {
        let kind = id
            .to_string()
            .split('-')
            .next()
            .unwrap_or_default()
            .to_owned();
        *counts.entry((kind, member.phase.name())).or_default() += 1;
    }
    for ((kind, phase), count) in counts {
        println!("  {count} {kind}s {phase}");
    }
    if let Some(halt) = &fleet.halt {
        println!(
            "HALTED at revision {} by {}: {}; ends by {}",
            halt.revision, halt.by, halt.why, halt.ends
        );
    }
    let out_members: Vec<_> = fleet.out_members().collect();
    if !out_members.is_empty() {
        let mut rows = table(&["out", "is", "since revision", "site", "cell", "version"]);
        for (id, member) in out_members {
            let (phase, site) = (member.phase.name().to_owned(), member.info.site.clone());
            rows.add_row([
                id.to_string(),
                phase,
                member.since.to_string(),
                site,
                member.info.cell.to_string(),
                member.info.version.clone(),
            ]);
        }
        println!("{rows}");
    }
    for (id, request) in &fleet.drain_requests {
        let sizes = [
            request.waiting.len(),
            request.under_way.len(),
            request.finished.len(),
            request.withdrawn.len(),
        ];
        println!(
            "ask '{id}' by {}: {} waiting, {} under way, {} finished, {} withdrawn",
            request.by, sizes[0], sizes[1], sizes[2], sizes[3]
        );
    }
    if let Some(why) = &status.waits_for {
        println!("waits: {why}");
    }
}

/// Prints the progress of a drain request until it is complete.
async fn wait_for_drains(to: &FleetTarget, id: &str) -> CommandResult {
    let mut last_progress = String::new();
    loop {
        // A coordinator that does not answer now may answer later; the request proceeds without this process.
        if let Ok(status) = to.status().await
            && let Some(fleet) = &status.fleet
            && let Some(request) = fleet.drain_requests.get(id)
        {
            let remaining = request.waiting.len() + request.under_way.len();
            let away = request.under_way.iter().filter(|m| {
                fleet
                    .members
                    .get(m)
                    .is_some_and(|m| matches!(m.phase, Phase::Away { .. }))
            });
            let progress = format!(
                "{} finished, {} under way ({} away), {} waiting{}",
                request.finished.len(),
                request.under_way.len(),
                away.count(),
                request.waiting.len(),
                status
                    .waits_for
                    .as_ref()
                    .filter(|_| remaining > 0)
                    .map_or(String::new(), |w| format!("; {w}")),
            );
            if progress != last_progress {
                println!("{progress}");
                last_progress = progress;
            }
            if request.is_finished() {
                return Ok(0);
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Runs one subcommand of `saltdrum fleet`.
pub fn run(command: &FleetCommand) -> CommandResult {
    on_this_thread(async {
        match command {
            FleetCommand::Status { to, json: false } => {
                print_status(&to.status().await?);
                Ok(0)
            }
            FleetCommand::Status { to, json: true } => {
                let status: serde_json::Value = to.call("status", &json!({})).await?;
                println!("{status}");
                Ok(0)
            }
            FleetCommand::History { to, json } => {
                let fleet = to
                    .status()
                    .await?
                    .fleet
                    .ok_or("the coordinator does not know the fleet yet")?;
                for event in &fleet.history {
                    match json {
                        true => println!("{}", json!(event)),
                        false => println!("{:>8}  {}", event.revision, event.description),
                    }
                }
                Ok(0)
            }
            FleetCommand::Leases {
                to,
                json,
                resources,
            } => leases::show(to, *json, resources).await,
            FleetCommand::Lease { by, command } => by.to.change(command.change(&by.by)?).await,
            FleetCommand::Drain {
                by,
                members,
                dry_run: true,
                ..
            } => {
                let batches: Vec<Batch> = by
                    .to
                    .call(
                        "dry_run",
                        &DryRun {
                            members: members.clone(),
                        },
                    )
                    .await?;
                let mut rows = table(&["step", "out together", "what limits it"]);
                for (index, batch) in batches.iter().enumerate() {
                    let members: Vec<String> =
                        batch.members.iter().map(ToString::to_string).collect();
                    rows.add_row([
                        (index + 1).to_string(),
                        members.join(" "),
                        batch.limit.clone().unwrap_or_default(),
                    ]);
                }
                println!(
                    "{rows}\n{} steps: at best that many times one member's drain and return",
                    batches.len()
                );
                Ok(0)
            }
            FleetCommand::Drain {
                by,
                id,
                members,
                wait,
                ..
            } => {
                let request = Change::Ask {
                    id: id.clone(),
                    members: members.clone(),
                    by: by.by.clone(),
                };
                by.to.change(request).await?;
                if *wait {
                    wait_for_drains(&by.to, id).await
                } else {
                    Ok(0)
                }
            }
            FleetCommand::Back { by, members } => {
                by.to
                    .change(Change::Withdraw {
                        members: members.clone(),
                        by: by.by.clone(),
                    })
                    .await
            }
            FleetCommand::Halt { by, why } => {
                let ends = "an operator's resume".to_owned();
                by.to
                    .change(Change::Halt {
                        by: by.by.clone(),
                        why: why.clone(),
                        ends,
                    })
                    .await
            }
            FleetCommand::Resume { by } => by.to.change(Change::Resume { by: by.by.clone() }).await,
            FleetCommand::Forget { by, member } => {
                by.to
                    .change(Change::Forget {
                        member: *member,
                        by: by.by.clone(),
                    })
                    .await
            }
            FleetCommand::Bounds { by, deployment } => {
                let bounds: Vec<Bound> = load_fleet(deployment)?.bounds;
                by.to
                    .change(Change::Bounds {
                        bounds,
                        by: by.by.clone(),
                    })
                    .await
            }
            FleetCommand::Stewards { by, voters } => {
                let (mut all, mut at) = (BTreeSet::new(), BTreeMap::new());
                for argument in voters {
                    let (voter, address) = parse_voter(argument)?;
                    all.insert(voter);
                    at.insert(voter.steward, address);
                }
                by.to
                    .change(Change::Stewards {
                        voters: all,
                        at,
                        by: by.by.clone(),
                    })
                    .await
            }
        }
    })?
}

/// Parses an argument of the form steward-N/DISK=ADDRESS.
fn parse_voter(argument: &str) -> Result<(Voter, String), String> {
    let invalid = || format!("'{argument}': steward-N/DISK=ADDRESS is expected");
    let (voter, address) = argument.split_once('=').ok_or_else(invalid)?;
    let (number, disk) = voter
        .strip_prefix("steward-")
        .and_then(|v| v.split_once('/'))
        .ok_or_else(invalid)?;
    let steward = number.parse().map_err(|_| invalid())?;
    let disk = u64::from_str_radix(disk, 16).map_err(|_| invalid())?;
    address.parse::<Address>()?;
    Ok((Voter { steward, disk }, address.to_owned()))
}
