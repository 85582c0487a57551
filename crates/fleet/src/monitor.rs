//! Determines the changes that a coordinator proposes, from the heartbeats of members and the reports of other coordinators.
//! Any coordinator may propose them at any time; to avoid conflicts, only the first reachable one does. Times are ticks of
//! 100 us of this coordinator's own clock. They are used only for waiting times and for levels of suspicion.

use crate::change::Change;
use crate::drain_scheduler::{MemberLoad, next_to_drain};
use crate::failure_detector::{ArrivalWindow, SuspicionReport, is_isolated, majority_level};
use crate::register::Voter;
use crate::state::{Fleet, Member, MemberId, Phase};
use std::collections::{BTreeMap, BTreeSet};

/// How long the report of another coordinator is valid, in ticks of 100 us.
const REPORT_VALIDITY_TICKS: u64 = 10_000;
/// A coordinator that was paused for longer than this, in ticks of 100 us, restarts its measurements.
const MAX_PAUSE_TICKS: u64 = 3_000;
/// Levels of suspicion below this are not reported.
const MIN_REPORTED_LEVEL: f64 = 0.5;
/// The level of a member without any heartbeat, and the highest level reported.
const MAX_LEVEL: f64 = 1_000.0;
/// While heartbeats of this many members are tracked, those of members that are not in the agreed value are ignored.
const MAX_TRACKED_MEMBERS: usize = 20_000;

/// Timeouts in ticks of 100 us, and the level of suspicion, as configured in the deployment.
#[derive(Clone, Debug)]
pub struct Timeouts {
    /// Interval between heartbeats.
    pub heartbeat_interval: u64,
    /// Level of suspicion at which a member is considered lost.
    pub suspect_level: f64,
    /// Time after which an unused grant is revoked.
    pub grant_timeout: u64,
    /// Time after which a drain is reported as late.
    pub drain_timeout: u64,
    /// Time after which a member that returned from a drain and is not yet healthy halts drains; 0: never.
    pub health_timeout: u64,
}

/// Levels of suspicion by member, without negligible ones.
pub type SuspicionLevels = BTreeMap<MemberId, f64>;

/// The heartbeats received from one incarnation of a member.
struct MemberHeartbeats {
    incarnation: u64,
    window: ArrivalWindow,
    load: MemberLoad,
}

/// The latest report of another coordinator.
struct PeerReport {
    received_at: u64,
    levels: Option<SuspicionLevels>,
    is_recovering: bool,
}

/// The heartbeats and reports that one coordinator has received.
pub struct MemberMonitor {
    me: Voter,
    timeouts: Timeouts,
    heartbeats: BTreeMap<MemberId, MemberHeartbeats>,
    peers: BTreeMap<Voter, PeerReport>,
    /// For each member the revision at which it entered its phase, and when that was first observed here.
    phase_entries: BTreeMap<MemberId, (u64, u64)>,
    /// Drains that were reported as late, by member and revision.
    reported_late: BTreeSet<(MemberId, u64)>,
    /// No levels are reported before this time.
    ready_at: u64,
    last_poll: u64,
}

impl MemberMonitor {
    /// Creates a monitor without heartbeats or reports.
    pub fn new(now: u64, me: Voter, timeouts: Timeouts) -> Self {
        Self {
            me,
            ready_at: now + 4 * timeouts.heartbeat_interval,
            timeouts,
            heartbeats: BTreeMap::new(),
            peers: BTreeMap::new(),
            phase_entries: BTreeMap::new(),
            reported_late: BTreeSet::new(),
            last_poll: now,
        }
    }

    /// Detects that the process was paused, and returns for how long. Messages that arrived during a pause were not read in
    /// time, so the measurements restart. Must be called often, whatever else the coordinator waits for.
    pub fn detect_pause(&mut self, now: u64) -> Option<u64> {
        let gap = now - std::mem::replace(&mut self.last_poll, now).min(now);
        if gap <= MAX_PAUSE_TICKS {
            return None;
        }
        self.heartbeats
            .values_mut()
            .for_each(|heartbeats| heartbeats.window.reset_after_pause(now));
        self.peers.clear();
        self.ready_at = now + 2 * self.timeouts.heartbeat_interval;
        Some(gap)
    }

