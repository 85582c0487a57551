//! The model of an invoker without I/O: the caller passes in the time, and outcomes are reported to a [`MachineHost`].
//!
//! Cores are shared evenly among running jobs and starting copies. A copy takes memory and runs a limited number of
//! invocations at a time (its lanes); a load fetches the model and then starts the copy. A cold machine has only part of its
//! capacity.

use saltdrum::interface::{FunctionId, MILLISECOND, Ticks};
use saltdrum_protocol::invoker::{Ended, Found, HoldEnded};
use std::collections::{BTreeMap, VecDeque};

/// A dispatch, by its link and its number on the link.
pub type Job = (u64, u64);
/// A load order, by its link and its number on the link.
pub type Order = (u64, u64);

/// Receives the machine's outcomes and its requests for fetches.
pub trait MachineHost {
    /// Called when the job begins to run. Returns false if its idempotency token was seen before: it then ends without
    /// running.
    fn begin_job(&mut self, job: Job) -> bool;
    fn job_ended(&mut self, job: Job, ended: Ended, found: Option<Found>, concurrency: u8);
    fn order_ended(&mut self, order: Order, ended: HoldEnded, ready: u8);
    /// Starts a fetch; its end is reported by [`Machine::fetch_ended`].
    fn begin_fetch(&mut self, function: FunctionId);
    fn load_ended(&mut self, function: FunctionId, took: Ticks, ok: bool);
}

/// Capacity and behaviour of a machine.
#[derive(Clone, Debug)]
pub struct MachineConfig {
    pub cores: f64,
    pub speed: f64,
    pub memory: f64,
    pub slots: usize,
    pub queue: usize,
    pub loads_at_once: usize,
    pub keep_alive: Ticks,
    /// Ends a dispatch without a copy as a miss instead of loading the function.
    pub misses: bool,
    /// Whether a cancel also stops running jobs, not only waiting ones.
    pub stops_running: bool,
    pub cold_share: f64,
    pub cold_time: Ticks,
    /// Start time of a cold machine; `None` if it is warm.
    pub started: Option<Ticks>,
}

/// What the machine needs to know of a dispatch.
#[derive(Clone, Debug)]
pub struct JobSpec {
    pub function: FunctionId,
    /// Core time at speed 1.
    pub work: f64,
    pub expires: Ticks,
}

struct JobState {
    spec: JobSpec,
    remaining: f64,
    running: bool,
    found: Option<Found>,
    concurrency: u8,
}

struct Load {
    function: FunctionId,
    began: Ticks,
    /// Remaining start work; `None` while the model is being fetched.
    start_remaining: Option<f64>,
}

/// What a copy of a function takes.
#[derive(Clone, Debug)]
pub struct FunctionSpec {
    pub memory: f64,
    pub lanes: usize,
    /// Load time without the fetch.
    pub start_time: Ticks,
}

/// The loaded copies of a function.
#[derive(Default)]
struct Copies {
    ready: usize,
    running: usize,
    idle_since: Ticks,
    pending_orders: Vec<(Order, usize)>,
}

/// A simulated invoker machine.
pub struct Machine {
    pub config: MachineConfig,
    functions: BTreeMap<FunctionId, FunctionSpec>,
    now: Ticks,
    jobs: BTreeMap<Job, JobState>,
    waiting: VecDeque<Job>,
    copies: BTreeMap<FunctionId, Copies>,
    loads: Vec<Load>,
    loads_waiting: VecDeque<FunctionId>,
    /// Factor by which work is slowed down; 1 is normal.
    pub slowness: f64,
    /// Slowdown added per second since ageing started.
    pub ageing: f64,
    ageing_since: Ticks,
    busy: f64,
}

/// Interval for which changing capacity is approximated as constant.
const CAPACITY_STEP: Ticks = 20 * MILLISECOND;

