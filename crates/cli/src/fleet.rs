//! `saltdrum steward`, `saltdrum fleet`, and how controllers and invokers take part in a fleet.

use crate::leases::{self, LeaseCommand};
use crate::process::{
    monotonic_ns, on_this_thread, open_on_disk, until_interrupted, writes_may_fail,
};
use crate::scripts::stated_fleet;
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

type Done = Result<u8, String>;

/// How a process joins the fleet that its deployment's script states.
#[derive(Args, Clone)]
pub struct Joins {
    /// Where a steward is; once for each. Without it the process takes part in no fleet.
    #[arg(long = "steward")]
    stewards: Vec<String>,
    /// Where the others reach it, if not where it listens.
    #[arg(long, requires = "stewards")]
    reached_at: Option<String>,
    /// The invoker starts cold and empty.
    #[arg(long, requires = "stewards")]
    pub cold: bool,
}

#[derive(Clone)]
pub struct Joined {
    stewards: Vec<Address>,
    reached_at: Option<Address>,
    terms: FleetConfig,
}

impl Joins {
    pub fn checked(&self, terms: Option<&FleetConfig>) -> Result<Option<Joined>, String> {
        if self.stewards.is_empty() {
            return Ok(None);
        }
        let terms = terms
            .ok_or("--steward: the script states no fleet(...)")?
            .clone();
        let stewards = self
            .stewards
            .iter()
            .map(|s| s.parse().map_err(String::from))
            .collect::<Result<_, String>>()?;
        let reached_at = self.reached_at.as_ref().map(|a| a.parse()).transpose()?;
        Ok(Some(Joined {
            stewards,
            reached_at,
            terms,
        }))
    }
}

fn note(member: MemberId, incarnation: u64, what: &str, grant: u64) {
    let line = json!({"at_ns": monotonic_ns(), "member": member, "incarnation": incarnation, "what": what, "grant": grant});
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

impl Joined {
    fn stays_member(&self, member: MemberId, about: MemberInfo) -> Membership {
        Membership {
            fleet: self.terms.name.clone(),
            member,
            info: about,
            coordinators: self.stewards.clone(),
            heartbeat_interval: self.terms.renew,
            lease_watch: Default::default(),
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "they are what the fleet is told of a controller"
    )]
    pub fn controller(
        &self,
        number: u32,
        incarnation: u64,
        zone: u8,
        terms: &DeploymentSpec,
        clients: &Address,
        going: &ShutdownHandle,
        tasks: BTreeSet<String>,
    ) -> (Membership, Rc<dyn MemberRole>) {
        let member = MemberId::controller(number);
        let about = MemberInfo {
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
        let part = ControllerRole {
            member,
            incarnation,
            going: going.clone(),
            // Clients on their way hear of it before anything is throttled.
            lead: 2 * terms.deployment.drain_grace,
            longest: terms
                .deployment
                .trigger_types
                .iter()
                .map(|t| t.client_timeout)
                .max()
                .unwrap_or(0),
            closes: Rc::default(),
            closed: Rc::default(),
        };
        (self.stays_member(member, about), Rc::new(part))
    }

    pub fn invoker(
        &self,
        invoker: &Rc<Invoker>,
        tasks: BTreeSet<String>,
    ) -> (Membership, Rc<dyn MemberRole>) {
        let entry = invoker.entry(Life::Ready);
        let site = &invoker.config;
        let member = MemberId::invoker(entry.invoker);
        let about = MemberInfo {
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
        let part = InvokerRole {
            member,
            incarnation: entry.incarnation,
            invoker: invoker.clone(),
            // The list's way to controllers, and what was on its way to us then.
            quiet: 2 * site.terms.deployment.drain_grace,
            drains: Cell::default(),
        };
        (self.stays_member(member, about), Rc::new(part))
    }
}

struct ControllerRole {
    member: MemberId,
    incarnation: u64,
    going: ShutdownHandle,
    lead: Ticks,
    /// Which drain it is; one that was turned back closes no door later.
    closes: Rc<Cell<u64>>,
    /// What lies unread by a client for longer than anybody waits is owed no more.
    longest: Ticks,
    closed: Rc<Cell<Option<tokio::time::Instant>>>,
}

impl MemberRole for ControllerRole {
    fn is_healthy(&self) -> bool {
        let look = self.going.status();
        look.has_endpoint_list && look.connections_up * 2 >= look.connections
    }

    fn load(&self) -> MemberLoad {
        MemberLoad {
            busy: self.going.status().in_flight as f64 / 1_000.0,
            last_copies: 0,
        }
    }

    fn start_drain(&self) {
        self.going.set_phase(ShutdownPhase::Redirecting);
        self.closes.set(self.closes.get() + 1);
        let (mine, closes, closed) = (self.closes.get(), self.closes.clone(), self.closed.clone());
        let (going, lead) = (self.going.clone(), self.lead);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_micros(lead * 100)).await;
            if closes.get() == mine {
                going.set_phase(ShutdownPhase::Rejecting);
                closed.set(Some(tokio::time::Instant::now()));
            }
        });
    }

    fn is_drained(&self) -> bool {
        let look = self.going.status();
        let longest = Duration::from_micros(self.longest * 100);
        let given_up = self.closed.get().is_some_and(|at| at.elapsed() > longest);
        self.going.phase() == ShutdownPhase::Rejecting
            && look.in_flight == 0
            && (look.unsent_bytes == 0 || given_up)
    }

    fn cancel_drain(&self) -> bool {
        self.closes.set(self.closes.get() + 1);
        self.going.set_phase(ShutdownPhase::Serving);
        true
    }

    fn record_event(&self, what: &'static str, grant: u64) {
        note(self.member, self.incarnation, what, grant);
    }
}

