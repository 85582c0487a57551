//! The five rules hold on the traffic, and the checker detects violations.

use super::support::*;
use saltdrum::interface::*;
use saltdrum_controller::{Policy, dispatch_policy};
use saltdrum_fakes::platform::{Call, ResponseFault, endpoint_record};
use saltdrum_fakes::record::Line;
use saltdrum_platform_wire::feed::Event;
use saltdrum_scenario::check::dispatches_after_hang_up;
use saltdrum_transport::Address;
use std::cell::Cell;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Sends a mixed load while invokers drain, fail and return faulty responses.
async fn send_mixed_load(controller: &TestController, rounds: u64) {
    let mut client = controller.connect_client().await;
    for round in 0..rounds {
        for trigger in ["look", "book", "charge"] {
            client
                .invoke(&Call {
                    timeout_ms: 1_000,
                    ..controller.new_call(trigger)
                })
                .await;
        }
        let spoilt = [
            ResponseFault::None,
            ResponseFault::TruncatedBody,
            ResponseFault::None,
            ResponseFault::Miss,
            ResponseFault::None,
            ResponseFault::ClosedAfterReading,
        ];
        controller.invokers[&((round % 2) as u32 + 1)]
            .fault
            .set(spoilt[round as usize % spoilt.len()]);
        if round == rounds / 2 {
            controller.feed.publish(
                2,
                Event::Changes(vec![endpoint_record(
                    1,
                    invoker_address(1),
                    InvokerStatus::Draining,
                    None,
                )]),
            );
            let started = Some(UNIX_MS + controller.clock.now() / 10 - 3_600_000);
            controller.feed.publish(
                3,
                Event::Changes(vec![endpoint_record(
                    3,
                    invoker_address(3),
                    InvokerStatus::Ready,
                    started,
                )]),
            );
        }
        let _ = tokio::time::timeout(Duration::from_millis(60), async {
            while client.next_frame().await.is_some() {}
        })
        .await;
    }
    let _ = tokio::time::timeout(Duration::from_millis(2_500), async {
        while client.next_frame().await.is_some() {}
    })
    .await;
}

#[test]
fn keeps_five_rules_with_faulty_peers() {
    run_test(|| async {
        let mut controller = TestController::new(dispatch_policy, &[1, 2], 256).await;
        controller.start_invoker(3, invoker_address(3));
        send_mixed_load(&controller, 120).await;
        let arrived: usize = controller
            .invokers
            .values()
            .map(|i| i.requests.borrow().len())
            .sum();
        assert!(arrived > 200, "{arrived}");
        assert_eq!(controller.broken_rules(), [0u8; 0]);
    });
}

/// A policy that breaks a rule.
#[derive(Clone, Copy, PartialEq)]
enum FaultyPolicy {
    NeverResponds,
    RepeatsAttempts,
    ExceedsLoadBudget,
    OverloadsColdInvoker,
}

thread_local! {
    static FAULTY_POLICY: Cell<FaultyPolicy> = const { Cell::new(FaultyPolicy::RepeatsAttempts) };
}

impl Policy for FaultyPolicy {
    fn invokers_changed(&mut self, _: Ticks, _: bool, _: &[InvokerRecord]) {}
    fn invocation_arrived(&mut self, _: Ticks, call: Invocation, acts: &mut dyn Actions) {
        match self {
            Self::NeverResponds => return,
            Self::ExceedsLoadBudget => (0..4).for_each(|_| acts.load(2, call.function, 1)),
            Self::RepeatsAttempts | Self::OverloadsColdInvoker => {}
        }
        acts.dispatch(
            call.id,
            if *self == Self::OverloadsColdInvoker {
                3
            } else {
                2
            },
            0,
        );
    }
    fn invocation_abandoned(&mut self, _: Ticks, _: InvocationId, _: &mut dyn Actions) {}
    fn attempt_ended(&mut self, _: Ticks, ended: AttemptResult, acts: &mut dyn Actions) {
        if !ended.invocation_finished && *self == Self::RepeatsAttempts && ended.attempt == 0 {
            acts.dispatch(ended.invocation, 1, 0);
        } else if !ended.invocation_finished {
            acts.error(ended.invocation);
        }
    }
    fn load_ended(&mut self, _: Ticks, _: LoadResult, _: &mut dyn Actions) {}
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
}

#[test]
fn checker_catches_each_injected_fault() {
    for (policy, rule) in [
        (FaultyPolicy::NeverResponds, 1),
        (FaultyPolicy::RepeatsAttempts, 2),
        (FaultyPolicy::ExceedsLoadBudget, 5),
    ] {
        run_test(|| async move {
            FAULTY_POLICY.set(policy);
            let controller =
                TestController::new(|_, _, _, _| Box::new(FAULTY_POLICY.get()), &[1, 2], 256).await;
            let mut client = controller.connect_client().await;
            controller.invokers[&2]
                .fault
                .set(ResponseFault::TruncatedBody);
            for _ in 0..10 {
                client
                    .invoke(&Call {
                        timeout_ms: 500,
                        ..controller.new_call("book")
                    })
                    .await;
            }
            let _ = tokio::time::timeout(Duration::from_millis(1_500), async {
                while client.next_frame().await.is_some() {}
            })
            .await;
            assert!(controller.broken_rules().contains(&rule), "rule {rule}");
        });
    }
}

