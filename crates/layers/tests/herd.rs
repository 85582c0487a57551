//! Many fetchers that load one model at once from one store, without shared state, on a simulated network with faults. Uses
//! only the public calls of the code under test.

use saltdrum::interface::{InvokerId, MILLISECOND, SECOND, Ticks};
use saltdrum_layers::Digest;
use saltdrum_layers::plan::{
    FetchOutcome, Fetcher, Member, MissingChunk, Source, UploadDecision, UploadScheduler,
};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

const CHUNK_BYTES: u64 = 1 << 20;
const ONE_WAY_DELAY: Ticks = 3;
const TRANSFER_TIME: Ticks = 15 * MILLISECOND;

type Action = Box<dyn FnOnce(&mut World)>;

struct Event(Ticks, u64, Action);

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

struct Node {
    fetcher: Fetcher,
    uploads: UploadScheduler,
    cached: BTreeSet<Digest>,
    /// Requests for cached chunks that wait for a transfer slot.
    queue: VecDeque<(InvokerId, u64)>,
    /// Requests from peers that wait for this node's own fetch.
    waiting_peers: BTreeMap<Digest, Vec<(InvokerId, u64)>>,
    is_alive: bool,
    is_hung: bool,
    is_draining: bool,
    sends_corrupt: bool,
    wake: Ticks,
    finished_at: Option<Ticks>,
}

struct World {
    now: Ticks,
    sequence: u64,
    events: BinaryHeap<Event>,
    nodes: BTreeMap<InvokerId, Node>,
    /// The store's fetches in progress, the number from which it refuses, and the number above which it slows down.
    store: (usize, usize, f64),
    refusal_share: f64,
    refuses_until: Ticks,
    corrupt: BTreeSet<Digest>,
    requests: BTreeMap<Digest, u32>,
    refused: u32,
    from_peers: u32,
    accepted_corrupt: u32,
    rng: fastrand::Rng,
}

fn members(ids: impl IntoIterator<Item = InvokerId>) -> Vec<Member> {
    ids.into_iter()
        .map(|invoker| Member {
            invoker,
            size: 1.0,
            capacity_share: 1.0,
            ready: true,
        })
        .collect()
}

fn model(name: u32, chunks: u32) -> Vec<MissingChunk> {
    (0..chunks)
        .map(|c| MissingChunk {
            digest: Digest::of(format!("{name}/{c}").as_bytes()),
            bytes: CHUNK_BYTES,
        })
        .collect()
}

