//! A fleet on a simulated network: all processes run in one thread and in virtual time, and one seed determines the run.

use crate::disk::Disk as SimulatedDisk;
use crate::holder::{self, LeaseMode};
use saltdrum::interface::{MILLISECOND, SECOND, Ticks};
use saltdrum_coordinator::disk::{Disk, Identity, SCHEMA_VERSION};
use saltdrum_coordinator::member::MembershipEnd;
use saltdrum_coordinator::rpc_client::RpcClient;
use saltdrum_coordinator::wire::{ChangeReply, ChangeRequest, Heartbeat, HeartbeatReply};
use saltdrum_coordinator::{
    CoordinatorConfig, FleetConfig, LeaseWatch, MemberRole, Membership, join, service,
};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::drain_scheduler::MemberLoad;
use saltdrum_fleet::register::{Config, Voter};
use saltdrum_fleet::state::{
    Bound, BoundScope, Fleet, LeaseName, LeaseTerms, MemberId, MemberInfo, MemberKind, Phase,
};
use saltdrum_leases::journal::{Accepted, JournalDisk};
use saltdrum_simulated_network::{Link as Wire, Links, ProcessPause, SimulatedNetwork, pausable};
use saltdrum_transport::{Address, Clock, EventLoopClock};
use saltdrum_trial::record::Line;
use serde_json::{Value as Json, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;

pub const COORDINATORS: u32 = 3;

/// The size of a fleet, and the times that its members take.
#[derive(Clone, Copy)]
pub struct Size {
    pub invokers: u32,
    /// Number of members that may be out at once, as the judge knows it.
    pub bound: u32,
    /// The bound that coordinators apply; it differs from `bound` only if they are faulty on purpose.
    pub granted_bound: u32,
    /// Time from the start of a drain to its end.
    pub drain_time: Ticks,
    /// Time from the end of a drained member to its next start.
    pub restart_time: Ticks,
    /// Time from the start of a member until it is healthy.
    pub time_to_healthy: Ticks,
}

pub const SMALL: Size = Size {
    invokers: 6,
    bound: 2,
    granted_bound: 2,
    drain_time: 300 * MILLISECOND,
    restart_time: 200 * MILLISECOND,
    time_to_healthy: 200 * MILLISECOND,
};

/// A running process.
struct Process {
    task: JoinHandle<()>,
    hold: ProcessPause,
}

/// A fleet with its disks, its network and the record of its run.
pub struct World {
    pub clock: Clock,
    size: Size,
    network: SimulatedNetwork,
    pub rng: RefCell<fastrand::Rng>,
    disks: RefCell<BTreeMap<u32, SimulatedDisk>>,
    processes: RefCell<BTreeMap<String, Process>>,
    pub record: Rc<RefCell<Vec<Line>>>,
    last_incarnation: Cell<u64>,
    operator_clients: Vec<RpcClient>,
    /// Set at the end of the run: drained members are not started again.
    pub is_over: Cell<bool>,
    /// Leases of the initial fleet.
    pub leases: RefCell<BTreeMap<LeaseName, LeaseTerms>>,
    journals: RefCell<BTreeMap<String, JournalDisks>>,
    /// Scheme that holders and journals use.
    pub lease_mode: Cell<LeaseMode>,
}

/// The disk of a journal, and older copies of it.
#[derive(Clone, Default)]
struct JournalDisks {
    current: SimulatedDisk,
    older: Vec<SimulatedDisk>,
}

pub const JOURNALS: [&str; 2] = ["journal-1", "journal-2"];
pub const TASK: &str = "count";

fn fleet_config(bound: u32) -> FleetConfig {
    let bound = Bound {
        kind: Some(MemberKind::Invoker),
        site: None,
        per: BoundScope::Fleet,
        out: Some(bound),
        share: None,
        least_size: None,
        least_memory_mb: None,
    };
    FleetConfig {
        name: "museums".into(),
        renew: 100 * MILLISECOND,
        suspect_level: 8.0,
        grant_for: 2 * SECOND,
        drain_for: 60 * SECOND,
        prove_within: 0,
        halt_at_lost: 0,
        leases: Default::default(),
        bounds: vec![bound],
    }
}

fn address(name: &str) -> Address {
    Address::Memory(name.into())
}

fn nanoseconds(ticks: Ticks) -> u64 {
    ticks * 100_000
}

fn member_info(id: MemberId, incarnation: u64) -> MemberInfo {
    MemberInfo {
        incarnation,
        site: if id.number.is_multiple_of(2) {
            "huye"
        } else {
            "kigali"
        }
        .into(),
        cell: (id.number / 2) as u16,
        size: 1.0,
        memory_mb: 1_000.0,
        version: "1".into(),
        address: address(&id.to_string()).to_string(),
        machine: 0,
        zone: 0,
        tasks: Default::default(),
    }
}

/// The role of a member that does no work.
struct IdleMember {
    record: Rc<RefCell<Vec<Line>>>,
    clock: Clock,
    member: String,
    incarnation: u64,
    started_at: Ticks,
    size: Size,
    drain_started_at: Cell<Option<Ticks>>,
}

impl MemberRole for IdleMember {
    fn is_healthy(&self) -> bool {
        self.clock.now() > self.started_at + self.size.time_to_healthy
    }

    fn load(&self) -> MemberLoad {
        MemberLoad::default()
    }

    fn start_drain(&self) {
        self.drain_started_at.set(Some(self.clock.now()));
    }

    fn is_drained(&self) -> bool {
        self.drain_started_at
            .get()
            .is_some_and(|at| self.clock.now() > at + self.size.drain_time)
    }

    fn cancel_drain(&self) -> bool {
        self.drain_started_at.set(None);
        true
    }

    fn record_event(&self, event: &'static str, grant: u64) {
        self.record.borrow_mut().push(Line::Told {
            at_ns: nanoseconds(self.clock.now()),
            member: self.member.clone(),
            incarnation: self.incarnation,
            what: event.to_owned(),
            grant,
        });
    }
}

impl World {
    pub fn new(seed: u64, size: Size) -> Rc<Self> {
        let clock = Clock::start();
        let link = Wire {
            delay: MILLISECOND,
            jitter: 2 * MILLISECOND,
        };
        let network = SimulatedNetwork::new(
            clock,
            Links::new(link, 0.0, seed),
            EventLoopClock::default(),
        );
        let operator = network.host("operator");
        let operator_clients = (1..=COORDINATORS).map(|n| {
            RpcClient::new(
                operator.clone(),
                address(&format!("steward-{n}")),
                "museums",
            )
        });
        let detect_ns = 8_000_000_000;
        let members = (1..=size.invokers)
            .map(|n| format!("invoker-{n}"))
            .collect();
        let bound = Line::Bound {
            group: "invokers".into(),
            members,
            out: size.bound as usize,
            detect_ns,
        };
        Rc::new(Self {
            clock,
            size,
            operator_clients: operator_clients.collect(),
            network,
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            disks: RefCell::default(),
            processes: RefCell::default(),
            record: Rc::new(RefCell::new(vec![bound])),
            last_incarnation: Cell::new(0),
            is_over: Cell::new(false),
            leases: RefCell::default(),
            journals: RefCell::default(),
            lease_mode: Cell::new(LeaseMode::AsBuilt),
        })
    }

    fn next_incarnation(&self) -> u64 {
        self.last_incarnation.set(self.last_incarnation.get() + 1);
        self.last_incarnation.get()
    }

    pub fn is_running(&self, name: &str) -> bool {
        self.processes
            .borrow()
            .get(name)
            .is_some_and(|process| !process.task.is_finished())
    }

    pub fn start_coordinator(self: &Rc<Self>, number: u32) {
        let name = format!("steward-{number}");
        let coordinators: BTreeMap<u32, String> = (1..=COORDINATORS)
            .map(|n| (n, address(&format!("steward-{n}")).to_string()))
            .collect();
        let voters = (1..=COORDINATORS)
            .map(|steward| Voter { steward, disk: 0 })
            .collect();
        let voter_config = Config::initial(voters).unwrap();
        let mut initial_fleet = Fleet::new(
            "museums",
            voter_config,
            coordinators,
            fleet_config(self.size.granted_bound).bounds,
            0,
        );
        let leases = self.leases.borrow().clone();
        if !leases.is_empty() {
            initial_fleet
                .apply(&Change::Leases {
                    leases,
                    by: "the script".into(),
                })
                .unwrap();
        }
        let config = CoordinatorConfig {
            number,
            incarnation: self.next_incarnation(),
            seed: self.rng.borrow_mut().u64(..),
            fleet_config: fleet_config(self.size.granted_bound),
            initial_fleet,
            listen: address(&name),
            invoker_list: None,
        };
        let simulated_disk = self.disks.borrow_mut().entry(number).or_default().clone();
        let new_identity = Identity {
            schema: SCHEMA_VERSION,
            fleet: "museums".into(),
            voter: Voter {
                steward: number,
                disk: 0,
            },
        };
        // A process that can't read or write its disk ends at once and is started again later.
        let Ok((disk, acceptor)) = Disk::open(name.clone(), simulated_disk.opens(), new_identity)
        else {
            return;
        };
        let (network, clock, hold) = (
            self.network.host(&name),
            self.clock,
            ProcessPause::default(),
        );
        let serving = pausable(hold.clone(), async move {
            if let Err(why) = service::serve(config, disk, acceptor, network, clock).await {
                panic!("coordinator failed: {why}");
            }
        });
        let task = tokio::task::spawn_local(serving);
        self.processes
            .borrow_mut()
            .insert(name, Process { task, hold });
    }

    pub fn start_member(self: &Rc<Self>, id: MemberId) {
        let (name, incarnation) = (id.to_string(), self.next_incarnation());
        let mut info = member_info(id, incarnation);
        info.tasks
            .extend((!self.leases.borrow().is_empty()).then(|| TASK.to_owned()));
        let watch: Rc<LeaseWatch> = Rc::default();
        let clock = self.drifting_clock(incarnation);
        let membership = Membership {
            fleet: "museums".into(),
            member: id,
            info,
            coordinators: (1..=COORDINATORS)
                .map(|n| address(&format!("steward-{n}")))
                .collect(),
            heartbeat_interval: fleet_config(self.size.granted_bound).renew,
            lease_watch: watch.clone(),
        };
        let role = Rc::new(IdleMember {
            record: self.record.clone(),
            clock: self.clock,
            member: name.clone(),
            incarnation,
            started_at: self.clock.now(),
            size: self.size,
            drain_started_at: Cell::default(),
        });
        let (network, hold, this) = (
            self.network.host(&name),
            ProcessPause::default(),
            self.clone(),
        );
        let process_hold = hold.clone();
        let process_name = name.clone();
        let task = tokio::task::spawn_local(async move {
            let local = tokio::task::LocalSet::new();
            let holder = holder::run_holder(
                this.clone(),
                network.clone(),
                clock,
                watch,
                format!("{id}/{incarnation}"),
            );
            let running = local.run_until(async move {
                tokio::select! {
                    ended = join(membership, network, clock, role) => ended,
                    () = holder => unreachable!("a holder never ends"),
                }
            });
            let ended = pausable(process_hold, running).await;
            let code = if ended == MembershipEnd::Drained {
                0
            } else {
                2
            };
            this.record_end(&process_name, Some(code), false);
            let world = this.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_micros(world.size.restart_time * 100)).await;
                if ended == MembershipEnd::Drained
                    && !world.is_over.get()
                    && !world.is_running(&process_name)
                {
                    world.start_member(id);
                }
            });
        });
        self.processes
            .borrow_mut()
            .insert(name, Process { task, hold });
    }

    /// A member's own clock: exact, at half or twice the rate, or far ahead. Only holders of leases use it.
    fn drifting_clock(&self, incarnation: u64) -> Clock {
        if self.leases.borrow().is_empty() {
            return self.clock;
        }
        match incarnation % 4 {
            0 => self.clock.skewed(Duration::ZERO, 1_000_000),
            1 => self.clock.skewed(Duration::ZERO, -500_000),
            2 => self.clock.skewed(Duration::from_secs(500), 0),
            _ => self.clock,
        }
    }

    /// Starts an append-only resource with a disk of its own.
    pub fn start_journal(self: &Rc<Self>, name: &str) {
        let disks = self
            .journals
            .borrow_mut()
            .entry(name.to_owned())
            .or_default()
            .clone();
        let network = self.network.host(name);
        let addresses = (1..=COORDINATORS).map(|n| address(&format!("steward-{n}")));
        let coordinators = addresses
            .map(|address| RpcClient::new(network.clone(), address, "museums"))
            .collect();
        let (record, clock, resource) = (self.record.clone(), self.clock, name.to_owned());
        let on_accepted = Box::new(move |accepted: &Accepted| {
            record.borrow_mut().push(Line::Effect {
                at_ns: nanoseconds(clock.now()),
                resource: resource.clone(),
                lease: accepted.token.lease.to_string(),
                epoch: accepted.token.epoch,
                by: accepted.actor.clone(),
            });
        });
        let incarnation = self.next_incarnation();
        let (mode, hold, listen) = (
            self.lease_mode.get(),
            ProcessPause::default(),
            address(name),
        );
        let serving = pausable(hold.clone(), async move {
            let Ok(disk) = JournalDisk::open(disks.current.opens()) else {
                return;
            };
            let local = tokio::task::LocalSet::new();
            let serving = holder::serve_journal(
                mode,
                incarnation,
                coordinators,
                disk,
                on_accepted,
                network,
                listen,
                clock,
            );
            local.run_until(serving).await
        });
        let task = tokio::task::spawn_local(serving);
        self.processes
            .borrow_mut()
            .insert(name.to_owned(), Process { task, hold });
    }

    /// After a kill: unsynced writes may be lost, and one time in three the disk is replaced by an older copy.
    fn lose_journal_writes(&self, name: &str) {
        let mut rng = self.rng.borrow_mut();
        let mut journals = self.journals.borrow_mut();
        let Some(disks) = journals.get_mut(name) else {
            return;
        };
        let torn = disks.current.after_power_cut(&mut rng);
        let copy = torn.after_power_cut(&mut rng);
        disks.current = torn;
        if rng.u8(..3) == 0 && !disks.older.is_empty() {
            let older = &disks.older[rng.usize(..disks.older.len())];
            disks.current = older.after_power_cut(&mut rng);
        }
        disks.older.push(copy);
    }

    /// Sets whether a journal's disk is full.
    pub fn set_journal_disk_full(&self, name: &str, is_full: bool) {
        if let Some(disks) = self.journals.borrow().get(name) {
            disks.current.room(is_full.then_some(0));
        }
    }

    /// Sets whether a coordinator's disk is full.
    pub fn set_coordinator_disk_full(&self, number: u32, is_full: bool) {
        if let Some(disk) = self.disks.borrow().get(&number) {
            disk.room(is_full.then_some(0));
        }
    }

    /// Starts a faulty member, which starts to drain soon after it has learned of a grant, without waiting for agreement.
    pub fn start_hasty_member(self: &Rc<Self>, id: MemberId) {
        let (name, incarnation) = (id.to_string(), self.next_incarnation());
        let network = self.network.host(&name);
        let clients: Vec<RpcClient> = (1..=COORDINATORS)
            .map(|n| RpcClient::new(network.clone(), address(&format!("steward-{n}")), "museums"))
            .collect();
        let info = member_info(id, incarnation);
        let (record, clock, hold, member_name) = (
            self.record.clone(),
            self.clock,
            ProcessPause::default(),
            name.clone(),
        );
        let running = async move {
            let changes = [
                Change::Join {
                    member: id,
                    about: info,
                },
                Change::Proven {
                    member: id,
                    incarnation,
                },
            ];
            for change in changes {
                while clients[0]
                    .call::<ChangeReply>(
                        "change",
                        &ChangeRequest {
                            change: change.clone(),
                        },
                        SECOND,
                    )
                    .await
                    .is_err()
                {}
            }
            loop {
                let (interval_ticks, busy, last_copies) = (1_000, 0.0, 0);
                let heartbeat = Heartbeat {
                    member: id,
                    incarnation,
                    interval_ticks,
                    busy,
                    last_copies,
                };
                // A majority of coordinators has to receive its heartbeats, or the member is lost.
                for other in &clients[1..] {
                    let _ = other
                        .call::<HeartbeatReply>("renew", &heartbeat, SECOND)
                        .await;
                }
                let reply = clients[0]
                    .call::<HeartbeatReply>("renew", &heartbeat, SECOND)
                    .await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                if let Ok(HeartbeatReply {
                    phase: Some(Phase::Granted { grant }),
                    ..
                }) = reply
                {
                    tokio::time::sleep(Duration::from_millis(800)).await;
                    let (at_ns, member, what) =
                        (nanoseconds(clock.now()), member_name, "began".into());
                    record.borrow_mut().push(Line::Told {
                        at_ns,
                        member,
                        incarnation,
                        what,
                        grant,
                    });
                    return;
                }
            }
        };
        let process_hold = hold.clone();
        let task = tokio::task::spawn_local(async move {
            let local = tokio::task::LocalSet::new();
            pausable(process_hold, local.run_until(running)).await;
        });
        self.processes
            .borrow_mut()
            .insert(name, Process { task, hold });
    }

    fn record_end(&self, process: &str, code: Option<i32>, killed: bool) {
        let line = Line::Ended {
            at_ns: nanoseconds(self.clock.now()),
            process: process.to_owned(),
            code,
            killed,
        };
        self.record.borrow_mut().push(line);
    }

    /// Kills a process, as SIGKILL does. Unsynced writes to the disk of a coordinator or a journal may be kept, lost or torn.
    pub async fn kill(&self, name: &str) {
        let Some(process) = self
            .processes
            .borrow_mut()
            .remove(name)
            .filter(|process| !process.task.is_finished())
        else {
            return;
        };
        process.task.abort();
        let _ = process.task.await;
        self.record_end(name, None, true);
        if name.starts_with("journal-") {
            self.lose_journal_writes(name);
        }
        if let Some(number) = name
            .strip_prefix("steward-")
            .and_then(|n| n.parse::<u32>().ok())
        {
            let torn = self.disks.borrow()[&number].after_power_cut(&mut self.rng.borrow_mut());
            self.disks.borrow_mut().insert(number, torn);
        }
    }

    /// Pauses a process for this long.
    pub fn stall(&self, name: &str, duration: Duration) {
        if let Some(process) = self.processes.borrow().get(name) {
            process.hold.pause_for(duration);
            let process = name.to_owned();
            self.record.borrow_mut().push(Line::Stopped {
                at_ns: nanoseconds(self.clock.now()),
                process,
                still: true,
            });
        }
    }

    pub fn cut(&self, from: &str, to: &str) {
        self.network.cut(from, to);
    }

    pub fn heal(&self, from: &str, to: &str) {
        self.network.heal(from, to);
    }

    /// Adds a delay to what one process sends to another, or removes it.
    pub fn set_delay(&self, from: &str, to: &str, delay: Ticks, is_on: bool) {
        let link = Wire {
            delay,
            jitter: delay,
        };
        if is_on {
            self.network.add_slowdown(from, to, link)
        } else {
            self.network.remove_slowdown(from, to, link)
        }
    }

    /// Requests a change as an operator, from the first coordinator from this index on that answers.
    pub async fn request_change(
        &self,
        first: usize,
        what: &str,
        change: Change,
    ) -> Result<ChangeReply, String> {
        let sent_ns = nanoseconds(self.clock.now());
        let mut last_error = String::new();
        for offset in 0..self.operator_clients.len() {
            let index = (first + offset) % self.operator_clients.len();
            let request = ChangeRequest {
                change: change.clone(),
            };
            match self.operator_clients[index]
                .call::<ChangeReply>("change", &request, 4 * SECOND)
                .await
            {
                Ok(reply) => {
                    let (at_ns, answer) = (nanoseconds(self.clock.now()), String::new());
                    let what = what.to_owned();
                    self.record.borrow_mut().push(Line::Asked {
                        sent_ns,
                        at_ns,
                        what,
                        done: true,
                        answer,
                    });
                    return Ok(reply);
                }
                Err(error) => last_error = error.to_string(),
            }
        }
        if what == "resume" {
            // The resume may have taken effect, so drains may begin.
            let (at_ns, answer, what) = (sent_ns, last_error.clone(), what.to_owned());
            self.record.borrow_mut().push(Line::Asked {
                sent_ns,
                at_ns,
                what,
                done: false,
                answer,
            });
        }
        Err(last_error)
    }

    /// The status that a coordinator reports, by its index.
    pub async fn status(&self, index: usize) -> Option<Json> {
        self.operator_clients[index]
            .call("status", json!({}), SECOND)
            .await
            .ok()
    }
}
