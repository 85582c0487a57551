//! Slow start (rule 4) over a whole fleet: the work that all controllers together send to a cold invoker stays within
//! the configured budget, although the controllers do not communicate.

#![allow(
    clippy::too_many_lines,
    reason = "a random run is easier to read in one function"
)]

mod support;

use saltdrum::interface::*;
use support::*;

/// When all but a few invokers are replaced by cold ones.
const REPLACED_AT: Ticks = 112 * SECOND;
/// When a run ends.
const ENDS_AT: Ticks = 124 * SECOND;
const INVOKERS: u32 = 12;
/// How long before the replacement the first controller restarts. Each further one restarts half a second later.
const FIRST_RESTART_LEAD_TIME: Ticks = 3 * SECOND;
/// How long invokers that restart under the same id refuse connections before.
const DOWNTIME: Ticks = 3 * SECOND;
/// How long after an invoker is listed a late start time is reported.
const START_REPORT_DELAY: Ticks = 2 * SECOND;
/// Longest overload window. With a longer one, an invoker would be warm after a few windows.
const MAX_WINDOW: Ticks = 3 * SECOND;
/// One in this many invocations is heavy.
const INVOCATIONS_PER_HEAVY_ONE: u64 = 8;
/// Work of a heavy invocation, as a multiple of that of the others.
const HEAVY_WORK_FACTOR: u64 = 4;

/// How the load of a fleet is distributed over its controllers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Distribution {
    Even,
    /// One controller in ten has ten times the load of the others.
    OneInTen,
    /// The first controller has nine tenths of the load.
    OneHasMost,
}

/// Which controllers restart around the replacement of the invokers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Restarts {
    None,
    OneInFive,
    AllAtOnce,
}

/// What the endpoint list reports of the cold invokers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StartReport {
    /// New ids, with their start times.
    WithRecord,
    /// New ids, at first without their start times.
    AfterRecord,
    /// Nothing: the invokers refuse connections for a while and restart under the same ids and addresses.
    Never,
}

#[derive(Clone, Debug)]
struct Scenario {
    controllers: u32,
    seed: u64,
    distribution: Distribution,
    restarts: Restarts,
    start_report: StartReport,
    /// Number of invokers that are not replaced.
    warm_invokers: u32,
    /// Load as a share of the capacity of the whole fleet, far more than the capacity of the warm invokers.
    load: f64,
    /// Whether capacities range from one half to two, instead of one.
    has_unequal_capacities: bool,
    has_heavy_invocations: bool,
    /// Run time of an invocation of mean work on an otherwise idle invoker.
    run_time: Ticks,
    /// Whether a load order counts like an invocation.
    counts_orders: bool,
    /// The configuration of the controllers.
    configured: Deployment,
    /// The configuration by which the controllers are judged.
    judged_by: Deployment,
}

impl Scenario {
    fn new(controllers: u32, seed: u64) -> Self {
        Self {
            controllers,
            seed,
            distribution: Distribution::OneInTen,
            restarts: Restarts::OneInFive,
            start_report: StartReport::WithRecord,
            warm_invokers: 2,
            load: 0.9,
            has_unequal_capacities: false,
            has_heavy_invocations: false,
            run_time: RUN_TIME,
            counts_orders: true,
            configured: deployment(),
            judged_by: deployment(),
        }
    }

    /// Sets the budget of an invoker of mean capacity at its start to a number of invocations, through the length of
    /// the window or, if that would be too long, through the run time.
    fn with_initial_budget(mut self, invocations: u64) -> Self {
        let initial_cores =
            self.judged_by.overload_factor * self.judged_by.initial_capacity_share * CORES;
        let window = (((invocations * RUN_TIME) as f64 / initial_cores) as Ticks).min(MAX_WINDOW);
        self.run_time = (window as f64 * initial_cores / invocations as f64) as Ticks;
        (
            self.configured.overload_window,
            self.judged_by.overload_window,
        ) = (window, window);
        self
    }

    fn capacity(&self, invoker: InvokerId) -> f64 {
        if self.has_unequal_capacities {
            [0.5, 1.0, 2.0][invoker as usize % 3]
        } else {
            1.0
        }
    }

    fn invoker_record(
        &self,
        invoker: InvokerId,
        status: InvokerStatus,
        started_at: Option<Ticks>,
    ) -> InvokerRecord {
        InvokerRecord {
            capacity: self.capacity(invoker),
            ..invoker_record(invoker, status, started_at)
        }
    }

    fn is_cold(&self, invoker: InvokerId) -> bool {
        if self.start_report == StartReport::Never {
            invoker > self.warm_invokers
        } else {
            invoker > INVOKERS
        }
    }

    fn replacements(&self) -> std::ops::RangeInclusive<InvokerId> {
        INVOKERS + 1..=2 * INVOKERS - self.warm_invokers
    }

