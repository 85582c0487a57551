//! How a controller or an invoker takes part. It renews with every steward that it reaches, and does nothing about a grant
//! before the fleet has agreed that it begins.

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

/// PendingProposal for one change to be agreed, by one steward.
const PATIENCE: Ticks = 4 * SECOND;
/// One that drains and reaches no steward ends all the same after so long; it stays counted.
const LEAVING: Ticks = 3 * SECOND;

/// What the process does itself.
pub trait MemberRole {
    /// It serves as it should.
    fn is_proven(&self) -> bool;
    fn seen(&self) -> MemberLoad;
    /// Begins to drain: nothing new, all that was taken is ended. Called once for a drain.
    fn drain(&self);
    fn is_drained(&self) -> bool;
    /// Goes back to serving, if it still can. True: it does.
    fn turn_back(&self) -> bool;
    /// For the record: what happened, and the grant that it belongs to.
    fn told(&self, what: &'static str, grant: u64);
}

/// Who joins which fleet, and how it reaches its stewards.
pub struct Membership {
    pub fleet: String,
    pub member: MemberId,
    pub about: MemberInfo,
    pub stewards: Vec<Address>,
    pub renew: Ticks,
    /// Hears of the leases that it holds.
    pub leases: Rc<LeaseWatch>,
}

/// How its part ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipEnd {
    /// It drained.
    Drained,
    /// Another life has taken its place while it was away.
    Replaced,
}

struct MembershipTask {
    with: Membership,
    clock: Clock,
    callers: Vec<RpcClient>,
    /// The latest that any steward said.
    standing: RefCell<Option<HeartbeatReply>>,
    news: Notify,
    /// The steward that answered last.
    good: Cell<usize>,
    /// Revision of the last change that it had agreed: what stewards say of before tells nothing.
    agreed: Cell<u64>,
}

impl MembershipTask {
    async fn renewing(&self, n: usize, part: &dyn MemberRole) {
        loop {
            let seen = part.seen();
            let said = Heartbeat {
                member: self.with.member,
                incarnation: self.with.about.incarnation,
                every_tenths: self.with.renew,
                busy: seen.busy,
                last_copies: seen.last_copies,
            };
            let patience = (2 * self.with.renew).max(SECOND);
            match self.callers[n]
                .call::<HeartbeatReply>("renew", &said, patience)
                .await
            {
                Ok(told) => {
                    self.with
                        .leases
                        .heard(self.clock.now(), told.revision, &told.leases);
                    let mut standing = self.standing.borrow_mut();
                    if standing
                        .as_ref()
                        .is_none_or(|s| told.revision >= s.revision)
                    {
                        let news = standing.as_ref() != Some(&told);
                        *standing = Some(told);
                        if news {
                            self.news.notify_one();
                        }
                    }
                }
                Err(why) => debug!(%why, "no sign of life got through"),
            }
            self.clock
                .sleep_until(self.clock.now() + self.with.renew)
                .await;
        }
    }

    /// Has a change agreed, by whichever steward answers. None: whether it was done is not known.
    async fn change(&self, change: Change) -> Option<Result<ChangeReply, String>> {
        let first = self.good.get();
        for n in 0..self.callers.len() {
            let at = (first + n) % self.callers.len();
            let asked = ChangeRequest {
                change: change.clone(),
            };
            match self.callers[at]
                .call::<ChangeReply>("change", &asked, PATIENCE)
                .await
            {
                Ok(done) => {
                    self.good.set(at);
                    self.agreed.set(self.agreed.get().max(done.revision));
                    return Some(Ok(done));
                }
                Err(CallError::Told { code, message }) if code == REFUSED => {
                    return Some(Err(message));
                }
                Err(CallError::Told { code, message }) if code == WRONG_FLEET_OR_VERSION => {
                    warn!(message, "not a steward of this fleet");
                }
                Err(CallError::Told {
                    code: NOT_VOTING, ..
                }) => {}
                Err(why) => debug!(%why, "a change was not settled"),
            }
        }
        None
    }

    fn phase(&self) -> Option<(u64, Phase)> {
        let standing = self.standing.borrow();
        let s = standing.as_ref()?;
        Some((s.incarnation?, s.phase.clone()?))
    }

    async fn steps(&self, part: &dyn MemberRole) -> MembershipEnd {
        let (member, incarnation) = (self.with.member, self.with.about.incarnation);
        let (mut draining, mut serving) = (None, false);
        loop {
            let wait = self.clock.now() + self.with.renew.min(100 * MILLISECOND);
            tokio::select! {
                biased;
                () = self.news.notified() => {}
                () = self.clock.sleep_until(wait) => {}
            }
            let standing = self
                .standing
                .borrow()
                .clone()
                .filter(|s| s.revision >= self.agreed.get());
            if let Some(grant) = draining {
                if part.is_drained() {
                    return self.leave(part, grant).await;
                }
                if standing.is_some_and(|s| s.turn_back) && part.turn_back() {
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
                        part.told("turned-back", grant);
                        draining = None;
                    }
                }
                continue;
            }
            let Some(standing) = standing else { continue };
            match (standing.incarnation, standing.phase) {
                (Some(known), Some(phase)) if known == incarnation => match phase {
                    Phase::Starting { .. } if part.is_proven() => {
                        // It serves from here on, whenever the fleet has agreed on that and it hears so.
                        if !std::mem::replace(&mut serving, true) {
                            part.told("up", 0);
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
                                part.told("began", grant);
                                part.drain();
                            }
                            Some(Err(why)) => info!(grant, why, "does not begin"),
                            None => {}
                        }
                    }
                    // It was agreed that it begins, and the answer was lost.
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
                            part.told("began", grant);
                            part.drain();
                        }
                    }
                    Phase::Lost { .. } => serving = false,
                    _ => {}
                },
                _ => {
                    let about = self.with.about.clone();
                    if let Some(Err(why)) = self.change(Change::Join { member, about }).await {
                        warn!(%member, why, "can't join");
                        // Part of the protocol: the refusal is recognised by its text.
                        if why.contains(REPLACED_TEXT) {
                            part.told("replaced", 0);
                            return MembershipEnd::Replaced;
                        }
                    }
                }
            }
        }
    }

    async fn leave(&self, part: &dyn MemberRole, grant: u64) -> MembershipEnd {
        let (member, incarnation) = (self.with.member, self.with.about.incarnation);
        part.told("drained", grant);
        let until = self.clock.now() + LEAVING;
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

/// Takes part until it has drained, or its place is another's.
pub async fn join(
    with: Membership,
    network: Rc<dyn Network>,
    clock: Clock,
    part: Rc<dyn MemberRole>,
) -> MembershipEnd {
    let caller = |at: &Address| RpcClient::new(network.clone(), at.clone(), &with.fleet);
    let callers: Vec<RpcClient> = with.stewards.iter().map(caller).collect();
    let taking = Rc::new(MembershipTask {
        with,
        clock,
        callers,
        standing: RefCell::default(),
        news: Notify::new(),
        good: Cell::new(0),
        agreed: Cell::new(0),
    });
    let mut renewing = tokio::task::JoinSet::new();
    for n in 0..taking.callers.len() {
        let (taking, part) = (taking.clone(), part.clone());
        renewing.spawn_local(async move { taking.renewing(n, &*part).await });
    }
    let ended = taking.steps(&*part).await;
    debug!(phase = ?taking.phase(), ?ended, "its part is over");
    ended
}
