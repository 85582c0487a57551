//! Hollow members: real stewards, the members' real code and real followers of the invoker list, over the emulated network
//! in one process, in virtual time. Disks are in memory, and count what is written to them.

use crate::meter::thread_cpu_ns;
use redb::StorageBackend;
use redb::backends::InMemoryBackend;
use saltdrum::interface::{MILLISECOND, SECOND, Ticks};
use saltdrum_coordinator::disk::{Disk, Identity, SCHEMA_VERSION};
use saltdrum_coordinator::rpc_client::RpcClient;
use saltdrum_coordinator::wire::{ChangeReply, ChangeRequest};
use saltdrum_coordinator::{CoordinatorConfig, FleetConfig, MemberRole, Membership, join, service};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::drain_scheduler::MemberLoad;
use saltdrum_fleet::register::{Config, Voter};
use saltdrum_fleet::state::{
    Fleet, LeaseName, LeaseState, LeaseTerms, Member, MemberId, MemberInfo, MemberKind, Phase,
};
use saltdrum_protocol::frame::{encode, take_frame};
use saltdrum_protocol::list::{Follow, FromList};
use saltdrum_simulated_network::{Link as Wire, Links, SimulatedNetwork};
use saltdrum_transport::{Address, Clock, EventLoopClock, Listener, Network, Stream};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::task::{LocalSet, spawn_local};

const STEWARDS: u32 = 3;
const FLEET: &str = "scale";
const TASK: &str = "count";
const RENEW: Ticks = 500 * MILLISECOND;

/// How large a hollow fleet is.
#[derive(Clone, Debug)]
pub struct FleetSize {
    /// Controllers and invokers that renew with every steward.
    pub members: u32,
    /// Of the invoker list, over all stewards.
    pub followers: u32,
    /// Leases of fleet-wide tasks, which all members offer.
    pub leases: u32,
    pub rest_s: u64,
    pub seed: u64,
}

/// What one size came to. Of a steward: the mean of all.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    pub members: u32,
    pub followers: u32,
    pub leases: u32,
    /// At rest, of a core, and both ways.
    pub steward_share: f64,
    pub steward_bytes_s: f64,
    /// One member's, at rest, with all stewards together.
    pub member_share: f64,
    pub member_bytes_s: f64,
    /// One change: from asking to its answer, in ms of virtual time, and what it cost a steward beyond rest.
    pub change_ms: f64,
    pub change_cpu_ms: f64,
    pub change_bytes: f64,
    pub change_disk_bytes: f64,
    /// The same of a change that takes a lease from its holder, where there are leases.
    pub handover_ms: f64,
    pub handover_cpu_ms: f64,
    pub handover_bytes: f64,
    /// Until followers had heard of a changed line: of each hundred the fiftieth, the ninety-ninth, and all.
    pub heard_p50_ms: f64,
    pub heard_p99_ms: f64,
    pub heard_all_ms: f64,
    /// What a follower was sent when it came, and for a change of one line.
    pub whole_list_bytes: u64,
    pub a_line_bytes: u64,
    /// The fleet as the register carries it.
    pub fleet_bytes: u64,
}

#[derive(Clone, Default)]
struct Spent {
    cpu_ns: Rc<Cell<u64>>,
    bytes: Rc<Cell<u64>>,
}

/// A future with the processor time of its polls noted.
struct Metered<F> {
    inner: Pin<Box<F>>,
    spent: Spent,
}

impl<F: Future> Future for Metered<F> {
    type Output = F::Output;
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let begun = thread_cpu_ns();
        let polled = self.inner.as_mut().poll(cx);
        self.spent
            .cpu_ns
            .set(self.spent.cpu_ns.get() + thread_cpu_ns() - begun);
        polled
    }
}

/// A network whose streams count what goes over them, both ways.
struct Counting {
    inner: Rc<dyn Network>,
    spent: Spent,
}

struct Counted {
    stream: Stream,
    bytes: Rc<Cell<u64>>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        b: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = b.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, b);
        self.bytes
            .set(self.bytes.get() + (b.filled().len() - before) as u64);
        polled
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        b: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, b);
        if let Poll::Ready(Ok(n)) = polled {
            self.bytes.set(self.bytes.get() + n as u64);
        }
        polled
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

struct Door {
    inner: Box<dyn Listener>,
    bytes: Rc<Cell<u64>>,
}

type Later<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;

