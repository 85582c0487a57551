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

/// The state of one direction. Bytes held during a cut are forwarded in order after it heals: a stream loses nothing.
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
    forward: watch::Sender<Way>,
    backward: watch::Sender<Way>,
    resets: Notify,
}

/// Maximum number of chunks in flight in one direction of a stream.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;

pub struct Wires {
    folder: PathBuf,
    all: RefCell<BTreeMap<(String, String), Rc<Wire>>>,
    rng: RefCell<fastrand::Rng>,
    tasks: RefCell<tokio::task::JoinSet<()>>,
    carried: Cell<u64>,
}

impl Wires {
    pub fn new(folder: &Path, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            folder: folder.to_owned(),
            all: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            tasks: RefCell::default(),
            carried: Cell::new(0),
        })
    }

    /// Opens a proxy from `from` to the socket `real` of `to` and returns the path that `from` connects to.
    pub fn open_proxy(self: &Rc<Self>, from: &str, to: &str, real: &Path) -> io::Result<PathBuf> {
        let name = real
            .file_name()
            .map(|n| n.to_string_lossy().into_owned())
            .unwrap_or_default();
        let at = self.folder.join(format!("{from}--{name}"));
        let listener = UnixListener::bind(&at)?;
        let key = (from.to_owned(), to.to_owned());
        let mut all = self.all.borrow_mut();
        let wire = all.entry(key).or_insert_with(|| {
            Rc::new(Wire {
                from: from.into(),
                to: to.into(),
                forward: watch::channel(Way::default()).0,
                backward: watch::channel(Way::default()).0,
                resets: Notify::new(),
            })
        });
        let (this, wire, real) = (self.clone(), wire.clone(), real.to_owned());
        self.tasks.borrow_mut().spawn_local(async move {
            let mut streams = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                streams.spawn_local(forward_stream(
                    this.clone(),
                    wire.clone(),
                    stream,
                    real.clone(),
                ));
                while streams.try_join_next().is_some() {}
            }
        });
        Ok(at)
    }

    /// Changes the direction from `from` to `to`, and the opposite one if `both`. An empty list means all processes.
    pub fn change(&self, from: &[String], to: &[String], both: bool, change: impl Fn(&mut Way)) {
        let matches = |all: &[String], one: &String| all.is_empty() || all.contains(one);
        for wire in self.all.borrow().values() {
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

    /// Closes every stream of these processes, in whichever direction it was opened.
    pub fn reset(&self, of: &[String]) {
        for wire in self.all.borrow().values() {
            if of.is_empty() || of.contains(&wire.from) || of.contains(&wire.to) {
                wire.resets.notify_waiters();
            }
        }
    }

    /// Bytes forwarded so far, over all streams.
    pub fn carried_bytes(&self) -> u64 {
        self.carried.get()
    }
}

/// Waits until the direction is not cut.
async fn wait_until_healed(way: &mut watch::Receiver<Way>) {
    // Waiting can't fail: the sender belongs to the wire, which outlives its streams.
    let _ = way.wait_for(|w| !w.cut).await;
}

async fn forward_stream(wires: Rc<Wires>, wire: Rc<Wire>, near: UnixStream, real: PathBuf) {
    // Connecting through a cut hangs, as it does on a network that drops packets.
    wait_until_healed(&mut wire.forward.subscribe()).await;
    wait_until_healed(&mut wire.backward.subscribe()).await;
    let Ok(far) = UnixStream::connect(&real).await else {
        return;
    };
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    tokio::select! {
        biased;
        () = wire.resets.notified() => {}
        () = async {
            tokio::join!(
                forward_direction(&wires, near_in, far_out, wire.forward.subscribe()),
                forward_direction(&wires, far_in, near_out, wire.backward.subscribe()),
            );
        } => {}
    }
}

async fn forward_direction(
    wires: &Rc<Wires>,
    mut input: tokio::net::unix::OwnedReadHalf,
    mut output: tokio::net::unix::OwnedWriteHalf,
    mut way: watch::Receiver<Way>,
) {
    let (chunk_sender, mut chunks) = mpsc::channel::<(u64, Vec<u8>)>(MAX_CHUNKS_IN_FLIGHT);
    let state = way.clone();
    let reading = async move {
        let mut last = 0;
        loop {
            let mut chunk = vec![0; 64 << 10];
            let Ok(n @ 1..) = input.read(&mut chunk).await else {
                return;
            };
            chunk.truncate(n);
            let current = *state.borrow();
            let jitter = match current.jitter_ms {
                0 => 0,
                most => wires.rng.borrow_mut().u64(..=most),
            };
            // A stream keeps its order, so no chunk is due before the previous one.
            last = (now_ns() + (current.delay_ms + jitter) * 1_000_000).max(last);
            wires.carried.set(wires.carried.get() + n as u64);
            if chunk_sender.send((last, chunk)).await.is_err() {
                return;
            }
        }
    };
    let writing = async move {
        while let Some((due, chunk)) = chunks.recv().await {
            let wait = due.saturating_sub(now_ns());
            if wait > 0 {
                tokio::time::sleep(Duration::from_nanos(wait)).await;
            }
            wait_until_healed(&mut way).await;
            if output.write_all(&chunk).await.is_err() {
                return;
            }
        }
        // The end of a stream is held during a cut as well.
        wait_until_healed(&mut way).await;
    };
    tokio::join!(reading, writing);
}
