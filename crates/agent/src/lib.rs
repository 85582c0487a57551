//! The agent of an invoker: fetches models in chunks and serves cached chunks to peers.
//!
//! Both directions use the pull API of the OCI distribution specification over HTTP/1.1, so that the store can be any
//! registry and peers are queried the same way. `saltdrum_layers::plan` decides on sources, limits, retries and uploads;
//! this crate does the I/O. The entry point is [`Agent::load`].

mod follow;
mod http;
mod peers;

pub use follow::follow;

use http::{ConnectionPool, GetOutcome};
use saltdrum::interface::{InvokerId, Ticks};
use saltdrum_layers::cache::Cache;
use saltdrum_layers::manifest::{MANIFEST_TYPE, MAX_MANIFEST_BYTES};
use saltdrum_layers::plan::{
    FetchOutcome, FetchRequest, Fetcher, LoadId, Member, MissingChunk, STORE_COST_FACTOR, Source,
    UploadScheduler,
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

/// Most bytes of uncached chunks held in memory for pending loads and loaded models.
const MAX_UNCACHED_BYTES: u64 = 512 << 20;
/// A load fails once the store has sent a chunk corrupt this many times, with no intact copy from any source meanwhile.
const MAX_CORRUPT_FETCHES: u32 = 2;
/// Attempts to fetch a manifest, with a backoff that doubles.
const MANIFEST_ATTEMPTS: u32 = 6;
const MANIFEST_INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Why a model could not be loaded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LoadError {
    #[error("model {model}: the store has no such manifest")]
    Unknown { model: String },
    #[error("model {model}: {why}")]
    Manifest { model: String, why: String },
    #[error("model {model}: the store did not answer for its manifest: {why}")]
    Unreachable { model: String, why: String },
    #[error(
        "model {model}: chunk {chunk} came damaged from the store {MAX_CORRUPT_FETCHES} times, and whole from nobody"
    )]
    Corrupt { model: String, chunk: Digest },
    #[error("model {model}: {0} bytes of its chunks could not be kept: no room on disk", .bytes)]
    NoRoom { model: String, bytes: u64 },
}

/// A peer as stated by the endpoint list.
#[derive(Clone, Debug)]
pub struct Peer {
    pub member: Member,
    pub address: Address,
}

/// Settings of an agent.
pub struct AgentConfig {
    pub invoker: InvokerId,
    pub seed: u64,
    pub store: Address,
    /// Limit on uploads to peers, in bytes per second.
    pub serve_bytes_per_second: f64,
}

/// Counters since the agent started.
#[derive(Debug, Default)]
pub struct Counts {
    pub from_cache: Cell<u64>,
    pub from_peers: Cell<u64>,
    pub from_store: Cell<u64>,
    pub bytes_from_store: Cell<u64>,
    /// Received chunks that were discarded because their digest did not match.
    pub damaged: Cell<u64>,
    pub served: Cell<u64>,
}

pub(crate) fn add(count: &Cell<u64>, n: u64) {
    count.set(count.get() + n);
}

/// A loaded model. Its chunks stay available until it is dropped.
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
    /// Reads and unpacks a chunk of the model. `None` only if the disk has lost it since the load.
    pub fn read(&self, chunk: &Chunk) -> Option<Vec<u8>> {
        self.agent
            .stored_chunk(chunk)
            .and_then(|stored| cut::unpack(chunk, &stored).ok())
    }
}

pub(crate) struct State {
    pub fetcher: Fetcher,
    pub uploads: UploadScheduler,
    peers: BTreeMap<InvokerId, Address>,
    /// The chunks being fetched, each with a repository that contains it.
    wanted: BTreeMap<Digest, (Chunk, String)>,
    fetch_tasks: BTreeMap<u64, AbortHandle>,
    load_waiters: BTreeMap<LoadId, oneshot::Sender<()>>,
    /// Stored bytes of chunks that the cache could not take.
    uncached: BTreeMap<Digest, Rc<Vec<u8>>>,
    /// Number of pending loads and loaded models that use a chunk. A claimed chunk is not evicted or released.
    claims: BTreeMap<Digest, u32>,
    uncached_bytes: u64,
    /// Times that the store sent a wanted chunk corrupt.
    corrupt_counts: BTreeMap<Digest, u32>,
    wake_at: Ticks,
    last_load: LoadId,
    pub utilization: f64,
    pub draining: bool,
    pub capacity_share: f64,
}

/// The agent of one invoker.
pub struct Agent {
    pub(crate) config: AgentConfig,
    pub cache: Cache,
    pub(crate) clock: Clock,
    pool: ConnectionPool,
    pub(crate) state: RefCell<State>,
    pub(crate) progress: Notify,
    pub counts: Counts,
    tasks: RefCell<JoinSet<()>>,
}

