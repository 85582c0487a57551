//! What an invoker does, without I/O: time comes in, and what follows is told to a [`Yard`].
//!
//! Cores are shared evenly among what runs. A copy takes memory and runs so many invocations at a time; a load fetches
//! and then starts. A machine that has just started does only part of its work.

use saltdrum::interface::{FunctionId, MILLISECOND, Ticks};
use saltdrum_protocol::invoker::{Ended, Found, HoldEnded};
use std::collections::{BTreeMap, VecDeque};

/// A dispatch, by the link it came on and its number there.
pub type Job = (u64, u64);
/// An order, likewise.
pub type Order = (u64, u64);

/// What the machine asks for and answers.
pub trait MachineHost {
    /// Begins to run. False: it is known by its token, and is answered without running.
    fn begin_job(&mut self, job: Job) -> bool;
    fn job_ended(&mut self, job: Job, ended: Ended, found: Option<Found>, crowd: u8);
    fn order_ended(&mut self, order: Order, ended: HoldEnded, standing: u8);
    /// [`Machine::fetched`] is to follow.
    fn begin_fetch(&mut self, function: FunctionId);
    fn load_ended(&mut self, function: FunctionId, took: Ticks, ok: bool);
}

/// What a machine can do, and what it is like.
#[derive(Clone, Debug)]
pub struct MachineConfig {
    pub cores: f64,
    pub speed: f64,
    pub memory: f64,
    pub slots: usize,
    pub queue: usize,
    pub loads_at_once: usize,
    pub keep_alive: Ticks,
    /// It answers a dispatch without a copy with a miss and loads nothing.
    pub misses: bool,
    /// A cancel stops what runs; otherwise only what waits.
    pub stops_running: bool,
    pub cold_share: f64,
    pub cold_time: Ticks,
    /// None: it has long been up.
    pub started: Option<Ticks>,
}

/// A dispatch as the machine needs it.
#[derive(Clone, Debug)]
pub struct JobSpec {
    pub function: FunctionId,
    /// Core time at speed 1.
    pub work: f64,
    pub expires: Ticks,
}

struct Task {
    ask: JobSpec,
    left: f64,
    running: bool,
    found: Option<Found>,
    crowd: u8,
}

struct Load {
    function: FunctionId,
    began: Ticks,
    /// None while it is fetched.
    start_left: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct FunctionSpec {
    pub memory: f64,
    pub lanes: usize,
    /// Of the load, without the fetch.
    pub start_time: Ticks,
}

#[derive(Default)]
struct Copies {
    standing: usize,
    running: usize,
    idle_since: Ticks,
    holds: Vec<(Order, usize)>,
}

pub struct Machine {
    pub config: MachineConfig,
    shapes: BTreeMap<FunctionId, FunctionSpec>,
    now: Ticks,
    tasks: BTreeMap<Job, Task>,
    waiting: VecDeque<Job>,
    copies: BTreeMap<FunctionId, Copies>,
    loads: Vec<Load>,
    loads_waiting: VecDeque<FunctionId>,
    /// How many times slower than usual.
    pub slowness: f64,
    /// Further slowness, growing with each second.
    pub ageing: f64,
    aged_from: Ticks,
    busy: f64,
}

/// Capacity that rises is taken as even for so long.
const STEP: Ticks = 20 * MILLISECOND;

impl Machine {
    pub fn new(
        now: Ticks,
        build: MachineConfig,
        shapes: BTreeMap<FunctionId, FunctionSpec>,
    ) -> Self {
        Self {
            config: build,
            shapes,
            now,
            tasks: BTreeMap::new(),
            waiting: VecDeque::new(),
            copies: BTreeMap::new(),
            loads: Vec::new(),
            loads_waiting: VecDeque::new(),
            slowness: 1.0,
            ageing: 0.0,
            aged_from: now,
            busy: 0.0,
        }
    }

    /// A function that came later than the machine. What is known of one never changes.
    pub fn add_function(&mut self, function: FunctionId, shape: FunctionSpec) {
        self.shapes.entry(function).or_insert(shape);
    }

    /// Part of the full capacity it has now.
    fn risen(&self) -> f64 {
        let Some(started) = self.config.started else {
            return 1.0;
        };
        let age = self.now.saturating_sub(started) as f64 / self.config.cold_time.max(1) as f64;
        (self.config.cold_share + (1.0 - self.config.cold_share) * age).min(1.0)
    }

