//! The registry on its socket, with callers and watchers round it, in virtual time.

use crate::support::disk::Disk;
use crate::support::{moves, name, push};
use saltdrum_registry::client::{ClientError, RegistryClient};
use saltdrum_registry::follow::{FollowConfig, LocalCopy, RegistryUpdate, follow};
use saltdrum_registry::service::{ACCESS_DENIED, REJECTED, Registry, create_first_owner};
use saltdrum_registry::state::{Change, Role, Stage};
use saltdrum_registry::{Head, Namespace, Store, keys};
use saltdrum_transport::{Address, Clock, MemoryNetwork, Network};
use serde_json::{Value as Json, json};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

fn on_paused_time<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, run)
}

struct Site {
    network: Rc<dyn Network>,
    at: Address,
    key: String,
    task: Option<JoinHandle<()>>,
    registry: Rc<Registry>,
    disk: Disk,
}

fn hour() -> Rc<dyn Fn() -> u64> {
    let clock = Clock::start();
    Rc::new(move || clock.now() / 10)
}

impl Site {
    async fn up() -> Self {
        let disk = Disk::default();
        let mut store = Store::open("disk".into(), disk.opens()).unwrap();
        let key = create_first_owner(&mut store, &name("anna"), [7; 32], 0).unwrap();
        let network: Rc<dyn Network> = Rc::new(MemoryNetwork::default());
        let at = Address::Memory("registry".into());
        let registry = Registry::new(store, None, hour());
        let mut site = Site {
            network,
            at,
            key,
            task: None,
            registry,
            disk,
        };
        site.start(None).await;
        site
    }

    async fn start(&mut self, store: Option<Store>) {
        if let Some(store) = store {
            self.registry = Registry::new(store, None, hour());
        }
        let (door, _) = self.network.listen(&self.at).await.unwrap();
        let registry = self.registry.clone();
        self.task = Some(spawn_local(async move {
            registry.accept_connections(door, Clock::start()).await
        }));
    }

    /// As a kill: callers and watchers lose their lines, what was not synced is lost.
    async fn kill(&mut self) -> Disk {
        let task = self.task.take().unwrap();
        task.abort();
        let _ = task.await;
        self.disk.after_power_cut(&mut fastrand::Rng::with_seed(5))
    }

    async fn caller(&self) -> RegistryClient {
        RegistryClient::connect(&self.network, &self.at, &self.key)
            .await
            .unwrap()
    }

    fn following(&self, who: &str) -> FollowConfig {
        FollowConfig {
            registry: self.at.clone(),
            key: self.key.clone(),
            follower_name: who.into(),
            copy_path: None,
        }
    }
}

async fn change(caller: &mut RegistryClient, change: &Change) -> Result<u64, (i64, String)> {
    match caller.call("change", json!({ "change": change })).await {
        Ok(told) => Ok(told["revision"].as_u64().unwrap()),
        Err(ClientError::Response { code, message }) => Err((code, message)),
        Err(e) => panic!("{e}"),
    }
}

#[derive(Default)]
struct Seen {
    heads: Vec<Head>,
    refused: Vec<String>,
    still: u64,
}

fn watch(of: FollowConfig, network: Rc<dyn Network>) -> (Rc<RefCell<Seen>>, JoinHandle<()>) {
    let seen = Rc::new(RefCell::new(Seen::default()));
    let noted = seen.clone();
    let hear = move |heard| {
        let mut seen = noted.borrow_mut();
        match heard {
            RegistryUpdate::Changed(head) => seen.heads.push(head),
            RegistryUpdate::Unchanged => seen.still += 1,
            RegistryUpdate::Rejected(why) => seen.refused.push(why),
        }
    };
    (seen, spawn_local(follow(of, network, 1, hear)))
}

async fn ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Revisions as a watcher obeyed them: only up.
fn went_up(seen: &Seen) {
    let revisions: Vec<u64> = seen.heads.iter().map(Head::revision).collect();
    assert!(revisions.windows(2).all(|w| w[0] < w[1]), "{revisions:?}");
}

