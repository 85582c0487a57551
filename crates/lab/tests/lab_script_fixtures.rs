//! Experiments' scripts load to the same experiments as when the fixtures were written, and days
//! that searches found are read and written out the same.

#[path = "../../../tests/support/fixture_file.rs"]
mod fixture_file;

use saltdrum_deployment::script;
use saltdrum_lab::experiment::Variant;
use saltdrum_lab::{Experiment, Script};
use saltdrum_scenario::POLICIES;
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

const WHOLE_VOCABULARY: &str = "experiment/whole-vocabulary.star";
const FIXTURE_SCRIPTS: [&str; 2] = [WHOLE_VOCABULARY, "experiment/only-needed.star"];
/// Statements whose arguments this package reads.
const READ_HERE: [&str; 2] = ["experiment", "variant"];

fn text_of(fixture: &str) -> String {
    String::from_utf8(fixture_file::read(fixture)).unwrap()
}

fn variant_summary(variant: &Variant) -> Json {
    json!({
        "name": variant.name, "policy": variant.policy, "program": variant.program,
        "changes": variant.changes,
    })
}

fn summary(experiment: &Experiment) -> Json {
    let day = |(name, script): &(String, Script)| {
        let statements = script.statements.len();
        json!({"name": name, "statements": statements})
    };
    json!({
        "name": experiment.name, "seeds": experiment.seeds, "sizes": experiment.sizes,
        "days": experiment.days.iter().map(day).collect::<Vec<_>>(),
        "variants": experiment.variants.iter().map(variant_summary).collect::<Vec<_>>(),
        "cells": experiment.cells().len(),
    })
}

fn pretty(value: &Json) -> String {
    serde_json::to_string_pretty(value).unwrap() + "\n"
}

fn fixture_experiment(name: &str) -> Experiment {
    Experiment::load(&fixture_file::path(name), &text_of(name)).unwrap()
}

/// Scripts of a folder of this package, by name.
fn scripts_in(folder: &str) -> BTreeMap<String, PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let paths = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let scripts = paths.filter(|path| {
        path.extension()
            .is_some_and(|extension| extension == "star")
    });
    scripts
        .map(|path| {
            (
                path.file_stem().unwrap().to_string_lossy().into_owned(),
                path,
            )
        })
        .collect()
}

#[test]
fn shipped_experiments_load_to_the_same_experiments() {
    let mut experiments = serde_json::Map::new();
    for (name, path) in scripts_in("experiments") {
        let text = fs::read_to_string(&path).unwrap();
        let statements = script::run(&name, &text).unwrap();
        if statements
            .iter()
            .any(|statement| statement.what == "experiment")
        {
            experiments.insert(name, summary(&Experiment::load(&path, &text).unwrap()));
        }
    }
    let experiments = pretty(&Json::Object(experiments));
    fixture_file::assert_equals("shipped-experiments.json", experiments.as_bytes());
}

#[test]
fn fixture_experiments_load_to_the_same_experiments() {
    for name in FIXTURE_SCRIPTS {
        let fixture = name.replace(".star", ".json");
        let loaded = pretty(&summary(&fixture_experiment(name)));
        fixture_file::assert_equals(&fixture, loaded.as_bytes());
    }
}

#[test]
fn each_cell_of_an_experiment_plays_the_same_script() {
    let experiment = fixture_experiment(WHOLE_VOCABULARY);
    let small = experiment
        .cells()
        .into_iter()
        .filter(|cell| cell.day == 0 && cell.variant < 2);
    let scripts: Vec<String> = small
        .map(|cell| {
            let (size, seed) = (experiment.sizes[cell.size], experiment.seeds[cell.seed]);
            let variant = &experiment.variants[cell.variant].name;
            let text = experiment.script(cell).text();
            format!("# size {size}, seed {seed}, {variant}\n{text}")
        })
        .collect();
    assert_eq!(scripts.len(), 8, "two sizes, seeds and variants");
    fixture_file::assert_equals("experiment/cells.txt", scripts.concat().as_bytes());
}

/// The lab writes such scripts itself, after a comment.
#[test]
fn days_that_searches_found_are_read_and_written_out_as_they_are() {
    let mut days = serde_json::Map::new();
    for (name, path) in scripts_in("tests/found") {
        let text = fs::read_to_string(&path).unwrap();
        let script = Script::read(&name, &text).unwrap();
        let day = script.day().unwrap();
        let written = script.text();
        let (comment, statements) = text.split_once('\n').unwrap();
        assert!(
            comment.starts_with("# Found by a search"),
            "{name}: {comment}"
        );
        days.insert(
            name,
            json!({
                "as_written_out": written == statements, "written_out": written.lines().count(),
                "name": day.name, "length": day.length, "seed": day.seed,
                "functions": day.terms.functions.len(), "invokers": day.terms.invokers.len(),
                "traffic": day.traffic.len(),
                "troubles": day.troubles.iter().map(|trouble| trouble.name).collect::<Vec<_>>(),
            }),
        );
    }
    fixture_file::assert_equals("found-days.json", pretty(&Json::Object(days)).as_bytes());
}

#[test]
fn policies_have_the_same_names() {
    let names: Vec<&str> = POLICIES.iter().map(|(name, _)| *name).collect();
    assert_eq!(names, ["design", "random", "fewest-out", "rendezvous"]);
}

/// Names in backquotes after "expected".
fn expected_names(fault: &str) -> BTreeSet<String> {
    let (_, expected) = fault.split_once(", expected").expect(fault);
    expected
        .split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

#[test]
fn the_fixture_script_uses_every_argument_that_is_known() {
    let text = text_of(WHOLE_VOCABULARY);
    let statements = script::run(WHOLE_VOCABULARY, &text).unwrap();
    for what in READ_HERE {
        let unknown = text.replacen(&format!("\n{what}("), &format!("\n{what}(zzz = 1, "), 1);
        let path = fixture_file::path(WHOLE_VOCABULARY);
        let fault = Experiment::load(&path, &unknown).unwrap_err().to_string();
        let calls = statements.iter().filter(|statement| statement.what == what);
        let used: BTreeSet<String> = calls.flat_map(|call| call.said.keys().cloned()).collect();
        assert_eq!(used, expected_names(&fault), "{what}: {fault}");
    }
}
