//! A fake invoker: serves the invoker protocol with a [`Machine`], and injects faults.

use crate::disk::TearingDisk;
use crate::machine::{FunctionSpec, Job, JobSpec, Machine, MachineConfig, MachineHost, Order};
use crate::record::{ClientAttempt, ControllerId, Line, Record};
use bytes::BytesMut;
use saltdrum::interface::{Effect, FunctionId, KeyScope, MILLISECOND, Ticks};
use saltdrum_agent::{Agent, AgentConfig, Peer};
use saltdrum_deployment::{DeploymentSpec, terms};
use saltdrum_layers::cache::{Cache, Disk};
use saltdrum_protocol::frame::{encode, take_frame};
use saltdrum_protocol::invoker as wire;
use saltdrum_protocol::{list, store};
use saltdrum_registry::client::RegistryClient;
use saltdrum_registry::follow::{FollowConfig, RegistryUpdate, follow};
use saltdrum_registry::state::{RegistryState, Standing};
use saltdrum_registry::version_pin::{function_id, function_name};
use saltdrum_transport::{
    Address, ArrivalReader, Clock, EventLoopClock, Network, SendQueue, Stream, StreamHalf, split,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Faults that an invoker injects. The default injects none.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Accepts work and sends no responses, not even afterwards for work that ended during the fault.
    pub hangs: bool,
    /// Share of dispatches that get an immediate error.
    pub error_share: f64,
    /// Share of responses that are not delivered.
    pub lost_response_share: f64,
    /// Reads nothing from its sockets.
    pub stops_reading: bool,
    /// Controllers from which nothing is read and to which nothing is sent.
    pub partitioned_from: Vec<u32>,
    /// A tenant, and the share of its dispatches that are rejected as if the invoker were full.
    pub rejects_tenant: Option<(String, f64)>,
    /// A function name prefix, and the share of dispatches of these functions that get an immediate error.
    pub fails_functions: Option<(String, f64)>,
    /// Age of the load reports that are sent.
    pub load_report_delay: Ticks,
    /// Sends half of each response frame and then closes the connection.
    pub half_frames: bool,
}

/// Time at which each idempotency token was first seen, by zone, cell and token. Shared by the invokers of a key scope.
pub type SeenTokens = Rc<RefCell<BTreeMap<(u8, u16, String), Ticks>>>;

/// Configuration of a fake invoker.
pub struct InvokerConfig {
    pub terms: Rc<DeploymentSpec>,
    pub stated: terms::InvokerSpec,
    pub network: Rc<dyn Network>,
    /// The invoker's own clock, which may differ from the others'.
    pub clock: Clock,
    /// The clock of the record, common to all fakes.
    pub record_clock: Clock,
    pub event_loop: EventLoopClock,
    pub record: Record,
    /// A port 0 is replaced by the assigned port at the first start.
    pub address: RefCell<Address>,
    pub store: Option<Address>,
    pub tokens: SeenTokens,
    pub seed: u64,
    /// Share of the load time spent on the fetch.
    pub fetch_share: f64,
    /// The registry that supplies versions of functions that the deployment does not list.
    pub registry_follow: Option<FollowConfig>,
    /// Fetches models in chunks through an agent instead of from the plain store.
    pub layers: Option<LayersConfig>,
}

/// Configuration of an invoker's agent and its cache.
pub struct LayersConfig {
    /// The cache folder, which outlives the process.
    pub folder: PathBuf,
    pub cache_bytes: u64,
    pub registry: Address,
    /// A port 0 is replaced by the assigned port at the first start.
    pub agent_address: RefCell<Address>,
    pub disk: Rc<TearingDisk>,
    /// The correct bytes of each model by name; assembled copies are compared with them.
    pub models: Rc<BTreeMap<String, Vec<u8>>>,
    /// Fetches models in place of the agent, if set.
    pub fetch_model: Option<FetchModel>,
}

/// Where a [`FetchModel`] function finds the store, and a folder that persists across restarts.
pub struct ModelSource {
    pub network: Rc<dyn Network>,
    pub registry: Address,
    pub disk: Rc<dyn Disk>,
    pub folder: PathBuf,
}

/// Fetches the bytes of the model of this name; `None` if that failed.
pub type FetchModel = fn(ModelSource, String) -> Pin<Box<dyn Future<Output = Option<Vec<u8>>>>>;