impl Machine {
    pub fn new(
        now: Ticks,
        config: MachineConfig,
        functions: BTreeMap<FunctionId, FunctionSpec>,
    ) -> Self {
        Self {
            config,
            functions,
            now,
            jobs: BTreeMap::new(),
            waiting: VecDeque::new(),
            copies: BTreeMap::new(),
            loads: Vec::new(),
            loads_waiting: VecDeque::new(),
            slowness: 1.0,
            ageing: 0.0,
            ageing_since: now,
            busy: 0.0,
        }
    }

    /// Adds a function after the machine was created. A function's spec never changes.
    pub fn add_function(&mut self, function: FunctionId, spec: FunctionSpec) {
        self.functions.entry(function).or_insert(spec);
    }

    /// Current share of the full capacity, below 1 while cold.
    fn capacity_share(&self) -> f64 {
        let Some(started) = self.config.started else {
            return 1.0;
        };
        let age = self.now.saturating_sub(started) as f64 / self.config.cold_time.max(1) as f64;
        (self.config.cold_share + (1.0 - self.config.cold_share) * age).min(1.0)
    }

    fn running(&self) -> usize {
        self.copies.values().map(|c| c.running).sum()
    }

    /// Work done per tick (a tenth of a millisecond) for each running job and starting copy.
    fn work_per_tick(&self) -> f64 {
        let users = self.running()
            + self
                .loads
                .iter()
                .filter(|l| l.start_remaining.is_some())
                .count();
        let aged = self.ageing * self.now.saturating_sub(self.ageing_since) as f64 / 10_000.0;
        let share = (self.config.cores * self.capacity_share() / users.max(1) as f64).min(1.0);
        self.config.speed * share / (self.slowness + aged)
    }

    /// Time of the next change that no call causes; `None` if there is none.
    pub fn next_event_at(&self) -> Option<Ticks> {
        let work_per_tick = self.work_per_tick().max(1e-6);
        let due = |remaining: f64| self.now + ((remaining / work_per_tick).ceil() as Ticks).max(1);
        let jobs = self
            .jobs
            .values()
            .filter(|t| t.running)
            .map(|t| due(t.remaining));
        let starts = self.loads.iter().filter_map(|l| l.start_remaining).map(due);
        let moving = jobs.chain(starts).min();
        let step = if self.capacity_share() < 1.0 || self.ageing > 0.0 {
            self.now + CAPACITY_STEP
        } else {
            Ticks::MAX
        };
        let idle = self
            .copies
            .values()
            .filter(|c| c.ready > 0 && c.running == 0);
        let idle = idle.map(|c| c.idle_since + self.config.keep_alive).min();
        let expiry = self
            .waiting
            .iter()
            .filter_map(|j| self.jobs.get(j))
            .map(|t| t.spec.expires)
            .min();
        let next = moving.map(|at| at.min(step));
        [next, idle, expiry]
            .into_iter()
            .flatten()
            .min()
            .map(|at| at.max(self.now + 1))
    }

    /// Core utilization, 0 to 1, and the number of waiting invocations.
    pub fn load(&self) -> (f32, f32) {
        (self.busy as f32, self.waiting.len() as f32)
    }

