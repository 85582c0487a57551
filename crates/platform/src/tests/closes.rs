//! Before any close of ours, all that lies in the machine is read and answered. Over loopback sockets, as `crossings`.

use crate::clients::Entry;
use crate::tests::socket_support::{Conn, Stage, before_their_turn, http, staged, until};
use crate::tests::support::First;
use saltdrum_platform_wire::frames::{self, Code};

/// The frames that a connection had until it was ended: kind, stream, code.
async fn heard_until_the_end(client: &mut Conn) -> Vec<(u8, u32, u8)> {
    until(|| {
        client.look();
        client.ended
    })
    .await;
    let frames = std::iter::from_fn(|| client.frame());
    frames
        .map(|(kind, stream, payload)| (kind, stream, payload.first().copied().unwrap_or(0)))
        .collect()
}

/// A connection that is chosen to end with nothing open on it.
fn chosen_to_end(stage: &Stage) {
    assert_eq!(
        stage.handle.config.clients.make_capacity(1),
        Some(Entry::Served)
    );
}

/// What was taken before a frame that can't be read was given up without an answer.
#[test]
fn answers_valid_request_before_malformed_frame() {
    for (dispatched, code) in [(true, Code::Errored), (false, Code::Errored)] {
        staged(|| async move {
            let stage = Stage::new().await;
            let mut client = stage.client();
            let noise = [0, 0, 0, 9, 77, 0, 0, 0, 0, 0, 0, 0, 0];
            let call = stage.call(2).0;
            if dispatched {
                client.write(&call);
                stage.line().await.asked().await;
                client.write(&noise);
            } else {
                client.write(&[&call[..], &noise[..]].concat());
            }
            let heard = heard_until_the_end(&mut client).await;
            assert_eq!(
                heard,
                [(17, 2, code as u8), (17, 0, Code::Errored as u8)],
                "{dispatched}"
            );
            assert_eq!(stage.in_flight(), 0);
        });
    }
}

/// A request that crosses the close of an idle connection: the client has heard that it ends, and not yet acted on it.
#[test]
fn rejects_request_crossing_idle_close() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.known().await;
        chosen_to_end(&stage);
        assert_eq!(client.hear().await.0, 48);
        client.write(
            &[
                stage.call(2).0,
                stage.call(3).0,
                frames::encode_empty(32, 4).to_vec(),
            ]
            .concat(),
        );
        let (refused, not_ready) = (Code::Throttled as u8, Code::Throttled as u8);
        let heard = heard_until_the_end(&mut client).await;
        assert_eq!(
            heard,
            [(17, 2, refused), (17, 3, refused), (33, 4, not_ready)]
        );
        assert_eq!(stage.handle.inspect(|s| s.invocations.counters.accepted), 0);
    });
}

/// So many are going that one has to go at once: what lies in the machine is answered all the same.
#[test]
fn rejects_buffered_request_on_evicted_connection() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut clients = Vec::new();
        for _ in 0..5 {
            clients.push(stage.known().await);
        }
        clients[0].write(&stage.call(2).0);
        before_their_turn(|| {
            assert_eq!(
                stage.handle.config.clients.make_capacity(1),
                None,
                "four may be going"
            )
        })
        .await;
        let heard = heard_until_the_end(&mut clients[0]).await;
        assert_eq!(heard, [(48, 0, 0), (17, 2, Code::Throttled as u8)]);
        assert_eq!(stage.handle.inspect(|s| s.invocations.counters.accepted), 0);
    });
}

/// All places are taken by clients with something open: who comes was closed unread.
#[test]
fn rejects_new_client_when_all_are_busy_and_serves_others() {
    staged(|| async {
        let stage = Stage::with_sockets(|_, _, _, _| Box::new(First), &[], 48).await;
        let (mut busy, mut lines) = (Vec::new(), Vec::new());
        for _ in 0..stage.handle.config.budget.clients {
            let mut client = stage.known().await;
            client.write(&stage.call(2).0);
            let mut line = stage.line().await;
            line.asked().await;
            busy.push(client);
            lines.push(line);
        }
        let mut late: Vec<Conn> = (0..10).map(|_| stage.client()).collect();
        for client in &mut late {
            client.write(&stage.call(1).0);
        }
        for client in &mut late {
            let heard = heard_until_the_end(client).await;
            assert_eq!(heard, [(48, 0, 0), (17, 1, Code::Throttled as u8)]);
        }
        lines.iter_mut().for_each(|line| line.write(&http("done")));
        for client in &mut busy {
            assert_eq!(client.hear().await.2[0], Code::Succeeded as u8);
        }
    });
}

/// All is answered, and the process ends: a client that has not heard of it yet sends one more.
#[test]
fn rejects_request_after_final_responses() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.known().await;
        stage.handle.config.clients.close();
        client.write(&stage.call(2).0);
        let heard = heard_until_the_end(&mut client).await;
        assert_eq!(heard, [(48, 0, 0), (17, 2, Code::Throttled as u8)]);
    });
}

/// Half a frame that is never ended, with a good request open before it.
#[test]
fn answers_request_before_partial_frame() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.client();
        let (call, half) = (stage.call(2).0, stage.call(3).0);
        client.write(&[&call[..], &half[..20]].concat());
        stage.line().await.asked().await;
        let heard = heard_until_the_end(&mut client).await;
        assert!(heard.contains(&(17, 2, Code::Errored as u8)), "{heard:?}");
    });
}