impl Listener for Door {
    fn accept(&mut self) -> Later<'_, Stream> {
        Box::pin(async move {
            let stream = self.inner.accept().await?;
            Ok(Box::new(Counted {
                stream,
                bytes: self.bytes.clone(),
            }) as Stream)
        })
    }
}

impl Network for Counting {
    fn dial<'a>(&'a self, address: &'a Address) -> Later<'a, Stream> {
        Box::pin(async move {
            let stream = self.inner.dial(address).await?;
            Ok(Box::new(Counted {
                stream,
                bytes: self.spent.bytes.clone(),
            }) as Stream)
        })
    }
    fn listen<'a>(&'a self, address: &'a Address) -> Later<'a, (Box<dyn Listener>, Address)> {
        Box::pin(async move {
            let (inner, at) = self.inner.listen(address).await?;
            Ok((
                Box::new(Door {
                    inner,
                    bytes: self.spent.bytes.clone(),
                }) as Box<dyn Listener>,
                at,
            ))
        })
    }
}

#[derive(Debug)]
struct Platter {
    inner: InMemoryBackend,
    written: Arc<AtomicU64>,
}

impl StorageBackend for Platter {
    fn len(&self) -> io::Result<u64> {
        self.inner.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.inner.read(offset, out)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.inner.set_len(len)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.inner.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.written.fetch_add(data.len() as u64, Relaxed);
        self.inner.write(offset, data)
    }
}

fn at(name: &str) -> Address {
    Address::Memory(name.into())
}

fn terms() -> FleetConfig {
    FleetConfig {
        name: FLEET.into(),
        renew: RENEW,
        suspect_level: 8.0,
        grant_for: 2 * SECOND,
        drain_for: 60 * SECOND,
        prove_within: 0,
        halt_at_lost: 0,
        leases: Default::default(),
        bounds: vec![],
    }
}

/// Two of nine members are controllers, as at the target.
fn id(n: u32) -> MemberId {
    if n % 9 < 2 {
        MemberId::controller(n)
    } else {
        MemberId::invoker(n)
    }
}

fn about(n: u32, incarnation: u64) -> MemberInfo {
    MemberInfo {
        incarnation,
        site: if n.is_multiple_of(2) { "east" } else { "west" }.into(),
        cell: (n / 40) as u16,
        size: 4.0,
        memory_mb: 42_000.0,
        version: "1".into(),
        address: format!("tcp:10.{}.{}.{}:7001", n >> 16, n >> 8 & 255, n & 255),
        machine: 0,
        zone: (n % 5) as u8,
        tasks: BTreeSet::from([TASK.to_owned()]),
    }
}

/// A fleet in which all have joined and are proven: joining one by one costs the square of a fleet.
fn founded(members: u32, leases: u32) -> Fleet {
    let stewards = (1..=STEWARDS)
        .map(|n| (n, at(&format!("steward-{n}")).to_string()))
        .collect();
    let voters = (1..=STEWARDS)
        .map(|steward| Voter { steward, disk: 0 })
        .collect();
    let config = Config::initial(voters).expect("voters that differ");
    let mut fleet = Fleet::new(FLEET, config, stewards, vec![], 0);
    let up = |n| Member {
        info: about(n, 1),
        phase: Phase::Up,
        since: 0,
        past_incarnations: vec![],
    };
    fleet.members = (1..=members).map(|n| (id(n), up(n))).collect();
    if leases > 0 {
        let resources = BTreeSet::from(["registry".to_owned()]);
        let terms = LeaseTerms {
            task: TASK.into(),
            eligible: MemberKind::Invoker,
            resources,
        };
        let leases = (0..leases)
            .map(|n| (LeaseName(format!("lease-{n}")), terms.clone()))
            .collect();
        fleet
            .apply(&Change::Leases {
                leases,
                by: "scale".into(),
            })
            .expect("leases within their bounds");
    }
    fleet
}

/// Who holds the first lease.
fn first_holder(fleet: &Fleet) -> Option<MemberId> {
    match fleet.leases.values().next()?.state {
        LeaseState::Held { holder, .. } => Some(holder),
        _ => None,
    }
}

/// Serves for ever, and has nothing to do.
struct Serves;