    /// Advances the simulation to `now`.
    pub fn advance(&mut self, now: Ticks, host: &mut dyn MachineHost) {
        while self.now < now {
            let until = self.next_event_at().unwrap_or(now).min(now);
            let progress = self.work_per_tick() * (until - self.now) as f64;
            self.busy = (self.running() as f64 / self.config.cores).min(1.0);
            self.now = until;
            self.jobs
                .values_mut()
                .filter(|t| t.running)
                .for_each(|t| t.remaining -= progress);
            let starting = self
                .loads
                .iter_mut()
                .filter_map(|l| l.start_remaining.as_mut());
            starting.for_each(|remaining| *remaining -= progress);
            let finished: Vec<Job> = self
                .jobs
                .iter()
                .filter(|(_, t)| t.running && t.remaining <= 1e-6)
                .map(|(j, _)| *j)
                .collect();
            finished
                .into_iter()
                .for_each(|job| self.finish(job, Ended::Succeeded, host));
            let mut at = 0;
            while at < self.loads.len() {
                if self.loads[at]
                    .start_remaining
                    .is_some_and(|remaining| remaining <= 1e-6)
                {
                    let load = self.loads.remove(at);
                    self.finish_load(load, host);
                } else {
                    at += 1;
                }
            }
            let (now, keep) = (self.now, self.config.keep_alive);
            for c in self
                .copies
                .values_mut()
                .filter(|c| c.running == 0 && now >= c.idle_since + keep)
            {
                c.ready = 0;
            }
            let expired: Vec<Job> = self
                .waiting
                .iter()
                .filter(|j| self.jobs[j].spec.expires <= now)
                .copied()
                .collect();
            expired
                .into_iter()
                .for_each(|job| self.finish(job, Ended::Cancelled, host));
            self.start_waiting_jobs(host);
        }
    }

    fn finish(&mut self, job: Job, ended: Ended, host: &mut dyn MachineHost) {
        let Some(task) = self.jobs.remove(&job) else {
            return;
        };
        self.waiting.retain(|j| *j != job);
        if let Some(c) = self
            .copies
            .get_mut(&task.spec.function)
            .filter(|_| task.running)
        {
            c.running -= 1;
            c.idle_since = self.now;
        }
        host.job_ended(job, ended, task.found, task.concurrency);
    }

    fn start_waiting_jobs(&mut self, host: &mut dyn MachineHost) {
        let mut at = 0;
        while at < self.waiting.len() && self.running() < self.config.slots {
            let job = self.waiting[at];
            let function = self.jobs[&job].spec.function;
            let lanes = self.functions.get(&function).map_or(1, |s| s.lanes);
            let c = self.copies.entry(function).or_default();
            if c.running >= c.ready * lanes {
                at += 1;
                continue;
            }
            self.waiting.remove(at);
            c.running += 1;
            self.jobs
                .get_mut(&job)
                .expect("a waiting job has a state")
                .running = true;
            if !host.begin_job(job) {
                self.finish(job, Ended::Succeeded, host);
            }
        }
    }

    pub fn dispatch(&mut self, now: Ticks, job: Job, spec: JobSpec, host: &mut dyn MachineHost) {
        self.advance(now, host);
        let function = spec.function;
        let in_progress = self
            .jobs
            .values()
            .filter(|t| t.spec.function == function)
            .count();
        let concurrency = in_progress.min(30) as u8;
        if self.waiting.len() >= self.config.queue || !self.functions.contains_key(&function) {
            return host.job_ended(job, Ended::Full, None, concurrency);
        }
        let ready = self.copies.get(&function).is_some_and(|c| c.ready > 0);
        let loads_in_progress = self.is_loading(function);
        let found = match (ready, loads_in_progress) {
            (true, _) => Found::Warm,
            (false, true) => Found::JoinedLoad,
            (false, false) if self.config.misses => {
                return host.job_ended(job, Ended::Miss, None, concurrency);
            }
            (false, false) => Found::BeganLoad,
        };
        if found == Found::BeganLoad && !self.begin_load(function, host) {
            return host.job_ended(job, Ended::Full, None, concurrency);
        }
        let remaining = spec.work.max(1.0);
        self.jobs.insert(
            job,
            JobState {
                spec,
                remaining,
                running: false,
                found: Some(found),
                concurrency,
            },
        );
        self.waiting.push_back(job);
        self.start_waiting_jobs(host);
    }

    /// Cancels the job if it waits, or if it runs and the configuration permits that.
    pub fn cancel(&mut self, now: Ticks, job: Job, host: &mut dyn MachineHost) {
        self.advance(now, host);
        if self
            .jobs
            .get(&job)
            .is_some_and(|t| !t.running || self.config.stops_running)
        {
            self.finish(job, Ended::Cancelled, host);
            self.start_waiting_jobs(host);
        }
    }

