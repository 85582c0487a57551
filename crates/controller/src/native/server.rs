//! The lifecycle of one controller on the native path.

use crate::invocations::InvocationTable;
use crate::native::aliases::AliasResolver;
use crate::native::state::{ControllerConfig, ControllerHandle, InvokerConnections};
use crate::native::status::shutdown_status;
use crate::native::{alias_watch, clients, endpoint_list};
use crate::policy::PolicyFactory;
use crate::reconnect::ConnectBudget;
use crate::shutdown::ControllerStatus;
use saltdrum::interface::{Deployment, MILLISECOND, Ticks};
use saltdrum_transport::{Address, Clock, Listener, Network, run_event_loop_clock};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tracing::{error, info, warn};

/// Interval of the checks whether enough invokers are connected.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Upper bound of the readiness checks once the endpoint list is known.
const MAX_READINESS_CHECKS: u32 = 200;
/// Mixed into the seed of the random reconnect delays.
const RECONNECT_SEED: u64 = 0x5eed;

/// Runs one controller until the future is dropped, which ends it as abruptly as a kill. Fails if the controller cannot listen.
/// `make_policy` is [`dispatch_policy`](crate::dispatch_policy), except in comparisons with baselines.
pub async fn serve(
    config: ControllerConfig,
    network: Rc<dyn Network>,
    clock: Clock,
    make_policy: PolicyFactory,
) -> std::io::Result<()> {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(run(config, network, clock, make_policy))
        .await
}

async fn run(
    config: ControllerConfig,
    network: Rc<dyn Network>,
    clock: Clock,
    make_policy: PolicyFactory,
) -> std::io::Result<()> {
    let handle = create(config, network, clock, make_policy);
    publish_status(&handle);
    watch_process_stops(&handle);
    tokio::task::spawn_local(endpoint_list::follow(handle.clone()));
    if handle.config.listens_when_ready {
        tokio::select! {
            biased;
            () = wait_until_ready(&handle) => {}
            () = handle.run_timers() => {}
        }
    }
    let listeners = listen(&handle).await?;
    if let Some(aliases) = handle.config.aliases.clone() {
        tokio::task::spawn_local(alias_watch::follow_registry(handle.clone(), aliases));
    }
    for (listener, address) in listeners {
        info!(controller = handle.config.controller, %address, "listening");
        tokio::task::spawn_local(clients::accept_clients(handle.clone(), listener));
    }
    handle.run_timers().await;
    Ok(())
}

fn create(
    config: ControllerConfig,
    network: Rc<dyn Network>,
    clock: Clock,
    make_policy: PolicyFactory,
) -> Rc<ControllerHandle> {
    let now = clock.now();
    let terms = config.terms.clone();
    let deployment = Deployment {
        zone: config.zone,
        ..terms.deployment.clone()
    };
    let order_timeout = terms.order_timeout;
    let functions = terms.functions.values();
    let transport = InvokerConnections {
        functions: functions
            .map(|function| (function.id, function.name.clone()))
            .collect(),
        terms,
        by_invoker: BTreeMap::new(),
        connect_budget: ConnectBudget::new(now),
        rng: fastrand::Rng::with_seed(config.seed ^ RECONNECT_SEED),
        list_revision: None,
        has_endpoint_list: false,
        aliases: config.aliases.as_ref().map(AliasResolver::new),
    };
    let mut invocations = InvocationTable::new(now, transport, &deployment, order_timeout);
    let policy = make_policy(now, deployment, config.seed, &mut invocations);
    Rc::new(ControllerHandle::new(
        policy,
        invocations,
        clock,
        network,
        config,
    ))
}

/// Gives the shutdown handle access to this controller's status.
fn publish_status(handle: &Rc<ControllerHandle>) {
    let weak = Rc::downgrade(handle);
    handle.config.shutdown.set_status_source(move || {
        let handle = weak.upgrade();
        handle.map_or_else(ControllerStatus::default, |handle| shutdown_status(&handle))
    });
}

fn watch_process_stops(handle: &Rc<ControllerHandle>) {
    let stopped_handle = handle.clone();
    let on_stop = move |_, gap: Ticks| {
        warn!(for_ms = gap / MILLISECOND, "process was stopped");
        stopped_handle.update(|state| state.invocations.counters.process_stops += 1);
    };
    let event_loop = handle.event_loop.clone();
    tokio::task::spawn_local(run_event_loop_clock(event_loop, handle.clock, on_stop));
}

async fn listen(handle: &ControllerHandle) -> std::io::Result<Vec<(Box<dyn Listener>, Address)>> {
    let mut listeners = Vec::new();
    for address in &handle.config.client_addresses {
        let listening = handle.network.listen(address).await;
        listeners
            .push(listening.inspect_err(|error| error!(%address, %error, "listening failed"))?);
    }
    Ok(listeners)
}

/// Waits until the endpoint list is known and half of its invokers are connected, or until the maximum number of checks.
async fn wait_until_ready(handle: &ControllerHandle) {
    let mut checks_with_list = 0;
    while checks_with_list < MAX_READINESS_CHECKS {
        let status = handle.config.shutdown.status();
        let half_is_up = status.connections_up * 2 >= status.connections;
        if status.has_endpoint_list && status.connections_up > 0 && half_is_up {
            return;
        }
        checks_with_list += u32::from(status.has_endpoint_list);
        tokio::time::sleep(READINESS_CHECK_INTERVAL).await;
    }
}
