//! A controller that breaks rules on purpose, one at a time, and a cache that never looks at a digest. They share no code
//! with the real ones or the checker.

mod careless;
pub mod leases;

pub use careless::fetch_model_unverified;

use bytes::{Bytes, BytesMut};
use saltdrum_controller::ControllerConfig;
use saltdrum_protocol::frame::{encode, take_frame};
use saltdrum_protocol::invoker as wire;
use saltdrum_protocol::{list, rpc};
use saltdrum_transport::{Clock, Network, SendQueue, split};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// What it does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    AnswersTwice,
    AnswersNotAll,
    AnswersLate,
    RunsTwice,
    ThrottlesWhatRan,
    TwoOut,
    IgnoresDrains,
    FloodsColdOnes,
    LoadsAtWill,
}

/// Faults by the names they go by on a command line.
pub const FAULTS: &[(&str, Fault)] = &[
    ("answers-twice", Fault::AnswersTwice),
    ("answers-not-all", Fault::AnswersNotAll),
    ("answers-late", Fault::AnswersLate),
    ("runs-twice", Fault::RunsTwice),
    ("throttles-what-ran", Fault::ThrottlesWhatRan),
    ("two-out", Fault::TwoOut),
    ("ignores-drains", Fault::IgnoresDrains),
    ("floods-cold-ones", Fault::FloodsColdOnes),
    ("loads-at-will", Fault::LoadsAtWill),
];

type Running = Pin<Box<dyn Future<Output = io::Result<()>>>>;
type Then = Box<dyn FnOnce(wire::Answer)>;

struct Rogue {
    fault: Fault,
    seat: ControllerConfig,
    network: Rc<dyn Network>,
    clock: Clock,
    entries: RefCell<BTreeMap<u32, list::Entry>>,
    links: RefCell<BTreeMap<u32, SendQueue>>,
    then: RefCell<BTreeMap<(u32, u64), Then>>,
    rng: RefCell<fastrand::Rng>,
    last: RefCell<u64>,
}

/// Runs in a seat as the real one does.
pub fn run_faulty_controller(
    fault: Fault,
    seat: ControllerConfig,
    network: Rc<dyn Network>,
    clock: Clock,
) -> Running {
    let rng = RefCell::new(fastrand::Rng::with_seed(seat.seed));
    let (entries, links, then, last) = Default::default();
    let rogue = Rc::new(Rogue {
        fault,
        seat,
        network,
        clock,
        entries,
        links,
        then,
        rng,
        last,
    });
    Box::pin(async move { tokio::task::LocalSet::new().run_until(rogue.run()).await })
}

impl Rogue {
    async fn run(self: Rc<Self>) -> io::Result<()> {
        let (mut door, _) = self.network.listen(&self.seat.client_addresses[0]).await?;
        let following = self.clone();
        tokio::task::spawn_local(async move { following.follow().await });
        loop {
            let (input, mut output) = split(door.accept().await?);
            let (this, outbox, clock) = (self.clone(), SendQueue::new(1 << 30), self.clock);
            let out = outbox.clone();
            tokio::task::spawn_local(async move {
                out.write_to(&mut output, || clock.now(), |_| ()).await
            });
            tokio::task::spawn_local(async move { this.listen(input, outbox).await });
        }
    }

    async fn follow(self: Rc<Self>) {
        let (controller, incarnation) = (self.seat.controller, self.seat.incarnation);
        let mut stream = self
            .network
            .dial(&self.seat.endpoint_lists[0])
            .await
            .unwrap();
        stream
            .write_all(&encode(&list::Follow {
                version: 1,
                controller,
                incarnation,
            }))
            .await
            .unwrap();
        let mut read = BytesMut::new();
        loop {
            while let Some((kind, body)) = take_frame(&mut read).unwrap() {
                let entries = match list::FromList::read(kind, &body).unwrap() {
                    list::FromList::Whole(w) => w.entries,
                    list::FromList::Change(c) => c.entries,
                };
                for e in entries {
                    let known = self
                        .entries
                        .borrow()
                        .get(&e.invoker)
                        .is_some_and(|k| k.incarnation == e.incarnation);
                    self.entries.borrow_mut().insert(e.invoker, e.clone());
                    if !known && e.life == list::Life::Ready {
                        let this = self.clone();
                        tokio::task::spawn_local(async move { this.link(e).await });
                    }
                }
            }
            if !matches!(stream.read_buf(&mut read).await, Ok(1..)) {
                return;
            }
        }
    }

