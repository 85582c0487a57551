//! Races between events, over loopback sockets with the real reader and writer. The tests don't rely on sleeps to
//! produce them: one side is blocked (by a gate, by a socket that is not read, or by the test itself, which runs before
//! the controller's tasks) and released when the other side has acted. `docs/crossings.md` lists all of them.

use super::socket_support::*;
use crate::clients::AcceptDecision;
use crate::lifecycle::shut_down;
use saltdrum::interface::*;
use saltdrum_controller::AttemptReport;
use saltdrum_controller::Policy;
use saltdrum_fakes::platform::endpoint_record;
use saltdrum_platform_wire::feed::Event;
use saltdrum_platform_wire::frames::{self, Code};
use std::cell::RefCell;
use std::io::Write as _;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;
use tokio::task::spawn_local;

/// The writer gets a connection reset before the reader does. Guards against polling the finished writer again: its
/// task panicked, the client stayed in the tables, and its invocations were never abandoned.
#[test]
fn reset_during_response_counts_as_client_left() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_client();
        let (one, _) = controller.new_call(2);
        let (two, _) = controller.new_call(3);
        // The response to the first frame is never read, so that the close is a reset.
        client.write(&[frames::encode_empty(32, 1).to_vec(), one, two].concat());
        wait_until(|| controller.in_flight() == 2).await;
        let mut connections = [
            controller.accept_connection().await,
            controller.accept_connection().await,
        ];
        for connection in &mut connections {
            connection.receive_request().await;
        }
        wait_until(|| client.stream.peek(&mut [0]).is_ok()).await;
        drop(client);
        controller
            .handle
            .update(|s| s.attempt_ended(1, 0, Outcome::Errored, &AttemptReport::default()));
        wait_until(|| controller.in_flight() == 0).await;
        wait_until(|| controller.client_count() == 0).await;
        wait_until(|| {
            connections.iter_mut().all(|connection| {
                connection.read_available();
                connection.is_ended
            })
        })
        .await;
    });
}

/// Guards against overlooking a client that holds a response of which a part was written, and nothing behind it.
#[test]
fn client_with_a_partly_written_response_is_closed_at_the_memory_limit() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_client();
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, 32_768).unwrap();
        let memory = controller.handle.config.clients.memory.clone();
        let mut stream = 1;
        // Unread responses, until one was written in part.
        while memory.queued_bytes() == 0 {
            client.write(&controller.new_call(stream).0);
            stream += 1;
            let mut connection = controller.accept_connection().await;
            connection.receive_request().await;
            connection.write(&http_response(&"x".repeat(150_000)));
            wait_until(|| controller.in_flight() == 0).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(!controller.handle.config.clients.have_pending_output());
        let held_by_others = controller.handle.config.budget.client_bytes;
        memory.queued().set(memory.queued_bytes() + held_by_others);
        memory.check_bound();
        // Long before it would be closed for being idle.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(controller.client_count(), 0);
        assert_eq!(memory.queued_bytes(), held_by_others);
    });
}

/// Guards against reporting that a client has left only after its remaining responses were sent: a client that does not
/// read delays this by 300 ms, longer than the time within which attempts may still be sent for it.
#[test]
fn reports_client_left_before_closing_handshake() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_client();
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, 32_768).unwrap();
        let (mut last_connection, mut stream) = (None::<PeerConnection>, 1);
        // Unread responses, until one waits to be sent.
        while !controller.handle.config.clients.have_pending_output() {
            let (call, _) = controller.new_call(stream);
            stream += 1;
            client.write(&call);
            let mut new = controller.accept_connection().await;
            new.receive_request().await;
            new.write(&http_response(&"x".repeat(150_000)));
            wait_until(|| controller.in_flight() == 0).await;
            last_connection = Some(new);
        }
        drop(last_connection);
        let (call, _) = controller.new_call(stream);
        client.write(&call);
        let mut last = controller.accept_connection().await;
        last.receive_request().await;
        client.stream.shutdown(Shutdown::Write).unwrap();
        wait_until(|| controller.in_flight() == 0).await;
        assert_eq!(
            controller.client_count(),
            1,
            "its remaining responses are still being sent"
        );
        wait_until(|| {
            last.read_available();
            last.is_ended
        })
        .await;
        drop(client);
        wait_until(|| controller.client_count() == 0).await;
    });
}

