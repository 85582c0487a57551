//! For each rule a controller that breaks it, and the checker's word on it. A checker that finds nothing proves nothing.

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

fn judged(serve: saltdrum_scenario::Serve) -> Vec<Verdict> {
    let day = Day::load("planted.star", DAY).unwrap();
    check(&play_virtually(&day, serve).unwrap()).unwrap()
}

/// The rule is found broken, in words that name who and when.
fn caught(rule: usize, names: &[&str], serve: saltdrum_scenario::Serve) {
    let verdicts = judged(serve);
    let v = &verdicts[rule - 1];
    assert_eq!(v.state, State::Broken, "rule {rule}: {v:?}");
    let text = &v.broken[0].text;
    assert!(
        names
            .iter()
            .all(|n| v.broken.iter().any(|f| f.text.contains(n)))
            && text.contains(" ms"),
        "{text}"
    );
}

#[test]
fn the_real_controller_breaks_none_and_every_rule_is_looked_at() {
    for v in judged(saltdrum_scenario::serve) {
        assert!(v.state == State::Kept && (v.looked_at > 0), "{v:?}");
    }
}

#[test]
fn a_rogue_without_a_fault_answers_all() {
    let v = &judged(|s, n, c| run_faulty_controller(Fault::None, s, n, c))[0];
    assert!(v.state == State::Kept && v.looked_at > 500, "{v:?}");
}

#[test]
fn two_answers() {
    caught(
        1,
        &["invocation", "controller", "Succeeded at"],
        |s, n, c| run_faulty_controller(Fault::AnswersTwice, s, n, c),
    );
}

#[test]
fn no_answer() {
    caught(1, &["invocation", "got no answer"], |s, n, c| {
        run_faulty_controller(Fault::AnswersNotAll, s, n, c)
    });
}

#[test]
fn an_answer_past_the_client_timeout() {
    caught(1, &["ms after its client timeout"], |s, n, c| {
        run_faulty_controller(Fault::AnswersLate, s, n, c)
    });
}

#[test]
fn an_effect_twice() {
    caught(
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
fn a_throttle_for_what_ran() {
    caught(2, &["ran on invoker", "was throttled"], |s, n, c| {
        run_faulty_controller(Fault::ThrottlesWhatRan, s, n, c)
    });
}

#[test]
fn two_dispatches_out() {
    caught(2, &["was still out"], |s, n, c| {
        run_faulty_controller(Fault::TwoOut, s, n, c)
    });
}

#[test]
fn work_for_an_invoker_that_drains() {
    caught(
        3,
        &["dispatch", "came to invoker", "was told it was draining"],
        |s, n, c| run_faulty_controller(Fault::IgnoresDrains, s, n, c),
    );
}

#[test]
fn a_cold_invoker_pushed_over() {
    caught(4, &["invoker", "of work within"], |s, n, c| {
        run_faulty_controller(Fault::FloodsColdOnes, s, n, c)
    });
}

#[test]
fn orders_beyond_the_ration() {
    caught(5, &["controller", "orders to load within"], |s, n, c| {
        run_faulty_controller(Fault::LoadsAtWill, s, n, c)
    });
}
