//! What the registry costs: fixing a version, changes a second beside the embedded store's own commits, coming back with
//! 100,000 versions, and the way of a move to 100 watchers on Unix sockets.
//!
//!     cargo run --release -p saltdrum-registry --example cost

#![expect(
    clippy::disallowed_methods,
    reason = "it is this machine's time that is asked for"
)]

use redb::{Database, TableDefinition};
use saltdrum_layers::Digest;
use saltdrum_registry::client::RegistryClient;
use saltdrum_registry::follow::{FollowConfig, RegistryUpdate, follow};
use saltdrum_registry::service::{Registry, create_first_owner};
use saltdrum_registry::state::{Change, Version};
use saltdrum_registry::store::ChangeRequest;
use saltdrum_registry::version_pin::{PinRequest, VersionPins};
use saltdrum_registry::{Name, Namespace, Store};
use saltdrum_transport::{Address, Clock, Network, SocketNetwork};
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};

fn name(text: &str) -> Name {
    text.parse().expect("a plain name")
}

fn push(n: u64) -> Change {
    let version = Version {
        manifest: Digest::of(&n.to_le_bytes()),
        bytes: 1_000,
        memory_mb: 2_400,
        lanes: 6,
        trigger_types: vec!["narrate".into()],
    };
    Change::Push {
        model: name(&format!("model-{}", n % 500)),
        name: name(&format!("v{n}")),
        version,
    }
}

fn moves(n: u64, expect: u64) -> Change {
    let (space, alias, model) = (Namespace::All, name("model-0-current"), name("model-0"));
    Change::Move {
        space,
        alias,
        model,
        version: name(&format!("v{}", n % 2 * 500)),
        expect,
        stage: None,
    }
}

fn asked(change: Change) -> ChangeRequest {
    ChangeRequest {
        who: "cost".into(),
        at_ms: 0,
        change,
    }
}

fn rate(many: u64, work: impl FnOnce()) -> f64 {
    let began = Instant::now();
    work();
    many as f64 / began.elapsed().as_secs_f64()
}

fn main() {
    let folder = tempfile::tempdir().expect("a folder");
    // The embedded store alone: a commit brought to disk for each entry of the same size.
    const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
    const COMMITS: u64 = 400;
    let database = Database::create(folder.path().join("bare.redb")).expect("a database");
    let bytes = vec![7u8; 420];
    let bare = rate(COMMITS, || {
        for n in 0..COMMITS {
            let txn = database.begin_write().expect("a write");
            txn.open_table(LOG)
                .expect("a table")
                .insert(n, bytes.as_slice())
                .expect("an insert");
            txn.commit().expect("a commit");
        }
    });
    let mut store = Store::open_file(&folder.path().join("one.redb")).expect("a store");
    let single = rate(COMMITS, || {
        for n in 0..COMMITS {
            store
                .commit(vec![asked(push(n))])
                .expect("disk")
                .remove(0)
                .expect("taken");
        }
    });
    let mut n = COMMITS;
    let together = rate(COMMITS * 16, || {
        for _ in 0..COMMITS {
            let all = (0..16).map(|k| asked(push(n + k))).collect();
            n += 16;
            store.commit(all).expect("disk");
        }
    });
    println!(
        "changes a second: {single:.0} one a write ({:.2} of the store's {bare:.0} commits), {together:.0} sixteen a write ({:.2})",
        single / bare,
        together / bare
    );

    let path = folder.path().join("large.redb");
    let mut store = Store::open_file(&path).expect("a store");
    let key = create_first_owner(&mut store, &name("anna"), [7; 32], 0).expect("a key");
    for part in 0..100u64 {
        let all = (0..1_000).map(|k| asked(push(part * 1_000 + k))).collect();
        store.commit(all).expect("disk");
    }
    store.commit(vec![asked(moves(0, 0))]).expect("disk");
    let size = std::fs::metadata(&path).map_or(0, |m| m.len());
    drop(store);
    let began = Instant::now();
    let store = Store::open_file(&path).expect("a store");
    println!(
        "coming back with {} versions, {} MB: {:.2} s, the chain checked",
        store.head().state.versions.len(),
        size >> 20,
        began.elapsed().as_secs_f64()
    );

    let state = store.head().state.clone();
    let mut passages = VersionPins::new(3_600_000);
    const FIXES: u64 = 200_000;
    let texts: Vec<String> = (0..FIXES)
        .map(|n| format!("passage-{}", n % 20_000))
        .collect();
    let begins = rate(FIXES, || {
        for text in &texts {
            let said = PinRequest {
                passage: Some(text),
                ..Default::default()
            };
            passages
                .resolve(&state, 0, "hill", "model-0-current", &said)
                .expect("it is there");
        }
    });
    let handed = rate(FIXES, || {
        for text in &texts {
            let said = PinRequest {
                passage: Some(text),
                version: Some("model-0@v0"),
                until_ms: Some(1_000_000),
            };
            passages
                .resolve(&state, 0, "hill", "model-0-current", &said)
                .expect("it is there");
        }
    });
    println!(
        "fixing a version: {:.2} us remembered or begun, {:.2} us handed back",
        1e6 / begins,
        1e6 / handed
    );

    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let network: Rc<dyn Network> = Rc::new(SocketNetwork);
        let at = Address::Unix(
            folder
                .path()
                .join("registry.sock")
                .to_string_lossy()
                .into_owned(),
        );
        let registry = Registry::new(store, None, Rc::new(|| 0));
        let serving = registry.clone();
        let (served, door) = (at.clone(), network.clone());
        spawn_local(async move { serving.serve(door, &served, Clock::start()).await });
        tokio::time::sleep(Duration::from_millis(50)).await;
        let heard: Vec<Rc<Cell<u64>>> = (0..100).map(|_| Rc::default()).collect();
        let began = Instant::now();
        for (n, at_revision) in heard.iter().enumerate() {
            let noted = at_revision.clone();
            let hear = move |heard| {
                if let RegistryUpdate::Changed(head) = heard {
                    noted.set(head.revision());
                }
            };
            let of = FollowConfig {
                registry: at.clone(),
                key: key.clone(),
                follower_name: n.to_string(),
                copy_path: None,
            };
            spawn_local(follow(of, network.clone(), n as u64, hear));
        }
        let all_at = |revision: u64| heard.iter().all(|h| h.get() >= revision);
        while !all_at(100_002) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        println!(
            "100 watchers begin, each told 100,000 versions: {:.1} s",
            began.elapsed().as_secs_f64()
        );
        let mut caller = RegistryClient::connect(&network, &at, &key)
            .await
            .expect("a caller");
        let (mut times, mut expect) = (Vec::new(), 100_002);
        for n in 1..=20 {
            let began = Instant::now();
            let told = caller
                .call("change", json!({ "change": moves(n, expect) }))
                .await
                .expect("moved");
            expect = told["revision"].as_u64().expect("a revision");
            while !all_at(expect) {
                tokio::task::yield_now().await;
            }
            times.push(began.elapsed().as_secs_f64() * 1e3);
        }
        times.sort_by(f64::total_cmp);
        println!(
            "a move to the last of 100 watchers: {:.1} ms median, {:.1} ms most",
            times[10], times[19]
        );
    });
}
