//! Stand-ins for the platform's peers on its own protocol: HTTP invokers, the control feed, a client. Faults can be
//! forced; what crosses the sockets goes into the same record as everywhere, so that the same checker judges it.

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

/// By so much more than its client has left an invoker may be told.
const LIMIT_SLACK_MS: u64 = 150;

/// What an invoker's answer suffers on its way. The request has run, unless the name says otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseFault {
    #[default]
    None,
    GarbageHead,
    UnterminatedHead,
    ConflictingLengths,
    ThreeGigabyteLength,
    TruncatedBody,
    ClosedAfterReading,
    NeverSent,
    InformationalFirst,
    GarbageAfterResponse,
    SentTwice,
    /// Closed when it is accepted: nothing was read.
    ClosedUnread,
    /// Answered 404, 503, 500 and 504, as the protocol means them.
    Miss,
    Full,
    Errored,
    Expired,
}

/// One request as it arrived.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub at: Ticks,
    pub method: String,
    pub path: String,
    pub fields: BTreeMap<String, String>,
    pub body: Bytes,
}

/// An invoker at one address.
pub struct HttpInvoker {
    pub invoker: u32,
    pub controller: ControllerId,
    pub run_time: Duration,
    pub fault: Cell<ResponseFault>,
    pub requests: RefCell<Vec<ReceivedRequest>>,
    pub connections: Cell<usize>,
    pub accepted: Cell<usize>,
    /// Requests that said more time was left than their clients had.
    pub time_limit_violations: RefCell<Vec<String>>,
    hops: Rc<RefCell<BTreeMap<u64, u8>>>,
    record: Record,
    clock: Clock,
}

/// The number and the try that an id was made of.
pub fn decode_txn(txn: u64) -> ClientAttempt {
    ClientAttempt {
        number: txn >> 8,
        attempt: (txn & 0xff) as u32,
    }
}

impl HttpInvoker {
    /// `hops` is shared by all invokers of a test, and counts how often each id was sent.
    pub fn new(
        invoker: u32,
        controller: ControllerId,
        takes: Duration,
        hops: Rc<RefCell<BTreeMap<u64, u8>>>,
        record: Record,
        clock: Clock,
    ) -> Rc<Self> {
        let (spoilt, arrived, connections, accepted, limit_faults) = Default::default();
        Rc::new(Self {
            invoker,
            controller,
            run_time: takes,
            fault: spoilt,
            requests: arrived,
            connections,
            accepted,
            time_limit_violations: limit_faults,
            hops,
            record,
            clock,
        })
    }

    /// Takes connections for as long as the test lives.
    pub async fn serve(self: Rc<Self>, network: Rc<dyn Network>, at: SocketAddrV4) {
        let listening = network.listen(&Address::Tcp(at.to_string())).await;
        let (mut door, _) = listening.expect("an address of its own");
        while let Ok(stream) = door.accept().await {
            self.accepted.set(self.accepted.get() + 1);
            if self.fault.get() == ResponseFault::ClosedUnread {
                continue;
            }
            let this = self.clone();
            spawn_local(async move {
                this.connections.set(this.connections.get() + 1);
                this.attend(stream).await;
                this.connections.set(this.connections.get() - 1);
            });
        }
    }

    async fn attend(&self, mut stream: Stream) {
        let mut read = BytesMut::new();
        while let Some(arrived) = request(&mut stream, &mut read, self.clock).await {
            self.requests.borrow_mut().push(arrived.clone());
            let goes_on = match arrived.fields.get("x-txn") {
                Some(txn) => self.run(&mut stream, &arrived, txn).await,
                None => self.order(&mut stream, &arrived).await,
            };
            if !goes_on {
                return;
            }
        }
    }

