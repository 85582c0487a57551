//! Runs faulty controllers that break each rule and checks that the judge reports it. Without these tests, a judge that never
//! finds anything would pass.

use saltdrum_faulty_peers::{Fault, run_faulty_controller};
use saltdrum_scenario::{Day, State, Verdict, check::check, play_virtually};

const DAY: &str = r#"
deployment(controllers = 2, keep_alive = "9s", cold_share = 0.3, cold_time = "4s", tip_factor = 2,
    tip_window = "1s", order_window = "2s", orders_free = 10, orders_share = 0.1)
machine("big", memory = "42GB", cores = 4)
invokers(kind = "big", count = 4, cell_size = 2)
trigger_type("narrate", objective = "1s", client_timeout = "4s")
trigger_type("book", objective = "1s", client_timeout = "4s", effect = "non-idempotent")
trigger_type("charge", objective = "1s", client_timeout = "4s", effect = "tokened", scope = "cell", repeat_window = "3s")
tenant("hill", quota_per_s = 90)
function("voice", trigger = "narrate", memory = "1GB", lanes = 8, load_time = "200ms")
function("book", trigger = "book", memory = "1GB", lanes = 8, load_time = "200ms")
function("charge", trigger = "charge", memory = "1GB", lanes = 8, load_time = "200ms")
day("planted", length = "9s", seed = 4, list_notice = "100ms")
traffic(tenant = "hill", functions = ["voice"], per_second = 60, work = "60ms")
traffic(tenant = "hill", functions = ["book"], per_second = 15, work = "40ms")
traffic(tenant = "hill", functions = ["charge"], per_second = 15, work = "40ms")
trouble("deploy", at = "2s", invokers = [1, 2], delay = "1500ms")
"#;

fn play_and_check(serve: saltdrum_scenario::Serve) -> Vec<Verdict> {
    let day = Day::load("planted.star", DAY).unwrap();
    check(&play_virtually(&day, serve).unwrap()).unwrap()
}

/// Asserts that the rule is reported as broken, with findings that name the parties and the time.
fn assert_broken(rule: usize, names: &[&str], serve: saltdrum_scenario::Serve) {
    let verdicts = play_and_check(serve);
    let verdict = &verdicts[rule - 1];
    assert_eq!(verdict.state, State::Broken, "rule {rule}: {verdict:?}");
    let text = &verdict.broken[0].text;
    assert!(
        names
            .iter()
            .all(|n| verdict.broken.iter().any(|f| f.text.contains(n)))
            && text.contains(" ms"),
        "{text}"
    );
}

#[test]
fn real_controller_keeps_all_rules_and_every_rule_has_cases() {
    for verdict in play_and_check(saltdrum_scenario::serve) {
        assert!(
            verdict.state == State::Kept && (verdict.looked_at > 0),
            "{verdict:?}"
        );
    }
}

#[test]
fn faulty_controller_without_a_fault_answers_every_invocation() {
    let verdict = &play_and_check(|s, n, c| run_faulty_controller(Fault::None, s, n, c))[0];
    assert!(
        verdict.state == State::Kept && verdict.looked_at > 500,
        "{verdict:?}"
    );
}

#[test]
fn reports_second_response() {
    assert_broken(
        1,
        &["invocation", "controller", "Succeeded at"],
        |s, n, c| run_faulty_controller(Fault::AnswersTwice, s, n, c),
    );
}

#[test]
fn reports_missing_response() {
    assert_broken(1, &["invocation", "got no answer"], |s, n, c| {
        run_faulty_controller(Fault::AnswersNotAll, s, n, c)
    });
}

#[test]
fn reports_response_after_client_timeout() {
    assert_broken(1, &["ms after its client timeout"], |s, n, c| {
        run_faulty_controller(Fault::AnswersLate, s, n, c)
    });
}

#[test]
fn reports_double_effect() {
    assert_broken(
        2,
        &[
            "non-idempotent invocation",
            "tokened invocation",
            "outside the cell",
        ],
        |s, n, c| run_faulty_controller(Fault::RunsTwice, s, n, c),
    );
}

#[test]
fn reports_throttle_of_an_invocation_that_ran() {
    assert_broken(2, &["ran on invoker", "was throttled"], |s, n, c| {
        run_faulty_controller(Fault::ThrottlesWhatRan, s, n, c)
    });
}

#[test]
fn reports_forbidden_parallel_attempts() {
    assert_broken(2, &["was still out"], |s, n, c| {
        run_faulty_controller(Fault::TwoOut, s, n, c)
    });
}

#[test]
fn reports_dispatch_to_a_draining_invoker() {
    assert_broken(
        3,
        &["dispatch", "came to invoker", "was told it was draining"],
        |s, n, c| run_faulty_controller(Fault::IgnoresDrains, s, n, c),
    );
}

#[test]
fn reports_overloaded_cold_invoker() {
    assert_broken(4, &["invoker", "of work within"], |s, n, c| {
        run_faulty_controller(Fault::FloodsColdOnes, s, n, c)
    });
}

#[test]
fn reports_load_orders_beyond_the_budget() {
    assert_broken(5, &["controller", "orders to load within"], |s, n, c| {
        run_faulty_controller(Fault::LoadsAtWill, s, n, c)
    });
}