struct InvokerRole {
    member: MemberId,
    incarnation: u64,
    invoker: Rc<Invoker>,
    quiet: Ticks,
    drains: Cell<Option<Ticks>>,
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
        self.drains.set(Some(self.invoker.config.clock.now()));
    }

    fn is_drained(&self) -> bool {
        let now = self.invoker.config.clock.now();
        self.invoker.in_flight() == 0 && self.drains.get().is_some_and(|at| now >= at + self.quiet)
    }

    fn cancel_drain(&self) -> bool {
        self.drains.set(None);
        true
    }

    fn record_event(&self, what: &'static str, grant: u64) {
        note(self.member, self.incarnation, what, grant);
    }
}

/// Takes part until it is over; for ever where there is no fleet.
pub async fn stays_member(part: Option<(Membership, Rc<dyn MemberRole>)>) -> Result<(), String> {
    let Some((with, part)) = part else {
        return std::future::pending().await;
    };
    let member = with.member;
    match join(with, Rc::new(SocketNetwork), Clock::start(), part).await {
        MembershipEnd::Drained => Ok(()),
        MembershipEnd::Replaced => Err(format!("{member}: another life has taken its place")),
    }
}

/// One steward.
#[derive(Args)]
pub struct Runs {
    deployment: PathBuf,
    #[arg(long)]
    number: u32,
    #[arg(long)]
    listen: String,
    /// Where it serves the invoker list.
    #[arg(long)]
    list: Option<String>,
    /// File that it keeps what it promised in.
    #[arg(long)]
    disk: PathBuf,
    /// NUMBER=ADDRESS; once for each steward of the fleet as it was founded, this one too.
    #[arg(long = "steward", required = true)]
    stewards: Vec<String>,
    /// It is one of those that found the fleet, and starts for the first time or from the disk it began with.
    #[arg(long)]
    found: bool,
    /// A planted fault, to try the judge of trials on: it gives leases to all members on its own opinion.
    #[arg(long, hide = true)]
    gives_leases_away: bool,
}

fn numbered(all: &[String]) -> Result<BTreeMap<u32, String>, String> {
    let mut found = BTreeMap::new();
    for said in all {
        let (number, at) = said
            .split_once('=')
            .ok_or(format!("'{said}': NUMBER=ADDRESS is expected"))?;
        let number = number
            .parse()
            .map_err(|_| format!("'{said}': a number is expected before '='"))?;
        at.parse::<Address>()?;
        if found.insert(number, at.to_owned()).is_some() {
            return Err(format!("steward {number} is given twice"));
        }
    }
    Ok(found)
}

