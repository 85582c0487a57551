//! Summarizes a day from its record alone, as tables for people and as JSON for programs.

use crate::check::{State, Verdict};
use comfy_table::{CellAlignment, Table, presets};
use hdrhistogram::Histogram;
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_fakes::record::{ClientAttempt, Line, Outcome};
use serde::Serialize;
use std::collections::BTreeMap;

/// Outcomes of the invocations of one tenant and trigger type. An invocation counts once, by its last attempt.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    pub tenant: String,
    pub trigger: String,
    pub taken: usize,
    /// Succeeded within the latency objective, measured from the first attempt.
    pub succeeded: usize,
    pub late: usize,
    pub throttled: usize,
    pub errored: usize,
    pub hung_up: usize,
    /// The controller was killed or stalled while the invocation was in flight.
    pub lost: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// Outcomes during one trouble.
#[derive(Clone, Debug, Serialize)]
pub struct TroubleOutcome {
    pub at_ms: f64,
    pub lasts_ms: f64,
    pub what: String,
    /// Invocations that began during the trouble. `in_time` is the share of them that succeeded in time.
    pub invocations: usize,
    pub in_time: f64,
}

/// Counts of attempts, not of invocations: what clients sent and controllers answered.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TryCounts {
    pub sent: usize,
    pub answered: usize,
    pub hung_up: usize,
    pub lost_with_a_killed_controller: usize,
    pub unanswered: usize,
    pub dispatches: usize,
    pub orders_to_load: usize,
    pub fetches: usize,
    pub fetches_refused: usize,
}

/// How invokers obtained models, on a day with layers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Layers {
    /// Distinct chunks that were requested from the store.
    pub chunks: u64,
    pub store_requests: u64,
    pub mb_from_store: f64,
    pub from_cache: u64,
    pub from_peers: u64,
    pub from_store: u64,
    /// Damaged chunks that were detected and discarded.
    pub damaged: u64,
    /// Copies that invokers assembled and compared with their models.
    pub copies: u64,
    /// Copies that differ from their model; must be 0.
    pub unsound: u64,
}

/// Statistics of function loads, from every source.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Loads {
    pub ended_well: usize,
    pub failed: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// The summary of a day.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Alias moves, stages that completed, and stages that were stopped.
    pub moves: Option<(u64, u64, u64)>,
    /// Passages, those with more than one invocation, and a description of each that mixed versions; there must be none.
    pub passages: Option<(usize, usize, Vec<String>)>,
    pub loads: Loads,
    pub layers: Option<Layers>,
    pub day: String,
    pub rows: Vec<Row>,
    /// Share in time of invocations that began while no trouble was active.
    pub in_time_calm: f64,
    pub in_time: f64,
    /// Like `in_time`, with each invocation weighted by its trigger type's billed value.
    pub value_in_time: f64,
    pub troubles: Vec<TroubleOutcome>,
    pub tries: TryCounts,
    pub rules: Vec<Verdict>,
}

#[derive(Default)]
struct InvocationRecord {
    tenant: String,
    trigger: String,
    first_sent: Ticks,
    last_attempt: u32,
    duration: Option<Ticks>,
    outcome: Option<Outcome>,
    hung_up: bool,
}

fn share(in_time: usize, of: usize) -> f64 {
    if of == 0 {
        f64::NAN
    } else {
        in_time as f64 / of as f64
    }
}

