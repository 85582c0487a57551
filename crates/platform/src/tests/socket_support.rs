//! A controller on loopback sockets, and peers whose every read and write is a step of the test.

use crate::lifecycle::start;
use crate::state::ControllerHandle;
use crate::tests::support::{First, configuration_at, wall_clock};
use saltdrum_platform_wire::config;
use saltdrum_platform_wire::frames::{self, Code};
use saltdrum_transport::{Address, Clock, Listener, Network, SocketNetwork, Stream};
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::LocalSet;

/// Long past any wait of a sound run; only a broken one meets it.
pub(crate) const LONG: Duration = Duration::from_secs(20);

/// Sockets whose dials to invokers a test can hold.
#[derive(Default)]
pub(crate) struct Gated {
    pub shut: Cell<bool>,
    pub waiting: Cell<usize>,
    pub opened: Notify,
}

pub(crate) type Dialled<'a, T> = Pin<Box<dyn Future<Output = std::io::Result<T>> + 'a>>;

impl Network for Gated {
    fn dial<'a>(&'a self, address: &'a Address) -> Dialled<'a, Stream> {
        Box::pin(async move {
            self.waiting.set(self.waiting.get() + 1);
            while self.shut.get() {
                self.opened.notified().await;
            }
            SocketNetwork.dial(address).await
        })
    }

    fn listen<'a>(&'a self, address: &'a Address) -> Dialled<'a, (Box<dyn Listener>, Address)> {
        Box::pin(async move { SocketNetwork.listen(address).await })
    }
}

/// One end of a connection in the test's hands: nothing is read or written but when the test does it.
pub(crate) struct Conn {
    pub stream: TcpStream,
    pub read: Vec<u8>,
    pub ended: bool,
    /// Of the last request that came whole: what it said of the time that is left.
    pub limit_ms: Option<u64>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            stream,
            read: Vec::new(),
            ended: false,
            limit_ms: None,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads what is there; whether anything was.
    pub fn look(&mut self) -> usize {
        let mut bytes = [0; 65_536];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => self.ended = true,
                Ok(n) => {
                    self.read.extend_from_slice(&bytes[..n]);
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => self.ended = true,
            }
            return self.read.len();
        }
    }

    /// The next whole frame from the controller: type, stream, payload.
    pub fn frame(&mut self) -> Option<(u8, u32, Vec<u8>)> {
        self.look();
        let length = u32::from_be_bytes(self.read.get(..4)?.try_into().ok()?) as usize;
        if self.read.len() < 4 + length {
            return None;
        }
        let frame: Vec<u8> = self.read.drain(..4 + length).collect();
        Some((
            frame[4],
            u32::from_be_bytes(frame[5..9].try_into().unwrap()),
            frame[9..].to_vec(),
        ))
    }

    pub async fn hear(&mut self) -> (u8, u32, Vec<u8>) {
        let mut heard = None;
        until(|| {
            heard = self.frame();
            heard.is_some()
        })
        .await;
        heard.unwrap()
    }

    /// Whether the next frame refuses the request on this stream, with when to come back.
    pub fn is_refused(&mut self, stream: u32) -> bool {
        let Some((kind, of, payload)) = self.frame() else {
            return false;
        };
        let says_when = payload.windows(5).any(|w| w == b"later");
        (kind, of, payload[0]) == (17, stream, Code::Throttled as u8) && says_when
    }

    /// The next request at an invoker, if it is there whole: its id.
    pub fn request(&mut self) -> Option<String> {
        self.look();
        let text = String::from_utf8_lossy(&self.read).into_owned();
        let end = text.find("\r\n\r\n")? + 4;
        let field = |name: &str| {
            let line = text[..end]
                .lines()
                .find(|l| l.to_ascii_lowercase().starts_with(name))?;
            Some(line[name.len()..].trim().to_owned())
        };
        let length: usize = field("content-length:").map_or(0, |n| n.parse().unwrap());
        if self.read.len() < end + length {
            return None;
        }
        self.read.drain(..end + length);
        self.limit_ms = field("x-limit-ms:").map(|n| n.parse().unwrap());
        Some(field("x-txn:").unwrap_or_default())
    }

    pub async fn asked(&mut self) -> String {
        let mut asked = None;
        until(|| {
            asked = self.request();
            asked.is_some()
        })
        .await;
        asked.unwrap()
    }
}

