//! Which chunk to ask whom for next, and what to make of each ask's end.
//!
//! A chunk is out once, whoever waits for it. Its homes before us are asked first, the store when there are none or all
//! of them failed. Everything that repeats spends from a budget; everything that waits has an end.

use super::{ConcurrencyLimit, Member, SuspectSources, homes};
use crate::Digest;
use saltdrum::interface::{InvokerId, MILLISECOND, SECOND, Ticks};
use std::collections::{BTreeMap, BTreeSet};

pub type LoadId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    Store,
    Peer(InvokerId),
}

/// A chunk that a load misses, in the order in which the load uses them.
#[derive(Clone, Copy, Debug)]
pub struct MissingChunk {
    pub digest: Digest,
    /// As stored.
    pub bytes: u64,
}

/// Ask this source for this chunk. Its end is to be told under this number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FetchRequest {
    pub attempt: u64,
    pub digest: Digest,
    pub source: Source,
}

/// How an ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// Its bytes came and their digest held.
    Succeeded,
    /// Too many are at it; come back after so long.
    Refused(Ticks),
    /// It has no such chunk.
    NotFound,
    /// No connection, cut off, silent, wrong length.
    Failed,
    /// Its bytes came and their digest did not hold.
    Corrupt,
}

/// What to do now, and when to ask again at the latest.
#[derive(Debug, Default)]
pub struct FetchActions {
    pub requests: Vec<FetchRequest>,
    /// Stop these; their ends are told already.
    pub cancels: Vec<u64>,
    pub wake_at: Option<Ticks>,
}

const STORE_INITIAL_WINDOW: f64 = 2.0;
const STORE_MAX_WINDOW: f64 = 32.0;
const PEER_INITIAL_WINDOW: f64 = 2.0;
const PEER_MAX_WINDOW: f64 = 6.0;
/// Homes that put us off are waited for so long before the store is asked past them.
const MAX_PEER_WAIT: Ticks = 6 * SECOND;
/// An ask that takes so many times as long as usual gets a second one beside it, within a budget.
const HEDGE_DURATION_FACTOR: f64 = 4.0;
const MIN_HEDGE_DELAY: Ticks = 300 * MILLISECOND;
const HEDGES_PER_FIRST_REQUEST: f64 = 0.05;
/// Given up and counted as broken.
const REQUEST_TIMEOUT: Ticks = 10 * SECOND;
const INITIAL_ROUND_BACKOFF: Ticks = 50 * MILLISECOND;
const MAX_ROUND_BACKOFF: Ticks = 4 * SECOND;
/// Repeats that may be spent at once, and how they come back: by time, and by first asks.
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
    /// Bytes asked for on its account: the load with the least goes next.
    requested_bytes: u64,
}

struct InFlight {
    digest: Digest,
    source: Source,
    since: Ticks,
    has_hedge: bool,
}

/// One invoker's fetching. The same calls give the same asks.
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
    /// Usual time of an ask that went well.
    mean_duration: f64,
    cancels: Vec<u64>,
    rng: fastrand::Rng,
}

enum Choice {
    Send(Source),
    /// A source there is, but it is full, closed or suspected for now.
    Wait(Option<Ticks>),
    /// All failed in this round.
    Exhausted,
}

impl Fetcher {
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

