//! Which chunk to ask whom for next, and what to make of each ask's end.
//!
//! A chunk is out once, whoever waits for it. Its homes before us are asked first, the store when there are none or all
//! of them failed. Everything that repeats spends from a budget; everything that waits has an end.

use super::{Limit, Member, Suspects, homes};
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
pub struct Need {
    pub digest: Digest,
    /// As stored.
    pub bytes: u64,
}

/// Ask this source for this chunk. Its end is to be told under this number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    pub attempt: u64,
    pub digest: Digest,
    pub source: Source,
}

/// How an ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Its bytes came and their digest held.
    Well,
    /// Too many are at it; come back after so long.
    Refused(Ticks),
    /// It has no such chunk.
    Absent,
    /// No connection, cut off, silent, wrong length.
    Broken,
    /// Its bytes came and their digest did not hold.
    Damaged,
}

/// What to do now, and when to ask again at the latest.
#[derive(Debug, Default)]
pub struct Next {
    pub asks: Vec<Ask>,
    /// Stop these; their ends are told already.
    pub cancels: Vec<u64>,
    pub wake: Option<Ticks>,
}

const STORE_FIRST: f64 = 2.0;
const STORE_MOST: f64 = 32.0;
const PEER_FIRST: f64 = 2.0;
const PEER_MOST: f64 = 6.0;
/// Homes that put us off are waited for so long before the store is asked past them.
const PEERS_MOST_WAIT: Ticks = 6 * SECOND;
/// An ask that takes so many times as long as usual gets a second one beside it, within a budget.
const HEDGE_AT: f64 = 4.0;
const HEDGE_LEAST: Ticks = 300 * MILLISECOND;
const HEDGES_PART: f64 = 0.05;
/// Given up and counted as broken.
const ASK_MOST: Ticks = 10 * SECOND;
const ROUND_WAIT: Ticks = 50 * MILLISECOND;
const ROUND_WAIT_MOST: Ticks = 4 * SECOND;
/// Repeats that may be spent at once, and how they come back: by time, and by first asks.
const REPEATS_MOST: f64 = 64.0;
const REPEATS_A_SECOND: f64 = 8.0;
const REPEATS_A_FIRST: f64 = 0.25;

struct Want {
    bytes: u64,
    position: usize,
    waiters: BTreeSet<LoadId>,
    since: Ticks,
    out: Vec<u64>,
    tried: Vec<Source>,
    rounds: u32,
    asked_before: bool,
    not_before: Ticks,
    homes: (u64, Vec<InvokerId>),
}

struct Load {
    missing: BTreeSet<Digest>,
    /// Bytes asked for on its account: the load with the least goes next.
    granted: u64,
}

struct Out {
    digest: Digest,
    source: Source,
    since: Ticks,
    hedged: bool,
}

/// One invoker's fetching. The same calls give the same asks.
pub struct Fetcher {
    me: InvokerId,
    members: Vec<Member>,
    version: u64,
    wants: BTreeMap<Digest, Want>,
    loads: BTreeMap<LoadId, Load>,
    limits: BTreeMap<Source, Limit>,
    suspects: Suspects,
    out: BTreeMap<u64, Out>,
    last: u64,
    repeats: (f64, Ticks),
    hedges: f64,
    /// Usual time of an ask that went well.
    usual: f64,
    cancels: Vec<u64>,
    rng: fastrand::Rng,
}

enum Choice {
    Ask(Source),
    /// A source there is, but it is full, closed or suspected for now.
    Wait(Option<Ticks>),
    /// All failed in this round.
    Exhausted,
}

