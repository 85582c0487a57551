//! Experiments and searches on real days, small ones.

use saltdrum_fakes::record::Line;
use saltdrum_faulty_peers::{Fault, fetch_model_unverified, run_faulty_controller};
use saltdrum_lab::hunt::{Bounds, hunt};
use saltdrum_lab::{Experiment, Script, results, run};
use saltdrum_scenario::{DAYS, Overrides, Serve};
use std::fs;
use std::path::Path;

const SMALL: &str = r#"
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

fn experiment(folder: &Path, text: &str) -> Experiment {
    fs::write(folder.join("small.star"), SMALL).unwrap();
    Experiment::load(&folder.join("x.star"), text).unwrap()
}

const TWO: &str = "experiment('two', days = ['small.star'], seeds = 3)\n\
    variant('design')\nvariant('random', policy = 'random')\n";

#[test]
fn the_same_results_on_one_thread_and_on_four_and_after_a_kill() {
    let folder = tempfile::tempdir().unwrap();
    let x = experiment(folder.path(), TWO);
    let at = |name: &str| folder.path().join(name);
    let (one, four) = (
        run::run(&x, &at("one"), 1, |_, _, _| ()),
        run::run(&x, &at("four"), 4, |_, _, _| ()),
    );
    let (one, four) = (one.unwrap(), four.unwrap());
    assert_eq!((one.played, four.played, one.failed.len()), (6, 6, 0));
    assert_eq!(one.digest, four.digest);
    // A kill leaves whole runs, one that is half written, and perhaps a damaged one.
    let (whole, _) = results::scan(&at("four")).unwrap();
    let mut paths = whole.values();
    fs::remove_file(paths.next().unwrap()).unwrap();
    fs::write(at("four").join("aaaa.half"), b"PAR1").unwrap();
    let damaged = paths.next().unwrap();
    let mut bytes = fs::read(damaged).unwrap();
    bytes.truncate(bytes.len() / 2);
    fs::write(damaged, bytes).unwrap();
    let again = run::run(&x, &at("four"), 4, |_, _, _| ()).unwrap();
    assert_eq!(
        (again.played, again.reused, &again.digest),
        (2, 4, &one.digest)
    );
    let third = run::run(&x, &at("four"), 2, |_, _, _| ()).unwrap();
    assert_eq!((third.played, third.reused), (0, 6));
}

#[test]
fn a_run_is_read_back_as_it_was_kept_and_a_bad_file_is_told() {
    let folder = tempfile::tempdir().unwrap();
    let x = experiment(
        folder.path(),
        "experiment('one', days = ['small.star'], seeds = 1)\nvariant('design')\n",
    );
    run::run(&x, folder.path(), 1, |_, _, _| ()).unwrap();
    let (whole, _) = results::scan(folder.path()).unwrap();
    let path = whole.values().next().unwrap();
    let kept = results::read(path).unwrap();
    // The script that made it makes it again.
    let day = Script::read("again", &kept.origin.script)
        .unwrap()
        .day()
        .unwrap();
    let lines = saltdrum_scenario::play_virtually(&day, saltdrum_scenario::serve).unwrap();
    let (rows, facts) = saltdrum_lab::facts::summarize(&lines, None).unwrap();
    assert!(kept.rows == rows && rows.len() > 200 && facts.digest == kept.facts.digest);
    assert_eq!(kept.facts.slow.len(), 6);
    assert!(
        kept.facts.slow[0]
            .steps
            .iter()
            .any(|s| s.contains("dispatch")),
        "{:?}",
        kept.facts.slow[0]
    );
    for (bytes, want) in [
        (&b"PAR1 and nothing"[..], "Parquet error"),
        (b"", "Parquet file too small"),
    ] {
        let bad = folder.path().join("bad.parquet");
        fs::write(&bad, bytes).unwrap();
        let told = results::read(&bad).unwrap_err().to_string();
        assert!(
            told.contains("bad.parquet") && told.contains(want),
            "{told}"
        );
    }
    let text = fs::read(path).unwrap();
    let at = text.windows(12).position(|w| w == b"saltdrum.run").unwrap();
    let mut later = text;
    let one = (at + 12..at + 20).find(|n| later[*n] == b'1').unwrap();
    later[one] = b'7';
    fs::write(folder.path().join("later.parquet"), later).unwrap();
    let told = results::read(&folder.path().join("later.parquet"))
        .unwrap_err()
        .to_string();
    assert!(
        told.ends_with("later.parquet: run version 7: 1 is known here"),
        "{told}"
    );
}

/// A full disk is stood in for by a folder that is no folder: what is there stays.
#[test]
fn a_run_that_cannot_be_kept_is_told_and_loses_no_other() {
    let folder = tempfile::tempdir().unwrap();
    let x = experiment(folder.path(), TWO);
    run::run(&x, folder.path(), 2, |_, _, _| ()).unwrap();
    let (before, _) = results::scan(folder.path()).unwrap();
    let one = results::read(before.values().next().unwrap()).unwrap();
    let nowhere = folder.path().join("small.star");
    let told = results::store(&nowhere, &one.origin, &one.facts, &one.rows)
        .unwrap_err()
        .to_string();
    assert!(
        told.contains("small.star") && told.contains(".half"),
        "{told}"
    );
    assert_eq!(results::scan(folder.path()).unwrap().0, before);
}