/// Guards against admitting and dispatching a request in the event loop turn in which its connection is closed: the
/// client sends it again on a new connection, although a non-idempotent attempt may already have been sent.
#[test]
fn rejects_request_on_closing_connection() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        let (call, txn) = controller.new_call(2);
        client.write(&call);
        before_controller_tasks(|| {
            assert_eq!(
                controller.handle.config.clients.make_capacity(1),
                Some(AcceptDecision::Served)
            )
        })
        .await;
        wait_until(|| {
            client.read_available();
            client.is_ended
        })
        .await;
        assert_eq!(
            client.next_frame().unwrap().0,
            48,
            "the client is asked to send nothing new"
        );
        assert!(
            client.is_rejected(2),
            "the request was read, and is rejected"
        );
        assert_eq!(
            controller
                .handle
                .inspect(|s| s.invocations.counters.accepted),
            0
        );
        drop(client);
        wait_until(|| controller.client_count() == 0).await;
        assert!(controller.received_nothing());
        // The client sends it again, and it is served.
        let mut again = controller.connect_client();
        again.write(&call);
        let mut connection = controller.accept_connection().await;
        assert_eq!(connection.receive_request().await, txn);
        connection.write(&http_response("done"));
        assert_eq!(
            again.receive_frame().await,
            (17, 2, [&[79, 0][..], b"done"].concat())
        );
    });
}

/// A close with unread bytes is a reset, and a reset discards the bytes that the kernel has not sent yet.
#[test]
fn pending_response_survives_connection_close() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_client();
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, 32_768).unwrap();
        let (call, _) = controller.new_call(1);
        client.write(&call);
        let mut connection = controller.accept_connection().await;
        connection.receive_request().await;
        let body = "y".repeat(200_000);
        connection.write(&http_response(&body));
        wait_until(|| controller.in_flight() == 0).await;
        // A malformed frame, followed by more bytes than are read at once.
        client.write(&[&[0, 0, 0, 9, 77][..], &[0; 60_000]].concat());
        wait_until(|| controller.handle.config.clients.closing_count() == 1).await;
        let mut received = Vec::new();
        wait_until(|| {
            received.extend(client.next_frame());
            client.is_ended
        })
        .await;
        received.extend(std::iter::from_fn(|| client.next_frame()));
        assert_eq!(
            received[0],
            (17, 1, [&[79, 0][..], body.as_bytes()].concat())
        );
        assert_eq!(
            (received[1].0, received[1].1, received[1].2[0]),
            (17, 0, Code::Errored as u8)
        );
        assert_eq!(received.len(), 2);
    });
}

/// Guards against a shutdown in the event loop turn in which no response is pending: requests in the kernel at that
/// time were lost with the process.
#[test]
fn shutdown_accepts_buffered_requests() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        let handle = controller.handle.clone();
        let shutdown = spawn_local(async move { shut_down(&handle).await });
        assert_eq!(client.receive_frame().await.0, 48);
        // The controller is delayed: its wait ends late, and the request arrives after the last poll of the kernel.
        tokio::time::sleep(Duration::from_millis(780)).await;
        std::thread::sleep(Duration::from_millis(40));
        let (call, _) = controller.new_call(2);
        before_controller_tasks(|| client.write(&call)).await;
        let mut connection = controller.accept_connection().await;
        connection.receive_request().await;
        assert!(!shutdown.is_finished());
        connection.write(&http_response("last"));
        shutdown.await.unwrap();
        assert_eq!(
            client.next_frame(),
            Some((17, 2, [&[79, 0][..], b"last"].concat()))
        );
    });
}

/// Connections that the kernel has accepted and the controller has not, with a request on each, when the grace ends.
#[test]
fn shutdown_accepts_pending_connections() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut active = controller.connect_active_client().await;
        let handle = controller.handle.clone();
        let shutdown = spawn_local(async move { shut_down(&handle).await });
        assert_eq!(active.receive_frame().await.0, 48);
        tokio::time::sleep(Duration::from_millis(780)).await;
        std::thread::sleep(Duration::from_millis(40));
        let mut clients: Vec<PeerConnection> =
            (0..5).map(|_| controller.connect_client()).collect();
        for client in &mut clients {
            let (call, _) = controller.new_call(1);
            client.write(&call);
        }
        for n in 0..5 {
            let mut connection = controller.accept_connection().await;
            connection.receive_request().await;
            connection.write(&http_response(&n.to_string()));
        }
        shutdown.await.unwrap();
        for client in &mut clients {
            let received = [client.next_frame().unwrap(), client.next_frame().unwrap()];
            assert_eq!(
                received[0].0, 48,
                "the client is asked to send nothing new, once its request is admitted"
            );
            assert_eq!(
                (received[1].0, received[1].1, received[1].2[0]),
                (17, 1, Code::Succeeded as u8)
            );
        }
        assert!(
            TcpStream::connect(controller.address).is_err(),
            "connections are refused after shutdown"
        );
    });
}

