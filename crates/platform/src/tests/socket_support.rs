//! A controller on loopback sockets, with peers whose reads and writes are steps of the test.

use crate::lifecycle::start;
use crate::state::ControllerHandle;
use crate::tests::support::{FirstInvokerPolicy, configuration_at, wall_clock};
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

/// Timeout of each wait, well above the waits of a passing test.
pub(crate) const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// A network whose dials to invokers a test can block.
#[derive(Default)]
pub(crate) struct GatedNetwork {
    pub is_closed: Cell<bool>,
    /// Number of dials so far.
    pub dial_count: Cell<usize>,
    pub opened: Notify,
}

pub(crate) type NetworkFuture<'a, T> = Pin<Box<dyn Future<Output = std::io::Result<T>> + 'a>>;

impl GatedNetwork {
    /// Lets all dials through.
    pub fn open(&self) {
        self.is_closed.set(false);
        self.opened.notify_waiters();
    }
}

impl Network for GatedNetwork {
    fn dial<'a>(&'a self, address: &'a Address) -> NetworkFuture<'a, Stream> {
        Box::pin(async move {
            self.dial_count.set(self.dial_count.get() + 1);
            while self.is_closed.get() {
                self.opened.notified().await;
            }
            SocketNetwork.dial(address).await
        })
    }

    fn listen<'a>(
        &'a self,
        address: &'a Address,
    ) -> NetworkFuture<'a, (Box<dyn Listener>, Address)> {
        Box::pin(async move { SocketNetwork.listen(address).await })
    }
}

/// The test's end of a connection, which is read and written only by steps of the test.
pub(crate) struct PeerConnection {
    pub stream: TcpStream,
    pub received: Vec<u8>,
    pub is_ended: bool,
    /// The time limit stated in the last complete request.
    pub limit_ms: Option<u64>,
}

impl PeerConnection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            stream,
            received: Vec::new(),
            is_ended: false,
            limit_ms: None,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads the available bytes, and returns the number of undecoded bytes.
    pub fn read_available(&mut self) -> usize {
        let mut bytes = [0; 65_536];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => self.is_ended = true,
                Ok(n) => {
                    self.received.extend_from_slice(&bytes[..n]);
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => self.is_ended = true,
            }
            return self.received.len();
        }
    }

    /// Decodes the next complete frame from the controller: type, stream, payload.
    pub fn next_frame(&mut self) -> Option<(u8, u32, Vec<u8>)> {
        self.read_available();
        let length = u32::from_be_bytes(self.received.get(..4)?.try_into().ok()?) as usize;
        if self.received.len() < 4 + length {
            return None;
        }
        let frame: Vec<u8> = self.received.drain(..4 + length).collect();
        Some((
            frame[4],
            u32::from_be_bytes(frame[5..9].try_into().unwrap()),
            frame[9..].to_vec(),
        ))
    }

    /// Waits for the next frame.
    pub async fn receive_frame(&mut self) -> (u8, u32, Vec<u8>) {
        let mut frame = None;
        wait_until(|| {
            frame = self.next_frame();
            frame.is_some()
        })
        .await;
        frame.unwrap()
    }

    /// Whether the next frame rejects the request on this stream, with a retry-after.
    pub fn is_rejected(&mut self, stream: u32) -> bool {
        let Some((kind, frame_stream, payload)) = self.next_frame() else {
            return false;
        };
        let has_retry_after = payload.windows(5).any(|w| w == b"later");
        (kind, frame_stream, payload[0]) == (17, stream, Code::Throttled as u8) && has_retry_after
    }

    /// Decodes the next complete request to an invoker, and returns its id.
    pub fn next_request(&mut self) -> Option<String> {
        self.read_available();
        let text = String::from_utf8_lossy(&self.received).into_owned();
        let end = text.find("\r\n\r\n")? + 4;
        let field = |name: &str| {
            let line = text[..end]
                .lines()
                .find(|line| line.to_ascii_lowercase().starts_with(name))?;
            Some(line[name.len()..].trim().to_owned())
        };
        let length: usize = field("content-length:").map_or(0, |n| n.parse().unwrap());
        if self.received.len() < end + length {
            return None;
        }
        self.received.drain(..end + length);
        self.limit_ms = field("x-limit-ms:").map(|n| n.parse().unwrap());
        Some(field("x-txn:").unwrap_or_default())
    }

    /// Waits for the next request, and returns its id.
    pub async fn receive_request(&mut self) -> String {
        let mut request = None;
        wait_until(|| {
            request = self.next_request();
            request.is_some()
        })
        .await;
        request.unwrap()
    }
}

