//! Runs a day: stand-ins and clients on one thread, controllers on threads of their own or, in virtual time, all on one
//! thread. Injects the troubles at their times.

use crate::clients::Clients;
use crate::script::{Day, Kind, Layers, Trouble};
use crate::traffic;
use saltdrum::interface::{Effect, KeyScope, SECOND, Ticks};
use saltdrum_agent::{Counts, Peer};
use saltdrum_controller::{AliasConfig, ControllerConfig, dispatch_policy};
use saltdrum_deployment::DeploymentSpec;
use saltdrum_fakes::disk::TearingDisk;
use saltdrum_fakes::invoker::{self, FetchModel, InvokerConfig, SeenTokens};
use saltdrum_fakes::record::{self, ControllerId, Line, Record};
use saltdrum_fakes::{EndpointList, Invoker, ModelStore, OciRegistry};
use saltdrum_layers::Digest;
use saltdrum_layers::plan::Member;
use saltdrum_protocol::list::Life;
use saltdrum_registry::client::RegistryClient;
use saltdrum_registry::follow::FollowConfig;
use saltdrum_registry::state::{Change, Stage as MoveStage, Version};
use saltdrum_registry::store::ChangeRequest;
use saltdrum_registry::{Name, Namespace, Store as Ledger, service};
use saltdrum_simulated_network::{Link, Links, ProcessPause, SimulatedNetwork, pausable};
use saltdrum_transport::{
    Address, Clock, EventLoopClock, Network, SocketNetwork, run_event_loop_clock,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet};
use tracing::{info, warn};

/// How controllers are run, which determines how they are killed and stalled.
enum Runtime {
    /// Each controller on a thread of its own, on the machine's sockets. Socket files are created in the folder.
    Threads(std::path::PathBuf),
    /// All controllers on this thread, on streams of an emulated network.
    Virtual(SimulatedNetwork),
}

impl Runtime {
    /// Returns the network interface of the host with this name.
    fn host(&self, name: &str) -> Rc<dyn Network> {
        match self {
            Self::Threads(_) => Rc::new(SocketNetwork),
            Self::Virtual(network) => network.host(name),
        }
    }
}

/// A running controller.
enum ControllerProcess {
    Thread {
        stall_sender: mpsc::UnboundedSender<Duration>,
        thread: std::thread::JoinHandle<Vec<Line>>,
    },
    Task {
        pause: ProcessPause,
        task: JoinHandle<()>,
    },
}

/// Runs a controller until the future is dropped.
pub type Serve =
    fn(ControllerConfig, Rc<dyn Network>, Clock) -> Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Runs the real controller, which days use unless a test replaces it.
pub fn serve(
    config: ControllerConfig,
    network: Rc<dyn Network>,
    clock: Clock,
) -> Pin<Box<dyn Future<Output = io::Result<()>>>> {
    Box::pin(saltdrum_controller::serve(
        config,
        network,
        clock,
        dispatch_policy,
    ))
}

/// Replacements for real components.
#[derive(Clone, Copy)]
pub struct Overrides {
    pub serve: Serve,
    /// Fetches models for invokers in place of their agents, on days with layers.
    pub brings: Option<FetchModel>,
}

impl Overrides {
    /// Replaces the controller only; invokers fetch models through their agents.
    pub fn of(serve: Serve) -> Self {
        Self {
            serve,
            brings: None,
        }
    }
}

/// Controllers by policy name: the design, and baselines for comparison.
pub const POLICIES: &[(&str, Serve)] = &[
    ("design", serve),
    ("random", |config, network, clock| {
        Box::pin(saltdrum_controller::serve(
            config,
            network,
            clock,
            saltdrum_controller::random_relay,
        ))
    }),
    ("fewest-out", |config, network, clock| {
        Box::pin(saltdrum_controller::serve(
            config,
            network,
            clock,
            saltdrum_controller::least_in_flight_relay,
        ))
    }),
    ("rendezvous", |config, network, clock| {
        Box::pin(saltdrum_controller::serve(
            config,
            network,
            clock,
            saltdrum_controller::rendezvous_relay,
        ))
    }),
];

/// All components of a running day.
struct Stage {
    serve: Serve,
    day: Rc<Day>,
    runtime: Runtime,
    clock: Clock,
    record: Record,
    start: Ticks,
    invokers: BTreeMap<u32, Rc<Invoker>>,
    store: Rc<ModelStore>,
    list: Rc<EndpointList>,
    registry: Rc<OciRegistry>,
    registry_service: Option<RegistryService>,
    /// Folder for the controllers' copies of the registry's state.
    copies_folder: PathBuf,
    /// Lives of the invokers as their agents know them, updated with the same delay as for controllers.
    peer_lives: RefCell<BTreeMap<u32, Life>>,
    /// Counts of crashed invokers' agents: chunks from cache, peers and store, bytes from the store, damaged chunks.
    agent_counts: Cell<[u64; 5]>,
    list_address: Address,
    clients: Rc<Clients>,
    controllers: RefCell<BTreeMap<u32, ControllerProcess>>,
    incarnations: RefCell<BTreeMap<u32, u64>>,
    ended_threads: RefCell<Vec<std::thread::JoinHandle<Vec<Line>>>>,
}

/// The registry of model versions, a service that can be killed and restarted.
struct RegistryService {
    ledger: PathBuf,
    address: Address,
    key: String,
    running: RefCell<Option<(Rc<service::Registry>, JoinHandle<()>)>>,
}

impl RegistryService {
    fn follow_config(&self, who: String, copy: Option<PathBuf>) -> FollowConfig {
        FollowConfig {
            registry: self.address.clone(),
            key: self.key.clone(),
            follower_name: who,
            copy_path: copy,
        }
    }

    async fn start(&self, network: &dyn Network, clock: Clock) -> io::Result<()> {
        let ledger = Ledger::open_file(&self.ledger).map_err(io::Error::other)?;
        let registry = service::Registry::new(ledger, None, Rc::new(move || clock.now() / 10));
        let (door, _) = network.listen(&self.address).await?;
        let task = tokio::task::spawn_local(registry.clone().accept_connections(door, clock));
        *self.running.borrow_mut() = Some((registry, task));
        Ok(())
    }

