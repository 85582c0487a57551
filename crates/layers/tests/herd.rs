//! Many fetchers, one store, no shared state: a simulated network round the decisions, with faults. Shares no code with
//! what it checks but the calls.

use saltdrum::interface::{InvokerId, MILLISECOND, SECOND, Ticks};
use saltdrum_layers::Digest;
use saltdrum_layers::plan::{Ended, Fetcher, Member, Need, Serving, Source, Verdict};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

const CHUNK: u64 = 1 << 20;
const WAY: Ticks = 3;
const TRANSFER: Ticks = 15 * MILLISECOND;

type Due = Box<dyn FnOnce(&mut World)>;

struct Event(Ticks, u64, Due);

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
    serving: Serving,
    held: BTreeSet<Digest>,
    /// Requests whose chunk is here, in line for a slot.
    line: VecDeque<(InvokerId, u64)>,
    /// Peers whose request waits for our own fetch.
    owed: BTreeMap<Digest, Vec<(InvokerId, u64)>>,
    alive: bool,
    hangs: bool,
    draining: bool,
    damages: bool,
    wake: Ticks,
    done: Option<Ticks>,
}

struct World {
    now: Ticks,
    seq: u64,
    events: BinaryHeap<Event>,
    nodes: BTreeMap<InvokerId, Node>,
    /// Fetches under way, those beyond which it refuses, and those beyond which it slows down.
    store: (usize, usize, f64),
    refuses: f64,
    refuses_until: Ticks,
    damaged: BTreeSet<Digest>,
    requests: BTreeMap<Digest, u32>,
    refused: u32,
    from_peers: u32,
    used_damaged: u32,
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

fn model(name: u32, chunks: u32) -> Vec<Need> {
    (0..chunks)
        .map(|c| Need {
            digest: Digest::of(format!("{name}/{c}").as_bytes()),
            bytes: CHUNK,
        })
        .collect()
}

impl World {
    fn new(n: u32, seed: u64) -> Self {
        let node = |id: InvokerId| {
            let mut fetcher = Fetcher::new(id, seed ^ u64::from(id));
            fetcher.listed(members(1..=n));
            Node {
                fetcher,
                serving: Serving::new(0, 200e6),
                held: BTreeSet::new(),
                line: VecDeque::new(),
                owed: BTreeMap::new(),
                alive: true,
                hangs: false,
                draining: false,
                damages: false,
                wake: 0,
                done: None,
            }
        };
        Self {
            now: 0,
            seq: 0,
            events: BinaryHeap::new(),
            nodes: (1..=n).map(|id| (id, node(id))).collect(),
            store: (0, 64, 12.0),
            refuses: 0.0,
            refuses_until: 0,
            damaged: BTreeSet::new(),
            requests: BTreeMap::new(),
            refused: 0,
            from_peers: 0,
            used_damaged: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn at(&mut self, after: Ticks, due: impl FnOnce(&mut World) + 'static) {
        self.seq += 1;
        self.events
            .push(Event(self.now + after, self.seq, Box::new(due)));
    }

    fn want(&mut self, after: Ticks, id: InvokerId, load: u64, needs: Vec<Need>) {
        self.at(after, move |w| {
            let now = w.now;
            let node = w.nodes.get_mut(&id).unwrap();
            if !node.alive {
                return;
            }
            let missing: Vec<Need> = needs
                .into_iter()
                .filter(|n| !node.held.contains(&n.digest))
                .collect();
            if node.fetcher.want(now, load, &missing) {
                node.done = Some(now);
            }
            w.go_on(id);
        });
    }

    fn go_on(&mut self, id: InvokerId) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        if !node.alive {
            return;
        }
        let next = node.fetcher.next(now);
        if let Some(wake) = next.wake {
            assert!(wake > now, "a wake that is due would never end");
            if node.wake <= now || wake < node.wake {
                node.wake = wake;
                self.at(wake - now, move |w| {
                    if w.nodes[&id].wake == w.now {
                        w.go_on(id);
                    }
                });
            }
        }
        for ask in next.asks {
            let (digest, attempt) = (ask.digest, ask.attempt);
            match ask.source {
                Source::Store => self.at(WAY, move |w| w.ask_store(id, attempt, digest)),
                Source::Peer(peer) => self.at(WAY, move |w| w.ask_peer(id, attempt, digest, peer)),
            }
        }
    }

    fn ask_store(&mut self, id: InvokerId, attempt: u64, digest: Digest) {
        *self.requests.entry(digest).or_default() += 1;
        let refuses = self.now < self.refuses_until && self.rng.f64() < self.refuses;
        if refuses || self.store.0 >= self.store.1 {
            self.refused += 1;
            return self.at(WAY, move |w| {
                w.told(id, attempt, Ended::Refused(200 * MILLISECOND))
            });
        }
        self.store.0 += 1;
        let crowd = (self.store.0 as f64 / self.store.2).max(1.0);
        self.at((TRANSFER as f64 * 2.0 * crowd) as Ticks, move |w| {
            w.store.0 -= 1;
            let bad = w.damaged.contains(&digest);
            w.told(id, attempt, if bad { Ended::Damaged } else { Ended::Well });
        });
    }

    fn ask_peer(&mut self, id: InvokerId, attempt: u64, digest: Digest, peer: InvokerId) {
        let now = self.now;
        let node = self.nodes.get_mut(&peer).unwrap();
        if !node.alive {
            return self.at(250 * MILLISECOND, move |w| {
                w.told(id, attempt, Ended::Broken)
            });
        }
        if node.hangs {
            return;
        }
        let held = node.held.contains(&digest);
        let home = node.fetcher.is_home(&digest);
        match node.serving.asked(held, home, node.draining) {
            Verdict::InLine => {
                node.line.push_back((id, attempt));
                self.send_on(peer);
            }
            Verdict::FetchAndServe => {
                node.owed.entry(digest).or_default().push((id, attempt));
                node.fetcher.want(
                    now,
                    digest.lead() | 1 << 63,
                    &[Need {
                        digest,
                        bytes: CHUNK,
                    }],
                );
                self.go_on(peer);
            }
            Verdict::Later(wait) => {
                self.at(WAY, move |w| w.told(id, attempt, Ended::Refused(wait)))
            }
            Verdict::Absent => self.at(WAY, move |w| w.told(id, attempt, Ended::Absent)),
        }
    }

    fn send_on(&mut self, from: InvokerId) {
        let now = self.now;
        let node = self.nodes.get_mut(&from).unwrap();
        while !node.line.is_empty() && node.serving.may_send(now, CHUNK, 1.0, 0.3) {
            let (to, attempt) = node.line.pop_front().unwrap();
            self.seq += 1;
            let sent = move |w: &mut World| {
                let node = w.nodes.get_mut(&from).unwrap();
                node.serving.ended();
                let how = match (node.alive, node.damages) {
                    (false, _) => Ended::Broken,
                    (true, true) => Ended::Damaged,
                    (true, false) => Ended::Well,
                };
                w.from_peers += u32::from(how == Ended::Well);
                w.told(to, attempt, how);
                w.send_on(from);
            };
            self.events
                .push(Event(now + TRANSFER, self.seq, Box::new(sent)));
        }
        if let Some(at) = node.serving.opens().filter(|_| !node.line.is_empty()) {
            self.at(at.max(now + 1) - now, move |w| w.send_on(from));
        }
    }

    fn told(&mut self, id: InvokerId, attempt: u64, how: Ended) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        if !node.alive {
            return;
        }
        let digest = node.fetcher.asked_for(attempt);
        let whole = node.fetcher.ended(now, attempt, how);
        if let (Some(digest), Ended::Well) = (digest, how) {
            self.used_damaged += u32::from(self.damaged.contains(&digest));
            node.held.insert(digest);
            let owed = node.owed.remove(&digest).unwrap_or_default();
            node.line.extend(owed);
            self.send_on(id);
        }
        if whole.iter().any(|load| *load < 1 << 63) {
            self.nodes.get_mut(&id).unwrap().done = Some(now);
        }
        self.go_on(id);
    }

