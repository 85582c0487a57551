//! Fakes of the platform's peers on the platform's own protocol: HTTP invokers, the endpoint feed and a client. They inject
//! faults and write to the same kind of record as the other fakes, so that the same checker verifies the rules.

use crate::record::{ClientAttempt, ControllerId, Line, Outcome, Record};
use bytes::{Buf, Bytes, BytesMut};
use saltdrum::interface::{InvokerStatus, MILLISECOND, Ticks};
use saltdrum_platform_wire::feed::{self, EndpointRecord as Listing, Event};
use saltdrum_platform_wire::frames::{self, Code};
use saltdrum_transport::{Address, Clock, Network, Stream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Tolerance by which the time limit sent to an invoker may exceed the client's remaining time.
const TIME_LIMIT_TOLERANCE_MS: u64 = 150;

/// Fault of an invoker's response. The request has run, except with `ClosedUnread`, `Miss`, `Full` and `Expired`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseFault {
    #[default]
    None,
    GarbageHead,
    UnterminatedHead,
    /// Sends two contradicting `Content-Length` headers.
    ConflictingLengths,
    /// Declares a body of 3,000,000,000 bytes and sends 500,000.
    ThreeGigabyteLength,
    /// Omits the last 3 bytes of the body and closes the connection.
    TruncatedBody,
    /// Closes the connection without a response.
    ClosedAfterReading,
    NeverSent,
    /// Sends a 102 response before the final one.
    InformationalFirst,
    GarbageAfterResponse,
    /// Sends the response twice.
    SentTwice,
    /// Closes the connection on accept, before anything is read.
    ClosedUnread,
    /// Responds with 404: the function is not loaded.
    Miss,
    /// Responds with 503.
    Full,
    /// Responds with 500.
    Errored,
    /// Responds with 504.
    Expired,
}

/// One request as received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub at: Ticks,
    pub method: String,
    pub path: String,
    pub fields: BTreeMap<String, String>,
    pub body: Bytes,
}

/// A fake HTTP invoker at one address.
pub struct HttpInvoker {
    pub invoker: u32,
    pub controller: ControllerId,
    pub run_time: Duration,
    pub fault: Cell<ResponseFault>,
    pub requests: RefCell<Vec<ReceivedRequest>>,
    pub connections: Cell<usize>,
    pub accepted: Cell<usize>,
    /// Descriptions of requests whose time limit exceeded the client's remaining time.
    pub time_limit_violations: RefCell<Vec<String>>,
    hops: Rc<RefCell<BTreeMap<u64, u8>>>,
    record: Record,
    clock: Clock,
}

/// Decodes a transaction id into the client's invocation number and attempt.
pub fn decode_txn(txn: u64) -> ClientAttempt {
    ClientAttempt {
        number: txn >> 8,
        attempt: (txn & 0xff) as u32,
    }
}

impl HttpInvoker {
    /// `hops` is shared by all invokers of a test and counts the dispatches of each transaction id.
    pub fn new(
        invoker: u32,
        controller: ControllerId,
        run_time: Duration,
        hops: Rc<RefCell<BTreeMap<u64, u8>>>,
        record: Record,
        clock: Clock,
    ) -> Rc<Self> {
        let (fault, requests, connections, accepted, time_limit_violations) = Default::default();
        Rc::new(Self {
            invoker,
            controller,
            run_time,
            fault,
            requests,
            connections,
            accepted,
            time_limit_violations,
            hops,
            record,
            clock,
        })
    }

    /// Accepts connections until the test ends.
    pub async fn serve(self: Rc<Self>, network: Rc<dyn Network>, at: SocketAddrV4) {
        let listening = network.listen(&Address::Tcp(at.to_string())).await;
        let (mut listener, _) = listening.expect("the address is free");
        while let Ok(stream) = listener.accept().await {
            self.accepted.set(self.accepted.get() + 1);
            if self.fault.get() == ResponseFault::ClosedUnread {
                continue;
            }
            let this = self.clone();
            spawn_local(async move {
                this.connections.set(this.connections.get() + 1);
                this.serve_connection(stream).await;
                this.connections.set(this.connections.get() - 1);
            });
        }
    }

