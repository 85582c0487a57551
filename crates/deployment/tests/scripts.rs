//! Valid and invalid deployment scripts, and the errors for the invalid ones.

use proptest::prelude::*;
use saltdrum_deployment::{DeploymentSpec, units};

const VALID: &str = r#"
deployment(controllers = 3, keep_alive = "9s", cold_share = 0.2, cold_time = "16s",
    tip_factor = 2.5, tip_window = "1.5s", come_back_most = "500ms")
machine("big", memory = "42GB", cores = 5)
invokers(kind = "big", count = 4, cell_size = 3)
trigger_type("narrate", objective = "1.2s", client_timeout = "5s")
tenant("hill", quota_per_s = 40)
[function("voice-%d" % n, trigger = "narrate", memory = "3200MB", lanes = 4, load_time = "1500ms") for n in range(3)]
trouble("crash", at = "3s")
"#;

#[test]
fn parses_deployment_with_units_and_returns_other_statements() {
    let (spec, other_statements) = DeploymentSpec::load("day.star", VALID).unwrap();
    assert_eq!(spec.deployment.overload_window, 15_000);
    assert_eq!(spec.kinds[0].memory.0, 42_000.0);
    assert_eq!(
        spec.invokers
            .iter()
            .map(|invoker| invoker.cell)
            .collect::<Vec<_>>(),
        [0, 0, 0, 1]
    );
    assert_eq!(spec.functions.len(), 3);
    assert_eq!(
        (
            other_statements.len(),
            other_statements[0].what,
            other_statements[0].place.line
        ),
        (1, "trouble", 9)
    );
}

#[test]
fn errors_name_file_line_and_expected_value() {
    let error_after_replacing = |from: &str, to: &str| {
        assert!(VALID.contains(from), "{from}");
        DeploymentSpec::load("day.star", &VALID.replace(from, to))
            .unwrap_err()
            .to_string()
    };
    for (from, to, expected) in [
        (
            "\"9s\"",
            "9",
            "day.star:2: deployment: keep_alive = 9: a unit is missing, as in \"250ms\"",
        ),
        (
            "\"9s\"",
            "\"-9s\"",
            "day.star:2: deployment: keep_alive = '-9s': cannot be negative",
        ),
        (
            "\"9s\"",
            "\"9 parsecs\"",
            "day.star:2: deployment: keep_alive = '9 parsecs': unknown unit ' parsecs'",
        ),
        (
            "keep_alive",
            "keep_alife",
            "day.star:2: deployment: unknown field `keep_alife`",
        ),
        (
            "kind = \"big\"",
            "kind = \"bug\"",
            "day.star:5: invokers: no machine is named 'bug'",
        ),
        (
            "tenant(",
            "tennant(",
            "day.star:7: Variable `tennant` not found",
        ),
        (
            "objective = \"1.2s\",",
            "effect = \"sometimes\", objective = \"1s\",",
            "day.star:6: trigger_type: effect",
        ),
        (
            "cold_share = 0.2",
            "cold_share = 2",
            "day.star:2: deployment: cold_share = 2: 0 to 1 is expected",
        ),
        ("range(3)]", "range(3)", "day.star:"),
    ] {
        let error = error_after_replacing(from, to);
        assert!(
            error.starts_with(expected),
            "{error}\n  instead of\n{expected}"
        );
    }
    assert_eq!(
        DeploymentSpec::load("d", "").unwrap_err().to_string(),
        "d:1: no deployment(...) is stated"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..Default::default()
    })]

    #[test]
    fn script_with_a_gap_is_parsed_or_rejected_with_a_location(drawn_offset in 0usize..500, length in 1usize..30) {
        let offset = drawn_offset % VALID.len();
        let text = format!("{}{}", &VALID[..offset], &VALID[(offset + length).min(VALID.len())..]);
        if let Err(error) = DeploymentSpec::load("day.star", &text) {
            prop_assert!(error.place.line >= 1 && !error.why.is_empty());
        }
    }

    #[test]
    fn durations_are_never_rounded_up(ms in 0u64..1_000_000) {
        let text = format!("{}.{:03}s", ms / 1_000, ms % 1_000);
        prop_assert_eq!(units::span(&text).unwrap().0, ms * 10);
    }
}
