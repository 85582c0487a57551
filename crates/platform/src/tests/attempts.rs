//! Outcomes that are reported for faults of invokers and connections.

use super::support::*;
use bytes::Bytes;
use saltdrum::interface::*;
use saltdrum_fakes::platform::{Call, ResponseFault, ServerFrame, endpoint_record};
use saltdrum_platform_wire::feed::Event;
use saltdrum_platform_wire::frames::Code;
use std::time::Duration;

#[test]
fn reports_proven_outcome_of_each_fault_and_discards_faulty_connections() {
    use ResponseFault as S;
    let may_have_run = [Outcome::Reset, Outcome::Errored, Outcome::TimedOut];
    let (succeeded, throttled) = ([Outcome::Succeeded], |outcome| [outcome]);
    let cases: Vec<(ResponseFault, Vec<Outcome>, Code, bool)> = vec![
        (S::None, succeeded.to_vec(), Code::Succeeded, true),
        (
            S::InformationalFirst,
            succeeded.to_vec(),
            Code::Succeeded,
            true,
        ),
        (
            S::GarbageAfterResponse,
            succeeded.to_vec(),
            Code::Succeeded,
            false,
        ),
        (S::SentTwice, succeeded.to_vec(), Code::Succeeded, false),
        (
            S::Miss,
            throttled(Outcome::Miss).to_vec(),
            Code::Throttled,
            true,
        ),
        (
            S::Full,
            throttled(Outcome::Full).to_vec(),
            Code::Throttled,
            true,
        ),
        (
            S::Expired,
            throttled(Outcome::NotSent).to_vec(),
            Code::Throttled,
            true,
        ),
        (S::Errored, vec![Outcome::Errored], Code::Errored, true),
        (S::GarbageHead, may_have_run.to_vec(), Code::Errored, false),
        (
            S::UnterminatedHead,
            may_have_run.to_vec(),
            Code::Errored,
            false,
        ),
        (
            S::ConflictingLengths,
            may_have_run.to_vec(),
            Code::Errored,
            false,
        ),
        (
            S::ThreeGigabyteLength,
            may_have_run.to_vec(),
            Code::Errored,
            false,
        ),
        (
            S::TruncatedBody,
            may_have_run.to_vec(),
            Code::Errored,
            false,
        ),
        (
            S::ClosedAfterReading,
            may_have_run.to_vec(),
            Code::Errored,
            false,
        ),
        (S::NeverSent, vec![Outcome::TimedOut], Code::Errored, false),
    ];
    for (spoilt, outcomes, code, is_reused) in cases {
        run_test(|| async move {
            let controller = TestController::new(first_invoker_policy, &[1], 256).await;
            let (invoker, mut client) = (
                controller.invokers[&1].clone(),
                controller.connect_client().await,
            );
            invoker.fault.set(spoilt);
            let call = controller.new_call("book");
            client.invoke(&call).await;
            let response = expect_response(&mut client).await;
            assert_eq!(response.code, code as u8, "{spoilt:?}");
            let ends = ATTEMPT_ENDS.take();
            assert!(
                ends.len() == 1 && outcomes.contains(&ends[0].0),
                "{spoilt:?}: {ends:?}"
            );
            if code == Code::Succeeded {
                assert_eq!(
                    response.body,
                    format!("ran {} {}", call.txn(), call.body.len()),
                    "{spoilt:?}"
                );
            }
            assert_eq!(
                response.retry_after_ms,
                (code == Code::Throttled).then_some(10),
                "{spoilt:?}"
            );
            sleep_ms(CONNECTION_REUSABLE_MS).await;
            invoker.fault.set(ResponseFault::None);
            client.invoke(&controller.new_call("book")).await;
            assert_eq!(
                expect_response(&mut client).await.code,
                Code::Succeeded as u8,
                "{spoilt:?}"
            );
            assert_eq!(
                invoker.accepted.get(),
                if is_reused { 1 } else { 2 },
                "connections after {spoilt:?}"
            );
            assert_eq!(controller.broken_rules(), [0u8; 0], "{spoilt:?}");
        });
    }
}

#[test]
fn reports_request_that_was_never_sent() {
    run_test(|| async {
        let controller = TestController::new(first_invoker_policy, &[], 256).await;
        let mut client = controller.connect_client().await;
        // The invoker is listed, but nothing listens at its address.
        controller.feed.publish(
            2,
            Event::Changes(vec![endpoint_record(
                1,
                invoker_address(9),
                InvokerStatus::Ready,
                None,
            )]),
        );
        sleep_ms(10).await;
        client.invoke(&controller.new_call("book")).await;
        assert_eq!(
            expect_response(&mut client).await.code,
            Code::Throttled as u8
        );
        assert_eq!(ATTEMPT_ENDS.take(), [(Outcome::NoConnection, false)]);
    });
}

