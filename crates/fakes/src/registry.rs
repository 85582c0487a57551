//! A fake model store that implements the pull part of the OCI distribution specification and injects faults.
//!
//! Implements the public specification: manifests by tag or digest, blobs by digest with ranges, 404 and 429 with Retry-After.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use saltdrum_layers::manifest::{MANIFEST_TYPE, Manifest};
use saltdrum_layers::{Digest, cut};
use saltdrum_transport::{Address, Network};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Faults that the store injects. Shares are of blob requests.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Rejected with 429 before any byte of the body.
    pub refuse_share: f64,
    /// Connection closed after half of the body.
    pub cut_share: f64,
    /// Stalled after half of the body, with the connection open.
    pub stall_share: f64,
    /// After half of the body, sends one byte a second.
    pub trickle_share: f64,
    /// Declares a length that is 1,000 bytes too large, and closes the connection after half of the body.
    pub wrong_length_share: f64,
    /// Blobs that are sent with one bit changed.
    pub damaged: BTreeSet<Digest>,
}

/// A fake OCI registry.
pub struct OciRegistry {
    manifests: RefCell<BTreeMap<(String, String), Bytes>>,
    blobs: RefCell<BTreeMap<Digest, Bytes>>,
    pub faults: RefCell<Faults>,
    /// Number of blob requests in flight from which further ones are rejected.
    pub max_in_flight: Cell<usize>,
    /// Number of blob requests in flight up to which each is served at full speed; beyond, all slow down.
    pub full_speed_requests: Cell<f64>,
    pub bytes_per_second: Cell<f64>,
    /// Factor by which requests are slowed down; 1 is normal.
    pub slowness: Cell<f64>,
    in_flight: Cell<usize>,
    rng: RefCell<fastrand::Rng>,
    /// Requests for each blob, including rejected ones.
    pub requests: RefCell<BTreeMap<Digest, u32>>,
    pub refused: Cell<u32>,
    pub bytes_sent: Cell<u64>,
}

enum BodyEnding {
    Whole,
    CutOff,
    Stalled,
    /// The remaining bytes, and the timer of the next one.
    Trickles(Bytes, Pin<Box<tokio::time::Sleep>>),
}

struct ResponseBody {
    parts: Vec<Bytes>,
    length: u64,
    ending: BodyEnding,
    _guard: Option<InFlightGuard>,
}

