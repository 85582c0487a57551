//! Experiments and searches for failing days, on small days with the real controller.

use saltdrum_fakes::record::Line;
use saltdrum_faulty_peers::{Fault, fetch_model_unverified, run_faulty_controller};
use saltdrum_lab::hunt::{Bounds, hunt};
use saltdrum_lab::{Experiment, Script, results, run};
use saltdrum_scenario::{DAYS, Overrides, Serve};
use std::fs;
use std::path::Path;

const SMALL_DAY: &str = r#"
deployment(controllers = 2, keep_alive = "9s", cold_share = 0.3, cold_time = "4s", tip_factor = 2, tip_window = "1s",
    drain_grace = "200ms")
machine("big", memory = "42GB", cores = 4)
invokers(kind = "big", count = 4, cell_size = 2)
trigger_type("narrate", objective = "1s", client_timeout = "4s")
trigger_type("book", objective = "1s", client_timeout = "4s", effect = "non-idempotent")
tenant("hill", quota_per_s = 90)
function("voice", trigger = "narrate", memory = "1GB", lanes = 8, load_time = "200ms")
function("book", trigger = "book", memory = "1GB", lanes = 8, load_time = "200ms")
day("small", length = "5s", seed = 4, list_notice = "100ms")
traffic(tenant = "hill", functions = ["voice"], per_second = 40, work = "60ms")
traffic(tenant = "hill", functions = ["book"], per_second = 15, work = "40ms")
"#;

fn load_experiment(folder: &Path, text: &str) -> Experiment {
    fs::write(folder.join("small.star"), SMALL_DAY).unwrap();
    Experiment::load(&folder.join("x.star"), text).unwrap()
}

const TWO_VARIANTS: &str = "experiment('two', days = ['small.star'], seeds = 3)\n\
    variant('design')\nvariant('random', policy = 'random')\n";

#[test]
fn results_do_not_depend_on_thread_count_or_interruption() {
    let folder = tempfile::tempdir().unwrap();
    let experiment = load_experiment(folder.path(), TWO_VARIANTS);
    let at = |name: &str| folder.path().join(name);
    let (one_thread, four_threads) = (
        run::run(&experiment, &at("one"), 1, |_, _, _| ()),
        run::run(&experiment, &at("four"), 4, |_, _, _| ()),
    );
    let (one_thread, four_threads) = (one_thread.unwrap(), four_threads.unwrap());
    assert_eq!(
        (
            one_thread.played,
            four_threads.played,
            one_thread.failed.len()
        ),
        (6, 6, 0)
    );
    assert_eq!(one_thread.digest, four_threads.digest);
    // A kill leaves intact runs, a partially written one, and possibly a damaged one.
    let (intact, _) = results::scan(&at("four")).unwrap();
    let mut paths = intact.values();
    fs::remove_file(paths.next().unwrap()).unwrap();
    fs::write(at("four").join("aaaa.half"), b"PAR1").unwrap();
    let damaged = paths.next().unwrap();
    let mut bytes = fs::read(damaged).unwrap();
    bytes.truncate(bytes.len() / 2);
    fs::write(damaged, bytes).unwrap();
    let resumed = run::run(&experiment, &at("four"), 4, |_, _, _| ()).unwrap();
    assert_eq!(
        (resumed.played, resumed.reused, &resumed.digest),
        (2, 4, &one_thread.digest)
    );
    let repeated = run::run(&experiment, &at("four"), 2, |_, _, _| ()).unwrap();
    assert_eq!((repeated.played, repeated.reused), (0, 6));
}

