//! Wrong-doers in a real fleet, and whether the judge, which sees records alone, finds them.

use crate::world::{SMALL, STEWARDS, Size, World};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::state::MemberId;
use saltdrum_trial::judge::{RULES, judge};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Rules that the judge finds broken after what was played.
fn found<F: Future<Output = ()>>(
    size: Size,
    play: impl FnOnce(Rc<World>) -> F,
) -> Vec<&'static str> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let world = World::new(3, size);
        (1..=STEWARDS).for_each(|n| world.steward(n));
        (2..=size.invokers).for_each(|n| world.member(MemberId::invoker(n)));
        play(world.clone()).await;
        let lines = world.lines.take();
        judge(&lines)
            .into_iter()
            .filter(|v| !v.broken.is_empty())
            .map(|v| v.rule)
            .collect()
    })
}

fn ask(members: std::ops::RangeInclusive<u32>) -> Change {
    Change::Ask {
        id: "all".into(),
        members: members.map(MemberId::invoker).collect(),
        by: "them".into(),
    }
}

/// Invoker 1 is asked to go, and halted with its grant in hand.
async fn halted_in_hand(world: Rc<World>, honest: bool) {
    let one = MemberId::invoker(1);
    if honest {
        world.member(one)
    } else {
        world.hasty_member(one)
    }
    pause(3_000).await;
    if honest {
        world.stall("invoker-1", Duration::from_secs(2));
    }
    world.operator(0, "drain", ask(1..=1)).await.unwrap();
    pause(500).await;
    let halt = Change::Halt {
        by: "them".into(),
        why: "to see".into(),
        ends: "a resume".into(),
    };
    world.operator(0, "halt", halt).await.unwrap();
    pause(5_000).await;
}

#[test]
fn a_member_that_goes_by_its_grant_alone_is_found_out() {
    assert_eq!(found(SMALL, |w| halted_in_hand(w, true)), [""; 0]);
    assert_eq!(found(SMALL, |w| halted_in_hand(w, false)), [RULES[2]]);
}

/// Stewards that count one more than is stated.
#[test]
fn stewards_that_let_too_many_go_are_found_out() {
    let play = |world: Rc<World>| async move {
        world.member(MemberId::invoker(1));
        pause(3_000).await;
        world.operator(0, "drain", ask(1..=6)).await.unwrap();
        pause(8_000).await;
    };
    assert_eq!(found(SMALL, play), [""; 0]);
    let generous = Size {
        granted: SMALL.bound + 1,
        ..SMALL
    };
    assert_eq!(found(generous, play), [RULES[0], RULES[1]]);
}