/// A fake invoker, which can be started, crashed and restarted.
pub struct Invoker {
    pub config: InvokerConfig,
    pub faults: RefCell<Faults>,
    process: RefCell<ProcessState>,
    tasks: RefCell<JoinSet<()>>,
    faults_changed: Notify,
    /// The latest state received from the registry.
    registry_state: RefCell<RegistryState>,
    /// Model and version of each function added from the registry.
    models: RefCell<BTreeMap<FunctionId, (String, String)>>,
}

/// State that is lost when the process ends.
struct ProcessState {
    incarnation: u64,
    started: Ticks,
    cold: bool,
    up: bool,
    machine: Machine,
    links: BTreeMap<u64, (ControllerId, SendQueue)>,
    last_link: u64,
    jobs: BTreeMap<Job, JobContext>,
    /// Invocation and hop of every job of the open links, kept because a cancel may arrive after the job has ended.
    job_invocations: BTreeMap<Job, (u32, u8)>,
    load_reports: Vec<(Ticks, wire::Load)>,
    rng: fastrand::Rng,
    rescheduled: Rc<Notify>,
    agent: Option<Rc<Agent>>,
}

/// What the record and the response need to know of a dispatch.
#[derive(Clone)]
struct JobContext {
    who: ControllerId,
    invocation: u32,
    hop: u8,
    of: ClientAttempt,
    trigger: String,
    token: Option<String>,
    function: FunctionId,
    passage: Option<String>,
}

/// The part of an invocation's input that the fake invoker evaluates.
#[derive(serde::Deserialize, Default)]
struct Input {
    #[serde(default, rename = "n")]
    number: u64,
    #[serde(default)]
    attempt: u32,
    #[serde(default)]
    work_ms: f64,
    #[serde(default)]
    passage: Option<String>,
}

/// Sends the machine's outcomes to the controllers and writes them to the record.
struct InvokerHost<'a> {
    this: &'a Rc<Invoker>,
    links: &'a BTreeMap<u64, (ControllerId, SendQueue)>,
    jobs: &'a mut BTreeMap<Job, JobContext>,
    load: wire::Load,
    fetches: Vec<FunctionId>,
    rng: &'a mut fastrand::Rng,
}

impl MachineHost for InvokerHost<'_> {
    fn begin_job(&mut self, job: Job) -> bool {
        let Some(context) = self.jobs.get(&job).cloned() else {
            return true;
        };
        let config = &self.this.config;
        let at = config.record_clock.now();
        let repeat = context
            .token
            .as_ref()
            .is_some_and(|t| config.is_repeated_token(&context.trigger, t, at));
        let invoker = config.stated.invoker;
        config.record.note(Line::Started {
            at,
            invoker,
            who: context.who,
            invocation: context.invocation,
            hop: context.hop,
            of: context.of,
            token: context.token,
            repeat,
        });
        if let Some(passage) = context.passage {
            config.record.note(Line::PassageStep {
                at,
                invoker,
                of: context.of,
                function: context.function,
                passage,
            });
        }
        !repeat
    }

    fn job_ended(&mut self, job: Job, ended: wire::Ended, found: Option<wire::Found>, crowd: u8) {
        let output = match ended {
            wire::Ended::Succeeded => b"{\"heard\":true}".to_vec(),
            _ => Vec::new(),
        };
        self.answer(job, ended, found, Some(crowd), output);
    }

    fn order_ended(&mut self, (link, order): Order, ended: wire::HoldEnded, standing: u8) {
        let faults = self.this.faults.borrow();
        let lost =
            |who: &ControllerId| faults.hangs || faults.partitioned_from.contains(&who.controller);
        if let Some((_, send_queue)) = self.links.get(&link).filter(|(who, _)| !lost(who)) {
            send_queue.push(
                encode(&wire::Held {
                    order,
                    ended,
                    standing,
                }),
                Ticks::MAX,
            );
        }
    }

    fn begin_fetch(&mut self, function: FunctionId) {
        self.fetches.push(function);
    }

    fn load_ended(&mut self, function: FunctionId, took: Ticks, ok: bool) {
        let invoker = self.this.config.stated.invoker;
        let at = self.this.config.record_clock.now();
        self.this.config.record.note(Line::Loaded {
            at,
            invoker,
            function,
            took,
            ok,
        });
    }
}

