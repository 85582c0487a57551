//! A controller that deliberately breaks one rule at a time, and a model fetcher that never verifies a digest. They share no
//! code with the real implementations or the checker.

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

/// Fault of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Sends each final response twice.
    AnswersTwice,
    /// Omits every 40th final response.
    AnswersNotAll,
    /// Sends every 40th final response 5 s late.
    AnswersLate,
    /// Dispatches an invocation again after it has ended.
    RunsTwice,
    /// Responds with a throttle to invocations that ran.
    ThrottlesWhatRan,
    /// Dispatches each invocation to two invokers at once.
    TwoOut,
    /// Dispatches to draining and gone invokers.
    IgnoresDrains,
    /// Dispatches only to the invoker with the highest incarnation, which is the coldest.
    FloodsColdOnes,
    /// Sends a load order with each dispatch.
    LoadsAtWill,
}

/// Faults by their names on the command line.
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

type RunFuture = Pin<Box<dyn Future<Output = io::Result<()>>>>;
type OnAnswer = Box<dyn FnOnce(wire::Answer)>;

struct FaultyController {
    fault: Fault,
    config: ControllerConfig,
    network: Rc<dyn Network>,
    clock: Clock,
    entries: RefCell<BTreeMap<u32, list::Entry>>,
    links: RefCell<BTreeMap<u32, SendQueue>>,
    on_answer: RefCell<BTreeMap<(u32, u64), OnAnswer>>,
    rng: RefCell<fastrand::Rng>,
    last_dispatch: RefCell<u64>,
}

/// Runs a faulty controller with the configuration of a real one.
pub fn run_faulty_controller(
    fault: Fault,
    config: ControllerConfig,
    network: Rc<dyn Network>,
    clock: Clock,
) -> RunFuture {
    let rng = RefCell::new(fastrand::Rng::with_seed(config.seed));
    let (entries, links, on_answer, last_dispatch) = Default::default();
    let controller = Rc::new(FaultyController {
        fault,
        config,
        network,
        clock,
        entries,
        links,
        on_answer,
        rng,
        last_dispatch,
    });
    Box::pin(async move {
        tokio::task::LocalSet::new()
            .run_until(controller.run())
            .await
    })
}

impl FaultyController {
    async fn run(self: Rc<Self>) -> io::Result<()> {
        let (mut listener, _) = self
            .network
            .listen(&self.config.client_addresses[0])
            .await?;
        let following = self.clone();
        tokio::task::spawn_local(async move { following.follow_list().await });
        loop {
            let (input, mut output) = split(listener.accept().await?);
            let (this, outbox, clock) = (self.clone(), SendQueue::new(1 << 30), self.clock);
            let out = outbox.clone();
            tokio::task::spawn_local(async move {
                out.write_to(&mut output, || clock.now(), |_| ()).await
            });
            tokio::task::spawn_local(async move { this.serve_client(input, outbox).await });
        }
    }

