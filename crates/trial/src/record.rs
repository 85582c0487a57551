//! What was seen in a trial. Times are nanoseconds of the machine's monotonic clock, which is one for all its processes.

use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, Write};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "kebab-case")]
pub enum Line {
    /// At most so many of these may be out. `detect_ns`: a loss is known to all after that.
    Bound {
        group: String,
        members: Vec<String>,
        out: usize,
        detect_ns: u64,
    },
    /// By a member's process, of itself: `began`, `drained`, `turned-back`, `up`, `replaced`.
    Told {
        at_ns: u64,
        member: String,
        incarnation: u64,
        what: String,
        grant: u64,
    },
    /// By the trial: a process was started.
    Started { at_ns: u64, process: String },
    /// By the trial: it ended, by itself (`code`) or killed.
    Ended {
        at_ns: u64,
        process: String,
        code: Option<i32>,
        killed: bool,
    },
    /// By the trial: stopped, or woken.
    Stopped {
        at_ns: u64,
        process: String,
        still: bool,
    },
    /// By the trial: an operator's call was sent, and answered as done.
    Asked {
        sent_ns: u64,
        at_ns: u64,
        what: String,
        done: bool,
        answer: String,
    },
    /// By a resource: an effect of a fleet-wide task was accepted, and is on its disk.
    Effect {
        at_ns: u64,
        resource: String,
        lease: String,
        epoch: u64,
        by: String,
    },
    /// What a steward told of the history at the end.
    History {
        steward: u32,
        revision: u64,
        what: String,
    },
    /// Of the load: what came of an invocation.
    Invoked {
        sent_ns: u64,
        at_ns: u64,
        controller: u32,
        how: How,
    },
    /// The machine gave the trial itself no turn.
    Disturbed { at_ns: u64, until_ns: u64 },
    /// A step of the script that could not be done.
    Failed { at_ns: u64, why: String },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    Succeeded,
    Throttled,
    Errored,
    /// The line broke before an answer, or none came in time.
    Lost,
}

pub fn now_ns() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

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
