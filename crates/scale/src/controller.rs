//! Measures a controller in isolation: the real policy and invocation table, with dispatches and loads that end after a
//! drawn time instead of crossing a socket.

use crate::meter::{TurnHistogram, TurnSummary, resident_bytes, thread_cpu_ns};
use crate::world::{InvokerModel, Popularity, Workload, ZONES, deployment, invoker_record};
use saltdrum::DispatchPolicy;
use saltdrum::interface::*;
use saltdrum_controller::Policy;
use saltdrum_controller::{
    AttemptReport, ControllerHandle, FinalResponse, InvocationTable, InvokerTransport,
    OutgoingDispatch, Responder,
};
use saltdrum_transport::{Clock, MemoryNetwork};
use serde::Serialize;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use tokio::task::{LocalSet, spawn_local};
use tracing::Span;

/// How long a controller runs, in seconds of virtual time, and how its invoker list changes.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub load_s: u64,
    /// Time after the load, without invocations.
    pub quiet_s: u64,
    /// Interval at which an invoker is replaced.
    pub event_every_s: u64,
    /// Whether a zone (a fifth of the invokers) is lost in one event after half of the load time, and comes back cold
    /// in one event a quarter of the load time later.
    pub zone_outage: bool,
}

/// The measurements at one size. CPU time is that of this thread; the policy's part is given separately.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    pub invokers: u32,
    pub functions: u64,
    pub skew: f64,
    pub invocations: u64,
    pub succeeded: u64,
    pub dispatches: u64,
    pub misses: u64,
    #[serde(rename = "orders")]
    pub load_orders: u64,
    pub list_events: u64,
    /// CPU time of the policy, the invocation table and the model together.
    #[serde(rename = "us_an_invocation")]
    pub us_per_invocation: f64,
    /// CPU time of the policy alone.
    #[serde(rename = "module_us_an_invocation")]
    pub policy_us_per_invocation: f64,
    /// Share of a core used under load.
    pub share: f64,
    /// Share of a core used by the policy's turns that no invocation causes (list changes, timers).
    pub control_share: f64,
    /// Share of a core used without invocations.
    #[serde(rename = "quiet_share")]
    pub idle_share: f64,
    /// The policy's turns by kind.
    #[serde(rename = "whole")]
    pub list_snapshots: TurnSummary,
    #[serde(rename = "listed")]
    pub list_changes: TurnSummary,
    #[serde(rename = "invoked")]
    pub arrivals: TurnSummary,
    #[serde(rename = "answered")]
    pub attempt_results: TurnSummary,
    pub timers: TurnSummary,
    #[serde(rename = "held")]
    pub load_results: TurnSummary,
    /// Longest turn, except for snapshots of the list.
    pub longest_ms: f64,
    /// Growth of the resident memory since before the controller was created, after half of the load time.
    pub memory_half_mb: f64,
    /// The same at the end of the load.
    pub memory_mb: f64,
    #[serde(rename = "whole_list_bytes")]
    pub snapshot_bytes: u64,
    #[serde(rename = "a_line_bytes")]
    pub entry_bytes: u64,
    /// Sizes of the policy's tables at the end of the load.
    #[serde(rename = "functions_held")]
    pub tracked_functions: usize,
    #[serde(rename = "places_held")]
    pub tracked_instances: usize,
    #[serde(rename = "ranked_held")]
    pub ranked_invokers: usize,
    /// Invokers evaluated for rankings.
    pub rank_steps: u64,
}

/// CPU times of the policy's turns, and the number of successful invocations.
#[derive(Default)]
struct TurnStats {
    list_snapshots: TurnHistogram,
    list_changes: TurnHistogram,
    arrivals: TurnHistogram,
    attempt_results: TurnHistogram,
    timers: TurnHistogram,
    load_results: TurnHistogram,
    succeeded: u64,
}

impl TurnStats {
    fn total_ns(&self) -> u64 {
        let histograms = [
            &self.list_snapshots,
            &self.list_changes,
            &self.arrivals,
            &self.attempt_results,
            &self.timers,
            &self.load_results,
        ];
        histograms.iter().map(|t| t.total_ns).sum()
    }
}

/// The policy, with the CPU time of each of its turns recorded.
struct MeteredPolicy {
    inner: Rc<RefCell<DispatchPolicy>>,
    stats: Rc<RefCell<TurnStats>>,
}

