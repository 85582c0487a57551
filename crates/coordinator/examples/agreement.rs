//! What agreement and membership cost: three stewards on threads of their own, Unix sockets, real files.
//!
//!     cargo run --release -p saltdrum-coordinator --example agreement

#![expect(clippy::disallowed_methods, reason = "this measures time")]

use saltdrum::interface::{MILLISECOND, SECOND};
use saltdrum_coordinator::disk::{Disk, Identity, SCHEMA_VERSION};
use saltdrum_coordinator::rpc_client::RpcClient;
use saltdrum_coordinator::wire::{ChangeReply, ChangeRequest, Heartbeat, HeartbeatReply};
use saltdrum_coordinator::{CoordinatorConfig, FleetConfig, service};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::register::{Config, Voter};
use saltdrum_fleet::state::{Fleet, MemberId, MemberInfo};
use saltdrum_transport::{Address, Clock, SocketNetwork};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

fn on_this_thread<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, work)
}

fn address(folder: &Path, n: u32) -> Address {
    Address::Unix(folder.join(format!("s{n}")).display().to_string())
}

fn steward(folder: &Path, number: u32) {
    let terms = FleetConfig {
        name: "cost".into(),
        renew: 500 * MILLISECOND,
        // Nobody renews here but when asked to.
        suspect_level: 1e9,
        grant_for: SECOND,
        drain_for: SECOND,
        prove_within: 0,
        halt_at_lost: 0,
        leases: Default::default(),
        bounds: Vec::new(),
    };
    let stewards: BTreeMap<u32, String> = (1..=3)
        .map(|n| (n, address(folder, n).to_string()))
        .collect();
    let voters = (1..=3).map(|steward| Voter { steward, disk: 0 }).collect();
    let founding = Fleet::new(
        "cost",
        Config::initial(voters).unwrap(),
        stewards,
        Vec::new(),
        0,
    );
    let voter = Voter {
        steward: number,
        disk: 0,
    };
    let new = Identity {
        schema: SCHEMA_VERSION,
        fleet: "cost".into(),
        voter,
    };
    let file = folder.join(format!("d{number}"));
    let (life, seed, listen) = (
        u64::from(number),
        u64::from(number),
        address(folder, number),
    );
    let seat = CoordinatorConfig {
        number,
        incarnation: life,
        seed,
        fleet_config: terms,
        initial_fleet: founding,
        listen,
        invoker_list: None,
    };
    std::thread::spawn(move || {
        let (disk, acceptor) = Disk::open_file(&file, new).unwrap();
        on_this_thread(service::serve(
            seat,
            disk,
            acceptor,
            Rc::new(SocketNetwork),
            Clock::start(),
        ))
        .unwrap();
    });
}

fn quantiles(mut all: Vec<f64>) -> (f64, f64) {
    all.sort_by(f64::total_cmp);
    (all[all.len() / 2], all[all.len() * 99 / 100])
}

/// One write of the same value to the same kind of file, alone.
fn disk_alone(folder: &Path, fleet: &Fleet) -> (f64, f64) {
    let voter = Voter {
        steward: 9,
        disk: 0,
    };
    let new = Identity {
        schema: SCHEMA_VERSION,
        fleet: "cost".into(),
        voter,
    };
    let (mut disk, mut acceptor) = Disk::open_file(&folder.join("alone"), new).unwrap();
    let ballot = saltdrum_fleet::Ballot {
        number: 1,
        proposer: 1,
        incarnation: 1,
    };
    acceptor.accepted = Some(saltdrum_fleet::register::Accepted {
        ballot,
        value: fleet.clone(),
    });
    quantiles(
        (0..200)
            .map(|n| {
                acceptor.writes = n;
                let begun = Instant::now();
                disk.save(&acceptor).unwrap();
                begun.elapsed().as_secs_f64() * 1e3
            })
            .collect(),
    )
}

fn main() {
    println!(
        "| members | a change p50, ms | p99 | a write to disk p50, ms | p99 | p99 over p99 | a sign of life, us |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for members in [12u32, 84, 1_344] {
        let folder = tempfile::tempdir().unwrap();
        (1..=3).for_each(|n| steward(folder.path(), n));
        on_this_thread(async {
            let callers: Vec<Rc<RpcClient>> = (1..=3)
                .map(|n| {
                    Rc::new(RpcClient::new(
                        Rc::new(SocketNetwork),
                        address(folder.path(), n),
                        "cost",
                    ))
                })
                .collect();
            while callers[0]
                .call::<ChangeReply>("change", resume(), SECOND)
                .await
                .is_err()
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let mut joining = tokio::task::JoinSet::new();
            for number in 1..=members {
                let caller = callers[0].clone();
                joining.spawn_local(async move {
                    let member = MemberId::invoker(number);
                    let about = MemberInfo {
                        incarnation: 1,
                        site: "kigali".into(),
                        cell: (number / 4) as u16,
                        size: 16.0,
                        memory_mb: 64_000.0,
                        version: "1".into(),
                        address: format!("tcp:10.0.0.1:{number}"),
                        machine: 0,
                        zone: 0,
                        tasks: Default::default(),
                    };
                    let join = ChangeRequest {
                        change: Change::Join { member, about },
                    };
                    while caller
                        .call::<ChangeReply>("change", &join, 10 * SECOND)
                        .await
                        .is_err()
                    {}
                });
            }
            while joining.join_next().await.is_some() {}
            let mut took = Vec::new();
            for n in 0..200 {
                let begun = Instant::now();
                let change = if n % 2 == 0 { halt() } else { resume() };
                callers[0]
                    .call::<ChangeReply>("change", change, 10 * SECOND)
                    .await
                    .unwrap();
                took.push(begun.elapsed().as_secs_f64() * 1e3);
            }
            let (p50, p99) = quantiles(took);
            let begun = Instant::now();
            let renews = 20_000u32;
            for n in 0..renews {
                let member = MemberId::invoker(1 + n % members);
                let said = Heartbeat {
                    member,
                    incarnation: 1,
                    interval_ticks: 5_000,
                    busy: 0.0,
                    last_copies: 0,
                };
                callers[0]
                    .call::<HeartbeatReply>("renew", &said, SECOND)
                    .await
                    .unwrap();
            }
            let renew_us = begun.elapsed().as_secs_f64() * 1e6 / f64::from(renews);
            let told: serde_json::Value = callers[0]
                .call("status", serde_json::json!({}), SECOND)
                .await
                .unwrap();
            let fleet: Fleet = serde_json::from_value(told["fleet"].clone()).unwrap();
            let (w50, w99) = disk_alone(folder.path(), &fleet);
            println!(
                "| {members} | {p50:.2} | {p99:.2} | {w50:.2} | {w99:.2} | {:.1} | {renew_us:.0} |",
                p99 / w99
            );
        });
    }
    std::process::exit(0);
}

fn halt() -> ChangeRequest {
    ChangeRequest {
        change: Change::Halt {
            by: "cost".into(),
            why: "to see".into(),
            ends: "a resume".into(),
        },
    }
}

fn resume() -> ChangeRequest {
    ChangeRequest {
        change: Change::Resume { by: "cost".into() },
    }
}
