//! Drawn changes of a fleet: what holds after each, whatever came before.

use saltdrum_fleet::bounds;
use saltdrum_fleet::change::{Change, Refusal};
use saltdrum_fleet::drain_scheduler::{MemberLoad, dry_run, next_to_drain};
use saltdrum_fleet::register::Config;
use saltdrum_fleet::state::{Bound, BoundScope, Fleet, MemberId, MemberInfo, MemberKind, Phase};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) fn bound(kind: MemberKind, out: u32) -> Bound {
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

pub(crate) fn about(incarnation: u64, number: u32) -> MemberInfo {
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

fn founded(bounds: Vec<Bound>) -> Fleet {
    let config = Config::initial(crate::support::voters([1, 2, 3])).unwrap();
    Fleet::new("museums", config, BTreeMap::new(), bounds, 0)
}

/// All up, in their first life.
pub(crate) fn with(members: u32, bounds: Vec<Bound>) -> Fleet {
    let mut fleet = founded(bounds);
    for n in 1..=members {
        let member = MemberId::invoker(n);
        fleet
            .apply(&Change::Join {
                member,
                about: about(1, n),
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

pub(crate) fn ask(id: &str, members: impl IntoIterator<Item = u32>) -> Change {
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

pub(crate) fn drawn(rng: &mut fastrand::Rng, fleet: &Fleet, n: usize) -> Change {
    let member = MemberId::invoker(rng.u32(1..=8));
    let known = fleet.members.get(&member);
    // Mostly the life that counts, sometimes one before or after it.
    let incarnation = known.map_or(1, |m| m.info.incarnation) + u64::from(rng.u8(..6) == 0)
        - u64::from(rng.u8(..9) == 0);
    let grant = known
        .and_then(|m| m.phase.grant())
        .filter(|_| rng.u8(..5) > 0)
        .unwrap_or(rng.u64(..20));
    let by = || "them".to_owned();
    // Every other time what would come next for it, so that drains get somewhere.
    if rng.bool()
        && let Some(m) = known
    {
        let incarnation = m.info.incarnation;
        return match m.phase {
            Phase::Up if fleet.halt.is_some() => Change::Resume { by: by() },
            Phase::Up
                if fleet
                    .drain_requests
                    .values()
                    .any(|a| a.waiting.contains(&member)) =>
            {
                Change::Grant { member }
            }
            Phase::Up => ask(&format!("ask-{n}"), [member.number]),
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
                about: about(incarnation + 1, member.number),
            },
        };
    }
    match rng.u8(..18) {
        0 => Change::Join {
            member,
            about: about(incarnation.max(1), member.number),
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
        _ => ask(
            &format!("ask-{n}"),
            (0..rng.u32(1..5))
                .map(|_| rng.u32(1..=8))
                .collect::<Vec<_>>(),
        ),
    }
}

#[test]
fn no_drawn_change_passes_a_bound_a_halt_or_a_grant_that_is_gone() {
    let (mut begun_in_all, mut refused) = (0, 0);
    for seed in 0..3_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = with(8, vec![bound(MemberKind::Invoker, 2)]);
        let (mut begun, mut taken_back, mut halted) = (BTreeSet::new(), BTreeSet::new(), false);
        for n in 0..120 {
            let change = drawn(&mut rng, &fleet, n);
            let before = fleet.clone();
            let told = fleet.apply(&change);
            let Ok(done) = told else {
                refused += 1;
                assert_eq!(
                    fleet, before,
                    "seed {seed}: refused, and something changed: {change:?}"
                );
                continue;
            };
            assert_eq!(done.changed, fleet != before, "seed {seed}: {change:?}");
            match &change {
                Change::Grant { .. } | Change::Begin { .. } if done.changed => {
                    assert_eq!(bounds::exceeded(&fleet), None, "seed {seed}: {change:?}");
                    assert!(!halted, "seed {seed}: {change:?} after a halt");
                }
                Change::Halt { .. } => halted = true,
                Change::Resume { .. } => halted = false,
                _ => {}
            }
            if let Change::Begin { member, grant, .. } = &change
                && done.changed
            {
                begun_in_all += 1;
                assert!(
                    begun.insert(*grant),
                    "seed {seed}: grant {grant} begun twice, by {member}"
                );
                assert!(
                    !taken_back.contains(grant),
                    "seed {seed}: grant {grant} begun after it was taken back"
                );
            }
            // Grants that no member holds any more, and nobody began.
            let held: BTreeSet<u64> = fleet
                .members
                .values()
                .filter_map(|m| m.phase.grant())
                .collect();
            taken_back
                .extend((1..=fleet.grants).filter(|g| !held.contains(g) && !begun.contains(g)));
            // What comes a second time does nothing.
            let once = fleet.clone();
            if let Ok(again) = fleet.apply(&change) {
                assert!(
                    !again.changed && fleet == once,
                    "seed {seed}: twice: {change:?}"
                );
            }
        }
    }
    assert!(
        begun_in_all > 2_000 && refused > 20_000,
        "{begun_in_all} begun, {refused} refused"
    );
}

#[test]
fn the_one_whose_absence_costs_least_goes_next() {
    let mut fleet = with(8, vec![bound(MemberKind::Invoker, 3)]);
    fleet.apply(&ask("all", 1..=8)).unwrap();
    let member = MemberId::invoker;
    let mut seen: BTreeMap<MemberId, MemberLoad> = (1..=8)
        .map(|n| {
            (
                member(n),
                MemberLoad {
                    busy: 0.5,
                    last_copies: 0,
                },
            )
        })
        .collect();
    assert_eq!(
        next_to_drain(&fleet, &seen),
        Some(member(1)),
        "all alike: the first asked for"
    );
    seen.insert(
        member(1),
        MemberLoad {
            busy: 0.0,
            last_copies: 2,
        },
    );
    seen.insert(
        member(6),
        MemberLoad {
            busy: 0.1,
            last_copies: 0,
        },
    );
    assert_eq!(
        next_to_drain(&fleet, &seen),
        Some(member(6)),
        "not the last place of a copy, then the least busy"
    );
    fleet.apply(&Change::Grant { member: member(6) }).unwrap();
    assert_eq!(
        next_to_drain(&fleet, &seen),
        Some(member(3)),
        "neither its cell nor its site"
    );
    fleet.apply(&Change::Grant { member: member(3) }).unwrap();
    fleet
        .apply(&Change::Silent {
            member: member(8),
            incarnation: 1,
        })
        .unwrap();
    assert_eq!(
        next_to_drain(&fleet, &seen),
        None,
        "one is lost: it has the third place"
    );
    let waits = saltdrum_fleet::drain_scheduler::blocking_reason(&fleet).unwrap();
    assert!(waits.contains("4 where 3 is the bound"), "{waits}");
    let steps = dry_run(
        &with(8, vec![bound(MemberKind::Invoker, 3)]),
        &(1..=8).map(member).collect::<Vec<_>>(),
    )
    .unwrap();
    assert_eq!(
        steps.iter().map(|s| s.members.len()).collect::<Vec<_>>(),
        [3, 3, 2]
    );
}

#[test]
fn bad_asks_are_told_with_member_and_figure_and_change_nothing() {
    let mut fleet = with(4, vec![bound(MemberKind::Invoker, 1)]);
    fleet.apply(&ask("a", [1, 2])).unwrap();
    let never = Bound {
        out: None,
        least_size: Some(4.0),
        ..bound(MemberKind::Invoker, 0)
    };
    let strict = with(4, vec![never]);
    let told = strict
        .clone()
        .apply(&ask("b", [3]))
        .unwrap_err()
        .to_string();
    assert_eq!(
        told,
        "invoker-3 could never go: size up of invokers: 3 where 4 is the bound"
    );
    for (change, say) in [
        (ask("b", [9]), "invoker-9: no such member"),
        (ask("b", [2, 3]), "invoker-2 belongs to ask 'a' already"),
        (ask("a", [1, 3]), "ask 'a' is known with other members"),
        (ask("", [3]), "id = ''"),
        (ask("b", []), "at least one member"),
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
        let told = fleet.apply(&change).unwrap_err().to_string();
        assert!(told.contains(say) && fleet == before, "{told}");
    }
    assert!(
        !fleet.apply(&ask("a", [2, 1])).unwrap().changed,
        "the same once more"
    );
}

/// A member that slept through its own replacement can neither join again nor speak for the one that took its place.
#[test]
fn a_life_that_was_replaced_does_nothing() {
    let mut fleet = with(2, vec![bound(MemberKind::Invoker, 1)]);
    let member = MemberId::invoker(1);
    fleet.apply(&ask("a", [1])).unwrap();
    let grant = fleet
        .apply(&Change::Grant { member })
        .unwrap()
        .grant
        .unwrap();
    fleet
        .apply(&Change::Join {
            member,
            about: about(2, 1),
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
            about: about(1, 1),
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
        "granted to the life before"
    );
    assert_eq!(
        fleet.drain_requests["a"].waiting,
        [member],
        "it is still to go"
    );
}
