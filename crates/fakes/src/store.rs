//! The model store: slower when many fetch at once, and refusing beyond a limit.

use crate::record::{Line, Record};
use bytes::BytesMut;
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_protocol::frame::{encode, take_frame};
use saltdrum_protocol::store as wire;
use saltdrum_transport::{Address, Clock, Network, Stream};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Fetches at full pace; beyond, all slow down.
const FULL_PACE: f64 = 6.0;
const COME_BACK: Ticks = 200 * MILLISECOND;

pub struct ModelStore {
    pub max_in_flight: Cell<usize>,
    /// How many times slower than usual.
    pub slowness: Cell<f64>,
    in_hand: Cell<usize>,
    clock: Clock,
    record: Record,
    tasks: RefCell<Vec<tokio::task::JoinHandle<()>>>,
}

impl ModelStore {
    /// Listens and serves on the `LocalSet` it is called on; gives where.
    pub async fn open(
        network: Rc<dyn Network>,
        clock: Clock,
        record: Record,
        at: &Address,
        limit: usize,
    ) -> std::io::Result<(Rc<Self>, Address)> {
        let (mut door, address) = network.listen(at).await?;
        let store = Rc::new(Self {
            max_in_flight: Cell::new(limit),
            slowness: Cell::new(1.0),
            in_hand: Cell::new(0),
            clock,
            record,
            tasks: RefCell::default(),
        });
        let this = store.clone();
        let task = tokio::task::spawn_local(async move {
            while let Ok(stream) = door.accept().await {
                tokio::task::spawn_local(this.clone().attend(stream));
            }
        });
        store.tasks.borrow_mut().push(task);
        Ok((store, address))
    }

    async fn attend(self: Rc<Self>, mut stream: Stream) {
        let mut read = BytesMut::new();
        loop {
            let fetch = match take_frame(&mut read) {
                Ok(Some((kind, body))) => wire::ToStore::read(kind, &body),
                Ok(None) => match stream.read_buf(&mut read).await {
                    Ok(n) if n > 0 => continue,
                    _ => return,
                },
                Err(_) => return,
            };
            let Ok(wire::ToStore::Fetch(fetch)) = fetch else {
                return;
            };
            let refused = self.in_hand.get() >= self.max_in_flight.get();
            let (at, invoker, function) = (self.clock.now(), fetch.invoker, fetch.function);
            self.record.note(Line::FetchRequested {
                at,
                invoker,
                function,
                refused,
            });
            let answer = if refused {
                encode(&wire::Refused {
                    function,
                    come_back_tenths: COME_BACK,
                })
            } else {
                self.in_hand.set(self.in_hand.get() + 1);
                let _held = InHand(&self.in_hand);
                let mut left = fetch.usual_tenths as f64;
                while left > 0.0 {
                    let step = 100.0f64.min(left.max(10.0));
                    let began = self.clock.now();
                    tokio::time::sleep(Duration::from_micros((step * 100.0) as u64)).await;
                    let crowd = (self.in_hand.get() as f64 / FULL_PACE).max(1.0);
                    // Timers of a real clock are late; counted by its steps the store would be slower there.
                    left -= (self.clock.now() - began) as f64 / (crowd * self.slowness.get());
                }
                encode(&wire::Fetched { function })
            };
            if stream.write_all(&answer).await.is_err() {
                return;
            }
        }
    }
}

struct InHand<'a>(&'a Cell<usize>);

impl Drop for InHand<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
