//! The fault injection library's trace of attempts that were sent after a stop the process could not detect, because it fell
//! between its last reading of the clock and the system call that sent them.

use super::record::Attempt;
use std::path::Path;
use std::time::Duration;

/// An attempt that was encoded before such a stop and sent after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoppedSend {
    pub id: u64,
    pub told_limit: Duration,
    /// Duration of the stop.
    pub stopped: Duration,
}

impl StoppedSend {
    /// Whether it is this attempt: the same request with the same time limit.
    pub fn is_of(&self, attempt: &Attempt) -> bool {
        (self.id, self.told_limit) == (attempt.id, attempt.told_limit)
    }
}

/// Parses one line of the trace.
fn parse_line(line: &str) -> Option<StoppedSend> {
    let mut words = line.split(' ');
    let id = u64::from_str_radix(words.next()?, 16).ok()?;
    let mut next_ms = || Some(Duration::from_millis(words.next()?.parse().ok()?));
    Some(StoppedSend {
        id,
        told_limit: next_ms()?,
        stopped: next_ms()?,
    })
}

/// Reads the trace; empty if none was written.
pub fn read(trace: &Path) -> Vec<StoppedSend> {
    let text = std::fs::read_to_string(trace).unwrap_or_default();
    let parse = |line| parse_line(line).expect("an id, a limit and a gap");
    text.lines().map(parse).collect()
}
