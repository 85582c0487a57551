//! InvokerConnections to invokers: one multiplexed connection each, dialled again when it is lost.

use crate::invocations::AttemptReport;
use crate::native::server::{ControllerHandle, ControllerState};
use crate::reconnect::ReconnectBackoff;
use bytes::{Bytes, BytesMut};
use saltdrum::interface::*;
use saltdrum_protocol::frame::{Message, cut, encode};
use saltdrum_protocol::invoker as wire;
use saltdrum_protocol::list::Entry;
use saltdrum_transport::{Address, Half, SendQueue, Stream, Ticket, split};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tracing::{debug, info, warn};

/// What waits for one invoker is bounded; beyond it a dispatch is not sent.
const WAITING_MOST_BYTES: usize = 8 << 20;
/// Answers to dispatches that were given up are expected for so many of the latest.
const GIVEN_UP_MOST: usize = 100_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Frames wait for the connection that is being made.
    Dialling,
    Up,
    /// The last try failed; what is sent now is not.
    Down,
}

struct Sent {
    invocation: InvocationId,
    attempt: u8,
    ticket: Ticket,
}

pub(crate) struct InvokerConnection {
    pub entry: Entry,
    /// By this controller's clock.
    pub started: Option<Ticks>,
    pub load_orders: BTreeMap<u64, Ticket>,
    phase: Phase,
    send_queue: SendQueue,
    in_flight: BTreeMap<u64, Sent>,
    abandoned: BTreeSet<u64>,
    last_id: u64,
    /// Rule 3: nothing new leaves from then on, not even what waited.
    cutoff: Ticks,
    pub backoff: ReconnectBackoff,
    pub changed: Rc<Notify>,
    broken: Rc<Notify>,
}

impl InvokerConnection {
    pub fn new(entry: Entry, started: Option<Ticks>) -> Self {
        Self {
            entry,
            started,
            load_orders: BTreeMap::new(),
            phase: Phase::Dialling,
            send_queue: SendQueue::new(WAITING_MOST_BYTES),
            in_flight: BTreeMap::new(),
            abandoned: Default::default(),
            last_id: 0,
            cutoff: Ticks::MAX,
            backoff: ReconnectBackoff::default(),
            changed: Rc::default(),
            broken: Rc::default(),
        }
    }

    pub fn is_up(&self) -> bool {
        self.phase == Phase::Up
    }

    fn push(&mut self, frame: Bytes, until: Ticks) -> Option<Ticket> {
        if self.phase == Phase::Down {
            None
        } else {
            self.send_queue.push(frame, until)
        }
    }

    pub fn dispatch(
        &mut self,
        frame: wire::DispatchOut,
        until: Ticks,
        inv: InvocationId,
        hop: u8,
    ) -> Result<u64, Outcome> {
        if self.phase == Phase::Down {
            return Err(Outcome::NoConnection);
        }
        self.last_id += 1;
        let frame = wire::DispatchOut {
            dispatch: self.last_id,
            ..frame
        };
        let ticket = self.push(frame.encode(), until.min(self.cutoff));
        let Some(ticket) = ticket else {
            self.last_id -= 1;
            return Err(Outcome::NotSent);
        };
        self.in_flight.insert(
            self.last_id,
            Sent {
                invocation: inv,
                attempt: hop,
                ticket,
            },
        );
        Ok(self.last_id)
    }

    pub fn load(&mut self, function: FunctionId, name: String, count: u8) -> Option<u64> {
        let order = self.last_id + 1;
        let until = if count > 0 { self.cutoff } else { Ticks::MAX };
        let ticket = self.push(
            encode(&wire::Hold {
                order,
                function,
                name,
                count,
            }),
            until,
        )?;
        self.last_id = order;
        self.load_orders.insert(order, ticket);
        Some(order)
    }

    pub fn cancel(&mut self, dispatch: u64) {
        self.push(encode(&wire::Cancel { dispatch }), Ticks::MAX);
    }

    pub fn unload(&mut self, function: FunctionId) {
        self.push(encode(&wire::Unload { function }), Ticks::MAX);
    }

    pub fn probe(&mut self) {
        self.last_id += 1;
        self.push(
            encode(&wire::Probe {
                probe: self.last_id,
            }),
            Ticks::MAX,
        );
    }

    /// Takes a frame back that has not begun to leave.
    pub fn withdraw(&mut self, dispatch: u64) -> bool {
        let Some(ticket) = self.in_flight.get(&dispatch).map(|s| s.ticket) else {
            return false;
        };
        self.send_queue
            .withdraw(0, |t| t == ticket)
            .contains(&ticket)
    }

