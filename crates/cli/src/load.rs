//! `saltdrum load`: sends a day's traffic, or a recorded trace, to controllers and reports the outcome.

use clap::Args;
use comfy_table::{CellAlignment, Table, presets};
use saltdrum::interface::{MILLISECOND, SECOND, Ticks};
use saltdrum_deployment::units::span;
use saltdrum_load::retry::{AttemptOutcome, RetryPolicy};
use saltdrum_load::{Latencies, LoadRun, TraceEntry, Verdict, drive, send_load, trace};
use saltdrum_scenario::{Day, traffic};
use saltdrum_transport::{Address, Clock, SocketNetwork};
use serde_json::json;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

#[derive(Args)]
pub struct LoadOptions {
    /// Script of a day, or the name of a built-in day: its deployment and its traffic.
    day: String,
    /// Client address of a controller; repeat for each controller.
    #[arg(long = "to")]
    to: Vec<String>,
    /// Sends this recorded load (Parquet) instead of the day's traffic.
    #[arg(long)]
    trace: Option<PathBuf>,
    /// SOURCE=SPAN: in the trace, the clock of SOURCE is ahead by SPAN.
    #[arg(long = "ahead")]
    ahead: Vec<String>,
    /// Writes the load to this file as a trace; without --to nothing is sent.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Seed that replaces the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Retry limit that replaces the script's.
    #[arg(long)]
    retries: Option<u32>,
    /// Number of connections to each controller.
    #[arg(long, default_value_t = 4)]
    connections: usize,
    /// Prints the results as JSON instead of tables.
    #[arg(long)]
    json: bool,
}

/// Draws the invocations of a day's traffic.
fn draw_traffic(day: &Day) -> Vec<TraceEntry> {
    let entry = |arrival: traffic::Arrival| TraceEntry {
        at: arrival.at,
        tenant: day.terms.tenant_names[arrival.tenant].clone(),
        function: arrival.function,
        work: arrival.work,
        source: day.name.clone(),
    };
    traffic::draw(day).into_iter().map(entry).collect()
}

/// Returns the exit code: 0 done; 1 the generator fell behind, so that the run does not count.
pub fn run(options: &LoadOptions) -> Result<u8, String> {
    let (_, mut day) = crate::run::day(&options.day)?;
    day.seed = options.seed.unwrap_or(day.seed);
    let entries = match &options.trace {
        None => draw_traffic(&day),
        Some(path) => {
            let parse = |text: &String| -> Result<(String, Ticks), String> {
                let (source, span_text) = text
                    .split_once('=')
                    .ok_or_else(|| format!("--ahead {text}: SOURCE=SPAN is expected"))?;
                Ok((source.to_owned(), span(span_text)?.0))
            };
            let ahead: BTreeMap<_, _> =
                options.ahead.iter().map(parse).collect::<Result<_, _>>()?;
            let (entries, corrections) = trace::read(path, &ahead).map_err(|e| e.to_string())?;
            for (source, row, by) in &corrections.backward_steps {
                eprintln!(
                    "saltdrum: {}: row {row}: the clock of '{source}' was set back by {:.1} s; the rows that follow are shifted forward",
                    path.display(),
                    *by as f64 / SECOND as f64
                );
            }
            if let Some(why) = drive::find_unknown_name(&day.terms, &entries) {
                return Err(format!("{}: {why} in {}", path.display(), options.day));
            }
            entries
        }
    };
    if let Some(path) = &options.out {
        let made_by = [
            ("script", options.day.clone()),
            ("seed", day.seed.to_string()),
            ("version", env!("CARGO_PKG_VERSION").to_owned()),
        ];
        trace::write(path, &entries, &made_by).map_err(|e| e.to_string())?;
        println!(
            "{} invocations written to {}",
            entries.len(),
            path.display()
        );
    }
    if options.to.is_empty() {
        return match options.out {
            Some(_) => Ok(0),
            None => Err("--to or --out is expected".into()),
        };
    }
    let addresses: Vec<Address> = options
        .to
        .iter()
        .map(|t| t.parse())
        .collect::<Result<_, _>>()?;
    let patience = RetryPolicy {
        retries: options.retries.unwrap_or(day.retries),
        backoff: day.backoff,
    };
    let terms = Rc::new(day.terms.clone());
    let played = crate::process::on_this_thread(async {
        send_load(
            Rc::new(SocketNetwork),
            Clock::start(),
            terms,
            &addresses,
            options.connections,
            patience,
            entries,
        )
        .await
    })?;
    report(&day, &played, options.json)
}

