//! Rendezvous hashing: each function ranks the ready invokers by a weight that all controllers compute alike, so that they
//! choose the same pool without talking to each other. Only the head of a ranking is kept, and a change of the endpoint
//! list costs the entries that it names.

use crate::interface::{FunctionId, InvokerId};
use std::collections::{BTreeMap, VecDeque};

/// Spreads function ids before an invoker's id is mixed in (2^64 divided by the golden ratio).
pub(super) const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Weight of an invoker in a function's ranking, if it is at most `limit`. The least weight ranks first. The logarithm of a
/// uniform draw over the capacity gives each invoker a share of the functions proportional to its capacity.
pub(super) fn weight(
    function: FunctionId,
    invoker: InvokerId,
    capacity: f64,
    limit: f64,
) -> Option<f64> {
    let unit =
        fastrand::Rng::with_seed(function.wrapping_mul(HASH_MULTIPLIER) ^ u64::from(invoker)).f64();
    // The logarithm lies beyond its tangent: only draws near the head need it.
    if 1.0 - unit > limit * capacity {
        return None;
    }
    let weight = -unit.max(1e-18).ln() / capacity;
    (weight <= limit).then_some(weight)
}

/// An invoker's place in a ranking.
#[derive(Clone, Copy)]
pub(super) struct Ranked {
    pub weight: f64,
    pub invoker: InvokerId,
}

/// The head of a function's ranking: all ready invokers whose weight is at most `weight_limit`, in order.
#[derive(Default)]
pub(super) struct Ranking {
    head: Vec<Ranked>,
    weight_limit: f64,
    /// Version of the endpoint list that the head follows.
    version: u64,
}

impl Ranking {
    /// Invokers that are held in order.
    pub(super) fn len(&self) -> usize {
        self.head.len()
    }

    /// The invokers that are held, in order.
    pub(super) fn head(&self) -> impl Iterator<Item = Ranked> {
        self.head.iter().copied()
    }

    /// Drops all but the first `len`.
    pub(super) fn truncate(&mut self, len: usize) {
        self.head = self.head[..len].to_vec();
        self.weight_limit = self.head[len - 1].weight;
    }
}

/// A ready invoker, and the version of the endpoint list since which its capacity is so.
struct ReadyInvoker {
    capacity: f64,
    since_version: u64,
}

/// An invoker that became ready, or ready with another capacity.
struct Join {
    version: u64,
    invoker: InvokerId,
}

/// The ready invokers, with what rankings need to follow them.
#[derive(Default)]
pub(super) struct ReadyInvokers {
    by_id: BTreeMap<InvokerId, ReadyInvoker>,
    /// The same as `by_id`, for quick iteration.
    list: Vec<(InvokerId, f64)>,
    total_capacity: f64,
    /// The latest joins, as many as there are ready invokers: beyond that ranking anew is no more work.
    joins: VecDeque<Join>,
    /// Version of the endpoint list, counted here.
    version: u64,
    /// Invokers looked at to rank them, since the start.
    rank_steps: u64,
}

impl ReadyInvokers {
    /// Before the first endpoint list.
    pub(super) fn new() -> Self {
        Self {
            version: 1,
            ..Self::default()
        }
    }

    /// Number of ready invokers.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether this invoker is ready.
    pub(super) fn contains(&self, invoker: InvokerId) -> bool {
        self.by_id.contains_key(&invoker)
    }

    /// Ids of the ready invokers, ascending.
    pub(super) fn ids(&self) -> impl Iterator<Item = InvokerId> {
        self.by_id.keys().copied()
    }

    /// Capacity of a ready invoker.
    pub(super) fn capacity(&self, invoker: InvokerId) -> Option<f64> {
        self.by_id.get(&invoker).map(|ready| ready.capacity)
    }

    /// Sum of the capacities of all ready invokers.
    pub(super) fn total_capacity(&self) -> f64 {
        self.total_capacity
    }

