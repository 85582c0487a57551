//! Fleets of agents and one store, over HTTP on in-memory streams under a paused clock; one fleet on sockets.

use saltdrum_agent::{Agent, AgentConfig, LoadError, Peer};
use saltdrum_fakes::OciRegistry;
use saltdrum_layers::cache::{Cache, RealDisk};
use saltdrum_layers::plan::Member;
use saltdrum_transport::{Address, Clock, MemoryNetwork, Network, SocketNetwork};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::Instant;

fn model(seed: u64, bytes: usize) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(seed);
    (0..bytes).map(|_| rng.u8(..)).collect()
}

struct Fleet {
    network: Rc<dyn Network>,
    clock: Clock,
    folder: tempfile::TempDir,
    registry: Rc<OciRegistry>,
    store: Address,
    agents: Vec<(Rc<Agent>, JoinHandle<()>)>,
    peers: Vec<Peer>,
    cache_bytes: u64,
}

impl Fleet {
    async fn up(
        network: Rc<dyn Network>,
        n: u32,
        cache_bytes: u64,
        any: fn(u32) -> Address,
    ) -> Self {
        let registry = OciRegistry::new(64, 5);
        let store = registry.open(&*network, &any(0)).await.unwrap();
        let folder = tempfile::tempdir().unwrap();
        let clock = Clock::start();
        let mut fleet = Self {
            network,
            clock,
            folder,
            registry,
            store,
            agents: vec![],
            peers: vec![],
            cache_bytes,
        };
        for me in 1..=n {
            let (agent, serving, address) = fleet.agent(me, &any(me)).await;
            let member = Member {
                invoker: me,
                size: 1.0,
                capacity_share: 1.0,
                ready: true,
            };
            fleet.peers.push(Peer { member, address });
            fleet.agents.push((agent, serving));
        }
        fleet
            .agents
            .iter()
            .for_each(|(a, _)| a.update_peers(&fleet.peers));
        fleet
    }

    async fn agent(&self, me: u32, at: &Address) -> (Rc<Agent>, JoinHandle<()>, Address) {
        let folder = self.folder.path().join(me.to_string());
        let cache = Cache::open(&folder, self.cache_bytes, Rc::new(RealDisk)).unwrap();
        let seat = AgentConfig {
            invoker: me,
            seed: me.into(),
            store: self.store.clone(),
            serve_bytes_per_second: 200e6,
        };
        let agent = Agent::new(seat, cache, self.network.clone(), self.clock);
        let (door, address) = self.network.listen(at).await.unwrap();
        (agent.clone(), spawn_local(agent.serve(door)), address)
    }

    /// All load it at about the same time; gives when the last had it.
    async fn herd(&self, reference: &'static str) -> Duration {
        let began = Instant::now();
        let loads: Vec<_> = self
            .agents
            .iter()
            .map(|(a, _)| {
                let a = a.clone();
                spawn_local(async move {
                    a.load("voices/kinyarwanda", reference)
                        .await
                        .map(|l| whole(&l))
                })
            })
            .collect();
        for load in loads {
            load.await.unwrap().unwrap();
        }
        began.elapsed()
    }

    fn requests_a_chunk(&self) -> f64 {
        let requests = self.registry.requests.borrow();
        f64::from(requests.values().sum::<u32>()) / requests.len() as f64
    }

    fn damaged(&self) -> u64 {
        self.agents
            .iter()
            .map(|(a, _)| a.counts.damaged.get())
            .sum()
    }
}

/// Puts it together and gives its digest, so that nothing but the right bytes passes.
fn whole(loaded: &saltdrum_agent::LoadedModel) -> saltdrum_layers::Digest {
    let bytes: Vec<u8> = loaded
        .manifest
        .chunks
        .iter()
        .flat_map(|c| loaded.read(c).expect("it is here"))
        .collect();
    saltdrum_layers::Digest::of(&bytes)
}

fn memory(n: u32) -> Address {
    Address::Memory(format!("agent-{n}"))
}