    fn abort(&self) {
        if let Some((_, task)) = self.running.borrow().as_ref() {
            task.abort();
        }
    }

    /// Summarizes the moves in the registry's history.
    fn summarize(&self, at: Ticks) -> io::Result<Line> {
        let running = self.running.borrow();
        // If the registry is down at the end of the day, its file is read as at a restart.
        let entries = match running.as_ref() {
            Some((registry, _)) => registry.history(),
            None => Ledger::open_file(&self.ledger)
                .and_then(|ledger| ledger.entries_after(0, usize::MAX)),
        };
        let entries = entries.map_err(io::Error::other)?;
        let count =
            |of: fn(&Change) -> bool| entries.iter().filter(|e| of(&e.change)).count() as u64;
        Ok(Line::RegistryTotals {
            at,
            revision: entries.last().map_or(0, |e| e.revision),
            moves: count(|c| matches!(c, Change::Move { expect: 1.., .. })),
            stages_well: count(|c| {
                matches!(
                    c,
                    Change::EndStage {
                        is_success: true,
                        ..
                    }
                )
            }),
            corrupt: running
                .as_ref()
                .map_or_else(Vec::new, |(registry, _)| registry.corrupt_versions()),
            stages_stopped: count(|c| {
                matches!(
                    c,
                    Change::EndStage {
                        is_success: false,
                        ..
                    }
                )
            }),
        })
    }

    /// Ends the registry as a kill does, without notifying clients.
    async fn kill(&self) {
        let running = self.running.borrow_mut().take();
        if let Some((registry, task)) = running {
            task.abort();
            let _ = task.await;
            drop(registry);
        }
    }
}

fn parse_name(text: &str) -> Name {
    text.parse()
        .expect("names are validated when the script is parsed")
}

/// Pushes all versions of each function's model to the store and the registry's ledger, with an alias for the first version.
/// Returns the key of the registry's owner.
fn push_versions(
    day: &Day,
    ledger: &Path,
    store: &OciRegistry,
    models: &mut BTreeMap<String, Vec<u8>>,
) -> io::Result<String> {
    let mut ledger = Ledger::open_file(ledger).map_err(io::Error::other)?;
    let key = service::create_first_owner(&mut ledger, &parse_name("stage"), [7; 32], 0)
        .map_err(io::Error::other)?;
    let mut changes = Vec::new();
    for function in day.terms.functions.values() {
        for number in 1..=day.versions {
            let tag = format!("v{number}");
            let manifest = if day.layers == Layers::Off {
                Digest::of(format!("{}@{tag}", function.name).as_bytes())
            } else {
                let mut rng = fastrand::Rng::with_seed(function.id);
                let mut model: Vec<u8> = (0..day.model_bytes).map(|_| rng.u8(..)).collect();
                // Versions of a model share three quarters of their bytes.
                let shared_bytes = day.model_bytes * 3 / 4;
                let mut version_rng =
                    fastrand::Rng::with_seed(function.id ^ u64::from(number) << 32);
                model[shared_bytes..]
                    .iter_mut()
                    .for_each(|b| *b = version_rng.u8(..));
                let manifest = store.push(&function.name, &tag, &model)?;
                models.insert(format!("{}@{tag}", function.name), model);
                Digest::of(&manifest.to_json())
            };
            let version = Version {
                manifest,
                bytes: day.model_bytes as u64,
                memory_mb: function.memory as u64,
                lanes: function.lanes as u32,
                trigger_types: vec![day.terms.trigger_type_names[function.trigger].clone()],
            };
            changes.push(Change::Push {
                model: parse_name(&function.name),
                name: parse_name(&tag),
                version,
            });
        }
        let (namespace, alias) = (
            Namespace::All,
            parse_name(&format!("{}-current", function.name)),
        );
        let (model, version) = (parse_name(&function.name), parse_name("v1"));
        changes.push(Change::Move {
            space: namespace,
            alias,
            model,
            version,
            expect: 0,
            stage: None,
        });
    }
    let requests = changes
        .into_iter()
        .map(|change| ChangeRequest {
            who: "stage".into(),
            at_ms: 0,
            change,
        })
        .collect();
    for result in ledger.commit(requests).map_err(io::Error::other)? {
        result.map_err(io::Error::other)?;
    }
    Ok(key)
}

/// Runs a day on the machine's sockets and returns the record.
pub fn play_on_sockets(day: &Day, folder: &Path) -> io::Result<Vec<Line>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(
        &runtime,
        play(day.clone(), Some(folder), Overrides::of(serve)),
    )
}

/// Runs a day in virtual time, on in-memory streams, and returns the record.
pub fn play_virtually(day: &Day, serve: Serve) -> io::Result<Vec<Line>> {
    play_with_overrides(day, Overrides::of(serve))
}

/// Like [`play_virtually`], with replaced components.
pub fn play_with_overrides(day: &Day, overrides: Overrides) -> io::Result<Vec<Line>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    LocalSet::new().block_on(&runtime, play(day.clone(), None, overrides))
}

/// Converts the specification to the line of the record that states the deployment.
fn rule_parameters(terms: &DeploymentSpec) -> record::RuleParameters {
    let deployment = &terms.deployment;
    let trigger =
        |(trigger_type, name): (&saltdrum::interface::TriggerType, &String)| record::Trigger {
            name: name.clone(),
            effect: match trigger_type.effect {
                Effect::Idempotent => "idempotent",
                Effect::IdempotencyKey => "tokened",
                Effect::NonIdempotent => "non-idempotent",
            }
            .into(),
            scope: match trigger_type.key_scope {
                KeyScope::All => "all",
                KeyScope::Zone => "zone",
                KeyScope::Cell => "cell",
            }
            .into(),
            repeat_window: trigger_type.idempotency_window,
            objective: trigger_type.latency_objective,
            billed_value: trigger_type.billed_value,
        };
    let place = |spec: &saltdrum_deployment::terms::InvokerSpec| record::InvokerInfo {
        invoker: spec.invoker,
        zone: spec.zone,
        cell: spec.cell,
        pace: f64::from(terms.size(spec.kind)),
    };
    record::RuleParameters {
        triggers: deployment
            .trigger_types
            .iter()
            .zip(&terms.trigger_type_names)
            .map(trigger)
            .collect(),
        places: terms.invokers.iter().map(place).collect(),
        parallel_dispatches: deployment.may_attempt_in_parallel,
        drain_grace: deployment.drain_grace,
        cold_share: deployment.initial_capacity_share,
        cold_time: deployment.warm_up_time,
        tip_factor: deployment.overload_factor,
        tip_window: deployment.overload_window,
        order_window: deployment.load_window,
        orders_free: deployment.free_loads,
        orders_share: deployment.loads_per_invocation,
    }
}

