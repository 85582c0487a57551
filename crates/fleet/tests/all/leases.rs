//! Who holds a lease, whatever changes come: in drawn sequences and in plain cases.

use crate::changes::{about, ask, bound, drawn, with};
use saltdrum_fleet::change::{Change, Refusal};
use saltdrum_fleet::leases::MAX_LEASES;
use saltdrum_fleet::state::{
    Epoch, Fleet, LeaseName, LeaseState, LeaseTerms, MemberId, MemberInfo, MemberKind, Phase,
};
use std::collections::{BTreeMap, BTreeSet};

const TASK: &str = "collect";

fn terms() -> LeaseTerms {
    LeaseTerms {
        task: TASK.into(),
        eligible: MemberKind::Invoker,
        resources: BTreeSet::from(["registry".into()]),
    }
}

fn name() -> LeaseName {
    "registry-collection".into()
}

fn state_leases(names: impl IntoIterator<Item = LeaseName>) -> Change {
    let leases = names.into_iter().map(|name| (name, terms())).collect();
    Change::Leases {
        leases,
        by: "them".into(),
    }
}

fn offering(incarnation: u64, number: u32) -> MemberInfo {
    MemberInfo {
        tasks: BTreeSet::from([TASK.to_owned()]),
        ..about(incarnation, number)
    }
}

/// Members that are up and offer the task, and one lease of it.
fn fleet_with_lease(members: u32) -> Fleet {
    let mut fleet = with(0, vec![bound(MemberKind::Invoker, 2)]);
    fleet.apply(&state_leases([name()])).unwrap();
    for n in 1..=members {
        let member = MemberId::invoker(n);
        fleet
            .apply(&Change::Join {
                member,
                about: offering(1, n),
            })
            .unwrap();
        fleet
            .apply(&Change::Proven {
                member,
                incarnation: 1,
            })
            .unwrap();
    }
    fleet
}

fn holder(fleet: &Fleet) -> Option<(MemberId, u64, Epoch)> {
    match fleet.leases[&name()].state {
        LeaseState::Held {
            holder,
            incarnation,
            epoch,
        } => Some((holder, incarnation, epoch)),
        _ => None,
    }
}

/// What holds of a lease after any change.
fn check(fleet: &Fleet, seed: u64) {
    let eligible = |(id, m): (&MemberId, &saltdrum_fleet::Member)| {
        id.kind == MemberKind::Invoker && m.phase == Phase::Up && m.info.tasks.contains(TASK)
    };
    match holder(fleet) {
        Some((id, incarnation, _)) => {
            let member = &fleet.members[&id];
            assert!(
                matches!(member.phase, Phase::Up | Phase::Granted { .. }),
                "seed {seed}: {member:?}"
            );
            assert_eq!(member.info.incarnation, incarnation, "seed {seed}");
        }
        None if fleet.leases[&name()].state == LeaseState::Vacant => {
            assert!(
                !fleet.members.iter().any(eligible),
                "seed {seed}: vacant with somebody eligible"
            );
        }
        None => {}
    }
}

#[test]
fn drawn_changes_leave_a_lease_with_who_may_have_it_and_never_reuse_an_epoch() {
    let mut handovers = 0;
    for seed in 0..3_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = fleet_with_lease(8);
        let mut holders: BTreeMap<Epoch, (MemberId, u64)> = BTreeMap::new();
        for n in 0..120 {
            let mut change = match rng.u8(..20) {
                0 => Change::PauseLease {
                    lease: name(),
                    by: "them".into(),
                    why: "to see".into(),
                },
                1 | 2 => Change::ResumeLease {
                    lease: name(),
                    by: "them".into(),
                },
                _ => drawn(&mut rng, &fleet, n),
            };
            if let Change::Join { about, .. } = &mut change
                && rng.u8(..5) > 0
            {
                about.tasks.insert(TASK.into());
            }
            let before = fleet.clone();
            let Ok(done) = fleet.apply(&change) else {
                assert_eq!(fleet, before, "seed {seed}: refused, and something changed");
                continue;
            };
            assert_eq!(done.changed, fleet != before, "seed {seed}: {change:?}");
            check(&fleet, seed);
            let (was, is) = (before.leases[&name()].epoch, fleet.leases[&name()].epoch);
            assert!(is >= was, "seed {seed}: epoch {was}, then {is}");
            if let Some((id, incarnation, epoch)) = holder(&fleet) {
                let known = holders.insert(epoch, (id, incarnation));
                assert!(
                    known.is_none_or(|k| k == (id, incarnation)),
                    "seed {seed}: epoch {epoch} twice"
                );
                handovers += usize::from(known.is_none());
            }
            // It may come twice.
            let once = fleet.clone();
            let again = fleet.apply(&change);
            assert!(
                again.is_err() || !again.unwrap().changed,
                "seed {seed}: {change:?} again"
            );
            assert_eq!(fleet, once, "seed {seed}: {change:?} again");
        }
    }
    println!("{handovers} grants");
    assert!(handovers > 15_000, "{handovers} grants");
}

