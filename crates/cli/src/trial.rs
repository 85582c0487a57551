//! `saltdrum trial`: runs a trial and prints the verdicts of its judges.

use crate::process::on_this_thread;
use clap::Args;
use saltdrum_trial::judge::{Verdict, cannot_tell, judge};
use saltdrum_trial::lease_judge::judge_leases;
use saltdrum_trial::record::{How, Line};
use saltdrum_trial::{TRIALS, Trial, play, record};
use serde_json::json;
use std::collections::BTreeSet;
use std::io::{BufWriter, Write};
use std::path::PathBuf;

/// Runs of a trial that are inconclusive because the machine stalled, before that is the result.
const RUNS_MAX: usize = 3;

/// Options of `saltdrum trial`.
#[derive(Args)]
pub struct TrialOptions {
    /// Script, or the name of a built-in trial.
    trial: String,
    /// Seed that replaces the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Prints the results as JSON instead of text.
    #[arg(long)]
    json: bool,
    /// Writes the record to this file.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Keeps the logs and disks of the processes in this folder, which must be empty.
    #[arg(long)]
    keep: Option<PathBuf>,
}

/// Loads a trial by the name of a built-in one or by the path of its script.
fn load_trial(name: &str) -> Result<Trial, String> {
    let (file, text) = match TRIALS.iter().find(|t| t.0 == name) {
        Some((name, text)) => (format!("{name}.star"), (*text).to_owned()),
        None if name.ends_with(".star") => (
            name.to_owned(),
            std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))?,
        ),
        None => {
            let names: Vec<&str> = TRIALS.iter().map(|t| t.0).collect();
            return Err(format!(
                "'{name}': a script.star or one of {} is expected",
                names.join(", ")
            ));
        }
    };
    Trial::load(&file, &text).map_err(|e| e.to_string())
}

/// Runs a trial. Exit codes: 0 all rules kept, 1 a rule broken or a step failed, 3 inconclusive.
pub fn run(options: &TrialOptions) -> Result<u8, String> {
    let mut trial = load_trial(&options.trial)?;
    trial.seed = options.seed.unwrap_or(trial.seed);
    let binary = std::env::current_exe().map_err(|e| e.to_string())?;
    for run_number in 1..=RUNS_MAX {
        let temporary = tempfile::tempdir().map_err(|e| e.to_string())?;
        let folder = options
            .keep
            .clone()
            .unwrap_or_else(|| temporary.path().to_owned());
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let lines = on_this_thread(play(&trial, &binary, &folder))??;
        if let Some(path) = &options.record {
            let written = std::fs::File::create(path).and_then(|file| {
                let mut file = BufWriter::new(file);
                record::write(&lines, &mut file)?;
                file.flush()
            });
            written.map_err(|e| format!("{}: {e}", path.display()))?;
        }
        let mut verdicts = judge(&lines);
        if trial.journals > 0 {
            verdicts.extend(judge_leases(&lines));
        }
        let failed: Vec<&String> = lines
            .iter()
            .filter_map(|l| {
                if let Line::Failed { why, .. } = l {
                    Some(why)
                } else {
                    None
                }
            })
            .collect();
        let is_broken = verdicts.iter().any(|v| !v.broken.is_empty());
        let is_inconclusive = cannot_tell(&lines) && (is_broken || !failed.is_empty());
        if is_inconclusive && run_number < RUNS_MAX && options.keep.is_none() {
            continue;
        }
        print_results(&trial, &lines, &verdicts, &failed, options.json);
        return Ok(match (is_inconclusive, is_broken || !failed.is_empty()) {
            (true, _) => 3,
            (false, true) => 1,
            (false, false) => 0,
        });
    }
    unreachable!("the last run returns its result")
}

/// Prints the verdicts and the counts of a record.
fn print_results(
    trial: &Trial,
    lines: &[Line],
    verdicts: &[Verdict],
    failed: &[&String],
    as_json: bool,
) {
    let count_events = |event: &str| {
        lines
            .iter()
            .filter(|l| matches!(l, Line::Told { what, .. } if what == event))
            .count()
    };
    let count_invocations = |outcome: How| {
        lines
            .iter()
            .filter(|l| matches!(l, Line::Invoked { how, .. } if *how == outcome))
            .count()
    };
    if as_json {
        let results = json!({
            "trial": trial.name, "seed": trial.seed, "rules": verdicts, "failed": failed,
            "drains_begun": count_events("began"), "drains_ended": count_events("drained"),
            "effects": effects_and_epochs(lines).0, "epochs": effects_and_epochs(lines).1,
            "succeeded": count_invocations(How::Succeeded), "throttled": count_invocations(How::Throttled),
            "errored": count_invocations(How::Errored), "lost": count_invocations(How::Lost),
        });
        println!("{results}");
        return;
    }
    println!("{}, seed {}", trial.name, trial.seed);
    if trial.journals > 0 {
        let (effects, epochs) = effects_and_epochs(lines);
        println!("  effects: {effects} accepted, of {epochs} epochs");
        if let Some((p50_ms, p99_ms)) = handover_gaps_ms(lines) {
            println!(
                "  from an epoch's last effect to the next one's first: p50 {p50_ms:.0} ms, p99 {p99_ms:.0} ms"
            );
        }
    }
    println!(
        "  drains: {} begun, {} ended",
        count_events("began"),
        count_events("drained")
    );
    println!(
        "  invocations: {} succeeded, {} throttled, {} errored, {} lost",
        count_invocations(How::Succeeded),
        count_invocations(How::Throttled),
        count_invocations(How::Errored),
        count_invocations(How::Lost)
    );
    for verdict in verdicts {
        println!(
            "  {}: {}",
            verdict.rule,
            if verdict.broken.is_empty() {
                "kept"
            } else {
                "BROKEN"
            }
        );
        verdict.broken.iter().for_each(|b| println!("    {b}"));
    }
    failed
        .iter()
        .for_each(|why| println!("  step failed: {why}"));
}

/// The number of accepted effects of fleet-wide tasks, and of their epochs.
fn effects_and_epochs(lines: &[Line]) -> (usize, usize) {
    let epoch = |line: &Line| {
        if let Line::Effect { epoch, .. } = line {
            Some(*epoch)
        } else {
            None
        }
    };
    let epochs: Vec<u64> = lines.iter().filter_map(epoch).collect();
    (epochs.len(), epochs.iter().collect::<BTreeSet<_>>().len())
}

/// Median and 99th percentile of the time from the last effect of an epoch to the first of the next epoch with effects.
fn handover_gaps_ms(lines: &[Line]) -> Option<(f64, f64)> {
    let effect = |line: &Line| match line {
        Line::Effect { at_ns, epoch, .. } => Some((*at_ns, *epoch)),
        _ => None,
    };
    let mut effects: Vec<(u64, u64)> = lines.iter().filter_map(effect).collect();
    effects.sort_unstable();
    let handovers = effects.windows(2).filter(|pair| pair[0].1 != pair[1].1);
    let mut gaps_ms: Vec<f64> = handovers
        .map(|pair| (pair[1].0 - pair[0].0) as f64 / 1e6)
        .collect();
    gaps_ms.sort_by(f64::total_cmp);
    let percentile = |percent: usize| {
        gaps_ms
            .get(gaps_ms.len().saturating_sub(1) * percent / 100)
            .copied()
    };
    Some((percentile(50)?, percentile(99)?))
}
