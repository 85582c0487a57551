//! Measures coordinators and members in isolation: real coordinators, the members' real code and real followers of the
//! invoker list run over the simulated network in one process, in virtual time. Disks are in memory and count written
//! bytes.

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
use saltdrum_simulated_network::{Link, Links, SimulatedNetwork};
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

const COORDINATORS: u32 = 3;
const FLEET: &str = "scale";
const LEASE_TASK: &str = "count";
const HEARTBEAT_INTERVAL: Ticks = 500 * MILLISECOND;

/// The size of a fleet, and how long it is measured.
#[derive(Clone, Debug)]
pub struct FleetSize {
    /// Controllers and invokers that send heartbeats to every coordinator.
    pub members: u32,
    /// Followers of the invoker list, spread over all coordinators.
    pub followers: u32,
    /// Leases of fleet-wide tasks, whose task every member offers.
    pub leases: u32,
    /// Time without changes, in seconds of virtual time.
    pub rest_s: u64,
    pub seed: u64,
}

/// The measurements at one size. Those of a coordinator are means over all coordinators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    pub members: u32,
    pub followers: u32,
    pub leases: u32,
    /// Share of a core used at rest.
    #[serde(rename = "steward_share")]
    pub coordinator_share: f64,
    /// Bytes per second at rest, both directions together.
    #[serde(rename = "steward_bytes_s")]
    pub coordinator_bytes_s: f64,
    /// The same for one member, with all coordinators together.
    pub member_share: f64,
    pub member_bytes_s: f64,
    /// Virtual time from requesting a change to its response.
    pub change_ms: f64,
    /// Costs of the change to a coordinator, in addition to those at rest.
    pub change_cpu_ms: f64,
    pub change_bytes: f64,
    pub change_disk_bytes: f64,
    /// The same for a change that takes a lease from its holder, if there are leases.
    pub handover_ms: f64,
    pub handover_cpu_ms: f64,
    pub handover_bytes: f64,
    /// Time until half of the followers, 99% of them, and all had received a changed entry.
    #[serde(rename = "heard_p50_ms")]
    pub propagation_p50_ms: f64,
    #[serde(rename = "heard_p99_ms")]
    pub propagation_p99_ms: f64,
    #[serde(rename = "heard_all_ms")]
    pub propagation_max_ms: f64,
    /// Bytes sent to a follower when it connects.
    #[serde(rename = "whole_list_bytes")]
    pub snapshot_bytes: u64,
    /// Bytes sent to a follower for a change of one entry.
    #[serde(rename = "a_line_bytes")]
    pub entry_bytes: u64,
    /// Size of the fleet's state as the register stores it.
    pub fleet_bytes: u64,
}

/// CPU time and traffic of a group of tasks.
#[derive(Clone, Default)]
struct Usage {
    cpu_ns: Rc<Cell<u64>>,
    bytes: Rc<Cell<u64>>,
}

/// A future with the CPU time of its polls recorded.
struct Metered<F> {
    inner: Pin<Box<F>>,
    usage: Usage,
}

impl<F: Future> Future for Metered<F> {
    type Output = F::Output;
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let start = thread_cpu_ns();
        let polled = self.inner.as_mut().poll(cx);
        self.usage
            .cpu_ns
            .set(self.usage.cpu_ns.get() + thread_cpu_ns() - start);
        polled
    }
}

/// A network whose streams count the bytes of both directions.
struct CountingNetwork {
    inner: Rc<dyn Network>,
    usage: Usage,
}

struct CountingStream {
    stream: Stream,
    bytes: Rc<Cell<u64>>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.bytes
            .set(self.bytes.get() + (buffer.filled().len() - before) as u64);
        polled
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buffer);
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

struct CountingListener {
    inner: Box<dyn Listener>,
    bytes: Rc<Cell<u64>>,
}

type BoxedIo<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;

impl Listener for CountingListener {
    fn accept(&mut self) -> BoxedIo<'_, Stream> {
        Box::pin(async move {
            let stream = self.inner.accept().await?;
            Ok(Box::new(CountingStream {
                stream,
                bytes: self.bytes.clone(),
            }) as Stream)
        })
    }
}