/// Guards against a request that is withdrawn on a reused connection before it is sent, but is reported by the state of
/// the connection's previous request.
#[test]
fn request_withdrawn_before_sending_never_runs_on_reused_connection() {
    run_test(|| async {
        let controller = TestController::new(first_invoker_policy, &[1], 256).await;
        let mut client = controller.connect_client().await;
        client.invoke(&controller.new_call("book")).await;
        assert_eq!(
            expect_response(&mut client).await.code,
            Code::Succeeded as u8
        );
        sleep_ms(CONNECTION_REUSABLE_MS).await;
        client
            .invoke(&Call {
                function: CANCELLED_FUNCTION,
                ..controller.new_call("book")
            })
            .await;
        assert_eq!(
            expect_response(&mut client).await.code,
            Code::Throttled as u8
        );
        assert_eq!(ATTEMPT_ENDS.take()[1..], [(Outcome::NotSent, false)]);
        assert_eq!(controller.invokers[&1].requests.borrow().len(), 1);
    });
}

/// Guards against an invocation that counts as lost: a busy controller did not run for 40 ms, ended the invocation
/// after the client timeout, and did not send the response although the client still waited.
#[test]
fn answers_after_client_timeout_when_process_was_stopped() {
    for (stopped_ms, is_answered) in [(300, true), (650, true), (900, false)] {
        run_test(|| async move {
            let controller = TestController::new(first_invoker_policy, &[1], 256).await;
            let mut client = controller.connect_client().await;
            controller.invokers[&1].fault.set(ResponseFault::NeverSent);
            client
                .invoke(&Call {
                    timeout_ms: 200,
                    ..controller.new_call("book")
                })
                .await;
            sleep_ms(100).await;
            tokio::time::advance(Duration::from_millis(stopped_ms - 100)).await;
            let heard = tokio::time::timeout(Duration::from_millis(20), client.next_frame()).await;
            assert_eq!(
                matches!(heard, Ok(Some(ServerFrame::Response(_)))),
                is_answered,
                "{stopped_ms}: {heard:?}"
            );
        });
    }
}

#[test]
fn forwards_ids_fields_and_bodies_unchanged() {
    run_test(|| async {
        let controller = TestController::new(first_invoker_policy, &[1], 256).await;
        let mut client = controller.connect_client().await;
        let body: Vec<u8> = (0..=255).cycle().take(16 << 10).collect();
        let call = Call {
            body: body.clone(),
            ..controller.new_call("charge")
        };
        client.invoke(&call).await;
        assert_eq!(
            expect_response(&mut client).await.code,
            Code::Succeeded as u8
        );
        client
            .invoke(&Call {
                body: vec![],
                ..controller.new_call("look")
            })
            .await;
        expect_response(&mut client).await;
        let arrived = controller.invokers[&1].requests.borrow();
        let (post, get) = (&arrived[0], &arrived[1]);
        assert_eq!(
            (post.method.as_str(), post.path.as_str()),
            ("POST", "/obj/charge")
        );
        assert_eq!(
            (&post.fields["x-txn"], post.fields.get("x-dedupe")),
            (&call.txn(), call.token.as_ref())
        );
        assert_eq!(post.fields["x-name"], format!("{:016x}", call.function));
        assert!(
            (1_900..2_000).contains(&post.fields["x-limit-ms"].parse::<u32>().unwrap()),
            "{:?}",
            post.fields
        );
        assert_eq!(post.body, Bytes::from(body));
        assert_eq!(
            (get.method.as_str(), get.path.as_str()),
            ("GET", "/obj/look")
        );
        assert!(
            !get.fields.contains_key("x-dedupe") && !get.fields.contains_key("content-length"),
            "{get:?}"
        );
    });
}

#[test]
fn reuses_connections_until_idle_timeout() {
    run_test(|| async {
        let controller = TestController::new(first_invoker_policy, &[1], 256).await;
        let (invoker, mut client) = (
            controller.invokers[&1].clone(),
            controller.connect_client().await,
        );
        for n in 0..30 {
            client.invoke(&controller.new_call("look")).await;
            assert_eq!(
                expect_response(&mut client).await.code,
                Code::Succeeded as u8
            );
            sleep_ms(CONNECTION_REUSABLE_MS + n * 20).await;
        }
        assert_eq!(invoker.accepted.get(), 1);
        sleep_ms(12_000).await;
        let mut client = controller.connect_client().await;
        client.invoke(&controller.new_call("look")).await;
        expect_response(&mut client).await;
        assert_eq!(
            invoker.accepted.get(),
            2,
            "an idle connection is closed before the invoker would close it"
        );
        assert_eq!(invoker.connections.get(), 1);
    });
}