#[test]
fn reads_back_a_stored_run_and_reports_unreadable_files() {
    let folder = tempfile::tempdir().unwrap();
    let experiment = load_experiment(
        folder.path(),
        "experiment('one', days = ['small.star'], seeds = 1)\nvariant('design')\n",
    );
    run::run(&experiment, folder.path(), 1, |_, _, _| ()).unwrap();
    let (intact, _) = results::scan(folder.path()).unwrap();
    let path = intact.values().next().unwrap();
    let stored = results::read(path).unwrap();
    // Playing the stored script reproduces the run.
    let day = Script::read("again", &stored.origin.script)
        .unwrap()
        .day()
        .unwrap();
    let lines = saltdrum_scenario::play_virtually(&day, saltdrum_scenario::serve).unwrap();
    let (rows, facts) = saltdrum_lab::facts::summarize(&lines, None).unwrap();
    assert!(stored.rows == rows && rows.len() > 200 && facts.digest == stored.facts.digest);
    assert_eq!(stored.facts.slow.len(), 6);
    assert!(
        stored.facts.slow[0]
            .steps
            .iter()
            .any(|s| s.contains("dispatch")),
        "{:?}",
        stored.facts.slow[0]
    );
    for (bytes, expected) in [
        (&b"PAR1 and nothing"[..], "Parquet error"),
        (b"", "Parquet file too small"),
    ] {
        let unreadable = folder.path().join("bad.parquet");
        fs::write(&unreadable, bytes).unwrap();
        let error = results::read(&unreadable).unwrap_err().to_string();
        assert!(
            error.contains("bad.parquet") && error.contains(expected),
            "{error}"
        );
    }
    let bytes = fs::read(path).unwrap();
    let at = bytes
        .windows(12)
        .position(|w| w == b"saltdrum.run")
        .unwrap();
    let mut other_version = bytes;
    let version_digit = (at + 12..at + 20)
        .find(|n| other_version[*n] == b'1')
        .unwrap();
    other_version[version_digit] = b'7';
    fs::write(folder.path().join("later.parquet"), other_version).unwrap();
    let error = results::read(&folder.path().join("later.parquet"))
        .unwrap_err()
        .to_string();
    assert!(
        error
            .ends_with("later.parquet: run version 7 is not supported; the supported version is 1"),
        "{error}"
    );
}

/// Simulates a failing write with a path that is not a folder. The stored runs stay unchanged.
#[test]
fn failure_to_store_a_run_is_reported_and_keeps_the_others() {
    let folder = tempfile::tempdir().unwrap();
    let experiment = load_experiment(folder.path(), TWO_VARIANTS);
    run::run(&experiment, folder.path(), 2, |_, _, _| ()).unwrap();
    let (before, _) = results::scan(folder.path()).unwrap();
    let run = results::read(before.values().next().unwrap()).unwrap();
    let not_a_folder = folder.path().join("small.star");
    let error = results::store(&not_a_folder, &run.origin, &run.facts, &run.rows)
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("small.star") && error.contains(".half"),
        "{error}"
    );
    assert_eq!(results::scan(folder.path()).unwrap().0, before);
}

#[test]
fn finds_a_day_below_its_bound_and_none_if_all_pass() {
    let base = Script::read("small", SMALL_DAY).unwrap();
    let at_least = |min_value| Bounds {
        min_value: Some(min_value),
        only_rule: None,
    };
    let real = Overrides::of(saltdrum_scenario::serve);
    let found = hunt(&base, real, at_least(0.9), 1, 40, 40, 4)
        .unwrap()
        .unwrap();
    assert!(
        found.reason.starts_with("value: billed value"),
        "{}",
        found.reason
    );
    assert!(
        hunt(&base, real, at_least(0.0), 1, 12, 40, 4)
            .unwrap()
            .is_none()
    );
}

/// Days within which each faulty peer must be detected.
const MAX_DAYS: usize = 40;

/// Checks that a search detects a faulty controller, and that the reduced day is small and passes with the real one.
fn assert_fault_is_found(rule: u8, serve: Serve) {
    let base = Script::read("small", SMALL_DAY).unwrap();
    let found = hunt(
        &base,
        Overrides::of(serve),
        Bounds {
            only_rule: Some(rule),
            min_value: None,
        },
        1,
        MAX_DAYS,
        120,
        4,
    )
    .unwrap()
    .unwrap();
    assert!(
        found.reason.starts_with(&format!("rule {rule}: ")),
        "{}",
        found.reason
    );
    let reduced = Script::read("shrunk.star", &found.shrunk.script.text()).unwrap();
    let day = reduced.day().unwrap();
    assert!(
        day.troubles.len() <= 1 && day.traffic.len() == 1,
        "{}",
        reduced.text()
    );
    let lines = saltdrum_scenario::play_virtually(&day, serve).unwrap();
    let verdicts = saltdrum_scenario::check::check(&lines).unwrap();
    assert!(
        verdicts
            .iter()
            .any(|v| v.state == saltdrum_scenario::State::Broken),
        "{}",
        reduced.text()
    );
    let lines = saltdrum_scenario::play_virtually(&day, saltdrum_scenario::serve).unwrap();
    let verdicts = saltdrum_scenario::check::check(&lines).unwrap();
    assert!(
        verdicts
            .iter()
            .all(|v| v.state != saltdrum_scenario::State::Broken),
        "the real controller breaks no rule"
    );
}

