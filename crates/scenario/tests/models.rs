//! Models in versions: passages never mix them, whatever moves, dies or is cut off.

use saltdrum_fakes::record::{Line, Outcome, write};
use saltdrum_scenario::{
    DAYS, Day, State, check::check, play_on_sockets, play_virtually, serve, summary,
};

fn script() -> &'static str {
    DAYS.iter().find(|d| d.0 == "models-day").unwrap().1
}

fn judged(lines: &[Line]) -> summary::Summary {
    let s = summary::summarize("models", lines, check(lines).unwrap());
    assert_ne!(s.state(), State::Broken, "{}", s.text());
    s
}

#[test]
fn no_passage_mixes_versions_while_aliases_move_every_second() {
    for seed in 0..2 {
        let day = Day {
            seed,
            ..Day::load("models", script()).unwrap()
        };
        let lines = play_virtually(&day, serve).unwrap();
        let s = judged(&lines);
        let spoke = saltdrum_scenario::passages::look(&lines).unwrap();
        assert_eq!(spoke.mixed, Vec::<String>::new());
        assert!(
            spoke.passages > 700 && spoke.longer > 600 && spoke.invocations > 2_500,
            "{spoke:?}"
        );
        assert!(
            spoke.functions > 100,
            "{} versions spoke: nothing moved",
            spoke.functions
        );
        let layers = s.layers.clone().unwrap();
        assert!(layers.unsound == 0 && layers.copies > 100, "{}", s.text());
        assert!(s.value_in_time > 0.95, "{}", s.text());
    }
}

#[test]
fn on_sockets_too() {
    let folder = tempfile::tempdir().unwrap();
    let day = Day::load(
        "models",
        &script().replace("length = \"30s\"", "length = \"12s\""),
    )
    .unwrap();
    let lines = play_on_sockets(&day, folder.path()).unwrap();
    judged(&lines);
    let spoke = saltdrum_scenario::passages::look(&lines).unwrap();
    assert!(spoke.mixed.is_empty() && spoke.longer > 200, "{spoke:?}");
}

/// Clients that hand nothing back are what the judge must catch.
#[test]
fn passages_that_are_not_handed_back_are_seen_to_mix() {
    let text = script().replace("passage = 4", "passage = 4, hands_back = False");
    let lines = play_virtually(&Day::load("models", &text).unwrap(), serve).unwrap();
    let spoke = saltdrum_scenario::passages::look(&lines).unwrap();
    assert!(
        spoke.mixed.len() > 100,
        "{} of {}",
        spoke.mixed.len(),
        spoke.passages
    );
}

#[test]
fn the_same_seed_gives_the_same_bytes_with_a_registry_too() {
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
fn corrupt_copies_at_store_peers_and_disks_are_never_used() {
    let text = format!(
        "{}\ntrouble('store_damages', at = '3s', lasts = '4s', part = 1.0)\n\
         trouble('power_cut', at = '12s', lasts = '2s', invokers = [1, 2, 3, 7], part = 0.8, delay = '20s')\n\
         trouble('store_damages', at = '18s', lasts = '3s', part = 0.5)\n",
        script()
    );
    let lines = play_virtually(&Day::load("models", &text).unwrap(), serve).unwrap();
    let s = judged(&lines);
    let layers = s.layers.clone().unwrap();
    assert_eq!(layers.unsound, 0);
    assert!(layers.damaged > 20 && layers.copies > 100, "{}", s.text());
    assert!(
        saltdrum_scenario::passages::look(&lines)
            .unwrap()
            .mixed
            .is_empty()
    );
}

/// A version that fails, brought at once to all and brought in a stage.
#[test]
fn a_staged_move_to_a_version_that_fails_is_stopped_before_most_meet_it() {
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
        let (moves, _, stopped) = judged(&lines).moves.unwrap();
        assert!(moves >= 7, "one for each model at least");
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
    assert_eq!((none, stopped), (0, 1), "the one that fails, and no other");
    assert!(
        at_once > 100 && staged * 4 < at_once,
        "{at_once} not served at once, {staged} in a stage"
    );
}

/// A version that is corrupt at the store, so at every source: it is told within seconds, and never used.
#[test]
fn a_version_without_a_sound_source_is_reported_and_its_invocations_end_plainly() {
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
    let s = judged(&lines);
    assert_eq!(s.layers.as_ref().unwrap().unsound, 0);
    let told = lines.iter().find_map(|l| {
        if let Line::RegistryTotals { corrupt, .. } = l {
            Some(corrupt.clone())
        } else {
            None
        }
    });
    let told = told.unwrap();
    // Aliases move 5 s after the day's begin, which is half a second after the hour that clocks begin with.
    let moved_ms = 3_600_500 + 5_000;
    assert!(told.len() == 1 && told[0].0 == "voice-0@v2", "{told:?}");
    assert!(
        (moved_ms..moved_ms + 10_000).contains(&told[0].1),
        "{told:?}"
    );
    assert!(
        s.tries.unanswered == 0 && s.loads.failed > 0,
        "{}",
        s.text()
    );
}