    /// The list of invokers as it is now, ourselves among them.
    pub fn set_members(&mut self, members: Vec<Member>) {
        let gone = self
            .members
            .iter()
            .filter(|m| !members.iter().any(|n| n.invoker == m.invoker));
        gone.for_each(|m| self.suspect_sources.forget(Source::Peer(m.invoker)));
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

    /// A peer has started anew: what was held against it is void.
    pub fn peer_restarted(&mut self, peer: InvokerId) {
        self.suspect_sources.forget(Source::Peer(peer));
    }

    pub fn is_home(&self, chunk: &Digest) -> bool {
        homes(chunk, &self.members).contains(&self.invoker)
    }

    /// A load waits for these chunks, none of which is here. True: it waits for nothing.
    pub fn start_load(&mut self, now: Ticks, load: LoadId, chunks: &[MissingChunk]) -> bool {
        // It starts beside the others, not ahead of all that they were granted since they began.
        let requested_bytes = self
            .loads
            .values()
            .map(|l| l.requested_bytes)
            .min()
            .unwrap_or(0);
        let l = self.loads.entry(load).or_insert(PendingLoad {
            missing: BTreeSet::new(),
            requested_bytes,
        });
        for (position, chunk) in chunks.iter().enumerate() {
            l.missing.insert(chunk.digest);
            let w = self
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
            w.position = w.position.min(position);
            w.waiters.insert(load);
        }
        let nothing = l.missing.is_empty();
        if nothing {
            self.loads.remove(&load);
        }
        nothing
    }

    /// The load is not wanted any more; what nobody else waits for stops.
    pub fn cancel_load(&mut self, load: LoadId) {
        let Some(l) = self.loads.remove(&load) else {
            return;
        };
        for digest in l.missing {
            let Some(w) = self.wanted.get_mut(&digest) else {
                continue;
            };
            w.waiters.remove(&load);
            if w.waiters.is_empty() {
                let out = self
                    .wanted
                    .remove(&digest)
                    .map(|w| w.attempts)
                    .unwrap_or_default();
                out.into_iter().for_each(|attempt| self.cancel(attempt));
            }
        }
    }

    pub fn is_idle(&self) -> bool {
        self.wanted.is_empty() && self.in_flight.is_empty()
    }

    fn cancel(&mut self, attempt: u64) {
        if let Some(out) = self.in_flight.remove(&attempt) {
            self.limit(out.source).request_ended();
            self.cancels.push(attempt);
        }
    }

    fn limit(&mut self, source: Source) -> &mut ConcurrencyLimit {
        self.limits.entry(source).or_insert_with(|| match source {
            Source::Store => ConcurrencyLimit::new(STORE_INITIAL_WINDOW, STORE_MAX_WINDOW),
            Source::Peer(_) => ConcurrencyLimit::new(PEER_INITIAL_WINDOW, PEER_MAX_WINDOW),
        })
    }

    /// What to ask now.
    pub fn next_actions(&mut self, now: Ticks) -> FetchActions {
        self.time_out_requests(now);
        let mut next = FetchActions::default();
        self.send_hedges(now, &mut next);
        let mut wake_at: Option<Ticks> = None;
        let mut wake_by =
            |at: Ticks| wake_at = Some(wake_at.map_or(at, |w| w.min(at)).max(now + 1));
        // First chunks first, those that many wait for before them.
        let mut ready: BTreeMap<LoadId, Vec<(std::cmp::Reverse<usize>, usize, Digest)>> =
            BTreeMap::new();
        for (digest, w) in self.wanted.iter().filter(|(_, w)| w.attempts.is_empty()) {
            if w.not_before > now {
                wake_by(w.not_before);
                continue;
            }
            for load in &w.waiters {
                ready.entry(*load).or_default().push((
                    std::cmp::Reverse(w.waiters.len()),
                    w.position,
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
            let queue = ready.get_mut(&load).expect("it was just found");
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
                        self.loads.get_mut(&load).expect("it waits").requested_bytes += bytes;
                        next.requests.push(self.send(digest, source, now, false));
                    }
                },
                Choice::Wait(at) => at.into_iter().for_each(&mut wake_by),
                Choice::Exhausted => {
                    let jitter = self.rng.f64();
                    let w = self.wanted.get_mut(&digest).expect("it was just found");
                    w.failed_sources.clear();
                    w.failed_rounds += 1;
                    let most =
                        MAX_ROUND_BACKOFF.min(INITIAL_ROUND_BACKOFF << w.failed_rounds.min(8));
                    w.not_before = now + 1 + most / 2 + (most as f64 / 2.0 * jitter) as Ticks;
                    wake_by(w.not_before);
                }
            }
        }
        for out in self.in_flight.values() {
            wake_by(out.since + REQUEST_TIMEOUT);
            if !out.has_hedge && self.hedge_tokens >= 1.0 {
                wake_by(out.since + self.hedge_delay());
            }
        }
        next.cancels = std::mem::take(&mut self.cancels);
        next.wake_at = wake_at;
        next
    }

    fn hedge_delay(&self) -> Ticks {
        MIN_HEDGE_DELAY.max((HEDGE_DURATION_FACTOR * self.mean_duration) as Ticks)
    }

    fn send(
        &mut self,
        digest: Digest,
        source: Source,
        now: Ticks,
        has_hedge: bool,
    ) -> FetchRequest {
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        self.limit(source).request_sent();
        self.in_flight.insert(
            attempt,
            InFlight {
                digest,
                source,
                since: now,
                has_hedge,
            },
        );
        if let Some(w) = self.wanted.get_mut(&digest) {
            w.attempts.push(attempt);
            w.requested_before = true;
        }
        FetchRequest {
            attempt,
            digest,
            source,
        }
    }

    /// A first ask is free and earns; a repeat costs. Gives when one will be there, if none is.
    fn take_retry_token(&mut self, digest: &Digest, now: Ticks) -> Option<Ticks> {
        let passed = now.saturating_sub(self.retry_tokens.1) as f64 / SECOND as f64;
        let is_first = !self.wanted[digest].requested_before;
        let earned = if is_first {
            RETRY_TOKENS_PER_FIRST_REQUEST
        } else {
            0.0
        };
        let left =
            (self.retry_tokens.0 + passed * RETRY_TOKENS_PER_SECOND + earned).min(MAX_RETRY_TOKENS);
        self.retry_tokens = (left, now.max(self.retry_tokens.1));
        if is_first {
            self.hedge_tokens = (self.hedge_tokens + HEDGES_PER_FIRST_REQUEST).min(8.0);
            return None;
        }
        if left < 1.0 {
            return Some(
                now + ((1.0 - left) / RETRY_TOKENS_PER_SECOND * SECOND as f64) as Ticks + 1,
            );
        }
        self.retry_tokens.0 -= 1.0;
        None
    }

    fn choose_source(&mut self, digest: &Digest, now: Ticks, is_hedge: bool) -> Choice {
        let w = self
            .wanted
            .get_mut(digest)
            .expect("only wanted chunks are chosen for");
        if w.homes.0 != self.members_version {
            w.homes = (self.members_version, homes(digest, &self.members));
        }
        let out: Vec<Source> = w
            .attempts
            .iter()
            .filter_map(|a| self.in_flight.get(a))
            .map(|o| o.source)
            .collect();
        let rank = w.homes.1.iter().position(|h| *h == self.invoker);
        // A home asks those before it, so that of all who want the chunk one asks the store.
        let mut peers: Vec<Source> = w
            .homes
            .1
            .iter()
            .take(rank.unwrap_or(usize::MAX))
            .map(|h| Source::Peer(*h))
            .collect();
        if rank.is_none() && !peers.is_empty() {
            let turn = self.rng.usize(..peers.len());
            peers.rotate_left(turn);
        }
        let has_waited = now >= w.since + MAX_PEER_WAIT;
        let fresh = |s: &Source| !w.failed_sources.contains(s) && !out.contains(s);
        let mut opens: Option<Ticks> = None;
        let mut is_any_busy = false;
        for peer in peers
            .iter()
            .filter(|p| fresh(p) && self.suspect_sources.is_trusted(**p, now))
        {
            let limit = self.limits.get(peer);
            if limit.is_none_or(|l| l.has_capacity(now)) {
                return Choice::Send(*peer);
            }
            is_any_busy = true;
            let at = limit.and_then(|l| l.reopens_at(now));
            opens = opens.min(at).or(opens).or(at);
        }
        if is_any_busy && !has_waited {
            return Choice::Wait(opens);
        }
        // A second ask goes to a home or nowhere: at the store it would be one more in the crowd that made the first slow.
        if is_hedge {
            return Choice::Wait(None);
        }
        if !fresh(&Source::Store) {
            return Choice::Exhausted;
        }
        // The store is the last that is left: suspected or not, it is asked, as its limit allows.
        let limit = self.limits.get(&Source::Store);
        match limit.is_none_or(|l| l.has_capacity(now)) {
            true => Choice::Send(Source::Store),
            false => Choice::Wait(limit.and_then(|l| l.reopens_at(now))),
        }
    }

    fn send_hedges(&mut self, now: Ticks, next: &mut FetchActions) {
        if self.hedge_tokens < 1.0 {
            return;
        }
        let (hedge_delay, out) = (self.hedge_delay(), &self.in_flight);
        let slow: Vec<(u64, Digest)> = out
            .iter()
            .filter(|(_, o)| !o.has_hedge && now >= o.since + hedge_delay)
            .map(|(attempt, o)| (*attempt, o.digest))
            .collect();
        for (attempt, digest) in slow {
            if self.hedge_tokens < 1.0
                || self
                    .wanted
                    .get(&digest)
                    .is_none_or(|w| w.attempts.len() > 1)
            {
                continue;
            }
            if let Choice::Send(source) = self.choose_source(&digest, now, true) {
                self.hedge_tokens -= 1.0;
                self.in_flight
                    .get_mut(&attempt)
                    .expect("it is out")
                    .has_hedge = true;
                let request = self.send(digest, source, now, true);
                next.requests.push(request);
            }
        }
    }

    fn time_out_requests(&mut self, now: Ticks) {
        let late: Vec<u64> = self
            .in_flight
            .iter()
            .filter(|(_, o)| now >= o.since + REQUEST_TIMEOUT)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in late {
            self.request_ended(now, attempt, FetchOutcome::Failed);
            self.cancels.push(attempt);
        }
    }

    /// Whether any load waits for it.
    pub fn is_wanted(&self, digest: &Digest) -> bool {
        self.wanted.contains_key(digest)
    }

    /// The chunk that an ask still out is for.
    pub fn requested_chunk(&self, attempt: u64) -> Option<Digest> {
        self.in_flight.get(&attempt).map(|o| o.digest)
    }

    /// An ask has ended. Gives the loads that now have all they wanted.
    pub fn request_ended(
        &mut self,
        now: Ticks,
        attempt: u64,
        outcome: FetchOutcome,
    ) -> Vec<LoadId> {
        let Some(out) = self.in_flight.remove(&attempt) else {
            return Vec::new();
        };
        let (digest, source) = (out.digest, out.source);
        let took = now.saturating_sub(out.since);
        let bytes = self.wanted.get(&digest).map_or(0, |w| w.bytes);
        match outcome {
            FetchOutcome::Succeeded => {
                self.limit(source).request_succeeded(now, took, bytes);
                self.suspect_sources.fetch_succeeded(source);
                self.mean_duration += 0.1 * (took as f64 - self.mean_duration);
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
        let Some(w) = self.wanted.get_mut(&digest) else {
            return Vec::new();
        };
        w.attempts.retain(|a| *a != attempt);
        match outcome {
            FetchOutcome::Succeeded => return self.chunk_arrived(digest),
            // It may be asked again when it opens; it has not failed.
            FetchOutcome::Refused(retry_after) => {
                if source == Source::Store {
                    let jitter = 1.0 + self.rng.f64();
                    w.not_before = now + (retry_after as f64 * jitter) as Ticks;
                }
            }
            FetchOutcome::NotFound | FetchOutcome::Failed | FetchOutcome::Corrupt => {
                w.failed_sources.push(source)
            }
        }
        Vec::new()
    }

    /// The chunk is here, by whatever way.
    pub fn chunk_arrived(&mut self, digest: Digest) -> Vec<LoadId> {
        let Some(w) = self.wanted.remove(&digest) else {
            return Vec::new();
        };
        w.attempts
            .into_iter()
            .for_each(|attempt| self.cancel(attempt));
        let mut complete = Vec::new();
        for load in w.waiters {
            let Some(l) = self.loads.get_mut(&load) else {
                continue;
            };
            l.missing.remove(&digest);
            if l.missing.is_empty() {
                self.loads.remove(&load);
                complete.push(load);
            }
        }
        complete
    }
}
