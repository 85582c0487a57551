//! A process that stood still: what its clients have left is counted from when their requests came, and nothing is sent on
//! for who left meanwhile. Over loopback sockets, as `crossings`; the test stands still in its own turn, and with it the
//! controller.

use crate::tests::socket_support::{Stage, before_their_turn, http, staged, until};
use saltdrum::interface::*;
use saltdrum_controller::Policy;
use saltdrum_platform_wire::frames;
use std::time::Duration;

/// How long the process stands still, or a dial takes.
const STALL: Duration = Duration::from_millis(400);
/// What the clients of `Stage::call` wait, and by how much more an invoker may be told.
const LIMIT_MS: u64 = 2_500;
const SLACK_MS: u64 = 150;
const LEFT_MOST_MS: u64 = LIMIT_MS - STALL.as_millis() as u64 + SLACK_MS;

fn stand_still() {
    std::thread::sleep(STALL);
}

/// The time left was worded when the attempt was chosen, before the dial.
#[test]
fn slow_connect_reduces_stated_time_limit() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.known().await;
        let dials = stage.network.waiting.get();
        stage.network.shut.set(true);
        client.write(&stage.call(2).0);
        until(|| stage.network.waiting.get() > dials).await;
        // A dial may take 250 ms here; the process stands still for the rest of it.
        before_their_turn(stand_still).await;
        stage.network.shut.set(false);
        stage.network.opened.notify_waiters();
        let mut line = stage.line().await;
        line.asked().await;
        assert!(
            line.limit_ms.unwrap() <= LEFT_MOST_MS,
            "{:?} ms are told",
            line.limit_ms
        );
        line.write(&http("done"));
        assert_eq!(client.hear().await.1, 2);
    });
}

/// Sends all to invoker 1, to leave within 100 ms; tells of what never left by throttling.
struct LeavesSoon;

impl Policy for LeavesSoon {
    fn invokers_changed(&mut self, _: Ticks, _: bool, _: &[InvokerRecord]) {}
    fn invocation_arrived(&mut self, now: Ticks, call: Invocation, acts: &mut dyn Actions) {
        acts.dispatch_by(call.id, 1, 0, now + 100 * MILLISECOND);
    }
    fn invocation_abandoned(&mut self, _: Ticks, _: InvocationId) {}
    fn attempt_ended(&mut self, _: Ticks, a: AttemptResult, acts: &mut dyn Actions) {
        if !a.invocation_finished && a.outcome.never_ran() {
            acts.throttle(a.invocation, 100);
        }
    }
    fn load_ended(&mut self, _: Ticks, _: LoadResult, _: &mut dyn Actions) {}
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
}

/// Found by reading: a repeat under a token was decided within its window, and left after it, as its dial was slow or the
/// process stood still meanwhile. Invokers drop repeats within the window alone.
#[test]
fn request_is_not_sent_after_its_deadline() {
    staged(|| async {
        let stage = Stage::with_sockets(|_, _, _, _| Box::new(LeavesSoon), &[], 256).await;
        let mut client = stage.known().await;
        let dials = stage.network.waiting.get();
        stage.network.shut.set(true);
        client.write(&stage.call(2).0);
        until(|| stage.network.waiting.get() > dials).await;
        before_their_turn(|| std::thread::sleep(Duration::from_millis(150))).await;
        stage.network.shut.set(false);
        stage.network.opened.notify_waiters();
        assert_eq!(client.hear().await.1, 2, "it is answered: it never ran");
        assert!(stage.nothing_came());
    });
}

/// A connection that was made, with a request in it, while the process stood still was taken for one of now.
#[test]
fn stop_before_accept_reduces_time_limit() {
    staged(|| async {
        let stage = Stage::new().await;
        stage.known().await;
        let mut client = stage.client();
        client.write(&stage.call(1).0);
        stand_still();
        let mut line = stage.line().await;
        line.asked().await;
        assert!(
            line.limit_ms.unwrap() <= LEFT_MOST_MS,
            "{:?} ms are told",
            line.limit_ms
        );
    });
}

/// Sound, by test: the same on a connection that is known.
#[test]
fn stop_before_read_reduces_time_limit() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.known().await;
        client.write(&stage.call(2).0);
        stand_still();
        let mut line = stage.line().await;
        line.asked().await;
        assert!(
            line.limit_ms.unwrap() <= LEFT_MOST_MS,
            "{:?} ms are told",
            line.limit_ms
        );
    });
}

/// How a client goes behind what it asked for.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Cancels,
    Closes,
}

/// Requests that fill the read buffer some times over, and behind them the news that nobody waits: all of it came while the
/// process stood still, and the first requests were sent on before the last bytes were read.
#[test]
fn cancel_behind_full_read_buffer_prevents_dispatch() {
    for leaves in [Leaves::Cancels, Leaves::Closes] {
        staged(|| async move {
            let stage = Stage::new().await;
            let mut client = stage.known().await;
            let calls: Vec<u8> = (2..34)
                .flat_map(|n| stage.call_with(n, &[7; 3_000]).0)
                .collect();
            client.write(&calls);
            if matches!(leaves, Leaves::Cancels) {
                let cancels: Vec<u8> = (2..34)
                    .flat_map(|n| frames::encode_empty(18, n).to_vec())
                    .collect();
                client.write(&cancels);
            } else {
                drop(client);
            }
            stand_still();
            until(|| {
                stage.handle.inspect(|s| s.invocations.counters.accepted) == 32
                    && stage.in_flight() == 0
            })
            .await;
            // Whatever was on its way would be there by then.
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert!(stage.nothing_came(), "{leaves:?}");
        });
    }
}

/// A repeat, or what waited for a load, falls due in the turn in which the process wakes; the close lies in the machine.
#[test]
fn timer_due_after_stop_does_not_dispatch_for_departed_client() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.known().await;
        client.write(&stage.call(2).0);
        let mut line = stage.line().await;
        line.asked().await;
        until(|| stage.in_flight() == 1).await;
        drop(client);
        stand_still();
        // Before the reader has heard of the close.
        stage
            .handle
            .update(|state| state.invocations.dispatch(1, 1, 0));
        until(|| stage.in_flight() == 0).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(stage.nothing_came());
        assert!(line.request().is_none());
    });
}
