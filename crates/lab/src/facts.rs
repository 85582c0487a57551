//! What is kept of a run, from its record alone.

use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_fakes::record::{ClientAttempt, Line, Outcome, write};
use saltdrum_scenario::{State, check::check, summary};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One invocation, by its last try; times in tenths of a millisecond, from the first invocation of the day on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    pub at: Ticks,
    pub tenant: String,
    pub trigger: String,
    pub function: String,
    /// None: no answer came.
    pub latency: Option<Ticks>,
    pub outcome: String,
    pub in_time: bool,
    pub attempts: u32,
    /// Where its last dispatch went; 0: nowhere.
    pub invoker: u32,
}

/// One figure of a run.
pub struct Measure {
    pub key: &'static str,
    pub title: &'static str,
    /// Whether more of it is better.
    pub higher_is_better: bool,
}

const fn measure(key: &'static str, title: &'static str, higher_is_better: bool) -> Measure {
    Measure {
        key,
        title,
        higher_is_better,
    }
}

/// Figures that variants are compared by.
pub const MEASURES: &[Measure] = &[
    measure("value", "billed value in time", true),
    measure("in_time", "invocations in time", true),
    measure("p50_ms", "p50 ms", false),
    measure("p99_ms", "p99 ms", false),
    measure("throttled", "throttled", false),
    measure("errored", "errored", false),
    measure("dispatches", "dispatches an invocation", false),
    measure("store", "store requests", false),
    measure("load_p99_ms", "load p99 ms", false),
    measure("busiest", "busiest invoker over the mean", false),
    measure("broken", "rules broken", false),
    measure("unsound", "copies not their model", false),
    measure("mixed", "passages of several versions", false),
    measure("cpu_us", "CPU us an invocation", false),
    measure("controllers_us", "of it controllers", false),
];

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Invoker {
    pub invoker: u32,
    pub dispatches: u64,
    pub fetches: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TroubleSpan {
    /// From the first invocation on.
    pub from_s: f64,
    pub to_s: f64,
    pub what: String,
}

/// One of the slowest, with what became of each of its dispatches.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlowInvocation {
    pub what: String,
    pub took_ms: f64,
    pub steps: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Facts {
    /// By [`MEASURES`]; none where there was nothing to measure.
    pub measures: BTreeMap<String, Option<f64>>,
    pub invokers: Vec<Invoker>,
    pub troubles: Vec<TroubleSpan>,
    pub slow: Vec<SlowInvocation>,
    /// Of rules: number, state, and what was found first.
    pub rules: Vec<(u8, String, String)>,
    /// Of the record, byte for byte.
    pub digest: String,
}

const SLOWEST: usize = 6;

/// What a run cost, in seconds of one core.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    pub total_s: f64,
    /// Of these, in controllers.
    pub controllers_s: f64,
}

