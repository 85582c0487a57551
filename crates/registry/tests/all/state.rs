//! Changes of the state, keys, watchers, version pins, staged rollouts and blob collection.

use crate::support::{move_alias, name, push, sample_version};
use proptest::prelude::*;
use saltdrum_layers::Digest;
use saltdrum_registry::blob_collector::BlobCollector;
use saltdrum_registry::chain::{Entry, Head, initial_hash};
use saltdrum_registry::keys;
use saltdrum_registry::rollout::{Tallies, Tally, Verdict};
use saltdrum_registry::state::{Change, ChangeError, RegistryState, Role, Stage};
use saltdrum_registry::version_pin::{PinRequest, ResolveError, VersionPins};
use saltdrum_registry::watch::{WatchError, WatchEvent, WatchReply, Watcher, reply_to};
use saltdrum_registry::{Name, Namespace};
use std::collections::BTreeSet;

fn state_after(changes: impl IntoIterator<Item = Change>) -> RegistryState {
    changes
        .into_iter()
        .fold(RegistryState::default(), |state, change| {
            state.with_change(&change).unwrap()
        })
}

/// Versions `v1` and `v2`, and the alias `kinyarwanda-current` at `v1`.
fn two_versions() -> RegistryState {
    state_after([push(1), push(2), move_alias(1, 0, None)])
}

fn current_alias(state: &RegistryState) -> &saltdrum_registry::state::Alias {
    state
        .alias(&Namespace::All, &name("kinyarwanda-current"))
        .unwrap()
}

#[test]
fn concurrent_move_of_an_alias_is_rejected_with_the_current_revision() {
    let state = two_versions();
    let revision = current_alias(&state).changed;
    let moved = state.with_change(&move_alias(2, revision, None)).unwrap();
    let error = moved
        .with_change(&move_alias(1, revision, None))
        .unwrap_err();
    assert!(
        matches!(
            error,
            ChangeError::AliasChanged {
                at: 4,
                expected: 3,
                ..
            }
        ),
        "{error}"
    );
    assert_eq!(current_alias(&moved).previous, Some(name("v1")));
    let roll_back = Change::RollBack {
        space: Namespace::All,
        alias: name("kinyarwanda-current"),
        expect: 4,
    };
    assert_eq!(
        current_alias(&moved.with_change(&roll_back).unwrap()).version,
        name("v1")
    );
}

#[test]
fn versions_are_immutable_and_their_names_are_never_reused() {
    let state = two_versions();
    let other = Change::Push {
        model: name("kinyarwanda"),
        name: name("v2"),
        version: sample_version(99),
    };
    assert!(matches!(
        state.with_change(&other),
        Err(ChangeError::VersionExists { .. })
    ));
    let delete = Change::Delete {
        model: name("kinyarwanda"),
        name: name("v1"),
    };
    assert!(
        matches!(
            state.with_change(&delete),
            Err(ChangeError::VersionInUse { .. })
        ),
        "an alias names it"
    );
    let deleted = state
        .with_change(&Change::Delete {
            model: name("kinyarwanda"),
            name: name("v2"),
        })
        .unwrap();
    assert!(matches!(
        deleted.with_change(&other),
        Err(ChangeError::VersionWithdrawn { .. })
    ));
    let withdraw = Change::Withdraw {
        model: name("kinyarwanda"),
        name: name("v1"),
    };
    let withdrawn = state.with_change(&withdraw).unwrap();
    assert!(matches!(
        withdrawn.with_change(&move_alias(1, 3, None)),
        Err(ChangeError::VersionWithdrawn { .. })
    ));
}

