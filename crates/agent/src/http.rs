//! HTTP client: one GET at a time per connection, with idle connections reused. Body lengths are bounded by the caller, not
//! by what the server states.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use saltdrum::interface::{MILLISECOND, SECOND, Ticks};
use saltdrum_transport::{Address, Network};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A peer that does not accept a connection within this time counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A response body without data for this long fails the request.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time until the response headers. Longer than the idle timeout, because a home may first fetch the chunk itself.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(9);
/// Used when a refusal states no retry-after.
const DEFAULT_RETRY_AFTER: Ticks = 200 * MILLISECOND;
const MAX_RETRY_AFTER: Ticks = 30 * SECOND;
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Stored length of the chunk according to its manifest, for a home that has to fetch the chunk first.
pub const STORED_BYTES_HEADER: &str = "x-saltdrum-bytes";
/// Like Retry-After but in milliseconds, because seconds are too coarse between peers.
pub const RETRY_AFTER_MS_HEADER: &str = "x-saltdrum-retry-after-ms";

/// How a GET ended.
pub enum GetOutcome {
    Bytes(Vec<u8>),
    Refused(Ticks),
    NotFound,
    Failed(String),
}

/// Idle connections by address.
pub struct ConnectionPool {
    network: Rc<dyn Network>,
    idle: RefCell<BTreeMap<Address, Vec<SendRequest<Empty<Bytes>>>>>,
}

impl ConnectionPool {
    pub fn new(network: Rc<dyn Network>) -> Self {
        Self {
            network,
            idle: RefCell::default(),
        }
    }

    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    async fn connection(&self, to: &Address) -> Result<SendRequest<Empty<Bytes>>, String> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(to).and_then(Vec::pop);
            match idle {
                Some(mut connection) => {
                    if connection.ready().await.is_ok() {
                        return Ok(connection);
                    }
                }
                None => break,
            }
        }
        let dialed = tokio::time::timeout(CONNECT_TIMEOUT, self.network.dial(to)).await;
        let stream = dialed
            .map_err(|_| "connection timed out".to_owned())?
            .map_err(|e| e.to_string())?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Sends a GET and reads the body, at most `max_bytes` of it.
    pub async fn get(
        &self,
        to: &Address,
        path: &str,
        accept: &str,
        stored_bytes: Option<u64>,
        max_bytes: u64,
    ) -> GetOutcome {
        match self
            .try_get(to, path, accept, stored_bytes, max_bytes)
            .await
        {
            Ok(outcome) => outcome,
            Err(why) => GetOutcome::Failed(why),
        }
    }

    async fn try_get(
        &self,
        to: &Address,
        path: &str,
        accept: &str,
        stored_bytes: Option<u64>,
        max_bytes: u64,
    ) -> Result<GetOutcome, String> {
        let mut connection = self.connection(to).await?;
        let mut request = Request::get(path)
            .header(header::HOST, "saltdrum")
            .header(header::ACCEPT, accept);
        if let Some(bytes) = stored_bytes {
            request = request.header(STORED_BYTES_HEADER, bytes);
        }
        let request = request.body(Empty::new()).map_err(|e| e.to_string())?;
        let response =
            tokio::time::timeout(RESPONSE_TIMEOUT, connection.send_request(request)).await;
        let mut response = response
            .map_err(|_| "response timed out".to_owned())?
            .map_err(|e| e.to_string())?;
        let header_value = |name: &str| {
            response
                .headers()
                .get(name)?
                .to_str()
                .ok()?
                .parse::<u64>()
                .ok()
        };
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(GetOutcome::NotFound),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let ms =
                    header_value(RETRY_AFTER_MS_HEADER).map(|ms| ms.saturating_mul(MILLISECOND));
                let seconds = header_value("retry-after").map(|s| s.saturating_mul(SECOND));
                return Ok(GetOutcome::Refused(
                    ms.or(seconds)
                        .unwrap_or(DEFAULT_RETRY_AFTER)
                        .min(MAX_RETRY_AFTER),
                ));
            }
            other => return Err(format!("status {other}")),
        }
        if header_value("content-length").is_some_and(|n| n > max_bytes) {
            return Err(format!("a body of more than the stated {max_bytes} bytes"));
        }
        let mut bytes = Vec::new();
        loop {
            let frame = tokio::time::timeout(BODY_IDLE_TIMEOUT, response.body_mut().frame()).await;
            let Some(frame) = frame.map_err(|_| "response body stalled".to_owned())? else {
                break;
            };
            if let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() {
                if (bytes.len() + data.len()) as u64 > max_bytes {
                    return Err(format!("a body of more than the stated {max_bytes} bytes"));
                }
                bytes.extend_from_slice(&data);
            }
        }
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(to.clone()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
        Ok(GetOutcome::Bytes(bytes))
    }
}