#[test]
fn whoever_is_lost_replaced_or_drains_gives_its_lease_up_in_the_same_change() {
    let silent = |member, incarnation| {
        vec![Change::Silent {
            member,
            incarnation,
        }]
    };
    let leaves = |member, incarnation| {
        vec![Change::Leave {
            member,
            incarnation,
        }]
    };
    let replaced = |member: MemberId, life| {
        vec![Change::Join {
            member,
            about: offering(life + 1, member.number),
        }]
    };
    let drains = |member: MemberId, incarnation| {
        let grant = Change::Grant { member };
        vec![
            ask("one", [member.number]),
            grant,
            Change::Begin {
                member,
                incarnation,
                grant: 1,
            },
        ]
    };
    let cases: [&dyn Fn(MemberId, u64) -> Vec<Change>; 4] = [&silent, &leaves, &replaced, &drains];
    for case in cases {
        let mut fleet = fleet_with_lease(3);
        let (first, incarnation, epoch) = holder(&fleet).unwrap();
        let changes = case(first, incarnation);
        for change in &changes {
            assert_eq!(
                holder(&fleet),
                Some((first, incarnation, epoch)),
                "before {change:?}"
            );
            fleet.apply(change).unwrap();
        }
        let (second, _, later) = holder(&fleet).unwrap();
        assert!(second != first && later > epoch, "{changes:?}");
        assert_eq!(fleet.leases[&name()].since, fleet.revision);
    }
}

#[test]
fn a_paused_lease_is_nobodys_and_has_an_epoch_of_its_own() {
    let mut fleet = fleet_with_lease(3);
    let (_, _, epoch) = holder(&fleet).unwrap();
    let pause = Change::PauseLease {
        lease: name(),
        by: "them".into(),
        why: "to see".into(),
    };
    assert!(fleet.apply(&pause).unwrap().changed);
    assert!(
        !fleet.apply(&pause).unwrap().changed,
        "it is paused already"
    );
    let LeaseState::Paused {
        epoch: operators, ..
    } = fleet.leases[&name()].state
    else {
        panic!()
    };
    assert!(operators > epoch);
    fleet
        .apply(&Change::Silent {
            member: MemberId::invoker(1),
            incarnation: 1,
        })
        .unwrap();
    assert_eq!(holder(&fleet), None);
    fleet
        .apply(&Change::ResumeLease {
            lease: name(),
            by: "them".into(),
        })
        .unwrap();
    assert!(holder(&fleet).unwrap().2 > operators);
    let confirm = |epoch| Change::ConfirmEpoch {
        lease: name(),
        epoch,
    };
    let refused = fleet.clone().apply(&confirm(operators));
    let expected = holder(&fleet).unwrap().2;
    assert_eq!(
        refused,
        Err(Refusal::WrongEpoch {
            lease: name(),
            expected,
            found: operators
        })
    );
    assert!(!fleet.apply(&confirm(expected)).unwrap().changed);
}

/// A halt of drains does not stop handovers, and a lease that is stated again after it was gone goes on with its epochs.
#[test]
fn halts_stop_no_handover_and_epochs_outlive_their_lease() {
    let mut fleet = fleet_with_lease(3);
    let halt = Change::Halt {
        by: "them".into(),
        why: "to see".into(),
        ends: "a resume".into(),
    };
    fleet.apply(&halt).unwrap();
    let (first, incarnation, epoch) = holder(&fleet).unwrap();
    fleet
        .apply(&Change::Silent {
            member: first,
            incarnation,
        })
        .unwrap();
    let (_, _, second) = holder(&fleet).unwrap();
    assert!(second > epoch);
    fleet.apply(&state_leases([])).unwrap();
    fleet.apply(&state_leases([name()])).unwrap();
    assert!(holder(&fleet).unwrap().2 > second);
}

#[test]
fn what_is_stated_of_leases_is_bounded() {
    let mut fleet = fleet_with_lease(1);
    let many = (0..=MAX_LEASES).map(|n| LeaseName(format!("lease-{n}")));
    assert!(matches!(
        fleet.apply(&state_leases(many)),
        Err(Refusal::TooMany {
            place: "leases",
            ..
        })
    ));
    let none = LeaseTerms {
        resources: BTreeSet::new(),
        ..terms()
    };
    let leases = BTreeMap::from([(name(), none)]);
    assert!(matches!(
        fleet.apply(&Change::Leases {
            leases,
            by: "them".into()
        }),
        Err(Refusal::InvalidLease(_))
    ));
    let tasks = (0..100).map(|n| format!("task-{n}")).collect();
    let join = Change::Join {
        member: MemberId::invoker(9),
        about: MemberInfo {
            tasks,
            ..about(1, 9)
        },
    };
    assert!(matches!(
        fleet.apply(&join),
        Err(Refusal::TooMany { place: "tasks", .. })
    ));
    let unknown = Change::PauseLease {
        lease: "other".into(),
        by: "them".into(),
        why: "to see".into(),
    };
    assert_eq!(
        fleet.apply(&unknown),
        Err(Refusal::UnknownLease("other".into()))
    );
}

/// The successor is chosen alike wherever it is reckoned, and leases are spread over the members.
#[test]
fn many_leases_are_spread_over_the_members() {
    let mut fleet = fleet_with_lease(8);
    fleet
        .apply(&state_leases(
            (0..200).map(|n| LeaseName(format!("lease-{n}"))),
        ))
        .unwrap();
    let mut held: BTreeMap<MemberId, usize> = BTreeMap::new();
    for lease in fleet.leases.values() {
        let LeaseState::Held { holder, .. } = lease.state else {
            panic!("{lease:?}")
        };
        *held.entry(holder).or_default() += 1;
    }
    assert_eq!(held.len(), 8);
    assert!(held.values().all(|n| (10..=45).contains(n)), "{held:?}");
}
