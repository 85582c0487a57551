//! Streams between two named processes go through here: late, held back, or cut off, each way for itself.

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

/// One way of a wire. What is held when it heals goes on in its order: nothing is lost within a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Way {
    pub cut: bool,
    pub delay_ms: u64,
    pub jitter_ms: u64,
}

/// All streams that one process dials to another.
pub struct Wire {
    pub from: String,
    pub to: String,
    forth: watch::Sender<Way>,
    back: watch::Sender<Way>,
    resets: Notify,
}

/// Bytes under way on one stream, one way, by parts.
const PARTS_MOST: usize = 64;

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

    /// Where `from` has to dial to reach what listens at `real`, which belongs to `to`.
    pub fn lay(self: &Rc<Self>, from: &str, to: &str, real: &Path) -> io::Result<PathBuf> {
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
                forth: watch::channel(Way::default()).0,
                back: watch::channel(Way::default()).0,
                resets: Notify::new(),
            })
        });
        let (this, wire, real) = (self.clone(), wire.clone(), real.to_owned());
        self.tasks.borrow_mut().spawn_local(async move {
            let mut streams = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                streams.spawn_local(carry(this.clone(), wire.clone(), stream, real.clone()));
                while streams.try_join_next().is_some() {}
            }
        });
        Ok(at)
    }

    /// Changes ways from `from` to `to`, and back where `both`. Either may be empty: all.
    pub fn change(&self, from: &[String], to: &[String], both: bool, change: impl Fn(&mut Way)) {
        let is = |all: &[String], one: &String| all.is_empty() || all.contains(one);
        for wire in self.all.borrow().values() {
            if is(from, &wire.from) && is(to, &wire.to) {
                wire.forth.send_modify(&change);
                if both {
                    wire.back.send_modify(&change);
                }
            }
            if is(from, &wire.to) && is(to, &wire.from) {
                wire.back.send_modify(&change);
                if both {
                    wire.forth.send_modify(&change);
                }
            }
        }
    }

    /// Every stream of these is closed, whoever dialled.
    pub fn reset(&self, of: &[String]) {
        for wire in self.all.borrow().values() {
            if of.is_empty() || of.contains(&wire.from) || of.contains(&wire.to) {
                wire.resets.notify_waiters();
            }
        }
    }

    pub fn carried_bytes(&self) -> u64 {
        self.carried.get()
    }
}

async fn passes(way: &mut watch::Receiver<Way>) {
    // The sender is the wire's, and the wire outlives its streams.
    let _ = way.wait_for(|w| !w.cut).await;
}

async fn carry(wires: Rc<Wires>, wire: Rc<Wire>, near: UnixStream, real: PathBuf) {
    // A dial through a cut hangs, as one into a silent network does.
    passes(&mut wire.forth.subscribe()).await;
    passes(&mut wire.back.subscribe()).await;
    let Ok(far) = UnixStream::connect(&real).await else {
        return;
    };
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    tokio::select! {
        biased;
        () = wire.resets.notified() => {}
        () = async {
            tokio::join!(
                one_way(&wires, near_in, far_out, wire.forth.subscribe()),
                one_way(&wires, far_in, near_out, wire.back.subscribe()),
            );
        } => {}
    }
}

async fn one_way(
    wires: &Rc<Wires>,
    mut input: tokio::net::unix::OwnedReadHalf,
    mut output: tokio::net::unix::OwnedWriteHalf,
    mut way: watch::Receiver<Way>,
) {
    let (to, mut parts) = mpsc::channel::<(u64, Vec<u8>)>(PARTS_MOST);
    let looks = way.clone();
    let reading = async move {
        let mut last = 0;
        loop {
            let mut part = vec![0; 64 << 10];
            let Ok(n @ 1..) = input.read(&mut part).await else {
                return;
            };
            part.truncate(n);
            let late = *looks.borrow();
            let jitter = match late.jitter_ms {
                0 => 0,
                most => wires.rng.borrow_mut().u64(..=most),
            };
            // Nothing overtakes on a stream.
            last = (now_ns() + (late.delay_ms + jitter) * 1_000_000).max(last);
            wires.carried.set(wires.carried.get() + n as u64);
            if to.send((last, part)).await.is_err() {
                return;
            }
        }
    };
    let writing = async move {
        while let Some((due, part)) = parts.recv().await {
            let wait = due.saturating_sub(now_ns());
            if wait > 0 {
                tokio::time::sleep(Duration::from_nanos(wait)).await;
            }
            passes(&mut way).await;
            if output.write_all(&part).await.is_err() {
                return;
            }
        }
        // The end of a stream does not pass a cut either.
        passes(&mut way).await;
    };
    tokio::join!(reading, writing);
}
