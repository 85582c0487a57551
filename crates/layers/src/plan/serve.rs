//! Admission of chunk requests from peers, so that uploads never take cores and bandwidth from invocations.

use saltdrum::interface::{MILLISECOND, SECOND, Ticks};

/// Concurrent transfers to peers on an invoker at full capacity.
const MAX_TRANSFERS: f64 = 6.0;
/// Requests that wait for a slot or for the local fetch. The queue is long because a refusal makes the peer stop all its
/// requests to this invoker for a while, so queueing is cheaper for both.
const MAX_QUEUED: usize = 256;
/// Retry-after sent to a peer when the queue is full.
const RETRY_AFTER: Ticks = 150 * MILLISECOND;

/// How to respond to a peer's chunk request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadDecision {
    /// The chunk is cached; the request was queued.
    Queued,
    /// The chunk is not cached but this invoker is one of its homes: fetch it while the request is queued.
    FetchAndServe,
    /// The queue is full; the peer may retry after this time.
    RetryLater(Ticks),
    /// The chunk is not cached and this invoker is not its home, because the peer's list differs or this invoker drains.
    NotFound,
}

/// Bounds the transfers in progress, the queued requests, and the bytes sent per second.
#[derive(Clone, Debug)]
pub struct UploadScheduler {
    transfers: usize,
    queued: usize,
    bytes_per_second: f64,
    byte_budget: f64,
    refilled_at: Ticks,
}

impl UploadScheduler {
    /// Starts with a byte budget of one second.
    pub fn new(now: Ticks, bytes_per_second: f64) -> Self {
        Self {
            transfers: 0,
            queued: 0,
            bytes_per_second,
            byte_budget: bytes_per_second,
            refilled_at: now,
        }
    }

    /// Decides on a peer's request for a chunk that is cached here or not, with this invoker its home or not.
    pub fn admit(&mut self, is_cached: bool, is_home: bool, is_draining: bool) -> UploadDecision {
        if !is_cached && (is_draining || !is_home) {
            return UploadDecision::NotFound;
        }
        if self.queued >= MAX_QUEUED {
            return UploadDecision::RetryLater(RETRY_AFTER);
        }
        self.queued += 1;
        if is_cached {
            UploadDecision::Queued
        } else {
            UploadDecision::FetchAndServe
        }
    }

    /// Starts the next queued transfer if the bounds allow it. `capacity_share` is this invoker's share of full capacity,
    /// 0 to 1; `utilization` is the share of its cores that invocations use.
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
        // Always at least one slot: a fully busy fleet must still be able to fetch models.
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

    /// When bytes may be sent again, if the byte budget is exhausted.
    pub fn reopens_at(&self) -> Option<Ticks> {
        (self.byte_budget < 0.0).then(|| {
            self.refilled_at
                + (-self.byte_budget / self.bytes_per_second * SECOND as f64) as Ticks
                + 1
        })
    }

    /// Frees the slot of a transfer that ended, whether it succeeded or not.
    pub fn transfer_ended(&mut self) {
        debug_assert!(self.transfers > 0, "more transfers ended than were started");
        self.transfers = self.transfers.saturating_sub(1);
    }

    /// Removes a queued request whose peer disconnected or whose chunk could not be fetched.
    pub fn leave_queue(&mut self) {
        debug_assert!(self.queued > 0, "no request is queued");
        self.queued = self.queued.saturating_sub(1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cold_or_busy_invoker_serves_less_and_draining_one_does_not_fetch() {
        let started = |capacity_share, utilization| {
            let mut uploads = UploadScheduler::new(0, 1e12);
            (0..20).for_each(|_| {
                assert_eq!(uploads.admit(true, false, false), UploadDecision::Queued)
            });
            (0..20)
                .filter(|_| uploads.try_start(0, 1, capacity_share, utilization))
                .count()
        };
        assert_eq!(
            (
                started(1.0, 0.2),
                started(1.0, 1.0),
                started(0.2, 0.0),
                started(0.0, 2.0)
            ),
            (6, 3, 1, 1)
        );
        let mut uploads = UploadScheduler::new(0, 1e12);
        assert_eq!(uploads.admit(false, true, true), UploadDecision::NotFound);
        assert_eq!(
            uploads.admit(true, true, true),
            UploadDecision::Queued,
            "cached chunks are served while draining"
        );
        assert_eq!(
            uploads.admit(false, true, false),
            UploadDecision::FetchAndServe
        );
        assert_eq!(uploads.admit(false, false, false), UploadDecision::NotFound);
    }

    #[test]
    fn queue_is_bounded() {
        let mut uploads = UploadScheduler::new(0, 1e12);
        let refused = (0..MAX_QUEUED + 9)
            .filter(|_| uploads.admit(true, true, false) == UploadDecision::RetryLater(RETRY_AFTER))
            .count();
        assert_eq!(refused, 9);
        uploads.leave_queue();
        assert_eq!(uploads.admit(true, true, false), UploadDecision::Queued);
    }

    #[test]
    fn upload_rate_is_bounded() {
        let (mut uploads, mut sent) = (UploadScheduler::new(0, 10e6), 0u64);
        for now in (0..100_000).step_by(20) {
            assert_eq!(uploads.admit(true, true, false), UploadDecision::Queued);
            if uploads.try_start(now, 1 << 20, 1.0, 0.0) {
                uploads.transfer_ended();
                sent += 1 << 20;
            } else {
                uploads.leave_queue();
            }
        }
        assert!(
            (90e6..122e6).contains(&(sent as f64)),
            "10 s at 10 MB/s plus a burst of one second: {sent}"
        );
        assert!(uploads.reopens_at().is_none_or(|at| at < 110_000));
    }
}
