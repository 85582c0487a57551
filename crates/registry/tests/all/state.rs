//! What the state takes and what it refuses, watchers, passages, stages, collections.

use crate::support::{moves, name, push, version};
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

fn after(changes: impl IntoIterator<Item = Change>) -> RegistryState {
    changes
        .into_iter()
        .fold(RegistryState::default(), |state, c| {
            state.with_change(&c).unwrap()
        })
}

fn two() -> RegistryState {
    after([push(1), push(2), moves(1, 0, None)])
}

fn current(state: &RegistryState) -> &saltdrum_registry::state::Alias {
    state
        .alias(&Namespace::All, &name("kinyarwanda-current"))
        .unwrap()
}

#[test]
fn of_two_administrators_who_move_one_alias_one_is_told_that_the_other_did() {
    let state = two();
    let at = current(&state).changed;
    let first = state.with_change(&moves(2, at, None)).unwrap();
    let told = first.with_change(&moves(1, at, None)).unwrap_err();
    assert!(
        matches!(
            told,
            ChangeError::AliasChanged {
                at: 4,
                expected: 3,
                ..
            }
        ),
        "{told}"
    );
    assert_eq!(current(&first).previous, Some(name("v1")));
    let back = Change::RollBack {
        space: Namespace::All,
        alias: name("kinyarwanda-current"),
        expect: 4,
    };
    assert_eq!(
        current(&first.with_change(&back).unwrap()).version,
        name("v1")
    );
}

#[test]
fn versions_never_change_and_their_names_are_never_used_again() {
    let state = two();
    let other = Change::Push {
        model: name("kinyarwanda"),
        name: name("v2"),
        version: version(99),
    };
    assert!(matches!(
        state.with_change(&other),
        Err(ChangeError::VersionExists { .. })
    ));
    let gone = Change::Delete {
        model: name("kinyarwanda"),
        name: name("v1"),
    };
    assert!(
        matches!(
            state.with_change(&gone),
            Err(ChangeError::VersionInUse { .. })
        ),
        "an alias names it"
    );
    let gone = state
        .with_change(&Change::Delete {
            model: name("kinyarwanda"),
            name: name("v2"),
        })
        .unwrap();
    assert!(matches!(
        gone.with_change(&other),
        Err(ChangeError::VersionWithdrawn { .. })
    ));
    let unused = Change::Withdraw {
        model: name("kinyarwanda"),
        name: name("v1"),
    };
    let withdrawn = state.with_change(&unused).unwrap();
    assert!(matches!(
        withdrawn.with_change(&moves(1, 3, None)),
        Err(ChangeError::VersionWithdrawn { .. })
    ));
}