impl MemberRole for Serves {
    fn is_healthy(&self) -> bool {
        true
    }
    fn load(&self) -> MemberLoad {
        MemberLoad::default()
    }
    fn start_drain(&self) {}
    fn is_drained(&self) -> bool {
        false
    }
    fn cancel_drain(&self) -> bool {
        true
    }
    fn record_event(&self, _: &'static str, _: u64) {}
}

/// What followers of the list heard: bytes of the first and the last message, and when a line last changed.
#[derive(Default)]
struct Heard {
    whole_bytes: u64,
    line_bytes: u64,
    at: Vec<Ticks>,
}

async fn follow(network: Rc<dyn Network>, list: Address, clock: Clock, heard: Rc<RefCell<Heard>>) {
    let Ok(mut stream) = network.dial(&list).await else {
        return;
    };
    if stream
        .write_all(&encode(&Follow {
            version: 1,
            controller: 1,
            incarnation: 1,
        }))
        .await
        .is_err()
    {
        return;
    }
    let mut read = bytes::BytesMut::new();
    loop {
        while let Ok(Some((kind, body))) = take_frame(&mut read) {
            let mut heard = heard.borrow_mut();
            match FromList::read(kind, &body) {
                Ok(FromList::Whole(_)) => heard.whole_bytes = body.len() as u64,
                Ok(FromList::Change(change)) if !change.entries.is_empty() => {
                    heard.line_bytes = body.len() as u64 / change.entries.len() as u64;
                    heard.at.push(clock.now());
                }
                _ => {}
            }
        }
        if !matches!(stream.read_buf(&mut read).await, Ok(1..)) {
            return;
        }
    }
}

/// Runs one hollow fleet.
pub fn run(size: &FleetSize) -> Row {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), play(size))
}

async fn pause(span: Ticks) {
    tokio::time::sleep(Duration::from_micros(span * 100)).await;
}