    fn kill(&mut self, after: Ticks, id: InvokerId) {
        self.at(after, move |w| {
            let node = w.nodes.get_mut(&id).unwrap();
            node.alive = false;
            let owed: Vec<_> = std::mem::take(&mut node.owed)
                .into_values()
                .flatten()
                .chain(std::mem::take(&mut node.line))
                .collect();
            owed.into_iter()
                .for_each(|(to, attempt)| w.at(WAY, move |w| w.told(to, attempt, Ended::Broken)));
        });
    }

    fn run(&mut self, until: Ticks) {
        while let Some(Event(at, _, due)) = self.events.pop() {
            if at > until {
                return;
            }
            self.now = at;
            due(self);
        }
    }

    /// Each invoker that lives has the model; gives when the last had it.
    fn all_done(&self) -> Ticks {
        let late: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, n)| n.alive && n.done.is_none())
            .map(|(id, _)| id)
            .collect();
        assert!(
            late.is_empty(),
            "{} of {} are not done: {late:?}",
            late.len(),
            self.nodes.len()
        );
        self.nodes
            .values()
            .filter_map(|n| n.done)
            .max()
            .unwrap_or(0)
    }

    fn requests_a_chunk(&self) -> f64 {
        self.requests.values().sum::<u32>() as f64 / self.requests.len() as f64
    }
}

