//! Links to invokers: one multiplexed connection each, dialled again when it is lost.

use crate::desk::Told;
use crate::front::{Front, State};
use crate::redial::Redial;
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
    inv: InvocationId,
    hop: u8,
    ticket: Ticket,
}

pub(crate) struct Link {
    pub entry: Entry,
    /// By this controller's clock.
    pub started: Option<Ticks>,
    pub orders: BTreeMap<u64, Ticket>,
    phase: Phase,
    outbox: SendQueue,
    out: BTreeMap<u64, Sent>,
    given_up: BTreeSet<u64>,
    last: u64,
    /// Rule 3: nothing new leaves from then on, not even what waited.
    cutoff: Ticks,
    pub redial: Redial,
    pub changed: Rc<Notify>,
    broken: Rc<Notify>,
}

impl Link {
    pub fn new(entry: Entry, started: Option<Ticks>) -> Self {
        Self {
            entry,
            started,
            orders: BTreeMap::new(),
            phase: Phase::Dialling,
            outbox: SendQueue::new(WAITING_MOST_BYTES),
            out: BTreeMap::new(),
            given_up: Default::default(),
            last: 0,
            cutoff: Ticks::MAX,
            redial: Redial::default(),
            changed: Rc::default(),
            broken: Rc::default(),
        }
    }

    pub fn is_up(&self) -> bool {
        self.phase == Phase::Up
    }