impl InvokerHost<'_> {
    fn answer(
        &mut self,
        job: Job,
        ended: wire::Ended,
        found: Option<wire::Found>,
        crowd: Option<u8>,
        output: Vec<u8>,
    ) {
        let Some(context) = self.jobs.remove(&job) else {
            return;
        };
        let faults = self.this.faults.borrow();
        let cut = faults.partitioned_from.contains(&context.who.controller);
        let lost = faults.hangs || cut || self.rng.f64() < faults.lost_response_share;
        let link = self.links.get(&job.0).filter(|_| !lost);
        if let Some((_, send_queue)) = link {
            let frame = encode(&wire::Answer {
                dispatch: job.1,
                ended,
                found,
                crowd,
                load: self.load,
                output: output.into(),
            });
            if faults.half_frames {
                send_queue.push(frame.slice(..frame.len() / 2), Ticks::MAX);
                send_queue.close();
            } else {
                send_queue.push(frame, Ticks::MAX);
            }
        }
        let response_sent = link.is_some() && !faults.half_frames;
        let (invoker, ended) = (
            self.this.config.stated.invoker,
            format!("{ended:?}").to_lowercase(),
        );
        let JobContext {
            who,
            invocation,
            hop,
            of,
            ..
        } = context;
        let at = self.this.config.record_clock.now();
        let line = Line::Ended {
            at,
            invoker,
            who,
            invocation,
            hop,
            of,
            ended,
            response_sent,
        };
        self.this.config.record.note(line);
    }
}

impl InvokerConfig {
    fn trigger(&self, name: &str) -> Option<&saltdrum::interface::TriggerType> {
        let at = self
            .terms
            .trigger_type_names
            .iter()
            .position(|t| t == name)?;
        self.terms.deployment.trigger_types.get(at)
    }

    /// Whether the token was seen within its idempotency window; records it otherwise.
    fn is_repeated_token(&self, trigger: &str, token: &str, now: Ticks) -> bool {
        let Some(trigger_type) = self
            .trigger(trigger)
            .filter(|t| t.effect == Effect::IdempotencyKey)
        else {
            return false;
        };
        let group = match trigger_type.key_scope {
            KeyScope::All => (0, 0),
            KeyScope::Zone => (self.stated.zone, 0),
            KeyScope::Cell => (self.stated.zone, self.stated.cell),
        };
        let (mut tokens, key) = (
            self.tokens.borrow_mut(),
            (group.0, group.1, token.to_owned()),
        );
        let known = tokens
            .get(&key)
            .is_some_and(|at| now < at + trigger_type.idempotency_window);
        if !known {
            tokens.insert(key, now);
        }
        known
    }

    fn machine(&self, now: Ticks, cold: bool) -> Machine {
        let (kind, deployment) = (&self.terms.kinds[self.stated.kind], &self.terms.deployment);
        let per_core = |n: u32| (n * kind.cores) as usize;
        let machine_config = MachineConfig {
            cores: kind.cores.into(),
            speed: kind.speed,
            memory: kind.memory.0,
            slots: per_core(kind.slots_per_core),
            queue: per_core(kind.queue_per_core),
            loads_at_once: kind.loads_at_once as usize,
            keep_alive: deployment.keep_alive,
            misses: deployment.reports_misses,
            stops_running: false,
            cold_share: deployment.initial_capacity_share,
            cold_time: deployment.warm_up_time,
            started: cold.then_some(now),
        };
        let function_spec = |f: &terms::Function| {
            let load = f.load.unwrap_or(1_000 * MILLISECOND) as f64;
            let start = (load * (1.0 - self.fetch_share)) as Ticks;
            (
                f.id,
                FunctionSpec {
                    memory: f.memory,
                    lanes: f.lanes as usize,
                    start_time: start,
                },
            )
        };
        Machine::new(
            now,
            machine_config,
            self.terms.functions.values().map(function_spec).collect(),
        )
    }
}

impl Invoker {
    pub fn new(config: InvokerConfig) -> Rc<Self> {
        let now = config.clock.now();
        let process = ProcessState {
            incarnation: 0,
            started: now,
            cold: false,
            up: false,
            machine: config.machine(now, false),
            links: BTreeMap::new(),
            last_link: 0,
            jobs: BTreeMap::new(),
            job_invocations: BTreeMap::new(),
            load_reports: Vec::new(),
            rng: fastrand::Rng::with_seed(config.seed),
            rescheduled: Rc::default(),
            agent: None,
        };
        Rc::new(Self {
            config,
            faults: RefCell::default(),
            process: RefCell::new(process),
            tasks: RefCell::default(),
            faults_changed: Notify::new(),
            registry_state: RefCell::default(),
            models: RefCell::default(),
        })
    }

    /// Sets the incarnation of the next start. Separate processes draw a number at each start to differ.
    pub fn set_next_incarnation(&self, incarnation: u64) {
        self.process.borrow_mut().incarnation = incarnation - 1;
    }

