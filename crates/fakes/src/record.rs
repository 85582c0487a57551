//! Records of a run: events with the time and the actor that observed them. Times are tenths of a millisecond on one clock
//! common to all actors.

use saltdrum::interface::Ticks;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::io::{self, BufRead, Write};
use std::rc::Rc;

/// A controller and its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControllerId {
    pub controller: u32,
    pub incarnation: u64,
}

/// One attempt of a client: the client's number for the invocation, and the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClientAttempt {
    #[serde(rename = "n")]
    pub number: u64,
    pub attempt: u32,
}

/// Outcome of a final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Succeeded,
    Throttled,
    Errored,
}

/// What the rules need to know of a trigger type.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trigger {
    pub name: String,
    /// `idempotent`, `tokened` or `non-idempotent`.
    pub effect: String,
    /// `all`, `zone` or `cell`: the key scope, within which repeats of a token are dropped.
    pub scope: String,
    pub repeat_window: Ticks,
    pub objective: Ticks,
    pub billed_value: f64,
}

/// What the rules need to know of an invoker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InvokerInfo {
    pub invoker: u32,
    pub zone: u8,
    pub cell: u16,
    /// Cores times speed.
    pub pace: f64,
}

/// The deployment's parameters that the rules are checked against.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RuleParameters {
    pub triggers: Vec<Trigger>,
    pub places: Vec<InvokerInfo>,
    pub parallel_dispatches: bool,
    pub drain_grace: Ticks,
    pub cold_share: f64,
    pub cold_time: Ticks,
    pub tip_factor: f64,
    pub tip_window: Ticks,
    pub order_window: Ticks,
    pub orders_free: f64,
    pub orders_share: f64,
}