    /// Records a heartbeat of a member, which announces the next one within `interval`.
    pub fn record_heartbeat(
        &mut self,
        now: u64,
        fleet: Option<&Fleet>,
        member: MemberId,
        incarnation: u64,
        interval: u64,
        load: MemberLoad,
    ) {
        let known = fleet.and_then(|f| f.members.get(&member));
        // A former incarnation that was paused must not keep alive the one that replaced it.
        let is_replaced = known.is_some_and(|m| m.past_incarnations.contains(&incarnation));
        if is_replaced || (known.is_none() && self.heartbeats.len() >= MAX_TRACKED_MEMBERS) {
            return;
        }
        let new = || MemberHeartbeats {
            incarnation,
            window: ArrivalWindow::new(now, interval),
            load,
        };
        let heartbeats = self.heartbeats.entry(member).or_insert_with(new);
        if heartbeats.incarnation != incarnation {
            *heartbeats = new();
        }
        heartbeats.window.record_heartbeat(now);
        heartbeats.load = load;
    }

    /// Records the levels that another coordinator reported. A recovering coordinator does not vote yet.
    pub fn record_report(
        &mut self,
        now: u64,
        from: Voter,
        levels: Option<SuspicionLevels>,
        is_recovering: bool,
    ) {
        // Reports are not authenticated, so they are dropped as soon as they expire; this bounds the number stored.
        self.peers.retain(|_, p| Self::is_fresh(now, p));
        self.peers.insert(
            from,
            PeerReport {
                received_at: now,
                levels,
                is_recovering,
            },
        );
    }

    /// Time since the last heartbeat of each member.
    pub fn heartbeat_ages(&self, now: u64) -> BTreeMap<MemberId, u64> {
        self.heartbeats
            .iter()
            .map(|(id, heartbeats)| (*id, heartbeats.window.elapsed(now)))
            .collect()
    }

    /// This coordinator's level of suspicion of each member. `None`: it is isolated, or has not received heartbeats for long
    /// enough.
    pub fn suspicion_levels(&self, now: u64, fleet: &Fleet) -> Option<SuspicionLevels> {
        if now < self.ready_at {
            return None;
        }
        let mut levels = SuspicionLevels::new();
        let (mut expected, mut unreachable) = (0, 0);
        for (id, member) in fleet
            .members
            .iter()
            .filter(|(_, m)| !matches!(m.phase, Phase::Away { .. }))
        {
            let heartbeats = self
                .heartbeats
                .get(id)
                .filter(|heartbeats| heartbeats.incarnation == member.info.incarnation);
            let level = heartbeats.map_or(MAX_LEVEL, |heartbeats| {
                heartbeats.window.level(now).min(MAX_LEVEL)
            });
            // Lost members do not indicate whether this coordinator is isolated.
            if !matches!(member.phase, Phase::Lost { .. }) {
                expected += 1;
                unreachable += usize::from(level >= self.timeouts.suspect_level);
            }
            if level >= MIN_REPORTED_LEVEL {
                levels.insert(*id, level);
            }
        }
        (!is_isolated(unreachable, expected)).then_some(levels)
    }

    fn is_fresh(now: u64, peer: &PeerReport) -> bool {
        now <= peer.received_at + REPORT_VALIDITY_TICKS
    }

    /// The level of suspicion that a majority of all coordinators reaches for this member.
    fn majority_level_of(
        &self,
        now: u64,
        id: &MemberId,
        own_levels: Option<&SuspicionLevels>,
        voters: &BTreeSet<Voter>,
    ) -> Option<f64> {
        let of = |levels: &SuspicionLevels| levels.get(id).copied().unwrap_or(0.0);
        let reports = voters.iter().map(|v| -> SuspicionReport {
            if *v == self.me {
                return own_levels.map(of);
            }
            let peer = self.peers.get(v).filter(|p| Self::is_fresh(now, p))?;
            peer.levels.as_ref().map(of)
        });
        majority_level(voters.len(), reports)
    }

    /// Whether this coordinator proposes the due changes: it is the first of those that are reachable and may vote.
    pub fn is_proposer(&self, now: u64, fleet: &Fleet) -> bool {
        let is_available = |voter: &Voter| {
            *voter == self.me
                || self
                    .peers
                    .get(voter)
                    .is_some_and(|peer| !peer.is_recovering && Self::is_fresh(now, peer))
        };
        fleet.config.voters().into_iter().find(is_available) == Some(self.me)
    }

