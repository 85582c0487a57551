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
    socket: PathBuf,
    connection: RefCell<Option<OwnedWriteHalf>>,
    shutting_down: Cell<bool>,
}

/// Invocations in flight: the send time and the controller, by request id.
type InFlight = Rc<RefCell<BTreeMap<u64, (u64, u32)>>>;

/// The load of a trial: the same invocation at a constant rate.
pub struct Load {
    /// The number and the client socket of each controller.
    pub endpoints: Vec<(u32, PathBuf)>,
    pub per_second: f64,
    /// The parameters of each invocation.
    pub call: Json,
    /// Time after which an invocation without a response is lost.
    pub timeout_ms: u64,
    /// The record that the outcomes are appended to.
    pub lines: Rc<RefCell<Vec<Line>>>,
}

impl Load {
    /// Sends invocations until `steps_done` is set, then waits for the responses in flight.
    pub async fn run(self, steps_done: Rc<Cell<bool>>) {
        let endpoints: Vec<Rc<Endpoint>> = self
            .endpoints
            .iter()
            .map(|(controller, socket)| {
                let (controller, socket) = (*controller, socket.clone());
                Rc::new(Endpoint {
                    controller,
                    socket,
                    connection: RefCell::default(),
                    shutting_down: Cell::new(false),
                })
            })
            .collect();
        let in_flight = InFlight::default();
        let (mut request_id, interval) = (0u64, Duration::from_secs_f64(1.0 / self.per_second));
        let mut timer = tokio::time::interval(interval);
        let mut readers = tokio::task::JoinSet::new();
        while !steps_done.get() {
            timer.tick().await;
            request_id += 1;
            // A controller that is shutting down or unreachable is skipped and tried again at its next turn.
            for turn in 0..endpoints.len() as u64 {
                let endpoint = &endpoints[((request_id + turn) % endpoints.len() as u64) as usize];
                if endpoint.connection.borrow().is_none() {
                    let Ok(stream) = UnixStream::connect(&endpoint.socket).await else {
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
                let request = json!({"jsonrpc": "2.0", "id": request_id, "method": "invoke", "params": self.call});
                let Some(mut output) = endpoint.connection.borrow_mut().take() else {
                    continue;
                };
                in_flight
                    .borrow_mut()
                    .insert(request_id, (now_ns(), endpoint.controller));
                let sent = output.write_all(format!("{request}\n").as_bytes()).await;
                if sent.is_ok() {
                    *endpoint.connection.borrow_mut() = Some(output);
                    break;
                }
                // The request was not written completely, so the controller did not read it.
                in_flight.borrow_mut().remove(&request_id);
            }
            self.record_lost(&in_flight);
        }
        let deadline_ns = now_ns() + self.timeout_ms * 1_000_000 + 500_000_000;
        while !in_flight.borrow().is_empty() && now_ns() < deadline_ns {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.record_lost(&in_flight);
    }

    /// Records invocations that had no response in time as lost.
    fn record_lost(&self, in_flight: &InFlight) {
        let now = now_ns();
        let timed_out = |sent_ns: u64| now > sent_ns + self.timeout_ms * 1_000_000 + 400_000_000;
        in_flight.borrow_mut().retain(|_, (sent_ns, controller)| {
            if timed_out(*sent_ns) {
                let line = Line::Invoked {
                    sent_ns: *sent_ns,
                    at_ns: now,
                    controller: *controller,
                    how: How::Lost,
                };
                self.lines.borrow_mut().push(line);
            }
            !timed_out(*sent_ns)
        });
    }
}

/// Records the responses of one connection until it closes, then its invocations in flight as lost.
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
    in_flight.borrow_mut().retain(|_, (sent_ns, sent_to)| {
        if *sent_to == controller {
            lines.borrow_mut().push(Line::Invoked {
                sent_ns: *sent_ns,
                at_ns: now_ns(),
                controller,
                how: How::Lost,
            });
        }
        *sent_to != controller
    });
}