pub fn steward(runs: &Runs) -> Done {
    let terms = stated_fleet(&runs.deployment)?;
    let stewards = numbered(&runs.stewards)?;
    if runs.gives_leases_away {
        return faulty_steward(runs, &terms.name, &stewards);
    }
    let founders: BTreeSet<Voter> = stewards
        .keys()
        .map(|n| Voter {
            steward: *n,
            disk: 0,
        })
        .collect();
    let config = Config::initial(founders).map_err(|e| format!("--steward: {e}"))?;
    let mut founding = agreed::Fleet::new(
        &terms.name,
        config,
        stewards,
        terms.bounds.clone(),
        terms.halt_at_lost,
    );
    if !terms.leases.is_empty() {
        let state = Change::Leases {
            leases: terms.leases.clone(),
            by: "the script".into(),
        };
        founding.apply(&state).map_err(|e| e.to_string())?;
    }
    let disk = if runs.found {
        0
    } else {
        fastrand::u64(1..1 << 48)
    };
    let voter = Voter {
        steward: runs.number,
        disk,
    };
    let new = Identity {
        schema: SCHEMA_VERSION,
        fleet: terms.name.clone(),
        voter,
    };
    let seat = CoordinatorConfig {
        number: runs.number,
        incarnation: fastrand::u64(1..1 << 48),
        seed: fastrand::u64(..),
        fleet_config: terms,
        initial_fleet: founding,
        listen: runs.listen.parse()?,
        invoker_list: runs.list.as_ref().map(|l| l.parse()).transpose()?,
    };
    on_this_thread(async {
        writes_may_fail()?;
        let (disk, acceptor) = open_on_disk(|| Disk::open_file(&runs.disk, new.clone())).await?;
        println!("steward {} votes as {}", runs.number, disk.identity.voter);
        tokio::select! {
            biased;
            done = service::serve(seat, disk, acceptor, Rc::new(SocketNetwork), Clock::start()) => done.map(|()| 0),
            () = until_interrupted() => Ok(0),
        }
    })?
}

fn faulty_steward(runs: &Runs, fleet: &str, stewards: &BTreeMap<u32, String>) -> Done {
    let honest = stewards.iter().find(|(number, _)| **number != runs.number);
    let (_, honest) = honest.ok_or("an honest steward is expected beside it")?;
    let honest = RpcClient::new(Rc::new(SocketNetwork), honest.parse()?, fleet);
    let faulty = Rc::new(FaultyCoordinator {
        fleet: fleet.to_owned(),
        coordinator: honest,
    });
    let listen: Address = runs.listen.parse()?;
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

/// Where stewards are, and of which fleet.
#[derive(Args)]
pub struct To {
    /// Where a steward is; further ones are asked when it does not answer.
    #[arg(long = "to", required = true)]
    to: Vec<String>,
    /// The fleet's name.
    #[arg(long)]
    pub fleet: String,
}

#[derive(Args)]
pub struct By {
    #[command(flatten)]
    to: To,
    /// Who asks, for the history.
    #[arg(long, default_value = "operator")]
    by: String,
}

#[derive(Subcommand)]
pub enum Fleet {
    /// Shows who is in, who is out and why nothing moves.
    Status {
        #[command(flatten)]
        to: To,
        #[arg(long)]
        json: bool,
    },
    /// Asks that members drain and come back, as many at a time as the bounds leave room for.
    Drain {
        #[command(flatten)]
        by: By,
        /// Who asks with an id again, after a lost answer, starts nothing twice.
        #[arg(long)]
        id: String,
        /// controller-N or invoker-N
        #[arg(required = true)]
        members: Vec<MemberId>,
        /// Shows the order and what limits it, and changes nothing.
        #[arg(long)]
        dry_run: bool,
        /// Shows progress until the ask is over.
        #[arg(long)]
        wait: bool,
    },
    /// Withdraws: what has not begun stays, what drains may turn back.
    Back {
        #[command(flatten)]
        by: By,
        #[arg(required = true)]
        members: Vec<MemberId>,
    },
    /// No drain begins any more, once this is told as done.
    Halt {
        #[command(flatten)]
        by: By,
        #[arg(long)]
        why: String,
    },
    /// Goes on with what is left.
    Resume {
        #[command(flatten)]
        by: By,
    },
    /// A member that is lost or away does not come back, and is not counted any more.
    Forget {
        #[command(flatten)]
        by: By,
        member: MemberId,
    },
    /// Takes the bounds of a script in place of those that hold.
    Bounds {
        #[command(flatten)]
        by: By,
        deployment: PathBuf,
    },
    /// Puts other stewards in place: VOTER as each prints it at its start, steward-N/DISK=ADDRESS.
    Stewards {
        #[command(flatten)]
        by: By,
        #[arg(required = true)]
        voters: Vec<String>,
    },
    /// Who holds the leases of fleet-wide tasks.
    Leases {
        #[command(flatten)]
        to: To,
        #[arg(long)]
        json: bool,
        /// NAME=ADDRESS of a resource, to be asked what it is sealed to.
        #[arg(long = "resource")]
        resources: Vec<String>,
    },
    /// Pauses, resumes or states leases.
    Lease {
        #[command(flatten)]
        by: By,
        #[command(subcommand)]
        what: LeaseCommand,
    },
    /// What happened, oldest first.
    History {
        #[command(flatten)]
        to: To,
        #[arg(long)]
        json: bool,
    },
}

/// What a steward tells of itself and of the fleet.
#[derive(Deserialize)]
pub struct Status {
    steward: u32,
    votes: bool,
    waits_for: Option<String>,
    pub fleet: Option<agreed::Fleet>,
}

const PATIENCE: Ticks = 5 * SECOND;

impl To {
    fn callers(&self) -> Result<Vec<RpcClient>, String> {
        let caller = |at: &String| {
            let at = at.parse::<Address>()?;
            Ok(RpcClient::new(Rc::new(SocketNetwork), at, &self.fleet))
        };
        self.to.iter().map(caller).collect()
    }

    /// The first answer that any steward gives; one that is not settled asks the next.
    async fn ask<T: serde::de::DeserializeOwned>(
        &self,
        method: &str,
        what: &impl serde::Serialize,
    ) -> Result<T, String> {
        let mut last = String::new();
        for caller in self.callers()? {
            match caller.call(method, what, PATIENCE).await {
                Ok(told) => return Ok(told),
                Err(CallError::ErrorReply { code, message })
                    if code == saltdrum_coordinator::wire::REFUSED =>
                {
                    return Err(message);
                }
                Err(CallError::ErrorReply {
                    code: OUTCOME_UNKNOWN,
                    message,
                }) => last = message,
                Err(why) => last = why.to_string(),
            }
        }
        Err(last)
    }

    async fn change(&self, change: Change) -> Done {
        let told: ChangeReply = self.ask("change", &ChangeRequest { change }).await?;
        let what = if told.changed { "done" } else { "done before" };
        println!("{what}, at revision {}", told.revision);
        Ok(0)
    }

    /// What the first steward that answers tells of itself and of the fleet.
    pub async fn status(&self) -> Result<Status, String> {
        self.ask("status", &json!({})).await
    }
}

/// A table without borders, with these titles.
pub fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_header(head.iter().copied());
    table
}

