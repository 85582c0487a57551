//! How a controller or an invoker is a member of the fleet. It sends heartbeats to every coordinator that it reaches, and acts
//! on a grant only once the fleet has agreed that its drain starts.

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

/// How long one coordinator may take to have a change agreed.
const CHANGE_TIMEOUT: Ticks = 4 * SECOND;
/// A drained member that reaches no coordinator ends after this all the same; it stays counted as out.
const LEAVE_TIMEOUT: Ticks = 3 * SECOND;

/// What the process itself does as a member.
pub trait MemberRole {
    /// It serves as it should.
    fn is_healthy(&self) -> bool;
    /// Its load, for the order of drains.
    fn load(&self) -> MemberLoad;
    /// Starts to drain: takes no new work and ends what it has. Called once for a drain.
    fn start_drain(&self);
    /// It has no work left.
    fn is_drained(&self) -> bool;
    /// Goes back to serving, if it still can. Returns whether it does.
    fn cancel_drain(&self) -> bool;
    /// For the record: what happened, and the grant that it belongs to.
    fn record_event(&self, what: &'static str, grant: u64);
}

/// Who joins which fleet, and how it reaches the coordinators.
pub struct Membership {
    /// The fleet's name.
    pub fleet: String,
    /// The member.
    pub member: MemberId,
    /// What it says of itself.
    pub info: MemberInfo,
    /// Where the coordinators listen.
    pub coordinators: Vec<Address>,
    /// Interval between heartbeats.
    pub heartbeat_interval: Ticks,
    /// Is told of the leases that it holds.
    pub lease_watch: Rc<LeaseWatch>,
}

/// How a membership ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipEnd {
    /// It drained.
    Drained,
    /// Another incarnation has taken its place.
    Replaced,
}

/// One membership while it lasts.
struct MembershipTask {
    membership: Membership,
    clock: Clock,
    coordinators: Vec<RpcClient>,
    /// The reply with the highest revision.
    latest_reply: RefCell<Option<HeartbeatReply>>,
    reply_changed: Notify,
    /// Index of the coordinator that had the last change agreed.
    preferred: Cell<usize>,
    /// Revision of the last change that it had agreed: replies of an earlier one are out of date.
    agreed_revision: Cell<u64>,
}