impl MeteredPolicy {
    fn run_turn(
        &mut self,
        histogram: fn(&mut TurnStats) -> &mut TurnHistogram,
        turn: impl FnOnce(&mut DispatchPolicy),
    ) {
        let start = thread_cpu_ns();
        turn(&mut self.inner.borrow_mut());
        let cpu_ns = thread_cpu_ns() - start;
        histogram(&mut self.stats.borrow_mut()).record(cpu_ns);
    }
}

impl Policy for MeteredPolicy {
    fn invokers_changed(&mut self, now: Ticks, is_snapshot: bool, entries: &[InvokerRecord]) {
        let histogram: fn(&mut TurnStats) -> &mut TurnHistogram = if is_snapshot {
            |t| &mut t.list_snapshots
        } else {
            |t| &mut t.list_changes
        };
        self.run_turn(histogram, |p| p.invokers_changed(now, is_snapshot, entries));
    }
    fn invocation_arrived(&mut self, now: Ticks, invocation: Invocation, acts: &mut dyn Actions) {
        self.run_turn(
            |t| &mut t.arrivals,
            |p| p.invocation_arrived(now, invocation, acts),
        );
    }
    fn invocation_abandoned(&mut self, now: Ticks, id: InvocationId, acts: &mut dyn Actions) {
        self.inner.borrow_mut().invocation_abandoned(now, id, acts);
    }
    fn attempt_ended(&mut self, now: Ticks, result: AttemptResult, acts: &mut dyn Actions) {
        self.run_turn(
            |t| &mut t.attempt_results,
            |p| p.attempt_ended(now, result, acts),
        );
    }
    fn load_ended(&mut self, now: Ticks, result: LoadResult, acts: &mut dyn Actions) {
        self.run_turn(|t| &mut t.load_results, |p| p.load_ended(now, result, acts));
    }
    fn timer_fired(&mut self, now: Ticks, token: u64, acts: &mut dyn Actions) {
        self.run_turn(|t| &mut t.timers, |p| p.timer_fired(now, token, acts));
    }
}

/// Ends dispatches and loads after the durations of the invoker model.
struct ModelTransport {
    handle: Weak<ControllerHandle<Self>>,
    clock: Clock,
    model: InvokerModel,
    last_id: u64,
}

/// Counts successful responses.
struct CountingResponder(Rc<RefCell<TurnStats>>);

impl Responder for CountingResponder {
    fn respond(self, _: InvocationId, response: FinalResponse, _: u8, _: Ticks) {
        self.0.borrow_mut().succeeded += u64::from(matches!(response, FinalResponse::Succeeded(_)));
    }
    fn abandon(self, _: InvocationId) {}
}

impl ModelTransport {
    /// Runs `update` on the controller's state after `delay`.
    fn update_after(
        &mut self,
        delay: Ticks,
        update: impl FnOnce(&mut saltdrum_controller::ControllerState<Self>) + 'static,
    ) {
        let Some(handle) = self.handle.upgrade() else {
            return;
        };
        let at = self.clock.now() + delay;
        spawn_local(async move {
            handle.clock.sleep_until(at).await;
            handle.update(update);
        });
    }
}

impl InvokerTransport for ModelTransport {
    type Payload = ();
    type Responder = CountingResponder;
    type Config = ();

    fn dispatch(&mut self, dispatch: &OutgoingDispatch<()>) -> Result<u64, Outcome> {
        self.last_id += 1;
        let (outcome, duration) =
            self.model
                .dispatch(dispatch.now, dispatch.invoker, dispatch.function);
        let (invocation, attempt) = (dispatch.invocation, dispatch.attempt);
        self.update_after(duration, move |state| {
            state.attempt_ended(invocation, attempt, outcome, &AttemptReport::default())
        });
        Ok(self.last_id)
    }
    fn withdraw(&mut self, _: InvokerId, _: u64) -> bool {
        false
    }
    fn cancel(&mut self, _: InvokerId, _: u64) -> bool {
        true
    }
    fn attempt_ended(&mut self, _: InvokerId, _: u64, (): &(), _: Outcome, _: &AttemptReport) {}
    fn load(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        function: FunctionId,
        _: u8,
        _: Ticks,
    ) -> Result<u64, LoadOutcome> {
        self.last_id += 1;
        let (order, duration) = (self.last_id, self.model.load(now, invoker, function));
        self.update_after(duration, move |state| {
            state.load_ended(invoker, order, LoadOutcome::Loaded, 1)
        });
        Ok(order)
    }
    fn load_ended(&mut self, _: InvokerId, _: u64) {}
    fn unload(&mut self, _: Ticks, _: InvokerId, _: FunctionId) {}
    fn probe(&mut self, _: Ticks, _: InvokerId) -> Result<(), ProbeOutcome> {
        Ok(())
    }
}

