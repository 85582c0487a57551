//! Trials of the binary: several processes, faults between them, judged by records. One after another, as each takes the
//! machine for itself.

use std::process::{Command, Output};

const BIN: &str = env!("CARGO_BIN_EXE_saltdrum");

fn saltdrum(args: &[&str]) -> Output {
    Command::new(BIN).args(args).output().unwrap()
}

#[test]
fn the_trials_that_come_with_the_program_are_kept() {
    for name in [
        "one-drain",
        "halted-in-hand",
        "stewards-killed",
        "majority-lost",
        "crossed-wires",
        "room-used-up",
        "old-disk",
        "all-restarted",
        "steward-stalled",
        "lost-disk",
        "granted-and-killed",
    ] {
        let folder = tempfile::tempdir().unwrap();
        let record = folder.path().join("record.jsonl").display().to_string();
        let played = saltdrum(&["trial", name, "--record", &record]);
        let told = String::from_utf8_lossy(&played.stdout);
        // 3: the machine stood still at a moment that decides, three times over. It tells nothing.
        let code = played.status.code();
        assert!(
            matches!(code, Some(0 | 3)),
            "{name}: {told}\n{}",
            String::from_utf8_lossy(&played.stderr)
        );
        let begun = std::fs::read_to_string(&record)
            .unwrap()
            .matches("\"began\"")
            .count();
        assert!(code == Some(3) || begun > 0, "{name}: no drain was tried");
    }
}

#[test]
fn the_trials_of_leases_are_kept() {
    for name in [
        "lease-killed",
        "lease-stalled",
        "lease-cut",
        "lease-held-effect",
        "lease-old-resource",
        "lease-full-disk",
        "lease-drained",
        "lease-all-restarted",
    ] {
        let played = saltdrum(&["trial", name, "--json"]);
        let told = String::from_utf8_lossy(&played.stdout);
        let code = played.status.code();
        assert!(
            matches!(code, Some(0 | 3)),
            "{name}: {told}\n{}",
            String::from_utf8_lossy(&played.stderr)
        );
        let facts: serde_json::Value = serde_json::from_str(&told).unwrap();
        let count = |what: &str| facts[what].as_u64().unwrap();
        assert!(
            code == Some(3) || (count("epochs") >= 2 && count("effects") >= 40),
            "{name}: {facts}"
        );
    }
}

/// Lead and fleet of the lease trials, with other steps and something planted.
fn planted_lease_trial(planted: &str, steps: &str) -> String {
    let lead = include_str!("../../trial/trials/lease-killed.star");
    let (lead, _) = lead.split_once("trial(").unwrap();
    format!("{lead}trial(\"planted\", controllers = 1, journals = 2, {planted})\n{steps}")
}