struct InFlightGuard(Rc<OciRegistry>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(part) = self.parts.pop() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        match &mut self.ending {
            BodyEnding::Whole => Poll::Ready(None),
            BodyEnding::CutOff => Poll::Ready(Some(Err(io::Error::other("told to cut off")))),
            BodyEnding::Stalled => Poll::Pending,
            BodyEnding::Trickles(remaining, timer) => {
                std::task::ready!(timer.as_mut().poll(cx));
                timer
                    .as_mut()
                    .reset(tokio::time::Instant::now() + Duration::from_secs(1));
                let byte = remaining.split_to(1.min(remaining.len()));
                Poll::Ready((!byte.is_empty()).then(|| Ok(Frame::data(byte))))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody {
        parts: Vec::new(),
        length: 0,
        ending: BodyEnding::Whole,
        _guard: None,
    });
    *response.status_mut() = status;
    response
}

fn complete_body(bytes: Bytes) -> ResponseBody {
    ResponseBody {
        length: bytes.len() as u64,
        parts: vec![bytes],
        ending: BodyEnding::Whole,
        _guard: None,
    }
}

impl OciRegistry {
    pub fn new(limit: usize, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            manifests: RefCell::default(),
            blobs: RefCell::default(),
            faults: RefCell::default(),
            max_in_flight: Cell::new(limit),
            full_speed_requests: Cell::new(8.0),
            bytes_per_second: Cell::new(40e6),
            slowness: Cell::new(1.0),
            in_flight: Cell::new(0),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            requests: RefCell::default(),
            refused: Cell::new(0),
            bytes_sent: Cell::new(0),
        })
    }

    /// Stores a model under a tag; an existing tag is moved.
    pub fn push(&self, repository: &str, tag: &str, model: &[u8]) -> io::Result<Manifest> {
        let manifest = cut::pack(model, |chunk, stored| {
            self.blobs
                .borrow_mut()
                .insert(chunk.digest, Bytes::copy_from_slice(stored));
            Ok(())
        })?;
        self.push_manifest(repository, tag, manifest.to_json());
        Ok(manifest)
    }

    /// Stores a chunk without checking its digest.
    pub fn push_blob(&self, digest: Digest, bytes: Vec<u8>) {
        self.blobs.borrow_mut().insert(digest, bytes.into());
    }

    /// Stores a manifest under its digest and a tag without validating it.
    pub fn push_manifest(&self, repository: &str, tag: &str, bytes: Vec<u8>) {
        let (digest, bytes) = (Digest::of(&bytes).to_string(), Bytes::from(bytes));
        let mut manifests = self.manifests.borrow_mut();
        manifests.insert((repository.into(), digest), bytes.clone());
        manifests.insert((repository.into(), tag.into()), bytes);
    }

    /// Listens and serves on the `LocalSet` it is called on.
    pub async fn open(self: &Rc<Self>, network: &dyn Network, at: &Address) -> io::Result<Address> {
        let (mut listener, address) = network.listen(at).await?;
        let this = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok(stream) = listener.accept().await {
                let this = this.clone();
                tokio::task::spawn_local(async move {
                    let service = service_fn(move |request| {
                        let this = this.clone();
                        async move { Ok::<_, Infallible>(this.respond(request).await) }
                    });
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Ok(address)
    }

    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if !matches!(*request.method(), Method::GET | Method::HEAD) {
            return empty_response(StatusCode::METHOD_NOT_ALLOWED);
        }
        let path = request.uri().path();
        if path == "/v2/" {
            return empty_response(StatusCode::OK);
        }
        let Some(rest) = path.strip_prefix("/v2/") else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        if let Some((repository, reference)) = rest.rsplit_once("/manifests/") {
            let key = (repository.to_owned(), reference.to_owned());
            let Some(bytes) = self.manifests.borrow().get(&key).cloned() else {
                return empty_response(StatusCode::NOT_FOUND);
            };
            let mut response = Response::new(complete_body(bytes));
            let content_type = header::HeaderValue::from_static(MANIFEST_TYPE);
            response
                .headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
            return response;
        }
        let digest: Option<Digest> = rest
            .rsplit_once("/blobs/")
            .and_then(|(_, d)| d.parse().ok());
        let Some(digest) = digest else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let range = request
            .headers()
            .get(header::RANGE)
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned);
        self.respond_with_blob(digest, range).await
    }

    /// Marks each stored blob as damaged with probability `part`, replacing the previous marks.
    pub fn damage(&self, part: f64) {
        let mut rng = self.rng.borrow_mut();
        let blobs = self.blobs.borrow();
        let damaged = blobs.keys().filter(|_| rng.f64() < part).copied().collect();
        self.faults.borrow_mut().damaged = damaged;
    }

    /// Marks the chunks of a tag as damaged, except those shared with other manifests.
    pub fn damage_model(&self, repository: &str, tag: &str) {
        let manifests = self.manifests.borrow();
        let chunks = |bytes: &Bytes| {
            Manifest::from_json(bytes)
                .map(|m| m.chunks)
                .unwrap_or_default()
        };
        let Some(target) = manifests.get(&(repository.to_owned(), tag.to_owned())) else {
            return;
        };
        let others = manifests
            .values()
            .filter(|bytes| *bytes != target)
            .flat_map(chunks);
        let shared: BTreeSet<Digest> = others.map(|c| c.digest).collect();
        let exclusive = chunks(target)
            .into_iter()
            .map(|c| c.digest)
            .filter(|d| !shared.contains(d));
        self.faults.borrow_mut().damaged.extend(exclusive);
    }

    async fn respond_with_blob(
        self: Rc<Self>,
        digest: Digest,
        range: Option<String>,
    ) -> Response<ResponseBody> {
        *self.requests.borrow_mut().entry(digest).or_default() += 1;
        let Some(mut bytes) = self.blobs.borrow().get(&digest).cloned() else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let faults = self.faults.borrow().clone();
        let chance = |share: f64| share > 0.0 && self.rng.borrow_mut().f64() < share;
        if chance(faults.refuse_share) || self.in_flight.get() >= self.max_in_flight.get() {
            self.refused.set(self.refused.get() + 1);
            let mut response = empty_response(StatusCode::TOO_MANY_REQUESTS);
            response.headers_mut().insert(header::RETRY_AFTER, 1.into());
            return response;
        }
        let (cut, stalls, lies) = (
            chance(faults.cut_share),
            chance(faults.stall_share),
            chance(faults.wrong_length_share),
        );
        let trickles = chance(faults.trickle_share);
        self.in_flight.set(self.in_flight.get() + 1);
        let guard = Some(InFlightGuard(self.clone()));
        let slowdown = (self.in_flight.get() as f64 / self.full_speed_requests.get()).max(1.0)
            * self.slowness.get();
        let seconds = 0.01 + bytes.len() as f64 / self.bytes_per_second.get() * slowdown;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        if faults.damaged.contains(&digest) {
            let mut damaged = bytes.to_vec();
            let middle = damaged.len() / 2;
            damaged[middle] ^= 1;
            bytes = damaged.into();
        }
        let mut status = StatusCode::OK;
        if let Some(from) = range.and_then(|r| {
            r.strip_prefix("bytes=")?
                .strip_suffix('-')?
                .parse::<usize>()
                .ok()
        }) {
            if from >= bytes.len() {
                return empty_response(StatusCode::RANGE_NOT_SATISFIABLE);
            }
            (bytes, status) = (bytes.slice(from..), StatusCode::PARTIAL_CONTENT);
        }
        let length = bytes.len() as u64 + if lies { 1_000 } else { 0 };
        let trickle_timer = || Box::pin(tokio::time::sleep(Duration::from_secs(1)));
        let ending = match (cut || lies, stalls) {
            _ if trickles => BodyEnding::Trickles(bytes.slice(bytes.len() / 2..), trickle_timer()),
            (true, _) => BodyEnding::CutOff,
            (false, true) => BodyEnding::Stalled,
            (false, false) => BodyEnding::Whole,
        };
        let sent = if matches!(ending, BodyEnding::Whole) {
            bytes.len()
        } else {
            bytes.len() / 2
        };
        self.bytes_sent.set(self.bytes_sent.get() + sent as u64);
        let mut response = Response::new(ResponseBody {
            parts: vec![bytes.slice(..sent)],
            length,
            ending,
            _guard: guard,
        });
        *response.status_mut() = status;
        response
    }
}
