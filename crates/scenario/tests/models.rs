//! Days with model versions: no passage mixes versions while aliases move, processes crash and connections are cut.

use saltdrum_fakes::record::{Line, Outcome, write};
use saltdrum_scenario::{
    DAYS, Day, State, check::check, play_on_sockets, play_virtually, serve, summary,
};

fn script() -> &'static str {
    DAYS.iter().find(|d| d.0 == "models-day").unwrap().1
}

fn assert_no_rule_broken(lines: &[Line]) -> summary::Summary {
    let summary = summary::summarize("models", lines, check(lines).unwrap());
    assert_ne!(summary.state(), State::Broken, "{}", summary.text());
    summary
}

#[test]
fn passages_keep_their_version_while_aliases_move_every_second() {
    for seed in 0..2 {
        let day = Day {
            seed,
            ..Day::load("models", script()).unwrap()
        };
        let lines = play_virtually(&day, serve).unwrap();
        let summary = assert_no_rule_broken(&lines);
        let runs = saltdrum_scenario::passages::look(&lines).unwrap();
        assert_eq!(runs.mixed, Vec::<String>::new());
        assert!(
            runs.passages > 700 && runs.longer > 600 && runs.invocations > 2_500,
            "{runs:?}"
        );
        assert!(
            runs.functions > 100,
            "only {} versions ran: the aliases did not move",
            runs.functions
        );
        let layers = summary.layers.clone().unwrap();
        assert!(
            layers.unsound == 0 && layers.copies > 100,
            "{}",
            summary.text()
        );
        assert!(summary.value_in_time > 0.95, "{}", summary.text());
    }
}

#[test]
fn passages_keep_their_version_on_sockets() {
    let folder = tempfile::tempdir().unwrap();
    let day = Day::load(
        "models",
        &script().replace("length = \"30s\"", "length = \"12s\""),
    )
    .unwrap();
    let lines = play_on_sockets(&day, folder.path()).unwrap();
    assert_no_rule_broken(&lines);
    let runs = saltdrum_scenario::passages::look(&lines).unwrap();
    assert!(runs.mixed.is_empty() && runs.longer > 200, "{runs:?}");
}

/// Clients that do not return the version of their passage mix versions, which the check must report.
#[test]
fn reports_mixed_versions_when_clients_do_not_return_the_version() {
    let text = script().replace("passage = 4", "passage = 4, hands_back = False");
    let lines = play_virtually(&Day::load("models", &text).unwrap(), serve).unwrap();
    let runs = saltdrum_scenario::passages::look(&lines).unwrap();
    assert!(
        runs.mixed.len() > 100,
        "{} of {}",
        runs.mixed.len(),
        runs.passages
    );
}

#[test]
fn same_seed_gives_identical_records_with_a_registry() {
    let text = script().replace("length = \"30s\"", "length = \"7s\"");
    let play = || {
        let mut out = Vec::new();
        write(
            &play_virtually(&Day::load("models", &text).unwrap(), serve).unwrap(),
            &mut out,
        )
        .unwrap();
        out
    };
    assert!(play() == play());
}

#[test]
fn corrupt_copies_from_store_peers_and_disks_are_never_used() {
    let text = format!(
        "{}\ntrouble('store_damages', at = '3s', lasts = '4s', part = 1.0)\n\
         trouble('power_cut', at = '12s', lasts = '2s', invokers = [1, 2, 3, 7], part = 0.8, delay = '20s')\n\
         trouble('store_damages', at = '18s', lasts = '3s', part = 0.5)\n",
        script()
    );
    let lines = play_virtually(&Day::load("models", &text).unwrap(), serve).unwrap();
    let summary = assert_no_rule_broken(&lines);
    let layers = summary.layers.clone().unwrap();
    assert_eq!(layers.unsound, 0);
    assert!(
        layers.damaged > 20 && layers.copies > 100,
        "{}",
        summary.text()
    );
    assert!(
        saltdrum_scenario::passages::look(&lines)
            .unwrap()
            .mixed
            .is_empty()
    );
}

/// Compares a move to a failing version with and without a stage.
#[test]
fn staged_move_to_a_failing_version_is_stopped_early() {
    let day = |staged: &str| {
        let text = script()
            .lines()
            .filter(|l| !l.starts_with("trouble("))
            .collect::<Vec<_>>()
            .join("\n");
        let text = text.replace(
            "versions = 40, moves = \"1s\"",
            &format!("versions = 2, moves = \"8s\", staged = {staged}"),
        );
        let text = text.replace("length = \"30s\"", "length = \"15s\"");
        let text = format!(
            "{text}\ntrouble('version_errs', at = '0s', lasts = '60s', functions = ['voice-0'], part = 0.9)\n"
        );
        let lines = play_virtually(&Day::load("models", &text).unwrap(), serve).unwrap();
        let (moves, _, stopped) = assert_no_rule_broken(&lines).moves.unwrap();
        assert!(moves >= 7, "at least one move for each model");
        let unserved = lines
            .iter()
            .filter(|l| {
                matches!(
                    l,
                    Line::Final {
                        how: Outcome::Errored | Outcome::Throttled,
                        ..
                    }
                )
            })
            .count();
        (unserved, stopped)
    };
    let ((at_once, none), (staged, stopped)) = (day("False"), day("True"));
    assert_eq!(
        (none, stopped),
        (0, 1),
        "only the stage of the failing version is stopped"
    );
    assert!(
        at_once > 100 && staged * 4 < at_once,
        "{at_once} not served without a stage, {staged} with one"
    );
}

/// A version that is corrupt at the store, and so at every source, is reported within seconds and never used.
#[test]
fn version_without_an_intact_source_is_reported_and_its_invocations_are_answered() {
    let text = script()
        .lines()
        .filter(|l| !l.starts_with("trouble("))
        .collect::<Vec<_>>()
        .join("\n");
    let text = text.replace(
        "versions = 40, moves = \"1s\"",
        "versions = 2, moves = \"5s\"",
    );
    let text = text.replace("length = \"30s\"", "length = \"9s\"");
    let text = format!(
        "{text}\ntrouble('store_damages', at = '0s', lasts = '60s', functions = ['voice-0'])\n"
    );
    let lines = play_virtually(&Day::load("models", &text).unwrap(), serve).unwrap();
    let summary = assert_no_rule_broken(&lines);
    assert_eq!(summary.layers.as_ref().unwrap().unsound, 0);
    let corrupt = lines.iter().find_map(|l| {
        if let Line::RegistryTotals { corrupt, .. } = l {
            Some(corrupt.clone())
        } else {
            None
        }
    });
    let corrupt = corrupt.unwrap();
    // Aliases move 5 s after the day begins. Clocks start at one hour, and the day begins half a second later.
    let moved_ms = 3_600_500 + 5_000;
    assert!(
        corrupt.len() == 1 && corrupt[0].0 == "voice-0@v2",
        "{corrupt:?}"
    );
    assert!(
        (moved_ms..moved_ms + 10_000).contains(&corrupt[0].1),
        "{corrupt:?}"
    );
    assert!(
        summary.tries.unanswered == 0 && summary.loads.failed > 0,
        "{}",
        summary.text()
    );
}