    fn is_loading(&self, function: FunctionId) -> bool {
        self.loads_in_progress(function) > 0
    }

    fn loads_in_progress(&self, function: FunctionId) -> usize {
        self.loads.iter().filter(|l| l.function == function).count()
            + self
                .loads_waiting
                .iter()
                .filter(|f| **f == function)
                .count()
    }

    fn memory_used(&self) -> f64 {
        let of = |f: &FunctionId| self.functions.get(f).map_or(0.0, |s| s.memory);
        let ready: f64 = self
            .copies
            .iter()
            .map(|(f, c)| of(f) * c.ready as f64)
            .sum();
        let loads_in_progress = self
            .loads
            .iter()
            .map(|l| &l.function)
            .chain(&self.loads_waiting)
            .map(of);
        ready + loads_in_progress.sum::<f64>()
    }

    /// Queues a load, evicting idle copies as needed. Returns false if memory is short or too many loads are queued.
    fn begin_load(&mut self, function: FunctionId, host: &mut dyn MachineHost) -> bool {
        let needed = self.functions[&function].memory;
        if self.loads.len() + self.loads_waiting.len() >= 3 * self.config.loads_at_once {
            return false;
        }
        while self.memory_used() + needed > self.config.memory {
            let idle = self
                .copies
                .iter()
                .filter(|(f, c)| c.ready > 0 && c.running == 0 && **f != function);
            let Some(oldest) = idle.min_by_key(|(_, c)| c.idle_since).map(|(f, _)| *f) else {
                return false;
            };
            self.copies
                .get_mut(&oldest)
                .expect("an idle function has copies")
                .ready -= 1;
        }
        self.loads_waiting.push_back(function);
        self.next_load(host);
        true
    }

    fn next_load(&mut self, host: &mut dyn MachineHost) {
        while self.loads.len() < self.config.loads_at_once {
            let Some(function) = self.loads_waiting.pop_front() else {
                return;
            };
            self.loads.push(Load {
                function,
                began: self.now,
                start_remaining: None,
            });
            host.begin_fetch(function);
        }
    }

    /// Reports the end of a fetch that [`MachineHost::begin_fetch`] started.
    pub fn fetch_ended(
        &mut self,
        now: Ticks,
        function: FunctionId,
        ok: bool,
        host: &mut dyn MachineHost,
    ) {
        self.advance(now, host);
        let at = self
            .loads
            .iter()
            .position(|l| l.function == function && l.start_remaining.is_none());
        let Some(at) = at else { return };
        if ok {
            self.loads[at].start_remaining = Some(self.functions[&function].start_time as f64);
            return;
        }
        let load = self.loads.remove(at);
        host.load_ended(function, self.now - load.began, false);
        if !self.is_loading(function) && self.copies.get(&function).is_none_or(|c| c.ready == 0) {
            let waiting: Vec<Job> = self
                .waiting
                .iter()
                .filter(|j| self.jobs[j].spec.function == function)
                .copied()
                .collect();
            for job in waiting {
                self.jobs
                    .get_mut(&job)
                    .expect("a waiting job has a state")
                    .found = Some(Found::LoadFailed);
                self.finish(job, Ended::Miss, host);
            }
        }
        let c = self.copies.entry(function).or_default();
        let ready = c.ready as u8;
        std::mem::take(&mut c.pending_orders)
            .into_iter()
            .for_each(|(o, _)| host.order_ended(o, HoldEnded::LoadFailed, ready));
        self.next_load(host);
    }

    fn finish_load(&mut self, load: Load, host: &mut dyn MachineHost) {
        let now = self.now;
        let c = self.copies.entry(load.function).or_default();
        c.ready += 1;
        c.idle_since = now;
        let ready = c.ready;
        let (satisfied, pending) = std::mem::take(&mut c.pending_orders)
            .into_iter()
            .partition(|(_, count)| *count <= ready);
        c.pending_orders = pending;
        host.load_ended(load.function, now - load.began, true);
        let satisfied: Vec<(Order, usize)> = satisfied;
        satisfied
            .into_iter()
            .for_each(|(o, _)| host.order_ended(o, HoldEnded::Standing, ready as u8));
        self.next_load(host);
    }

