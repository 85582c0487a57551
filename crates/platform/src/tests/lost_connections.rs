//! Ends of connections that are reported to the policy as signs that an invoker's process may have ended.

use super::socket_support::*;
use super::support::LOST_CONNECTIONS;
use std::time::Duration;

/// Longer than the interval between sweeps of the idle connections.
const AFTER_SWEEP: Duration = Duration::from_millis(500);

/// Starts an invocation, and returns the client's connection and the invoker's.
async fn start_invocation(controller: &TestController) -> (PeerConnection, PeerConnection) {
    LOST_CONNECTIONS.take();
    let mut client = controller.connect_active_client().await;
    client.write(&controller.new_call(2).0);
    let mut connection = controller.accept_connection().await;
    connection.receive_request().await;
    (client, connection)
}

#[test]
fn reports_idle_connection_closed_by_invoker() {
    run_test(|| async {
        let controller = TestController::new().await;
        let (mut client, mut connection) = start_invocation(&controller).await;
        connection.write(&http_response("done"));
        client.receive_frame().await;
        tokio::time::sleep(AFTER_SWEEP).await;
        assert!(LOST_CONNECTIONS.take().is_empty(), "the connection is open");
        drop(connection);
        tokio::time::sleep(AFTER_SWEEP).await;
        assert_eq!(LOST_CONNECTIONS.take(), [1]);
    });
}

#[test]
fn reports_connection_closed_during_request() {
    run_test(|| async {
        let controller = TestController::new().await;
        let (mut client, connection) = start_invocation(&controller).await;
        drop(connection);
        client.receive_frame().await;
        assert_eq!(LOST_CONNECTIONS.take(), [1]);
    });
}

#[test]
fn reports_refused_connection() {
    run_test(|| async {
        let mut controller = TestController::new().await;
        let (mut client, connection) = start_invocation(&controller).await;
        let other_listener = listen().0;
        drop((
            connection,
            std::mem::replace(&mut controller.invoker, other_listener),
        ));
        client.receive_frame().await;
        LOST_CONNECTIONS.take();
        client.write(&controller.new_call(3).0);
        client.receive_frame().await;
        assert_eq!(LOST_CONNECTIONS.take(), [1]);
    });
}

#[test]
fn does_not_report_connection_closed_by_controller() {
    run_test(|| async {
        let controller = TestController::new().await;
        let (mut client, mut connection) = start_invocation(&controller).await;
        client.write(&saltdrum_platform_wire::frames::encode_empty(18, 2));
        wait_until(|| controller.in_flight() == 0).await;
        assert!(connection.next_request().is_none());
        tokio::time::sleep(AFTER_SWEEP).await;
        assert!(LOST_CONNECTIONS.take().is_empty());
    });
}
