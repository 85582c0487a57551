//! How long a whole fleet takes to drain and return, against members / bound x one drain. In virtual time, so that the
//! figure is the same each time.

use crate::world::{STEWARDS, Size, World};
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
    granted: 2,
    drain: 5 * SECOND,
    restart: SECOND,
    prove: 2 * SECOND,
};

async fn pause(span: Ticks) {
    tokio::time::sleep(Duration::from_micros(span * 100)).await;
}

async fn is_over(world: &Rc<World>) -> bool {
    for n in 0..STEWARDS as usize {
        if let Some(s) = world.status(n).await {
            let ask = &s["fleet"]["asks"]["all"];
            return ["waiting", "under_way"]
                .iter()
                .all(|l| ask[l].as_array().is_some_and(Vec::is_empty));
        }
    }
    false
}

/// Gives the time that it took over the least possible.
fn drained(size: Size, kill_every: Option<Ticks>) -> f64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let world = World::new(7, size);
        (1..=STEWARDS).for_each(|n| world.steward(n));
        (1..=size.invokers).for_each(|n| world.member(MemberId::invoker(n)));
        pause(8 * SECOND).await;
        let members = (1..=size.invokers).map(MemberId::invoker).collect();
        let ask = Change::Ask {
            id: "all".into(),
            members,
            by: "them".into(),
        };
        world.operator(0, "drain", ask).await.unwrap();
        let begun = world.clock.now();
        let least = u64::from(size.invokers.div_ceil(size.bound))
            * (size.drain + size.restart + size.prove);
        let (mut killed, mut next) = (0, 1);
        while !is_over(&world).await {
            let spent = world.clock.now() - begun;
            assert!(spent < 5 * least, "it does not end");
            if let Some(every) = kill_every
                && spent > (killed + 1) * every
            {
                let name = format!("steward-{next}");
                world.kill(&name).await;
                pause(SECOND).await;
                world.steward(next);
                (killed, next) = (killed + 1, next % STEWARDS + 1);
            }
            pause(50 * MILLISECOND).await;
        }
        let spent = world.clock.now() - begun;
        let broken: Vec<String> = judge(&world.lines.borrow())
            .into_iter()
            .flat_map(|v| v.broken)
            .collect();
        assert!(broken.is_empty(), "{broken:?}");
        spent as f64 / least as f64
    })
}

#[test]
fn a_fleet_is_drained_in_little_more_than_the_least_time() {
    for (invokers, bound) in [(12, 2), (84, 28)] {
        let ratio = drained(
            Size {
                invokers,
                bound,
                granted: bound,
                ..SIZE
            },
            None,
        );
        println!("{invokers} invokers, {bound} out at most: {ratio:.3} of the least time");
        assert!(ratio <= 1.25, "{invokers}: {ratio}");
    }
    let ratio = drained(SIZE, Some(10 * SECOND));
    println!("12 invokers, a steward killed each 10 s: {ratio:.3}");
    assert!(ratio <= 1.6, "{ratio}");
}
