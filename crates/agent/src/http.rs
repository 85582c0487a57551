//! One GET at a time on a connection, connections kept for the next. Nothing is believed of lengths.

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

/// A peer that does not take the connection within this is not there.
const CONNECT: Duration = Duration::from_millis(500);
/// Nothing comes for so long: broken. A home that fetches for us first may take longer to begin.
const SILENT: Duration = Duration::from_secs(2);
const BEGINS: Duration = Duration::from_secs(9);
/// Where a refusal does not say.
const COME_BACK: Ticks = 200 * MILLISECOND;
const COME_BACK_MOST: Ticks = 30 * SECOND;
const KEPT_MOST: usize = 8;
/// How long the chunk is by its manifest; a home that lacks it needs to know.
pub const STATED_BYTES: &str = "x-saltdrum-bytes";
/// As Retry-After, in milliseconds: seconds are too coarse between neighbours.
pub const RETRY_AFTER_MS: &str = "x-saltdrum-retry-after-ms";

pub enum Got {
    Bytes(Vec<u8>),
    Refused(Ticks),
    Absent,
    Broken(String),
}

pub struct Pool {
    network: Rc<dyn Network>,
    kept: RefCell<BTreeMap<Address, Vec<SendRequest<Empty<Bytes>>>>>,
}

impl Pool {
    pub fn new(network: Rc<dyn Network>) -> Self {
        Self {
            network,
            kept: RefCell::default(),
        }
    }

    pub fn clear(&self) {
        self.kept.borrow_mut().clear();
    }

    async fn connection(&self, to: &Address) -> Result<SendRequest<Empty<Bytes>>, String> {
        loop {
            let kept = self.kept.borrow_mut().get_mut(to).and_then(Vec::pop);
            match kept {
                Some(mut c) => {
                    if c.ready().await.is_ok() {
                        return Ok(c);
                    }
                }
                None => break,
            }
        }
        let dialled = tokio::time::timeout(CONNECT, self.network.dial(to)).await;
        let stream = dialled
            .map_err(|_| "no connection".to_owned())?
            .map_err(|e| e.to_string())?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// At the most so many bytes of body are taken.
    pub async fn get(
        &self,
        to: &Address,
        path: &str,
        accept: &str,
        stated: Option<u64>,
        most: u64,
    ) -> Got {
        match self.got(to, path, accept, stated, most).await {
            Ok(got) => got,
            Err(why) => Got::Broken(why),
        }
    }

    async fn got(
        &self,
        to: &Address,
        path: &str,
        accept: &str,
        stated: Option<u64>,
        most: u64,
    ) -> Result<Got, String> {
        let mut connection = self.connection(to).await?;
        let mut request = Request::get(path)
            .header(header::HOST, "saltdrum")
            .header(header::ACCEPT, accept);
        if let Some(bytes) = stated {
            request = request.header(STATED_BYTES, bytes);
        }
        let request = request.body(Empty::new()).map_err(|e| e.to_string())?;
        let answered = tokio::time::timeout(BEGINS, connection.send_request(request)).await;
        let mut response = answered
            .map_err(|_| "no answer".to_owned())?
            .map_err(|e| e.to_string())?;
        let named = |name: &str| {
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
            StatusCode::NOT_FOUND => return Ok(Got::Absent),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let ms = named(RETRY_AFTER_MS).map(|ms| ms.saturating_mul(MILLISECOND));
                let seconds = named("retry-after").map(|s| s.saturating_mul(SECOND));
                return Ok(Got::Refused(
                    ms.or(seconds).unwrap_or(COME_BACK).min(COME_BACK_MOST),
                ));
            }
            other => return Err(format!("status {other}")),
        }
        if named("content-length").is_some_and(|n| n > most) {
            return Err(format!("a body of more than the stated {most} bytes"));
        }
        let mut bytes = Vec::new();
        loop {
            let frame = tokio::time::timeout(SILENT, response.body_mut().frame()).await;
            let Some(frame) = frame.map_err(|_| "silence in mid-body".to_owned())? else {
                break;
            };
            if let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() {
                if (bytes.len() + data.len()) as u64 > most {
                    return Err(format!("a body of more than the stated {most} bytes"));
                }
                bytes.extend_from_slice(&data);
            }
        }
        let mut kept = self.kept.borrow_mut();
        let kept = kept.entry(to.clone()).or_default();
        if kept.len() < KEPT_MOST {
            kept.push(connection);
        }
        Ok(Got::Bytes(bytes))
    }
}