/// One line of a record: an event, or the parameters of the run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Line {
    #[serde(rename = "stated")]
    RuleParameters(RuleParameters),
    /// By the client: the whole request was written.
    Sent {
        at: Ticks,
        who: ControllerId,
        of: ClientAttempt,
        tenant: String,
        trigger: String,
        function: String,
        timeout: Ticks,
        work: Ticks,
    },
    /// By the client: the final response was read; it arrived at `earliest` or later.
    Final {
        at: Ticks,
        earliest: Ticks,
        of: ClientAttempt,
        how: Outcome,
    },
    /// By the client: it deliberately closed the connection before the response.
    HungUp { at: Ticks, of: ClientAttempt },
    /// By an invoker: the output that it produced for this attempt.
    #[serde(rename = "made")]
    OutputProduced {
        at: Ticks,
        invoker: u32,
        of: ClientAttempt,
        output: String,
    },
    /// By the client: the output of a successful final response.
    #[serde(rename = "output")]
    OutputReceived {
        at: Ticks,
        of: ClientAttempt,
        output: String,
    },
    /// By the client: the controller's side closed the connection before the response.
    #[serde(rename = "cut-off")]
    ConnectionLost { at: Ticks, of: ClientAttempt },
    /// By the client: it deliberately reads this connection late, so its read times say nothing about arrival times.
    ReadsSlowly { at: Ticks, of: ClientAttempt },
    /// By the invoker: a dispatch was read; it arrived at `earliest` or later.
    Dispatched {
        at: Ticks,
        earliest: Ticks,
        invoker: u32,
        who: ControllerId,
        invocation: u32,
        hop: u8,
        of: ClientAttempt,
        trigger: String,
    },
    /// By the invoker: execution began. `repeat`: its idempotency token was seen before, and it was not executed again.
    #[serde(rename = "ran")]
    Started {
        at: Ticks,
        invoker: u32,
        who: ControllerId,
        invocation: u32,
        hop: u8,
        of: ClientAttempt,
        token: Option<String>,
        repeat: bool,
    },
    /// By the invoker, for an invocation that belongs to a passage: which function ran in it.
    #[serde(rename = "spoke")]
    PassageStep {
        at: Ticks,
        invoker: u32,
        of: ClientAttempt,
        function: u64,
        passage: String,
    },
    /// By the invoker: a dispatch ended; `response_sent`: its response was sent.
    Ended {
        at: Ticks,
        invoker: u32,
        who: ControllerId,
        invocation: u32,
        hop: u8,
        of: ClientAttempt,
        ended: String,
        #[serde(rename = "told")]
        response_sent: bool,
    },
    /// By the invoker: a cancel was read.
    Cancelled {
        at: Ticks,
        invoker: u32,
        who: ControllerId,
        invocation: u32,
        hop: u8,
    },
    /// By the invoker: a load order was read; it arrived at `earliest` or later.
    #[serde(rename = "ordered")]
    LoadOrdered {
        at: Ticks,
        earliest: Ticks,
        invoker: u32,
        who: ControllerId,
        function: u64,
        count: u8,
    },
    /// By the invoker: a load ended.
    Loaded {
        at: Ticks,
        invoker: u32,
        function: u64,
        took: Ticks,
        ok: bool,
    },
    /// By the invoker, with layers: a copy was assembled; `matches_model`: it equals the model byte for byte.
    #[serde(rename = "copied")]
    CopyAssembled {
        at: Ticks,
        invoker: u32,
        function: u64,
        #[serde(rename = "sound")]
        matches_model: bool,
    },
    /// By the endpoint list: an entry was sent to a controller.
    #[serde(rename = "told")]
    EndpointSent {
        at: Ticks,
        who: ControllerId,
        invoker: u32,
        incarnation: u64,
        life: String,
    },
    /// By the store: a fetch was requested.
    #[serde(rename = "fetched")]
    FetchRequested {
        at: Ticks,
        invoker: u32,
        function: u64,
        refused: bool,
    },
    /// By the stage, at the end of a scenario with layers: fetch totals over all incarnations of all invokers.
    #[serde(rename = "layers")]
    LayerTotals {
        at: Ticks,
        chunks: u64,
        store_requests: u64,
        bytes_from_store: u64,
        from_cache: u64,
        from_peers: u64,
        from_store: u64,
        damaged: u64,
    },
    /// By the stage, at the end of a scenario with versions: the state of the registry.
    #[serde(rename = "registry")]
    RegistryTotals {
        at: Ticks,
        revision: u64,
        moves: u64,
        stages_well: u64,
        stages_stopped: u64,
        /// Versions that invokers reported as without an intact source, and the time of the first report.
        corrupt: Vec<(String, u64)>,
    },
    /// By the stage: an invoker started or stopped.
    Invoker {
        at: Ticks,
        invoker: u32,
        incarnation: u64,
        up: bool,
        cold: bool,
    },
    /// By the stage: a controller started or was killed.
    Controller {
        at: Ticks,
        who: ControllerId,
        up: bool,
    },
    /// By an actor of the thread: the thread stalled.
    #[serde(rename = "disturbed")]
    ThreadStalled {
        at: Ticks,
        until: Ticks,
        thread: String,
    },
    /// By the stage: a fault of the scenario's script.
    #[serde(rename = "trouble")]
    FaultInjected {
        at: Ticks,
        until: Ticks,
        text: String,
    },
    /// By the stage: clients send nothing new from then on.
    #[serde(rename = "over")]
    TrafficEnded { at: Ticks },
}

/// The record that the actors of one thread write to.
#[derive(Clone, Default)]
pub struct Record(Rc<RefCell<Vec<Line>>>);

impl Record {
    pub fn note(&self, line: Line) {
        self.0.borrow_mut().push(line);
    }

    /// When the client's timeout for this attempt expires, counted from its own send; `None` if no send is recorded.
    pub fn given_up_at(&self, of: ClientAttempt) -> Option<Ticks> {
        let lines = self.0.borrow();
        lines.iter().rev().find_map(|line| match line {
            Line::Sent {
                at,
                of: sent,
                timeout,
                ..
            } if *sent == of => Some(at + timeout),
            _ => None,
        })
    }

    pub fn take(&self) -> Vec<Line> {
        std::mem::take(&mut self.0.borrow_mut())
    }
}

/// Writes a record as JSON lines.
pub fn write(lines: &[Line], to: &mut impl Write) -> io::Result<()> {
    for line in lines {
        serde_json::to_writer(&mut *to, line)?;
        to.write_all(b"\n")?;
    }
    Ok(())
}

/// Reads a record; an error names its line.
pub fn read(from: impl BufRead) -> Result<Vec<Line>, String> {
    let parse = |(n, line): (usize, io::Result<String>)| {
        let line = line.map_err(|e| format!("line {}: {e}", n + 1))?;
        serde_json::from_str(&line).map_err(|e| format!("line {}: {e}", n + 1))
    };
    from.lines().enumerate().map(parse).collect()
}
