//! How much one invoker has under way at one source. Each learns alone from refusals and slowness; no counter is shared.

use saltdrum::interface::{MILLISECOND, Ticks};

/// A second refusal within this time tells of the same crowd.
const SAME_CROWD: Ticks = 100 * MILLISECOND;
/// An answer that takes so many times the quickest seen tells of a crowd before it refuses.
const SLOW: f64 = 4.0;

/// Growth near the brink, in parts of that below it.
const AT_BRINK: f64 = 0.03;

/// Grows by one for each window that went well, halves at a refusal, shrinks a little at slowness.
#[derive(Clone, Debug)]
pub struct Limit {
    window: f64,
    least: f64,
    most: f64,
    /// The window at the last refusal: from there on it is felt for slowly.
    brink: f64,
    out: usize,
    shrunk: Option<Ticks>,
    closed_until: Ticks,
    /// Time a KiB, the quickest seen; it fades up, so that one lucky answer does not judge for ever.
    quickest: Option<f64>,
}

impl Limit {
    pub fn new(first: f64, most: f64) -> Self {
        Self {
            window: first,
            least: 1.0,
            most,
            brink: f64::INFINITY,
            out: 0,
            shrunk: None,
            closed_until: 0,
            quickest: None,
        }
    }

    pub fn may_ask(&self, now: Ticks) -> bool {
        now >= self.closed_until && (self.out as f64) < self.window.floor().max(self.least)
    }

    /// When it opens again, if a refusal closed it.
    pub fn opens(&self, now: Ticks) -> Option<Ticks> {
        (now < self.closed_until).then_some(self.closed_until)
    }

    pub fn asked(&mut self) {
        self.out += 1;
    }

    /// What was asked has ended in some way that says nothing of a crowd.
    pub fn ended(&mut self) {
        debug_assert!(self.out > 0, "more ends than asks");
        self.out = self.out.saturating_sub(1);
    }

    pub fn went_well(&mut self, now: Ticks, took: Ticks, bytes: u64) {
        self.ended();
        let pace = took as f64 / (bytes as f64 / 1_024.0).max(1.0);
        let quickest = self.quickest.map_or(pace, |q| (q * 1.02).min(pace));
        self.quickest = Some(quickest);
        if pace > SLOW * quickest {
            self.shrink(now, 0.9);
        } else {
            let step = if self.window + 1.0 >= self.brink {
                AT_BRINK
            } else {
                1.0
            };
            self.window = (self.window + step / self.window).min(self.most);
        }
    }

    pub fn refused(&mut self, now: Ticks, come_back: Ticks) {
        self.ended();
        self.closed_until = self.closed_until.max(now + come_back);
        if self.shrunk.is_none_or(|at| now >= at + SAME_CROWD) {
            self.brink = self.window;
            self.shrink(now, 0.5);
        }
    }

    fn shrink(&mut self, now: Ticks, by: f64) {
        if self.shrunk.is_none_or(|at| now >= at + SAME_CROWD) {
            self.window = (self.window * by).max(self.least);
            self.shrunk = Some(now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A source that serves so many at a time and refuses the rest, asked by several that do not know of each other.
    #[test]
    fn several_share_a_source_about_evenly_and_waste_little() {
        let (capacity, mut rng) = (12usize, fastrand::Rng::with_seed(1));
        let mut limits = vec![Limit::new(4.0, 64.0); 6];
        let mut under_way: Vec<(Ticks, usize)> = Vec::new();
        let (mut served, mut refused) = (vec![0u32; 6], 0u32);
        for now in (0..600_000).step_by(10) {
            under_way.retain(|(until, who)| {
                let over = *until <= now;
                if over {
                    limits[*who].went_well(now, 500, 1 << 20);
                    served[*who] += 1;
                }
                !over
            });
            for turn in 0..limits.len() {
                // Nobody is always the first to see a free place.
                let who = (turn + rng.usize(..6)) % limits.len();
                while limits[who].may_ask(now) {
                    limits[who].asked();
                    if under_way.len() < capacity {
                        under_way.push((now + rng.u64(400..600), who));
                    } else {
                        refused += 1;
                        limits[who].refused(now, rng.u64(200..400));
                    }
                }
            }
        }
        let all: u32 = served.iter().sum();
        let most = 600_000 / 500 * capacity as u32;
        assert!(all * 10 > most * 7, "{all} of {most} served");
        assert!(refused * 3 < all, "{refused} refused, {all} served");
        assert!(
            served.iter().min().unwrap() * 3 > *served.iter().max().unwrap(),
            "{served:?}"
        );
    }

    #[test]
    fn one_crowd_halves_once_and_come_back_is_honoured() {
        let mut l = Limit::new(8.0, 64.0);
        (0..8).for_each(|_| l.asked());
        (0..8).for_each(|_| l.refused(1_000, 700));
        assert!(!l.may_ask(1_699) && l.opens(1_699) == Some(1_700));
        (0..4).for_each(|_| {
            assert!(l.may_ask(1_700));
            l.asked();
        });
        assert!(!l.may_ask(1_700), "half of eight");
        let mut l = Limit::new(8.0, 64.0);
        (0..8).for_each(|_| l.asked());
        l.refused(1_000, 0);
        (0..3).for_each(|_| l.went_well(1_000, 100, 1 << 20));
        assert!(!l.may_ask(1_000), "half of eight, and four are still out");
        l.went_well(1_000, 100, 1 << 20);
        assert!(l.may_ask(1_000));
    }
}
