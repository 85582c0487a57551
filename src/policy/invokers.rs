//! What is known of an invoker, and how the endpoint list changes it.

use super::estimates::TimedValue;
use super::readiness::Confirmation;
use super::slow_start::SentWork;
use super::{DispatchPolicy, FunctionState};
use crate::interface::{FunctionId, InvokerId, InvokerRecord, InvokerStatus, Ticks};
use std::collections::{BTreeMap, VecDeque};

/// Least capacity of an invoker that computations go by.
const MIN_CAPACITY: f64 = 0.01;

/// Rejections for want of capacity of one tenant and class, since one of theirs was last served.
#[derive(Default)]
pub(super) struct Rejections {
    pub count: u32,
    /// Nothing of theirs goes there before.
    pub until: Ticks,
}

/// An invoker, as the endpoint list and its answers describe it.
#[derive(Default)]
pub(super) struct InvokerState {
    pub record: InvokerRecord,
    /// Attempts in flight.
    pub in_flight: u32,
    pub last_heard: Ticks,
    /// Duration of attempts over the duration expected.
    pub slowdown: TimedValue,
    /// Share of recent attempts that ended in an error.
    pub error_rate: f64,
    pub ejected_until: Ticks,
    /// Length of its last ejection; 0: none since it last succeeded.
    pub ejection_time: Ticks,
    /// It had not started before, by what was seen: its start was not reported, or not yet.
    pub first_seen: Option<Ticks>,
    /// By tenant and class. A single one is no sign of ill health.
    pub rejections: BTreeMap<(usize, usize), Rejections>,
    pub confirmation: Confirmation,
    /// What was sent to it within the overload window.
    pub sent_work: VecDeque<SentWork>,
}

impl InvokerState {
    fn new(record: &InvokerRecord, now: Ticks, is_first_list: bool) -> Self {
        // An invoker that is listed later than the first list has just started, also where its start is not reported.
        let is_new = !is_first_list && record.started_at.is_none();
        Self {
            record: *record,
            first_seen: is_new.then_some(now),
            last_heard: now,
            slowdown: TimedValue {
                value: 1.0,
                at: now,
            },
            ..Self::default()
        }
    }

    /// Capacity, where it takes new work.
    fn ready_capacity(&self) -> Option<f64> {
        (self.record.status == InvokerStatus::Ready).then(|| self.record.capacity.max(MIN_CAPACITY))
    }
}

impl DispatchPolicy {
    /// The endpoint list, or a watch event of it. With `is_complete` the records are all there are.
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
        self.completed_work.fleet_grew(self.ready.total_capacity());
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
            self.forget_instances(record.invoker);
        }
    }

    /// The invoker's process has ended, and its instances with it.
    pub(super) fn forget_instances(&mut self, invoker_id: InvokerId) {
        for function_id in self.loads.functions_at(invoker_id) {
            let function = self.functions.get_mut(&function_id);
            let instance = function.and_then(|function| function.instances.get_mut(&invoker_id));
            if let Some(instance) = instance {
                instance.is_loaded = false;
                instance.loading_since = None;
                instance.is_ours = false;
            }
        }
    }

    /// A function and an invoker that both exist.
    pub(super) fn function_and_invoker(
        &mut self,
        function_id: FunctionId,
        invoker_id: InvokerId,
    ) -> Option<(&mut FunctionState, &mut InvokerState)> {
        let function = self.functions.get_mut(&function_id)?;
        let invoker = self.invokers.get_mut(&invoker_id)?;
        Some((function, invoker))
    }
}
