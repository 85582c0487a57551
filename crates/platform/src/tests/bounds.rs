//! Bounds on tables and descriptors, and responses at shutdown.

use super::support::*;
use crate::lifecycle::shut_down;
use crate::shared_budget::BudgetHolder;
use saltdrum::interface::*;
use saltdrum_controller::dispatch_policy;
use saltdrum_fakes::platform::{Call, ResponseFault, ServerFrame, endpoint_record};
use saltdrum_platform_wire::feed::Event;
use saltdrum_platform_wire::frames::Code;
use saltdrum_transport::Address;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;

/// After thousands of invokers, connections, ids and functions the tables have their initial sizes.
#[test]
fn tables_return_to_their_bounds_under_churn() {
    run_test(|| async {
        let mut controller = TestController::new(dispatch_policy, &[1], 256).await;
        let mut event_number = 1;
        for round in 0..300u32 {
            let (old, new) = (round * 10 + 1, (round + 1) * 10 + 1);
            let changes = (0..10).map(|i| {
                endpoint_record(
                    new + i,
                    invoker_address(1),
                    InvokerStatus::Ready,
                    LONG_PAST_MS,
                )
            });
            let gone = (0..10)
                .map(|i| endpoint_record(old + i, invoker_address(1), InvokerStatus::Gone, None));
            event_number += 1;
            controller
                .feed
                .publish(event_number, Event::Changes(changes.chain(gone).collect()));
            let mut client = controller.connect_client().await;
            for _ in 0..10 {
                let call = controller.new_call("look");
                client
                    .invoke(&Call {
                        function: 1_000 + call.number,
                        ..call
                    })
                    .await;
            }
            for _ in 0..10 {
                expect_response(&mut client).await;
            }
            sleep_ms(100).await;
        }
        sleep_ms(20_000).await;
        controller.invokers.clear();
        let (sizes, clients, in_flight) = controller.sizes();
        assert_eq!(
            (clients, in_flight, sizes.requests, sizes.body_bytes),
            ((0, 0), 0, 0, 0)
        );
        assert_eq!(sizes.pools, 10, "only listed invokers");
        assert!(sizes.connections <= 10, "{sizes:?}");
    });
}

/// The policy's in-flight count of an invoker is the number of requests that arrived there and have no response yet.
#[test]
fn in_flight_view_matches_requests_at_invokers() {
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1, 2], 256).await;
        let mut client = controller.connect_client().await;
        let arrived_count = |invoker: u32| {
            let arrived = controller.invokers[&invoker].requests.borrow();
            arrived
                .iter()
                .filter(|a| a.fields.contains_key("x-txn"))
                .count()
        };
        for _ in 0..3 {
            client.invoke(&controller.new_call("look")).await;
            expect_response(&mut client).await;
        }
        let before = [arrived_count(1), arrived_count(2)];
        for _ in 0..9 {
            client.invoke(&controller.new_call("look")).await;
        }
        sleep_ms(10).await;
        let views = controller
            .handle
            .inspect(|s| s.policy.invoker_views(s.invocations.now));
        let in_flight: Vec<usize> = views.iter().map(|view| view.in_flight as usize).collect();
        assert_eq!(
            in_flight,
            [arrived_count(1) - before[0], arrived_count(2) - before[1]]
        );
        assert_eq!(in_flight.iter().sum::<usize>(), 9);
        assert!(
            views
                .iter()
                .all(|view| !view.is_ejected && view.error_rate == 0.0)
        );
        sleep_ms(200).await;
        let views = controller
            .handle
            .inspect(|s| s.policy.invoker_views(s.invocations.now));
        assert!(views.iter().all(|view| view.in_flight == 0), "{views:?}");
    });
}

/// Guards against invocations that the policy rejects in a timer event but that stay in the tables with their inputs.
#[test]
fn forgets_invocation_rejected_after_a_wait() {
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1, 2], 256).await;
        controller
            .invokers
            .values()
            .for_each(|i| i.fault.set(ResponseFault::Miss));
        let mut client = controller.connect_client().await;
        for n in 0..30 {
            client
                .invoke(&Call {
                    function: 5_000 + n,
                    timeout_ms: 800,
                    body: vec![1; 100],
                    ..controller.new_call("look")
                })
                .await;
        }
        for _ in 0..30 {
            assert_eq!(
                expect_response(&mut client).await.code,
                Code::Throttled as u8
            );
        }
        sleep_ms(100).await;
        let (sizes, _, in_flight) = controller.sizes();
        assert_eq!((in_flight, sizes.body_bytes, sizes.requests), (0, 0, 0));
    });
}