/// Cancels a load when its future is dropped.
struct LoadGuard<'a> {
    agent: &'a Rc<Agent>,
    load: LoadId,
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        {
            let state = &mut *self.agent.state.borrow_mut();
            state.load_waiters.remove(&self.load);
            state.fetcher.cancel_load(self.load);
            state
                .wanted
                .retain(|digest, _| state.fetcher.is_wanted(digest));
            state
                .corrupt_counts
                .retain(|digest, _| state.fetcher.is_wanted(digest));
        }
        self.agent.advance();
    }
}

impl State {
    fn release_uncached(&mut self, digest: &Digest) {
        if let Some(bytes) = self.uncached.remove(digest) {
            self.uncached_bytes -= bytes.len() as u64;
        }
    }

    /// Releases a chunk that was fetched only for a peer.
    pub fn release_unclaimed(&mut self, digest: &Digest) {
        if !self.claims.contains_key(digest) {
            self.release_uncached(digest);
        }
    }
}

impl Agent {
    /// Creates an agent. Must be called on the `LocalSet` that it runs on.
    pub fn new(
        config: AgentConfig,
        cache: Cache,
        network: Rc<dyn Network>,
        clock: Clock,
    ) -> Rc<Self> {
        let state = State {
            fetcher: Fetcher::new(config.invoker, config.seed),
            uploads: UploadScheduler::new(clock.now(), config.serve_bytes_per_second),
            peers: BTreeMap::new(),
            wanted: BTreeMap::new(),
            fetch_tasks: BTreeMap::new(),
            load_waiters: BTreeMap::new(),
            uncached: BTreeMap::new(),
            claims: BTreeMap::new(),
            uncached_bytes: 0,
            corrupt_counts: BTreeMap::new(),
            wake_at: 0,
            last_load: 0,
            utilization: 0.0,
            draining: false,
            capacity_share: 1.0,
        };
        let (pool, state) = (ConnectionPool::new(network), RefCell::new(state));
        let (progress, counts, tasks) = (Notify::new(), Counts::default(), RefCell::default());
        Rc::new(Self {
            config,
            cache,
            clock,
            pool,
            state,
            progress,
            counts,
            tasks,
        })
    }

    /// Replaces the list of invokers, which includes this one.
    pub fn update_peers(self: &Rc<Self>, peers: &[Peer]) {
        let state = &mut *self.state.borrow_mut();
        state.peers = peers
            .iter()
            .map(|p| (p.member.invoker, p.address.clone()))
            .collect();
        let own_entry = peers
            .iter()
            .find(|p| p.member.invoker == self.config.invoker);
        state.draining = own_entry.is_some_and(|p| !p.member.ready);
        state.capacity_share = own_entry.map_or(1.0, |p| p.member.capacity_share);
        state
            .fetcher
            .set_members(peers.iter().map(|p| p.member).collect());
    }

    /// Sets the share of this invoker's cores that invocations use, 0 to 1. Uploads to peers decrease as it rises.
    pub fn set_utilization(&self, share: f64) {
        self.state.borrow_mut().utilization = share;
    }

    /// Loads a model: makes all its chunks available, verified. Dropping the future cancels the load.
    pub async fn load(
        self: &Rc<Self>,
        repository: &str,
        reference: &str,
    ) -> Result<LoadedModel, LoadError> {
        let (digest, manifest) = self.fetch_manifest(repository, reference).await?;
        manifest.chunks.iter().for_each(|c| self.claim(&c.digest));
        // From here on the claims are released on every path.
        let loaded = LoadedModel {
            digest,
            manifest,
            agent: self.clone(),
        };
        let mut missing = Vec::new();
        for chunk in &loaded.manifest.chunks {
            if missing
                .iter()
                .any(|n: &MissingChunk| n.digest == chunk.digest)
            {
                continue;
            }
            if self.stored_chunk(chunk).is_some() {
                add(&self.counts.from_cache, 1);
            } else {
                missing.push(MissingChunk {
                    digest: chunk.digest,
                    bytes: chunk.stored_bytes,
                });
                let wanted = (chunk.clone(), repository.to_owned());
                self.state.borrow_mut().wanted.insert(chunk.digest, wanted);
            }
        }
        tokio::select! {
            biased;
            () = self.fetch_all(&missing) => {}
            chunk = self.wait_for_corruption(&missing, MAX_CORRUPT_FETCHES) => {
                return Err(LoadError::Corrupt { model: format!("{repository}:{reference}"), chunk });
            }
        }
        let is_missing = |c: &&Chunk| {
            !self.cache.contains(&c.digest) && !self.state.borrow().uncached.contains_key(&c.digest)
        };
        let bytes = loaded
            .manifest
            .chunks
            .iter()
            .filter(is_missing)
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

    /// Bytes of chunks held in memory because they could not be cached.
    pub fn uncached_bytes(&self) -> u64 {
        self.state.borrow().uncached_bytes
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
            state.release_uncached(digest);
        }
    }