impl MembershipTask {
    /// Sends heartbeats to one coordinator for as long as it is polled.
    async fn send_heartbeats(&self, index: usize, role: &dyn MemberRole) {
        loop {
            let seen = role.load();
            let said = Heartbeat {
                member: self.membership.member,
                incarnation: self.membership.info.incarnation,
                interval_ticks: self.membership.heartbeat_interval,
                busy: seen.busy,
                last_copies: seen.last_copies,
            };
            let timeout = (2 * self.membership.heartbeat_interval).max(SECOND);
            match self.coordinators[index]
                .call::<HeartbeatReply>("renew", &said, timeout)
                .await
            {
                Ok(told) => {
                    self.membership.lease_watch.heard(
                        self.clock.now(),
                        told.revision,
                        &told.leases,
                    );
                    let mut standing = self.latest_reply.borrow_mut();
                    if standing
                        .as_ref()
                        .is_none_or(|s| told.revision >= s.revision)
                    {
                        let news = standing.as_ref() != Some(&told);
                        *standing = Some(told);
                        if news {
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

    /// Has a change agreed by whichever coordinator answers. The error is the text of a refusal; none: the outcome is unknown.
    async fn change(&self, change: Change) -> Option<Result<ChangeReply, String>> {
        let first = self.preferred.get();
        for offset in 0..self.coordinators.len() {
            let at = (first + offset) % self.coordinators.len();
            let asked = ChangeRequest {
                change: change.clone(),
            };
            match self.coordinators[at]
                .call::<ChangeReply>("change", &asked, CHANGE_TIMEOUT)
                .await
            {
                Ok(done) => {
                    self.preferred.set(at);
                    self.agreed_revision
                        .set(self.agreed_revision.get().max(done.revision));
                    return Some(Ok(done));
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
        let standing = self.latest_reply.borrow();
        let s = standing.as_ref()?;
        Some((s.incarnation?, s.phase.clone()?))
    }

    /// Follows the phases of the member until its membership ends.
    async fn run(&self, role: &dyn MemberRole) -> MembershipEnd {
        let (member, incarnation) = (self.membership.member, self.membership.info.incarnation);
        let (mut draining, mut serving) = (None, false);
        loop {
            let wait = self.clock.now() + self.membership.heartbeat_interval.min(100 * MILLISECOND);
            tokio::select! {
                biased;
                () = self.reply_changed.notified() => {}
                () = self.clock.sleep_until(wait) => {}
            }
            let standing = self
                .latest_reply
                .borrow()
                .clone()
                .filter(|s| s.revision >= self.agreed_revision.get());
            if let Some(grant) = draining {
                if role.is_drained() {
                    return self.leave(role, grant).await;
                }
                if standing.is_some_and(|s| s.drain_withdrawn) && role.cancel_drain() {
                    // It serves again at once, and counts as out until this is agreed and it is proven.
                    let told = self
                        .change(Change::TurnedBack {
                            member,
                            incarnation,
                            grant,
                        })
                        .await;
                    if matches!(told, Some(Ok(_))) {
                        serving = false;
                        role.record_event("turned-back", grant);
                        draining = None;
                    }
                }
                continue;
            }
            let Some(standing) = standing else { continue };
            match (standing.incarnation, standing.phase) {
                (Some(known), Some(phase)) if known == incarnation => match phase {
                    Phase::Starting { .. } if role.is_healthy() => {
                        // It serves from here on, even before the fleet has agreed on that.
                        if !std::mem::replace(&mut serving, true) {
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
                                draining = Some(grant);
                                role.record_event("began", grant);
                                role.start_drain();
                            }
                            Some(Err(why)) => info!(grant, why, "start of drain refused"),
                            None => {}
                        }
                    }
                    // The start was agreed, and the answer was lost.
                    Phase::Draining { grant } => {
                        if let Some(Ok(_)) = self
                            .change(Change::Begin {
                                member,
                                incarnation,
                                grant,
                            })
                            .await
                        {
                            draining = Some(grant);
                            role.record_event("began", grant);
                            role.start_drain();
                        }
                    }
                    Phase::Lost { .. } => serving = false,
                    _ => {}
                },
                _ => {
                    let about = self.membership.info.clone();
                    if let Some(Err(why)) = self.change(Change::Join { member, about }).await {
                        warn!(%member, why, "join refused");
                        // Part of the protocol: the refusal is recognised by its text.
                        if why.contains(REPLACED_TEXT) {
                            role.record_event("replaced", 0);
                            return MembershipEnd::Replaced;
                        }
                    }
                }
            }
        }
    }

    /// Tells the coordinators that it ends, for as long as that may take.
    async fn leave(&self, role: &dyn MemberRole, grant: u64) -> MembershipEnd {
        let (member, incarnation) = (self.membership.member, self.membership.info.incarnation);
        role.record_event("drained", grant);
        let until = self.clock.now() + LEAVE_TIMEOUT;
        while self.clock.now() < until {
            let leaving = self.change(Change::Leave {
                member,
                incarnation,
            });
            tokio::select! {
                biased;
                told = leaving => if told.is_some() { break },
                () = self.clock.sleep_until(until) => {}
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
    with: Membership,
    network: Rc<dyn Network>,
    clock: Clock,
    role: Rc<dyn MemberRole>,
) -> MembershipEnd {
    let client = |at: &Address| RpcClient::new(network.clone(), at.clone(), &with.fleet);
    let coordinators: Vec<RpcClient> = with.coordinators.iter().map(client).collect();
    let task = Rc::new(MembershipTask {
        membership: with,
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
