//! The head of a ranking that is held is that of the whole one, whatever the list does, and costs what changed.

mod support;

use saltdrum::interface::*;
use std::collections::BTreeMap;
use support::*;

/// The rendezvous ranking of a function over all that are ready, made anew.
fn whole(function: FunctionId, ready: &BTreeMap<InvokerId, f64>) -> Vec<InvokerId> {
    let weight = |(w, size): (&InvokerId, &f64)| {
        let seed = function.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(*w);
        (
            -fastrand::Rng::with_seed(seed).f64().max(1e-18).ln() / size,
            *w,
        )
    };
    let mut all: Vec<(f64, InvokerId)> = ready.iter().map(weight).collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all.into_iter().map(|e| e.1).collect()
}

/// All are warm: what a cold one may get would decide who is asked, and not the ranking.
const LONG_PAST: Option<Ticks> = Some(1);

struct Fleet {
    bed: TestBed,
    ready: BTreeMap<InvokerId, f64>,
    rng: fastrand::Rng,
    next: InvokerId,
}

impl Fleet {
    fn new(invokers: u32, seed: u64) -> Self {
        let d = Deployment {
            attempt_limit: 255,
            controllers: 200,
            ..deployment()
        };
        let (bed, rng) = (
            TestBed::seeded(d, 0, seed),
            fastrand::Rng::with_seed(seed ^ 0x4a4),
        );
        let mut fleet = Self {
            bed,
            ready: BTreeMap::new(),
            rng,
            next: 1,
        };
        fleet.come(invokers);
        fleet
    }

    fn line(&mut self, w: InvokerId, life: InvokerStatus) -> InvokerRecord {
        // Now and then one that nobody should list: it must neither hide the others nor hold them up.
        let odd = self.rng.u32(..200) == 0;
        let size = if odd {
            1e300
        } else {
            [0.5, 1.0, 2.5, 4.0][self.rng.usize(..4)]
        };
        match life {
            InvokerStatus::Ready => self.ready.insert(w, size),
            InvokerStatus::Draining | InvokerStatus::Gone => self.ready.remove(&w),
        };
        InvokerRecord {
            capacity: size,
            ..listed(w, life, LONG_PAST)
        }
    }

    fn come(&mut self, n: u32) {
        let new: Vec<InvokerRecord> = (self.next..self.next + n)
            .map(|w| self.line(w, InvokerStatus::Ready))
            .collect();
        self.next += n;
        self.bed.update_endpoint_list(false, &new);
    }

    fn some(&mut self, n: usize) -> Vec<InvokerId> {
        let mut all: Vec<InvokerId> = self.ready.keys().copied().collect();
        self.rng.shuffle(&mut all);
        all.truncate(n);
        all
    }

    /// One of the things that a list may tell.
    fn event(&mut self) {
        let n = [1, 1, 3, self.ready.len() / 5][self.rng.usize(..4)];
        match self.rng.usize(..6) {
            0 => self.come(n as u32),
            1 | 2 => {
                let life = if self.rng.bool() {
                    InvokerStatus::Gone
                } else {
                    InvokerStatus::Draining
                };
                let named = self.some(n);
                let lines: Vec<InvokerRecord> =
                    named.into_iter().map(|w| self.line(w, life)).collect();
                self.bed.update_endpoint_list(false, &lines);
            }
            // In another size, or in the same; some come back under their old ids.
            3 => {
                let mut named = self.some(n);
                named.push(self.rng.u32(1..self.next));
                named.sort_unstable();
                named.dedup();
                let lines: Vec<InvokerRecord> = named
                    .into_iter()
                    .map(|w| self.line(w, InvokerStatus::Ready))
                    .collect();
                self.bed.update_endpoint_list(false, &lines);
            }
            // A whole list that leaves some out, and one that repeats what is known.
            _ => {
                let gone = if self.rng.bool() {
                    self.some(n)
                } else {
                    Vec::new()
                };
                self.ready.retain(|w, _| !gone.contains(w));
                let all = self.ready.iter().map(|(w, size)| InvokerRecord {
                    capacity: *size,
                    ..listed(*w, InvokerStatus::Ready, LONG_PAST)
                });
                self.bed
                    .update_endpoint_list(true, &all.collect::<Vec<_>>());
            }
        }
    }

    /// Who is asked, one after the other, where nobody can be reached.
    fn asked(&mut self, function: FunctionId, deep: usize) -> Vec<InvokerId> {
        let id = self.bed.invoke(0, function, 4 * SECOND);
        for hop in 0..deep - 1 {
            self.bed.end_attempt(id, hop, Outcome::NotSent, None);
        }
        self.bed.client_leaves(id);
        self.bed.end_attempt(id, deep - 1, Outcome::NotSent, None);
        let taken = self.bed.checker.invocations.remove(&id).unwrap();
        taken.attempts.iter().map(|s| s.invoker).collect()
    }
}

#[test]
fn pools_follow_the_complete_ranking() {
    let mut beyond = 0;
    for seed in 0..40 {
        let mut fleet = Fleet::new([110, 250, 600][seed as usize % 3], seed);
        for _ in 0..60 {
            fleet.event();
            for function in 0..6 {
                let most = fleet.ready.len();
                // Deeper than what is held at first, now and then.
                let deep = if fleet.rng.u32(..12) == 0 {
                    most.min(150)
                } else {
                    most.min(2)
                };
                let expected = whole(function, &fleet.ready);
                let asked = fleet.asked(function, deep);
                assert_eq!(
                    asked,
                    expected[..asked.len()],
                    "seed {seed}: {function} of {most}"
                );
                assert_eq!(asked.len(), deep);
                beyond += usize::from(deep > 100);
            }
        }
    }
    assert!(
        beyond > 300,
        "{beyond} walks went beyond what is held at first"
    );
}