    async fn serve_connection(&self, mut stream: Stream) {
        let mut read = BytesMut::new();
        while let Some(request) = read_request(&mut stream, &mut read, self.clock).await {
            self.requests.borrow_mut().push(request.clone());
            let keep_open = match request.fields.get("x-txn") {
                Some(txn) => self.handle_invocation(&mut stream, &request, txn).await,
                None => self.handle_load_order(&mut stream, &request).await,
            };
            if !keep_open {
                return;
            }
        }
    }

    async fn handle_load_order(&self, stream: &mut Stream, request: &ReceivedRequest) -> bool {
        let parts: Vec<&str> = request.path.split('/').collect();
        let function = parts
            .get(2)
            .and_then(|f| u64::from_str_radix(f, 16).ok())
            .unwrap_or(0);
        let count: u8 = parts.get(3).and_then(|n| n.parse().ok()).unwrap_or(0);
        if request.method == "PUT" {
            let (at, earliest, invoker, who) =
                (request.at, request.at, self.invoker, self.controller);
            self.record.note(Line::LoadOrdered {
                at,
                earliest,
                invoker,
                who,
                function,
                count,
            });
        }
        let text = match request.method.as_str() {
            "DELETE" => "HTTP/1.1 204 No Content\r\n\r\n".to_owned(),
            _ => format!("HTTP/1.1 200 OK\r\nX-Units: {count}\r\nContent-Length: 0\r\n\r\n"),
        };
        stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Checks that a request's time limit is at most the client's remaining time, counted from the client's own send.
    fn check_time_limit(&self, request: &ReceivedRequest, of: ClientAttempt) {
        let Some(given_up_at) = self.record.given_up_at(of) else {
            return;
        };
        let stated: Option<u64> = request
            .fields
            .get("x-limit-ms")
            .and_then(|ms| ms.parse().ok());
        let left_ms = given_up_at.saturating_sub(request.at) / MILLISECOND;
        if stated.is_none_or(|ms| ms > left_ms + TIME_LIMIT_TOLERANCE_MS) {
            let fault =
                format!("{of:?}: {stated:?} ms time limit, but the client has {left_ms} ms left");
            self.time_limit_violations.borrow_mut().push(fault);
        }
    }

    async fn handle_invocation(
        &self,
        stream: &mut Stream,
        request: &ReceivedRequest,
        txn: &str,
    ) -> bool {
        let id = u64::from_str_radix(txn, 16).unwrap_or(0);
        let hop = {
            let mut hops = self.hops.borrow_mut();
            let hop = hops.entry(id).or_insert(0);
            *hop += 1;
            *hop - 1
        };
        let (who, invoker, of, invocation) = (
            self.controller,
            self.invoker,
            decode_txn(id),
            (id >> 8) as u32,
        );
        let trigger = request.path.trim_start_matches("/obj/").to_owned();
        let (at, earliest) = (request.at, request.at);
        self.check_time_limit(request, of);
        self.record.note(Line::Dispatched {
            at,
            earliest,
            invoker,
            who,
            invocation,
            hop,
            of,
            trigger,
        });
        let fault = self.fault.get();
        let not_run = matches!(
            fault,
            ResponseFault::Miss | ResponseFault::Full | ResponseFault::Expired
        );
        if !not_run {
            let (at, token) = (self.clock.now(), request.fields.get("x-dedupe").cloned());
            self.record.note(Line::Started {
                at,
                invoker,
                who,
                invocation,
                hop,
                of,
                token,
                repeat: false,
            });
        }
        let mut byte = [0];
        tokio::select! {
            () = tokio::time::sleep(self.run_time), if !not_run => {}
            () = async {}, if not_run => {}
            got = stream.read(&mut byte) => {
                // The controller closed the connection, or sent data before the response.
                let at = self.clock.now();
                self.record.note(Line::Cancelled { at, invoker, who, invocation, hop });
                assert!(!matches!(got, Ok(1..)), "a second request before the first was answered");
                return false;
            }
        }
        let ended = |ended: &str, told| {
            let (at, ended) = (self.clock.now(), ended.to_owned());
            self.record.note(Line::Ended {
                at,
                invoker,
                who,
                invocation,
                hop,
                of,
                ended,
                response_sent: told,
            });
        };
        let body = format!("ran {txn} {}", request.body.len());
        let at = self.clock.now();
        self.record.note(Line::OutputProduced {
            at,
            invoker,
            of,
            output: body.clone(),
        });
        let success = format!(
            "HTTP/1.1 200 OK\r\nX-How: resident\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let (text, keep_open) = match fault {
            ResponseFault::None => (success, true),
            ResponseFault::InformationalFirst => {
                (format!("HTTP/1.1 102 Processing\r\n\r\n{success}"), true)
            }
            ResponseFault::GarbageAfterResponse => (format!("{success}\u{1}\u{2}noise"), false),
            ResponseFault::SentTwice => (format!("{success}{success}"), false),
            ResponseFault::GarbageHead => ("\u{1}\u{2}\u{3} what is this\r\n\r\n".to_owned(), true),
            ResponseFault::UnterminatedHead => (
                format!("HTTP/1.1 200 OK\r\nX-A: {}", "a".repeat(100_000)),
                true,
            ),
            ResponseFault::ConflictingLengths => {
                (success.replace("X-How", "Content-Length: 3\r\nX-How"), true)
            }
            ResponseFault::ThreeGigabyteLength => (
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}",
                    "x".repeat(500_000)
                ),
                true,
            ),
            ResponseFault::TruncatedBody => (success[..success.len() - 3].to_owned(), false),
            ResponseFault::ClosedAfterReading => (String::new(), false),
            ResponseFault::NeverSent => {
                ended("lost", false);
                std::future::pending::<()>().await;
                return false;
            }
            ResponseFault::Miss => (
                "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned(),
                true,
            ),
            ResponseFault::Full => (
                "HTTP/1.1 503 Full\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
                true,
            ),
            ResponseFault::Expired => (
                "HTTP/1.1 504 Over\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
                true,
            ),
            ResponseFault::Errored => (
                "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".to_owned(),
                true,
            ),
            ResponseFault::ClosedUnread => return false,
        };
        match fault {
            ResponseFault::Miss => ended("miss", true),
            ResponseFault::Full | ResponseFault::Expired => ended("full", true),
            _ => ended("run", true),
        }
        stream.write_all(text.as_bytes()).await.is_ok() && keep_open
    }
}