    /// Its dispatch has ended for us; an answer may still be on its way.
    pub fn forget(&mut self, dispatch: u64) {
        if self.in_flight.remove(&dispatch).is_some() {
            self.abandoned.insert(dispatch);
            if self.abandoned.len() > GIVEN_UP_MOST {
                self.abandoned.pop_first();
            }
        }
    }

    /// AttemptReport that it drains or is gone: what waits may leave until `at`, and what is stuck half-way is cut off then.
    pub fn set_cutoff(&mut self, at: Ticks) {
        self.cutoff = at;
    }

    fn is_new_work(&self, ticket: Ticket) -> bool {
        self.in_flight.values().any(|s| s.ticket == ticket)
            || self.load_orders.values().any(|o| *o == ticket)
    }
}

/// The time of [`InvokerConnection::cut_at`] has come.
pub(crate) fn cut_off(state: &mut ControllerState, invoker: InvokerId) {
    let now = state.invocations.now;
    let Some(link) = state
        .invocations
        .transport
        .by_invoker
        .get_mut(&invoker)
        .filter(|l| now >= l.cutoff)
    else {
        return;
    };
    let gone = link.send_queue.withdraw(now, |t| link.is_new_work(t));
    if link
        .send_queue
        .partially_sent()
        .is_some_and(|t| link.is_new_work(t))
    {
        warn!(
            invoker,
            "a frame is stuck half-way to an invoker that drains: the link is cut"
        );
        link.broken.notify_one();
    }
    not_sent(state, invoker, &gone);
}

/// Frames that were withdrawn: their dispatches never ran, their orders reached nobody.
fn not_sent(state: &mut ControllerState, invoker: InvokerId, tickets: &[Ticket]) {
    let Some(link) = state.invocations.transport.by_invoker.get(&invoker) else {
        return;
    };
    let out: Vec<(InvocationId, u8)> = link
        .in_flight
        .values()
        .filter(|s| tickets.contains(&s.ticket))
        .map(|s| (s.invocation, s.attempt))
        .collect();
    let orders: Vec<u64> = link
        .load_orders
        .iter()
        .filter(|(_, o)| tickets.contains(o))
        .map(|(id, _)| *id)
        .collect();
    out.into_iter().for_each(|(inv, hop)| {
        state.attempt_ended(inv, hop, Outcome::NotSent, &AttemptReport::default())
    });
    orders
        .into_iter()
        .for_each(|order| state.load_ended(invoker, order, LoadOutcome::Unreachable, 0));
}

/// The connection is gone, or never came: each dispatch ends by what is known of its frame.
fn lost(state: &mut ControllerState, invoker: InvokerId) {
    let now = state.invocations.now;
    let Some(link) = state.invocations.transport.by_invoker.get_mut(&invoker) else {
        return;
    };
    link.backoff.disconnected(now);
    link.phase = Phase::Down;
    link.send_queue.close();
    link.last_id = 0;
    link.abandoned = Default::default();
    let out: Vec<(InvocationId, u8, bool)> = link
        .in_flight
        .values()
        .map(|s| (s.invocation, s.attempt, link.send_queue.is_sent(s.ticket)))
        .collect();
    let orders: Vec<u64> = link.load_orders.keys().copied().collect();
    for (inv, hop, left) in out {
        state.attempt_ended(
            inv,
            hop,
            if left {
                Outcome::Reset
            } else {
                Outcome::NoConnection
            },
            &AttemptReport::default(),
        );
    }
    orders
        .into_iter()
        .for_each(|order| state.load_ended(invoker, order, LoadOutcome::Unreachable, 0));
    if let Some(link) = state.invocations.transport.by_invoker.get_mut(&invoker) {
        link.in_flight.clear();
        link.abandoned = Default::default();
    }
}