    async fn follow_list(self: Rc<Self>) {
        let (controller, incarnation) = (self.config.controller, self.config.incarnation);
        let mut stream = self
            .network
            .dial(&self.config.endpoint_lists[0])
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
                for entry in entries {
                    let known = self
                        .entries
                        .borrow()
                        .get(&entry.invoker)
                        .is_some_and(|known| known.incarnation == entry.incarnation);
                    self.entries
                        .borrow_mut()
                        .insert(entry.invoker, entry.clone());
                    if !known && entry.life == list::Life::Ready {
                        let this = self.clone();
                        tokio::task::spawn_local(async move { this.connect(entry).await });
                    }
                }
            }
            if !matches!(stream.read_buf(&mut read).await, Ok(1..)) {
                return;
            }
        }
    }

    async fn connect(self: Rc<Self>, entry: list::Entry) {
        let Ok(mut stream) = self.network.dial(&entry.address.parse().unwrap()).await else {
            return;
        };
        let (controller, incarnation, invoker) = (
            self.config.controller,
            self.config.incarnation,
            entry.invoker,
        );
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
                if let Ok(wire::FromInvoker::Answer(answer)) = wire::FromInvoker::read(kind, &body)
                {
                    let on_answer = self
                        .on_answer
                        .borrow_mut()
                        .remove(&(invoker, answer.dispatch));
                    on_answer
                        .into_iter()
                        .for_each(|on_answer| on_answer(answer.clone()));
                }
            }
        }
    }

    async fn serve_client(
        self: Rc<Self>,
        mut input: saltdrum_transport::StreamHalf,
        to: SendQueue,
    ) {
        let mut read = BytesMut::new();
        while let Ok(1..) = input.read_buf(&mut read).await {
            while let Some(end) = read.iter().position(|b| *b == b'\n') {
                let line = read.split_to(end + 1);
                if let Ok(rpc::Line::Single(Ok(call))) = rpc::parse_line(line.trim_ascii()) {
                    let invoke = serde_json::from_str(call.params.unwrap().get()).unwrap();
                    self.invoke(invoke, call.id.unwrap(), to.clone());
                }
            }
        }
    }

    /// Picks an invoker other than `excluded`; `None` if there is none.
    fn pick_invoker(&self, excluded: Option<u32>) -> Option<u32> {
        let entries = self.entries.borrow();
        let ready =
            |e: &&list::Entry| e.life == list::Life::Ready || self.fault == Fault::IgnoresDrains;
        let able: Vec<&list::Entry> = entries
            .values()
            .filter(ready)
            .filter(|e| Some(e.invoker) != excluded)
            .collect();
        match self.fault {
            Fault::FloodsColdOnes => able.iter().max_by_key(|e| e.incarnation).map(|e| e.invoker),
            _ if able.is_empty() => None,
            _ => Some(able[self.rng.borrow_mut().usize(..able.len())].invoker),
        }
    }

    fn dispatch(
        &self,
        invoker: u32,
        invocation: u32,
        hop: u8,
        call: &rpc::Invoke,
        on_answer: OnAnswer,
    ) {
        *self.last_dispatch.borrow_mut() += 1;
        let dispatch = *self.last_dispatch.borrow();
        let function = &self.config.terms.functions[&call.function];
        let frame = wire::Dispatch {
            dispatch,
            invocation,
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
        self.on_answer
            .borrow_mut()
            .insert((invoker, dispatch), on_answer);
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

    fn invoke(self: &Rc<Self>, call: rpc::Invoke, id: rpc::Id, to: SendQueue) {
        let invocation = *self.last_dispatch.borrow() as u32 + 1;
        let Some(first) = self.pick_invoker(None) else {
            to.push(
                Bytes::from(rpc::format_error(&id, rpc::THROTTLED, "throttled", None) + "\n"),
                u64::MAX,
            );
            return;
        };
        let second = self.pick_invoker(Some(first)).unwrap_or(first);
        let (this, again) = (self.clone(), call.clone());
        let respond = move |text: String, delay_ms: u64| {
            let to = to.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(std::time::Duration::from_millis(delay_ms)).await;
                to.push(Bytes::from(text + "\n"), u64::MAX);
            });
        };
        let on_answer: OnAnswer = Box::new(move |received| {
            let text = match received.ended {
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
                    respond(text.clone(), 0);
                    respond(text, 1);
                }
                Fault::AnswersNotAll if invocation.is_multiple_of(40) => {}
                Fault::AnswersLate if invocation.is_multiple_of(40) => respond(text, 5_000),
                Fault::RunsTwice => this.dispatch(
                    second,
                    invocation,
                    1,
                    &again,
                    Box::new(move |_| respond(text, 0)),
                ),
                _ => respond(text, 0),
            }
        });
        self.dispatch(first, invocation, 0, &call, on_answer);
        if self.fault == Fault::TwoOut {
            self.dispatch(second, invocation, 1, &call, Box::new(|_| ()));
        }
    }
}
