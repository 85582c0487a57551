//! Runs that the lab keeps as Parquet files, the list beside them, and the report on them as JSON
//! are what they were when the fixtures were written.

#[path = "../../../tests/support/fixture_file.rs"]
mod fixture_file;

use parquet::arrow::arrow_reader::ParquetRecordBatchReaderBuilder;
use saltdrum_fakes::record;
use saltdrum_lab::facts::{self, Cost, Facts, Invoker, MEASURES, Row, SlowInvocation, TroubleSpan};
use saltdrum_lab::results::{self, RunOrigin};
use saltdrum_lab::{report, run};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::path::PathBuf;

const FOLDER: &str = "results";
const VARIANTS: [&str; 2] = ["as it is", "more tries"];
const SEEDS: [u64; 2] = [7, 8];
const FACTS_RECORD: &str = "facts-record.jsonl";

/// Outcomes as rows name them, and their latency where there was an answer.
const OUTCOMES: [(&str, Option<u64>); 5] = [
    ("succeeded", Some(1_101)),
    ("throttled", Some(1_202)),
    ("errored", Some(1_303)),
    ("lost", None),
    ("hung up", None),
];

fn key(variant: usize, seed: u64) -> String {
    format!("{variant:012x}{seed:012x}")
}

fn made(variant: usize, seed: u64) -> RunOrigin {
    RunOrigin {
        key: key(variant, seed),
        variant: VARIANTS[variant].into(),
        day: "small-day".into(),
        size: 2.5,
        seed,
        script: "day(\"small\", length = \"5s\")\n".into(),
        policy: "design".into(),
        version: "0.2.0".into(),
    }
}

fn rows(variant: usize, seed: u64) -> Vec<Row> {
    let row = |(number, (how, took)): (usize, &(&str, Option<u64>))| Row {
        at: number as u64 * 1_000 + seed,
        tenant: format!("tenant-{}", number % 2),
        trigger: "narrate".into(),
        function: format!("voice-{}", number % 3),
        latency: took.map(|took| took + variant as u64),
        outcome: (*how).into(),
        in_time: *how == "succeeded",
        attempts: number as u32 + 1,
        invoker: number as u32,
    };
    OUTCOMES.iter().enumerate().map(row).collect()
}

/// Each measure has a figure of its own; the last one has none.
fn kept_facts(variant: usize, seed: u64) -> Facts {
    let measure = |(number, key): (usize, &str)| {
        let figure = number as f64 + variant as f64 * 0.25 + seed as f64 * 0.125;
        (
            key.to_owned(),
            (number + 1 < MEASURES.len()).then_some(figure),
        )
    };
    Facts {
        measures: MEASURES
            .iter()
            .map(|measure| measure.key)
            .enumerate()
            .map(measure)
            .collect(),
        invokers: vec![
            Invoker {
                invoker: 1,
                dispatches: 11,
                fetches: 2,
            },
            Invoker {
                invoker: 2,
                dispatches: 12,
                fetches: 3,
            },
        ],
        troubles: vec![TroubleSpan {
            from_s: 1.5,
            to_s: 2.25,
            what: "crash of invokers [2]".into(),
        }],
        slow: vec![SlowInvocation {
            what: "voice-1 of narrate for tenant-1".into(),
            took_ms: 130.5,
            steps: vec![
                "+0 ms: sent to controller 1".into(),
                "+130 ms: answered".into(),
            ],
        }],
        rules: vec![
            (1, "kept".into(), String::new()),
            (2, "cannottell".into(), "it may have been late".into()),
            (3, "broken".into(), "a dispatch came after a drain".into()),
        ],
        digest: "0123456789abcdef".repeat(4),
    }
}

fn all_runs() -> impl Iterator<Item = (usize, u64)> {
    (0..VARIANTS.len()).flat_map(|variant| SEEDS.map(|seed| (variant, seed)))
}

fn listed() -> run::RunList {
    run::RunList {
        experiment: "an experiment".into(),
        variants: VARIANTS.map(str::to_owned).to_vec(),
        days: vec!["small-day".into()],
        sizes: vec![2.5],
        seeds: SEEDS.to_vec(),
        keys: all_runs()
            .map(|(variant, seed)| key(variant, seed))
            .collect(),
    }
}

/// The stored runs, by key.
fn stored_runs() -> BTreeMap<String, PathBuf> {
    let (whole, bad) = results::scan(&fixture_file::path(FOLDER)).unwrap();
    assert!(bad.is_empty(), "{bad:?}");
    whole
}

fn pretty(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap() + "\n"
}

