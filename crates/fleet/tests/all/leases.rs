//! The assignment of leases, in random sequences of changes and in single cases.

use crate::changes::{bound_on_out, drain_request, fleet_of, member_info, random_change};
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

fn lease_name() -> LeaseName {
    "registry-collection".into()
}

fn set_leases(names: impl IntoIterator<Item = LeaseName>) -> Change {
    let leases = names.into_iter().map(|name| (name, terms())).collect();
    Change::Leases {
        leases,
        by: "them".into(),
    }
}

fn info_with_task(incarnation: u64, number: u32) -> MemberInfo {
    MemberInfo {
        tasks: BTreeSet::from([TASK.to_owned()]),
        ..member_info(incarnation, number)
    }
}

/// A fleet of members that are up and offer the task, with one lease of it.
fn fleet_with_lease(members: u32) -> Fleet {
    let mut fleet = fleet_of(0, vec![bound_on_out(MemberKind::Invoker, 2)]);
    fleet.apply(&set_leases([lease_name()])).unwrap();
    for number in 1..=members {
        let member = MemberId::invoker(number);
        fleet
            .apply(&Change::Join {
                member,
                about: info_with_task(1, number),
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
    match fleet.leases[&lease_name()].state {
        LeaseState::Held {
            holder,
            incarnation,
            epoch,
        } => Some((holder, incarnation, epoch)),
        _ => None,
    }
}

/// Checks the invariants of a lease after a change.
fn check_lease(fleet: &Fleet, seed: u64) {
    let is_eligible = |(id, member): (&MemberId, &saltdrum_fleet::Member)| {
        id.kind == MemberKind::Invoker
            && member.phase == Phase::Up
            && member.info.tasks.contains(TASK)
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
        None if fleet.leases[&lease_name()].state == LeaseState::Vacant => {
            assert!(
                !fleet.members.iter().any(is_eligible),
                "seed {seed}: lease is vacant although a member is eligible"
            );
        }
        None => {}
    }
}

#[test]
fn random_changes_keep_leases_with_eligible_holders_and_never_reuse_epochs() {
    let mut grants = 0;
    for seed in 0..3_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = fleet_with_lease(8);
        let mut holders: BTreeMap<Epoch, (MemberId, u64)> = BTreeMap::new();
        for step in 0..120 {
            let mut change = match rng.u8(..20) {
                0 => Change::PauseLease {
                    lease: lease_name(),
                    by: "them".into(),
                    why: "to see".into(),
                },
                1 | 2 => Change::ResumeLease {
                    lease: lease_name(),
                    by: "them".into(),
                },
                _ => random_change(&mut rng, &fleet, step),
            };
            if let Change::Join { about, .. } = &mut change
                && rng.u8(..5) > 0
            {
                about.tasks.insert(TASK.into());
            }
            let before = fleet.clone();
            let Ok(outcome) = fleet.apply(&change) else {
                assert_eq!(fleet, before, "seed {seed}: refused, and something changed");
                continue;
            };
            assert_eq!(outcome.changed, fleet != before, "seed {seed}: {change:?}");
            check_lease(&fleet, seed);
            let (epoch_before, epoch_after) = (
                before.leases[&lease_name()].epoch,
                fleet.leases[&lease_name()].epoch,
            );
            assert!(
                epoch_after >= epoch_before,
                "seed {seed}: epoch {epoch_before}, then {epoch_after}"
            );
            if let Some((id, incarnation, epoch)) = holder(&fleet) {
                let known = holders.insert(epoch, (id, incarnation));
                assert!(
                    known.is_none_or(|k| k == (id, incarnation)),
                    "seed {seed}: epoch {epoch} twice"
                );
                grants += usize::from(known.is_none());
            }
            // A repeated change has no effect.
            let applied_once = fleet.clone();
            let repeated = fleet.apply(&change);
            assert!(
                repeated.is_err() || !repeated.unwrap().changed,
                "seed {seed}: {change:?} repeated"
            );
            assert_eq!(fleet, applied_once, "seed {seed}: {change:?} repeated");
        }
    }
    println!("{grants} grants");
    assert!(grants > 15_000, "{grants} grants");
}

#[test]
fn lost_replaced_or_draining_holder_loses_lease_in_same_change() {
    let becomes_unreachable = |member, incarnation| {
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
    let is_replaced = |member: MemberId, incarnation| {
        vec![Change::Join {
            member,
            about: info_with_task(incarnation + 1, member.number),
        }]
    };
    let starts_drain = |member: MemberId, incarnation| {
        let grant = Change::Grant { member };
        vec![
            drain_request("one", [member.number]),
            grant,
            Change::Begin {
                member,
                incarnation,
                grant: 1,
            },
        ]
    };
    let cases: [&dyn Fn(MemberId, u64) -> Vec<Change>; 4] =
        [&becomes_unreachable, &leaves, &is_replaced, &starts_drain];
    for case in cases {
        let mut fleet = fleet_with_lease(3);
        let (first_holder, incarnation, epoch) = holder(&fleet).unwrap();
        let changes = case(first_holder, incarnation);
        for change in &changes {
            assert_eq!(
                holder(&fleet),
                Some((first_holder, incarnation, epoch)),
                "before {change:?}"
            );
            fleet.apply(change).unwrap();
        }
        let (second_holder, _, later_epoch) = holder(&fleet).unwrap();
        assert!(
            second_holder != first_holder && later_epoch > epoch,
            "{changes:?}"
        );
        assert_eq!(fleet.leases[&lease_name()].since, fleet.revision);
    }
}

#[test]
fn paused_lease_has_no_holder_and_its_own_epoch() {
    let mut fleet = fleet_with_lease(3);
    let (_, _, epoch) = holder(&fleet).unwrap();
    let pause = Change::PauseLease {
        lease: lease_name(),
        by: "them".into(),
        why: "to see".into(),
    };
    assert!(fleet.apply(&pause).unwrap().changed);
    assert!(
        !fleet.apply(&pause).unwrap().changed,
        "the lease is already paused"
    );
    let LeaseState::Paused {
        epoch: pause_epoch, ..
    } = fleet.leases[&lease_name()].state
    else {
        panic!()
    };
    assert!(pause_epoch > epoch);
    fleet
        .apply(&Change::Silent {
            member: MemberId::invoker(1),
            incarnation: 1,
        })
        .unwrap();
    assert_eq!(holder(&fleet), None);
    fleet
        .apply(&Change::ResumeLease {
            lease: lease_name(),
            by: "them".into(),
        })
        .unwrap();
    assert!(holder(&fleet).unwrap().2 > pause_epoch);
    let confirm = |epoch| Change::ConfirmEpoch {
        lease: lease_name(),
        epoch,
    };
    let refused = fleet.clone().apply(&confirm(pause_epoch));
    let expected = holder(&fleet).unwrap().2;
    assert_eq!(
        refused,
        Err(Refusal::WrongEpoch {
            lease: lease_name(),
            expected,
            found: pause_epoch
        })
    );
    assert!(!fleet.apply(&confirm(expected)).unwrap().changed);
}

/// A halt of drains does not stop the handover of leases, and a lease that is removed and added again gets a later epoch.
#[test]
fn halt_does_not_stop_handover_and_recreated_lease_gets_later_epoch() {
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
    let (_, _, second_epoch) = holder(&fleet).unwrap();
    assert!(second_epoch > epoch);
    fleet.apply(&set_leases([])).unwrap();
    fleet.apply(&set_leases([lease_name()])).unwrap();
    assert!(holder(&fleet).unwrap().2 > second_epoch);
}

#[test]
fn refuses_invalid_leases_and_excess_tasks() {
    let mut fleet = fleet_with_lease(1);
    let too_many = (0..=MAX_LEASES).map(|n| LeaseName(format!("lease-{n}")));
    assert!(matches!(
        fleet.apply(&set_leases(too_many)),
        Err(Refusal::TooMany {
            place: "leases",
            ..
        })
    ));
    let without_resources = LeaseTerms {
        resources: BTreeSet::new(),
        ..terms()
    };
    let leases = BTreeMap::from([(lease_name(), without_resources)]);
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
            ..member_info(1, 9)
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

/// The hash that chooses the holder of a lease spreads leases over the members.
#[test]
fn many_leases_are_spread_over_members() {
    let mut fleet = fleet_with_lease(8);
    fleet
        .apply(&set_leases(
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
