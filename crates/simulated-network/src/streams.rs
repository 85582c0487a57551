//! Streams and the [`Network`] implementation of the simulated hosts.

use crate::lines::{Delivery, HostId, Link, Links};
use bytes::{Buf, Bytes};
use saltdrum::interface::Ticks;
use saltdrum_transport::{Address, Clock, EventLoopClock, Listener, Network, Stream};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep, sleep_until};

/// Bound of the bytes in flight or unread in one direction of a stream.
const WINDOW_BYTES: usize = 256 << 10;
/// A connection attempt fails after this time without a response.
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a connection attempt checks whether a cut is healed.
const DIAL_RETRY_INTERVAL: Duration = Duration::from_millis(50);

type ListenerSender = mpsc::UnboundedSender<Stream>;
type IoFuture<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;
type SharedDirection = Rc<RefCell<Direction>>;
type DirectionsByHosts = BTreeMap<(HostId, HostId), Vec<Weak<RefCell<Direction>>>>;

/// All hosts and the streams between them.
#[derive(Clone)]
pub struct SimulatedNetwork {
    clock: Clock,
    links: Rc<RefCell<Links>>,
    hosts: Rc<RefCell<BTreeMap<String, HostId>>>,
    listeners: Rc<RefCell<BTreeMap<Address, (HostId, ListenerSender)>>>,
    /// Open directions of streams, whose data a cut may hold back.
    directions: Rc<RefCell<DirectionsByHosts>>,
    /// The fakes' event loop clock; receives the write time of the data being read.
    event_loop: EventLoopClock,
}

/// The bytes of one write.
struct Segment {
    written: Ticks,
    /// Arrival time; `None` while a cut holds it back.
    arrives: Option<Ticks>,
    bytes: Bytes,
}

/// One direction of a stream.
struct Direction {
    from: HostId,
    to: HostId,
    segments: VecDeque<Segment>,
    bytes: usize,
    /// Latest arrival time so far: data on a stream keeps its order.
    last_arrival: Ticks,
    /// Set when the writer has closed: arrival time of the end of stream, after all segments; `Some(None)` while
    /// a cut holds it back.
    end_of_stream: Option<Option<Ticks>>,
    /// Set when the reader has closed: when the writer learns of it.
    reader_closed_at: Option<Ticks>,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Direction {
    fn wake_reader(&mut self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }

    fn wake_writer(&mut self) {
        if let Some(waker) = self.writer.take() {
            waker.wake();
        }
    }
}

impl SimulatedNetwork {
    /// `event_loop` is the event loop clock of the fakes: they count data as arrived when it was written.
    pub fn new(clock: Clock, links: Links, event_loop: EventLoopClock) -> Self {
        let (hosts, listeners, directions) = Default::default();
        Self {
            clock,
            links: Rc::new(RefCell::new(links)),
            hosts,
            listeners,
            directions,
            event_loop,
        }
    }

    fn number(&self, name: &str) -> HostId {
        let mut hosts = self.hosts.borrow_mut();
        let next = hosts.len() as HostId;
        *hosts.entry(name.to_owned()).or_insert(next)
    }

    /// The network as seen from this host.
    pub fn host(&self, name: &str) -> Rc<dyn Network> {
        Rc::new(HostNetwork {
            network: self.clone(),
            here: self.number(name),
        })
    }

    /// Cuts one direction between two hosts. Streams stay open, as on a real network.
    pub fn cut(&self, from: &str, to: &str) {
        self.links
            .borrow_mut()
            .cut(self.number(from), self.number(to));
    }

    /// Removes one cut; with the last one, held data arrives after the usual delay.
    pub fn heal(&self, from: &str, to: &str) {
        let pair = (self.number(from), self.number(to));
        if !self.links.borrow_mut().heal(pair.0, pair.1) {
            return;
        }
        let now = self.clock.now();
        let directions = self
            .directions
            .borrow()
            .get(&pair)
            .cloned()
            .unwrap_or_default();
        for direction in directions.iter().filter_map(Weak::upgrade) {
            let direction = &mut *direction.borrow_mut();
            let at = self
                .links
                .borrow_mut()
                .arrival_after_heal(now, pair.0, pair.1)
                .max(direction.last_arrival);
            direction
                .segments
                .iter_mut()
                .filter(|p| p.arrives.is_none())
                .for_each(|p| p.arrives = Some(at));
            if direction.end_of_stream == Some(None) {
                direction.end_of_stream = Some(Some(at));
            }
            direction.last_arrival = at;
            direction.wake_reader();
        }
    }

