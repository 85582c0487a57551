//! An invoker: sockets round a [`Machine`], and the faults it can be told to show.

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

/// What an invoker is told to do wrong. The default is nothing.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Takes work and answers nothing, until it is over; then nothing of it is answered either.
    pub hangs: bool,
    /// Share of dispatches that are answered with an error at once.
    pub error_share: f64,
    /// Share of answers that are lost on their way.
    pub lost_response_share: f64,
    /// Reads nothing from its sockets.
    pub stops_reading: bool,
    /// Nothing passes to or from these controllers.
    pub partitioned_from: Vec<u32>,
    /// Of this tenant's dispatches, so many are refused for room.
    pub rejects_tenant: Option<(String, f64)>,
    /// Of dispatches of functions whose names begin so, this share ends badly at once.
    pub fails_functions: Option<(String, f64)>,
    /// Load reports are so old.
    pub load_report_delay: Ticks,
    /// The next answers are sent by halves, and the link is closed after the half.
    pub half_frames: bool,
}

/// Tokens that invokers of one group know together.
pub type SeenTokens = Rc<RefCell<BTreeMap<(u8, u16, String), Ticks>>>;

/// What an invoker needs to be put up.
pub struct InvokerConfig {
    pub terms: Rc<DeploymentSpec>,
    pub stated: terms::InvokerSpec,
    pub network: Rc<dyn Network>,
    /// Its own, by which it works.
    pub clock: Clock,
    /// The record's, which is the same for all.
    pub record_clock: Clock,
    pub event_loop: EventLoopClock,
    pub record: Record,
    /// A port 0 becomes a real one at the first start, and is kept.
    pub address: RefCell<Address>,
    pub store: Option<Address>,
    pub tokens: SeenTokens,
    pub seed: u64,
    /// Share of a load that is the fetch.
    pub fetch_share: f64,
    /// Functions beyond the terms are versions of this registry.
    pub registry_follow: Option<FollowConfig>,
    /// Models come in chunks through an agent, in place of the plain store.
    pub layers: Option<LayersConfig>,
}

/// Where an invoker's agent sits.
pub struct LayersConfig {
    /// Outlives the process.
    pub folder: PathBuf,
    pub cache_bytes: u64,
    pub registry: Address,
    /// A port 0 becomes a real one at the first start, and is kept.
    pub agent_address: RefCell<Address>,
    pub disk: Rc<TearingDisk>,
    /// By name, what each model is: copies are compared with it, whoever brought them.
    pub models: Rc<BTreeMap<String, Vec<u8>>>,
    /// Brings models in place of the agent.
    pub fetch_model: Option<FetchModel>,
}

/// Where something that brings models finds the store, and where it may keep what it likes over its lives.
pub struct ModelSource {
    pub network: Rc<dyn Network>,
    pub registry: Address,
    pub disk: Rc<dyn Disk>,
    pub folder: PathBuf,
}

/// Brings the bytes of the model of this name; none where it could not be had.
pub type FetchModel = fn(ModelSource, String) -> Pin<Box<dyn Future<Output = Option<Vec<u8>>>>>;

pub struct Invoker {
    pub config: InvokerConfig,
    pub faults: RefCell<Faults>,
    life: RefCell<Life>,
    tasks: RefCell<JoinSet<()>>,
    calm: Notify,
    /// As the registry last told it.
    book: RefCell<RegistryState>,
    /// Versions that were asked for: model, and reference at the store.
    models: RefCell<BTreeMap<FunctionId, (String, String)>>,
}

/// What ends with the process.
struct Life {
    incarnation: u64,
    started: Ticks,
    cold: bool,
    up: bool,
    machine: Machine,
    links: BTreeMap<u64, (ControllerId, SendQueue)>,
    links_made: u64,
    jobs: BTreeMap<Job, Held>,
    /// What jobs of open links were: a cancel may come after the end.
    past: BTreeMap<Job, (u32, u8)>,
    reports: Vec<(Ticks, wire::Load)>,
    rng: fastrand::Rng,
    moved: Rc<Notify>,
    agent: Option<Rc<Agent>>,
}

#[derive(Clone)]
struct Held {
    who: ControllerId,
    invocation: u32,
    hop: u8,
    of: ClientAttempt,
    trigger: String,
    token: Option<String>,
    function: FunctionId,
    passage: Option<String>,
}