/// Runs a day on the current `LocalSet` and returns the record, in order of time.
async fn play(day: Day, folder: Option<&Path>, overrides: Overrides) -> io::Result<Vec<Line>> {
    let (clock, record, event_loop_clock) =
        (Clock::start(), Record::default(), EventLoopClock::default());
    let runtime = match folder {
        Some(folder) => Runtime::Threads(folder.to_owned()),
        None => {
            let network = &day.network;
            let link = Link {
                delay: network.delay,
                jitter: network.jitter,
            };
            let links = Links::new(link, network.bytes_per_second, day.seed ^ 0xe7e4);
            Runtime::Virtual(SimulatedNetwork::new(
                clock,
                links,
                event_loop_clock.clone(),
            ))
        }
    };
    record.note(Line::RuleParameters(rule_parameters(&day.terms)));
    let stall_record = record.clone();
    tokio::task::spawn_local(run_event_loop_clock(
        event_loop_clock.clone(),
        clock,
        move |now, gap| {
            stall_record.note(Line::ThreadStalled {
                at: now - gap,
                until: now,
                thread: "stage".into(),
            });
        },
    ));
    let listen_address = |name: &str| match &runtime {
        Runtime::Threads(_) => Address::Tcp("127.0.0.1:0".into()),
        Runtime::Virtual(_) => Address::Memory(name.into()),
    };
    let (store, store_address) = ModelStore::open(
        runtime.host("store"),
        clock,
        record.clone(),
        &listen_address("store"),
        day.store_limit,
    )
    .await?;
    let (list, list_address) = EndpointList::open(
        runtime.host("list"),
        clock,
        record.clone(),
        &listen_address("list"),
    )
    .await?;
    let registry = OciRegistry::new(day.store_limit, day.seed);
    let registry_address = registry
        .open(&*runtime.host("store"), &listen_address("registry"))
        .await?;
    // The folder is deleted at the end of the day.
    let day_folder = tempfile::Builder::new()
        .prefix("saltdrum-layers-")
        .tempdir()?;
    let registry_service_address = match &runtime {
        Runtime::Threads(folder) => {
            Address::Unix(folder.join("registry.sock").to_string_lossy().into_owned())
        }
        Runtime::Virtual(_) => Address::Memory("names".into()),
    };
    let mut models = BTreeMap::new();
    if day.layers != Layers::Off {
        for f in day.terms.functions.values() {
            let mut rng = fastrand::Rng::with_seed(f.id);
            let model: Vec<u8> = (0..day.model_bytes).map(|_| rng.u8(..)).collect();
            registry.push(&f.name, "current", &model)?;
            models.insert(f.name.clone(), model);
        }
        // At full bandwidth, fetching one model takes as long as the fetch in a mean load.
        let loads = day
            .terms
            .functions
            .values()
            .map(|f| f.load.unwrap_or(SECOND) as f64 / SECOND as f64);
        let mean = loads.sum::<f64>() / day.terms.functions.len() as f64;
        registry
            .bytes_per_second
            .set(day.model_bytes as f64 / (FETCH_SHARE * mean));
        registry.full_speed_requests.set(MAX_FULL_SPEED_FETCHES);
    }
    let registry_service = if day.versions == 0 {
        None
    } else {
        let ledger = day_folder.path().join("registry.redb");
        let key = push_versions(&day, &ledger, &registry, &mut models)?;
        let registry_service = RegistryService {
            ledger,
            address: registry_service_address,
            key,
            running: RefCell::default(),
        };
        registry_service
            .start(&*runtime.host("registry"), clock)
            .await?;
        Some(registry_service)
    };
    let (terms, tokens, models) = (
        Rc::new(day.terms.clone()),
        SeenTokens::default(),
        Rc::new(models),
    );
    let mut invokers = BTreeMap::new();
    for stated in &day.terms.invokers {
        let invoker_clock = skewed_clock(&day, &runtime, clock, 0x1c10c, stated.invoker);
        let config = InvokerConfig {
            terms: terms.clone(),
            stated: stated.clone(),
            network: runtime.host(&format!("invoker-{}", stated.invoker)),
            clock: invoker_clock,
            record_clock: clock,
            event_loop: event_loop_clock.clone(),
            record: record.clone(),
            address: RefCell::new(listen_address(&format!("invoker-{}", stated.invoker))),
            store: Some(store_address.clone()),
            tokens: tokens.clone(),
            seed: day.seed ^ (u64::from(stated.invoker) << 32),
            fetch_share: FETCH_SHARE,
            registry_follow: registry_service
                .as_ref()
                .map(|n| n.follow_config(format!("invoker-{}", stated.invoker), None)),
            layers: (day.layers != Layers::Off).then(|| invoker::LayersConfig {
                folder: day_folder.path().join(stated.invoker.to_string()),
                cache_bytes: 1 << 30,
                registry: registry_address.clone(),
                agent_address: RefCell::new(listen_address(&format!("agent-{}", stated.invoker))),
                disk: Rc::new(TearingDisk::new(invoker_clock)),
                models: models.clone(),
                fetch_model: overrides.brings,
            }),
        };
        let invoker = Invoker::new(config);
        // The invoker has been up for a long time, so half of the functions are warm on it.
        let all: Vec<u64> = day.terms.functions.values().map(|f| f.id).collect();
        let first = stated.invoker as usize * 5 % all.len();
        let warm_functions: Vec<u64> = all
            .iter()
            .cycle()
            .skip(first)
            .take(all.len().div_ceil(2))
            .copied()
            .collect();
        invoker.start(false, &warm_functions).await?;
        list.publish(invoker.entry(Life::Ready));
        invokers.insert(stated.invoker, invoker);
    }
    let day = Rc::new(day);
    let clients = Clients::new(
        day.clone(),
        runtime.host("clients"),
        clock,
        event_loop_clock,
        record.clone(),
    );
    let stage = Rc::new(Stage {
        serve: overrides.serve,
        start: clock.now() + SECOND / 2,
        day,
        runtime,
        clock,
        record,
        invokers,
        store,
        list,
        registry,
        registry_service,
        copies_folder: day_folder.path().to_owned(),
        peer_lives: RefCell::default(),
        agent_counts: Cell::default(),
        list_address,
        clients,
        controllers: RefCell::default(),
        incarnations: RefCell::default(),
        ended_threads: RefCell::default(),
    });
    for invoker in stage.invokers.keys() {
        stage.peer_lives.borrow_mut().insert(*invoker, Life::Ready);
    }
    let peer_updates = stage.clone();
    let peer_updates = tokio::task::spawn_local(async move { peer_updates.update_peers().await });
    for controller in 1..=stage.day.terms.deployment.controllers {
        stage.start_controller(controller)?;
    }
    stage.clone().run().await;
    peer_updates.abort();
    let lines = stage.tear_down();
    drop(day_folder);
    lines
}

