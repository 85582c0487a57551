//! What the service asks of whoever decides, and the baselines that it is compared with.

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
    /// What is believed of the invokers, where the like is kept.
    fn beliefs(&self, _now: Tenths) -> Vec<Belief> {
        Vec::new()
    }
    /// What is held, by count, where the like is kept.
    fn counted(&self) -> Counted {
        Counted::default()
    }
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
    fn beliefs(&self, now: Tenths) -> Vec<Belief> {
        Self::beliefs(self, now)
    }
    fn counted(&self) -> Counted {
        Self::counted(self)
    }
}

/// How a baseline picks one of the invokers that are ready.
#[derive(Clone, Copy)]
enum Pick {
    Random,
    /// The one with the fewest of this controller's dispatches out.
    FewestOut,
    /// The one that a hash of it and the function puts first.
    Rendezvous,
}

/// A pass-through relay: one dispatch to a ready invoker, its end handed on. For comparison only: it keeps no rule.
struct Relay {
    pick: Pick,
    rng: fastrand::Rng,
    ready: BTreeSet<InvokerId>,
    picks: Vec<InvokerId>,
    out: BTreeMap<InvokerId, u32>,
    /// Where each went.
    inv: BTreeMap<InvId, InvokerId>,
}

fn relay(pick: Pick, seed: u64) -> Box<dyn Decides> {
    let (ready, picks, out, inv) = Default::default();
    Box::new(Relay {
        pick,
        rng: fastrand::Rng::with_seed(seed),
        ready,
        picks,
        out,
        inv,
    })
}

/// Puts up a relay that picks at random.
pub fn at_random(_: Tenths, _: Deployment, seed: u64, _: &mut dyn Acts) -> Box<dyn Decides> {
    relay(Pick::Random, seed)
}

/// Puts up a relay that picks whoever has the fewest of its dispatches.
pub fn fewest_out(_: Tenths, _: Deployment, seed: u64, _: &mut dyn Acts) -> Box<dyn Decides> {
    relay(Pick::FewestOut, seed)
}

/// Puts up a relay that picks each function's first invoker, whatever it has to do.
pub fn rendezvous(_: Tenths, _: Deployment, seed: u64, _: &mut dyn Acts) -> Box<dyn Decides> {
    relay(Pick::Rendezvous, seed)
}

impl Relay {
    fn one(&mut self, function: FnId) -> InvokerId {
        let first = self.rng.usize(..self.picks.len());
        let turned = self.picks[first..]
            .iter()
            .chain(&self.picks[..first])
            .copied();
        let out = |i: &InvokerId| self.out.get(i).copied().unwrap_or(0);
        let rank =
            |i: &InvokerId| fastrand::Rng::with_seed(function ^ (u64::from(*i) << 32)).u64(..);
        match self.pick {
            Pick::Random => self.picks[first],
            Pick::FewestOut => turned.min_by_key(out).unwrap_or(self.picks[first]),
            Pick::Rendezvous => turned.max_by_key(rank).unwrap_or(self.picks[first]),
        }
    }
}

impl Decides for Relay {
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
        let to = self.one(call.function);
        self.inv.insert(call.id, to);
        *self.out.entry(to).or_insert(0) += 1;
        acts.dispatch(call.id, to, 0);
    }

    fn left(&mut self, _: Tenths, _: InvId) {}

    fn answered(&mut self, _: Tenths, a: Answer, acts: &mut dyn Acts) {
        if let Some(out) = self.inv.remove(&a.inv).and_then(|to| self.out.get_mut(&to)) {
            *out -= 1;
        }
        match a.finished {
            true => {}
            false if a.outcome.never_ran() => acts.throttle(a.inv, 0),
            false => acts.error(a.inv),
        }
    }

    fn held(&mut self, _: Tenths, _: HoldAnswer, _: &mut dyn Acts) {}
    fn woken(&mut self, _: Tenths, _: u64, _: &mut dyn Acts) {}
}
