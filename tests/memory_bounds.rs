//! The policy's memory stays bounded whatever clients request. Memory is counted by the allocator, per thread.

use saltdrum::DispatchPolicy;
use saltdrum::interface::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

mod support;

use support::{deployment, invoker_record};

/// Memory of the controller: the least that the platform gives one.
const MEMORY_BYTES: u64 = 32 << 20;
/// The policy may use this share of it. The platform charges for memory above half of the limit.
const POLICY_SHARE: f64 = 0.5;
const INVOKERS: u32 = 12;
const CLIENT_TIMEOUT: Ticks = 4 * SECOND;
/// Long after the start of the invokers, so that they are warm.
const START: Ticks = 100 * SECOND;

thread_local! {
    static LIVE_BYTES: Cell<usize> = const { Cell::new(0) };
}

/// Counts the bytes that the current thread has allocated and not freed.
struct CountingAllocator;

// SAFETY: every call is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.set(LIVE_BYTES.get().wrapping_add(layout.size()));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.set(LIVE_BYTES.get().wrapping_sub(layout.size()));
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// A host that keeps nothing but what it has to report to the policy next.
#[derive(Default)]
struct Host {
    dispatched: Option<(InvocationId, InvokerId)>,
    attempts: u8,
    loads: Vec<(InvokerId, FunctionId)>,
    timers: std::collections::VecDeque<(Ticks, u64)>,
}

impl Actions for Host {
    fn dispatch(&mut self, id: InvocationId, invoker: InvokerId, _: Ticks) {
        self.dispatched = Some((id, invoker));
        self.attempts += 1;
    }
    fn throttle(&mut self, _: InvocationId, _: Ticks) {}
    fn error(&mut self, _: InvocationId) {}
    fn cancel(&mut self, _: InvocationId, _: u8) {}
    fn load(&mut self, invoker: InvokerId, function: FunctionId, _: u8) {
        self.loads.push((invoker, function));
    }
    fn unload(&mut self, _: InvokerId, _: FunctionId) {}
    fn probe(&mut self, _: InvokerId) {}
    fn set_timer(&mut self, at: Ticks, token: u64) {
        let index = self.timers.partition_point(|(other, _)| *other <= at);
        self.timers.insert(index, (at, token));
    }
    fn cancel_timer(&mut self, token: u64) {
        self.timers.retain(|(_, other)| *other != token);
    }
    fn log(&mut self, _: &str) {}
}

/// A policy with its host, and the memory that was in use before it.
struct Controller {
    policy: DispatchPolicy,
    host: Host,
    now: Ticks,
    last_id: InvocationId,
    bytes_before: usize,
}

impl Controller {
    fn new(deployment: Deployment) -> Self {
        let bytes_before = LIVE_BYTES.get();
        let (now, mut host) = (START, Host::default());
        let mut policy = DispatchPolicy::new(now, deployment, 7, &mut host);
        let records: Vec<InvokerRecord> = (1..=INVOKERS)
            .map(|invoker| invoker_record(invoker, InvokerStatus::Ready, Some(1)))
            .collect();
        policy.invokers_changed(now, true, &records);
        Self {
            policy,
            host,
            now,
            last_id: 0,
            bytes_before,
        }
    }

    fn bytes_in_use(&self) -> usize {
        LIVE_BYTES.get() - self.bytes_before
    }

    fn invoke(&mut self, function: FunctionId) -> InvocationId {
        self.last_id += 1;
        let request = Invocation {
            id: self.last_id,
            trigger: 0,
            tenant: 0,
            function,
            earliest_arrival: self.now,
            expires_at: self.now + CLIENT_TIMEOUT,
            work_hint: None,
            memory_mb: 100.0,
            concurrency_limit: 2.0,
            load_time_hint: Some(SECOND),
        };
        self.host.attempts = 0;
        self.policy
            .invocation_arrived(self.now, request, &mut self.host);
        self.last_id
    }

    /// Ends the attempt in flight, if there is one. Returns whether there was.
    fn end_attempt(&mut self, outcome: Outcome, is_abandoned: bool) -> bool {
        let Some((invocation, invoker)) = self.host.dispatched.take() else {
            return false;
        };
        let result = AttemptResult {
            invocation,
            invoker,
            attempt: self.host.attempts - 1,
            invocation_finished: is_abandoned || outcome == Outcome::Succeeded,
            outcome,
            start_kind: None,
            concurrency: None,
            duration: 0,
            report: LoadReport::default(),
        };
        self.policy.attempt_ended(self.now, result, &mut self.host);
        true
    }

    fn abandon(&mut self, id: InvocationId) {
        self.policy
            .invocation_abandoned(self.now, id, &mut self.host);
    }

    /// A request that its client takes back before it is sent to an invoker.
    fn invoke_and_abandon(&mut self, function: FunctionId) {
        let id = self.invoke(function);
        self.abandon(id);
        self.end_attempt(Outcome::NotSent, true);
    }

    /// Advances the clock: timers fire, and load orders for functions that no invoker knows fail.
    fn advance(&mut self, duration: Ticks) {
        self.now += duration;
        while let Some((_, token)) = self.host.timers.pop_front_if(|(at, _)| *at <= self.now) {
            self.policy.timer_fired(self.now, token, &mut self.host);
        }
        for (invoker, function) in std::mem::take(&mut self.host.loads) {
            let result = LoadResult {
                invoker,
                function,
                outcome: LoadOutcome::LoadFailed,
                loaded_instances: 0,
                duration: 0,
                sent_at: None,
            };
            self.policy.load_ended(self.now, result, &mut self.host);
        }
    }

