//! `saltdrum load`: sends a day's traffic, or a recorded trace, to controllers and tells what came of it.

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
pub struct Load {
    /// A day's script, or the name of a day that comes with the program: its deployment and its traffic.
    day: String,
    /// Where a controller takes clients in; once for each controller.
    #[arg(long = "to")]
    to: Vec<String>,
    /// Sends this recorded load (Parquet) in place of the day's traffic.
    #[arg(long)]
    trace: Option<PathBuf>,
    /// SOURCE=SPAN: that source's clock is known to be ahead by so much in the trace.
    #[arg(long = "ahead")]
    ahead: Vec<String>,
    /// Writes the load as a trace; without --to nothing is sent.
    #[arg(long)]
    out: Option<PathBuf>,
    /// In place of the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// In place of the script's.
    #[arg(long)]
    retries: Option<u32>,
    /// Connections to each controller.
    #[arg(long, default_value_t = 4)]
    connections: usize,
    /// Facts as JSON in place of tables.
    #[arg(long)]
    json: bool,
}

fn drawn(day: &Day) -> Vec<TraceEntry> {
    let entry = |a: traffic::Arrival| TraceEntry {
        at: a.at,
        tenant: day.terms.tenant_names[a.tenant].clone(),
        function: a.function,
        work: a.work,
        source: day.name.clone(),
    };
    traffic::draw(day).into_iter().map(entry).collect()
}

/// 0: done. 1: the generator fell behind, the run does not count.
pub fn run(said: &Load) -> Result<u8, String> {
    let (_, mut day) = crate::run::day(&said.day)?;
    day.seed = said.seed.unwrap_or(day.seed);
    let entries = match &said.trace {
        None => drawn(&day),
        Some(path) => {
            let one = |text: &String| -> Result<(String, Ticks), String> {
                let (source, by) = text
                    .split_once('=')
                    .ok_or_else(|| format!("--ahead {text}: SOURCE=SPAN is expected"))?;
                Ok((source.to_owned(), span(by)?.0))
            };
            let ahead: BTreeMap<_, _> = said.ahead.iter().map(one).collect::<Result<_, _>>()?;
            let (entries, mended) = trace::read(path, &ahead).map_err(|e| e.to_string())?;
            for (source, row, by) in &mended.backward_steps {
                eprintln!(
                    "saltdrum: {}: row {row}: the clock of '{source}' was set back by {:.1} s; what follows is moved on",
                    path.display(),
                    *by as f64 / SECOND as f64
                );
            }
            if let Some(why) = drive::find_unknown_name(&day.terms, &entries) {
                return Err(format!("{}: {why} in {}", path.display(), said.day));
            }
            entries
        }
    };
    if let Some(path) = &said.out {
        let made_by = [
            ("script", said.day.clone()),
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
    if said.to.is_empty() {
        return match said.out {
            Some(_) => Ok(0),
            None => Err("--to or --out is expected".into()),
        };
    }
    let doors: Vec<Address> = said
        .to
        .iter()
        .map(|t| t.parse())
        .collect::<Result<_, _>>()?;
    let patience = RetryPolicy {
        retries: said.retries.unwrap_or(day.retries),
        backoff: day.backoff,
    };
    let terms = Rc::new(day.terms.clone());
    let played = crate::process::on_this_thread(async {
        send_load(
            Rc::new(SocketNetwork),
            Clock::start(),
            terms,
            &doors,
            said.connections,
            patience,
            entries,
        )
        .await
    })?;
    tell(&day, &played, said.json)
}

#[derive(Default)]
struct Row {
    latencies: Latencies,
    counts: [u64; 5],
    in_time: u64,
    tries: u64,
}

fn tell(day: &Day, played: &LoadRun, as_json: bool) -> Result<u8, String> {
    let mut rows: BTreeMap<&str, Row> = BTreeMap::new();
    for o in &played.outcomes {
        let function = &day.terms.functions[&o.function];
        let objective = day.terms.deployment.trigger_types[function.trigger].latency_objective;
        for name in [o.tenant.as_str(), "all"] {
            let row = rows.entry(name).or_default();
            row.tries += u64::from(o.attempts);
            let at = match o.result {
                AttemptOutcome::Succeeded => 0,
                AttemptOutcome::Throttled(_) => 1,
                AttemptOutcome::Errored => 2,
                AttemptOutcome::Unknown => 3,
                AttemptOutcome::Unsent => 4,
            };
            row.counts[at] += 1;
            if at == 0 {
                row.latencies.record(o.latency());
                row.in_time += u64::from(o.latency() <= objective);
            }
        }
    }
    let verdict = played.lag.verdict();
    let ms = |t: Ticks| t as f64 / MILLISECOND as f64;
    if as_json {
        let row = |(name, r): (&&str, &Row)| {
            json!({"tenant": name, "succeeded": r.counts[0], "throttled": r.counts[1], "errored": r.counts[2],
                "unanswered": r.counts[3], "unsent": r.counts[4], "in_time": r.in_time, "tries": r.tries,
                "p50_ms": r.latencies.quantile_ms(0.5), "p99_ms": r.latencies.quantile_ms(0.99), "most_ms": r.latencies.quantile_ms(1.0)})
        };
        let all: Vec<_> = rows.iter().map(row).collect();
        let facts = json!({"rows": all, "lag": {"worst_ms": ms(played.lag.worst),
            "stood_ms": ms(played.lag.longest_stall), "late": played.lag.late}, "verdict": verdict});
        println!(
            "{}",
            serde_json::to_string_pretty(&facts).map_err(|e| e.to_string())?
        );
    } else {
        let mut t = Table::new();
        let head = [
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
        t.load_preset(presets::UTF8_HORIZONTAL_ONLY)
            .set_header(head);
        for (name, r) in &rows {
            let mut cells = vec![
                (*name).to_owned(),
                r.counts[0].to_string(),
                r.in_time.to_string(),
            ];
            cells.extend(r.counts[1..].iter().map(ToString::to_string));
            cells.push(r.tries.to_string());
            cells.extend([0.5, 0.99, 1.0].map(|q| format!("{:.1}", r.latencies.quantile_ms(q))));
            t.add_row(cells);
        }
        t.column_iter_mut()
            .skip(1)
            .for_each(|c| c.set_cell_alignment(CellAlignment::Right));
        let lag = &played.lag;
        println!("{t}\nlatency counts from when an invocation was to be sent");
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
