//! A store that is down fails loads everywhere: it is noticed once, not by each invocation at each invoker anew.

mod support;

use saltdrum::interface::*;
use support::*;

const INVOKERS: u32 = 8;
/// So long after the last failure, or the last trial, the next load may begin.
const OPEN: Ticks = 500 * MILLISECOND;

/// Ends all that is out: what stands runs, and loads fail while the store is down.
fn end_all(bed: &mut TestBed, store_is_down: bool) -> usize {
    let out = bed.in_flight();
    for (id, hop) in &out {
        let (function, invoker) = (
            bed.checker.invocations[id].request.function,
            bed.checker.invocations[id].attempts[*hop].invoker,
        );
        if bed.checker.known_instances.contains(&(function, invoker)) {
            bed.end_attempt(*id, *hop, Outcome::Succeeded, Some(StartKind::Warm));
        } else if store_is_down {
            bed.end_attempt(*id, *hop, Outcome::Errored, Some(StartKind::LoadFailed));
        } else {
            bed.checker.known_instances.insert((function, invoker));
            bed.end_attempt(*id, *hop, Outcome::Succeeded, Some(StartKind::BeganLoad));
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
    out.len()
}

fn attempts(bed: &TestBed) -> usize {
    bed.checker
        .invocations
        .values()
        .map(|t| t.attempts.len())
        .sum()
}

/// Two functions have failed to load, each at an invoker of its own.
fn failed_everywhere() -> TestBed {
    let mut bed = TestBed::new(deployment(), INVOKERS);
    bed.invoke(0, 1, 4 * SECOND);
    while end_all(&mut bed, true) > 0 {}
    bed
}

#[test]
fn an_invocation_does_not_try_invoker_after_invoker() {
    let mut bed = failed_everywhere();
    let first = attempts(&bed);
    assert_eq!(first, 2, "the second failure, at another invoker, tells");
    for function in 2..40 {
        let id = bed.invoke(0, function, 4 * SECOND);
        assert_eq!(
            bed.checker.invocations[&id].final_responses,
            ["throttled"],
            "at once, and it may come again"
        );
        while end_all(&mut bed, true) > 0 {}
    }
    assert_eq!(attempts(&bed), first, "no load begins");
    assert!(
        bed.checker.retry_after[1..]
            .iter()
            .all(|wait| *wait >= OPEN),
        "{:?}",
        bed.checker.retry_after
    );
}

#[test]
fn one_trial_load_at_a_time_while_the_breaker_is_half_open() {
    let mut bed = failed_everywhere();
    let mut trials = 0;
    for _ in 0..20 {
        bed.advance(OPEN);
        let before = attempts(&bed);
        for function in 100..110 {
            bed.invoke(0, function, 4 * SECOND);
        }
        assert!(
            attempts(&bed) <= before + 1,
            "one trial for ten that want a load"
        );
        trials += attempts(&bed) - before;
        while end_all(&mut bed, true) > 0 {}
    }
    assert!(trials >= 18, "{trials} trials in 20 times {OPEN} tenths");
}

#[test]
fn a_successful_load_closes_the_breaker() {
    let mut bed = failed_everywhere();
    bed.advance(OPEN);
    bed.invoke(0, 200, 4 * SECOND);
    end_all(&mut bed, false);
    for function in 201..220 {
        let id = bed.invoke(0, function, 4 * SECOND);
        assert_eq!(bed.checker.invocations[&id].attempts.len(), 1);
    }
}

/// A load that fails says nothing of the invoker: what stands there is used.
#[test]
fn uses_loaded_instances_while_the_store_is_down() {
    let mut bed = TestBed::new(deployment(), INVOKERS);
    for _ in 0..5 {
        bed.invoke(0, 7, 4 * SECOND);
        end_all(&mut bed, false);
        bed.advance(RUN);
    }
    let home: Vec<InvokerId> = bed
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
            .all(|s| home.contains(&s.invoker))
            && bed.checker.invocations[&id].attempts.len() == 1
    );
}

/// One invoker whose loads fail, as its disk is full, keeps nobody else from loading.
#[test]
fn failures_at_one_invoker_do_not_open_the_breaker() {
    let mut bed = TestBed::new(deployment(), INVOKERS);
    let mut ended_well = 0;
    for function in 0..60 {
        bed.invoke(0, function, 4 * SECOND);
        loop {
            let out = bed.in_flight();
            if out.is_empty() {
                break;
            }
            for (id, hop) in out {
                let broken = bed.checker.invocations[&id].attempts[hop].invoker == 1;
                let found = if broken {
                    StartKind::LoadFailed
                } else {
                    StartKind::BeganLoad
                };
                let outcome = if broken {
                    Outcome::Errored
                } else {
                    Outcome::Succeeded
                };
                ended_well += usize::from(!broken);
                bed.end_attempt(id, hop, outcome, Some(found));
            }
        }
        bed.advance(20 * MILLISECOND);
    }
    assert_eq!(ended_well, 60);
}
