//! Executes an experiment's runs on all cores and stores each when it ends.

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

/// The contents of the file [`LIST`] in a results folder: the runs that belong to the experiment as last executed.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunList {
    pub experiment: String,
    pub variants: Vec<String>,
    pub days: Vec<String>,
    pub sizes: Vec<f64>,
    pub seeds: Vec<u64>,
    pub keys: Vec<String>,
}

/// Name of the file with the [`RunList`].
pub const LIST: &str = "experiment.json";

/// The result of executing an experiment.
#[derive(Debug, Default)]
pub struct Execution {
    pub played: usize,
    /// Runs whose result was already stored.
    pub reused: usize,
    pub failed: Vec<String>,
    /// Digest of all results, in the order of their keys.
    pub digest: String,
}

/// A digest of everything that a run's result depends on: script, policy, and the program's bytes and version.
fn run_key(script: &str, variant: &Variant, programs: &BTreeMap<String, String>) -> String {
    let program = variant
        .program
        .as_ref()
        .map_or(String::new(), |p| p.display().to_string());
    let inputs = [
        script,
        &variant.policy,
        &programs[&program],
        env!("CARGO_PKG_VERSION"),
    ]
    .join("\0");
    blake3::hash(inputs.as_bytes()).to_hex()[..24].to_owned()
}

fn program_digest(path: &Path) -> Result<String, String> {
    let bytes = fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(blake3::hash(&bytes).to_hex().to_string())
}

fn play(experiment: &Experiment, cell: Cell) -> Result<(Vec<Line>, Option<Cost>), String> {
    let (script, variant) = (experiment.script(cell), &experiment.variants[cell.variant]);
    let Some(program) = &variant.program else {
        let day = script.day().map_err(|e| e.to_string())?;
        let serve = POLICIES
            .iter()
            .find(|(name, _)| *name == variant.policy)
            .expect("the policy was checked when the experiment was loaded")
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
    let (day, record_path) = (folder.path().join("day.star"), folder.path().join("record"));
    fs::write(&day, script.text()).map_err(|e| e.to_string())?;
    let mut command = Command::new(program);
    command
        .arg("play")
        .arg(&day)
        .arg("--virtual")
        .arg("--json")
        .arg("--record")
        .arg(&record_path);
    let output = command
        .output()
        .map_err(|e| format!("{}: {e}", program.display()))?;
    if !matches!(output.status.code(), Some(0 | 1 | 3)) {
        let message = String::from_utf8_lossy(&output.stderr);
        return Err(format!(
            "{}: {}: {}",
            program.display(),
            output.status,
            message.trim()
        ));
    }
    let file = fs::File::open(&record_path).map_err(|e| e.to_string())?;
    Ok((record::read(BufReader::new(file))?, None))
}

fn execute(experiment: &Experiment, cell: Cell, key: &str, folder: &Path) -> Result<(), String> {
    let (lines, cost) = play(experiment, cell)?;
    let (rows, facts) = facts::summarize(&lines, cost)?;
    let variant = &experiment.variants[cell.variant];
    let origin = RunOrigin {
        key: key.to_owned(),
        variant: variant.name.clone(),
        day: experiment.days[cell.day].0.clone(),
        size: experiment.sizes[cell.size],
        seed: experiment.seeds[cell.seed],
        script: experiment.script(cell).text(),
        policy: variant.policy.clone(),
        version: env!("CARGO_PKG_VERSION").into(),
    };
    results::store(folder, &origin, &facts, &rows).map_err(|e| e.to_string())
}

/// Executes all runs without a stored result on `threads` threads. `report_progress` is called after each run with the
/// number of finished runs, the number of all runs, and the name of the run.
pub fn run(
    experiment: &Experiment,
    folder: &Path,
    threads: usize,
    report_progress: impl Fn(usize, usize, &str) + Sync,
) -> Result<Execution, String> {
    fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let own_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut programs = BTreeMap::from([(String::new(), program_digest(&own_program)?)]);
    for program in experiment
        .variants
        .iter()
        .filter_map(|v| v.program.as_ref())
    {
        programs.insert(program.display().to_string(), program_digest(program)?);
    }
    let runs: Vec<(Cell, String)> = experiment
        .cells()
        .into_iter()
        .map(|c| {
            (
                c,
                run_key(
                    &experiment.script(c).text(),
                    &experiment.variants[c.variant],
                    &programs,
                ),
            )
        })
        .collect();
    let run_list = RunList {
        experiment: experiment.name.clone(),
        variants: experiment.variants.iter().map(|v| v.name.clone()).collect(),
        days: experiment.days.iter().map(|d| d.0.clone()).collect(),
        sizes: experiment.sizes.clone(),
        seeds: experiment.seeds.clone(),
        keys: runs.iter().map(|(_, key)| key.clone()).collect(),
    };
    let (list, partial) = (folder.join(LIST), folder.join("experiment.half"));
    let text = serde_json::to_vec_pretty(&run_list).map_err(|e| e.to_string())?;
    fs::write(&partial, text)
        .and_then(|()| fs::rename(&partial, &list))
        .map_err(|e| format!("{}: {e}", list.display()))?;
    let (intact, unreadable) = results::scan(folder).map_err(|e| e.to_string())?;
    unreadable
        .iter()
        .for_each(|error| tracing::warn!(%error, "stored run is unreadable; repeating it"));
    let finished: BTreeSet<String> = intact.into_keys().collect();
    let progress = Mutex::new(Progress::new(runs, &finished));
    let lock = || {
        progress
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    };
    let reused = lock().counts().2;
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let Some((cell, key)) = lock().start_next() else {
                        return;
                    };
                    let result =
                        catch_unwind(AssertUnwindSafe(|| execute(experiment, cell, &key, folder)));
                    let result = result.unwrap_or_else(|_| Err("the run panicked".into()));
                    lock().finish(cell, result);
                    let (finished, total, _) = lock().counts();
                    let (day, variant) = (
                        &experiment.days[cell.day].0,
                        &experiment.variants[cell.variant].name,
                    );
                    report_progress(
                        finished,
                        total,
                        &format!(
                            "{day}, seed {}, size {}, {variant}",
                            experiment.seeds[cell.seed], experiment.sizes[cell.size]
                        ),
                    );
                }
            });
        }
    });
    let progress = progress
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let failed = progress.failed.iter().map(|(c, reason)| {
        format!(
            "{}, seed {}, {}: {reason}",
            experiment.days[c.day].0, experiment.seeds[c.seed], experiment.variants[c.variant].name
        )
    });
    Ok(Execution {
        played: progress.done.len() - reused,
        reused,
        failed: failed.collect(),
        digest: results_digest(folder, &run_list.keys)?,
    })
}

/// A digest of the keys and records of the runs. It does not depend on the number of threads or the order of execution.
fn results_digest(folder: &Path, keys: &[String]) -> Result<String, String> {
    let (intact, _) = results::scan(folder).map_err(|e| e.to_string())?;
    let mut hasher = blake3::Hasher::new();
    for path in keys.iter().filter_map(|key| intact.get(key)) {
        let run = results::read(path).map_err(|e| e.to_string())?;
        hasher
            .update(run.origin.key.as_bytes())
            .update(run.facts.digest.as_bytes());
    }
    Ok(hasher.finalize().to_hex()[..16].to_owned())
}
