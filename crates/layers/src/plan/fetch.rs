//! Chooses the next chunk requests and their sources, and handles the outcome of each request.
//!
//! A chunk is requested once however many loads wait for it, apart from hedges. The homes ranked above this invoker are
//! tried first, then the store if there are none or all of them failed. Retries spend from a budget, and every wait is
//! bounded.

use super::{ConcurrencyLimit, Member, SuspectSources, homes};
use crate::Digest;
use saltdrum::interface::{InvokerId, MILLISECOND, SECOND, Ticks};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a load within one fetcher.
pub type LoadId = u64;

/// Where a chunk can be fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    Store,
    Peer(InvokerId),
}

/// A chunk that a load needs and that is not cached. Loads list them in the order of use.
#[derive(Clone, Copy, Debug)]
pub struct MissingChunk {
    pub digest: Digest,
    /// Stored (packed) length.
    pub bytes: u64,
}

/// A chunk request to send. Its outcome is reported with [`Fetcher::request_ended`] under `attempt`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FetchRequest {
    pub attempt: u64,
    pub digest: Digest,
    pub source: Source,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The chunk was received and its digest matched.
    Succeeded,
    /// The source is overloaded; retry after this time.
    Refused(Ticks),
    /// The source does not have the chunk.
    NotFound,
    /// No connection, connection lost, timeout or wrong length.
    Failed,
    /// The chunk was received and its digest did not match.
    Corrupt,
}

/// What to do now, and the latest time of the next call to [`Fetcher::next_actions`].
#[derive(Debug, Default)]
pub struct FetchActions {
    pub requests: Vec<FetchRequest>,
    /// Attempts to abort. Their outcome is already accounted for.
    pub cancels: Vec<u64>,
    pub wake_at: Option<Ticks>,
}

const STORE_INITIAL_WINDOW: f64 = 2.0;
const STORE_MAX_WINDOW: f64 = 32.0;
const PEER_INITIAL_WINDOW: f64 = 2.0;
const PEER_MAX_WINDOW: f64 = 6.0;
/// A chunk whose homes are busy waits this long for them before it is requested from the store.
const MAX_PEER_WAIT: Ticks = 6 * SECOND;
/// A request that takes this many times the mean duration is hedged with a second one, within a budget.
const HEDGE_DURATION_FACTOR: f64 = 4.0;
const MIN_HEDGE_DELAY: Ticks = 300 * MILLISECOND;
const HEDGES_PER_FIRST_REQUEST: f64 = 0.05;
/// A request without an outcome after this time is cancelled and counts as failed.
const REQUEST_TIMEOUT: Ticks = 10 * SECOND;
const INITIAL_ROUND_BACKOFF: Ticks = 50 * MILLISECOND;
const MAX_ROUND_BACKOFF: Ticks = 4 * SECOND;
/// Retry budget: a retry spends one token; time and the first request of each chunk earn tokens.
const MAX_RETRY_TOKENS: f64 = 64.0;
const RETRY_TOKENS_PER_SECOND: f64 = 8.0;
const RETRY_TOKENS_PER_FIRST_REQUEST: f64 = 0.25;

struct WantedChunk {
    bytes: u64,
    position: usize,
    waiters: BTreeSet<LoadId>,
    since: Ticks,
    attempts: Vec<u64>,
    failed_sources: Vec<Source>,
    failed_rounds: u32,
    requested_before: bool,
    not_before: Ticks,
    homes: (u64, Vec<InvokerId>),
}

struct PendingLoad {
    missing: BTreeSet<Digest>,
    /// Bytes requested on behalf of this load. The load with the fewest is served next.
    requested_bytes: u64,
}

struct InFlight {
    digest: Digest,
    source: Source,
    since: Ticks,
    /// Set on a request that has a hedge, and on the hedge itself.
    hedged: bool,
}