impl World {
    fn new(n: u32, seed: u64) -> Self {
        let node = |id: InvokerId| {
            let mut fetcher = Fetcher::new(id, seed ^ u64::from(id));
            fetcher.set_members(members(1..=n));
            Node {
                fetcher,
                uploads: UploadScheduler::new(0, 200e6),
                cached: BTreeSet::new(),
                queue: VecDeque::new(),
                waiting_peers: BTreeMap::new(),
                is_alive: true,
                is_hung: false,
                is_draining: false,
                sends_corrupt: false,
                wake: 0,
                finished_at: None,
            }
        };
        Self {
            now: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            nodes: (1..=n).map(|id| (id, node(id))).collect(),
            store: (0, 64, 12.0),
            refusal_share: 0.0,
            refuses_until: 0,
            corrupt: BTreeSet::new(),
            requests: BTreeMap::new(),
            refused: 0,
            from_peers: 0,
            accepted_corrupt: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn at(&mut self, after: Ticks, action: impl FnOnce(&mut World) + 'static) {
        self.sequence += 1;
        self.events
            .push(Event(self.now + after, self.sequence, Box::new(action)));
    }

    fn start_load(&mut self, after: Ticks, id: InvokerId, load: u64, chunks: Vec<MissingChunk>) {
        self.at(after, move |world| {
            let now = world.now;
            let node = world.nodes.get_mut(&id).unwrap();
            if !node.is_alive {
                return;
            }
            let missing: Vec<MissingChunk> = chunks
                .into_iter()
                .filter(|n| !node.cached.contains(&n.digest))
                .collect();
            if node.fetcher.start_load(now, load, &missing) {
                node.finished_at = Some(now);
            }
            world.advance(id);
        });
    }

    fn advance(&mut self, id: InvokerId) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        if !node.is_alive {
            return;
        }
        let actions = node.fetcher.next_actions(now);
        if let Some(wake) = actions.wake_at {
            assert!(wake > now, "a wake time that is due would loop for ever");
            if node.wake <= now || wake < node.wake {
                node.wake = wake;
                self.at(wake - now, move |world| {
                    if world.nodes[&id].wake == world.now {
                        world.advance(id);
                    }
                });
            }
        }
        for request in actions.requests {
            let (digest, attempt) = (request.digest, request.attempt);
            match request.source {
                Source::Store => self.at(ONE_WAY_DELAY, move |world| {
                    world.request_from_store(id, attempt, digest)
                }),
                Source::Peer(peer) => self.at(ONE_WAY_DELAY, move |world| {
                    world.request_from_peer(id, attempt, digest, peer)
                }),
            }
        }
    }

    fn request_from_store(&mut self, id: InvokerId, attempt: u64, digest: Digest) {
        *self.requests.entry(digest).or_default() += 1;
        let refusal_share = self.now < self.refuses_until && self.rng.f64() < self.refusal_share;
        if refusal_share || self.store.0 >= self.store.1 {
            self.refused += 1;
            return self.at(ONE_WAY_DELAY, move |world| {
                world.request_ended(id, attempt, FetchOutcome::Refused(200 * MILLISECOND))
            });
        }
        self.store.0 += 1;
        let overload = (self.store.0 as f64 / self.store.2).max(1.0);
        self.at(
            (TRANSFER_TIME as f64 * 2.0 * overload) as Ticks,
            move |world| {
                world.store.0 -= 1;
                let corrupt = world.corrupt.contains(&digest);
                world.request_ended(
                    id,
                    attempt,
                    if corrupt {
                        FetchOutcome::Corrupt
                    } else {
                        FetchOutcome::Succeeded
                    },
                );
            },
        );
    }

    fn request_from_peer(&mut self, id: InvokerId, attempt: u64, digest: Digest, peer: InvokerId) {
        let now = self.now;
        let node = self.nodes.get_mut(&peer).unwrap();
        if !node.is_alive {
            return self.at(250 * MILLISECOND, move |world| {
                world.request_ended(id, attempt, FetchOutcome::Failed)
            });
        }
        if node.is_hung {
            return;
        }
        let cached = node.cached.contains(&digest);
        let home = node.fetcher.is_home(&digest);
        match node.uploads.admit(cached, home, node.is_draining) {
            UploadDecision::Queued => {
                node.queue.push_back((id, attempt));
                self.start_transfers(peer);
            }
            UploadDecision::FetchAndServe => {
                node.waiting_peers
                    .entry(digest)
                    .or_default()
                    .push((id, attempt));
                node.fetcher.start_load(
                    now,
                    digest.prefix() | 1 << 63,
                    &[MissingChunk {
                        digest,
                        bytes: CHUNK_BYTES,
                    }],
                );
                self.advance(peer);
            }
            UploadDecision::RetryLater(wait) => self.at(ONE_WAY_DELAY, move |world| {
                world.request_ended(id, attempt, FetchOutcome::Refused(wait))
            }),
            UploadDecision::NotFound => self.at(ONE_WAY_DELAY, move |world| {
                world.request_ended(id, attempt, FetchOutcome::NotFound)
            }),
        }
    }

    fn start_transfers(&mut self, from: InvokerId) {
        let now = self.now;
        let node = self.nodes.get_mut(&from).unwrap();
        while !node.queue.is_empty() && node.uploads.try_start(now, CHUNK_BYTES, 1.0, 0.3) {
            let (to, attempt) = node.queue.pop_front().unwrap();
            self.sequence += 1;
            let sent = move |world: &mut World| {
                let node = world.nodes.get_mut(&from).unwrap();
                node.uploads.transfer_ended();
                let outcome = match (node.is_alive, node.sends_corrupt) {
                    (false, _) => FetchOutcome::Failed,
                    (true, true) => FetchOutcome::Corrupt,
                    (true, false) => FetchOutcome::Succeeded,
                };
                world.from_peers += u32::from(outcome == FetchOutcome::Succeeded);
                world.request_ended(to, attempt, outcome);
                world.start_transfers(from);
            };
            self.events
                .push(Event(now + TRANSFER_TIME, self.sequence, Box::new(sent)));
        }
        if let Some(at) = node.uploads.reopens_at().filter(|_| !node.queue.is_empty()) {
            self.at(at.max(now + 1) - now, move |world| {
                world.start_transfers(from)
            });
        }
    }

    fn request_ended(&mut self, id: InvokerId, attempt: u64, outcome: FetchOutcome) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        if !node.is_alive {
            return;
        }
        let digest = node.fetcher.requested_chunk(attempt);
        let whole = node.fetcher.request_ended(now, attempt, outcome);
        if let (Some(digest), FetchOutcome::Succeeded) = (digest, outcome) {
            self.accepted_corrupt += u32::from(self.corrupt.contains(&digest));
            node.cached.insert(digest);
            let waiting_peers = node.waiting_peers.remove(&digest).unwrap_or_default();
            node.queue.extend(waiting_peers);
            self.start_transfers(id);
        }
        if whole.iter().any(|load| *load < 1 << 63) {
            self.nodes.get_mut(&id).unwrap().finished_at = Some(now);
        }
        self.advance(id);
    }