#[test]
fn checker_catches_late_dispatch_to_draining_invoker() {
    run_test(|| async {
        // The drain is recorded as reported, but never sent to the controller.
        let controller = TestController::new(first_invoker_policy, &[1], 256).await;
        let (at, who) = (controller.clock.now(), CONTROLLER);
        controller.record.note(Line::EndpointSent {
            at,
            who,
            invoker: 1,
            incarnation: 0,
            life: "draining".into(),
        });
        sleep_ms(400).await;
        let mut client = controller.connect_client().await;
        client.invoke(&controller.new_call("look")).await;
        expect_response(&mut client).await;
        assert_eq!(controller.broken_rules(), [3]);
    });
}

/// Uses a record of a gateway that dispatches without checking whether the client still waits.
#[test]
fn checker_catches_dispatch_after_client_left() {
    for (delay_ms, is_caught) in [(100, false), (101, true)] {
        let (of, at) = (
            saltdrum_fakes::record::ClientAttempt {
                number: 1,
                attempt: 0,
            },
            1_000 * MILLISECOND,
        );
        let sent_on = at + delay_ms * MILLISECOND;
        let (invoker, invocation, hop, trigger) = (1, 1, 0, "look".to_owned());
        let lines = [
            stated_line(),
            Line::HungUp { at, of },
            Line::Dispatched {
                at: sent_on,
                earliest: sent_on,
                invoker,
                who: CONTROLLER,
                invocation,
                hop,
                of,
                trigger,
            },
        ];
        assert_eq!(
            !dispatches_after_hang_up(&lines).is_empty(),
            is_caught,
            "{delay_ms} ms"
        );
    }
}

/// A request arrives late with almost the full time limit.
#[test]
fn checker_catches_overstated_time_limit() {
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1], 256).await;
        let mut client = controller.connect_client().await;
        let call = controller.new_call("look");
        client.invoke(&call).await;
        expect_response(&mut client).await;
        assert_eq!(
            controller.invokers[&1].time_limit_violations.borrow().len(),
            0
        );
        sleep_ms(500).await;
        let mut connection = controller
            .network
            .dial(&Address::Tcp(invoker_address(1).to_string()))
            .await
            .unwrap();
        let late_request = format!(
            "GET /obj/look HTTP/1.1\r\nX-Txn: {}\r\nX-Limit-Ms: 1900\r\n\r\n",
            call.txn()
        );
        connection.write_all(late_request.as_bytes()).await.unwrap();
        sleep_ms(100).await;
        assert!(controller.broken_rules().contains(&8));
    });
}

/// Two clients whose streams are exchanged receive each other's output.
#[test]
fn checker_catches_swapped_outputs() {
    for is_exchanged in [false, true] {
        run_test(|| async move {
            let controller = TestController::new(first_invoker_policy, &[1], 256).await;
            let (mut client, mut other) = (
                controller.connect_client().await,
                controller.connect_client().await,
            );
            for one in [&mut client, &mut other] {
                one.invoke(&controller.new_call("look")).await;
            }
            if is_exchanged {
                std::mem::swap(&mut client.stream, &mut other.stream);
            }
            for one in [&mut client, &mut other] {
                expect_response(one).await;
            }
            assert_eq!(
                controller.broken_rules(),
                if is_exchanged { vec![7] } else { vec![] }
            );
        });
    }
}

#[test]
fn checker_catches_overload_of_cold_invoker() {
    run_test(|| async {
        FAULTY_POLICY.set(FaultyPolicy::OverloadsColdInvoker);
        let mut controller =
            TestController::new(|_, _, _, _| Box::new(FAULTY_POLICY.get()), &[], 1_024).await;
        controller.start_invoker(3, invoker_address(3));
        let (at, invoker) = (controller.clock.now(), 3);
        controller.record.note(Line::Invoker {
            at,
            invoker,
            incarnation: 1,
            up: true,
            cold: true,
        });
        let started = Some(UNIX_MS);
        controller.feed.publish(
            2,
            Event::Changes(vec![endpoint_record(
                3,
                invoker_address(3),
                InvokerStatus::Ready,
                started,
            )]),
        );
        sleep_ms(20).await;
        let mut client = controller.connect_client().await;
        for _ in 0..400 {
            for _ in 0..10 {
                let call = controller.new_call("look");
                controller.record.note(Line::Sent {
                    at: controller.clock.now(),
                    who: CONTROLLER,
                    of: saltdrum_fakes::record::ClientAttempt {
                        number: call.number,
                        attempt: 0,
                    },
                    tenant: String::new(),
                    trigger: "look".into(),
                    function: String::new(),
                    timeout: 20_000,
                    work: 40 * MILLISECOND,
                });
                client.invoke(&call).await;
            }
            sleep_ms(4).await;
            for _ in 0..10 {
                expect_response(&mut client).await;
            }
        }
        assert!(controller.broken_rules().contains(&4));
    });
}
