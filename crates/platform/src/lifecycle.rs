//! Lifecycle of a controller: start, ready, reload on SIGHUP, shutdown on SIGTERM.

use crate::acceptor::{accept_clients, sweep};
use crate::clients::Clients;
use crate::endpoint_watch::{self, EndpointWatch};
use crate::invoker_pools::InvokerPools;
use crate::limits::ResourceLimits;
use crate::start_times::{WallClock, WallClockHistory};
use crate::state::{ControllerHandle, NodeConfig};
use saltdrum::interface::*;
use saltdrum_controller::InvocationTable;
use saltdrum_controller::PolicyFactory;
use saltdrum_platform_wire::config::{self, Config};
use saltdrum_platform_wire::feed::{Event, LIST_LIFETIME};
use saltdrum_transport::{Address, Clock, Listener, Network, run_event_loop_clock};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tracing::{info, warn};

mod shutdown;

pub(crate) use shutdown::leave;

/// A bad file is read again so often and so many times: a second in all, well within the 4 s after which what the feed has
/// to tell counts as told.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const RELOAD_RETRIES_MAX: usize = 10;
/// Who stands still for less has too little of a core; for longer, it was stopped.
const STOPPED_THRESHOLD: Ticks = 500 * MILLISECOND;
/// Why a controller can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration file can't be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        error: std::io::Error,
    },
    /// The configuration file holds a fault.
    #[error("{path}: {fault}")]
    Config {
        /// The file.
        path: String,
        /// The field at fault.
        fault: config::ConfigError,
    },
    /// An environment variable contradicts the configuration file.
    #[error("{variable} {value}: {expected} is expected, as in the configuration")]
    EnvironmentMismatch {
        /// The variable.
        variable: &'static str,
        /// Its value.
        value: String,
        /// What the configuration file says.
        expected: String,
    },
    /// The listening socket can't be opened.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: String,
        /// What the system says.
        error: std::io::Error,
    },
    /// Signal handlers can't be installed.
    #[error("signals: {0}")]
    Signals(std::io::Error),
}

/// What a controller is started with.
pub struct StartOptions {
    /// The configuration file.
    pub config: PathBuf,
    /// As the environment says it; must be what the file says, where it is said.
    pub listen: Option<String>,
    /// The name from the environment, with the same condition.
    pub name: Option<String>,
    /// From the one place that reads the system's clock.
    pub wall_clock: WallClock,
}

fn read(life: &StartOptions) -> Result<Config, StartError> {
    let path = life.config.display().to_string();
    let text = std::fs::read_to_string(&life.config).map_err(|error| StartError::Unreadable {
        path: path.clone(),
        error,
    })?;
    let config = config::parse(&text).map_err(|fault| StartError::Config { path, fault })?;
    let listen = config.listen.to_string();
    let said = [
        ("RELAY_LISTEN", &life.listen, listen),
        ("RELAY_NAME", &life.name, config.name.clone()),
    ];
    for (variable, value, expected) in said {
        if let Some(value) = value.as_ref().filter(|value| **value != expected) {
            return Err(StartError::EnvironmentMismatch {
                variable,
                value: value.clone(),
                expected,
            });
        }
    }
    Ok(config)
}

/// Runs one controller until SIGTERM and its last response.
pub async fn serve(
    life: StartOptions,
    network: Rc<dyn Network>,
    clock: Clock,
    make: PolicyFactory,
) -> Result<(), StartError> {
    let mut reloads = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    let mut ends = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let handle = start(read(&life)?, life.wall_clock.clone(), network, clock, make).await?;
    loop {
        tokio::select! {
            biased;
            _ = ends.recv() => break,
            _ = reloads.recv() => reload(&life.config, &handle),
        }
    }
    let signals = async {
        loop {
            tokio::select! {
                _ = ends.recv() => {}
                _ = reloads.recv() => reload(&life.config, &handle),
            }
        }
    };
    tokio::select! {
        biased;
        () = leave(&handle) => {}
        () = signals => {}
    }
    Ok(())
}

