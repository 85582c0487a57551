//! What a coordinator concludes from what it hears of members and of other coordinators, and which changes it proposes for
//! that. Any coordinator may propose them at any time; to avoid conflicts the first that others hear does. Times are ticks of
//! 100 us of this coordinator's own clock; only how long something waits, and how unusual a silence is, is taken from them.

use crate::change::Change;
use crate::drain_scheduler::{MemberLoad, next_to_drain};
use crate::failure_detector::{ArrivalWindow, SuspicionReport, is_isolated, majority_level};
use crate::register::Voter;
use crate::state::{Fleet, Member, MemberId, Phase};
use std::collections::{BTreeMap, BTreeSet};

/// How long the report of another coordinator counts, in ticks.
const REPORT_VALIDITY: u64 = 10_000;
/// A coordinator that was paused for longer than this, in ticks, starts to listen anew.
const PAUSE_LIMIT: u64 = 3_000;
/// Levels of suspicion below this are not reported.
const LEAST_REPORTED_LEVEL: f64 = 0.5;
/// The level of a member that was never heard, and the highest that is reported.
const HIGHEST_LEVEL: f64 = 1_000.0;
/// While so many members are remembered, heartbeats of members that are not in the agreed value are ignored.
const UNKNOWN_MEMBERS_MOST: usize = 20_000;

/// Times in ticks of 100 us, and the level of suspicion, as the deployment states them.
#[derive(Clone, Debug)]
pub struct Timeouts {
    /// Interval between heartbeats.
    pub heartbeat_interval: u64,
    /// Level at which a member is taken for lost.
    pub suspect_level: f64,
    /// After that a grant that was not used is revoked.
    pub grant_timeout: u64,
    /// After that a drain is reported as late.
    pub drain_timeout: u64,
    /// After that a member that returned from a drain and is not healthy halts drains. 0: never.
    pub health_timeout: u64,
}

/// Levels of suspicion that are worth reporting, by member.
pub type SuspicionLevels = BTreeMap<MemberId, f64>;

/// What was heard from one incarnation of a member.
struct MemberHeartbeats {
    incarnation: u64,
    window: ArrivalWindow,
    load: MemberLoad,
}

/// The latest report of another coordinator.
struct PeerReport {
    received_at: u64,
    levels: Option<SuspicionLevels>,
    returning: bool,
}

/// What one coordinator has heard of members and of other coordinators, and since when.
pub struct MemberMonitor {
    me: Voter,
    timeouts: Timeouts,
    heartbeats: BTreeMap<MemberId, MemberHeartbeats>,
    peers: BTreeMap<Voter, PeerReport>,
    /// Since when a member is in its phase: the revision at which it came into it, and when that was first seen here.
    since: BTreeMap<MemberId, (u64, u64)>,
    /// Drains that were reported as late, by member and revision.
    late: BTreeSet<(MemberId, u64)>,
    /// Before that it reports nothing.
    listens_from: u64,
    last_turn: u64,
}

impl MemberMonitor {
    /// A monitor that has heard nobody yet.
    pub fn new(now: u64, me: Voter, timeouts: Timeouts) -> Self {
        Self {
            me,
            listens_from: now + 4 * timeouts.heartbeat_interval,
            timeouts,
            heartbeats: BTreeMap::new(),
            peers: BTreeMap::new(),
            since: BTreeMap::new(),
            late: BTreeSet::new(),
            last_turn: now,
        }
    }

    /// To be called often, whatever else the coordinator waits for. Returns how long the process was paused, if it was: then
    /// what arrived meanwhile was not read in time, and it starts to listen anew.
    pub fn detect_pause(&mut self, now: u64) -> Option<u64> {
        let gap = now - std::mem::replace(&mut self.last_turn, now).min(now);
        if gap <= PAUSE_LIMIT {
            return None;
        }
        self.heartbeats
            .values_mut()
            .for_each(|heartbeats| heartbeats.window.reset_after_pause(now));
        self.peers.clear();
        self.listens_from = now + 2 * self.timeouts.heartbeat_interval;
        Some(gap)
    }