    fn kill(&mut self, after: Ticks, id: InvokerId) {
        self.at(after, move |world| {
            let node = world.nodes.get_mut(&id).unwrap();
            node.is_alive = false;
            let waiting_peers: Vec<_> = std::mem::take(&mut node.waiting_peers)
                .into_values()
                .flatten()
                .chain(std::mem::take(&mut node.queue))
                .collect();
            waiting_peers.into_iter().for_each(|(to, attempt)| {
                world.at(ONE_WAY_DELAY, move |world| {
                    world.request_ended(to, attempt, FetchOutcome::Failed)
                })
            });
        });
    }

    fn run(&mut self, until: Ticks) {
        while let Some(Event(at, _, action)) = self.events.pop() {
            if at > until {
                return;
            }
            self.now = at;
            action(self);
        }
    }

    /// Asserts that each live invoker has the model. Returns the time at which the last one completed.
    fn assert_all_finished(&self) -> Ticks {
        let unfinished: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, n)| n.is_alive && n.finished_at.is_none())
            .map(|(id, _)| id)
            .collect();
        assert!(
            unfinished.is_empty(),
            "{} of {} are not done: {unfinished:?}",
            unfinished.len(),
            self.nodes.len()
        );
        self.nodes
            .values()
            .filter_map(|n| n.finished_at)
            .max()
            .unwrap_or(0)
    }

    fn requests_per_chunk(&self) -> f64 {
        self.requests.values().sum::<u32>() as f64 / self.requests.len() as f64
    }
}

fn simultaneous_loads(n: u32, chunks: u32, seed: u64) -> World {
    let mut world = World::new(n, seed);
    for id in 1..=n {
        world.start_load(u64::from(id) % 300, id, 1, model(1, chunks));
    }
    world
}

/// As `simultaneous_loads`, but each invoker's list contains only itself, so that each fetches everything from the store.
fn loads_without_peers(n: u32, chunks: u32, seed: u64) -> World {
    let mut world = simultaneous_loads(n, chunks, seed);
    world
        .nodes
        .iter_mut()
        .for_each(|(id, node)| node.fetcher.set_members(members([*id])));
    world
}