    async fn order(&self, stream: &mut Stream, a: &ReceivedRequest) -> bool {
        let parts: Vec<&str> = a.path.split('/').collect();
        let function = parts
            .get(2)
            .and_then(|f| u64::from_str_radix(f, 16).ok())
            .unwrap_or(0);
        let count: u8 = parts.get(3).and_then(|n| n.parse().ok()).unwrap_or(0);
        if a.method == "PUT" {
            let (at, earliest, invoker, who) = (a.at, a.at, self.invoker, self.controller);
            self.record.note(Line::LoadOrdered {
                at,
                earliest,
                invoker,
                who,
                function,
                count,
            });
        }
        let text = match a.method.as_str() {
            "DELETE" => "HTTP/1.1 204 No Content\r\n\r\n".to_owned(),
            _ => format!("HTTP/1.1 200 OK\r\nX-Units: {count}\r\nContent-Length: 0\r\n\r\n"),
        };
        stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// The time that a request says is left is at most what its client has left, by the client's own send time.
    fn judge_limit(&self, a: &ReceivedRequest, of: ClientAttempt) {
        let Some(given_up_at) = self.record.given_up_at(of) else {
            return;
        };
        let stated: Option<u64> = a.fields.get("x-limit-ms").and_then(|ms| ms.parse().ok());
        let left_ms = given_up_at.saturating_sub(a.at) / MILLISECOND;
        if stated.is_none_or(|ms| ms > left_ms + LIMIT_SLACK_MS) {
            let fault = format!("{of:?}: {stated:?} ms are said to be left, {left_ms} are");
            self.time_limit_violations.borrow_mut().push(fault);
        }
    }

    async fn run(&self, stream: &mut Stream, a: &ReceivedRequest, txn: &str) -> bool {
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
        let trigger = a.path.trim_start_matches("/obj/").to_owned();
        let (at, earliest) = (a.at, a.at);
        self.judge_limit(a, of);
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
        let spoilt = self.fault.get();
        let never = matches!(
            spoilt,
            ResponseFault::Miss | ResponseFault::Full | ResponseFault::Expired
        );
        if !never {
            let (at, token) = (self.clock.now(), a.fields.get("x-dedupe").cloned());
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
            () = tokio::time::sleep(self.run_time), if !never => {}
            () = async {}, if never => {}
            got = stream.read(&mut byte) => {
                // Given up, or something out of turn.
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
        let body = format!("ran {txn} {}", a.body.len());
        let at = self.clock.now();
        self.record.note(Line::OutputProduced {
            at,
            invoker,
            of,
            output: body.clone(),
        });
        let well = format!(
            "HTTP/1.1 200 OK\r\nX-How: resident\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let (text, goes_on) = match spoilt {
            ResponseFault::None => (well, true),
            ResponseFault::InformationalFirst => {
                (format!("HTTP/1.1 102 Processing\r\n\r\n{well}"), true)
            }
            ResponseFault::GarbageAfterResponse => (format!("{well}\u{1}\u{2}noise"), false),
            ResponseFault::SentTwice => (format!("{well}{well}"), false),
            ResponseFault::GarbageHead => ("\u{1}\u{2}\u{3} what is this\r\n\r\n".to_owned(), true),
            ResponseFault::UnterminatedHead => (
                format!("HTTP/1.1 200 OK\r\nX-A: {}", "a".repeat(100_000)),
                true,
            ),
            ResponseFault::ConflictingLengths => {
                (well.replace("X-How", "Content-Length: 3\r\nX-How"), true)
            }
            ResponseFault::ThreeGigabyteLength => (
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}",
                    "x".repeat(500_000)
                ),
                true,
            ),
            ResponseFault::TruncatedBody => (well[..well.len() - 3].to_owned(), false),
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
        match spoilt {
            ResponseFault::Miss => ended("miss", true),
            ResponseFault::Full | ResponseFault::Expired => ended("full", true),
            _ => ended("run", true),
        }
        stream.write_all(text.as_bytes()).await.is_ok() && goes_on
    }
}

/// Reads one request, whole.
async fn request(
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

/// How the feed misbehaves at its next event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeedFault {
    #[default]
    None,
    /// Half the event, then a close; whole when it is asked for again.
    Truncated,
    /// Written twice.
    SentTwice,
    /// Nothing more, and the connection stays.
    Stalled,
    /// A length that can't be.
    InvalidLength,
}

/// The control feed.
pub struct Feed {
    pub events: RefCell<Vec<(u64, Event)>>,
    pub fault: Cell<FeedFault>,
    pub resume_points: RefCell<Vec<u64>>,
    controller: ControllerId,
    more: Notify,
    record: Record,
    clock: Clock,
}

impl Feed {
    pub fn new(controller: ControllerId, record: Record, clock: Clock) -> Rc<Self> {
        let (events, torn, asked, more) = Default::default();
        Rc::new(Self {
            events,
            fault: torn,
            resume_points: asked,
            controller,
            more,
            record,
            clock,
        })
    }

    /// The next event, told from now on.
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
        self.more.notify_waiters();
    }

    pub async fn serve(self: Rc<Self>, network: Rc<dyn Network>, at: SocketAddrV4) {
        let listening = network.listen(&Address::Tcp(at.to_string())).await;
        let (mut door, _) = listening.expect("an address of its own");
        while let Ok(stream) = door.accept().await {
            spawn_local(self.clone().attend(stream));
        }
    }

    async fn attend(self: Rc<Self>, mut stream: Stream) {
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
                    () = self.more.notified() => {}
                    () = tokio::time::sleep(Duration::from_secs(1)) => {
                        if self.fault.get() == FeedFault::Stalled || stream.write_all(&feed::encode(last, &Event::Heartbeat)).await.is_err() {
                            return std::future::pending().await;
                        }
                    }
                }
                continue;
            };
            let bytes = feed::encode(n, &event);
            let torn = self.fault.replace(FeedFault::None);
            let wrote = match torn {
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

/// One line of the feed, as tests write it.
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

/// What a client asks for.
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
    pub fn txn(&self) -> String {
        format!("{:016x}", self.number << 8 | u64::from(self.attempt))
    }

    /// The frame of it on a stream.
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

/// An answer as a client reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub stream: u32,
    pub code: u8,
    pub retry_after_ms: Option<u64>,
    pub body: Bytes,
}

/// A frame from a controller, or its connection's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerFrame {
    Response(Response),
    Ready { stream: u32, code: u8 },
    GoAway,
}

