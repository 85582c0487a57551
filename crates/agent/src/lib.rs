//! The agent of an invoker: has models fetched in chunks and serves what it holds to peers.
//!
//! Both sides speak the pull half of the OCI distribution specification over HTTP/1.1, so that the store may be any
//! registry, and a peer is asked as a registry is. Whom to ask, how much, when again and whom to serve is decided by
//! `saltdrum_layers::plan`; here are the sockets. Start at [`Agent::load`].

mod follow;
mod http;
mod peers;

pub use follow::follow;

use http::{Got, Pool};
use saltdrum::interface::{InvokerId, Ticks};
use saltdrum_layers::cache::Cache;
use saltdrum_layers::manifest::{MANIFEST_TYPE, MAX_MANIFEST_BYTES};
use saltdrum_layers::plan::{
    Ask, Ended, Fetcher, LoadId, Member, Need, STORE_OVER_PEER, Serving, Source,
};
use saltdrum_layers::{Chunk, Digest, Manifest, cut};
use saltdrum_transport::{Address, Clock, Network};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, JoinSet};
use tracing::{debug, warn};

/// Chunks that the cache could not keep, held in memory for the loads that wait: no more than this.
const UNKEPT_MOST_BYTES: u64 = 512 << 20;
/// A chunk that comes damaged from the store so often, and whole from nobody meanwhile, ends the load: its source is bad.
const CORRUPT_AFTER: u32 = 2;
/// A manifest is asked for so often, with waits that double.
const MANIFEST_TRIES: u32 = 6;
const MANIFEST_WAIT: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LoadError {
    #[error("model {model}: the store has no such manifest")]
    Unknown { model: String },
    #[error("model {model}: {why}")]
    Manifest { model: String, why: String },
    #[error("model {model}: the store did not answer for its manifest: {why}")]
    Unreachable { model: String, why: String },
    #[error(
        "model {model}: chunk {chunk} came damaged from the store {CORRUPT_AFTER} times, and whole from nobody"
    )]
    Corrupt { model: String, chunk: Digest },
    #[error("model {model}: {0} bytes of its chunks could not be kept: no room on disk", .bytes)]
    NoRoom { model: String, bytes: u64 },
}

/// A peer as the list has it.
#[derive(Clone, Debug)]
pub struct Peer {
    pub member: Member,
    pub address: Address,
}

/// Where an agent sits.
pub struct AgentConfig {
    pub invoker: InvokerId,
    pub seed: u64,
    pub store: Address,
    /// What serving peers may cost, in bytes a second.
    pub serve_bytes_per_second: f64,
}

/// What was asked of whom so far.
#[derive(Debug, Default)]
pub struct Counts {
    pub from_cache: Cell<u64>,
    pub from_peers: Cell<u64>,
    pub from_store: Cell<u64>,
    pub bytes_from_store: Cell<u64>,
    /// Came, and their digest did not hold: thrown away.
    pub damaged: Cell<u64>,
    pub served: Cell<u64>,
}

pub(crate) fn add(count: &Cell<u64>, n: u64) {
    count.set(count.get() + n);
}

/// What a load brought. Its chunks stay until it is dropped.
pub struct LoadedModel {
    pub digest: Digest,
    pub manifest: Manifest,
    agent: Rc<Agent>,
}

impl Drop for LoadedModel {
    fn drop(&mut self) {
        self.manifest
            .chunks
            .iter()
            .for_each(|c| self.agent.unclaim(&c.digest));
    }
}

impl LoadedModel {
    /// One of its chunks, unpacked. `None` only where the disk has lost it since.
    pub fn read(&self, chunk: &Chunk) -> Option<Vec<u8>> {
        self.agent
            .held(chunk)
            .and_then(|stored| cut::unpack(chunk, &stored).ok())
    }
}

pub(crate) struct State {
    pub fetcher: Fetcher,
    pub serving: Serving,
    peers: BTreeMap<InvokerId, Address>,
    /// The chunks being fetched, and a repository that has each.
    wanted: BTreeMap<Digest, (Chunk, String)>,
    asks: BTreeMap<u64, AbortHandle>,
    whole: BTreeMap<LoadId, oneshot::Sender<()>>,
    /// What the cache did not keep.
    unkept: BTreeMap<Digest, Rc<Vec<u8>>>,
    /// Loads, and what they brought, that use a chunk: it is neither evicted nor forgotten meanwhile.
    claims: BTreeMap<Digest, u32>,
    unkept_bytes: u64,
    /// Of chunks that loads wait for: how often the store sent them damaged.
    damaged_at_store: BTreeMap<Digest, u32>,
    wake: Ticks,
    loads: LoadId,
    pub busy: f64,
    pub draining: bool,
    pub capacity_share: f64,
}