pub(crate) fn http_response(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nX-How: resident\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into()
}

pub(crate) fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap().to_string().parse().unwrap();
    (listener, address)
}

/// Lets the controller run until a condition holds.
pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, wait)
        .await
        .expect("the condition never held");
}

/// Runs an action after the kernel was polled and before any of the controller's tasks runs.
pub(crate) async fn before_controller_tasks<T>(act: impl FnOnce() -> T) -> T {
    let (mut has_yielded, mut act) = (false, Some(act));
    poll_fn(|cx| {
        if !std::mem::replace(&mut has_yielded, true) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready((act.take().unwrap())())
    })
    .await
}

/// A controller that sends all attempts to invoker 1, which the test plays.
pub(crate) struct TestController {
    pub network: Rc<GatedNetwork>,
    pub handle: Rc<ControllerHandle>,
    pub address: SocketAddrV4,
    pub invoker: TcpListener,
    _feed: TcpListener,
    pub(crate) next_call: Cell<u64>,
}

impl TestController {
    pub async fn new() -> Self {
        Self::with_tenants(|_, _, _, _| Box::new(FirstInvokerPolicy), &[]).await
    }

    pub(crate) async fn with_tenants(
        make: saltdrum_controller::PolicyFactory,
        tenants: &[&str],
    ) -> Self {
        Self::with_sockets(make, tenants, 256).await
    }

    /// Starts a controller with a limit on descriptors.
    pub async fn with_sockets(
        make: saltdrum_controller::PolicyFactory,
        tenants: &[&str],
        sockets: usize,
    ) -> Self {
        let network = Rc::new(GatedNetwork::default());
        let ((invoker, invoker_address), (_feed, feed_address)) = (listen(), listen());
        let address = listen().1;
        let text = configuration_at(address, feed_address, &[(1, invoker_address)], sockets);
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
            address,
            invoker,
            _feed,
            next_call: Cell::new(0),
        }
    }

    pub fn connect_client(&self) -> PeerConnection {
        PeerConnection::new(TcpStream::connect(self.address).unwrap())
    }

    /// Connects a client from which the controller has received a complete frame.
    pub async fn connect_active_client(&self) -> PeerConnection {
        let mut client = self.connect_client();
        client.write(&frames::encode_empty(32, 1));
        client.receive_frame().await;
        client
    }

    /// Encodes a new invocation, and returns its frame and id.
    pub fn new_call(&self, stream: u32) -> (Vec<u8>, String) {
        self.new_call_with_body(stream, &[])
    }

    /// Encodes a new invocation with a body.
    pub fn new_call_with_body(&self, stream: u32, body: &[u8]) -> (Vec<u8>, String) {
        self.next_call.set(self.next_call.get() + 1);
        let txn = format!("{:016x}", self.next_call.get());
        let fields = [
            ("verb", "book"),
            ("txn", &txn),
            ("limit", "2500"),
            ("item", "00000000000000f1"),
        ];
        (frames::encode_invoke(stream, &fields, body).to_vec(), txn)
    }

    /// Accepts the next connection of the controller to the invoker.
    pub async fn accept_connection(&self) -> PeerConnection {
        let mut accepted = None;
        wait_until(|| {
            accepted = self.invoker.accept().ok();
            accepted.is_some()
        })
        .await;
        PeerConnection::new(accepted.unwrap().0)
    }

    pub fn client_count(&self) -> usize {
        self.handle.config.clients.sizes().0
    }

    pub fn in_flight(&self) -> usize {
        self.handle.inspect(|s| s.invocations.in_flight())
    }

    /// Whether the invoker has received nothing on a new connection.
    pub fn received_nothing(&self) -> bool {
        match self.invoker.accept() {
            Err(e) => e.kind() == ErrorKind::WouldBlock,
            Ok((stream, _)) => PeerConnection::new(stream).read_available() == 0,
        }
    }
}

pub(crate) fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test());
}