/// Creates the clock of a controller or invoker. Clocks are skewed because messages between processes must not depend on
/// absolute time. On the machine's sockets, all share the machine's clock.
fn skewed_clock(day: &Day, runtime: &Runtime, clock: Clock, salt: u64, number: u32) -> Clock {
    if matches!(runtime, Runtime::Threads(_)) {
        return clock;
    }
    let network = &day.network;
    let mut rng = fastrand::Rng::with_seed(day.seed ^ salt ^ (u64::from(number) << 20));
    let ahead = Duration::from_micros(rng.u64(0..=network.clocks_ahead) * 100);
    let drift = i64::from(network.clocks_drift);
    clock.skewed(ahead, rng.i64(-drift..=drift))
}

/// Share of a load's duration that is the fetch.
const FETCH_SHARE: f64 = 0.6;
/// Concurrent fetches that the store serves at full bandwidth.
const MAX_FULL_SPEED_FETCHES: f64 = 6.0;

impl Stage {
    fn at(&self, offset: Ticks) -> Ticks {
        self.start + offset
    }

    /// Returns a controller's zone. Controllers are spread evenly over the zones.
    fn zone_of(&self, controller: u32) -> u8 {
        ((controller - 1) % self.day.terms.zones.len().max(1) as u32) as u8
    }

    /// Starts a new incarnation of a controller.
    fn start_controller(&self, controller: u32) -> io::Result<()> {
        let incarnation = self
            .incarnations
            .borrow()
            .get(&controller)
            .map_or(1, |i| i + 1);
        self.incarnations
            .borrow_mut()
            .insert(controller, incarnation);
        let address = match &self.runtime {
            Runtime::Threads(folder) => {
                let path = folder.join(format!("controller-{controller}-{incarnation}.sock"));
                Address::Unix(path.to_string_lossy().into_owned())
            }
            Runtime::Virtual(_) => {
                Address::Memory(format!("controller-{controller}-{incarnation}"))
            }
        };
        let zone = self.zone_of(controller);
        let aliases = self.registry_service.as_ref().map(|n| AliasConfig {
            registry: n.follow_config(
                format!("controller-{controller}"),
                Some(self.copies_folder.join(format!("names-{controller}"))),
            ),
            pin_duration: 120 * SECOND,
            epoch_ms: 0,
        });
        let make_config =
            move |terms: DeploymentSpec, clients: Address, list: Address, seed: u64| {
                ControllerConfig {
                    controller,
                    incarnation,
                    seed,
                    zone,
                    client_addresses: vec![clients],
                    endpoint_lists: vec![list],
                    terms: Rc::new(terms),
                    aliases,
                    shutdown: Default::default(),
                    listens_when_ready: false,
                }
            };
        let seed = self.day.seed ^ (u64::from(controller) << 40) ^ (incarnation << 56);
        let (terms, list, clock) = (
            self.day.terms.clone(),
            self.list_address.clone(),
            self.clock,
        );
        let serve = self.serve;
        let process = match &self.runtime {
            Runtime::Threads(_) => {
                let (stall_sender, mut stall_receiver) = mpsc::unbounded_channel::<Duration>();
                let clients = address.clone();
                let builder = std::thread::Builder::new().name(format!("controller-{controller}"));
                let thread = builder.spawn(move || {
                    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                    let Ok(runtime) = runtime else { return Vec::new() };
                    let thread_record = Record::default();
                    let stall_record = thread_record.clone();
                    let stall_watch = async move {
                        let thread = format!("controller-{controller}");
                        run_event_loop_clock(EventLoopClock::default(), clock, move |now, gap| {
                            let thread = thread.clone();
                            stall_record.note(Line::ThreadStalled { at: now - gap, until: now, thread });
                        })
                        .await;
                    };
                    let injected_stalls = async {
                        while let Some(stall) = stall_receiver.recv().await {
                            std::thread::sleep(stall);
                        }
                    };
                    runtime.block_on(async {
                        tokio::select! {
                            biased;
                            done = serve(make_config(terms, clients, list, seed), Rc::new(SocketNetwork), clock) => {
                                if let Err(e) = done {
                                    warn!(controller, %e, "controller failed to serve");
                                }
                            }
                            () = stall_watch => {}
                            () = injected_stalls => {}
                        }
                    });
                    thread_record.take()
                })?;
                ControllerProcess::Thread {
                    stall_sender,
                    thread,
                }
            }
            Runtime::Virtual(network) => {
                let network = network.host(&format!("controller-{controller}"));
                let config = make_config(terms, address.clone(), list, seed);
                let (pause, stall_record) = (ProcessPause::default(), self.record.clone());
                let skewed = skewed_clock(&self.day, &self.runtime, clock, 0xc10c, controller);
                let controller_run = async move {
                    let stall_watch =
                        run_event_loop_clock(EventLoopClock::default(), clock, move |now, gap| {
                            let thread = format!("controller-{controller}");
                            stall_record.note(Line::ThreadStalled {
                                at: now - gap,
                                until: now,
                                thread,
                            });
                        });
                    tokio::select! {
                        biased;
                        done = serve(config, network, skewed) => {
                            if let Err(e) = done {
                                warn!(controller, %e, "controller failed to serve");
                            }
                        }
                        () = stall_watch => {}
                    }
                };
                let task = tokio::task::spawn_local(pausable(pause.clone(), controller_run));
                ControllerProcess::Task { pause, task }
            }
        };
        self.controllers.borrow_mut().insert(controller, process);
        let who = ControllerId {
            controller,
            incarnation,
        };
        self.record.note(Line::Controller {
            at: self.clock.now(),
            who,
            up: true,
        });
        let mut endpoints = self.clients.endpoints.borrow_mut();
        endpoints.retain(|(w, ..)| w.controller != controller);
        endpoints.push((who, address, true));
        endpoints.sort_by_key(|(w, ..)| *w);
        Ok(())
    }

