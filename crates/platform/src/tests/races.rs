//! What crosses at the wrong instant, over loopback sockets with the real reader and writer. Nobody sleeps until it
//! happens: one side is held (a gate, a socket that nobody reads, the turn of the test itself, which comes before those of
//! the controller's tasks) and let go when the other has been seen to act. `docs/crossings.md` lists them all.

use super::socket_support::*;
use crate::clients::Entry;
use crate::lifecycle::leave;
use saltdrum::interface::*;
use saltdrum_controller::AttemptReport;
use saltdrum_controller::Policy;
use saltdrum_fakes::platform::listing;
use saltdrum_platform_wire::feed::Event;
use saltdrum_platform_wire::frames::{self, Code};
use std::cell::RefCell;
use std::io::Write as _;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;
use tokio::task::spawn_local;

/// A reset that the writer meets before the reader has heard of it. The writer, which had ended, was asked again for its
/// last words: its task died of it, the client stayed in the tables and what it had open was never given up.
#[test]
fn reset_during_response_counts_as_client_left() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.client();
        let (one, _) = stage.call(2);
        let (two, _) = stage.call(3);
        // The answer to the first frame is never read: so the close is a reset.
        client.write(&[frames::encode_empty(32, 1).to_vec(), one, two].concat());
        until(|| stage.in_flight() == 2).await;
        let mut lines = [stage.line().await, stage.line().await];
        for line in &mut lines {
            line.asked().await;
        }
        until(|| client.stream.peek(&mut [0]).is_ok()).await;
        drop(client);
        stage
            .handle
            .update(|s| s.attempt_ended(1, 0, Outcome::Errored, &AttemptReport::default()));
        until(|| stage.in_flight() == 0).await;
        until(|| stage.clients() == 0).await;
        until(|| {
            lines.iter_mut().all(|l| {
                l.look();
                l.ended
            })
        })
        .await;
    });
}

/// `left` was told after the last words, which a client that does not read takes 300 ms of: all of the term in which
/// nothing may be sent on.
#[test]
fn reports_client_left_before_closing_handshake() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.client();
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, 32_768).unwrap();
        let (mut line, mut stream) = (None::<Conn>, 1);
        // Answers that nobody reads, until one waits.
        while !stage.handle.config.clients.have_pending_output() {
            let (call, _) = stage.call(stream);
            stream += 1;
            client.write(&call);
            let mut new = stage.line().await;
            new.asked().await;
            new.write(&http(&"x".repeat(150_000)));
            until(|| stage.in_flight() == 0).await;
            line = Some(new);
        }
        drop(line);
        let (call, _) = stage.call(stream);
        client.write(&call);
        let mut last = stage.line().await;
        last.asked().await;
        client.stream.shutdown(Shutdown::Write).unwrap();
        until(|| stage.in_flight() == 0).await;
        assert_eq!(stage.clients(), 1, "its last words are still on their way");
        until(|| {
            last.look();
            last.ended
        })
        .await;
        drop(client);
        until(|| stage.clients() == 0).await;
    });
}

/// The reader went first: it took and dispatched what it found, and in the same turn the connection was closed. Its client
/// brings it again on a new connection, and a non-idempotent one had left.
#[test]
fn rejects_request_on_closing_connection() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.known().await;
        let (call, txn) = stage.call(2);
        client.write(&call);
        before_their_turn(|| {
            assert_eq!(
                stage.handle.config.clients.make_capacity(1),
                Some(Entry::Served)
            )
        })
        .await;
        until(|| {
            client.look();
            client.ended
        })
        .await;
        assert_eq!(
            client.frame().unwrap().0,
            48,
            "it hears to bring nothing more"
        );
        assert!(client.is_refused(2), "it was read, and is answered");
        assert_eq!(stage.handle.inspect(|s| s.invocations.counters.accepted), 0);
        drop(client);
        until(|| stage.clients() == 0).await;
        assert!(stage.nothing_came());
        // It comes again, and is served.
        let mut again = stage.client();
        again.write(&call);
        let mut line = stage.line().await;
        assert_eq!(line.asked().await, txn);
        line.write(&http("done"));
        assert_eq!(
            again.hear().await,
            (17, 2, [&[79, 0][..], b"done"].concat())
        );
    });
}

