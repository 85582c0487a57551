//! The five rules hold on the traffic, and the checker catches who breaks them.

use super::support::*;
use saltdrum::interface::*;
use saltdrum_controller::{Policy, dispatch_policy};
use saltdrum_fakes::platform::{Call, Spoilt, listing};
use saltdrum_fakes::record::Line;
use saltdrum_platform_wire::feed::Event;
use saltdrum_scenario::check::sent_on_after_leaving;
use saltdrum_transport::Address;
use std::cell::Cell;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// A mixed load with invokers that drain, die and spoil answers.
async fn busy(stage: &Stage, rounds: u64) {
    let mut client = stage.client().await;
    for round in 0..rounds {
        for trigger in ["look", "book", "charge"] {
            client
                .ask(&Call {
                    limit_ms: 1_000,
                    ..stage.call(trigger)
                })
                .await;
        }
        let spoilt = [
            Spoilt::No,
            Spoilt::ShortBody,
            Spoilt::No,
            Spoilt::Miss,
            Spoilt::No,
            Spoilt::ResetAfterReading,
        ];
        stage.invokers[&((round % 2) as u32 + 1)]
            .spoilt
            .set(spoilt[round as usize % spoilt.len()]);
        if round == rounds / 2 {
            stage.feed.say(
                2,
                Event::Changes(vec![listing(
                    1,
                    invoker_at(1),
                    InvokerStatus::Draining,
                    None,
                )]),
            );
            let started = Some(UNIX_MS + stage.clock.now() / 10 - 3_600_000);
            stage.feed.say(
                3,
                Event::Changes(vec![listing(
                    3,
                    invoker_at(3),
                    InvokerStatus::Ready,
                    started,
                )]),
            );
        }
        let _ = tokio::time::timeout(Duration::from_millis(60), async {
            while client.hear().await.is_some() {}
        })
        .await;
    }
    let _ = tokio::time::timeout(Duration::from_millis(2_500), async {
        while client.hear().await.is_some() {}
    })
    .await;
}

#[test]
fn keeps_five_rules_with_faulty_peers() {
    staged(|| async {
        let mut stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
        stage.invoker(3, invoker_at(3));
        busy(&stage, 120).await;
        let arrived: usize = stage
            .invokers
            .values()
            .map(|i| i.arrived.borrow().len())
            .sum();
        assert!(arrived > 200, "{arrived}");
        assert_eq!(stage.broken(), [0u8; 0]);
    });
}

/// How a module is made to break a rule.
#[derive(Clone, Copy, PartialEq)]
enum Rash {
    AnswersNothing,
    RunsAgain,
    OrdersAtWill,
    FloodsColdOnes,
}

thread_local! {
    static RASH: Cell<Rash> = const { Cell::new(Rash::RunsAgain) };
}

impl Policy for Rash {
    fn invokers_changed(&mut self, _: Ticks, _: bool, _: &[InvokerRecord]) {}
    fn invocation_arrived(&mut self, _: Ticks, call: Invocation, acts: &mut dyn Actions) {
        match self {
            Self::AnswersNothing => return,
            Self::OrdersAtWill => (0..4).for_each(|_| acts.load(2, call.function, 1)),
            Self::RunsAgain | Self::FloodsColdOnes => {}
        }
        acts.dispatch(
            call.id,
            if *self == Self::FloodsColdOnes { 3 } else { 2 },
            0,
        );
    }
    fn invocation_abandoned(&mut self, _: Ticks, _: InvocationId) {}
    fn attempt_ended(&mut self, _: Ticks, a: AttemptResult, acts: &mut dyn Actions) {
        if !a.invocation_finished && *self == Self::RunsAgain && a.attempt == 0 {
            acts.dispatch(a.invocation, 1, 0);
        } else if !a.invocation_finished {
            acts.error(a.invocation);
        }
    }
    fn load_ended(&mut self, _: Ticks, _: LoadResult, _: &mut dyn Actions) {}
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
}

#[test]
fn checker_catches_each_injected_fault() {
    for (rash, rule) in [
        (Rash::AnswersNothing, 1),
        (Rash::RunsAgain, 2),
        (Rash::OrdersAtWill, 5),
    ] {
        staged(|| async move {
            RASH.set(rash);
            let stage = Stage::new(|_, _, _, _| Box::new(RASH.get()), &[1, 2], 256).await;
            let mut client = stage.client().await;
            stage.invokers[&2].spoilt.set(Spoilt::ShortBody);
            for _ in 0..10 {
                client
                    .ask(&Call {
                        limit_ms: 500,
                        ..stage.call("book")
                    })
                    .await;
            }
            let _ = tokio::time::timeout(Duration::from_millis(1_500), async {
                while client.hear().await.is_some() {}
            })
            .await;
            assert!(stage.broken().contains(&rule), "rule {rule}");
        });
    }
}

