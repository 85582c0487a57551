//! Days' scripts load to the same days as when the fixtures were written: those that come with the
//! program, and fixture scripts that use the whole vocabulary. What they state of the deployment is
//! looked at by the deployment package.

#[path = "../../../tests/support/fixture_file.rs"]
mod fixture_file;

use saltdrum_deployment::script;
use saltdrum_load::Shape;
use saltdrum_scenario::script::{Network, Traffic, Trouble};
use saltdrum_scenario::{DAYS, Day, Layers};
use serde_json::{Value as Json, json};
use std::collections::BTreeSet;

const WHOLE_VOCABULARY: &str = "whole-vocabulary.star";
const FIXTURE_SCRIPTS: [&str; 2] = [WHOLE_VOCABULARY, "only-needed.star"];
/// Statements whose arguments this package reads.
const READ_HERE: [&str; 4] = ["day", "network", "traffic", "trouble"];

fn text_of(fixture: &str) -> String {
    String::from_utf8(fixture_file::read(fixture)).unwrap()
}

fn layers_word(layers: Layers) -> &'static str {
    match layers {
        Layers::Off => "off",
        Layers::Alone => "alone",
        Layers::Shared => "shared",
    }
}

fn network_summary(network: Network) -> Json {
    json!({
        "delay": network.delay, "jitter": network.jitter,
        "bytes_per_second": network.bytes_per_second, "clocks_ahead": network.clocks_ahead,
        "clocks_drift": network.clocks_drift,
    })
}

fn shape_summary(shape: Shape) -> Json {
    match shape {
        Shape::Steady => json!({"shape": "steady"}),
        Shape::Bursty {
            rate_factor,
            mean_duration,
        } => {
            json!({"shape": "bursty", "times": rate_factor, "lasts": mean_duration})
        }
        Shape::Group { count, spread } => {
            json!({"shape": "group", "count": count, "spread": spread})
        }
        Shape::Afternoon { min_share } => json!({"shape": "afternoon", "least": min_share}),
        Shape::Ramp => json!({"shape": "ramp"}),
        Shape::Season { amplitude, period } => {
            json!({"shape": "season", "swing": amplitude, "period": period})
        }
    }
}

fn traffic_summary(traffic: &Traffic) -> Json {
    json!({
        "tenant": traffic.tenant, "functions": traffic.functions, "zipf": traffic.zipf,
        "per_second": traffic.per_second, "shape": shape_summary(traffic.shape),
        "turnover": traffic.turnover, "work": traffic.work, "spread": traffic.spread,
        "from": traffic.from, "to": traffic.to,
    })
}

fn trouble_summary(trouble: &Trouble) -> Json {
    json!({
        "name": trouble.name, "at": trouble.at, "lasts": trouble.lasts,
        "invokers": trouble.invokers, "controllers": trouble.controllers, "zone": trouble.zone,
        "tenant": trouble.tenant, "functions": trouble.functions, "part": trouble.part,
        "times": trouble.times, "delay": trouble.delay, "batch": trouble.batch,
        "ways": trouble.ways,
    })
}

fn summary(day: &Day) -> Json {
    let terms = &day.terms;
    json!({
        "name": day.name, "length": day.length, "seed": day.seed, "connections": day.connections,
        "retries": day.retries, "backoff": day.backoff, "list_notice": day.list_notice,
        "store_limit": day.store_limit, "layers": layers_word(day.layers),
        "model_bytes": day.model_bytes, "versions": day.versions, "moves": day.moves,
        "staged": day.staged, "passage": day.passage, "hands_back": day.hands_back,
        "network": network_summary(day.network),
        "traffic": day.traffic.iter().map(traffic_summary).collect::<Vec<_>>(),
        "troubles": day.troubles.iter().map(trouble_summary).collect::<Vec<_>>(),
        "controllers": terms.deployment.controllers, "invokers": terms.invokers.len(),
        "functions": terms.functions.keys().collect::<Vec<_>>(), "tenants": terms.tenant_names,
        "trigger_types": terms.trigger_type_names, "zones": terms.zones,
    })
}

fn pretty(value: &Json) -> String {
    serde_json::to_string_pretty(value).unwrap() + "\n"
}

#[test]
fn days_that_come_with_the_program_load_to_the_same_days_under_the_same_names() {
    let day =
        |(name, text): &(&str, &str)| (name.to_string(), summary(&Day::load(name, text).unwrap()));
    let days: serde_json::Map<String, Json> = DAYS.iter().map(day).collect();
    fixture_file::assert_equals("shipped-days.json", pretty(&Json::Object(days)).as_bytes());
}

#[test]
fn fixture_scripts_load_to_the_same_days() {
    for script in FIXTURE_SCRIPTS {
        let day = Day::load(script, &text_of(script)).unwrap();
        let fixture = script.replace(".star", ".json");
        fixture_file::assert_equals(&fixture, pretty(&summary(&day)).as_bytes());
    }
}

#[test]
fn each_word_for_how_models_come_is_read() {
    let text = text_of(WHOLE_VOCABULARY);
    for word in ["off", "alone", "shared"] {
        let text = text.replace("layers = \"shared\"", &format!("layers = \"{word}\""));
        assert_eq!(
            layers_word(Day::load(WHOLE_VOCABULARY, &text).unwrap().layers),
            word
        );
    }
}

/// What a fault says is known: names in backquotes after "expected", or a list after "known are".
fn expected_names(fault: &str) -> BTreeSet<String> {
    if let Some((_, known)) = fault.split_once("known are ") {
        return known.split(", ").map(str::to_owned).collect();
    }
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
        let fault = Day::load(WHOLE_VOCABULARY, &unknown)
            .unwrap_err()
            .to_string();
        let calls = statements.iter().filter(|statement| statement.what == what);
        let used: BTreeSet<String> = calls.flat_map(|call| call.said.keys().cloned()).collect();
        assert_eq!(used, expected_names(&fault), "{what}: {fault}");
    }
}

#[test]
fn the_fixture_script_uses_every_kind_of_trouble_that_is_known() {
    let text = text_of(WHOLE_VOCABULARY);
    let unknown = format!("{text}trouble(\"zzz\", at = \"1s\")\n");
    let fault = Day::load(WHOLE_VOCABULARY, &unknown)
        .unwrap_err()
        .to_string();
    let day = Day::load(WHOLE_VOCABULARY, &text).unwrap();
    let used: BTreeSet<String> = day
        .troubles
        .iter()
        .map(|trouble| trouble.name.into())
        .collect();
    assert_eq!(used, expected_names(&fault), "{fault}");
}