    /// The number of dispatches without a response yet.
    pub fn in_flight(&self) -> usize {
        self.process.borrow().jobs.len()
    }

    /// Starts the process, either cold and empty, or as if up for long with copies of the given functions loaded.
    pub async fn start(
        self: &Rc<Self>,
        cold: bool,
        holds: &[FunctionId],
    ) -> std::io::Result<Address> {
        let at = self.config.address.borrow().clone();
        let (mut listener, address) = self.config.network.listen(&at).await?;
        *self.config.address.borrow_mut() = address.clone();
        let agent = match &self.config.layers {
            None
            | Some(LayersConfig {
                fetch_model: Some(_),
                ..
            }) => None,
            Some(layers) => Some(self.start_agent(layers).await?),
        };
        let now = self.config.clock.now();
        let incarnation = {
            let process = &mut *self.process.borrow_mut();
            process.incarnation += 1;
            (process.started, process.cold, process.up) = (now, cold, true);
            process.machine = self.config.machine(now, cold);
            process.machine.preload(holds.iter().copied());
            process.rescheduled = Rc::default();
            process.agent = agent;
            process.incarnation
        };
        let invoker = self.config.stated.invoker;
        let at = self.config.record_clock.now();
        self.config.record.note(Line::Invoker {
            at,
            invoker,
            incarnation,
            up: true,
            cold,
        });
        let (this, ticking) = (Rc::downgrade(self), self.clone());
        let mut tasks = self.tasks.borrow_mut();
        tasks.spawn_local(async move {
            while let Ok(stream) = listener.accept().await {
                let Some(invoker) = this.upgrade() else {
                    return;
                };
                let serving = invoker.clone();
                invoker
                    .tasks
                    .borrow_mut()
                    .spawn_local(async move { serving.serve_connection(stream).await });
            }
        });
        tasks.spawn_local(async move { ticking.run().await });
        if let Some(of) = &self.config.registry_follow {
            let (of, network, seed) = (
                of.clone(),
                self.config.network.clone(),
                self.config.seed ^ 0x4e61,
            );
            let this = Rc::downgrade(self);
            let on_update = move |update| {
                if let (Some(this), RegistryUpdate::Changed(head)) = (this.upgrade(), update) {
                    this.registry_changed(head.state);
                }
            };
            tasks.spawn_local(follow(of, network, seed, on_update));
        }
        Ok(address)
    }

    /// Stores a new registry state and prefetches the chunks of versions that a rollout stage introduces.
    fn registry_changed(self: &Rc<Self>, registry_state: RegistryState) {
        let stages = registry_state
            .aliases
            .values()
            .filter_map(|a| Some((a.model.clone(), a.stage.as_ref()?.to.clone())));
        let staged: Vec<_> = stages
            .filter_map(|(model, to)| {
                Some((
                    model.to_string(),
                    registry_state.version(&model, &to)?.version.manifest,
                ))
            })
            .collect();
        *self.registry_state.borrow_mut() = registry_state;
        // The caller may itself be one of `tasks`, which are then borrowed, so no task can be added to them here.
        for (model, manifest) in staged {
            let Some(agent) = self.agent() else { return };
            tokio::task::spawn_local(async move {
                // A failed prefetch is repeated with the first copy.
                let _ = agent.load(&model, &manifest.to_string()).await;
            });
        }
    }

    /// Adds a function that the deployment does not list, by its name `MODEL@VERSION`.
    fn add_registry_function(&self, function: FunctionId, name: &str) {
        if self.models.borrow().contains_key(&function) {
            return;
        }
        let Some((model, version)) = name.split_once('@') else {
            return;
        };
        let (Ok(model), Ok(version)) = (model.parse(), version.parse()) else {
            return;
        };
        let registry_state = self.registry_state.borrow();
        // A version not yet received from the registry is rejected as full: it never ran, so it may be retried elsewhere.
        let Some(held) = registry_state
            .version(&model, &version)
            .filter(|held| held.standing == Standing::Offered)
        else {
            return;
        };
        if function != function_id(&model, &version) {
            return;
        }
        let (v, start) = (
            &held.version,
            1_000.0 * MILLISECOND as f64 * (1.0 - self.config.fetch_share),
        );
        let function_spec = FunctionSpec {
            memory: v.memory_mb as f64,
            lanes: v.lanes as usize,
            start_time: start as Ticks,
        };
        self.process
            .borrow_mut()
            .machine
            .add_function(function, function_spec);
        self.models
            .borrow_mut()
            .insert(function, (model.to_string(), version.to_string()));
    }

