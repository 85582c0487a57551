//! What to do with a peer's request for a chunk, so that serving others never costs invocations their cores and network.

use saltdrum::interface::{MILLISECOND, SECOND, Ticks};

/// Transfers to peers at a time, on an invoker that has risen in full.
const SLOTS: f64 = 6.0;
/// Requests that wait here, for a slot or for our own fetch. A refusal would close us to that peer for all its chunks:
/// waiting in line is cheaper for both.
const LINE_MOST: usize = 256;
/// A peer that finds the line full comes back after about this.
const COME_BACK: Ticks = 150 * MILLISECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is here: it takes its place in the line.
    InLine,
    /// Not here; we are one of its homes: fetch it, the peer waits for it on this request.
    FetchAndServe,
    /// Not now.
    Later(Ticks),
    /// Not here, and not ours to fetch: the peer's list is not ours.
    Absent,
}

/// Transfers under way, requests in line, and bytes sent lately.
#[derive(Clone, Debug)]
pub struct Serving {
    out: usize,
    line: usize,
    bytes_per_second: f64,
    left: f64,
    at: Ticks,
}

impl Serving {
    pub fn new(now: Ticks, bytes_per_second: f64) -> Self {
        Self {
            out: 0,
            line: 0,
            bytes_per_second,
            left: bytes_per_second,
            at: now,
        }
    }

    /// A peer asks for a chunk that we hold, or are home to, or neither.
    pub fn asked(&mut self, held: bool, home: bool, draining: bool) -> Verdict {
        if !held && (draining || !home) {
            return Verdict::Absent;
        }
        if self.line >= LINE_MOST {
            return Verdict::Later(COME_BACK);
        }
        self.line += 1;
        if held {
            Verdict::InLine
        } else {
            Verdict::FetchAndServe
        }
    }

    /// Whether the next in line, whose chunk is here, may be sent; it is then under way. `capacity_share`: our own part of full
    /// capacity, 0 to 1. `busy`: share of our cores that invocations use.
    pub fn may_send(&mut self, now: Ticks, bytes: u64, capacity_share: f64, busy: f64) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / SECOND as f64;
        self.left = (self.left + passed * self.bytes_per_second).min(self.bytes_per_second);
        self.at = self.at.max(now);
        // One slot always: a fleet that is busy all over must still get its models somewhere.
        let slots = (SLOTS * capacity_share.clamp(0.0, 1.0) * (1.5 - busy).clamp(0.2, 1.0)).max(1.0)
            as usize;
        if self.out >= slots || self.left < 0.0 {
            return false;
        }
        self.left -= bytes as f64;
        self.line = self.line.saturating_sub(1);
        self.out += 1;
        true
    }

    /// When bytes may be sent again, if it is they that are used up.
    pub fn opens(&self) -> Option<Ticks> {
        (self.left < 0.0)
            .then(|| self.at + (-self.left / self.bytes_per_second * SECOND as f64) as Ticks + 1)
    }

    /// A transfer has ended, however.
    pub fn ended(&mut self) {
        debug_assert!(self.out > 0, "more ends than transfers");
        self.out = self.out.saturating_sub(1);
    }

    /// One in line hung up, or its chunk could not be had.
    pub fn left_line(&mut self) {
        debug_assert!(self.line > 0, "nobody is in line");
        self.line = self.line.saturating_sub(1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cold_or_busy_one_serves_less_and_a_draining_one_fetches_nothing() {
        let taken = |capacity_share, busy| {
            let mut s = Serving::new(0, 1e12);
            (0..20).for_each(|_| assert_eq!(s.asked(true, false, false), Verdict::InLine));
            (0..20)
                .filter(|_| s.may_send(0, 1, capacity_share, busy))
                .count()
        };
        assert_eq!(
            (
                taken(1.0, 0.2),
                taken(1.0, 1.0),
                taken(0.2, 0.0),
                taken(0.0, 2.0)
            ),
            (6, 3, 1, 1)
        );
        let mut s = Serving::new(0, 1e12);
        assert_eq!(s.asked(false, true, true), Verdict::Absent);
        assert_eq!(
            s.asked(true, true, true),
            Verdict::InLine,
            "what it holds it may still give"
        );
        assert_eq!(s.asked(false, true, false), Verdict::FetchAndServe);
        assert_eq!(s.asked(false, false, false), Verdict::Absent);
    }

    #[test]
    fn the_line_is_bounded() {
        let mut s = Serving::new(0, 1e12);
        let later = (0..LINE_MOST + 9)
            .filter(|_| s.asked(true, true, false) == Verdict::Later(COME_BACK))
            .count();
        assert_eq!(later, 9);
        s.left_line();
        assert_eq!(s.asked(true, true, false), Verdict::InLine);
    }

    #[test]
    fn bytes_a_second_are_bounded_over_any_long_time() {
        let (mut s, mut sent) = (Serving::new(0, 10e6), 0u64);
        for now in (0..100_000).step_by(20) {
            assert_eq!(s.asked(true, true, false), Verdict::InLine);
            if s.may_send(now, 1 << 20, 1.0, 0.0) {
                s.ended();
                sent += 1 << 20;
            } else {
                s.left_line();
            }
        }
        assert!(
            (90e6..122e6).contains(&(sent as f64)),
            "10 s at 10 MB/s and a burst of one second: {sent}"
        );
        assert!(s.opens().is_none_or(|at| at < 110_000));
    }
}