    /// Ends a controller as a kill does: its sockets close without any message.
    fn kill_controller(&self, controller: u32) {
        let Some(process) = self.controllers.borrow_mut().remove(&controller) else {
            return;
        };
        let who = ControllerId {
            controller,
            incarnation: self.incarnations.borrow()[&controller],
        };
        self.record.note(Line::Controller {
            at: self.clock.now(),
            who,
            up: false,
        });
        match process {
            ControllerProcess::Thread {
                stall_sender,
                thread,
            } => {
                drop(stall_sender);
                self.ended_threads.borrow_mut().push(thread);
            }
            ControllerProcess::Task { task, .. } => task.abort(),
        }
        for endpoint in self
            .clients
            .endpoints
            .borrow_mut()
            .iter_mut()
            .filter(|f| f.0 == who)
        {
            endpoint.2 = false;
        }
    }

    fn stall_controller(&self, controller: u32, span: Ticks) {
        let span = Duration::from_micros(span * 100);
        match self.controllers.borrow().get(&controller) {
            Some(ControllerProcess::Thread { stall_sender, .. }) => drop(stall_sender.send(span)),
            Some(ControllerProcess::Task { pause, .. }) => pause.pause_for(span),
            None => {}
        }
    }

    /// Changes the connections between the affected controllers and invokers, in one direction or both.
    fn change_connections(
        &self,
        trouble: &Trouble,
        change: impl Fn(&SimulatedNetwork, &str, &str),
    ) {
        let Runtime::Virtual(network) = &self.runtime else {
            return warn!(
                t.name = trouble.name,
                "trouble skipped: it requires the emulated network"
            );
        };
        for controller in trouble
            .controllers
            .iter()
            .map(|controller| format!("controller-{controller}"))
        {
            for invoker in trouble
                .invokers
                .iter()
                .map(|invoker| format!("invoker-{invoker}"))
            {
                if trouble.ways.0 {
                    change(network, &controller, &invoker);
                }
                if trouble.ways.1 {
                    change(network, &invoker, &controller);
                }
            }
        }
    }

    async fn run(self: Rc<Self>) {
        for trouble in self.day.troubles.clone() {
            let this = self.clone();
            tokio::task::spawn_local(async move {
                this.clock.sleep_until(this.at(trouble.at)).await;
                let (at, until) = (this.clock.now(), this.at(trouble.at + trouble.lasts));
                let affected = match trouble.kind {
                    Kind::ControllerCrash | Kind::ControllerRoll | Kind::ControllerStall => {
                        format!(" of controllers {:?}", trouble.controllers)
                    }
                    Kind::LineCut | Kind::LineSlow => {
                        format!(
                            " of controllers {:?} and invokers {:?}",
                            trouble.controllers, trouble.invokers
                        )
                    }
                    Kind::HotFunction => format!(" {:?}", trouble.functions),
                    Kind::RefusedForRoom => {
                        format!(" of {}", trouble.tenant.clone().unwrap_or_default())
                    }
                    _ if trouble.invokers.len() < this.invokers.len() => {
                        format!(" of invokers {:?}", trouble.invokers)
                    }
                    _ => String::new(),
                };
                let text = format!("{}{affected}", trouble.name);
                info!(text, "trouble");
                this.record.note(Line::FaultInjected { at, until, text });
                this.inject(trouble).await;
            });
        }
        if self.day.moves > 0 {
            tokio::task::spawn_local(self.clone().move_aliases());
        }
        let arrivals = traffic::draw(&self.day);
        info!(invocations = arrivals.len(), "day started");
        for (index, arrival) in arrivals.into_iter().enumerate() {
            self.clock.sleep_until(self.at(arrival.at)).await;
            tokio::task::spawn_local(self.clients.clone().invoke(index as u64 + 1, arrival));
        }
        self.clock.sleep_until(self.at(self.day.length)).await;
        self.record.note(Line::TrafficEnded {
            at: self.clock.now(),
        });
        let longest_timeout = self
            .day
            .terms
            .deployment
            .trigger_types
            .iter()
            .map(|t| t.client_timeout)
            .max();
        let attempts = u64::from(self.day.retries) + 1;
        let longest_invocation =
            attempts * (longest_timeout.unwrap_or(0) + 4 * self.day.backoff) + SECOND;
        tokio::time::sleep(Duration::from_micros(longest_invocation * 100)).await;
        // Waits for the passages in progress, at most for as long as all of their invocations may take.
        let deadline = self.clock.now() + longest_invocation * Ticks::from(self.day.passage);
        while self.clients.active_passages.get() > 0 && self.clock.now() < deadline {
            self.sleep(SECOND / 10).await;
        }
    }

    /// Requests a change from the registry.
    async fn change_registry(&self, change: Change) -> Result<(), String> {
        let Some(registry_service) = &self.registry_service else {
            return Ok(());
        };
        let connection = RegistryClient::connect(
            &self.runtime.host("admin"),
            &registry_service.address,
            &registry_service.key,
        )
        .await;
        let mut caller = connection.map_err(|e| e.to_string())?;
        let request = caller.call("change", serde_json::json!({ "change": change }));
        let response = tokio::time::timeout(Duration::from_secs(2), request)
            .await
            .map_err(|e| e.to_string())?;
        response.map(|_| ()).map_err(|e| e.to_string())
    }

