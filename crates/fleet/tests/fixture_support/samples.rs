//! Values of the fleet in which every field is set to something of its own.

#![allow(dead_code, reason = "each package uses a part of it")]

use saltdrum_fleet::change::Change;
use saltdrum_fleet::recovery::RecoveryReply;
use saltdrum_fleet::register::{
    Accepted, Acceptor, Ballot, Config, Incarnations, Voter, VoterStamp,
};
use saltdrum_fleet::state::{
    Bound, BoundScope, DrainRequest, Fleet, Halt, HistoryEntry, Lease, LeaseName, LeaseState,
    LeaseTerms, Member, MemberId, MemberInfo, MemberKind, Phase,
};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) const FLEET: &str = "museums";

pub(crate) fn voter(steward: u32) -> Voter {
    Voter {
        steward,
        disk: 40 + u64::from(steward),
    }
}

pub(crate) fn voters(stewards: impl IntoIterator<Item = u32>) -> BTreeSet<Voter> {
    stewards.into_iter().map(voter).collect()
}

pub(crate) fn ballot(number: u64) -> Ballot {
    Ballot {
        number,
        proposer: 2,
        incarnation: number + 500,
    }
}

pub(crate) fn lives() -> Incarnations {
    vec![(voter(1), 3), (voter(2), 8)].into()
}

pub(crate) fn mark() -> VoterStamp {
    VoterStamp {
        from: voter(3),
        incarnation: 6,
        incarnations: lives(),
    }
}

pub(crate) fn about(incarnation: u64) -> MemberInfo {
    MemberInfo {
        incarnation,
        site: "kigali".into(),
        cell: 3,
        size: 1.5,
        memory_mb: 2048.25,
        version: "1.2.3".into(),
        address: "tcp:10.0.0.7:7001".into(),
        machine: 4,
        zone: 2,
        tasks: BTreeSet::from(["count".into(), "report".into()]),
    }
}

pub(crate) fn bound_with_all_fields() -> Bound {
    Bound {
        kind: Some(MemberKind::Invoker),
        site: Some("huye".into()),
        per: BoundScope::Cell,
        out: Some(2),
        share: Some(0.25),
        least_size: Some(12.5),
        least_memory_mb: Some(4096.75),
    }
}

pub(crate) fn bound_with_least_fields(per: BoundScope) -> Bound {
    let (kind, site, share, least_size, least_memory_mb) = Default::default();
    Bound {
        kind,
        site,
        per,
        out: Some(1),
        share,
        least_size,
        least_memory_mb,
    }
}

pub(crate) fn lease_terms() -> LeaseTerms {
    let resources = BTreeSet::from(["journal-1".into(), "journal-2".into()]);
    LeaseTerms {
        task: "count".into(),
        eligible: MemberKind::Invoker,
        resources,
    }
}

fn leases() -> BTreeMap<LeaseName, Lease> {
    let held = LeaseState::Held {
        holder: MemberId::invoker(1),
        incarnation: 101,
        epoch: 21,
    };
    let paused = LeaseState::Paused {
        by: "anna".into(),
        why: "an inspection".into(),
        epoch: 22,
    };
    let with = |state, epoch| Lease {
        terms: lease_terms(),
        state,
        epoch,
        since: epoch + 30,
        grants: epoch + 60,
    };
    let report = LeaseTerms {
        eligible: MemberKind::Controller,
        task: "report".into(),
        ..lease_terms()
    };
    BTreeMap::from([
        ("counting".into(), with(held, 21)),
        ("inspecting".into(), with(paused, 22)),
        ("reporting".into(), Lease::vacant(report, 29)),
    ])
}

fn members() -> BTreeMap<MemberId, Member> {
    let phases = [
        Phase::Up,
        Phase::Starting { planned: true },
        Phase::Granted { grant: 5 },
        Phase::Draining { grant: 6 },
        Phase::Away { grant: 7 },
        Phase::Lost { planned: false },
    ];
    let member = |number: u32, phase| {
        let id = u64::from(number);
        Member {
            info: about(100 + id),
            phase,
            since: 10 + id,
            past_incarnations: vec![80 + id, 90 + id],
        }
    };
    let invokers = phases.into_iter().zip(1..);
    let mut all: BTreeMap<MemberId, Member> = invokers
        .map(|(phase, number)| (MemberId::invoker(number), member(number, phase)))
        .collect();
    let phase = Phase::Starting { planned: false };
    all.insert(
        MemberId::controller(7),
        Member {
            past_incarnations: Vec::new(),
            ..member(7, phase)
        },
    );
    all
}

