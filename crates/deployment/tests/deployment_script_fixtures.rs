//! Deployment scripts load to the same deployment as when the fixtures were written: each script in
//! the repository that states one, and a fixture script that uses the whole vocabulary.

#[path = "../../../tests/support/fixture_file.rs"]
mod fixture_file;

use saltdrum::interface::{Deployment, Effect, KeyScope, TriggerType};
use saltdrum_deployment::script::{self, STATEMENTS};
use saltdrum_deployment::{DeploymentSpec, Statement};
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

const WHOLE_VOCABULARY: &str = "whole-vocabulary.star";
const FIXTURE_SCRIPTS: [&str; 2] = [WHOLE_VOCABULARY, "only-needed.star"];
const SHIPPED: &str = "shipped-deployments.json";
/// Statements whose arguments this package reads.
const READ_HERE: [&str; 6] = [
    "deployment",
    "machine",
    "invokers",
    "trigger_type",
    "tenant",
    "function",
];

fn text_of(fixture: &str) -> String {
    String::from_utf8(fixture_file::read(fixture)).unwrap()
}

fn pretty(value: &Json) -> String {
    serde_json::to_string_pretty(value).unwrap() + "\n"
}

fn trigger_summary(name: &str, trigger: &TriggerType) -> Json {
    let effect = match trigger.effect {
        Effect::Idempotent => "idempotent",
        Effect::IdempotencyKey => "tokened",
        Effect::NonIdempotent => "non-idempotent",
    };
    let scope = match trigger.key_scope {
        KeyScope::All => "all",
        KeyScope::Zone => "zone",
        KeyScope::Cell => "cell",
    };
    json!({
        "name": name, "objective": trigger.latency_objective, "client_timeout": trigger.client_timeout,
        "effect": effect, "scope": scope, "repeat_window": trigger.idempotency_window,
        "billed_value": trigger.billed_value, "late_share": trigger.late_value_share,
    })
}

fn deployment_summary(deployment: &Deployment) -> Json {
    json!({
        "controllers": deployment.controllers, "zone": deployment.zone,
        "quotas": deployment.tenants.iter().map(|tenant| tenant.quota_per_second).collect::<Vec<_>>(),
        "kind_memory": deployment.machine_memory_mb,
        "over_share_value": deployment.over_quota_value_share,
        "dispatch_limit": deployment.attempt_limit,
        "parallel_dispatches": deployment.may_attempt_in_parallel,
        "may_cancel": deployment.may_cancel, "may_probe": deployment.may_probe,
        "may_order": deployment.may_load, "misses": deployment.reports_misses,
        "keep_alive": deployment.keep_alive, "come_back_max": deployment.max_retry_after,
        "tick": deployment.max_event_interval, "order_window": deployment.load_window,
        "orders_free": deployment.free_loads, "orders_share": deployment.loads_per_invocation,
        "drain_grace": deployment.drain_grace, "cold_share": deployment.initial_capacity_share,
        "cold_time": deployment.warm_up_time, "tip_factor": deployment.overload_factor,
        "tip_window": deployment.overload_window,
    })
}

/// Names of functions, by what is stated of them besides the name.
fn functions_summary(terms: &DeploymentSpec) -> Json {
    let mut alike: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (key, function) in &terms.functions {
        assert_eq!(*key, function.name);
        let stated = json!({
            "trigger": function.trigger, "memory": function.memory, "lanes": function.lanes,
            "load": function.load,
        });
        let named = format!("{key} {:016x}", function.id);
        alike.entry(stated.to_string()).or_default().push(named);
    }
    json!(alike)
}