    /// A function's model name and reference at the store, and the name under which the correct bytes are listed.
    fn model(&self, function: FunctionId) -> (String, String, String) {
        if let Some((model, version)) = self.models.borrow().get(&function).cloned() {
            let (model, version) = (model.parse(), version.parse());
            if let (Ok(model), Ok(version)) = (model, version) {
                let manifest = self
                    .registry_state
                    .borrow()
                    .version(&model, &version)
                    .map(|held| held.version.manifest);
                let reference = manifest.map_or("gone".to_owned(), |m| m.to_string());
                return (
                    model.to_string(),
                    reference,
                    function_name(&model, &version),
                );
            }
        }
        let stated = self
            .config
            .terms
            .functions
            .values()
            .find(|f| f.id == function);
        let name = stated.map_or("none", |f| f.name.as_str());
        (name.to_owned(), "current".into(), name.to_owned())
    }

    async fn start_agent(&self, layers: &LayersConfig) -> std::io::Result<Rc<Agent>> {
        let at = layers.agent_address.borrow().clone();
        let (listener, address) = self.config.network.listen(&at).await?;
        *layers.agent_address.borrow_mut() = address;
        let cache = Cache::open(&layers.folder, layers.cache_bytes, layers.disk.clone())?;
        let agent_config = AgentConfig {
            invoker: self.config.stated.invoker,
            seed: self.config.seed ^ 0xa6e7,
            store: layers.registry.clone(),
            serve_bytes_per_second: 200e6,
        };
        let agent = Agent::new(
            agent_config,
            cache,
            self.config.network.clone(),
            self.config.clock,
        );
        self.tasks
            .borrow_mut()
            .spawn_local(agent.clone().serve(listener));
        Ok(agent)
    }

    /// The agent, while the process is up.
    pub fn agent(&self) -> Option<Rc<Agent>> {
        self.process.borrow().agent.clone()
    }

    /// Passes the current endpoint list to the agent.
    pub fn set_peers(&self, peers: &[Peer]) {
        if let Some(agent) = &self.process.borrow().agent {
            agent.update_peers(peers);
        }
    }

    /// Kills the process: links, work and copies are lost.
    pub fn crash(&self) {
        self.tasks.borrow_mut().abort_all();
        let at = self.config.record_clock.now();
        let process = &mut *self.process.borrow_mut();
        process.links.clear();
        process.jobs.clear();
        if let Some(agent) = process.agent.take() {
            agent.kill();
        }
        process.up = false;
        let (invoker, incarnation) = (self.config.stated.invoker, process.incarnation);
        self.config.record.note(Line::Invoker {
            at,
            invoker,
            incarnation,
            up: false,
            cold: false,
        });
    }

    /// Crashes, then tears each write of the last `late` ticks with probability `part`, once no task has the files open.
    /// Returns the number of torn files.
    pub async fn lose_power(&self, late: Ticks, part: f64) -> std::io::Result<usize> {
        let since = self.config.clock.now().saturating_sub(late);
        self.crash();
        // An aborted task is dropped, and its files closed, only when the runtime next schedules it.
        tokio::time::sleep(Duration::from_millis(1)).await;
        let Some(layers) = &self.config.layers else {
            return Ok(0);
        };
        layers
            .disk
            .tear(since, part, &mut self.process.borrow_mut().rng)
    }

    pub fn is_up(&self) -> bool {
        self.process.borrow().up
    }

    /// The current endpoint list entry of this invoker.
    pub fn entry(&self, state: list::Life) -> list::Entry {
        let (process, stated) = (self.process.borrow(), &self.config.stated);
        let age = self.config.clock.now() - process.started;
        list::Entry {
            invoker: stated.invoker,
            address: self.config.address.borrow().to_string(),
            zone: stated.zone,
            kind: stated.kind as u16,
            cell: stated.cell,
            life: state,
            size: self.config.terms.size(stated.kind),
            incarnation: process.incarnation,
            age_tenths: if process.cold {
                age
            } else {
                age + 3 * self.config.terms.deployment.warm_up_time
            },
            agent: self
                .config
                .layers
                .as_ref()
                .map(|l| l.agent_address.borrow().to_string()),
        }
    }