    /// Moves each alias to its next version once per period.
    async fn move_aliases(self: Rc<Self>) {
        let functions: Vec<String> = self.day.terms.functions.keys().cloned().collect();
        for turn in 1u32.. {
            let period = self.at(self.day.moves * Ticks::from(turn));
            if period > self.at(self.day.length) {
                return;
            }
            self.clock.sleep_until(period).await;
            for function in &functions {
                let alias = parse_name(&format!("{function}-current"));
                let running = self
                    .registry_service
                    .as_ref()
                    .and_then(|n| Some(n.running.borrow().as_ref()?.0.clone()));
                // While the registry is down, no alias can be moved.
                let Some(registry_state) = running.map(|registry| registry.state()) else {
                    break;
                };
                let Some(current) = registry_state.alias(&Namespace::All, &alias).cloned() else {
                    continue;
                };
                let current_number: u32 = current
                    .version
                    .to_string()
                    .trim_start_matches('v')
                    .parse()
                    .unwrap_or(1);
                let version = parse_name(&format!("v{}", current_number % self.day.versions + 1));
                let (space, model, expect) =
                    (Namespace::All, current.model.clone(), current.changed);
                let stage = |to: &Name| MoveStage {
                    to: to.clone(),
                    per_mille: 100,
                    errors_per_mille: 100,
                    answers: 40,
                };
                let change = match (&current.stage, self.day.staged) {
                    // A stage is still in progress, with too few responses to end it.
                    (Some(_), _) => continue,
                    (None, true) => {
                        let stage = Some(stage(&version));
                        Change::Move {
                            space,
                            alias,
                            model,
                            version,
                            expect,
                            stage,
                        }
                    }
                    (None, false) => Change::Move {
                        space,
                        alias,
                        model,
                        version,
                        expect,
                        stage: None,
                    },
                };
                if let Err(why) = self.change_registry(change).await {
                    info!(f = function, why, "alias move failed");
                }
            }
        }
    }

    async fn sleep(&self, span: Ticks) {
        tokio::time::sleep(Duration::from_micros(span * 100)).await;
    }

    /// Updates the agents' peers twice a second. Real agents follow the endpoint list themselves.
    async fn update_peers(&self) {
        let deployment = &self.day.terms.deployment;
        if self.day.layers == Layers::Off {
            return;
        }
        loop {
            let peer = |(id, life): (&u32, &Life)| {
                let invoker = &self.invokers[id];
                let age =
                    invoker.entry(*life).age_tenths as f64 / deployment.warm_up_time.max(1) as f64;
                let member = Member {
                    invoker: *id,
                    size: f64::from(self.day.terms.size(invoker.config.stated.kind)),
                    capacity_share: (deployment.initial_capacity_share
                        + (1.0 - deployment.initial_capacity_share) * age)
                        .min(1.0),
                    ready: *life == Life::Ready,
                };
                Some(Peer {
                    member,
                    address: invoker
                        .config
                        .layers
                        .as_ref()?
                        .agent_address
                        .borrow()
                        .clone(),
                })
            };
            let peers: Vec<Peer> = self.peer_lives.borrow().iter().filter_map(peer).collect();
            for (id, invoker) in &self.invokers {
                match self.day.layers {
                    Layers::Shared => invoker.set_peers(&peers),
                    _ => invoker.set_peers(
                        &peers
                            .iter()
                            .filter(|p| p.member.invoker == *id)
                            .cloned()
                            .collect::<Vec<_>>(),
                    ),
                }
            }
            self.sleep(SECOND / 2).await;
        }
    }

    /// Publishes an invoker's life to the endpoint list and the agents.
    fn publish_life(&self, invoker: u32, life: Life) {
        self.list.publish(self.invokers[&invoker].entry(life));
        match life {
            Life::Gone => drop(self.peer_lives.borrow_mut().remove(&invoker)),
            life => drop(self.peer_lives.borrow_mut().insert(invoker, life)),
        }
    }

    /// Kills an invoker's process after adding up its agent's counts.
    fn crash(&self, invoker: u32) {
        self.count_agent(invoker);
        self.invokers[&invoker].crash();
    }

    /// Adds the counts of an invoker's agent to the totals, since they are lost with the process.
    fn count_agent(&self, invoker: u32) {
        if let Some(agent) = self.invokers[&invoker].agent() {
            let counts: &Counts = &agent.counts;
            let [
                from_cache,
                from_peers,
                from_store,
                bytes_from_store,
                damaged,
            ] = self.agent_counts.get();
            self.agent_counts.set([
                from_cache + counts.from_cache.get(),
                from_peers + counts.from_peers.get(),
                from_store + counts.from_store.get(),
                bytes_from_store + counts.bytes_from_store.get(),
                damaged + counts.damaged.get() + agent.cache.counts.damaged.get(),
            ]);
        }
    }

