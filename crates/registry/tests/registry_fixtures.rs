//! A registry's disk, its backup, what it and its followers say to each other, and what these keep, as an earlier build
//! wrote it.

#[path = "../../fleet/tests/fixture_support/fixtures.rs"]
mod fixtures;
#[path = "fixture_support/history.rs"]
mod history;
#[path = "../../coordinator/tests/fixture_support/lines.rs"]
mod lines;

use fixtures::{FixtureLines, files_below, scratch_folder, stored_copy};
use history::{EPOCH, LAST_REVISION, LEASE, absent_version, adds_key, make_registry, name, push};
use lines::{
    RawLine, call_line, memory, plain_call_line, read_call, result_line, scripted_server,
    without_prose,
};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use saltdrum_coordinator::rpc_client::RpcClient as StewardCaller;
use saltdrum_coordinator::server::CallHandler;
use saltdrum_coordinator::wire::ChangeReply;
use saltdrum_fleet::fence::Token;
use saltdrum_layers::Digest;
use saltdrum_leases::messages::{Effect, REJECTED, Seal};
use saltdrum_registry::chain::{Entry, Head};
use saltdrum_registry::client;
use saltdrum_registry::collection::{CollectBlobs, Collected, CollectionResource, RESOURCE, TASK};
use saltdrum_registry::follow::{FollowConfig, LocalCopy, RegistryUpdate, follow};
use saltdrum_registry::rollout::Tally;
use saltdrum_registry::service::{
    ACCESS_DENIED, DISK_FAILURE, REJECTED as CHANGE_REJECTED, Registry,
};
use saltdrum_registry::state::{RegistryState, Role};
use saltdrum_registry::store::{ChangeRequest, read_backup, restore};
use saltdrum_registry::version_pin::{PinRequest, VersionPins, function_id, function_name};
use saltdrum_registry::watch::{Cursor, WatchEvent};
use saltdrum_registry::{Change, Namespace, Store, blobs, keys};
use saltdrum_transport::{Clock, MemoryNetwork, Network};
use serde::Serialize;
use serde_json::json;
use std::cell::RefCell;
use std::fs;
use std::future::Future;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

const FLEET: &str = "museums";
/// What the registry's wall clock says, in milliseconds.
const NOW_MS: u64 = 5_000;