    /// Handles a load order for a number of copies; 0 only queries the current number.
    pub fn order_copies(
        &mut self,
        now: Ticks,
        order: Order,
        function: FunctionId,
        count: u8,
        host: &mut dyn MachineHost,
    ) {
        self.advance(now, host);
        let ready = self.copies.get(&function).map_or(0, |c| c.ready);
        if ready >= usize::from(count) {
            if let Some(c) = self.copies.get_mut(&function).filter(|_| count > 0) {
                c.idle_since = now;
            }
            return host.order_ended(order, HoldEnded::Standing, ready as u8);
        }
        if !self.functions.contains_key(&function) {
            return host.order_ended(order, HoldEnded::LoadFailed, 0);
        }
        while ready + self.loads_in_progress(function) < usize::from(count) {
            if !self.begin_load(function, host) {
                return host.order_ended(order, HoldEnded::NoRoom, ready as u8);
            }
        }
        self.copies
            .entry(function)
            .or_default()
            .pending_orders
            .push((order, count.into()));
    }

    pub fn unload(&mut self, now: Ticks, function: FunctionId, host: &mut dyn MachineHost) {
        self.advance(now, host);
        if let Some(c) = self.copies.get_mut(&function).filter(|c| c.running == 0) {
            c.ready = 0;
        }
    }

    /// Handles the loss of a link: cancels its waiting jobs. Running jobs continue, and their responses are lost.
    pub fn link_lost(&mut self, now: Ticks, link: u64, host: &mut dyn MachineHost) {
        self.advance(now, host);
        let cancelled: Vec<Job> = self
            .jobs
            .iter()
            .filter(|((l, _), t)| *l == link && !t.running)
            .map(|(j, _)| *j)
            .collect();
        cancelled
            .into_iter()
            .for_each(|job| self.finish(job, Ended::Cancelled, host));
    }

    /// Drops the idle copies of a random share of the functions, as a new release of these functions does.
    pub fn flush(&mut self, share: f64, rng: &mut fastrand::Rng) {
        for c in self.copies.values_mut().filter(|c| c.running == 0) {
            if rng.f64() < share {
                c.ready = 0;
            }
        }
    }

    /// Loads one copy of each of these functions at once, as if the machine had been up for long, while memory suffices.
    pub fn preload(&mut self, functions: impl IntoIterator<Item = FunctionId>) {
        for f in functions {
            if self
                .functions
                .get(&f)
                .is_some_and(|s| self.memory_used() + s.memory <= self.config.memory)
            {
                let c = self.copies.entry(f).or_default();
                (c.ready, c.idle_since) = (1, self.now);
            }
        }
    }

    pub fn start_ageing(&mut self, slowdown_per_second: f64) {
        (self.ageing, self.ageing_since) = (slowdown_per_second, self.now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Default)]
    struct RecordingHost {
        ended: Vec<(Job, Ended, Option<Found>)>,
        held: Vec<(Order, HoldEnded, u8)>,
        fetches: Vec<FunctionId>,
    }

    impl MachineHost for RecordingHost {
        fn begin_job(&mut self, _: Job) -> bool {
            true
        }
        fn job_ended(&mut self, job: Job, ended: Ended, found: Option<Found>, _: u8) {
            self.ended.push((job, ended, found));
        }
        fn order_ended(&mut self, order: Order, ended: HoldEnded, ready: u8) {
            self.held.push((order, ended, ready));
        }
        fn begin_fetch(&mut self, function: FunctionId) {
            self.fetches.push(function);
        }
        fn load_ended(&mut self, _: FunctionId, _: Ticks, _: bool) {}
    }

