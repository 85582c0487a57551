//! The stored head of a ranking equals the head of the complete ranking after any changes of the endpoint list, and the
//! cost of a change is proportional to the number of its entries.

mod support;

use saltdrum::interface::*;
use std::collections::BTreeMap;
use support::*;

/// The rendezvous ranking of a function over all ready invokers, computed from scratch.
fn complete_ranking(function: FunctionId, ready: &BTreeMap<InvokerId, f64>) -> Vec<InvokerId> {
    let weight = |(invoker, capacity): (&InvokerId, &f64)| {
        let seed = function.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(*invoker);
        (
            -fastrand::Rng::with_seed(seed).f64().max(1e-18).ln() / capacity,
            *invoker,
        )
    };
    let mut all: Vec<(f64, InvokerId)> = ready.iter().map(weight).collect();
    all.sort_by(|left, right| left.0.total_cmp(&right.0));
    all.into_iter().map(|ranked| ranked.1).collect()
}

/// Start time of warm invokers. The slow start of cold ones would affect placement in addition to the ranking.
const WARM_START_TIME: Option<Ticks> = Some(1);

struct Fleet {
    bed: TestBed,
    ready: BTreeMap<InvokerId, f64>,
    rng: fastrand::Rng,
    next_id: InvokerId,
}

impl Fleet {
    fn new(invokers: u32, seed: u64) -> Self {
        let deployment = Deployment {
            attempt_limit: 255,
            controllers: 200,
            ..deployment()
        };
        let (bed, rng) = (
            TestBed::with_seed(deployment, 0, seed),
            fastrand::Rng::with_seed(seed ^ 0x4a4),
        );
        let mut fleet = Self {
            bed,
            ready: BTreeMap::new(),
            rng,
            next_id: 1,
        };
        fleet.add_invokers(invokers);
        fleet
    }

    /// Creates the next record of an invoker, with a random capacity.
    fn next_record(&mut self, invoker: InvokerId, status: InvokerStatus) -> InvokerRecord {
        // Occasionally an invalid capacity, which must neither displace the other invokers nor prevent their ranking.
        let is_invalid = self.rng.u32(..200) == 0;
        let capacity = if is_invalid {
            1e300
        } else {
            [0.5, 1.0, 2.5, 4.0][self.rng.usize(..4)]
        };
        match status {
            InvokerStatus::Ready => self.ready.insert(invoker, capacity),
            InvokerStatus::Draining | InvokerStatus::Gone => self.ready.remove(&invoker),
        };
        InvokerRecord {
            capacity,
            ..invoker_record(invoker, status, WARM_START_TIME)
        }
    }

    fn add_invokers(&mut self, count: u32) {
        let records: Vec<InvokerRecord> = (self.next_id..self.next_id + count)
            .map(|invoker| self.next_record(invoker, InvokerStatus::Ready))
            .collect();
        self.next_id += count;
        self.bed.update_endpoint_list(false, &records);
    }

    /// Up to `count` random ready invokers.
    fn sample(&mut self, count: usize) -> Vec<InvokerId> {
        let mut all: Vec<InvokerId> = self.ready.keys().copied().collect();
        self.rng.shuffle(&mut all);
        all.truncate(count);
        all
    }

