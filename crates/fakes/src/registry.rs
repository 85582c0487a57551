//! A model store that speaks the pull half of the OCI distribution specification, and fails as it is told.
//!
//! Written from the public text: manifests by tag or digest, blobs by digest with ranges, 404 and 429 with Retry-After.

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

/// What the store is told to do wrong. Shares are of blob requests.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Refused with 429 before a byte.
    pub refuse_share: f64,
    /// Cut off in mid-body.
    pub cut_share: f64,
    /// Nothing more after half the body.
    pub stall_share: f64,
    /// A byte a second, for ever.
    pub trickle_share: f64,
    /// A length that is not the body's.
    pub wrong_length_share: f64,
    /// These come with a byte changed.
    pub damaged: BTreeSet<Digest>,
}

pub struct OciRegistry {
    manifests: RefCell<BTreeMap<(String, String), Bytes>>,
    blobs: RefCell<BTreeMap<Digest, Bytes>>,
    pub faults: RefCell<Faults>,
    /// Blobs under way, beyond which it refuses.
    pub max_in_flight: Cell<usize>,
    /// Blobs at full pace; beyond, all slow down.
    pub full_speed_requests: Cell<f64>,
    pub bytes_per_second: Cell<f64>,
    /// How many times slower than usual.
    pub slowness: Cell<f64>,
    in_hand: Cell<usize>,
    rng: RefCell<fastrand::Rng>,
    /// Requests for each blob, refused ones among them.
    pub requests: RefCell<BTreeMap<Digest, u32>>,
    pub refused: Cell<u32>,
    pub bytes_sent: Cell<u64>,
}

enum Ending {
    Whole,
    CutOff,
    Stalled,
    /// What is left, and when its next byte goes.
    Trickles(Bytes, Pin<Box<tokio::time::Sleep>>),
}

struct Sending {
    parts: Vec<Bytes>,
    length: u64,
    ending: Ending,
    _held: Option<InHand>,
}

struct InHand(Rc<OciRegistry>);

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.in_hand.set(self.0.in_hand.get() - 1);
    }
}

impl Body for Sending {
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
            Ending::Whole => Poll::Ready(None),
            Ending::CutOff => Poll::Ready(Some(Err(io::Error::other("told to cut off")))),
            Ending::Stalled => Poll::Pending,
            Ending::Trickles(left, due) => {
                std::task::ready!(due.as_mut().poll(cx));
                due.as_mut()
                    .reset(tokio::time::Instant::now() + Duration::from_secs(1));
                let byte = left.split_to(1.min(left.len()));
                Poll::Ready((!byte.is_empty()).then(|| Ok(Frame::data(byte))))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

fn plain(status: StatusCode) -> Response<Sending> {
    let mut response = Response::new(Sending {
        parts: Vec::new(),
        length: 0,
        ending: Ending::Whole,
        _held: None,
    });
    *response.status_mut() = status;
    response
}

fn whole(bytes: Bytes) -> Sending {
    Sending {
        length: bytes.len() as u64,
        parts: vec![bytes],
        ending: Ending::Whole,
        _held: None,
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
            in_hand: Cell::new(0),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            requests: RefCell::default(),
            refused: Cell::new(0),
            bytes_sent: Cell::new(0),
        })
    }

    /// Takes a model in under a tag, which moves if it was there.
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

    /// A chunk as it is stored; its digest is not looked at.
    pub fn push_blob(&self, digest: Digest, bytes: Vec<u8>) {
        self.blobs.borrow_mut().insert(digest, bytes.into());
    }

    /// As it is, right or wrong.
    pub fn push_manifest(&self, repository: &str, tag: &str, bytes: Vec<u8>) {
        let (digest, bytes) = (Digest::of(&bytes).to_string(), Bytes::from(bytes));
        let mut manifests = self.manifests.borrow_mut();
        manifests.insert((repository.into(), digest), bytes.clone());
        manifests.insert((repository.into(), tag.into()), bytes);
    }

