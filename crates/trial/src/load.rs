//! Invokes while a trial goes on, one after another at even spans, and goes elsewhere when a controller says that it goes.

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

/// One controller, as clients meet it.
struct Door {
    controller: u32,
    at: PathBuf,
    line: RefCell<Option<OwnedWriteHalf>>,
    going: Cell<bool>,
}

type Open = Rc<RefCell<BTreeMap<u64, (u64, u32)>>>;

pub struct Load {
    pub doors: Vec<(u32, PathBuf)>,
    pub per_second: f64,
    pub call: Json,
    pub timeout_ms: u64,
    pub lines: Rc<RefCell<Vec<Line>>>,
}

impl Load {
    pub async fn run(self, over: Rc<Cell<bool>>) {
        let doors: Vec<Rc<Door>> = self
            .doors
            .iter()
            .map(|(controller, at)| {
                let (controller, at) = (*controller, at.clone());
                Rc::new(Door {
                    controller,
                    at,
                    line: RefCell::default(),
                    going: Cell::new(false),
                })
            })
            .collect();
        let open = Open::default();
        let (mut n, span) = (0u64, Duration::from_secs_f64(1.0 / self.per_second));
        let mut due = tokio::time::interval(span);
        let mut readers = tokio::task::JoinSet::new();
        while !over.get() {
            due.tick().await;
            n += 1;
            // One that goes, or is not there, is passed over; it is tried again at its next turn.
            for turn in 0..doors.len() as u64 {
                let door = &doors[((n + turn) % doors.len() as u64) as usize];
                if door.line.borrow().is_none() {
                    let Ok(stream) = UnixStream::connect(&door.at).await else {
                        continue;
                    };
                    let (input, output) = stream.into_split();
                    *door.line.borrow_mut() = Some(output);
                    door.going.set(false);
                    readers.spawn_local(read(
                        door.clone(),
                        input,
                        open.clone(),
                        self.lines.clone(),
                    ));
                }
                if door.going.get() {
                    continue;
                }
                let text =
                    json!({"jsonrpc": "2.0", "id": n, "method": "invoke", "params": self.call});
                let Some(mut line) = door.line.borrow_mut().take() else {
                    continue;
                };
                open.borrow_mut().insert(n, (now_ns(), door.controller));
                let sent = line.write_all(format!("{text}\n").as_bytes()).await;
                if sent.is_ok() {
                    *door.line.borrow_mut() = Some(line);
                    break;
                }
                // Not written whole: it was never read.
                open.borrow_mut().remove(&n);
            }
            self.late(&open);
        }
        let until = now_ns() + self.timeout_ms * 1_000_000 + 500_000_000;
        while !open.borrow().is_empty() && now_ns() < until {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.late(&open);
    }

    fn late(&self, open: &Open) {
        let now = now_ns();
        let gone = |sent: u64| now > sent + self.timeout_ms * 1_000_000 + 400_000_000;
        open.borrow_mut().retain(|_, (sent, controller)| {
            if gone(*sent) {
                let line = Line::Invoked {
                    sent_ns: *sent,
                    at_ns: now,
                    controller: *controller,
                    how: How::Lost,
                };
                self.lines.borrow_mut().push(line);
            }
            !gone(*sent)
        });
    }
}

async fn read(
    door: Rc<Door>,
    input: tokio::net::unix::OwnedReadHalf,
    open: Open,
    lines: Rc<RefCell<Vec<Line>>>,
) {
    let mut said = BufReader::new(input).lines();
    while let Ok(Some(text)) = said.next_line().await {
        let Ok(reply) = serde_json::from_str::<Json>(&text) else {
            continue;
        };
        if reply["method"] == "going" {
            door.going.set(true);
            continue;
        }
        let Some((sent_ns, controller)) = reply["id"]
            .as_u64()
            .and_then(|id| open.borrow_mut().remove(&id))
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
    // What was open on this line is answered no more.
    *door.line.borrow_mut() = None;
    let controller = door.controller;
    open.borrow_mut().retain(|_, (sent_ns, of)| {
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