/// Summarizes a record.
pub fn summarize(day: &str, lines: &[Line], rules: Vec<Verdict>) -> Summary {
    let mut invocations: BTreeMap<u64, InvocationRecord> = BTreeMap::new();
    let mut moves = None;
    let (mut copies, mut unsound) = (0, 0);
    let (mut loads, mut layers) = (Loads::default(), None);
    let mut billed_values: BTreeMap<String, f64> = BTreeMap::new();
    let mut load_times = Histogram::<u64>::new(3).expect("three digits are allowed");
    let (mut tries, mut objectives, mut start) =
        (TryCounts::default(), BTreeMap::new(), Ticks::MAX);
    let mut fates: BTreeMap<ClientAttempt, u8> = BTreeMap::new();
    let mut killed = BTreeMap::new();
    let mut controllers = BTreeMap::new();
    for line in lines {
        match line {
            Line::RuleParameters(parameters) => {
                objectives.extend(
                    parameters
                        .triggers
                        .iter()
                        .map(|t| (t.name.clone(), t.objective)),
                );
                billed_values.extend(
                    parameters
                        .triggers
                        .iter()
                        .map(|t| (t.name.clone(), t.billed_value)),
                );
            }
            Line::Sent {
                at,
                who,
                of,
                tenant,
                trigger,
                ..
            } => {
                start = start.min(*at);
                tries.sent += 1;
                fates.entry(*of).or_insert(0);
                controllers.insert(*of, *who);
                let invocation = invocations.entry(of.number).or_default();
                if invocation.last_attempt == 0 && invocation.first_sent == 0 {
                    (invocation.tenant, invocation.trigger, invocation.first_sent) =
                        (tenant.clone(), trigger.clone(), *at);
                }
                (
                    invocation.last_attempt,
                    invocation.outcome,
                    invocation.duration,
                ) = (of.attempt, None, None);
            }
            Line::Final { at, of, how, .. } => {
                fates.insert(*of, 1);
                let invocation = invocations.entry(of.number).or_default();
                if of.attempt == invocation.last_attempt {
                    invocation.outcome = Some(*how);
                    invocation.duration = Some(at - invocation.first_sent.min(*at));
                }
            }
            Line::HungUp { of, .. } => {
                fates.insert(*of, 2);
                invocations.entry(of.number).or_default().hung_up = true;
            }
            Line::Controller { at, who, up: false } => drop(killed.insert(*who, *at)),
            Line::Loaded { took, ok: true, .. } => {
                loads.ended_well += 1;
                load_times += (*took).max(1);
            }
            Line::Loaded { ok: false, .. } => loads.failed += 1,
            Line::LayerTotals {
                chunks,
                store_requests,
                bytes_from_store,
                from_cache,
                from_peers,
                from_store,
                damaged,
                ..
            } => {
                layers = Some(Layers {
                    chunks: *chunks,
                    store_requests: *store_requests,
                    mb_from_store: *bytes_from_store as f64 / 1e6,
                    from_cache: *from_cache,
                    from_peers: *from_peers,
                    from_store: *from_store,
                    damaged: *damaged,
                    copies,
                    unsound,
                });
            }
            Line::RegistryTotals {
                moves: alias_moves,
                stages_well,
                stages_stopped,
                ..
            } => {
                moves = Some((*alias_moves, *stages_well, *stages_stopped));
            }
            Line::CopyAssembled {
                matches_model: sound,
                ..
            } => {
                copies += 1;
                unsound += u64::from(!sound);
            }
            Line::Dispatched { .. } => tries.dispatches += 1,
            Line::LoadOrdered { count: 1.., .. } => tries.orders_to_load += 1,
            Line::FetchRequested { refused, .. } => {
                tries.fetches += 1;
                tries.fetches_refused += usize::from(*refused);
            }
            _ => {}
        }
    }
    for (of, fate) in &fates {
        match fate {
            1 => tries.answered += 1,
            2 => tries.hung_up += 1,
            _ if killed.contains_key(&controllers[of]) => tries.lost_with_a_killed_controller += 1,
            _ => tries.unanswered += 1,
        }
    }
    let in_time = |invocation: &InvocationRecord| {
        let objective = objectives
            .get(&invocation.trigger)
            .copied()
            .unwrap_or(Ticks::MAX);
        invocation.outcome == Some(Outcome::Succeeded)
            && invocation.duration.is_some_and(|t| t <= objective)
    };
    let mut rows: BTreeMap<(String, String), (Row, Histogram<u64>)> = BTreeMap::new();
    for invocation in invocations.values() {
        let (row, times) = rows
            .entry((invocation.tenant.clone(), invocation.trigger.clone()))
            .or_insert_with(|| {
                let row = Row {
                    tenant: invocation.tenant.clone(),
                    trigger: invocation.trigger.clone(),
                    ..Default::default()
                };
                (row, Histogram::new(3).expect("three digits are allowed"))
            });
        row.taken += 1;
        match (invocation.outcome, invocation.hung_up) {
            (Some(Outcome::Succeeded), _) => {
                if in_time(invocation) {
                    row.succeeded += 1
                } else {
                    row.late += 1
                }
                *times += invocation.duration.unwrap_or(0).max(1);
            }
            (Some(Outcome::Throttled), _) => row.throttled += 1,
            (Some(Outcome::Errored), _) => row.errored += 1,
            (None, true) => row.hung_up += 1,
            (None, false) => row.lost += 1,
        }
    }
    let rows = rows.into_values().map(|(row, times)| {
        let at = |quantile: f64| times.value_at_quantile(quantile) as f64 / MILLISECOND as f64;
        Row {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            ..row
        }
    });
    let not_hung_up: Vec<&InvocationRecord> = invocations
        .values()
        .filter(|invocation| !invocation.hung_up)
        .collect();
    let mut troubles = Vec::new();
    let mut spans = Vec::new();
    for line in lines {
        let Line::FaultInjected { at, until, text } = line else {
            continue;
        };
        spans.push((*at, *until));
        let during: Vec<&&InvocationRecord> = not_hung_up
            .iter()
            .filter(|invocation| {
                invocation.first_sent >= *at && invocation.first_sent < (*until).max(at + 10_000)
            })
            .collect();
        troubles.push(TroubleOutcome {
            at_ms: at.saturating_sub(start) as f64 / MILLISECOND as f64,
            lasts_ms: until.saturating_sub(*at) as f64 / MILLISECOND as f64,
            what: text.clone(),
            invocations: during.len(),
            in_time: share(
                during
                    .iter()
                    .filter(|invocation| in_time(invocation))
                    .count(),
                during.len(),
            ),
        });
    }
    let billed_value = |invocation: &&InvocationRecord| {
        billed_values
            .get(&invocation.trigger)
            .copied()
            .unwrap_or(1.0)
    };
    let offered: f64 = not_hung_up.iter().map(billed_value).sum();
    let earned: f64 = not_hung_up
        .iter()
        .filter(|invocation| in_time(invocation))
        .map(billed_value)
        .sum();
    let calm: Vec<&&InvocationRecord> = not_hung_up
        .iter()
        .filter(|invocation| {
            spans
                .iter()
                .all(|(a, b)| invocation.first_sent < *a || invocation.first_sent >= *b)
        })
        .collect();
    let at = |quantile: f64| load_times.value_at_quantile(quantile) as f64 / MILLISECOND as f64;
    (loads.p50_ms, loads.p99_ms) = (at(0.5), at(0.99));
    Summary {
        loads,
        layers,
        moves,
        passages: crate::passages::look(lines).map(|p| (p.passages, p.longer, p.mixed)),
        day: day.into(),
        rows: rows.collect(),
        in_time_calm: share(
            calm.iter().filter(|invocation| in_time(invocation)).count(),
            calm.len(),
        ),
        in_time: share(
            not_hung_up
                .iter()
                .filter(|invocation| in_time(invocation))
                .count(),
            not_hung_up.len(),
        ),
        value_in_time: earned / offered.max(1e-9),
        troubles,
        tries,
        rules,
    }
}

