//! `saltdrum lab`: experiments, their reports, and the search for failing days.

use clap::Subcommand;
use saltdrum_faulty_peers::{FAULTS, Fault, fetch_model_unverified, run_faulty_controller};
use saltdrum_lab::hunt::{Bounds, hunt};
use saltdrum_lab::{Experiment, Script, report, run};
use saltdrum_scenario::{Overrides, POLICIES, Serve, serve};
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Instant;

#[derive(Subcommand)]
pub enum LabCommand {
    /// Plays an experiment's days in virtual time, the same ones for each variant. Resumes an interrupted run.
    Run {
        experiment: PathBuf,
        /// Folder of the results.
        #[arg(long)]
        out: PathBuf,
        /// Number of concurrent runs; by default the number of cores.
        #[arg(long)]
        jobs: Option<usize>,
    },
    /// Shows the results of an experiment.
    Report {
        /// Folder of the results.
        results: PathBuf,
        /// Writes a self-contained HTML page to this file.
        #[arg(long)]
        html: Option<PathBuf>,
        /// Prints the results as JSON instead of tables.
        #[arg(long)]
        json: bool,
    },
    /// Plays days with random faults until one breaks a rule or a bound, and minimizes it.
    Hunt {
        /// Day to add faults to: a script, or the name of a built-in day.
        day: String,
        /// Maximum number of days.
        #[arg(long, default_value_t = 100)]
        days: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Maximum number of days played to minimize the failing one.
        #[arg(long, default_value_t = 200)]
        cuts: usize,
        /// Minimum share of the billed value that is served in time, 0 to 1.
        #[arg(long)]
        least_value: Option<f64>,
        /// Searches for breaches of this rule only, 1 to 5.
        #[arg(long)]
        rule: Option<u8>,
        /// Number of concurrent runs; by default the number of cores.
        #[arg(long)]
        jobs: Option<usize>,
        /// File to which the failing day is written.
        #[arg(long, default_value = "found.star")]
        out: PathBuf,
        /// Plays a controller that breaks rules on purpose, to test the search itself.
        #[arg(long, hide = true)]
        plant: Option<String>,
    },
}

/// The number of concurrent runs.
fn job_count(requested: Option<usize>) -> usize {
    requested
        .or_else(|| std::thread::available_parallelism().ok().map(usize::from))
        .unwrap_or(1)
}

/// Runs one subcommand of `saltdrum lab`. Exit codes: 0 done, 1 a run failed or a failing day was found, 2 invalid input.
pub fn run(command: &LabCommand) -> Result<u8, String> {
    match command {
        LabCommand::Run {
            experiment,
            out,
            jobs,
        } => {
            let text = fs::read_to_string(experiment)
                .map_err(|e| format!("{}: {e}", experiment.display()))?;
            let plan = Experiment::load(experiment, &text).map_err(|e| e.to_string())?;
            let began = Instant::now();
            let summary = run::run(&plan, out, job_count(*jobs), |finished, total, name| {
                eprintln!("{finished}/{total} {name}")
            })?;
            let seconds = began.elapsed().as_secs_f64();
            let (played, found, digest) = (summary.played, summary.reused, &summary.digest);
            println!(
                "{played} runs played in {seconds:.1} s, {found} were there; results {digest}"
            );
            summary.failed.iter().for_each(|f| println!("FAILED {f}"));
            Ok(u8::from(!summary.failed.is_empty()))
        }
        LabCommand::Report {
            results,
            html,
            json,
        } => {
            let report = report::load(results)?;
            if let Some(path) = html {
                fs::write(path, report.html()?).map_err(|e| format!("{}: {e}", path.display()))?;
            }
            if *json {
                println!(
                    "{}",
                    serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?
                );
            } else {
                print!("{}", report.text());
            }
            Ok(0)
        }
        LabCommand::Hunt {
            day,
            days,
            seed,
            cuts,
            least_value,
            rule,
            jobs,
            out,
            plant,
        } => {
            let (script, _) = crate::run::day(day)?;
            let base = Script::read(day, &script).map_err(|e| e.to_string())?;
            let cover = cover_with_fault(plant.as_deref())?;
            let bounds = Bounds {
                min_value: *least_value,
                only_rule: *rule,
            };
            let began = Instant::now();
            let found = hunt(&base, cover, bounds, *seed, *days, *cuts, job_count(*jobs))?;
            let seconds = began.elapsed().as_secs_f64();
            match found {
                None => {
                    println!("{days} days from seed {seed} on, {seconds:.1} s: none failed");
                    Ok(0)
                }
                Some(failure) => {
                    write_failing_day(out, &failure)?;
                    println!(
                        "day {} (seed {}) failed; {seconds:.1} s in all: {}",
                        failure.days_played, failure.seed, failure.reason
                    );
                    println!(
                        "cut down with {} further days to {}",
                        failure.shrunk.days_played,
                        out.display()
                    );
                    Ok(1)
                }
            }
        }
    }
}

/// Writes a failing day's script.
fn write_failing_day(out: &Path, found: &saltdrum_lab::hunt::FailingDay) -> Result<(), String> {
    let why = found.reason.replace('\n', " ");
    let text = format!(
        "# Found by a search, cut down. It fails with {why}\n{}",
        found.shrunk.script.text()
    );
    fs::write(out, text).map_err(|e| format!("{}: {e}", out.display()))
}

/// The policies to play, with the fault of this name.
fn cover_with_fault(name: Option<&str>) -> Result<Overrides, String> {
    let Some(name) = name else {
        return Ok(Overrides::of(serve));
    };
    if name == "skips-digests" {
        return Ok(Overrides {
            serve,
            brings: Some(fetch_model_unverified),
        });
    }
    if let Some((_, serve)) = POLICIES.iter().find(|p| p.0 == name) {
        return Ok(Overrides::of(*serve));
    }
    let fault = FAULTS.iter().find(|f| f.0 == name).ok_or_else(|| {
        let known: Vec<&str> = FAULTS
            .iter()
            .map(|f| f.0)
            .chain(["skips-digests"])
            .collect();
        format!("--plant {name}: one of {} is expected", known.join(", "))
    })?;
    // `Serve` is a plain function pointer, which captures nothing, so each fault needs its own closure.
    let serve: Serve = match fault.1 {
        Fault::None => |s, n, c| run_faulty_controller(Fault::None, s, n, c),
        Fault::AnswersTwice => |s, n, c| run_faulty_controller(Fault::AnswersTwice, s, n, c),
        Fault::AnswersNotAll => |s, n, c| run_faulty_controller(Fault::AnswersNotAll, s, n, c),
        Fault::AnswersLate => |s, n, c| run_faulty_controller(Fault::AnswersLate, s, n, c),
        Fault::RunsTwice => |s, n, c| run_faulty_controller(Fault::RunsTwice, s, n, c),
        Fault::ThrottlesWhatRan => {
            |s, n, c| run_faulty_controller(Fault::ThrottlesWhatRan, s, n, c)
        }
        Fault::TwoOut => |s, n, c| run_faulty_controller(Fault::TwoOut, s, n, c),
        Fault::IgnoresDrains => |s, n, c| run_faulty_controller(Fault::IgnoresDrains, s, n, c),
        Fault::FloodsColdOnes => |s, n, c| run_faulty_controller(Fault::FloodsColdOnes, s, n, c),
        Fault::LoadsAtWill => |s, n, c| run_faulty_controller(Fault::LoadsAtWill, s, n, c),
    };
    Ok(Overrides::of(serve))
}
