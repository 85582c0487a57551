//! Requests that are sent in pieces.

use super::support::{run_test, sleep_ms};
use crate::invoker_connection::{InvokerConnection, ResponseLimit, SendDeadline};
use crate::shared_budget::{BudgetHolder, PeerShare, SharedBudget};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use saltdrum::interface::MILLISECOND;
use saltdrum_transport::Clock;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::spawn_local;

const FIRST_PIECE_BYTES: usize = 3;
const RESPONSE_BYTES_MAX: usize = 4_096;

/// The receiving side of a [`LimitedStream`].
#[derive(Default)]
struct LimitedReceiver {
    received: RefCell<Vec<u8>>,
    is_unlimited: Cell<bool>,
    writer: RefCell<Option<Waker>>,
}

impl LimitedReceiver {
    fn remove_limit(&self) {
        self.is_unlimited.set(true);
        self.writer.take().into_iter().for_each(Waker::wake);
    }
}

/// A stream that accepts the first few bytes, and more only once its limit is removed. It has no input.
struct LimitedStream(Rc<LimitedReceiver>);

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Pending
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut received = self.0.received.borrow_mut();
        let capacity = if self.0.is_unlimited.get() {
            bytes.len()
        } else {
            FIRST_PIECE_BYTES - received.len()
        };
        if capacity == 0 {
            *self.0.writer.borrow_mut() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        received.extend_from_slice(&bytes[..capacity.min(bytes.len())]);
        Poll::Ready(Ok(capacity.min(bytes.len())))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Sends the first piece of a request at once and the rest after `delay_ms`. The request is valid for 40 ms. Returns
/// whether it was sent completely, and whether it became stale.
async fn send_in_two_pieces(delay_ms: u64) -> (bool, bool) {
    let (clock, receiver) = (Clock::start(), Rc::<LimitedReceiver>::default());
    let stream = Box::new(LimitedStream(receiver.clone()));
    let mut connection = InvokerConnection::handshake(stream, clock).await.unwrap();
    let socket = connection.socket.clone();
    let deadline = SendDeadline {
        stale_at: clock.now() + 40 * MILLISECOND,
        ..SendDeadline::default()
    };
    let request = spawn_local(async move {
        let request = Request::builder()
            .uri("/obj/look")
            .header("host", "invoker");
        let request = request.body(Full::<Bytes>::default()).unwrap();
        let limit = ResponseLimit {
            max_bytes: RESPONSE_BYTES_MAX,
            memory: &BudgetHolder::new(SharedBudget::new(RESPONSE_BYTES_MAX, PeerShare::Ninth)),
        };
        drop(connection.request(request, 0, deadline, limit).await);
    });
    sleep_ms(delay_ms).await;
    assert_eq!(receiver.received.borrow().len(), FIRST_PIECE_BYTES);
    receiver.remove_limit();
    sleep_ms(1).await;
    let result = (socket.sent_completely(), socket.is_stale());
    request.abort();
    result
}

#[test]
fn sends_rest_of_fresh_request() {
    run_test(|| async { assert_eq!(send_in_two_pieces(20).await, (true, false)) });
}

/// Guards against a request that is sent in part before a stop of the process and completely after it, with the time
/// limit from before the stop.
#[test]
fn does_not_send_rest_of_stale_request() {
    run_test(|| async { assert_eq!(send_in_two_pieces(300).await, (false, true)) });
}
