//! The serialised form of what a fleet agrees on, as stewards of an earlier build wrote it.

#[path = "fixture_support/fixtures.rs"]
mod fixtures;
#[path = "fixture_support/samples.rs"]
mod samples;

use fixtures::FixtureLines;
use saltdrum_fleet::change::{Change, ChangeOutcome};
use saltdrum_fleet::drain_scheduler::Batch;
use saltdrum_fleet::fence::{Rejection, Token};
use saltdrum_fleet::register::Acceptor;
use saltdrum_fleet::state::{BoundScope, Fleet, LeaseName, LeaseState, MemberId};
use samples::{
    about, ballot, every_change, founded_fleet, full_acceptor, full_fleet, heard, lease_terms,
};
use serde_json::Value as Json;
use std::collections::BTreeMap;

#[test]
fn a_fleet_keeps_its_serialised_form() {
    let mut fixtures = FixtureLines::open("fleet.txt");
    fixtures.check_json("full", &full_fleet());
    fixtures.check_json("founded", &founded_fleet());
    fixtures.check_json("bound-with-all-fields", &samples::bound_with_all_fields());
    for (name, per) in [
        ("fleet", BoundScope::Fleet),
        ("site", BoundScope::Site),
        ("cell", BoundScope::Cell),
    ] {
        let bound = samples::bound_with_least_fields(per);
        fixtures.check_json(&format!("bound-per-{name}"), &bound);
    }
    fixtures.finish();
}

#[test]
fn every_change_keeps_its_serialised_form() {
    let mut fixtures = FixtureLines::open("changes.txt");
    for (name, change) in every_change() {
        fixtures.check_json(name, &change);
    }
    fixtures.finish();
}

#[test]
fn records_of_the_register_keep_their_serialised_form() {
    let mut fixtures = FixtureLines::open("register.txt");
    fixtures.check_json("voter", &samples::voter(2));
    fixtures.check_json("ballot", &ballot(12));
    fixtures.check_json("config", &founded_fleet().config);
    fixtures.check_json("config-in-change", &full_fleet().config);
    fixtures.check_json("lives", &samples::lives());
    fixtures.check_json("mark", &samples::mark());
    fixtures.check_json("acceptor", &full_acceptor());
    fixtures.check_json("acceptor-at-first-start", &Acceptor::<Fleet>::default());
    fixtures.check_json("heard", &heard());
    fixtures.finish();
}

#[test]
fn tokens_rejections_and_results_keep_their_serialised_form() {
    let mut fixtures = FixtureLines::open("messages.txt");
    let lease: LeaseName = "counting".into();
    fixtures.check_json(
        "token",
        &Token {
            lease: lease.clone(),
            epoch: 21,
            incarnation: 71,
        },
    );
    let rejections = [
        ("unsealed", Rejection::Unsealed),
        (
            "epoch",
            Rejection::Epoch {
                expected: 22,
                found: 21,
            },
        ),
        (
            "incarnation",
            Rejection::Incarnation {
                expected: 72,
                found: 71,
            },
        ),
        ("lease", Rejection::Lease { expected: lease }),
    ];
    for (name, rejection) in rejections {
        fixtures.check_json(&format!("rejection-{name}"), &rejection);
    }
    fixtures.check_json(
        "done",
        &ChangeOutcome {
            changed: true,
            grant: Some(17),
        },
    );
    fixtures.check_json(
        "done-before",
        &ChangeOutcome {
            changed: false,
            grant: None,
        },
    );
    let go = vec![MemberId::invoker(9), MemberId::controller(2)];
    fixtures.check_json(
        "batch",
        &Batch {
            members: go.clone(),
            limit: Some("no room".into()),
        },
    );
    fixtures.check_json(
        "last-batch",
        &Batch {
            members: go,
            limit: None,
        },
    );
    fixtures.finish();
}

/// Removes all fields of these names, wherever they are.
fn without_fields(value: &mut Json, names: &[&str]) {
    match value {
        Json::Object(fields) => {
            fields.retain(|name, _| !names.contains(&name.as_str()));
            fields
                .values_mut()
                .for_each(|inner| without_fields(inner, names));
        }
        Json::Array(all) => all
            .iter_mut()
            .for_each(|inner| without_fields(inner, names)),
        _ => {}
    }
}

#[test]
fn an_acceptor_from_before_later_fields_is_still_read() {
    let mut written = serde_json::to_value(full_acceptor()).unwrap();
    let later = [
        "leases",
        "lease_epochs",
        "tasks",
        "machine",
        "zone",
        "past",
        "life",
        "lives",
    ];
    // Ballots have had their life from the start.
    let ballots = ["/promised/life", "/accepted/ballot/life"];
    let kept = ballots.map(|place| written.pointer(place).unwrap().clone());
    without_fields(&mut written, &later);
    written["promised"]["life"] = kept[0].clone();
    written["accepted"]["ballot"]["life"] = kept[1].clone();
    let read: Acceptor<Fleet> = serde_json::from_value(written).unwrap();
    let mut expected = full_acceptor();
    (expected.incarnation, expected.incarnations) = Default::default();
    let fleet = &mut expected.accepted.as_mut().unwrap().value;
    (fleet.leases, fleet.lease_epochs) = Default::default();
    for member in fleet.members.values_mut() {
        member.past_incarnations.clear();
        (member.info.machine, member.info.zone, member.info.tasks) = Default::default();
    }
    assert_eq!(read, expected);
}

/// Stewards of two builds must choose the same successor: it is chosen by a hash of names.
#[test]
fn the_successor_of_a_lease_is_chosen_as_before() {
    let mut fixtures = FixtureLines::open("lease-successors.txt");
    let mut fleet = founded_fleet();
    for number in 1..=5 {
        let (member, incarnation) = (MemberId::invoker(number), 100 + u64::from(number));
        fleet
            .apply(&Change::Join {
                member,
                about: about(incarnation),
            })
            .unwrap();
        fleet
            .apply(&Change::Proven {
                member,
                incarnation,
            })
            .unwrap();
    }
    let names = (1..=12).map(|number| LeaseName(format!("lease-{number}")));
    let leases: BTreeMap<_, _> = names.map(|name| (name, lease_terms())).collect();
    fleet
        .apply(&Change::Leases {
            leases,
            by: "anna".into(),
        })
        .unwrap();
    for (name, lease) in &fleet.leases {
        let LeaseState::Held { holder, .. } = lease.state else {
            panic!("{name} is not held")
        };
        fixtures.check_text(&name.0, &holder.to_string());
    }
    fixtures.finish();
}