    fn running(&self) -> usize {
        self.copies.values().map(|c| c.running).sum()
    }

    /// Core time that each running task and starting copy gets in a tenth.
    fn pace(&self) -> f64 {
        let users = self.running() + self.loads.iter().filter(|l| l.start_left.is_some()).count();
        let aged = self.ageing * self.now.saturating_sub(self.aged_from) as f64 / 10_000.0;
        let share = (self.config.cores * self.risen() / users.max(1) as f64).min(1.0);
        self.config.speed * share / (self.slowness + aged)
    }

    /// When something will change by itself.
    pub fn next_event_at(&self) -> Option<Ticks> {
        let pace = self.pace().max(1e-6);
        let due = |left: f64| self.now + ((left / pace).ceil() as Ticks).max(1);
        let tasks = self
            .tasks
            .values()
            .filter(|t| t.running)
            .map(|t| due(t.left));
        let starts = self.loads.iter().filter_map(|l| l.start_left).map(due);
        let moving = tasks.chain(starts).min();
        let step = if self.risen() < 1.0 || self.ageing > 0.0 {
            self.now + STEP
        } else {
            Ticks::MAX
        };
        let idle = self
            .copies
            .values()
            .filter(|c| c.standing > 0 && c.running == 0);
        let idle = idle.map(|c| c.idle_since + self.config.keep_alive).min();
        let expiry = self
            .waiting
            .iter()
            .filter_map(|j| self.tasks.get(j))
            .map(|t| t.ask.expires)
            .min();
        let next = moving.map(|at| at.min(step));
        [next, idle, expiry]
            .into_iter()
            .flatten()
            .min()
            .map(|at| at.max(self.now + 1))
    }

