//! A store that is down fails loads everywhere: it is noticed once, not by each invocation at each invoker anew.

mod support;

use saltdrum::interface::*;
use support::*;

const INVOKERS: u32 = 8;
/// So long after the last failure, or the last trial, the next load may begin.
const OPEN: Ticks = 500 * MILLISECOND;

/// Ends all that is out: what stands runs, and loads fail while the store is down.
fn end_all(bed: &mut Bed, store_is_down: bool) -> usize {
    let out = bed.out();
    for (id, hop) in &out {
        let (function, invoker) = (
            bed.k.invs[id].call.function,
            bed.k.invs[id].sent[*hop].invoker,
        );
        if bed.k.stands.contains(&(function, invoker)) {
            bed.answer(*id, *hop, Outcome::Succeeded, Some(StartKind::Warm));
        } else if store_is_down {
            bed.answer(*id, *hop, Outcome::Errored, Some(StartKind::LoadFailed));
        } else {
            bed.k.stands.insert((function, invoker));
            bed.answer(*id, *hop, Outcome::Succeeded, Some(StartKind::BeganLoad));
        }
    }
    while !bed.k.holds.is_empty() {
        bed.held(
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

fn attempts(bed: &Bed) -> usize {
    bed.k.invs.values().map(|t| t.sent.len()).sum()
}

/// Two functions have failed to load, each at an invoker of its own.
fn failed_everywhere() -> Bed {
    let mut bed = Bed::new(deployment(), INVOKERS);
    bed.invoke(0, 1, 4 * SECOND);
    while end_all(&mut bed, true) > 0 {}
    bed
}

#[test]
fn an_invocation_is_not_tried_at_one_invoker_after_the_other() {
    let mut bed = failed_everywhere();
    let first = attempts(&bed);
    assert_eq!(first, 2, "the second failure, at another invoker, tells");
    for function in 2..40 {
        let id = bed.invoke(0, function, 4 * SECOND);
        assert_eq!(
            bed.k.invs[&id].finals,
            ["throttled"],
            "at once, and it may come again"
        );
        while end_all(&mut bed, true) > 0 {}
    }
    assert_eq!(attempts(&bed), first, "no load begins");
    assert!(
        bed.k.come_back[1..].iter().all(|wait| *wait >= OPEN),
        "{:?}",
        bed.k.come_back
    );
}

#[test]
fn one_load_at_a_time_tries_whether_the_store_is_back() {
    let mut bed = failed_everywhere();
    let mut trials = 0;
    for _ in 0..20 {
        bed.pass(OPEN);
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
fn a_load_that_ends_well_lets_all_others_begin() {
    let mut bed = failed_everywhere();
    bed.pass(OPEN);
    bed.invoke(0, 200, 4 * SECOND);
    end_all(&mut bed, false);
    for function in 201..220 {
        let id = bed.invoke(0, function, 4 * SECOND);
        assert_eq!(bed.k.invs[&id].sent.len(), 1);
    }
}

/// A load that fails says nothing of the invoker: what stands there is used.
#[test]
fn copies_that_stand_are_used_while_the_store_is_down() {
    let mut bed = Bed::new(deployment(), INVOKERS);
    for _ in 0..5 {
        bed.invoke(0, 7, 4 * SECOND);
        end_all(&mut bed, false);
        bed.pass(RUN);
    }
    let home: Vec<InvokerId> = bed.k.stands.iter().map(|(_, invoker)| *invoker).collect();
    for function in 300..400 {
        bed.invoke(0, function, 4 * SECOND);
        while end_all(&mut bed, true) > 0 {}
        bed.pass(20 * MILLISECOND);
    }
    let id = bed.invoke(0, 7, 4 * SECOND);
    assert!(
        bed.k.invs[&id]
            .sent
            .iter()
            .all(|s| home.contains(&s.invoker))
            && bed.k.invs[&id].sent.len() == 1
    );
}

/// One invoker whose loads fail, as its disk is full, keeps nobody else from loading.
#[test]
fn loads_that_fail_at_one_invoker_alone_stop_no_others() {
    let mut bed = Bed::new(deployment(), INVOKERS);
    let mut ended_well = 0;
    for function in 0..60 {
        bed.invoke(0, function, 4 * SECOND);
        loop {
            let out = bed.out();
            if out.is_empty() {
                break;
            }
            for (id, hop) in out {
                let broken = bed.k.invs[&id].sent[hop].invoker == 1;
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
                bed.answer(id, hop, outcome, Some(found));
            }
        }
        bed.pass(20 * MILLISECOND);
    }
    assert_eq!(ended_well, 60);
}
