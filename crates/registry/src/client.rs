//! The administrator's side of the socket: one call after another.

use bytes::BytesMut;
use saltdrum_protocol::rpc::ReplyError;
use saltdrum_transport::{Address, Network, Stream};
use serde::Deserialize;
use serde_json::{Value as Json, json};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection failed.
    #[error("{at}: {why}")]
    Connection {
        /// Where it is, or was expected to be.
        at: Address,
        /// The reason.
        why: String,
    },
    /// What the registry answered.
    #[error("{message}")]
    Response {
        /// JSON-RPC error code.
        code: i64,
        /// Text of the error.
        message: String,
    },
}

/// A connection to the registry that has logged in.
pub struct RegistryClient {
    at: Address,
    stream: Stream,
    read: BytesMut,
    last: u64,
}

#[derive(Deserialize)]
struct Reply {
    id: Json,
    #[serde(default)]
    result: Json,
    error: Option<ReplyError>,
}

impl RegistryClient {
    /// Dials and logs in.
    pub async fn connect(
        network: &Rc<dyn Network>,
        at: &Address,
        key: &str,
    ) -> Result<Self, ClientError> {
        let dialled = network.dial(at).await;
        let stream = dialled.map_err(|e| ClientError::Connection {
            at: at.clone(),
            why: e.to_string(),
        })?;
        let mut caller = Self {
            at: at.clone(),
            stream,
            read: BytesMut::new(),
            last: 0,
        };
        caller.call("login", json!({ "key": key })).await?;
        Ok(caller)
    }

    /// Calls a method and waits for its answer.
    pub async fn call(&mut self, method: &str, params: Json) -> Result<Json, ClientError> {
        let fault = |at: &Address, why: String| ClientError::Connection {
            at: at.clone(),
            why,
        };
        self.last += 1;
        let ask = json!({"jsonrpc": "2.0", "id": self.last, "method": method, "params": params});
        let written = self.stream.write_all(format!("{ask}\n").as_bytes()).await;
        written.map_err(|e| fault(&self.at, e.to_string()))?;
        let mut searched = 0;
        loop {
            if let Some(end) = self.read[searched..].iter().position(|b| *b == b'\n') {
                let line = self.read.split_to(searched + end + 1);
                searched = 0;
                let reply: Reply =
                    serde_json::from_slice(&line).map_err(|e| fault(&self.at, e.to_string()))?;
                if reply.id != json!(self.last) {
                    continue;
                }
                return match reply.error {
                    Some(e) => Err(ClientError::Response {
                        code: e.code,
                        message: e.message,
                    }),
                    None => Ok(reply.result),
                };
            }
            searched = self.read.len();
            match self.stream.read_buf(&mut self.read).await {
                Ok(0) => return Err(fault(&self.at, "it hung up".into())),
                Ok(_) => {}
                Err(e) => return Err(fault(&self.at, e.to_string())),
            }
        }
    }
}