/// A close with bytes unread is a reset, and a reset throws away what the machine had not sent yet.
#[test]
fn pending_response_survives_connection_close() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.client();
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, 32_768).unwrap();
        let (call, _) = stage.call(1);
        client.write(&call);
        let mut line = stage.line().await;
        line.asked().await;
        let body = "y".repeat(200_000);
        line.write(&http(&body));
        until(|| stage.in_flight() == 0).await;
        // What nobody may send, and more behind it than is read at once.
        client.write(&[&[0, 0, 0, 9, 77][..], &[0; 60_000]].concat());
        until(|| stage.handle.config.clients.going() == 1).await;
        let mut heard = Vec::new();
        until(|| {
            heard.extend(client.frame());
            client.ended
        })
        .await;
        heard.extend(std::iter::from_fn(|| client.frame()));
        assert_eq!(heard[0], (17, 1, [&[79, 0][..], body.as_bytes()].concat()));
        assert_eq!(
            (heard[1].0, heard[1].1, heard[1].2[0]),
            (17, 0, Code::Errored as u8)
        );
        assert_eq!(heard.len(), 2);
    });
}

/// The end was reached in the turn in which nothing was owed: what lay in the machine then was cut off with the process.
#[test]
fn shutdown_accepts_buffered_requests() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.known().await;
        let handle = stage.handle.clone();
        let ending = spawn_local(async move { leave(&handle).await });
        assert_eq!(client.hear().await.0, 48);
        // The controller is behind: its wait ends late, and the request comes after it last asked the machine.
        tokio::time::sleep(Duration::from_millis(780)).await;
        std::thread::sleep(Duration::from_millis(40));
        let (call, _) = stage.call(2);
        before_their_turn(|| client.write(&call)).await;
        let mut line = stage.line().await;
        line.asked().await;
        assert!(!ending.is_finished());
        line.write(&http("last"));
        ending.await.unwrap();
        assert_eq!(
            client.frame(),
            Some((17, 2, [&[79, 0][..], b"last"].concat()))
        );
    });
}

/// Connections that the machine has accepted and the controller has not, with a request in each, when its wait ends.
#[test]
fn shutdown_accepts_pending_connections() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut known = stage.known().await;
        let handle = stage.handle.clone();
        let ending = spawn_local(async move { leave(&handle).await });
        assert_eq!(known.hear().await.0, 48);
        tokio::time::sleep(Duration::from_millis(780)).await;
        std::thread::sleep(Duration::from_millis(40));
        let mut clients: Vec<Conn> = (0..5).map(|_| stage.client()).collect();
        for client in &mut clients {
            let (call, _) = stage.call(1);
            client.write(&call);
        }
        for n in 0..5 {
            let mut line = stage.line().await;
            line.asked().await;
            line.write(&http(&n.to_string()));
        }
        ending.await.unwrap();
        for client in &mut clients {
            let heard = [client.frame().unwrap(), client.frame().unwrap()];
            assert_eq!(
                heard[0].0, 48,
                "it hears to bring nothing more, once what it came for is taken"
            );
            assert_eq!(
                (heard[1].0, heard[1].1, heard[1].2[0]),
                (17, 1, Code::Succeeded as u8)
            );
        }
        assert!(TcpStream::connect(stage.at).is_err(), "the door is shut");
    });
}