/// The fetch scheduler of one invoker. Deterministic: the same calls with the same seed give the same requests.
pub struct Fetcher {
    invoker: InvokerId,
    members: Vec<Member>,
    members_version: u64,
    wanted: BTreeMap<Digest, WantedChunk>,
    loads: BTreeMap<LoadId, PendingLoad>,
    limits: BTreeMap<Source, ConcurrencyLimit>,
    suspect_sources: SuspectSources,
    in_flight: BTreeMap<u64, InFlight>,
    last_attempt: u64,
    retry_tokens: (f64, Ticks),
    hedge_tokens: f64,
    /// Moving average over successful requests, in ticks.
    mean_duration: f64,
    cancels: Vec<u64>,
    rng: fastrand::Rng,
}

/// Result of choosing a source for a chunk.
enum Choice {
    Send(Source),
    /// No source is available now. Holds the time when one becomes available, if known.
    Wait(Option<Ticks>),
    /// All sources failed in this round.
    Exhausted,
}

impl Fetcher {
    /// Creates a fetcher without members. `seed` drives backoff jitter and the choice between homes.
    pub fn new(invoker: InvokerId, seed: u64) -> Self {
        Self {
            invoker,
            members: Vec::new(),
            members_version: 1,
            wanted: BTreeMap::new(),
            loads: BTreeMap::new(),
            limits: BTreeMap::new(),
            suspect_sources: SuspectSources::default(),
            in_flight: BTreeMap::new(),
            last_attempt: 0,
            retry_tokens: (MAX_RETRY_TOKENS, 0),
            hedge_tokens: 1.0,
            mean_duration: 0.0,
            cancels: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Replaces the list of invokers, which includes this one.
    pub fn set_members(&mut self, members: Vec<Member>) {
        let departed = self
            .members
            .iter()
            .filter(|m| !members.iter().any(|n| n.invoker == m.invoker));
        departed.for_each(|m| self.suspect_sources.forget(Source::Peer(m.invoker)));
        self.limits.retain(|source, _| match source {
            Source::Store => true,
            Source::Peer(p) => {
                self.in_flight.values().any(|o| o.source == *source)
                    || members.iter().any(|m| m.invoker == *p)
            }
        });
        self.members = members;
        self.members_version += 1;
    }

    /// Clears the suspicion of a peer that has restarted.
    pub fn peer_restarted(&mut self, peer: InvokerId) {
        self.suspect_sources.forget(Source::Peer(peer));
    }

    /// Whether this invoker is a home of the chunk.
    pub fn is_home(&self, chunk: &Digest) -> bool {
        homes(chunk, &self.members).contains(&self.invoker)
    }

    /// Adds a load that needs these chunks, none of which is cached. Returns true if there is nothing to fetch.
    pub fn start_load(&mut self, now: Ticks, load: LoadId, chunks: &[MissingChunk]) -> bool {
        // A new load starts level with the others; from zero it would be served alone until it caught up.
        let requested_bytes = self
            .loads
            .values()
            .map(|l| l.requested_bytes)
            .min()
            .unwrap_or(0);
        let pending = self.loads.entry(load).or_insert(PendingLoad {
            missing: BTreeSet::new(),
            requested_bytes,
        });
        for (position, chunk) in chunks.iter().enumerate() {
            pending.missing.insert(chunk.digest);
            let want = self
                .wanted
                .entry(chunk.digest)
                .or_insert_with(|| WantedChunk {
                    bytes: chunk.bytes,
                    position,
                    waiters: BTreeSet::new(),
                    since: now,
                    attempts: Vec::new(),
                    failed_sources: Vec::new(),
                    failed_rounds: 0,
                    requested_before: false,
                    not_before: 0,
                    homes: (0, Vec::new()),
                });
            want.position = want.position.min(position);
            want.waiters.insert(load);
        }
        let is_complete = pending.missing.is_empty();
        if is_complete {
            self.loads.remove(&load);
        }
        is_complete
    }

    /// Drops a load and cancels the requests for chunks that no other load needs.
    pub fn cancel_load(&mut self, load: LoadId) {
        let Some(pending) = self.loads.remove(&load) else {
            return;
        };
        for digest in pending.missing {
            let Some(want) = self.wanted.get_mut(&digest) else {
                continue;
            };
            want.waiters.remove(&load);
            if want.waiters.is_empty() {
                let attempts = self
                    .wanted
                    .remove(&digest)
                    .map(|want| want.attempts)
                    .unwrap_or_default();
                attempts
                    .into_iter()
                    .for_each(|attempt| self.cancel(attempt));
            }
        }
    }

    /// Whether no chunk is wanted and no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.wanted.is_empty() && self.in_flight.is_empty()
    }

    fn cancel(&mut self, attempt: u64) {
        if let Some(request) = self.in_flight.remove(&attempt) {
            self.limit(request.source).request_ended();
            self.cancels.push(attempt);
        }
    }

    fn limit(&mut self, source: Source) -> &mut ConcurrencyLimit {
        self.limits.entry(source).or_insert_with(|| match source {
            Source::Store => ConcurrencyLimit::new(STORE_INITIAL_WINDOW, STORE_MAX_WINDOW),
            Source::Peer(_) => ConcurrencyLimit::new(PEER_INITIAL_WINDOW, PEER_MAX_WINDOW),
        })
    }

    /// Returns the requests to send and to cancel now.
    pub fn next_actions(&mut self, now: Ticks) -> FetchActions {
        self.time_out_requests(now);
        let mut actions = FetchActions::default();
        self.send_hedges(now, &mut actions);
        let mut wake_at: Option<Ticks> = None;
        let mut wake_by =
            |at: Ticks| wake_at = Some(wake_at.map_or(at, |wake| wake.min(at)).max(now + 1));
        // Chunks with the most waiting loads come first, then those that the load uses first.
        let mut ready: BTreeMap<LoadId, Vec<(std::cmp::Reverse<usize>, usize, Digest)>> =
            BTreeMap::new();
        for (digest, want) in self
            .wanted
            .iter()
            .filter(|(_, want)| want.attempts.is_empty())
        {
            if want.not_before > now {
                wake_by(want.not_before);
                continue;
            }
            for load in &want.waiters {
                ready.entry(*load).or_default().push((
                    std::cmp::Reverse(want.waiters.len()),
                    want.position,
                    *digest,
                ));
            }
        }
        for queue in ready.values_mut() {
            queue.sort_unstable_by(|a, b| b.cmp(a));
        }
        while let Some(load) = ready
            .keys()
            .min_by_key(|l| (self.loads[*l].requested_bytes, **l))
            .copied()
        {
            let queue = ready.get_mut(&load).expect("the load was just selected");
            let Some((_, _, digest)) = queue.pop() else {
                ready.remove(&load);
                continue;
            };
            if !self.wanted[&digest].attempts.is_empty() || self.wanted[&digest].not_before > now {
                continue;
            }
            match self.choose_source(&digest, now, false) {
                Choice::Send(source) => match self.take_retry_token(&digest, now) {
                    Some(at) => wake_by(at),
                    None => {
                        let bytes = self.wanted[&digest].bytes;
                        self.loads
                            .get_mut(&load)
                            .expect("a queued load is pending")
                            .requested_bytes += bytes;
                        actions.requests.push(self.send(digest, source, now, false));
                    }
                },
                Choice::Wait(at) => at.into_iter().for_each(&mut wake_by),
                Choice::Exhausted => {
                    let jitter = self.rng.f64();
                    let want = self
                        .wanted
                        .get_mut(&digest)
                        .expect("the chunk was just selected");
                    want.failed_sources.clear();
                    want.failed_rounds += 1;
                    let backoff =
                        MAX_ROUND_BACKOFF.min(INITIAL_ROUND_BACKOFF << want.failed_rounds.min(8));
                    want.not_before =
                        now + 1 + backoff / 2 + (backoff as f64 / 2.0 * jitter) as Ticks;
                    wake_by(want.not_before);
                }
            }
        }
        for request in self.in_flight.values() {
            wake_by(request.since + REQUEST_TIMEOUT);
            if !request.hedged && self.hedge_tokens >= 1.0 {
                wake_by(request.since + self.hedge_delay());
            }
        }
        actions.cancels = std::mem::take(&mut self.cancels);
        actions.wake_at = wake_at;
        actions
    }

    fn hedge_delay(&self) -> Ticks {
        MIN_HEDGE_DELAY.max((HEDGE_DURATION_FACTOR * self.mean_duration) as Ticks)
    }

    fn send(&mut self, digest: Digest, source: Source, now: Ticks, hedged: bool) -> FetchRequest {
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        self.limit(source).request_sent();
        self.in_flight.insert(
            attempt,
            InFlight {
                digest,
                source,
                since: now,
                hedged,
            },
        );
        if let Some(want) = self.wanted.get_mut(&digest) {
            want.attempts.push(attempt);
            want.requested_before = true;
        }
        FetchRequest {
            attempt,
            digest,
            source,
        }
    }

    /// Takes a token for a retry; the first request of a chunk is free and earns tokens. Returns the time of the next
    /// token if none is available.
    fn take_retry_token(&mut self, digest: &Digest, now: Ticks) -> Option<Ticks> {
        let elapsed_s = now.saturating_sub(self.retry_tokens.1) as f64 / SECOND as f64;
        let is_first = !self.wanted[digest].requested_before;
        let earned = if is_first {
            RETRY_TOKENS_PER_FIRST_REQUEST
        } else {
            0.0
        };
        let available = (self.retry_tokens.0 + elapsed_s * RETRY_TOKENS_PER_SECOND + earned)
            .min(MAX_RETRY_TOKENS);
        self.retry_tokens = (available, now.max(self.retry_tokens.1));
        if is_first {
            self.hedge_tokens = (self.hedge_tokens + HEDGES_PER_FIRST_REQUEST).min(8.0);
            return None;
        }
        if available < 1.0 {
            return Some(
                now + ((1.0 - available) / RETRY_TOKENS_PER_SECOND * SECOND as f64) as Ticks + 1,
            );
        }
        self.retry_tokens.0 -= 1.0;
        None
    }

    fn choose_source(&mut self, digest: &Digest, now: Ticks, is_hedge: bool) -> Choice {
        let want = self
            .wanted
            .get_mut(digest)
            .expect("sources are chosen only for wanted chunks");
        if want.homes.0 != self.members_version {
            want.homes = (self.members_version, homes(digest, &self.members));
        }
        let sources_in_flight: Vec<Source> = want
            .attempts
            .iter()
            .filter_map(|a| self.in_flight.get(a))
            .map(|o| o.source)
            .collect();
        let rank = want.homes.1.iter().position(|h| *h == self.invoker);
        // A home asks only the homes ranked above it, so that a single invoker requests the chunk from the store.
        let mut peers: Vec<Source> = want
            .homes
            .1
            .iter()
            .take(rank.unwrap_or(usize::MAX))
            .map(|h| Source::Peer(*h))
            .collect();
        if rank.is_none() && !peers.is_empty() {
            let offset = self.rng.usize(..peers.len());
            peers.rotate_left(offset);
        }
        let has_waited = now >= want.since + MAX_PEER_WAIT;
        let is_untried =
            |s: &Source| !want.failed_sources.contains(s) && !sources_in_flight.contains(s);
        let mut reopens_at: Option<Ticks> = None;
        let mut is_any_busy = false;
        for peer in peers
            .iter()
            .filter(|p| is_untried(p) && self.suspect_sources.is_trusted(**p, now))
        {
            let limit = self.limits.get(peer);
            if limit.is_none_or(|l| l.has_capacity(now)) {
                return Choice::Send(*peer);
            }
            is_any_busy = true;
            let at = limit.and_then(|l| l.reopens_at(now));
            reopens_at = reopens_at.min(at).or(reopens_at).or(at);
        }
        if is_any_busy && !has_waited {
            return Choice::Wait(reopens_at);
        }
        // Hedges go only to homes: at the store they would add to the overload that delayed the first request.
        if is_hedge {
            return Choice::Wait(None);
        }
        if !is_untried(&Source::Store) {
            return Choice::Exhausted;
        }
        // The store is the last resort, so it is used even while suspected, within its concurrency limit.
        let limit = self.limits.get(&Source::Store);
        match limit.is_none_or(|l| l.has_capacity(now)) {
            true => Choice::Send(Source::Store),
            false => Choice::Wait(limit.and_then(|l| l.reopens_at(now))),
        }
    }

    fn send_hedges(&mut self, now: Ticks, actions: &mut FetchActions) {
        if self.hedge_tokens < 1.0 {
            return;
        }
        let (hedge_delay, in_flight) = (self.hedge_delay(), &self.in_flight);
        let slow: Vec<(u64, Digest)> = in_flight
            .iter()
            .filter(|(_, o)| !o.hedged && now >= o.since + hedge_delay)
            .map(|(attempt, o)| (*attempt, o.digest))
            .collect();
        for (attempt, digest) in slow {
            if self.hedge_tokens < 1.0
                || self
                    .wanted
                    .get(&digest)
                    .is_none_or(|want| want.attempts.len() > 1)
            {
                continue;
            }
            if let Choice::Send(source) = self.choose_source(&digest, now, true) {
                self.hedge_tokens -= 1.0;
                self.in_flight
                    .get_mut(&attempt)
                    .expect("the request is in flight")
                    .hedged = true;
                let request = self.send(digest, source, now, true);
                actions.requests.push(request);
            }
        }
    }

    fn time_out_requests(&mut self, now: Ticks) {
        let expired: Vec<u64> = self
            .in_flight
            .iter()
            .filter(|(_, o)| now >= o.since + REQUEST_TIMEOUT)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in expired {
            self.request_ended(now, attempt, FetchOutcome::Failed);
            self.cancels.push(attempt);
        }
    }

    /// Whether any load waits for this chunk.
    pub fn is_wanted(&self, digest: &Digest) -> bool {
        self.wanted.contains_key(digest)
    }

    /// The chunk that a request in flight is for.
    pub fn requested_chunk(&self, attempt: u64) -> Option<Digest> {
        self.in_flight.get(&attempt).map(|o| o.digest)
    }

    /// Handles the outcome of a request. Returns the loads that it completes.
    pub fn request_ended(
        &mut self,
        now: Ticks,
        attempt: u64,
        outcome: FetchOutcome,
    ) -> Vec<LoadId> {
        let Some(request) = self.in_flight.remove(&attempt) else {
            return Vec::new();
        };
        let (digest, source) = (request.digest, request.source);
        let duration = now.saturating_sub(request.since);
        let bytes = self.wanted.get(&digest).map_or(0, |want| want.bytes);
        match outcome {
            FetchOutcome::Succeeded => {
                self.limit(source).request_succeeded(now, duration, bytes);
                self.suspect_sources.fetch_succeeded(source);
                self.mean_duration += 0.1 * (duration as f64 - self.mean_duration);
            }
            FetchOutcome::Refused(retry_after) => {
                self.limit(source).request_refused(now, retry_after)
            }
            FetchOutcome::NotFound => self.limit(source).request_ended(),
            FetchOutcome::Failed => {
                self.limit(source).request_ended();
                self.suspect_sources.fetch_failed(source, now);
            }
            FetchOutcome::Corrupt => {
                self.limit(source).request_ended();
                self.suspect_sources.sent_corrupt(source, now);
            }
        }
        let Some(want) = self.wanted.get_mut(&digest) else {
            return Vec::new();
        };
        want.attempts.retain(|a| *a != attempt);
        match outcome {
            FetchOutcome::Succeeded => return self.chunk_arrived(digest),
            // A refusal is not a failure: the source may be tried again in this round.
            FetchOutcome::Refused(retry_after) => {
                if source == Source::Store {
                    let jitter = 1.0 + self.rng.f64();
                    want.not_before = now + (retry_after as f64 * jitter) as Ticks;
                }
            }
            FetchOutcome::NotFound | FetchOutcome::Failed | FetchOutcome::Corrupt => {
                want.failed_sources.push(source)
            }
        }
        Vec::new()
    }

    /// Handles the arrival of a chunk from any source. Returns the loads that it completes.
    pub fn chunk_arrived(&mut self, digest: Digest) -> Vec<LoadId> {
        let Some(want) = self.wanted.remove(&digest) else {
            return Vec::new();
        };
        want.attempts
            .into_iter()
            .for_each(|attempt| self.cancel(attempt));
        let mut complete = Vec::new();
        for load in want.waiters {
            let Some(pending) = self.loads.get_mut(&load) else {
                continue;
            };
            pending.missing.remove(&digest);
            if pending.missing.is_empty() {
                self.loads.remove(&load);
                complete.push(load);
            }
        }
        complete
    }
}
