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
pub enum Lab {
    /// Plays an experiment's days in virtual time, each variant on the same ones. Goes on where it was stopped.
    Run {
        experiment: PathBuf,
        /// Folder of the results.
        #[arg(long)]
        out: PathBuf,
        /// Runs at a time; as many as there are cores where it is left out.
        #[arg(long)]
        jobs: Option<usize>,
    },
    /// Shows what came of an experiment.
    Report {
        /// Folder of the results.
        results: PathBuf,
        /// Writes a page of its own here.
        #[arg(long)]
        html: Option<PathBuf>,
        /// Facts as JSON in place of tables.
        #[arg(long)]
        json: bool,
    },
    /// Plays days with random troubles until one breaks a rule or a bound, and cuts it down.
    Hunt {
        /// Day to put troubles into: a script, or the name of a day that comes with the program.
        day: String,
        /// Days at the most.
        #[arg(long, default_value_t = 100)]
        days: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Days at the most to cut one down.
        #[arg(long, default_value_t = 200)]
        cuts: usize,
        /// Least share of billed value in time, 0 to 1.
        #[arg(long)]
        least_value: Option<f64>,
        /// PollTimes for breaches of this rule only, 1 to 5.
        #[arg(long)]
        rule: Option<u8>,
        #[arg(long)]
        jobs: Option<usize>,
        /// Where the day that was found goes.
        #[arg(long, default_value = "found.star")]
        out: PathBuf,
        /// Plays a controller that breaks rules on purpose, to try the search itself.
        #[arg(long, hide = true)]
        plant: Option<String>,
    },
}

fn jobs(said: Option<usize>) -> usize {
    said.or_else(|| std::thread::available_parallelism().ok().map(usize::from))
        .unwrap_or(1)
}

/// 0: done. 1: a run failed, or a day was found that does. 2: bad input.
pub fn run(what: &Lab) -> Result<u8, String> {
    match what {
        Lab::Run {
            experiment,
            out,
            jobs: n,
        } => {
            let text = fs::read_to_string(experiment)
                .map_err(|e| format!("{}: {e}", experiment.display()))?;
            let x = Experiment::load(experiment, &text).map_err(|e| e.to_string())?;
            let began = Instant::now();
            let sitting = run::run(&x, out, jobs(*n), |over, all, name| {
                eprintln!("{over}/{all} {name}")
            })?;
            let seconds = began.elapsed().as_secs_f64();
            let (played, found, digest) = (sitting.played, sitting.reused, &sitting.digest);
            println!(
                "{played} runs played in {seconds:.1} s, {found} were there; results {digest}"
            );
            sitting.failed.iter().for_each(|f| println!("FAILED {f}"));
            Ok(u8::from(!sitting.failed.is_empty()))
        }
        Lab::Report {
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
        Lab::Hunt {
            day,
            days,
            seed,
            cuts,
            least_value,
            rule,
            jobs: n,
            out,
            plant,
        } => {
            let (script, _) = crate::run::day(day)?;
            let base = Script::read(day, &script).map_err(|e| e.to_string())?;
            let cover = planted(plant.as_deref())?;
            let bounds = Bounds {
                min_value: *least_value,
                only_rule: *rule,
            };
            let began = Instant::now();
            let found = hunt(&base, cover, bounds, *seed, *days, *cuts, jobs(*n))?;
            let seconds = began.elapsed().as_secs_f64();
            match found {
                None => {
                    println!("{days} days from seed {seed} on, {seconds:.1} s: none failed");
                    Ok(0)
                }
                Some(f) => {
                    tell_found(out, &f)?;
                    println!(
                        "day {} (seed {}) failed; {seconds:.1} s in all: {}",
                        f.days_played, f.seed, f.reason
                    );
                    println!(
                        "cut down with {} further days to {}",
                        f.shrunk.days_played,
                        out.display()
                    );
                    Ok(1)
                }
            }
        }
    }
}

fn tell_found(out: &Path, found: &saltdrum_lab::hunt::FailingDay) -> Result<(), String> {
    let why = found.reason.replace('\n', " ");
    let text = format!(
        "# Found by a search, cut down. It fails with {why}\n{}",
        found.shrunk.script.text()
    );
    fs::write(out, text).map_err(|e| format!("{}: {e}", out.display()))
}

fn planted(name: Option<&str>) -> Result<Overrides, String> {
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
    // A seat takes a plain function, so each fault has one of its own.
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
