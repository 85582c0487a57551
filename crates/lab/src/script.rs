//! A day's script as its statements: they can be changed, and written out as a script again.

use saltdrum_deployment::{ScriptError, Statement, script};
use saltdrum_scenario::Day;
use serde_json::{Map, Value as Json, json};

#[derive(Clone, Debug)]
pub struct Script {
    pub statements: Vec<Statement>,
    file: String,
}

/// JSON as Starlark writes it.
fn starlark(value: &Json) -> String {
    let all = |of: Vec<String>, open: char, close: char| format!("{open}{}{close}", of.join(", "));
    match value {
        Json::Null => "None".into(),
        Json::Bool(true) => "True".into(),
        Json::Bool(false) => "False".into(),
        Json::Array(of) => all(of.iter().map(starlark).collect(), '[', ']'),
        Json::Object(of) => all(
            of.iter()
                .map(|(k, v)| format!("{}: {}", json!(k), starlark(v)))
                .collect(),
            '{',
            '}',
        ),
        plain => plain.to_string(),
    }
}

/// A whole number where the argument was one; never below one.
fn times(value: &Json, by: f64) -> Json {
    match value.as_f64() {
        Some(n) if value.is_u64() => json!(((n * by).round() as u64).max(1)),
        Some(n) => json!(n * by),
        None => value.clone(),
    }
}

/// So many stand-ins for each that is named: those with the same place in each copy of the fleet.
fn copies(value: &Json, of: u64, by: f64) -> Json {
    let whole = by.floor().max(1.0) as u64;
    let (Some(named), true) = (value.as_array(), by >= 1.0) else {
        return value.clone();
    };
    let each = |n: &Json| {
        n.as_u64()
            .map(|n| (0..whole).map(move |k| json!(n + k * of)))
    };
    Json::Array(named.iter().filter_map(each).flatten().collect())
}

impl Script {
    /// Runs a script's text; `file` is its name in faults.
    pub fn read(file: &str, text: &str) -> Result<Self, ScriptError> {
        Ok(Self {
            statements: script::run(file, text)?,
            file: file.to_owned(),
        })
    }

    /// Its statements, one a line.
    pub fn text(&self) -> String {
        let one = |s: &Statement| {
            let name = s.said.get("name").map(starlark);
            let rest = s
                .said
                .iter()
                .filter(|(k, _)| *k != "name")
                .map(|(k, v)| format!("{k} = {}", starlark(v)));
            format!(
                "{}({})\n",
                s.what,
                name.into_iter().chain(rest).collect::<Vec<_>>().join(", ")
            )
        };
        self.statements.iter().map(one).collect()
    }

    pub fn day(&self) -> Result<Day, ScriptError> {
        Day::load(&self.file, &self.text())
    }

    /// Other arguments for every statement of a kind; one that is not there is added.
    pub fn with(mut self, what: &'static str, said: &Map<String, Json>) -> Self {
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
        for s in self.statements.iter_mut().filter(|s| s.what == what) {
            s.said.extend(said.clone());
        }
        self
    }

    pub fn seeded(self, seed: u64) -> Self {
        self.with("day", &Map::from_iter([("seed".to_owned(), json!(seed))]))
    }

    fn number(&self, what: &str, argument: &str) -> u64 {
        let of = self.statements.iter().filter(|s| s.what == what);
        of.filter_map(|s| s.said.get(argument)?.as_u64()).sum()
    }

    /// A fleet of so many times the size under so many times the load. Troubles strike the same share of it.
    pub fn scaled(mut self, by: f64) -> Self {
        let (invokers, controllers) = (
            self.number("invokers", "count"),
            self.number("deployment", "controllers"),
        );
        if !self
            .statements
            .iter()
            .any(|s| s.what == "day" && s.said.contains_key("store_limit"))
        {
            self = self.with(
                "day",
                &Map::from_iter([("store_limit".to_owned(), json!(24))]),
            );
        }
        for s in &mut self.statements {
            for (argument, value) in s.said.iter_mut() {
                *value = match (s.what, argument.as_str()) {
                    ("invokers", "count")
                    | ("deployment", "controllers")
                    | ("day", "store_limit")
                    | ("tenant", "quota_per_s")
                    | ("trouble", "batch")
                    | ("traffic", "per_second" | "at_once") => times(value, by),
                    ("trouble", "invokers") => copies(value, invokers, by),
                    ("trouble", "controllers") => copies(value, controllers, by),
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
    fn what_is_written_out_is_the_same_day() {
        for (name, text) in DAYS {
            let script = Script::read(name, text).unwrap();
            let told = |day: &Day| format!("{day:?}");
            assert_eq!(
                told(&script.day().unwrap()),
                told(&Day::load(name, text).unwrap())
            );
        }
    }

    #[test]
    fn a_scaled_day_has_as_many_times_of_all() {
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
        let struck = |day: &Day| {
            day.troubles
                .iter()
                .map(|t| t.invokers.len())
                .collect::<Vec<_>>()
        };
        assert_eq!(
            struck(&three),
            struck(&one).iter().map(|n| n * 3).collect::<Vec<_>>()
        );
        assert_eq!(three.troubles[1].invokers, [2, 14, 26, 11, 23, 35]);
    }
}