    pub(crate) fn stored_chunk(&self, chunk: &Chunk) -> Option<Rc<Vec<u8>>> {
        let uncached = self.state.borrow().uncached.get(&chunk.digest).cloned();
        uncached.or_else(|| self.cache.get(chunk).map(Rc::new))
    }

    /// Fetches these chunks and waits until all have arrived.
    pub(crate) async fn fetch_all(self: &Rc<Self>, missing: &[MissingChunk]) {
        let (sender, completed) = oneshot::channel();
        let load = {
            let state = &mut *self.state.borrow_mut();
            state.last_load += 1;
            let load = state.last_load;
            if state.fetcher.start_load(self.clock.now(), load, missing) {
                return;
            }
            state.load_waiters.insert(load, sender);
            load
        };
        let _load_guard = LoadGuard { agent: self, load };
        self.advance();
        let _ = completed.await;
    }

    /// Waits until the store has sent one of these chunks corrupt `after` times, and returns its digest.
    async fn wait_for_corruption(&self, missing: &[MissingChunk], after: u32) -> Digest {
        loop {
            // Registered before the check, so that no notification is missed.
            let progress = self.progress.notified();
            let found = {
                let state = self.state.borrow();
                let is_corrupt = |n: &&MissingChunk| {
                    state
                        .corrupt_counts
                        .get(&n.digest)
                        .is_some_and(|count| *count >= after)
                };
                missing.iter().find(is_corrupt).map(|n| n.digest)
            };
            if let Some(digest) = found {
                return digest;
            }
            progress.await;
        }
    }

    /// Like `fetch_all`, for one chunk that a peer requests from this invoker as its home.
    pub(crate) async fn fetch_for_peer(self: &Rc<Self>, chunk: Chunk, repository: &str) {
        let missing = [MissingChunk {
            digest: chunk.digest,
            bytes: chunk.stored_bytes,
        }];
        self.state
            .borrow_mut()
            .wanted
            .insert(chunk.digest, (chunk, repository.to_owned()));
        tokio::select! {
            biased;
            () = self.fetch_all(&missing) => {}
            // Returns after one corrupt fetch, so that the peer retries elsewhere: it can't tell a long wait from a hang.
            _ = self.wait_for_corruption(&missing, 1) => {}
        }
    }

