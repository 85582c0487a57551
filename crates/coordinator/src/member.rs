//! The membership of a controller or an invoker in the fleet. A member sends heartbeats to every coordinator and acts on a grant
//! only once the fleet has agreed that its drain starts.

use crate::lease_watch::LeaseWatch;
use crate::rpc_client::{CallError, RpcClient};
use crate::wire::{
    ChangeReply, ChangeRequest, Heartbeat, HeartbeatReply, NOT_VOTING, REFUSED,
    WRONG_FLEET_OR_VERSION,
};
use saltdrum::interface::{MILLISECOND, SECOND, Ticks};
use saltdrum_fleet::change::{Change, REPLACED_TEXT};
use saltdrum_fleet::drain_scheduler::MemberLoad;
use saltdrum_fleet::state::{MemberId, MemberInfo, Phase};
use saltdrum_transport::{Address, Clock, Network};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::{debug, info, warn};

/// Time that one coordinator has to get a change agreed.
const CHANGE_TIMEOUT: Ticks = 4 * SECOND;
/// A drained member that reaches no coordinator ends after this time all the same; the fleet goes on counting it as out.
const LEAVE_TIMEOUT: Ticks = 3 * SECOND;

/// What a process provides as a member.
pub trait MemberRole {
    /// Whether it serves as it should.
    fn is_healthy(&self) -> bool;
    /// Its load, which affects the order of drains.
    fn load(&self) -> MemberLoad;
    /// Starts to drain: admits no new work and finishes the work in flight. Called once per drain.
    fn start_drain(&self);
    /// Whether no work is left.
    fn is_drained(&self) -> bool;
    /// Returns to serving, if it still can. Returns whether it does.
    fn cancel_drain(&self) -> bool;
    /// Records an event and the grant that it belongs to.
    fn record_event(&self, event: &'static str, grant: u64);
}

/// Which member joins which fleet, and how it reaches the coordinators.
pub struct Membership {
    /// Name of the fleet.
    pub fleet: String,
    /// The member.
    pub member: MemberId,
    /// Description of the member for the fleet.
    pub info: MemberInfo,
    /// Addresses of the coordinators.
    pub coordinators: Vec<Address>,
    /// Interval between heartbeats.
    pub heartbeat_interval: Ticks,
    /// Receives the leases that the member holds.
    pub lease_watch: Rc<LeaseWatch>,
}

/// How a membership ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipEnd {
    /// The member has drained.
    Drained,
    /// Another incarnation has replaced it.
    Replaced,
}

/// A running membership.
struct MembershipTask {
    membership: Membership,
    clock: Clock,
    coordinators: Vec<RpcClient>,
    /// The reply with the highest revision.
    latest_reply: RefCell<Option<HeartbeatReply>>,
    reply_changed: Notify,
    /// Index of the coordinator that got the last change agreed.
    preferred: Cell<usize>,
    /// Revision of the last change that was agreed for this member: replies of an earlier revision are out of date.
    agreed_revision: Cell<u64>,
}

impl MembershipTask {
    /// Sends heartbeats to one coordinator until the future is dropped.
    async fn send_heartbeats(&self, index: usize, role: &dyn MemberRole) {
        loop {
            let load = role.load();
            let heartbeat = Heartbeat {
                member: self.membership.member,
                incarnation: self.membership.info.incarnation,
                interval_ticks: self.membership.heartbeat_interval,
                busy: load.busy,
                last_copies: load.last_copies,
            };
            let timeout = (2 * self.membership.heartbeat_interval).max(SECOND);
            match self.coordinators[index]
                .call::<HeartbeatReply>("renew", &heartbeat, timeout)
                .await
            {
                Ok(reply) => {
                    self.membership.lease_watch.record_reply(
                        self.clock.now(),
                        reply.revision,
                        &reply.leases,
                    );
                    let mut latest_reply = self.latest_reply.borrow_mut();
                    if latest_reply
                        .as_ref()
                        .is_none_or(|latest| reply.revision >= latest.revision)
                    {
                        let is_changed = latest_reply.as_ref() != Some(&reply);
                        *latest_reply = Some(reply);
                        if is_changed {
                            self.reply_changed.notify_one();
                        }
                    }
                }
                Err(why) => debug!(%why, "heartbeat failed"),
            }
            self.clock
                .sleep_until(self.clock.now() + self.membership.heartbeat_interval)
                .await;
        }
    }

    /// Gets a change agreed by any coordinator that answers. The error is the text of a refusal; `None`: the outcome is unknown.
    async fn change(&self, change: Change) -> Option<Result<ChangeReply, String>> {
        let first = self.preferred.get();
        for offset in 0..self.coordinators.len() {
            let index = (first + offset) % self.coordinators.len();
            let request = ChangeRequest {
                change: change.clone(),
            };
            match self.coordinators[index]
                .call::<ChangeReply>("change", &request, CHANGE_TIMEOUT)
                .await
            {
                Ok(reply) => {
                    self.preferred.set(index);
                    self.agreed_revision
                        .set(self.agreed_revision.get().max(reply.revision));
                    return Some(Ok(reply));
                }
                Err(CallError::ErrorReply { code, message }) if code == REFUSED => {
                    return Some(Err(message));
                }
                Err(CallError::ErrorReply { code, message }) if code == WRONG_FLEET_OR_VERSION => {
                    warn!(message, "peer is not a coordinator of this fleet");
                }
                Err(CallError::ErrorReply {
                    code: NOT_VOTING, ..
                }) => {}
                Err(why) => debug!(%why, "outcome of a change is unknown"),
            }
        }
        None
    }

