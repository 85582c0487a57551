//! Rendezvous hashing: each function ranks the ready invokers by a weight that is the same at all controllers, so that
//! they select the same pool without communicating. Only the head of each ranking is stored, and the cost of a change
//! of the endpoint list is proportional to the number of its entries.

use crate::interface::{FunctionId, InvokerId};
use std::collections::{BTreeMap, VecDeque};

/// Multiplier that spreads function ids before an invoker id is mixed in (2^64 divided by the golden ratio).
pub(super) const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Weight of an invoker in a function's ranking, if it is at most `limit`. The lowest weight ranks first. The negative
/// logarithm of a uniform pseudo-random number, divided by the capacity, gives each invoker a share of the functions
/// proportional to its capacity.
pub(super) fn weight(
    function: FunctionId,
    invoker: InvokerId,
    capacity: f64,
    limit: f64,
) -> Option<f64> {
    let unit =
        fastrand::Rng::with_seed(function.wrapping_mul(HASH_MULTIPLIER) ^ u64::from(invoker)).f64();
    // -ln(x) is at least 1 - x, so the logarithm is computed only for weights near the limit.
    if 1.0 - unit > limit * capacity {
        return None;
    }
    let weight = -unit.max(1e-18).ln() / capacity;
    (weight <= limit).then_some(weight)
}

/// An invoker's entry in a ranking.
#[derive(Clone, Copy)]
pub(super) struct Ranked {
    pub weight: f64,
    pub invoker: InvokerId,
}

/// The head of a function's ranking: all ready invokers with a weight of at most `weight_limit`, in rank order.
#[derive(Default)]
pub(super) struct Ranking {
    head: Vec<Ranked>,
    weight_limit: f64,
    /// Version of the endpoint list to which the head corresponds.
    version: u64,
}

impl Ranking {
    /// Number of entries of the head.
    pub(super) fn len(&self) -> usize {
        self.head.len()
    }

    /// Memory allocated for the head, in bytes.
    pub(super) fn allocated_bytes(&self) -> usize {
        self.head.capacity() * size_of::<Ranked>()
    }

    /// The entries of the head, in rank order.
    pub(super) fn head(&self) -> impl Iterator<Item = Ranked> {
        self.head.iter().copied()
    }

    /// Removes all but the first `len` entries.
    pub(super) fn truncate(&mut self, len: usize) {
        self.head = self.head[..len].to_vec();
        self.weight_limit = self.head[len - 1].weight;
    }
}

/// The capacity of a ready invoker, and the version of the endpoint list that set it.
struct ReadyInvoker {
    capacity: f64,
    since_version: u64,
}

/// A record that an invoker became ready, or changed its capacity.
struct Join {
    version: u64,
    invoker: InvokerId,
}

/// The ready invokers, and the history from which rankings are updated incrementally.
#[derive(Default)]
pub(super) struct ReadyInvokers {
    by_id: BTreeMap<InvokerId, ReadyInvoker>,
    /// The same entries as `by_id`, for fast iteration.
    capacities: Vec<(InvokerId, f64)>,
    total_capacity: f64,
    /// The latest joins, at most as many as there are ready invokers: with more, a new ranking costs no more.
    joins: VecDeque<Join>,
    /// Version of the endpoint list, a local counter.
    version: u64,
    /// Number of invokers examined by rankings since the start.
    rank_steps: u64,
}

impl ReadyInvokers {
    /// Creates the state before the first endpoint list.
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

    /// Number of invokers examined by rankings since the start.
    pub(super) fn rank_steps(&self) -> u64 {
        self.rank_steps
    }

    /// Begins a new version of the endpoint list.
    pub(super) fn begin_version(&mut self) {
        self.version += 1;
    }

    /// Sets an invoker's capacity, or that it is not ready (`None`). Only changes affect rankings.
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

    /// Ends a version of the endpoint list, after all its changes were set.
    pub(super) fn end_version(&mut self) {
        self.capacities = self
            .by_id
            .iter()
            .map(|(invoker, ready)| (*invoker, ready.capacity))
            .collect();
        self.total_capacity = self.capacities.iter().map(|(_, capacity)| capacity).sum();
    }

    /// Extends a function's ranking to its first `count` invokers, or to all ready ones.
    pub(super) fn rank(&mut self, function: FunctionId, ranking: &mut Ranking, count: usize) {
        self.update_ranking(function, ranking);
        let target_len = count.min(self.by_id.len());
        self.rank_steps += target_len as u64;
        while ranking.head.len() < target_len {
            self.extend_ranking(function, ranking, count);
        }
    }

    /// Updates a ranking to the current version of the endpoint list.
    fn update_ranking(&mut self, function: FunctionId, ranking: &mut Ranking) {
        if ranking.version >= self.version {
            return;
        }
        let has_join_history = self
            .joins
            .front()
            .is_some_and(|first| ranking.version >= first.version);
        if !has_join_history {
            ranking.weight_limit = 0.0;
        }
        let (limit, version) = (ranking.weight_limit, ranking.version);
        ranking.head.retain(|ranked| {
            let ready = self.by_id.get(&ranked.invoker);
            ranked.weight <= limit && ready.is_some_and(|ready| ready.since_version <= version)
        });
        if limit > 0.0 {
            let first_new = self.joins.partition_point(|join| join.version <= version);
            for join in self.joins.range(first_new..) {
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
        ranking.head.sort_by(|left, right| {
            left.weight
                .total_cmp(&right.weight)
                .then(left.invoker.cmp(&right.invoker))
        });
        ranking.version = self.version;
    }

    /// Rebuilds a ranking up to a weight limit within which about twice `count` invokers are expected, or for all
    /// invokers.
    fn extend_ranking(&mut self, function: FunctionId, ranking: &mut Ranking, count: usize) {
        let limit = (2.0 * count as f64 / self.total_capacity).max(2.0 * ranking.weight_limit);
        let includes_all = 4 * count > self.by_id.len() || limit <= ranking.weight_limit;
        ranking.weight_limit = if includes_all { f64::INFINITY } else { limit };
        self.rank_steps += self.by_id.len() as u64;
        let rank = |(invoker, capacity): &(InvokerId, f64)| {
            let weight = weight(function, *invoker, *capacity, ranking.weight_limit)?;
            Some(Ranked {
                weight,
                invoker: *invoker,
            })
        };
        ranking.head = self.capacities.iter().filter_map(rank).collect();
        ranking.head.sort_by(|a, b| a.weight.total_cmp(&b.weight));
    }
}