#[derive(serde::Deserialize, Default)]
struct Input {
    #[serde(default)]
    n: u64,
    #[serde(default)]
    attempt: u32,
    #[serde(default)]
    work_ms: f64,
    #[serde(default)]
    passage: Option<String>,
}

/// Hands what the machine says to the sockets and the record.
struct Desk<'a> {
    this: &'a Rc<Invoker>,
    links: &'a BTreeMap<u64, (ControllerId, SendQueue)>,
    jobs: &'a mut BTreeMap<Job, Held>,
    load: wire::Load,
    fetches: Vec<FunctionId>,
    rng: &'a mut fastrand::Rng,
}

impl MachineHost for Desk<'_> {
    fn begin_job(&mut self, job: Job) -> bool {
        let Some(h) = self.jobs.get(&job).cloned() else {
            return true;
        };
        let site = &self.this.config;
        let at = site.record_clock.now();
        let repeat = h
            .token
            .as_ref()
            .is_some_and(|t| site.knows(&h.trigger, t, at));
        let invoker = site.stated.invoker;
        site.record.note(Line::Started {
            at,
            invoker,
            who: h.who,
            invocation: h.invocation,
            hop: h.hop,
            of: h.of,
            token: h.token,
            repeat,
        });
        if let Some(passage) = h.passage {
            site.record.note(Line::PassageStep {
                at,
                invoker,
                of: h.of,
                function: h.function,
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
        if let Some((_, outbox)) = self.links.get(&link).filter(|(who, _)| !lost(who)) {
            outbox.push(
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

impl Desk<'_> {
    fn answer(
        &mut self,
        job: Job,
        ended: wire::Ended,
        found: Option<wire::Found>,
        crowd: Option<u8>,
        output: Vec<u8>,
    ) {
        let Some(h) = self.jobs.remove(&job) else {
            return;
        };
        let faults = self.this.faults.borrow();
        let cut = faults.partitioned_from.contains(&h.who.controller);
        let lost = faults.hangs || cut || self.rng.f64() < faults.lost_response_share;
        let link = self.links.get(&job.0).filter(|_| !lost);
        if let Some((_, outbox)) = link {
            let frame = encode(&wire::Answer {
                dispatch: job.1,
                ended,
                found,
                crowd,
                load: self.load,
                output: output.into(),
            });
            if faults.half_frames {
                outbox.push(frame.slice(..frame.len() / 2), Ticks::MAX);
                outbox.close();
            } else {
                outbox.push(frame, Ticks::MAX);
            }
        }
        let told = link.is_some() && !faults.half_frames;
        let (invoker, ended) = (
            self.this.config.stated.invoker,
            format!("{ended:?}").to_lowercase(),
        );
        let Held {
            who,
            invocation,
            hop,
            of,
            ..
        } = h;
        let at = self.this.config.record_clock.now();
        let line = Line::Ended {
            at,
            invoker,
            who,
            invocation,
            hop,
            of,
            ended,
            response_sent: told,
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

    /// Whether the token was seen within its window; from now on it is.
    fn knows(&self, trigger: &str, token: &str, now: Ticks) -> bool {
        let Some(t) = self
            .trigger(trigger)
            .filter(|t| t.effect == Effect::IdempotencyKey)
        else {
            return false;
        };
        let group = match t.key_scope {
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
            .is_some_and(|at| now < at + t.idempotency_window);
        if !known {
            tokens.insert(key, now);
        }
        known
    }

    fn machine(&self, now: Ticks, cold: bool) -> Machine {
        let (kind, d) = (&self.terms.kinds[self.stated.kind], &self.terms.deployment);
        let per_core = |n: u32| (n * kind.cores) as usize;
        let build = MachineConfig {
            cores: kind.cores.into(),
            speed: kind.speed,
            memory: kind.memory.0,
            slots: per_core(kind.slots_per_core),
            queue: per_core(kind.queue_per_core),
            loads_at_once: kind.loads_at_once as usize,
            keep_alive: d.keep_alive,
            misses: d.reports_misses,
            stops_running: false,
            cold_share: d.initial_capacity_share,
            cold_time: d.warm_up_time,
            started: cold.then_some(now),
        };
        let shape = |f: &terms::Function| {
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
            build,
            self.terms.functions.values().map(shape).collect(),
        )
    }
}

impl Invoker {
    pub fn new(site: InvokerConfig) -> Rc<Self> {
        let now = site.clock.now();
        let life = Life {
            incarnation: 0,
            started: now,
            cold: false,
            up: false,
            machine: site.machine(now, false),
            links: BTreeMap::new(),
            links_made: 0,
            jobs: BTreeMap::new(),
            past: BTreeMap::new(),
            reports: Vec::new(),
            rng: fastrand::Rng::with_seed(site.seed),
            moved: Rc::default(),
            agent: None,
        };
        Rc::new(Self {
            config: site,
            faults: RefCell::default(),
            life: RefCell::new(life),
            tasks: RefCell::default(),
            calm: Notify::new(),
            book: RefCell::default(),
            models: RefCell::default(),
        })
    }

    /// Its next life is this one. Lives of separate processes are told apart by a number drawn at each start.
    pub fn set_next_incarnation(&self, incarnation: u64) {
        self.life.borrow_mut().incarnation = incarnation - 1;
    }

    /// Work in hand: dispatches that are not answered yet.
    pub fn in_flight(&self) -> usize {
        self.life.borrow().jobs.len()
    }

    /// Starts the process: cold and empty, or as if it had long been up and held what it is given.
    pub async fn start(
        self: &Rc<Self>,
        cold: bool,
        holds: &[FunctionId],
    ) -> std::io::Result<Address> {
        let at = self.config.address.borrow().clone();
        let (mut door, address) = self.config.network.listen(&at).await?;
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
            let life = &mut *self.life.borrow_mut();
            life.incarnation += 1;
            (life.started, life.cold, life.up) = (now, cold, true);
            life.machine = self.config.machine(now, cold);
            life.machine.preload(holds.iter().copied());
            life.moved = Rc::default();
            life.agent = agent;
            life.incarnation
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
            while let Ok(stream) = door.accept().await {
                let Some(invoker) = this.upgrade() else {
                    return;
                };
                let attending = invoker.clone();
                invoker
                    .tasks
                    .borrow_mut()
                    .spawn_local(async move { attending.attend(stream).await });
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
            let hear = move |heard| {
                if let (Some(this), RegistryUpdate::Changed(head)) = (this.upgrade(), heard) {
                    this.told(head.state);
                }
            };
            tasks.spawn_local(follow(of, network, seed, hear));
        }
        Ok(address)
    }

    /// The registry's book has changed: chunks of versions that a stage will bring are fetched ahead.
    fn told(self: &Rc<Self>, book: RegistryState) {
        let stages = book
            .aliases
            .values()
            .filter_map(|a| Some((a.model.clone(), a.stage.as_ref()?.to.clone())));
        let coming: Vec<_> = stages
            .filter_map(|(model, to)| {
                Some((
                    model.to_string(),
                    book.version(&model, &to)?.version.manifest,
                ))
            })
            .collect();
        *self.book.borrow_mut() = book;
        // Whoever tells us may stand in the very tasks: they can't be added to here.
        for (model, manifest) in coming {
            let Some(agent) = self.agent() else { return };
            tokio::task::spawn_local(async move {
                // Not there now: it is fetched with the first copy.
                let _ = agent.load(&model, &manifest.to_string()).await;
            });
        }
    }

    /// Makes a function known that the terms do not state, by its name `MODEL@VERSION`.
    fn learn(&self, function: FunctionId, name: &str) {
        if self.models.borrow().contains_key(&function) {
            return;
        }
        let Some((model, version)) = name.split_once('@') else {
            return;
        };
        let (Ok(model), Ok(version)) = (model.parse(), version.parse()) else {
            return;
        };
        let book = self.book.borrow();
        // What the registry has not told us yet is refused for room: it never ran, and may go elsewhere.
        let Some(held) = book
            .version(&model, &version)
            .filter(|h| h.standing == Standing::Offered)
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
        let shape = FunctionSpec {
            memory: v.memory_mb as f64,
            lanes: v.lanes as usize,
            start_time: start as Ticks,
        };
        self.life.borrow_mut().machine.add_function(function, shape);
        self.models
            .borrow_mut()
            .insert(function, (model.to_string(), version.to_string()));
    }

    /// Under which name and reference the store has a function's model, and the name it is compared by.
    fn model(&self, function: FunctionId) -> (String, String, String) {
        if let Some((model, version)) = self.models.borrow().get(&function).cloned() {
            let (model, version) = (model.parse(), version.parse());
            if let (Ok(model), Ok(version)) = (model, version) {
                let manifest = self
                    .book
                    .borrow()
                    .version(&model, &version)
                    .map(|h| h.version.manifest);
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
        let (door, address) = self.config.network.listen(&at).await?;
        *layers.agent_address.borrow_mut() = address;
        let cache = Cache::open(&layers.folder, layers.cache_bytes, layers.disk.clone())?;
        let seat = AgentConfig {
            invoker: self.config.stated.invoker,
            seed: self.config.seed ^ 0xa6e7,
            store: layers.registry.clone(),
            serve_bytes_per_second: 200e6,
        };
        let agent = Agent::new(seat, cache, self.config.network.clone(), self.config.clock);
        self.tasks
            .borrow_mut()
            .spawn_local(agent.clone().serve(door));
        Ok(agent)
    }

    /// Its agent, while it is up.
    pub fn agent(&self) -> Option<Rc<Agent>> {
        self.life.borrow().agent.clone()
    }

    /// Tells its agent of the list as it is now.
    pub fn set_peers(&self, peers: &[Peer]) {
        if let Some(agent) = &self.life.borrow().agent {
            agent.update_peers(peers);
        }
    }

    /// The process dies: links, work and copies are gone.
    pub fn crash(&self) {
        self.tasks.borrow_mut().abort_all();
        let at = self.config.record_clock.now();
        let life = &mut *self.life.borrow_mut();
        life.links.clear();
        life.jobs.clear();
        if let Some(agent) = life.agent.take() {
            agent.kill();
        }
        life.up = false;
        let (invoker, incarnation) = (self.config.stated.invoker, life.incarnation);
        self.config.record.note(Line::Invoker {
            at,
            invoker,
            incarnation,
            up: false,
            cold: false,
        });
    }

    /// As `crash`; of what its disk took in the last `late`, each write is torn with a chance of `part`, once nothing
    /// holds the files any more. Tells how many were.
    pub async fn lose_power(&self, late: Ticks, part: f64) -> std::io::Result<usize> {
        let since = self.config.clock.now().saturating_sub(late);
        self.crash();
        // What was aborted is dropped when its turn comes, and with it the files that it holds.
        tokio::time::sleep(Duration::from_millis(1)).await;
        let Some(layers) = &self.config.layers else {
            return Ok(0);
        };
        layers
            .disk
            .tear(since, part, &mut self.life.borrow_mut().rng)
    }

    pub fn is_up(&self) -> bool {
        self.life.borrow().up
    }

    /// Its line on the list, as it is now.
    pub fn entry(&self, state: list::Life) -> list::Entry {
        let (life, stated) = (self.life.borrow(), &self.config.stated);
        let age = self.config.clock.now() - life.started;
        list::Entry {
            invoker: stated.invoker,
            address: self.config.address.borrow().to_string(),
            zone: stated.zone,
            kind: stated.kind as u16,
            cell: stated.cell,
            life: state,
            size: self.config.terms.size(stated.kind),
            incarnation: life.incarnation,
            age_tenths: if life.cold {
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

    /// Lets faults begin or end.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults, &mut Machine)) {
        change(
            &mut self.faults.borrow_mut(),
            &mut self.life.borrow_mut().machine,
        );
        self.calm.notify_waiters();
    }

    pub fn flush(&self, share: f64) {
        let life = &mut *self.life.borrow_mut();
        life.machine.flush(share, &mut life.rng);
    }

    /// Lets the machine work on something, and sees to what it asks for.
    fn with(self: &Rc<Self>, then: impl FnOnce(&mut Machine, Ticks, &mut Desk)) {
        let (now, faults) = (self.config.clock.now(), self.faults.borrow().clone());
        let life = &mut *self.life.borrow_mut();
        let (busy, waiting) = life.machine.load();
        let fresh = wire::Load {
            cores_busy: Some(busy),
            waiting: Some(waiting),
        };
        life.reports.push((now, fresh));
        let old = life
            .reports
            .iter()
            .rposition(|(at, _)| at + faults.load_report_delay <= now)
            .unwrap_or(0);
        life.reports.drain(..old);
        let load = life.reports[0].1;
        let mut desk = Desk {
            this: self,
            links: &life.links,
            jobs: &mut life.jobs,
            load,
            fetches: Vec::new(),
            rng: &mut life.rng,
        };
        then(&mut life.machine, now, &mut desk);
        desk.fetches
            .into_iter()
            .for_each(|function| self.begin_fetch(function));
        life.moved.notify_one();
    }

    fn begin_fetch(self: &Rc<Self>, function: FunctionId) {
        let this = self.clone();
        let mut tasks = self.tasks.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(async move {
            let ok = this.fetch(function).await;
            this.with(|machine, now, yard| machine.fetch_ended(now, function, ok, yard));
        });
    }

    async fn run(self: Rc<Self>) {
        loop {
            let (next, moved) = {
                let life = self.life.borrow();
                (life.machine.next_event_at(), life.moved.clone())
            };
            let at = next.unwrap_or(self.config.clock.now() + 1_000 * MILLISECOND);
            tokio::select! {
                biased;
                () = self.config.clock.sleep_until(at) => {
                    self.with(|machine, now, yard| machine.advance(now, yard));
                    moved.notified().await;
                }
                () = moved.notified() => {}
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
            // The copy is in memory from here on; its chunks need not be pinned any more.
            let Some(copy) = self.bring(layers, &name, &reference).await else {
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
                    let jitter = self.life.borrow_mut().rng.f64() + 0.5;
                    let wait = (r.come_back_tenths << tried) as f64 * jitter;
                    tokio::time::sleep(Duration::from_micros((wait * 100.0) as u64)).await;
                }
                Err(_) => return false,
            }
        }
        false
    }

    /// A version of which no source holds is told to the registry: someone has to push it again, or withdraw it.
    async fn tell_corrupt(&self, why: &saltdrum_agent::LoadError, reference: &str) {
        let (saltdrum_agent::LoadError::Corrupt { .. }, Some(of)) =
            (why, &self.config.registry_follow)
        else {
            return;
        };
        let said = self.book.borrow().versions.iter().find_map(|((model, version), held)| {
            let it = held.version.manifest.to_string() == reference;
            it.then(|| serde_json::json!({"model": model, "version": version, "why": why.to_string()}))
        });
        let Some(said) = said else { return };
        let (of, network) = (of.clone(), self.config.network.clone());
        tokio::task::spawn_local(async move {
            let telling = async {
                let mut caller = RegistryClient::connect(&network, &of.registry, &of.key).await?;
                caller.call("corrupt", said).await
            };
            // The next load that fails tells it again.
            let _ = tokio::time::timeout(Duration::from_secs(2), telling).await;
        });
    }

    async fn bring(&self, layers: &LayersConfig, name: &str, reference: &str) -> Option<Vec<u8>> {
        if let Some(brings) = layers.fetch_model {
            let (network, registry) = (self.config.network.clone(), layers.registry.clone());
            let (disk, folder) = (layers.disk.clone(), layers.folder.clone());
            return brings(
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
        // A chunk that the disk loses between load and read is fetched anew, once.
        for _ in 0..2 {
            let loaded = match self.agent()?.load(name, reference).await {
                Ok(loaded) => loaded,
                Err(why) => {
                    self.tell_corrupt(&why, reference).await;
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

    async fn unstuck(&self, from: Option<u32>) {
        let stuck =
            |f: &Faults| f.stops_reading || from.is_some_and(|c| f.partitioned_from.contains(&c));
        while stuck(&self.faults.borrow()) {
            self.calm.notified().await;
        }
    }

    async fn attend(self: Rc<Self>, stream: Stream) {
        self.unstuck(None).await;
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
            Ok(wire::FromController::Hello(h)) => h,
            _ => return,
        };
        self.unstuck(Some(hello.controller)).await;
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
        let outbox = SendQueue::new(16 << 20);
        let link = {
            let life = &mut *self.life.borrow_mut();
            life.links_made += 1;
            life.links.insert(life.links_made, (who, outbox.clone()));
            let age = clock.now() - life.started;
            let age_tenths = if life.cold {
                age
            } else {
                age + 3 * self.config.terms.deployment.warm_up_time
            };
            let welcome = wire::Welcome {
                version,
                invoker,
                incarnation: life.incarnation,
                age_tenths,
            };
            outbox.push(encode(&welcome), Ticks::MAX);
            life.links_made
        };
        tokio::select! {
            biased;
            () = self.hear(link, who, &mut read) => {}
            _ = outbox.write_to(&mut output, || clock.now(), |_| ()) => {}
        }
        {
            let life = &mut *self.life.borrow_mut();
            life.links.remove(&link);
            life.past.retain(|(l, _), _| *l != link);
        }
        self.with(|machine, now, yard| machine.link_lost(now, link, yard));
    }

    async fn hear(
        self: &Rc<Self>,
        link: u64,
        who: ControllerId,
        read: &mut ArrivalReader<StreamHalf>,
    ) {
        loop {
            self.unstuck(Some(who.controller)).await;
            let Some((kind, body, earliest)) = next_frame(read).await else {
                return;
            };
            let Ok(message) = wire::FromController::read(kind, &body) else {
                return;
            };
            let (at, invoker) = (self.config.record_clock.now(), self.config.stated.invoker);
            match message {
                wire::FromController::Dispatch(d) => self.take(link, who, d, earliest),
                wire::FromController::Cancel(c) => {
                    if let Some((invocation, hop)) =
                        self.life.borrow().past.get(&(link, c.dispatch)).copied()
                    {
                        self.config.record.note(Line::Cancelled {
                            at,
                            invoker,
                            who,
                            invocation,
                            hop,
                        });
                    }
                    self.with(|machine, now, yard| machine.cancel(now, (link, c.dispatch), yard));
                }
                wire::FromController::Hold(h) => {
                    let (function, count) = (h.function, h.count);
                    self.learn(function, &h.name);
                    self.config.record.note(Line::LoadOrdered {
                        at,
                        earliest,
                        invoker,
                        who,
                        function,
                        count,
                    });
                    self.with(|machine, now, yard| {
                        machine.order_copies(now, (link, h.order), function, count, yard)
                    });
                }
                wire::FromController::Unload(u) => {
                    self.with(|machine, now, yard| machine.unload(now, u.function, yard));
                }
                wire::FromController::Probe(p) => {
                    let (busy, waiting) = self.life.borrow().machine.load();
                    let load = wire::Load {
                        cores_busy: Some(busy),
                        waiting: Some(waiting),
                    };
                    if let Some((_, outbox)) = self.life.borrow().links.get(&link) {
                        outbox.push(
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

    fn take(self: &Rc<Self>, link: u64, who: ControllerId, d: wire::Dispatch, earliest: Ticks) {
        let (at, job) = (self.config.record_clock.now(), (link, d.dispatch));
        let input: Input = serde_json::from_slice(&d.input).unwrap_or_default();
        let of = ClientAttempt {
            number: input.n,
            attempt: input.attempt,
        };
        let (invoker, invocation, hop, trigger) = (
            self.config.stated.invoker,
            d.invocation,
            d.hop,
            d.trigger.clone(),
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
        self.learn(d.function, &d.name);
        let (function, passage) = (d.function, input.passage);
        let held = Held {
            who,
            invocation,
            hop,
            of,
            trigger,
            token: d.token,
            function,
            passage,
        };
        self.life.borrow_mut().past.insert(job, (invocation, hop));
        let faults = self.faults.borrow().clone();
        let fails = faults
            .fails_functions
            .as_ref()
            .is_some_and(|(begin, share)| {
                d.name.starts_with(begin) && self.life.borrow_mut().rng.f64() < *share
            });
        let ask = JobSpec {
            function: d.function,
            work: input.work_ms * MILLISECOND as f64,
            expires: self.config.clock.now() + d.left_tenths,
        };
        self.with(|machine, now, yard| {
            yard.jobs.insert(job, held);
            let refused = faults
                .rejects_tenant
                .as_ref()
                .is_some_and(|(t, share)| *t == d.tenant && yard.rng.f64() < *share);
            if refused {
                yard.answer(job, wire::Ended::Full, None, None, Vec::new());
            } else if yard.rng.f64() < faults.error_share || fails {
                yard.answer(
                    job,
                    wire::Ended::Errored,
                    None,
                    None,
                    b"told to fail".to_vec(),
                );
            } else {
                machine.dispatch(now, job, ask, yard);
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