/// A response that was handed to the kernel has not reached its client yet: the shutdown waits until it was read, up to
/// a time limit.
#[test]
fn shutdown_waits_for_delivery_but_not_for_stalled_readers() {
    run_test(|| async {
        let controller = TestController::new().await;
        let (mut reading, mut stalled) = (
            controller.connect_active_client().await,
            controller.connect_active_client().await,
        );
        for (client, size) in [(&mut reading, 32_768), (&mut stalled, 32_768)] {
            rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, size).unwrap();
            let (call, _) = controller.new_call(2);
            client.write(&call);
            let mut connection = controller.accept_connection().await;
            connection.receive_request().await;
            connection.write(&http_response(&"z".repeat(120_000)));
            wait_until(|| controller.in_flight() == 0).await;
        }
        let handle = controller.handle.clone();
        let shutdown = spawn_local(async move { shut_down(&handle).await });
        // Neither client reads until all responses are queued and connections are being closed.
        wait_until(|| {
            controller.handle.config.clients.closing_count() > 0 || shutdown.is_finished()
        })
        .await;
        assert!(!shutdown.is_finished());
        wait_until(|| {
            reading.read_available();
            reading.is_ended
        })
        .await;
        let received = reading.next_frame().unwrap();
        assert_eq!((received.0, received.1, received.2.len()), (17, 2, 120_002));
        shutdown.await.unwrap();
        assert!(
            stalled.next_frame().is_some(),
            "the bytes that had arrived are readable"
        );
    });
}

/// Guards against a duplicate response that is read as the response to the next request.
#[test]
fn duplicate_response_is_not_read_as_next_response() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        for round in 0..5u32 {
            let (call, txn) = controller.new_call(2 + 2 * round);
            client.write(&call);
            let mut first = controller.accept_connection().await;
            assert_eq!(first.receive_request().await, txn);
            let answer = http_response(&txn);
            first.write(&answer);
            assert_eq!(client.receive_frame().await.2[2..], *txn.as_bytes());
            let (call, txn) = controller.new_call(3 + 2 * round);
            client.write(&call);
            // The next request uses the same connection or a new one. The duplicate arrives now, before the true
            // response.
            let mut second = None;
            wait_until(|| {
                let Ok((stream, _)) = controller.invoker.accept() else {
                    return first.next_request().is_some();
                };
                second = Some(PeerConnection::new(stream));
                true
            })
            .await;
            let _ = first.stream.write_all(&answer);
            match second {
                Some(mut second) => {
                    assert_eq!(second.receive_request().await, txn);
                    second.write(&http_response(&txn));
                }
                None => first.write(&http_response(&txn)),
            }
            assert_eq!(
                client.receive_frame().await.2[2..],
                *txn.as_bytes(),
                "its own response"
            );
            wait_until(|| {
                first.read_available();
                first.is_ended || round > 3
            })
            .await;
        }
    });
}

/// How a client departure.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Cancels,
    Closes,
    Resets,
}

/// A connection that is established late carries no request of a client that has left meanwhile.
#[test]
fn late_connect_sends_nothing_for_departed_client() {
    for departure in [Departure::Cancels, Departure::Closes, Departure::Resets] {
        run_test(|| async move {
            let controller = TestController::new().await;
            let mut client = controller.connect_client();
            client.write(&frames::encode_empty(32, 1));
            wait_until(|| client.stream.peek(&mut [0]).is_ok()).await;
            if !matches!(departure, Departure::Resets) {
                client.receive_frame().await;
            }
            let dials = controller.network.dial_count.get();
            controller.network.is_closed.set(true);
            client.write(&controller.new_call(2).0);
            wait_until(|| controller.network.dial_count.get() > dials).await;
            match departure {
                Departure::Cancels => client.write(&frames::encode_empty(18, 2)),
                Departure::Closes | Departure::Resets => drop(client),
            }
            wait_until(|| controller.in_flight() == 0).await;
            controller.network.open();
            assert_eq!(
                controller
                    .handle
                    .inspect(|s| s.invocations.transport.sizes().requests),
                0,
                "{departure:?}"
            );
            // The request of another client passes the same gate, and is the only one that arrives.
            let mut other = controller.connect_client();
            let (call, txn) = controller.new_call(1);
            other.write(&call);
            let mut connection = controller.accept_connection().await;
            assert_eq!(connection.receive_request().await, txn, "{departure:?}");
            assert!(controller.received_nothing(), "{departure:?}");
        });
    }
}