/// Reads one complete request.
async fn read_request(
    stream: &mut Stream,
    read: &mut BytesMut,
    clock: Clock,
) -> Option<ReceivedRequest> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Request::new(&mut headers);
        if let Ok(httparse::Status::Complete(end)) = head.parse(read) {
            let field = |h: &httparse::Header| {
                (
                    h.name.to_ascii_lowercase(),
                    String::from_utf8_lossy(h.value).into_owned(),
                )
            };
            let fields: BTreeMap<String, String> = head.headers.iter().map(field).collect();
            let length = fields
                .get("content-length")
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            if read.len() >= end + length {
                let (method, path) = (head.method?.to_owned(), head.path?.to_owned());
                read.advance(end);
                let body = read.split_to(length).freeze();
                return Some(ReceivedRequest {
                    at: clock.now(),
                    method,
                    path,
                    fields,
                    body,
                });
            }
        }
        if stream.read_buf(read).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

/// Fault of the feed at its next event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeedFault {
    #[default]
    None,
    /// Sends half of the event and closes the connection; the event is complete when it is requested again.
    Truncated,
    /// Sends the event twice.
    SentTwice,
    /// Sends nothing more and leaves the connection open.
    Stalled,
    /// Sends an invalid length.
    InvalidLength,
}

/// The platform's endpoint feed.
pub struct Feed {
    pub events: RefCell<Vec<(u64, Event)>>,
    pub fault: Cell<FeedFault>,
    pub resume_points: RefCell<Vec<u64>>,
    controller: ControllerId,
    events_added: Notify,
    record: Record,
    clock: Clock,
}

impl Feed {
    pub fn new(controller: ControllerId, record: Record, clock: Clock) -> Rc<Self> {
        let (events, fault, resume_points, events_added) = Default::default();
        Rc::new(Self {
            events,
            fault,
            resume_points,
            controller,
            events_added,
            record,
            clock,
        })
    }

