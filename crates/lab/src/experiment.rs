//! What is to be compared: variants, over days, seeds and sizes.

use crate::Script;
use crate::plan::{Cell, cells};
use saltdrum_deployment::{ScriptError, script};
use saltdrum_scenario::{DAYS, POLICIES};
use serde::Deserialize;
use serde_json::{Map, Value as Json};
use std::path::{Path, PathBuf};

#[derive(Clone, Debug)]
pub struct Experiment {
    pub name: String,
    /// Name and script.
    pub days: Vec<(String, Script)>,
    pub seeds: Vec<u64>,
    pub sizes: Vec<f64>,
    /// The first is what the others are compared with.
    pub variants: Vec<Variant>,
}

#[derive(Clone, Debug)]
pub struct Variant {
    pub name: String,
    /// One of [`POLICIES`].
    pub policy: String,
    /// Another build of the program, by path, in place of this one.
    pub program: Option<PathBuf>,
    /// Other arguments for statements of these kinds.
    pub changes: Vec<(&'static str, Map<String, Json>)>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidExperiment {
    name: String,
    days: Vec<String>,
    #[serde(default = "four")]
    seeds: u64,
    #[serde(default)]
    first_seed: u64,
    #[serde(default = "once")]
    sizes: Vec<f64>,
}

fn four() -> u64 {
    4
}
fn once() -> Vec<f64> {
    vec![1.0]
}
fn design() -> String {
    "design".into()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidVariant {
    name: String,
    #[serde(default = "design")]
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
    /// Reads a script. Days are names of days that come with the program, or files beside `file`.
    pub fn load(file: &Path, text: &str) -> Result<Self, ScriptError> {
        let name = file.display().to_string();
        let nowhere = |why: &str| ScriptError {
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
        let mut stated = statements.iter().filter(|s| s.what == "experiment");
        let first = stated
            .next()
            .ok_or_else(|| nowhere("no experiment(...) is stated"))?;
        if let Some(second) = stated.next() {
            return Err(second.fault("stated a second time"));
        }
        let said: SaidExperiment = first.read()?;
        if said.days.is_empty()
            || said.seeds == 0
            || said.sizes.iter().any(|s| !(0.1..=1_000.0).contains(s))
        {
            return Err(
                first.fault("days, at least one seed and sizes of 0.1 to 1000 are expected")
            );
        }
        let mut days = Vec::new();
        for day in &said.days {
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
        for s in statements.iter().filter(|s| s.what == "variant") {
            let said: SaidVariant = s.read()?;
            if !POLICIES.iter().any(|(name, _)| *name == said.policy) {
                let known: Vec<&str> = POLICIES.iter().map(|p| p.0).collect();
                return Err(s.fault(format!(
                    "policy '{}': one of {} is expected",
                    said.policy,
                    known.join(", ")
                )));
            }
            if said.program.is_some() && said.policy != "design" {
                return Err(s.fault("another program plays its own design; it takes no policy"));
            }
            if variants.iter().any(|v| v.name == said.name) {
                return Err(s.fault(format!("'{}' is stated a second time", said.name)));
            }
            let changes: Vec<_> = [
                ("deployment", said.deployment),
                ("machine", said.machine),
                ("day", said.day),
                ("network", said.network),
                ("traffic", said.traffic),
                ("tenant", said.tenant),
                ("function", said.function),
                ("trigger_type", said.trigger_type),
            ]
            .into_iter()
            .filter(|(_, change)| !change.is_empty())
            .collect();
            let variant = Variant {
                name: said.name,
                policy: said.policy,
                program: said.program,
                changes,
            };
            // What does not load must not be found out after an hour of other runs.
            for (_, script) in &days {
                variant
                    .of(script.clone())
                    .day()
                    .map_err(|e| s.fault(format!("with its changes: {}", e.why)))?;
            }
            variants.push(variant);
        }
        if variants.is_empty() {
            return Err(nowhere("no variant(...) is stated"));
        }
        let seeds = (said.first_seed..said.first_seed + said.seeds).collect();
        Ok(Self {
            name: said.name,
            days,
            seeds,
            sizes: said.sizes,
            variants,
        })
    }

    pub fn cells(&self) -> Vec<Cell> {
        cells(
            self.sizes.len(),
            self.days.len(),
            self.seeds.len(),
            self.variants.len(),
        )
    }

    /// The script that a run plays.
    pub fn script(&self, cell: Cell) -> Script {
        let (size, (_, script)) = (self.sizes[cell.size], &self.days[cell.day]);
        let scaled = if size == 1.0 {
            script.clone()
        } else {
            script.clone().scaled(size)
        };
        self.variants[cell.variant]
            .of(scaled)
            .seeded(self.seeds[cell.seed])
    }
}

impl Variant {
    fn of(&self, script: Script) -> Script {
        self.changes
            .iter()
            .fold(script, |script, (what, said)| script.with(what, said))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn load(text: &str) -> Result<Experiment, String> {
        Experiment::load(Path::new("x.star"), text).map_err(|e| e.to_string())
    }

    #[test]
    fn pairs_differ_in_what_the_variant_says_and_in_nothing_else() {
        let x = load(
            "experiment('x', days = ['bad-day', 'layers-day'], seeds = 3, first_seed = 7, sizes = [1, 2])\n\
             variant('a')\nvariant('b', day = {'retries': 4}, deployment = {'dispatches': 2})\n",
        )
        .unwrap();
        assert_eq!(x.cells().len(), 2 * 2 * 3 * 2);
        for pair in x.cells().chunks(2) {
            let (a, b) = (
                x.script(pair[0]).day().unwrap(),
                x.script(pair[1]).day().unwrap(),
            );
            assert_eq!(
                (
                    b.retries,
                    b.terms.deployment.attempt_limit,
                    a.seed == b.seed
                ),
                (4, 2, true)
            );
            assert_eq!(
                saltdrum_scenario::traffic::draw(&a),
                saltdrum_scenario::traffic::draw(&b)
            );
        }
    }

    #[test]
    fn what_is_wrong_is_said_with_its_line() {
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
        for (text, want) in cases {
            let told = load(text).unwrap_err();
            assert!(told.starts_with(want), "{told}");
        }
    }
}
