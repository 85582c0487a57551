//! Proxies for the streams between two named processes, which delay or cut each direction independently.

use crate::record::now_ns;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{Notify, mpsc, watch};

/// The state of one direction of a wire. Bytes that are received during a cut are buffered and forwarded in order after
/// it heals, so a stream loses nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Way {
    pub cut: bool,
    pub delay_ms: u64,
    pub jitter_ms: u64,
}

/// All streams that one process opens to another.
pub struct Wire {
    pub from: String,
    pub to: String,
    /// State of the direction from `from` to `to`.
    forward: watch::Sender<Way>,
    /// State of the direction from `to` to `from`.
    backward: watch::Sender<Way>,
    /// Closes the streams that are open when it is notified.
    resets: Notify,
}

/// Maximum number of chunks in flight in one direction of a stream.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;

/// All wires of a trial, with the proxies that forward their streams.
pub struct Wires {
    folder: PathBuf,
    /// Wires by the process that opens the streams and the process that accepts them.
    wires: RefCell<BTreeMap<(String, String), Rc<Wire>>>,
    rng: RefCell<fastrand::Rng>,
    tasks: RefCell<tokio::task::JoinSet<()>>,
    forwarded_bytes: Cell<u64>,
}

impl Wires {
    /// Creates an empty set whose sockets are placed in `folder`; `seed` determines the jitter.
    pub fn new(folder: &Path, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            folder: folder.to_owned(),
            wires: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            tasks: RefCell::default(),
            forwarded_bytes: Cell::new(0),
        })
    }

    /// Opens a proxy from `from` to the socket `target` of `to` and returns the path that `from` connects to.
    pub fn open_proxy(self: &Rc<Self>, from: &str, to: &str, target: &Path) -> io::Result<PathBuf> {
        let name = target
            .file_name()
            .map(|n| n.to_string_lossy().into_owned())
            .unwrap_or_default();
        let proxy_path = self.folder.join(format!("{from}--{name}"));
        let listener = UnixListener::bind(&proxy_path)?;
        let key = (from.to_owned(), to.to_owned());
        let mut wires = self.wires.borrow_mut();
        let wire = wires.entry(key).or_insert_with(|| {
            Rc::new(Wire {
                from: from.into(),
                to: to.into(),
                forward: watch::channel(Way::default()).0,
                backward: watch::channel(Way::default()).0,
                resets: Notify::new(),
            })
        });
        let (this, wire, target) = (self.clone(), wire.clone(), target.to_owned());
        self.tasks.borrow_mut().spawn_local(async move {
            let mut streams = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                streams.spawn_local(forward_stream(
                    this.clone(),
                    wire.clone(),
                    stream,
                    target.clone(),
                ));
                while streams.try_join_next().is_some() {}
            }
        });
        Ok(proxy_path)
    }

    /// Changes the state of the direction from `from` to `to`, and the opposite one if `both`. An empty list means all processes.
    pub fn change(&self, from: &[String], to: &[String], both: bool, change: impl Fn(&mut Way)) {
        let matches = |names: &[String], name: &String| names.is_empty() || names.contains(name);
        for wire in self.wires.borrow().values() {
            if matches(from, &wire.from) && matches(to, &wire.to) {
                wire.forward.send_modify(&change);
                if both {
                    wire.backward.send_modify(&change);
                }
            }
            if matches(from, &wire.to) && matches(to, &wire.from) {
                wire.backward.send_modify(&change);
                if both {
                    wire.forward.send_modify(&change);
                }
            }
        }
    }

    /// Closes every stream of these processes, in whichever direction it was opened. An empty list means all processes.
    pub fn reset(&self, processes: &[String]) {
        for wire in self.wires.borrow().values() {
            if processes.is_empty()
                || processes.contains(&wire.from)
                || processes.contains(&wire.to)
            {
                wire.resets.notify_waiters();
            }
        }
    }

    /// Bytes forwarded so far, over all streams.
    pub fn carried_bytes(&self) -> u64 {
        self.forwarded_bytes.get()
    }
}

/// Waits until the direction is not cut.
async fn wait_until_healed(way: &mut watch::Receiver<Way>) {
    // Waiting can't fail: the sender belongs to the wire, which outlives its streams.
    let _ = way.wait_for(|w| !w.cut).await;
}

/// Connects to the target and forwards both directions of a stream until they end or the wire is reset.
async fn forward_stream(
    wires: Rc<Wires>,
    wire: Rc<Wire>,
    from_stream: UnixStream,
    target: PathBuf,
) {
    // Connecting through a cut hangs, as it does on a network that drops packets.
    wait_until_healed(&mut wire.forward.subscribe()).await;
    wait_until_healed(&mut wire.backward.subscribe()).await;
    let Ok(to_stream) = UnixStream::connect(&target).await else {
        return;
    };
    let ((from_input, from_output), (to_input, to_output)) =
        (from_stream.into_split(), to_stream.into_split());
    tokio::select! {
        biased;
        () = wire.resets.notified() => {}
        () = async {
            tokio::join!(
                forward_direction(&wires, from_input, to_output, wire.forward.subscribe()),
                forward_direction(&wires, to_input, from_output, wire.backward.subscribe()),
            );
        } => {}
    }
}

/// Forwards one direction of a stream with its delay, and holds it back during a cut.
async fn forward_direction(
    wires: &Rc<Wires>,
    mut input: tokio::net::unix::OwnedReadHalf,
    mut output: tokio::net::unix::OwnedWriteHalf,
    mut way: watch::Receiver<Way>,
) {
    let (chunk_sender, mut chunks) = mpsc::channel::<(u64, Vec<u8>)>(MAX_CHUNKS_IN_FLIGHT);
    let reader_way = way.clone();
    let reading = async move {
        let mut last_due_ns = 0;
        loop {
            let mut chunk = vec![0; 64 << 10];
            let Ok(length @ 1..) = input.read(&mut chunk).await else {
                return;
            };
            chunk.truncate(length);
            let current = *reader_way.borrow();
            let jitter_ms = match current.jitter_ms {
                0 => 0,
                max_ms => wires.rng.borrow_mut().u64(..=max_ms),
            };
            // A stream keeps its order, so no chunk is due before the previous one.
            last_due_ns = (now_ns() + (current.delay_ms + jitter_ms) * 1_000_000).max(last_due_ns);
            wires
                .forwarded_bytes
                .set(wires.forwarded_bytes.get() + length as u64);
            if chunk_sender.send((last_due_ns, chunk)).await.is_err() {
                return;
            }
        }
    };
    let writing = async move {
        while let Some((due_ns, chunk)) = chunks.recv().await {
            let wait_ns = due_ns.saturating_sub(now_ns());
            if wait_ns > 0 {
                tokio::time::sleep(Duration::from_nanos(wait_ns)).await;
            }
            wait_until_healed(&mut way).await;
            if output.write_all(&chunk).await.is_err() {
                return;
            }
        }
        // The end of a stream is forwarded only after the cut heals, too.
        wait_until_healed(&mut way).await;
    };
    tokio::join!(reading, writing);
}