fn herd(n: u32, chunks: u32, seed: u64) -> World {
    let mut w = World::new(n, seed);
    for id in 1..=n {
        w.want(u64::from(id) % 300, id, 1, model(1, chunks));
    }
    w
}

/// As `herd`, but everybody's list names nobody else: each asks the store for itself.
fn each_alone(n: u32, chunks: u32, seed: u64) -> World {
    let mut w = herd(n, chunks, seed);
    w.nodes
        .iter_mut()
        .for_each(|(id, node)| node.fetcher.listed(members([*id])));
    w
}

#[test]
fn a_herd_asks_the_store_about_once_a_chunk() {
    println!("invokers, store requests a chunk shared and alone, done after ms shared and alone");
    for n in [12, 84, 840] {
        let mut w = herd(n, 60, 7);
        w.run(120 * SECOND);
        let (took, a_chunk) = (w.all_done(), w.requests_a_chunk());
        assert!(
            a_chunk <= 1.2 && w.requests.len() == 60,
            "{n} invokers: {a_chunk} store requests a chunk"
        );
        if n == 840 {
            // Each alone would take minutes of the store, and of this test.
            println!("{n} {a_chunk:.2} - {} -", took / MILLISECOND);
            continue;
        }
        let mut alone = each_alone(n, 60, 7);
        alone.run(600 * SECOND);
        let baseline = alone.all_done();
        println!(
            "{n} {a_chunk:.2} {:.2} {} {}",
            alone.requests_a_chunk(),
            took / MILLISECOND,
            baseline / MILLISECOND
        );
        assert!(
            took * 2 < baseline,
            "{n} invokers: {} ms, alone {} ms",
            took / MILLISECOND,
            baseline / MILLISECOND
        );
        let part = if n == 12 { 10.0 } else { 40.0 };
        assert!(
            a_chunk * part < alone.requests_a_chunk(),
            "{a_chunk} of {}",
            alone.requests_a_chunk()
        );
    }
}

/// Invokers drain and start anew, one after another, while all want the model.
#[test]
fn a_rolling_deploy_in_the_midst_of_a_herd() {
    let mut w = herd(24, 60, 13);
    for (n, id) in (1..=24u32).step_by(3).enumerate() {
        let at = 20 * MILLISECOND * (n as u64 + 1);
        w.at(at, move |w| {
            w.nodes.get_mut(&id).unwrap().draining = true;
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
            w.nodes
                .iter_mut()
                .for_each(|(me, node)| node.fetcher.listed(list(*me)));
        });
        w.kill(at + 30 * MILLISECOND, id);
    }
    w.run(120 * SECOND);
    w.all_done();
    assert!(w.requests_a_chunk() < 2.0, "{}", w.requests_a_chunk());
}

#[test]
fn a_store_that_refuses_half_for_ten_seconds_delays_and_stops_nobody() {
    let mut w = herd(84, 60, 3);
    (w.refuses, w.refuses_until) = (0.5, 10 * SECOND);
    w.run(120 * SECOND);
    w.all_done();
    assert!(
        w.refused > 20 && w.requests_a_chunk() < 4.0,
        "{} refused, {}",
        w.refused,
        w.requests_a_chunk()
    );
}