fn print_status(s: &Status) {
    let votes = if s.votes { "votes" } else { "does not vote" };
    let Some(fleet) = &s.fleet else {
        println!(
            "steward {} {votes}, and knows nothing of the fleet yet",
            s.steward
        );
        return;
    };
    println!(
        "fleet {}, revision {}, told by steward {}, which {votes}",
        fleet.name, fleet.revision, s.steward
    );
    let mut counts: BTreeMap<(String, &str), usize> = BTreeMap::new();
    for (id, m) in &fleet.members {
        let kind = id
            .to_string()
            .split('-')
            .next()
            .unwrap_or_default()
            .to_owned();
        *counts.entry((kind, m.phase.name())).or_default() += 1;
    }
    for ((kind, phase), n) in counts {
        println!("  {n} {kind}s {phase}");
    }
    if let Some(h) = &fleet.halt {
        println!(
            "HALTED at revision {} by {}: {}; ends by {}",
            h.revision, h.by, h.why, h.ends
        );
    }
    let out: Vec<_> = fleet.out_members().collect();
    if !out.is_empty() {
        let mut t = table(&["out", "is", "since revision", "site", "cell", "version"]);
        for (id, m) in out {
            let (phase, site) = (m.phase.name().to_owned(), m.info.site.clone());
            t.add_row([
                id.to_string(),
                phase,
                m.since.to_string(),
                site,
                m.info.cell.to_string(),
                m.info.version.clone(),
            ]);
        }
        println!("{t}");
    }
    for (id, a) in &fleet.drain_requests {
        let n = [
            a.waiting.len(),
            a.under_way.len(),
            a.finished.len(),
            a.withdrawn.len(),
        ];
        println!(
            "ask '{id}' by {}: {} waiting, {} under way, {} finished, {} withdrawn",
            a.by, n[0], n[1], n[2], n[3]
        );
    }
    if let Some(why) = &s.waits_for {
        println!("waits: {why}");
    }
}