fn virtually(play: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, play);
}

async fn fleet(n: u32, cache_bytes: u64) -> Fleet {
    Fleet::up(Rc::new(MemoryNetwork::default()), n, cache_bytes, memory).await
}

const MODEL: usize = 12 << 20;

#[test]
fn twelve_that_want_one_model_ask_the_store_about_once_a_chunk() {
    virtually(async {
        let f = fleet(12, 1 << 30).await;
        let manifest = f
            .registry
            .push("voices/kinyarwanda", "current", &model(1, MODEL))
            .unwrap();
        f.herd("current").await;
        assert!(f.requests_a_chunk() <= 1.2, "{}", f.requests_a_chunk());
        let alone = 12 * manifest.stored_bytes();
        assert!(
            f.registry.bytes_sent.get() * 10 < alone,
            "{} of {alone}",
            f.registry.bytes_sent.get()
        );
        // A second version that shares most.
        let mut second = model(1, MODEL);
        second.splice(5_000_000..5_010_000, model(2, 20_000));
        f.registry
            .push("voices/kinyarwanda", "next", &second)
            .unwrap();
        let before = f.registry.bytes_sent.get();
        f.herd("next").await;
        let fetched = f.registry.bytes_sent.get() - before;
        assert!(
            fetched * 5 < manifest.stored_bytes(),
            "{fetched} of {}",
            manifest.stored_bytes()
        );
    });
}

#[test]
fn a_store_that_refuses_cuts_stalls_and_lies_stops_nobody() {
    virtually(async {
        let f = fleet(8, 1 << 30).await;
        f.registry
            .push("voices/kinyarwanda", "current", &model(3, MODEL))
            .unwrap();
        {
            let faults = &mut *f.registry.faults.borrow_mut();
            (
                faults.refuse_share,
                faults.cut_share,
                faults.stall_share,
                faults.wrong_length_share,
            ) = (0.4, 0.1, 0.05, 0.1);
        }
        let took = f.herd("current").await;
        assert!(
            f.registry.refused.get() > 3 && took < Duration::from_secs(60),
            "{took:?}"
        );
    });
}

/// Never silent for long, and never done: the ask is given up, and the next one meets a store that is well.
#[test]
fn a_store_that_trickles_holds_nobody_for_long() {
    virtually(async {
        let f = fleet(5, 1 << 30).await;
        f.registry
            .push("voices/kinyarwanda", "current", &model(8, MODEL))
            .unwrap();
        f.registry.faults.borrow_mut().trickle_share = 0.3;
        let took = f.herd("current").await;
        assert!(
            took > Duration::from_secs(9) && took < Duration::from_secs(60),
            "{took:?}"
        );
    });
}

#[test]
fn damage_at_the_store_at_a_home_and_on_disk_is_never_used() {
    virtually(async {
        let f = fleet(6, 1 << 30).await;
        let bytes = model(4, MODEL);
        let manifest = f
            .registry
            .push("voices/kinyarwanda", "current", &bytes)
            .unwrap();
        let bad = manifest.chunks[2].digest;
        f.registry.faults.borrow_mut().damaged.insert(bad);
        let (a, _) = &f.agents[0];
        let given_up = tokio::time::timeout(
            Duration::from_secs(8),
            a.load("voices/kinyarwanda", "current"),
        )
        .await;
        let told = given_up
            .expect("it is told within seconds")
            .err()
            .expect("it can't be had");
        assert!(
            matches!(&told, saltdrum_agent::LoadError::Corrupt { chunk, .. } if *chunk == bad),
            "{told}"
        );
        assert!(f.damaged() >= 1 && f.agents.iter().all(|(a, _)| !a.cache.holds(&bad)));
        f.registry.faults.borrow_mut().damaged.clear();
        f.herd("current").await;
        // On disk, at one who then is asked to load again.
        let path = f
            .folder
            .path()
            .join("1/chunks")
            .join(manifest.chunks[0].digest.hex());
        let mut bent = std::fs::read(&path).unwrap();
        bent[9] ^= 1;
        std::fs::write(&path, bent).unwrap();
        let loaded = a.load("voices/kinyarwanda", "current").await.unwrap();
        assert_eq!(whole(&loaded), saltdrum_layers::Digest::of(&bytes));
        assert_eq!(a.cache.counts.damaged.get(), 1);
    });
}