impl Network for CountingNetwork {
    fn dial<'a>(&'a self, address: &'a Address) -> BoxedIo<'a, Stream> {
        Box::pin(async move {
            let stream = self.inner.dial(address).await?;
            Ok(Box::new(CountingStream {
                stream,
                bytes: self.usage.bytes.clone(),
            }) as Stream)
        })
    }
    fn listen<'a>(&'a self, address: &'a Address) -> BoxedIo<'a, (Box<dyn Listener>, Address)> {
        Box::pin(async move {
            let (inner, at) = self.inner.listen(address).await?;
            Ok((
                Box::new(CountingListener {
                    inner,
                    bytes: self.usage.bytes.clone(),
                }) as Box<dyn Listener>,
                at,
            ))
        })
    }
}

/// An in-memory disk that counts the bytes written to it.
#[derive(Debug)]
struct CountingDisk {
    inner: InMemoryBackend,
    written: Arc<AtomicU64>,
}

impl StorageBackend for CountingDisk {
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

fn memory_address(name: &str) -> Address {
    Address::Memory(name.into())
}

fn fleet_config() -> FleetConfig {
    FleetConfig {
        name: FLEET.into(),
        renew: HEARTBEAT_INTERVAL,
        suspect_level: 8.0,
        grant_for: 2 * SECOND,
        drain_for: 60 * SECOND,
        prove_within: 0,
        halt_at_lost: 0,
        leases: Default::default(),
        bounds: vec![],
    }
}

/// Two of nine members are controllers, as in the target fleet.
fn member_id(n: u32) -> MemberId {
    if n % 9 < 2 {
        MemberId::controller(n)
    } else {
        MemberId::invoker(n)
    }
}

fn member_info(n: u32, incarnation: u64) -> MemberInfo {
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
        tasks: BTreeSet::from([LEASE_TASK.to_owned()]),
    }
}

/// A fleet that all members have already joined and in which all are up: joining one by one takes time quadratic in the
/// size of the fleet.
fn populated_fleet(members: u32, leases: u32) -> Fleet {
    let stewards = (1..=COORDINATORS)
        .map(|n| (n, memory_address(&format!("steward-{n}")).to_string()))
        .collect();
    let voters = (1..=COORDINATORS)
        .map(|steward| Voter { steward, disk: 0 })
        .collect();
    let config = Config::initial(voters).expect("the voters are distinct");
    let mut fleet = Fleet::new(FLEET, config, stewards, vec![], 0);
    let up_member = |n| Member {
        info: member_info(n, 1),
        phase: Phase::Up,
        since: 0,
        past_incarnations: vec![],
    };
    fleet.members = (1..=members)
        .map(|n| (member_id(n), up_member(n)))
        .collect();
    if leases > 0 {
        let resources = BTreeSet::from(["registry".to_owned()]);
        let terms = LeaseTerms {
            task: LEASE_TASK.into(),
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
            .expect("the leases are valid");
    }
    fleet
}

/// The holder of the first lease.
fn first_holder(fleet: &Fleet) -> Option<MemberId> {
    match fleet.leases.values().next()?.state {
        LeaseState::Held { holder, .. } => Some(holder),
        _ => None,
    }
}

/// A healthy member without load.
struct IdleMember;

impl MemberRole for IdleMember {
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

/// What the followers of the list received: the sizes of the last snapshot and of the last changed entry, and the times
/// of changes.
#[derive(Default)]
struct ReceivedUpdates {
    snapshot_bytes: u64,
    entry_bytes: u64,
    change_times: Vec<Ticks>,
}

async fn follow(
    network: Rc<dyn Network>,
    list: Address,
    clock: Clock,
    received: Rc<RefCell<ReceivedUpdates>>,
) {
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
    let mut buffer = bytes::BytesMut::new();
    loop {
        while let Ok(Some((kind, body))) = take_frame(&mut buffer) {
            let mut received = received.borrow_mut();
            match FromList::read(kind, &body) {
                Ok(FromList::Whole(_)) => received.snapshot_bytes = body.len() as u64,
                Ok(FromList::Change(change)) if !change.entries.is_empty() => {
                    received.entry_bytes = body.len() as u64 / change.entries.len() as u64;
                    received.change_times.push(clock.now());
                }
                _ => {}
            }
        }
        if !matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
            return;
        }
    }
}

/// Measures one fleet.
pub fn run(size: &FleetSize) -> Row {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), play(size))
}