    fn phase(&self) -> Option<(u64, Phase)> {
        let latest_reply = self.latest_reply.borrow();
        let reply = latest_reply.as_ref()?;
        Some((reply.incarnation?, reply.phase.clone()?))
    }

    /// Follows the phases of the member until its membership ends.
    async fn run(&self, role: &dyn MemberRole) -> MembershipEnd {
        let (member, incarnation) = (self.membership.member, self.membership.info.incarnation);
        let (mut drain_grant, mut is_serving) = (None, false);
        loop {
            let next_check =
                self.clock.now() + self.membership.heartbeat_interval.min(100 * MILLISECOND);
            tokio::select! {
                biased;
                () = self.reply_changed.notified() => {}
                () = self.clock.sleep_until(next_check) => {}
            }
            let reply = self
                .latest_reply
                .borrow()
                .clone()
                .filter(|reply| reply.revision >= self.agreed_revision.get());
            if let Some(grant) = drain_grant {
                if role.is_drained() {
                    return self.leave(role, grant).await;
                }
                if reply.is_some_and(|reply| reply.drain_withdrawn) && role.cancel_drain() {
                    // It serves again at once, but counts as out until this change is agreed and it has proven healthy.
                    let outcome = self
                        .change(Change::TurnedBack {
                            member,
                            incarnation,
                            grant,
                        })
                        .await;
                    if matches!(outcome, Some(Ok(_))) {
                        is_serving = false;
                        role.record_event("turned-back", grant);
                        drain_grant = None;
                    }
                }
                continue;
            }
            let Some(reply) = reply else { continue };
            match (reply.incarnation, reply.phase) {
                (Some(known), Some(phase)) if known == incarnation => match phase {
                    Phase::Starting { .. } if role.is_healthy() => {
                        // It serves from here on, even before the fleet has agreed to it.
                        if !std::mem::replace(&mut is_serving, true) {
                            role.record_event("up", 0);
                        }
                        self.change(Change::Proven {
                            member,
                            incarnation,
                        })
                        .await;
                    }
                    Phase::Granted { grant } => {
                        match self
                            .change(Change::Begin {
                                member,
                                incarnation,
                                grant,
                            })
                            .await
                        {
                            Some(Ok(_)) => {
                                drain_grant = Some(grant);
                                role.record_event("began", grant);
                                role.start_drain();
                            }
                            Some(Err(why)) => info!(grant, why, "start of drain refused"),
                            None => {}
                        }
                    }
                    // The start of the drain was agreed, but the reply was lost.
                    Phase::Draining { grant } => {
                        if let Some(Ok(_)) = self
                            .change(Change::Begin {
                                member,
                                incarnation,
                                grant,
                            })
                            .await
                        {
                            drain_grant = Some(grant);
                            role.record_event("began", grant);
                            role.start_drain();
                        }
                    }
                    Phase::Lost { .. } => is_serving = false,
                    _ => {}
                },
                _ => {
                    let about = self.membership.info.clone();
                    if let Some(Err(why)) = self.change(Change::Join { member, about }).await {
                        warn!(%member, why, "join refused");
                        // The protocol identifies this refusal by its text.
                        if why.contains(REPLACED_TEXT) {
                            role.record_event("replaced", 0);
                            return MembershipEnd::Replaced;
                        }
                    }
                }
            }
        }
    }

    /// Reports to the coordinators that the member leaves, until this is agreed or [`LEAVE_TIMEOUT`] has passed.
    async fn leave(&self, role: &dyn MemberRole, grant: u64) -> MembershipEnd {
        let (member, incarnation) = (self.membership.member, self.membership.info.incarnation);
        role.record_event("drained", grant);
        let deadline = self.clock.now() + LEAVE_TIMEOUT;
        while self.clock.now() < deadline {
            let leaving = self.change(Change::Leave {
                member,
                incarnation,
            });
            tokio::select! {
                biased;
                outcome = leaving => if outcome.is_some() { break },
                () = self.clock.sleep_until(deadline) => {}
            }
            self.clock
                .sleep_until(self.clock.now() + 100 * MILLISECOND)
                .await;
        }
        MembershipEnd::Drained
    }
}

/// Joins the fleet, and returns when the member has drained or was replaced.
pub async fn join(
    membership: Membership,
    network: Rc<dyn Network>,
    clock: Clock,
    role: Rc<dyn MemberRole>,
) -> MembershipEnd {
    let client = |at: &Address| RpcClient::new(network.clone(), at.clone(), &membership.fleet);
    let coordinators: Vec<RpcClient> = membership.coordinators.iter().map(client).collect();
    let task = Rc::new(MembershipTask {
        membership,
        clock,
        coordinators,
        latest_reply: RefCell::default(),
        reply_changed: Notify::new(),
        preferred: Cell::new(0),
        agreed_revision: Cell::new(0),
    });
    let mut heartbeats = tokio::task::JoinSet::new();
    for index in 0..task.coordinators.len() {
        let (task, role) = (task.clone(), role.clone());
        heartbeats.spawn_local(async move { task.send_heartbeats(index, &*role).await });
    }
    let ended = task.run(&*role).await;
    debug!(phase = ?task.phase(), ?ended, "membership ended");
    ended
}
