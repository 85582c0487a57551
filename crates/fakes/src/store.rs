//! A fake model store: slows down under concurrent fetches and rejects fetches beyond a limit.

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

/// Number of concurrent fetches up to which each runs at full speed; beyond, all slow down.
const FULL_SPEED_FETCHES: f64 = 6.0;
const RETRY_AFTER: Ticks = 200 * MILLISECOND;

/// The fake model store.
pub struct ModelStore {
    pub max_in_flight: Cell<usize>,
    /// Factor by which fetches are slowed down; 1 is normal.
    pub slowness: Cell<f64>,
    in_flight: Cell<usize>,
    clock: Clock,
    record: Record,
    tasks: RefCell<Vec<tokio::task::JoinHandle<()>>>,
}

impl ModelStore {
    /// Listens and serves on the `LocalSet` it is called on; returns the address.
    pub async fn open(
        network: Rc<dyn Network>,
        clock: Clock,
        record: Record,
        at: &Address,
        limit: usize,
    ) -> std::io::Result<(Rc<Self>, Address)> {
        let (mut listener, address) = network.listen(at).await?;
        let store = Rc::new(Self {
            max_in_flight: Cell::new(limit),
            slowness: Cell::new(1.0),
            in_flight: Cell::new(0),
            clock,
            record,
            tasks: RefCell::default(),
        });
        let this = store.clone();
        let task = tokio::task::spawn_local(async move {
            while let Ok(stream) = listener.accept().await {
                tokio::task::spawn_local(this.clone().serve_connection(stream));
            }
        });
        store.tasks.borrow_mut().push(task);
        Ok((store, address))
    }

    async fn serve_connection(self: Rc<Self>, mut stream: Stream) {
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
            let refused = self.in_flight.get() >= self.max_in_flight.get();
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
                    come_back_tenths: RETRY_AFTER,
                })
            } else {
                self.in_flight.set(self.in_flight.get() + 1);
                let _guard = InFlightGuard(&self.in_flight);
                let mut remaining = fetch.usual_tenths as f64;
                while remaining > 0.0 {
                    let step = 100.0f64.min(remaining.max(10.0));
                    let began = self.clock.now();
                    tokio::time::sleep(Duration::from_micros((step * 100.0) as u64)).await;
                    let slowdown = (self.in_flight.get() as f64 / FULL_SPEED_FETCHES).max(1.0);
                    // Counts elapsed time, not timer steps: timers of a real clock fire late and would make the store slower.
                    remaining -=
                        (self.clock.now() - began) as f64 / (slowdown * self.slowness.get());
                }
                encode(&wire::Fetched { function })
            };
            if stream.write_all(&answer).await.is_err() {
                return;
            }
        }
    }
}

struct InFlightGuard<'a>(&'a Cell<usize>);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
