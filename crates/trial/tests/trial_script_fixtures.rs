//! Trials' scripts load to the same trials as when the fixtures were written: those that come with
//! the program, and fixture scripts that use the whole vocabulary. What they state of the
//! deployment is looked at by the deployment package.

#[path = "../../../tests/support/fixture_file.rs"]
mod fixture_file;

use saltdrum_coordinator::FleetConfig;
use saltdrum_deployment::script;
use saltdrum_trial::script::{Action, Step};
use saltdrum_trial::{TRIALS, Trial};
use serde_json::{Value as Json, json};
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const WHOLE_VOCABULARY: &str = "whole-vocabulary.star";
const FIXTURE_SCRIPTS: [&str; 2] = [WHOLE_VOCABULARY, "only-needed.star"];
/// Trials that come with the repository and not with the program.
const FOR_FIGURES: [&str; 2] = ["lease-pace-drains", "lease-pace-kills"];
/// Statements whose arguments are read for a trial, beyond those of its deployment.
const READ_HERE: [&str; 5] = ["fleet", "bound", "lease", "trial", "step"];
/// Kinds of steps.
const STEPS: usize = 26;

fn text_of(fixture: &str) -> String {
    String::from_utf8(fixture_file::read(fixture)).unwrap()
}

fn fleet_summary(fleet: &FleetConfig) -> Json {
    let leases = fleet
        .leases
        .iter()
        .map(|(name, terms)| (name.0.clone(), json!(terms)));
    json!({
        "name": fleet.name, "renew": fleet.renew, "suspect_level": fleet.suspect_level,
        "grant_for": fleet.grant_for, "drain_for": fleet.drain_for,
        "prove_within": fleet.prove_within, "halt_at_lost": fleet.halt_at_lost,
        "bounds": fleet.bounds, "leases": leases.collect::<serde_json::Map<_, _>>(),
    })
}

/// A step as a script names it, with what it takes besides processes.
fn what_summary(what: &Action) -> Json {
    match what {
        Action::Await { event, times } => json!({"step": "await", "event": event, "times": times}),
        Action::AllUp => json!({"step": "all_up"}),
        Action::AwaitDrainRequest { id } => json!({"step": "over", "id": id}),
        Action::RequestDrain { id } => json!({"step": "ask", "id": id}),
        Action::Halt => json!({"step": "halt"}),
        Action::Resume => json!({"step": "resume"}),
        Action::Back => json!({"step": "back"}),
        Action::Kill => json!({"step": "kill"}),
        Action::Stop => json!({"step": "stop"}),
        Action::Wake => json!({"step": "wake"}),
        Action::Start => json!({"step": "start"}),
        Action::CopyDisk => json!({"step": "copy_disk"}),
        Action::RestoreDisk => json!({"step": "old_disk"}),
        Action::LoseDisk => json!({"step": "lose_disk"}),
        Action::ReplaceVoter => json!({"step": "replace"}),
        Action::Cut { to, one_way } => json!({"step": "cut", "to": to, "one_way": one_way}),
        Action::Heal => json!({"step": "heal"}),
        Action::Delay { ms, jitter_ms } => {
            json!({"step": "delay", "ms": ms, "jitter_ms": jitter_ms})
        }
        Action::Reset => json!({"step": "reset"}),
        Action::Pause { ms } => json!({"step": "pause", "ms": ms}),
        Action::PauseLease { lease } => json!({"step": "pause_lease", "lease": lease}),
        Action::ResumeLease { lease } => json!({"step": "resume_lease", "lease": lease}),
        Action::AwaitHandover => json!({"step": "handover"}),
        Action::AwaitEffects { times } => json!({"step": "effects", "times": times}),
        Action::FillDisk => json!({"step": "disk_full"}),
        Action::FreeDisk => json!({"step": "disk_space"}),
    }
}

fn step_summary(step: &Step) -> Json {
    json!({"line": step.place.line, "what": what_summary(&step.action), "of": step.processes})
}

fn summary(trial: &Trial) -> Json {
    json!({
        "name": trial.name, "stewards": trial.stewards, "controllers": trial.controllers,
        "journals": trial.journals, "journal_fault": trial.journal_fault,
        "acts_before_seals": trial.acts_before_seals,
        "steward_gives_away": trial.steward_gives_away, "seed": trial.seed,
        "per_second": trial.per_second, "returns_ms": trial.returns_ms,
        "detect_ms": trial.detect_ms, "patience_ms": trial.patience_ms,
        "steps": trial.steps.iter().map(step_summary).collect::<Vec<_>>(),
        "fleet": fleet_summary(&trial.fleet), "processes": trial.processes(),
        "journal_names": trial.journal_names(), "bounds": trial.bounds(),
        "zones": trial.terms.zones, "functions": trial.terms.functions.len(),
        "invokers": trial.terms.invokers.len(),
    })
}

/// Trials by the names that operators give.
fn shipped_trials() -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("trials");
    let for_figures = FOR_FIGURES.iter().map(|name| {
        let text = fs::read_to_string(folder.join(format!("{name}.star"))).unwrap();
        (name.to_string(), text)
    });
    let with_the_program = TRIALS
        .iter()
        .map(|(name, text)| (name.to_string(), text.to_string()));
    with_the_program.chain(for_figures).collect()
}

fn pretty(value: &Json) -> String {
    serde_json::to_string_pretty(value).unwrap() + "\n"
}

#[test]
fn shipped_trials_load_to_the_same_trials_under_the_same_names() {
    let trial = |(name, text): (String, String)| {
        let trial = Trial::load(&name, &text).unwrap();
        assert_eq!(
            trial.text, text,
            "processes are given the script's own text"
        );
        (name, summary(&trial))
    };
    let trials: serde_json::Map<String, Json> = shipped_trials().into_iter().map(trial).collect();
    fixture_file::assert_equals(
        "shipped-trials.json",
        pretty(&Json::Object(trials)).as_bytes(),
    );
}

#[test]
fn fixture_scripts_load_to_the_same_trials() {
    for script in FIXTURE_SCRIPTS {
        let trial = Trial::load(script, &text_of(script)).unwrap();
        let fixture = script.replace(".star", ".json");
        fixture_file::assert_equals(&fixture, pretty(&summary(&trial)).as_bytes());
    }
}

#[test]
fn the_fixture_script_uses_every_kind_of_step() {
    let trial = Trial::load(WHOLE_VOCABULARY, &text_of(WHOLE_VOCABULARY)).unwrap();
    let used: BTreeSet<String> = trial
        .steps
        .iter()
        .map(|step| what_summary(&step.action)["step"].to_string())
        .collect();
    assert_eq!(used.len(), STEPS, "{used:?}");
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
        let fault = Trial::load(WHOLE_VOCABULARY, &unknown)
            .unwrap_err()
            .to_string();
        let calls = statements.iter().filter(|statement| statement.what == what);
        let used: BTreeSet<String> = calls.flat_map(|call| call.said.keys().cloned()).collect();
        assert_eq!(used, expected_names(&fault), "{what}: {fault}");
    }
}