/// Cancellations (type 18) in the same read as their request, before it, twice, and for a stream that has its response.
#[test]
fn request_cancelled_at_once_is_not_sent() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        let cancel = |stream| frames::encode_empty(18, stream).to_vec();
        client.write(
            &[
                cancel(2),
                controller.new_call(2).0,
                cancel(2),
                cancel(2),
                cancel(9),
                frames::encode_empty(32, 3).to_vec(),
            ]
            .concat(),
        );
        assert_eq!(
            client.receive_frame().await.0,
            33,
            "all frames before it were read"
        );
        assert_eq!(
            controller.handle.inspect(|s| (
                s.invocations.counters.accepted,
                s.invocations.counters.abandoned
            )),
            (1, 1)
        );
        wait_until(|| controller.in_flight() == 0).await;
        let (call, txn) = controller.new_call(4);
        client.write(&call);
        let mut connection = controller.accept_connection().await;
        assert_eq!(connection.receive_request().await, txn);
        connection.write(&http_response("done"));
        client.receive_frame().await;
        client.write(&[cancel(4), frames::encode_empty(32, 5).to_vec()].concat());
        assert_eq!(client.receive_frame().await.0, 33);
        assert_eq!(
            controller
                .handle
                .inspect(|s| s.invocations.counters.abandoned),
            1
        );
        assert!(controller.received_nothing());
    });
}

/// An idle connection breaks before, during or after the write. The request is sent on a new one only if it cannot have
/// run.
#[test]
fn replaces_broken_connection_only_if_request_was_not_sent_completely() {
    for closes_after_request in [false, true] {
        run_test(|| async move {
            let controller = TestController::new().await;
            let mut client = controller.connect_active_client().await;
            client.write(&controller.new_call(2).0);
            let mut connection = controller.accept_connection().await;
            connection.receive_request().await;
            connection.write(&http_response("one"));
            client.receive_frame().await;
            // The connection becomes reusable.
            let reusable_at = controller.handle.clock.now() + 60 * MILLISECOND;
            wait_until(|| controller.handle.event_loop.last_polled() > reusable_at).await;
            let (call, txn) = controller.new_call(4);
            if closes_after_request {
                client.write(&call);
                assert_eq!(
                    connection.receive_request().await,
                    txn,
                    "on the same connection"
                );
                drop(connection);
                assert_eq!(
                    client.receive_frame().await.2[0],
                    Code::Errored as u8,
                    "the invocation may have run"
                );
                assert!(controller.received_nothing());
            } else {
                // The close arrives after the last poll of the kernel, so that the write fails.
                client.write(&call);
                before_controller_tasks(|| drop(connection)).await;
                let mut received = None;
                let mut new = None;
                wait_until(|| {
                    new = controller.invoker.accept().ok().or(new.take());
                    received = client.next_frame();
                    received.is_some() || new.is_some()
                })
                .await;
                match new {
                    Some((stream, _)) => {
                        let mut new = PeerConnection::new(stream);
                        assert_eq!(new.receive_request().await, txn);
                        new.write(&http_response("two"));
                        assert_eq!(client.receive_frame().await.2[0], Code::Succeeded as u8);
                    }
                    // The request was sent completely to a closed peer: it may have run, so it is not sent again.
                    None => assert_eq!(received.unwrap().2[0], Code::Errored as u8),
                }
            }
        });
    }
}

/// A client with an invocation in flight is never disconnected to free capacity.
#[test]
fn never_evicts_client_with_open_invocation() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut busy = controller.connect_active_client().await;
        busy.write(&controller.new_call(2).0);
        let mut connection = controller.accept_connection().await;
        connection.receive_request().await;
        assert_eq!(
            controller.handle.config.clients.make_capacity(1),
            Some(AcceptDecision::Rejected),
            "no client is idle"
        );
        connection.write(&http_response("done"));
        assert_eq!(busy.receive_frame().await.2[0], Code::Succeeded as u8);
    });
}

thread_local! {
    /// Tenants of the invocations that arrived.
    static TENANTS: RefCell<Vec<usize>> = const { RefCell::new(Vec::new()) };
}

/// Throttles all invocations, and records their tenants.
struct RecordTenants;