fn new_table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::UTF8_HORIZONTAL_ONLY)
        .set_header(head.to_vec());
    table
}

fn align_right_from(table: &mut Table, first_column: usize) {
    for column in table.column_iter_mut().skip(first_column) {
        column.set_cell_alignment(CellAlignment::Right);
    }
}

impl Summary {
    /// The worst state of any rule: broken, then undecided, then kept.
    pub fn state(&self) -> State {
        let any = |s| self.rules.iter().any(|r| r.state == s);
        [State::Broken, State::CannotTell]
            .into_iter()
            .find(|s| any(*s))
            .unwrap_or(State::Kept)
    }

    /// Renders the summary as tables.
    pub fn text(&self) -> String {
        let mut table = new_table(&[
            "tenant",
            "trigger type",
            "taken",
            "succeeded",
            "late",
            "throttled",
            "errored",
            "hung up",
            "lost",
            "p50 ms",
            "p99 ms",
        ]);
        for row in &self.rows {
            let counts = [
                row.taken,
                row.succeeded,
                row.late,
                row.throttled,
                row.errored,
                row.hung_up,
                row.lost,
            ];
            let mut cells = vec![row.tenant.clone(), row.trigger.clone()];
            cells.extend(counts.iter().map(ToString::to_string));
            cells.extend([format!("{:.0}", row.p50_ms), format!("{:.0}", row.p99_ms)]);
            table.add_row(cells);
        }
        align_right_from(&mut table, 2);
        let mut out = format!("{}\n{table}\n", self.day);
        if !self.troubles.is_empty() {
            let mut table = new_table(&["at s", "lasts s", "trouble", "invocations", "in time"]);
            for trouble in &self.troubles {
                table.add_row(vec![
                    format!("{:.1}", trouble.at_ms / 1e3),
                    format!("{:.1}", trouble.lasts_ms / 1e3),
                    trouble.what.clone(),
                    trouble.invocations.to_string(),
                    format!("{:.1}%", 100.0 * trouble.in_time),
                ]);
            }
            align_right_from(&mut table, 3);
            out += &format!(
                "{table}\nin time while calm {:.1}%, ",
                100.0 * self.in_time_calm
            );
        }
        let tries = &self.tries;
        out += &format!(
            "over the day {:.1}%, by billed value {:.1}%\n{} tries: {} answered, {} hung up, {} lost with a killed controller, {} unanswered\n\
             {} dispatches, {} orders to load, {} fetches ({} refused)\n",
            100.0 * self.in_time,
            100.0 * self.value_in_time,
            tries.sent,
            tries.answered,
            tries.hung_up,
            tries.lost_with_a_killed_controller,
            tries.unanswered,
            tries.dispatches,
            tries.orders_to_load,
            tries.fetches,
            tries.fetches_refused,
        );
        let loads = &self.loads;
        out += &format!(
            "{} loads, {} failed, p50 {:.0} ms, p99 {:.0} ms\n",
            loads.ended_well, loads.failed, loads.p50_ms, loads.p99_ms
        );
        if let Some(layers) = &self.layers {
            out += &format!(
                "{} chunks: {} store requests ({:.2} a chunk, {:.1} MB); had from cache {}, peers {}, store {}; {} damaged\n\
                 {} copies compared with their models, {} of them not the model\n",
                layers.chunks,
                layers.store_requests,
                layers.store_requests as f64 / layers.chunks.max(1) as f64,
                layers.mb_from_store,
                layers.from_cache,
                layers.from_peers,
                layers.from_store,
                layers.damaged,
                layers.copies,
                layers.unsound
            );
        }
        if let Some((moves, well, stopped)) = self.moves {
            out += &format!(
                "{moves} moves of aliases; {well} stages ended well, {stopped} were stopped\n"
            );
        }
        if let Some((passages, longer, mixed)) = &self.passages {
            out += &format!(
                "{passages} passages, {longer} of more than one invocation, {} MIXED\n",
                mixed.len()
            );
            mixed
                .iter()
                .take(5)
                .for_each(|m| out += &format!("  {m}\n"));
        }
        for verdict in &self.rules {
            let state = match verdict.state {
                State::Kept => "kept",
                State::CannotTell => "cannot tell",
                State::Broken => "BROKEN",
            };
            out += &format!(
                "rule {} ({}): {state}, {} cases\n",
                verdict.rule, verdict.name, verdict.looked_at
            );
            for (what, findings) in [
                ("broken", &verdict.broken),
                ("cannot tell", &verdict.cannot_tell),
            ] {
                findings
                    .iter()
                    .take(5)
                    .for_each(|f| out += &format!("  {what}: {}\n", f.text));
                if findings.len() > 5 {
                    out += &format!("  {what}: {} more\n", findings.len() - 5);
                }
            }
        }
        out
    }
}