/// Keeps the link to one invoker for as long as the list knows it.
pub(crate) async fn keep(handle: Rc<ControllerHandle>, invoker: InvokerId) {
    loop {
        let plan = handle.update(|state| {
            let invocations = &mut state.invocations;
            let links = invocations.transport.by_invoker.len();
            let link = invocations.transport.by_invoker.get_mut(&invoker)?;
            if link.entry.life == saltdrum_protocol::list::Life::Gone {
                return None;
            }
            let mut wait = link.backoff.next_delay(&mut invocations.transport.rng);
            if link.backoff.is_failing() {
                wait += invocations
                    .transport
                    .connect_budget
                    .take_retry(invocations.now, links);
            } else {
                wait += invocations
                    .transport
                    .connect_budget
                    .take_first(invocations.now);
                begin(link);
            }
            Some((wait, link.changed.clone()))
        });
        let Some((wait, changed)) = plan else {
            // Gone: until the list names it again.
            let changed = handle.update(|state| {
                state
                    .invocations
                    .transport
                    .by_invoker
                    .get(&invoker)
                    .map(|l| l.changed.clone())
            });
            match changed {
                Some(changed) => changed.notified().await,
                None => return,
            }
            continue;
        };
        tokio::select! {
            biased;
            () = tokio::time::sleep(Duration::from_micros(wait * 100)) => {}
            () = changed.notified() => continue,
        }
        let (address, outbox, broken) = handle.update(|state| {
            let link = state
                .invocations
                .transport
                .by_invoker
                .get_mut(&invoker)
                .expect("links stay");
            begin(link);
            (
                link.entry.address.clone(),
                link.send_queue.clone(),
                link.broken.clone(),
            )
        });
        let why = tokio::select! {
            biased;
            why = connected(&handle, invoker, &address, &outbox) => why,
            () = broken.notified() => "cut off".into(),
        };
        info!(invoker, address, why, "link lost");
        handle.update(|state| {
            state.invocations.counters.broken_connections += 1;
            lost(state, invoker);
        });
    }
}

fn begin(link: &mut InvokerConnection) {
    if link.phase == Phase::Down {
        link.phase = Phase::Dialling;
        link.send_queue = SendQueue::new(WAITING_MOST_BYTES);
        link.broken = Rc::default();
    }
}

/// ConnectBudget, shakes hands and serves the link; says why it ended.
async fn connected(
    handle: &Rc<ControllerHandle>,
    invoker: InvokerId,
    address: &str,
    outbox: &SendQueue,
) -> String {
    let within = Duration::from_micros(handle.config.terms.connect_timeout * 100);
    let shaken = tokio::time::timeout(within, shake_hands(handle, invoker, address)).await;
    let (stream, read, welcome) = match shaken {
        Ok(Ok(shaken)) => shaken,
        Ok(Err(why)) => return why,
        Err(_) => return format!("no connection within {} ms", within.as_millis()),
    };
    handle.update(|state| up(state, invoker, &welcome));
    let (input, mut output) = split(stream);
    let clock = handle.clock;
    let withdrawn = |ticket| handle.update(|state| not_sent(state, invoker, &[ticket]));
    tokio::select! {
        biased;
        why = hear(handle, invoker, input, read) => why,
        done = outbox.write_to(&mut output, || clock.now(), withdrawn) => match done {
            Ok(()) => "closed".into(),
            Err(e) => e.to_string(),
        },
    }
}

async fn shake_hands(
    handle: &Rc<ControllerHandle>,
    invoker: InvokerId,
    address: &str,
) -> Result<(Stream, BytesMut, wire::Welcome), String> {
    let address: Address = address.parse()?;
    let mut stream = handle
        .network
        .dial(&address)
        .await
        .map_err(|e| e.to_string())?;
    let hello = wire::Hello {
        version_least: wire::VERSION_LEAST,
        version_most: wire::VERSION,
        controller: handle.config.controller,
        incarnation: handle.config.incarnation,
        invoker,
    };
    stream
        .write_all(&encode(&hello))
        .await
        .map_err(|e| e.to_string())?;
    let mut read = BytesMut::new();
    let (kind, body) = loop {
        if let Some(frame) = cut(&mut read).map_err(|e| e.to_string())? {
            break frame;
        }
        if stream
            .read_buf(&mut read)
            .await
            .map_err(|e| e.to_string())?
            == 0
        {
            return Err("hung up in the handshake".into());
        }
    };
    match wire::FromInvoker::read(kind, &body).map_err(|e| e.to_string())? {
        wire::FromInvoker::Welcome(w) if w.invoker != invoker => Err(format!(
            "invoker {} is here, {invoker} was expected",
            w.invoker
        )),
        wire::FromInvoker::Welcome(w) if w.version != wire::VERSION => Err(format!(
            "version {} was chosen, {} was offered",
            w.version,
            wire::VERSION
        )),
        wire::FromInvoker::Welcome(w) => Ok((stream, read, w)),
        wire::FromInvoker::Unwelcome(u) => Err(format!("unwelcome: {}", u.why)),
        _ => Err(format!(
            "kind {kind} in the handshake: {} is expected",
            wire::Welcome::NAME
        )),
    }
}

