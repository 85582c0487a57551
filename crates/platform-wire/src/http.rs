//! Fields of HTTP towards invokers, and what their answers mean.

use saltdrum::interface::{LoadOutcome, LoadReport, Outcome, ProbeOutcome, StartKind};

pub const TRANSACTION_HEADER: &str = "x-txn";
pub const FUNCTION_HEADER: &str = "x-name";
pub const TIME_LIMIT_HEADER: &str = "x-limit-ms";
pub const TOKEN_HEADER: &str = "x-dedupe";
/// Where an invoker tells whether it takes new work.
pub const HEALTH_PATH: &str = "/healthz";
const UNRUN: &str = "x-unrun";
const HOW: &str = "x-how";
const AHEAD: &str = "x-ahead";
const GAUGES: &str = "x-gauges";
const UNITS: &str = "x-units";

/// What an answer tells beside its outcome.
#[derive(Debug, Clone, Default)]
pub struct ResponseDetails {
    pub start_kind: Option<StartKind>,
    pub concurrency: Option<u8>,
    pub load_report: LoadReport,
    pub loaded_instances: u8,
}

pub fn function_path(function: u64) -> String {
    format!("/obj/{function:016x}")
}

/// Reads a load report such as `inflight:7;util:0.61`. What can't be read is left out: it is advice.
pub fn parse_load_report(text: &str) -> LoadReport {
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
pub fn parse_response_details<'a>(field: impl Fn(&str) -> Option<&'a str>) -> ResponseDetails {
    let start_kind = field(HOW).and_then(|how| match how.trim() {
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
    ResponseDetails {
        start_kind,
        concurrency: small(AHEAD).filter(|n| *n > 0),
        load_report: field(GAUGES).map(parse_load_report).unwrap_or_default(),
        loaded_instances: small(UNITS).unwrap_or(0),
    }
}

fn unrun<'a>(field: &impl Fn(&str) -> Option<&'a str>) -> bool {
    field(UNRUN).is_some_and(|v| v.trim() == "1")
}

/// How a dispatch ended by its answer's status. What is not known for certain never to have run may have run.
pub fn dispatch_outcome<'a>(status: u16, field: impl Fn(&str) -> Option<&'a str>) -> Outcome {
    match status {
        200 => Outcome::Succeeded,
        404 => Outcome::Miss,
        503 if unrun(&field) => Outcome::Full,
        504 if unrun(&field) => Outcome::NotSent,
        _ => Outcome::Errored,
    }
}

/// Whether an invoker takes new work, by the status of its answer to a health check.
pub fn probe_outcome(status: u16) -> ProbeOutcome {
    match status {
        200 => ProbeOutcome::Ready,
        _ => ProbeOutcome::NotReady,
    }
}

/// How an order to hold ended.
pub fn load_outcome<'a>(status: u16, field: impl Fn(&str) -> Option<&'a str>) -> LoadOutcome {
    match status {
        200 => LoadOutcome::Loaded,
        503 if unrun(&field) => LoadOutcome::NoCapacity,
        _ => LoadOutcome::LoadFailed,
    }
}
