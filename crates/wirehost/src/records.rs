//! Decodes event records of the wire into the events of the policy interface.

use crate::codec::Fields;
use crate::error::WireError;
use saltdrum::interface::{
    AttemptResult, Invocation, InvokerRecord, InvokerStatus, LoadOutcome, LoadReport, LoadResult,
    Outcome, StartKind, Ticks,
};
use saltdrum_settings::ticks_from_ms;

/// The `remark` field of a result is the concurrency times this radix plus the kind of start.
const REMARK_RADIX: u8 = 8;
/// Bit of an invocation's `options` field that is set if it carries a predicted work time.
const HAS_PREDICTION: u8 = 1;

/// The form of an endpoint list record.
pub(crate) enum ListForm {
    /// All invokers.
    Complete,
    /// Only those that changed.
    Changes,
    /// Nothing changed.
    Unchanged,
}

/// Decodes the form of an endpoint list.
pub(crate) fn list_form(code: u8) -> Result<ListForm, WireError> {
    match code {
        0 | 3 => Ok(ListForm::Complete),
        1 => Ok(ListForm::Changes),
        2 => Ok(ListForm::Unchanged),
        _ => Err(WireError::UnknownListForm(code)),
    }
}

/// Decodes the outcome of an attempt, a load or a probe.
pub(crate) fn outcome(code: u8) -> Result<Outcome, WireError> {
    Ok(match code {
        0 => Outcome::Succeeded,
        1 => Outcome::Miss,
        249 => Outcome::NotSent,
        250 => Outcome::Cancelled,
        251 => Outcome::Reset,
        252 => Outcome::NoConnection,
        253 => Outcome::TimedOut,
        254 => Outcome::Full,
        255 => Outcome::Errored,
        _ => return Err(WireError::UnknownOutcome(code)),
    })
}

/// Reads the entries of an endpoint list.
pub(crate) fn invoker_records(fields: &mut Fields) -> Result<Vec<InvokerRecord>, WireError> {
    let count = fields.u32("count of nodes_list")?;
    // The count is not trusted: memory is allocated only for entries that are present.
    let mut records = Vec::new();
    for _ in 0..count {
        records.push(invoker_record(fields)?);
    }
    Ok(records)
}

fn invoker_record(fields: &mut Fields) -> Result<InvokerRecord, WireError> {
    Ok(InvokerRecord {
        invoker: fields.u32("invoker")?,
        zone: fields.u8("dc")?,
        machine_kind: fields.u16("machine")?,
        cell: fields.u16("pack")?,
        status: match fields.u8("lifecycle")? {
            0 => InvokerStatus::Gone,
            1 => InvokerStatus::Ready,
            2 => InvokerStatus::Draining,
            code => return Err(WireError::UnknownLifecycle(code)),
        },
        capacity: f64::from(fields.f32("nominal")?),
        started_at: Some(fields.time("start_time_ms")?).filter(|at| *at > 0),
    })
}

fn load_report(fields: &mut Fields, names: &[String]) -> Result<LoadReport, WireError> {
    let values = fields.values()?;
    let named = |name: &str| {
        let index = names.iter().position(|known| known == name)?;
        let value = values.get(index).map(|value| f64::from(*value));
        value.filter(|value| value.is_finite())
    };
    Ok(LoadReport {
        utilization: named("util"),
        queue_length: named("queue"),
    })
}

/// Reads the result of an attempt. `report_fields` names the values of its load report.
pub(crate) fn attempt_result(
    fields: &mut Fields,
    report_fields: &[String],
) -> Result<AttemptResult, WireError> {
    let invocation = fields.u32("xid")?;
    let invoker = fields.u32("invoker")?;
    let finished = fields.u8("no_more")? != 0;
    let remark = fields.u8("remark")?;
    let attempt = fields.u8("hop")?;
    let outcome = outcome(fields.u8("result")?)?;
    let duration = fields.time("time_taken_ms")?;
    let has_concurrency = matches!(outcome, Outcome::Succeeded | Outcome::Full);
    let concurrency = remark / REMARK_RADIX;
    Ok(AttemptResult {
        invocation,
        invoker,
        attempt,
        invocation_finished: finished,
        outcome,
        start_kind: start_kind(remark % REMARK_RADIX),
        concurrency: (has_concurrency && concurrency > 0).then_some(concurrency),
        duration,
        report: load_report(fields, report_fields)?,
    })
}

fn start_kind(code: u8) -> Option<StartKind> {
    match code {
        1 => Some(StartKind::Warm),
        2 => Some(StartKind::BeganLoad),
        3 => Some(StartKind::JoinedLoad),
        4 => Some(StartKind::LoadFailed),
        _ => None,
    }
}

/// Reads an invocation that arrives now. `class_count` is the number of classes in the settings.
pub(crate) fn invocation(
    fields: &mut Fields,
    now: Ticks,
    class_count: usize,
) -> Result<Invocation, WireError> {
    let id = fields.u32("xid")?;
    let trigger = usize::from(fields.u16("lane")?);
    if trigger >= class_count {
        return Err(WireError::UnknownClass {
            found: trigger,
            known: class_count,
        });
    }
    let tenant = fields.u32("tenant")? as usize;
    let function = fields.u64("routine")?;
    let expires_at = fields.time("expires_ms")?;
    let predicted_ms = fields.f64("predicted_ms")?;
    let memory_mb = f64::from(fields.f32("size_mb")?);
    let concurrency_limit = f64::from(fields.f32("per_copy")?);
    let load_time_ms = f64::from(fields.f32("bringup_ms")?);
    let options = fields.u8("options")?;
    let has_prediction = options & HAS_PREDICTION != 0;
    let usable = |value: f64| Some(value).filter(|value| value.is_finite() && *value > 0.0);
    Ok(Invocation {
        id,
        trigger,
        tenant,
        function,
        earliest_arrival: now,
        expires_at,
        work_hint: usable(predicted_ms)
            .filter(|_| has_prediction)
            .map(ticks_from_ms),
        memory_mb: usable(memory_mb).unwrap_or(0.0),
        concurrency_limit: usable(concurrency_limit).map_or(1.0, |limit| limit.max(1.0)),
        load_time_hint: usable(load_time_ms).map(ticks_from_ms),
    })
}

/// Reads the result of a load order.
pub(crate) fn load_result(fields: &mut Fields) -> Result<LoadResult, WireError> {
    let duration = fields.time("time_taken_ms")?;
    let loaded_instances = fields.u8("count")?;
    let outcome = match outcome(fields.u8("result")?)? {
        Outcome::Succeeded => LoadOutcome::Loaded,
        Outcome::Full => LoadOutcome::NoCapacity,
        Outcome::Errored | Outcome::Miss => LoadOutcome::LoadFailed,
        Outcome::TimedOut => LoadOutcome::TimedOut,
        _ => LoadOutcome::Unreachable,
    };
    let function = fields.u64("routine")?;
    let invoker = fields.u32("invoker")?;
    Ok(LoadResult {
        invoker,
        function,
        outcome,
        loaded_instances,
        duration,
        sent_at: None,
    })
}