#[test]
fn finds_a_controller_that_responds_twice() {
    assert_fault_is_found(1, |s, n, c| {
        run_faulty_controller(Fault::AnswersTwice, s, n, c)
    });
}

#[test]
fn finds_a_controller_that_runs_effects_twice() {
    assert_fault_is_found(2, |s, n, c| {
        run_faulty_controller(Fault::RunsTwice, s, n, c)
    });
}

#[test]
fn finds_a_controller_that_dispatches_after_a_drain() {
    assert_fault_is_found(3, |s, n, c| {
        run_faulty_controller(Fault::IgnoresDrains, s, n, c)
    });
}

const LAYERS_DAY: &str = r#"
deployment(controllers = 1, keep_alive = "2s", cold_share = 0.3, cold_time = "1s", tip_factor = 2, tip_window = "1s",
    drain_grace = "200ms")
machine("box", memory = "4GB", cores = 2)
invokers(kind = "box", count = 3)
trigger_type("narrate", objective = "2s", client_timeout = "6s")
tenant("hill", quota_per_s = 90)
function("voice", trigger = "narrate", memory = "3GB", lanes = 8, load_time = "400ms")
function("tour", trigger = "narrate", memory = "3GB", lanes = 8, load_time = "400ms")
day("layers", length = "6s", seed = 4, list_notice = "100ms", layers = "shared", model = "1MB")
traffic(tenant = "hill", functions = ["voice", "tour"], per_second = 20, work = "30ms")
"#;

/// Numbers of all assembled copies and of those that do not match their model.
fn count_copies(day: &saltdrum_scenario::Day, overrides: Overrides) -> (usize, usize) {
    let lines = saltdrum_scenario::play_with_overrides(day, overrides).unwrap();
    let matches_model = |l: &Line| {
        if let Line::CopyAssembled { matches_model, .. } = l {
            Some(*matches_model)
        } else {
            None
        }
    };
    let copies: Vec<bool> = lines.iter().filter_map(matches_model).collect();
    (
        copies.len(),
        copies.iter().filter(|matches| !**matches).count(),
    )
}

#[test]
fn finds_a_cache_that_does_not_verify_digests() {
    let base = Script::read("layers", LAYERS_DAY).unwrap();
    let faulty = Overrides {
        serve: saltdrum_scenario::serve,
        brings: Some(fetch_model_unverified),
    };
    let found = hunt(&base, faulty, Bounds::default(), 1, MAX_DAYS, 60, 4)
        .unwrap()
        .unwrap();
    assert!(found.reason.starts_with("copy: "), "{}", found.reason);
    let day = found.shrunk.script.day().unwrap();
    assert!(count_copies(&day, faulty).1 > 0);
    // On the same day, the real cache loads models and discards damaged chunks.
    let (all, mismatched) = count_copies(&day, Overrides::of(saltdrum_scenario::serve));
    assert!(all > 0 && mismatched == 0, "{all} {mismatched}");
    let found_day =
        saltdrum_scenario::Day::load("found", include_str!("found/skips-digests.star")).unwrap();
    assert!(
        count_copies(&found_day, faulty).1 > 0
            && count_copies(&found_day, Overrides::of(saltdrum_scenario::serve)).1 == 0
    );
}

