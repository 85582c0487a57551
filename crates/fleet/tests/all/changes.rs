//! Random sequences of changes to a fleet, and the invariants that hold after each.

use saltdrum_fleet::bounds;
use saltdrum_fleet::change::{Change, Refusal};
use saltdrum_fleet::drain_scheduler::{MemberLoad, dry_run, next_to_drain};
use saltdrum_fleet::register::Config;
use saltdrum_fleet::state::{Bound, BoundScope, Fleet, MemberId, MemberInfo, MemberKind, Phase};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) fn bound_on_out(kind: MemberKind, out: u32) -> Bound {
    Bound {
        kind: Some(kind),
        site: None,
        per: BoundScope::Fleet,
        out: Some(out),
        share: None,
        least_size: None,
        least_memory_mb: None,
    }
}

pub(crate) fn member_info(incarnation: u64, number: u32) -> MemberInfo {
    MemberInfo {
        incarnation,
        site: if number.is_multiple_of(2) {
            "huye"
        } else {
            "kigali"
        }
        .into(),
        cell: (number / 4) as u16,
        size: 1.0,
        memory_mb: 100.0,
        version: "1".into(),
        address: "unix:/x".into(),
        machine: 0,
        zone: 0,
        tasks: Default::default(),
    }
}

fn empty_fleet(bounds: Vec<Bound>) -> Fleet {
    let config = Config::initial(crate::support::voters([1, 2, 3])).unwrap();
    Fleet::new("museums", config, BTreeMap::new(), bounds, 0)
}

