//! JSON-RPC client of a coordinator or a resource, over a connection that is opened again when it is lost.

use crate::wire::{Envelope, MAX_LINE_BYTES, WRONG_FLEET_OR_VERSION, version_of};
use bytes::{Bytes, BytesMut};
use saltdrum::interface::Ticks;
use saltdrum_protocol::rpc::ReplyError;
use saltdrum_transport::{Address, Network, SendQueue, Stream, split};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::oneshot;

/// Why a call has no result.
#[derive(Debug, Clone, thiserror::Error)]
pub enum CallError {
    /// The connection failed; whether the peer received the call is unknown.
    #[error("{address}: {reason}")]
    Connection {
        /// Address of the peer.
        address: Address,
        /// What failed.
        reason: String,
    },
    /// The peer replied with an error.
    #[error("{message}")]
    ErrorReply {
        /// JSON-RPC error code.
        code: i64,
        /// Error message of the peer.
        message: String,
    },
}

#[derive(Deserialize)]
struct Reply {
    id: Option<u64>,
    result: Option<Box<RawValue>>,
    error: Option<ReplyError>,
}

type RawResult = Result<Box<RawValue>, CallError>;
type PendingCalls = BTreeMap<u64, oneshot::Sender<RawResult>>;

struct Connection {
    outbox: SendQueue,
    pending_calls: Rc<RefCell<PendingCalls>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A client of one address, which connects on the first call.
pub struct RpcClient {
    network: Rc<dyn Network>,
    /// Address of the peer.
    pub address: Address,
    fleet: String,
    connection: RefCell<Option<Rc<Connection>>>,
    connecting: tokio::sync::Mutex<()>,
    last_id: Cell<u64>,
}

/// Unsent bytes beyond which a call fails.
const MAX_UNSENT_BYTES: usize = 4 * MAX_LINE_BYTES;

impl RpcClient {
    /// Creates a client that is not connected yet; every call carries the name of the fleet.
    pub fn new(network: Rc<dyn Network>, address: Address, fleet: &str) -> Self {
        Self {
            network,
            address,
            fleet: fleet.to_owned(),
            connection: RefCell::default(),
            connecting: tokio::sync::Mutex::new(()),
            last_id: Cell::new(0),
        }
    }

    fn connection_error(&self, reason: impl ToString) -> CallError {
        CallError::Connection {
            address: self.address.clone(),
            reason: reason.to_string(),
        }
    }

    async fn connection(&self) -> Result<Rc<Connection>, CallError> {
        // One call connects, the others wait for it.
        let _guard = self.connecting.lock().await;
        if let Some(connection) = self
            .connection
            .borrow()
            .as_ref()
            .filter(|connection| !connection.task.is_finished())
        {
            return Ok(connection.clone());
        }
        let stream = self
            .network
            .dial(&self.address)
            .await
            .map_err(|e| self.connection_error(e))?;
        let outbox = SendQueue::new(MAX_UNSENT_BYTES);
        let pending_calls: Rc<RefCell<PendingCalls>> = Rc::default();
        let task = tokio::task::spawn_local(run_connection(
            stream,
            outbox.clone(),
            pending_calls.clone(),
            self.address.clone(),
        ));
        let connection = Rc::new(Connection {
            outbox,
            pending_calls,
            task,
        });
        *self.connection.borrow_mut() = Some(connection.clone());
        Ok(connection)
    }

    /// Sends one call and waits for its result for at most `timeout`. After a timeout the connection is closed: the network may
    /// be partitioned, and then nothing arrives on this connection any more.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        params: impl Serialize,
        timeout: Ticks,
    ) -> Result<T, CallError> {
        let result = tokio::time::timeout(
            Duration::from_micros(timeout * 100),
            self.send_call(method, params),
        )
        .await;
        let Ok(result) = result else {
            *self.connection.borrow_mut() = None;
            return Err(self.connection_error(format!("no answer within {} ms", timeout / 10)));
        };
        serde_json::from_str(result?.get()).map_err(|e| self.connection_error(e))
    }

    async fn send_call(&self, method: &str, params: impl Serialize) -> RawResult {
        let connection = self.connection().await?;
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let envelope = Envelope {
            fleet: self.fleet.clone(),
            version: version_of(method),
            params,
        };
        let params = serde_json::to_string(&envelope).map_err(|e| self.connection_error(e))?;
        let text = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\",\"params\":{params}}}\n"
        );
        let (result_sender, result) = oneshot::channel();
        connection
            .pending_calls
            .borrow_mut()
            .insert(id, result_sender);
        let queued = connection.outbox.push(Bytes::from(text), Ticks::MAX);
        queued.ok_or_else(|| self.connection_error("too much lies unsent"))?;
        result
            .await
            .unwrap_or_else(|_| Err(self.connection_error("hung up")))
    }
}

async fn run_connection(
    stream: Stream,
    outbox: SendQueue,
    pending_calls: Rc<RefCell<PendingCalls>>,
    address: Address,
) {
    let (mut input, mut output) = split(stream);
    let reading = async {
        // The first `scanned` bytes of the buffer have no line break.
        let (mut buffer, mut scanned) = (BytesMut::new(), 0);
        loop {
            while let Some(end) = buffer[scanned..].iter().position(|b| *b == b'\n') {
                let line = buffer.split_to(scanned + end + 1);
                scanned = 0;
                let Ok(reply) = serde_json::from_slice::<Reply>(&line) else {
                    return;
                };
                let Some(result_sender) = reply
                    .id
                    .and_then(|id| pending_calls.borrow_mut().remove(&id))
                else {
                    continue;
                };
                let result = match (reply.result, reply.error) {
                    (Some(result), _) => Ok(result),
                    (None, Some(e)) => Err(CallError::ErrorReply {
                        code: e.code,
                        message: e.message,
                    }),
                    (None, None) => Err(CallError::ErrorReply {
                        code: WRONG_FLEET_OR_VERSION,
                        message: format!("{address}: neither result nor error"),
                    }),
                };
                let _ = result_sender.send(result);
            }
            scanned = buffer.len();
            if scanned > MAX_LINE_BYTES || !matches!(input.read_buf(&mut buffer).await, Ok(1..)) {
                return;
            }
        }
    };
    tokio::select! {
        biased;
        () = reading => {}
        _ = outbox.write_to(&mut output, || 0, |_| ()) => {}
    }
    outbox.close();
    pending_calls.borrow_mut().clear();
}