    /// Appends an event and sends it to all followers.
    pub fn publish(&self, number: u64, event: Event) {
        if let Event::Snapshot(lines) | Event::Changes(lines) = &event {
            for l in lines {
                let life = match l.status {
                    InvokerStatus::Ready => "ready",
                    InvokerStatus::Draining => "draining",
                    InvokerStatus::Gone => "gone",
                };
                let (at, who, invoker) = (self.clock.now(), self.controller, l.invoker);
                let incarnation = l.started_ms.unwrap_or(0);
                self.record.note(Line::EndpointSent {
                    at,
                    who,
                    invoker,
                    incarnation,
                    life: life.into(),
                });
            }
        }
        self.events.borrow_mut().push((number, event));
        self.events_added.notify_waiters();
    }

    pub async fn serve(self: Rc<Self>, network: Rc<dyn Network>, at: SocketAddrV4) {
        let listening = network.listen(&Address::Tcp(at.to_string())).await;
        let (mut listener, _) = listening.expect("the address is free");
        while let Ok(stream) = listener.accept().await {
            spawn_local(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self: Rc<Self>, mut stream: Stream) {
        let Ok(mut last) = stream.read_u64().await else {
            return;
        };
        self.resume_points.borrow_mut().push(last);
        loop {
            let next = self
                .events
                .borrow()
                .iter()
                .find(|(n, _)| *n > last)
                .cloned();
            let Some((n, event)) = next else {
                tokio::select! {
                    () = self.events_added.notified() => {}
                    () = tokio::time::sleep(Duration::from_secs(1)) => {
                        if self.fault.get() == FeedFault::Stalled || stream.write_all(&feed::encode(last, &Event::Heartbeat)).await.is_err() {
                            return std::future::pending().await;
                        }
                    }
                }
                continue;
            };
            let bytes = feed::encode(n, &event);
            let fault = self.fault.replace(FeedFault::None);
            let wrote = match fault {
                FeedFault::None => stream.write_all(&bytes).await,
                FeedFault::SentTwice => stream.write_all(&[bytes.clone(), bytes].concat()).await,
                FeedFault::Truncated => {
                    let _ = stream.write_all(&bytes[..bytes.len() / 2]).await;
                    return;
                }
                FeedFault::Stalled => return std::future::pending().await,
                FeedFault::InvalidLength => {
                    let _ = stream.write_all(&[0xff; 13]).await;
                    return std::future::pending().await;
                }
            };
            if wrote.is_err() {
                return;
            }
            last = n;
        }
    }
}

/// Builds an endpoint record with the defaults of the tests.
pub fn endpoint_record(
    invoker: u32,
    address: SocketAddrV4,
    life: InvokerStatus,
    started_ms: Option<u64>,
) -> Listing {
    Listing {
        invoker,
        address,
        status: life,
        zone: 0,
        machine_kind: 0,
        cell: 0,
        capacity: 4.0,
        started_ms,
    }
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Call {
    pub number: u64,
    pub attempt: u32,
    pub trigger: String,
    pub function: u64,
    pub timeout_ms: u64,
    pub token: Option<String>,
    pub body: Vec<u8>,
}

impl Call {
    /// The transaction id: the number and the attempt in hexadecimal.
    pub fn txn(&self) -> String {
        format!("{:016x}", self.number << 8 | u64::from(self.attempt))
    }

    /// Encodes the request as a frame on a stream.
    pub fn frame(&self, stream: u32) -> Bytes {
        let (txn, limit, item) = (
            self.txn(),
            self.timeout_ms.to_string(),
            format!("{:016x}", self.function),
        );
        let mut fields = vec![
            ("verb", self.trigger.as_str()),
            ("txn", &txn),
            ("limit", &limit),
            ("item", &item),
            ("extras", "memory_mb:512;lanes:4;load_ms:300"),
        ];
        if let Some(token) = &self.token {
            fields.push(("unique", token));
        }
        frames::encode_invoke(stream, &fields, &self.body)
    }
}

/// A final response as a client reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub stream: u32,
    pub code: u8,
    pub retry_after_ms: Option<u64>,
    pub body: Bytes,
}

/// A frame from a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerFrame {
    Response(Response),
    Ready { stream: u32, code: u8 },
    GoAway,
}

/// A fake client with one connection.
pub struct FrameClient {
    pub stream: Stream,
    read: BytesMut,
    next_stream: u32,
    open_streams: BTreeMap<u32, ClientAttempt>,
    controller: ControllerId,
    record: Record,
    clock: Clock,
}

impl FrameClient {
    pub async fn dial(
        network: &dyn Network,
        at: SocketAddrV4,
        controller: ControllerId,
        record: Record,
        clock: Clock,
    ) -> std::io::Result<Self> {
        let stream = network.dial(&Address::Tcp(at.to_string())).await?;
        Ok(Self {
            stream,
            read: BytesMut::new(),
            next_stream: 1,
            open_streams: BTreeMap::new(),
            controller,
            record,
            clock,
        })
    }