/// The old holder sleeps or is cut off while its successor acts, and then acts once more.
#[test]
fn planted_faults_of_holders_resources_and_stewards_are_found() {
    let holder_wakes = "step(\"effects\", times = 20)\nstep(\"stop\", of = [\"holder\"])\nstep(\"handover\")\n\
        step(\"effects\", times = 5)\nstep(\"wake\", of = [\"last-holder\"])\nstep(\"pause\", span = \"1s\")\n";
    let successor_seals_one = "step(\"effects\", times = 20)\nstep(\"delay\", of = [\"holder\"], delay = \"0s\")\n\
        step(\"cut\", of = [\"others\"], to = [\"journal-2\"])\n\
        step(\"cut\", of = [\"last-holder\"], to = [\"steward-1\", \"steward-2\", \"steward-3\"])\n\
        step(\"handover\")\nstep(\"pause\", span = \"1s\")\nstep(\"heal\")\n";
    let on_an_old_disk = "step(\"effects\", times = 10)\nstep(\"kill\", of = [\"journal-1\"])\n\
        step(\"copy_disk\", of = [\"journal-1\"])\nstep(\"start\", of = [\"journal-1\"])\nstep(\"effects\", times = 10)\n\
        step(\"cut\", of = [\"holder\"], to = [\"steward-1\", \"steward-2\", \"steward-3\"])\nstep(\"handover\")\n\
        step(\"effects\", times = 10)\nstep(\"kill\", of = [\"journal-1\"])\nstep(\"old_disk\", of = [\"journal-1\"])\nstep(\"start\", of = [\"journal-1\"])\n\
        step(\"pause\", span = \"1s\")\nstep(\"heal\")\n";
    let given_away = "step(\"effects\", times = 20)\nstep(\"kill\", of = [\"steward-3\"])\nstep(\"start\", of = [\"steward-3\"])\n\
        step(\"effects\", times = 40)\nstep(\"pause\", span = \"2s\")\n";
    let folder = tempfile::tempdir().unwrap();
    let script = folder.path().join("planted.star").display().to_string();
    for (planted, steps) in [
        ("steward_gives_away = True", given_away),
        ("acts_before_seals = True", successor_seals_one),
        (
            "acts_before_seals = True, journal_fault = \"drops-the-epoch\"",
            holder_wakes,
        ),
        (
            "acts_before_seals = True, journal_fault = \"forgets-its-epoch\"",
            on_an_old_disk,
        ),
        (
            "acts_before_seals = True, journal_fault = \"believes-its-disk\"",
            on_an_old_disk,
        ),
    ] {
        std::fs::write(&script, planted_lease_trial(planted, steps)).unwrap();
        let played = saltdrum(&["trial", &script, "--json"]);
        let told = String::from_utf8_lossy(&played.stdout);
        let facts: serde_json::Value = serde_json::from_str(&told).unwrap();
        let of_leases = |rule: &str| {
            rule.starts_with("no effect of an earlier") || rule.starts_with("the effects of one")
        };
        let rules = facts["rules"].as_array().unwrap();
        let rules = rules
            .iter()
            .filter(|rule| of_leases(rule["rule"].as_str().unwrap()));
        let found: usize = rules
            .map(|rule| rule["broken"].as_array().unwrap().len())
            .sum();
        assert!(
            played.status.code() == Some(3) || found > 0,
            "{planted}: not found: {facts}"
        );
    }
}

#[test]
fn bad_input_is_told_and_nothing_is_started() {
    let folder = tempfile::tempdir().unwrap();
    let script = folder.path().join("odd.star").display().to_string();
    let lead = include_str!("../../trial/trials/one-drain.star");
    for (text, say) in [
        (
            lead.replace("\"invoker-4\"", "\"invoker-9\""),
            "no process is named 'invoker-9' here",
        ),
        (
            lead.replace("step(\"all_up\")", "step(\"dance\")"),
            "'dance' is no step",
        ),
        (lead.replace("out = 1", "outs = 1"), "unknown field `outs`"),
        (
            lead.replace("per_second = 60", "stewards = 2"),
            "an odd number up to 9",
        ),
        (
            lead.replace("fleet(\"museums\"", "fleet(\"the museums\""),
            "letters, digits and '-'",
        ),
    ] {
        std::fs::write(&script, text).unwrap();
        let got = saltdrum(&["trial", &script]);
        let told = String::from_utf8_lossy(&got.stderr).into_owned();
        assert!(
            got.status.code() == Some(2) && told.contains(say),
            "{say}: {got:?}"
        );
    }
    for (args, say) in [
        (vec!["trial", "sunny"], "one of one-drain"),
        (
            vec!["fleet", "status", "--fleet", "x", "--to", "unix:/nowhere"],
            "unix:/nowhere",
        ),
        (
            vec![
                "fleet",
                "drain",
                "--fleet",
                "x",
                "--to",
                "unix:/nowhere",
                "--id",
                "a",
                "invoker-0",
            ],
            "is expected",
        ),
    ] {
        let got = saltdrum(&args);
        let told = String::from_utf8_lossy(&got.stderr).into_owned();
        assert!(
            got.status.code() == Some(2) && told.contains(say),
            "{args:?}: {got:?}"
        );
    }
}