    /// A member sent a heartbeat, and promises the next within `every`.
    pub fn record_heartbeat(
        &mut self,
        now: u64,
        fleet: Option<&Fleet>,
        member: MemberId,
        incarnation: u64,
        every: u64,
        seen: MemberLoad,
    ) {
        let known = fleet.and_then(|f| f.members.get(&member));
        // A former incarnation that was paused must not speak for the one that replaced it.
        let replaced = known.is_some_and(|m| m.past_incarnations.contains(&incarnation));
        if replaced || (known.is_none() && self.heartbeats.len() >= UNKNOWN_MEMBERS_MOST) {
            return;
        }
        let new = || MemberHeartbeats {
            incarnation,
            window: ArrivalWindow::new(now, every),
            load: seen,
        };
        let heard = self.heartbeats.entry(member).or_insert_with(new);
        if heard.incarnation != incarnation {
            *heard = new();
        }
        heard.window.record_heartbeat(now);
        heard.load = seen;
    }

    /// Another coordinator reported its levels; `returning`: it does not vote yet.
    pub fn record_report(
        &mut self,
        now: u64,
        from: Voter,
        levels: Option<SuspicionLevels>,
        returning: bool,
    ) {
        // Anybody may claim to be a coordinator: reports are kept no longer than they count.
        self.peers.retain(|_, p| Self::is_fresh(now, p));
        self.peers.insert(
            from,
            PeerReport {
                received_at: now,
                levels,
                returning,
            },
        );
    }

    /// How long ago each member was heard here.
    pub fn heartbeat_ages(&self, now: u64) -> BTreeMap<MemberId, u64> {
        self.heartbeats
            .iter()
            .map(|(id, heartbeats)| (*id, heartbeats.window.elapsed(now)))
            .collect()
    }

    /// This coordinator's level of suspicion of each member; none: it is cut off, or has not listened for long enough.
    pub fn suspicion_levels(&self, now: u64, fleet: &Fleet) -> Option<SuspicionLevels> {
        if now < self.listens_from {
            return None;
        }
        let mut levels = SuspicionLevels::new();
        let (mut there, mut silent) = (0, 0);
        for (id, m) in fleet
            .members
            .iter()
            .filter(|(_, m)| !matches!(m.phase, Phase::Away { .. }))
        {
            let heard = self
                .heartbeats
                .get(id)
                .filter(|heartbeats| heartbeats.incarnation == m.info.incarnation);
            let level = heard.map_or(HIGHEST_LEVEL, |heartbeats| {
                heartbeats.window.level(now).min(HIGHEST_LEVEL)
            });
            // Those that are lost say nothing of whether this coordinator is cut off.
            if !matches!(m.phase, Phase::Lost { .. }) {
                there += 1;
                silent += usize::from(level >= self.timeouts.suspect_level);
            }
            if level >= LEAST_REPORTED_LEVEL {
                levels.insert(*id, level);
            }
        }
        (!is_isolated(silent, there)).then_some(levels)
    }

    fn is_fresh(now: u64, peer: &PeerReport) -> bool {
        now <= peer.received_at + REPORT_VALIDITY
    }

    /// The level that a majority of all coordinators reaches for this member.
    fn level_of(
        &self,
        now: u64,
        id: &MemberId,
        mine: Option<&SuspicionLevels>,
        voters: &BTreeSet<Voter>,
    ) -> Option<f64> {
        let of = |levels: &SuspicionLevels| levels.get(id).copied().unwrap_or(0.0);
        let opinions = voters.iter().map(|v| -> SuspicionReport {
            if *v == self.me {
                return mine.map(of);
            }
            let peer = self.peers.get(v).filter(|p| Self::is_fresh(now, p))?;
            peer.levels.as_ref().map(of)
        });
        majority_level(voters.len(), opinions)
    }