#[test]
fn rejects_invalid_names_versions_stages_and_unknown_fields() {
    for text in [
        "",
        "Kinyarwanda",
        "../etc",
        "a..b",
        "-a",
        "a-",
        "a b",
        "é",
        "a\n",
        &"x".repeat(65),
        "a/b",
        "a@b",
    ] {
        let error = text.parse::<Name>().unwrap_err().to_string();
        assert!(
            error.starts_with("name '") && !error.contains('\n'),
            "{error}"
        );
    }
    let state = two_versions();
    for (lanes, memory, bytes, place) in [
        (0, 1, 1, "lanes"),
        (1, 0, 1, "memory_mb"),
        (1, 1, u64::MAX, "bytes"),
    ] {
        let version = saltdrum_registry::Version {
            lanes,
            memory_mb: memory,
            bytes,
            ..sample_version(5)
        };
        let error = state
            .with_change(&Change::Push {
                model: name("m"),
                name: name("v"),
                version,
            })
            .unwrap_err();
        assert!(error.to_string().starts_with(place), "{error}");
    }
    let mut invalid_stage = Stage {
        to: name("v2"),
        per_mille: 0,
        errors_per_mille: 1,
        answers: 1,
    };
    for per_mille in [0, 1_000, 5_000] {
        invalid_stage.per_mille = per_mille;
        let (alias, model) = (name("kinyarwanda-current"), name("kinyarwanda"));
        let stage = Some(invalid_stage.clone());
        let change = Change::Move {
            space: Namespace::All,
            alias,
            model,
            version: name("v2"),
            expect: 3,
            stage,
        };
        assert!(matches!(
            state.with_change(&change),
            Err(ChangeError::InvalidValue { place: "stage", .. })
        ));
    }
    assert!(
        serde_json::from_str::<Change>(
            r#"{"change":"withdraw","model":"m","name":"v","force":true}"#
        )
        .is_err()
    );
    assert!(
        serde_json::from_str::<Change>(r#"{"change":"withdraw","model":"M","name":"v"}"#).is_err()
    );
}

#[test]
fn key_authorizes_its_role_until_it_is_withdrawn() {
    let (text, hash) = keys::generate(&name("anna"), [7; 32]);
    assert!(!hash.contains(&text[5..]));
    let state = state_after([Change::AddKey {
        id: name("anna"),
        role: Role::Owner,
        hash,
    }]);
    assert_eq!(
        keys::authenticate(&state, &text),
        Ok((name("anna"), Role::Owner))
    );
    for wrong in [
        "",
        "anna",
        "anna.",
        "anna.00",
        &text[..text.len() - 1],
        &text.replace("anna", "bert"),
    ] {
        assert_eq!(
            keys::authenticate(&state, wrong),
            Err(keys::AccessError::InvalidKey),
            "{wrong}"
        );
    }
    let withdraw = Change::WithdrawKey { id: name("anna") };
    assert!(
        matches!(state.with_change(&withdraw), Err(ChangeError::LastOwner(_))),
        "no one could issue another key"
    );
    let (reader, hash) = keys::generate(&name("box"), [8; 32]);
    let state = state
        .with_change(&Change::AddKey {
            id: name("box"),
            role: Role::Reader,
            hash,
        })
        .unwrap();
    assert!(matches!(
        keys::authorize(&state, Some(&name("box")), Role::Mover),
        Err(keys::AccessError::RoleTooLow { .. })
    ));
    let state = state
        .with_change(&Change::WithdrawKey { id: name("box") })
        .unwrap();
    assert_eq!(
        keys::authenticate(&state, &reader),
        Err(keys::AccessError::InvalidKey)
    );
    assert_eq!(
        keys::authorize(&state, Some(&name("box")), Role::Reader),
        Err(keys::AccessError::InvalidKey)
    );
}

/// A history of `count` changes, and the heads after each, starting with the empty head. Another `at_ms` gives other hashes.
fn history(at_ms: u64, count: u64) -> (Vec<Entry>, Vec<Head>) {
    let (mut entries, mut heads) = (Vec::new(), vec![Head::default()]);
    for number in 1..=count {
        let (entry, head) = heads
            .last()
            .unwrap()
            .prepare_entry("tests", at_ms, push(number))
            .unwrap();
        entries.push(entry);
        heads.push(head);
    }
    (entries, heads)
}

fn hash_at(heads: &[Head], revision: u64) -> Option<String> {
    heads
        .iter()
        .find(|h| h.revision() == revision)
        .map(|h| h.hash.clone())
}

#[test]
fn watcher_rejects_an_old_backup_until_a_restore_covers_its_revision() {
    let (entries, heads) = history(1, 52);
    let mut watcher = Watcher::default();
    assert!(
        watcher
            .apply(WatchEvent::Snapshot {
                head: heads[20].clone(),
                restored: None
            })
            .unwrap()
    );
    for entry in &entries[20..] {
        assert!(
            watcher
                .apply(WatchEvent::Next {
                    entry: entry.clone()
                })
                .unwrap()
        );
    }
    let known = watcher.clone();
    // The registry comes back with the first 40 entries, and continues with other changes.
    let mut forked = vec![heads[40].clone()];
    for n in 100..120 {
        let next = forked
            .last()
            .unwrap()
            .prepare_entry("tests", 2, push(n))
            .unwrap()
            .1;
        forked.push(next);
    }
    for (head, revision) in [(&heads[40], 40), (forked.last().unwrap(), 60)] {
        let all = [&heads[..41], &forked[..]].concat();
        let reply = reply_to(
            head,
            &watcher.cursor(),
            |revision| hash_at(&all, revision),
            None,
        );
        assert!(
            matches!(&reply, WatchReply::UnknownCursor(cursor) if cursor.revision == revision),
            "{reply:?}"
        );
        let rejected = watcher.apply(WatchEvent::UnknownCursor {
            at: saltdrum_registry::watch::Cursor {
                revision,
                hash: head.hash.clone(),
            },
        });
        assert!(matches!(
            rejected,
            Err(WatchError::HistoryMismatch { local: 52, .. })
        ));
        // A snapshot of such a registry without a restore is rejected as well.
        let snapshot = WatchEvent::Snapshot {
            head: head.clone(),
            restored: None,
        };
        assert!(matches!(
            watcher.apply(snapshot),
            Err(WatchError::HistoryMismatch { .. })
        ));
        assert_eq!(watcher, known);
    }
    // An operator restores over too low a revision, then over sufficient ones.
    for (over, is_accepted) in [(51, false), (52, true), (500, true)] {
        let (entry, head) = heads[40]
            .prepare_entry("root", 3, Change::Restored { over })
            .unwrap();
        let mut watcher = known.clone();
        let applied = watcher.apply(WatchEvent::Snapshot {
            head: head.clone(),
            restored: Some(entry.clone()),
        });
        assert_eq!(applied.is_ok(), is_accepted, "over {over}");
        assert_eq!(
            watcher.head().revision(),
            if is_accepted { over + 1 } else { 52 }
        );
        let reply = reply_to(
            &head,
            &known.cursor(),
            |revision| hash_at(&heads[..41], revision),
            Some(entry),
        );
        assert_eq!(
            matches!(reply, WatchReply::Snapshot(Some(_))),
            is_accepted,
            "over {over}"
        );
    }
}

#[test]
fn watcher_rejects_forged_missing_and_ignores_repeated_entries() {
    let (entries, heads) = history(1, 5);
    let mut watcher = Watcher::from(heads[3].clone());
    let forgeries: [fn(&mut Entry); 4] = [
        |e| e.previous_hash = initial_hash(),
        |e| e.revision += 1,
        |e| e.change = push(1),
        |e| e.previous_hash.make_ascii_uppercase(),
    ];
    for forge in forgeries {
        let mut entry = entries[3].clone();
        forge(&mut entry);
        assert!(watcher.apply(WatchEvent::Next { entry }).is_err());
        assert_eq!(watcher.head(), &heads[3]);
    }
    // An entry is missing, then one is repeated.
    assert!(
        watcher
            .apply(WatchEvent::Next {
                entry: entries[4].clone()
            })
            .is_err()
    );
    assert!(
        watcher
            .apply(WatchEvent::Next {
                entry: entries[3].clone()
            })
            .unwrap()
    );
    assert!(
        !watcher
            .apply(WatchEvent::Next {
                entry: entries[3].clone()
            })
            .unwrap()
    );
    assert_eq!(watcher.head(), &heads[4]);
}

const HOUR_MS: u64 = 3_600_000;

fn pin_request<'a>(passage: &'a str, version: Option<&'a str>) -> PinRequest<'a> {
    PinRequest {
        passage: Some(passage),
        version,
        until_ms: None,
    }
}

#[test]
fn pinned_version_survives_moves_and_a_change_of_controller() {
    let state = two_versions();
    let (mut here, mut there) = (VersionPins::new(HOUR_MS), VersionPins::new(HOUR_MS));
    let first = here
        .resolve(
            &state,
            0,
            "hill",
            "kinyarwanda-current",
            &pin_request("p", None),
        )
        .unwrap();
    assert_eq!(first.version, name("v1"));
    let moved = state.with_change(&move_alias(2, 3, None)).unwrap();
    // Another controller, which knows of the move, uses the version that the client sends back.
    let sent_back = pin_request("p", Some("kinyarwanda@v1"));
    assert_eq!(
        there
            .resolve(&moved, 5, "hill", "kinyarwanda-current", &sent_back)
            .unwrap()
            .version,
        name("v1")
    );
    // After that it has stored the pin itself.
    assert_eq!(
        there
            .resolve(
                &moved,
                5,
                "hill",
                "kinyarwanda-current",
                &pin_request("p", None)
            )
            .unwrap()
            .version,
        name("v1")
    );
    // The first controller uses its own stored pin if the client sends no version.
    assert_eq!(
        here.resolve(
            &moved,
            5,
            "hill",
            "kinyarwanda-current",
            &pin_request("p", None)
        )
        .unwrap(),
        first
    );
    assert_eq!(
        here.resolve(
            &moved,
            5,
            "hill",
            "kinyarwanda-current",
            &pin_request("q", None)
        )
        .unwrap()
        .version,
        name("v2")
    );
    // If the version is withdrawn, both controllers return an error, never the other version.
    let withdrawn = moved
        .with_change(&Change::Withdraw {
            model: name("kinyarwanda"),
            name: name("v1"),
        })
        .unwrap();
    for result in [
        here.resolve(
            &withdrawn,
            6,
            "hill",
            "kinyarwanda-current",
            &pin_request("p", None),
        ),
        there.resolve(&withdrawn, 6, "hill", "kinyarwanda-current", &sent_back),
    ] {
        assert_eq!(
            result,
            Err(ResolveError::Withdrawn("kinyarwanda@v1".into()))
        );
    }
    // The pin has expired; a client that forges the end gains at most twice the duration.
    let late = PinRequest {
        until_ms: Some(first.until_ms),
        ..sent_back.clone()
    };
    let result = there.resolve(&moved, HOUR_MS, "hill", "kinyarwanda-current", &late);
    assert_eq!(result, Err(ResolveError::Expired("kinyarwanda@v1".into())));
    let forged = PinRequest {
        until_ms: Some(u64::MAX),
        ..sent_back
    };
    assert_eq!(
        there
            .resolve(&moved, 0, "hill", "kinyarwanda-current", &forged)
            .unwrap()
            .until_ms,
        2 * HOUR_MS
    );
    let other = pin_request("p", Some("swahili@v1"));
    let result = there.resolve(&moved, 0, "hill", "kinyarwanda-current", &other);
    assert!(
        matches!(result, Err(ResolveError::OtherModel { .. })),
        "{result:?}"
    );
    assert!(matches!(
        there.resolve(&moved, 0, "hill", "nothing", &pin_request("p", None)),
        Err(ResolveError::Unknown(_))
    ));
    assert!(
        matches!(there.resolve(&moved, 0, "hill", "kinyarwanda@v2", &pin_request("p", None)), Ok(pinned) if pinned.staged.is_none())
    );
}

#[test]
fn alias_of_a_tenant_takes_precedence_over_that_of_all_tenants() {
    let (alias, model) = (name("kinyarwanda-current"), name("kinyarwanda"));
    let space = Namespace::Tenant(name("hill"));
    let own = Change::Move {
        space,
        alias,
        model,
        version: name("v2"),
        expect: 0,
        stage: None,
    };
    let state = two_versions().with_change(&own).unwrap();
    let mut pins = VersionPins::new(HOUR_MS);
    let mut version_for = |tenant| {
        pins.resolve(
            &state,
            0,
            tenant,
            "kinyarwanda-current",
            &pin_request("p", None),
        )
        .unwrap()
        .version
    };
    assert_eq!(
        (
            version_for("hill"),
            version_for("lake"),
            version_for("Not A Name")
        ),
        (name("v2"), name("v1"), name("v1"))
    );
}

#[test]
fn rollout_selects_the_same_share_of_pins_at_every_controller() {
    let state = two_versions()
        .with_change(&move_alias(2, 3, Some(200)))
        .unwrap();
    let (mut here, mut there) = (VersionPins::new(HOUR_MS), VersionPins::new(HOUR_MS));
    let mut new_count = 0;
    for n in 0..2_000 {
        let passage = format!("visitor {n}");
        let pinned = here
            .resolve(
                &state,
                0,
                "hill",
                "kinyarwanda-current",
                &pin_request(&passage, None),
            )
            .unwrap();
        assert_eq!(
            there
                .resolve(
                    &state,
                    0,
                    "hill",
                    "kinyarwanda-current",
                    &pin_request(&passage, None)
                )
                .unwrap(),
            pinned
        );
        assert_eq!(
            pinned
                .staged
                .map(|side| (side.is_new_version, side.alias_revision)),
            Some((pinned.version == name("v2"), 4))
        );
        new_count += u32::from(pinned.version == name("v2"));
    }
    assert!(
        (330..470).contains(&new_count),
        "{new_count} of 2,000 began with the new version"
    );
    let without_pin = PinRequest::default();
    assert_eq!(
        here.resolve(&state, 0, "hill", "kinyarwanda-current", &without_pin)
            .unwrap()
            .version,
        name("v1")
    );
}

#[test]
fn number_of_stored_pins_is_bounded() {
    let (state, mut pins) = (two_versions(), VersionPins::new(HOUR_MS));
    for n in 0..50_200 {
        pins.resolve(
            &state,
            n,
            "hill",
            "kinyarwanda-current",
            &pin_request(&n.to_string(), None),
        )
        .unwrap();
    }
    assert_eq!(pins.pin_count(), 50_000);
}

#[test]
fn rollout_aborts_early_only_on_a_significant_excess_of_errors() {
    let stage = Stage {
        to: name("v2"),
        per_mille: 100,
        errors_per_mille: 20,
        answers: 1_000,
    };
    let verdict = |new_succeeded, new_failed, old_succeeded, old_failed| {
        let mut tallies = Tallies::default();
        // Two controllers report half each; one repeats its report, the other sends an outdated one.
        let half = Tally {
            new_succeeded: new_succeeded / 2,
            new_failed: new_failed / 2,
            old_succeeded: old_succeeded / 2,
            old_failed: old_failed / 2,
        };
        let rest = Tally {
            new_succeeded: new_succeeded - half.new_succeeded,
            new_failed: new_failed - half.new_failed,
            old_succeeded: old_succeeded - half.old_succeeded,
            old_failed: old_failed - half.old_failed,
        };
        for (controller, tally) in [(1, half), (2, rest), (1, half), (2, Tally::default())] {
            tallies.record(controller, 1, tally);
        }
        assert_eq!(
            tallies.sum(),
            Tally {
                new_succeeded,
                new_failed,
                old_succeeded,
                old_failed
            }
        );
        tallies.verdict(&stage)
    };
    assert_eq!(verdict(40, 0, 400, 0), Verdict::Undecided);
    assert!(
        matches!(verdict(40, 10, 400, 0), Verdict::Abort { .. }),
        "a fifth of fifty"
    );
    assert_eq!(
        verdict(40, 4, 400, 0),
        Verdict::Undecided,
        "four errors prove nothing"
    );
    assert_eq!(
        verdict(990, 10, 9_000, 0),
        Verdict::Complete,
        "within the bound"
    );
    assert!(
        matches!(verdict(970, 30, 9_000, 0), Verdict::Abort { .. }),
        "over the bound, all counted"
    );
    assert_eq!(
        verdict(970, 30, 9_000, 500),
        Verdict::Complete,
        "the old one errs as much"
    );
    assert_eq!(verdict(0, 0, u64::MAX / 2, 3), Verdict::Undecided);
}

#[test]
fn collection_spares_blobs_leased_by_a_push() {
    let digest = |n: u8| Digest::of(&[n]);
    let (a, b, c) = (digest(1), digest(2), digest(3));
    let mut collector = BlobCollector::default();
    let referenced = BTreeSet::from([a]);
    let collect =
        |collector: &mut BlobCollector, now| collector.collect(now, [a, b, c], &referenced, 100);
    assert!(collect(&mut collector, 0).is_empty());
    let lease = collector.begin_lease(50, BTreeSet::from([b]), 500);
    assert_eq!(collect(&mut collector, 150), [c], "b is leased");
    assert!(collector.check_lease(549, lease, &[b]).is_ok());
    assert!(
        collector.check_lease(549, lease, &[c]).is_err(),
        "the lease does not cover c"
    );
    assert!(
        collector.check_lease(550, lease, &[b]).is_err(),
        "the lease has expired"
    );
    assert!(
        collect(&mut collector, 560).is_empty(),
        "the grace starts when the lease ends"
    );
    let removed = collect(&mut collector, 660);
    assert_eq!(
        removed.into_iter().collect::<BTreeSet<_>>(),
        BTreeSet::from([b, c])
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None, ..Default::default()
    })]

    /// After any changes, aliases name existing versions, revisions increase by one, and a replay produces the same state.
    #[test]
    fn any_sequence_of_changes_keeps_the_state_consistent(requests in prop::collection::vec((0u8..7, 1u64..5, 0u64..12, any::<bool>()), 1..60)) {
        let (mut head, mut replayed) = (Head::default(), Head::default());
        for (kind, number, expect, flag) in requests {
            let (model, version) = (name("kinyarwanda"), name(&format!("v{number}")));
            let (space, alias) = (Namespace::All, name("kinyarwanda-current"));
            // Half of the requests name the current revision of the alias.
            let known = head.state.alias(&space, &alias).map_or(0, |a| a.changed);
            let expect = if flag { known } else { expect };
            let change = match kind {
                0 | 1 => push(number),
                2 => move_alias(number, expect, None),
                3 => move_alias(number, expect, Some(100)),
                4 => Change::EndStage { space, alias, expect, is_success: flag, why: String::new() },
                5 => Change::RollBack { space, alias, expect },
                _ => Change::Delete { model, name: version },
            };
            let before = head.clone();
            match head.prepare_entry("tests", 0, change) {
                Ok((entry, next)) => {
                    prop_assert_eq!(entry.revision, head.revision() + 1);
                    replayed = replayed.with_entry(&entry).unwrap();
                    head = next;
                }
                Err(_) => prop_assert_eq!(&before, &head),
            }
            for ((_, _), alias) in &head.state.aliases {
                prop_assert!(head.state.version(&alias.model, &alias.version).is_some());
                prop_assert!(alias.stage.as_ref().is_none_or(|s| head.state.version(&alias.model, &s.to).is_some()));
                prop_assert!(alias.changed <= head.revision());
            }
            prop_assert_eq!(&replayed, &head);
        }
    }
}