/// Sizes of the invoker list in the encoding of the platform's feed: a snapshot, and a change of one entry.
fn list_bytes(invokers: u32) -> (u64, u64) {
    use saltdrum_platform_wire::feed::{EndpointRecord, Event, encode};
    let entry = |invoker: u32| EndpointRecord {
        invoker,
        address: std::net::SocketAddrV4::new(
            std::net::Ipv4Addr::from(0x0a00_0000 + invoker),
            7_001,
        ),
        zone: (invoker % u32::from(ZONES)) as u8,
        machine_kind: 0,
        cell: 0,
        status: InvokerStatus::Ready,
        capacity: 4.0,
        started_ms: None,
    };
    let snapshot = encode(1, &Event::Snapshot((1..=invokers).map(entry).collect()));
    let change = encode(2, &Event::Changes(vec![entry(1)]));
    (snapshot.len() as u64, change.len() as u64)
}

/// The listed invokers and their changes.
struct InvokerList {
    ready: Vec<InvokerId>,
    next_id: InvokerId,
    rng: fastrand::Rng,
}

impl InvokerList {
    /// Replaces a random invoker with a new, cold one.
    fn replace_one(&mut self, now: Ticks) -> Vec<InvokerRecord> {
        let index = self.rng.usize(..self.ready.len());
        let gone = std::mem::replace(&mut self.ready[index], self.next_id);
        self.next_id += 1;
        vec![
            invoker_record(gone, InvokerStatus::Gone, None),
            invoker_record(self.next_id - 1, InvokerStatus::Ready, Some(now)),
        ]
    }

    /// The invokers of the zone that is lost and comes back.
    fn zone_members(&self) -> Vec<InvokerId> {
        self.ready
            .iter()
            .copied()
            .filter(|w| w.is_multiple_of(u32::from(ZONES)))
            .collect()
    }
}

/// Measures one controller.
pub fn run(load: &Workload, plan: &LoadPlan) -> Row {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), play(load, plan))
}