#[test]
fn homes_that_die_hang_drain_or_send_damage_are_gone_round() {
    let mut w = herd(24, 60, 5);
    for id in [2, 9, 17] {
        w.kill(400 * MILLISECOND, id);
    }
    w.nodes.get_mut(&4).unwrap().hangs = true;
    w.nodes.get_mut(&5).unwrap().draining = true;
    w.nodes.get_mut(&6).unwrap().damages = true;
    w.run(120 * SECOND);
    w.all_done();
    assert!(w.requests_a_chunk() < 4.0, "{}", w.requests_a_chunk());
}

/// Lists as they are seen by each, over forty invokers; gives store requests a chunk when all hold the model.
fn split(seen_by: impl Fn(InvokerId) -> std::ops::RangeInclusive<InvokerId>) -> f64 {
    let mut w = herd(40, 60, 9);
    for (id, node) in &mut w.nodes {
        node.fetcher.listed(members(seen_by(*id)));
    }
    w.run(120 * SECOND);
    w.all_done();
    w.requests_a_chunk()
}

#[test]
fn a_list_split_in_two_halves_doubles_the_store_s_work() {
    let a_chunk = split(|id| if id <= 20 { 1..=20 } else { 21..=40 });
    assert!((1.9..2.3).contains(&a_chunk), "{a_chunk}");
}

/// Half of those who are asked do not see themselves as homes; with both homes such, the store is all that is left.
#[test]
fn lists_that_contradict_each_other_cost_the_store_and_stop_nobody() {
    let a_chunk = split(|id| if id % 2 == 0 { 1..=20 } else { 21..=40 });
    println!("contradicting lists: {a_chunk:.1} store requests a chunk; each alone 40");
    assert!(a_chunk < 16.0, "{a_chunk}");
}

#[test]
fn a_chunk_damaged_at_the_store_is_asked_for_again_and_again_and_never_used() {
    let mut w = herd(12, 20, 1);
    let bad = model(1, 20)[3].digest;
    w.damaged.insert(bad);
    w.run(30 * SECOND);
    let held: Vec<usize> = w.nodes.values().map(|n| n.held.len()).collect();
    assert!(
        w.nodes.values().all(|n| n.done.is_none()) && held.iter().all(|n| *n == 19),
        "{held:?}"
    );
    assert_eq!(w.used_damaged, 0);
    let asked = w.requests[&bad];
    assert!((3..400).contains(&asked), "{asked} times in 30 s by 12");
    // It is mended, and they have it soon.
    w.damaged.clear();
    w.run(60 * SECOND);
    w.all_done();
}

#[test]
fn a_load_that_is_given_up_stops_what_nobody_else_waits_for() {
    let mut f = Fetcher::new(1, 1);
    f.listed(members(1..=1));
    let (a, b) = (model(1, 3), model(2, 3));
    let shared: Vec<Need> = a[..1].iter().chain(&b).copied().collect();
    f.want(0, 1, &a);
    f.want(0, 2, &shared);
    let asks = f.next(0).asks;
    assert!(
        !asks.is_empty() && asks[0].digest == a[0].digest,
        "two wait for it"
    );
    f.abandon(1);
    let next = f.next(1);
    let stopped: Vec<Digest> = next
        .cancels
        .iter()
        .map(|c| asks.iter().find(|k| k.attempt == *c).unwrap().digest)
        .collect();
    assert!(
        stopped
            .iter()
            .all(|d| a[1..].iter().any(|n| n.digest == *d)),
        "{stopped:?}"
    );
    f.abandon(2);
    f.next(2);
    assert!(f.is_idle());
}

#[test]
fn two_models_are_fetched_side_by_side() {
    let mut f = Fetcher::new(1, 1);
    f.listed(members(1..=1));
    f.want(0, 1, &model(1, 400));
    let mut asked = [0; 2];
    let small = model(2, 20);
    for step in 0..40u64 {
        if step == 10 {
            f.want(step * 100, 2, &small);
        }
        for ask in f.next(step * 100).asks {
            asked[usize::from(small.iter().any(|n| n.digest == ask.digest))] += 1;
            f.ended(step * 100 + 90, ask.attempt, Ended::Well);
        }
    }
    assert!(
        asked[1] == 20 && asked[0] > 60,
        "the one that came later does not wait for all of the other: {asked:?}"
    );
}
