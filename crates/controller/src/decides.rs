//! What the service asks of whoever decides, and the one baseline that it is measured beside.

use saltdrum::Controller;
use saltdrum::port::*;
use std::collections::{BTreeMap, BTreeSet};

/// The calls of `saltdrum::Controller`, so that a baseline can sit in its place under the very same I/O.
pub trait Decides {
    fn listed(&mut self, now: Tenths, whole: bool, entries: &[Listed]);
    fn invoked(&mut self, now: Tenths, call: Invocation, acts: &mut dyn Acts);
    fn left(&mut self, now: Tenths, id: InvId);
    fn answered(&mut self, now: Tenths, a: Answer, acts: &mut dyn Acts);
    fn held(&mut self, now: Tenths, a: HoldAnswer, acts: &mut dyn Acts);
    fn woken(&mut self, now: Tenths, token: u64, acts: &mut dyn Acts);
}

/// Puts up whoever decides, as `saltdrum::Controller::new` does.
pub type Make = fn(Tenths, Deployment, u64, &mut dyn Acts) -> Box<dyn Decides>;

/// The design: what every deployment runs.
pub fn by_design(now: Tenths, d: Deployment, seed: u64, acts: &mut dyn Acts) -> Box<dyn Decides> {
    Box::new(Controller::new(now, d, seed, acts))
}

impl Decides for Controller {
    fn listed(&mut self, now: Tenths, whole: bool, entries: &[Listed]) {
        Self::listed(self, now, whole, entries);
    }
    fn invoked(&mut self, now: Tenths, call: Invocation, acts: &mut dyn Acts) {
        Self::invoked(self, now, call, acts);
    }
    fn left(&mut self, now: Tenths, id: InvId) {
        Self::left(self, now, id);
    }
    fn answered(&mut self, now: Tenths, a: Answer, acts: &mut dyn Acts) {
        Self::answered(self, now, a, acts);
    }
    fn held(&mut self, now: Tenths, a: HoldAnswer, acts: &mut dyn Acts) {
        Self::held(self, now, a, acts);
    }
    fn woken(&mut self, now: Tenths, token: u64, acts: &mut dyn Acts) {
        Self::woken(self, now, token, acts);
    }
}

/// A pass-through relay: one dispatch to any invoker that is ready, its end handed on. For measurement only.
#[derive(Default)]
struct AtRandom {
    rng: fastrand::Rng,
    ready: BTreeSet<InvokerId>,
    picks: Vec<InvokerId>,
    ran: BTreeMap<InvId, bool>,
}

/// Puts up a relay that picks at random.
pub fn at_random(_: Tenths, _: Deployment, seed: u64, _: &mut dyn Acts) -> Box<dyn Decides> {
    Box::new(AtRandom { rng: fastrand::Rng::with_seed(seed), ..Default::default() })
}

impl Decides for AtRandom {
    fn listed(&mut self, _: Tenths, whole: bool, entries: &[Listed]) {
        if whole {
            self.ready.clear();
        }
        for l in entries {
            if l.life == Life::Ready {
                self.ready.insert(l.invoker);
            } else {
                self.ready.remove(&l.invoker);
            }
        }
        self.picks = self.ready.iter().copied().collect();
    }

    fn invoked(&mut self, _: Tenths, call: Invocation, acts: &mut dyn Acts) {
        if self.picks.is_empty() {
            return acts.throttle(call.id, 0);
        }
        self.ran.insert(call.id, false);
        acts.dispatch(call.id, self.picks[self.rng.usize(..self.picks.len())], 0);
    }

    fn left(&mut self, _: Tenths, _: InvId) {}

    fn answered(&mut self, _: Tenths, a: Answer, acts: &mut dyn Acts) {
        self.ran.remove(&a.inv);
        match a.finished {
            true => {}
            false if a.outcome.never_ran() => acts.throttle(a.inv, 0),
            false => acts.error(a.inv),
        }
    }

    fn held(&mut self, _: Tenths, _: HoldAnswer, _: &mut dyn Acts) {}
    fn woken(&mut self, _: Tenths, _: u64, _: &mut dyn Acts) {}
}
