//! What to do with a peer's request for a chunk, so that serving others never costs invocations their cores and network.

use saltdrum::interface::{MILLISECOND, SECOND, Ticks};

/// Transfers to peers at a time, on an invoker that has risen in full.
const MAX_TRANSFERS: f64 = 6.0;
/// Requests that wait here, for a slot or for our own fetch. A refusal would close us to that peer for all its chunks:
/// waiting in line is cheaper for both.
const MAX_QUEUED: usize = 256;
/// A peer that finds the line full comes back after about this.
const RETRY_AFTER: Ticks = 150 * MILLISECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadDecision {
    /// It is here: it takes its place in the line.
    Queued,
    /// Not here; we are one of its homes: fetch it, the peer waits for it on this request.
    FetchAndServe,
    /// Not now.
    RetryLater(Ticks),
    /// Not here, and not ours to fetch: the peer's list is not ours.
    NotFound,
}

/// Transfers under way, requests in line, and bytes sent lately.
#[derive(Clone, Debug)]
pub struct UploadScheduler {
    transfers: usize,
    queued: usize,
    bytes_per_second: f64,
    byte_budget: f64,
    refilled_at: Ticks,
}

impl UploadScheduler {
    pub fn new(now: Ticks, bytes_per_second: f64) -> Self {
        Self {
            transfers: 0,
            queued: 0,
            bytes_per_second,
            byte_budget: bytes_per_second,
            refilled_at: now,
        }
    }

    /// A peer asks for a chunk that we hold, or are home to, or neither.
    pub fn admit(&mut self, is_held: bool, is_home: bool, is_draining: bool) -> UploadDecision {
        if !is_held && (is_draining || !is_home) {
            return UploadDecision::NotFound;
        }
        if self.queued >= MAX_QUEUED {
            return UploadDecision::RetryLater(RETRY_AFTER);
        }
        self.queued += 1;
        if is_held {
            UploadDecision::Queued
        } else {
            UploadDecision::FetchAndServe
        }
    }

    /// Whether the next in line, whose chunk is here, may be sent; it is then under way. `capacity_share`: our own part of full
    /// capacity, 0 to 1. `busy`: share of our cores that invocations use.
    pub fn try_start(
        &mut self,
        now: Ticks,
        bytes: u64,
        capacity_share: f64,
        utilization: f64,
    ) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.byte_budget =
            (self.byte_budget + elapsed_s * self.bytes_per_second).min(self.bytes_per_second);
        self.refilled_at = self.refilled_at.max(now);
        // One slot always: a fleet that is busy all over must still get its models somewhere.
        let slots =
            (MAX_TRANSFERS * capacity_share.clamp(0.0, 1.0) * (1.5 - utilization).clamp(0.2, 1.0))
                .max(1.0) as usize;
        if self.transfers >= slots || self.byte_budget < 0.0 {
            return false;
        }
        self.byte_budget -= bytes as f64;
        self.queued = self.queued.saturating_sub(1);
        self.transfers += 1;
        true
    }

    /// When bytes may be sent again, if it is they that are used up.
    pub fn reopens_at(&self) -> Option<Ticks> {
        (self.byte_budget < 0.0).then(|| {
            self.refilled_at
                + (-self.byte_budget / self.bytes_per_second * SECOND as f64) as Ticks
                + 1
        })
    }

    /// A transfer has ended, however.
    pub fn transfer_ended(&mut self) {
        debug_assert!(self.transfers > 0, "more ends than transfers");
        self.transfers = self.transfers.saturating_sub(1);
    }

    /// One in line hung up, or its chunk could not be had.
    pub fn leave_queue(&mut self) {
        debug_assert!(self.queued > 0, "nobody is in line");
        self.queued = self.queued.saturating_sub(1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cold_or_busy_one_serves_less_and_a_draining_one_fetches_nothing() {
        let taken = |capacity_share, utilization| {
            let mut s = UploadScheduler::new(0, 1e12);
            (0..20).for_each(|_| assert_eq!(s.admit(true, false, false), UploadDecision::Queued));
            (0..20)
                .filter(|_| s.try_start(0, 1, capacity_share, utilization))
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
        let mut s = UploadScheduler::new(0, 1e12);
        assert_eq!(s.admit(false, true, true), UploadDecision::NotFound);
        assert_eq!(
            s.admit(true, true, true),
            UploadDecision::Queued,
            "what it holds it may still give"
        );
        assert_eq!(s.admit(false, true, false), UploadDecision::FetchAndServe);
        assert_eq!(s.admit(false, false, false), UploadDecision::NotFound);
    }

    #[test]
    fn the_line_is_bounded() {
        let mut s = UploadScheduler::new(0, 1e12);
        let later = (0..MAX_QUEUED + 9)
            .filter(|_| s.admit(true, true, false) == UploadDecision::RetryLater(RETRY_AFTER))
            .count();
        assert_eq!(later, 9);
        s.leave_queue();
        assert_eq!(s.admit(true, true, false), UploadDecision::Queued);
    }

    #[test]
    fn bytes_a_second_are_bounded_over_any_long_time() {
        let (mut s, mut sent) = (UploadScheduler::new(0, 10e6), 0u64);
        for now in (0..100_000).step_by(20) {
            assert_eq!(s.admit(true, true, false), UploadDecision::Queued);
            if s.try_start(now, 1 << 20, 1.0, 0.0) {
                s.transfer_ended();
                sent += 1 << 20;
            } else {
                s.leave_queue();
            }
        }
        assert!(
            (90e6..122e6).contains(&(sent as f64)),
            "10 s at 10 MB/s and a burst of one second: {sent}"
        );
        assert!(s.reopens_at().is_none_or(|at| at < 110_000));
    }
}