/// The descriptor limit holds while hundreds of silent clients connect at once and invokers never respond.
#[test]
fn keeps_descriptor_limit_under_many_connections() {
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1, 2], 64).await;
        let budget = controller.handle.config.budget;
        controller
            .invokers
            .values()
            .for_each(|i| i.fault.set(ResponseFault::NeverSent));
        let mut silent_clients = Vec::new();
        for _ in 0..300 {
            silent_clients.push(controller.connect_client().await);
        }
        let mut normal = controller.connect_client().await;
        for _ in 0..32 {
            normal
                .invoke(&Call {
                    timeout_ms: 1_500,
                    ..controller.new_call("look")
                })
                .await;
        }
        for _ in 0..20 {
            sleep_ms(20).await;
            let (sizes, clients, _) = controller.sizes();
            assert!(sizes.connections <= budget.lines, "{sizes:?} of {budget:?}");
            // Closing connections may wait for their remaining responses, but these clients have none.
            assert!(clients.0 <= budget.clients + 1, "{clients:?} of {budget:?}");
        }
        for _ in 0..32 {
            assert_ne!(
                expect_response(&mut normal).await.code,
                Code::Succeeded as u8
            );
        }
        drop(silent_clients);
        assert_eq!(controller.broken_rules(), [0u8; 0]);
    });
}

/// Guards against buffering a request for which there is no memory: its bytes are discarded, it is rejected when it has
/// arrived completely, and the connection goes on.
#[test]
fn request_without_memory_is_skipped_and_rejected() {
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1], 256).await;
        let memory = controller.handle.config.clients.memory.clone();
        let holders: Vec<_> = (0..100)
            .map(|_| BudgetHolder::new(memory.clone()))
            .collect();
        let reserve = |_| holders.iter().find_map(|holder| holder.reserve(100 << 10));
        let reservations: Vec<_> = (0..100).map_while(reserve).collect();
        let used_before = memory.used();
        let mut client = controller.connect_client().await;
        let large = Call {
            body: vec![7; 16 << 10],
            ..controller.new_call("look")
        };
        let frame = large.frame(1);
        let (first, rest) = frame.split_at(12_000);
        client.stream.write_all(first).await.unwrap();
        sleep_ms(10).await;
        assert_eq!(memory.used(), used_before);
        assert!(memory.refused() > 0);
        client.stream.write_all(rest).await.unwrap();
        assert_eq!(
            expect_response(&mut client).await.code,
            Code::Throttled as u8
        );
        drop(reservations);
        let next = controller.new_call("look").frame(2);
        client.stream.write_all(&next).await.unwrap();
        assert_eq!(
            expect_response(&mut client).await.code,
            Code::Succeeded as u8
        );
        assert_eq!(memory.used(), 0);
    });
}

#[test]
fn shutdown_accepts_during_grace_and_answers_all() {
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1, 2], 256).await;
        let mut old = controller.connect_client().await;
        old.invoke(&controller.new_call("look")).await;
        sleep_ms(5).await;
        let handle = controller.handle.clone();
        let shutdown = spawn_local(async move { shut_down(&handle).await });
        sleep_ms(300).await;
        let mut new = controller.connect_client().await;
        new.invoke(&controller.new_call("look")).await;
        sleep_ms(200).await;
        old.invoke(&controller.new_call("book")).await;
        shutdown.await.unwrap();
        let mut heard = Vec::new();
        for _ in 0..3 {
            heard.push(old.next_frame().await);
        }
        assert!(heard.contains(&Some(ServerFrame::GoAway)), "{heard:?}");
        let answers = heard
            .iter()
            .filter(|h| matches!(h, Some(ServerFrame::Response(_))))
            .count();
        assert_eq!(answers, 2, "{heard:?}");
        assert_eq!(
            new.next_frame().await,
            Some(ServerFrame::GoAway),
            "a client that connects during the grace is notified too"
        );
        expect_response(&mut new).await;
        let late = controller
            .network
            .dial(&Address::Tcp(controller_address().to_string()))
            .await;
        assert!(late.is_err(), "connections are refused after shutdown");
        assert_eq!(controller.broken_rules(), [0u8; 0]);
    });
}
