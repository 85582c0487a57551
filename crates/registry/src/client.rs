//! The administrator's client of the registry: sequential calls on one connection.

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
        /// Address of the registry.
        at: Address,
        /// The reason.
        why: String,
    },
    /// The registry answered with an error.
    #[error("{message}")]
    Response {
        /// JSON-RPC error code.
        code: i64,
        /// Text of the error.
        message: String,
    },
}

/// A logged-in connection to the registry.
pub struct RegistryClient {
    address: Address,
    stream: Stream,
    buffer: BytesMut,
    last_id: u64,
}

#[derive(Deserialize)]
struct Reply {
    id: Json,
    #[serde(default)]
    result: Json,
    error: Option<ReplyError>,
}

impl RegistryClient {
    /// Connects and logs in.
    pub async fn connect(
        network: &Rc<dyn Network>,
        address: &Address,
        key: &str,
    ) -> Result<Self, ClientError> {
        let dialled = network.dial(address).await;
        let stream = dialled.map_err(|e| ClientError::Connection {
            at: address.clone(),
            why: e.to_string(),
        })?;
        let mut client = Self {
            address: address.clone(),
            stream,
            buffer: BytesMut::new(),
            last_id: 0,
        };
        client.call("login", json!({ "key": key })).await?;
        Ok(client)
    }

    /// Calls a method and waits for its answer.
    pub async fn call(&mut self, method: &str, params: Json) -> Result<Json, ClientError> {
        let connection_error = |address: &Address, why: String| ClientError::Connection {
            at: address.clone(),
            why,
        };
        self.last_id += 1;
        let request =
            json!({"jsonrpc": "2.0", "id": self.last_id, "method": method, "params": params});
        let written = self
            .stream
            .write_all(format!("{request}\n").as_bytes())
            .await;
        written.map_err(|e| connection_error(&self.address, e.to_string()))?;
        let mut searched = 0;
        loop {
            if let Some(end) = self.buffer[searched..].iter().position(|b| *b == b'\n') {
                let line = self.buffer.split_to(searched + end + 1);
                searched = 0;
                let reply: Reply = serde_json::from_slice(&line)
                    .map_err(|e| connection_error(&self.address, e.to_string()))?;
                if reply.id != json!(self.last_id) {
                    continue;
                }
                return match reply.error {
                    Some(error) => Err(ClientError::Response {
                        code: error.code,
                        message: error.message,
                    }),
                    None => Ok(reply.result),
                };
            }
            searched = self.buffer.len();
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) => {
                    return Err(connection_error(
                        &self.address,
                        "connection closed by the registry".into(),
                    ));
                }
                Ok(_) => {}
                Err(e) => return Err(connection_error(&self.address, e.to_string())),
            }
        }
    }
}