/// Outcomes of one tenant, or of all.
#[derive(Default)]
struct Row {
    latencies: Latencies,
    /// Succeeded, throttled, errored, unanswered and unsent.
    counts: [u64; 5],
    in_time: u64,
    attempts: u64,
}

/// Prints the outcomes, and returns the exit code.
fn report(day: &Day, played: &LoadRun, as_json: bool) -> Result<u8, String> {
    let mut rows: BTreeMap<&str, Row> = BTreeMap::new();
    for outcome in &played.outcomes {
        let function = &day.terms.functions[&outcome.function];
        let objective = day.terms.deployment.trigger_types[function.trigger].latency_objective;
        for name in [outcome.tenant.as_str(), "all"] {
            let row = rows.entry(name).or_default();
            row.attempts += u64::from(outcome.attempts);
            let index = match outcome.result {
                AttemptOutcome::Succeeded => 0,
                AttemptOutcome::Throttled(_) => 1,
                AttemptOutcome::Errored => 2,
                AttemptOutcome::Unknown => 3,
                AttemptOutcome::Unsent => 4,
            };
            row.counts[index] += 1;
            if index == 0 {
                row.latencies.record(outcome.latency());
                row.in_time += u64::from(outcome.latency() <= objective);
            }
        }
    }
    let verdict = played.lag.verdict();
    let ms = |t: Ticks| t as f64 / MILLISECOND as f64;
    if as_json {
        let json_row = |(name, row): (&&str, &Row)| {
            json!({"tenant": name, "succeeded": row.counts[0], "throttled": row.counts[1], "errored": row.counts[2],
                "unanswered": row.counts[3], "unsent": row.counts[4], "in_time": row.in_time, "tries": row.attempts,
                "p50_ms": row.latencies.quantile_ms(0.5), "p99_ms": row.latencies.quantile_ms(0.99), "most_ms": row.latencies.quantile_ms(1.0)})
        };
        let json_rows: Vec<_> = rows.iter().map(json_row).collect();
        let results = json!({"rows": json_rows, "lag": {"worst_ms": ms(played.lag.worst),
            "stood_ms": ms(played.lag.longest_stall), "late": played.lag.late}, "verdict": verdict});
        println!(
            "{}",
            serde_json::to_string_pretty(&results).map_err(|e| e.to_string())?
        );
    } else {
        let mut table = Table::new();
        let titles = [
            "tenant",
            "succeeded",
            "in time",
            "throttled",
            "errored",
            "unanswered",
            "unsent",
            "tries",
            "p50 ms",
            "p99 ms",
            "most ms",
        ];
        table
            .load_preset(presets::UTF8_HORIZONTAL_ONLY)
            .set_header(titles);
        for (name, row) in &rows {
            let mut cells = vec![
                (*name).to_owned(),
                row.counts[0].to_string(),
                row.in_time.to_string(),
            ];
            cells.extend(row.counts[1..].iter().map(ToString::to_string));
            cells.push(row.attempts.to_string());
            cells.extend([0.5, 0.99, 1.0].map(|q| format!("{:.1}", row.latencies.quantile_ms(q))));
            table.add_row(cells);
        }
        table
            .column_iter_mut()
            .skip(1)
            .for_each(|c| c.set_cell_alignment(CellAlignment::Right));
        let lag = &played.lag;
        println!("{table}\nlatency counts from when an invocation was to be sent");
        println!(
            "generator: {} of {} late, worst {:.1} ms",
            lag.late,
            lag.sent,
            ms(lag.worst)
        );
    }
    match verdict {
        Verdict::Valid => Ok(0),
        Verdict::GeneratorFellBehind(why) => {
            eprintln!("saltdrum: the generator fell behind: {why}; this run does not count");
            Ok(1)
        }
    }
}
