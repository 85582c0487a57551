//! The registry's service with clients and watchers, in virtual time.

use crate::support::disk::Disk;
use crate::support::{move_alias, name, push};
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
    address: Address,
    key: String,
    task: Option<JoinHandle<()>>,
    registry: Rc<Registry>,
    disk: Disk,
}

fn virtual_wall_clock() -> Rc<dyn Fn() -> u64> {
    let clock = Clock::start();
    Rc::new(move || clock.now() / 10)
}

impl Site {
    async fn start_new() -> Self {
        let disk = Disk::default();
        let mut store = Store::open("disk".into(), disk.open_database()).unwrap();
        let key = create_first_owner(&mut store, &name("anna"), [7; 32], 0).unwrap();
        let network: Rc<dyn Network> = Rc::new(MemoryNetwork::default());
        let address = Address::Memory("registry".into());
        let registry = Registry::new(store, None, virtual_wall_clock());
        let mut site = Site {
            network,
            address,
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
            self.registry = Registry::new(store, None, virtual_wall_clock());
        }
        let (listener, _) = self.network.listen(&self.address).await.unwrap();
        let registry = self.registry.clone();
        self.task = Some(spawn_local(async move {
            registry.accept_connections(listener, Clock::start()).await
        }));
    }

    /// Kills the registry as by a power cut: connections break, and unsynced writes are lost. Returns the disk.
    async fn kill(&mut self) -> Disk {
        let task = self.task.take().unwrap();
        task.abort();
        let _ = task.await;
        self.disk.after_power_cut(&mut fastrand::Rng::with_seed(5))
    }

    async fn client(&self) -> RegistryClient {
        RegistryClient::connect(&self.network, &self.address, &self.key)
            .await
            .unwrap()
    }

    fn follow_config(&self, follower_name: &str) -> FollowConfig {
        FollowConfig {
            registry: self.address.clone(),
            key: self.key.clone(),
            follower_name: follower_name.into(),
            copy_path: None,
        }
    }
}

async fn submit(client: &mut RegistryClient, change: &Change) -> Result<u64, (i64, String)> {
    match client.call("change", json!({ "change": change })).await {
        Ok(response) => Ok(response["revision"].as_u64().unwrap()),
        Err(ClientError::Response { code, message }) => Err((code, message)),
        Err(e) => panic!("{e}"),
    }
}

#[derive(Default)]
struct Seen {
    heads: Vec<Head>,
    rejections: Vec<String>,
    heartbeats: u64,
}

