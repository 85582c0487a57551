//! Lifecycle of a controller: start, reload on SIGHUP, shutdown on SIGTERM.

use crate::acceptor::{accept_clients, enforce_memory_limit, sweep};
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

pub(crate) use shutdown::shut_down;

/// An invalid configuration file is read again at this interval, at most `RELOAD_RETRIES_MAX` times. This takes a
/// second, well within the 4 s after which events missed on the feed count as reported.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const RELOAD_RETRIES_MAX: usize = 10;
/// Stops of at least this length are logged as warnings; shorter ones may be due to a lack of CPU time.
const STOPPED_THRESHOLD: Ticks = 500 * MILLISECOND;

/// Why a controller can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration file can't be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// The error of the system.
        error: std::io::Error,
    },
    /// The configuration file holds a fault.
    #[error("{path}: {fault}")]
    Config {
        /// The file.
        path: String,
        /// The invalid field.
        fault: config::ConfigError,
    },
    /// An environment variable contradicts the configuration file.
    #[error("{variable} {value}: {expected} is expected, as in the configuration")]
    EnvironmentMismatch {
        /// The variable.
        variable: &'static str,
        /// Its value.
        value: String,
        /// The value in the configuration file.
        expected: String,
    },
    /// The listening socket can't be opened.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: String,
        /// The error of the system.
        error: std::io::Error,
    },
    /// Signal handlers can't be installed.
    #[error("signals: {0}")]
    Signals(std::io::Error),
}

/// Parameters to start a controller.
pub struct StartOptions {
    /// The configuration file.
    pub config: PathBuf,
    /// The listening address from the environment; if set, it must match the file.
    pub listen: Option<String>,
    /// The name from the environment; if set, it must match the file.
    pub name: Option<String>,
    /// Reads the wall clock of the system.
    pub wall_clock: WallClock,
}

/// Reads the configuration file, and checks the environment against it.
fn read_config(options: &StartOptions) -> Result<Config, StartError> {
    let path = options.config.display().to_string();
    let text =
        std::fs::read_to_string(&options.config).map_err(|error| StartError::Unreadable {
            path: path.clone(),
            error,
        })?;
    let config = config::parse(&text).map_err(|fault| StartError::Config { path, fault })?;
    let listen = config.listen.to_string();
    let variables = [
        ("RELAY_LISTEN", &options.listen, listen),
        ("RELAY_NAME", &options.name, config.name.clone()),
    ];
    for (variable, value, expected) in variables {
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

/// Runs a controller until SIGTERM and its last response.
pub async fn serve(
    options: StartOptions,
    network: Rc<dyn Network>,
    clock: Clock,
    make_policy: PolicyFactory,
) -> Result<(), StartError> {
    let mut hangups = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    let mut terminations = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let handle = start(
        read_config(&options)?,
        options.wall_clock.clone(),
        network,
        clock,
        make_policy,
    )
    .await?;
    loop {
        tokio::select! {
            biased;
            _ = terminations.recv() => break,
            _ = hangups.recv() => reload(&options.config, &handle),
        }
    }
    let signals = async {
        loop {
            tokio::select! {
                _ = terminations.recv() => {}
                _ = hangups.recv() => reload(&options.config, &handle),
            }
        }
    };
    tokio::select! {
        biased;
        () = shut_down(&handle) => {}
        () = signals => {}
    }
    Ok(())
}

/// Starts a controller. It has the configured list of invokers before it listens.
pub(crate) async fn start(
    config: Config,
    wall_clock: WallClock,
    network: Rc<dyn Network>,
    clock: Clock,
    make_policy: PolicyFactory,
) -> Result<Rc<ControllerHandle>, StartError> {
    let address = Address::Tcp(config.listen.to_string());
    let handle = build(config, wall_clock, network, clock, make_policy);
    let opened_at = clock.now();
    let listening = handle.network.listen(&address).await;
    let (listener, _) = listening.map_err(|error| StartError::Listen {
        address: address.to_string(),
        error,
    })?;
    spawn_tasks(&handle, listener, opened_at);
    Ok(handle)
}

/// Builds the controller's state with the configured list of invokers, without starting its tasks.
fn build(
    config: Config,
    wall_clock: WallClock,
    network: Rc<dyn Network>,
    clock: Clock,
    make_policy: PolicyFactory,
) -> Rc<ControllerHandle> {
    let (now, mut deployment) = (clock.now(), config.deployment);
    deployment.list_lifetime = Some(LIST_LIFETIME);
    deployment.memory_bytes = Some(config.limits.memory_bytes());
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
    let policy = make_policy(now, deployment.clone(), config.seed, &mut invocations);
    let node = NodeConfig {
        seed: config.seed,
        deployment,
        trigger_names,
        tenant_names: config.tenant_names,
        budget,
        clients: Clients::new(&budget),
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
                Event::Snapshot(records) => {
                    endpoint_watch::apply_event(&handle, state, now, true, records)
                }
                Event::Changes(records) => {
                    endpoint_watch::apply_event(&handle, state, now, false, records)
                }
            }
        }
    });
    handle
}

/// Starts the tasks of a listening controller.
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
    spawn_local(enforce_memory_limit(handle.clone()));
    let timers = handle.clone();
    spawn_local(async move { timers.run_timers().await });
    spawn_local(accept_clients(handle.clone(), listener, opened_at));
}

/// Reloads the configuration file. An invalid file changes nothing. The file may still be being written when the signal
/// arrives, and no second signal follows when it is complete: so it is read again for a while.
fn reload(config: &Path, handle: &Rc<ControllerHandle>) {
    let Err(why) = reload_feed_address(config, handle) else {
        return;
    };
    warn!(%why, "configuration reload failed, keeping the previous one");
    let (config, handle) = (config.to_owned(), handle.clone());
    spawn_local(async move {
        for _ in 0..RELOAD_RETRIES_MAX {
            tokio::time::sleep(RELOAD_RETRY_INTERVAL).await;
            if reload_feed_address(&config, &handle).is_ok() {
                return;
            }
        }
    });
}

/// Applies the feed's address in the configuration file.
fn reload_feed_address(config: &Path, handle: &ControllerHandle) -> Result<(), StartError> {
    let path = config.display().to_string();
    let text = std::fs::read_to_string(config).map_err(|error| StartError::Unreadable {
        path: path.clone(),
        error,
    })?;
    let address =
        config::parse_feed_address(&text).map_err(|fault| StartError::Config { path, fault })?;
    info!(%address, "configuration reloaded");
    handle.config.feed.set_address(address);
    Ok(())
}