pub struct Agent {
    pub(crate) config: AgentConfig,
    pub cache: Cache,
    pub(crate) clock: Clock,
    pool: Pool,
    pub(crate) state: RefCell<State>,
    pub(crate) moved: Notify,
    pub counts: Counts,
    tasks: RefCell<JoinSet<()>>,
}

/// Abandons a load that is not waited for any more.
struct Waiting<'a> {
    agent: &'a Rc<Agent>,
    load: LoadId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        {
            let state = &mut *self.agent.state.borrow_mut();
            state.whole.remove(&self.load);
            state.fetcher.abandon(self.load);
            state.wanted.retain(|digest, _| state.fetcher.wants(digest));
            state
                .damaged_at_store
                .retain(|digest, _| state.fetcher.wants(digest));
        }
        self.agent.go_on();
    }
}

impl State {
    fn forget_unkept(&mut self, digest: &Digest) {
        if let Some(bytes) = self.unkept.remove(digest) {
            self.unkept_bytes -= bytes.len() as u64;
        }
    }

    /// Fetched for a peer alone, and handed on: it need not stay in memory.
    pub fn forget_unclaimed(&mut self, digest: &Digest) {
        if !self.claims.contains_key(digest) {
            self.forget_unkept(digest);
        }
    }
}

impl Agent {
    /// On the `LocalSet` it is to run on.
    pub fn new(
        config: AgentConfig,
        cache: Cache,
        network: Rc<dyn Network>,
        clock: Clock,
    ) -> Rc<Self> {
        let state = State {
            fetcher: Fetcher::new(config.invoker, config.seed),
            serving: Serving::new(clock.now(), config.serve_bytes_per_second),
            peers: BTreeMap::new(),
            wanted: BTreeMap::new(),
            asks: BTreeMap::new(),
            whole: BTreeMap::new(),
            unkept: BTreeMap::new(),
            claims: BTreeMap::new(),
            unkept_bytes: 0,
            damaged_at_store: BTreeMap::new(),
            wake: 0,
            loads: 0,
            busy: 0.0,
            draining: false,
            capacity_share: 1.0,
        };
        let (pool, state) = (Pool::new(network), RefCell::new(state));
        let (moved, counts, tasks) = (Notify::new(), Counts::default(), RefCell::default());
        Rc::new(Self {
            config,
            cache,
            clock,
            pool,
            state,
            moved,
            counts,
            tasks,
        })
    }

    /// The list of invokers as it is now, ourselves among them.
    pub fn update_peers(self: &Rc<Self>, peers: &[Peer]) {
        let state = &mut *self.state.borrow_mut();
        state.peers = peers
            .iter()
            .map(|p| (p.member.invoker, p.address.clone()))
            .collect();
        let mine = peers
            .iter()
            .find(|p| p.member.invoker == self.config.invoker);
        state.draining = mine.is_some_and(|p| !p.member.ready);
        state.capacity_share = mine.map_or(1.0, |p| p.member.capacity_share);
        state
            .fetcher
            .listed(peers.iter().map(|p| p.member).collect());
    }

    /// Share of our cores that invocations use, 0 to 1: the busier, the less is served to peers.
    pub fn set_utilization(&self, share: f64) {
        self.state.borrow_mut().busy = share;
    }

    /// Has all chunks of a model here, verified. Dropping the future gives the load up.
    pub async fn load(
        self: &Rc<Self>,
        repository: &str,
        reference: &str,
    ) -> Result<LoadedModel, LoadError> {
        let (digest, manifest) = self.manifest(repository, reference).await?;
        manifest.chunks.iter().for_each(|c| self.claim(&c.digest));
        // From here on the claims are given back however this ends.
        let loaded = LoadedModel {
            digest,
            manifest,
            agent: self.clone(),
        };
        let mut needs = Vec::new();
        for chunk in &loaded.manifest.chunks {
            if needs.iter().any(|n: &Need| n.digest == chunk.digest) {
                continue;
            }
            if self.held(chunk).is_some() {
                add(&self.counts.from_cache, 1);
            } else {
                needs.push(Need {
                    digest: chunk.digest,
                    bytes: chunk.stored_bytes,
                });
                let known = (chunk.clone(), repository.to_owned());
                self.state.borrow_mut().wanted.insert(chunk.digest, known);
            }
        }
        tokio::select! {
            biased;
            () = self.wait_for(&needs) => {}
            chunk = self.corrupt(&needs, CORRUPT_AFTER) => {
                return Err(LoadError::Corrupt { model: format!("{repository}:{reference}"), chunk });
            }
        }
        let lacking = |c: &&Chunk| {
            !self.cache.holds(&c.digest) && !self.state.borrow().unkept.contains_key(&c.digest)
        };
        let bytes = loaded
            .manifest
            .chunks
            .iter()
            .filter(lacking)
            .map(|c| c.stored_bytes)
            .sum();
        if bytes > 0 {
            return Err(LoadError::NoRoom {
                model: format!("{repository}:{reference}"),
                bytes,
            });
        }
        Ok(loaded)
    }