#[test]
fn simultaneous_loads_fetch_each_chunk_from_the_store_about_once() {
    println!("invokers, store requests a chunk shared and alone, done after ms shared and alone");
    for n in [12, 84, 840] {
        let mut world = simultaneous_loads(n, 60, 7);
        world.run(120 * SECOND);
        let (elapsed, per_chunk) = (world.assert_all_finished(), world.requests_per_chunk());
        assert!(
            per_chunk <= 1.2 && world.requests.len() == 60,
            "{n} invokers: {per_chunk} store requests a chunk"
        );
        if n == 840 {
            // Without sharing, this size takes minutes of simulated and of real time.
            println!("{n} {per_chunk:.2} - {} -", elapsed / MILLISECOND);
            continue;
        }
        let mut alone = loads_without_peers(n, 60, 7);
        alone.run(600 * SECOND);
        let baseline = alone.assert_all_finished();
        println!(
            "{n} {per_chunk:.2} {:.2} {} {}",
            alone.requests_per_chunk(),
            elapsed / MILLISECOND,
            baseline / MILLISECOND
        );
        assert!(
            elapsed * 2 < baseline,
            "{n} invokers: {} ms, alone {} ms",
            elapsed / MILLISECOND,
            baseline / MILLISECOND
        );
        let part = if n == 12 { 10.0 } else { 40.0 };
        assert!(
            per_chunk * part < alone.requests_per_chunk(),
            "{per_chunk} of {}",
            alone.requests_per_chunk()
        );
    }
}

/// Invokers drain and die one after another while all load the model.
#[test]
fn loads_complete_during_a_rolling_deploy() {
    let mut world = simultaneous_loads(24, 60, 13);
    for (n, id) in (1..=24u32).step_by(3).enumerate() {
        let at = 20 * MILLISECOND * (n as u64 + 1);
        world.at(at, move |world| {
            world.nodes.get_mut(&id).unwrap().is_draining = true;
            let list = |me: InvokerId| -> Vec<Member> {
                members(1..=24)
                    .into_iter()
                    .map(|m| Member {
                        ready: m.invoker != id,
                        ..m
                    })
                    .filter(|m| m.ready || m.invoker == me)
                    .collect()
            };
            world
                .nodes
                .iter_mut()
                .for_each(|(me, node)| node.fetcher.set_members(list(*me)));
        });
        world.kill(at + 30 * MILLISECOND, id);
    }
    world.run(120 * SECOND);
    world.assert_all_finished();
    assert!(
        world.requests_per_chunk() < 2.0,
        "{}",
        world.requests_per_chunk()
    );
}

#[test]
fn loads_complete_after_the_store_refuses_half_of_requests_for_ten_seconds() {
    let mut world = simultaneous_loads(84, 60, 3);
    (world.refusal_share, world.refuses_until) = (0.5, 10 * SECOND);
    world.run(120 * SECOND);
    world.assert_all_finished();
    assert!(
        world.refused > 20 && world.requests_per_chunk() < 4.0,
        "{} refused, {}",
        world.refused,
        world.requests_per_chunk()
    );
}

#[test]
fn dead_hung_draining_or_corrupting_homes_are_bypassed() {
    let mut world = simultaneous_loads(24, 60, 5);
    for id in [2, 9, 17] {
        world.kill(400 * MILLISECOND, id);
    }
    world.nodes.get_mut(&4).unwrap().is_hung = true;
    world.nodes.get_mut(&5).unwrap().is_draining = true;
    world.nodes.get_mut(&6).unwrap().sends_corrupt = true;
    world.run(120 * SECOND);
    world.assert_all_finished();
    assert!(
        world.requests_per_chunk() < 4.0,
        "{}",
        world.requests_per_chunk()
    );
}

/// Forty invokers, each with the list that `seen_by` gives. Returns the store requests per chunk once all have the model.
fn store_requests_with_lists(
    seen_by: impl Fn(InvokerId) -> std::ops::RangeInclusive<InvokerId>,
) -> f64 {
    let mut world = simultaneous_loads(40, 60, 9);
    for (id, node) in &mut world.nodes {
        node.fetcher.set_members(members(seen_by(*id)));
    }
    world.run(120 * SECOND);
    world.assert_all_finished();
    world.requests_per_chunk()
}