fn watch(config: FollowConfig, network: Rc<dyn Network>) -> (Rc<RefCell<Seen>>, JoinHandle<()>) {
    let seen = Rc::new(RefCell::new(Seen::default()));
    let recorded = seen.clone();
    let on_update = move |update| {
        let mut seen = recorded.borrow_mut();
        match update {
            RegistryUpdate::Changed(head) => seen.heads.push(head),
            RegistryUpdate::Unchanged => seen.heartbeats += 1,
            RegistryUpdate::Rejected(why) => seen.rejections.push(why),
        }
    };
    (seen, spawn_local(follow(config, network, 1, on_update)))
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

fn assert_revisions_increase(seen: &Seen) {
    let revisions: Vec<u64> = seen.heads.iter().map(Head::revision).collect();
    assert!(revisions.windows(2).all(|w| w[0] < w[1]), "{revisions:?}");
}

#[test]
fn watcher_receives_each_change_once_after_an_outage() {
    on_paused_time(async {
        let mut site = Site::start_new().await;
        let (seen, task) = watch(site.follow_config("box-1"), site.network.clone());
        let mut client = site.client().await;
        submit(&mut client, &push(0)).await.unwrap();
        sleep_ms(50).await;
        assert_eq!(seen.borrow().heads.last().unwrap().revision(), 2);
        // The registry is unreachable for 30 s, during which 50 changes are committed.
        let disk = site.kill().await;
        let mut store = Store::open("disk".into(), disk.open_database()).unwrap();
        site.disk = disk;
        let request = |number| saltdrum_registry::store::ChangeRequest {
            who: "anna".into(),
            at_ms: 0,
            change: push(number),
        };
        store.commit((1..=50).map(request).collect()).unwrap();
        sleep_ms(30_000).await;
        assert_eq!(
            seen.borrow().heads.last().unwrap().revision(),
            2,
            "the watcher must keep its state"
        );
        site.start(Some(store)).await;
        sleep_ms(10_000).await;
        assert_revisions_increase(&seen.borrow());
        let heads = seen.borrow().heads.clone();
        let last: Vec<u64> = heads.iter().rev().take(50).map(Head::revision).collect();
        assert_eq!(
            last,
            (3..=52).rev().collect::<Vec<_>>(),
            "no change may be missed or repeated"
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
    let status = site.client().await.call("status", json!({})).await.unwrap();
    status["hash"].as_str().unwrap().to_owned()
}

#[test]
fn acknowledged_changes_survive_kills_under_concurrent_callers() {
    on_paused_time(async {
        let mut site = Site::start_new().await;
        let mut watchers = Vec::new();
        for n in 0..20 {
            watchers.push(watch(
                site.follow_config(&format!("box-{n}")),
                site.network.clone(),
            ));
        }
        let (mut acknowledged, mut attempts) = (0, 0u64);
        for incarnation in 0..12 {
            let clients = (0..4).map(|number| {
                let (network, address, key) =
                    (site.network.clone(), site.address.clone(), site.key.clone());
                spawn_local(async move {
                    let mut client = RegistryClient::connect(&network, &address, &key)
                        .await
                        .unwrap();
                    let mut acknowledged = 0;
                    for n in 0..10 {
                        let request =
                            json!({ "change": push(incarnation * 100 + number * 10 + n) });
                        match client.call("change", request).await {
                            Ok(_) => acknowledged += 1,
                            Err(_) => break,
                        }
                    }
                    acknowledged
                })
            });
            let clients: Vec<_> = clients.collect();
            // The disk fails while changes are in flight, at another operation for each incarnation.
            let fails_from = site.disk.operations() + 8 + incarnation * 7;
            site.disk.fail_from(Some(fails_from));
            for client in clients {
                acknowledged += client.await.unwrap();
                attempts += 10;
            }
            let disk = site.kill().await;
            let store = Store::open("disk".into(), disk.open_database()).unwrap();
            assert!(
                store.head().state.versions.len() as u64 >= acknowledged,
                "incarnation {incarnation}: {acknowledged} changes were acknowledged"
            );
            site.disk = disk;
            site.start(Some(store)).await;
            sleep_ms(15_000).await;
        }
        let state = site.registry.state();
        assert!(
            acknowledged > 20 && acknowledged < attempts,
            "{acknowledged} of {attempts} were acknowledged: the kills must interrupt some"
        );
        for (seen, task) in &watchers {
            assert_revisions_increase(&seen.borrow());
            assert_eq!(seen.borrow().heads.last().unwrap().state, state);
            assert!(
                seen.borrow().rejections.is_empty(),
                "{:?}",
                seen.borrow().rejections
            );
            task.abort();
        }
    });
}

#[test]
fn local_copy_serves_without_the_registry_and_rejects_an_older_one() {
    on_paused_time(async {
        let folder = tempfile::tempdir().unwrap();
        let copy = folder.path().join("registry.copy");
        let mut site = Site::start_new().await;
        let mut client = site.client().await;
        let old = site.disk.after_power_cut(&mut fastrand::Rng::with_seed(1));
        for n in 0..8 {
            submit(&mut client, &push(n)).await.unwrap();
        }
        let config = FollowConfig {
            copy_path: Some(copy.clone()),
            ..site.follow_config("box")
        };
        let (seen, task) = watch(config.clone(), site.network.clone());
        sleep_ms(100).await;
        submit(&mut client, &push(8)).await.unwrap();
        sleep_ms(100).await;
        let known = seen.borrow().heads.last().unwrap().clone();
        assert_eq!(known.revision(), 10);
        task.abort();
        site.kill().await;
        // Without a registry, the follower starts at the revision of its copy.
        let (seen, task) = watch(config.clone(), site.network.clone());
        sleep_ms(1).await;
        assert_eq!(seen.borrow().heads, vec![known.clone()]);
        // A registry that has only the first change is rejected, with a reason.
        site.start(Some(
            Store::open("disk".into(), old.open_database()).unwrap(),
        ))
        .await;
        sleep_ms(10_000).await;
        assert_eq!(seen.borrow().heads, vec![known.clone()]);
        let why = seen.borrow().rejections.last().unwrap().clone();
        assert!(
            why.contains("revision 1, revision 10 was obeyed here") && why.contains("older backup"),
            "{why}"
        );
        let status = site.client().await.call("status", json!({})).await.unwrap();
        assert_eq!(
            status["followers"],
            json!([{"who": "box", "revision": 1, "refused": true, "behind": 0}])
        );
        task.abort();
        // An incomplete last line, as after a power cut, was never applied and is ignored.
        let mut bytes = std::fs::read(&copy).unwrap();
        let length = bytes.len();
        bytes.extend_from_slice(b"{\"revision\":11,\"at_ms\"");
        std::fs::write(&copy, &bytes).unwrap();
        assert_eq!(LocalCopy::read(&copy).unwrap().unwrap(), known);
        // A corrupted copy is rejected, and no state is used in its place.
        bytes.truncate(length);
        bytes[length / 2] ^= 1;
        std::fs::write(&copy, &bytes).unwrap();
        let (seen, task) = watch(config, site.network.clone());
        sleep_ms(5_000).await;
        assert!(seen.borrow().heads.is_empty());
        assert!(
            seen.borrow().rejections[0].contains("registry.copy: line"),
            "{:?}",
            seen.borrow().rejections
        );
        task.abort();
    });
}

#[test]
fn watchers_receive_a_move_promptly_and_heartbeats_when_idle() {
    on_paused_time(async {
        let site = Site::start_new().await;
        let watchers: Vec<_> = (0..100)
            .map(|n| {
                watch(
                    site.follow_config(&format!("box-{n}")),
                    site.network.clone(),
                )
            })
            .collect();
        let mut client = site.client().await;
        for change in [push(1), push(2), move_alias(1, 0, None)] {
            submit(&mut client, &change).await.unwrap();
        }
        sleep_ms(5).await;
        submit(&mut client, &move_alias(2, 4, None)).await.unwrap();
        sleep_ms(1).await;
        for (seen, _) in &watchers {
            assert_eq!(seen.borrow().heads.last().unwrap().revision(), 5);
        }
        sleep_ms(20_000).await;
        for (seen, task) in &watchers {
            assert!(
                seen.borrow().heartbeats >= 18,
                "{}",
                seen.borrow().heartbeats
            );
            task.abort();
        }
    });
}

#[test]
fn invalid_and_unauthorized_calls_are_rejected_without_a_change() {
    on_paused_time(async {
        let site = Site::start_new().await;
        let mut owner = site.client().await;
        let (reader, hash) = keys::generate(&name("box"), [9; 32]);
        submit(
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
        let wrong = RegistryClient::connect(&site.network, &site.address, "anna.00").await;
        assert!(matches!(
            wrong,
            Err(ClientError::Response {
                code: ACCESS_DENIED,
                ..
            })
        ));
        let mut client = RegistryClient::connect(&site.network, &site.address, &reader)
            .await
            .unwrap();
        let (code, message) = submit(&mut client, &push(1)).await.unwrap_err();
        assert_eq!(code, ACCESS_DENIED);
        assert!(message.contains("Publisher is needed"), "{message}");
        let calls = [
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
                json!({"change": move_alias(1, 99, None)}),
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
        for (method, params, why) in calls {
            let error = owner.call(method, params).await.unwrap_err().to_string();
            assert!(error.contains(why), "{method}: {error}");
        }
        assert_eq!(site.registry.state(), before);
        // A key that is withdrawn loses access on an open connection.
        assert!(client.call("status", json!({})).await.is_ok());
        submit(&mut owner, &Change::WithdrawKey { id: name("box") })
            .await
            .unwrap();
        let error = client.call("status", json!({})).await.unwrap_err();
        assert!(
            matches!(
                error,
                ClientError::Response {
                    code: ACCESS_DENIED,
                    ..
                }
            ),
            "{error}"
        );
    });
}

#[test]
fn concurrent_moves_of_an_alias_never_overwrite_each_other() {
    on_paused_time(async {
        let site = Site::start_new().await;
        let mut client = site.client().await;
        for change in [push(1), push(2), move_alias(1, 0, None)] {
            submit(&mut client, &change).await.unwrap();
        }
        let rejected = Rc::new(Cell::new(0));
        let movers = [1, 2].map(|to| {
            let (network, address, key, rejected) = (
                site.network.clone(),
                site.address.clone(),
                site.key.clone(),
                rejected.clone(),
            );
            spawn_local(async move {
                let mut client = RegistryClient::connect(&network, &address, &key)
                    .await
                    .unwrap();
                for _ in 0..50 {
                    loop {
                        let state: Json = client.call("show", json!({})).await.unwrap();
                        let expect = state["aliases"][0]["is"]["changed"].as_u64().unwrap();
                        match submit(&mut client, &move_alias(to, expect, None)).await {
                            Ok(_) => break,
                            Err((REJECTED, why)) => {
                                assert!(why.contains("someone else moved it"), "{why}")
                            }
                            Err(e) => panic!("{e:?}"),
                        }
                        rejected.set(rejected.get() + 1);
                    }
                }
            })
        });
        for mover in movers {
            mover.await.unwrap();
        }
        assert_eq!(site.registry.state().revision, 104);
        assert!(
            rejected.get() > 10,
            "{} moves were rejected: the administrators did not conflict",
            rejected.get()
        );
    });
}

#[test]
fn staged_rollout_ends_by_the_results_that_controllers_report() {
    on_paused_time(async {
        let site = Site::start_new().await;
        let mut client = site.client().await;
        for change in [
            push(1),
            push(2),
            move_alias(1, 0, None),
            move_alias(2, 4, Some(100)),
        ] {
            submit(&mut client, &change).await.unwrap();
        }
        let alias = || {
            site.registry
                .state()
                .alias(&Namespace::All, &name("kinyarwanda-current"))
                .unwrap()
                .clone()
        };
        let tally = |controller: u32, succeeded: u64, failed: u64, revision: u64| {
            json!({"space": "all", "alias": "kinyarwanda-current", "changed": revision, "controller": controller,
                "incarnation": 1, "tally": {"new_well": succeeded, "new_erred": failed, "old_well": 500, "old_erred": 0}})
        };
        // Results of an earlier rollout are ignored.
        assert_eq!(
            client.call("tally", tally(1, 0, 90, 4)).await.unwrap(),
            json!({"over": true})
        );
        assert_eq!(
            client.call("tally", tally(1, 30, 2, 5)).await.unwrap(),
            json!({"over": false})
        );
        assert!(matches!(alias().stage, Some(Stage { per_mille: 100, .. })));
        assert_eq!(
            client.call("tally", tally(2, 20, 9, 5)).await.unwrap(),
            json!({"over": true})
        );
        assert_eq!((alias().version, alias().stage), (name("v1"), None));
        let history = client.call("history", json!({"after": 5})).await.unwrap();
        let why = history["entries"][0]["change"]["why"]
            .as_str()
            .unwrap()
            .to_owned();
        assert!(
            why.contains("18.0% of the new version's answers erred"),
            "{why}"
        );
        // The next rollout of the same alias starts without results, and completes.
        submit(&mut client, &move_alias(2, 6, Some(100)))
            .await
            .unwrap();
        assert_eq!(
            client.call("tally", tally(1, 99, 1, 7)).await.unwrap(),
            json!({"over": true})
        );
        assert_eq!(
            (alias().version, alias().previous),
            (name("v2"), Some(name("v1")))
        );
    });
}

#[test]
fn full_disk_rejects_changes_with_a_reason_and_watchers_are_served() {
    on_paused_time(async {
        let site = Site::start_new().await;
        let mut client = site.client().await;
        submit(&mut client, &push(1)).await.unwrap();
        site.disk.limit_capacity(Some(site.disk.length()));
        let (code, why) = submit(&mut client, &push(2)).await.unwrap_err();
        assert!(
            code == saltdrum_registry::service::DISK_FAILURE && why.contains("no space left"),
            "{code} {why}"
        );
        let status = client.call("status", json!({})).await.unwrap();
        assert_eq!(
            (&status["revision"], &status["writable"]),
            (&json!(2), &json!(false))
        );
        // A new watcher receives the acknowledged state.
        let (seen, task) = watch(site.follow_config("late"), site.network.clone());
        sleep_ms(50).await;
        assert_eq!(seen.borrow().heads.last().unwrap().revision(), 2);
        site.disk.limit_capacity(None);
        submit(&mut client, &push(2)).await.unwrap();
        sleep_ms(50).await;
        assert_eq!(seen.borrow().heads.last().unwrap().revision(), 3);
        task.abort();
    });
}
