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

/// Under way and unread on one stream, one way.
const WINDOW: usize = 256 << 10;
/// A connection that gets no answer is given up after this.
const DIAL_PATIENCE: Duration = Duration::from_secs(3);
const DIAL_LOOKS: Duration = Duration::from_millis(50);

type Door = mpsc::UnboundedSender<Stream>;
type Later<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;
type SharedWay = Rc<RefCell<Way>>;
type Ways = BTreeMap<(HostId, HostId), Vec<Weak<RefCell<Way>>>>;

/// Every host and every stream between them.
#[derive(Clone)]
pub struct SimulatedNetwork {
    clock: Clock,
    lines: Rc<RefCell<Links>>,
    hosts: Rc<RefCell<BTreeMap<String, HostId>>>,
    doors: Rc<RefCell<BTreeMap<Address, (HostId, Door)>>>,
    /// Streams that a cut may have held something of.
    ways: Rc<RefCell<Ways>>,
    /// Told when what is being read was written; the stand-ins' own.
    turns: EventLoopClock,
}

struct Part {
    written: Ticks,
    /// None: a cut holds it.
    arrives: Option<Ticks>,
    bytes: Bytes,
}

/// One direction of a stream.
struct Way {
    from: HostId,
    to: HostId,
    parts: VecDeque<Part>,
    bytes: usize,
    /// Nothing overtakes on a stream.
    last: Ticks,
    /// The writer is gone: its end comes after all parts. Held by a cut as they are.
    ends: Option<Option<Ticks>>,
    /// The reader is gone, and the writer hears of it then.
    refused: Option<Ticks>,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Way {
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
    /// `turns` are those of whoever reads as a stand-in: what it reads came when it was written.
    pub fn new(clock: Clock, lines: Links, turns: EventLoopClock) -> Self {
        let (hosts, doors, ways) = Default::default();
        Self {
            clock,
            lines: Rc::new(RefCell::new(lines)),
            hosts,
            doors,
            ways,
            turns,
        }
    }

    fn number(&self, name: &str) -> HostId {
        let mut hosts = self.hosts.borrow_mut();
        let next = hosts.len() as HostId;
        *hosts.entry(name.to_owned()).or_insert(next)
    }

    /// The network as this host sees it.
    pub fn host(&self, name: &str) -> Rc<dyn Network> {
        Rc::new(Seen {
            ether: self.clone(),
            here: self.number(name),
        })
    }

    /// Lets nothing pass any more, one way. Streams stay open, as they do on a real network.
    pub fn cut(&self, from: &str, to: &str) {
        self.lines
            .borrow_mut()
            .cut(self.number(from), self.number(to));
    }

    /// What was held arrives now.
    pub fn heal(&self, from: &str, to: &str) {
        let pair = (self.number(from), self.number(to));
        if !self.lines.borrow_mut().heal(pair.0, pair.1) {
            return;
        }
        let now = self.clock.now();
        let ways = self.ways.borrow().get(&pair).cloned().unwrap_or_default();
        for way in ways.iter().filter_map(Weak::upgrade) {
            let way = &mut *way.borrow_mut();
            let at = self
                .lines
                .borrow_mut()
                .arrival_after_heal(now, pair.0, pair.1)
                .max(way.last);
            way.parts
                .iter_mut()
                .filter(|p| p.arrives.is_none())
                .for_each(|p| p.arrives = Some(at));
            if way.ends == Some(None) {
                way.ends = Some(Some(at));
            }
            way.last = at;
            way.wake_reader();
        }
    }

    /// Another line in place of the usual one, one way, until it is quickened by the same.
    pub fn add_slowdown(&self, from: &str, to: &str, line: Link) {
        self.lines
            .borrow_mut()
            .add_slowdown(self.number(from), self.number(to), line);
    }

    pub fn remove_slowdown(&self, from: &str, to: &str, line: Link) {
        self.lines
            .borrow_mut()
            .remove_slowdown(self.number(from), self.number(to), line);
    }

    fn way(&self, from: HostId, to: HostId) -> SharedWay {
        let way = Rc::new(RefCell::new(Way {
            from,
            to,
            parts: VecDeque::new(),
            bytes: 0,
            last: 0,
            ends: None,
            refused: None,
            reader: None,
            writer: None,
        }));
        let mut ways = self.ways.borrow_mut();
        let all = ways.entry((from, to)).or_default();
        if all.len() > 64 && all.len().is_power_of_two() {
            all.retain(|w| w.strong_count() > 0);
        }
        all.push(Rc::downgrade(&way));
        way
    }

    fn end(&self, reads: SharedWay, writes: SharedWay) -> Stream {
        let sleep = || Box::pin(sleep_until(Instant::now()));
        Box::new(End {
            ether: self.clone(),
            reads,
            writes,
            read_due: sleep(),
            write_due: sleep(),
        })
    }
}

/// The ether from one host.
struct Seen {
    ether: SimulatedNetwork,
    here: HostId,
}

impl Network for Seen {
    fn dial<'a>(&'a self, address: &'a Address) -> Later<'a, Stream> {
        Box::pin(async move {
            let ether = &self.ether;
            let given_up = Instant::now() + DIAL_PATIENCE;
            let there = loop {
                // Nobody can tell a silent host from one that is not there.
                let there = ether.doors.borrow().get(address).map(|(host, _)| *host);
                let Some(there) = there else {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                };
                let crosses = {
                    let lines = &mut *ether.lines.borrow_mut();
                    let cut = lines.is_cut(self.here, there) || lines.is_cut(there, self.here);
                    let now = ether.clock.now();
                    let mut way = |a, b| match lines.send(now, a, b, 64) {
                        Delivery::Arrives(at) => at - now,
                        Delivery::Held => 0,
                    };
                    (!cut).then(|| way(self.here, there) + way(there, self.here))
                };
                match crosses {
                    Some(0) => break there,
                    Some(span) => {
                        tokio::time::sleep(Duration::from_micros(span * 100)).await;
                        break there;
                    }
                    None if Instant::now() >= given_up => {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    None => tokio::time::sleep(DIAL_LOOKS).await,
                }
            };
            let (to, from) = (ether.way(self.here, there), ether.way(there, self.here));
            let theirs = ether.end(to.clone(), from.clone());
            let met = ether
                .doors
                .borrow()
                .get(address)
                .is_some_and(|(_, door)| door.send(theirs).is_ok());
            if met {
                Ok(ether.end(from, to))
            } else {
                Err(io::ErrorKind::ConnectionRefused.into())
            }
        })
    }

    fn listen<'a>(&'a self, address: &'a Address) -> Later<'a, (Box<dyn Listener>, Address)> {
        Box::pin(async move {
            let mut doors = self.ether.doors.borrow_mut();
            if doors
                .get(address)
                .is_some_and(|(_, door)| !door.is_closed())
            {
                return Err(io::ErrorKind::AddrInUse.into());
            }
            let (to, from) = mpsc::unbounded_channel();
            doors.insert(address.clone(), (self.here, to));
            Ok((Box::new(from) as Box<dyn Listener>, address.clone()))
        })
    }
}

/// One end of a stream.
struct End {
    ether: SimulatedNetwork,
    reads: SharedWay,
    writes: SharedWay,
    read_due: Pin<Box<Sleep>>,
    write_due: Pin<Box<Sleep>>,
}

/// Ready once `at` has come.
fn due(sleep: &mut Pin<Box<Sleep>>, clock: Clock, at: Ticks, cx: &mut Context<'_>) -> Poll<()> {
    if clock.now() >= at {
        return Poll::Ready(());
    }
    sleep.as_mut().reset(clock.instant(at));
    sleep.as_mut().poll(cx)
}

impl AsyncRead for End {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let (clock, way) = (this.ether.clock, &mut *this.reads.borrow_mut());
        let next = match (way.parts.front(), way.ends) {
            (Some(part), _) => part.arrives,
            (None, Some(at)) => at,
            (None, None) => None,
        };
        let here = next.is_some_and(|at| due(&mut this.read_due, clock, at, cx).is_ready());
        if !here {
            way.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let now = clock.now();
        let mut first = None;
        while let Some(part) = way
            .parts
            .front_mut()
            .filter(|p| p.arrives.is_some_and(|at| at <= now))
        {
            let n = part.bytes.len().min(buf.remaining());
            if n == 0 {
                break;
            }
            first = first.or(Some(part.written));
            buf.put_slice(&part.bytes[..n]);
            part.bytes.advance(n);
            way.bytes -= n;
            if part.bytes.is_empty() {
                way.parts.pop_front();
            }
        }
        if let Some(written) = first {
            this.ether.turns.set_written_at(written);
        }
        way.wake_writer();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for End {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let (clock, way) = (this.ether.clock, &mut *this.writes.borrow_mut());
        let now = clock.now();
        if way.ends.is_some() || way.refused.is_some_and(|at| at <= now) {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let n = bytes.len().min(WINDOW.saturating_sub(way.bytes));
        if n == 0 {
            way.writer = Some(cx.waker().clone());
            if let Some(at) = way.refused {
                let _ = due(&mut this.write_due, clock, at, cx);
            }
            return Poll::Pending;
        }
        let arrives = match this.ether.lines.borrow_mut().send(now, way.from, way.to, n) {
            Delivery::Arrives(at) => {
                way.last = way.last.max(at);
                Some(way.last)
            }
            Delivery::Held => None,
        };
        way.parts.push_back(Part {
            written: now,
            arrives,
            bytes: Bytes::copy_from_slice(&bytes[..n]),
        });
        way.bytes += n;
        way.wake_reader();
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.close_writes();
        Poll::Ready(Ok(()))
    }
}

impl End {
    fn close_writes(&self) {
        let way = &mut *self.writes.borrow_mut();
        if way.ends.is_none() {
            let passage =
                self.ether
                    .lines
                    .borrow_mut()
                    .send(self.ether.clock.now(), way.from, way.to, 0);
            way.ends = Some(match passage {
                Delivery::Arrives(at) => Some(at.max(way.last)),
                Delivery::Held => None,
            });
            way.wake_reader();
        }
    }
}

impl Drop for End {
    fn drop(&mut self) {
        self.close_writes();
        let way = &mut *self.reads.borrow_mut();
        let now = self.ether.clock.now();
        // Behind a cut the writer fills the window and hears nothing: its own patience must end it.
        if let Delivery::Arrives(at) = self.ether.lines.borrow_mut().send(now, way.to, way.from, 0)
        {
            way.refused = Some(at);
            way.wake_writer();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    fn ether(line: Link) -> SimulatedNetwork {
        SimulatedNetwork::new(
            Clock::start(),
            Links::new(line, 0.0, 1),
            EventLoopClock::default(),
        )
    }

    async fn pair(e: &SimulatedNetwork) -> (Stream, Stream) {
        let at = Address::Memory("there".into());
        let (here, there) = (e.host("here"), e.host("there"));
        let (mut door, _) = there.listen(&at).await.unwrap();
        let stream = here.dial(&at).await.unwrap();
        (stream, door.accept().await.unwrap())
    }

    #[tokio::test(start_paused = true)]
    async fn bytes_take_their_time_and_keep_their_order() {
        let e = ether(Link {
            delay: 50,
            jitter: 70,
        });
        let (mut a, mut b) = pair(&e).await;
        let began = e.clock.now();
        for n in 0..100u8 {
            a.write_all(&[n]).await.unwrap();
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        drop(a);
        let mut read = Vec::new();
        b.read_to_end(&mut read).await.unwrap();
        assert_eq!(read, (0..100).collect::<Vec<u8>>());
        assert!(
            (1_040..=1_140).contains(&(e.clock.now() - began)),
            "{}",
            e.clock.now() - began
        );
    }

    #[tokio::test(start_paused = true)]
    async fn a_cut_one_way_holds_what_is_written_until_it_heals() {
        let e = ether(Link {
            delay: 10,
            jitter: 0,
        });
        let (mut a, mut b) = pair(&e).await;
        e.cut("here", "there");
        a.write_all(b"held").await.unwrap();
        b.write_all(b"passes").await.unwrap();
        let mut six = [0; 6];
        a.read_exact(&mut six).await.unwrap();
        let mut four = [0; 4];
        assert!(
            tokio::time::timeout(Duration::from_secs(9), b.read_exact(&mut four))
                .await
                .is_err()
        );
        e.heal("here", "there");
        b.read_exact(&mut four).await.unwrap();
        assert_eq!((&six, &four), (b"passes", b"held"));
    }

    #[tokio::test(start_paused = true)]
    async fn an_end_that_is_dropped_behind_a_cut_is_heard_of_after_it() {
        let e = ether(Link::default());
        let (a, mut b) = pair(&e).await;
        e.cut("here", "there");
        drop(a);
        let mut one = [0; 1];
        assert!(
            tokio::time::timeout(Duration::from_secs(5), b.read(&mut one))
                .await
                .is_err()
        );
        assert!(
            b.write_all(b"into the void").await.is_ok(),
            "nobody has said that it is gone"
        );
        e.heal("here", "there");
        assert_eq!(b.read(&mut one).await.unwrap(), 0);
    }

    #[tokio::test(start_paused = true)]
    async fn a_stuck_reader_fills_the_window_and_its_end_frees_the_writer() {
        let e = ether(Link {
            delay: 20,
            jitter: 0,
        });
        let (mut a, b) = pair(&e).await;
        let mut sent = 0;
        while let Ok(n) = tokio::time::timeout(Duration::from_secs(1), a.write(&[7; 10_000])).await
        {
            sent += n.unwrap();
        }
        assert_eq!(sent, WINDOW);
        let writing = async { a.write_all(&[7; 10]).await };
        let (done, ()) = tokio::join!(writing, async { drop(b) });
        assert_eq!(done.unwrap_err().kind(), io::ErrorKind::BrokenPipe);
    }

    #[tokio::test(start_paused = true)]
    async fn dials_wait_for_a_cut_to_heal_and_give_up_when_it_does_not() {
        let e = ether(Link::default());
        let at = Address::Memory("there".into());
        let (here, there) = (e.host("here"), e.host("there"));
        let _door = there.listen(&at).await.unwrap();
        e.cut("there", "here");
        let began = Instant::now();
        let refused = here.dial(&at).await.err().unwrap();
        assert_eq!(
            (refused.kind(), began.elapsed()),
            (io::ErrorKind::TimedOut, DIAL_PATIENCE)
        );
        let (dialled, ()) = tokio::join!(here.dial(&at), async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            e.heal("there", "here");
        });
        assert!(dialled.is_ok());
    }

    #[tokio::test(start_paused = true)]
    async fn what_is_held_still_goes_on_where_it_was() {
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