async fn sleep(duration: Ticks) {
    tokio::time::sleep(Duration::from_micros(duration * 100)).await;
}

async fn play(size: &FleetSize) -> Row {
    let clock = Clock::start();
    let link = Link {
        delay: MILLISECOND,
        jitter: 2 * MILLISECOND,
    };
    let simulated_network = SimulatedNetwork::new(
        clock,
        Links::new(link, 0.0, size.seed),
        EventLoopClock::default(),
    );
    let initial_fleet = populated_fleet(size.members, size.leases);
    let fleet_bytes = serde_json::to_vec(&initial_fleet).map_or(0, |v| v.len() as u64);
    let (coordinator_usage, member_usage) = (Usage::default(), Usage::default());
    let written = Arc::new(AtomicU64::new(0));
    for number in 1..=COORDINATORS {
        let name = format!("steward-{number}");
        let (listen, list) = (
            memory_address(&name),
            Some(memory_address(&format!("list-{number}"))),
        );
        let (incarnation, seed, fleet_config) = (
            u64::from(number),
            size.seed + u64::from(number),
            fleet_config(),
        );
        let config = CoordinatorConfig {
            number,
            incarnation,
            seed,
            fleet_config,
            initial_fleet: initial_fleet.clone(),
            listen,
            invoker_list: list,
        };
        let voter = Voter {
            steward: number,
            disk: 0,
        };
        let identity = Identity {
            schema: SCHEMA_VERSION,
            fleet: FLEET.into(),
            voter,
        };
        let written_counter = written.clone();
        let open_database = move || {
            let backend = CountingDisk {
                inner: InMemoryBackend::new(),
                written: written_counter.clone(),
            };
            redb::Database::builder().create_with_backend(backend)
        };
        let (disk, acceptor) = Disk::open(name.clone(), Box::new(open_database), identity)
            .expect("the in-memory disk opens");
        let network = Rc::new(CountingNetwork {
            inner: simulated_network.host(&name),
            usage: coordinator_usage.clone(),
        });
        let inner = Box::pin(service::serve(config, disk, acceptor, network, clock));
        spawn_local(Metered {
            inner,
            usage: coordinator_usage.clone(),
        });
    }
    let operator = RpcClient::new(
        simulated_network.host("operator"),
        memory_address("steward-1"),
        FLEET,
    );
    let request = |change| ChangeRequest { change };
    // Coordinators publish the fleet only after the first agreed change.
    let resume = request(Change::Resume { by: "scale".into() });
    while operator
        .call::<ChangeReply>("change", &resume, 10 * SECOND)
        .await
        .is_err()
    {
        sleep(100 * MILLISECOND).await;
    }
    let received: Rc<RefCell<ReceivedUpdates>> = Rc::default();
    for n in 0..size.followers {
        let (network, list) = (
            simulated_network.host(&format!("follower-{n}")),
            memory_address(&format!("list-{}", 1 + n % COORDINATORS)),
        );
        spawn_local(follow(network, list, clock, received.clone()));
    }
    let mut rng = fastrand::Rng::with_seed(size.seed);
    for n in 1..=size.members {
        let network = Rc::new(CountingNetwork {
            inner: simulated_network.host(&format!("member-{n}")),
            usage: member_usage.clone(),
        });
        let membership = Membership {
            fleet: FLEET.into(),
            member: member_id(n),
            info: member_info(n, 1),
            coordinators: (1..=COORDINATORS)
                .map(|n| memory_address(&format!("steward-{n}")))
                .collect(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            lease_watch: Default::default(),
        };
        let (usage, start_delay) = (member_usage.clone(), rng.u64(0..HEARTBEAT_INTERVAL));
        spawn_local(async move {
            sleep(start_delay).await;
            let inner = Box::pin(async move {
                let local = LocalSet::new();
                local
                    .run_until(join(membership, network, clock, Rc::new(IdleMember)))
                    .await
            });
            Metered { inner, usage }.await;
        });
    }
    sleep(3 * SECOND).await;
    let read_usage = || {
        (
            coordinator_usage.cpu_ns.get(),
            coordinator_usage.bytes.get(),
            member_usage.cpu_ns.get(),
            member_usage.bytes.get(),
        )
    };
    let difference = |before: (u64, u64, u64, u64), after: (u64, u64, u64, u64)| {
        [
            after.0 - before.0,
            after.1 - before.1,
            after.2 - before.2,
            after.3 - before.3,
        ]
        .map(|n| n as f64)
    };
    let before = read_usage();
    sleep(size.rest_s * SECOND).await;
    let [coordinator_cpu, coordinator_bytes, member_cpu, member_bytes] =
        difference(before, read_usage());
    let (rest_s, member_count) = (size.rest_s as f64, f64::from(size.members));
    let mut row = Row {
        members: size.members,
        followers: size.followers,
        leases: size.leases,
        coordinator_share: coordinator_cpu / 1e9 / rest_s / f64::from(COORDINATORS),
        coordinator_bytes_s: coordinator_bytes / rest_s / f64::from(COORDINATORS),
        member_share: member_cpu / 1e9 / rest_s / member_count,
        member_bytes_s: member_bytes / rest_s / member_count,
        fleet_bytes,
        ..Row::default()
    };
    let holder = first_holder(&initial_fleet);
    let is_other =
        |n: &u32| member_id(n + 1).kind == MemberKind::Invoker && Some(member_id(n + 1)) != holder;
    // One invoker rejoins with a new incarnation, which changes one entry of the list.
    let other = 1 + (0..size.members).find(is_other).unwrap_or(0);
    received.borrow_mut().change_times.clear();
    let rejoin = |n: u32| {
        request(Change::Join {
            member: member_id(n),
            about: member_info(n, 2),
        })
    };
    let begin = clock.now();
    let written_before = written.load(Relaxed);
    let measure_change = async |change: ChangeRequest| {
        let (before, begin) = (read_usage(), clock.now());
        if let Err(error) = operator
            .call::<ChangeReply>("change", &change, 30 * SECOND)
            .await
        {
            tracing::warn!(why = %error, "change was not agreed");
        }
        let duration_ms = (clock.now() - begin) as f64 / MILLISECOND as f64;
        sleep(2 * SECOND).await;
        let ([cpu, bytes, ..], elapsed_s) = (
            difference(before, read_usage()),
            (clock.now() - begin) as f64 / SECOND as f64,
        );
        let coordinators = f64::from(COORDINATORS);
        let cpu_ms = (cpu / coordinators / 1e9 - row.coordinator_share * elapsed_s) * 1e3;
        (
            duration_ms,
            cpu_ms,
            bytes / coordinators - row.coordinator_bytes_s * elapsed_s,
        )
    };
    let ordinary = measure_change(rejoin(other)).await;
    let disk_bytes = (written.load(Relaxed) - written_before) as f64 / f64::from(COORDINATORS);
    // Taken before the handover, so that these are the times of the ordinary change only.
    let change_times = std::mem::take(&mut received.borrow_mut().change_times);
    let handover = match holder {
        Some(holder) => measure_change(rejoin(holder.number)).await,
        None => (0.0, 0.0, 0.0),
    };
    (row.change_ms, row.change_cpu_ms, row.change_bytes) = ordinary;
    (row.handover_ms, row.handover_cpu_ms, row.handover_bytes) = handover;
    row.change_disk_bytes = disk_bytes;
    let received = received.borrow();
    let mut delays_ms: Vec<f64> = change_times
        .iter()
        .map(|t| (t - begin) as f64 / MILLISECOND as f64)
        .collect();
    delays_ms.sort_by(f64::total_cmp);
    if let Some(last) = delays_ms.last() {
        row.propagation_p50_ms = delays_ms[delays_ms.len() / 2];
        row.propagation_p99_ms = delays_ms[delays_ms.len() * 99 / 100];
        row.propagation_max_ms = *last;
    }
    (row.snapshot_bytes, row.entry_bytes) = (received.snapshot_bytes, received.entry_bytes);
    row
}