fn on_paused_time<T>(test: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

fn network() -> Rc<dyn Network> {
    Rc::new(MemoryNetwork::default())
}

/// All entries of a history, and the head after each.
fn heads_of(entries: &[Entry]) -> Vec<Head> {
    let follow = |head: &mut Head, entry: &Entry| {
        *head = head.with_entry(entry).unwrap();
        Some(head.clone())
    };
    entries.iter().scan(Head::default(), follow).collect()
}

/// The history of a registry that is made in a folder.
fn made_history(folder: &Path) -> Vec<Entry> {
    make_registry(folder);
    Store::open_file(&folder.join("registry.redb"))
        .unwrap()
        .entries_after(0, usize::MAX)
        .unwrap()
}

fn mark(head: &Head) -> Cursor {
    Cursor {
        revision: head.revision(),
        hash: head.hash.clone(),
    }
}

/// An entry by which a registry came back from its backup.
fn restoring_entry(head: &Head) -> (Entry, Head) {
    head.prepare_entry("anna", 9_000, Change::Restored { over: 100 })
        .unwrap()
}

#[test]
fn books_and_what_followers_are_told_keep_their_serialised_form() {
    let mut fixtures = FixtureLines::open("told.txt");
    let entries = made_history(&scratch_folder("told"));
    let heads = heads_of(&entries);
    let last = heads.last().unwrap();
    assert_eq!(last.revision(), LAST_REVISION);
    for entry in &entries {
        fixtures.check_json(&format!("entry-{}", entry.revision), entry);
    }
    let (restored, after) = restoring_entry(last);
    fixtures.check_json("entry-restored", &restored);
    fixtures.check_json("head", last);
    fixtures.check_json("head-of-nothing", &Head::default());
    fixtures.check_json("mark", &mark(last));
    let told = [
        (
            "whole",
            WatchEvent::Snapshot {
                head: last.clone(),
                restored: None,
            },
        ),
        (
            "whole-restored",
            WatchEvent::Snapshot {
                head: after,
                restored: Some(restored),
            },
        ),
        (
            "next",
            WatchEvent::Next {
                entry: entries[3].clone(),
            },
        ),
        ("still", WatchEvent::Heartbeat { at: mark(last) }),
        ("behind", WatchEvent::UnknownCursor { at: mark(last) }),
    ];
    for (name, told) in told {
        fixtures.check_json(&format!("told-{name}"), &told);
    }
    let tally = Tally {
        new_succeeded: 11,
        new_failed: 12,
        old_succeeded: 13,
        old_failed: 14,
    };
    fixtures.check_json("tally", &tally);
    fixtures.check_json_by_debug("collect", &CollectBlobs { grace_ms: 600_000 });
    fixtures.check_json_by_debug(
        "collected",
        &Collected {
            removed: 15,
            bytes: 16,
        },
    );
    for (name, code) in [
        ("refused", CHANGE_REJECTED),
        ("denied", ACCESS_DENIED),
        ("disk", DISK_FAILURE),
    ] {
        fixtures.check_text(&format!("code-{name}"), &code.to_string());
    }
    fixtures.check_text("task", TASK);
    fixtures.check_text("resource", RESOURCE);
    fixtures.finish();
}

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
const SEALS: TableDefinition<&str, u64> = TableDefinition::new("seals");

/// What lies in a registry's database, in the order of its keys.
fn check_records(fixtures: &mut FixtureLines, whose: &str, database: &Path) {
    let database = Database::open(database).unwrap();
    let reading = database.begin_read().unwrap();
    for (name, table) in [("about", ABOUT), ("seal", SEALS)] {
        for record in reading.open_table(table).unwrap().iter().unwrap() {
            let (key, number) = record.unwrap();
            let text = number.value().to_string();
            fixtures.check_text(&format!("{whose}-{name}-{}", key.value()), &text);
        }
    }
    for record in reading.open_table(LOG).unwrap().iter().unwrap() {
        let (revision, entry) = record.unwrap();
        let text = String::from_utf8(entry.value().to_vec()).unwrap();
        fixtures.check_text(&format!("{whose}-log-{}", revision.value()), &text);
    }
}

#[test]
fn a_registry_of_an_earlier_build_is_read_and_a_new_one_has_the_same_records() {
    let scratch = scratch_folder("disk");
    let written = scratch.join("written");
    fs::create_dir(&written).unwrap();
    let key = make_registry(&written);
    let stored = stored_copy("registry", &written, &scratch);
    let mut fixtures = FixtureLines::open("registry-records.txt");
    check_records(&mut fixtures, "new", &written.join("registry.redb"));
    check_records(&mut fixtures, "stored", &stored.join("registry.redb"));
    let key = fixtures.check_text("owner-key", &key);
    fixtures.finish();
    let without_database = |folder: &Path| {
        let mut files = files_below(folder);
        files.remove("registry.redb").unwrap();
        files
    };
    assert_eq!(without_database(&written), without_database(&stored));
    let mut store = Store::open_file(&stored.join("registry.redb")).unwrap();
    let made = Store::open_file(&written.join("registry.redb")).unwrap();
    assert_eq!(store.head(), made.head());
    assert_eq!(store.verify().unwrap(), LAST_REVISION);
    assert_eq!(store.sealed_epoch(LEASE).unwrap(), EPOCH);
    let state = &store.head().state;
    assert_eq!(
        keys::authenticate(state, &key).unwrap(),
        (name("anna"), Role::Owner)
    );
    assert_eq!(blobs::verify_blobs(&stored, state), Vec::<String>::new());
    let change = adds_key("box-2", Role::Reader);
    let asked = ChangeRequest {
        who: "anna".into(),
        at_ms: NOW_MS,
        change,
    };
    let taken = store.commit(vec![asked]).unwrap().remove(0).unwrap();
    assert_eq!(taken.revision, LAST_REVISION + 1);
}

fn manifest_of(state: &RegistryState, version: &str) -> Digest {
    state
        .version(&name("kinyarwanda"), &name(version))
        .unwrap()
        .version
        .manifest
}

#[test]
fn a_backup_keeps_its_text_and_an_older_one_is_restored() {
    let scratch = scratch_folder("backup");
    make_registry(&scratch);
    let store = Store::open_file(&scratch.join("registry.redb")).unwrap();
    let written = scratch.join("written");
    assert_eq!(store.back_up(&written).unwrap(), LAST_REVISION);
    let stored = stored_copy("backup.jsonl", &written, &scratch);
    assert_eq!(
        fs::read_to_string(&written).unwrap(),
        fs::read_to_string(&stored).unwrap()
    );
    let (entries, head) = read_backup(&stored).unwrap();
    assert_eq!((entries.len() as u64, &head), (LAST_REVISION, store.head()));
    let restored = scratch.join("restored.redb");
    let after = restore(&stored, &restored, 100, "anna", 9_000).unwrap();
    assert_eq!(after, restoring_entry(store.head()).1);
    assert_eq!(Store::open_file(&restored).unwrap().head(), &after);
    let mut fixtures = FixtureLines::open("restored-records.txt");
    check_records(&mut fixtures, "new", &restored);
    fixtures.finish();
}

/// One connection to the registry.
struct Conversation {
    line: RawLine,
    calls: u64,
    folder: String,
}

impl Conversation {
    async fn call(
        &mut self,
        fixtures: &mut FixtureLines,
        name: &str,
        method: &str,
        params: impl Serialize,
    ) {
        self.calls += 1;
        let sent = plain_call_line(self.calls, method, &params);
        let answer = without_prose(&self.line.exchange(&sent).await);
        fixtures.check_text(
            &format!("{name}-call"),
            &sent.replace(&self.folder, "FOLDER"),
        );
        fixtures.check_text(&format!("{name}-answer"), &answer);
    }

    /// What the registry says unasked.
    async fn hear(&mut self, fixtures: &mut FixtureLines, name: &str) {
        let told = self.line.read().await;
        fixtures.check_text(&format!("{name}-told"), &told);
    }
}

/// A running registry on a copy of the stored one.
struct Site {
    network: Rc<dyn Network>,
    registry: Rc<Registry>,
    folder: String,
    key: String,
}

impl Site {
    async fn start(scratch: &Path) -> Self {
        let network = network();
        let key = make_registry(scratch);
        let store = Store::open_file(&scratch.join("registry.redb")).unwrap();
        let registry = Registry::new(store, Some(scratch), Rc::new(|| NOW_MS));
        let (listener, _) = network.listen(&memory("registry")).await.unwrap();
        let attending = registry
            .clone()
            .accept_connections(listener, Clock::start());
        tokio::task::spawn_local(attending);
        let folder = scratch.to_str().unwrap().to_owned();
        Self {
            network,
            registry,
            folder,
            key,
        }
    }

    async fn dial(&self) -> Conversation {
        let line = RawLine::dial(&self.network, &memory("registry")).await;
        Conversation {
            line,
            calls: 0,
            folder: self.folder.clone(),
        }
    }
}

#[test]
fn a_registry_answers_administrators_of_an_earlier_build_as_it_did() {
    on_paused_time(async {
        let scratch = scratch_folder("administrators");
        let site = Site::start(&scratch).await;
        let mut fixtures = FixtureLines::open("administrators.txt");
        let all = &mut fixtures;
        let mut talk = site.dial().await;
        talk.call(all, "status-without-login", "status", json!({}))
            .await;
        talk.call(all, "login-denied", "login", json!({"key": "anna.no"}))
            .await;
        talk.call(all, "login", "login", json!({"key": site.key}))
            .await;
        talk.call(all, "status", "status", json!({})).await;
        talk.call(all, "show", "show", json!({})).await;
        talk.call(all, "history", "history", json!({"after": 20, "most": 2}))
            .await;
        talk.call(all, "verify", "verify", json!({})).await;
        talk.call(
            all,
            "change",
            "change",
            json!({"change": adds_key("box-2", Role::Reader)}),
        )
        .await;
        let refused = adds_key("box-2", Role::Reader);
        talk.call(all, "change-refused", "change", json!({"change": refused}))
            .await;
        check_push(all, &mut talk, &site).await;
        check_reports(all, &mut talk).await;
        let to = format!("{}/backup.jsonl", site.folder);
        talk.call(all, "back-up", "back_up", json!({"to": to}))
            .await;
        assert!(Path::new(&to).exists());
        talk.call(all, "unknown-method", "dance", json!({})).await;
        fixtures.finish();
    });
}

/// A push of a version that is there already, and of a new one.
async fn check_push(fixtures: &mut FixtureLines, talk: &mut Conversation, site: &Site) {
    let manifest = manifest_of(&site.registry.state(), "v2");
    let mut digests: Vec<Digest> = blobs::read_manifest(Path::new(&site.folder), &manifest)
        .unwrap()
        .chunks
        .iter()
        .map(|c| c.digest)
        .collect();
    digests.push(manifest);
    talk.call(fixtures, "begin", "begin", json!({"digests": digests}))
        .await;
    for (call_name, version) in [("push-again", "v2"), ("push-without-lease", "v6")] {
        let params = push_params(version, manifest, 1);
        talk.call(fixtures, call_name, "push", params).await;
    }
    talk.call(
        fixtures,
        "begin-again",
        "begin",
        json!({"digests": digests}),
    )
    .await;
    talk.call(fixtures, "push", "push", push_params("v6", manifest, 2))
        .await;
}

fn push_params(version: &str, manifest: Digest, lease: u64) -> serde_json::Value {
    json!({
        "lease": lease, "model": "kinyarwanda", "name": version, "manifest": manifest.to_string(),
        "memory_mb": 2_400, "lanes": 6, "trigger_types": ["narrate", "translate"],
    })
}

/// What controllers and invokers report, and a collection.
async fn check_reports(fixtures: &mut FixtureLines, talk: &mut Conversation) {
    let tally = |changed: u64, new_well: u64| {
        json!({
            "space": "all", "alias": "current", "changed": changed, "controller": 2, "incarnation": 102,
            "tally": Tally { new_succeeded: new_well, new_failed: 1, old_succeeded: 300, old_failed: 2 },
        })
    };
    talk.call(fixtures, "tally-of-another-stage", "tally", tally(3, 30))
        .await;
    talk.call(fixtures, "tally", "tally", tally(LAST_REVISION, 30))
        .await;
    let corrupt = json!({"model": "kinyarwanda", "version": "v3", "why": "no source holds"});
    talk.call(fixtures, "corrupt", "corrupt", corrupt).await;
    talk.call(fixtures, "status-with-corrupt", "status", json!({}))
        .await;
    talk.call(fixtures, "collect", "collect", json!({"grace_ms": 0}))
        .await;
    // Last, as its entry holds a text for people, on which all later hashes depend.
    talk.call(
        fixtures,
        "tally-that-ends-the-stage",
        "tally",
        tally(LAST_REVISION, 399),
    )
    .await;
}

#[test]
fn a_registry_tells_followers_of_an_earlier_build_as_it_did() {
    on_paused_time(async {
        let scratch = scratch_folder("followers");
        let site = Site::start(&scratch).await;
        let heads = heads_of(&site.registry.history().unwrap());
        let mut fixtures = FixtureLines::open("followers.txt");
        let all = &mut fixtures;
        let watch = |mark: Cursor| json!({"who": "box-1", "mark": mark});
        let marks = [
            ("new", mark(&Head::default())),
            ("late", mark(&heads[20])),
            (
                "elsewhere",
                Cursor {
                    revision: 50,
                    hash: heads[20].hash.clone(),
                },
            ),
        ];
        for (name, mark) in marks {
            let mut talk = site.dial().await;
            talk.call(
                all,
                &format!("{name}-login"),
                "login",
                json!({"key": site.key}),
            )
            .await;
            talk.call(all, &format!("{name}-watch"), "watch", watch(mark))
                .await;
            talk.hear(all, &format!("{name}-first")).await;
            if name != "elsewhere" {
                talk.hear(all, &format!("{name}-second")).await;
            }
        }
        let mut talk = site.dial().await;
        talk.call(all, "operator-login", "login", json!({"key": site.key}))
            .await;
        talk.call(all, "operator-status", "status", json!({})).await;
        fixtures.finish();
    });
}

fn notice(told: &WatchEvent) -> String {
    let told = serde_json::to_string(told).unwrap();
    format!(r#"{{"jsonrpc":"2.0","method":"told","params":{told}}}"#)
}

#[test]
fn a_follower_asks_as_before_and_keeps_the_same_file() {
    on_paused_time(async {
        let scratch = scratch_folder("follower");
        let heads = heads_of(&made_history(&scratch));
        let entries = Store::open_file(&scratch.join("registry.redb"))
            .unwrap()
            .entries_after(0, 100)
            .unwrap();
        let (network, at) = (network(), memory("registry"));
        let whole = WatchEvent::Snapshot {
            head: heads[20].clone(),
            restored: None,
        };
        let next: Vec<String> = entries[21..]
            .iter()
            .map(|entry| {
                notice(&WatchEvent::Next {
                    entry: entry.clone(),
                })
            })
            .collect();
        let answers = vec![notice(&whole), next.join("\n")];
        let server = scripted_server(&network, &at, answers).await;
        let written = scratch.join("written");
        let (registry, copy) = (at, Some(written.clone()));
        let key = "box-1.secret".to_owned();
        let following = FollowConfig {
            registry,
            key,
            follower_name: "box-1".into(),
            copy_path: copy,
        };
        let heard: Rc<RefCell<Vec<Head>>> = Rc::default();
        let noted = heard.clone();
        let hear = move |what| {
            if let RegistryUpdate::Changed(head) = what {
                noted.borrow_mut().push(head);
            }
        };
        let task = tokio::task::spawn_local(follow(following, network, 1, hear));
        let mut fixtures = FixtureLines::open("follower.txt");
        for (name, line) in ["login", "watch"].iter().zip(server.await.unwrap()) {
            fixtures.check_text(name, &line);
        }
        fixtures.finish();
        tokio::time::sleep(Duration::from_millis(50)).await;
        task.abort();
        assert_eq!(*heard.borrow(), heads[20..]);
        let stored = stored_copy("follower-copy.jsonl", &written, &scratch);
        assert_eq!(
            fs::read_to_string(&written).unwrap(),
            fs::read_to_string(&stored).unwrap()
        );
        assert_eq!(LocalCopy::read(&stored).unwrap().as_ref(), heads.last());
    });
}

#[test]
fn an_administrators_calls_keep_their_text() {
    on_paused_time(async {
        let (network, at) = (network(), memory("registry"));
        let answers = vec![
            result_line(1, &json!({})),
            result_line(2, &json!({"revision": 24})),
        ];
        let server = scripted_server(&network, &at, answers).await;
        let mut caller = client::RegistryClient::connect(&network, &at, "anna.secret")
            .await
            .unwrap();
        let change = push("v6", absent_version());
        let told = caller
            .call("change", json!({"change": change}))
            .await
            .unwrap();
        assert_eq!(told, json!({"revision": 24}));
        let mut fixtures = FixtureLines::open("administrators-calls.txt");
        for (name, line) in ["login", "change"].iter().zip(server.await.unwrap()) {
            fixtures.check_text(name, &line);
        }
        fixtures.finish();
    });
}

#[test]
fn a_collection_under_a_lease_is_asked_for_as_before() {
    on_paused_time(async {
        let scratch = scratch_folder("collection");
        let network = network();
        make_registry(&scratch);
        let store = Store::open_file(&scratch.join("registry.redb")).unwrap();
        let registry = Registry::new(store, Some(&scratch), Rc::new(|| NOW_MS));
        let steward = memory("steward-1");
        let changed = result_line(
            1,
            &ChangeReply {
                revision: 38,
                changed: false,
            },
        );
        let server = scripted_server(&network, &steward, vec![changed]).await;
        let stewards = vec![StewardCaller::new(network, steward, FLEET)];
        let resource = CollectionResource::new(FLEET, 71, stewards, registry);
        let mut fixtures = FixtureLines::open("collection.txt");
        let collect = |epoch| {
            let token = Token {
                lease: LEASE.into(),
                epoch,
                incarnation: 71,
            };
            let what = CollectBlobs { grace_ms: 0 };
            let effect = Effect {
                token,
                actor: "controller-2".into(),
                params: what,
            };
            call_line(1, FLEET, "collect", &effect)
        };
        let seal = |epoch| {
            call_line(
                2,
                FLEET,
                "seal",
                &Seal {
                    lease: LEASE.into(),
                    epoch,
                },
            )
        };
        let calls = [
            ("collect-unsealed", collect(22)),
            ("seal-old-epoch", seal(20)),
            ("seal", seal(22)),
            ("collect-old-epoch", collect(21)),
            ("collect", collect(22)),
            ("status", call_line(3, FLEET, "status", &json!({}))),
        ];
        for (name, sent) in calls {
            let answer = match resource.handle_call(&read_call(&sent)).await {
                Ok(result) => result,
                // The message of a rejection is read by holders; others are for people.
                Err((REJECTED, message)) => format!("error {REJECTED} {message}"),
                Err((code, _)) => format!("error {code}"),
            };
            fixtures.check_text(&format!("{name}-call"), &sent);
            fixtures.check_text(&format!("{name}-answer"), &answer);
        }
        fixtures.check_text("asked-steward", &server.await.unwrap()[0]);
        fixtures.finish();
    });
}

/// Controllers and invokers of two builds must name versions alike, and draw alike who begins with the new one.
#[test]
fn versions_are_named_and_passages_drawn_as_before() {
    let mut fixtures = FixtureLines::open("passages.txt");
    let entries = made_history(&scratch_folder("passages"));
    let state = heads_of(&entries).pop().unwrap().state;
    let (model, version) = (name("kinyarwanda"), name("v3"));
    fixtures.check_text("function-id", &function_id(&model, &version).to_string());
    fixtures.check_text("function-name", &function_name(&model, &version));
    let mut passages = VersionPins::new(60_000);
    for number in 0..16 {
        let passage = format!("visit-{number}");
        let said = PinRequest {
            passage: Some(&passage),
            ..PinRequest::default()
        };
        let fixed = passages
            .resolve(&state, NOW_MS, "prado", "current", &said)
            .unwrap();
        assert_eq!(fixed.staged.unwrap().namespace, Namespace::All);
        fixtures.check_text(&passage, &format!("{} {}", fixed.version, fixed.until_ms));
    }
    let own = passages
        .resolve(&state, NOW_MS, "louvre", "current", &PinRequest::default())
        .unwrap();
    fixtures.check_text("tenants-own", &format!("{} {}", own.version, own.until_ms));
    fixtures.finish();
}