    fn new_machine(started: Option<Ticks>) -> Machine {
        let config = MachineConfig {
            cores: 2.0,
            speed: 1.0,
            memory: 2_000.0,
            slots: 8,
            queue: 3,
            loads_at_once: 1,
            keep_alive: 50_000,
            misses: false,
            stops_running: false,
            cold_share: 0.25,
            cold_time: 100_000,
            started,
        };
        let shape = FunctionSpec {
            memory: 900.0,
            lanes: 2,
            start_time: 1_000,
        };
        Machine::new(0, config, (1..4).map(|f| (f, shape.clone())).collect())
    }

    fn spec(function: FunctionId) -> JobSpec {
        JobSpec {
            function,
            work: 1_000.0,
            expires: 90_000,
        }
    }

    #[test]
    fn load_is_fetched_then_started_and_shared_by_its_lanes() {
        let (mut machine, mut host) = (new_machine(None), RecordingHost::default());
        for n in 0..3 {
            machine.dispatch(0, (0, n), spec(1), &mut host);
        }
        machine.dispatch(0, (0, 3), spec(1), &mut host);
        assert_eq!(
            host.ended,
            [((0, 3), Ended::Full, None)],
            "the queue is full with three"
        );
        machine.fetch_ended(500, 1, true, &mut host);
        machine.advance(2_499, &mut host);
        assert_eq!(host.ended.len(), 1);
        machine.advance(2_500, &mut host);
        assert_eq!(
            host.ended[1..],
            [
                ((0, 0), Ended::Succeeded, Some(Found::BeganLoad)),
                ((0, 1), Ended::Succeeded, Some(Found::JoinedLoad))
            ]
        );
        machine.advance(3_500, &mut host);
        assert_eq!((host.ended.len(), host.fetches.len()), (4, 1));
    }

    #[test]
    fn cold_machine_has_part_of_its_capacity() {
        let (mut machine, mut host) = (new_machine(Some(0)), RecordingHost::default());
        machine.preload([1]);
        machine.dispatch(0, (0, 0), spec(1), &mut host);
        machine.dispatch(0, (0, 1), spec(1), &mut host);
        machine.advance(3_000, &mut host);
        assert_eq!(
            host.ended,
            [],
            "two jobs on half a core need about 4,000 ticks"
        );
        machine.advance(4_000, &mut host);
        assert_eq!(host.ended.len(), 2);
    }

    #[test]
    fn loads_evict_only_idle_copies_and_failed_loads_are_reported() {
        let (mut machine, mut host) = (new_machine(None), RecordingHost::default());
        machine.preload([1, 2]);
        machine.dispatch(0, (0, 0), spec(1), &mut host);
        machine.order_copies(0, (0, 9), 3, 1, &mut host);
        assert_eq!(host.fetches, [3], "the copy of 2 was evicted");
        machine.order_copies(0, (0, 10), 2, 1, &mut host);
        assert_eq!(
            host.held,
            [((0, 10), HoldEnded::NoRoom, 0)],
            "1 is running and 3 is loading"
        );
        machine.fetch_ended(10, 3, false, &mut host);
        assert_eq!(host.held[1], ((0, 9), HoldEnded::LoadFailed, 0));
        machine.order_copies(20, (0, 11), 1, 1, &mut host);
        assert_eq!(host.held[2], ((0, 11), HoldEnded::Standing, 1));
    }

    #[test]
    fn cancel_stops_waiting_jobs_and_leaves_running_ones() {
        let (mut machine, mut host) = (new_machine(None), RecordingHost::default());
        machine.preload([1]);
        for n in 0..3 {
            machine.dispatch(0, (0, n), spec(1), &mut host);
        }
        machine.cancel(5, (0, 0), &mut host);
        machine.cancel(5, (0, 2), &mut host);
        assert_eq!(host.ended, [((0, 2), Ended::Cancelled, Some(Found::Warm))]);
        machine.advance(1_000, &mut host);
        assert_eq!(host.ended.len(), 3);
    }
}
