//! Sends invocations at a constant rate during a trial and switches to another controller when one announces its shutdown.

use crate::record::{How, Line, now_ns};
use serde_json::{Value as Json, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::net::unix::OwnedWriteHalf;

/// The client endpoint of one controller.
struct Endpoint {
    controller: u32,
    at: PathBuf,
    connection: RefCell<Option<OwnedWriteHalf>>,
    shutting_down: Cell<bool>,
}

/// Invocations in flight: the send time and the controller, by request id.
type InFlight = Rc<RefCell<BTreeMap<u64, (u64, u32)>>>;

/// The load of a trial: the same invocation at a constant rate.
pub struct Load {
    pub endpoints: Vec<(u32, PathBuf)>,
    pub per_second: f64,
    pub call: Json,
    pub timeout_ms: u64,
    pub lines: Rc<RefCell<Vec<Line>>>,
}

impl Load {
    /// Sends invocations until `over` is set, then waits for the responses in flight.
    pub async fn run(self, over: Rc<Cell<bool>>) {
        let endpoints: Vec<Rc<Endpoint>> = self
            .endpoints
            .iter()
            .map(|(controller, at)| {
                let (controller, at) = (*controller, at.clone());
                Rc::new(Endpoint {
                    controller,
                    at,
                    connection: RefCell::default(),
                    shutting_down: Cell::new(false),
                })
            })
            .collect();
        let in_flight = InFlight::default();
        let (mut n, span) = (0u64, Duration::from_secs_f64(1.0 / self.per_second));
        let mut due = tokio::time::interval(span);
        let mut readers = tokio::task::JoinSet::new();
        while !over.get() {
            due.tick().await;
            n += 1;
            // A controller that is shutting down or unreachable is skipped and tried again at its next turn.
            for turn in 0..endpoints.len() as u64 {
                let endpoint = &endpoints[((n + turn) % endpoints.len() as u64) as usize];
                if endpoint.connection.borrow().is_none() {
                    let Ok(stream) = UnixStream::connect(&endpoint.at).await else {
                        continue;
                    };
                    let (input, output) = stream.into_split();
                    *endpoint.connection.borrow_mut() = Some(output);
                    endpoint.shutting_down.set(false);
                    readers.spawn_local(read_responses(
                        endpoint.clone(),
                        input,
                        in_flight.clone(),
                        self.lines.clone(),
                    ));
                }
                if endpoint.shutting_down.get() {
                    continue;
                }
                let text =
                    json!({"jsonrpc": "2.0", "id": n, "method": "invoke", "params": self.call});
                let Some(mut line) = endpoint.connection.borrow_mut().take() else {
                    continue;
                };
                in_flight
                    .borrow_mut()
                    .insert(n, (now_ns(), endpoint.controller));
                let sent = line.write_all(format!("{text}\n").as_bytes()).await;
                if sent.is_ok() {
                    *endpoint.connection.borrow_mut() = Some(line);
                    break;
                }
                // The request was not written completely, so the controller did not read it.
                in_flight.borrow_mut().remove(&n);
            }
            self.record_lost(&in_flight);
        }
        let until = now_ns() + self.timeout_ms * 1_000_000 + 500_000_000;
        while !in_flight.borrow().is_empty() && now_ns() < until {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.record_lost(&in_flight);
    }

    /// Records invocations without a response in time as lost.
    fn record_lost(&self, in_flight: &InFlight) {
        let now = now_ns();
        let timed_out = |sent: u64| now > sent + self.timeout_ms * 1_000_000 + 400_000_000;
        in_flight.borrow_mut().retain(|_, (sent, controller)| {
            if timed_out(*sent) {
                let line = Line::Invoked {
                    sent_ns: *sent,
                    at_ns: now,
                    controller: *controller,
                    how: How::Lost,
                };
                self.lines.borrow_mut().push(line);
            }
            !timed_out(*sent)
        });
    }
}

async fn read_responses(
    endpoint: Rc<Endpoint>,
    input: tokio::net::unix::OwnedReadHalf,
    in_flight: InFlight,
    lines: Rc<RefCell<Vec<Line>>>,
) {
    let mut responses = BufReader::new(input).lines();
    while let Ok(Some(text)) = responses.next_line().await {
        let Ok(reply) = serde_json::from_str::<Json>(&text) else {
            continue;
        };
        if reply["method"] == "going" {
            endpoint.shutting_down.set(true);
            continue;
        }
        let Some((sent_ns, controller)) = reply["id"]
            .as_u64()
            .and_then(|id| in_flight.borrow_mut().remove(&id))
        else {
            continue;
        };
        let how = match reply["error"]["code"].as_i64() {
            None => How::Succeeded,
            Some(-32_001) => How::Throttled,
            Some(_) => How::Errored,
        };
        lines.borrow_mut().push(Line::Invoked {
            sent_ns,
            at_ns: now_ns(),
            controller,
            how,
        });
    }
    // The invocations in flight on this connection will not be answered.
    *endpoint.connection.borrow_mut() = None;
    let controller = endpoint.controller;
    in_flight.borrow_mut().retain(|_, (sent_ns, of)| {
        if *of == controller {
            lines.borrow_mut().push(Line::Invoked {
                sent_ns: *sent_ns,
                at_ns: now_ns(),
                controller,
                how: How::Lost,
            });
        }
        *of != controller
    });
}
