//! Fields of HTTP towards invokers, and what their answers mean.

use saltdrum::interface::{LoadOutcome, LoadReport, Outcome, ProbeOutcome, StartKind};

pub const TXN: &str = "x-txn";
pub const FUNCTION: &str = "x-name";
pub const LIMIT_MS: &str = "x-limit-ms";
pub const TOKEN: &str = "x-dedupe";
/// Where an invoker tells whether it takes new work.
pub const HEALTH_PATH: &str = "/healthz";
const UNRUN: &str = "x-unrun";
const HOW: &str = "x-how";
const AHEAD: &str = "x-ahead";
const GAUGES: &str = "x-gauges";
const UNITS: &str = "x-units";

/// What an answer tells beside its outcome.
#[derive(Debug, Clone, Default)]
pub struct Notes {
    pub found: Option<StartKind>,
    pub crowd: Option<u8>,
    pub report: LoadReport,
    pub standing: u8,
}

pub fn function_path(function: u64) -> String {
    format!("/obj/{function:016x}")
}

/// Reads a load report such as `inflight:7;util:0.61`. What can't be read is left out: it is advice.
pub fn report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite());
        match name.trim() {
            "util" => report.utilization = value,
            "queue" => report.queue_length = value,
            _ => {}
        }
    }
    report
}

/// What the fields of an answer say; `field` looks one up by its lower-case name.
pub fn notes<'a>(field: impl Fn(&str) -> Option<&'a str>) -> Notes {
    let found = field(HOW).and_then(|how| match how.trim() {
        "resident" => Some(StartKind::Warm),
        "booted" => Some(StartKind::BeganLoad),
        "rode" => Some(StartKind::JoinedLoad),
        "boot_error" => Some(StartKind::LoadFailed),
        _ => None,
    });
    let small = |name| {
        field(name)
            .and_then(|n| n.trim().parse::<u32>().ok())
            .map(|n| n.min(255) as u8)
    };
    Notes {
        found,
        crowd: small(AHEAD).filter(|n| *n > 0),
        report: field(GAUGES).map(report).unwrap_or_default(),
        standing: small(UNITS).unwrap_or(0),
    }
}

fn unrun<'a>(field: &impl Fn(&str) -> Option<&'a str>) -> bool {
    field(UNRUN).is_some_and(|v| v.trim() == "1")
}

/// How a dispatch ended by its answer's status. What is not known for certain never to have run may have run.
pub fn outcome<'a>(status: u16, field: impl Fn(&str) -> Option<&'a str>) -> Outcome {
    match status {
        200 => Outcome::Succeeded,
        404 => Outcome::Miss,
        503 if unrun(&field) => Outcome::Full,
        504 if unrun(&field) => Outcome::NotSent,
        _ => Outcome::Errored,
    }
}

/// Whether an invoker takes new work, by the status of its answer to a health check.
pub fn readiness(status: u16) -> ProbeOutcome {
    match status {
        200 => ProbeOutcome::Ready,
        _ => ProbeOutcome::NotReady,
    }
}

/// How an order to hold ended.
pub fn held<'a>(status: u16, field: impl Fn(&str) -> Option<&'a str>) -> LoadOutcome {
    match status {
        200 => LoadOutcome::Loaded,
        503 if unrun(&field) => LoadOutcome::NoCapacity,
        _ => LoadOutcome::LoadFailed,
    }
}
