//! Plays an experiment's runs on all cores, and keeps each as it ends.

use crate::Experiment;
use crate::experiment::Variant;
use crate::facts::{self, Cost};
use crate::meter::{cpu_s, metered};
use crate::plan::{Cell, Progress};
use crate::results::{self, RunOrigin};
use saltdrum_fakes::record::{self, Line};
use saltdrum_scenario::{POLICIES, play_virtually};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::BufReader;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::process::Command;
use std::sync::Mutex;

/// What stands in a results folder beside the runs: which of them belong to the experiment as it was last run.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunList {
    pub experiment: String,
    pub variants: Vec<String>,
    pub days: Vec<String>,
    pub sizes: Vec<f64>,
    pub seeds: Vec<u64>,
    pub keys: Vec<String>,
}

pub const LIST: &str = "experiment.json";

/// What came of a sitting.
#[derive(Debug, Default)]
pub struct Execution {
    pub played: usize,
    pub reused: usize,
    pub failed: Vec<String>,
    /// Of all results, in the order of their keys.
    pub digest: String,
}

/// All that a run's result hangs on: script, policy, and the program's bytes.
fn key(script: &str, v: &Variant, programs: &BTreeMap<String, String>) -> String {
    let program = v
        .program
        .as_ref()
        .map_or(String::new(), |p| p.display().to_string());
    let said = [
        script,
        &v.policy,
        &programs[&program],
        env!("CARGO_PKG_VERSION"),
    ]
    .join("\0");
    blake3::hash(said.as_bytes()).to_hex()[..24].to_owned()
}

fn program_digest(path: &Path) -> Result<String, String> {
    let bytes = fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(blake3::hash(&bytes).to_hex().to_string())
}

fn play(x: &Experiment, cell: Cell) -> Result<(Vec<Line>, Option<Cost>), String> {
    let (script, v) = (x.script(cell), &x.variants[cell.variant]);
    let Some(program) = &v.program else {
        let day = script.day().map_err(|e| e.to_string())?;
        let serve = POLICIES
            .iter()
            .find(|(name, _)| *name == v.policy)
            .expect("it was looked for at reading")
            .1;
        let before = cpu_s();
        let (lines, controllers_s) = metered(serve, |serve| play_virtually(&day, serve));
        return Ok((
            lines.map_err(|e| e.to_string())?,
            Some(Cost {
                total_s: cpu_s() - before,
                controllers_s,
            }),
        ));
    };
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let (day, kept) = (folder.path().join("day.star"), folder.path().join("record"));
    fs::write(&day, script.text()).map_err(|e| e.to_string())?;
    let mut command = Command::new(program);
    command
        .arg("play")
        .arg(&day)
        .arg("--virtual")
        .arg("--json")
        .arg("--record")
        .arg(&kept);
    let told = command
        .output()
        .map_err(|e| format!("{}: {e}", program.display()))?;
    if !matches!(told.status.code(), Some(0 | 1 | 3)) {
        let why = String::from_utf8_lossy(&told.stderr);
        return Err(format!(
            "{}: {}: {}",
            program.display(),
            told.status,
            why.trim()
        ));
    }
    let file = fs::File::open(&kept).map_err(|e| e.to_string())?;
    Ok((record::read(BufReader::new(file))?, None))
}

fn one(x: &Experiment, cell: Cell, key: &str, folder: &Path) -> Result<(), String> {
    let (lines, cpu) = play(x, cell)?;
    let (rows, facts) = facts::summarize(&lines, cpu)?;
    let v = &x.variants[cell.variant];
    let made = RunOrigin {
        key: key.to_owned(),
        variant: v.name.clone(),
        day: x.days[cell.day].0.clone(),
        size: x.sizes[cell.size],
        seed: x.seeds[cell.seed],
        script: x.script(cell).text(),
        policy: v.policy.clone(),
        version: env!("CARGO_PKG_VERSION").into(),
    };
    results::store(folder, &made, &facts, &rows).map_err(|e| e.to_string())
}

/// Plays what is not there yet, on so many threads. `tell` hears of each run: over, of all, and its name.
pub fn run(
    x: &Experiment,
    folder: &Path,
    threads: usize,
    tell: impl Fn(usize, usize, &str) + Sync,
) -> Result<Execution, String> {
    fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let this = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut programs = BTreeMap::from([(String::new(), program_digest(&this)?)]);
    for program in x.variants.iter().filter_map(|v| v.program.as_ref()) {
        programs.insert(program.display().to_string(), program_digest(program)?);
    }
    let keyed: Vec<(Cell, String)> = x
        .cells()
        .into_iter()
        .map(|c| {
            (
                c,
                key(&x.script(c).text(), &x.variants[c.variant], &programs),
            )
        })
        .collect();
    let listed = RunList {
        experiment: x.name.clone(),
        variants: x.variants.iter().map(|v| v.name.clone()).collect(),
        days: x.days.iter().map(|d| d.0.clone()).collect(),
        sizes: x.sizes.clone(),
        seeds: x.seeds.clone(),
        keys: keyed.iter().map(|(_, key)| key.clone()).collect(),
    };
    let (list, half) = (folder.join(LIST), folder.join("experiment.half"));
    let text = serde_json::to_vec_pretty(&listed).map_err(|e| e.to_string())?;
    fs::write(&half, text)
        .and_then(|()| fs::rename(&half, &list))
        .map_err(|e| format!("{}: {e}", list.display()))?;
    let (whole, bad) = results::scan(folder).map_err(|e| e.to_string())?;
    bad.iter()
        .for_each(|e| tracing::warn!("{e}; it is played again"));
    let finished: BTreeSet<String> = whole.into_keys().collect();
    let progress = Mutex::new(Progress::new(keyed, &finished));
    let held = || {
        progress
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    };
    let found = held().told().2;
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let Some((cell, key)) = held().take() else {
                        return;
                    };
                    let played = catch_unwind(AssertUnwindSafe(|| one(x, cell, &key, folder)));
                    let played = played.unwrap_or_else(|_| Err("it panicked".into()));
                    held().ended(cell, played);
                    let (over, all, _) = held().told();
                    let (day, v) = (&x.days[cell.day].0, &x.variants[cell.variant].name);
                    tell(
                        over,
                        all,
                        &format!(
                            "{day}, seed {}, size {}, {v}",
                            x.seeds[cell.seed], x.sizes[cell.size]
                        ),
                    );
                }
            });
        }
    });
    let progress = progress
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let failed = progress.failed.iter().map(|(c, why)| {
        format!(
            "{}, seed {}, {}: {why}",
            x.days[c.day].0, x.seeds[c.seed], x.variants[c.variant].name
        )
    });
    Ok(Execution {
        played: progress.done.len() - found,
        reused: found,
        failed: failed.collect(),
        digest: results_digest(folder, &listed.keys)?,
    })
}

/// Equal for equal records, whoever played them and however many at a time.
fn results_digest(folder: &Path, keys: &[String]) -> Result<String, String> {
    let (whole, _) = results::scan(folder).map_err(|e| e.to_string())?;
    let mut all = blake3::Hasher::new();
    for path in keys.iter().filter_map(|key| whole.get(key)) {
        let run = results::read(path).map_err(|e| e.to_string())?;
        all.update(run.origin.key.as_bytes())
            .update(run.facts.digest.as_bytes());
    }
    Ok(all.finalize().to_hex()[..16].to_owned())
}
