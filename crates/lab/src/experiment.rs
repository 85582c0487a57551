//! The description of an experiment: variants to compare over days, seeds and sizes.

use crate::Script;
use crate::plan::{Cell, cells};
use saltdrum_deployment::{ScriptError, script};
use saltdrum_scenario::{DAYS, POLICIES};
use serde::Deserialize;
use serde_json::{Map, Value as Json};
use std::path::{Path, PathBuf};

/// A loaded experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    pub name: String,
    /// Each with its name.
    pub days: Vec<(String, Script)>,
    pub seeds: Vec<u64>,
    pub sizes: Vec<f64>,
    /// The others are compared with the first, the base.
    pub variants: Vec<Variant>,
}

/// One of the alternatives that an experiment compares.
#[derive(Clone, Debug)]
pub struct Variant {
    pub name: String,
    /// One of [`POLICIES`].
    pub policy: String,
    /// Path of another build of the program, which is run in place of this one.
    pub program: Option<PathBuf>,
    /// Arguments to override, by kind of statement.
    pub changes: Vec<(&'static str, Map<String, Json>)>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExperimentArguments {
    name: String,
    days: Vec<String>,
    #[serde(default = "default_seed_count")]
    seeds: u64,
    #[serde(default)]
    first_seed: u64,
    #[serde(default = "default_sizes")]
    sizes: Vec<f64>,
}

fn default_seed_count() -> u64 {
    4
}
fn default_sizes() -> Vec<f64> {
    vec![1.0]
}
fn default_policy() -> String {
    "design".into()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VariantArguments {
    name: String,
    #[serde(default = "default_policy")]
    policy: String,
    program: Option<PathBuf>,
    #[serde(default)]
    deployment: Map<String, Json>,
    #[serde(default)]
    machine: Map<String, Json>,
    #[serde(default)]
    day: Map<String, Json>,
    #[serde(default)]
    network: Map<String, Json>,
    #[serde(default)]
    traffic: Map<String, Json>,
    #[serde(default)]
    tenant: Map<String, Json>,
    #[serde(default)]
    function: Map<String, Json>,
    #[serde(default)]
    trigger_type: Map<String, Json>,
}

impl Experiment {
    /// Loads an experiment's script. Days are names of bundled days, or files in the folder of `file`.
    pub fn load(file: &Path, text: &str) -> Result<Self, ScriptError> {
        let name = file.display().to_string();
        let script_error = |why: &str| ScriptError {
            place: script::SourceLocation {
                file: name.clone(),
                line: 1,
            },
            why: why.into(),
        };
        let statements = script::run(&name, text)?;
        if let Some(other) = statements
            .iter()
            .find(|s| !matches!(s.what, "experiment" | "variant"))
        {
            return Err(
                other.fault("belongs to a day; experiment(...) and variant(...) are expected here")
            );
        }
        let mut experiments = statements.iter().filter(|s| s.what == "experiment");
        let first = experiments
            .next()
            .ok_or_else(|| script_error("no experiment(...) is stated"))?;
        if let Some(second) = experiments.next() {
            return Err(second.fault("stated a second time"));
        }
        let arguments: ExperimentArguments = first.read()?;
        if arguments.days.is_empty()
            || arguments.seeds == 0
            || arguments.sizes.iter().any(|s| !(0.1..=1_000.0).contains(s))
        {
            return Err(
                first.fault("days, at least one seed and sizes of 0.1 to 1000 are expected")
            );
        }
        let mut days = Vec::new();
        for day in &arguments.days {
            let (file, text) = match DAYS.iter().find(|d| d.0 == day) {
                Some((name, text)) => (format!("{name}.star"), (*text).to_owned()),
                None => {
                    let path = file.parent().unwrap_or(Path::new(".")).join(day);
                    let text = std::fs::read_to_string(&path).map_err(|e| {
                        first.fault(format!("day '{day}': {}: {e}", path.display()))
                    })?;
                    (path.display().to_string(), text)
                }
            };
            let script = Script::read(&file, &text)?;
            script.day()?;
            days.push((day.trim_end_matches(".star").to_owned(), script));
        }
        let mut variants: Vec<Variant> = Vec::new();
        for statement in statements
            .iter()
            .filter(|statement| statement.what == "variant")
        {
            let arguments: VariantArguments = statement.read()?;
            if !POLICIES.iter().any(|(name, _)| *name == arguments.policy) {
                let known: Vec<&str> = POLICIES.iter().map(|p| p.0).collect();
                return Err(statement.fault(format!(
                    "policy '{}': one of {} is expected",
                    arguments.policy,
                    known.join(", ")
                )));
            }
            if arguments.program.is_some() && arguments.policy != "design" {
                return Err(statement.fault("a variant with another program cannot set a policy"));
            }
            if variants.iter().any(|v| v.name == arguments.name) {
                return Err(
                    statement.fault(format!("'{}' is stated a second time", arguments.name))
                );
            }
            let changes: Vec<_> = [
                ("deployment", arguments.deployment),
                ("machine", arguments.machine),
                ("day", arguments.day),
                ("network", arguments.network),
                ("traffic", arguments.traffic),
                ("tenant", arguments.tenant),
                ("function", arguments.function),
                ("trigger_type", arguments.trigger_type),
            ]
            .into_iter()
            .filter(|(_, change)| !change.is_empty())
            .collect();
            let variant = Variant {
                name: arguments.name,
                policy: arguments.policy,
                program: arguments.program,
                changes,
            };
            // Scripts that do not load are reported before the first run, not in the middle of a long experiment.
            for (_, script) in &days {
                variant
                    .apply(script.clone())
                    .day()
                    .map_err(|e| statement.fault(format!("with its changes: {}", e.why)))?;
            }
            variants.push(variant);
        }
        if variants.is_empty() {
            return Err(script_error("no variant(...) is stated"));
        }
        let seeds = (arguments.first_seed..arguments.first_seed + arguments.seeds).collect();
        Ok(Self {
            name: arguments.name,
            days,
            seeds,
            sizes: arguments.sizes,
            variants,
        })
    }

    /// All runs of the experiment.
    pub fn cells(&self) -> Vec<Cell> {
        cells(
            self.sizes.len(),
            self.days.len(),
            self.seeds.len(),
            self.variants.len(),
        )
    }

    /// The script of a run.
    pub fn script(&self, cell: Cell) -> Script {
        let (size, (_, script)) = (self.sizes[cell.size], &self.days[cell.day]);
        let scaled = if size == 1.0 {
            script.clone()
        } else {
            script.clone().scaled(size)
        };
        self.variants[cell.variant]
            .apply(scaled)
            .with_seed(self.seeds[cell.seed])
    }
}

impl Variant {
    fn apply(&self, script: Script) -> Script {
        self.changes
            .iter()
            .fold(script, |script, (what, arguments)| {
                script.with_arguments(what, arguments)
            })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn load(text: &str) -> Result<Experiment, String> {
        Experiment::load(Path::new("x.star"), text).map_err(|e| e.to_string())
    }

    #[test]
    fn paired_runs_differ_only_in_the_changes_of_the_variant() {
        let experiment = load(
            "experiment('x', days = ['bad-day', 'layers-day'], seeds = 3, first_seed = 7, sizes = [1, 2])\n\
             variant('a')\nvariant('b', day = {'retries': 4}, deployment = {'dispatches': 2})\n",
        )
        .unwrap();
        assert_eq!(experiment.cells().len(), 2 * 2 * 3 * 2);
        for pair in experiment.cells().chunks(2) {
            let (base, changed) = (
                experiment.script(pair[0]).day().unwrap(),
                experiment.script(pair[1]).day().unwrap(),
            );
            assert_eq!(
                (
                    changed.retries,
                    changed.terms.deployment.attempt_limit,
                    base.seed == changed.seed
                ),
                (4, 2, true)
            );
            assert_eq!(
                saltdrum_scenario::traffic::draw(&base),
                saltdrum_scenario::traffic::draw(&changed)
            );
        }
    }

    #[test]
    fn errors_name_the_line_of_the_statement() {
        let cases = [
            ("variant('a')", "x.star:1: no experiment(...) is stated"),
            (
                "experiment('x', days = ['bad-day'])",
                "x.star:1: no variant(...) is stated",
            ),
            (
                "experiment('x', days = ['none.star'])\nvariant('a')",
                "x.star:1: experiment: day 'none.star'",
            ),
            (
                "experiment('x', days = ['bad-day'])\nvariant('a', policy = 'luck')",
                "x.star:2: variant: policy 'luck'",
            ),
            (
                "experiment('x', days = ['bad-day'])\nvariant('a', day = {'colour': 3})",
                "x.star:2: variant: with its",
            ),
            (
                "experiment('x', days = ['bad-day'])\nvariant('a')\nvariant('a')",
                "x.star:3: variant: 'a' is stated",
            ),
            (
                "experiment('x', days = ['bad-day'])\nmachine('a')",
                "x.star:2: machine: belongs to a day",
            ),
        ];
        for (text, expected) in cases {
            let error = load(text).unwrap_err();
            assert!(error.starts_with(expected), "{error}");
        }
    }
}
