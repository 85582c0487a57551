//! Random drain requests under random faults. A failing seed is printed; `SEED=n cargo test -p saltdrum-coordinator one_seed` runs
//! it again. `SEEDS=1000 FROM=24` runs other seeds than CI does.

use crate::world::{COORDINATORS, SMALL, World};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::state::MemberId;
use saltdrum_trial::judge::judge;
use saltdrum_trial::record::Line;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

const FAULTS: usize = 12;
const INVOKERS: u32 = SMALL.invokers;

fn process_names() -> Vec<String> {
    let coordinators = (1..=COORDINATORS).map(|n| format!("steward-{n}"));
    coordinators
        .chain((1..=INVOKERS).map(|n| format!("invoker-{n}")))
        .collect()
}

async fn sleep_ms(duration_ms: u64) {
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
}

/// Runs one random fault from start to end.
async fn run_fault(world: Rc<World>, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let all = process_names();
    let process = all[rng.usize(..all.len())].clone();
    let other = format!("steward-{}", rng.u32(1..=COORDINATORS));
    let coordinator = format!("steward-{}", rng.u32(1..=COORDINATORS));
    let duration_ms = rng.u64(50..6_000);
    match rng.u8(..6) {
        0 | 1 => {
            let name = if rng.bool() { coordinator } else { process };
            world.kill(&name).await;
            sleep_ms(duration_ms).await;
            if !world.is_running(&name) {
                start(&world, &name);
            }
        }
        2 => {
            world.stall(&process, Duration::from_millis(duration_ms));
            sleep_ms(duration_ms).await;
        }
        3 => {
            // In one direction only.
            world.cut(&process, &other);
            sleep_ms(duration_ms).await;
            world.heal(&process, &other);
        }
        4 => {
            world.cut(&process, &other);
            world.cut(&other, &process);
            sleep_ms(duration_ms).await;
            world.heal(&process, &other);
            world.heal(&other, &process);
        }
        _ => {
            let delay = rng.u64(100..4_000);
            world.set_delay(&process, &other, delay, true);
            sleep_ms(duration_ms).await;
            world.set_delay(&process, &other, delay, false);
        }
    }
}

fn start(world: &Rc<World>, name: &str) {
    match name.strip_prefix("steward-") {
        Some(number) => world.start_coordinator(number.parse().unwrap()),
        None => world.start_member(name.parse().unwrap()),
    }
}

/// Makes random requests of an operator.
async fn run_operator(world: Rc<World>, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    for n in 0..6 {
        sleep_ms(rng.u64(..2_500)).await;
        let by = format!("operator-{}", seed % 10);
        let first = rng.usize(..COORDINATORS as usize);
        let members: Vec<MemberId> = (0..rng.usize(1..4))
            .map(|_| MemberId::invoker(rng.u32(1..=INVOKERS)))
            .collect();
        let (what, change) = match rng.u8(..8) {
            0 => (
                "halt",
                Change::Halt {
                    by,
                    why: "to see".into(),
                    ends: "a resume".into(),
                },
            ),
            1 | 2 => ("resume", Change::Resume { by }),
            3 => ("back", Change::Withdraw { members, by }),
            _ => (
                "drain",
                Change::Ask {
                    id: format!("{seed}-{n}"),
                    members,
                    by,
                },
            ),
        };
        let _ = world.request_change(first, what, change).await;
    }
}

