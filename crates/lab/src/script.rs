//! A day's script as a list of statements, which can be changed and written as a script again.

use saltdrum_deployment::{ScriptError, Statement, script};
use saltdrum_scenario::Day;
use serde_json::{Map, Value as Json, json};

/// The statements of a day's script.
#[derive(Clone, Debug)]
pub struct Script {
    pub statements: Vec<Statement>,
    file: String,
}

/// Formats a JSON value as a Starlark expression.
fn to_starlark(value: &Json) -> String {
    let join =
        |items: Vec<String>, open: char, close: char| format!("{open}{}{close}", items.join(", "));
    match value {
        Json::Null => "None".into(),
        Json::Bool(true) => "True".into(),
        Json::Bool(false) => "False".into(),
        Json::Array(items) => join(items.iter().map(to_starlark).collect(), '[', ']'),
        Json::Object(fields) => join(
            fields
                .iter()
                .map(|(k, v)| format!("{}: {}", json!(k), to_starlark(v)))
                .collect(),
            '{',
            '}',
        ),
        scalar => scalar.to_string(),
    }
}

/// Multiplies a number. A whole number stays whole and at least 1.
fn multiply(value: &Json, factor: f64) -> Json {
    match value.as_f64() {
        Some(number) if value.is_u64() => json!(((number * factor).round() as u64).max(1)),
        Some(number) => json!(number * factor),
        None => value.clone(),
    }
}

/// Expands a list of member numbers to a fleet `factor` times as large: each number is repeated at the same position in
/// each copy of a fleet of `count` members.
fn repeat_members(value: &Json, count: u64, factor: f64) -> Json {
    let copies = factor.floor().max(1.0) as u64;
    let (Some(members), true) = (value.as_array(), factor >= 1.0) else {
        return value.clone();
    };
    let numbers_of = |n: &Json| {
        n.as_u64()
            .map(|n| (0..copies).map(move |k| json!(n + k * count)))
    };
    Json::Array(members.iter().filter_map(numbers_of).flatten().collect())
}

impl Script {
    /// Evaluates the text of a script; `file` is its name in errors.
    pub fn read(file: &str, text: &str) -> Result<Self, ScriptError> {
        Ok(Self {
            statements: script::run(file, text)?,
            file: file.to_owned(),
        })
    }

    /// The script with one statement per line.
    pub fn text(&self) -> String {
        let line = |s: &Statement| {
            let name = s.said.get("name").map(to_starlark);
            let rest = s
                .said
                .iter()
                .filter(|(k, _)| *k != "name")
                .map(|(k, v)| format!("{k} = {}", to_starlark(v)));
            format!(
                "{}({})\n",
                s.what,
                name.into_iter().chain(rest).collect::<Vec<_>>().join(", ")
            )
        };
        self.statements.iter().map(line).collect()
    }

    /// Loads the day that the script describes.
    pub fn day(&self) -> Result<Day, ScriptError> {
        Day::load(&self.file, &self.text())
    }

    /// Overrides arguments of every statement of a kind. If there is no such statement, one is added.
    pub fn with_arguments(mut self, what: &'static str, arguments: &Map<String, Json>) -> Self {
        if !self.statements.iter().any(|s| s.what == what) {
            let place = script::SourceLocation {
                file: self.file.clone(),
                line: 0,
            };
            self.statements.push(Statement {
                what,
                said: Map::new(),
                place,
            });
        }
        for statement in self.statements.iter_mut().filter(|s| s.what == what) {
            statement.said.extend(arguments.clone());
        }
        self
    }

    /// Sets the seed of the day.
    pub fn with_seed(self, seed: u64) -> Self {
        self.with_arguments("day", &Map::from_iter([("seed".to_owned(), json!(seed))]))
    }

    /// The sum of an argument over all statements of a kind.
    fn sum_of(&self, what: &str, argument: &str) -> u64 {
        let statements = self.statements.iter().filter(|s| s.what == what);
        statements
            .filter_map(|s| s.said.get(argument)?.as_u64())
            .sum()
    }

    /// Multiplies the size of the fleet and its load by `factor`. Troubles affect the same share of the fleet.
    pub fn scaled(mut self, factor: f64) -> Self {
        let (invokers, controllers) = (
            self.sum_of("invokers", "count"),
            self.sum_of("deployment", "controllers"),
        );
        if !self
            .statements
            .iter()
            .any(|s| s.what == "day" && s.said.contains_key("store_limit"))
        {
            self = self.with_arguments(
                "day",
                &Map::from_iter([("store_limit".to_owned(), json!(24))]),
            );
        }
        for statement in &mut self.statements {
            for (argument, value) in statement.said.iter_mut() {
                *value = match (statement.what, argument.as_str()) {
                    ("invokers", "count")
                    | ("deployment", "controllers")
                    | ("day", "store_limit")
                    | ("tenant", "quota_per_s")
                    | ("trouble", "batch")
                    | ("traffic", "per_second" | "at_once") => multiply(value, factor),
                    ("trouble", "invokers") => repeat_members(value, invokers, factor),
                    ("trouble", "controllers") => repeat_members(value, controllers, factor),
                    _ => continue,
                };
            }
        }
        self
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use saltdrum_scenario::DAYS;

    #[test]
    fn written_script_loads_to_the_same_day() {
        for (name, text) in DAYS {
            let script = Script::read(name, text).unwrap();
            let debug_text = |day: &Day| format!("{day:?}");
            assert_eq!(
                debug_text(&script.day().unwrap()),
                debug_text(&Day::load(name, text).unwrap())
            );
        }
    }

    #[test]
    fn scaled_day_multiplies_fleet_load_and_troubled_members() {
        let script = Script::read("bad", DAYS[0].1).unwrap();
        let (one, three) = (
            script.clone().day().unwrap(),
            script.scaled(3.0).day().unwrap(),
        );
        assert_eq!(
            (one.terms.invokers.len(), three.terms.invokers.len()),
            (12, 36)
        );
        assert_eq!(
            (
                one.terms.deployment.controllers,
                three.terms.deployment.controllers
            ),
            (3, 9)
        );
        assert!((three.traffic[0].per_second / one.traffic[0].per_second - 3.0).abs() < 1e-9);
        let troubled_counts = |day: &Day| {
            day.troubles
                .iter()
                .map(|t| t.invokers.len())
                .collect::<Vec<_>>()
        };
        assert_eq!(
            troubled_counts(&three),
            troubled_counts(&one)
                .iter()
                .map(|n| n * 3)
                .collect::<Vec<_>>()
        );
        assert_eq!(three.troubles[1].invokers, [2, 14, 26, 11, 23, 35]);
    }
}
