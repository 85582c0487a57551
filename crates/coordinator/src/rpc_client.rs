//! A connection to a coordinator or a resource: calls with answers, over a stream that is opened again when it is lost.

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
    /// The connection failed; whether the call was received is not known.
    #[error("{address}: {reason}")]
    Connection {
        /// Where the peer listens.
        address: Address,
        /// What failed.
        reason: String,
    },
    /// The peer answered with an error.
    #[error("{message}")]
    ErrorReply {
        /// Of JSON-RPC.
        code: i64,
        /// What the peer says.
        message: String,
    },
}

#[derive(Deserialize)]
struct Reply {
    id: Option<u64>,
    result: Option<Box<RawValue>>,
    error: Option<ReplyError>,
}

type Answer = Result<Box<RawValue>, CallError>;
type PendingCalls = BTreeMap<u64, oneshot::Sender<Answer>>;

struct Connection {
    outbox: SendQueue,
    open: Rc<RefCell<PendingCalls>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A client of one address; it connects at the first call.
pub struct RpcClient {
    network: Rc<dyn Network>,
    /// Where the peer listens.
    pub address: Address,
    fleet: String,
    connection: RefCell<Option<Rc<Connection>>>,
    connecting: tokio::sync::Mutex<()>,
    last: Cell<u64>,
}

/// Unsent bytes beyond which a call fails.
const UNSENT_MOST_BYTES: usize = 4 * MAX_LINE_BYTES;

impl RpcClient {
    /// A client that is not connected yet; `fleet` goes with every call.
    pub fn new(network: Rc<dyn Network>, at: Address, fleet: &str) -> Self {
        Self {
            network,
            address: at,
            fleet: fleet.to_owned(),
            connection: RefCell::default(),
            connecting: tokio::sync::Mutex::new(()),
            last: Cell::new(0),
        }
    }

    fn lost(&self, why: impl ToString) -> CallError {
        CallError::Connection {
            address: self.address.clone(),
            reason: why.to_string(),
        }
    }

    async fn connection(&self) -> Result<Rc<Connection>, CallError> {
        // One call connects, others wait for it.
        let _one = self.connecting.lock().await;
        if let Some(line) = self
            .connection
            .borrow()
            .as_ref()
            .filter(|l| !l.task.is_finished())
        {
            return Ok(line.clone());
        }
        let stream = self
            .network
            .dial(&self.address)
            .await
            .map_err(|e| self.lost(e))?;
        let outbox = SendQueue::new(UNSENT_MOST_BYTES);
        let open: Rc<RefCell<PendingCalls>> = Rc::default();
        let task = tokio::task::spawn_local(run_connection(
            stream,
            outbox.clone(),
            open.clone(),
            self.address.clone(),
        ));
        let line = Rc::new(Connection { outbox, open, task });
        *self.connection.borrow_mut() = Some(line.clone());
        Ok(line)
    }

    /// Sends one call and waits for its answer for `timeout` at most. A connection on which nothing came back in time is
    /// closed: the network may be partitioned, and then nothing arrives on it any more.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        what: impl Serialize,
        timeout: Ticks,
    ) -> Result<T, CallError> {
        let told =
            tokio::time::timeout(Duration::from_micros(timeout * 100), self.ask(method, what))
                .await;
        let Ok(told) = told else {
            *self.connection.borrow_mut() = None;
            return Err(self.lost(format!("no answer within {} ms", timeout / 10)));
        };
        serde_json::from_str(told?.get()).map_err(|e| self.lost(e))
    }

    async fn ask(&self, method: &str, what: impl Serialize) -> Answer {
        let line = self.connection().await?;
        let id = self.last.get() + 1;
        self.last.set(id);
        let said = Envelope {
            fleet: self.fleet.clone(),
            version: version_of(method),
            params: what,
        };
        let params = serde_json::to_string(&said).map_err(|e| self.lost(e))?;
        let text = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\",\"params\":{params}}}\n"
        );
        let (to, from) = oneshot::channel();
        line.open.borrow_mut().insert(id, to);
        let put = line.outbox.push(Bytes::from(text), Ticks::MAX);
        put.ok_or_else(|| self.lost("too much lies unsent"))?;
        from.await.unwrap_or_else(|_| Err(self.lost("hung up")))
    }
}

async fn run_connection(
    stream: Stream,
    outbox: SendQueue,
    open: Rc<RefCell<PendingCalls>>,
    at: Address,
) {
    let (mut input, mut output) = split(stream);
    let reading = async {
        let (mut read, mut searched) = (BytesMut::new(), 0);
        loop {
            while let Some(end) = read[searched..].iter().position(|b| *b == b'\n') {
                let line = read.split_to(searched + end + 1);
                searched = 0;
                let Ok(reply) = serde_json::from_slice::<Reply>(&line) else {
                    return;
                };
                let Some(to) = reply.id.and_then(|id| open.borrow_mut().remove(&id)) else {
                    continue;
                };
                let told = match (reply.result, reply.error) {
                    (Some(result), _) => Ok(result),
                    (None, Some(e)) => Err(CallError::ErrorReply {
                        code: e.code,
                        message: e.message,
                    }),
                    (None, None) => Err(CallError::ErrorReply {
                        code: WRONG_FLEET_OR_VERSION,
                        message: format!("{at}: neither result nor error"),
                    }),
                };
                let _ = to.send(told);
            }
            searched = read.len();
            if searched > MAX_LINE_BYTES || !matches!(input.read_buf(&mut read).await, Ok(1..)) {
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
    open.borrow_mut().clear();
}