async fn play(load: &Workload, plan: &LoadPlan) -> Row {
    let (popularity, before) = (Popularity::new(load.functions, load.skew), resident_bytes());
    let (clock, stats) = (Clock::start(), Rc::new(RefCell::new(TurnStats::default())));
    let (mut rng, settings) = (
        fastrand::Rng::with_seed(load.seed),
        deployment(load.invokers),
    );
    let model = InvokerModel::new(load.seed);
    let transport = ModelTransport {
        handle: Weak::new(),
        clock,
        model,
        last_id: 0,
    };
    let mut invocations = InvocationTable::new(clock.now(), transport, &settings, 2 * SECOND);
    let policy = Rc::new(RefCell::new(DispatchPolicy::new(
        clock.now(),
        settings,
        load.seed,
        &mut invocations,
    )));
    let metered_policy = Box::new(MeteredPolicy {
        inner: policy.clone(),
        stats: stats.clone(),
    });
    let handle = Rc::new(ControllerHandle::new(
        metered_policy,
        invocations,
        clock,
        Rc::new(MemoryNetwork::default()),
        (),
    ));
    handle.update(|s| s.invocations.transport.handle = Rc::downgrade(&handle));
    let mut list = InvokerList {
        ready: (1..=load.invokers).collect(),
        next_id: load.invokers + 1,
        rng: fastrand::Rng::with_seed(load.seed ^ 0x115),
    };
    let snapshot: Vec<InvokerRecord> = list
        .ready
        .iter()
        .map(|w| invoker_record(*w, InvokerStatus::Ready, None))
        .collect();
    handle.update(|s| {
        s.policy
            .invokers_changed(s.invocations.now, true, &snapshot)
    });
    drop(snapshot);
    let timers = handle.clone();
    spawn_local(async move { timers.run_timers().await });

    let (begin, begin_cpu_ns) = (clock.now(), thread_cpu_ns());
    let end = begin + plan.load_s * SECOND;
    let (mut next_arrival, mut next_event, mut row) = (
        begin,
        begin + plan.event_every_s * SECOND / 2,
        Row::default(),
    );
    let (mut zone_lost_at, mut zone_back_at) = (
        begin + plan.load_s * SECOND / 2,
        end - plan.load_s * SECOND / 4,
    );
    if !plan.zone_outage {
        (zone_lost_at, zone_back_at) = (Ticks::MAX, Ticks::MAX);
    }
    let mut half_time = Some(begin + plan.load_s * SECOND / 2);
    let mut id = 0;
    while next_arrival < end {
        clock.sleep_until(next_arrival.min(next_event)).await;
        let now = clock.now();
        if now >= next_event {
            let entries = list.replace_one(now);
            handle.update(|s| {
                s.policy
                    .invokers_changed(s.invocations.now, false, &entries)
            });
            handle.update(|s| {
                s.invocations
                    .transport
                    .model
                    .remove_expired(s.invocations.now)
            });
            next_event += plan.event_every_s * SECOND;
            row.list_events += 1;
        }
        for (at, status) in [
            (&mut zone_lost_at, InvokerStatus::Gone),
            (&mut zone_back_at, InvokerStatus::Ready),
        ] {
            if now >= *at {
                *at = Ticks::MAX;
                let started = (status == InvokerStatus::Ready).then_some(now);
                let entries: Vec<InvokerRecord> = list
                    .zone_members()
                    .into_iter()
                    .map(|w| invoker_record(w, status, started))
                    .collect();
                handle.update(|s| {
                    s.policy
                        .invokers_changed(s.invocations.now, false, &entries)
                });
                row.list_events += 1;
            }
        }
        if half_time.is_some_and(|at| now >= at) {
            half_time = None;
            row.memory_half_mb = resident_bytes().saturating_sub(before) as f64 / 1_048_576.0;
        }
        if now < next_arrival {
            continue;
        }
        id += 1;
        let invocation = Invocation {
            id,
            trigger: 0,
            tenant: 0,
            function: popularity.draw(&mut rng),
            earliest_arrival: now,
            expires_at: now + 3 * SECOND - 10 * MILLISECOND,
            work_hint: None,
            memory_mb: 300.0,
            concurrency_limit: 2.0,
            load_time_hint: Some(500 * MILLISECOND),
        };
        let responder = CountingResponder(stats.clone());
        handle.update(|s| s.accept(invocation, now + 3 * SECOND, (), responder, Span::none()));
        next_arrival += ((-(1.0 - rng.f64()).ln()) * SECOND as f64 / load.rate)
            .round()
            .max(1.0) as Ticks;
    }
    let cpu_ns = thread_cpu_ns() - begin_cpu_ns;
    row.memory_mb = resident_bytes().saturating_sub(before) as f64 / 1_048_576.0;
    {
        let turn_stats = stats.borrow();
        (row.list_changes, row.arrivals, row.attempt_results) = (
            turn_stats.list_changes.summary(),
            turn_stats.arrivals.summary(),
            turn_stats.attempt_results.summary(),
        );
        (row.timers, row.load_results, row.list_snapshots) = (
            turn_stats.timers.summary(),
            turn_stats.load_results.summary(),
            turn_stats.list_snapshots.summary(),
        );
        let turns = [
            &row.list_changes,
            &row.arrivals,
            &row.attempt_results,
            &row.timers,
            &row.load_results,
        ];
        row.longest_ms = turns.iter().map(|t| t.longest_ms).fold(0.0, f64::max);
        let load_ns = plan.load_s as f64 * 1e9;
        row.share = cpu_ns as f64 / load_ns;
        row.control_share =
            (turn_stats.list_changes.total_ns + turn_stats.timers.total_ns) as f64 / load_ns;
        row.us_per_invocation = cpu_ns as f64 / 1e3 / f64::from(id.max(1));
        row.policy_us_per_invocation = turn_stats.total_ns() as f64 / 1e3 / f64::from(id.max(1));
        row.succeeded = turn_stats.succeeded;
        let sizes = policy.borrow().table_sizes();
        (row.tracked_functions, row.tracked_instances) = (sizes.functions, sizes.instances);
        (row.ranked_invokers, row.rank_steps) = (sizes.ranked, sizes.rank_steps);
    }
    if plan.quiet_s > 0 {
        // Wait until the invocations in flight have ended.
        clock.sleep_until(end + 4 * SECOND).await;
        let idle_begin_cpu_ns = thread_cpu_ns();
        clock.sleep_until(end + (4 + plan.quiet_s) * SECOND).await;
        row.idle_share = (thread_cpu_ns() - idle_begin_cpu_ns) as f64 / (plan.quiet_s as f64 * 1e9);
    }
    (row.invokers, row.functions, row.skew) = (load.invokers, load.functions, load.skew);
    (row.snapshot_bytes, row.entry_bytes) = list_bytes(load.invokers);
    handle.inspect(|s| {
        let model = &s.invocations.transport.model;
        (row.dispatches, row.misses, row.load_orders) =
            (model.dispatches, model.misses, model.load_orders);
    });
    row.invocations = u64::from(id);
    row
}