#[test]
fn checker_catches_late_dispatch_to_draining_invoker() {
    staged(|| async {
        // The module hears nothing of it: the news is noted, and never written.
        let stage = Stage::new(first, &[1], 256).await;
        let (at, who) = (stage.clock.now(), WHO);
        stage.record.note(Line::Told {
            at,
            who,
            invoker: 1,
            incarnation: 0,
            life: "draining".into(),
        });
        pass(400).await;
        let mut client = stage.client().await;
        client.ask(&stage.call("look")).await;
        answer(&mut client).await;
        assert_eq!(stage.broken(), [3]);
    });
}

/// A gateway that does not care who still waits, as a record of its traffic.
#[test]
fn checker_catches_dispatch_after_client_left() {
    for (after, caught) in [(100, false), (101, true)] {
        let (of, at) = (
            saltdrum_fakes::record::Try { n: 1, attempt: 0 },
            1_000 * MILLISECOND,
        );
        let sent_on = at + after * MILLISECOND;
        let (invoker, invocation, hop, trigger) = (1, 1, 0, "look".to_owned());
        let lines = [
            stated(),
            Line::HungUp { at, of },
            Line::Dispatched {
                at: sent_on,
                earliest: sent_on,
                invoker,
                who: WHO,
                invocation,
                hop,
                of,
                trigger,
            },
        ];
        assert_eq!(
            !sent_on_after_leaving(&lines).is_empty(),
            caught,
            "{after} ms"
        );
    }
}

/// A gateway that hands the output of one to another: two clients whose streams it has exchanged.
#[test]
fn checker_catches_overstated_time_limit() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1], 256).await;
        let mut client = stage.client().await;
        let call = stage.call("look");
        client.ask(&call).await;
        answer(&mut client).await;
        assert_eq!(stage.invokers[&1].limit_faults.borrow().len(), 0);
        pass(500).await;
        let mut line = stage
            .network
            .dial(&Address::Tcp(invoker_at(1).to_string()))
            .await
            .unwrap();
        let late = format!(
            "GET /obj/look HTTP/1.1\r\nX-Txn: {}\r\nX-Limit-Ms: 1900\r\n\r\n",
            call.txn()
        );
        line.write_all(late.as_bytes()).await.unwrap();
        pass(100).await;
        assert!(stage.broken().contains(&8));
    });
}

#[test]
fn checker_catches_swapped_outputs() {
    for exchanged in [false, true] {
        staged(|| async move {
            let stage = Stage::new(first, &[1], 256).await;
            let (mut client, mut other) = (stage.client().await, stage.client().await);
            for one in [&mut client, &mut other] {
                one.ask(&stage.call("look")).await;
            }
            if exchanged {
                std::mem::swap(&mut client.stream, &mut other.stream);
            }
            for one in [&mut client, &mut other] {
                answer(one).await;
            }
            assert_eq!(stage.broken(), if exchanged { vec![7] } else { vec![] });
        });
    }
}

#[test]
fn checker_catches_overload_of_cold_invoker() {
    staged(|| async {
        RASH.set(Rash::FloodsColdOnes);
        let mut stage = Stage::new(|_, _, _, _| Box::new(RASH.get()), &[], 1_024).await;
        stage.invoker(3, invoker_at(3));
        let (at, invoker) = (stage.clock.now(), 3);
        stage.record.note(Line::Invoker {
            at,
            invoker,
            incarnation: 1,
            up: true,
            cold: true,
        });
        let started = Some(UNIX_MS);
        stage.feed.say(
            2,
            Event::Changes(vec![listing(
                3,
                invoker_at(3),
                InvokerStatus::Ready,
                started,
            )]),
        );
        pass(20).await;
        let mut client = stage.client().await;
        for _ in 0..400 {
            for _ in 0..10 {
                let call = stage.call("look");
                stage.record.note(Line::Sent {
                    at: stage.clock.now(),
                    who: WHO,
                    of: saltdrum_fakes::record::Try {
                        n: call.n,
                        attempt: 0,
                    },
                    tenant: String::new(),
                    trigger: "look".into(),
                    function: String::new(),
                    timeout: 20_000,
                    work: 40 * MILLISECOND,
                });
                client.ask(&call).await;
            }
            pass(4).await;
            for _ in 0..10 {
                answer(&mut client).await;
            }
        }
        assert!(stage.broken().contains(&4));
    });
}