    /// Drains that exceed their timeout, each reported once: the member, and for how long it has been draining.
    pub fn late_drains(&mut self, now: u64, fleet: &Fleet) -> Vec<(MemberId, u64)> {
        self.observe_phases(now, fleet);
        let mut late = Vec::new();
        for (id, member) in fleet
            .members
            .iter()
            .filter(|(_, member)| matches!(member.phase, Phase::Draining { .. }))
        {
            let waited = now - self.phase_entries[id].1;
            if waited > self.timeouts.drain_timeout
                && self.reported_late.insert((*id, member.since))
            {
                late.push((*id, waited));
            }
        }
        late
    }

    /// Records when each member entered its phase.
    fn observe_phases(&mut self, now: u64, fleet: &Fleet) {
        self.phase_entries
            .retain(|id, _| fleet.members.contains_key(id));
        self.reported_late
            .retain(|(id, since)| fleet.members.get(id).is_some_and(|m| m.since == *since));
        for (id, member) in &fleet.members {
            let entry = self.phase_entries.entry(*id).or_insert((member.since, now));
            if entry.0 != member.since {
                *entry = (member.since, now);
            }
        }
    }

    /// The changes that the proposing coordinator has to propose now. `fleet` is known to be agreed.
    pub fn due_changes(&mut self, now: u64, fleet: &Fleet) -> Vec<Change> {
        self.observe_phases(now, fleet);
        let (voters, own_levels) = (fleet.config.voters(), self.suspicion_levels(now, fleet));
        let mut changes: Vec<Change> = fleet
            .members
            .iter()
            .filter_map(|(id, member)| {
                let level = self.majority_level_of(now, id, own_levels.as_ref(), &voters);
                self.due_change_for(now, fleet, *id, member, level)
            })
            .collect();
        if fleet.config.is_changing() {
            // The value was agreed, so quorums of both sets hold it.
            changes.push(Change::Settle {
                seen: fleet.config.clone(),
            });
        }
        // Grants wait until the known losses are part of the value.
        if changes.is_empty() && own_levels.is_some() {
            changes = self.due_grants(fleet);
        }
        changes
    }

    /// The change that is due for one member, if any. `level` is the level of suspicion that a majority of coordinators
    /// reaches.
    fn due_change_for(
        &self,
        now: u64,
        fleet: &Fleet,
        member: MemberId,
        state: &Member,
        level: Option<f64>,
    ) -> Option<Change> {
        let incarnation = state.info.incarnation;
        let waited = now - self.phase_entries[&member].1;
        let suspect_level = self.timeouts.suspect_level;
        let is_unreachable = level.is_some_and(|level| level >= suspect_level);
        // Hysteresis: half the level at which a member is considered lost.
        let is_reachable = level.is_some_and(|level| level < suspect_level / 2.0);
        match &state.phase {
            Phase::Away { .. } | Phase::Draining { .. } => None,
            Phase::Lost { .. } => is_reachable.then_some(Change::Heard {
                member,
                incarnation,
            }),
            _ if is_unreachable => Some(Change::Silent {
                member,
                incarnation,
            }),
            Phase::Granted { grant } if waited > self.timeouts.grant_timeout => {
                Some(Change::TakeBack { grant: *grant })
            }
            Phase::Starting { planned: true }
                if (1..waited).contains(&self.timeouts.health_timeout) && fleet.halt.is_none() =>
            {
                Some(Change::Halt {
                    by: "the fleet".into(),
                    why: format!(
                        "{member} came back and is not proven after {} ms",
                        waited / 10
                    ),
                    ends: "an operator's resume, once it is up, lost or forgotten".into(),
                })
            }
            _ => None,
        }
    }

    /// All grants that the bounds allow now, computed on a copy of the fleet.
    fn due_grants(&self, fleet: &Fleet) -> Vec<Change> {
        let loads: BTreeMap<MemberId, MemberLoad> = self
            .heartbeats
            .iter()
            .map(|(id, heartbeats)| (*id, heartbeats.load))
            .collect();
        let mut projected = fleet.clone();
        let mut grants = Vec::new();
        while let Some(member) = next_to_drain(&projected, &loads) {
            let grant = Change::Grant { member };
            if projected.apply(&grant).is_err() {
                break;
            }
            grants.push(grant);
        }
        grants
    }
}