    fn report_replacement(&self, bed: &mut TestBed, with_start: bool) {
        if self.start_report == StartReport::Never {
            return;
        }
        let started_at =
            (with_start || self.start_report == StartReport::WithRecord).then_some(REPLACED_AT);
        let gone = (self.warm_invokers + 1..=INVOKERS)
            .map(|invoker| self.invoker_record(invoker, InvokerStatus::Gone, None));
        let cold = self
            .replacements()
            .map(|invoker| self.invoker_record(invoker, InvokerStatus::Ready, started_at));
        bed.update_endpoint_list(false, &gone.chain(cold).collect::<Vec<_>>());
    }

    fn controller_restart_at(&self, seed: u64) -> Option<Ticks> {
        match self.restarts {
            Restarts::None => None,
            Restarts::OneInFive => seed
                .is_multiple_of(5)
                .then(|| REPLACED_AT - FIRST_RESTART_LEAD_TIME + seed / 5 % 16 * SECOND / 2),
            Restarts::AllAtOnce => Some(REPLACED_AT + SECOND),
        }
    }

    /// The loads of the controllers, relative to each other.
    fn weights(&self) -> Vec<f64> {
        let dominant = 9.0 * f64::from(self.controllers - 1).max(1.0);
        let weight = |index: u32| match self.distribution {
            Distribution::Even => 1.0,
            Distribution::OneInTen => {
                if index % 10 == 3 {
                    10.0
                } else {
                    1.0
                }
            }
            Distribution::OneHasMost => {
                if index == 0 {
                    dominant
                } else {
                    1.0
                }
            }
        };
        (0..self.controllers).map(weight).collect()
    }

    /// Starts a controller, with a complete endpoint list of warm invokers.
    fn start_controller(&self, seed: u64, now: Ticks) -> TestBed {
        let deployment = Deployment {
            controllers: self.controllers,
            ..self.configured.clone()
        };
        let mut bed = TestBed::starting_at(deployment, INVOKERS, seed, now);
        let all: Vec<InvokerRecord> = (1..=INVOKERS)
            .map(|invoker| self.invoker_record(invoker, InvokerStatus::Ready, None))
            .collect();
        bed.update_endpoint_list(true, &all);
        bed.checker.has_even_shares = false;
        bed
    }

