//! Passes heartbeats and reports to [`MemberMonitor`](saltdrum_fleet::monitor::MemberMonitor), reports its levels to other
//! coordinators and proposes the changes that it finds due. The loop itself waits for nobody, so that it notices when the
//! process was paused.

use crate::coordinator::Coordinator;
use crate::lease_watch::held_by;
use crate::wire::{Heartbeat, HeartbeatReply, Recover, SuspicionReport};
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::recovery::{RecoveryReply, Verdict};
use saltdrum_fleet::register::Voter;
use saltdrum_fleet::state::Fleet;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Interval between observations.
const OBSERVE_INTERVAL: Ticks = 50 * MILLISECOND;
/// Interval between reports to other coordinators.
const REPORT_INTERVAL: Ticks = 150 * MILLISECOND;

impl Coordinator {
    /// A member sent a heartbeat; the reply says how this coordinator knows it.
    pub(crate) fn renewed(&self, said: &Heartbeat) -> HeartbeatReply {
        let fleet = self.fleet.borrow().clone();
        let fleet = fleet.as_deref();
        let now = self.clock.now();
        let seen = said.load();
        self.monitor.borrow_mut().record_heartbeat(
            now,
            fleet,
            said.member,
            said.incarnation,
            said.interval_ticks,
            seen,
        );
        let member = fleet.and_then(|f| f.members.get(&said.member));
        HeartbeatReply {
            revision: fleet.map_or(0, |f| f.revision),
            incarnation: member.map(|m| m.info.incarnation),
            phase: member.map(|m| m.phase.clone()),
            drain_withdrawn: fleet.is_some_and(|f| f.may_cancel_drain(&said.member)),
            leases: fleet.map_or_else(Vec::new, |f| held_by(f, said.member, said.incarnation)),
        }
    }

    /// Another coordinator reported its levels of suspicion.
    pub(crate) fn opinions(&self, said: SuspicionReport) {
        self.acceptor_store
            .borrow_mut()
            .hear_writes(said.from, said.writes);
        if said.decided > self.decided_at.get() {
            self.behind.set(Some((said.from.steward, said.decided)));
        }
        self.monitor.borrow_mut().record_report(
            self.clock.now(),
            said.from,
            said.levels,
            said.returning,
        );
    }

    /// Observes members and peers, and proposes the changes that are due, for as long as it is polled.
    pub(crate) async fn observe(self: Rc<Self>) {
        let mut told = 0;
        loop {
            self.clock
                .sleep_until(self.clock.now() + OBSERVE_INTERVAL)
                .await;
            let now = self.clock.now();
            if let Some(gap) = self.monitor.borrow_mut().detect_pause(now) {
                warn!(
                    paused_ms = gap / MILLISECOND,
                    "process was paused, listening anew"
                );
            }
            let fleet = self.fleet.borrow().clone();
            if now >= told + REPORT_INTERVAL {
                told = now;
                self.report_to_peers(fleet.as_deref());
            }
            if let Some((from, to)) = self.behind.take() {
                let this = self.clone();
                tokio::task::spawn_local(async move { this.catch_up(from, to).await });
            }
            let Some(fleet) = fleet else { continue };
            for (member, waited) in self.monitor.borrow_mut().late_drains(now, &fleet) {
                warn!(%member, waited_ms = waited / MILLISECOND, "drain is late");
            }
            let leads = self.monitor.borrow().is_proposer(now, &fleet);
            // One thing after another: what was proposed has to be known before what follows from it is.
            if leads && !self.acceptor_store.borrow().is_returning() && !self.proposing.get() {
                let owed = self.monitor.borrow_mut().due_changes(now, &fleet);
                if !owed.is_empty() {
                    self.proposing.set(true);
                    tokio::task::spawn_local(self.clone().propose_due(owed));
                }
            }
        }
    }

    /// Reports this coordinator's levels to the others.
    fn report_to_peers(self: &Rc<Self>, fleet: Option<&Fleet>) {
        let acceptor_store = self.acceptor_store.borrow();
        let said = SuspicionReport {
            from: acceptor_store.me(),
            levels: fleet.and_then(|f| self.monitor.borrow().suspicion_levels(self.clock.now(), f)),
            decided: self.decided_at.get(),
            writes: acceptor_store.writes(),
            returning: acceptor_store.is_returning(),
        };
        let me = acceptor_store.me().steward;
        drop(acceptor_store);
        for steward in self.stewards().into_keys().filter(|s| *s != me) {
            let (this, said) = (self.clone(), said.clone());
            // One at a time on each connection: they must not pile up behind a network partition.
            if !self.telling.borrow_mut().insert(steward) {
                continue;
            }
            tokio::task::spawn_local(async move {
                if let Some(peer) = this.peer(steward) {
                    let _ = peer
                        .call::<serde_json::Value>("opinions", &said, 500 * MILLISECOND)
                        .await;
                }
                this.telling.borrow_mut().remove(&steward);
            });
        }
    }

    /// Has the changes agreed that are due.
    async fn propose_due(self: Rc<Self>, owed: Vec<Change>) {
        let mut told = tokio::task::JoinSet::new();
        for change in owed {
            let this = self.clone();
            told.spawn_local(async move {
                if let Err((_, why)) = this.change(change.clone()).await {
                    info!(?change, why, "change not agreed");
                }
            });
        }
        while told.join_next().await.is_some() {}
        self.proposing.set(false);
    }

    /// Asks the others until it may vote, then ends.
    pub(crate) async fn come_back(self: Rc<Self>) -> Result<(), String> {
        let mut told = false;
        loop {
            let me = self.acceptor_store.borrow().me();
            let mut verdict = Verdict::Wait;
            let others: Vec<u32> = self
                .stewards()
                .into_keys()
                .filter(|s| *s != me.steward)
                .collect();
            let mut answers = tokio::task::JoinSet::new();
            for steward in others.iter().copied() {
                let this = self.clone();
                answers.spawn_local(async move {
                    let peer = this.peer(steward)?;
                    let asked = Recover {
                        from: me,
                        incarnation: this.acceptor_store.borrow().life(),
                    };
                    peer.call::<(Voter, RecoveryReply<Fleet>)>("recover", &asked, 500 * MILLISECOND)
                        .await
                        .ok()
                });
            }
            if others.is_empty() {
                verdict = self
                    .acceptor_store
                    .borrow_mut()
                    .heard_nobody()
                    .map_err(|e| e.1)?;
            }
            while let Some(answer) = answers.join_next().await {
                if let Ok(Some((from, heard))) = answer {
                    verdict = self
                        .acceptor_store
                        .borrow_mut()
                        .heard(from, heard)
                        .map_err(|e| e.1)?;
                }
                if verdict == Verdict::Vote {
                    return Ok(());
                }
            }
            match verdict {
                Verdict::Vote => return Ok(()),
                Verdict::StaleDisk {
                    own_writes: mine,
                    known_writes: heard,
                } if !told => {
                    told = true;
                    warn!(
                        mine,
                        heard,
                        "disk is an old copy, voting suspended until enough peers were heard"
                    );
                }
                _ => {}
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