#[test]
fn homes_that_die_in_mid_transfer_are_gone_round_and_come_back_with_what_they_had() {
    virtually(async {
        let mut f = fleet(9, 1 << 30).await;
        f.registry
            .push("voices/kinyarwanda", "current", &model(5, MODEL))
            .unwrap();
        let loads: Vec<_> = f.agents[3..]
            .iter()
            .map(|(a, _)| {
                let a = a.clone();
                spawn_local(async move {
                    a.load("voices/kinyarwanda", "current")
                        .await
                        .map(|l| whole(&l))
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(60)).await;
        for (agent, serving) in f.agents.drain(..3) {
            serving.abort();
            drop(agent);
        }
        for load in loads {
            load.await.unwrap().unwrap();
        }
        let peers = f.peers.clone();
        for me in 1..=3 {
            let (agent, serving, _) = f.agent(me, &memory(me)).await;
            agent.update_peers(&peers);
            f.agents.push((agent, serving));
        }
        let before = f.registry.bytes_sent.get();
        f.herd("current").await;
        let refetched = f.registry.bytes_sent.get() - before;
        assert!(
            refetched * 20 < MODEL as u64 * 3,
            "{refetched} bytes from the store again"
        );
    });
}

#[test]
fn a_cache_far_too_small_works_from_memory_and_lets_go_of_it() {
    virtually(async {
        let f = fleet(3, 2 << 20).await;
        let bytes = model(6, MODEL);
        f.registry
            .push("voices/kinyarwanda", "current", &bytes)
            .unwrap();
        let (a, _) = &f.agents[0];
        let loaded = a.load("voices/kinyarwanda", "current").await.unwrap();
        assert_eq!(whole(&loaded), saltdrum_layers::Digest::of(&bytes));
        assert!(a.unkept_bytes() > 8 << 20 && a.cache.bytes() <= 2 << 20);
        drop(loaded);
        assert_eq!(a.unkept_bytes(), 0);
    });
}

#[test]
fn what_is_wrong_with_a_manifest_is_said_at_once() {
    virtually(async {
        let f = fleet(1, 1 << 30).await;
        let (a, _) = &f.agents[0];
        let fault = a.load("voices/none", "current").await.err().unwrap();
        assert_eq!(
            fault,
            LoadError::Unknown {
                model: "voices/none:current".into()
            }
        );
        f.registry.push_manifest(
            "voices/kinyarwanda",
            "bent",
            b"{\"schemaVersion\":2}".to_vec(),
        );
        let fault = a
            .load("voices/kinyarwanda", "bent")
            .await
            .err()
            .unwrap()
            .to_string();
        assert!(
            fault.starts_with("model voices/kinyarwanda:bent: manifest: missing field"),
            "{fault}"
        );
        f.registry
            .push_manifest("voices/kinyarwanda", "huge", vec![b'7'; 5 << 20]);
        let fault = a
            .load("voices/kinyarwanda", "huge")
            .await
            .err()
            .unwrap()
            .to_string();
        assert!(fault.contains("a body of more than the stated"), "{fault}");
    });
}

#[test]
fn a_fleet_on_sockets() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let any = |_| Address::Tcp("127.0.0.1:0".into());
        let f = Fleet::up(Rc::new(SocketNetwork), 6, 1 << 30, any).await;
        f.registry
            .push("voices/kinyarwanda", "current", &model(7, 4 << 20))
            .unwrap();
        f.herd("current").await;
        assert!(f.requests_a_chunk() < 2.0, "{}", f.requests_a_chunk());
    });
}
