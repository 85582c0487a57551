//! Drawn faults under drawn asks. A failing seed is printed; `SEED=n cargo test -p saltdrum-coordinator one_seed` plays it again.
//! `SEEDS=1000 FROM=24` plays others than CI does.

use crate::world::{SMALL, STEWARDS, World};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::state::MemberId;
use saltdrum_trial::judge::judge;
use saltdrum_trial::record::Line;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

const FAULTS: usize = 12;
const INVOKERS: u32 = SMALL.invokers;

fn names() -> Vec<String> {
    let stewards = (1..=STEWARDS).map(|n| format!("steward-{n}"));
    stewards
        .chain((1..=INVOKERS).map(|n| format!("invoker-{n}")))
        .collect()
}

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// One fault that begins and, later, ends.
async fn fault(world: Rc<World>, drawn: u64) {
    let mut rng = fastrand::Rng::with_seed(drawn);
    let all = names();
    let one = all[rng.usize(..all.len())].clone();
    let other = format!("steward-{}", rng.u32(1..=STEWARDS));
    let steward = format!("steward-{}", rng.u32(1..=STEWARDS));
    let lasts = rng.u64(50..6_000);
    match rng.u8(..6) {
        0 | 1 => {
            let name = if rng.bool() { steward } else { one };
            world.kill(&name).await;
            pause(lasts).await;
            if !world.is_running(&name) {
                start(&world, &name);
            }
        }
        2 => {
            world.stall(&one, Duration::from_millis(lasts));
            pause(lasts).await;
        }
        3 => {
            // One way.
            world.cut(&one, &other);
            pause(lasts).await;
            world.heal(&one, &other);
        }
        4 => {
            world.cut(&one, &other);
            world.cut(&other, &one);
            pause(lasts).await;
            world.heal(&one, &other);
            world.heal(&other, &one);
        }
        _ => {
            let by = rng.u64(100..4_000);
            world.slow(&one, &other, by, true);
            pause(lasts).await;
            world.slow(&one, &other, by, false);
        }
    }
}

fn start(world: &Rc<World>, name: &str) {
    match name.strip_prefix("steward-") {
        Some(n) => world.steward(n.parse().unwrap()),
        None => world.member(name.parse().unwrap()),
    }
}

async fn operator(world: Rc<World>, drawn: u64) {
    let mut rng = fastrand::Rng::with_seed(drawn);
    for n in 0..6 {
        pause(rng.u64(..2_500)).await;
        let by = format!("operator-{}", drawn % 10);
        let first = rng.usize(..STEWARDS as usize);
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
                    id: format!("{drawn}-{n}"),
                    members,
                    by,
                },
            ),
        };
        let _ = world.operator(first, what, change).await;
    }
}

/// Plays one seed; gives what is wrong, and how many drains began.
fn play(seed: u64) -> Result<usize, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let world = World::new(seed, SMALL);
        for name in names() {
            start(&world, &name);
        }
        pause(3_000).await;
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut going = tokio::task::JoinSet::new();
        for _ in 0..2 {
            going.spawn_local(operator(world.clone(), rng.u64(..)));
        }
        for _ in 0..FAULTS {
            let (world, drawn, later) = (world.clone(), rng.u64(..), rng.u64(..15_000));
            going.spawn_local(async move {
                pause(later).await;
                fault(world, drawn).await;
            });
        }
        while let Some(done) = going.join_next().await {
            done.map_err(|e| e.to_string())?;
        }
        // All is well again: what was asked for has to come to its end.
        for name in names()
            .into_iter()
            .filter(|n| !world.is_running(n))
            .collect::<Vec<_>>()
        {
            start(&world, &name);
        }
        let resume = Change::Resume {
            by: "the end".into(),
        };
        let mut settled = false;
        for _ in 0..120 {
            pause(500).await;
            for name in names()
                .into_iter()
                .filter(|n| !world.is_running(n))
                .collect::<Vec<_>>()
            {
                start(&world, &name);
            }
            let _ = world.operator(0, "resume", resume.clone()).await;
            let Some(s) = world.status(0).await else {
                continue;
            };
            let over = |a: &serde_json::Value| {
                ["waiting", "under_way"]
                    .iter()
                    .all(|l| a[l].as_array().is_some_and(Vec::is_empty))
            };
            let up = |n: u32| s["fleet"]["members"][format!("invoker-{n}")]["phase"]["is"] == "up";
            let asks = s["fleet"]["asks"].as_object();
            if asks.is_some_and(|a| a.values().all(over)) && (1..=INVOKERS).all(up) {
                settled = true;
                break;
            }
        }
        for n in 0..STEWARDS {
            let Some(s) = world.status(n as usize).await else {
                continue;
            };
            for event in s["fleet"]["history"].as_array().into_iter().flatten() {
                world.lines.borrow_mut().push(Line::History {
                    steward: n + 1,
                    revision: event["revision"].as_u64().unwrap(),
                    what: event["what"].as_str().unwrap().to_owned(),
                });
            }
        }
        world.over.set(true);
        let lines = world.lines.take();
        let wrong: Vec<String> = judge(&lines).into_iter().flat_map(|v| v.broken).collect();
        if !wrong.is_empty() {
            return Err(wrong.join("; "));
        }
        if !settled {
            let mut why = format!("what was asked for did not end, at {}", world.clock.now());
            for n in 0..STEWARDS as usize {
                let s = world.status(n).await.unwrap_or_default();
                why += &format!("\nsteward {}: {s}", n + 1);
            }
            for line in lines
                .iter()
                .rev()
                .filter(|l| !matches!(l, Line::History { .. }))
                .take(20)
            {
                why += &format!("\n{line:?}");
            }
            return Err(why);
        }
        Ok(lines
            .iter()
            .filter(|l| matches!(l, Line::Told { what, .. } if what == "began"))
            .count())
    })
}

fn play_all(seeds: std::ops::Range<u64>) -> usize {
    let mut begun = 0;
    for seed in seeds {
        match play(seed) {
            Ok(n) => begun += n,
            Err(why) => panic!("SEED={seed}: {why}"),
        }
    }
    begun
}

#[test]
fn drawn_faults_break_no_promise_and_all_that_was_asked_for_ends() {
    let said = |name: &str| std::env::var(name).ok().and_then(|s| s.parse().ok());
    let (most, from) = (said("SEEDS").unwrap_or(24), said("FROM").unwrap_or(0));
    let begun = play_all(from..from + most);
    assert!(
        begun as u64 > most,
        "{begun} drains begun in {most} days: they have to be tried"
    );
    println!("{begun} drains begun in {most} days");
}

/// 5, 1044, 3001: whole values could not be read back, and nothing was agreed any more. 50054: the judge took a begin for
/// one after a halt because the member heard of it late. 15036: a member that never heard that it was agreed to be up again
/// stayed out for the judge.
#[test]
fn seeds_that_failed_once() {
    for seed in [5, 1_044, 3_001, 15_036, 50_054] {
        play_all(seed..seed + 1);
    }
}

#[test]
fn one_seed() {
    let Some(seed) = std::env::var("SEED").ok().and_then(|s| s.parse().ok()) else {
        return;
    };
    if let Err(why) = play(seed) {
        panic!("SEED={seed}: {why}");
    }
}