fn summary(terms: &DeploymentSpec, rest: &[Statement]) -> Json {
    let triggers = terms
        .trigger_type_names
        .iter()
        .zip(&terms.deployment.trigger_types)
        .map(|(name, stated)| trigger_summary(name, stated));
    let machine = |kind: &saltdrum_deployment::MachineKind| {
        json!({
            "name": kind.name, "memory": kind.memory.0, "cores": kind.cores, "speed": kind.speed,
            "slots_per_core": kind.slots_per_core, "queue_per_core": kind.queue_per_core,
            "loads_at_once": kind.loads_at_once,
        })
    };
    let invoker = |stated: &saltdrum_deployment::terms::InvokerSpec| {
        let (kind, zone, cell) = (stated.kind, stated.zone, stated.cell);
        format!("{} kind {kind} zone {zone} cell {cell}", stated.invoker)
    };
    json!({
        "deployment": deployment_summary(&terms.deployment),
        "trigger_types": triggers.collect::<Vec<_>>(),
        "tenants": terms.tenant_names,
        "functions": functions_summary(terms),
        "machines": terms.kinds.iter().map(machine).collect::<Vec<_>>(),
        "invokers": terms.invokers.iter().map(invoker).collect::<Vec<_>>(),
        "zones": terms.zones,
        "answer_margin": terms.answer_margin, "order_timeout": terms.order_timeout,
        "connect_timeout": terms.connect_timeout,
        "other_statements": rest.len(),
    })
}

fn statement_summary(statement: &Statement) -> Json {
    json!({"line": statement.place.line, "what": statement.what, "said": statement.said})
}

fn scripts_below(folder: &Path, found: &mut BTreeMap<String, PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() && !path.ends_with("tests/fixtures") {
            scripts_below(&path, found);
        } else if path
            .extension()
            .is_some_and(|extension| extension == "star")
        {
            let kind = folder.file_name().unwrap().to_string_lossy();
            let stem = path.file_stem().unwrap().to_string_lossy();
            found.insert(format!("{kind}/{stem}"), path);
        }
    }
}

/// Scripts of all packages, by folder and name, without those of fixtures.
fn shipped_scripts() -> BTreeMap<String, PathBuf> {
    let mut found = BTreeMap::new();
    scripts_below(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join(".."),
        &mut found,
    );
    found
}

#[test]
fn fixture_scripts_load_to_the_same_deployment() {
    for script in FIXTURE_SCRIPTS {
        let (terms, rest) = DeploymentSpec::load(script, &text_of(script)).unwrap();
        let rest: Vec<Json> = rest.iter().map(statement_summary).collect();
        let loaded = json!({"terms": summary(&terms, &[]), "other_statements": rest});
        let fixture = script.replace(".star", ".json");
        fixture_file::assert_equals(&fixture, pretty(&loaded).as_bytes());
    }
}

#[test]
fn statements_are_read_with_the_same_names_arguments_and_lines() {
    let statements = script::run(WHOLE_VOCABULARY, &text_of(WHOLE_VOCABULARY)).unwrap();
    let used: BTreeSet<&str> = statements.iter().map(|statement| statement.what).collect();
    let known: BTreeSet<&str> = STATEMENTS.iter().copied().collect();
    assert_eq!(used, known, "the fixture script uses every statement");
    let read: Vec<Json> = statements.iter().map(statement_summary).collect();
    fixture_file::assert_equals(
        "whole-vocabulary-statements.json",
        pretty(&json!(read)).as_bytes(),
    );
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
        let fault = DeploymentSpec::load(WHOLE_VOCABULARY, &unknown)
            .unwrap_err()
            .to_string();
        let calls = statements.iter().filter(|statement| statement.what == what);
        let used: BTreeSet<String> = calls.flat_map(|call| call.said.keys().cloned()).collect();
        assert_eq!(used, expected_names(&fault), "{what}: {fault}");
    }
}

/// Keyed by folder and name, so that a package may move; scripts that are new since are not looked
/// at.
#[test]
fn shipped_scripts_state_the_same_deployments() {
    let mut deployments = serde_json::Map::new();
    for (name, path) in shipped_scripts() {
        let text = fs::read_to_string(path).unwrap();
        let statements = script::run(&name, &text).unwrap();
        if statements
            .iter()
            .any(|statement| statement.what == "deployment")
        {
            let (terms, rest) = DeploymentSpec::load(&name, &text).unwrap();
            deployments.insert(name, summary(&terms, &rest));
        }
    }
    if std::env::var_os("SALTDRUM_WRITE_FIXTURES").is_none() {
        let stored: serde_json::Map<String, Json> =
            serde_json::from_slice(&fixture_file::read(SHIPPED)).unwrap();
        deployments.retain(|name, _| stored.contains_key(name));
    }
    fixture_file::assert_equals(SHIPPED, pretty(&Json::Object(deployments)).as_bytes());
}