    /// Listens and serves on the `LocalSet` it is called on.
    pub async fn open(self: &Rc<Self>, network: &dyn Network, at: &Address) -> io::Result<Address> {
        let (mut door, address) = network.listen(at).await?;
        let this = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok(stream) = door.accept().await {
                let this = this.clone();
                tokio::task::spawn_local(async move {
                    let answer = service_fn(move |request| {
                        let this = this.clone();
                        async move { Ok::<_, Infallible>(this.answer(request).await) }
                    });
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), answer)
                        .await;
                });
            }
        });
        Ok(address)
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Sending> {
        if !matches!(*request.method(), Method::GET | Method::HEAD) {
            return plain(StatusCode::METHOD_NOT_ALLOWED);
        }
        let path = request.uri().path();
        if path == "/v2/" {
            return plain(StatusCode::OK);
        }
        let Some(rest) = path.strip_prefix("/v2/") else {
            return plain(StatusCode::NOT_FOUND);
        };
        if let Some((repository, reference)) = rest.rsplit_once("/manifests/") {
            let key = (repository.to_owned(), reference.to_owned());
            let Some(bytes) = self.manifests.borrow().get(&key).cloned() else {
                return plain(StatusCode::NOT_FOUND);
            };
            let mut response = Response::new(whole(bytes));
            let kind = header::HeaderValue::from_static(MANIFEST_TYPE);
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            return response;
        }
        let digest: Option<Digest> = rest
            .rsplit_once("/blobs/")
            .and_then(|(_, d)| d.parse().ok());
        let Some(digest) = digest else {
            return plain(StatusCode::NOT_FOUND);
        };
        let range = request
            .headers()
            .get(header::RANGE)
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned);
        self.blob(digest, range).await
    }

    /// Of what it holds, each blob comes damaged from now on with a chance of `part`.
    pub fn damage(&self, part: f64) {
        let mut rng = self.rng.borrow_mut();
        let blobs = self.blobs.borrow();
        let struck = blobs.keys().filter(|_| rng.f64() < part).copied().collect();
        self.faults.borrow_mut().damaged = struck;
    }

    /// What a tag has of its own comes damaged from now on; what it shares with others does not.
    pub fn damage_model(&self, repository: &str, tag: &str) {
        let manifests = self.manifests.borrow();
        let chunks = |bytes: &Bytes| {
            Manifest::from_json(bytes)
                .map(|m| m.chunks)
                .unwrap_or_default()
        };
        let Some(it) = manifests.get(&(repository.to_owned(), tag.to_owned())) else {
            return;
        };
        let others = manifests
            .values()
            .filter(|bytes| *bytes != it)
            .flat_map(chunks);
        let shared: BTreeSet<Digest> = others.map(|c| c.digest).collect();
        let own = chunks(it)
            .into_iter()
            .map(|c| c.digest)
            .filter(|d| !shared.contains(d));
        self.faults.borrow_mut().damaged.extend(own);
    }

    async fn blob(self: Rc<Self>, digest: Digest, range: Option<String>) -> Response<Sending> {
        *self.requests.borrow_mut().entry(digest).or_default() += 1;
        let Some(mut bytes) = self.blobs.borrow().get(&digest).cloned() else {
            return plain(StatusCode::NOT_FOUND);
        };
        let faults = self.faults.borrow().clone();
        let chance = |share: f64| share > 0.0 && self.rng.borrow_mut().f64() < share;
        if chance(faults.refuse_share) || self.in_hand.get() >= self.max_in_flight.get() {
            self.refused.set(self.refused.get() + 1);
            let mut response = plain(StatusCode::TOO_MANY_REQUESTS);
            response.headers_mut().insert(header::RETRY_AFTER, 1.into());
            return response;
        }
        let (cut, stalls, lies) = (
            chance(faults.cut_share),
            chance(faults.stall_share),
            chance(faults.wrong_length_share),
        );
        let trickles = chance(faults.trickle_share);
        self.in_hand.set(self.in_hand.get() + 1);
        let held = Some(InHand(self.clone()));
        let crowd = (self.in_hand.get() as f64 / self.full_speed_requests.get()).max(1.0)
            * self.slowness.get();
        let seconds = 0.01 + bytes.len() as f64 / self.bytes_per_second.get() * crowd;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        if faults.damaged.contains(&digest) {
            let mut bent = bytes.to_vec();
            let middle = bent.len() / 2;
            bent[middle] ^= 1;
            bytes = bent.into();
        }
        let mut status = StatusCode::OK;
        if let Some(from) = range.and_then(|r| {
            r.strip_prefix("bytes=")?
                .strip_suffix('-')?
                .parse::<usize>()
                .ok()
        }) {
            if from >= bytes.len() {
                return plain(StatusCode::RANGE_NOT_SATISFIABLE);
            }
            (bytes, status) = (bytes.slice(from..), StatusCode::PARTIAL_CONTENT);
        }
        let length = bytes.len() as u64 + if lies { 1_000 } else { 0 };
        let slowly = || Box::pin(tokio::time::sleep(Duration::from_secs(1)));
        let ending = match (cut || lies, stalls) {
            _ if trickles => Ending::Trickles(bytes.slice(bytes.len() / 2..), slowly()),
            (true, _) => Ending::CutOff,
            (false, true) => Ending::Stalled,
            (false, false) => Ending::Whole,
        };
        let sent = if matches!(ending, Ending::Whole) {
            bytes.len()
        } else {
            bytes.len() / 2
        };
        self.bytes_sent.set(self.bytes_sent.get() + sent as u64);
        let mut response = Response::new(Sending {
            parts: vec![bytes.slice(..sent)],
            length,
            ending,
            _held: held,
        });
        *response.status_mut() = status;
        response
    }
}