/// An answer out of the outbox is not with its client yet: the end waits until it has been read, or a moment.
#[test]
fn shutdown_waits_for_delivery_but_not_for_stalled_readers() {
    staged(|| async {
        let stage = Stage::new().await;
        let (mut reads, mut never) = (stage.known().await, stage.known().await);
        for (client, size) in [(&mut reads, 32_768), (&mut never, 32_768)] {
            rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, size).unwrap();
            let (call, _) = stage.call(2);
            client.write(&call);
            let mut line = stage.line().await;
            line.asked().await;
            line.write(&http(&"z".repeat(120_000)));
            until(|| stage.in_flight() == 0).await;
        }
        let handle = stage.handle.clone();
        let ending = spawn_local(async move { leave(&handle).await });
        // Nobody reads until nothing is owed any more and connections are being ended.
        until(|| stage.handle.config.clients.going() > 0 || ending.is_finished()).await;
        assert!(!ending.is_finished());
        until(|| {
            reads.look();
            reads.ended
        })
        .await;
        let heard = reads.frame().unwrap();
        assert_eq!((heard.0, heard.1, heard.2.len()), (17, 2, 120_002));
        ending.await.unwrap();
        assert!(never.frame().is_some(), "what had arrived is there");
    });
}

/// A second answer that comes while the next request is already there would be read as that one's.
#[test]
fn duplicate_response_is_not_read_as_next_response() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.known().await;
        for round in 0..5u32 {
            let (call, txn) = stage.call(2 + 2 * round);
            client.write(&call);
            let mut first = stage.line().await;
            assert_eq!(first.asked().await, txn);
            let answer = http(&txn);
            first.write(&answer);
            assert_eq!(client.hear().await.2[2..], *txn.as_bytes());
            let (call, txn) = stage.call(3 + 2 * round);
            client.write(&call);
            // On the line of the first, or on one of its own: the second answer comes now, before the true one.
            let mut second = None;
            until(|| {
                let Ok((stream, _)) = stage.invoker.accept() else {
                    return first.request().is_some();
                };
                second = Some(Conn::new(stream));
                true
            })
            .await;
            let _ = first.stream.write_all(&answer);
            match second {
                Some(mut second) => {
                    assert_eq!(second.asked().await, txn);
                    second.write(&http(&txn));
                }
                None => first.write(&http(&txn)),
            }
            assert_eq!(
                client.hear().await.2[2..],
                *txn.as_bytes(),
                "the answer that was made for it"
            );
            until(|| {
                first.look();
                first.ended || round > 3
            })
            .await;
        }
    });
}

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Says,
    Closes,
    Resets,
}

/// Sound, by test: a dial that comes up late brings nothing of a client that has left meanwhile.
#[test]
fn late_connect_sends_nothing_for_departed_client() {
    for leaves in [Leaves::Says, Leaves::Closes, Leaves::Resets] {
        staged(|| async move {
            let stage = Stage::new().await;
            let mut client = stage.client();
            client.write(&frames::encode_empty(32, 1));
            until(|| client.stream.peek(&mut [0]).is_ok()).await;
            if !matches!(leaves, Leaves::Resets) {
                client.hear().await;
            }
            let dials = stage.network.waiting.get();
            stage.network.shut.set(true);
            client.write(&stage.call(2).0);
            until(|| stage.network.waiting.get() > dials).await;
            match leaves {
                Leaves::Says => client.write(&frames::encode_empty(18, 2)),
                Leaves::Closes | Leaves::Resets => drop(client),
            }
            until(|| stage.in_flight() == 0).await;
            stage.network.shut.set(false);
            stage.network.opened.notify_waiters();
            assert_eq!(
                stage
                    .handle
                    .inspect(|s| s.invocations.transport.sizes().jobs),
                0,
                "{leaves:?}"
            );
            // Another's request goes through the same gate, and is all that comes.
            let mut other = stage.client();
            let (call, txn) = stage.call(1);
            other.write(&call);
            let mut line = stage.line().await;
            assert_eq!(line.asked().await, txn, "{leaves:?}");
            assert!(stage.nothing_came(), "{leaves:?}");
        });
    }
}