    /// What is held in memory because the cache did not keep it.
    pub fn unkept_bytes(&self) -> u64 {
        self.state.borrow().unkept_bytes
    }

    fn claim(&self, digest: &Digest) {
        let claims = &mut self.state.borrow_mut().claims;
        let claims = claims.entry(*digest).or_insert(0);
        *claims += 1;
        if *claims == 1 {
            self.cache.pin(digest);
        }
    }

    fn unclaim(&self, digest: &Digest) {
        let state = &mut *self.state.borrow_mut();
        let Some(claims) = state.claims.get_mut(digest) else {
            return;
        };
        *claims -= 1;
        if *claims == 0 {
            state.claims.remove(digest);
            self.cache.unpin(digest);
            state.forget_unkept(digest);
        }
    }

    pub(crate) fn held(&self, chunk: &Chunk) -> Option<Rc<Vec<u8>>> {
        let unkept = self.state.borrow().unkept.get(&chunk.digest).cloned();
        unkept.or_else(|| self.cache.get(chunk).map(Rc::new))
    }

    /// Waits until all of these are here.
    pub(crate) async fn wait_for(self: &Rc<Self>, needs: &[Need]) {
        let (to, whole) = oneshot::channel();
        let load = {
            let state = &mut *self.state.borrow_mut();
            state.loads += 1;
            let load = state.loads;
            if state.fetcher.want(self.clock.now(), load, needs) {
                return;
            }
            state.whole.insert(load, to);
            load
        };
        let _waiting = Waiting { agent: self, load };
        self.go_on();
        let _ = whole.await;
    }

    /// Comes back when one of these has no source that holds.
    async fn corrupt(&self, needs: &[Need], after: u32) -> Digest {
        loop {
            // Before the look, so that nothing is told between the two.
            let moved = self.moved.notified();
            let found = {
                let state = self.state.borrow();
                let bad = |n: &&Need| {
                    state
                        .damaged_at_store
                        .get(&n.digest)
                        .is_some_and(|t| *t >= after)
                };
                needs.iter().find(bad).map(|n| n.digest)
            };
            if let Some(digest) = found {
                return digest;
            }
            moved.await;
        }
    }

    /// As `wait_for`, for one chunk that a peer wants of us as its home.
    pub(crate) async fn fetch_for_peer(self: &Rc<Self>, chunk: Chunk, repository: &str) {
        let needs = [Need {
            digest: chunk.digest,
            bytes: chunk.stored_bytes,
        }];
        self.state
            .borrow_mut()
            .wanted
            .insert(chunk.digest, (chunk, repository.to_owned()));
        tokio::select! {
            biased;
            () = self.wait_for(&needs) => {}
            // It had better see for itself, and soon: whoever waits for us can't tell us from a slow one.
            _ = self.corrupt(&needs, 1) => {}
        }
    }

    async fn manifest(
        &self,
        repository: &str,
        reference: &str,
    ) -> Result<(Digest, Manifest), LoadError> {
        let model = format!("{repository}:{reference}");
        let path = format!("/v2/{repository}/manifests/{reference}");
        let mut wait = MANIFEST_WAIT;
        let mut last = String::new();
        for _ in 0..MANIFEST_TRIES {
            match self
                .pool
                .get(
                    &self.config.store,
                    &path,
                    MANIFEST_TYPE,
                    None,
                    MAX_MANIFEST_BYTES as u64,
                )
                .await
            {
                Got::Bytes(bytes) => {
                    let digest = Digest::of(&bytes);
                    let asked: Result<Digest, _> = reference.parse();
                    if asked.is_ok_and(|asked| asked != digest) {
                        last = format!("its bytes have digest {digest}");
                    } else {
                        let read = Manifest::from_json(&bytes);
                        return read.map(|m| (digest, m)).map_err(|e| LoadError::Manifest {
                            model,
                            why: e.to_string(),
                        });
                    }
                }
                Got::Absent => return Err(LoadError::Unknown { model }),
                Got::Refused(come_back) => {
                    last = "refused".into();
                    wait = wait.max(Duration::from_micros(come_back * 100));
                }
                Got::Broken(why) => last = why,
            }
            tokio::time::sleep(wait).await;
            wait *= 2;
        }
        Err(LoadError::Unreachable { model, why: last })
    }

    pub(crate) fn spawn(&self, work: impl Future<Output = ()> + 'static) -> AbortHandle {
        let mut tasks = self.tasks.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(work)
    }