    async fn link(self: Rc<Self>, entry: list::Entry) {
        let Ok(mut stream) = self.network.dial(&entry.address.parse().unwrap()).await else {
            return;
        };
        let (controller, incarnation, invoker) =
            (self.seat.controller, self.seat.incarnation, entry.invoker);
        let hello = wire::Hello {
            version_least: 1,
            version_most: 1,
            controller,
            incarnation,
            invoker,
        };
        if stream.write_all(&encode(&hello)).await.is_err() {
            return;
        }
        let (mut input, mut output) = split(stream);
        let (outbox, clock) = (SendQueue::new(1 << 30), self.clock);
        self.links.borrow_mut().insert(invoker, outbox.clone());
        tokio::task::spawn_local(async move {
            outbox.write_to(&mut output, || clock.now(), |_| ()).await
        });
        let mut read = BytesMut::new();
        while let Ok(1..) = input.read_buf(&mut read).await {
            while let Some((kind, body)) = take_frame(&mut read).unwrap() {
                if let Ok(wire::FromInvoker::Answer(a)) = wire::FromInvoker::read(kind, &body) {
                    let then = self.then.borrow_mut().remove(&(invoker, a.dispatch));
                    then.into_iter().for_each(|then| then(a.clone()));
                }
            }
        }
    }

    async fn listen(self: Rc<Self>, mut input: saltdrum_transport::StreamHalf, to: SendQueue) {
        let mut read = BytesMut::new();
        while let Ok(1..) = input.read_buf(&mut read).await {
            while let Some(end) = read.iter().position(|b| *b == b'\n') {
                let line = read.split_to(end + 1);
                if let Ok(rpc::Line::Single(Ok(call))) = rpc::parse_line(line.trim_ascii()) {
                    let invoke = serde_json::from_str(call.params.unwrap().get()).unwrap();
                    self.take(invoke, call.id.unwrap(), to.clone());
                }
            }
        }
    }

    /// None: nobody is there.
    fn pick(&self, not: Option<u32>) -> Option<u32> {
        let entries = self.entries.borrow();
        let ready =
            |e: &&list::Entry| e.life == list::Life::Ready || self.fault == Fault::IgnoresDrains;
        let able: Vec<&list::Entry> = entries
            .values()
            .filter(ready)
            .filter(|e| Some(e.invoker) != not)
            .collect();
        match self.fault {
            Fault::FloodsColdOnes => able.iter().max_by_key(|e| e.incarnation).map(|e| e.invoker),
            _ if able.is_empty() => None,
            _ => Some(able[self.rng.borrow_mut().usize(..able.len())].invoker),
        }
    }

    fn dispatch(&self, invoker: u32, inv: u32, hop: u8, call: &rpc::Invoke, then: Then) {
        *self.last.borrow_mut() += 1;
        let dispatch = *self.last.borrow();
        let function = &self.seat.terms.functions[&call.function];
        let frame = wire::Dispatch {
            dispatch,
            invocation: inv,
            hop,
            function: function.id,
            name: call.function.clone(),
            tenant: call.tenant.clone(),
            trigger: call.trigger.clone(),
            left_tenths: 40_000,
            token: call.token.clone(),
            input: call
                .input
                .as_ref()
                .unwrap()
                .get()
                .as_bytes()
                .to_vec()
                .into(),
        };
        let links = self.links.borrow();
        let Some(link) = links.get(&invoker) else {
            return;
        };
        self.then.borrow_mut().insert((invoker, dispatch), then);
        if self.fault == Fault::LoadsAtWill {
            let order = dispatch + 1_000_000;
            let hold = wire::Hold {
                order,
                function: function.id,
                name: call.function.clone(),
                count: 1,
            };
            link.push(encode(&hold), u64::MAX);
        }
        link.push(encode(&frame), u64::MAX);
    }

    fn take(self: &Rc<Self>, call: rpc::Invoke, id: rpc::Id, to: SendQueue) {
        let inv = *self.last.borrow() as u32 + 1;
        let Some(first) = self.pick(None) else {
            to.push(
                Bytes::from(rpc::format_error(&id, rpc::THROTTLED, "throttled", None) + "\n"),
                u64::MAX,
            );
            return;
        };
        let second = self.pick(Some(first)).unwrap_or(first);
        let (this, again) = (self.clone(), call.clone());
        let answer = move |text: String, wait_ms: u64| {
            let to = to.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(std::time::Duration::from_millis(wait_ms)).await;
                to.push(Bytes::from(text + "\n"), u64::MAX);
            });
        };
        let then: Then = Box::new(move |a| {
            let text = match a.ended {
                _ if this.fault == Fault::ThrottlesWhatRan => {
                    rpc::format_error(&id, rpc::THROTTLED, "throttled", None)
                }
                wire::Ended::Succeeded => rpc::format_result(&id, "null"),
                wire::Ended::Full | wire::Ended::Miss => {
                    rpc::format_error(&id, rpc::THROTTLED, "throttled", None)
                }
                _ => rpc::format_error(&id, rpc::ERRORED, "errored", None),
            };
            match this.fault {
                Fault::AnswersTwice => {
                    answer(text.clone(), 0);
                    answer(text, 1);
                }
                Fault::AnswersNotAll if inv.is_multiple_of(40) => {}
                Fault::AnswersLate if inv.is_multiple_of(40) => answer(text, 5_000),
                Fault::RunsTwice => {
                    this.dispatch(second, inv, 1, &again, Box::new(move |_| answer(text, 0)))
                }
                _ => answer(text, 0),
            }
        });
        self.dispatch(first, inv, 0, &call, then);
        if self.fault == Fault::TwoOut {
            self.dispatch(second, inv, 1, &call, Box::new(|_| ()));
        }
    }
}