    /// The attempts at cold invokers of one controller with `load_share` of the fleet's load: the invoker, the time,
    /// and the work in invocations of mean work.
    fn attempts(&self, seed: u64, load_share: f64) -> Vec<(InvokerId, Ticks, f64)> {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0xc01d);
        let mean_work = if self.has_heavy_invocations {
            (HEAVY_WORK_FACTOR + INVOCATIONS_PER_HEAVY_ONE - 1) as f64
                / INVOCATIONS_PER_HEAVY_ONE as f64
        } else {
            1.0
        };
        let rate = self.load * f64::from(INVOKERS) * CORES / (self.run_time as f64 * mean_work)
            * load_share;
        let mut bed = self.start_controller(seed, 100 * SECOND);
        let mut all = Vec::new();
        let (mut next_arrival, mut is_replaced, mut is_start_reported, mut has_restarted) =
            (bed.checker.now, false, false, false);
        while bed.checker.now < ENDS_AT {
            let now = bed.checker.now;
            if now >= REPLACED_AT && !is_replaced {
                is_replaced = true;
                self.report_replacement(&mut bed, false);
            }
            if now >= REPLACED_AT + START_REPORT_DELAY && !is_start_reported {
                is_start_reported = true;
                self.report_replacement(&mut bed, true);
            }
            if self.controller_restart_at(seed).is_some_and(|at| now >= at) && !has_restarted {
                has_restarted = true;
                all.extend(self.attempts_at_cold(&bed));
                bed = self.start_controller(seed ^ 0x5eed, now);
                if is_replaced {
                    // The first endpoint list of a controller includes start times.
                    self.report_replacement(&mut bed, true);
                }
                next_arrival = now;
            }
            while next_arrival <= bed.checker.now {
                let work_factor = self.has_heavy_invocations.then(|| {
                    if rng.u64(0..INVOCATIONS_PER_HEAVY_ONE) == 0 {
                        HEAVY_WORK_FACTOR
                    } else {
                        1
                    }
                });
                bed.invoke_with_hint(
                    0,
                    rng.u64(0..200),
                    4 * SECOND,
                    work_factor.map(|factor| factor * self.run_time),
                );
                next_arrival += 1 + (-(1.0 - rng.f64()).ln() / rate) as Ticks;
            }
            bed.advance(20 * MILLISECOND);
            self.complete_work(&mut bed, &mut rng, &mut all);
        }
        all.extend(self.attempts_at_cold(&bed));
        all
    }

    /// The attempts at cold invokers: the invoker, the time, and the work.
    fn attempts_at_cold(&self, bed: &TestBed) -> Vec<(InvokerId, Ticks, f64)> {
        let work = |invocation: &TrackedInvocation| {
            invocation.request.work_hint.unwrap_or(self.run_time) as f64 / self.run_time as f64
        };
        let attempts_of = |invocation: &TrackedInvocation| {
            invocation
                .attempts
                .iter()
                .map(move |attempt| (attempt.invoker, attempt.sent_at, work(invocation)))
                .collect::<Vec<_>>()
        };
        let all = bed.checker.invocations.values().flat_map(attempts_of);
        all.filter(|(invoker, at, _)| self.is_cold(*invoker) && *at >= REPLACED_AT)
            .collect()
    }

    /// Completes the attempts that have run for their run time, fails those at invokers that refuse connections, and
    /// ends all load orders.
    fn complete_work(
        &self,
        bed: &mut TestBed,
        rng: &mut fastrand::Rng,
        all: &mut Vec<(InvokerId, Ticks, f64)>,
    ) {
        for (id, number) in bed.in_flight() {
            let (request, attempt) = (
                &bed.checker.invocations[&id].request,
                &bed.checker.invocations[&id].attempts[number],
            );
            if self.refuses_connections(attempt.invoker, attempt.sent_at) {
                bed.end_attempt(id, number, Outcome::NoConnection, None);
                continue;
            }
            let run_time =
                (request.work_hint.unwrap_or(self.run_time) as f64 * (0.5 + rng.f64())) as Ticks;
            if bed.checker.now >= attempt.sent_at + run_time {
                let start_kind = if bed
                    .checker
                    .known_instances
                    .insert((request.function, attempt.invoker))
                {
                    StartKind::BeganLoad
                } else {
                    StartKind::Warm
                };
                bed.end_attempt(id, number, Outcome::Succeeded, Some(start_kind));
            }
        }
        while let Some((invoker, _, at)) = bed.checker.loads.first().copied() {
            let counts = self.counts_orders && self.is_cold(invoker) && at >= REPLACED_AT;
            all.extend(counts.then_some((invoker, at, 1.0)));
            let is_refused = self.refuses_connections(invoker, at);
            bed.end_load(
                0,
                if is_refused {
                    LoadOutcome::Unreachable
                } else {
                    LoadOutcome::Loaded
                },
            );
        }
    }

    /// Whether an invoker refused connections at a time.
    fn refuses_connections(&self, invoker: InvokerId, at: Ticks) -> bool {
        self.start_report == StartReport::Never
            && self.is_cold(invoker)
            && (REPLACED_AT - DOWNTIME..REPLACED_AT).contains(&at)
    }

    /// Sums the work of all controllers in each window that begins with an attempt at a cold invoker, and compares it
    /// with the budget plus `tolerance`.
    fn judge(&self, tolerance: impl Fn(f64) -> f64) -> Verdict {
        let weights = self.weights();
        let total: f64 = weights.iter().sum();
        let seed = |index: usize| index as u64 + 1_000 * (self.seed + 1);
        let attempts_of =
            |(index, weight): (usize, &f64)| self.attempts(seed(index), weight / total);
        let mut all: Vec<(InvokerId, Ticks, f64)> =
            weights.iter().enumerate().flat_map(attempts_of).collect();
        all.sort_unstable_by_key(|(invoker, at, _)| (*invoker, *at));
        let mut verdict = Verdict {
            exceeded: 0,
            windows: all.len(),
            fullest: 0.0,
        };
        let deployment = &self.judged_by;
        for (index, (invoker, from, _)) in all.iter().enumerate() {
            let end = from + deployment.overload_window;
            let within = all[index..]
                .iter()
                .take_while(|(other, at, _)| other == invoker && *at < end);
            let sum: f64 = within.map(|(_, _, work)| work).sum();
            let age = (from - REPLACED_AT) as f64 / deployment.warm_up_time as f64;
            let warm_up_share = deployment.initial_capacity_share
                + (1.0 - deployment.initial_capacity_share) * age.min(1.0);
            let mean_capacity = (1..=INVOKERS)
                .map(|invoker| self.capacity(invoker))
                .sum::<f64>()
                / f64::from(INVOKERS);
            let cores = CORES * self.capacity(*invoker) / mean_capacity;
            let budget = deployment.overload_factor
                * warm_up_share
                * cores
                * deployment.overload_window as f64
                / self.run_time as f64;
            verdict.exceeded += usize::from(sum > budget + tolerance(budget));
            verdict.fullest = verdict.fullest.max(sum / (budget + tolerance(budget)));
        }
        verdict
    }
}

