//! Feeds heartbeats and suspicion reports to [`MemberMonitor`](saltdrum_fleet::monitor::MemberMonitor), reports its levels of
//! suspicion to the other coordinators and proposes the changes that it finds due. The loop itself never waits for a peer, so
//! that it detects when the process was paused.

use crate::coordinator::Coordinator;
use crate::lease_watch::leases_held_by;
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
/// Interval between suspicion reports to the other coordinators.
const REPORT_INTERVAL: Ticks = 150 * MILLISECOND;

impl Coordinator {
    /// Handles a member's heartbeat; the reply describes the member as this coordinator knows it.
    pub(crate) fn handle_heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let fleet = self.fleet.borrow().clone();
        let fleet = fleet.as_deref();
        let now = self.clock.now();
        let load = heartbeat.load();
        self.monitor.borrow_mut().record_heartbeat(
            now,
            fleet,
            heartbeat.member,
            heartbeat.incarnation,
            heartbeat.interval_ticks,
            load,
        );
        let member = fleet.and_then(|f| f.members.get(&heartbeat.member));
        HeartbeatReply {
            revision: fleet.map_or(0, |f| f.revision),
            incarnation: member.map(|m| m.info.incarnation),
            phase: member.map(|m| m.phase.clone()),
            drain_withdrawn: fleet.is_some_and(|f| f.may_cancel_drain(&heartbeat.member)),
            leases: fleet.map_or_else(Vec::new, |f| {
                leases_held_by(f, heartbeat.member, heartbeat.incarnation)
            }),
        }
    }

    /// Handles another coordinator's report of its levels of suspicion.
    pub(crate) fn handle_suspicion_report(&self, report: SuspicionReport) {
        self.acceptor_store
            .borrow_mut()
            .record_writes(report.from, report.writes);
        if report.decided > self.decided_ballot.get() {
            self.catch_up_target
                .set(Some((report.from.steward, report.decided)));
        }
        self.monitor.borrow_mut().record_report(
            self.clock.now(),
            report.from,
            report.levels,
            report.is_recovering,
        );
    }

    /// Observes members and peers and proposes the changes that are due, until the future is dropped.
    pub(crate) async fn run_monitor(self: Rc<Self>) {
        let mut last_report = 0;
        loop {
            self.clock
                .sleep_until(self.clock.now() + OBSERVE_INTERVAL)
                .await;
            let now = self.clock.now();
            if let Some(gap) = self.monitor.borrow_mut().detect_pause(now) {
                warn!(
                    paused_ms = gap / MILLISECOND,
                    "process was paused, observation of members restarted"
                );
            }
            let fleet = self.fleet.borrow().clone();
            if now >= last_report + REPORT_INTERVAL {
                last_report = now;
                self.report_to_peers(fleet.as_deref());
            }
            if let Some((from, ballot)) = self.catch_up_target.take() {
                let this = self.clone();
                tokio::task::spawn_local(async move { this.catch_up(from, ballot).await });
            }
            let Some(fleet) = fleet else { continue };
            for (member, waited) in self.monitor.borrow_mut().late_drains(now, &fleet) {
                warn!(%member, waited_ms = waited / MILLISECOND, "drain is late");
            }
            let is_proposer = self.monitor.borrow().is_proposer(now, &fleet);
            // One batch at a time: the outcome of what was proposed has to be known before what follows from it is proposed.
            if is_proposer
                && !self.acceptor_store.borrow().is_recovering()
                && !self.is_proposing_due.get()
            {
                let due_changes = self.monitor.borrow_mut().due_changes(now, &fleet);
                if !due_changes.is_empty() {
                    self.is_proposing_due.set(true);
                    tokio::task::spawn_local(self.clone().propose_due(due_changes));
                }
            }
        }
    }

    /// Reports this coordinator's levels of suspicion to the others.
    fn report_to_peers(self: &Rc<Self>, fleet: Option<&Fleet>) {
        let acceptor_store = self.acceptor_store.borrow();
        let report = SuspicionReport {
            from: acceptor_store.voter(),
            levels: fleet.and_then(|f| self.monitor.borrow().suspicion_levels(self.clock.now(), f)),
            decided: self.decided_ballot.get(),
            writes: acceptor_store.writes(),
            is_recovering: acceptor_store.is_recovering(),
        };
        let own_number = acceptor_store.voter().steward;
        drop(acceptor_store);
        let peers = self
            .coordinator_addresses()
            .into_keys()
            .filter(|number| *number != own_number);
        for number in peers {
            let (this, report) = (self.clone(), report.clone());
            // One report in flight to each peer, so that they don't pile up behind a network partition.
            if !self.reporting_to.borrow_mut().insert(number) {
                continue;
            }
            tokio::task::spawn_local(async move {
                if let Some(peer) = this.peer(number) {
                    let _ = peer
                        .call::<serde_json::Value>("opinions", &report, 500 * MILLISECOND)
                        .await;
                }
                this.reporting_to.borrow_mut().remove(&number);
            });
        }
    }

    /// Proposes the changes that are due, and waits for their outcomes.
    async fn propose_due(self: Rc<Self>, due_changes: Vec<Change>) {
        let mut proposals = tokio::task::JoinSet::new();
        for change in due_changes {
            let this = self.clone();
            proposals.spawn_local(async move {
                if let Err((_, why)) = this.change(change.clone()).await {
                    info!(?change, why, "change not agreed");
                }
            });
        }
        while proposals.join_next().await.is_some() {}
        self.is_proposing_due.set(false);
    }

    /// Queries the other coordinators until this one may vote.
    pub(crate) async fn recover(self: Rc<Self>) -> Result<(), String> {
        let mut has_warned = false;
        loop {
            let own_voter = self.acceptor_store.borrow().voter();
            let mut verdict = Verdict::Wait;
            let peers: Vec<u32> = self
                .coordinator_addresses()
                .into_keys()
                .filter(|number| *number != own_voter.steward)
                .collect();
            let mut replies = tokio::task::JoinSet::new();
            for number in peers.iter().copied() {
                let this = self.clone();
                replies.spawn_local(async move {
                    let peer = this.peer(number)?;
                    let request = Recover {
                        from: own_voter,
                        incarnation: this.acceptor_store.borrow().incarnation(),
                    };
                    peer.call::<(Voter, RecoveryReply<Fleet>)>(
                        "recover",
                        &request,
                        500 * MILLISECOND,
                    )
                    .await
                    .ok()
                });
            }
            if peers.is_empty() {
                verdict = self
                    .acceptor_store
                    .borrow_mut()
                    .recover_without_peers()
                    .map_err(|e| e.1)?;
            }
            while let Some(reply) = replies.join_next().await {
                if let Ok(Some((from, reply))) = reply {
                    verdict = self
                        .acceptor_store
                        .borrow_mut()
                        .record_recovery_reply(from, reply)
                        .map_err(|e| e.1)?;
                }
                if verdict == Verdict::Vote {
                    return Ok(());
                }
            }
            match verdict {
                Verdict::Vote => return Ok(()),
                Verdict::StaleDisk {
                    own_writes,
                    known_writes,
                } if !has_warned => {
                    has_warned = true;
                    warn!(
                        mine = own_writes,
                        heard = known_writes,
                        "disk is an old copy, voting suspended until enough peers have replied"
                    );
                }
                _ => {}
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