    /// Changes the faults and the machine, and wakes the tasks that wait for a fault to end.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults, &mut Machine)) {
        change(
            &mut self.faults.borrow_mut(),
            &mut self.process.borrow_mut().machine,
        );
        self.faults_changed.notify_waiters();
    }

    /// Drops the idle copies of a random share of the functions.
    pub fn flush(&self, share: f64) {
        let process = &mut *self.process.borrow_mut();
        process.machine.flush(share, &mut process.rng);
    }

    /// Runs `then` on the machine, starts the fetches that it requests and reschedules its next event.
    fn with_machine(self: &Rc<Self>, then: impl FnOnce(&mut Machine, Ticks, &mut InvokerHost)) {
        let (now, faults) = (self.config.clock.now(), self.faults.borrow().clone());
        let process = &mut *self.process.borrow_mut();
        let (busy, waiting) = process.machine.load();
        let fresh = wire::Load {
            cores_busy: Some(busy),
            waiting: Some(waiting),
        };
        process.load_reports.push((now, fresh));
        let old = process
            .load_reports
            .iter()
            .rposition(|(at, _)| at + faults.load_report_delay <= now)
            .unwrap_or(0);
        process.load_reports.drain(..old);
        let load = process.load_reports[0].1;
        let mut host = InvokerHost {
            this: self,
            links: &process.links,
            jobs: &mut process.jobs,
            load,
            fetches: Vec::new(),
            rng: &mut process.rng,
        };
        then(&mut process.machine, now, &mut host);
        host.fetches
            .into_iter()
            .for_each(|function| self.begin_fetch(function));
        process.rescheduled.notify_one();
    }

    fn begin_fetch(self: &Rc<Self>, function: FunctionId) {
        let this = self.clone();
        let mut tasks = self.tasks.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(async move {
            let ok = this.fetch(function).await;
            this.with_machine(|machine, now, host| machine.fetch_ended(now, function, ok, host));
        });
    }

    async fn run(self: Rc<Self>) {
        loop {
            let (next, rescheduled) = {
                let process = self.process.borrow();
                (process.machine.next_event_at(), process.rescheduled.clone())
            };
            let at = next.unwrap_or(self.config.clock.now() + 1_000 * MILLISECOND);
            tokio::select! {
                biased;
                () = self.config.clock.sleep_until(at) => {
                    self.with_machine(|machine, now, host| machine.advance(now, host));
                    rescheduled.notified().await;
                }
                () = rescheduled.notified() => {}
            }
        }
    }

    async fn fetch(&self, function: FunctionId) -> bool {
        let stated = self
            .config
            .terms
            .functions
            .values()
            .find(|f| f.id == function);
        let load = stated.and_then(|f| f.load).unwrap_or(1_000 * MILLISECOND) as f64;
        let usual_tenths = (load * self.config.fetch_share) as Ticks;
        if let Some(layers) = &self.config.layers {
            let (name, reference, known_as) = self.model(function);
            // The copy is in memory from here on, so its chunks no longer have to be pinned.
            let Some(copy) = self.fetch_layers(layers, &name, &reference).await else {
                return false;
            };
            let (at, invoker) = (self.config.record_clock.now(), self.config.stated.invoker);
            let sound = layers.models.get(&known_as).is_some_and(|m| *m == copy);
            self.config.record.note(Line::CopyAssembled {
                at,
                invoker,
                function,
                matches_model: sound,
            });
            return true;
        }
        let Some(store) = &self.config.store else {
            tokio::time::sleep(Duration::from_micros(usual_tenths * 100)).await;
            return true;
        };
        let fetch = encode(&store::Fetch {
            invoker: self.config.stated.invoker,
            function,
            usual_tenths,
        });
        for tried in 0..3u32 {
            let Ok(mut stream) = self.config.network.dial(store).await else {
                return false;
            };
            if stream.write_all(&fetch).await.is_err() {
                return false;
            }
            let mut read = BytesMut::new();
            let answer = loop {
                match take_frame(&mut read) {
                    Ok(Some((kind, body))) => break store::FromStore::read(kind, &body),
                    Ok(None) => match stream.read_buf(&mut read).await {
                        Ok(n) if n > 0 => {}
                        _ => return false,
                    },
                    Err(_) => return false,
                }
            };
            match answer {
                Ok(store::FromStore::Fetched(_)) => return true,
                Ok(store::FromStore::Refused(r)) => {
                    let jitter = self.process.borrow_mut().rng.f64() + 0.5;
                    let wait = (r.come_back_tenths << tried) as f64 * jitter;
                    tokio::time::sleep(Duration::from_micros((wait * 100.0) as u64)).await;
                }
                Err(_) => return false,
            }
        }
        false
    }

    /// Reports a version to the registry if no source has intact chunks of it: it has to be pushed again or withdrawn.
    async fn report_corrupt(&self, why: &saltdrum_agent::LoadError, reference: &str) {
        let (saltdrum_agent::LoadError::Corrupt { .. }, Some(of)) =
            (why, &self.config.registry_follow)
        else {
            return;
        };
        let report = self.registry_state.borrow().versions.iter().find_map(|((model, version), held)| {
            let it = held.version.manifest.to_string() == reference;
            it.then(|| serde_json::json!({"model": model, "version": version, "why": why.to_string()}))
        });
        let Some(report) = report else { return };
        let (of, network) = (of.clone(), self.config.network.clone());
        tokio::task::spawn_local(async move {
            let reporting = async {
                let mut client = RegistryClient::connect(&network, &of.registry, &of.key).await?;
                client.call("corrupt", report).await
            };
            // A lost report is repeated by the next load that fails.
            let _ = tokio::time::timeout(Duration::from_secs(2), reporting).await;
        });
    }

    async fn fetch_layers(
        &self,
        layers: &LayersConfig,
        name: &str,
        reference: &str,
    ) -> Option<Vec<u8>> {
        if let Some(fetch_model) = layers.fetch_model {
            let (network, registry) = (self.config.network.clone(), layers.registry.clone());
            let (disk, folder) = (layers.disk.clone(), layers.folder.clone());
            return fetch_model(
                ModelSource {
                    network,
                    registry,
                    disk,
                    folder,
                },
                name.to_owned(),
            )
            .await;
        }
        // Retries once if the disk lost a chunk between load and read.
        for _ in 0..2 {
            let loaded = match self.agent()?.load(name, reference).await {
                Ok(loaded) => loaded,
                Err(why) => {
                    self.report_corrupt(&why, reference).await;
                    return None;
                }
            };
            let parts: Option<Vec<_>> = loaded
                .manifest
                .chunks
                .iter()
                .map(|c| loaded.read(c))
                .collect();
            if let Some(parts) = parts {
                return Some(parts.concat());
            }
        }
        None
    }

    async fn wait_until_reachable(&self, from: Option<u32>) {
        let unreachable =
            |f: &Faults| f.stops_reading || from.is_some_and(|c| f.partitioned_from.contains(&c));
        while unreachable(&self.faults.borrow()) {
            self.faults_changed.notified().await;
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: Stream) {
        self.wait_until_reachable(None).await;
        let (input, mut output) = split(stream);
        let clock = self.config.clock;
        let mut read = ArrivalReader::new(
            input,
            self.config.record_clock,
            self.config.event_loop.clone(),
        );
        let Some((kind, body, _)) = next_frame(&mut read).await else {
            return;
        };
        let hello = match wire::FromController::read(kind, &body) {
            Ok(wire::FromController::Hello(hello)) => hello,
            _ => return,
        };
        self.wait_until_reachable(Some(hello.controller)).await;
        let invoker = self.config.stated.invoker;
        let version = match wire::negotiate_version(&hello) {
            Ok(version) if hello.invoker == invoker => version,
            refused => {
                let why = match refused {
                    Err(e) => e.to_string(),
                    Ok(_) => format!("invoker {invoker} is here"),
                };
                let _ = output.write_all(&encode(&wire::Unwelcome { why })).await;
                return;
            }
        };
        let who = ControllerId {
            controller: hello.controller,
            incarnation: hello.incarnation,
        };
        let send_queue = SendQueue::new(16 << 20);
        let link = {
            let process = &mut *self.process.borrow_mut();
            process.last_link += 1;
            process
                .links
                .insert(process.last_link, (who, send_queue.clone()));
            let age = clock.now() - process.started;
            let age_tenths = if process.cold {
                age
            } else {
                age + 3 * self.config.terms.deployment.warm_up_time
            };
            let welcome = wire::Welcome {
                version,
                invoker,
                incarnation: process.incarnation,
                age_tenths,
            };
            send_queue.push(encode(&welcome), Ticks::MAX);
            process.last_link
        };
        tokio::select! {
            biased;
            () = self.read_messages(link, who, &mut read) => {}
            _ = send_queue.write_to(&mut output, || clock.now(), |_| ()) => {}
        }
        {
            let process = &mut *self.process.borrow_mut();
            process.links.remove(&link);
            process.job_invocations.retain(|(l, _), _| *l != link);
        }
        self.with_machine(|machine, now, host| machine.link_lost(now, link, host));
    }

    async fn read_messages(
        self: &Rc<Self>,
        link: u64,
        who: ControllerId,
        read: &mut ArrivalReader<StreamHalf>,
    ) {
        loop {
            self.wait_until_reachable(Some(who.controller)).await;
            let Some((kind, body, earliest)) = next_frame(read).await else {
                return;
            };
            let Ok(message) = wire::FromController::read(kind, &body) else {
                return;
            };
            let (at, invoker) = (self.config.record_clock.now(), self.config.stated.invoker);
            match message {
                wire::FromController::Dispatch(dispatch) => {
                    self.receive_dispatch(link, who, dispatch, earliest)
                }
                wire::FromController::Cancel(c) => {
                    if let Some((invocation, hop)) = self
                        .process
                        .borrow()
                        .job_invocations
                        .get(&(link, c.dispatch))
                        .copied()
                    {
                        self.config.record.note(Line::Cancelled {
                            at,
                            invoker,
                            who,
                            invocation,
                            hop,
                        });
                    }
                    self.with_machine(|machine, now, host| {
                        machine.cancel(now, (link, c.dispatch), host)
                    });
                }
                wire::FromController::Hold(order) => {
                    let (function, count) = (order.function, order.count);
                    self.add_registry_function(function, &order.name);
                    self.config.record.note(Line::LoadOrdered {
                        at,
                        earliest,
                        invoker,
                        who,
                        function,
                        count,
                    });
                    self.with_machine(|machine, now, host| {
                        machine.order_copies(now, (link, order.order), function, count, host)
                    });
                }
                wire::FromController::Unload(u) => {
                    self.with_machine(|machine, now, host| machine.unload(now, u.function, host));
                }
                wire::FromController::Probe(p) => {
                    let (busy, waiting) = self.process.borrow().machine.load();
                    let load = wire::Load {
                        cores_busy: Some(busy),
                        waiting: Some(waiting),
                    };
                    if let Some((_, send_queue)) = self.process.borrow().links.get(&link) {
                        send_queue.push(
                            encode(&wire::Probed {
                                probe: p.probe,
                                load,
                            }),
                            Ticks::MAX,
                        );
                    }
                }
                wire::FromController::Hello(_) => return,
            }
        }
    }

    fn receive_dispatch(
        self: &Rc<Self>,
        link: u64,
        who: ControllerId,
        dispatch: wire::Dispatch,
        earliest: Ticks,
    ) {
        let (at, job) = (self.config.record_clock.now(), (link, dispatch.dispatch));
        let input: Input = serde_json::from_slice(&dispatch.input).unwrap_or_default();
        let of = ClientAttempt {
            number: input.number,
            attempt: input.attempt,
        };
        let (invoker, invocation, hop, trigger) = (
            self.config.stated.invoker,
            dispatch.invocation,
            dispatch.hop,
            dispatch.trigger.clone(),
        );
        self.config.record.note(Line::Dispatched {
            at,
            earliest,
            invoker,
            who,
            invocation,
            hop,
            of,
            trigger: trigger.clone(),
        });
        self.add_registry_function(dispatch.function, &dispatch.name);
        let (function, passage) = (dispatch.function, input.passage);
        let held = JobContext {
            who,
            invocation,
            hop,
            of,
            trigger,
            token: dispatch.token,
            function,
            passage,
        };
        self.process
            .borrow_mut()
            .job_invocations
            .insert(job, (invocation, hop));
        let faults = self.faults.borrow().clone();
        let fails = faults
            .fails_functions
            .as_ref()
            .is_some_and(|(begin, share)| {
                dispatch.name.starts_with(begin) && self.process.borrow_mut().rng.f64() < *share
            });
        let spec = JobSpec {
            function: dispatch.function,
            work: input.work_ms * MILLISECOND as f64,
            expires: self.config.clock.now() + dispatch.left_tenths,
        };
        self.with_machine(|machine, now, host| {
            host.jobs.insert(job, held);
            let refused = faults
                .rejects_tenant
                .as_ref()
                .is_some_and(|(t, share)| *t == dispatch.tenant && host.rng.f64() < *share);
            if refused {
                host.answer(job, wire::Ended::Full, None, None, Vec::new());
            } else if host.rng.f64() < faults.error_share || fails {
                host.answer(
                    job,
                    wire::Ended::Errored,
                    None,
                    None,
                    b"told to fail".to_vec(),
                );
            } else {
                machine.dispatch(now, job, spec, host);
            }
        });
    }
}

async fn next_frame(read: &mut ArrivalReader<StreamHalf>) -> Option<(u8, bytes::Bytes, Ticks)> {
    let mut earliest = Cell::new(0);
    loop {
        if let Some((kind, body)) = take_frame(&mut read.bytes).ok()? {
            return Some((kind, body, *earliest.get_mut()));
        }
        earliest.set(read.read_more().await.ok()??);
    }
}
