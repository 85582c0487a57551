//! A coordinator on its socket: methods of the protocol, and the process as a whole.

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
    /// What was asked, if it was asked of this fleet in these messages.
    fn read_params<T: DeserializeOwned>(&self, call: &Call) -> Result<T, RpcError> {
        read_params(call, &self.config.initial_fleet.name)
    }
}

impl CallHandler for Coordinator {
    async fn handle_call(self: &Rc<Self>, call: &Call) -> Result<String, RpcError> {
        fn told(what: impl Serialize) -> Result<String, RpcError> {
            serde_json::to_string(&what).map_err(invalid_params)
        }
        match call.method.as_str() {
            "prepare" => {
                let asked: Prepare = self.read_params(call)?;
                told(self.acceptor_store.borrow_mut().prepare(&asked)?)
            }
            "accept" => {
                let asked: Accept = self.read_params(call)?;
                told(self.acceptor_store.borrow_mut().accept(asked)?)
            }
            "recover" => {
                let asked: Recover = self.read_params(call)?;
                let mut acceptor_store = self.acceptor_store.borrow_mut();
                told((
                    acceptor_store.me(),
                    acceptor_store.recover(asked.from, asked.incarnation)?,
                ))
            }
            "decided" => {
                self.read_params::<Json>(call)?;
                told((self.decided_at.get(), self.fleet.borrow().as_deref()))
            }
            "opinions" => {
                let said: SuspicionReport = self.read_params(call)?;
                self.opinions(said);
                told(json!({}))
            }
            "renew" => {
                let said: Heartbeat = self.read_params(call)?;
                told(self.renewed(&said))
            }
            "change" => {
                let asked: ChangeRequest = self.read_params(call)?;
                if !from_outside(&asked.change) {
                    return Err((REFUSED, "that is for stewards to propose".into()));
                }
                let (done, revision) = self.change(asked.change).await?;
                told(ChangeReply {
                    revision,
                    changed: done.changed,
                })
            }
            "status" => {
                self.read_params::<Json>(call)?;
                told(self.status())
            }
            "dry_run" => {
                let asked: DryRun = self.read_params(call)?;
                let fleet = self.fleet.borrow().clone();
                let fleet =
                    fleet.ok_or((REFUSED, "nothing is known of the fleet yet".to_owned()))?;
                told(dry_run(&fleet, &asked.members).map_err(|r| (REFUSED, r.to_string()))?)
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
        let heard = self
            .monitor
            .borrow()
            .heartbeat_ages(self.clock.now())
            .into_iter();
        let heard_ms_ago: BTreeMap<_, _> = heard.map(|(id, ago)| (id, ago / MILLISECOND)).collect();
        json!({
            "steward": self.config.number, "voter": acceptor_store.me().to_string(), "life": self.config.incarnation,
            "votes": !acceptor_store.is_returning() && acceptor_store.is_writable(), "writes": acceptor_store.writes(),
            "settled": self.is_settled(), "heard_ms_ago": heard_ms_ago, "waits_for": fleet.as_ref().and_then(|f| blocking_reason(f)),
            "fleet": fleet.as_deref(),
        })
    }
}

/// Whether members and operators may make the change; the others are for coordinators to propose.
fn from_outside(change: &Change) -> bool {
    !matches!(
        change,
        Change::Grant { .. }
            | Change::TakeBack { .. }
            | Change::Silent { .. }
            | Change::Heard { .. }
            | Change::Settle { .. }
    )
}

/// Runs one coordinator until the future is dropped, which is as sudden as a kill. Fails when it can't listen, or has lost
/// its disk.
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
    let steward = Coordinator::new(config, disk, acceptor, network.clone(), clock);
    let fault = |at: &Address, e: std::io::Error| format!("{at}: {e}");
    let (mut door, at) = network
        .listen(&listen)
        .await
        .map_err(|e| fault(&listen, e))?;
    info!(%at, steward = steward.config.number, "listening");
    let mut tasks: JoinSet<()> = JoinSet::new();
    if let Some(list) = list {
        let (door, _) = network.listen(&list).await.map_err(|e| fault(&list, e))?;
        tasks.spawn_local(steward.clone().serve_list(door));
    }
    tasks.spawn_local(steward.clone().propose());
    tasks.spawn_local(steward.clone().observe());
    let mut coming_back = Box::pin(steward.clone().come_back());
    let mut back = false;
    loop {
        tokio::select! {
            biased;
            done = &mut coming_back, if !back => {
                done?;
                back = true;
                // Reads what was chosen while it was away, by a round that changes nothing.
                let steward = steward.clone();
                tasks.spawn_local(async move {
                    while !steward.is_settled() {
                        let _ = steward.change(Change::TakeBack { grant: 0 }).await;
                        steward.clock.sleep_until(steward.clock.now() + SECOND / 2).await;
                    }
                });
            }
            accepted = door.accept() => match accepted {
                Ok(stream) => drop(tasks.spawn_local(serve_connection(steward.clone(), stream))),
                Err(e) => {
                    warn!(%e, "accept failed");
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}
