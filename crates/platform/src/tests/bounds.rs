//! Tables and descriptors stay within their bounds; shutdown answers all.

use super::support::*;
use crate::lifecycle::leave;
use saltdrum::interface::*;
use saltdrum_controller::dispatch_policy;
use saltdrum_fakes::platform::{Call, Heard, Spoilt, listing};
use saltdrum_platform_wire::feed::Event;
use saltdrum_platform_wire::frames::Code;
use saltdrum_transport::Address;
use tokio::task::spawn_local;

/// Thousands of invokers, connections, ids and functions come and go; the tables are back at their bound.
#[test]
fn tables_return_to_their_bounds_under_churn() {
    staged(|| async {
        let mut stage = Stage::new(dispatch_policy, &[1], 256).await;
        let mut number = 1;
        for round in 0..300u32 {
            let (old, new) = (round * 10 + 1, (round + 1) * 10 + 1);
            let changes = (0..10)
                .map(|i| listing(new + i, invoker_at(1), InvokerStatus::Ready, LONG_PAST_MS));
            let gone = (0..10).map(|i| listing(old + i, invoker_at(1), InvokerStatus::Gone, None));
            number += 1;
            stage
                .feed
                .say(number, Event::Changes(changes.chain(gone).collect()));
            let mut client = stage.client().await;
            for _ in 0..10 {
                let call = stage.call("look");
                client
                    .ask(&Call {
                        function: 1_000 + call.n,
                        ..call
                    })
                    .await;
            }
            for _ in 0..10 {
                answer(&mut client).await;
            }
            pass(100).await;
        }
        pass(20_000).await;
        stage.invokers.clear();
        let (sizes, clients, in_flight) = stage.sizes();
        assert_eq!(
            (clients, in_flight, sizes.jobs, sizes.bytes),
            ((0, 0), 0, 0, 0)
        );
        assert_eq!(sizes.pools, 10, "only those that are listed");
        assert!(sizes.lines <= 10, "{sizes:?}");
    });
}

/// What the module takes for load is what has arrived at each invoker and is not answered.
#[test]
fn in_flight_view_matches_requests_at_invokers() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
        let mut client = stage.client().await;
        let asked = |w: u32| {
            let arrived = stage.invokers[&w].arrived.borrow();
            arrived
                .iter()
                .filter(|a| a.fields.contains_key("x-txn"))
                .count()
        };
        for _ in 0..3 {
            client.ask(&stage.call("look")).await;
            answer(&mut client).await;
        }
        let before = [asked(1), asked(2)];
        for _ in 0..9 {
            client.ask(&stage.call("look")).await;
        }
        pass(10).await;
        let beliefs = stage
            .handle
            .inspect(|s| s.policy.invoker_views(s.invocations.now));
        let out: Vec<usize> = beliefs.iter().map(|b| b.in_flight as usize).collect();
        assert_eq!(out, [asked(1) - before[0], asked(2) - before[1]]);
        assert_eq!(out.iter().sum::<usize>(), 9);
        assert!(beliefs.iter().all(|b| !b.is_ejected && b.error_rate == 0.0));
        pass(200).await;
        let beliefs = stage
            .handle
            .inspect(|s| s.policy.invoker_views(s.invocations.now));
        assert!(beliefs.iter().all(|b| b.in_flight == 0), "{beliefs:?}");
    });
}

/// Found on sockets: what the module answered in a timer's turn stayed in the tables, its input with it.
#[test]
fn forgets_invocation_rejected_after_a_wait() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
        stage
            .invokers
            .values()
            .for_each(|i| i.spoilt.set(Spoilt::Miss));
        let mut client = stage.client().await;
        for n in 0..30 {
            client
                .ask(&Call {
                    function: 5_000 + n,
                    limit_ms: 800,
                    body: vec![1; 100],
                    ..stage.call("look")
                })
                .await;
        }
        for _ in 0..30 {
            assert_eq!(answer(&mut client).await.code, Code::Throttled as u8);
        }
        pass(100).await;
        let (sizes, _, in_flight) = stage.sizes();
        assert_eq!((in_flight, sizes.bytes, sizes.jobs), (0, 0, 0));
    });
}

/// Hundreds connect at once and say nothing, and invokers never answer: the limit on descriptors holds.
#[test]
fn keeps_descriptor_limit_under_many_connections() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1, 2], 64).await;
        let budget = stage.handle.config.budget;
        stage
            .invokers
            .values()
            .for_each(|i| i.spoilt.set(Spoilt::Silent));
        let mut crowd = Vec::new();
        for _ in 0..300 {
            crowd.push(stage.client().await);
        }
        let mut usual = stage.client().await;
        for _ in 0..32 {
            usual
                .ask(&Call {
                    limit_ms: 1_500,
                    ..stage.call("look")
                })
                .await;
        }
        for _ in 0..20 {
            pass(20).await;
            let (sizes, clients, _) = stage.sizes();
            assert!(sizes.lines <= budget.lines, "{sizes:?} of {budget:?}");
            // Those that are cut off have a moment for their last words; nobody had any here.
            assert!(clients.0 <= budget.clients + 1, "{clients:?} of {budget:?}");
        }
        for _ in 0..32 {
            assert_ne!(answer(&mut usual).await.code, Code::Succeeded as u8);
        }
        drop(crowd);
        assert_eq!(stage.broken(), [0u8; 0]);
    });
}

#[test]
fn shutdown_accepts_during_grace_and_answers_all() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
        let mut old = stage.client().await;
        old.ask(&stage.call("look")).await;
        pass(5).await;
        let handle = stage.handle.clone();
        let ending = spawn_local(async move { leave(&handle).await });
        pass(300).await;
        let mut new = stage.client().await;
        new.ask(&stage.call("look")).await;
        pass(200).await;
        old.ask(&stage.call("book")).await;
        ending.await.unwrap();
        let mut heard = Vec::new();
        for _ in 0..3 {
            heard.push(old.hear().await);
        }
        assert!(heard.contains(&Some(Heard::GoAway)), "{heard:?}");
        let answers = heard
            .iter()
            .filter(|h| matches!(h, Some(Heard::Answer(_))))
            .count();
        assert_eq!(answers, 2, "{heard:?}");
        assert_eq!(
            new.hear().await,
            Some(Heard::GoAway),
            "who came later hears it too"
        );
        answer(&mut new).await;
        let late = stage.network.dial(&Address::Tcp(here().to_string())).await;
        assert!(late.is_err(), "the door is shut");
        assert_eq!(stage.broken(), [0u8; 0]);
    });
}