/// A client with one connection.
pub struct FrameClient {
    pub stream: Stream,
    read: BytesMut,
    next: u32,
    open: BTreeMap<u32, ClientAttempt>,
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
            next: 1,
            open: BTreeMap::new(),
            controller,
            record,
            clock,
        })
    }

    pub async fn invoke(&mut self, call: &Call) -> u32 {
        let stream = self.next;
        self.next += 1;
        let of = ClientAttempt {
            number: call.number,
            attempt: call.attempt,
        };
        self.open.insert(stream, of);
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

    /// Nobody waits for this stream any more.
    pub async fn cancel(&mut self, stream: u32) {
        if let Some(of) = self.open.remove(&stream) {
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

    /// Closes the connection, whatever is open on it.
    pub fn close(self) {
        for of in self.open.values() {
            self.record.note(Line::HungUp {
                at: self.clock.now(),
                of: *of,
            });
        }
    }

    /// The next frame; `None`: the connection has ended.
    pub async fn next_frame(&mut self) -> Option<ServerFrame> {
        loop {
            if let Some(heard) = self.cut() {
                return Some(heard);
            }
            if self.stream.read_buf(&mut self.read).await.unwrap_or(0) == 0 {
                return None;
            }
        }
    }

    fn cut(&mut self) -> Option<ServerFrame> {
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
                let later = fields.iter().find(|(n, _)| n == "later").map(|(_, v)| v);
                let later_ms = later.and_then(|v| std::str::from_utf8(v).ok()?.parse().ok());
                self.note(stream, code);
                if let Some(of) = self
                    .open
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
                    retry_after_ms: later_ms,
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
        if let Some(of) = self.open.get(&stream) {
            self.record.note(Line::Final {
                at,
                earliest: at,
                of: *of,
                how,
            });
        }
    }
}