    /// Delivers a random change of the endpoint list.
    fn change_list(&mut self) {
        let count = [1, 1, 3, self.ready.len() / 5][self.rng.usize(..4)];
        match self.rng.usize(..6) {
            0 => self.add_invokers(count as u32),
            1 | 2 => {
                let status = if self.rng.bool() {
                    InvokerStatus::Gone
                } else {
                    InvokerStatus::Draining
                };
                let changed = self.sample(count);
                let records: Vec<InvokerRecord> = changed
                    .into_iter()
                    .map(|invoker| self.next_record(invoker, status))
                    .collect();
                self.bed.update_endpoint_list(false, &records);
            }
            // A new or the same capacity; invokers that were gone may return under their ids.
            3 => {
                let mut changed = self.sample(count);
                changed.push(self.rng.u32(1..self.next_id));
                changed.sort_unstable();
                changed.dedup();
                let records: Vec<InvokerRecord> = changed
                    .into_iter()
                    .map(|invoker| self.next_record(invoker, InvokerStatus::Ready))
                    .collect();
                self.bed.update_endpoint_list(false, &records);
            }
            // A complete list, without some of the invokers or without a change.
            _ => {
                let gone = if self.rng.bool() {
                    self.sample(count)
                } else {
                    Vec::new()
                };
                self.ready.retain(|invoker, _| !gone.contains(invoker));
                let all = self.ready.iter().map(|(invoker, capacity)| InvokerRecord {
                    capacity: *capacity,
                    ..invoker_record(*invoker, InvokerStatus::Ready, WARM_START_TIME)
                });
                self.bed
                    .update_endpoint_list(true, &all.collect::<Vec<_>>());
            }
        }
    }

    /// The invokers of the first `count` attempts of an invocation, none of which is sent.
    fn attempted(&mut self, function: FunctionId, count: usize) -> Vec<InvokerId> {
        let id = self.bed.invoke(0, function, 4 * SECOND);
        for attempt in 0..count - 1 {
            self.bed.end_attempt(id, attempt, Outcome::NotSent, None);
        }
        self.bed.abandon(id);
        self.bed.end_attempt(id, count - 1, Outcome::NotSent, None);
        let invocation = self.bed.checker.invocations.remove(&id).unwrap();
        invocation
            .attempts
            .iter()
            .map(|attempt| attempt.invoker)
            .collect()
    }
}

#[test]
fn pools_follow_the_complete_ranking() {
    let mut long_walks = 0;
    for seed in 0..40 {
        let mut fleet = Fleet::new([110, 250, 600][seed as usize % 3], seed);
        for _ in 0..60 {
            fleet.change_list();
            for function in 0..6 {
                let ready = fleet.ready.len();
                // Occasionally more attempts than the initially stored head has entries.
                let count = if fleet.rng.u32(..12) == 0 {
                    ready.min(150)
                } else {
                    ready.min(2)
                };
                let expected = complete_ranking(function, &fleet.ready);
                let attempted = fleet.attempted(function, count);
                assert_eq!(
                    attempted,
                    expected[..attempted.len()],
                    "seed {seed}: function {function}, {ready} ready invokers"
                );
                assert_eq!(attempted.len(), count);
                long_walks += usize::from(count > 100);
            }
        }
    }
    assert!(
        long_walks > 300,
        "{long_walks} walks exceed the initially stored head"
    );
}

/// The number of examined invokers per function and entry, and the number of stored ranking entries per function, do
/// not grow with the fleet.
#[test]
fn cost_of_a_watch_event_is_proportional_to_its_entries() {
    const FUNCTIONS: u64 = 200;
    let steps_and_sizes = |invokers: u32| {
        let mut fleet = Fleet::new(invokers, 7);
        let invoke_all = |fleet: &mut Fleet| {
            (0..FUNCTIONS).for_each(|function| drop(fleet.attempted(function, 1)))
        };
        invoke_all(&mut fleet);
        let first = fleet.bed.policy.table_sizes();
        let mut costs = Vec::new();
        for count in [1, 40] {
            let before = fleet.bed.policy.table_sizes().rank_steps;
            let removed = fleet.sample(count);
            let gone: Vec<InvokerRecord> = removed
                .iter()
                .map(|invoker| fleet.next_record(*invoker, InvokerStatus::Gone))
                .collect();
            fleet.bed.update_endpoint_list(false, &gone);
            invoke_all(&mut fleet);
            fleet.add_invokers(count as u32);
            invoke_all(&mut fleet);
            costs.push((fleet.bed.policy.table_sizes().rank_steps - before) / FUNCTIONS);
        }
        (
            first.rank_steps / FUNCTIONS,
            costs,
            fleet.bed.policy.table_sizes().ranked / FUNCTIONS as usize,
        )
    };
    let (small, large) = (steps_and_sizes(500), steps_and_sizes(5_000));
    println!("{small:?} with 500 invokers, {large:?} with 5,000");
    assert!(
        large.0 >= 5_000,
        "the first ranking of a function examines all invokers: {large:?}"
    );
    for (entries, (few, many)) in [1, 40].into_iter().zip(small.1.iter().zip(&large.1)) {
        // Two placements examine 25 invokers each, and each new entry is examined once.
        assert!(
            *many <= 2 * 30 + 2 * entries,
            "{entries} entries: {many} steps per function"
        );
        assert!(
            *many <= few + 20,
            "{entries} entries: {few} steps with 500 invokers, {many} with 5,000"
        );
    }
    assert!(
        large.2 <= 100 && large.2 <= 2 * small.2,
        "stored entries per function: {} and {}",
        small.2,
        large.2
    );
}

