//! When a lost link is tried again. No I/O, no clock: times come in, waits go out.
//!
//! A fleet that restarts is dialled by every controller at once, and none knows of the others. So every wait is drawn
//! between nothing and a bound that doubles (full jitter), a link that broke soon after it came up counts as failed,
//! and one controller starts only so many dials a second. First dials, of which there is one for each invoker and
//! life, and repeated ones have a budget each: a controller that starts must know its fleet in a second or so, and what
//! is dialled in vain must not keep it from the rest.

use saltdrum::interface::{MILLISECOND, SECOND, Ticks};

/// The first dial of an invoker newly listed: spread a little, as all controllers hear of it at once.
const FIRST_MOST: Ticks = 20 * MILLISECOND;
const BASE: Ticks = 100 * MILLISECOND;
const MOST: Ticks = 5 * SECOND;
/// A link that stood so long was well.
const WELL_AFTER: Ticks = 3 * SECOND;
const DIALS_BURST: f64 = 128.0;
/// Each costs a controller under 0.1 ms: a tenth of its time at the most.
const FIRST_DIALS_PER_SECOND: f64 = 1_000.0;
/// Repeated ones: at least so many, and enough to try every link again within about the longest wait.
const REDIALS_PER_SECOND: f64 = 64.0;
const REDIALS_PER_LINK_AND_SECOND: f64 = 0.25;

/// One link's history of failures.
#[derive(Clone, Debug, Default)]
pub struct ReconnectBackoff {
    failures: u32,
    up_since: Option<Ticks>,
}

impl ReconnectBackoff {
    /// How long to wait before the next dial.
    pub fn next_delay(&self, rng: &mut fastrand::Rng) -> Ticks {
        let most = match self.failures {
            0 => FIRST_MOST,
            n => MOST.min(BASE << (n - 1).min(16)),
        };
        rng.u64(0..=most)
    }

    /// Whether the last try, or the link it made, failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    pub fn connected(&mut self, now: Ticks) {
        self.up_since = Some(now);
    }

    /// The dial failed, or the link it made is gone.
    pub fn disconnected(&mut self, now: Ticks) {
        let well = self
            .up_since
            .take()
            .is_some_and(|since| now >= since + WELL_AFTER);
        self.failures = if well {
            1
        } else {
            self.failures.saturating_add(1)
        };
    }

    /// The invoker is said to have started anew: what failed before says nothing.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// ConnectBudget that may begin: a burst, and so many a second.
#[derive(Clone, Debug)]
struct Budget {
    left: f64,
    at: Ticks,
}

impl Budget {
    fn take(&mut self, now: Ticks, per_second: f64) -> Ticks {
        let grown = now.saturating_sub(self.at) as f64 * per_second / SECOND as f64;
        self.left = (self.left + grown).min(DIALS_BURST) - 1.0;
        self.at = self.at.max(now);
        (-self.left / per_second * SECOND as f64).max(0.0) as Ticks
    }
}

/// A controller's dials, over all its links.
#[derive(Clone, Debug)]
pub struct ConnectBudget {
    first: Budget,
    again: Budget,
}

impl ConnectBudget {
    pub fn new(now: Ticks) -> Self {
        let full = Budget {
            left: DIALS_BURST,
            at: now,
        };
        Self {
            first: full.clone(),
            again: full,
        }
    }

    /// Takes the dial of a link that has not failed; gives how long to wait with it.
    pub fn take_first(&mut self, now: Ticks) -> Ticks {
        self.first.take(now, FIRST_DIALS_PER_SECOND)
    }

    /// Takes a repeated dial, of a controller with so many links; gives how long to wait with it.
    pub fn take_retry(&mut self, now: Ticks, links: usize) -> Ticks {
        self.again.take(
            now,
            REDIALS_PER_SECOND.max(REDIALS_PER_LINK_AND_SECOND * links as f64),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// 48 controllers lose the same 84 invokers at one moment; nobody answers for 10 s.
    #[test]
    fn a_fleet_restart_is_no_storm() {
        let mut dialled = vec![0u32; 100];
        for controller in 0..48u64 {
            let mut rng = fastrand::Rng::with_seed(controller);
            let mut dials = ConnectBudget::new(0);
            let mut due: Vec<(Ticks, ReconnectBackoff)> =
                vec![(0, ReconnectBackoff::default()); 84];
            for (at, link) in &mut due {
                link.disconnected(0);
                *at = link.next_delay(&mut rng);
            }
            loop {
                due.sort_by_key(|d| d.0);
                let at = due[0].0;
                if at >= 10 * SECOND {
                    break;
                }
                let held = dials.take_retry(at, 84);
                due[0].1.disconnected(at + held);
                let wait = due[0].1.next_delay(&mut rng);
                if let Some(n) = dialled.get_mut(((at + held) / (100 * MILLISECOND)) as usize) {
                    *n += 1;
                }
                due[0].0 = at + held + wait;
            }
        }
        let (first, late) = (dialled[0], dialled[50..].iter().max().copied().unwrap_or(0));
        assert!(first <= 48 * 84 * 2, "{first} dials in the first 100 ms");
        assert!(
            late * 8 < 48 * 84,
            "{late} dials in a later 100 ms: controllers fell into step"
        );
        assert!(
            dialled[50..].iter().all(|n| *n > 0),
            "it is still tried: {dialled:?}"
        );
    }

    #[test]
    fn a_link_that_breaks_at_once_counts_as_failed_and_a_long_one_does_not() {
        let mut link = ReconnectBackoff::default();
        for n in 1..6 {
            link.connected(n);
            link.disconnected(n + 10);
            assert_eq!(link.failures, n as u32);
        }
        link.connected(100);
        link.disconnected(100 + WELL_AFTER);
        assert_eq!(link.failures, 1);
        link.reset();
        assert!(
            !link.is_failing() && link.next_delay(&mut fastrand::Rng::with_seed(1)) <= FIRST_MOST
        );
    }

    #[test]
    fn dials_beyond_the_burst_wait_their_turn() {
        let mut dials = ConnectBudget::new(0);
        let waits: Vec<Ticks> = (0..200).map(|_| dials.take_retry(0, 84)).collect();
        assert!(waits[..128].iter().all(|w| *w == 0));
        assert!(waits[128..].windows(2).all(|w| w[0] < w[1]));
        assert_eq!(dials.take_retry(60 * SECOND, 84), 0);
    }

    /// A controller that starts among 1,008 invokers of which 900 don't answer.
    #[test]
    fn a_large_fleet_is_dialled_within_a_second_and_dead_links_keep_nobody_from_it() {
        let mut dials = ConnectBudget::new(0);
        let vain = (0..900).map(|_| dials.take_retry(0, 1_008)).max();
        assert!(vain > Some(SECOND), "{vain:?}");
        let last = (0..1_008).map(|_| dials.take_first(0)).max().unwrap();
        assert!((SECOND / 2..SECOND).contains(&last), "{last}");
        let round = (0..1_008)
            .map(|_| dials.take_retry(20 * SECOND, 1_008))
            .max()
            .unwrap();
        assert!(round <= MOST, "{round}");
    }
}
