//! The instances of a function at one invoker, as known to this controller.

use super::estimates::TimedValue;
use super::processes::ProcessNumber;
use super::unloads::CandidateKey;
use super::waits::Waiters;
use crate::interface::Ticks;

/// Time constant, in seconds, with which the reported concurrency of an instance decays.
const CONCURRENCY_TIME_CONSTANT_S: f64 = 5.0;

/// What is loaded in a process of the invoker. It is void when the process has ended.
#[derive(Clone, Copy, Default)]
pub(super) struct LoadState {
    /// Whether an instance was loaded, by the last response or load result.
    pub is_loaded: bool,
    /// When the load in progress began.
    pub loading_since: Option<Ticks>,
    /// Whether this controller ordered the load.
    pub is_own_load: bool,
}

/// The instances of a function at one invoker.
#[derive(Default)]
pub(super) struct Instance {
    load_state: LoadState,
    /// The process to which `load_state` belongs.
    process: ProcessNumber,
    /// When this controller last used an instance.
    pub last_used: Ticks,
    /// Whether a load order is in flight.
    pub has_load_order: bool,
    /// Steps to run when that load order ends.
    pub load_waiters: Waiters,
    /// The latest of the times at which the invoker left the function's pool and the function was last called; none
    /// while the invoker is in the pool.
    pub unused_since: Option<Ticks>,
    /// The key by which the instance is listed in [`UnloadCandidates`]; none: it is not listed.
    ///
    /// [`UnloadCandidates`]: super::unloads::UnloadCandidates
    pub candidate_key: Option<CandidateKey>,
    /// No load is ordered at this invoker before this time.
    pub load_cooldown_until: Ticks,
    /// Until this time the instance counts as missing, after an attempt ended in a miss.
    pub miss_expires_at: Ticks,
    /// Number of attempts in flight.
    pub in_flight: u32,
    /// Concurrency of the function at the invoker, as last reported in a response.
    pub reported_concurrency: TimedValue,
}

impl Instance {
    /// An instance of which nothing is known yet.
    pub(super) fn new(process: ProcessNumber) -> Self {
        Self {
            process,
            ..Self::default()
        }
    }

    /// What is loaded in the current process of the invoker, which is `process`.
    pub(super) fn load_state(&self, process: ProcessNumber) -> LoadState {
        if self.process == process {
            self.load_state
        } else {
            LoadState::default()
        }
    }

    /// What is loaded in the current process of the invoker, to be updated.
    pub(super) fn load_state_mut(&mut self, process: ProcessNumber) -> &mut LoadState {
        self.load_state = self.load_state(process);
        self.process = process;
        &mut self.load_state
    }

    /// Whether an instance is expected to be loaded now.
    pub(super) fn is_warm(&self, process: ProcessNumber, now: Ticks, keep_alive: Ticks) -> bool {
        self.load_state(process).is_loaded
            && (self.in_flight > 0 || now < self.last_used + keep_alive)
    }

    /// The key of the instance among the candidates to unload, if it may be unloaded. After the end of its process the
    /// key is that of the former process.
    pub(super) fn unload_key(&self) -> Option<CandidateKey> {
        let is_idle = self.in_flight == 0 && !self.has_load_order;
        let unused_since = self.unused_since?;
        (self.load_state.is_own_load && is_idle).then_some(CandidateKey {
            process: self.process,
            unused_since,
        })
    }

    /// Expected number of invocations that run or wait here: this controller's own, or those of all controllers as last
    /// reported, whichever is higher.
    pub(super) fn concurrency(&self, now: Ticks) -> f64 {
        f64::from(self.in_flight).max(
            self.reported_concurrency
                .decayed(now, CONCURRENCY_TIME_CONSTANT_S),
        )
    }
}
