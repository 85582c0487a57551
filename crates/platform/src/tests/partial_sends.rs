//! Requests that leave in pieces.

use super::support::{pass, staged};
use crate::invoker_connection::{InvokerConnection, SendDeadline};
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

/// The other end of a [`NarrowStream`].
#[derive(Default)]
struct Narrow {
    taken: RefCell<Vec<u8>>,
    is_wide: Cell<bool>,
    writer: RefCell<Option<Waker>>,
}

impl Narrow {
    fn widen(&self) {
        self.is_wide.set(true);
        self.writer.take().into_iter().for_each(Waker::wake);
    }
}

/// A stream that takes the first few bytes, and the rest only once it is widened. Nothing comes on it.
struct NarrowStream(Rc<Narrow>);

impl AsyncRead for NarrowStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Pending
    }
}

impl AsyncWrite for NarrowStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut taken = self.0.taken.borrow_mut();
        let room = if self.0.is_wide.get() {
            bytes.len()
        } else {
            FIRST_PIECE_BYTES - taken.len()
        };
        if room == 0 {
            *self.0.writer.borrow_mut() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        taken.extend_from_slice(&bytes[..room.min(bytes.len())]);
        Poll::Ready(Ok(room.min(bytes.len())))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// What came of a request whose first piece left at once and whose rest could leave `widened_ms` later, where what it says is
/// good for 40 ms: whether it was sent completely, and whether it was stale.
async fn sent_in_two_pieces(widened_ms: u64) -> (bool, bool) {
    let (clock, narrow) = (Clock::start(), Rc::<Narrow>::default());
    let stream = Box::new(NarrowStream(narrow.clone()));
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
        drop(
            connection
                .request(request, 0, deadline, RESPONSE_BYTES_MAX)
                .await,
        );
    });
    pass(widened_ms).await;
    assert_eq!(narrow.taken.borrow().len(), FIRST_PIECE_BYTES);
    narrow.widen();
    pass(1).await;
    let seen = (socket.sent_completely(), socket.is_stale());
    request.abort();
    seen
}

#[test]
fn rest_of_a_request_leaves_while_it_is_fresh() {
    staged(|| async { assert_eq!(sent_in_two_pieces(20).await, (true, false)) });
}

/// Guards against a request that left in part before a stop and to its end after it, and told of the time left before.
#[test]
fn rest_of_a_request_does_not_leave_once_it_is_stale() {
    staged(|| async { assert_eq!(sent_in_two_pieces(300).await, (false, true)) });
}
