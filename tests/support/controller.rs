//! A policy with the smallest possible host, for runs with many functions, and the memory that its thread allocates.
#![allow(dead_code)]

use crate::support::{deployment, invoker_record};
use saltdrum::DispatchPolicy;
use saltdrum::interface::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

/// Memory of the controller: the least that the platform gives one.
pub(crate) const MEMORY_BYTES: u64 = 32 << 20;
/// The policy may use this share of it. The platform charges for memory above half of the limit.
const POLICY_SHARE: f64 = 0.5;
pub(crate) const INVOKERS: u32 = 12;
const CLIENT_TIMEOUT: Ticks = 4 * SECOND;
/// Long after the start of the invokers, so that they are warm.
const START: Ticks = 100 * SECOND;

thread_local! {
    static LIVE_BYTES: Cell<usize> = const { Cell::new(0) };
    static ALLOCATED_BYTES: Cell<usize> = const { Cell::new(0) };
}

/// Counts the bytes that the current thread has allocated, in total and without those that it has freed.
struct CountingAllocator;

// SAFETY: every call is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.set(LIVE_BYTES.get().wrapping_add(layout.size()));
        ALLOCATED_BYTES.set(ALLOCATED_BYTES.get().wrapping_add(layout.size()));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.set(LIVE_BYTES.get().wrapping_sub(layout.size()));
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// The bytes that the current thread allocates during `event`, in total.
pub(crate) fn allocated_during(event: impl FnOnce()) -> usize {
    let before = ALLOCATED_BYTES.get();
    event();
    ALLOCATED_BYTES.get().wrapping_sub(before)
}

/// A host that keeps nothing but what it has to report to the policy next.
#[derive(Default)]
pub(crate) struct Host {
    pub(crate) dispatched: Option<(InvocationId, InvokerId)>,
    pub(crate) attempts: u8,
    pub(crate) loads: Vec<(InvokerId, FunctionId)>,
    pub(crate) timers: std::collections::VecDeque<(Ticks, u64)>,
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
pub(crate) struct Controller {
    pub(crate) policy: DispatchPolicy,
    pub(crate) host: Host,
    pub(crate) now: Ticks,
    last_id: InvocationId,
    bytes_before: usize,
}

impl Controller {
    pub(crate) fn new(deployment: Deployment) -> Self {
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

    pub(crate) fn bytes_in_use(&self) -> usize {
        LIVE_BYTES.get() - self.bytes_before
    }

    pub(crate) fn invoke(&mut self, function: FunctionId) -> InvocationId {
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
    pub(crate) fn end_attempt(&mut self, outcome: Outcome, is_abandoned: bool) -> bool {
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

    /// Ends the first attempt of an invocation at an invoker.
    pub(crate) fn end_first_attempt(
        &mut self,
        invocation: InvocationId,
        invoker: InvokerId,
        outcome: Outcome,
    ) {
        self.host.dispatched = Some((invocation, invoker));
        self.host.attempts = 1;
        self.end_attempt(outcome, false);
    }

    pub(crate) fn abandon(&mut self, id: InvocationId) {
        self.policy
            .invocation_abandoned(self.now, id, &mut self.host);
    }

    /// A request that its client takes back before it is sent to an invoker.
    pub(crate) fn invoke_and_abandon(&mut self, function: FunctionId) {
        let id = self.invoke(function);
        self.abandon(id);
        self.end_attempt(Outcome::NotSent, true);
    }

    /// Advances the clock: timers fire, and load orders for functions that no invoker knows fail.
    pub(crate) fn advance(&mut self, duration: Ticks) {
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

    pub(crate) fn assert_memory_is_bounded(&self, case: &str) {
        let (bytes, sizes) = (self.bytes_in_use(), self.policy.table_sizes());
        assert!(
            bytes as f64 <= POLICY_SHARE * MEMORY_BYTES as f64,
            "{case}: {bytes} bytes in use, {sizes:?}"
        );
    }
}

pub(crate) fn small_controller(reports_misses: bool) -> Controller {
    Controller::new(Deployment {
        memory_bytes: Some(MEMORY_BYTES),
        reports_misses,
        ..deployment()
    })
}