    /// Sends a request on a new stream and returns the stream's number.
    pub async fn invoke(&mut self, call: &Call) -> u32 {
        let stream = self.next_stream;
        self.next_stream += 1;
        let of = ClientAttempt {
            number: call.number,
            attempt: call.attempt,
        };
        self.open_streams.insert(stream, of);
        let sent = self.stream.write_all(&call.frame(stream)).await;
        if sent.is_ok() {
            self.record.note(Line::Sent {
                at: self.clock.now(),
                who: self.controller,
                of,
                tenant: String::new(),
                trigger: call.trigger.clone(),
                function: format!("{:x}", call.function),
                timeout: call.timeout_ms * 10,
                work: 0,
            });
        }
        stream
    }

    /// Cancels the request of a stream.
    pub async fn cancel(&mut self, stream: u32) {
        if let Some(of) = self.open_streams.remove(&stream) {
            self.record.note(Line::HungUp {
                at: self.clock.now(),
                of,
            });
        }
        let _ = self
            .stream
            .write_all(&frames::encode_empty(18, stream))
            .await;
    }

    /// Closes the connection with all streams that are open on it.
    pub fn close(self) {
        for of in self.open_streams.values() {
            self.record.note(Line::HungUp {
                at: self.clock.now(),
                of: *of,
            });
        }
    }

    /// Reads the next frame; `None` at the end of the connection.
    pub async fn next_frame(&mut self) -> Option<ServerFrame> {
        loop {
            if let Some(frame) = self.decode_frame() {
                return Some(frame);
            }
            if self.stream.read_buf(&mut self.read).await.unwrap_or(0) == 0 {
                return None;
            }
        }
    }

    fn decode_frame(&mut self) -> Option<ServerFrame> {
        let length = u32::from_be_bytes(self.read.get(..4)?.try_into().ok()?) as usize;
        if self.read.len() < 4 + length {
            return None;
        }
        let mut frame = self.read.split_to(4 + length).freeze();
        frame.advance(4);
        let (kind, stream) = (frame.get_u8(), frame.get_u32());
        Some(match kind {
            48 => ServerFrame::GoAway,
            33 => ServerFrame::Ready {
                stream,
                code: frame.get_u8(),
            },
            17 => {
                let code = frame.get_u8();
                let fields = frames::parse_fields(&mut frame).expect("fields of an answer");
                let retry_after = fields.iter().find(|(n, _)| n == "later").map(|(_, v)| v);
                let retry_after_ms =
                    retry_after.and_then(|v| std::str::from_utf8(v).ok()?.parse().ok());
                self.note(stream, code);
                if let Some(of) = self
                    .open_streams
                    .get(&stream)
                    .filter(|_| code == Code::Succeeded as u8)
                {
                    let (at, output) = (
                        self.clock.now(),
                        String::from_utf8_lossy(&frame).into_owned(),
                    );
                    self.record.note(Line::OutputReceived {
                        at,
                        of: *of,
                        output,
                    });
                }
                ServerFrame::Response(Response {
                    stream,
                    code,
                    retry_after_ms,
                    body: frame,
                })
            }
            kind => panic!("frame type {kind} from a controller"),
        })
    }

    fn note(&mut self, stream: u32, code: u8) {
        let how = match code {
            c if c == Code::Succeeded as u8 => Outcome::Succeeded,
            c if c == Code::Throttled as u8 => Outcome::Throttled,
            _ => Outcome::Errored,
        };
        let at = self.clock.now();
        if let Some(of) = self.open_streams.get(&stream) {
            self.record.note(Line::Final {
                at,
                earliest: at,
                of: *of,
                how,
            });
        }
    }
}
