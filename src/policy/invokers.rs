//! The state of an invoker, and its updates from the endpoint list.

use super::estimates::TimedValue;
use super::processes::InvokerProcesses;
use super::readiness::Confirmation;
use super::slow_start::SentWork;
use super::{DispatchPolicy, FunctionState};
use crate::interface::{FunctionId, InvokerId, InvokerRecord, InvokerStatus, Ticks};
use std::collections::BTreeMap;

/// Lower bound of an invoker's capacity in computations.
const MIN_CAPACITY: f64 = 0.01;

/// Rejections for lack of capacity of one tenant and trigger type, since an invocation of theirs last succeeded.
#[derive(Default)]
pub(super) struct Rejections {
    pub count: u32,
    /// Their invocations are not sent to the invoker before this time.
    pub backoff_until: Ticks,
}

/// An invoker, as described by the endpoint list and by its responses.
#[derive(Default)]
pub(super) struct InvokerState {
    pub record: InvokerRecord,
    /// Number of attempts in flight.
    pub in_flight: u32,
    pub last_response_at: Ticks,
    /// Ratio of the actual to the expected duration of attempts.
    pub slowdown: TimedValue,
    /// Share of recent attempts that failed with an error.
    pub error_rate: f64,
    pub ejected_until: Ticks,
    /// Duration of the last ejection; 0: none since the last success.
    pub ejection_time: Ticks,
    /// Earliest possible start of the process, inferred where the endpoint list does not report its start, or not yet.
    pub inferred_start: Option<Ticks>,
    /// Rejections by tenant and trigger type. Rejections of a single one do not indicate an unhealthy invoker.
    pub rejections: BTreeMap<(usize, usize), Rejections>,
    pub confirmation: Confirmation,
    /// Work sent to the invoker within the overload window.
    pub sent_work: SentWork,
}

/// The states of a function and an invoker.
pub(super) struct AttemptTarget<'a> {
    pub function: &'a mut FunctionState,
    pub invoker: &'a mut InvokerState,
    pub processes: &'a mut InvokerProcesses,
}

impl InvokerState {
    fn new(record: &InvokerRecord, now: Ticks, is_first_list: bool) -> Self {
        // An invoker that first appears after the first list has just started, even if its start is not reported.
        let is_new = !is_first_list && record.started_at.is_none();
        Self {
            record: *record,
            inferred_start: is_new.then_some(now),
            last_response_at: now,
            slowdown: TimedValue {
                value: 1.0,
                at: now,
            },
            ..Self::default()
        }
    }

    /// Capacity of the invoker, if it accepts new work.
    fn ready_capacity(&self) -> Option<f64> {
        (self.record.status == InvokerStatus::Ready).then(|| self.record.capacity.max(MIN_CAPACITY))
    }
}

impl DispatchPolicy {
    /// Applies the endpoint list, or a watch event of it. If `is_complete`, all other invokers are gone.
    pub fn invokers_changed(&mut self, now: Ticks, is_complete: bool, records: &[InvokerRecord]) {
        self.advance_clock(now);
        self.ready.begin_version();
        let is_first_list = self.invokers.is_empty();
        if is_complete {
            for invoker in self.invokers.values_mut() {
                invoker.record.status = InvokerStatus::Gone;
            }
        }
        for record in records {
            self.apply_record(record, is_first_list);
        }
        let mut changed: Vec<InvokerId> = records.iter().map(|record| record.invoker).collect();
        if is_complete {
            changed.extend(self.invokers.keys());
        }
        for invoker_id in changed {
            let capacity = self
                .invokers
                .get(&invoker_id)
                .and_then(InvokerState::ready_capacity);
            self.ready.set_capacity(invoker_id, capacity);
        }
        self.ready.end_version();
        self.completed_work
            .raise_fleet_capacity(self.ready.total_capacity());
    }

    fn apply_record(&mut self, record: &InvokerRecord, is_first_list: bool) {
        let now = self.now;
        let invoker = self
            .invokers
            .entry(record.invoker)
            .or_insert_with(|| InvokerState::new(record, now, is_first_list));
        let is_restarted =
            record.started_at.is_some() && record.started_at != invoker.record.started_at;
        invoker.record = *record;
        if is_restarted {
            invoker.ejected_until = 0;
            invoker.ejection_time = 0;
            invoker.error_rate = 0.0;
            invoker.slowdown = TimedValue {
                value: 1.0,
                at: now,
            };
            self.loads.processes.ended(record.invoker);
        }
    }

    /// The states that the result of an attempt updates, if the function and the invoker are known.
    pub(super) fn attempt_target(
        &mut self,
        function_id: FunctionId,
        invoker_id: InvokerId,
    ) -> Option<AttemptTarget<'_>> {
        Some(AttemptTarget {
            function: self.functions.get_mut(&function_id)?,
            invoker: self.invokers.get_mut(&invoker_id)?,
            processes: &mut self.loads.processes,
        })
    }
}
