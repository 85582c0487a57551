//! Serves chunks to peers over the blob API of a registry.

use crate::http::{RETRY_AFTER_MS_HEADER, STORED_BYTES_HEADER};
use crate::{Agent, add};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use saltdrum::interface::MILLISECOND;
use saltdrum_layers::manifest::MAX_CHUNK_BYTES;
use saltdrum_layers::plan::UploadDecision;
use saltdrum_layers::{Chunk, Digest, Packing};
use saltdrum_transport::Listener;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// A transfer slot, freed when the response body is dropped, sent or not.
struct TransferSlot(Rc<Agent>);

impl Drop for TransferSlot {
    fn drop(&mut self) {
        self.0.state.borrow_mut().uploads.transfer_ended();
        self.0.progress.notify_waiters();
    }
}

/// A place in the upload queue, freed when the peer disconnects before its transfer starts.
struct QueuePlace {
    agent: Rc<Agent>,
    is_started: bool,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        if !self.is_started {
            self.agent.state.borrow_mut().uploads.leave_queue();
        }
    }
}

/// A response body that holds its transfer slot until it is dropped.
struct ChunkBody {
    bytes: Option<Bytes>,
    _transfer_slot: Option<TransferSlot>,
}

impl Body for ChunkBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.bytes.take().map(|b| Ok(Frame::data(b))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |b| b.len() as u64))
    }
}

fn empty_response(status: StatusCode) -> Response<ChunkBody> {
    let mut response = Response::new(ChunkBody {
        bytes: None,
        _transfer_slot: None,
    });
    *response.status_mut() = status;
    response
}

/// Parses `/v2/REPOSITORY/blobs/DIGEST`.
fn parse_blob_path(path: &str) -> Option<(&str, Digest)> {
    let (repository, digest) = path.strip_prefix("/v2/")?.rsplit_once("/blobs/")?;
    Some((repository, digest.parse().ok()?))
}

impl Agent {
    /// Serves peers for as long as it is polled.
    pub async fn serve(self: Rc<Self>, mut listener: Box<dyn Listener>) {
        loop {
            let Ok(stream) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let this = self.clone();
            self.spawn(async move {
                let service = service_fn(move |request| {
                    let this = this.clone();
                    async move { Ok::<_, Infallible>(this.handle(request).await) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<ChunkBody> {
        if request.method() != Method::GET {
            return empty_response(StatusCode::METHOD_NOT_ALLOWED);
        }
        let Some((repository, digest)) = parse_blob_path(request.uri().path()) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let stated = request
            .headers()
            .get(STORED_BYTES_HEADER)
            .and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        let Some(stored_bytes) = stated.filter(|n| (1..=MAX_CHUNK_BYTES + 1_024).contains(n))
        else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        // Only length and digest matter for serving the stored bytes; the packing is not known here.
        let chunk = Chunk {
            digest,
            stored_bytes,
            bytes: stored_bytes,
            packing: Packing::Plain,
        };
        let stored = self.stored_chunk(&chunk);
        let decision = {
            let state = &mut *self.state.borrow_mut();
            let is_home = state.fetcher.is_home(&digest);
            state
                .uploads
                .admit(stored.is_some(), is_home, state.draining)
        };
        let mut place = match decision {
            UploadDecision::NotFound => return empty_response(StatusCode::NOT_FOUND),
            UploadDecision::RetryLater(retry_after) => {
                let mut response = empty_response(StatusCode::TOO_MANY_REQUESTS);
                response
                    .headers_mut()
                    .insert(RETRY_AFTER_MS_HEADER, (retry_after / MILLISECOND).into());
                return response;
            }
            UploadDecision::Queued | UploadDecision::FetchAndServe => QueuePlace {
                agent: self.clone(),
                is_started: false,
            },
        };
        let bytes = match stored {
            Some(bytes) => bytes,
            None => {
                self.fetch_for_peer(chunk.clone(), repository).await;
                match self.stored_chunk(&chunk) {
                    Some(bytes) => bytes,
                    None => return empty_response(StatusCode::NOT_FOUND),
                }
            }
        };
        loop {
            // Registered before the check, so that a slot freed in between is not missed.
            let progress = self.progress.notified();
            let reopens_at = {
                let state = &mut *self.state.borrow_mut();
                let (capacity_share, utilization) = (state.capacity_share, state.utilization);
                if state.uploads.try_start(
                    self.clock.now(),
                    stored_bytes,
                    capacity_share,
                    utilization,
                ) {
                    break;
                }
                state.uploads.reopens_at()
            };
            match reopens_at {
                Some(at) => self.clock.sleep_until(at).await,
                None => progress.await,
            }
        }
        place.is_started = true;
        add(&self.counts.served, 1);
        let slot = TransferSlot(self.clone());
        self.state.borrow_mut().release_unclaimed(&digest);
        let bytes = Bytes::from(Rc::unwrap_or_clone(bytes));
        Response::new(ChunkBody {
            bytes: Some(bytes),
            _transfer_slot: Some(slot),
        })
    }
}