#[test]
fn a_watcher_that_was_cut_off_over_fifty_changes_hears_each_once() {
    on_paused_time(async {
        let mut site = Site::up().await;
        let (seen, task) = watch(site.following("box-1"), site.network.clone());
        let mut caller = site.caller().await;
        change(&mut caller, &push(0)).await.unwrap();
        ms(50).await;
        assert_eq!(seen.borrow().heads.last().unwrap().revision(), 2);
        // The door stays shut for 30 s; the registry goes on.
        let disk = site.kill().await;
        let mut store = Store::open("disk".into(), disk.opens()).unwrap();
        site.disk = disk;
        let asked = |n| saltdrum_registry::store::ChangeRequest {
            who: "anna".into(),
            at_ms: 0,
            change: push(n),
        };
        store.commit((1..=50).map(asked).collect()).unwrap();
        ms(30_000).await;
        assert_eq!(
            seen.borrow().heads.last().unwrap().revision(),
            2,
            "what it said stands"
        );
        site.start(Some(store)).await;
        ms(10_000).await;
        went_up(&seen.borrow());
        let heads = seen.borrow().heads.clone();
        let last: Vec<u64> = heads.iter().rev().take(50).map(Head::revision).collect();
        assert_eq!(
            last,
            (3..=52).rev().collect::<Vec<_>>(),
            "none left out, none twice"
        );
        assert_eq!(
            heads.last().unwrap(),
            &Head {
                state: site.registry.state(),
                hash: last_hash(&site).await
            }
        );
        task.abort();
    });
}

async fn last_hash(site: &Site) -> String {
    let told = site.caller().await.call("status", json!({})).await.unwrap();
    told["hash"].as_str().unwrap().to_owned()
}

#[test]
fn killed_between_changes_by_many_nothing_told_is_lost_and_watchers_agree() {
    on_paused_time(async {
        let mut site = Site::up().await;
        let mut watchers = Vec::new();
        for n in 0..20 {
            watchers.push(watch(
                site.following(&format!("box-{n}")),
                site.network.clone(),
            ));
        }
        let (mut told, mut tries) = (0, 0u64);
        for life in 0..12 {
            let callers = (0..4).map(|c| {
                let (network, at, key) = (site.network.clone(), site.at.clone(), site.key.clone());
                spawn_local(async move {
                    let mut caller = RegistryClient::connect(&network, &at, &key).await.unwrap();
                    let mut told = 0;
                    for n in 0..10 {
                        let asked = json!({ "change": push(life * 100 + c * 10 + n) });
                        match caller.call("change", asked).await {
                            Ok(_) => told += 1,
                            Err(_) => break,
                        }
                    }
                    told
                })
            });
            let callers: Vec<_> = callers.collect();
            // In mid-work, at another moment each life.
            let dies_at = site.disk.operations() + 8 + life * 7;
            site.disk.dies_at(Some(dies_at));
            for caller in callers {
                told += caller.await.unwrap();
                tries += 10;
            }
            let disk = site.kill().await;
            let store = Store::open("disk".into(), disk.opens()).unwrap();
            assert!(
                store.head().state.versions.len() as u64 >= told,
                "life {life}: {told} were told"
            );
            site.disk = disk;
            site.start(Some(store)).await;
            ms(15_000).await;
        }
        let state = site.registry.state();
        assert!(
            told > 20 && told < tries,
            "{told} of {tries}: some were to be cut off"
        );
        for (seen, task) in &watchers {
            went_up(&seen.borrow());
            assert_eq!(seen.borrow().heads.last().unwrap().state, state);
            assert!(
                seen.borrow().refused.is_empty(),
                "{:?}",
                seen.borrow().refused
            );
            task.abort();
        }
    });
}

#[test]
fn what_a_watcher_kept_serves_while_the_registry_is_away_and_turns_it_back_never() {
    on_paused_time(async {
        let folder = tempfile::tempdir().unwrap();
        let copy = folder.path().join("registry.copy");
        let mut site = Site::up().await;
        let mut caller = site.caller().await;
        let old = site.disk.after_power_cut(&mut fastrand::Rng::with_seed(1));
        for n in 0..8 {
            change(&mut caller, &push(n)).await.unwrap();
        }
        let of = FollowConfig {
            copy_path: Some(copy.clone()),
            ..site.following("box")
        };
        let (seen, task) = watch(of.clone(), site.network.clone());
        ms(100).await;
        change(&mut caller, &push(8)).await.unwrap();
        ms(100).await;
        let known = seen.borrow().heads.last().unwrap().clone();
        assert_eq!(known.revision(), 10);
        task.abort();
        site.kill().await;
        // Started without a registry: at once where it was.
        let (seen, task) = watch(of.clone(), site.network.clone());
        ms(1).await;
        assert_eq!(seen.borrow().heads, vec![known.clone()]);
        // One that came back with the first change alone is refused, in words.
        site.start(Some(Store::open("disk".into(), old.opens()).unwrap()))
            .await;
        ms(10_000).await;
        assert_eq!(seen.borrow().heads, vec![known.clone()]);
        let why = seen.borrow().refused.last().unwrap().clone();
        assert!(
            why.contains("revision 1, revision 10 was obeyed here") && why.contains("older backup"),
            "{why}"
        );
        let told = site.caller().await.call("status", json!({})).await.unwrap();
        assert_eq!(
            told["followers"],
            json!([{"who": "box", "revision": 1, "refused": true, "behind": 0}])
        );
        task.abort();
        // A line that was being written when the power went was never obeyed.
        let mut half = std::fs::read(&copy).unwrap();
        let whole = half.len();
        half.extend_from_slice(b"{\"revision\":11,\"at_ms\"");
        std::fs::write(&copy, &half).unwrap();
        assert_eq!(LocalCopy::read(&copy).unwrap().unwrap(), known);
        // What is bent within is not gone on from, and nothing is taken in its place.
        half.truncate(whole);
        half[whole / 2] ^= 1;
        std::fs::write(&copy, &half).unwrap();
        let (seen, task) = watch(of, site.network.clone());
        ms(5_000).await;
        assert!(seen.borrow().heads.is_empty());
        assert!(
            seen.borrow().refused[0].contains("registry.copy: line"),
            "{:?}",
            seen.borrow().refused
        );
        task.abort();
    });
}

