//! A process that is stopped: the time that its clients have left counts from when their requests can have arrived, and
//! nothing is sent for clients that left during the stop. Uses loopback sockets, as in `races`. The test blocks the
//! event loop, and the controller with it.

use crate::tests::socket_support::{
    TestController, before_controller_tasks, http_response, run_test, wait_until,
};
use saltdrum::interface::*;
use saltdrum_controller::Policy;
use saltdrum_platform_wire::frames;
use std::time::Duration;

/// How long the process is stopped, or a dial takes.
const STALL: Duration = Duration::from_millis(400);
/// Time limit of the calls of `TestController::new_call`.
const LIMIT_MS: u64 = 2_500;
/// By how much the time limit stated to an invoker may exceed the actual one.
const SLACK_MS: u64 = 150;
/// Greatest time limit that may be stated to an invoker after a stall.
const STATED_LIMIT_MAX_MS: u64 = LIMIT_MS - STALL.as_millis() as u64 + SLACK_MS;

fn stop_process() {
    std::thread::sleep(STALL);
}

/// Guards against a stated time limit that was computed before the dial.
#[test]
fn slow_connect_reduces_stated_time_limit() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        let dials = controller.network.dial_count.get();
        controller.network.is_closed.set(true);
        client.write(&controller.new_call(2).0);
        wait_until(|| controller.network.dial_count.get() > dials).await;
        // A dial may take 250 ms here; the process is stopped for the remaining time.
        before_controller_tasks(stop_process).await;
        controller.network.open();
        let mut connection = controller.accept_connection().await;
        connection.receive_request().await;
        assert!(
            connection.limit_ms.unwrap() <= STATED_LIMIT_MAX_MS,
            "{:?} ms are stated",
            connection.limit_ms
        );
        connection.write(&http_response("done"));
        assert_eq!(client.receive_frame().await.1, 2);
    });
}

/// Sends all invocations to invoker 1 with a send deadline of 100 ms, and throttles those that were not sent.
struct ShortSendDeadline;

impl Policy for ShortSendDeadline {
    fn invokers_changed(&mut self, _: Ticks, _: bool, _: &[InvokerRecord]) {}
    fn invocation_arrived(&mut self, now: Ticks, call: Invocation, acts: &mut dyn Actions) {
        acts.dispatch_by(call.id, 1, 0, now + 100 * MILLISECOND);
    }
    fn invocation_abandoned(&mut self, _: Ticks, _: InvocationId, _: &mut dyn Actions) {}
    fn attempt_ended(&mut self, _: Ticks, ended: AttemptResult, acts: &mut dyn Actions) {
        if !ended.invocation_finished && ended.outcome.never_ran() {
            acts.throttle(ended.invocation, 100);
        }
    }
    fn load_ended(&mut self, _: Ticks, _: LoadResult, _: &mut dyn Actions) {}
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
}

/// Guards against a retry with an idempotency token that is decided within the token's window but sent after it,
/// because the dial was slow or the process was stopped. Invokers deduplicate only within the window.
#[test]
fn request_is_not_sent_after_its_deadline() {
    run_test(|| async {
        let controller =
            TestController::with_sockets(|_, _, _, _| Box::new(ShortSendDeadline), &[], 256).await;
        let mut client = controller.connect_active_client().await;
        let dials = controller.network.dial_count.get();
        controller.network.is_closed.set(true);
        client.write(&controller.new_call(2).0);
        wait_until(|| controller.network.dial_count.get() > dials).await;
        before_controller_tasks(|| std::thread::sleep(Duration::from_millis(150))).await;
        controller.network.open();
        assert_eq!(
            client.receive_frame().await.1,
            2,
            "the invocation never ran, and is rejected"
        );
        assert!(controller.received_nothing());
    });
}

/// Guards against a connection, with a request, that is established during a stop but counts as established after it.
#[test]
fn stop_before_accept_reduces_time_limit() {
    run_test(|| async {
        let controller = TestController::new().await;
        controller.connect_active_client().await;
        let mut client = controller.connect_client();
        client.write(&controller.new_call(1).0);
        stop_process();
        let mut connection = controller.accept_connection().await;
        connection.receive_request().await;
        assert!(
            connection.limit_ms.unwrap() <= STATED_LIMIT_MAX_MS,
            "{:?} ms are stated",
            connection.limit_ms
        );
    });
}

/// The same on a connection that was accepted before the stop.
#[test]
fn stop_before_read_reduces_time_limit() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        client.write(&controller.new_call(2).0);
        stop_process();
        let mut connection = controller.accept_connection().await;
        connection.receive_request().await;
        assert!(
            connection.limit_ms.unwrap() <= STATED_LIMIT_MAX_MS,
            "{:?} ms are stated",
            connection.limit_ms
        );
    });
}

/// How a client departure after sending its requests.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Cancels,
    Closes,
}

/// Requests that exceed the read buffer, followed by their cancellations or the close, arrive during a stop. Guards
/// against dispatching the first requests before the last bytes are read.
#[test]
fn cancel_behind_full_read_buffer_prevents_dispatch() {
    for departure in [Departure::Cancels, Departure::Closes] {
        run_test(|| async move {
            let controller = TestController::new().await;
            let mut client = controller.connect_active_client().await;
            let calls: Vec<u8> = (2..34)
                .flat_map(|n| controller.new_call_with_body(n, &[7; 3_000]).0)
                .collect();
            client.write(&calls);
            if matches!(departure, Departure::Cancels) {
                let cancels: Vec<u8> = (2..34)
                    .flat_map(|n| frames::encode_empty(18, n).to_vec())
                    .collect();
                client.write(&cancels);
            } else {
                drop(client);
            }
            stop_process();
            wait_until(|| {
                controller
                    .handle
                    .inspect(|s| s.invocations.counters.accepted)
                    == 32
                    && controller.in_flight() == 0
            })
            .await;
            // Any dispatched request would have arrived by then.
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert!(controller.received_nothing(), "{departure:?}");
        });
    }
}

/// A retry, or an invocation that waited for a load, becomes due in the event loop turn in which the process resumes,
/// while the client's close is still unread.
#[test]
fn timer_due_after_stop_does_not_dispatch_for_departed_client() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        client.write(&controller.new_call(2).0);
        let mut connection = controller.accept_connection().await;
        connection.receive_request().await;
        wait_until(|| controller.in_flight() == 1).await;
        drop(client);
        stop_process();
        // Dispatched before the reader handles the close.
        controller
            .handle
            .update(|state| state.invocations.dispatch(1, 1, 0));
        wait_until(|| controller.in_flight() == 0).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(controller.received_nothing());
        assert!(connection.next_request().is_none());
    });
}
