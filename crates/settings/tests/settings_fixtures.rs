//! Compatibility of the stated settings: names, words and units in a stored text reach the intended fields, and what is
//! missing or wrong is reported with the stored text.
//!
//! `settings.txt` is written by hand; `setting_faults.txt` is rewritten only when `SALTDRUM_WRITE_FIXTURES` is set.

#![allow(
    clippy::too_many_lines,
    reason = "a test compares every setting in one place"
)]

use saltdrum::interface::{Deployment, Effect, KeyScope, Tenant, TriggerType};
use saltdrum_settings::{ParsedSettings, SettingError, SettingValues};
use std::fmt::Write;
use std::path::{Path, PathBuf};

fn fixture_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(file)
}

fn read_fixture(file: &str) -> String {
    let path = fixture_path(file);
    std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("fixture {}: {error}", path.display()))
}

/// Compares with the stored fixture, or stores it when `SALTDRUM_WRITE_FIXTURES` is set.
fn check_fixture(file: &str, actual: &str) {
    if std::env::var_os("SALTDRUM_WRITE_FIXTURES").is_some() {
        std::fs::write(fixture_path(file), actual).expect("the fixture is writable");
    }
    let stored = read_fixture(file);
    for (number, (stored, actual)) in stored.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, stored, "{file}, line {}", number + 1);
    }
    assert_eq!(
        actual, stored,
        "{file}: the number of lines or the last line break differs"
    );
}

fn read(settings: &str) -> Result<ParsedSettings, SettingError> {
    saltdrum_settings::parse(&SettingValues::from_lines(settings)?)
}

/// The settings with the value of one of them replaced.
fn with_value(settings: &str, path: &str, value: &str) -> String {
    let prefix = format!("{path}=");
    assert!(
        settings.lines().any(|line| line.starts_with(&prefix)),
        "{path}: not in the fixture"
    );
    let replaced = |line: &str| match line.starts_with(&prefix) {
        true => format!("{prefix}{value}\n"),
        false => format!("{line}\n"),
    };
    settings.lines().map(replaced).collect()
}

#[test]
fn every_setting_reaches_its_field() {
    let ParsedSettings {
        deployment,
        report_fields: report,
    } = read(&read_fixture("settings.txt")).unwrap();
    assert_eq!(report, ["queue", "util"]);
    // Without `..`, so that a new field does not compile until it is compared here.
    let Deployment {
        controllers,
        zone,
        memory_bytes,
        trigger_types,
        tenants,
        over_quota_value_share: over_share_value,
        machine_memory_mb: kind_memory,
        attempt_limit: dispatch_limit,
        may_attempt_in_parallel: parallel_dispatches,
        may_cancel,
        may_probe,
        may_load: may_order,
        reports_misses: misses,
        keep_alive,
        max_retry_after: come_back_max,
        max_event_interval: tick,
        load_window: order_window,
        free_loads: orders_free,
        loads_per_invocation: orders_share,
        list_lifetime,
        drain_grace,
        initial_capacity_share: cold_share,
        warm_up_time: cold_time,
        overload_factor: tip_factor,
        overload_window: tip_window,
    } = deployment;
    assert_eq!(controllers, 3);
    assert_eq!(zone, 2);
    assert_eq!(over_share_value, 0.15);
    assert_eq!(kind_memory, [105_664.0, 84_672.5]);
    assert_eq!(dispatch_limit, 6);
    assert!(!parallel_dispatches);
    assert!(may_cancel);
    assert!(may_probe);
    assert!(may_order);
    assert!(misses);
    assert_eq!(keep_alive, 89_000);
    assert_eq!(come_back_max, Some(5_125));
    assert_eq!(tick, 45);
    assert_eq!(order_window, 45_000);
    assert_eq!(orders_free, 7.5);
    assert_eq!(orders_share, 0.12);
    assert_eq!(list_lifetime, None);
    assert_eq!(memory_bytes, None);
    assert_eq!(drain_grace, 2_505);
    assert_eq!(cold_share, 0.19);
    assert_eq!(cold_time, 160_000);
    assert_eq!(tip_factor, 2.75);
    assert_eq!(tip_window, 15_000);

    let quotas: Vec<f64> = tenants
        .iter()
        .map(
            |Tenant {
                 quota_per_second: quota,
             }| *quota,
        )
        .collect();
    assert_eq!(quotas, [40.5, 80.25]);
    assert_eq!(trigger_types.len(), 3);
    let expected = [
        (
            12_002,
            50_000,
            Effect::Idempotent,
            KeyScope::All,
            50_010,
            1.5,
            0.31,
        ),
        (
            9_000,
            30_000,
            Effect::IdempotencyKey,
            KeyScope::Zone,
            20_000,
            2.5,
            0.21,
        ),
        (
            7_000,
            25_000,
            Effect::NonIdempotent,
            KeyScope::Cell,
            15_000,
            3.5,
            0.11,
        ),
    ];
    for (trigger_type, expected) in trigger_types.into_iter().zip(expected) {
        let TriggerType {
            latency_objective: objective,
            client_timeout,
            effect,
            key_scope: scope,
            idempotency_window: repeat_window,
            billed_value,
            late_value_share: late_share,
        } = trigger_type;
        let read = (
            objective,
            client_timeout,
            effect,
            scope,
            repeat_window,
            billed_value,
            late_share,
        );
        assert_eq!(read, expected);
    }
}

#[test]
fn each_flag_reaches_its_own_field() {
    let settings = read_fixture("settings.txt");
    let flags = |deployment: &Deployment| {
        [
            deployment.may_attempt_in_parallel,
            deployment.may_cancel,
            deployment.may_probe,
            deployment.may_load,
            deployment.reports_misses,
            deployment.max_retry_after.is_some(),
        ]
    };
    let usual = flags(&read(&settings).unwrap().deployment);
    let changes = [
        ("bounds.parallel_tries", "true"),
        ("bounds.cancel", "false"),
        ("bounds.probing", "false"),
        ("family_info.may_order", "false"),
        ("family_info.not_loaded", "load"),
        ("bounds.retry_after", "false"),
    ];
    for (changed, (path, value)) in changes.into_iter().enumerate() {
        let mut expected = usual;
        expected[changed] = !expected[changed];
        let deployment = read(&with_value(&settings, path, value))
            .unwrap()
            .deployment;
        assert_eq!(flags(&deployment), expected, "{path}={value}");
    }
}

#[test]
fn missing_and_wrong_settings_are_reported_with_the_same_text() {
    let settings = read_fixture("settings.txt");
    let outcome = |changed: &str| {
        read(changed)
            .err()
            .map_or_else(|| "accepted".into(), |error| error.to_string())
    };
    let mut lines = String::new();
    for line in settings.lines() {
        let (path, _) = line.split_once('=').unwrap();
        let without: String = settings
            .lines()
            .filter(|other| *other != line)
            .map(|line| format!("{line}\n"))
            .collect();
        writeln!(lines, "{path} left out: {}", outcome(&without)).unwrap();
        for value in ["?", "-1"] {
            let changed = with_value(&settings, path, value);
            writeln!(lines, "{path}={value}: {}", outcome(&changed)).unwrap();
        }
    }
    let no_types = with_value(&settings, "classes.count", "0");
    writeln!(lines, "classes.count=0: {}", outcome(&no_types)).unwrap();
    writeln!(
        lines,
        "a line without '=': {}",
        outcome(&format!("{settings}zone\n"))
    )
    .unwrap();
    check_fixture("setting_faults.txt", &lines);
}
