//! A fleet on an emulated network: everything in one thread, in virtual time, by one seed.

use crate::disk::Disk as Platter;
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
use saltdrum_simulated_network::{Ether, Hold, Line as Wire, Lines, stoppable};
use saltdrum_transport::{Address, Clock, EventLoopClock};
use saltdrum_trial::record::Line;
use serde_json::{Value as Json, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;

pub const STEWARDS: u32 = 3;
/// How large a fleet is, and how long its members take.
#[derive(Clone, Copy)]
pub struct Size {
    pub invokers: u32,
    pub bound: u32,
    /// What stewards go by; another number than the bound only where they are wrong on purpose.
    pub granted: u32,
    pub drain: Ticks,
    pub restart: Ticks,
    pub prove: Ticks,
}

pub const SMALL: Size = Size {
    invokers: 6,
    bound: 2,
    granted: 2,
    drain: 300 * MILLISECOND,
    restart: 200 * MILLISECOND,
    prove: 200 * MILLISECOND,
};

struct Life {
    task: JoinHandle<()>,
    hold: Hold,
}

pub struct World {
    pub clock: Clock,
    size: Size,
    ether: Ether,
    pub rng: RefCell<fastrand::Rng>,
    disks: RefCell<BTreeMap<u32, Platter>>,
    lives: RefCell<BTreeMap<String, Life>>,
    pub lines: Rc<RefCell<Vec<Line>>>,
    lifetimes: Cell<u64>,
    callers: Vec<RpcClient>,
    pub over: Cell<bool>,
    /// Leases that the fleet is founded with.
    pub leases: RefCell<BTreeMap<LeaseName, LeaseTerms>>,
    journals: RefCell<BTreeMap<String, JournalDisks>>,
    /// How holders and journals go about it.
    pub lease_mode: Cell<LeaseMode>,
}

/// The disk of a journal, and copies of it from before.
#[derive(Clone, Default)]
struct JournalDisks {
    now: Platter,
    older: Vec<Platter>,
}

pub const JOURNALS: [&str; 2] = ["journal-1", "journal-2"];
pub const TASK: &str = "count";

fn terms(bound: u32) -> FleetConfig {
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

fn at(name: &str) -> Address {
    Address::Memory(name.into())
}

fn ns(at: Ticks) -> u64 {
    at * 100_000
}

fn about(id: MemberId, incarnation: u64) -> MemberInfo {
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
        address: at(&id.to_string()).to_string(),
        machine: 0,
        zone: 0,
        tasks: Default::default(),
    }
}

struct Stub {
    lines: Rc<RefCell<Vec<Line>>>,
    clock: Clock,
    member: String,
    incarnation: u64,
    since: Ticks,
    size: Size,
    drains: Cell<Option<Ticks>>,
}

impl MemberRole for Stub {
    fn is_healthy(&self) -> bool {
        self.clock.now() > self.since + self.size.prove
    }

    fn load(&self) -> MemberLoad {
        MemberLoad::default()
    }

    fn start_drain(&self) {
        self.drains.set(Some(self.clock.now()));
    }

    fn is_drained(&self) -> bool {
        self.drains
            .get()
            .is_some_and(|at| self.clock.now() > at + self.size.drain)
    }

    fn cancel_drain(&self) -> bool {
        self.drains.set(None);
        true
    }

    fn record_event(&self, what: &'static str, grant: u64) {
        self.lines.borrow_mut().push(Line::Told {
            at_ns: ns(self.clock.now()),
            member: self.member.clone(),
            incarnation: self.incarnation,
            what: what.to_owned(),
            grant,
        });
    }
}

impl World {
    pub fn new(seed: u64, size: Size) -> Rc<Self> {
        let clock = Clock::start();
        let usual = Wire {
            delay: MILLISECOND,
            jitter: 2 * MILLISECOND,
        };
        let ether = Ether::new(
            clock,
            Lines::new(usual, 0.0, seed),
            EventLoopClock::default(),
        );
        let operator = ether.host("operator");
        let callers = (1..=STEWARDS)
            .map(|n| RpcClient::new(operator.clone(), at(&format!("steward-{n}")), "museums"));
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
            callers: callers.collect(),
            ether,
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            disks: RefCell::default(),
            lives: RefCell::default(),
            lines: Rc::new(RefCell::new(vec![bound])),
            lifetimes: Cell::new(0),
            over: Cell::new(false),
            leases: RefCell::default(),
            journals: RefCell::default(),
            lease_mode: Cell::new(LeaseMode::AsBuilt),
        })
    }

    fn next_life(&self) -> u64 {
        self.lifetimes.set(self.lifetimes.get() + 1);
        self.lifetimes.get()
    }

    pub fn is_running(&self, name: &str) -> bool {
        self.lives
            .borrow()
            .get(name)
            .is_some_and(|l| !l.task.is_finished())
    }

    pub fn steward(self: &Rc<Self>, number: u32) {
        let name = format!("steward-{number}");
        let stewards: BTreeMap<u32, String> = (1..=STEWARDS)
            .map(|n| (n, at(&format!("steward-{n}")).to_string()))
            .collect();
        let founders = (1..=STEWARDS)
            .map(|steward| Voter { steward, disk: 0 })
            .collect();
        let config = Config::initial(founders).unwrap();
        let mut founding = Fleet::new(
            "museums",
            config,
            stewards,
            terms(self.size.granted).bounds,
            0,
        );
        let leases = self.leases.borrow().clone();
        if !leases.is_empty() {
            founding
                .apply(&Change::Leases {
                    leases,
                    by: "the script".into(),
                })
                .unwrap();
        }
        let seat = CoordinatorConfig {
            number,
            incarnation: self.next_life(),
            seed: self.rng.borrow_mut().u64(..),
            fleet_config: terms(self.size.granted),
            initial_fleet: founding,
            listen: at(&name),
            invoker_list: None,
        };
        let platter = self.disks.borrow_mut().entry(number).or_default().clone();
        let new = Identity {
            schema: SCHEMA_VERSION,
            fleet: "museums".into(),
            voter: Voter {
                steward: number,
                disk: 0,
            },
        };
        // A process that can't read or write its disk ends at once, to be started again later.
        let Ok((disk, acceptor)) = Disk::open(name.clone(), platter.opens(), new) else {
            return;
        };
        let (network, clock, hold) = (self.ether.host(&name), self.clock, Hold::default());
        let lasting = stoppable(hold.clone(), async move {
            if let Err(why) = service::serve(seat, disk, acceptor, network, clock).await {
                panic!("a steward ended: {why}");
            }
        });
        let task = tokio::task::spawn_local(lasting);
        self.lives.borrow_mut().insert(name, Life { task, hold });
    }

    pub fn member(self: &Rc<Self>, id: MemberId) {
        let (name, incarnation) = (id.to_string(), self.next_life());
        let mut about = about(id, incarnation);
        about
            .tasks
            .extend((!self.leases.borrow().is_empty()).then(|| TASK.to_owned()));
        let watch: Rc<LeaseWatch> = Rc::default();
        let clock = self.drifting_clock(incarnation);
        let with = Membership {
            fleet: "museums".into(),
            member: id,
            info: about,
            coordinators: (1..=STEWARDS)
                .map(|n| at(&format!("steward-{n}")))
                .collect(),
            heartbeat_interval: terms(self.size.granted).renew,
            lease_watch: watch.clone(),
        };
        let part = Rc::new(Stub {
            lines: self.lines.clone(),
            clock: self.clock,
            member: name.clone(),
            incarnation,
            since: self.clock.now(),
            size: self.size,
            drains: Cell::default(),
        });
        let (network, hold, this) = (self.ether.host(&name), Hold::default(), self.clone());
        let held = hold.clone();
        let ended_name = name.clone();
        let task = tokio::task::spawn_local(async move {
            let local = tokio::task::LocalSet::new();
            let holds = holder::holds(
                this.clone(),
                network.clone(),
                clock,
                watch,
                format!("{id}/{incarnation}"),
            );
            let part = local.run_until(async move {
                tokio::select! {
                    ended = join(with, network, clock, part) => ended,
                    () = holds => unreachable!("a holder runs for ever"),
                }
            });
            let ended = stoppable(held, part).await;
            let code = if ended == MembershipEnd::Drained {
                0
            } else {
                2
            };
            this.note_end(&ended_name, Some(code), false);
            let again = this.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_micros(again.size.restart * 100)).await;
                if ended == MembershipEnd::Drained
                    && !again.over.get()
                    && !again.is_running(&ended_name)
                {
                    again.member(id);
                }
            });
        });
        self.lives.borrow_mut().insert(name, Life { task, hold });
    }

    /// A member's own clock: right, at half or twice the rate, or far ahead. Only leases are held by it.
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

    /// An append-only resource, with a disk of its own.
    pub fn journal(self: &Rc<Self>, name: &str) {
        let disks = self
            .journals
            .borrow_mut()
            .entry(name.to_owned())
            .or_default()
            .clone();
        let network = self.ether.host(name);
        let stewards = (1..=STEWARDS).map(|n| at(&format!("steward-{n}")));
        let stewards = stewards
            .map(|at| RpcClient::new(network.clone(), at, "museums"))
            .collect();
        let (lines, clock, resource) = (self.lines.clone(), self.clock, name.to_owned());
        let tells = Box::new(move |accepted: &Accepted| {
            lines.borrow_mut().push(Line::Effect {
                at_ns: ns(clock.now()),
                resource: resource.clone(),
                lease: accepted.token.lease.to_string(),
                epoch: accepted.token.epoch,
                by: accepted.actor.clone(),
            });
        });
        let incarnation = self.next_life();
        let (mode, hold, listen) = (self.lease_mode.get(), Hold::default(), at(name));
        let serving = stoppable(hold.clone(), async move {
            let Ok(disk) = JournalDisk::open(disks.now.opens()) else {
                return;
            };
            let local = tokio::task::LocalSet::new();
            let serving = holder::serve_journal(
                mode,
                incarnation,
                stewards,
                disk,
                tells,
                network,
                listen,
                clock,
            );
            local.run_until(serving).await
        });
        let task = tokio::task::spawn_local(serving);
        self.lives
            .borrow_mut()
            .insert(name.to_owned(), Life { task, hold });
    }

    /// After a kill: what was not synced may be gone, and now and then the disk is an older copy.
    fn lose_journal_writes(&self, name: &str) {
        let mut rng = self.rng.borrow_mut();
        let mut journals = self.journals.borrow_mut();
        let Some(disks) = journals.get_mut(name) else {
            return;
        };
        let torn = disks.now.after_power_cut(&mut rng);
        let copy = torn.after_power_cut(&mut rng);
        disks.now = torn;
        if rng.u8(..3) == 0 && !disks.older.is_empty() {
            let older = &disks.older[rng.usize(..disks.older.len())];
            disks.now = older.after_power_cut(&mut rng);
        }
        disks.older.push(copy);
    }

    /// Whether a journal's disk takes no more, from now on.
    pub fn fill_journal(&self, name: &str, is_full: bool) {
        if let Some(disks) = self.journals.borrow().get(name) {
            disks.now.room(is_full.then_some(0));
        }
    }

    /// Whether a steward's disk takes no more, from now on.
    pub fn fill_steward(&self, number: u32, is_full: bool) {
        if let Some(disk) = self.disks.borrow().get(&number) {
            disk.room(is_full.then_some(0));
        }
    }

    /// Planted: goes soon after it has heard of a grant, and asks nobody.
    pub fn hasty_member(self: &Rc<Self>, id: MemberId) {
        let (name, incarnation) = (id.to_string(), self.next_life());
        let network = self.ether.host(&name);
        let callers: Vec<RpcClient> = (1..=STEWARDS)
            .map(|n| RpcClient::new(network.clone(), at(&format!("steward-{n}")), "museums"))
            .collect();
        let about = about(id, incarnation);
        let (lines, clock, hold, told) = (
            self.lines.clone(),
            self.clock,
            Hold::default(),
            name.clone(),
        );
        let going = async move {
            let changes = [
                Change::Join { member: id, about },
                Change::Proven {
                    member: id,
                    incarnation,
                },
            ];
            for change in changes {
                while callers[0]
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
                let said = Heartbeat {
                    member: id,
                    incarnation,
                    interval_ticks,
                    busy,
                    last_copies,
                };
                // Most stewards have to hear it, or it is lost.
                for other in &callers[1..] {
                    let _ = other.call::<HeartbeatReply>("renew", &said, SECOND).await;
                }
                let standing = callers[0]
                    .call::<HeartbeatReply>("renew", &said, SECOND)
                    .await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                if let Ok(HeartbeatReply {
                    phase: Some(Phase::Granted { grant }),
                    ..
                }) = standing
                {
                    tokio::time::sleep(Duration::from_millis(800)).await;
                    let (at_ns, member, what) = (ns(clock.now()), told, "began".into());
                    lines.borrow_mut().push(Line::Told {
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
        let held = hold.clone();
        let task = tokio::task::spawn_local(async move {
            let local = tokio::task::LocalSet::new();
            stoppable(held, local.run_until(going)).await;
        });
        self.lives.borrow_mut().insert(name, Life { task, hold });
    }

    fn note_end(&self, process: &str, code: Option<i32>, killed: bool) {
        let line = Line::Ended {
            at_ns: ns(self.clock.now()),
            process: process.to_owned(),
            code,
            killed,
        };
        self.lines.borrow_mut().push(line);
    }

    /// As SIGKILL; of a steward's disk what was not synced is there, in part or not.
    pub async fn kill(&self, name: &str) {
        let Some(life) = self
            .lives
            .borrow_mut()
            .remove(name)
            .filter(|l| !l.task.is_finished())
        else {
            return;
        };
        life.task.abort();
        let _ = life.task.await;
        self.note_end(name, None, true);
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

    pub fn stall(&self, name: &str, span: Duration) {
        if let Some(life) = self.lives.borrow().get(name) {
            life.hold.stop(span);
            let process = name.to_owned();
            self.lines.borrow_mut().push(Line::Stopped {
                at_ns: ns(self.clock.now()),
                process,
                still: true,
            });
        }
    }

    pub fn cut(&self, from: &str, to: &str) {
        self.ether.cut(from, to);
    }

    pub fn heal(&self, from: &str, to: &str) {
        self.ether.heal(from, to);
    }

    pub fn slow(&self, from: &str, to: &str, by: Ticks, on: bool) {
        let line = Wire {
            delay: by,
            jitter: by,
        };
        if on {
            self.ether.slow(from, to, line)
        } else {
            self.ether.quicken(from, to, line)
        }
    }

    /// An operator's change, by the steward given first.
    pub async fn operator(
        &self,
        first: usize,
        what: &str,
        change: Change,
    ) -> Result<ChangeReply, String> {
        let sent_ns = ns(self.clock.now());
        let mut last = String::new();
        for n in 0..self.callers.len() {
            let caller = &self.callers[(first + n) % self.callers.len()];
            let asked = ChangeRequest {
                change: change.clone(),
            };
            match caller
                .call::<ChangeReply>("change", &asked, 4 * SECOND)
                .await
            {
                Ok(done) => {
                    let (at_ns, answer) = (ns(self.clock.now()), String::new());
                    let what = what.to_owned();
                    self.lines.borrow_mut().push(Line::Asked {
                        sent_ns,
                        at_ns,
                        what,
                        done: true,
                        answer,
                    });
                    return Ok(done);
                }
                Err(why) => last = why.to_string(),
            }
        }
        if what == "resume" {
            // It may have been done, and drains may begin.
            let (at_ns, answer, what) = (sent_ns, last.clone(), what.to_owned());
            self.lines.borrow_mut().push(Line::Asked {
                sent_ns,
                at_ns,
                what,
                done: false,
                answer,
            });
        }
        Err(last)
    }

    pub async fn status(&self, n: usize) -> Option<Json> {
        self.callers[n].call("status", json!({}), SECOND).await.ok()
    }
}