    /// Invokers looked at to rank them, since the start.
    pub(super) fn rank_steps(&self) -> u64 {
        self.rank_steps
    }

    /// A version of the endpoint list begins.
    pub(super) fn begin_version(&mut self) {
        self.version += 1;
    }

    /// Notes an invoker's capacity, or that it is not ready (`None`). Only a change is new to rankings.
    pub(super) fn set_capacity(&mut self, invoker: InvokerId, capacity: Option<f64>) {
        if capacity != self.capacity(invoker) {
            self.by_id.remove(&invoker);
            if let Some(capacity) = capacity {
                self.by_id.insert(
                    invoker,
                    ReadyInvoker {
                        capacity,
                        since_version: self.version,
                    },
                );
                self.joins.push_back(Join {
                    version: self.version,
                    invoker,
                });
            }
        }
        let surplus = self.joins.len().saturating_sub(self.by_id.len());
        self.joins.drain(..surplus);
    }

    /// The changes of this version are noted.
    pub(super) fn end_version(&mut self) {
        self.list = self
            .by_id
            .iter()
            .map(|(invoker, ready)| (*invoker, ready.capacity))
            .collect();
        self.total_capacity = self.list.iter().map(|(_, capacity)| capacity).sum();
    }

    /// Extends a function's ranking to its first `count` invokers, or to all ready ones.
    pub(super) fn rank(&mut self, function: FunctionId, ranking: &mut Ranking, count: usize) {
        self.update_ranking(function, ranking);
        let count_ready = count.min(self.by_id.len());
        self.rank_steps += count_ready as u64;
        while ranking.head.len() < count_ready {
            self.extend_ranking(function, ranking, count);
        }
    }

    /// Brings a ranking up to the present version of the endpoint list.
    fn update_ranking(&mut self, function: FunctionId, ranking: &mut Ranking) {
        if ranking.version >= self.version {
            return;
        }
        let follows = self
            .joins
            .front()
            .is_some_and(|first| ranking.version >= first.version);
        if !follows {
            ranking.weight_limit = 0.0;
        }
        let (limit, version) = (ranking.weight_limit, ranking.version);
        ranking.head.retain(|ranked| {
            let ready = self.by_id.get(&ranked.invoker);
            ranked.weight <= limit && ready.is_some_and(|ready| ready.since_version <= version)
        });
        if limit > 0.0 {
            let missed = self.joins.partition_point(|join| join.version <= version);
            for join in self.joins.range(missed..) {
                self.rank_steps += 1;
                let ready = self.by_id.get(&join.invoker);
                let current = ready.filter(|ready| ready.since_version == join.version);
                let weight =
                    current.and_then(|ready| weight(function, join.invoker, ready.capacity, limit));
                ranking.head.extend(weight.map(|weight| Ranked {
                    weight,
                    invoker: join.invoker,
                }));
            }
        }
        ranking.head.sort_by(|a, b| {
            a.weight
                .total_cmp(&b.weight)
                .then(a.invoker.cmp(&b.invoker))
        });
        ranking.version = self.version;
    }

    /// Ranks anew up to a weight below which about twice `count` invokers are expected, or all of them.
    fn extend_ranking(&mut self, function: FunctionId, ranking: &mut Ranking, count: usize) {
        let limit = (2.0 * count as f64 / self.total_capacity).max(2.0 * ranking.weight_limit);
        let ranks_all = 4 * count > self.by_id.len() || limit <= ranking.weight_limit;
        ranking.weight_limit = if ranks_all { f64::INFINITY } else { limit };
        self.rank_steps += self.by_id.len() as u64;
        let rank = |(invoker, capacity): &(InvokerId, f64)| {
            let weight = weight(function, *invoker, *capacity, ranking.weight_limit)?;
            Some(Ranked {
                weight,
                invoker: *invoker,
            })
        };
        ranking.head = self.list.iter().filter_map(rank).collect();
        ranking.head.sort_by(|a, b| a.weight.total_cmp(&b.weight));
    }
}