async fn play(size: &FleetSize) -> Row {
    let clock = Clock::start();
    let usual = Wire {
        delay: MILLISECOND,
        jitter: 2 * MILLISECOND,
    };
    let ether = SimulatedNetwork::new(
        clock,
        Links::new(usual, 0.0, size.seed),
        EventLoopClock::default(),
    );
    let founding = founded(size.members, size.leases);
    let fleet_bytes = serde_json::to_vec(&founding).map_or(0, |v| v.len() as u64);
    let (stewards, members) = (Spent::default(), Spent::default());
    let written = Arc::new(AtomicU64::new(0));
    for number in 1..=STEWARDS {
        let name = format!("steward-{number}");
        let (listen, list) = (at(&name), Some(at(&format!("list-{number}"))));
        let (life, seed, terms) = (u64::from(number), size.seed + u64::from(number), terms());
        let seat = CoordinatorConfig {
            number,
            incarnation: life,
            seed,
            fleet_config: terms,
            initial_fleet: founding.clone(),
            listen,
            invoker_list: list,
        };
        let voter = Voter {
            steward: number,
            disk: 0,
        };
        let new = Identity {
            schema: SCHEMA_VERSION,
            fleet: FLEET.into(),
            voter,
        };
        let count = written.clone();
        let opens = move || {
            let platter = Platter {
                inner: InMemoryBackend::new(),
                written: count.clone(),
            };
            redb::Database::builder().create_with_backend(platter)
        };
        let (disk, acceptor) =
            Disk::open(name.clone(), Box::new(opens), new).expect("a disk in memory");
        let network = Rc::new(Counting {
            inner: ether.host(&name),
            spent: stewards.clone(),
        });
        let inner = Box::pin(service::serve(seat, disk, acceptor, network, clock));
        spawn_local(Metered {
            inner,
            spent: stewards.clone(),
        });
    }
    let operator = RpcClient::new(ether.host("operator"), at("steward-1"), FLEET);
    let change = |change| ChangeRequest { change };
    // Something has to be agreed before stewards tell anybody of the fleet.
    let resume = change(Change::Resume { by: "scale".into() });
    while operator
        .call::<ChangeReply>("change", &resume, 10 * SECOND)
        .await
        .is_err()
    {
        pause(100 * MILLISECOND).await;
    }
    let heard: Rc<RefCell<Heard>> = Rc::default();
    for n in 0..size.followers {
        let (network, list) = (
            ether.host(&format!("follower-{n}")),
            at(&format!("list-{}", 1 + n % STEWARDS)),
        );
        spawn_local(follow(network, list, clock, heard.clone()));
    }
    let mut rng = fastrand::Rng::with_seed(size.seed);
    for n in 1..=size.members {
        let network = Rc::new(Counting {
            inner: ether.host(&format!("member-{n}")),
            spent: members.clone(),
        });
        let with = Membership {
            fleet: FLEET.into(),
            member: id(n),
            info: about(n, 1),
            coordinators: (1..=STEWARDS)
                .map(|n| at(&format!("steward-{n}")))
                .collect(),
            heartbeat_interval: RENEW,
            lease_watch: Default::default(),
        };
        let (spent, late) = (members.clone(), rng.u64(0..RENEW));
        spawn_local(async move {
            pause(late).await;
            let inner = Box::pin(async move {
                let local = LocalSet::new();
                local
                    .run_until(join(with, network, clock, Rc::new(Serves)))
                    .await
            });
            Metered { inner, spent }.await;
        });
    }
    pause(3 * SECOND).await;
    let read = || {
        (
            stewards.cpu_ns.get(),
            stewards.bytes.get(),
            members.cpu_ns.get(),
            members.bytes.get(),
        )
    };
    let since = |a: (u64, u64, u64, u64), b: (u64, u64, u64, u64)| {
        [b.0 - a.0, b.1 - a.1, b.2 - a.2, b.3 - a.3].map(|n| n as f64)
    };
    let before = read();
    pause(size.rest_s * SECOND).await;
    let [s_cpu, s_bytes, m_cpu, m_bytes] = since(before, read());
    let (span, n) = (size.rest_s as f64, f64::from(size.members));
    let mut row = Row {
        members: size.members,
        followers: size.followers,
        leases: size.leases,
        steward_share: s_cpu / 1e9 / span / f64::from(STEWARDS),
        steward_bytes_s: s_bytes / span / f64::from(STEWARDS),
        member_share: m_cpu / 1e9 / span / n,
        member_bytes_s: m_bytes / span / n,
        fleet_bytes,
        ..Row::default()
    };
    let holder = first_holder(&founding);
    let is_other = |n: &u32| id(n + 1).kind == MemberKind::Invoker && Some(id(n + 1)) != holder;
    // One invoker comes back under another life: one line changes.
    let other = 1 + (0..size.members).find(is_other).unwrap_or(0);
    heard.borrow_mut().at.clear();
    let comes_back = |n: u32| {
        change(Change::Join {
            member: id(n),
            about: about(n, 2),
        })
    };
    let begun = clock.now();
    let disk = written.load(Relaxed);
    let cost = async |asked: ChangeRequest| {
        let (before, begun) = (read(), clock.now());
        if let Err(why) = operator
            .call::<ChangeReply>("change", &asked, 30 * SECOND)
            .await
        {
            tracing::warn!(%why, "a change was not agreed");
        }
        let took_ms = (clock.now() - begun) as f64 / MILLISECOND as f64;
        pause(2 * SECOND).await;
        let ([cpu, bytes, ..], settle) = (
            since(before, read()),
            (clock.now() - begun) as f64 / SECOND as f64,
        );
        let stewards = f64::from(STEWARDS);
        let cpu_ms = (cpu / stewards / 1e9 - row.steward_share * settle) * 1e3;
        (
            took_ms,
            cpu_ms,
            bytes / stewards - row.steward_bytes_s * settle,
        )
    };
    let ordinary = cost(comes_back(other)).await;
    let disk = (written.load(Relaxed) - disk) as f64 / f64::from(STEWARDS);
    // What followers heard of the ordinary change alone.
    let heard_of_it = std::mem::take(&mut heard.borrow_mut().at);
    let handover = match holder {
        Some(holder) => cost(comes_back(holder.number)).await,
        None => (0.0, 0.0, 0.0),
    };
    (row.change_ms, row.change_cpu_ms, row.change_bytes) = ordinary;
    (row.handover_ms, row.handover_cpu_ms, row.handover_bytes) = handover;
    row.change_disk_bytes = disk;
    let heard = heard.borrow();
    let mut took: Vec<f64> = heard_of_it
        .iter()
        .map(|t| (t - begun) as f64 / MILLISECOND as f64)
        .collect();
    took.sort_by(f64::total_cmp);
    if let Some(last) = took.last() {
        row.heard_p50_ms = took[took.len() / 2];
        row.heard_p99_ms = took[took.len() * 99 / 100];
        row.heard_all_ms = *last;
    }
    (row.whole_list_bytes, row.a_line_bytes) = (heard.whole_bytes, heard.line_bytes);
    row
}
