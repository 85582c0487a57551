//! When bytes that one host writes reach another.

use saltdrum::interface::{SECOND, Ticks};
use std::collections::BTreeMap;

/// A host by its number, in the order in which hosts were first named.
pub type HostId = u32;

/// What lies between two hosts, one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    pub delay: Ticks,
    /// Up to so much is added, evenly drawn for each write.
    pub jitter: Ticks,
}

/// What a write meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Arrives(Ticks),
    /// Until the cut is healed; [`Lines::after_heal`] tells when it arrives then.
    Held,
}

/// All lines of a network. Each host has one way out, which all its streams share in turn.
#[derive(Debug)]
pub struct Links {
    usual: Link,
    /// Of each host's way out; 0: no bound.
    bytes_per_second: f64,
    /// By all troubles that are on: they may overlap, and the slowest counts.
    slowed: BTreeMap<(HostId, HostId), Vec<Link>>,
    /// How many troubles cut it: cuts may overlap.
    cuts: BTreeMap<(HostId, HostId), u32>,
    /// When a host's way out is free again, in parts of a tenth: rounded, each write would cost it a whole one.
    free: BTreeMap<HostId, f64>,
    rng: fastrand::Rng,
}

impl Links {
    pub fn new(usual: Link, bytes_per_second: f64, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let (slowed, cuts, free) = Default::default();
        Self {
            usual,
            bytes_per_second,
            slowed,
            cuts,
            free,
            rng,
        }
    }

    fn crossing(&mut self, from: HostId, to: HostId) -> Ticks {
        // A host reaches itself at once.
        if from == to {
            return 0;
        }
        let line = self
            .slowed
            .get(&(from, to))
            .into_iter()
            .flatten()
            .max_by_key(|l| l.delay + l.jitter);
        let line = line.copied().unwrap_or(self.usual);
        line.delay
            + if line.jitter > 0 {
                self.rng.u64(0..=line.jitter)
            } else {
                0
            }
    }

    /// A write of so many bytes.
    pub fn send(&mut self, now: Ticks, from: HostId, to: HostId, bytes: usize) -> Delivery {
        let mut leaves = now;
        if self.bytes_per_second > 0.0 && from != to {
            let free = self.free.entry(from).or_insert(0.0);
            *free = free.max(now as f64) + bytes as f64 / self.bytes_per_second * SECOND as f64;
            leaves = free.ceil() as Ticks;
        }
        if self.is_cut(from, to) {
            return Delivery::Held;
        }
        Delivery::Arrives(leaves + self.crossing(from, to))
    }

    /// When something arrives that a cut has held until now.
    pub fn arrival_after_heal(&mut self, now: Ticks, from: HostId, to: HostId) -> Ticks {
        now + self.crossing(from, to)
    }

    pub fn is_cut(&self, from: HostId, to: HostId) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    /// One way only; the other way is a line of its own.
    pub fn cut(&mut self, from: HostId, to: HostId) {
        *self.cuts.entry((from, to)).or_insert(0) += 1;
    }

    /// Takes one cut back; true when none is left.
    pub fn heal(&mut self, from: HostId, to: HostId) -> bool {
        match self.cuts.get_mut(&(from, to)) {
            Some(n) if *n > 1 => {
                *n -= 1;
                false
            }
            Some(_) => self.cuts.remove(&(from, to)).is_some(),
            None => false,
        }
    }

    /// Another line in place of the usual one, until it is [`quickened`](Self::quicken) by the same.
    pub fn add_slowdown(&mut self, from: HostId, to: HostId, line: Link) {
        self.slowed.entry((from, to)).or_default().push(line);
    }

    /// Takes one such line back.
    pub fn remove_slowdown(&mut self, from: HostId, to: HostId, line: Link) {
        if let Some(all) = self.slowed.get_mut(&(from, to))
            && let Some(n) = all.iter().position(|l| *l == line)
        {
            all.remove(n);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_way_out_is_shared_in_turn_and_lines_add_their_delay() {
        let mut l = Links::new(
            Link {
                delay: 20,
                jitter: 0,
            },
            1e6,
            1,
        );
        assert_eq!(l.send(100, 1, 2, 1_000), Delivery::Arrives(100 + 10 + 20));
        assert_eq!(
            l.send(100, 1, 3, 1_000),
            Delivery::Arrives(100 + 20 + 20),
            "behind the first"
        );
        assert_eq!(
            l.send(100, 2, 3, 1_000),
            Delivery::Arrives(100 + 10 + 20),
            "another host's way is free"
        );
        assert_eq!(l.send(100, 2, 2, 1 << 30), Delivery::Arrives(100));
        // Small writes share what they don't use: 1,000 of 50 bytes take the time of 50,000.
        let last = (0..1_000).map(|_| l.send(10_000, 4, 1, 50)).last();
        assert_eq!(last, Some(Delivery::Arrives(10_000 + 500 + 20)));
        let (slow, slower) = (
            Link {
                delay: 500,
                jitter: 0,
            },
            Link {
                delay: 900,
                jitter: 0,
            },
        );
        l.add_slowdown(1, 2, slow);
        l.add_slowdown(1, 2, slower);
        assert_eq!(l.send(200, 1, 2, 0), Delivery::Arrives(1_100));
        assert_eq!(l.send(200, 2, 1, 0), Delivery::Arrives(220), "one way only");
        l.remove_slowdown(1, 2, slower);
        assert_eq!(
            l.send(300, 1, 2, 0),
            Delivery::Arrives(800),
            "the other trouble is still on"
        );
        l.remove_slowdown(1, 2, slow);
        assert_eq!(l.send(300, 1, 2, 0), Delivery::Arrives(320));
    }

    #[test]
    fn cuts_go_one_way_and_may_overlap() {
        let mut l = Links::new(Link::default(), 0.0, 1);
        l.cut(1, 2);
        l.cut(1, 2);
        assert_eq!(
            (l.send(5, 1, 2, 9), l.send(5, 2, 1, 9)),
            (Delivery::Held, Delivery::Arrives(5))
        );
        assert!(!l.heal(1, 2) && l.is_cut(1, 2));
        assert!(l.heal(1, 2) && !l.is_cut(1, 2));
        assert!(!l.heal(1, 2), "nothing is left to heal");
    }

    #[test]
    fn jitter_stays_within_its_bound_and_is_the_seeds() {
        let draw = |seed| {
            let mut l = Links::new(
                Link {
                    delay: 10,
                    jitter: 30,
                },
                0.0,
                seed,
            );
            let one = |_| match l.send(0, 1, 2, 1) {
                Delivery::Arrives(at) => at,
                Delivery::Held => panic!("nothing is cut"),
            };
            (0..200).map(one).collect::<Vec<_>>()
        };
        let all = draw(7);
        assert!(all.iter().all(|at| (10..=40).contains(at)));
        assert!(all.contains(&10) && all.contains(&40));
        assert_eq!((draw(7) == all, draw(8) == all), (true, false));
    }
}