/// Sound, by test: type 18 in the same read as its request, before it, twice, and for a stream that was answered.
#[test]
fn request_cancelled_at_once_is_not_sent() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.known().await;
        let left = |stream| frames::encode_empty(18, stream).to_vec();
        client.write(
            &[
                left(2),
                stage.call(2).0,
                left(2),
                left(2),
                left(9),
                frames::encode_empty(32, 3).to_vec(),
            ]
            .concat(),
        );
        assert_eq!(client.hear().await.0, 33, "all before it was read");
        assert_eq!(
            stage.handle.inspect(|s| (
                s.invocations.counters.accepted,
                s.invocations.counters.client_left
            )),
            (1, 1)
        );
        until(|| stage.in_flight() == 0).await;
        let (call, txn) = stage.call(4);
        client.write(&call);
        let mut line = stage.line().await;
        assert_eq!(line.asked().await, txn);
        line.write(&http("done"));
        client.hear().await;
        client.write(&[left(4), frames::encode_empty(32, 5).to_vec()].concat());
        assert_eq!(client.hear().await.0, 33);
        assert_eq!(
            stage.handle.inspect(|s| s.invocations.counters.client_left),
            1
        );
        assert!(stage.nothing_came());
    });
}

/// Sound, by test: an idle line that breaks before, in or after the write. Dialled again only where nothing can have run.
#[test]
fn replaces_broken_connection_only_if_request_was_not_sent_completely() {
    for after in [false, true] {
        staged(|| async move {
            let stage = Stage::new().await;
            let mut client = stage.known().await;
            client.write(&stage.call(2).0);
            let mut line = stage.line().await;
            line.asked().await;
            line.write(&http("one"));
            client.hear().await;
            // It rests, and is used again.
            let rested = stage.handle.clock.now() + 60 * MILLISECOND;
            until(|| stage.handle.event_loop.last_polled() > rested).await;
            let (call, txn) = stage.call(4);
            if after {
                client.write(&call);
                assert_eq!(line.asked().await, txn, "on the same line");
                drop(line);
                assert_eq!(
                    client.hear().await.2[0],
                    Code::Errored as u8,
                    "it may have run"
                );
                assert!(stage.nothing_came());
            } else {
                // The close arrives after the machine was last asked: the write meets it.
                client.write(&call);
                before_their_turn(|| drop(line)).await;
                let mut heard = None;
                let mut new = None;
                until(|| {
                    new = stage.invoker.accept().ok().or(new.take());
                    heard = client.frame();
                    heard.is_some() || new.is_some()
                })
                .await;
                match new {
                    Some((stream, _)) => {
                        let mut new = Conn::new(stream);
                        assert_eq!(new.asked().await, txn);
                        new.write(&http("two"));
                        assert_eq!(client.hear().await.2[0], Code::Succeeded as u8);
                    }
                    // It left whole towards a peer that was gone: not known, so never sent again.
                    None => assert_eq!(heard.unwrap().2[0], Code::Errored as u8),
                }
            }
        });
    }
}

/// Sound, by test: what has something open is never chosen to make room.
#[test]
fn never_evicts_client_with_open_invocation() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut busy = stage.known().await;
        busy.write(&stage.call(2).0);
        let mut line = stage.line().await;
        line.asked().await;
        assert_eq!(
            stage.handle.config.clients.make_capacity(1),
            Some(Entry::Rejected),
            "nobody is idle"
        );
        line.write(&http("done"));
        assert_eq!(busy.hear().await.2[0], Code::Succeeded as u8);
    });
}

thread_local! {
    static WHOSE: RefCell<Vec<usize>> = const { RefCell::new(Vec::new()) };
}

/// Throttles all, and keeps whose it was.
struct Whose;

impl Policy for Whose {
    fn invokers_changed(&mut self, _: Ticks, _: bool, _: &[InvokerRecord]) {}
    fn invocation_arrived(&mut self, _: Ticks, call: Invocation, acts: &mut dyn Actions) {
        WHOSE.with_borrow_mut(|whose| whose.push(call.tenant));
        acts.throttle(call.id, 0);
    }
    fn invocation_abandoned(&mut self, _: Ticks, _: InvocationId) {}
    fn attempt_ended(&mut self, _: Ticks, _: AttemptResult, _: &mut dyn Actions) {}
    fn load_ended(&mut self, _: Ticks, _: LoadResult, _: &mut dyn Actions) {}
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
}

