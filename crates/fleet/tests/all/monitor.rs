//! The changes that the monitor proposes when heartbeats are missing, in simulated time.

use crate::changes::{bound_on_out, drain_request, fleet_of, member_info};
use crate::support::voter;
use saltdrum_fleet::change::Change;
use saltdrum_fleet::drain_scheduler::MemberLoad;
use saltdrum_fleet::monitor::{MemberMonitor, SuspicionLevels, Timeouts};
use saltdrum_fleet::state::{Fleet, MemberId, MemberKind};

const HEARTBEAT_INTERVAL: u64 = 1_000;

fn timeouts() -> Timeouts {
    Timeouts {
        heartbeat_interval: HEARTBEAT_INTERVAL,
        suspect_level: 8.0,
        grant_timeout: 20_000,
        drain_timeout: 50_000,
        health_timeout: 30_000,
    }
}

/// Coordinator 1 with scripted reports from two others. All members but the silent ones send heartbeats to it.
struct Simulation {
    monitor: MemberMonitor,
    fleet: Fleet,
    now: u64,
}

impl Simulation {
    fn new(members: u32) -> Self {
        let mut sim = Self {
            monitor: MemberMonitor::new(0, voter(1), timeouts()),
            fleet: fleet_of(members, vec![bound_on_out(MemberKind::Invoker, 2)]),
            now: 0,
        };
        sim.run(30, &[], |_| Some(SuspicionLevels::new()));
        sim
    }

    /// Runs a number of heartbeat intervals.
    fn run(
        &mut self,
        intervals: u64,
        silent: &[u32],
        reported_levels: impl Fn(&Fleet) -> Option<SuspicionLevels>,
    ) {
        for _ in 0..intervals {
            self.now += HEARTBEAT_INTERVAL;
            self.monitor.detect_pause(self.now);
            for (id, member) in self.fleet.members.clone() {
                if !silent.contains(&id.number) {
                    let incarnation = member.info.incarnation;
                    self.monitor.record_heartbeat(
                        self.now,
                        Some(&self.fleet),
                        id,
                        incarnation,
                        HEARTBEAT_INTERVAL,
                        MemberLoad::default(),
                    );
                }
            }
            for other in [2, 3] {
                self.monitor.record_report(
                    self.now,
                    voter(other),
                    reported_levels(&self.fleet),
                    false,
                );
            }
        }
    }

    fn due_changes(&mut self) -> Vec<Change> {
        self.monitor.due_changes(self.now, &self.fleet)
    }

    fn apply(&mut self, change: &Change) {
        self.fleet.apply(change).unwrap();
    }
}

fn suspects(number: u32) -> impl Fn(&Fleet) -> Option<SuspicionLevels> {
    move |_| Some(SuspicionLevels::from([(MemberId::invoker(number), 50.0)]))
}

fn suspects_nobody(_: &Fleet) -> Option<SuspicionLevels> {
    Some(SuspicionLevels::new())
}

fn mark_unreachable(number: u32) -> Change {
    Change::Silent {
        member: MemberId::invoker(number),
        incarnation: 1,
    }
}

#[test]
fn one_disconnected_coordinator_neither_marks_member_lost_nor_keeps_it_lost() {
    let mut sim = Simulation::new(5);
    sim.run(20, &[3], suspects_nobody);
    assert_eq!(
        sim.due_changes(),
        [],
        "only this coordinator misses its heartbeats"
    );
    sim.run(20, &[3], suspects(3));
    assert_eq!(sim.due_changes(), [mark_unreachable(3)]);
    sim.apply(&mark_unreachable(3));
    assert_eq!(
        sim.due_changes(),
        [],
        "the member is still unreachable for all"
    );
    // The member is reachable again for the others, but not for this coordinator.
    sim.run(3, &[3], suspects_nobody);
    assert_eq!(
        sim.due_changes(),
        [Change::Heard {
            member: MemberId::invoker(3),
            incarnation: 1
        }]
    );
    let mut without_reports = Simulation::new(5);
    without_reports.run(20, &[3], |_| None);
    assert_eq!(
        without_reports.due_changes(),
        [],
        "two unknown levels are no majority"
    );
}