    /// Publishes an invoker's life after the delay of the endpoint list.
    fn publish_life_later(self: &Rc<Self>, invoker: u32, life: Life) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            this.sleep(this.day.list_notice).await;
            this.publish_life(invoker, life);
        });
    }

    async fn restart(self: &Rc<Self>, invoker: u32) {
        if let Err(e) = self.invokers[&invoker].start(true, &[]).await {
            warn!(invoker, %e, "invoker restart failed");
            return;
        }
        self.publish_life_later(invoker, Life::Ready);
    }

    fn update_faults(&self, invokers: &[u32], change: impl Fn(&mut saltdrum_fakes::Faults)) {
        invokers
            .iter()
            .for_each(|i| self.invokers[i].update_faults(|f, _| change(f)));
    }

    /// Injects a trouble and removes it after its duration.
    async fn inject(self: &Rc<Self>, trouble: Trouble) {
        let affected = || {
            trouble
                .invokers
                .iter()
                .map(|invoker| &self.invokers[invoker])
        };
        match trouble.kind {
            Kind::Crash => {
                for invoker in trouble
                    .invokers
                    .iter()
                    .filter(|invoker| self.invokers[invoker].is_up())
                {
                    self.crash(*invoker);
                    self.publish_life_later(*invoker, Life::Gone);
                }
                self.sleep(trouble.lasts).await;
                for invoker in &trouble.invokers {
                    self.restart(*invoker).await;
                }
            }
            Kind::PowerCut => {
                for invoker in trouble
                    .invokers
                    .iter()
                    .filter(|invoker| self.invokers[invoker].is_up())
                {
                    self.count_agent(*invoker);
                    match self.invokers[invoker]
                        .lose_power(trouble.delay, trouble.part)
                        .await
                    {
                        Ok(torn) => info!(invoker = *invoker, torn, "invoker lost power"),
                        Err(e) => {
                            warn!(invoker = *invoker, %e, "tearing the invoker's disk failed")
                        }
                    }
                    self.publish_life_later(*invoker, Life::Gone);
                }
                self.sleep(trouble.lasts).await;
                for invoker in &trouble.invokers {
                    self.restart(*invoker).await;
                }
            }
            Kind::RegistryLost => {
                if let Some(registry_service) = &self.registry_service {
                    registry_service.kill().await;
                    self.sleep(trouble.lasts).await;
                    if let Err(e) = registry_service
                        .start(&*self.runtime.host("registry"), self.clock)
                        .await
                    {
                        warn!(%e, "registry restart failed");
                    }
                }
            }
            Kind::RegistryCut => {
                let Runtime::Virtual(network) = &self.runtime else {
                    return warn!(
                        t.name = trouble.name,
                        "trouble skipped: it requires the emulated network"
                    );
                };
                let change_both_ways = |change: &dyn Fn(&SimulatedNetwork, &str, &str)| {
                    for controller in trouble
                        .controllers
                        .iter()
                        .map(|controller| format!("controller-{controller}"))
                    {
                        change(network, &controller, "registry");
                        change(network, "registry", &controller);
                    }
                };
                change_both_ways(&SimulatedNetwork::cut);
                self.sleep(trouble.lasts).await;
                change_both_ways(&SimulatedNetwork::heal);
            }
            // Affects the second version of the first named model, on all affected invokers.
            Kind::VersionErrs => {
                let function_prefix = trouble.functions.first().map(|f| format!("{f}@v2"));
                self.update_faults(&trouble.invokers, |f| {
                    f.fails_functions = function_prefix.clone().map(|b| (b, trouble.part))
                });
                self.sleep(trouble.lasts).await;
                self.update_faults(&trouble.invokers, |f| f.fails_functions = None);
            }
            Kind::Withdrawn => {
                for function in &trouble.functions {
                    let running = self
                        .registry_service
                        .as_ref()
                        .and_then(|n| Some(n.running.borrow().as_ref()?.0.clone()));
                    let Some(registry_state) = running.map(|registry| registry.state()) else {
                        continue;
                    };
                    let alias = registry_state
                        .alias(&Namespace::All, &parse_name(&format!("{function}-current")));
                    let Some(previous_version) = alias.and_then(|a| a.previous.clone()) else {
                        continue;
                    };
                    let change = Change::Withdraw {
                        model: parse_name(function),
                        name: previous_version,
                    };
                    if let Err(why) = self.change_registry(change).await {
                        warn!(f = function, why, "withdrawing a version failed");
                    }
                }
            }
            // With named models, only the chunks of their latest versions are damaged, for which there is no other source.
            Kind::StoreDamages
                if trouble.functions.len() < self.day.terms.functions.len()
                    && !trouble.functions.is_empty() =>
            {
                for function in &trouble.functions {
                    self.registry
                        .damage_model(function, &format!("v{}", self.day.versions));
                }
                self.sleep(trouble.lasts).await;
                self.registry.faults.borrow_mut().damaged.clear();
            }
            Kind::StoreDamages => {
                self.registry.damage(trouble.part);
                self.sleep(trouble.lasts).await;
                self.registry.faults.borrow_mut().damaged.clear();
            }
            Kind::ZoneCut => {
                let cut_invokers: Vec<u32> = self
                    .invokers
                    .values()
                    .filter(|invoker| Some(invoker.config.stated.zone) == trouble.zone)
                    .map(|invoker| invoker.config.stated.invoker)
                    .collect();
                let all = 1..=self.day.terms.deployment.controllers;
                let other_controllers: Vec<u32> = all
                    .filter(|controller| Some(self.zone_of(*controller)) != trouble.zone)
                    .collect();
                self.update_faults(&cut_invokers, |f| {
                    f.partitioned_from.clone_from(&other_controllers)
                });
                self.sleep(trouble.lasts).await;
                self.update_faults(&cut_invokers, |f| f.partitioned_from.clear());
            }
            Kind::Slow => {
                affected()
                    .for_each(|invoker| invoker.update_faults(|_, m| m.slowness = trouble.times));
                self.sleep(trouble.lasts).await;
                affected().for_each(|invoker| invoker.update_faults(|_, m| m.slowness = 1.0));
            }
            Kind::Ageing => {
                affected().for_each(|invoker| {
                    invoker.update_faults(|_, m| m.start_ageing(trouble.times))
                });
                self.sleep(trouble.lasts).await;
                affected().for_each(|invoker| invoker.update_faults(|_, m| m.start_ageing(0.0)));
            }
            Kind::Hang => {
                self.update_faults(&trouble.invokers, |f| f.hangs = true);
                self.sleep(trouble.lasts).await;
                self.update_faults(&trouble.invokers, |f| f.hangs = false);
            }
            Kind::FastErrors => {
                self.update_faults(&trouble.invokers, |f| f.error_share = trouble.part);
                self.sleep(trouble.lasts).await;
                self.update_faults(&trouble.invokers, |f| f.error_share = 0.0);
            }
            Kind::LateReports => {
                self.update_faults(&trouble.invokers, |f| f.load_report_delay = trouble.delay);
                self.sleep(trouble.lasts).await;
                self.update_faults(&trouble.invokers, |f| f.load_report_delay = 0);
            }
            Kind::AnswersLost => {
                self.update_faults(&trouble.invokers, |f| f.lost_response_share = trouble.part);
                self.sleep(trouble.lasts).await;
                self.update_faults(&trouble.invokers, |f| f.lost_response_share = 0.0);
            }
            Kind::RefusedForRoom => {
                let tenant = trouble.tenant.clone().unwrap_or_default();
                self.update_faults(&trouble.invokers, |f| {
                    f.rejects_tenant = Some((tenant.clone(), trouble.part))
                });
                self.sleep(trouble.lasts).await;
                self.update_faults(&trouble.invokers, |f| f.rejects_tenant = None);
            }
            Kind::StuckSockets => {
                self.update_faults(&trouble.invokers, |f| f.stops_reading = true);
                self.sleep(trouble.lasts).await;
                self.update_faults(&trouble.invokers, |f| f.stops_reading = false);
            }
            Kind::HalfFrames => {
                self.update_faults(&trouble.invokers, |f| f.half_frames = true);
                self.sleep(trouble.lasts).await;
                self.update_faults(&trouble.invokers, |f| f.half_frames = false);
            }
            Kind::Flush => affected().for_each(|invoker| invoker.flush(trouble.part)),
            Kind::StoreSlow => {
                self.store.slowness.set(trouble.times);
                self.registry.slowness.set(trouble.times);
                self.sleep(trouble.lasts).await;
                self.store.slowness.set(1.0);
                self.registry.slowness.set(1.0);
            }
            Kind::StoreRefuses => {
                // The store of chunks refuses a share of requests, the store of whole models refuses all.
                let limit = self.store.max_in_flight.replace(0);
                self.registry.faults.borrow_mut().refuse_share = trouble.part;
                self.sleep(trouble.lasts).await;
                self.store.max_in_flight.set(limit);
                self.registry.faults.borrow_mut().refuse_share = 0.0;
            }
            Kind::LineCut => {
                self.change_connections(&trouble, SimulatedNetwork::cut);
                self.sleep(trouble.lasts).await;
                self.change_connections(&trouble, SimulatedNetwork::heal);
            }
            Kind::LineSlow => {
                let line = Link {
                    delay: trouble.delay,
                    jitter: trouble.delay / 2,
                };
                self.change_connections(&trouble, |network, from, to| {
                    network.add_slowdown(from, to, line)
                });
                self.sleep(trouble.lasts).await;
                self.change_connections(&trouble, |network, from, to| {
                    network.remove_slowdown(from, to, line)
                });
            }
            Kind::ListLost => {
                self.list.stop();
                self.sleep(trouble.lasts).await;
                if let Err(e) = self.list.resume().await {
                    warn!(%e, "endpoint list restart failed");
                }
            }
            Kind::Deploy => {
                for batch in trouble.invokers.chunks(trouble.batch) {
                    batch
                        .iter()
                        .for_each(|invoker| self.publish_life(*invoker, Life::Draining));
                    self.sleep(trouble.delay.max(SECOND)).await;
                    for invoker in batch {
                        self.crash(*invoker);
                        self.publish_life(*invoker, Life::Gone);
                    }
                    self.sleep(SECOND / 2).await;
                    for invoker in batch {
                        self.restart(*invoker).await;
                    }
                    self.sleep(self.day.list_notice).await;
                }
            }
            Kind::ControllerCrash => {
                trouble
                    .controllers
                    .iter()
                    .for_each(|controller| self.kill_controller(*controller));
                self.sleep(trouble.lasts).await;
                trouble
                    .controllers
                    .iter()
                    .for_each(|controller| self.restart_controller(*controller));
            }
            Kind::ControllerRoll => {
                for batch in trouble.controllers.chunks(trouble.batch) {
                    batch
                        .iter()
                        .for_each(|controller| self.kill_controller(*controller));
                    self.sleep(trouble.lasts).await;
                    batch
                        .iter()
                        .for_each(|controller| self.restart_controller(*controller));
                    self.sleep(SECOND).await;
                }
            }
            Kind::ControllerStall => trouble
                .controllers
                .iter()
                .for_each(|controller| self.stall_controller(*controller, trouble.lasts)),
            Kind::BadInput => self.clients.send_malformed_requests().await,
            // These kinds are applied to the arrivals before the day begins.
            Kind::HotFunction | Kind::HeavyTail | Kind::ClientHangUps | Kind::SlowReaders => {}
        }
    }

    fn restart_controller(&self, controller: u32) {
        if let Err(e) = self.start_controller(controller) {
            warn!(controller, %e, "controller restart failed");
        }
    }

    /// Stops all components and returns the record.
    fn tear_down(&self) -> io::Result<Vec<Line>> {
        let mut lines = self.record.take();
        for (_, process) in std::mem::take(&mut *self.controllers.borrow_mut()) {
            match process {
                ControllerProcess::Thread {
                    stall_sender,
                    thread,
                } => {
                    drop(stall_sender);
                    self.ended_threads.borrow_mut().push(thread);
                }
                ControllerProcess::Task { task, .. } => task.abort(),
            }
        }
        for thread in self.ended_threads.borrow_mut().drain(..) {
            lines.extend(
                thread
                    .join()
                    .map_err(|_| io::Error::other("a controller's thread panicked"))?,
            );
        }
        for i in self
            .invokers
            .iter()
            .filter(|(_, i)| i.is_up())
            .map(|(id, _)| *id)
        {
            self.crash(i);
        }
        if let Some(registry_service) = &self.registry_service {
            registry_service.abort();
            lines.push(registry_service.summarize(self.clock.now())?);
        }
        if self.day.layers != Layers::Off {
            let requests = self.registry.requests.borrow();
            let [
                from_cache,
                from_peers,
                from_store,
                bytes_from_store,
                damaged,
            ] = self.agent_counts.get();
            lines.push(Line::LayerTotals {
                at: self.clock.now(),
                chunks: requests.len() as u64,
                store_requests: requests.values().map(|n| u64::from(*n)).sum(),
                bytes_from_store,
                from_cache,
                from_peers,
                from_store,
                damaged,
            });
        }
        Ok(lines)
    }
}
