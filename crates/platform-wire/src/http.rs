//! Header fields of HTTP requests to invokers, and the meaning of their responses.

use saltdrum::interface::{LoadOutcome, LoadReport, Outcome, ProbeOutcome, StartKind};

pub const TRANSACTION_HEADER: &str = "x-txn";
pub const FUNCTION_HEADER: &str = "x-name";
pub const TIME_LIMIT_HEADER: &str = "x-limit-ms";
pub const TOKEN_HEADER: &str = "x-dedupe";
/// Path of the health check, which reports whether an invoker accepts new work.
pub const HEALTH_PATH: &str = "/healthz";
const UNRUN_HEADER: &str = "x-unrun";
const START_KIND_HEADER: &str = "x-how";
const CONCURRENCY_HEADER: &str = "x-ahead";
const LOAD_REPORT_HEADER: &str = "x-gauges";
const LOADED_INSTANCES_HEADER: &str = "x-units";

/// What the header fields of a response report besides its outcome.
#[derive(Debug, Clone, Default)]
pub struct ResponseDetails {
    /// Whether the function was loaded when the request arrived.
    pub start_kind: Option<StartKind>,
    /// Invocations of the same function at the invoker on arrival; none: not reported, or 0.
    pub concurrency: Option<u8>,
    /// The load of the invoker.
    pub load_report: LoadReport,
    /// Instances of the function that are loaded after a load order; 0 if not reported.
    pub loaded_instances: u8,
}

/// Returns the path of load and unload requests for a function.
pub fn function_path(function: u64) -> String {
    format!("/obj/{function:016x}")
}

/// Parses a load report such as `inflight:7;util:0.61`. Values that cannot be parsed are omitted, as the report is
/// advisory.
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

/// Parses the header fields of a response; `field` looks one up by its lower-case name.
pub fn parse_response_details<'a>(field: impl Fn(&str) -> Option<&'a str>) -> ResponseDetails {
    let start_kind = field(START_KIND_HEADER).and_then(|how| match how.trim() {
        "resident" => Some(StartKind::Warm),
        "booted" => Some(StartKind::BeganLoad),
        "rode" => Some(StartKind::JoinedLoad),
        "boot_error" => Some(StartKind::LoadFailed),
        _ => None,
    });
    let saturating_u8 = |name| {
        field(name)
            .and_then(|text| text.trim().parse::<u32>().ok())
            .map(|number| number.min(255) as u8)
    };
    ResponseDetails {
        start_kind,
        concurrency: saturating_u8(CONCURRENCY_HEADER).filter(|n| *n > 0),
        load_report: field(LOAD_REPORT_HEADER)
            .map(parse_load_report)
            .unwrap_or_default(),
        loaded_instances: saturating_u8(LOADED_INSTANCES_HEADER).unwrap_or(0),
    }
}

/// Whether the invoker states that the request never ran.
fn is_unrun<'a>(field: &impl Fn(&str) -> Option<&'a str>) -> bool {
    field(UNRUN_HEADER).is_some_and(|v| v.trim() == "1")
}

/// Returns the outcome of a dispatch by the status of its response. Unless the response proves that the request never
/// ran, it may have run.
pub fn dispatch_outcome<'a>(status: u16, field: impl Fn(&str) -> Option<&'a str>) -> Outcome {
    match status {
        200 => Outcome::Succeeded,
        404 => Outcome::Miss,
        503 if is_unrun(&field) => Outcome::Full,
        504 if is_unrun(&field) => Outcome::NotSent,
        _ => Outcome::Errored,
    }
}

/// Returns whether an invoker accepts new work, by the status of its response to a health check.
pub fn probe_outcome(status: u16) -> ProbeOutcome {
    match status {
        200 => ProbeOutcome::Ready,
        _ => ProbeOutcome::NotReady,
    }
}

/// Returns the outcome of a load order by the status of its response.
pub fn load_outcome<'a>(status: u16, field: impl Fn(&str) -> Option<&'a str>) -> LoadOutcome {
    match status {
        200 => LoadOutcome::Loaded,
        503 if is_unrun(&field) => LoadOutcome::NoCapacity,
        _ => LoadOutcome::LoadFailed,
    }
}
