//! Arrival times of bytes between hosts.

use saltdrum::interface::{SECOND, Ticks};
use std::collections::BTreeMap;

/// The number of a host, in the order in which hosts were first named.
pub type HostId = u32;

/// Delay and jitter of one direction between two hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    pub delay: Ticks,
    /// Upper bound of an additional delay, drawn uniformly for each write.
    pub jitter: Ticks,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Arrives at this time.
    Arrives(Ticks),
    /// Held back by a cut; [`Links::arrival_after_heal`] gives the arrival time once it is healed.
    Held,
}

/// All links of a network. Each host has one uplink, which all its streams share first come, first served.
#[derive(Debug)]
pub struct Links {
    usual: Link,
    /// Bandwidth of each host's uplink; 0 means unlimited.
    bytes_per_second: f64,
    /// Slowdowns of all active faults: they may overlap, and the slowest applies.
    slowdowns: BTreeMap<(HostId, HostId), Vec<Link>>,
    /// Number of active cuts, which may overlap.
    cuts: BTreeMap<(HostId, HostId), u32>,
    /// When a host's uplink is free again, in fractional ticks: rounding would make each write cost at least one tick.
    uplink_free_at: BTreeMap<HostId, f64>,
    rng: fastrand::Rng,
}

impl Links {
    pub fn new(usual: Link, bytes_per_second: f64, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let (slowdowns, cuts, uplink_free_at) = Default::default();
        Self {
            usual,
            bytes_per_second,
            slowdowns,
            cuts,
            uplink_free_at,
            rng,
        }
    }

    fn draw_delay(&mut self, from: HostId, to: HostId) -> Ticks {
        // A host reaches itself without delay.
        if from == to {
            return 0;
        }
        let link = self
            .slowdowns
            .get(&(from, to))
            .into_iter()
            .flatten()
            .max_by_key(|slowdown| slowdown.delay + slowdown.jitter);
        let link = link.copied().unwrap_or(self.usual);
        link.delay
            + if link.jitter > 0 {
                self.rng.u64(0..=link.jitter)
            } else {
                0
            }
    }

    /// Sends a number of bytes.
    pub fn send(&mut self, now: Ticks, from: HostId, to: HostId, bytes: usize) -> Delivery {
        let mut leaves = now;
        if self.bytes_per_second > 0.0 && from != to {
            let uplink_free_at = self.uplink_free_at.entry(from).or_insert(0.0);
            *uplink_free_at = uplink_free_at.max(now as f64)
                + bytes as f64 / self.bytes_per_second * SECOND as f64;
            leaves = uplink_free_at.ceil() as Ticks;
        }
        if self.is_cut(from, to) {
            return Delivery::Held;
        }
        Delivery::Arrives(leaves + self.draw_delay(from, to))
    }

    /// Arrival time of data that a cut has held back until now.
    pub fn arrival_after_heal(&mut self, now: Ticks, from: HostId, to: HostId) -> Ticks {
        now + self.draw_delay(from, to)
    }

    pub fn is_cut(&self, from: HostId, to: HostId) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    /// Cuts one direction; the opposite direction is a separate link.
    pub fn cut(&mut self, from: HostId, to: HostId) {
        *self.cuts.entry((from, to)).or_insert(0) += 1;
    }

    /// Removes one cut; returns true if none is left.
    pub fn heal(&mut self, from: HostId, to: HostId) -> bool {
        match self.cuts.get_mut(&(from, to)) {
            Some(count) if *count > 1 => {
                *count -= 1;
                false
            }
            Some(_) => self.cuts.remove(&(from, to)).is_some(),
            None => false,
        }
    }

    /// Replaces the usual link by `link` until the same `link` is [removed](Self::remove_slowdown).
    pub fn add_slowdown(&mut self, from: HostId, to: HostId, link: Link) {
        self.slowdowns.entry((from, to)).or_default().push(link);
    }

    /// Removes one such slowdown.
    pub fn remove_slowdown(&mut self, from: HostId, to: HostId, link: Link) {
        if let Some(all) = self.slowdowns.get_mut(&(from, to))
            && let Some(index) = all.iter().position(|slowdown| *slowdown == link)
        {
            all.remove(index);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn streams_share_the_uplink_and_links_add_their_delay() {
        let mut links = Links::new(
            Link {
                delay: 20,
                jitter: 0,
            },
            1e6,
            1,
        );
        assert_eq!(
            links.send(100, 1, 2, 1_000),
            Delivery::Arrives(100 + 10 + 20)
        );
        assert_eq!(
            links.send(100, 1, 3, 1_000),
            Delivery::Arrives(100 + 20 + 20),
            "behind the first"
        );
        assert_eq!(
            links.send(100, 2, 3, 1_000),
            Delivery::Arrives(100 + 10 + 20),
            "the uplink of another host is free"
        );
        assert_eq!(links.send(100, 2, 2, 1 << 30), Delivery::Arrives(100));
        // Small writes are not rounded up: 1,000 writes of 50 bytes take the time of 50,000 bytes.
        let last = (0..1_000).map(|_| links.send(10_000, 4, 1, 50)).last();
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
        links.add_slowdown(1, 2, slow);
        links.add_slowdown(1, 2, slower);
        assert_eq!(links.send(200, 1, 2, 0), Delivery::Arrives(1_100));
        assert_eq!(
            links.send(200, 2, 1, 0),
            Delivery::Arrives(220),
            "one way only"
        );
        links.remove_slowdown(1, 2, slower);
        assert_eq!(
            links.send(300, 1, 2, 0),
            Delivery::Arrives(800),
            "the other slowdown is still active"
        );
        links.remove_slowdown(1, 2, slow);
        assert_eq!(links.send(300, 1, 2, 0), Delivery::Arrives(320));
    }

    #[test]
    fn cuts_affect_one_direction_and_may_overlap() {
        let mut links = Links::new(Link::default(), 0.0, 1);
        links.cut(1, 2);
        links.cut(1, 2);
        assert_eq!(
            (links.send(5, 1, 2, 9), links.send(5, 2, 1, 9)),
            (Delivery::Held, Delivery::Arrives(5))
        );
        assert!(!links.heal(1, 2) && links.is_cut(1, 2));
        assert!(links.heal(1, 2) && !links.is_cut(1, 2));
        assert!(!links.heal(1, 2), "nothing is left to heal");
    }

    #[test]
    fn jitter_stays_within_its_bound_and_depends_on_the_seed() {
        let draw = |seed| {
            let mut links = Links::new(
                Link {
                    delay: 10,
                    jitter: 30,
                },
                0.0,
                seed,
            );
            let one = |_| match links.send(0, 1, 2, 1) {
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