impl Policy for RecordTenants {
    fn invokers_changed(&mut self, _: Ticks, _: bool, _: &[InvokerRecord]) {}
    fn invocation_arrived(&mut self, _: Ticks, call: Invocation, acts: &mut dyn Actions) {
        TENANTS.with_borrow_mut(|tenants| tenants.push(call.tenant));
        acts.throttle(call.id, 0);
    }
    fn invocation_abandoned(&mut self, _: Ticks, _: InvocationId, _: &mut dyn Actions) {}
    fn attempt_ended(&mut self, _: Ticks, _: AttemptResult, _: &mut dyn Actions) {}
    fn load_ended(&mut self, _: Ticks, _: LoadResult, _: &mut dyn Actions) {}
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
}

/// Guards against assigning every invocation to the first tenant.
#[test]
fn assigns_invocation_to_its_tenant() {
    for tenants in [&["a hall", "b.2"][..], &[]] {
        run_test(|| async move {
            let controller =
                TestController::with_tenants(|_, _, _, _| Box::new(RecordTenants), tenants).await;
            let mut client = controller.connect_active_client().await;
            let mut codes = Vec::new();
            for (n, team) in [Some("b.2"), Some("a hall"), Some("nobody's"), None]
                .into_iter()
                .enumerate()
            {
                let (stream, txn) = (n as u32 + 2, format!("{n:016x}"));
                let mut fields = vec![
                    ("verb", "book"),
                    ("txn", &txn),
                    ("limit", "900"),
                    ("item", "00000000000000f1"),
                ];
                fields.extend(team.map(|team| ("team", team)));
                client.write(&frames::encode_invoke(stream, &fields, &[]));
                codes.push(client.receive_frame().await.2[0]);
            }
            let (throttled, errored) = (Code::Throttled as u8, Code::Errored as u8);
            if tenants.is_empty() {
                assert_eq!(
                    (codes, TENANTS.take()),
                    (vec![throttled; 4], vec![0; 4]),
                    "the field is ignored"
                );
            } else {
                assert_eq!(
                    (codes, TENANTS.take()),
                    (vec![throttled, throttled, errored, errored], vec![1, 0])
                );
            }
        });
    }
}

/// A response in pieces of one byte, preceded by a 1xx response, is read as one response.
#[test]
fn reads_response_sent_byte_by_byte() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        client.write(&controller.new_call(2).0);
        let mut connection = controller.accept_connection().await;
        connection.receive_request().await;
        for byte in [
            &b"HTTP/1.1 102 Processing\r\n\r\n"[..],
            &http_response("piecemeal"),
        ]
        .concat()
        {
            connection.write(&[byte]);
            tokio::task::yield_now().await;
        }
        assert_eq!(
            client.receive_frame().await,
            (17, 2, [&[79, 0][..], b"piecemeal"].concat())
        );
    });
}

/// An invoker begins to drain during a dial. A request that has not begun to be sent after half the grace is never
/// sent, whenever the dial completes, and is reported as never run.
#[test]
fn late_connect_sends_nothing_to_draining_invoker() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        let dials = controller.network.dial_count.get();
        controller.network.is_closed.set(true);
        client.write(&controller.new_call(2).0);
        wait_until(|| controller.network.dial_count.get() > dials).await;
        let address = controller
            .invoker
            .local_addr()
            .unwrap()
            .to_string()
            .parse()
            .unwrap();
        let draining = Event::Changes(vec![endpoint_record(
            1,
            address,
            InvokerStatus::Draining,
            None,
        )]);
        crate::endpoint_watch::handle_event(
            &controller.handle,
            controller.handle.clock.now(),
            2,
            &draining,
        )
        .unwrap();
        assert_eq!(
            client.receive_frame().await.2[0],
            Code::Throttled as u8,
            "the invocation never ran"
        );
        controller.network.open();
        client.write(
            &[
                controller.new_call(4).0,
                frames::encode_empty(32, 5).to_vec(),
            ]
            .concat(),
        );
        let received = [
            client.receive_frame().await.1,
            client.receive_frame().await.1,
        ];
        assert!(received.contains(&4) && received.contains(&5));
        assert!(controller.received_nothing());
    });
}

/// Guards against admitting requests of a client that is accepted after the last responses, just before the process
/// exits. This occurs with client timeouts so short that accepting stops in the same event loop turn.
#[test]
fn rejects_client_after_final_responses() {
    run_test(|| async {
        let controller = TestController::new().await;
        controller.handle.config.clients.close_all();
        let mut late = controller.connect_client();
        late.write(&controller.new_call(1).0);
        wait_until(|| {
            late.read_available();
            late.is_ended
        })
        .await;
        assert!(late.is_rejected(1), "the request was read, and is rejected");
        assert_eq!(
            controller
                .handle
                .inspect(|s| s.invocations.counters.accepted),
            0
        );
        assert!(controller.received_nothing());
    });
}