/// Sums a record up. `cost` is what the run cost, where that was measured.
pub fn summarize(lines: &[Line], cost: Option<Cost>) -> Result<(Vec<Row>, Facts), String> {
    let verdicts = check(lines)?;
    let mut bytes = Vec::new();
    write(lines, &mut bytes).map_err(|e| e.to_string())?;
    let digest = blake3::hash(&bytes).to_hex().to_string();
    let (mut objective, mut all) = (BTreeMap::new(), BTreeMap::<u64, Row>::new());
    let mut invokers = BTreeMap::<u32, Invoker>::new();
    let first = lines
        .iter()
        .find_map(|l| {
            if let Line::Sent { at, .. } = l {
                Some(*at)
            } else {
                None
            }
        })
        .unwrap_or(0);
    let seconds = |at: Ticks| (at as f64 - first as f64) / (1_000.0 * MILLISECOND as f64);
    let mut troubles = Vec::new();
    let mut hung_up = std::collections::BTreeSet::new();
    for line in lines {
        match line {
            Line::RuleParameters(s) => {
                objective = s
                    .triggers
                    .iter()
                    .map(|t| (t.name.clone(), t.objective))
                    .collect();
                let none = |p: &saltdrum_fakes::record::InvokerInfo| Invoker {
                    invoker: p.invoker,
                    dispatches: 0,
                    fetches: 0,
                };
                invokers = s.places.iter().map(|p| (p.invoker, none(p))).collect();
            }
            Line::Sent {
                at,
                of,
                tenant,
                trigger,
                function,
                ..
            } => {
                let row = all.entry(of.number).or_insert_with(|| {
                    let (tenant, trigger, function) =
                        (tenant.clone(), trigger.clone(), function.clone());
                    Row {
                        at: *at,
                        tenant,
                        trigger,
                        function,
                        ..Default::default()
                    }
                });
                (row.latency, row.attempts) = (None, of.attempt + 1);
                row.outcome = "lost".into();
            }
            Line::Final { at, of, how, .. } => {
                if let Some(row) = all
                    .get_mut(&of.number)
                    .filter(|row| row.attempts == of.attempt + 1)
                {
                    row.latency = Some(at - row.at.min(*at));
                    row.outcome = format!("{how:?}").to_lowercase();
                    let most = objective.get(&row.trigger).copied().unwrap_or(Ticks::MAX);
                    row.in_time =
                        *how == Outcome::Succeeded && row.latency.is_some_and(|t| t <= most);
                }
            }
            Line::HungUp { of, .. } => {
                hung_up.insert(of.number);
            }
            Line::Dispatched { invoker, of, .. } => {
                invokers.entry(*invoker).and_modify(|i| i.dispatches += 1);
                if let Some(row) = all.get_mut(&of.number) {
                    row.invoker = *invoker;
                }
            }
            Line::FetchRequested { invoker, .. } => {
                invokers.entry(*invoker).and_modify(|i| i.fetches += 1);
            }
            Line::FaultInjected { at, until, text } => troubles.push(TroubleSpan {
                from_s: seconds(*at),
                to_s: seconds(*until),
                what: text.clone(),
            }),
            _ => {}
        }
    }
    for n in &hung_up {
        if let Some(row) = all.get_mut(n).filter(|row| row.latency.is_none()) {
            row.outcome = "hung up".into();
        }
    }
    let summary = summary::summarize("", lines, verdicts);
    let slow = slowest(lines, &all, first);
    let rows: Vec<Row> = all
        .into_values()
        .map(|mut row| {
            row.at -= first.min(row.at);
            row
        })
        .collect();
    let counted = rows
        .iter()
        .filter(|r| r.outcome != "hung up")
        .count()
        .max(1) as f64;
    let share = |how: &str| rows.iter().filter(|r| r.outcome == how).count() as f64 / counted;
    let mut latencies = saltdrum_load::Latencies::default();
    rows.iter()
        .filter(|r| r.outcome == "succeeded")
        .filter_map(|r| r.latency)
        .for_each(|t| latencies.record(t));
    let invokers: Vec<Invoker> = invokers.into_values().collect();
    let mean =
        invokers.iter().map(|i| i.dispatches).sum::<u64>() as f64 / invokers.len().max(1) as f64;
    let busiest = invokers.iter().map(|i| i.dispatches).max().unwrap_or(0) as f64 / mean;
    let store = summary
        .layers
        .as_ref()
        .map_or(summary.tries.fetches as f64, |l| l.store_requests as f64);
    let rules = summary.rules.iter().map(|v| {
        let found = v
            .broken
            .first()
            .or(v.cannot_tell.first())
            .map_or(String::new(), |f| f.text.clone());
        (v.rule, format!("{:?}", v.state).to_lowercase(), found)
    });
    let figures = [
        ("value", summary.value_in_time),
        ("in_time", summary.in_time),
        ("p50_ms", latencies.quantile_ms(0.5)),
        ("p99_ms", latencies.quantile_ms(0.99)),
        ("throttled", share("throttled")),
        ("errored", share("errored")),
        ("dispatches", summary.tries.dispatches as f64 / counted),
        ("store", store),
        (
            "load_p99_ms",
            if summary.loads.ended_well > 0 {
                summary.loads.p99_ms
            } else {
                f64::NAN
            },
        ),
        ("busiest", busiest),
        (
            "broken",
            summary
                .rules
                .iter()
                .filter(|v| v.state == State::Broken)
                .count() as f64,
        ),
        (
            "unsound",
            summary
                .layers
                .as_ref()
                .map_or(f64::NAN, |l| l.unsound as f64),
        ),
        (
            "mixed",
            summary
                .passages
                .as_ref()
                .map_or(f64::NAN, |p| p.2.len() as f64),
        ),
        (
            "cpu_us",
            cost.map_or(f64::NAN, |c| c.total_s * 1e6 / counted),
        ),
        (
            "controllers_us",
            cost.map_or(f64::NAN, |c| c.controllers_s * 1e6 / counted),
        ),
    ];
    let measures = figures
        .into_iter()
        .map(|(k, v)| (k.to_owned(), v.is_finite().then_some(v)))
        .collect();
    Ok((
        rows,
        Facts {
            measures,
            invokers,
            troubles,
            slow,
            rules: rules.collect(),
            digest,
        },
    ))
}

/// The invocations that took longest, with what became of each of their dispatches.
fn slowest(lines: &[Line], all: &BTreeMap<u64, Row>, first: Ticks) -> Vec<SlowInvocation> {
    let mut order: Vec<(Ticks, u64)> = all
        .iter()
        .filter_map(|(n, row)| Some((row.latency?, *n)))
        .collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    let ms = |t: Ticks| t as f64 / MILLISECOND as f64;
    let mut told: BTreeMap<u64, SlowInvocation> = order
        .into_iter()
        .take(SLOWEST)
        .map(|(took, n)| {
            let row = &all[&n];
            let begun = ms(row.at - first.min(row.at)) / 1e3;
            let what = format!(
                "{} of {} for {}, at {begun:.1} s: {}",
                row.function, row.trigger, row.tenant, row.outcome
            );
            (
                n,
                SlowInvocation {
                    what,
                    took_ms: ms(took),
                    steps: Vec::new(),
                },
            )
        })
        .collect();
    for line in lines {
        let (of, at, text): (ClientAttempt, Ticks, String) = match line {
            Line::Sent { at, of, who, .. } => {
                (*of, *at, format!("sent to controller {}", who.controller))
            }
            Line::Dispatched {
                at,
                of,
                invoker,
                hop,
                ..
            } => (
                *of,
                *at,
                format!("dispatch {hop} reaches invoker {invoker}"),
            ),
            Line::Started {
                at, of, invoker, ..
            } => (*of, *at, format!("runs on invoker {invoker}")),
            Line::Ended {
                at,
                of,
                invoker,
                ended,
                response_sent: told,
                ..
            } => {
                let lost = if *told { "" } else { ", answer lost" };
                (*of, *at, format!("{ended} on invoker {invoker}{lost}"))
            }
            Line::Final { at, of, how, .. } => {
                (*of, *at, format!("answered: {how:?}").to_lowercase())
            }
            _ => continue,
        };
        if let Some(slow) = told.get_mut(&of.number) {
            let since = ms(at - all[&of.number].at.min(at));
            slow.steps.push(format!("+{since:.0} ms: {text}"));
        }
    }
    let mut told: Vec<SlowInvocation> = told.into_values().collect();
    told.sort_by(|a, b| b.took_ms.total_cmp(&a.took_ms));
    told
}
