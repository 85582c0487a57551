//! Every request gets its final response in time while invokers are faulty or other clients misbehave. Runs in virtual
//! time.

use crate::tests::support::{TestController, expect_response, run_test, sleep_ms};
use saltdrum_controller::dispatch_policy;
use saltdrum_fakes::platform::{Call, FrameClient, ResponseFault, ServerFrame};
use saltdrum_platform_wire::frames::{self, Code};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;

const TIME_LIMIT_MS: u64 = 2_000;
const CALL_PAIRS_PER_CLIENT: usize = 20;

/// Sends all calls, and then receives as many responses.
async fn send_and_receive(mut client: FrameClient, calls: Vec<Call>) -> Result<(), String> {
    let call_count = calls.len();
    for pair in calls.chunks(2) {
        for call in pair {
            client.invoke(call).await;
        }
        sleep_ms(20).await;
    }
    for answered in 0..call_count {
        let received = tokio::time::timeout(
            Duration::from_millis(TIME_LIMIT_MS + 100),
            expect_response(&mut client),
        )
        .await;
        received.map_err(|_| format!("{answered} of {call_count} are answered"))?;
    }
    Ok(())
}

/// Four concurrent clients send calls. Each call gets one response in time, and the checker finds no broken rule.
async fn check_all_answered_in_time(controller: &TestController, fault: &str) {
    let mut clients = Vec::new();
    for _ in 0..4 {
        let call = |n: usize| Call {
            timeout_ms: TIME_LIMIT_MS,
            ..controller.new_call(if n.is_multiple_of(2) { "look" } else { "book" })
        };
        let calls = (0..2 * CALL_PAIRS_PER_CLIENT).map(call).collect();
        clients.push(spawn_local(send_and_receive(
            controller.connect_client().await,
            calls,
        )));
    }
    for client in clients {
        assert_eq!(client.await.unwrap(), Ok(()), "{fault}");
    }
    assert_eq!(controller.broken_rules(), [0u8; 0], "{fault}");
}

#[test]
fn answers_all_in_time_with_faulty_invokers() {
    use ResponseFault as S;
    for spoilt in [
        S::NeverSent,
        S::Full,
        S::Errored,
        S::Miss,
        S::Expired,
        S::ClosedUnread,
        S::ClosedAfterReading,
    ] {
        run_test(|| async move {
            let controller = TestController::new(dispatch_policy, &[1, 2], 256).await;
            controller
                .invokers
                .values()
                .for_each(|i| i.fault.set(spoilt));
            check_all_answered_in_time(&controller, &format!("{spoilt:?}")).await;
        });
    }
}

/// No connection to an invoker can be established, because requests without a response use all descriptors.
#[test]
fn answers_all_in_time_without_free_descriptors() {
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1, 2], 32).await;
        controller
            .invokers
            .values()
            .for_each(|i| i.fault.set(ResponseFault::NeverSent));
        check_all_answered_in_time(&controller, "no descriptor").await;
    });
}

/// One client floods the controller and one never reads its responses; a third is served normally.
#[test]
fn flooding_and_stalled_clients_affect_nobody_else() {
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1, 2], 256).await;
        let (mut flooding, mut never_reads) = (
            controller.connect_client().await,
            controller.connect_client().await,
        );
        let flood = spawn_local(async move {
            for n in 1..20_000u32 {
                let frame = if n % 2 == 0 {
                    frames::encode_empty(32, n)
                } else {
                    frames::encode_empty(18, n)
                };
                if flooding.stream.write_all(&frame).await.is_err() {
                    return;
                }
                while let Ok(Some(ServerFrame::Ready { .. })) =
                    tokio::time::timeout(Duration::ZERO, flooding.next_frame()).await
                {
                }
            }
        });
        let unread = spawn_local(async move {
            for n in 1..20_000u32 {
                if never_reads
                    .stream
                    .write_all(&frames::encode_empty(32, n))
                    .await
                    .is_err()
                {
                    return;
                }
            }
            sleep_ms(60_000).await;
        });
        let mut normal = controller.connect_client().await;
        for _ in 0..30 {
            normal.invoke(&controller.new_call("book")).await;
            let received = tokio::time::timeout(
                Duration::from_millis(TIME_LIMIT_MS),
                expect_response(&mut normal),
            )
            .await;
            assert_eq!(
                received.expect("a response in time").code,
                Code::Succeeded as u8
            );
            sleep_ms(10).await;
        }
        flood.abort();
        unread.abort();
        assert_eq!(controller.broken_rules(), [0u8; 0]);
    });
}

/// Guards against idle clients that each delay the accept loop by 10 ms, so that a new client behind many of them waits
/// for seconds.
#[test]
fn serves_new_client_behind_many_idle_clients() {
    const IDLE_CLIENTS: usize = 400;
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1], 64).await;
        let mut idle_clients = Vec::new();
        for _ in 0..IDLE_CLIENTS {
            let mut idle = controller.connect_client().await;
            idle.stream
                .write_all(&frames::encode_empty(32, 1))
                .await
                .unwrap();
            idle_clients.push(idle);
        }
        let started_at = controller.clock.now();
        let mut client = controller.connect_client().await;
        client
            .invoke(&Call {
                timeout_ms: TIME_LIMIT_MS,
                ..controller.new_call("look")
            })
            .await;
        assert_eq!(
            expect_response(&mut client).await.code,
            Code::Succeeded as u8
        );
        let took_ms = (controller.clock.now() - started_at) / saltdrum::interface::MILLISECOND;
        assert!(
            took_ms < 1_000,
            "{took_ms} ms behind {IDLE_CLIENTS} idle clients"
        );
    });
}
