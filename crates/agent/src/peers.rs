//! Serving chunks to peers, as a registry would.

use crate::http::{RETRY_AFTER_MS, STATED_BYTES};
use crate::{Agent, add};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use saltdrum::interface::MILLISECOND;
use saltdrum_layers::manifest::MAX_CHUNK_BYTES;
use saltdrum_layers::plan::Verdict;
use saltdrum_layers::{Chunk, Digest, Packing};
use saltdrum_transport::Listener;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// A place among the transfers, given back when the body is gone, sent or not.
struct Slot(Rc<Agent>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.state.borrow_mut().serving.ended();
        self.0.moved.notify_waiters();
    }
}

/// A place in line, given up when its peer hangs up.
struct Place(Rc<Agent>, bool);

impl Drop for Place {
    fn drop(&mut self) {
        if !self.1 {
            self.0.state.borrow_mut().serving.left_line();
        }
    }
}

struct Sending {
    bytes: Option<Bytes>,
    _slot: Option<Slot>,
}

impl Body for Sending {
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

fn plain(status: StatusCode) -> Response<Sending> {
    let mut response = Response::new(Sending {
        bytes: None,
        _slot: None,
    });
    *response.status_mut() = status;
    response
}

/// `/v2/REPOSITORY/blobs/DIGEST`
fn asked_for(path: &str) -> Option<(&str, Digest)> {
    let (repository, digest) = path.strip_prefix("/v2/")?.rsplit_once("/blobs/")?;
    Some((repository, digest.parse().ok()?))
}

impl Agent {
    /// Takes peers in for as long as it is polled.
    pub async fn serve(self: Rc<Self>, mut door: Box<dyn Listener>) {
        loop {
            let Ok(stream) = door.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let this = self.clone();
            self.spawn(async move {
                let answer = service_fn(move |request| {
                    let this = this.clone();
                    async move { Ok::<_, Infallible>(this.answer(request).await) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), answer)
                    .await;
            });
        }
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Sending> {
        if request.method() != Method::GET {
            return plain(StatusCode::METHOD_NOT_ALLOWED);
        }
        let Some((repository, digest)) = asked_for(request.uri().path()) else {
            return plain(StatusCode::NOT_FOUND);
        };
        let stated = request
            .headers()
            .get(STATED_BYTES)
            .and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        let Some(stored_bytes) = stated.filter(|n| (1..=MAX_CHUNK_BYTES + 1_024).contains(n))
        else {
            return plain(StatusCode::BAD_REQUEST);
        };
        // Only length and digest matter for handing it on.
        let chunk = Chunk {
            digest,
            stored_bytes,
            bytes: stored_bytes,
            packing: Packing::Plain,
        };
        let held = self.held(&chunk);
        let verdict = {
            let state = &mut *self.state.borrow_mut();
            let home = state.fetcher.is_home(&digest);
            state.serving.asked(held.is_some(), home, state.draining)
        };
        let mut place = match verdict {
            Verdict::Absent => return plain(StatusCode::NOT_FOUND),
            Verdict::Later(wait) => {
                let mut response = plain(StatusCode::TOO_MANY_REQUESTS);
                response
                    .headers_mut()
                    .insert(RETRY_AFTER_MS, (wait / MILLISECOND).into());
                return response;
            }
            Verdict::InLine | Verdict::FetchAndServe => Place(self.clone(), false),
        };
        let bytes = match held {
            Some(bytes) => bytes,
            None => {
                self.fetch_for_peer(chunk.clone(), repository).await;
                match self.held(&chunk) {
                    Some(bytes) => bytes,
                    None => return plain(StatusCode::NOT_FOUND),
                }
            }
        };
        loop {
            // Registered before looking: a slot that comes free in between is not missed.
            let moved = self.moved.notified();
            let opens = {
                let state = &mut *self.state.borrow_mut();
                let (capacity_share, busy) = (state.capacity_share, state.busy);
                if state
                    .serving
                    .may_send(self.clock.now(), stored_bytes, capacity_share, busy)
                {
                    break;
                }
                state.serving.opens()
            };
            match opens {
                Some(at) => self.clock.sleep_until(at).await,
                None => moved.await,
            }
        }
        place.1 = true;
        add(&self.counts.served, 1);
        let slot = Slot(self.clone());
        self.state.borrow_mut().forget_unclaimed(&digest);
        let bytes = Bytes::from(Rc::unwrap_or_clone(bytes));
        Response::new(Sending {
            bytes: Some(bytes),
            _slot: Some(slot),
        })
    }
}
