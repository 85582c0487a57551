//! Fleets of agents with one store: HTTP over in-memory streams under a paused clock, and one test over TCP.

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
    async fn start(
        network: Rc<dyn Network>,
        n: u32,
        cache_bytes: u64,
        address: fn(u32) -> Address,
    ) -> Self {
        let registry = OciRegistry::new(64, 5);
        let store = registry.open(&*network, &address(0)).await.unwrap();
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
            let (agent, serving, address) = fleet.agent(me, &address(me)).await;
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
        let config = AgentConfig {
            invoker: me,
            seed: me.into(),
            store: self.store.clone(),
            serve_bytes_per_second: 200e6,
        };
        let agent = Agent::new(config, cache, self.network.clone(), self.clock);
        let (listener, address) = self.network.listen(at).await.unwrap();
        (agent.clone(), spawn_local(agent.serve(listener)), address)
    }

    /// Starts the load on all agents at once. Returns the time until the last one has completed.
    async fn load_on_all(&self, reference: &'static str) -> Duration {
        let began = Instant::now();
        let loads: Vec<_> = self
            .agents
            .iter()
            .map(|(a, _)| {
                let agent = a.clone();
                spawn_local(async move {
                    agent
                        .load("voices/kinyarwanda", reference)
                        .await
                        .map(|l| model_digest(&l))
                })
            })
            .collect();
        for load in loads {
            load.await.unwrap().unwrap();
        }
        began.elapsed()
    }

    fn requests_per_chunk(&self) -> f64 {
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

/// Digest of the whole unpacked model, so that only the exact bytes pass.
fn model_digest(loaded: &saltdrum_agent::LoadedModel) -> saltdrum_layers::Digest {
    let bytes: Vec<u8> = loaded
        .manifest
        .chunks
        .iter()
        .flat_map(|c| loaded.read(c).expect("loaded chunks are available"))
        .collect();
    saltdrum_layers::Digest::of(&bytes)
}

fn memory(n: u32) -> Address {
    Address::Memory(format!("agent-{n}"))
}

fn run_with_paused_clock(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn start_fleet(n: u32, cache_bytes: u64) -> Fleet {
    Fleet::start(Rc::new(MemoryNetwork::default()), n, cache_bytes, memory).await
}

const MODEL_BYTES: usize = 12 << 20;

#[test]
fn twelve_agents_fetch_each_chunk_from_the_store_about_once() {
    run_with_paused_clock(async {
        let fleet = start_fleet(12, 1 << 30).await;
        let manifest = fleet
            .registry
            .push("voices/kinyarwanda", "current", &model(1, MODEL_BYTES))
            .unwrap();
        fleet.load_on_all("current").await;
        assert!(
            fleet.requests_per_chunk() <= 1.2,
            "{}",
            fleet.requests_per_chunk()
        );
        let alone = 12 * manifest.stored_bytes();
        assert!(
            fleet.registry.bytes_sent.get() * 10 < alone,
            "{} of {alone}",
            fleet.registry.bytes_sent.get()
        );
        // A second version that shares most chunks.
        let mut second = model(1, MODEL_BYTES);
        second.splice(5_000_000..5_010_000, model(2, 20_000));
        fleet
            .registry
            .push("voices/kinyarwanda", "next", &second)
            .unwrap();
        let before = fleet.registry.bytes_sent.get();
        fleet.load_on_all("next").await;
        let fetched = fleet.registry.bytes_sent.get() - before;
        assert!(
            fetched * 5 < manifest.stored_bytes(),
            "{fetched} of {}",
            manifest.stored_bytes()
        );
    });
}

#[test]
fn loads_complete_despite_a_store_that_refuses_disconnects_stalls_and_sends_wrong_lengths() {
    run_with_paused_clock(async {
        let fleet = start_fleet(8, 1 << 30).await;
        fleet
            .registry
            .push("voices/kinyarwanda", "current", &model(3, MODEL_BYTES))
            .unwrap();
        {
            let faults = &mut *fleet.registry.faults.borrow_mut();
            (
                faults.refuse_share,
                faults.cut_share,
                faults.stall_share,
                faults.wrong_length_share,
            ) = (0.4, 0.1, 0.05, 0.1);
        }
        let elapsed = fleet.load_on_all("current").await;
        assert!(
            fleet.registry.refused.get() > 3 && elapsed < Duration::from_secs(60),
            "{elapsed:?}"
        );
    });
}

/// A response that trickles never reaches the idle timeout and never ends: the request times out and is retried.
#[test]
fn trickled_response_times_out_and_is_retried() {
    run_with_paused_clock(async {
        let fleet = start_fleet(5, 1 << 30).await;
        fleet
            .registry
            .push("voices/kinyarwanda", "current", &model(8, MODEL_BYTES))
            .unwrap();
        fleet.registry.faults.borrow_mut().trickle_share = 0.3;
        let elapsed = fleet.load_on_all("current").await;
        assert!(
            elapsed > Duration::from_secs(9) && elapsed < Duration::from_secs(60),
            "{elapsed:?}"
        );
    });
}

#[test]
fn corrupt_chunks_from_store_home_or_disk_are_never_used() {
    run_with_paused_clock(async {
        let fleet = start_fleet(6, 1 << 30).await;
        let bytes = model(4, MODEL_BYTES);
        let manifest = fleet
            .registry
            .push("voices/kinyarwanda", "current", &bytes)
            .unwrap();
        let corrupt = manifest.chunks[2].digest;
        fleet.registry.faults.borrow_mut().damaged.insert(corrupt);
        let (first, _) = &fleet.agents[0];
        let result = tokio::time::timeout(
            Duration::from_secs(8),
            first.load("voices/kinyarwanda", "current"),
        )
        .await;
        let error = result
            .expect("the load fails within seconds")
            .err()
            .expect("a corrupt chunk can't be loaded");
        assert!(
            matches!(&error, saltdrum_agent::LoadError::Corrupt { chunk, .. } if *chunk == corrupt),
            "{error}"
        );
        assert!(
            fleet.damaged() >= 1
                && fleet
                    .agents
                    .iter()
                    .all(|(a, _)| !a.cache.contains(&corrupt))
        );
        fleet.registry.faults.borrow_mut().damaged.clear();
        fleet.load_on_all("current").await;
        // Corrupt on disk, on an agent that then loads the model again.
        let path = fleet
            .folder
            .path()
            .join("1/chunks")
            .join(manifest.chunks[0].digest.hex());
        let mut corrupted = std::fs::read(&path).unwrap();
        corrupted[9] ^= 1;
        std::fs::write(&path, corrupted).unwrap();
        let loaded = first.load("voices/kinyarwanda", "current").await.unwrap();
        assert_eq!(model_digest(&loaded), saltdrum_layers::Digest::of(&bytes));
        assert_eq!(first.cache.counts.damaged.get(), 1);
    });
}

#[test]
fn homes_killed_during_transfers_are_bypassed_and_restart_with_their_cache() {
    run_with_paused_clock(async {
        let mut fleet = start_fleet(9, 1 << 30).await;
        fleet
            .registry
            .push("voices/kinyarwanda", "current", &model(5, MODEL_BYTES))
            .unwrap();
        let loads: Vec<_> = fleet.agents[3..]
            .iter()
            .map(|(a, _)| {
                let agent = a.clone();
                spawn_local(async move {
                    agent
                        .load("voices/kinyarwanda", "current")
                        .await
                        .map(|l| model_digest(&l))
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(60)).await;
        for (agent, serving) in fleet.agents.drain(..3) {
            serving.abort();
            drop(agent);
        }
        for load in loads {
            load.await.unwrap().unwrap();
        }
        let peers = fleet.peers.clone();
        for me in 1..=3 {
            let (agent, serving, _) = fleet.agent(me, &memory(me)).await;
            agent.update_peers(&peers);
            fleet.agents.push((agent, serving));
        }
        let before = fleet.registry.bytes_sent.get();
        fleet.load_on_all("current").await;
        let refetched = fleet.registry.bytes_sent.get() - before;
        assert!(
            refetched * 20 < MODEL_BYTES as u64 * 3,
            "{refetched} bytes from the store again"
        );
    });
}

#[test]
fn chunks_beyond_a_small_cache_are_held_in_memory_until_the_model_is_dropped() {
    run_with_paused_clock(async {
        let fleet = start_fleet(3, 2 << 20).await;
        let bytes = model(6, MODEL_BYTES);
        fleet
            .registry
            .push("voices/kinyarwanda", "current", &bytes)
            .unwrap();
        let (first, _) = &fleet.agents[0];
        let loaded = first.load("voices/kinyarwanda", "current").await.unwrap();
        assert_eq!(model_digest(&loaded), saltdrum_layers::Digest::of(&bytes));
        assert!(first.uncached_bytes() > 8 << 20 && first.cache.bytes() <= 2 << 20);
        drop(loaded);
        assert_eq!(first.uncached_bytes(), 0);
    });
}

#[test]
fn manifest_errors_are_reported_with_the_reason() {
    run_with_paused_clock(async {
        let fleet = start_fleet(1, 1 << 30).await;
        let (first, _) = &fleet.agents[0];
        let error = first.load("voices/none", "current").await.err().unwrap();
        assert_eq!(
            error,
            LoadError::Unknown {
                model: "voices/none:current".into()
            }
        );
        fleet.registry.push_manifest(
            "voices/kinyarwanda",
            "bent",
            b"{\"schemaVersion\":2}".to_vec(),
        );
        let error = first
            .load("voices/kinyarwanda", "bent")
            .await
            .err()
            .unwrap()
            .to_string();
        assert!(
            error.starts_with("model voices/kinyarwanda:bent: manifest: missing field"),
            "{error}"
        );
        fleet
            .registry
            .push_manifest("voices/kinyarwanda", "huge", vec![b'7'; 5 << 20]);
        let error = first
            .load("voices/kinyarwanda", "huge")
            .await
            .err()
            .unwrap()
            .to_string();
        assert!(error.contains("a body of more than the stated"), "{error}");
    });
}

#[test]
fn fleet_loads_a_model_over_tcp() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let address = |_| Address::Tcp("127.0.0.1:0".into());
        let fleet = Fleet::start(Rc::new(SocketNetwork), 6, 1 << 30, address).await;
        fleet
            .registry
            .push("voices/kinyarwanda", "current", &model(7, 4 << 20))
            .unwrap();
        fleet.load_on_all("current").await;
        assert!(
            fleet.requests_per_chunk() < 2.0,
            "{}",
            fleet.requests_per_chunk()
        );
    });
}