/// A fleet in which stewards are being changed, a drain was asked for, and drains are halted.
pub(crate) fn full_fleet() -> Fleet {
    let ask = DrainRequest {
        by: "anna".into(),
        waiting: vec![MemberId::invoker(1)],
        under_way: vec![MemberId::invoker(4), MemberId::invoker(3)],
        finished: vec![MemberId::invoker(2)],
        withdrawn: vec![MemberId::controller(7)],
        revision: 14,
    };
    let halt = Halt {
        by: "boris".into(),
        why: "a storm".into(),
        ends: "its end".into(),
        revision: 15,
    };
    let events = [(36, "one thing"), (37, "another")];
    Fleet {
        name: FLEET.into(),
        config: Config::initial(voters(1..=3))
            .unwrap()
            .changing_to(voters(2..=4))
            .unwrap(),
        coordinators: BTreeMap::from([
            (1, "tcp:10.0.0.1:7100".into()),
            (2, "unix:/run/steward-2".into()),
        ]),
        revision: 37,
        grants: 8,
        bounds: vec![
            bound_with_all_fields(),
            bound_with_least_fields(BoundScope::Site),
        ],
        halt_at_lost: 4,
        members: members(),
        halt: Some(halt),
        drain_requests: BTreeMap::from([("upgrade-3".into(), ask)]),
        leases: leases(),
        lease_epochs: 23,
        history: events
            .map(|(revision, what)| HistoryEntry {
                revision,
                description: what.into(),
            })
            .into(),
    }
}

/// A fleet that nobody has joined.
pub(crate) fn founded_fleet() -> Fleet {
    let stewards = BTreeMap::from([(1, "memory:steward-1".into())]);
    let config = Config::initial(voters([1])).unwrap();
    Fleet::new(
        FLEET,
        config,
        stewards,
        vec![bound_with_least_fields(BoundScope::Fleet)],
        0,
    )
}

pub(crate) fn full_acceptor() -> Acceptor<Fleet> {
    Acceptor {
        promised: ballot(12),
        accepted: Some(Accepted {
            ballot: ballot(11),
            value: full_fleet(),
        }),
        writes: 25,
        incarnation: 4,
        incarnations: lives(),
    }
}

pub(crate) fn heard() -> RecoveryReply<Fleet> {
    RecoveryReply {
        is_recovering: true,
        acceptor: full_acceptor(),
        previous_incarnation: 2,
        known_writes: 19,
    }
}

/// One change of each kind.
pub(crate) fn every_change() -> Vec<(&'static str, Change)> {
    let (member, incarnation, grant) = (MemberId::invoker(9), 109, 17);
    let (by, why) = (|| "anna".to_owned(), || "a storm".to_owned());
    let members = || vec![MemberId::invoker(9), MemberId::controller(2)];
    let lease: LeaseName = "counting".into();
    let at = BTreeMap::from([
        (2, "tcp:10.0.0.2:7100".into()),
        (4, "unix:/run/steward-4".into()),
    ]);
    vec![
        (
            "join",
            Change::Join {
                member,
                about: about(incarnation),
            },
        ),
        (
            "proven",
            Change::Proven {
                member,
                incarnation,
            },
        ),
        (
            "begin",
            Change::Begin {
                member,
                incarnation,
                grant,
            },
        ),
        (
            "leave",
            Change::Leave {
                member,
                incarnation,
            },
        ),
        (
            "turned-back",
            Change::TurnedBack {
                member,
                incarnation,
                grant,
            },
        ),
        (
            "silent",
            Change::Silent {
                member,
                incarnation,
            },
        ),
        (
            "heard",
            Change::Heard {
                member,
                incarnation,
            },
        ),
        ("grant", Change::Grant { member }),
        ("take-back", Change::TakeBack { grant }),
        (
            "ask",
            Change::Ask {
                id: "upgrade-3".into(),
                members: members(),
                by: by(),
            },
        ),
        (
            "withdraw",
            Change::Withdraw {
                members: members(),
                by: by(),
            },
        ),
        (
            "halt",
            Change::Halt {
                by: by(),
                why: why(),
                ends: "its end".into(),
            },
        ),
        ("resume", Change::Resume { by: by() }),
        ("forget", Change::Forget { member, by: by() }),
        (
            "bounds",
            Change::Bounds {
                bounds: vec![bound_with_all_fields()],
                by: by(),
            },
        ),
        (
            "stewards",
            Change::Stewards {
                voters: voters(2..=4),
                at,
                by: by(),
            },
        ),
        (
            "settle",
            Change::Settle {
                seen: full_fleet().config,
            },
        ),
        (
            "leases",
            Change::Leases {
                leases: BTreeMap::from([(lease.clone(), lease_terms())]),
                by: by(),
            },
        ),
        (
            "pause-lease",
            Change::PauseLease {
                lease: lease.clone(),
                by: by(),
                why: why(),
            },
        ),
        (
            "resume-lease",
            Change::ResumeLease {
                lease: lease.clone(),
                by: by(),
            },
        ),
        ("confirm-epoch", Change::ConfirmEpoch { lease, epoch: 21 }),
    ]
}