    /// Cores busy, 0 to 1, and invocations that wait.
    pub fn load(&self) -> (f32, f32) {
        (self.busy as f32, self.waiting.len() as f32)
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Ticks, yard: &mut dyn MachineHost) {
        while self.now < now {
            let upto = self.next_event_at().unwrap_or(now).min(now);
            let done = self.pace() * (upto - self.now) as f64;
            self.busy = (self.running() as f64 / self.config.cores).min(1.0);
            self.now = upto;
            self.tasks
                .values_mut()
                .filter(|t| t.running)
                .for_each(|t| t.left -= done);
            let starting = self.loads.iter_mut().filter_map(|l| l.start_left.as_mut());
            starting.for_each(|left| *left -= done);
            let over: Vec<Job> = self
                .tasks
                .iter()
                .filter(|(_, t)| t.running && t.left <= 1e-6)
                .map(|(j, _)| *j)
                .collect();
            over.into_iter()
                .for_each(|job| self.finish(job, Ended::Succeeded, yard));
            let mut at = 0;
            while at < self.loads.len() {
                if self.loads[at].start_left.is_some_and(|left| left <= 1e-6) {
                    let load = self.loads.remove(at);
                    self.stands(load, yard);
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
                c.standing = 0;
            }
            let late: Vec<Job> = self
                .waiting
                .iter()
                .filter(|j| self.tasks[j].ask.expires <= now)
                .copied()
                .collect();
            late.into_iter()
                .for_each(|job| self.finish(job, Ended::Cancelled, yard));
            self.start_what_can(yard);
        }
    }

    fn finish(&mut self, job: Job, ended: Ended, yard: &mut dyn MachineHost) {
        let Some(task) = self.tasks.remove(&job) else {
            return;
        };
        self.waiting.retain(|j| *j != job);
        if let Some(c) = self
            .copies
            .get_mut(&task.ask.function)
            .filter(|_| task.running)
        {
            c.running -= 1;
            c.idle_since = self.now;
        }
        yard.job_ended(job, ended, task.found, task.crowd);
    }

    fn start_what_can(&mut self, yard: &mut dyn MachineHost) {
        let mut at = 0;
        while at < self.waiting.len() && self.running() < self.config.slots {
            let job = self.waiting[at];
            let function = self.tasks[&job].ask.function;
            let lanes = self.shapes.get(&function).map_or(1, |s| s.lanes);
            let c = self.copies.entry(function).or_default();
            if c.running >= c.standing * lanes {
                at += 1;
                continue;
            }
            self.waiting.remove(at);
            c.running += 1;
            self.tasks.get_mut(&job).expect("it waits").running = true;
            if !yard.begin_job(job) {
                self.finish(job, Ended::Succeeded, yard);
            }
        }
    }

    pub fn dispatch(&mut self, now: Ticks, job: Job, ask: JobSpec, yard: &mut dyn MachineHost) {
        self.advance(now, yard);
        let function = ask.function;
        let held = self
            .tasks
            .values()
            .filter(|t| t.ask.function == function)
            .count();
        let crowd = held.min(30) as u8;
        if self.waiting.len() >= self.config.queue || !self.shapes.contains_key(&function) {
            return yard.job_ended(job, Ended::Full, None, crowd);
        }
        let standing = self.copies.get(&function).is_some_and(|c| c.standing > 0);
        let loading = self.is_loading(function);
        let found = match (standing, loading) {
            (true, _) => Found::Warm,
            (false, true) => Found::JoinedLoad,
            (false, false) if self.config.misses => {
                return yard.job_ended(job, Ended::Miss, None, crowd);
            }
            (false, false) => Found::BeganLoad,
        };
        if found == Found::BeganLoad && !self.begin_load(function, yard) {
            return yard.job_ended(job, Ended::Full, None, crowd);
        }
        let left = ask.work.max(1.0);
        self.tasks.insert(
            job,
            Task {
                ask,
                left,
                running: false,
                found: Some(found),
                crowd,
            },
        );
        self.waiting.push_back(job);
        self.start_what_can(yard);
    }

    /// Stops it if it waits, or runs and the build allows.
    pub fn cancel(&mut self, now: Ticks, job: Job, yard: &mut dyn MachineHost) {
        self.advance(now, yard);
        if self
            .tasks
            .get(&job)
            .is_some_and(|t| !t.running || self.config.stops_running)
        {
            self.finish(job, Ended::Cancelled, yard);
            self.start_what_can(yard);
        }
    }

    fn is_loading(&self, function: FunctionId) -> bool {
        self.loading(function) > 0
    }

    fn loading(&self, function: FunctionId) -> usize {
        self.loads.iter().filter(|l| l.function == function).count()
            + self
                .loads_waiting
                .iter()
                .filter(|f| **f == function)
                .count()
    }

    fn memory_taken(&self) -> f64 {
        let of = |f: &FunctionId| self.shapes.get(f).map_or(0.0, |s| s.memory);
        let standing: f64 = self
            .copies
            .iter()
            .map(|(f, c)| of(f) * c.standing as f64)
            .sum();
        let loading = self
            .loads
            .iter()
            .map(|l| &l.function)
            .chain(&self.loads_waiting)
            .map(of);
        standing + loading.sum::<f64>()
    }

    /// False: no memory to be had, or too many loads wait.
    fn begin_load(&mut self, function: FunctionId, yard: &mut dyn MachineHost) -> bool {
        let need = self.shapes[&function].memory;
        if self.loads.len() + self.loads_waiting.len() >= 3 * self.config.loads_at_once {
            return false;
        }
        while self.memory_taken() + need > self.config.memory {
            let idle = self
                .copies
                .iter()
                .filter(|(f, c)| c.standing > 0 && c.running == 0 && **f != function);
            let Some(oldest) = idle.min_by_key(|(_, c)| c.idle_since).map(|(f, _)| *f) else {
                return false;
            };
            self.copies.get_mut(&oldest).expect("it stands").standing -= 1;
        }
        self.loads_waiting.push_back(function);
        self.next_load(yard);
        true
    }

    fn next_load(&mut self, yard: &mut dyn MachineHost) {
        while self.loads.len() < self.config.loads_at_once {
            let Some(function) = self.loads_waiting.pop_front() else {
                return;
            };
            self.loads.push(Load {
                function,
                began: self.now,
                start_left: None,
            });
            yard.begin_fetch(function);
        }
    }

    /// A fetch that [`Yard::fetch`] asked for has ended.
    pub fn fetch_ended(
        &mut self,
        now: Ticks,
        function: FunctionId,
        ok: bool,
        yard: &mut dyn MachineHost,
    ) {
        self.advance(now, yard);
        let at = self
            .loads
            .iter()
            .position(|l| l.function == function && l.start_left.is_none());
        let Some(at) = at else { return };
        if ok {
            self.loads[at].start_left = Some(self.shapes[&function].start_time as f64);
            return;
        }
        let load = self.loads.remove(at);
        yard.load_ended(function, self.now - load.began, false);
        if !self.is_loading(function) && self.copies.get(&function).is_none_or(|c| c.standing == 0)
        {
            let waiting: Vec<Job> = self
                .waiting
                .iter()
                .filter(|j| self.tasks[j].ask.function == function)
                .copied()
                .collect();
            for job in waiting {
                self.tasks.get_mut(&job).expect("it waits").found = Some(Found::LoadFailed);
                self.finish(job, Ended::Miss, yard);
            }
        }
        let c = self.copies.entry(function).or_default();
        let standing = c.standing as u8;
        std::mem::take(&mut c.holds)
            .into_iter()
            .for_each(|(o, _)| yard.order_ended(o, HoldEnded::LoadFailed, standing));
        self.next_load(yard);
    }

    fn stands(&mut self, load: Load, yard: &mut dyn MachineHost) {
        let now = self.now;
        let c = self.copies.entry(load.function).or_default();
        c.standing += 1;
        c.idle_since = now;
        let standing = c.standing;
        let (met, unmet) = std::mem::take(&mut c.holds)
            .into_iter()
            .partition(|(_, count)| *count <= standing);
        c.holds = unmet;
        yard.load_ended(load.function, now - load.began, true);
        let met: Vec<(Order, usize)> = met;
        met.into_iter()
            .for_each(|(o, _)| yard.order_ended(o, HoldEnded::Standing, standing as u8));
        self.next_load(yard);
    }

    /// An order to hold so many copies; 0 only asks.
    pub fn order_copies(
        &mut self,
        now: Ticks,
        order: Order,
        function: FunctionId,
        count: u8,
        yard: &mut dyn MachineHost,
    ) {
        self.advance(now, yard);
        let standing = self.copies.get(&function).map_or(0, |c| c.standing);
        if standing >= usize::from(count) {
            if let Some(c) = self.copies.get_mut(&function).filter(|_| count > 0) {
                c.idle_since = now;
            }
            return yard.order_ended(order, HoldEnded::Standing, standing as u8);
        }
        if !self.shapes.contains_key(&function) {
            return yard.order_ended(order, HoldEnded::LoadFailed, 0);
        }
        while standing + self.loading(function) < usize::from(count) {
            if !self.begin_load(function, yard) {
                return yard.order_ended(order, HoldEnded::NoRoom, standing as u8);
            }
        }
        self.copies
            .entry(function)
            .or_default()
            .holds
            .push((order, count.into()));
    }

    pub fn unload(&mut self, now: Ticks, function: FunctionId, yard: &mut dyn MachineHost) {
        self.advance(now, yard);
        if let Some(c) = self.copies.get_mut(&function).filter(|c| c.running == 0) {
            c.standing = 0;
        }
    }

    /// A link is gone: what waits on it is not run. What runs goes on, its answer lost.
    pub fn link_lost(&mut self, now: Ticks, link: u64, yard: &mut dyn MachineHost) {
        self.advance(now, yard);
        let gone: Vec<Job> = self
            .tasks
            .iter()
            .filter(|((l, _), t)| *l == link && !t.running)
            .map(|(j, _)| *j)
            .collect();
        gone.into_iter()
            .for_each(|job| self.finish(job, Ended::Cancelled, yard));
    }

    /// So many of the functions are released anew: their idle copies go.
    pub fn flush(&mut self, share: f64, rng: &mut fastrand::Rng) {
        for c in self.copies.values_mut().filter(|c| c.running == 0) {
            if rng.f64() < share {
                c.standing = 0;
            }
        }
    }

    /// As if it had stood since long before: copies of these are there.
    pub fn preload(&mut self, functions: impl IntoIterator<Item = FunctionId>) {
        for f in functions {
            if self
                .shapes
                .get(&f)
                .is_some_and(|s| self.memory_taken() + s.memory <= self.config.memory)
            {
                let c = self.copies.entry(f).or_default();
                (c.standing, c.idle_since) = (1, self.now);
            }
        }
    }

    pub fn start_ageing(&mut self, by_second: f64) {
        (self.ageing, self.aged_from) = (by_second, self.now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Default)]
    struct Seen {
        ended: Vec<(Job, Ended, Option<Found>)>,
        held: Vec<(Order, HoldEnded, u8)>,
        fetches: Vec<FunctionId>,
    }

    impl MachineHost for Seen {
        fn begin_job(&mut self, _: Job) -> bool {
            true
        }
        fn job_ended(&mut self, job: Job, ended: Ended, found: Option<Found>, _: u8) {
            self.ended.push((job, ended, found));
        }
        fn order_ended(&mut self, order: Order, ended: HoldEnded, standing: u8) {
            self.held.push((order, ended, standing));
        }
        fn begin_fetch(&mut self, function: FunctionId) {
            self.fetches.push(function);
        }
        fn load_ended(&mut self, _: FunctionId, _: Ticks, _: bool) {}
    }

    fn machine(started: Option<Ticks>) -> Machine {
        let build = MachineConfig {
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
        Machine::new(0, build, (1..4).map(|f| (f, shape.clone())).collect())
    }

    fn ask(function: FunctionId) -> JobSpec {
        JobSpec {
            function,
            work: 1_000.0,
            expires: 90_000,
        }
    }

    #[test]
    fn a_load_is_fetched_started_and_then_shared_by_its_lanes() {
        let (mut m, mut y) = (machine(None), Seen::default());
        for n in 0..3 {
            m.dispatch(0, (0, n), ask(1), &mut y);
        }
        m.dispatch(0, (0, 3), ask(1), &mut y);
        assert_eq!(
            y.ended,
            [((0, 3), Ended::Full, None)],
            "three wait, no more"
        );
        m.fetch_ended(500, 1, true, &mut y);
        m.advance(2_499, &mut y);
        assert_eq!(y.ended.len(), 1);
        m.advance(2_500, &mut y);
        assert_eq!(
            y.ended[1..],
            [
                ((0, 0), Ended::Succeeded, Some(Found::BeganLoad)),
                ((0, 1), Ended::Succeeded, Some(Found::JoinedLoad))
            ]
        );
        m.advance(3_500, &mut y);
        assert_eq!((y.ended.len(), y.fetches.len()), (4, 1));
    }

    #[test]
    fn a_cold_machine_does_part_of_its_work() {
        let (mut m, mut y) = (machine(Some(0)), Seen::default());
        m.preload([1]);
        m.dispatch(0, (0, 0), ask(1), &mut y);
        m.dispatch(0, (0, 1), ask(1), &mut y);
        m.advance(3_000, &mut y);
        assert_eq!(y.ended, [], "two on half a core need near 4,000 tenths");
        m.advance(4_000, &mut y);
        assert_eq!(y.ended.len(), 2);
    }

    #[test]
    fn room_is_made_of_idle_copies_only_and_failed_loads_are_told() {
        let (mut m, mut y) = (machine(None), Seen::default());
        m.preload([1, 2]);
        m.dispatch(0, (0, 0), ask(1), &mut y);
        m.order_copies(0, (0, 9), 3, 1, &mut y);
        assert_eq!(y.fetches, [3], "2 gave way");
        m.order_copies(0, (0, 10), 2, 1, &mut y);
        assert_eq!(
            y.held,
            [((0, 10), HoldEnded::NoRoom, 0)],
            "1 is at work and 3 loads"
        );
        m.fetch_ended(10, 3, false, &mut y);
        assert_eq!(y.held[1], ((0, 9), HoldEnded::LoadFailed, 0));
        m.order_copies(20, (0, 11), 1, 1, &mut y);
        assert_eq!(y.held[2], ((0, 11), HoldEnded::Standing, 1));
    }

    #[test]
    fn a_cancel_stops_what_waits_and_lets_run_what_runs() {
        let (mut m, mut y) = (machine(None), Seen::default());
        m.preload([1]);
        for n in 0..3 {
            m.dispatch(0, (0, n), ask(1), &mut y);
        }
        m.cancel(5, (0, 0), &mut y);
        m.cancel(5, (0, 2), &mut y);
        assert_eq!(y.ended, [((0, 2), Ended::Cancelled, Some(Found::Warm))]);
        m.advance(1_000, &mut y);
        assert_eq!(y.ended.len(), 3);
    }
}