/// A fleet of invokers that are up, in their first incarnation.
pub(crate) fn fleet_of(members: u32, bounds: Vec<Bound>) -> Fleet {
    let mut fleet = empty_fleet(bounds);
    for number in 1..=members {
        let member = MemberId::invoker(number);
        fleet
            .apply(&Change::Join {
                member,
                about: member_info(1, number),
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

pub(crate) fn drain_request(id: &str, members: impl IntoIterator<Item = u32>) -> Change {
    let members = members.into_iter().map(MemberId::invoker).collect();
    Change::Ask {
        id: id.into(),
        members,
        by: "them".into(),
    }
}

fn halt() -> Change {
    Change::Halt {
        by: "them".into(),
        why: "to see".into(),
        ends: "a resume".into(),
    }
}

/// A random change, often one that is valid for the state of the fleet. `step` makes the ids of drain requests unique.
pub(crate) fn random_change(rng: &mut fastrand::Rng, fleet: &Fleet, step: usize) -> Change {
    let member = MemberId::invoker(rng.u32(1..=8));
    let known = fleet.members.get(&member);
    // Mostly the current incarnation, sometimes the one before or after it.
    let incarnation = known.map_or(1, |m| m.info.incarnation) + u64::from(rng.u8(..6) == 0)
        - u64::from(rng.u8(..9) == 0);
    let grant = known
        .and_then(|m| m.phase.grant())
        .filter(|_| rng.u8(..5) > 0)
        .unwrap_or(rng.u64(..20));
    let by = || "them".to_owned();
    // In half of the cases the next step of the member, so that drains make progress.
    if rng.bool()
        && let Some(current) = known
    {
        let incarnation = current.info.incarnation;
        return match current.phase {
            Phase::Up if fleet.halt.is_some() => Change::Resume { by: by() },
            Phase::Up
                if fleet
                    .drain_requests
                    .values()
                    .any(|a| a.waiting.contains(&member)) =>
            {
                Change::Grant { member }
            }
            Phase::Up => drain_request(&format!("ask-{step}"), [member.number]),
            Phase::Granted { grant } => Change::Begin {
                member,
                incarnation,
                grant,
            },
            Phase::Draining { .. } => Change::Leave {
                member,
                incarnation,
            },
            Phase::Starting { .. } => Change::Proven {
                member,
                incarnation,
            },
            Phase::Away { .. } | Phase::Lost { .. } => Change::Join {
                member,
                about: member_info(incarnation + 1, member.number),
            },
        };
    }
    match rng.u8(..18) {
        0 => Change::Join {
            member,
            about: member_info(incarnation.max(1), member.number),
        },
        1..4 => Change::Proven {
            member,
            incarnation,
        },
        4..7 => Change::Begin {
            member,
            incarnation,
            grant,
        },
        7 => Change::Leave {
            member,
            incarnation,
        },
        8 => Change::TurnedBack {
            member,
            incarnation,
            grant,
        },
        9 => Change::Silent {
            member,
            incarnation,
        },
        10 => Change::Heard {
            member,
            incarnation,
        },
        11..14 => Change::Grant { member },
        14 => Change::TakeBack { grant },
        15 if rng.bool() => halt(),
        15 => Change::Resume { by: by() },
        16 => Change::Withdraw {
            members: vec![member],
            by: by(),
        },
        _ => drain_request(
            &format!("ask-{step}"),
            (0..rng.u32(1..5))
                .map(|_| rng.u32(1..=8))
                .collect::<Vec<_>>(),
        ),
    }
}

#[test]
fn random_changes_never_violate_bounds_halts_or_revoked_grants() {
    let (mut total_started, mut refused) = (0, 0);
    for seed in 0..3_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = fleet_of(8, vec![bound_on_out(MemberKind::Invoker, 2)]);
        let (mut started, mut revoked, mut is_halted) = (BTreeSet::new(), BTreeSet::new(), false);
        for step in 0..120 {
            let change = random_change(&mut rng, &fleet, step);
            let before = fleet.clone();
            let result = fleet.apply(&change);
            let Ok(outcome) = result else {
                refused += 1;
                assert_eq!(
                    fleet, before,
                    "seed {seed}: refused, and something changed: {change:?}"
                );
                continue;
            };
            assert_eq!(outcome.changed, fleet != before, "seed {seed}: {change:?}");
            match &change {
                Change::Grant { .. } | Change::Begin { .. } if outcome.changed => {
                    assert_eq!(bounds::exceeded(&fleet), None, "seed {seed}: {change:?}");
                    assert!(!is_halted, "seed {seed}: {change:?} after a halt");
                }
                Change::Halt { .. } => is_halted = true,
                Change::Resume { .. } => is_halted = false,
                _ => {}
            }
            if let Change::Begin { member, grant, .. } = &change
                && outcome.changed
            {
                total_started += 1;
                assert!(
                    started.insert(*grant),
                    "seed {seed}: drain of grant {grant} started twice, by {member}"
                );
                assert!(
                    !revoked.contains(grant),
                    "seed {seed}: drain of grant {grant} started after the grant was revoked"
                );
            }
            // Grants that no member holds any longer and whose drain never started.
            let held: BTreeSet<u64> = fleet
                .members
                .values()
                .filter_map(|m| m.phase.grant())
                .collect();
            revoked
                .extend((1..=fleet.grants).filter(|g| !held.contains(g) && !started.contains(g)));
            // A repeated change has no effect.
            let applied_once = fleet.clone();
            if let Ok(repeated) = fleet.apply(&change) {
                assert!(
                    !repeated.changed && fleet == applied_once,
                    "seed {seed}: repeated: {change:?}"
                );
            }
        }
    }
    assert!(
        total_started > 2_000 && refused > 20_000,
        "{total_started} started, {refused} refused"
    );
}

#[test]
fn schedules_member_with_lowest_drain_cost_next() {
    let mut fleet = fleet_of(8, vec![bound_on_out(MemberKind::Invoker, 3)]);
    fleet.apply(&drain_request("all", 1..=8)).unwrap();
    let member = MemberId::invoker;
    let mut loads: BTreeMap<MemberId, MemberLoad> = (1..=8)
        .map(|number| {
            (
                member(number),
                MemberLoad {
                    busy: 0.5,
                    last_copies: 0,
                },
            )
        })
        .collect();
    assert_eq!(
        next_to_drain(&fleet, &loads),
        Some(member(1)),
        "all costs are equal: the first requested"
    );
    loads.insert(
        member(1),
        MemberLoad {
            busy: 0.0,
            last_copies: 2,
        },
    );
    loads.insert(
        member(6),
        MemberLoad {
            busy: 0.1,
            last_copies: 0,
        },
    );
    assert_eq!(
        next_to_drain(&fleet, &loads),
        Some(member(6)),
        "does not have the last copy of a function, and is the least busy"
    );
    fleet.apply(&Change::Grant { member: member(6) }).unwrap();
    assert_eq!(
        next_to_drain(&fleet, &loads),
        Some(member(3)),
        "in another cell and another site"
    );
    fleet.apply(&Change::Grant { member: member(3) }).unwrap();
    fleet
        .apply(&Change::Silent {
            member: member(8),
            incarnation: 1,
        })
        .unwrap();
    assert_eq!(
        next_to_drain(&fleet, &loads),
        None,
        "a lost member counts towards the bound of 3"
    );
    let reason = saltdrum_fleet::drain_scheduler::blocking_reason(&fleet).unwrap();
    assert!(reason.contains("4 where 3 is the bound"), "{reason}");
    let batches = dry_run(
        &fleet_of(8, vec![bound_on_out(MemberKind::Invoker, 3)]),
        &(1..=8).map(member).collect::<Vec<_>>(),
    )
    .unwrap();
    assert_eq!(
        batches.iter().map(|b| b.members.len()).collect::<Vec<_>>(),
        [3, 3, 2]
    );
}

#[test]
fn refuses_invalid_changes_with_details_and_leaves_fleet_unchanged() {
    let mut fleet = fleet_of(4, vec![bound_on_out(MemberKind::Invoker, 1)]);
    fleet.apply(&drain_request("a", [1, 2])).unwrap();
    let strict_bound = Bound {
        out: None,
        least_size: Some(4.0),
        ..bound_on_out(MemberKind::Invoker, 0)
    };
    let strict = fleet_of(4, vec![strict_bound]);
    let refusal = strict
        .clone()
        .apply(&drain_request("b", [3]))
        .unwrap_err()
        .to_string();
    assert_eq!(
        refusal,
        "invoker-3 could never go: size up of invokers: 3 where 4 is the bound"
    );
    for (change, expected) in [
        (drain_request("b", [9]), "invoker-9: no such member"),
        (
            drain_request("b", [2, 3]),
            "invoker-2 belongs to ask 'a' already",
        ),
        (
            drain_request("a", [1, 3]),
            "ask 'a' is known with other members",
        ),
        (drain_request("", [3]), "id = ''"),
        (drain_request("b", []), "at least one member"),
        (
            Change::Forget {
                member: MemberId::invoker(1),
                by: "them".into(),
            },
            "invoker-1 is up: lost or away is expected",
        ),
        (
            Change::Begin {
                member: MemberId::invoker(1),
                incarnation: 1,
                grant: 1,
            },
            "invoker-1: grant 1 is not its own any more",
        ),
    ] {
        let before = fleet.clone();
        let refusal = fleet.apply(&change).unwrap_err().to_string();
        assert!(refusal.contains(expected) && fleet == before, "{refusal}");
    }
    assert!(
        !fleet.apply(&drain_request("a", [2, 1])).unwrap().changed,
        "the same request again"
    );
}

/// A process that was paused while it was replaced can neither join again nor make changes for its replacement.
#[test]
fn refuses_changes_of_replaced_incarnation() {
    let mut fleet = fleet_of(2, vec![bound_on_out(MemberKind::Invoker, 1)]);
    let member = MemberId::invoker(1);
    fleet.apply(&drain_request("a", [1])).unwrap();
    let grant = fleet
        .apply(&Change::Grant { member })
        .unwrap()
        .grant
        .unwrap();
    fleet
        .apply(&Change::Join {
            member,
            about: member_info(2, 1),
        })
        .unwrap();
    assert_eq!(
        fleet.members[&member].phase,
        Phase::Starting { planned: false }
    );
    for change in [
        Change::Begin {
            member,
            incarnation: 1,
            grant,
        },
        Change::Leave {
            member,
            incarnation: 1,
        },
        Change::Join {
            member,
            about: member_info(1, 1),
        },
    ] {
        assert_eq!(
            fleet.apply(&change),
            Err(Refusal::Replaced {
                member,
                incarnation: 1
            })
        );
    }
    assert!(
        fleet
            .apply(&Change::Begin {
                member,
                incarnation: 2,
                grant
            })
            .is_err(),
        "the grant was issued to the former incarnation"
    );
    assert_eq!(
        fleet.drain_requests["a"].waiting,
        [member],
        "the member still waits to drain"
    );
}
