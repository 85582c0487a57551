//! The RPC service of a coordinator: the methods of the protocol, and the tasks that a coordinator process runs.

use crate::coordinator::{Coordinator, CoordinatorConfig};
use crate::disk::Disk;
use crate::server::{CallHandler, RpcError, invalid_params, read_params, serve_connection};
use crate::wire::{
    Accept, ChangeReply, ChangeRequest, DryRun, Heartbeat, Prepare, REFUSED, Recover,
    SuspicionReport,
};
use saltdrum::interface::{MILLISECOND, SECOND};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::drain_scheduler::{blocking_reason, dry_run};
use saltdrum_fleet::register::Acceptor;
use saltdrum_fleet::state::Fleet;
use saltdrum_protocol::rpc::{self, Call};
use saltdrum_transport::{Address, Clock, Network};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::task::JoinSet;
use tracing::{info, warn};

impl Coordinator {
    /// Reads the parameters of a call, if the call is meant for this fleet and has the expected version.
    fn read_params<T: DeserializeOwned>(&self, call: &Call) -> Result<T, RpcError> {
        read_params(call, &self.config.initial_fleet.name)
    }
}

impl CallHandler for Coordinator {
    async fn handle_call(self: &Rc<Self>, call: &Call) -> Result<String, RpcError> {
        fn to_json(result: impl Serialize) -> Result<String, RpcError> {
            serde_json::to_string(&result).map_err(invalid_params)
        }
        match call.method.as_str() {
            "prepare" => {
                let request: Prepare = self.read_params(call)?;
                to_json(self.acceptor_store.borrow_mut().prepare(&request)?)
            }
            "accept" => {
                let request: Accept = self.read_params(call)?;
                to_json(self.acceptor_store.borrow_mut().accept(request)?)
            }
            "recover" => {
                let request: Recover = self.read_params(call)?;
                let mut acceptor_store = self.acceptor_store.borrow_mut();
                to_json((
                    acceptor_store.voter(),
                    acceptor_store.recover(request.from, request.incarnation)?,
                ))
            }
            "decided" => {
                self.read_params::<Json>(call)?;
                to_json((self.decided_ballot.get(), self.fleet.borrow().as_deref()))
            }
            "opinions" => {
                let report: SuspicionReport = self.read_params(call)?;
                self.handle_suspicion_report(report);
                to_json(json!({}))
            }
            "renew" => {
                let heartbeat: Heartbeat = self.read_params(call)?;
                to_json(self.handle_heartbeat(&heartbeat))
            }
            "change" => {
                let request: ChangeRequest = self.read_params(call)?;
                if !is_allowed_from_callers(&request.change) {
                    return Err((REFUSED, "that is for stewards to propose".into()));
                }
                let (outcome, revision) = self.change(request.change).await?;
                to_json(ChangeReply {
                    revision,
                    changed: outcome.changed,
                })
            }
            "status" => {
                self.read_params::<Json>(call)?;
                to_json(self.status())
            }
            "dry_run" => {
                let request: DryRun = self.read_params(call)?;
                let fleet = self.fleet.borrow().clone();
                let fleet =
                    fleet.ok_or((REFUSED, "nothing is known of the fleet yet".to_owned()))?;
                to_json(dry_run(&fleet, &request.members).map_err(|r| (REFUSED, r.to_string()))?)
            }
            other => Err((
                rpc::METHOD_NOT_FOUND,
                format!("method '{other}' is not one of a steward"),
            )),
        }
    }
}

impl Coordinator {
    fn status(&self) -> Json {
        let acceptor_store = self.acceptor_store.borrow();
        let fleet = self.fleet.borrow();
        let ticks_ago = self
            .monitor
            .borrow()
            .heartbeat_ages(self.clock.now())
            .into_iter();
        let heard_ms_ago: BTreeMap<_, _> = ticks_ago
            .map(|(id, ticks)| (id, ticks / MILLISECOND))
            .collect();
        json!({
            "steward": self.config.number, "voter": acceptor_store.voter().to_string(), "life": self.config.incarnation,
            "votes": !acceptor_store.is_recovering() && acceptor_store.is_writable(), "writes": acceptor_store.writes(),
            "settled": self.is_settled(), "heard_ms_ago": heard_ms_ago, "waits_for": fleet.as_ref().and_then(|f| blocking_reason(f)),
            "fleet": fleet.as_deref(),
        })
    }
}

/// Whether members and operators may request the change; the other changes are proposed by coordinators only.
fn is_allowed_from_callers(change: &Change) -> bool {
    !matches!(
        change,
        Change::Grant { .. }
            | Change::TakeBack { .. }
            | Change::Silent { .. }
            | Change::Heard { .. }
            | Change::Settle { .. }
    )
}

/// Runs one coordinator until the future is dropped, which ends it as abruptly as a kill. Fails if it can't listen or its disk
/// can't be used.
pub async fn serve(
    config: CoordinatorConfig,
    disk: Disk,
    acceptor: Acceptor<Fleet>,
    network: Rc<dyn Network>,
    clock: Clock,
) -> Result<(), String> {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(run(config, disk, acceptor, network, clock))
        .await
}

async fn run(
    config: CoordinatorConfig,
    disk: Disk,
    acceptor: Acceptor<Fleet>,
    network: Rc<dyn Network>,
    clock: Clock,
) -> Result<(), String> {
    let (listen, list) = (config.listen.clone(), config.invoker_list.clone());
    let coordinator = Coordinator::new(config, disk, acceptor, network.clone(), clock);
    let listen_error = |at: &Address, e: std::io::Error| format!("{at}: {e}");
    let (mut listener, at) = network
        .listen(&listen)
        .await
        .map_err(|e| listen_error(&listen, e))?;
    info!(%at, steward = coordinator.config.number, "listening");
    let mut tasks: JoinSet<()> = JoinSet::new();
    if let Some(list) = list {
        let (list_listener, _) = network
            .listen(&list)
            .await
            .map_err(|e| listen_error(&list, e))?;
        tasks.spawn_local(coordinator.clone().serve_list(list_listener));
    }
    tasks.spawn_local(coordinator.clone().run_proposer());
    tasks.spawn_local(coordinator.clone().run_monitor());
    let mut recovery = Box::pin(coordinator.clone().recover());
    let mut is_recovered = false;
    loop {
        tokio::select! {
            biased;
            recovered = &mut recovery, if !is_recovered => {
                recovered?;
                is_recovered = true;
                // A round that changes nothing reads the value that was decided in the meantime.
                let coordinator = coordinator.clone();
                tasks.spawn_local(async move {
                    while !coordinator.is_settled() {
                        let _ = coordinator.change(Change::TakeBack { grant: 0 }).await;
                        coordinator.clock.sleep_until(coordinator.clock.now() + SECOND / 2).await;
                    }
                });
            }
            accepted = listener.accept() => match accepted {
                Ok(stream) => drop(tasks.spawn_local(serve_connection(coordinator.clone(), stream))),
                Err(e) => {
                    warn!(%e, "accept failed");
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}