    /// Whether it is this coordinator's turn to propose what nobody asked for.
    pub fn is_proposer(&self, now: u64, fleet: &Fleet) -> bool {
        let speaks = |v: &Voter| {
            *v == self.me
                || self
                    .peers
                    .get(v)
                    .is_some_and(|p| !p.returning && Self::is_fresh(now, p))
        };
        fleet.config.voters().into_iter().find(speaks) == Some(self.me)
    }

    /// Drains that take longer than the deployment states, each reported once: the member, and how long it drains by now.
    pub fn late_drains(&mut self, now: u64, fleet: &Fleet) -> Vec<(MemberId, u64)> {
        self.observe_phases(now, fleet);
        let mut late = Vec::new();
        for (id, m) in fleet
            .members
            .iter()
            .filter(|(_, m)| matches!(m.phase, Phase::Draining { .. }))
        {
            let waited = now - self.since[id].1;
            if waited > self.timeouts.drain_timeout && self.late.insert((*id, m.since)) {
                late.push((*id, waited));
            }
        }
        late
    }

    /// Records since when members are in their phases.
    fn observe_phases(&mut self, now: u64, fleet: &Fleet) {
        self.since.retain(|id, _| fleet.members.contains_key(id));
        self.late
            .retain(|(id, since)| fleet.members.get(id).is_some_and(|m| m.since == *since));
        for (id, m) in &fleet.members {
            let entry = self.since.entry(*id).or_insert((m.since, now));
            if entry.0 != m.since {
                *entry = (m.since, now);
            }
        }
    }

    /// The changes that are due, for the coordinator whose turn it is. `fleet` is known to be agreed.
    pub fn due_changes(&mut self, now: u64, fleet: &Fleet) -> Vec<Change> {
        self.observe_phases(now, fleet);
        let (voters, mine) = (fleet.config.voters(), self.suspicion_levels(now, fleet));
        let mut changes: Vec<Change> = fleet
            .members
            .iter()
            .filter_map(|(id, member)| {
                let level = self.level_of(now, id, mine.as_ref(), &voters);
                self.due_for_member(now, fleet, *id, member, level)
            })
            .collect();
        if fleet.config.is_changing() {
            // Both sets are known to hold it: it was agreed.
            changes.push(Change::Settle {
                seen: fleet.config.clone(),
            });
        }
        // Grants wait until the losses that are known are counted.
        if changes.is_empty() && mine.is_some() {
            changes = self.grants_due(fleet);
        }
        changes
    }

    /// The change that one member needs, if it needs any; `level` is the suspicion that a majority of coordinators shares.
    fn due_for_member(
        &self,
        now: u64,
        fleet: &Fleet,
        member: MemberId,
        state: &Member,
        level: Option<f64>,
    ) -> Option<Change> {
        let incarnation = state.info.incarnation;
        let waited = now - self.since[&member].1;
        let suspect_level = self.timeouts.suspect_level;
        let is_silent = level.is_some_and(|level| level >= suspect_level);
        // Hysteresis: well below the level at which it was lost.
        let is_heard = level.is_some_and(|level| level < suspect_level / 2.0);
        match &state.phase {
            Phase::Away { .. } | Phase::Draining { .. } => None,
            Phase::Lost { .. } => is_heard.then_some(Change::Heard {
                member,
                incarnation,
            }),
            _ if is_silent => Some(Change::Silent {
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

    /// All grants that the bounds allow now, on a copy of the fleet.
    fn grants_due(&self, fleet: &Fleet) -> Vec<Change> {
        let loads: BTreeMap<MemberId, MemberLoad> = self
            .heartbeats
            .iter()
            .map(|(id, heartbeats)| (*id, heartbeats.load))
            .collect();
        let mut after = fleet.clone();
        let mut grants = Vec::new();
        while let Some(member) = next_to_drain(&after, &loads) {
            let grant = Change::Grant { member };
            if after.apply(&grant).is_err() {
                break;
            }
            grants.push(grant);
        }
        grants
    }
}