#[test]
fn a_hundred_watchers_hear_of_a_move_and_silence_is_told_from_calm() {
    on_paused_time(async {
        let site = Site::up().await;
        let watchers: Vec<_> = (0..100)
            .map(|n| watch(site.following(&format!("box-{n}")), site.network.clone()))
            .collect();
        let mut caller = site.caller().await;
        for c in [push(1), push(2), moves(1, 0, None)] {
            change(&mut caller, &c).await.unwrap();
        }
        ms(5).await;
        change(&mut caller, &moves(2, 4, None)).await.unwrap();
        ms(1).await;
        for (seen, _) in &watchers {
            assert_eq!(seen.borrow().heads.last().unwrap().revision(), 5);
        }
        ms(20_000).await;
        for (seen, task) in &watchers {
            assert!(seen.borrow().still >= 18, "{}", seen.borrow().still);
            task.abort();
        }
    });
}

#[test]
fn forged_and_foolish_calls_get_plain_errors_and_change_nothing() {
    on_paused_time(async {
        let site = Site::up().await;
        let mut owner = site.caller().await;
        let (reader, hash) = keys::generate(&name("box"), [9; 32]);
        change(
            &mut owner,
            &Change::AddKey {
                id: name("box"),
                role: Role::Reader,
                hash,
            },
        )
        .await
        .unwrap();
        let before = site.registry.state();
        let wrong = RegistryClient::connect(&site.network, &site.at, "anna.00").await;
        assert!(matches!(
            wrong,
            Err(ClientError::Response {
                code: ACCESS_DENIED,
                ..
            })
        ));
        let mut caller = RegistryClient::connect(&site.network, &site.at, &reader)
            .await
            .unwrap();
        let told = change(&mut caller, &push(1)).await.unwrap_err();
        assert_eq!(told.0, ACCESS_DENIED);
        assert!(told.1.contains("Publisher is needed"), "{}", told.1);
        let asks = [
            (
                "change",
                json!({"change": {"change": "restored", "over": 9}}),
                "while the registry is down",
            ),
            (
                "change",
                json!({"change": {"change": "burn"}}),
                "unknown variant",
            ),
            (
                "change",
                json!({"change": push(1), "role": "owner"}),
                "unknown field",
            ),
            (
                "change",
                json!({"change": moves(1, 99, None)}),
                "is not known",
            ),
            (
                "watch",
                json!({"who": "x".repeat(99), "mark": {"revision": 0, "hash": ""}}),
                "64 bytes",
            ),
            (
                "begin",
                json!({"digests": ["sha256:zz"]}),
                "64 hexadecimal digits",
            ),
            (
                "corrupt",
                json!({"model": "m", "version": "v", "why": ""}),
                "is not known",
            ),
            ("fly", json!({}), "not known here"),
        ];
        for (method, params, why) in asks {
            let told = owner.call(method, params).await.unwrap_err().to_string();
            assert!(told.contains(why), "{method}: {told}");
        }
        assert_eq!(site.registry.state(), before);
        // A key that is withdrawn while its line is open.
        assert!(caller.call("status", json!({})).await.is_ok());
        change(&mut owner, &Change::WithdrawKey { id: name("box") })
            .await
            .unwrap();
        let told = caller.call("status", json!({})).await.unwrap_err();
        assert!(
            matches!(
                told,
                ClientError::Response {
                    code: ACCESS_DENIED,
                    ..
                }
            ),
            "{told}"
        );
    });
}