#[test]
fn list_split_in_two_halves_doubles_store_requests() {
    let per_chunk = store_requests_with_lists(|id| if id <= 20 { 1..=20 } else { 21..=40 });
    assert!((1.9..2.3).contains(&per_chunk), "{per_chunk}");
}

/// Half of the invokers that are asked do not list themselves as homes. If that holds for both homes of a chunk, only the
/// store remains.
#[test]
fn loads_complete_with_contradicting_lists_at_a_bounded_store_load() {
    let per_chunk = store_requests_with_lists(|id| if id % 2 == 0 { 1..=20 } else { 21..=40 });
    println!("contradicting lists: {per_chunk:.1} store requests a chunk; each alone 40");
    assert!(per_chunk < 16.0, "{per_chunk}");
}

#[test]
fn chunk_corrupt_at_the_store_is_retried_at_a_bounded_rate_and_never_used() {
    let mut world = simultaneous_loads(12, 20, 1);
    let corrupt = model(1, 20)[3].digest;
    world.corrupt.insert(corrupt);
    world.run(30 * SECOND);
    let cached: Vec<usize> = world.nodes.values().map(|n| n.cached.len()).collect();
    assert!(
        world.nodes.values().all(|n| n.finished_at.is_none()) && cached.iter().all(|n| *n == 19),
        "{cached:?}"
    );
    assert_eq!(world.accepted_corrupt, 0);
    let request_count = world.requests[&corrupt];
    assert!(
        (3..400).contains(&request_count),
        "{request_count} times in 30 s by 12"
    );
    // Once the store is repaired, the loads complete soon.
    world.corrupt.clear();
    world.run(60 * SECOND);
    world.assert_all_finished();
}

#[test]
fn cancelled_load_cancels_only_requests_that_no_other_load_needs() {
    let mut fetcher = Fetcher::new(1, 1);
    fetcher.set_members(members(1..=1));
    let (first, second) = (model(1, 3), model(2, 3));
    let shared: Vec<MissingChunk> = first[..1].iter().chain(&second).copied().collect();
    fetcher.start_load(0, 1, &first);
    fetcher.start_load(0, 2, &shared);
    let requests = fetcher.next_actions(0).requests;
    assert!(
        !requests.is_empty() && requests[0].digest == first[0].digest,
        "two loads wait for this chunk"
    );
    fetcher.cancel_load(1);
    let actions = fetcher.next_actions(1);
    let cancelled: Vec<Digest> = actions
        .cancels
        .iter()
        .map(|c| requests.iter().find(|k| k.attempt == *c).unwrap().digest)
        .collect();
    assert!(
        cancelled
            .iter()
            .all(|d| first[1..].iter().any(|n| n.digest == *d)),
        "{cancelled:?}"
    );
    fetcher.cancel_load(2);
    fetcher.next_actions(2);
    assert!(fetcher.is_idle());
}

#[test]
fn two_models_are_fetched_concurrently() {
    let mut fetcher = Fetcher::new(1, 1);
    fetcher.set_members(members(1..=1));
    fetcher.start_load(0, 1, &model(1, 400));
    let mut request_counts = [0; 2];
    let small = model(2, 20);
    for step in 0..40u64 {
        if step == 10 {
            fetcher.start_load(step * 100, 2, &small);
        }
        for request in fetcher.next_actions(step * 100).requests {
            request_counts[usize::from(small.iter().any(|n| n.digest == request.digest))] += 1;
            fetcher.request_ended(step * 100 + 90, request.attempt, FetchOutcome::Succeeded);
        }
    }
    assert!(
        request_counts[1] == 20 && request_counts[0] > 60,
        "the later load does not wait for all of the earlier one: {request_counts:?}"
    );
}