#[test]
fn a_day_that_goes_below_its_bound_is_found_and_one_that_keeps_all_is_not() {
    let base = Script::read("small", SMALL).unwrap();
    let of = |least| Bounds {
        min_value: Some(least),
        only_rule: None,
    };
    let real = Overrides::of(saltdrum_scenario::serve);
    let found = hunt(&base, real, of(0.9), 1, 40, 40, 4).unwrap().unwrap();
    assert!(
        found.reason.starts_with("value: billed value"),
        "{}",
        found.reason
    );
    assert!(hunt(&base, real, of(0.0), 1, 12, 40, 4).unwrap().is_none());
}

/// Each must be found in this many days, and be left with little.
const BUDGET: usize = 40;

fn planted(rule: u8, serve: Serve) {
    let base = Script::read("small", SMALL).unwrap();
    let found = hunt(
        &base,
        Overrides::of(serve),
        Bounds {
            only_rule: Some(rule),
            min_value: None,
        },
        1,
        BUDGET,
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
    let again = Script::read("shrunk.star", &found.shrunk.script.text()).unwrap();
    let day = again.day().unwrap();
    assert!(
        day.troubles.len() <= 1 && day.traffic.len() == 1,
        "{}",
        again.text()
    );
    let lines = saltdrum_scenario::play_virtually(&day, serve).unwrap();
    let broken = saltdrum_scenario::check::check(&lines).unwrap();
    assert!(
        broken
            .iter()
            .any(|v| v.state == saltdrum_scenario::State::Broken),
        "{}",
        again.text()
    );
    let kept = saltdrum_scenario::play_virtually(&day, saltdrum_scenario::serve).unwrap();
    let kept = saltdrum_scenario::check::check(&kept).unwrap();
    assert!(
        kept.iter()
            .all(|v| v.state != saltdrum_scenario::State::Broken),
        "the real one keeps them"
    );
}

#[test]
fn a_controller_that_answers_twice_is_found() {
    planted(1, |s, n, c| {
        run_faulty_controller(Fault::AnswersTwice, s, n, c)
    });
}

#[test]
fn a_controller_that_runs_effects_twice_is_found() {
    planted(2, |s, n, c| {
        run_faulty_controller(Fault::RunsTwice, s, n, c)
    });
}

#[test]
fn a_controller_that_dispatches_after_a_drain_is_found() {
    planted(3, |s, n, c| {
        run_faulty_controller(Fault::IgnoresDrains, s, n, c)
    });
}

const WITH_LAYERS: &str = r#"
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

fn copies(day: &saltdrum_scenario::Day, cover: Overrides) -> (usize, usize) {
    let lines = saltdrum_scenario::play_with_overrides(day, cover).unwrap();
    let of = |l: &Line| {
        if let Line::CopyAssembled {
            matches_model: sound,
            ..
        } = l
        {
            Some(*sound)
        } else {
            None
        }
    };
    let all: Vec<bool> = lines.iter().filter_map(of).collect();
    (all.len(), all.iter().filter(|sound| !**sound).count())
}

#[test]
fn a_cache_that_skips_a_digest_is_found() {
    let base = Script::read("layers", WITH_LAYERS).unwrap();
    let planted = Overrides {
        serve: saltdrum_scenario::serve,
        brings: Some(fetch_model_unverified),
    };
    let found = hunt(&base, planted, Bounds::default(), 1, BUDGET, 60, 4)
        .unwrap()
        .unwrap();
    assert!(found.reason.starts_with("copy: "), "{}", found.reason);
    let day = found.shrunk.script.day().unwrap();
    assert!(copies(&day, planted).1 > 0);
    // The real one, on the very day, loads as much and throws away what is damaged.
    let (all, unsound) = copies(&day, Overrides::of(saltdrum_scenario::serve));
    assert!(all > 0 && unsound == 0, "{all} {unsound}");
    let kept =
        saltdrum_scenario::Day::load("found", include_str!("found/skips-digests.star")).unwrap();
    assert!(
        copies(&kept, planted).1 > 0
            && copies(&kept, Overrides::of(saltdrum_scenario::serve)).1 == 0
    );
}

#[test]
fn torn_disks_and_a_damaged_store_cost_fetches_and_never_a_copy() {
    let text = format!(
        "{WITH_LAYERS}\
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
        "{damaged} damaged chunks seen, {all} copies: the day provokes too little"
    );
}

#[test]
fn days_that_come_with_the_program_are_known_to_experiments() {
    let text = format!(
        "experiment('all', days = {:?})\nvariant('design')\n",
        DAYS.iter().map(|d| d.0).collect::<Vec<_>>()
    );
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(
        experiment(folder.path(), &text).cells().len(),
        DAYS.len() * 4
    );
}

/// Days that searches found with planted controllers, cut down: they still tell the planted from the real one.
#[test]
fn found_days_still_fail_with_the_planted_controller_and_not_with_the_real_one() {
    let found: [(&str, &str, u8, Serve); 9] = [
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
    for (name, text, rule, serve) in found {
        let day = saltdrum_scenario::Day::load(name, text).unwrap();
        let broken = |serve: Serve| {
            let lines = saltdrum_scenario::play_virtually(&day, serve).unwrap();
            let verdicts = saltdrum_scenario::check::check(&lines).unwrap();
            verdicts
                .iter()
                .filter(|v| v.state == saltdrum_scenario::State::Broken)
                .map(|v| v.rule)
                .collect::<Vec<_>>()
        };
        assert!(broken(serve).contains(&rule), "{name}");
        assert_eq!(broken(saltdrum_scenario::serve), Vec::<u8>::new(), "{name}");
    }
}