impl Fetcher {
    pub fn new(me: InvokerId, seed: u64) -> Self {
        Self {
            me,
            members: Vec::new(),
            version: 1,
            wants: BTreeMap::new(),
            loads: BTreeMap::new(),
            limits: BTreeMap::new(),
            suspects: Suspects::default(),
            out: BTreeMap::new(),
            last: 0,
            repeats: (REPEATS_MOST, 0),
            hedges: 1.0,
            usual: 0.0,
            cancels: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The list of invokers as it is now, ourselves among them.
    pub fn listed(&mut self, members: Vec<Member>) {
        let gone = self
            .members
            .iter()
            .filter(|m| !members.iter().any(|n| n.invoker == m.invoker));
        gone.for_each(|m| self.suspects.forget(Source::Peer(m.invoker)));
        self.limits.retain(|source, _| match source {
            Source::Store => true,
            Source::Peer(p) => {
                self.out.values().any(|o| o.source == *source)
                    || members.iter().any(|m| m.invoker == *p)
            }
        });
        self.members = members;
        self.version += 1;
    }

    /// A peer has started anew: what was held against it is void.
    pub fn restarted(&mut self, peer: InvokerId) {
        self.suspects.forget(Source::Peer(peer));
    }

    pub fn is_home(&self, chunk: &Digest) -> bool {
        homes(chunk, &self.members).contains(&self.me)
    }

    /// A load waits for these chunks, none of which is here. True: it waits for nothing.
    pub fn want(&mut self, now: Ticks, load: LoadId, needs: &[Need]) -> bool {
        // It starts beside the others, not ahead of all that they were granted since they began.
        let granted = self.loads.values().map(|l| l.granted).min().unwrap_or(0);
        let l = self.loads.entry(load).or_insert(Load {
            missing: BTreeSet::new(),
            granted,
        });
        for (position, need) in needs.iter().enumerate() {
            l.missing.insert(need.digest);
            let w = self.wants.entry(need.digest).or_insert_with(|| Want {
                bytes: need.bytes,
                position,
                waiters: BTreeSet::new(),
                since: now,
                out: Vec::new(),
                tried: Vec::new(),
                rounds: 0,
                asked_before: false,
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
    pub fn abandon(&mut self, load: LoadId) {
        let Some(l) = self.loads.remove(&load) else {
            return;
        };
        for digest in l.missing {
            let Some(w) = self.wants.get_mut(&digest) else {
                continue;
            };
            w.waiters.remove(&load);
            if w.waiters.is_empty() {
                let out = self
                    .wants
                    .remove(&digest)
                    .map(|w| w.out)
                    .unwrap_or_default();
                out.into_iter().for_each(|attempt| self.cancel(attempt));
            }
        }
    }

    pub fn is_idle(&self) -> bool {
        self.wants.is_empty() && self.out.is_empty()
    }

    fn cancel(&mut self, attempt: u64) {
        if let Some(out) = self.out.remove(&attempt) {
            self.limit(out.source).ended();
            self.cancels.push(attempt);
        }
    }

    fn limit(&mut self, source: Source) -> &mut Limit {
        self.limits.entry(source).or_insert_with(|| match source {
            Source::Store => Limit::new(STORE_FIRST, STORE_MOST),
            Source::Peer(_) => Limit::new(PEER_FIRST, PEER_MOST),
        })
    }

    /// What to ask now.
    pub fn next(&mut self, now: Ticks) -> Next {
        self.give_up(now);
        let mut next = Next::default();
        self.hedge(now, &mut next);
        let mut wake: Option<Ticks> = None;
        let mut sooner = |at: Ticks| wake = Some(wake.map_or(at, |w| w.min(at)).max(now + 1));
        // First chunks first, those that many wait for before them.
        let mut ready: BTreeMap<LoadId, Vec<(std::cmp::Reverse<usize>, usize, Digest)>> =
            BTreeMap::new();
        for (digest, w) in self.wants.iter().filter(|(_, w)| w.out.is_empty()) {
            if w.not_before > now {
                sooner(w.not_before);
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
            .min_by_key(|l| (self.loads[*l].granted, **l))
            .copied()
        {
            let queue = ready.get_mut(&load).expect("it was just found");
            let Some((_, _, digest)) = queue.pop() else {
                ready.remove(&load);
                continue;
            };
            if !self.wants[&digest].out.is_empty() || self.wants[&digest].not_before > now {
                continue;
            }
            match self.choose(&digest, now, false) {
                Choice::Ask(source) => match self.spend(&digest, now) {
                    Some(at) => sooner(at),
                    None => {
                        let bytes = self.wants[&digest].bytes;
                        self.loads.get_mut(&load).expect("it waits").granted += bytes;
                        next.asks.push(self.ask(digest, source, now, false));
                    }
                },
                Choice::Wait(at) => at.into_iter().for_each(&mut sooner),
                Choice::Exhausted => {
                    let jitter = self.rng.f64();
                    let w = self.wants.get_mut(&digest).expect("it was just found");
                    w.tried.clear();
                    w.rounds += 1;
                    let most = ROUND_WAIT_MOST.min(ROUND_WAIT << w.rounds.min(8));
                    w.not_before = now + 1 + most / 2 + (most as f64 / 2.0 * jitter) as Ticks;
                    sooner(w.not_before);
                }
            }
        }
        for out in self.out.values() {
            sooner(out.since + ASK_MOST);
            if !out.hedged && self.hedges >= 1.0 {
                sooner(out.since + self.slow_at());
            }
        }
        next.cancels = std::mem::take(&mut self.cancels);
        next.wake = wake;
        next
    }

    fn slow_at(&self) -> Ticks {
        HEDGE_LEAST.max((HEDGE_AT * self.usual) as Ticks)
    }

    fn ask(&mut self, digest: Digest, source: Source, now: Ticks, hedged: bool) -> Ask {
        self.last += 1;
        let attempt = self.last;
        self.limit(source).asked();
        self.out.insert(
            attempt,
            Out {
                digest,
                source,
                since: now,
                hedged,
            },
        );
        if let Some(w) = self.wants.get_mut(&digest) {
            w.out.push(attempt);
            w.asked_before = true;
        }
        Ask {
            attempt,
            digest,
            source,
        }
    }

    /// A first ask is free and earns; a repeat costs. Gives when one will be there, if none is.
    fn spend(&mut self, digest: &Digest, now: Ticks) -> Option<Ticks> {
        let passed = now.saturating_sub(self.repeats.1) as f64 / SECOND as f64;
        let first = !self.wants[digest].asked_before;
        let earned = if first { REPEATS_A_FIRST } else { 0.0 };
        let left = (self.repeats.0 + passed * REPEATS_A_SECOND + earned).min(REPEATS_MOST);
        self.repeats = (left, now.max(self.repeats.1));
        if first {
            self.hedges = (self.hedges + HEDGES_PART).min(8.0);
            return None;
        }
        if left < 1.0 {
            return Some(now + ((1.0 - left) / REPEATS_A_SECOND * SECOND as f64) as Ticks + 1);
        }
        self.repeats.0 -= 1.0;
        None
    }

    fn choose(&mut self, digest: &Digest, now: Ticks, beside: bool) -> Choice {
        let w = self
            .wants
            .get_mut(digest)
            .expect("only wanted chunks are chosen for");
        if w.homes.0 != self.version {
            w.homes = (self.version, homes(digest, &self.members));
        }
        let out: Vec<Source> = w
            .out
            .iter()
            .filter_map(|a| self.out.get(a))
            .map(|o| o.source)
            .collect();
        let rank = w.homes.1.iter().position(|h| *h == self.me);
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
        let waited = now >= w.since + PEERS_MOST_WAIT;
        let fresh = |s: &Source| !w.tried.contains(s) && !out.contains(s);
        let mut opens: Option<Ticks> = None;
        let mut held_up = false;
        for peer in peers
            .iter()
            .filter(|p| fresh(p) && self.suspects.trusted(**p, now))
        {
            let limit = self.limits.get(peer);
            if limit.is_none_or(|l| l.may_ask(now)) {
                return Choice::Ask(*peer);
            }
            held_up = true;
            let at = limit.and_then(|l| l.opens(now));
            opens = opens.min(at).or(opens).or(at);
        }
        if held_up && !waited {
            return Choice::Wait(opens);
        }
        // A second ask goes to a home or nowhere: at the store it would be one more in the crowd that made the first slow.
        if beside {
            return Choice::Wait(None);
        }
        if !fresh(&Source::Store) {
            return Choice::Exhausted;
        }
        // The store is the last that is left: suspected or not, it is asked, as its limit allows.
        let limit = self.limits.get(&Source::Store);
        match limit.is_none_or(|l| l.may_ask(now)) {
            true => Choice::Ask(Source::Store),
            false => Choice::Wait(limit.and_then(|l| l.opens(now))),
        }
    }

    fn hedge(&mut self, now: Ticks, next: &mut Next) {
        if self.hedges < 1.0 {
            return;
        }
        let (slow_at, out) = (self.slow_at(), &self.out);
        let slow: Vec<(u64, Digest)> = out
            .iter()
            .filter(|(_, o)| !o.hedged && now >= o.since + slow_at)
            .map(|(attempt, o)| (*attempt, o.digest))
            .collect();
        for (attempt, digest) in slow {
            if self.hedges < 1.0 || self.wants.get(&digest).is_none_or(|w| w.out.len() > 1) {
                continue;
            }
            if let Choice::Ask(source) = self.choose(&digest, now, true) {
                self.hedges -= 1.0;
                self.out.get_mut(&attempt).expect("it is out").hedged = true;
                let ask = self.ask(digest, source, now, true);
                next.asks.push(ask);
            }
        }
    }

    fn give_up(&mut self, now: Ticks) {
        let late: Vec<u64> = self
            .out
            .iter()
            .filter(|(_, o)| now >= o.since + ASK_MOST)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in late {
            self.ended(now, attempt, Ended::Broken);
            self.cancels.push(attempt);
        }
    }

    /// Whether any load waits for it.
    pub fn wants(&self, digest: &Digest) -> bool {
        self.wants.contains_key(digest)
    }

    /// The chunk that an ask still out is for.
    pub fn asked_for(&self, attempt: u64) -> Option<Digest> {
        self.out.get(&attempt).map(|o| o.digest)
    }

    /// An ask has ended. Gives the loads that now have all they wanted.
    pub fn ended(&mut self, now: Ticks, attempt: u64, how: Ended) -> Vec<LoadId> {
        let Some(out) = self.out.remove(&attempt) else {
            return Vec::new();
        };
        let (digest, source) = (out.digest, out.source);
        let took = now.saturating_sub(out.since);
        let bytes = self.wants.get(&digest).map_or(0, |w| w.bytes);
        match how {
            Ended::Well => {
                self.limit(source).went_well(now, took, bytes);
                self.suspects.well(source);
                self.usual += 0.1 * (took as f64 - self.usual);
            }
            Ended::Refused(come_back) => self.limit(source).refused(now, come_back),
            Ended::Absent => self.limit(source).ended(),
            Ended::Broken => {
                self.limit(source).ended();
                self.suspects.broke(source, now);
            }
            Ended::Damaged => {
                self.limit(source).ended();
                self.suspects.damaged(source, now);
            }
        }
        let Some(w) = self.wants.get_mut(&digest) else {
            return Vec::new();
        };
        w.out.retain(|a| *a != attempt);
        match how {
            Ended::Well => return self.here(digest),
            // It may be asked again when it opens; it has not failed.
            Ended::Refused(come_back) => {
                if source == Source::Store {
                    let jitter = 1.0 + self.rng.f64();
                    w.not_before = now + (come_back as f64 * jitter) as Ticks;
                }
            }
            Ended::Absent | Ended::Broken | Ended::Damaged => w.tried.push(source),
        }
        Vec::new()
    }

    /// The chunk is here, by whatever way.
    pub fn here(&mut self, digest: Digest) -> Vec<LoadId> {
        let Some(w) = self.wants.remove(&digest) else {
            return Vec::new();
        };
        w.out.into_iter().for_each(|attempt| self.cancel(attempt));
        let mut whole = Vec::new();
        for load in w.waiters {
            let Some(l) = self.loads.get_mut(&load) else {
                continue;
            };
            l.missing.remove(&digest);
            if l.missing.is_empty() {
                self.loads.remove(&load);
                whole.push(load);
            }
        }
        whole
    }
}