/// Writes each run and the list anew, and compares names and bytes.
#[test]
fn runs_are_kept_under_the_same_names_with_the_same_bytes() {
    let folder = tempfile::tempdir().unwrap();
    for (variant, seed) in all_runs() {
        let (made, facts) = (made(variant, seed), kept_facts(variant, seed));
        results::store(folder.path(), &made, &facts, &rows(variant, seed)).unwrap();
    }
    let written = results::scan(folder.path()).unwrap().0;
    assert_eq!(written.len(), VARIANTS.len() * SEEDS.len());
    for path in written.values() {
        let name = path.file_name().unwrap().to_string_lossy();
        fixture_file::assert_equals(&format!("{FOLDER}/{name}"), &fs::read(path).unwrap());
    }
}

#[test]
fn the_list_of_an_experiments_runs_is_the_same() {
    let name = format!("{FOLDER}/{}", run::LIST);
    fixture_file::assert_equals(&name, &serde_json::to_vec_pretty(&listed()).unwrap());
    let read: run::RunList = serde_json::from_slice(&fixture_file::read(&name)).unwrap();
    assert_eq!(json!(read), json!(listed()));
    assert_eq!(run::LIST, "experiment.json");
}

#[test]
fn stored_runs_are_read_as_what_was_kept() {
    let stored = stored_runs();
    for (variant, seed) in all_runs() {
        let read = results::read(&stored[&key(variant, seed)]).unwrap();
        assert_eq!(json!(read.origin), json!(made(variant, seed)));
        assert_eq!(json!(read.facts), json!(kept_facts(variant, seed)));
        assert_eq!(read.rows, rows(variant, seed));
    }
    assert_eq!(results::VERSION, 1);
}

#[test]
fn a_stored_run_has_columns_and_a_footer_that_other_tools_know() {
    let stored = stored_runs();
    let reader =
        ParquetRecordBatchReaderBuilder::try_new(File::open(&stored[&key(0, 7)]).unwrap()).unwrap();
    let fields = reader.schema().fields().iter();
    let columns: Vec<String> = fields
        .map(|field| {
            let optional = if field.is_nullable() { " optional" } else { "" };
            format!("{} {}{optional}\n", field.name(), field.data_type())
        })
        .collect();
    fixture_file::assert_equals("run-columns.txt", columns.concat().as_bytes());
    let footer = reader
        .metadata()
        .file_metadata()
        .key_value_metadata()
        .unwrap();
    let keys: Vec<&str> = footer.iter().map(|pair| pair.key.as_str()).collect();
    let ours: Vec<&&str> = keys
        .iter()
        .filter(|key| key.starts_with("saltdrum."))
        .collect();
    assert_eq!(ours, [&"saltdrum.run", &"saltdrum.made", &"saltdrum.facts"]);
}

#[test]
fn measures_have_the_same_keys_and_titles() {
    let measures: Vec<String> = MEASURES
        .iter()
        .map(|measure| {
            format!(
                "{} | {} | {}\n",
                measure.key, measure.title, measure.higher_is_better
            )
        })
        .collect();
    fixture_file::assert_equals("measures.txt", measures.concat().as_bytes());
}

#[test]
fn the_report_on_stored_runs_as_json_is_the_same() {
    let report = report::load(&fixture_file::path(FOLDER)).unwrap();
    fixture_file::assert_equals("report.json", pretty(&report).as_bytes());
}

fn row_summary(row: &Row) -> Json {
    json!({
        "at": row.at, "tenant": row.tenant, "trigger": row.trigger, "function": row.function,
        "took": row.latency, "how": row.outcome, "in_time": row.in_time, "tries": row.attempts,
        "invoker": row.invoker,
    })
}

/// Outcomes and states of rules are kept as words.
#[test]
fn a_record_is_summed_up_the_same() {
    let lines = record::read(fixture_file::read(FACTS_RECORD).as_slice()).unwrap();
    let cost = Cost {
        total_s: 0.5,
        controllers_s: 0.25,
    };
    let (rows, facts) = facts::summarize(&lines, Some(cost)).unwrap();
    let outcomes: Vec<&str> = rows.iter().map(|row| row.outcome.as_str()).collect();
    assert_eq!(
        outcomes,
        [
            "succeeded",
            "throttled",
            "errored",
            "hung up",
            "lost",
            "succeeded"
        ]
    );
    let states: Vec<&str> = facts
        .rules
        .iter()
        .map(|(_, state, _)| state.as_str())
        .collect();
    assert_eq!(states, ["cannottell", "broken", "kept", "kept", "kept"]);
    let rows: Vec<Json> = rows.iter().map(row_summary).collect();
    let told = json!({"rows": rows, "facts": facts});
    fixture_file::assert_equals("facts.json", pretty(&told).as_bytes());
}