    /// Ends all that it does, as the end of its process would: nothing is said to anybody.
    pub fn kill(&self) {
        self.tasks.borrow_mut().abort_all();
        self.pool.clear();
    }

    /// Lets the plan say what is next, and does it.
    pub(crate) fn go_on(self: &Rc<Self>) {
        let now = self.clock.now();
        let next = self.state.borrow_mut().fetcher.next(now);
        for attempt in next.cancels {
            if let Some(task) = self.state.borrow_mut().asks.remove(&attempt) {
                task.abort();
            }
        }
        for ask in next.asks {
            let this = self.clone();
            let task = self.spawn(async move { this.ask(ask).await });
            self.state.borrow_mut().asks.insert(ask.attempt, task);
        }
        let state = &mut *self.state.borrow_mut();
        if let Some(at) = next.wake.filter(|at| state.wake <= now || *at < state.wake) {
            state.wake = at;
            let this = self.clone();
            self.spawn(async move {
                this.clock.sleep_until(at).await;
                if this.state.borrow().wake == at {
                    this.state.borrow_mut().wake = 0;
                    this.go_on();
                }
            });
        }
    }

    async fn ask(self: Rc<Self>, ask: Ask) {
        let (known, address) = {
            let state = self.state.borrow();
            let address = match ask.source {
                Source::Store => Some(self.config.store.clone()),
                Source::Peer(peer) => state.peers.get(&peer).cloned(),
            };
            (state.wanted.get(&ask.digest).cloned(), address)
        };
        let (Some((chunk, repository)), Some(address)) = (known, address) else {
            return self.ended(ask, Ended::Absent, None);
        };
        let path = format!("/v2/{repository}/blobs/{}", chunk.digest);
        let stated = matches!(ask.source, Source::Peer(_)).then_some(chunk.stored_bytes);
        match self
            .pool
            .get(
                &address,
                &path,
                "application/octet-stream",
                stated,
                chunk.stored_bytes,
            )
            .await
        {
            Got::Bytes(bytes) => match cut::verify(&chunk, &bytes) {
                Ok(()) => self.ended(ask, Ended::Well, Some((chunk, bytes))),
                Err(cut::ChunkError::Length { .. }) => self.ended(ask, Ended::Broken, None),
                Err(damage) => {
                    warn!(source = ?ask.source, %damage, "a damaged chunk is thrown away");
                    add(&self.counts.damaged, 1);
                    self.ended(ask, Ended::Damaged, None);
                }
            },
            Got::Refused(come_back) => self.ended(ask, Ended::Refused(come_back), None),
            Got::Absent => self.ended(ask, Ended::Absent, None),
            Got::Broken(why) => {
                debug!(source = ?ask.source, why, "a fetch broke");
                self.ended(ask, Ended::Broken, None);
            }
        }
    }

    fn ended(self: &Rc<Self>, ask: Ask, how: Ended, came: Option<(Chunk, Vec<u8>)>) {
        if let Some((chunk, bytes)) = came {
            let (count, cost) = match ask.source {
                Source::Store => (&self.counts.from_store, STORE_OVER_PEER),
                Source::Peer(_) => (&self.counts.from_peers, 1.0),
            };
            add(count, 1);
            if ask.source == Source::Store {
                add(&self.counts.bytes_from_store, bytes.len() as u64);
            }
            // Homes are asked by others: what they hold is worth a store's fetch to the fleet.
            let kept = self.cache.put(&chunk, &bytes, cost, 1).unwrap_or(false);
            let state = &mut *self.state.borrow_mut();
            if kept && state.claims.contains_key(&chunk.digest) {
                self.cache.pin(&chunk.digest);
            } else if !kept && state.unkept_bytes + chunk.stored_bytes <= UNKEPT_MOST_BYTES {
                state.unkept_bytes += bytes.len() as u64;
                state.unkept.insert(chunk.digest, Rc::new(bytes));
            }
        }
        let whole = {
            let state = &mut *self.state.borrow_mut();
            state.asks.remove(&ask.attempt);
            match (how, ask.source) {
                (Ended::Well, _) => drop(state.damaged_at_store.remove(&ask.digest)),
                (Ended::Damaged, Source::Store) => {
                    *state.damaged_at_store.entry(ask.digest).or_default() += 1;
                }
                _ => {}
            }
            let whole = state.fetcher.ended(self.clock.now(), ask.attempt, how);
            if how == Ended::Well {
                state.wanted.remove(&ask.digest);
            }
            whole
                .into_iter()
                .filter_map(|load| state.whole.remove(&load))
                .collect::<Vec<_>>()
        };
        for to in whole {
            // Whoever has given its load up hears nothing.
            let _ = to.send(());
        }
        self.moved.notify_waiters();
        self.go_on();
    }
}