fn up(state: &mut ControllerState, invoker: InvokerId, welcome: &wire::Welcome) {
    let now = state.invocations.now;
    let Some(link) = state.invocations.transport.by_invoker.get_mut(&invoker) else {
        return;
    };
    link.phase = Phase::Up;
    link.backoff.connected(now);
    debug!(invoker, "link up");
    if welcome.incarnation != link.entry.incarnation {
        // The invoker knows first that it has started anew; the list lags, and a cold one must not be taken for warm.
        link.entry.incarnation = welcome.incarnation;
        link.started = now.checked_sub(welcome.age_tenths);
        let listed = crate::native::endpoint_list::listed(&link.entry, link.started);
        state.policy.invokers_changed(now, false, &[listed]);
    }
}

async fn hear(
    handle: &Rc<ControllerHandle>,
    invoker: InvokerId,
    mut input: Half,
    mut read: BytesMut,
) -> String {
    loop {
        loop {
            let frame = match cut(&mut read) {
                Ok(None) => break,
                Ok(Some(frame)) => frame,
                Err(e) => return e.to_string(),
            };
            let told = wire::FromInvoker::read(frame.0, &frame.1).map_err(|e| e.to_string());
            let told =
                told.and_then(|message| handle.update(|state| hear_one(state, invoker, message)));
            if let Err(why) = told {
                warn!(invoker, why, "an invoker broke the protocol");
                return why;
            }
        }
        match input.read_buf(&mut read).await {
            Ok(0) => return "hung up".into(),
            Ok(_) => {}
            Err(e) => return e.to_string(),
        }
    }
}

fn hear_one(
    state: &mut ControllerState,
    invoker: InvokerId,
    message: wire::FromInvoker,
) -> Result<(), String> {
    let Some(link) = state.invocations.transport.by_invoker.get_mut(&invoker) else {
        return Ok(());
    };
    match message {
        wire::FromInvoker::Answer(a) => {
            let Some(sent) = link.in_flight.get(&a.dispatch) else {
                if link.abandoned.remove(&a.dispatch) {
                    return Ok(());
                }
                return Err(format!(
                    "an answer for dispatch {}, which is not out",
                    a.dispatch
                ));
            };
            if !link.send_queue.is_sent(sent.ticket) {
                return Err(format!(
                    "an answer for dispatch {}, which has not left",
                    a.dispatch
                ));
            }
            let (inv, hop) = (sent.invocation, sent.attempt);
            let outcome = match a.ended {
                wire::Ended::Succeeded
                    if serde_json::from_slice::<&serde_json::value::RawValue>(&a.output)
                        .is_err() =>
                {
                    warn!(invoker, inv, "a result that is not JSON");
                    Outcome::Errored
                }
                wire::Ended::Succeeded => Outcome::Succeeded,
                wire::Ended::Errored => Outcome::Errored,
                wire::Ended::Full => Outcome::Full,
                wire::Ended::Miss => Outcome::Miss,
                wire::Ended::Cancelled => Outcome::Cancelled,
            };
            state.attempt_ended(inv, hop, outcome, &told(&a));
            if let Some(link) = state.invocations.transport.by_invoker.get_mut(&invoker) {
                // Its one answer is here: a second would be a lie.
                link.abandoned.remove(&a.dispatch);
            }
        }
        wire::FromInvoker::Held(h) => {
            let outcome = match h.ended {
                wire::HoldEnded::Standing => LoadOutcome::Loaded,
                wire::HoldEnded::NoRoom => LoadOutcome::NoCapacity,
                wire::HoldEnded::LoadFailed => LoadOutcome::LoadFailed,
            };
            state.load_ended(invoker, h.order, outcome, h.standing);
        }
        wire::FromInvoker::Probed(_) => {}
        wire::FromInvoker::Welcome(_) | wire::FromInvoker::Unwelcome(_) => {
            return Err("a second handshake".into());
        }
    }
    Ok(())
}

fn told(a: &wire::Answer) -> AttemptReport {
    let finite = |x: &f32| x.is_finite();
    AttemptReport {
        start_kind: a.found.map(|found| match found {
            wire::Found::Warm => StartKind::Warm,
            wire::Found::BeganLoad => StartKind::BeganLoad,
            wire::Found::JoinedLoad => StartKind::JoinedLoad,
            wire::Found::LoadFailed => StartKind::LoadFailed,
        }),
        concurrency: a.crowd,
        load_report: LoadReport {
            utilization: a.load.cores_busy.filter(finite).map(f64::from),
            queue_length: a.load.waiting.filter(finite).map(f64::from),
        },
        output: Bytes::copy_from_slice(&a.output),
    }
}