#[test]
fn bad_input_is_told_in_plain_words_and_changes_nothing() {
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
        let told = text.parse::<Name>().unwrap_err().to_string();
        assert!(told.starts_with("name '") && !told.contains('\n'), "{told}");
    }
    let state = two();
    for (lanes, memory, bytes, place) in [
        (0, 1, 1, "lanes"),
        (1, 0, 1, "memory_mb"),
        (1, 1, u64::MAX, "bytes"),
    ] {
        let version = saltdrum_registry::Version {
            lanes,
            memory_mb: memory,
            bytes,
            ..version(5)
        };
        let told = state
            .with_change(&Change::Push {
                model: name("m"),
                name: name("v"),
                version,
            })
            .unwrap_err();
        assert!(told.to_string().starts_with(place), "{told}");
    }
    let mut bent = Stage {
        to: name("v2"),
        per_mille: 0,
        errors_per_mille: 1,
        answers: 1,
    };
    for per_mille in [0, 1_000, 5_000] {
        bent.per_mille = per_mille;
        let (alias, model) = (name("kinyarwanda-current"), name("kinyarwanda"));
        let stage = Some(bent.clone());
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
fn keys_open_what_their_role_may_and_nothing_once_withdrawn() {
    let (text, hash) = keys::generate(&name("anna"), [7; 32]);
    assert!(!hash.contains(&text[5..]));
    let state = after([Change::AddKey {
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
    let last = Change::WithdrawKey { id: name("anna") };
    assert!(
        matches!(state.with_change(&last), Err(ChangeError::LastOwner(_))),
        "no one could hand out another"
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

/// A history of so many changes, with the head after each; the first is the empty one.
fn history(salt: u64, many: u64) -> (Vec<Entry>, Vec<Head>) {
    let (mut entries, mut heads) = (Vec::new(), vec![Head::default()]);
    for n in 1..=many {
        let (entry, head) = heads
            .last()
            .unwrap()
            .prepare_entry("tests", salt, push(n))
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
fn a_watcher_never_goes_back_and_an_old_backup_is_refused_until_it_is_restored_over() {
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
    // The registry comes back with the first 40, and goes on to other changes.
    let mut later = vec![heads[40].clone()];
    for n in 100..120 {
        let next = later
            .last()
            .unwrap()
            .prepare_entry("tests", 2, push(n))
            .unwrap()
            .1;
        later.push(next);
    }
    for (back, at) in [(&heads[40], 40), (later.last().unwrap(), 60)] {
        let all = [&heads[..41], &later[..]].concat();
        let told = reply_to(back, &watcher.cursor(), |r| hash_at(&all, r), None);
        assert!(
            matches!(&told, WatchReply::UnknownCursor(m) if m.revision == at),
            "{told:?}"
        );
        let refused = watcher.apply(WatchEvent::UnknownCursor {
            at: saltdrum_registry::watch::Cursor {
                revision: at,
                hash: back.hash.clone(),
            },
        });
        assert!(matches!(
            refused,
            Err(WatchError::HistoryMismatch { local: 52, .. })
        ));
        // Whatever a registry that does not know better says, it is not obeyed.
        let whole = WatchEvent::Snapshot {
            head: back.clone(),
            restored: None,
        };
        assert!(matches!(
            watcher.apply(whole),
            Err(WatchError::HistoryMismatch { .. })
        ));
        assert_eq!(watcher, known);
    }
    // An operator restores over too little, then over enough.
    for (over, obeyed) in [(51, false), (52, true), (500, true)] {
        let (entry, head) = heads[40]
            .prepare_entry("root", 3, Change::Restored { over })
            .unwrap();
        let mut watcher = known.clone();
        let told = watcher.apply(WatchEvent::Snapshot {
            head: head.clone(),
            restored: Some(entry.clone()),
        });
        assert_eq!(told.is_ok(), obeyed, "over {over}");
        assert_eq!(
            watcher.head().revision(),
            if obeyed { over + 1 } else { 52 }
        );
        let said = reply_to(
            &head,
            &known.cursor(),
            |r| hash_at(&heads[..41], r),
            Some(entry),
        );
        assert_eq!(
            matches!(said, WatchReply::Snapshot(Some(_))),
            obeyed,
            "over {over}"
        );
    }
}

#[test]
fn a_forged_entry_is_not_followed() {
    let (entries, heads) = history(1, 5);
    let mut watcher = Watcher::from(heads[3].clone());
    let bent: [fn(&mut Entry); 4] = [
        |e| e.previous_hash = initial_hash(),
        |e| e.revision += 1,
        |e| e.change = push(1),
        |e| e.previous_hash.make_ascii_uppercase(),
    ];
    for bend in bent {
        let mut entry = entries[3].clone();
        bend(&mut entry);
        assert!(watcher.apply(WatchEvent::Next { entry }).is_err());
        assert_eq!(watcher.head(), &heads[3]);
    }
    // Left one out, then the same twice.
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

const HOUR: u64 = 3_600_000;

fn say<'a>(passage: &'a str, version: Option<&'a str>) -> PinRequest<'a> {
    PinRequest {
        passage: Some(passage),
        version,
        until_ms: None,
    }
}

#[test]
fn a_passage_holds_over_moves_and_controllers_that_share_nothing() {
    let state = two();
    let (mut here, mut there) = (VersionPins::new(HOUR), VersionPins::new(HOUR));
    let first = here
        .resolve(&state, 0, "hill", "kinyarwanda-current", &say("p", None))
        .unwrap();
    assert_eq!(first.version, name("v1"));
    let moved = state.with_change(&moves(2, 3, None)).unwrap();
    // Another controller, told of the move: by what the client hands back.
    let handed = say("p", Some("kinyarwanda@v1"));
    assert_eq!(
        there
            .resolve(&moved, 5, "hill", "kinyarwanda-current", &handed)
            .unwrap()
            .version,
        name("v1")
    );
    // And once it has been, by its own memory too.
    assert_eq!(
        there
            .resolve(&moved, 5, "hill", "kinyarwanda-current", &say("p", None))
            .unwrap()
            .version,
        name("v1")
    );
    // The same one, not told by the client: by its own memory.
    assert_eq!(
        here.resolve(&moved, 5, "hill", "kinyarwanda-current", &say("p", None))
            .unwrap(),
        first
    );
    assert_eq!(
        here.resolve(&moved, 5, "hill", "kinyarwanda-current", &say("q", None))
            .unwrap()
            .version,
        name("v2")
    );
    // Withdrawn: a clean error in both, never the other version.
    let gone = moved
        .with_change(&Change::Withdraw {
            model: name("kinyarwanda"),
            name: name("v1"),
        })
        .unwrap();
    for told in [
        here.resolve(&gone, 6, "hill", "kinyarwanda-current", &say("p", None)),
        there.resolve(&gone, 6, "hill", "kinyarwanda-current", &handed),
    ] {
        assert_eq!(told, Err(ResolveError::Withdrawn("kinyarwanda@v1".into())));
    }
    // Its time is over; a client that makes its end up gains twice the length at most.
    let late = PinRequest {
        until_ms: Some(first.until_ms),
        ..handed.clone()
    };
    let told = there.resolve(&moved, HOUR, "hill", "kinyarwanda-current", &late);
    assert_eq!(told, Err(ResolveError::Expired("kinyarwanda@v1".into())));
    let forged = PinRequest {
        until_ms: Some(u64::MAX),
        ..handed
    };
    assert_eq!(
        there
            .resolve(&moved, 0, "hill", "kinyarwanda-current", &forged)
            .unwrap()
            .until_ms,
        2 * HOUR
    );
    let other = say("p", Some("swahili@v1"));
    let told = there.resolve(&moved, 0, "hill", "kinyarwanda-current", &other);
    assert!(
        matches!(told, Err(ResolveError::OtherModel { .. })),
        "{told:?}"
    );
    assert!(matches!(
        there.resolve(&moved, 0, "hill", "nothing", &say("p", None)),
        Err(ResolveError::Unknown(_))
    ));
    assert!(
        matches!(there.resolve(&moved, 0, "hill", "kinyarwanda@v2", &say("p", None)), Ok(f) if f.staged.is_none())
    );
}

#[test]
fn a_tenants_own_alias_goes_before_that_of_all() {
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
    let state = two().with_change(&own).unwrap();
    let mut passages = VersionPins::new(HOUR);
    let mut of = |tenant| {
        passages
            .resolve(&state, 0, tenant, "kinyarwanda-current", &say("p", None))
            .unwrap()
            .version
    };
    assert_eq!(
        (of("hill"), of("lake"), of("Not A Name")),
        (name("v2"), name("v1"), name("v1"))
    );
}

#[test]
fn a_stage_takes_its_share_of_passages_the_same_at_each_controller() {
    let state = two().with_change(&moves(2, 3, Some(200))).unwrap();
    let (mut here, mut there) = (VersionPins::new(HOUR), VersionPins::new(HOUR));
    let mut new = 0;
    for n in 0..2_000 {
        let passage = format!("visitor {n}");
        let fixed = here
            .resolve(
                &state,
                0,
                "hill",
                "kinyarwanda-current",
                &say(&passage, None),
            )
            .unwrap();
        assert_eq!(
            there
                .resolve(
                    &state,
                    0,
                    "hill",
                    "kinyarwanda-current",
                    &say(&passage, None)
                )
                .unwrap(),
            fixed
        );
        assert_eq!(
            fixed.staged.map(|s| (s.is_new_version, s.alias_revision)),
            Some((fixed.version == name("v2"), 4))
        );
        new += u32::from(fixed.version == name("v2"));
    }
    assert!(
        (330..470).contains(&new),
        "{new} of 2,000 began with the new version"
    );
    let none = PinRequest::default();
    assert_eq!(
        here.resolve(&state, 0, "hill", "kinyarwanda-current", &none)
            .unwrap()
            .version,
        name("v1")
    );
}

#[test]
fn passages_that_are_remembered_are_bounded() {
    let (state, mut passages) = (two(), VersionPins::new(HOUR));
    for n in 0..50_200 {
        passages
            .resolve(
                &state,
                n,
                "hill",
                "kinyarwanda-current",
                &say(&n.to_string(), None),
            )
            .unwrap();
    }
    assert_eq!(passages.pin_count(), 50_000);
}

#[test]
fn a_stage_stops_early_by_more_errors_than_chance_makes_and_ends_well_otherwise() {
    let stage = Stage {
        to: name("v2"),
        per_mille: 100,
        errors_per_mille: 20,
        answers: 1_000,
    };
    let judge = |new_well, new_erred, old_well, old_erred| {
        let mut tallies = Tallies::default();
        // Told in halves by two controllers, one of them twice, once out of order.
        let half = Tally {
            new_succeeded: new_well / 2,
            new_failed: new_erred / 2,
            old_succeeded: old_well / 2,
            old_failed: old_erred / 2,
        };
        let rest = Tally {
            new_succeeded: new_well - half.new_succeeded,
            new_failed: new_erred - half.new_failed,
            old_succeeded: old_well - half.old_succeeded,
            old_failed: old_erred - half.old_failed,
        };
        for (controller, tally) in [(1, half), (2, rest), (1, half), (2, Tally::default())] {
            tallies.record(controller, 1, tally);
        }
        assert_eq!(
            tallies.sum(),
            Tally {
                new_succeeded: new_well,
                new_failed: new_erred,
                old_succeeded: old_well,
                old_failed: old_erred
            }
        );
        tallies.verdict(&stage)
    };
    assert_eq!(judge(40, 0, 400, 0), Verdict::Undecided);
    assert!(
        matches!(judge(40, 10, 400, 0), Verdict::Abort { .. }),
        "a fifth of fifty"
    );
    assert_eq!(
        judge(40, 4, 400, 0),
        Verdict::Undecided,
        "four errors prove nothing"
    );
    assert_eq!(
        judge(990, 10, 9_000, 0),
        Verdict::Complete,
        "within the bound"
    );
    assert!(
        matches!(judge(970, 30, 9_000, 0), Verdict::Abort { .. }),
        "over the bound, all counted"
    );
    assert_eq!(
        judge(970, 30, 9_000, 500),
        Verdict::Complete,
        "the old one errs as much"
    );
    assert_eq!(judge(0, 0, u64::MAX / 2, 3), Verdict::Undecided);
}

#[test]
fn collections_spare_what_a_push_was_told_to_be_there() {
    let digest = |n: u8| Digest::of(&[n]);
    let (a, b, c) = (digest(1), digest(2), digest(3));
    let mut keeper = BlobCollector::default();
    let named = BTreeSet::from([a]);
    let collect = |keeper: &mut BlobCollector, now| keeper.collect(now, [a, b, c], &named, 100);
    assert!(collect(&mut keeper, 0).is_empty());
    let lease = keeper.begin_lease(50, BTreeSet::from([b]), 500);
    assert_eq!(collect(&mut keeper, 150), [c], "b is leased");
    assert!(keeper.check_lease(549, lease, &[b]).is_ok());
    assert!(
        keeper.check_lease(549, lease, &[c]).is_err(),
        "not what it began with"
    );
    assert!(
        keeper.check_lease(550, lease, &[b]).is_err(),
        "it has run out"
    );
    assert!(
        collect(&mut keeper, 560).is_empty(),
        "the grace begins when the lease ends"
    );
    let last = collect(&mut keeper, 660);
    assert_eq!(
        last.into_iter().collect::<BTreeSet<_>>(),
        BTreeSet::from([b, c])
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None, ..Default::default()
    })]

    /// Whatever is asked, an alias names a version that is there, revisions go up by one, and a replay makes the same state.
    #[test]
    fn any_changes_keep_the_book_whole(asks in prop::collection::vec((0u8..7, 1u64..5, 0u64..12, any::<bool>()), 1..60)) {
        let (mut head, mut replayed) = (Head::default(), Head::default());
        for (what, n, expect, flag) in asks {
            let (model, version) = (name("kinyarwanda"), name(&format!("v{n}")));
            let (space, alias) = (Namespace::All, name("kinyarwanda-current"));
            // Half of those who move know what is current.
            let known = head.state.alias(&space, &alias).map_or(0, |a| a.changed);
            let expect = if flag { known } else { expect };
            let change = match what {
                0 | 1 => push(n),
                2 => moves(n, expect, None),
                3 => moves(n, expect, Some(100)),
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
            for ((_, _), a) in &head.state.aliases {
                prop_assert!(head.state.version(&a.model, &a.version).is_some());
                prop_assert!(a.stage.as_ref().is_none_or(|s| head.state.version(&a.model, &s.to).is_some()));
                prop_assert!(a.changed <= head.revision());
            }
            prop_assert_eq!(&replayed, &head);
        }
    }
}