#[test]
fn two_administrators_move_one_alias_a_hundred_times_and_each_move_knew_the_one_before() {
    on_paused_time(async {
        let site = Site::up().await;
        let mut caller = site.caller().await;
        for c in [push(1), push(2), moves(1, 0, None)] {
            change(&mut caller, &c).await.unwrap();
        }
        let lost = Rc::new(Cell::new(0));
        let movers = [1, 2].map(|to| {
            let (network, at, key, lost) = (
                site.network.clone(),
                site.at.clone(),
                site.key.clone(),
                lost.clone(),
            );
            spawn_local(async move {
                let mut caller = RegistryClient::connect(&network, &at, &key).await.unwrap();
                for _ in 0..50 {
                    loop {
                        let told: Json = caller.call("show", json!({})).await.unwrap();
                        let expect = told["aliases"][0]["is"]["changed"].as_u64().unwrap();
                        match change(&mut caller, &moves(to, expect, None)).await {
                            Ok(_) => break,
                            Err((REJECTED, why)) => {
                                assert!(why.contains("someone else moved it"), "{why}")
                            }
                            Err(e) => panic!("{e:?}"),
                        }
                        lost.set(lost.get() + 1);
                    }
                }
            })
        });
        for mover in movers {
            mover.await.unwrap();
        }
        assert_eq!(site.registry.state().revision, 104);
        assert!(
            lost.get() > 10,
            "{} were refused: they never met",
            lost.get()
        );
    });
}

#[test]
fn a_staged_move_to_a_version_that_fails_is_stopped_by_what_controllers_count() {
    on_paused_time(async {
        let site = Site::up().await;
        let mut caller = site.caller().await;
        for c in [push(1), push(2), moves(1, 0, None), moves(2, 4, Some(100))] {
            change(&mut caller, &c).await.unwrap();
        }
        let alias = || {
            site.registry
                .state()
                .alias(&Namespace::All, &name("kinyarwanda-current"))
                .unwrap()
                .clone()
        };
        let tally = |controller: u32, well: u64, erred: u64, changed: u64| {
            json!({"space": "all", "alias": "kinyarwanda-current", "changed": changed, "controller": controller,
                "incarnation": 1, "tally": {"new_well": well, "new_erred": erred, "old_well": 500, "old_erred": 0}})
        };
        // An older stage's counts do not touch this one.
        assert_eq!(
            caller.call("tally", tally(1, 0, 90, 4)).await.unwrap(),
            json!({"over": true})
        );
        assert_eq!(
            caller.call("tally", tally(1, 30, 2, 5)).await.unwrap(),
            json!({"over": false})
        );
        assert!(matches!(alias().stage, Some(Stage { per_mille: 100, .. })));
        assert_eq!(
            caller.call("tally", tally(2, 20, 9, 5)).await.unwrap(),
            json!({"over": true})
        );
        assert_eq!((alias().version, alias().stage), (name("v1"), None));
        let told = caller.call("history", json!({"after": 5})).await.unwrap();
        let why = told["entries"][0]["change"]["why"]
            .as_str()
            .unwrap()
            .to_owned();
        assert!(
            why.contains("18.0% of the new version's answers erred"),
            "{why}"
        );
        // The next stage of the same alias begins at nothing, and ends well.
        change(&mut caller, &moves(2, 6, Some(100))).await.unwrap();
        assert_eq!(
            caller.call("tally", tally(1, 99, 1, 7)).await.unwrap(),
            json!({"over": true})
        );
        assert_eq!(
            (alias().version, alias().previous),
            (name("v2"), Some(name("v1")))
        );
    });
}

#[test]
fn a_full_disk_refuses_changes_in_words_and_watchers_go_on() {
    on_paused_time(async {
        let site = Site::up().await;
        let mut caller = site.caller().await;
        change(&mut caller, &push(1)).await.unwrap();
        site.disk.room(Some(site.disk.length()));
        let (code, why) = change(&mut caller, &push(2)).await.unwrap_err();
        assert!(
            code == saltdrum_registry::service::DISK_FAILURE && why.contains("no space left"),
            "{code} {why}"
        );
        let told = caller.call("status", json!({})).await.unwrap();
        assert_eq!(
            (&told["revision"], &told["writable"]),
            (&json!(2), &json!(false))
        );
        // One that comes new is told the state as it was acknowledged.
        let (seen, task) = watch(site.following("late"), site.network.clone());
        ms(50).await;
        assert_eq!(seen.borrow().heads.last().unwrap().revision(), 2);
        site.disk.room(None);
        change(&mut caller, &push(2)).await.unwrap();
        ms(50).await;
        assert_eq!(seen.borrow().heads.last().unwrap().revision(), 3);
        task.abort();
    });
}