#[derive(Debug)]
struct Verdict {
    /// Number of windows in which the work exceeded the budget plus the tolerance.
    exceeded: usize,
    windows: usize,
    /// Largest work of a window, as a share of the budget plus the tolerance.
    fullest: f64,
}

/// Random variation tolerated beyond a budget, both in invocations.
fn random_variation(budget: f64) -> f64 {
    if budget < 30.0 {
        3.0 * budget.sqrt() + 3.0
    } else {
        2.0 * budget.sqrt() + 2.0
    }
}

/// Operator requirement: at most 2 * sqrt(N) + 2 invocations beyond the budget of N are tolerated as random variation,
/// even if few controllers share the budget, if some have ten times the load of others, and if some have just restarted
/// and know neither the rate of work nor the size of the fleet.
#[test]
fn all_controllers_together_keep_the_slow_start_budget() {
    for (controllers, seeds) in [(20, 4), (30, 3), (300, 1)] {
        for seed in 0..seeds {
            let verdict =
                Scenario::new(controllers, seed).judge(|budget| 2.0 * budget.sqrt() + 2.0);
            println!("{controllers} controllers, seed {seed}: {verdict:?}");
            assert_eq!(
                verdict.exceeded, 0,
                "{controllers} controllers, seed {seed}: {verdict:?}"
            );
            assert!(
                verdict.windows > 300 && verdict.fullest > 0.2,
                "{verdict:?}: cold invokers are hardly used"
            );
        }
    }
}

/// Covers small numbers of controllers and small budgets.
#[test]
fn few_controllers_keep_every_slow_start_budget() {
    for controllers in [1, 2, 4, 8] {
        for invocations in [1, 2, 5, 12, 30, 60] {
            for distribution in [Distribution::Even, Distribution::OneHasMost] {
                let scenario = Scenario {
                    distribution,
                    ..Scenario::new(controllers, invocations).with_initial_budget(invocations)
                };
                let verdict = scenario.judge(random_variation);
                println!(
                    "{controllers} controllers, budget {invocations}, {distribution:?}: {verdict:?}"
                );
                assert_eq!(
                    verdict.exceeded, 0,
                    "{controllers} controllers, budget {invocations}, {distribution:?}: {verdict:?}"
                );
            }
        }
    }
}

/// Asserts that a changed scenario keeps the budget, with 1 to 30 controllers.
fn assert_budget_kept(name: &str, change: impl Fn(&mut Scenario)) {
    for controllers in [1, 2, 4, 8, 30] {
        for invocations in [3, 15, 40] {
            let mut scenario =
                Scenario::new(controllers, 10 + invocations).with_initial_budget(invocations);
            change(&mut scenario);
            let verdict = scenario.judge(random_variation);
            println!("{name}, {controllers} controllers, budget {invocations}: {verdict:?}");
            assert_eq!(
                verdict.exceeded, 0,
                "{name}, {controllers} controllers, budget {invocations}: {verdict:?}"
            );
            assert!(verdict.windows > 0, "{name}: cold invokers are not used");
        }
    }
}

#[test]
fn keeps_the_budget_with_unequal_capacities() {
    assert_budget_kept("unequal capacities", |scenario| {
        scenario.has_unequal_capacities = true
    });
}

#[test]
fn keeps_the_budget_when_all_controllers_restart_at_once() {
    assert_budget_kept("restarts", |scenario| {
        scenario.restarts = Restarts::AllAtOnce
    });
}

#[test]
fn keeps_the_budget_with_one_warm_invoker() {
    assert_budget_kept("one warm invoker", |scenario| scenario.warm_invokers = 1);
}

#[test]
fn keeps_the_budget_with_some_heavy_invocations() {
    assert_budget_kept("heavy invocations", |scenario| {
        scenario.has_heavy_invocations = true
    });
}

#[test]
fn keeps_the_budget_when_an_invoker_is_listed_before_its_start_time() {
    assert_budget_kept("listed before its start time", |scenario| {
        scenario.start_report = StartReport::AfterRecord
    });
}

#[test]
fn keeps_the_budget_when_invokers_restart_unreported() {
    assert_budget_kept("unreported restart", |scenario| {
        (
            scenario.start_report,
            scenario.restarts,
            scenario.counts_orders,
        ) = (StartReport::Never, Restarts::None, false);
    });
}

/// Controllers that are configured to treat cold invokers as warm exceed the budget.
#[test]
fn detects_a_fleet_that_exceeds_the_budget() {
    let configured = Deployment {
        initial_capacity_share: 1.0,
        ..deployment()
    };
    assert!(
        Scenario {
            configured,
            ..Scenario::new(30, 0)
        }
        .judge(|budget| 2.0 * budget.sqrt() + 2.0)
        .exceeded
            > 0
    );
}