async fn wait_for(to: &To, id: &str) -> Done {
    let mut last = String::new();
    loop {
        // A steward that does not answer now may do so again: the ask goes on without us.
        if let Ok(s) = to.status().await
            && let Some(fleet) = &s.fleet
            && let Some(ask) = fleet.drain_requests.get(id)
        {
            let n = ask.waiting.len() + ask.under_way.len();
            let away = ask.under_way.iter().filter(|m| {
                fleet
                    .members
                    .get(m)
                    .is_some_and(|m| matches!(m.phase, Phase::Away { .. }))
            });
            let now = format!(
                "{} finished, {} under way ({} away), {} waiting{}",
                ask.finished.len(),
                ask.under_way.len(),
                away.count(),
                ask.waiting.len(),
                s.waits_for
                    .as_ref()
                    .filter(|_| n > 0)
                    .map_or(String::new(), |w| format!("; {w}")),
            );
            if now != last {
                println!("{now}");
                last = now;
            }
            if ask.is_finished() {
                return Ok(0);
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

pub fn run(what: &Fleet) -> Done {
    on_this_thread(async {
        match what {
            Fleet::Status { to, json: false } => {
                print_status(&to.status().await?);
                Ok(0)
            }
            Fleet::Status { to, json: true } => {
                let told: serde_json::Value = to.ask("status", &json!({})).await?;
                println!("{told}");
                Ok(0)
            }
            Fleet::History { to, json } => {
                let fleet = to
                    .status()
                    .await?
                    .fleet
                    .ok_or("nothing is known of the fleet yet")?;
                for event in &fleet.history {
                    match json {
                        true => println!("{}", json!(event)),
                        false => println!("{:>8}  {}", event.revision, event.description),
                    }
                }
                Ok(0)
            }
            Fleet::Leases {
                to,
                json,
                resources,
            } => leases::show(to, *json, resources).await,
            Fleet::Lease { by, what } => by.to.change(what.change(&by.by)?).await,
            Fleet::Drain {
                by,
                members,
                dry_run: true,
                ..
            } => {
                let batches: Vec<Batch> = by
                    .to
                    .ask(
                        "dry_run",
                        &DryRun {
                            members: members.clone(),
                        },
                    )
                    .await?;
                let mut t = table(&["step", "out together", "what limits it"]);
                for (n, b) in batches.iter().enumerate() {
                    let go: Vec<String> = b.members.iter().map(ToString::to_string).collect();
                    t.add_row([
                        (n + 1).to_string(),
                        go.join(" "),
                        b.limit.clone().unwrap_or_default(),
                    ]);
                }
                println!(
                    "{t}\n{} steps: at best that many times one member's drain and return",
                    batches.len()
                );
                Ok(0)
            }
            Fleet::Drain {
                by,
                id,
                members,
                wait,
                ..
            } => {
                let ask = Change::Ask {
                    id: id.clone(),
                    members: members.clone(),
                    by: by.by.clone(),
                };
                by.to.change(ask).await?;
                if *wait {
                    wait_for(&by.to, id).await
                } else {
                    Ok(0)
                }
            }
            Fleet::Back { by, members } => {
                by.to
                    .change(Change::Withdraw {
                        members: members.clone(),
                        by: by.by.clone(),
                    })
                    .await
            }
            Fleet::Halt { by, why } => {
                let ends = "an operator's resume".to_owned();
                by.to
                    .change(Change::Halt {
                        by: by.by.clone(),
                        why: why.clone(),
                        ends,
                    })
                    .await
            }
            Fleet::Resume { by } => by.to.change(Change::Resume { by: by.by.clone() }).await,
            Fleet::Forget { by, member } => {
                by.to
                    .change(Change::Forget {
                        member: *member,
                        by: by.by.clone(),
                    })
                    .await
            }
            Fleet::Bounds { by, deployment } => {
                let bounds: Vec<Bound> = stated_fleet(deployment)?.bounds;
                by.to
                    .change(Change::Bounds {
                        bounds,
                        by: by.by.clone(),
                    })
                    .await
            }
            Fleet::Stewards { by, voters } => {
                let (mut all, mut at) = (BTreeSet::new(), BTreeMap::new());
                for said in voters {
                    let (voter, address) = voter(said)?;
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

fn voter(said: &str) -> Result<(Voter, String), String> {
    let fault = || format!("'{said}': steward-N/DISK=ADDRESS is expected");
    let (voter, at) = said.split_once('=').ok_or_else(fault)?;
    let (number, disk) = voter
        .strip_prefix("steward-")
        .and_then(|v| v.split_once('/'))
        .ok_or_else(fault)?;
    let steward = number.parse().map_err(|_| fault())?;
    let disk = u64::from_str_radix(disk, 16).map_err(|_| fault())?;
    at.parse::<Address>()?;
    Ok((Voter { steward, disk }, at.to_owned()))
}