/// Runs one seed. Returns how many drains began, or what is wrong.
fn run_seed(seed: u64) -> Result<usize, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let world = World::new(seed, SMALL);
        for name in process_names() {
            start(&world, &name);
        }
        sleep_ms(3_000).await;
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..2 {
            tasks.spawn_local(run_operator(world.clone(), rng.u64(..)));
        }
        for _ in 0..FAULTS {
            let (world, fault_seed, delay_ms) = (world.clone(), rng.u64(..), rng.u64(..15_000));
            tasks.spawn_local(async move {
                sleep_ms(delay_ms).await;
                run_fault(world, fault_seed).await;
            });
        }
        while let Some(done) = tasks.join_next().await {
            done.map_err(|e| e.to_string())?;
        }
        // All faults have ended: every drain request has to finish.
        for name in process_names()
            .into_iter()
            .filter(|name| !world.is_running(name))
            .collect::<Vec<_>>()
        {
            start(&world, &name);
        }
        let resume = Change::Resume {
            by: "the end".into(),
        };
        let mut is_settled = false;
        for _ in 0..120 {
            sleep_ms(500).await;
            for name in process_names()
                .into_iter()
                .filter(|name| !world.is_running(name))
                .collect::<Vec<_>>()
            {
                start(&world, &name);
            }
            let _ = world.request_change(0, "resume", resume.clone()).await;
            let Some(status) = world.status(0).await else {
                continue;
            };
            let is_finished = |request: &serde_json::Value| {
                ["waiting", "under_way"]
                    .iter()
                    .all(|list| request[list].as_array().is_some_and(Vec::is_empty))
            };
            let is_up =
                |n: u32| status["fleet"]["members"][format!("invoker-{n}")]["phase"]["is"] == "up";
            let requests = status["fleet"]["asks"].as_object();
            if requests.is_some_and(|requests| requests.values().all(is_finished))
                && (1..=INVOKERS).all(is_up)
            {
                is_settled = true;
                break;
            }
        }
        for n in 0..COORDINATORS {
            let Some(status) = world.status(n as usize).await else {
                continue;
            };
            for event in status["fleet"]["history"].as_array().into_iter().flatten() {
                world.record.borrow_mut().push(Line::History {
                    steward: n + 1,
                    revision: event["revision"].as_u64().unwrap(),
                    what: event["what"].as_str().unwrap().to_owned(),
                });
            }
        }
        world.is_over.set(true);
        let record = world.record.take();
        let broken: Vec<String> = judge(&record)
            .into_iter()
            .flat_map(|verdict| verdict.broken)
            .collect();
        if !broken.is_empty() {
            return Err(broken.join("; "));
        }
        if !is_settled {
            let mut report = format!("drain requests did not finish, at {}", world.clock.now());
            for n in 0..COORDINATORS as usize {
                let status = world.status(n).await.unwrap_or_default();
                report += &format!("\nsteward {}: {status}", n + 1);
            }
            for line in record
                .iter()
                .rev()
                .filter(|line| !matches!(line, Line::History { .. }))
                .take(20)
            {
                report += &format!("\n{line:?}");
            }
            return Err(report);
        }
        Ok(record
            .iter()
            .filter(|line| matches!(line, Line::Told { what, .. } if what == "began"))
            .count())
    })
}

/// Runs each seed and returns how many drains began.
fn run_seeds(seeds: std::ops::Range<u64>) -> usize {
    let mut drains = 0;
    for seed in seeds {
        match run_seed(seed) {
            Ok(started) => drains += started,
            Err(why) => panic!("SEED={seed}: {why}"),
        }
    }
    drains
}

#[test]
fn random_faults_break_no_rule_and_drain_requests_finish() {
    let env_number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let (seeds, from) = (
        env_number("SEEDS").unwrap_or(24),
        env_number("FROM").unwrap_or(0),
    );
    let drains = run_seeds(from..from + seeds);
    assert!(
        drains as u64 > seeds,
        "{drains} drains began in {seeds} runs: too few to test them"
    );
    println!("{drains} drains began in {seeds} runs");
}

/// Seeds that failed before. 5, 1044, 3001: messages with a whole value could not be deserialised, so nothing was agreed any more.
/// 50054: the judge took the start of a drain for one after a halt, because the member learned late that it was agreed. 15036: the
/// judge counted a member as out that never learned that its return was agreed.
#[test]
fn seeds_that_failed_before_pass() {
    for seed in [5, 1_044, 3_001, 15_036, 50_054] {
        run_seeds(seed..seed + 1);
    }
}

#[test]
fn one_seed() {
    let Some(seed) = std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
    else {
        return;
    };
    if let Err(why) = run_seed(seed) {
        panic!("SEED={seed}: {why}");
    }
}