    fn assert_memory_is_bounded(&self, case: &str) {
        let (bytes, sizes) = (self.bytes_in_use(), self.policy.table_sizes());
        assert!(
            bytes as f64 <= POLICY_SHARE * MEMORY_BYTES as f64,
            "{case}: {bytes} bytes in use, {sizes:?}"
        );
    }
}

fn small_controller(reports_misses: bool) -> Controller {
    Controller::new(Deployment {
        memory_bytes: Some(MEMORY_BYTES),
        reports_misses,
        ..deployment()
    })
}

/// Guards against state that is retained for each function that was ever requested: clients that asked for unknown
/// functions and took their requests back made the controller exceed its memory limit within seconds.
#[test]
fn unknown_functions_do_not_exceed_the_memory_limit() {
    const REQUESTS: u64 = 60_000;
    for reports_misses in [false, true] {
        let mut controller = small_controller(reports_misses);
        for number in 0..REQUESTS {
            controller.invoke_and_abandon(number << 20);
            if number % 100 == 0 {
                controller.advance(MILLISECOND);
                controller.assert_memory_is_bounded("requests taken back");
            }
        }
        let sizes = controller.policy.table_sizes();
        assert!(sizes.evicted_functions > 0, "bound not met: {sizes:?}");
        assert!(sizes.instances > 0, "nothing dispatched: {sizes:?}");
    }
}

/// Guards against instances and rankings that grow with each attempt: a request for an unknown function that every
/// invoker turns away is tried at several of them.
#[test]
fn failing_attempts_at_many_invokers_do_not_exceed_the_memory_limit() {
    const REQUESTS: u64 = 60_000;
    for outcome in [Outcome::Errored, Outcome::Miss, Outcome::NotSent] {
        let mut controller = small_controller(outcome == Outcome::Miss);
        for number in 0..REQUESTS {
            // Each function is requested repeatedly, so that further invokers are tried.
            let id = controller.invoke((number / 4) << 20);
            while controller.end_attempt(outcome, false) {}
            controller.abandon(id);
            if number % 100 == 0 {
                controller.advance(MILLISECOND);
                controller.assert_memory_is_bounded("failing attempts");
            }
        }
    }
}

/// Guards against waits that outlive their invocations: each request that was taken back while its function was loading
/// left two timers and a step behind, until the load ended or the client timeout.
#[test]
fn requests_taken_back_during_a_load_leave_nothing_behind() {
    const FUNCTION: FunctionId = 1;
    const REQUESTS: usize = 20_000;
    let mut controller = small_controller(true);
    controller.invoke(FUNCTION);
    while controller.host.loads.is_empty() {
        assert!(controller.end_attempt(Outcome::Miss, false));
    }
    let before = (
        controller.policy.table_sizes(),
        controller.host.timers.len(),
    );
    for _ in 0..REQUESTS {
        let id = controller.invoke(FUNCTION);
        while controller.end_attempt(Outcome::Miss, false) {}
        let waiting = controller.policy.table_sizes();
        assert_eq!(waiting.load_waits, 2, "the request does not wait");
        controller.abandon(id);
    }
    let after = (
        controller.policy.table_sizes(),
        controller.host.timers.len(),
    );
    assert_eq!(after.0.load_waits, before.0.load_waits);
    assert_eq!((after.0.timers, after.1), (before.0.timers, before.1));
    // The invocation that still waits is dispatched where its function was loaded.
    let (invoker, function) = controller.host.loads[0];
    let result = LoadResult {
        invoker,
        function,
        outcome: LoadOutcome::Loaded,
        loaded_instances: 1,
        duration: SECOND,
        sent_at: None,
    };
    controller.now += SECOND;
    controller
        .policy
        .load_ended(controller.now, result, &mut controller.host);
    assert_eq!(controller.host.dispatched, Some((1, invoker)));
}

/// Guards against waits that outlive their invocations: each request that was taken back while an invoker was probed left a
/// timer and a step behind.
#[test]
fn requests_taken_back_during_a_probe_leave_nothing_behind() {
    const REQUESTS: usize = 20_000;
    let mut controller = Controller::new(Deployment {
        list_lifetime: Some(2 * SECOND),
        memory_bytes: Some(MEMORY_BYTES),
        ..deployment()
    });
    let before = (
        controller.policy.table_sizes(),
        controller.host.timers.len(),
    );
    for _ in 0..REQUESTS {
        let id = controller.invoke(1);
        assert_eq!(controller.policy.table_sizes().probe_waits, 1);
        controller.abandon(id);
    }
    let after = (
        controller.policy.table_sizes(),
        controller.host.timers.len(),
    );
    assert_eq!(after.0.probe_waits, 0);
    assert_eq!((after.0.timers, after.1), (before.0.timers, before.1));
}

/// Guards against a history of sent work that has an entry for each attempt: an attempt that was taken back before it was
/// sent counted for the whole overload window, and every placement at a cold invoker walked through all of them.
#[test]
fn size_of_the_sent_work_does_not_depend_on_the_number_of_attempts() {
    let size_with = |attempts_per_ms: usize| {
        let mut controller = small_controller(false);
        let window = deployment().overload_window;
        for _ in 0..window / MILLISECOND {
            for _ in 0..attempts_per_ms {
                controller.invoke_and_abandon(1);
            }
            controller.advance(MILLISECOND);
        }
        controller.policy.table_sizes().sent_work
    };
    let (few, many) = (size_with(20), size_with(100));
    assert!(few > 0, "nothing was dispatched");
    assert!(
        many <= few,
        "{few} sums with 20 attempts a millisecond, {many} with 100"
    );
}
