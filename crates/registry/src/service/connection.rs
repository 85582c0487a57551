//! One connection: reads calls line by line, writes answers and watch events.

use super::Registry;
use crate::names::Name;
use bytes::{Bytes, BytesMut};
use saltdrum_protocol::rpc::{self, Call, Id, Line};
use saltdrum_transport::{Clock, SendQueue, Stream, StreamHalf, split};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tracing::{debug, warn};

/// Bytes that a peer may leave unread before its connection is closed. A complete snapshot has to fit.
const MAX_UNREAD_BYTES: usize = 256 << 20;

/// What the tasks of one connection share.
pub(super) struct Connection {
    send_queue: SendQueue,
    /// The key that has logged in.
    pub(super) key: RefCell<Option<Name>>,
    overflowed: Notify,
}

impl Connection {
    /// Queues a line. A peer that leaves too much unread is disconnected.
    pub(super) fn send(&self, mut text: String) {
        text.push('\n');
        if self.send_queue.push(Bytes::from(text), u64::MAX).is_none() {
            self.overflowed.notify_one();
        }
    }

    fn send_error(&self, id: &Id, code: i64, message: &str) {
        self.send(rpc::format_error(id, code, message, None));
    }
}

impl Registry {
    /// Serves one connection until it is closed.
    pub(super) async fn serve_connection(self: Rc<Self>, stream: Stream, clock: Clock) {
        let (input, mut output) = split(stream);
        let send_queue = SendQueue::new(MAX_UNREAD_BYTES);
        let connection = Rc::new(Connection {
            send_queue,
            key: RefCell::default(),
            overflowed: Notify::new(),
        });
        tokio::select! {
            biased;
            reason = self.read_calls(&connection, input) => debug!(reason, "connection closed"),
            _ = connection.send_queue.write_to(&mut output, || clock.now(), |_| ()) => {}
            () = connection.overflowed.notified() => {
                warn!(reason = "too much unread", "connection closed");
            }
        }
    }

    /// Answers calls one after another, while a watch goes on beside them. Gives why the connection ended.
    async fn read_calls(
        self: &Rc<Self>,
        connection: &Rc<Connection>,
        mut input: StreamHalf,
    ) -> String {
        let mut buffer = BytesMut::new();
        let mut watch_task = JoinSet::new();
        loop {
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(end + 1);
                self.answer_line(connection, line.trim_ascii(), &mut watch_task)
                    .await;
            }
            if buffer.len() > rpc::MAX_LINE_BYTES {
                connection.send_error(&Id::null(), rpc::PARSE_ERROR, "line too long");
                return "line too long".into();
            }
            match input.read_buf(&mut buffer).await {
                Ok(0) => return "hung up".into(),
                Ok(_) => {}
                Err(error) => return error.to_string(),
            }
        }
    }

    async fn answer_line(
        self: &Rc<Self>,
        connection: &Rc<Connection>,
        line: &[u8],
        watch_task: &mut JoinSet<()>,
    ) {
        if line.is_empty() {
            return;
        }
        match rpc::parse_line(line) {
            Ok(Line::Single(Ok(call))) => {
                self.answer_call(connection, &call, watch_task).await;
            }
            Ok(Line::Single(Err(invalid))) | Err(invalid) => {
                connection.send_error(&invalid.id, invalid.code, &invalid.why);
            }
            Ok(Line::Batch(_)) => {
                let message = "batches are not taken here";
                connection.send_error(&Id::null(), rpc::INVALID_REQUEST, message);
            }
        }
    }

    async fn answer_call(
        self: &Rc<Self>,
        connection: &Rc<Connection>,
        call: &Call,
        watch_task: &mut JoinSet<()>,
    ) {
        let result = match call.method.as_str() {
            "watch" => self.start_watch(connection, call, watch_task),
            _ => self.dispatch(connection, call).await,
        };
        let Some(id) = &call.id else { return };
        match result {
            Ok(value) => connection.send(rpc::format_result(id, &value.to_string())),
            Err(error) => connection.send_error(id, error.code, &error.message),
        }
    }
}
