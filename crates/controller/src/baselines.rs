//! Baseline policies for comparison with the dispatch policy: relays that make one attempt and enforce none of the rules.

use crate::policy::Policy;
use saltdrum::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// How a relay selects one of the ready invokers.
#[derive(Clone, Copy)]
enum Selection {
    Random,
    /// The invoker with the fewest of this controller's attempts in flight.
    LeastInFlight,
    /// The invoker that a hash of invoker and function ranks first.
    Rendezvous,
}

/// Makes one attempt at a ready invoker and forwards its outcome. For comparison only: it enforces no rule.
struct Relay {
    selection: Selection,
    rng: fastrand::Rng,
    ready: BTreeSet<InvokerId>,
    /// The members of `ready`, by index.
    candidates: Vec<InvokerId>,
    in_flight: BTreeMap<InvokerId, u32>,
    /// The invoker that each invocation was sent to.
    targets: BTreeMap<InvocationId, InvokerId>,
}

fn relay(selection: Selection, seed: u64) -> Box<dyn Policy> {
    Box::new(Relay {
        selection,
        rng: fastrand::Rng::with_seed(seed),
        ready: BTreeSet::new(),
        candidates: Vec::new(),
        in_flight: BTreeMap::new(),
        targets: BTreeMap::new(),
    })
}

/// Creates a relay that selects an invoker at random.
pub fn random_relay(_: Ticks, _: Deployment, seed: u64, _: &mut dyn Actions) -> Box<dyn Policy> {
    relay(Selection::Random, seed)
}

/// Creates a relay that selects the invoker with the fewest of this controller's attempts in flight.
pub fn least_in_flight_relay(
    _: Ticks,
    _: Deployment,
    seed: u64,
    _: &mut dyn Actions,
) -> Box<dyn Policy> {
    relay(Selection::LeastInFlight, seed)
}

/// Creates a relay that selects the first invoker in the function's rendezvous ranking, regardless of load.
pub fn rendezvous_relay(
    _: Ticks,
    _: Deployment,
    seed: u64,
    _: &mut dyn Actions,
) -> Box<dyn Policy> {
    relay(Selection::Rendezvous, seed)
}

impl Relay {
    fn select(&mut self, function: FunctionId) -> InvokerId {
        let first = self.rng.usize(..self.candidates.len());
        let rotated = self.candidates[first..]
            .iter()
            .chain(&self.candidates[..first])
            .copied();
        let in_flight = |invoker: &InvokerId| self.in_flight.get(invoker).copied().unwrap_or(0);
        let rank = |invoker: &InvokerId| {
            fastrand::Rng::with_seed(function ^ (u64::from(*invoker) << 32)).u64(..)
        };
        match self.selection {
            Selection::Random => self.candidates[first],
            Selection::LeastInFlight => rotated
                .min_by_key(in_flight)
                .unwrap_or(self.candidates[first]),
            Selection::Rendezvous => rotated.max_by_key(rank).unwrap_or(self.candidates[first]),
        }
    }
}

impl Policy for Relay {
    fn invokers_changed(&mut self, _: Ticks, is_complete: bool, records: &[InvokerRecord]) {
        if is_complete {
            self.ready.clear();
        }
        for record in records {
            if record.status == InvokerStatus::Ready {
                self.ready.insert(record.invoker);
            } else {
                self.ready.remove(&record.invoker);
            }
        }
        self.candidates = self.ready.iter().copied().collect();
    }

    fn invocation_arrived(&mut self, _: Ticks, request: Invocation, actions: &mut dyn Actions) {
        if self.candidates.is_empty() {
            return actions.throttle(request.id, 0);
        }
        let target = self.select(request.function);
        self.targets.insert(request.id, target);
        *self.in_flight.entry(target).or_insert(0) += 1;
        actions.dispatch(request.id, target, 0);
    }

    fn invocation_abandoned(&mut self, _: Ticks, _: InvocationId, _: &mut dyn Actions) {}

    fn attempt_ended(&mut self, _: Ticks, result: AttemptResult, actions: &mut dyn Actions) {
        let target = self.targets.remove(&result.invocation);
        if let Some(in_flight) = target.and_then(|target| self.in_flight.get_mut(&target)) {
            *in_flight -= 1;
        }
        if result.invocation_finished {
            return;
        }
        if result.outcome.never_ran() {
            actions.throttle(result.invocation, 0);
        } else {
            actions.error(result.invocation);
        }
    }

    fn load_ended(&mut self, _: Ticks, _: LoadResult, _: &mut dyn Actions) {}
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
}