/// Starts a controller: it knows its list of invokers before it listens.
pub(crate) async fn start(
    config: Config,
    wall_clock: WallClock,
    network: Rc<dyn Network>,
    clock: Clock,
    make: PolicyFactory,
) -> Result<Rc<ControllerHandle>, StartError> {
    let address = Address::Tcp(config.listen.to_string());
    let handle = build(config, wall_clock, network, clock, make);
    let opened_at = clock.now();
    let listening = handle.network.listen(&address).await;
    let (listener, _) = listening.map_err(|error| StartError::Listen {
        address: address.to_string(),
        error,
    })?;
    spawn_tasks(&handle, listener, opened_at);
    Ok(handle)
}

/// The controller's state with the list of invokers that its configuration states; nothing runs yet.
fn build(
    config: Config,
    wall_clock: WallClock,
    network: Rc<dyn Network>,
    clock: Clock,
    make: PolicyFactory,
) -> Rc<ControllerHandle> {
    let (now, mut deployment) = (clock.now(), config.deployment);
    deployment.list_lifetime = Some(LIST_LIFETIME);
    let budget = ResourceLimits::of(&config.limits);
    info!(
        name = config.name,
        ?budget,
        controllers = deployment.controllers,
        "controller starting"
    );
    let trigger_names: Rc<[String]> = config.trigger_names.into();
    let pools = InvokerPools::new(
        budget,
        config.connect_timeout,
        config.connection_idle_timeout,
        trigger_names.clone(),
    );
    let mut invocations = InvocationTable::new(now, pools, &deployment, config.load_timeout);
    let policy = make(now, deployment.clone(), config.seed, &mut invocations);
    let node = NodeConfig {
        seed: config.seed,
        deployment,
        trigger_names,
        tenant_names: config.tenant_names,
        budget,
        clients: Clients::default(),
        feed: EndpointWatch::new(config.feed, config.known_events.0, now),
        wall_clock_history: RefCell::new(WallClockHistory::new(wall_clock(), now)),
        wall_clock,
    };
    let handle = ControllerHandle::new(policy, invocations, clock, network, node);
    let handle = Rc::new(handle);
    handle.update(|state| {
        state.invocations.transport.set_handle(&handle);
        for (_, event) in &config.known_events.1 {
            match event {
                Event::Heartbeat => {}
                Event::Snapshot(lines) => {
                    endpoint_watch::apply_event(&handle, state, now, true, lines)
                }
                Event::Changes(lines) => {
                    endpoint_watch::apply_event(&handle, state, now, false, lines)
                }
            }
        }
    });
    handle
}

/// Starts the tasks of a controller that listens.
fn spawn_tasks(handle: &Rc<ControllerHandle>, listener: Box<dyn Listener>, opened_at: Ticks) {
    let event_loop = handle.event_loop.clone();
    spawn_local(run_event_loop_clock(event_loop, handle.clock, |_, gap| {
        let for_ms = gap / MILLISECOND;
        if gap >= STOPPED_THRESHOLD {
            warn!(for_ms, "process was stopped");
        } else {
            info!(for_ms, "process was stopped");
        }
    }));
    spawn_local(endpoint_watch::watch(handle.clone()));
    spawn_local(sweep(handle.clone()));
    let timers = handle.clone();
    spawn_local(async move { timers.run_timers().await });
    spawn_local(accept_clients(handle.clone(), listener, opened_at));
}

/// A file that is bad changes nothing. It may be one that is still being written when the signal comes, and no second
/// signal tells of its end: so it is read again for a while.
fn reload(config: &Path, handle: &Rc<ControllerHandle>) {
    let Err(why) = follow_file(config, handle) else {
        return;
    };
    warn!(%why, "configuration reload failed, the old one stands");
    let (config, handle) = (config.to_owned(), handle.clone());
    spawn_local(async move {
        for _ in 0..RELOAD_RETRIES_MAX {
            tokio::time::sleep(RELOAD_RETRY_INTERVAL).await;
            if follow_file(&config, &handle).is_ok() {
                return;
            }
        }
    });
}

/// Follows the feed where the file says that it is.
fn follow_file(config: &Path, handle: &ControllerHandle) -> Result<(), StartError> {
    let path = config.display().to_string();
    let text = std::fs::read_to_string(config).map_err(|error| StartError::Unreadable {
        path: path.clone(),
        error,
    })?;
    let address =
        config::parse_feed_address(&text).map_err(|fault| StartError::Config { path, fault })?;
    info!(%address, "configuration reloaded");
    handle.config.feed.moves(address);
    Ok(())
}