/// Every invocation was the first tenant's, whoever's it was.
#[test]
fn assigns_invocation_to_its_tenant() {
    for tenants in [&["a hall", "b.2"][..], &[]] {
        staged(|| async move {
            let stage = Stage::of(|_, _, _, _| Box::new(Whose), tenants).await;
            let mut client = stage.known().await;
            let mut codes = Vec::new();
            for (n, team) in [Some("b.2"), Some("a hall"), Some("nobody's"), None]
                .into_iter()
                .enumerate()
            {
                let (n, txn) = (n as u32 + 2, format!("{n:016x}"));
                let mut fields = vec![
                    ("verb", "book"),
                    ("txn", &txn),
                    ("limit", "900"),
                    ("item", "00000000000000f1"),
                ];
                fields.extend(team.map(|team| ("team", team)));
                client.write(&frames::encode_invoke(n, &fields, &[]));
                codes.push(client.hear().await.2[0]);
            }
            let (full, ill) = (Code::Throttled as u8, Code::Errored as u8);
            if tenants.is_empty() {
                assert_eq!(
                    (codes, WHOSE.take()),
                    (vec![full; 4], vec![0; 4]),
                    "the field says nothing"
                );
            } else {
                assert_eq!(
                    (codes, WHOSE.take()),
                    (vec![full, full, ill, ill], vec![1, 0])
                );
            }
        });
    }
}

/// Sound, by test: an answer in pieces of one byte, with 1xx before it, is one answer.
#[test]
fn reads_response_sent_byte_by_byte() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.known().await;
        client.write(&stage.call(2).0);
        let mut line = stage.line().await;
        line.asked().await;
        for byte in [&b"HTTP/1.1 102 Processing\r\n\r\n"[..], &http("piecemeal")].concat() {
            line.write(&[byte]);
            tokio::task::yield_now().await;
        }
        assert_eq!(
            client.hear().await,
            (17, 2, [&[79, 0][..], b"piecemeal"].concat())
        );
    });
}

/// Sound, by test: a drain that is heard while a dial is under way. What has not begun to leave half a grace later never
/// does, whenever the dial comes up; and it is told as never run.
#[test]
fn late_connect_sends_nothing_to_draining_invoker() {
    staged(|| async {
        let stage = Stage::new().await;
        let mut client = stage.known().await;
        let dials = stage.network.waiting.get();
        stage.network.shut.set(true);
        client.write(&stage.call(2).0);
        until(|| stage.network.waiting.get() > dials).await;
        let at = stage
            .invoker
            .local_addr()
            .unwrap()
            .to_string()
            .parse()
            .unwrap();
        let draining = Event::Changes(vec![listing(1, at, InvokerStatus::Draining, None)]);
        crate::endpoint_watch::handle_event(&stage.handle, stage.handle.clock.now(), 2, &draining)
            .unwrap();
        assert_eq!(
            client.hear().await.2[0],
            Code::Throttled as u8,
            "it never ran"
        );
        stage.network.shut.set(false);
        stage.network.opened.notify_waiters();
        client.write(&[stage.call(4).0, frames::encode_empty(32, 5).to_vec()].concat());
        let heard = [client.hear().await.1, client.hear().await.1];
        assert!(heard.contains(&4) && heard.contains(&5));
        assert!(stage.nothing_came());
    });
}

/// Found by rereading: who was let in after the last answers had been given, as with client timeouts so short that the door
/// shuts in that turn, was taken by a process that had no time left for it.
#[test]
fn rejects_client_after_final_responses() {
    staged(|| async {
        let stage = Stage::new().await;
        stage.handle.config.clients.close();
        let mut late = stage.client();
        late.write(&stage.call(1).0);
        until(|| {
            late.look();
            late.ended
        })
        .await;
        assert!(late.is_refused(1), "it was read, and is answered");
        assert_eq!(stage.handle.inspect(|s| s.invocations.counters.accepted), 0);
        assert!(stage.nothing_came());
    });
}
