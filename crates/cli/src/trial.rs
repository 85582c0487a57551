//! `saltdrum trial`: plays one, and tells what the judge makes of it.

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

/// Plays of a trial in which the machine stood still, before that is the answer.
const PLAYS: usize = 3;

#[derive(Args)]
pub struct Plays {
    /// A script, or the name of a trial that comes with the program.
    trial: String,
    #[arg(long)]
    seed: Option<u64>,
    /// Facts as JSON in place of lines.
    #[arg(long)]
    json: bool,
    /// Keeps the record here.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Keeps the processes' logs and disks in this folder, which must be empty.
    #[arg(long)]
    keep: Option<PathBuf>,
}

fn load(name: &str) -> Result<Trial, String> {
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

pub fn run(plays: &Plays) -> Result<u8, String> {
    let mut trial = load(&plays.trial)?;
    trial.seed = plays.seed.unwrap_or(trial.seed);
    let binary = std::env::current_exe().map_err(|e| e.to_string())?;
    for n in 1..=PLAYS {
        let lent = tempfile::tempdir().map_err(|e| e.to_string())?;
        let folder = plays.keep.clone().unwrap_or_else(|| lent.path().to_owned());
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let lines = on_this_thread(play(&trial, &binary, &folder))??;
        if let Some(path) = &plays.record {
            let kept = std::fs::File::create(path).and_then(|file| {
                let mut file = BufWriter::new(file);
                record::write(&lines, &mut file)?;
                file.flush()
            });
            kept.map_err(|e| format!("{}: {e}", path.display()))?;
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
        let broken = verdicts.iter().any(|v| !v.broken.is_empty());
        let unclear = cannot_tell(&lines) && (broken || !failed.is_empty());
        if unclear && n < PLAYS && plays.keep.is_none() {
            continue;
        }
        tell(&trial, &lines, &verdicts, &failed, plays.json);
        return Ok(match (unclear, broken || !failed.is_empty()) {
            (true, _) => 3,
            (false, true) => 1,
            (false, false) => 0,
        });
    }
    unreachable!("the last play is told whatever came of it")
}

fn tell(trial: &Trial, lines: &[Line], verdicts: &[Verdict], failed: &[&String], as_json: bool) {
    let told = |word: &str| {
        lines
            .iter()
            .filter(|l| matches!(l, Line::Told { what, .. } if what == word))
            .count()
    };
    let how = |which: How| {
        lines
            .iter()
            .filter(|l| matches!(l, Line::Invoked { how, .. } if *how == which))
            .count()
    };
    if as_json {
        let facts = json!({
            "trial": trial.name, "seed": trial.seed, "rules": verdicts, "failed": failed,
            "drains_begun": told("began"), "drains_ended": told("drained"),
            "effects": effects_and_epochs(lines).0, "epochs": effects_and_epochs(lines).1,
            "succeeded": how(How::Succeeded), "throttled": how(How::Throttled),
            "errored": how(How::Errored), "lost": how(How::Lost),
        });
        println!("{facts}");
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
        told("began"),
        told("drained")
    );
    println!(
        "  invocations: {} succeeded, {} throttled, {} errored, {} lost",
        how(How::Succeeded),
        how(How::Throttled),
        how(How::Errored),
        how(How::Lost)
    );
    for v in verdicts {
        println!(
            "  {}: {}",
            v.rule,
            if v.broken.is_empty() {
                "kept"
            } else {
                "BROKEN"
            }
        );
        v.broken.iter().for_each(|b| println!("    {b}"));
    }
    failed
        .iter()
        .for_each(|why| println!("  step failed: {why}"));
}

/// Effects of fleet-wide tasks that were accepted, and of how many grants.
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

/// From the last effect of an epoch to the first of the next that had one: the median and the ninety-ninth of a hundred.
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
    let of = |share: usize| {
        gaps_ms
            .get(gaps_ms.len().saturating_sub(1) * share / 100)
            .copied()
    };
    Some((of(50)?, of(99)?))
}