#[test]
fn reports_no_levels_when_most_members_are_unreachable_at_once() {
    let mut sim = Simulation::new(6);
    sim.run(20, &[1, 2, 3, 4], suspects_nobody);
    assert_eq!(sim.monitor.suspicion_levels(sim.now, &sim.fleet), None);
    let mut sim = Simulation::new(6);
    sim.run(20, &[1, 2], suspects_nobody);
    let levels = sim.monitor.suspicion_levels(sim.now, &sim.fleet).unwrap();
    assert_eq!(levels.keys().map(|m| m.number).collect::<Vec<_>>(), [1, 2]);
}

#[test]
fn paused_coordinator_suspects_nobody_and_records_no_wrong_interval() {
    let mut sim = Simulation::new(4);
    let before = sim.monitor.suspicion_levels(sim.now + 900, &sim.fleet);
    sim.now += 60_000;
    assert_eq!(sim.monitor.detect_pause(sim.now), Some(60_000));
    assert_eq!(
        sim.monitor.suspicion_levels(sim.now, &sim.fleet),
        None,
        "it has received no heartbeats since the pause"
    );
    assert!(
        sim.monitor.is_proposer(sim.now, &sim.fleet),
        "reports from before the pause no longer count"
    );
    sim.run(3, &[], suspects_nobody);
    assert_eq!(
        sim.monitor.suspicion_levels(sim.now, &sim.fleet),
        Some(SuspicionLevels::new())
    );
    assert_eq!(
        sim.monitor.suspicion_levels(sim.now + 900, &sim.fleet),
        before,
        "the pause does not change the level"
    );
    sim.run(20, &[2], suspects(2));
    assert_eq!(
        sim.due_changes(),
        [mark_unreachable(2)],
        "it can suspect members again"
    );
}

#[test]
fn revokes_unused_grant_and_halts_when_returned_member_is_not_healthy() {
    let (mut sim, member) = (Simulation::new(4), MemberId::invoker(1));
    sim.apply(&drain_request("a", [1]));
    assert_eq!(sim.due_changes(), [Change::Grant { member }]);
    sim.apply(&Change::Grant { member });
    sim.run(10, &[], suspects_nobody);
    assert_eq!(sim.due_changes(), []);
    sim.run(21, &[], suspects_nobody);
    assert_eq!(sim.due_changes(), [Change::TakeBack { grant: 1 }]);
    sim.apply(&Change::Begin {
        member,
        incarnation: 1,
        grant: 1,
    });
    assert_eq!(sim.monitor.late_drains(sim.now, &sim.fleet), []);
    sim.run(51, &[], suspects_nobody);
    assert_eq!(
        sim.monitor.late_drains(sim.now, &sim.fleet),
        [(member, 51_000)]
    );
    assert_eq!(
        sim.monitor.late_drains(sim.now, &sim.fleet),
        [],
        "reported once"
    );
    sim.apply(&Change::Leave {
        member,
        incarnation: 1,
    });
    sim.apply(&Change::Join {
        member,
        about: member_info(2, 1),
    });
    assert_eq!(sim.due_changes(), []);
    sim.run(31, &[], suspects_nobody);
    let halt = sim.due_changes();
    assert!(
        matches!(&halt[..], [Change::Halt { why, .. }] if why.contains("invoker-1")),
        "{halt:?}"
    );
}

#[test]
fn first_reachable_coordinator_proposes_unless_it_is_recovering() {
    let fleet = fleet_of(1, vec![]);
    let mut monitor = MemberMonitor::new(0, voter(2), timeouts());
    assert!(monitor.is_proposer(0, &fleet));
    monitor.record_report(0, voter(1), None, true);
    assert!(
        monitor.is_proposer(0, &fleet),
        "the first coordinator is recovering"
    );
    monitor.record_report(0, voter(1), None, false);
    assert!(!monitor.is_proposer(0, &fleet));
    assert!(
        monitor.is_proposer(20_000, &fleet),
        "the report of the first coordinator has expired"
    );
}
