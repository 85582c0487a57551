//! An unavailable store makes loads fail at all invokers. The load breaker detects this once, instead of each
//! invocation trying one invoker after another.

mod support;

use saltdrum::interface::*;
use support::*;

const INVOKERS: u32 = 8;
/// Time after the last failed load, or the last trial load, before the next load may begin.
const OPEN_TIME: Ticks = 500 * MILLISECOND;

/// Ends all attempts and load orders in flight: attempts at loaded instances succeed, and loads fail while the store is
/// down. Returns the number of attempts.
fn end_all(bed: &mut TestBed, store_is_down: bool) -> usize {
    let in_flight = bed.in_flight();
    for (id, attempt) in &in_flight {
        let (function, invoker) = (
            bed.checker.invocations[id].request.function,
            bed.checker.invocations[id].attempts[*attempt].invoker,
        );
        if bed.checker.known_instances.contains(&(function, invoker)) {
            bed.end_attempt(*id, *attempt, Outcome::Succeeded, Some(StartKind::Warm));
        } else if store_is_down {
            bed.end_attempt(*id, *attempt, Outcome::Errored, Some(StartKind::LoadFailed));
        } else {
            bed.checker.known_instances.insert((function, invoker));
            bed.end_attempt(
                *id,
                *attempt,
                Outcome::Succeeded,
                Some(StartKind::BeganLoad),
            );
        }
    }
    while !bed.checker.loads.is_empty() {
        bed.end_load(
            0,
            if store_is_down {
                LoadOutcome::LoadFailed
            } else {
                LoadOutcome::Loaded
            },
        );
    }
    in_flight.len()
}

fn attempt_count(bed: &TestBed) -> usize {
    bed.checker
        .invocations
        .values()
        .map(|invocation| invocation.attempts.len())
        .sum()
}

/// A controller at which the load of a function has failed at two invokers, so that the breaker is open.
fn with_open_breaker() -> TestBed {
    let mut bed = TestBed::new(deployment(), INVOKERS);
    bed.invoke(0, 1, 4 * SECOND);
    while end_all(&mut bed, true) > 0 {}
    bed
}

#[test]
fn does_not_try_one_invoker_after_another() {
    let mut bed = with_open_breaker();
    let initial_attempts = attempt_count(&bed);
    assert_eq!(
        initial_attempts, 2,
        "the second failure, at another invoker, must open the breaker"
    );
    for function in 2..40 {
        let id = bed.invoke(0, function, 4 * SECOND);
        assert_eq!(
            bed.checker.invocations[&id].final_responses,
            ["throttled"],
            "not throttled immediately"
        );
        while end_all(&mut bed, true) > 0 {}
    }
    assert_eq!(
        attempt_count(&bed),
        initial_attempts,
        "a load began while the breaker was open"
    );
    assert!(
        bed.checker.retry_after[1..]
            .iter()
            .all(|retry_after| *retry_after >= OPEN_TIME),
        "{:?}",
        bed.checker.retry_after
    );
}

#[test]
fn one_trial_load_at_a_time_while_the_breaker_is_half_open() {
    let mut bed = with_open_breaker();
    let mut trials = 0;
    for _ in 0..20 {
        bed.advance(OPEN_TIME);
        let before = attempt_count(&bed);
        for function in 100..110 {
            bed.invoke(0, function, 4 * SECOND);
        }
        assert!(
            attempt_count(&bed) <= before + 1,
            "more than one trial load for ten functions"
        );
        trials += attempt_count(&bed) - before;
        while end_all(&mut bed, true) > 0 {}
    }
    assert!(
        trials >= 18,
        "{trials} trial loads in 20 times {OPEN_TIME} ticks"
    );
}

#[test]
fn a_successful_load_closes_the_breaker() {
    let mut bed = with_open_breaker();
    bed.advance(OPEN_TIME);
    bed.invoke(0, 200, 4 * SECOND);
    end_all(&mut bed, false);
    for function in 201..220 {
        let id = bed.invoke(0, function, 4 * SECOND);
        assert_eq!(bed.checker.invocations[&id].attempts.len(), 1);
    }
}

/// Failed loads do not indicate an unhealthy invoker: its loaded instances remain in use.
#[test]
fn uses_loaded_instances_while_the_store_is_down() {
    let mut bed = TestBed::new(deployment(), INVOKERS);
    for _ in 0..5 {
        bed.invoke(0, 7, 4 * SECOND);
        end_all(&mut bed, false);
        bed.advance(RUN_TIME);
    }
    let loaded_at: Vec<InvokerId> = bed
        .checker
        .known_instances
        .iter()
        .map(|(_, invoker)| *invoker)
        .collect();
    for function in 300..400 {
        bed.invoke(0, function, 4 * SECOND);
        while end_all(&mut bed, true) > 0 {}
        bed.advance(20 * MILLISECOND);
    }
    let id = bed.invoke(0, 7, 4 * SECOND);
    assert!(
        bed.checker.invocations[&id]
            .attempts
            .iter()
            .all(|attempt| loaded_at.contains(&attempt.invoker))
            && bed.checker.invocations[&id].attempts.len() == 1
    );
}

/// Loads that fail at a single invoker, for example because its disk is full, do not block loads at other invokers.
#[test]
fn failures_at_one_invoker_do_not_open_the_breaker() {
    let mut bed = TestBed::new(deployment(), INVOKERS);
    let mut succeeded = 0;
    for function in 0..60 {
        bed.invoke(0, function, 4 * SECOND);
        loop {
            let in_flight = bed.in_flight();
            if in_flight.is_empty() {
                break;
            }
            for (id, attempt) in in_flight {
                let is_broken = bed.checker.invocations[&id].attempts[attempt].invoker == 1;
                let start_kind = if is_broken {
                    StartKind::LoadFailed
                } else {
                    StartKind::BeganLoad
                };
                let outcome = if is_broken {
                    Outcome::Errored
                } else {
                    Outcome::Succeeded
                };
                succeeded += usize::from(!is_broken);
                bed.end_attempt(id, attempt, outcome, Some(start_kind));
            }
        }
        bed.advance(20 * MILLISECOND);
    }
    assert_eq!(succeeded, 60);
}