/// By count: a line costs each function that is used a few looks at invokers, not the fleet; what a function holds does not
/// grow with the fleet.
#[test]
fn a_watch_event_costs_the_entries_it_names() {
    const FUNCTIONS: u64 = 200;
    let steps_and_held = |invokers: u32| {
        let mut fleet = Fleet::new(invokers, 7);
        let ask_all = |fleet: &mut Fleet| (0..FUNCTIONS).for_each(|f| drop(fleet.asked(f, 1)));
        ask_all(&mut fleet);
        let first = fleet.bed.policy.table_sizes();
        let mut costs = Vec::new();
        for n in [1, 40] {
            let before = fleet.bed.policy.table_sizes().rank_steps;
            let named = fleet.some(n);
            let gone: Vec<InvokerRecord> = named
                .iter()
                .map(|w| fleet.line(*w, InvokerStatus::Gone))
                .collect();
            fleet.bed.update_endpoint_list(false, &gone);
            ask_all(&mut fleet);
            fleet.come(n as u32);
            ask_all(&mut fleet);
            costs.push((fleet.bed.policy.table_sizes().rank_steps - before) / FUNCTIONS);
        }
        (
            first.rank_steps / FUNCTIONS,
            costs,
            fleet.bed.policy.table_sizes().ranked / FUNCTIONS as usize,
        )
    };
    let (small, large) = (steps_and_held(500), steps_and_held(5_000));
    println!("{small:?} at 500, {large:?} at 5,000");
    assert!(
        large.0 >= 5_000,
        "a function is ranked once over all: {large:?}"
    );
    for (lines, (few, many)) in [1, 40].into_iter().zip(small.1.iter().zip(&large.1)) {
        // Two picks walk 25 each; each line that comes is looked at once.
        assert!(
            *many <= 2 * 30 + 2 * lines,
            "{lines} lines: {many} looks a function"
        );
        assert!(
            *many <= few + 20,
            "{lines} lines: {few} at 500, {many} at 5,000"
        );
    }
    assert!(
        large.2 <= 100 && large.2 <= 2 * small.2,
        "held: {} and {}",
        small.2,
        large.2
    );
}

/// A fifth of a large fleet at once, and back cold at once: no turn looks at more than a bounded number.
#[test]
fn a_lost_and_returned_zone_is_absorbed_in_bounded_steps() {
    let mut fleet = Fleet::new(3_000, 11);
    for function in 0..600 {
        for _ in 0..1 + function % 3 {
            fleet.asked(function, 1);
        }
    }
    fleet.bed.advance(2 * SECOND);
    let zone: Vec<InvokerId> = fleet.ready.keys().copied().filter(|w| w % 5 == 0).collect();
    let mut most = 0;
    for back in [false, true] {
        let now = fleet.bed.checker.now;
        let line = |w: &InvokerId| match back {
            true => InvokerRecord {
                capacity: 2.0,
                ..listed(*w, InvokerStatus::Ready, Some(now))
            },
            false => listed(*w, InvokerStatus::Gone, None),
        };
        let lines: Vec<InvokerRecord> = zone.iter().map(line).collect();
        let before = fleet.bed.policy.table_sizes().rank_steps;
        fleet.bed.update_endpoint_list(false, &lines);
        assert!(
            fleet.bed.policy.table_sizes().rank_steps == before,
            "the event itself ranks nothing"
        );
        for _ in 0..400 {
            let before = fleet.bed.policy.table_sizes().rank_steps;
            fleet.bed.advance(4 * MILLISECOND);
            most = most.max(fleet.bed.policy.table_sizes().rank_steps - before);
        }
    }
    // What a turn may take, and the last function's own ranking.
    assert!(most <= 50_000 + 2 * 3_000 + 700, "{most} looks in a turn");
    assert!(most > 1_000, "{most}: something was ranked");
}

/// Found by reading: where sizes added up to more than a number holds, or to nothing, the head never grew, and its ranking
/// never ended.
#[test]
fn ranking_terminates_with_invalid_capacities() {
    for odd in [f64::INFINITY, f64::MAX, 0.0, -1e300, f64::NAN] {
        let mut fleet = Fleet::new(300, 5);
        let lines: Vec<InvokerRecord> = (1..=3)
            .map(|w| InvokerRecord {
                capacity: odd,
                ..listed(w, InvokerStatus::Ready, None)
            })
            .collect();
        fleet.bed.update_endpoint_list(false, &lines);
        (0..20).for_each(|function| assert_eq!(fleet.asked(function, 40).len(), 40, "{odd}"));
        let gone: Vec<InvokerRecord> = (1..=3)
            .map(|w| listed(w, InvokerStatus::Gone, None))
            .collect();
        gone.iter()
            .for_each(|l| fleet.ready.retain(|w, _| *w != l.invoker));
        fleet.bed.update_endpoint_list(false, &gone);
        for function in 0..20 {
            assert_eq!(
                fleet.asked(function, 2),
                whole(function, &fleet.ready)[..2],
                "{odd}"
            );
        }
    }
}
