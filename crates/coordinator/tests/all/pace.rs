//! The time that a whole fleet takes to drain and return, compared with the least possible: members / bound x one drain. It is
//! measured in virtual time, so that every run gives the same figure.

use crate::world::{COORDINATORS, Size, World};
use saltdrum::interface::{MILLISECOND, SECOND, Ticks};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::state::MemberId;
use saltdrum_trial::judge::judge;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

const SIZE: Size = Size {
    invokers: 12,
    bound: 2,
    granted_bound: 2,
    drain_time: 5 * SECOND,
    restart_time: SECOND,
    time_to_healthy: 2 * SECOND,
};

async fn sleep(duration: Ticks) {
    tokio::time::sleep(Duration::from_micros(duration * 100)).await;
}

/// Whether the drain request has finished, by the first coordinator that answers.
async fn is_finished(world: &Rc<World>) -> bool {
    for index in 0..COORDINATORS as usize {
        if let Some(status) = world.status(index).await {
            let request = &status["fleet"]["asks"]["all"];
            return ["waiting", "under_way"]
                .iter()
                .all(|list| request[list].as_array().is_some_and(Vec::is_empty));
        }
    }
    false
}

/// Drains a whole fleet and returns the time it took, divided by the least possible time.
fn drain_time_ratio(size: Size, kill_every: Option<Ticks>) -> f64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let world = World::new(7, size);
        (1..=COORDINATORS).for_each(|n| world.start_coordinator(n));
        (1..=size.invokers).for_each(|n| world.start_member(MemberId::invoker(n)));
        sleep(8 * SECOND).await;
        let members = (1..=size.invokers).map(MemberId::invoker).collect();
        let request = Change::Ask {
            id: "all".into(),
            members,
            by: "them".into(),
        };
        world.request_change(0, "drain", request).await.unwrap();
        let started = world.clock.now();
        let least_time = u64::from(size.invokers.div_ceil(size.bound))
            * (size.drain_time + size.restart_time + size.time_to_healthy);
        let (mut kills, mut next) = (0, 1);
        while !is_finished(&world).await {
            let elapsed = world.clock.now() - started;
            assert!(elapsed < 5 * least_time, "the drain does not finish");
            if let Some(every) = kill_every
                && elapsed > (kills + 1) * every
            {
                let name = format!("steward-{next}");
                world.kill(&name).await;
                sleep(SECOND).await;
                world.start_coordinator(next);
                (kills, next) = (kills + 1, next % COORDINATORS + 1);
            }
            sleep(50 * MILLISECOND).await;
        }
        let elapsed = world.clock.now() - started;
        let broken: Vec<String> = judge(&world.record.borrow())
            .into_iter()
            .flat_map(|verdict| verdict.broken)
            .collect();
        assert!(broken.is_empty(), "{broken:?}");
        elapsed as f64 / least_time as f64
    })
}

#[test]
fn fleet_drains_in_little_more_than_the_least_time() {
    for (invokers, bound) in [(12, 2), (84, 28)] {
        let ratio = drain_time_ratio(
            Size {
                invokers,
                bound,
                granted_bound: bound,
                ..SIZE
            },
            None,
        );
        println!("{invokers} invokers, {bound} out at most: {ratio:.3} of the least time");
        assert!(ratio <= 1.25, "{invokers}: {ratio}");
    }
    let ratio = drain_time_ratio(SIZE, Some(10 * SECOND));
    println!("12 invokers, a steward killed each 10 s: {ratio:.3}");
    assert!(ratio <= 1.6, "{ratio}");
}