    /// Replaces the usual link of one direction by `line`, until it is removed.
    pub fn add_slowdown(&self, from: &str, to: &str, link: Link) {
        self.links
            .borrow_mut()
            .add_slowdown(self.number(from), self.number(to), link);
    }

    /// Removes one slowdown with this `line`.
    pub fn remove_slowdown(&self, from: &str, to: &str, link: Link) {
        self.links
            .borrow_mut()
            .remove_slowdown(self.number(from), self.number(to), link);
    }

    fn direction(&self, from: HostId, to: HostId) -> SharedDirection {
        let direction = Rc::new(RefCell::new(Direction {
            from,
            to,
            segments: VecDeque::new(),
            bytes: 0,
            last_arrival: 0,
            end_of_stream: None,
            reader_closed_at: None,
            reader: None,
            writer: None,
        }));
        let mut directions = self.directions.borrow_mut();
        let all = directions.entry((from, to)).or_default();
        if all.len() > 64 && all.len().is_power_of_two() {
            all.retain(|w| w.strong_count() > 0);
        }
        all.push(Rc::downgrade(&direction));
        direction
    }

    fn end(&self, reads: SharedDirection, writes: SharedDirection) -> Stream {
        let sleep = || Box::pin(sleep_until(Instant::now()));
        Box::new(StreamEnd {
            network: self.clone(),
            reads,
            writes,
            read_due: sleep(),
            write_due: sleep(),
        })
    }
}

/// The network as seen from one host.
struct HostNetwork {
    network: SimulatedNetwork,
    here: HostId,
}

impl Network for HostNetwork {
    fn dial<'a>(&'a self, address: &'a Address) -> IoFuture<'a, Stream> {
        Box::pin(async move {
            let network = &self.network;
            let deadline = Instant::now() + DIAL_TIMEOUT;
            let there = loop {
                // Without a listener the connection is refused; behind a cut the attempt waits, as a silent host can't be
                // told from an absent one.
                let there = network
                    .listeners
                    .borrow()
                    .get(address)
                    .map(|(host, _)| *host);
                let Some(there) = there else {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                };
                let round_trip = {
                    let links = &mut *network.links.borrow_mut();
                    let cut = links.is_cut(self.here, there) || links.is_cut(there, self.here);
                    let now = network.clock.now();
                    let mut delay = |from, to| match links.send(now, from, to, 64) {
                        Delivery::Arrives(at) => at - now,
                        Delivery::Held => 0,
                    };
                    (!cut).then(|| delay(self.here, there) + delay(there, self.here))
                };
                match round_trip {
                    Some(0) => break there,
                    Some(span) => {
                        tokio::time::sleep(Duration::from_micros(span * 100)).await;
                        break there;
                    }
                    None if Instant::now() >= deadline => {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    None => tokio::time::sleep(DIAL_RETRY_INTERVAL).await,
                }
            };
            let (to, from) = (
                network.direction(self.here, there),
                network.direction(there, self.here),
            );
            let remote_end = network.end(to.clone(), from.clone());
            let connected = network
                .listeners
                .borrow()
                .get(address)
                .is_some_and(|(_, listener)| listener.send(remote_end).is_ok());
            if connected {
                Ok(network.end(from, to))
            } else {
                Err(io::ErrorKind::ConnectionRefused.into())
            }
        })
    }

    fn listen<'a>(&'a self, address: &'a Address) -> IoFuture<'a, (Box<dyn Listener>, Address)> {
        Box::pin(async move {
            let mut listeners = self.network.listeners.borrow_mut();
            if listeners
                .get(address)
                .is_some_and(|(_, listener)| !listener.is_closed())
            {
                return Err(io::ErrorKind::AddrInUse.into());
            }
            let (to, from) = mpsc::unbounded_channel();
            listeners.insert(address.clone(), (self.here, to));
            Ok((Box::new(from) as Box<dyn Listener>, address.clone()))
        })
    }
}

/// One end of a stream.
struct StreamEnd {
    network: SimulatedNetwork,
    reads: SharedDirection,
    writes: SharedDirection,
    read_due: Pin<Box<Sleep>>,
    write_due: Pin<Box<Sleep>>,
}

/// Ready from `at` on.
fn due(sleep: &mut Pin<Box<Sleep>>, clock: Clock, at: Ticks, cx: &mut Context<'_>) -> Poll<()> {
    if clock.now() >= at {
        return Poll::Ready(());
    }
    sleep.as_mut().reset(clock.instant(at));
    sleep.as_mut().poll(cx)
}

impl AsyncRead for StreamEnd {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let (clock, direction) = (this.network.clock, &mut *this.reads.borrow_mut());
        let next = match (direction.segments.front(), direction.end_of_stream) {
            (Some(segment), _) => segment.arrives,
            (None, Some(at)) => at,
            (None, None) => None,
        };
        let here = next.is_some_and(|at| due(&mut this.read_due, clock, at, cx).is_ready());
        if !here {
            direction.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let now = clock.now();
        let mut written_at = None;
        while let Some(segment) = direction
            .segments
            .front_mut()
            .filter(|p| p.arrives.is_some_and(|at| at <= now))
        {
            let length = segment.bytes.len().min(buf.remaining());
            if length == 0 {
                break;
            }
            written_at = written_at.or(Some(segment.written));
            buf.put_slice(&segment.bytes[..length]);
            segment.bytes.advance(length);
            direction.bytes -= length;
            if segment.bytes.is_empty() {
                direction.segments.pop_front();
            }
        }
        if let Some(written) = written_at {
            this.network.event_loop.set_written_at(written);
        }
        direction.wake_writer();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StreamEnd {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let (clock, direction) = (this.network.clock, &mut *this.writes.borrow_mut());
        let now = clock.now();
        if direction.end_of_stream.is_some()
            || direction.reader_closed_at.is_some_and(|at| at <= now)
        {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let length = bytes
            .len()
            .min(WINDOW_BYTES.saturating_sub(direction.bytes));
        if length == 0 {
            direction.writer = Some(cx.waker().clone());
            if let Some(at) = direction.reader_closed_at {
                let _ = due(&mut this.write_due, clock, at, cx);
            }
            return Poll::Pending;
        }
        let arrives =
            match this
                .network
                .links
                .borrow_mut()
                .send(now, direction.from, direction.to, length)
            {
                Delivery::Arrives(at) => {
                    direction.last_arrival = direction.last_arrival.max(at);
                    Some(direction.last_arrival)
                }
                Delivery::Held => None,
            };
        direction.segments.push_back(Segment {
            written: now,
            arrives,
            bytes: Bytes::copy_from_slice(&bytes[..length]),
        });
        direction.bytes += length;
        direction.wake_reader();
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.close_writes();
        Poll::Ready(Ok(()))
    }
}

impl StreamEnd {
    fn close_writes(&self) {
        let direction = &mut *self.writes.borrow_mut();
        if direction.end_of_stream.is_none() {
            let delivery = self.network.links.borrow_mut().send(
                self.network.clock.now(),
                direction.from,
                direction.to,
                0,
            );
            direction.end_of_stream = Some(match delivery {
                Delivery::Arrives(at) => Some(at.max(direction.last_arrival)),
                Delivery::Held => None,
            });
            direction.wake_reader();
        }
    }
}

impl Drop for StreamEnd {
    fn drop(&mut self) {
        self.close_writes();
        let direction = &mut *self.reads.borrow_mut();
        let now = self.network.clock.now();
        // Behind a cut the writer fills the window without an error, and only its own timeout ends it.
        if let Delivery::Arrives(at) =
            self.network
                .links
                .borrow_mut()
                .send(now, direction.to, direction.from, 0)
        {
            direction.reader_closed_at = Some(at);
            direction.wake_writer();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    fn network_with(link: Link) -> SimulatedNetwork {
        SimulatedNetwork::new(
            Clock::start(),
            Links::new(link, 0.0, 1),
            EventLoopClock::default(),
        )
    }

    async fn connect(network: &SimulatedNetwork) -> (Stream, Stream) {
        let at = Address::Memory("there".into());
        let (here, there) = (network.host("here"), network.host("there"));
        let (mut listener, _) = there.listen(&at).await.unwrap();
        let stream = here.dial(&at).await.unwrap();
        (stream, listener.accept().await.unwrap())
    }

    #[tokio::test(start_paused = true)]
    async fn bytes_are_delayed_and_keep_their_order() {
        let network = network_with(Link {
            delay: 50,
            jitter: 70,
        });
        let (mut client, mut server) = connect(&network).await;
        let began = network.clock.now();
        for n in 0..100u8 {
            client.write_all(&[n]).await.unwrap();
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        drop(client);
        let mut read = Vec::new();
        server.read_to_end(&mut read).await.unwrap();
        assert_eq!(read, (0..100).collect::<Vec<u8>>());
        assert!(
            (1_040..=1_140).contains(&(network.clock.now() - began)),
            "{}",
            network.clock.now() - began
        );
    }

    #[tokio::test(start_paused = true)]
    async fn one_way_cut_holds_data_back_until_healed() {
        let network = network_with(Link {
            delay: 10,
            jitter: 0,
        });
        let (mut client, mut server) = connect(&network).await;
        network.cut("here", "there");
        client.write_all(b"held").await.unwrap();
        server.write_all(b"passes").await.unwrap();
        let mut passed = [0; 6];
        client.read_exact(&mut passed).await.unwrap();
        let mut held_back = [0; 4];
        assert!(
            tokio::time::timeout(Duration::from_secs(9), server.read_exact(&mut held_back))
                .await
                .is_err()
        );
        network.heal("here", "there");
        server.read_exact(&mut held_back).await.unwrap();
        assert_eq!((&passed, &held_back), (b"passes", b"held"));
    }

    #[tokio::test(start_paused = true)]
    async fn close_behind_a_cut_is_noticed_after_healing() {
        let network = network_with(Link::default());
        let (client, mut server) = connect(&network).await;
        network.cut("here", "there");
        drop(client);
        let mut byte = [0; 1];
        assert!(
            tokio::time::timeout(Duration::from_secs(5), server.read(&mut byte))
                .await
                .is_err()
        );
        assert!(
            server.write_all(b"into the void").await.is_ok(),
            "the close has not been noticed yet"
        );
        network.heal("here", "there");
        assert_eq!(server.read(&mut byte).await.unwrap(), 0);
    }

    #[tokio::test(start_paused = true)]
    async fn stuck_reader_fills_the_window_and_its_close_fails_the_writer() {
        let network = network_with(Link {
            delay: 20,
            jitter: 0,
        });
        let (mut client, server) = connect(&network).await;
        let mut sent = 0;
        while let Ok(n) =
            tokio::time::timeout(Duration::from_secs(1), client.write(&[7; 10_000])).await
        {
            sent += n.unwrap();
        }
        assert_eq!(sent, WINDOW_BYTES);
        let writing = async { client.write_all(&[7; 10]).await };
        let (done, ()) = tokio::join!(writing, async { drop(server) });
        assert_eq!(done.unwrap_err().kind(), io::ErrorKind::BrokenPipe);
    }

    #[tokio::test(start_paused = true)]
    async fn dial_waits_for_a_cut_to_heal_and_times_out_otherwise() {
        let network = network_with(Link::default());
        let at = Address::Memory("there".into());
        let (here, there) = (network.host("here"), network.host("there"));
        let _door = there.listen(&at).await.unwrap();
        network.cut("there", "here");
        let began = Instant::now();
        let error = here.dial(&at).await.err().unwrap();
        assert_eq!(
            (error.kind(), began.elapsed()),
            (io::ErrorKind::TimedOut, DIAL_TIMEOUT)
        );
        let (dialled, ()) = tokio::join!(here.dial(&at), async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            network.heal("there", "here");
        });
        assert!(dialled.is_ok());
    }

    #[tokio::test(start_paused = true)]
    async fn paused_future_resumes_where_it_stopped() {
        let hold = crate::ProcessPause::default();
        let ticks = std::cell::RefCell::new(Vec::new());
        let began = Instant::now();
        let ticking = async {
            for _ in 0..4 {
                tokio::time::sleep(Duration::from_millis(100)).await;
                ticks.borrow_mut().push(began.elapsed().as_millis());
            }
        };
        let stopping = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            hold.pause_for(Duration::from_secs(2));
        };
        tokio::join!(crate::pausable(hold.clone(), ticking), stopping);
        assert_eq!(ticks.into_inner(), [100, 2_150, 2_250, 2_350]);
    }
}