    fn put(&mut self, frame: Bytes, until: Ticks) -> Option<Ticket> {
        if self.phase == Phase::Down {
            None
        } else {
            self.outbox.push(frame, until)
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
        self.last += 1;
        let frame = wire::DispatchOut {
            dispatch: self.last,
            ..frame
        };
        let ticket = self.put(frame.encode(), until.min(self.cutoff));
        let Some(ticket) = ticket else {
            self.last -= 1;
            return Err(Outcome::NotSent);
        };
        self.out.insert(self.last, Sent { inv, hop, ticket });
        Ok(self.last)
    }

    pub fn hold(&mut self, function: FunctionId, name: String, count: u8) -> Option<u64> {
        let order = self.last + 1;
        let until = if count > 0 { self.cutoff } else { Ticks::MAX };
        let ticket = self.put(
            encode(&wire::Hold {
                order,
                function,
                name,
                count,
            }),
            until,
        )?;
        self.last = order;
        self.orders.insert(order, ticket);
        Some(order)
    }

    pub fn cancel(&mut self, dispatch: u64) {
        self.put(encode(&wire::Cancel { dispatch }), Ticks::MAX);
    }

    pub fn unload(&mut self, function: FunctionId) {
        self.put(encode(&wire::Unload { function }), Ticks::MAX);
    }

    pub fn probe(&mut self) {
        self.last += 1;
        self.put(encode(&wire::Probe { probe: self.last }), Ticks::MAX);
    }

    /// Takes a frame back that has not begun to leave.
    pub fn withdraw(&mut self, dispatch: u64) -> bool {
        let Some(ticket) = self.out.get(&dispatch).map(|s| s.ticket) else {
            return false;
        };
        self.outbox.withdraw(0, |t| t == ticket).contains(&ticket)
    }

    /// Its dispatch has ended for us; an answer may still be on its way.
    pub fn forget(&mut self, dispatch: u64) {
        if self.out.remove(&dispatch).is_some() {
            self.given_up.insert(dispatch);
            if self.given_up.len() > GIVEN_UP_MOST {
                self.given_up.pop_first();
            }
        }
    }

    /// Told that it drains or is gone: what waits may leave until `at`, and what is stuck half-way is cut off then.
    pub fn cut_at(&mut self, at: Ticks) {
        self.cutoff = at;
    }

    fn is_new_work(&self, ticket: Ticket) -> bool {
        self.out.values().any(|s| s.ticket == ticket) || self.orders.values().any(|o| *o == ticket)
    }
}

/// The time of [`Link::cut_at`] has come.
pub(crate) fn cut_off(state: &mut State, invoker: InvokerId) {
    let now = state.desk.now;
    let Some(link) = state
        .desk
        .reach
        .links
        .get_mut(&invoker)
        .filter(|l| now >= l.cutoff)
    else {
        return;
    };
    let gone = link.outbox.withdraw(now, |t| link.is_new_work(t));
    if link
        .outbox
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
fn not_sent(state: &mut State, invoker: InvokerId, tickets: &[Ticket]) {
    let Some(link) = state.desk.reach.links.get(&invoker) else {
        return;
    };
    let out: Vec<(InvocationId, u8)> = link
        .out
        .values()
        .filter(|s| tickets.contains(&s.ticket))
        .map(|s| (s.inv, s.hop))
        .collect();
    let orders: Vec<u64> = link
        .orders
        .iter()
        .filter(|(_, o)| tickets.contains(o))
        .map(|(id, _)| *id)
        .collect();
    out.into_iter()
        .for_each(|(inv, hop)| state.ended(inv, hop, Outcome::NotSent, &Told::default()));
    orders
        .into_iter()
        .for_each(|order| state.held(invoker, order, LoadOutcome::Unreachable, 0));
}

/// The connection is gone, or never came: each dispatch ends by what is known of its frame.
fn lost(state: &mut State, invoker: InvokerId) {
    let now = state.desk.now;
    let Some(link) = state.desk.reach.links.get_mut(&invoker) else {
        return;
    };
    link.redial.lost(now);
    link.phase = Phase::Down;
    link.outbox.close();
    link.last = 0;
    link.given_up = Default::default();
    let out: Vec<(InvocationId, u8, bool)> = link
        .out
        .values()
        .map(|s| (s.inv, s.hop, link.outbox.is_sent(s.ticket)))
        .collect();
    let orders: Vec<u64> = link.orders.keys().copied().collect();
    for (inv, hop, left) in out {
        state.ended(
            inv,
            hop,
            if left {
                Outcome::Reset
            } else {
                Outcome::NoConnection
            },
            &Told::default(),
        );
    }
    orders
        .into_iter()
        .for_each(|order| state.held(invoker, order, LoadOutcome::Unreachable, 0));
    if let Some(link) = state.desk.reach.links.get_mut(&invoker) {
        link.out.clear();
        link.given_up = Default::default();
    }
}

/// Keeps the link to one invoker for as long as the list knows it.
pub(crate) async fn keep(front: Rc<Front>, invoker: InvokerId) {
    loop {
        let plan = front.tell(|state| {
            let desk = &mut state.desk;
            let links = desk.reach.links.len();
            let link = desk.reach.links.get_mut(&invoker)?;
            if link.entry.life == saltdrum_protocol::list::Life::Gone {
                return None;
            }
            let mut wait = link.redial.wait(&mut desk.reach.rng);
            if link.redial.failing() {
                wait += desk.reach.dials.again(desk.now, links);
            } else {
                wait += desk.reach.dials.first(desk.now);
                begin(link);
            }
            Some((wait, link.changed.clone()))
        });
        let Some((wait, changed)) = plan else {
            // Gone: until the list names it again.
            let changed = front.tell(|state| {
                state
                    .desk
                    .reach
                    .links
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
        let (address, outbox, broken) = front.tell(|state| {
            let link = state
                .desk
                .reach
                .links
                .get_mut(&invoker)
                .expect("links stay");
            begin(link);
            (
                link.entry.address.clone(),
                link.outbox.clone(),
                link.broken.clone(),
            )
        });
        let why = tokio::select! {
            biased;
            why = connected(&front, invoker, &address, &outbox) => why,
            () = broken.notified() => "cut off".into(),
        };
        info!(invoker, address, why, "link lost");
        front.tell(|state| {
            state.desk.counts.broken_links += 1;
            lost(state, invoker);
        });
    }
}

fn begin(link: &mut Link) {
    if link.phase == Phase::Down {
        link.phase = Phase::Dialling;
        link.outbox = SendQueue::new(WAITING_MOST_BYTES);
        link.broken = Rc::default();
    }
}

/// Dials, shakes hands and serves the link; says why it ended.
async fn connected(
    front: &Rc<Front>,
    invoker: InvokerId,
    address: &str,
    outbox: &SendQueue,
) -> String {
    let within = Duration::from_micros(front.seat.terms.connect_timeout * 100);
    let shaken = tokio::time::timeout(within, shake_hands(front, invoker, address)).await;
    let (stream, read, welcome) = match shaken {
        Ok(Ok(shaken)) => shaken,
        Ok(Err(why)) => return why,
        Err(_) => return format!("no connection within {} ms", within.as_millis()),
    };
    front.tell(|state| up(state, invoker, &welcome));
    let (input, mut output) = split(stream);
    let clock = front.clock;
    let withdrawn = |ticket| front.tell(|state| not_sent(state, invoker, &[ticket]));
    tokio::select! {
        biased;
        why = hear(front, invoker, input, read) => why,
        done = outbox.write_to(&mut output, || clock.now(), withdrawn) => match done {
            Ok(()) => "closed".into(),
            Err(e) => e.to_string(),
        },
    }
}

async fn shake_hands(
    front: &Rc<Front>,
    invoker: InvokerId,
    address: &str,
) -> Result<(Stream, BytesMut, wire::Welcome), String> {
    let address: Address = address.parse()?;
    let mut stream = front
        .network
        .dial(&address)
        .await
        .map_err(|e| e.to_string())?;
    let hello = wire::Hello {
        version_least: wire::VERSION_LEAST,
        version_most: wire::VERSION,
        controller: front.seat.controller,
        incarnation: front.seat.incarnation,
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

fn up(state: &mut State, invoker: InvokerId, welcome: &wire::Welcome) {
    let now = state.desk.now;
    let Some(link) = state.desk.reach.links.get_mut(&invoker) else {
        return;
    };
    link.phase = Phase::Up;
    link.redial.up(now);
    debug!(invoker, "link up");
    if welcome.incarnation != link.entry.incarnation {
        // The invoker knows first that it has started anew; the list lags, and a cold one must not be taken for warm.
        link.entry.incarnation = welcome.incarnation;
        link.started = now.checked_sub(welcome.age_tenths);
        let listed = crate::list::listed(&link.entry, link.started);
        state.module.invokers_changed(now, false, &[listed]);
    }
}

async fn hear(
    front: &Rc<Front>,
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
                told.and_then(|message| front.tell(|state| hear_one(state, invoker, message)));
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
    state: &mut State,
    invoker: InvokerId,
    message: wire::FromInvoker,
) -> Result<(), String> {
    let Some(link) = state.desk.reach.links.get_mut(&invoker) else {
        return Ok(());
    };
    match message {
        wire::FromInvoker::Answer(a) => {
            let Some(sent) = link.out.get(&a.dispatch) else {
                if link.given_up.remove(&a.dispatch) {
                    return Ok(());
                }
                return Err(format!(
                    "an answer for dispatch {}, which is not out",
                    a.dispatch
                ));
            };
            if !link.outbox.is_sent(sent.ticket) {
                return Err(format!(
                    "an answer for dispatch {}, which has not left",
                    a.dispatch
                ));
            }
            let (inv, hop) = (sent.inv, sent.hop);
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
            state.ended(inv, hop, outcome, &told(&a));
            if let Some(link) = state.desk.reach.links.get_mut(&invoker) {
                // Its one answer is here: a second would be a lie.
                link.given_up.remove(&a.dispatch);
            }
        }
        wire::FromInvoker::Held(h) => {
            let outcome = match h.ended {
                wire::HoldEnded::Standing => LoadOutcome::Loaded,
                wire::HoldEnded::NoRoom => LoadOutcome::NoCapacity,
                wire::HoldEnded::LoadFailed => LoadOutcome::LoadFailed,
            };
            state.held(invoker, h.order, outcome, h.standing);
        }
        wire::FromInvoker::Probed(_) => {}
        wire::FromInvoker::Welcome(_) | wire::FromInvoker::Unwelcome(_) => {
            return Err("a second handshake".into());
        }
    }
    Ok(())
}

fn told(a: &wire::Answer) -> Told {
    let finite = |x: &f32| x.is_finite();
    Told {
        found: a.found.map(|found| match found {
            wire::Found::Warm => StartKind::Warm,
            wire::Found::BeganLoad => StartKind::BeganLoad,
            wire::Found::JoinedLoad => StartKind::JoinedLoad,
            wire::Found::LoadFailed => StartKind::LoadFailed,
        }),
        crowd: a.crowd,
        report: LoadReport {
            utilization: a.load.cores_busy.filter(finite).map(f64::from),
            queue_length: a.load.waiting.filter(finite).map(f64::from),
        },
        output: Bytes::copy_from_slice(&a.output),
    }
}
