//! What stewards make of silence, by plays of the decision alone.

use crate::changes::{about, ask, bound, with};
use crate::support::voter;
use saltdrum_fleet::change::Change;
use saltdrum_fleet::drain_scheduler::MemberLoad;
use saltdrum_fleet::monitor::{MemberMonitor, SuspicionLevels, Timeouts};
use saltdrum_fleet::state::{Fleet, MemberId, MemberKind};

const EVERY: u64 = 1_000;

fn timeouts() -> Timeouts {
    Timeouts {
        heartbeat_interval: EVERY,
        suspect_level: 8.0,
        grant_timeout: 20_000,
        drain_timeout: 50_000,
        health_timeout: 30_000,
    }
}

/// Steward 1 beside two others, whose opinions are given; members renew with it but for those in `silent`.
struct Play {
    monitor: MemberMonitor,
    fleet: Fleet,
    now: u64,
}

impl Play {
    fn new(members: u32) -> Self {
        let mut play = Self {
            monitor: MemberMonitor::new(0, voter(1), timeouts()),
            fleet: with(members, vec![bound(MemberKind::Invoker, 2)]),
            now: 0,
        };
        play.on(30, &[], |_| Some(SuspicionLevels::new()));
        play
    }

    fn on(
        &mut self,
        times: u64,
        silent: &[u32],
        others: impl Fn(&Fleet) -> Option<SuspicionLevels>,
    ) {
        for _ in 0..times {
            self.now += EVERY;
            self.monitor.detect_pause(self.now);
            for (id, m) in self.fleet.members.clone() {
                if !silent.contains(&id.number) {
                    let incarnation = m.info.incarnation;
                    self.monitor.record_heartbeat(
                        self.now,
                        Some(&self.fleet),
                        id,
                        incarnation,
                        EVERY,
                        MemberLoad::default(),
                    );
                }
            }
            for other in [2, 3] {
                self.monitor
                    .record_report(self.now, voter(other), others(&self.fleet), false);
            }
        }
    }

    fn owed(&mut self) -> Vec<Change> {
        self.monitor.due_changes(self.now, &self.fleet)
    }

    fn make(&mut self, change: &Change) {
        self.fleet.apply(change).unwrap();
    }
}

fn suspect(number: u32) -> impl Fn(&Fleet) -> Option<SuspicionLevels> {
    move |_| Some(SuspicionLevels::from([(MemberId::invoker(number), 50.0)]))
}

fn nobody(_: &Fleet) -> Option<SuspicionLevels> {
    Some(SuspicionLevels::new())
}

fn silent(number: u32) -> Change {
    Change::Silent {
        member: MemberId::invoker(number),
        incarnation: 1,
    }
}

#[test]
fn one_steward_behind_a_bad_line_suspects_nobody_and_keeps_nobody_lost() {
    let mut play = Play::new(5);
    play.on(20, &[3], nobody);
    assert_eq!(play.owed(), [], "this one alone does not hear it");
    play.on(20, &[3], suspect(3));
    assert_eq!(play.owed(), [silent(3)]);
    play.make(&silent(3));
    assert_eq!(play.owed(), [], "still silent by all");
    // The others hear it again; this one never does.
    play.on(3, &[3], nobody);
    assert_eq!(
        play.owed(),
        [Change::Heard {
            member: MemberId::invoker(3),
            incarnation: 1
        }]
    );
    let mut deaf = Play::new(5);
    deaf.on(20, &[3], |_| None);
    assert_eq!(deaf.owed(), [], "two that do not know are no majority");
}

#[test]
fn when_most_fall_silent_at_once_it_is_this_steward_that_is_deaf() {
    let mut play = Play::new(6);
    play.on(20, &[1, 2, 3, 4], nobody);
    assert_eq!(play.monitor.suspicion_levels(play.now, &play.fleet), None);
    let mut play = Play::new(6);
    play.on(20, &[1, 2], nobody);
    let levels = play
        .monitor
        .suspicion_levels(play.now, &play.fleet)
        .unwrap();
    assert_eq!(levels.keys().map(|m| m.number).collect::<Vec<_>>(), [1, 2]);
}

#[test]
fn a_steward_that_stood_still_accuses_nobody_when_it_wakes_and_learns_no_wrong_span() {
    let mut play = Play::new(4);
    let before = play.monitor.suspicion_levels(play.now + 900, &play.fleet);
    play.now += 60_000;
    assert_eq!(play.monitor.detect_pause(play.now), Some(60_000));
    assert_eq!(
        play.monitor.suspicion_levels(play.now, &play.fleet),
        None,
        "it has not listened yet"
    );
    assert!(
        play.monitor.is_proposer(play.now, &play.fleet),
        "whom it heard before it slept is not known to be there"
    );
    play.on(3, &[], nobody);
    assert_eq!(
        play.monitor.suspicion_levels(play.now, &play.fleet),
        Some(SuspicionLevels::new())
    );
    assert_eq!(
        play.monitor.suspicion_levels(play.now + 900, &play.fleet),
        before,
        "as unusual as it was before"
    );
    play.on(20, &[2], suspect(2));
    assert_eq!(play.owed(), [silent(2)], "it can accuse again");
}

#[test]
fn what_nobody_takes_up_is_taken_back_and_what_does_not_prove_itself_halts() {
    let (mut play, member) = (Play::new(4), MemberId::invoker(1));
    play.make(&ask("a", [1]));
    assert_eq!(play.owed(), [Change::Grant { member }]);
    play.make(&Change::Grant { member });
    play.on(10, &[], nobody);
    assert_eq!(play.owed(), []);
    play.on(21, &[], nobody);
    assert_eq!(play.owed(), [Change::TakeBack { grant: 1 }]);
    play.make(&Change::Begin {
        member,
        incarnation: 1,
        grant: 1,
    });
    assert_eq!(play.monitor.late_drains(play.now, &play.fleet), []);
    play.on(51, &[], nobody);
    assert_eq!(
        play.monitor.late_drains(play.now, &play.fleet),
        [(member, 51_000)]
    );
    assert_eq!(
        play.monitor.late_drains(play.now, &play.fleet),
        [],
        "told once"
    );
    play.make(&Change::Leave {
        member,
        incarnation: 1,
    });
    play.make(&Change::Join {
        member,
        about: about(2, 1),
    });
    assert_eq!(play.owed(), []);
    play.on(31, &[], nobody);
    let halt = play.owed();
    assert!(
        matches!(&halt[..], [Change::Halt { why, .. }] if why.contains("invoker-1")),
        "{halt:?}"
    );
}

#[test]
fn the_first_that_is_heard_leads_and_a_returning_one_does_not() {
    let fleet = with(1, vec![]);
    let mut monitor = MemberMonitor::new(0, voter(2), timeouts());
    assert!(monitor.is_proposer(0, &fleet));
    monitor.record_report(0, voter(1), None, true);
    assert!(monitor.is_proposer(0, &fleet), "it returns");
    monitor.record_report(0, voter(1), None, false);
    assert!(!monitor.is_proposer(0, &fleet));
    assert!(
        monitor.is_proposer(20_000, &fleet),
        "it has said nothing for long"
    );
}