#[test]
fn torn_writes_and_damaged_chunks_never_yield_a_wrong_copy() {
    let text = format!(
        "{LAYERS_DAY}\
         network(delay = '1ms', clocks_ahead = '2h', clocks_drift_ppm = 200)\n\
         trouble('store_damages', at = '500ms', lasts = '1s', part = 0.6)\n\
         trouble('power_cut', at = '2s', lasts = '500ms', invokers = [1, 2], part = 0.9, delay = '10s')\n\
         trouble('power_cut', at = '4s', lasts = '500ms', invokers = [1, 3], part = 0.9, delay = '10s')\n"
    );
    let day = saltdrum_scenario::Day::load("torn", &text).unwrap();
    let (mut damaged, mut all) = (0, 0);
    for seed in 0..6 {
        let day = saltdrum_scenario::Day {
            seed,
            ..day.clone()
        };
        let lines = saltdrum_scenario::play_virtually(&day, saltdrum_scenario::serve).unwrap();
        let verdicts = saltdrum_scenario::check::check(&lines).unwrap();
        assert!(
            verdicts
                .iter()
                .all(|v| v.state != saltdrum_scenario::State::Broken),
            "seed {seed}"
        );
        let sum = saltdrum_scenario::summary::summarize("torn", &lines, verdicts)
            .layers
            .unwrap();
        assert_eq!(sum.unsound, 0, "seed {seed}");
        (damaged, all) = (damaged + sum.damaged, all + sum.copies);
    }
    assert!(
        damaged > 0 && all > 20,
        "{damaged} damaged chunks, {all} copies: the day injects too few faults"
    );
}

#[test]
fn experiments_accept_every_bundled_day() {
    let text = format!(
        "experiment('all', days = {:?})\nvariant('design')\n",
        DAYS.iter().map(|d| d.0).collect::<Vec<_>>()
    );
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(
        load_experiment(folder.path(), &text).cells().len(),
        DAYS.len() * 4
    );
}

/// Reduced days from earlier searches still fail with the faulty controller and pass with the real one.
#[test]
fn stored_failing_days_fail_with_the_faulty_controller_only() {
    let stored_days: [(&str, &str, u8, Serve); 9] = [
        (
            "answers-twice",
            include_str!("found/answers-twice.star"),
            1,
            |s, n, c| run_faulty_controller(Fault::AnswersTwice, s, n, c),
        ),
        (
            "answers-not-all",
            include_str!("found/answers-not-all.star"),
            1,
            |s, n, c| run_faulty_controller(Fault::AnswersNotAll, s, n, c),
        ),
        (
            "answers-late",
            include_str!("found/answers-late.star"),
            1,
            |s, n, c| run_faulty_controller(Fault::AnswersLate, s, n, c),
        ),
        (
            "runs-twice",
            include_str!("found/runs-twice.star"),
            2,
            |s, n, c| run_faulty_controller(Fault::RunsTwice, s, n, c),
        ),
        (
            "throttles-what-ran",
            include_str!("found/throttles-what-ran.star"),
            2,
            |s, n, c| run_faulty_controller(Fault::ThrottlesWhatRan, s, n, c),
        ),
        (
            "two-out",
            include_str!("found/two-out.star"),
            2,
            |s, n, c| run_faulty_controller(Fault::TwoOut, s, n, c),
        ),
        (
            "ignores-drains",
            include_str!("found/ignores-drains.star"),
            3,
            |s, n, c| run_faulty_controller(Fault::IgnoresDrains, s, n, c),
        ),
        (
            "loads-at-will",
            include_str!("found/loads-at-will.star"),
            5,
            |s, n, c| run_faulty_controller(Fault::LoadsAtWill, s, n, c),
        ),
        (
            "floods-cold-ones",
            include_str!("found/floods-cold-ones.star"),
            4,
            |s, n, c| run_faulty_controller(Fault::FloodsColdOnes, s, n, c),
        ),
    ];
    for (name, text, rule, serve) in stored_days {
        let day = saltdrum_scenario::Day::load(name, text).unwrap();
        let broken_rules = |serve: Serve| {
            let lines = saltdrum_scenario::play_virtually(&day, serve).unwrap();
            let verdicts = saltdrum_scenario::check::check(&lines).unwrap();
            verdicts
                .iter()
                .filter(|v| v.state == saltdrum_scenario::State::Broken)
                .map(|v| v.rule)
                .collect::<Vec<_>>()
        };
        assert!(broken_rules(serve).contains(&rule), "{name}");
        assert_eq!(
            broken_rules(saltdrum_scenario::serve),
            Vec::<u8>::new(),
            "{name}"
        );
    }
}