/// A fifth of a large fleet fails, and returns cold. No single event examines more than a bounded number of invokers.
#[test]
fn handles_a_lost_and_returned_zone_in_bounded_steps_per_event() {
    let mut fleet = Fleet::new(3_000, 11);
    for function in 0..600 {
        for _ in 0..1 + function % 3 {
            fleet.attempted(function, 1);
        }
    }
    fleet.bed.advance(2 * SECOND);
    let zone: Vec<InvokerId> = fleet
        .ready
        .keys()
        .copied()
        .filter(|invoker| invoker % 5 == 0)
        .collect();
    let mut max_steps = 0;
    for is_ready in [false, true] {
        let now = fleet.bed.checker.now;
        let record = |invoker: &InvokerId| match is_ready {
            true => InvokerRecord {
                capacity: 2.0,
                ..invoker_record(*invoker, InvokerStatus::Ready, Some(now))
            },
            false => invoker_record(*invoker, InvokerStatus::Gone, None),
        };
        let records: Vec<InvokerRecord> = zone.iter().map(record).collect();
        let before = fleet.bed.policy.table_sizes().rank_steps;
        fleet.bed.update_endpoint_list(false, &records);
        assert!(
            fleet.bed.policy.table_sizes().rank_steps == before,
            "the list event itself must not rank invokers"
        );
        for _ in 0..400 {
            let before = fleet.bed.policy.table_sizes().rank_steps;
            fleet.bed.advance(4 * MILLISECOND);
            max_steps = max_steps.max(fleet.bed.policy.table_sizes().rank_steps - before);
        }
    }
    // The limit per event, plus the ranking of the last function.
    assert!(
        max_steps <= 50_000 + 2 * 3_000 + 700,
        "{max_steps} steps in one event"
    );
    assert!(max_steps > 1_000, "{max_steps}: hardly any ranking");
}

/// Guards against a ranking that never ends: with capacities whose sum overflows or is zero, the head never grew.
#[test]
fn ranking_terminates_with_invalid_capacities() {
    for invalid in [f64::INFINITY, f64::MAX, 0.0, -1e300, f64::NAN] {
        let mut fleet = Fleet::new(300, 5);
        let records: Vec<InvokerRecord> = (1..=3)
            .map(|invoker| InvokerRecord {
                capacity: invalid,
                ..invoker_record(invoker, InvokerStatus::Ready, None)
            })
            .collect();
        fleet.bed.update_endpoint_list(false, &records);
        (0..20)
            .for_each(|function| assert_eq!(fleet.attempted(function, 40).len(), 40, "{invalid}"));
        let gone: Vec<InvokerRecord> = (1..=3)
            .map(|invoker| invoker_record(invoker, InvokerStatus::Gone, None))
            .collect();
        gone.iter()
            .for_each(|record| fleet.ready.retain(|invoker, _| *invoker != record.invoker));
        fleet.bed.update_endpoint_list(false, &gone);
        for function in 0..20 {
            assert_eq!(
                fleet.attempted(function, 2),
                complete_ranking(function, &fleet.ready)[..2],
                "{invalid}"
            );
        }
    }
}
