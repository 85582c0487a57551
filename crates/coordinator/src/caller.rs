//! One line to a steward: calls with answers, over a stream that is dialled again when it is lost.

use crate::wire::{LINE_MOST_BYTES, STRANGER, Said, version_of};
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

#[derive(Debug, Clone, thiserror::Error)]
pub enum Fault {
    /// Whether it was heard is not known.
    #[error("{at}: {why}")]
    Line { at: Address, why: String },
    #[error("{message}")]
    Told { code: i64, message: String },
}

#[derive(Deserialize)]
struct Reply {
    id: Option<u64>,
    result: Option<Box<RawValue>>,
    error: Option<ReplyError>,
}

type Answer = Result<Box<RawValue>, Fault>;
type Open = BTreeMap<u64, oneshot::Sender<Answer>>;

struct Line {
    outbox: SendQueue,
    open: Rc<RefCell<Open>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub struct Caller {
    network: Rc<dyn Network>,
    pub at: Address,
    fleet: String,
    line: RefCell<Option<Rc<Line>>>,
    dialling: tokio::sync::Mutex<()>,
    last: Cell<u64>,
}

/// What lies unsent before a line is given up.
const UNSENT_MOST_BYTES: usize = 4 * LINE_MOST_BYTES;

impl Caller {
    pub fn new(network: Rc<dyn Network>, at: Address, fleet: &str) -> Self {
        Self {
            network,
            at,
            fleet: fleet.to_owned(),
            line: RefCell::default(),
            dialling: tokio::sync::Mutex::new(()),
            last: Cell::new(0),
        }
    }

    fn lost(&self, why: impl ToString) -> Fault {
        Fault::Line {
            at: self.at.clone(),
            why: why.to_string(),
        }
    }

    async fn line(&self) -> Result<Rc<Line>, Fault> {
        // One dials, others wait for it.
        let _one = self.dialling.lock().await;
        if let Some(line) = self
            .line
            .borrow()
            .as_ref()
            .filter(|l| !l.task.is_finished())
        {
            return Ok(line.clone());
        }
        let stream = self
            .network
            .dial(&self.at)
            .await
            .map_err(|e| self.lost(e))?;
        let outbox = SendQueue::new(UNSENT_MOST_BYTES);
        let open: Rc<RefCell<Open>> = Rc::default();
        let task =
            tokio::task::spawn_local(keep(stream, outbox.clone(), open.clone(), self.at.clone()));
        let line = Rc::new(Line { outbox, open, task });
        *self.line.borrow_mut() = Some(line.clone());
        Ok(line)
    }

    /// Sends one call and waits for its answer, so long at the most. A line on which nothing came back in time is given
    /// up: it may be cut, and then says nothing for ever.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        what: impl Serialize,
        patience: Ticks,
    ) -> Result<T, Fault> {
        let told = tokio::time::timeout(
            Duration::from_micros(patience * 100),
            self.ask(method, what),
        )
        .await;
        let Ok(told) = told else {
            *self.line.borrow_mut() = None;
            return Err(self.lost(format!("no answer within {} ms", patience / 10)));
        };
        serde_json::from_str(told?.get()).map_err(|e| self.lost(e))
    }

    async fn ask(&self, method: &str, what: impl Serialize) -> Answer {
        let line = self.line().await?;
        let id = self.last.get() + 1;
        self.last.set(id);
        let said = Said {
            fleet: self.fleet.clone(),
            speaks: version_of(method),
            what,
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

async fn keep(stream: Stream, outbox: SendQueue, open: Rc<RefCell<Open>>, at: Address) {
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
                    (None, Some(e)) => Err(Fault::Told {
                        code: e.code,
                        message: e.message,
                    }),
                    (None, None) => Err(Fault::Told {
                        code: STRANGER,
                        message: format!("{at}: neither result nor error"),
                    }),
                };
                let _ = to.send(told);
            }
            searched = read.len();
            if searched > LINE_MOST_BYTES || !matches!(input.read_buf(&mut read).await, Ok(1..)) {
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
