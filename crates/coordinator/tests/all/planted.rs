//! Faulty members and coordinators in an otherwise real fleet: the judge, which sees the records only, has to find them.

use crate::world::{COORDINATORS, SMALL, Size, World};
use saltdrum_fleet::change::Change;
use saltdrum_fleet::state::MemberId;
use saltdrum_trial::judge::{RULES, judge};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

async fn sleep_ms(duration_ms: u64) {
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
}

/// The rules that the judge finds broken after a run of the scenario.
fn broken_rules<F: Future<Output = ()>>(
    size: Size,
    scenario: impl FnOnce(Rc<World>) -> F,
) -> Vec<&'static str> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let world = World::new(3, size);
        (1..=COORDINATORS).for_each(|n| world.start_coordinator(n));
        (2..=size.invokers).for_each(|n| world.start_member(MemberId::invoker(n)));
        scenario(world.clone()).await;
        let record = world.record.take();
        judge(&record)
            .into_iter()
            .filter(|verdict| !verdict.broken.is_empty())
            .map(|verdict| verdict.rule)
            .collect()
    })
}

fn drain_request(members: std::ops::RangeInclusive<u32>) -> Change {
    Change::Ask {
        id: "all".into(),
        members: members.map(MemberId::invoker).collect(),
        by: "them".into(),
    }
}

/// Invoker 1 is asked to drain, and drains are halted while it has a grant that it has not used.
async fn halt_with_unused_grant(world: Rc<World>, is_honest: bool) {
    let member = MemberId::invoker(1);
    if is_honest {
        world.start_member(member)
    } else {
        world.start_hasty_member(member)
    }
    sleep_ms(3_000).await;
    if is_honest {
        world.stall("invoker-1", Duration::from_secs(2));
    }
    world
        .request_change(0, "drain", drain_request(1..=1))
        .await
        .unwrap();
    sleep_ms(500).await;
    let halt = Change::Halt {
        by: "them".into(),
        why: "to see".into(),
        ends: "a resume".into(),
    };
    world.request_change(0, "halt", halt).await.unwrap();
    sleep_ms(5_000).await;
}

#[test]
fn judge_finds_member_that_drains_without_agreement() {
    assert_eq!(
        broken_rules(SMALL, |world| halt_with_unused_grant(world, true)),
        [""; 0]
    );
    assert_eq!(
        broken_rules(SMALL, |world| halt_with_unused_grant(world, false)),
        [RULES[2]]
    );
}

/// The coordinators grant one drain more than the bound allows.
#[test]
fn judge_finds_coordinators_that_exceed_the_bound() {
    let scenario = |world: Rc<World>| async move {
        world.start_member(MemberId::invoker(1));
        sleep_ms(3_000).await;
        world
            .request_change(0, "drain", drain_request(1..=6))
            .await
            .unwrap();
        sleep_ms(8_000).await;
    };
    assert_eq!(broken_rules(SMALL, scenario), [""; 0]);
    let generous = Size {
        granted_bound: SMALL.bound + 1,
        ..SMALL
    };
    assert_eq!(broken_rules(generous, scenario), [RULES[0], RULES[1]]);
}
