//! The record of a trial. Times are nanoseconds of the machine's monotonic clock, which all its processes share.

use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, Write};

/// One observation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "kebab-case")]
pub enum Line {
    /// At most `out` of these members may be out of service. A loss is known to all coordinators after `detect_ns`.
    Bound {
        group: String,
        members: Vec<String>,
        out: usize,
        detect_ns: u64,
    },
    /// An event that a member's process reported of itself: `began`, `drained`, `turned-back`, `up`, `replaced`.
    Told {
        at_ns: u64,
        member: String,
        incarnation: u64,
        what: String,
        grant: u64,
    },
    /// The trial started a process.
    Started { at_ns: u64, process: String },
    /// A process ended, either by itself with an exit code or killed by the trial.
    Ended {
        at_ns: u64,
        process: String,
        code: Option<i32>,
        killed: bool,
    },
    /// The trial stopped a process (`still`) or continued it.
    Stopped {
        at_ns: u64,
        process: String,
        still: bool,
    },
    /// The trial made an operator's call. `done` is whether it succeeded.
    Asked {
        sent_ns: u64,
        at_ns: u64,
        what: String,
        done: bool,
        answer: String,
    },
    /// A resource accepted an effect of a fleet-wide task and wrote it to its disk.
    Effect {
        at_ns: u64,
        resource: String,
        lease: String,
        epoch: u64,
        by: String,
    },
    /// One entry of the history that a coordinator returned at the end.
    History {
        steward: u32,
        revision: u64,
        what: String,
    },
    /// The outcome of an invocation of the load.
    Invoked {
        sent_ns: u64,
        at_ns: u64,
        controller: u32,
        how: How,
    },
    /// The trial's own process was not scheduled during this time.
    Disturbed { at_ns: u64, until_ns: u64 },
    /// A step of the script failed.
    Failed { at_ns: u64, why: String },
}

/// The outcome of an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    Succeeded,
    Throttled,
    Errored,
    /// The connection closed before a response, or there was no response in time.
    Lost,
}

/// The current time of the monotonic clock, in nanoseconds.
pub fn now_ns() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// Writes a record as one JSON value per line.
pub fn write(lines: &[Line], to: &mut impl Write) -> io::Result<()> {
    for line in lines {
        serde_json::to_writer(&mut *to, line)?;
        to.write_all(b"\n")?;
    }
    Ok(())
}

/// Parses a record; an error names its line.
pub fn read(from: impl BufRead) -> Result<Vec<Line>, String> {
    let parse = |(index, line): (usize, io::Result<String>)| {
        let line = line.map_err(|e| format!("line {}: {e}", index + 1))?;
        serde_json::from_str(&line).map_err(|e| format!("line {}: {e}", index + 1))
    };
    from.lines().enumerate().map(parse).collect()
}
