//! Which ends of connections are reported as signs that an invoker's process may have ended.

use super::socket_support::*;
use super::support::LOST;
use std::time::Duration;

/// Long enough for a sweep of the idle connections.
const SWEPT: Duration = Duration::from_millis(500);

/// A stage with an invocation under way: the client's connection, and the invoker's.
async fn under_way(stage: &Stage) -> (Conn, Conn) {
    LOST.take();
    let mut client = stage.known().await;
    client.write(&stage.call(2).0);
    let mut line = stage.line().await;
    line.asked().await;
    (client, line)
}

#[test]
fn idle_connection_that_the_invoker_closes_is_reported() {
    staged(|| async {
        let stage = Stage::new().await;
        let (mut client, mut line) = under_way(&stage).await;
        line.write(&http("done"));
        client.hear().await;
        tokio::time::sleep(SWEPT).await;
        assert!(LOST.take().is_empty(), "it is open");
        drop(line);
        tokio::time::sleep(SWEPT).await;
        assert_eq!(LOST.take(), [1]);
    });
}

#[test]
fn connection_that_ends_under_a_request_is_reported() {
    staged(|| async {
        let stage = Stage::new().await;
        let (mut client, line) = under_way(&stage).await;
        drop(line);
        client.hear().await;
        assert_eq!(LOST.take(), [1]);
    });
}

#[test]
fn connection_that_is_refused_is_reported() {
    staged(|| async {
        let mut stage = Stage::new().await;
        let (mut client, line) = under_way(&stage).await;
        let other_listener = door().0;
        drop((line, std::mem::replace(&mut stage.invoker, other_listener)));
        client.hear().await;
        LOST.take();
        client.write(&stage.call(3).0);
        client.hear().await;
        assert_eq!(LOST.take(), [1]);
    });
}

#[test]
fn connection_that_we_close_is_not_reported() {
    staged(|| async {
        let stage = Stage::new().await;
        let (mut client, mut line) = under_way(&stage).await;
        client.write(&saltdrum_platform_wire::frames::encode_empty(18, 2));
        until(|| stage.in_flight() == 0).await;
        assert!(line.request().is_none());
        tokio::time::sleep(SWEPT).await;
        assert!(LOST.take().is_empty());
    });
}
