//! What was seen, by whom, when. Times are tenths of a millisecond on one clock for all who write.

use saltdrum::interface::Ticks;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::io::{self, BufRead, Write};
use std::rc::Rc;

/// A controller and which of its lives it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControllerId {
    pub controller: u32,
    pub incarnation: u64,
}

/// One try of a client: its number for the invocation, and which try it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClientAttempt {
    #[serde(rename = "n")]
    pub number: u64,
    pub attempt: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Succeeded,
    Throttled,
    Errored,
}

/// A trigger type as the rules see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trigger {
    pub name: String,
    /// `idempotent`, `tokened` or `non-idempotent`.
    pub effect: String,
    /// `all`, `zone` or `cell`: who drops a token's repeats together.
    pub scope: String,
    pub repeat_window: Ticks,
    pub objective: Ticks,
    pub billed_value: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InvokerInfo {
    pub invoker: u32,
    pub zone: u8,
    pub cell: u16,
    /// Cores times speed.
    pub pace: f64,
}

/// What the rules are judged by.
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

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Line {
    #[serde(rename = "stated")]
    RuleParameters(RuleParameters),
    /// By the client: the whole call has been written.
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
    /// By the client: an answer was read, which came at `earliest` or later.
    Final {
        at: Ticks,
        earliest: Ticks,
        of: ClientAttempt,
        how: Outcome,
    },
    /// By the client: it closed the connection on purpose before the answer.
    HungUp { at: Ticks, of: ClientAttempt },
    /// By an invoker: the output that it made for this try.
    #[serde(rename = "made")]
    OutputProduced {
        at: Ticks,
        invoker: u32,
        of: ClientAttempt,
        output: String,
    },
    /// By the client: the output of a final answer that succeeded.
    #[serde(rename = "output")]
    OutputReceived {
        at: Ticks,
        of: ClientAttempt,
        output: String,
    },
    /// By the client: the controller's side closed the connection before the answer.
    #[serde(rename = "cut-off")]
    ConnectionLost { at: Ticks, of: ClientAttempt },
    /// By the client: it reads this connection late on purpose; what it reads proves nothing of when it came.
    ReadsSlowly { at: Ticks, of: ClientAttempt },
    /// By the invoker: a dispatch was read, which came at `earliest` or later.
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
    /// By the invoker: work began. `repeat`: it was known by its token and not done again.
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
    /// By the invoker, of an invocation that belongs to a passage: which function spoke in it.
    #[serde(rename = "spoke")]
    PassageStep {
        at: Ticks,
        invoker: u32,
        of: ClientAttempt,
        function: u64,
        passage: String,
    },
    /// By the invoker: a dispatch ended; `told`: the answer went out.
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
    /// By the invoker: an order to hold was read.
    #[serde(rename = "ordered")]
    LoadOrdered {
        at: Ticks,
        earliest: Ticks,
        invoker: u32,
        who: ControllerId,
        function: u64,
        count: u8,
    },
    /// By the invoker: a load came to its end.
    Loaded {
        at: Ticks,
        invoker: u32,
        function: u64,
        took: Ticks,
        ok: bool,
    },
    /// By the invoker, with layers: a copy was put together; `sound`: it is the model, byte for byte.
    #[serde(rename = "copied")]
    CopyAssembled {
        at: Ticks,
        invoker: u32,
        function: u64,
        #[serde(rename = "sound")]
        matches_model: bool,
    },
    /// By the list: a line went out to a controller.
    #[serde(rename = "told")]
    EndpointSent {
        at: Ticks,
        who: ControllerId,
        invoker: u32,
        incarnation: u64,
        life: String,
    },
    /// By the store: a fetch was asked for.
    #[serde(rename = "fetched")]
    FetchRequested {
        at: Ticks,
        invoker: u32,
        function: u64,
        refused: bool,
    },
    /// By the stage, at the end of a day with layers: what was asked of whom, over all lives of all invokers.
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
    /// By the stage, at the end of a day with versions: the registry as it is then.
    #[serde(rename = "registry")]
    RegistryTotals {
        at: Ticks,
        revision: u64,
        moves: u64,
        stages_well: u64,
        stages_stopped: u64,
        /// Versions of which invokers told that no source holds, and since when the first.
        corrupt: Vec<(String, u64)>,
    },
    /// By the stage: an invoker started, or ended.
    Invoker {
        at: Ticks,
        invoker: u32,
        incarnation: u64,
        up: bool,
        cold: bool,
    },
    /// By the stage: a controller started, or was killed.
    Controller {
        at: Ticks,
        who: ControllerId,
        up: bool,
    },
    /// By whoever runs on the thread: it stood still.
    #[serde(rename = "disturbed")]
    ThreadStalled {
        at: Ticks,
        until: Ticks,
        thread: String,
    },
    /// By the stage, from the script.
    #[serde(rename = "trouble")]
    FaultInjected {
        at: Ticks,
        until: Ticks,
        text: String,
    },
    /// By the stage: nothing new was sent from then on.
    #[serde(rename = "over")]
    TrafficEnded { at: Ticks },
}

/// Where the actors of one thread write.
#[derive(Clone, Default)]
pub struct Record(Rc<RefCell<Vec<Line>>>);

impl Record {
    pub fn note(&self, line: Line) {
        self.0.borrow_mut().push(line);
    }

    /// When the client of a try stops waiting, by its own send; none: it has not sent it, or noted nothing.
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

/// Writes a record, a line of JSON each.
pub fn write(lines: &[Line], to: &mut impl Write) -> io::Result<()> {
    for line in lines {
        serde_json::to_writer(&mut *to, line)?;
        to.write_all(b"\n")?;
    }
    Ok(())
}

/// Reads a record; a fault names its line.
pub fn read(from: impl BufRead) -> Result<Vec<Line>, String> {
    let parse = |(n, line): (usize, io::Result<String>)| {
        let line = line.map_err(|e| format!("line {}: {e}", n + 1))?;
        serde_json::from_str(&line).map_err(|e| format!("line {}: {e}", n + 1))
    };
    from.lines().enumerate().map(parse).collect()
}
