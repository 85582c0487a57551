//! Clients that leave with requests unread or in flight, and ids that come again. Uses loopback sockets, as in `races`.

use super::socket_support::*;
use saltdrum::interface::SECOND;
use saltdrum_platform_wire::frames::{self, Code};
use std::io::{Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Cancels,
    Closes,
}

/// Makes the client leave, and waits until its invocation has ended.
async fn leave(controller: &TestController, mut client: PeerConnection, departure: Departure) {
    match departure {
        Departure::Cancels => client.write(&frames::encode_empty(18, 1)),
        Departure::Closes => drop(client),
    }
    wait_until(|| controller.in_flight() == 0).await;
}

/// Sends a request, and returns the code of its response.
async fn response_code(client: &mut PeerConnection, call: &[u8]) -> u8 {
    client.write(call);
    let (kind, _, payload) = client.receive_frame().await;
    assert_eq!(kind, 17);
    payload[0]
}

/// Guards against sending on the requests of a client that closed its connection with much still unread.
#[test]
fn nothing_is_sent_for_a_client_that_closed_with_much_unread() {
    for is_reset in [false, true] {
        run_test(|| async move {
            let controller = TestController::new().await;
            let mut client = controller.connect_client();
            if is_reset {
                // A response that is never read makes the close a reset.
                client.write(&frames::encode_empty(32, 1));
                wait_until(|| client.stream.peek(&mut [0]).is_ok()).await;
            }
            let calls: Vec<u8> = (2..=600)
                .flat_map(|stream| controller.new_call(stream).0)
                .collect();
            client.write(&calls);
            drop(client);
            let accepted = || {
                controller
                    .handle
                    .inspect(|s| s.invocations.counters.accepted)
            };
            // A reset discards what was not read yet.
            wait_until(|| is_reset || accepted() > 0).await;
            wait_until(|| controller.client_count() == 0 && controller.in_flight() == 0).await;
            // The request of another client is the only one that arrives.
            let mut other = controller.connect_client();
            let (call, txn) = controller.new_call(1);
            other.write(&call);
            let mut connections = vec![controller.accept_connection().await];
            let arrived = loop {
                let arrived = connections.iter_mut().find_map(|connection| {
                    connection.read_available();
                    connection.next_request()
                });
                if let Some(arrived) = arrived {
                    break arrived;
                }
                tokio::task::yield_now().await;
                if let Ok((stream, _)) = controller.invoker.accept() {
                    connections.push(PeerConnection::new(stream));
                }
            };
            assert_eq!(arrived, txn, "reset: {is_reset}");
            assert!(controller.received_nothing(), "reset: {is_reset}");
        });
    }
}

/// Guards against a second run of a request whose id comes again after its client has left: the id was free as soon as
/// the client had left, though its attempt had been sent.
#[test]
fn id_that_comes_again_after_its_client_left_does_not_run_twice() {
    for departure in [Departure::Cancels, Departure::Closes] {
        run_test(|| async move {
            let controller = TestController::new().await;
            let mut client = controller.connect_client();
            let (call, txn) = controller.new_call(1);
            client.write(&call);
            let mut connection = controller.accept_connection().await;
            assert_eq!(connection.receive_request().await, txn);
            leave(&controller, client, departure).await;
            let mut again = controller.connect_client();
            let code = response_code(&mut again, &call).await;
            assert_eq!(code, Code::Errored as u8, "{departure:?}");
            assert!(controller.received_nothing(), "{departure:?}");
        });
    }
}

/// Guards against a second run of a request whose id comes again after its response.
#[test]
fn id_that_comes_again_after_its_response_does_not_run_twice() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_client();
        let (call, _) = controller.new_call(1);
        client.write(&call);
        let mut connection = controller.accept_connection().await;
        connection.receive_request().await;
        connection.write(&http_response("done"));
        assert_eq!(client.receive_frame().await.2[0], Code::Succeeded as u8);
        let mut again = controller.connect_client();
        let code = response_code(&mut again, &call).await;
        assert_eq!(code, Code::Errored as u8);
        assert!(controller.received_nothing());
    });
}

/// A request that provably never ran may come again under its id, as after a close that it crossed.
#[test]
fn id_of_a_request_that_never_ran_may_come_again() {
    for departure in [Departure::Cancels, Departure::Closes] {
        run_test(|| async move {
            let controller = TestController::new().await;
            let mut client = controller.connect_client();
            let dials = controller.network.dial_count.get();
            controller.network.is_closed.set(true);
            let (call, txn) = controller.new_call(1);
            client.write(&call);
            wait_until(|| controller.network.dial_count.get() > dials).await;
            leave(&controller, client, departure).await;
            controller.network.is_closed.set(false);
            let mut again = controller.connect_client();
            again.write(&call);
            let mut connection = controller.accept_connection().await;
            assert_eq!(connection.receive_request().await, txn, "{departure:?}");
            connection.write(&http_response("done"));
            let code = again.receive_frame().await.2[0];
            assert_eq!(code, Code::Succeeded as u8, "{departure:?}");
        });
    }
}

/// Guards against attempts that wait for as long as their client sends without a pause: they counted as sent, so that the
/// decision module took the invoker for unresponsive, and refused the requests of others.
#[test]
fn attempts_of_a_client_that_never_pauses_are_given_up() {
    run_test(|| async {
        let controller = TestController::new().await;
        let client = controller.connect_client();
        let mut frames = controller.new_call(1).0;
        (2..=20_000).for_each(|stream| frames.extend(frames::encode_empty(32, stream)));
        let is_ended = Arc::<AtomicBool>::default();
        let (mut stream, ended) = (client.stream.try_clone().unwrap(), is_ended.clone());
        let sending = std::thread::spawn(move || {
            let queries = frames::encode_empty(32, 0).repeat(1_000);
            let mut bytes = &frames[..];
            while !ended.load(Ordering::Relaxed) {
                let sent = stream.write(bytes).unwrap_or(0);
                bytes = &bytes[sent..];
                if bytes.is_empty() {
                    bytes = &queries;
                }
                // What it is sent is read, and not looked at.
                let _ = stream.read(&mut [0; 64 << 10]);
            }
        });
        let accepted = || {
            controller
                .handle
                .inspect(|s| s.invocations.counters.accepted)
        };
        wait_until(|| accepted() == 1).await;
        let admitted_at = controller.handle.clock.now();
        wait_until(|| controller.in_flight() == 0).await;
        let waited = controller.handle.clock.now() - admitted_at;
        is_ended.store(true, Ordering::Relaxed);
        sending.join().unwrap();
        // The client waits for 2.5 s.
        assert!(waited < SECOND, "given up after {waited} ticks");
        assert!(controller.received_nothing());
    });
}