    async fn fetch_manifest(
        &self,
        repository: &str,
        reference: &str,
    ) -> Result<(Digest, Manifest), LoadError> {
        let model = format!("{repository}:{reference}");
        let path = format!("/v2/{repository}/manifests/{reference}");
        let mut backoff = MANIFEST_INITIAL_BACKOFF;
        let mut last_error = String::new();
        for _ in 0..MANIFEST_ATTEMPTS {
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
                GetOutcome::Bytes(bytes) => {
                    let digest = Digest::of(&bytes);
                    let expected: Result<Digest, _> = reference.parse();
                    if expected.is_ok_and(|expected| expected != digest) {
                        last_error = format!("received content with digest {digest}");
                    } else {
                        let decoded = Manifest::from_json(&bytes);
                        return decoded
                            .map(|m| (digest, m))
                            .map_err(|e| LoadError::Manifest {
                                model,
                                why: e.to_string(),
                            });
                    }
                }
                GetOutcome::NotFound => return Err(LoadError::Unknown { model }),
                GetOutcome::Refused(retry_after) => {
                    last_error = "refused".into();
                    backoff = backoff.max(Duration::from_micros(retry_after * 100));
                }
                GetOutcome::Failed(why) => last_error = why,
            }
            tokio::time::sleep(backoff).await;
            backoff *= 2;
        }
        Err(LoadError::Unreachable {
            model,
            why: last_error,
        })
    }

    pub(crate) fn spawn(&self, work: impl Future<Output = ()> + 'static) -> AbortHandle {
        let mut tasks = self.tasks.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(work)
    }

    /// Aborts all tasks and drops all connections, as if the process were killed.
    pub fn kill(&self) {
        self.tasks.borrow_mut().abort_all();
        self.pool.clear();
    }

    /// Gets the next actions from the fetcher and starts them.
    pub(crate) fn advance(self: &Rc<Self>) {
        let now = self.clock.now();
        let actions = self.state.borrow_mut().fetcher.next_actions(now);
        for attempt in actions.cancels {
            if let Some(task) = self.state.borrow_mut().fetch_tasks.remove(&attempt) {
                task.abort();
            }
        }
        for request in actions.requests {
            let this = self.clone();
            let task = self.spawn(async move { this.fetch(request).await });
            self.state
                .borrow_mut()
                .fetch_tasks
                .insert(request.attempt, task);
        }
        let state = &mut *self.state.borrow_mut();
        if let Some(at) = actions
            .wake_at
            .filter(|at| state.wake_at <= now || *at < state.wake_at)
        {
            state.wake_at = at;
            let this = self.clone();
            self.spawn(async move {
                this.clock.sleep_until(at).await;
                if this.state.borrow().wake_at == at {
                    this.state.borrow_mut().wake_at = 0;
                    this.advance();
                }
            });
        }
    }

    async fn fetch(self: Rc<Self>, request: FetchRequest) {
        let (wanted, address) = {
            let state = self.state.borrow();
            let address = match request.source {
                Source::Store => Some(self.config.store.clone()),
                Source::Peer(peer) => state.peers.get(&peer).cloned(),
            };
            (state.wanted.get(&request.digest).cloned(), address)
        };
        let (Some((chunk, repository)), Some(address)) = (wanted, address) else {
            return self.request_ended(request, FetchOutcome::NotFound, None);
        };
        let path = format!("/v2/{repository}/blobs/{}", chunk.digest);
        let stored_bytes = matches!(request.source, Source::Peer(_)).then_some(chunk.stored_bytes);
        match self
            .pool
            .get(
                &address,
                &path,
                "application/octet-stream",
                stored_bytes,
                chunk.stored_bytes,
            )
            .await
        {
            GetOutcome::Bytes(bytes) => match cut::verify(&chunk, &bytes) {
                Ok(()) => {
                    self.request_ended(request, FetchOutcome::Succeeded, Some((chunk, bytes)))
                }
                Err(cut::ChunkError::Length { .. }) => {
                    self.request_ended(request, FetchOutcome::Failed, None)
                }
                Err(error) => {
                    warn!(source = ?request.source, damage = %error, "corrupt chunk discarded");
                    add(&self.counts.damaged, 1);
                    self.request_ended(request, FetchOutcome::Corrupt, None);
                }
            },
            GetOutcome::Refused(retry_after) => {
                self.request_ended(request, FetchOutcome::Refused(retry_after), None)
            }
            GetOutcome::NotFound => self.request_ended(request, FetchOutcome::NotFound, None),
            GetOutcome::Failed(why) => {
                debug!(source = ?request.source, why, "chunk fetch failed");
                self.request_ended(request, FetchOutcome::Failed, None);
            }
        }
    }

    fn request_ended(
        self: &Rc<Self>,
        request: FetchRequest,
        outcome: FetchOutcome,
        received: Option<(Chunk, Vec<u8>)>,
    ) {
        if let Some((chunk, bytes)) = received {
            let (count, cost) = match request.source {
                Source::Store => (&self.counts.from_store, STORE_COST_FACTOR),
                Source::Peer(_) => (&self.counts.from_peers, 1.0),
            };
            add(count, 1);
            if request.source == Source::Store {
                add(&self.counts.bytes_from_store, bytes.len() as u64);
            }
            // Peers fetch from homes: a home that loses a chunk costs the fleet another fetch from the store.
            let is_cached = self.cache.put(&chunk, &bytes, cost, 1).unwrap_or(false);
            let state = &mut *self.state.borrow_mut();
            if is_cached && state.claims.contains_key(&chunk.digest) {
                self.cache.pin(&chunk.digest);
            } else if !is_cached && state.uncached_bytes + chunk.stored_bytes <= MAX_UNCACHED_BYTES
            {
                state.uncached_bytes += bytes.len() as u64;
                state.uncached.insert(chunk.digest, Rc::new(bytes));
            }
        }
        let completed = {
            let state = &mut *self.state.borrow_mut();
            state.fetch_tasks.remove(&request.attempt);
            match (outcome, request.source) {
                (FetchOutcome::Succeeded, _) => drop(state.corrupt_counts.remove(&request.digest)),
                (FetchOutcome::Corrupt, Source::Store) => {
                    *state.corrupt_counts.entry(request.digest).or_default() += 1;
                }
                _ => {}
            }
            let completed = state
                .fetcher
                .request_ended(self.clock.now(), request.attempt, outcome);
            if outcome == FetchOutcome::Succeeded {
                state.wanted.remove(&request.digest);
            }
            completed
                .into_iter()
                .filter_map(|load| state.load_waiters.remove(&load))
                .collect::<Vec<_>>()
        };
        for sender in completed {
            // The receiver is gone if the load was cancelled.
            let _ = sender.send(());
        }
        self.progress.notify_waiters();
        self.advance();
    }
}
