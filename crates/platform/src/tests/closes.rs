//! Before the controller closes a connection, it reads and answers everything in the kernel's receive buffer. Uses
//! loopback sockets, as in `races`.

use crate::clients::AcceptDecision;
use crate::tests::socket_support::{
    PeerConnection, TestController, before_controller_tasks, http_response, run_test, wait_until,
};
use crate::tests::support::FirstInvokerPolicy;
use saltdrum_platform_wire::frames::{self, Code};

/// Returns the frames that a client receives until its connection ends: type, stream, code.
async fn receive_until_end(client: &mut PeerConnection) -> Vec<(u8, u32, u8)> {
    wait_until(|| {
        client.read_available();
        client.is_ended
    })
    .await;
    let frames = std::iter::from_fn(|| client.next_frame());
    frames
        .map(|(kind, stream, payload)| (kind, stream, payload.first().copied().unwrap_or(0)))
        .collect()
}

/// Makes the controller close the idle connection to free capacity.
fn close_idle_connection(controller: &TestController) {
    assert_eq!(
        controller.handle.config.clients.make_capacity(1),
        Some(AcceptDecision::Served)
    );
}

/// Guards against requests that were admitted before a malformed frame and end without a response.
#[test]
fn answers_valid_request_before_malformed_frame() {
    for (dispatched, code) in [(true, Code::Errored), (false, Code::Errored)] {
        run_test(|| async move {
            let controller = TestController::new().await;
            let mut client = controller.connect_client();
            let malformed = [0, 0, 0, 9, 77, 0, 0, 0, 0, 0, 0, 0, 0];
            let call = controller.new_call(2).0;
            if dispatched {
                client.write(&call);
                controller.accept_connection().await.receive_request().await;
                client.write(&malformed);
            } else {
                client.write(&[&call[..], &malformed[..]].concat());
            }
            let received = receive_until_end(&mut client).await;
            assert_eq!(
                received,
                [(17, 2, code as u8), (17, 0, Code::Errored as u8)],
                "{dispatched}"
            );
            assert_eq!(controller.in_flight(), 0);
        });
    }
}

/// The client has received the close notification of an idle connection, but has already sent requests.
#[test]
fn rejects_request_crossing_idle_close() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        close_idle_connection(&controller);
        assert_eq!(client.receive_frame().await.0, 48);
        client.write(
            &[
                controller.new_call(2).0,
                controller.new_call(3).0,
                frames::encode_empty(32, 4).to_vec(),
            ]
            .concat(),
        );
        let (rejected, not_ready) = (Code::Throttled as u8, Code::Throttled as u8);
        let received = receive_until_end(&mut client).await;
        assert_eq!(
            received,
            [(17, 2, rejected), (17, 3, rejected), (33, 4, not_ready)]
        );
        assert_eq!(
            controller
                .handle
                .inspect(|s| s.invocations.counters.accepted),
            0
        );
    });
}

/// When too many connections are closing, one is closed at once. Its buffered requests are still answered.
#[test]
fn rejects_buffered_request_on_evicted_connection() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut clients = Vec::new();
        for _ in 0..5 {
            clients.push(controller.connect_active_client().await);
        }
        clients[0].write(&controller.new_call(2).0);
        before_controller_tasks(|| {
            assert_eq!(
                controller.handle.config.clients.make_capacity(1),
                None,
                "four may be closing"
            )
        })
        .await;
        let received = receive_until_end(&mut clients[0]).await;
        assert_eq!(received, [(48, 0, 0), (17, 2, Code::Throttled as u8)]);
        assert_eq!(
            controller
                .handle
                .inspect(|s| s.invocations.counters.accepted),
            0
        );
    });
}

/// Guards against a new client whose connection is closed without reading it, when all served clients have invocations
/// in flight.
#[test]
fn rejects_new_client_when_all_are_busy_and_serves_others() {
    run_test(|| async {
        let controller =
            TestController::with_sockets(|_, _, _, _| Box::new(FirstInvokerPolicy), &[], 48).await;
        let (mut busy, mut connections) = (Vec::new(), Vec::new());
        for _ in 0..controller.handle.config.budget.clients {
            let mut client = controller.connect_active_client().await;
            client.write(&controller.new_call(2).0);
            let mut connection = controller.accept_connection().await;
            connection.receive_request().await;
            busy.push(client);
            connections.push(connection);
        }
        let mut late: Vec<PeerConnection> = (0..10).map(|_| controller.connect_client()).collect();
        for client in &mut late {
            client.write(&controller.new_call(1).0);
        }
        for client in &mut late {
            let received = receive_until_end(client).await;
            assert_eq!(received, [(48, 0, 0), (17, 1, Code::Throttled as u8)]);
        }
        connections
            .iter_mut()
            .for_each(|connection| connection.write(&http_response("done")));
        for client in &mut busy {
            assert_eq!(client.receive_frame().await.2[0], Code::Succeeded as u8);
        }
    });
}

/// A client that has not been notified of the shutdown yet sends a request after the last responses.
#[test]
fn rejects_request_after_final_responses() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        controller.handle.config.clients.close_all();
        client.write(&controller.new_call(2).0);
        let received = receive_until_end(&mut client).await;
        assert_eq!(received, [(48, 0, 0), (17, 2, Code::Throttled as u8)]);
    });
}

/// A frame that is never completed follows a valid request in flight.
#[test]
fn answers_request_before_partial_frame() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_client();
        let (call, half) = (controller.new_call(2).0, controller.new_call(3).0);
        client.write(&[&call[..], &half[..20]].concat());
        controller.accept_connection().await.receive_request().await;
        let received = receive_until_end(&mut client).await;
        assert!(
            received.contains(&(17, 2, Code::Errored as u8)),
            "{received:?}"
        );
    });
}