pub(crate) fn http(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nX-How: resident\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into()
}

pub(crate) fn door() -> (TcpListener, SocketAddrV4) {
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    door.set_nonblocking(true).unwrap();
    let at = door.local_addr().unwrap().to_string().parse().unwrap();
    (door, at)
}

/// Lets the controller work until something is seen.
pub(crate) async fn until(mut seen: impl FnMut() -> bool) {
    let look = async {
        while !seen() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(LONG, look)
        .await
        .expect("what was waited for was never seen");
}

/// Actions after the machine has been asked what has come, and before any of the controller's tasks has had a turn since.
pub(crate) async fn before_their_turn<T>(act: impl FnOnce() -> T) -> T {
    let (mut asked, mut act) = (false, Some(act));
    poll_fn(|cx| {
        if !std::mem::replace(&mut asked, true) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready((act.take().unwrap())())
    })
    .await
}

/// A controller that sends all to invoker 1, which is the test.
pub(crate) struct Stage {
    pub network: Rc<Gated>,
    pub handle: Rc<ControllerHandle>,
    pub at: SocketAddrV4,
    pub invoker: TcpListener,
    _feed: TcpListener,
    pub(crate) next: Cell<u64>,
}

impl Stage {
    pub async fn new() -> Self {
        Self::of(|_, _, _, _| Box::new(First), &[]).await
    }

    pub(crate) async fn of(make: saltdrum_controller::PolicyFactory, tenants: &[&str]) -> Self {
        Self::with_sockets(make, tenants, 256).await
    }

    /// With a limit of its own on descriptors.
    pub async fn with_sockets(
        make: saltdrum_controller::PolicyFactory,
        tenants: &[&str],
        sockets: usize,
    ) -> Self {
        let network = Rc::new(Gated::default());
        let ((invoker, invoker_at), (_feed, feed_at)) = (door(), door());
        let at = door().1;
        let text = configuration_at(at, feed_at, &[(1, invoker_at)], sockets);
        let mut text: serde_json::Value = serde_json::from_str(&text).unwrap();
        let realm =
            |name: &&str| serde_json::json!({"name": name, "quota_rps": 10.0, "share": 0.5});
        text["settings"]["realms"] = tenants.iter().map(realm).collect();
        let config = config::parse(&text.to_string()).unwrap();
        let clock = Clock::start();
        let handle = start(config, wall_clock(clock), network.clone(), clock, make)
            .await
            .unwrap();
        Self {
            network,
            handle,
            at,
            invoker,
            _feed,
            next: Cell::new(0),
        }
    }

    pub fn client(&self) -> Conn {
        Conn::new(TcpStream::connect(self.at).unwrap())
    }

    /// A client of which the controller has heard something whole.
    pub async fn known(&self) -> Conn {
        let mut client = self.client();
        client.write(&frames::encode_empty(32, 1));
        client.hear().await;
        client
    }

    /// The frame of a new invocation, and its id.
    pub fn call(&self, stream: u32) -> (Vec<u8>, String) {
        self.call_with(stream, &[])
    }

    /// With a body.
    pub fn call_with(&self, stream: u32, body: &[u8]) -> (Vec<u8>, String) {
        self.next.set(self.next.get() + 1);
        let txn = format!("{:016x}", self.next.get());
        let fields = [
            ("verb", "book"),
            ("txn", &txn),
            ("limit", "2500"),
            ("item", "00000000000000f1"),
        ];
        (frames::encode_invoke(stream, &fields, body).to_vec(), txn)
    }

    /// The next connection that the controller makes to the invoker.
    pub async fn line(&self) -> Conn {
        let mut line = None;
        until(|| {
            line = self.invoker.accept().ok();
            line.is_some()
        })
        .await;
        Conn::new(line.unwrap().0)
    }

    pub fn clients(&self) -> usize {
        self.handle.config.clients.sizes().0
    }

    pub fn in_flight(&self) -> usize {
        self.handle.inspect(|s| s.invocations.in_flight())
    }

    /// Nothing came to the invoker that was not taken out yet.
    pub fn nothing_came(&self) -> bool {
        match self.invoker.accept() {
            Err(e) => e.kind() == ErrorKind::WouldBlock,
            Ok((stream, _)) => Conn::new(stream).look() == 0,
        }
    }
}

pub(crate) fn staged<F: Future<Output = ()>>(play: impl FnOnce() -> F) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, play());
}
