//! The bound on functions that no invoker is known to have run: which are forgotten, and what stays correct meanwhile.

mod support;

use saltdrum::interface::*;
use support::*;

/// Room for some dozens of unproven functions.
const MEMORY_BYTES: u64 = 2 << 20;
/// More unknown functions than fit within the bound.
const FLOOD: u64 = 2_000;
const KNOWN: FunctionId = 1;
const CLIENT_TIMEOUT: Ticks = 4 * SECOND;

fn test_bed(reports_misses: bool) -> TestBed {
    let deployment = Deployment {
        memory_bytes: Some(MEMORY_BYTES),
        reports_misses,
        ..deployment()
    };
    TestBed::new(deployment, 6)
}

/// Clients request unknown functions and take each request back at once.
fn flood(bed: &mut TestBed, functions: std::ops::Range<u64>) {
    for function in functions {
        let id = bed.invoke(0, function << 20, CLIENT_TIMEOUT);
        bed.abandon(id);
        let attempts = bed.checker.invocations[&id].attempts.len();
        if attempts > 0 {
            bed.end_attempt(id, attempts - 1, Outcome::Cancelled, None);
        }
    }
}

fn is_served_at(bed: &mut TestBed, function: FunctionId) -> InvokerId {
    let id = bed.invoke(0, function, CLIENT_TIMEOUT);
    bed.end_attempt(id, 0, Outcome::Succeeded, Some(StartKind::Warm));
    let invocation = &bed.checker.invocations[&id];
    assert_eq!(invocation.final_responses, ["succeeded"]);
    invocation.attempts[0].invoker
}

/// A flood of unknown names must not make the controller forget where a function that exists is loaded.
#[test]
fn proven_functions_are_retained() {
    let mut bed = test_bed(false);
    let invoker = is_served_at(&mut bed, KNOWN);
    flood(&mut bed, 10..FLOOD);
    assert!(bed.policy.table_sizes().evicted_functions > 0);
    assert_eq!(
        is_served_at(&mut bed, KNOWN),
        invoker,
        "its instance was forgotten"
    );
}

/// An invocation that waits for its first response keeps its function, and the invoker's count of attempts in flight
/// returns to zero.
#[test]
fn functions_with_an_attempt_in_flight_are_retained() {
    let mut bed = test_bed(false);
    let id = bed.invoke(0, KNOWN, CLIENT_TIMEOUT);
    flood(&mut bed, 10..FLOOD);
    bed.end_attempt(id, 0, Outcome::Succeeded, Some(StartKind::BeganLoad));
    assert_eq!(bed.checker.invocations[&id].final_responses, ["succeeded"]);
    let views = bed.policy.invoker_views(bed.checker.now);
    assert!(views.iter().all(|view| view.in_flight == 0), "{views:?}");
    let invoker = bed.checker.invocations[&id].attempts[0].invoker;
    assert_eq!(
        is_served_at(&mut bed, KNOWN),
        invoker,
        "its instance was forgotten"
    );
}

/// An invocation that waits for a load order keeps its function: it is dispatched where the load ended.
#[test]
fn functions_with_a_load_order_in_flight_are_retained() {
    let mut bed = test_bed(true);
    let id = bed.invoke(0, KNOWN, CLIENT_TIMEOUT);
    for attempt in 0.. {
        if bed
            .checker
            .loads
            .iter()
            .any(|(_, function, _)| *function == KNOWN)
        {
            break;
        }
        bed.end_attempt(id, attempt, Outcome::Miss, None);
    }
    flood(&mut bed, 10..FLOOD);
    let order = bed
        .checker
        .loads
        .iter()
        .position(|(_, function, _)| *function == KNOWN);
    let order = order.expect("a load order for the waiting invocation");
    let loaded_at = bed.checker.loads[order].0;
    bed.end_load(order, LoadOutcome::Loaded);
    let last = bed.checker.invocations[&id].attempts.last();
    assert_eq!(last.map(|attempt| attempt.invoker), Some(loaded_at));
}

/// A function that was loaded by order exists, though nobody has run it yet.
#[test]
fn functions_that_were_loaded_are_retained() {
    let mut bed = test_bed(true);
    let id = bed.invoke(0, KNOWN, SECOND / 2);
    bed.end_attempt(id, 0, Outcome::Miss, None);
    bed.advance(SECOND);
    let order = bed
        .checker
        .loads
        .iter()
        .position(|(_, function, _)| *function == KNOWN);
    let order = order.expect("a planned load");
    let loaded_at = bed.checker.loads[order].0;
    bed.end_load(order, LoadOutcome::Loaded);
    flood(&mut bed, 10..FLOOD);
    assert_eq!(
        is_served_at(&mut bed, KNOWN),
        loaded_at,
        "its instance was forgotten"
    );
}

/// While all unproven functions are in use, further unknown ones are rejected with a retry-after, and known ones are
/// served.
#[test]
fn rejects_unknown_functions_while_all_are_in_use() {
    let mut bed = test_bed(false);
    is_served_at(&mut bed, KNOWN);
    let ids: Vec<InvocationId> = (10..FLOOD)
        .map(|function| bed.invoke(0, function << 20, CLIENT_TIMEOUT))
        .collect();
    let is_rejected = |bed: &TestBed, id: &InvocationId| {
        let invocation = &bed.checker.invocations[id];
        invocation.final_responses == ["throttled"] && invocation.attempts.is_empty()
    };
    let rejected = ids.iter().filter(|id| is_rejected(&bed, id)).count();
    let sizes = bed.policy.table_sizes();
    assert!(
        rejected > 0 && sizes.untracked_invocations == rejected as u64,
        "{sizes:?}"
    );
    assert_eq!(
        sizes.evicted_functions, 0,
        "a function in use was forgotten"
    );
    assert!(bed.checker.retry_after.iter().all(|time| *time > 0));
    is_served_at(&mut bed, KNOWN);
    // As soon as attempts have ended, there is room again.
    for (id, attempt) in bed.in_flight() {
        bed.abandon(id);
        bed.end_attempt(id, attempt, Outcome::Cancelled, None);
    }
    let id = bed.invoke(0, FLOOD << 20, CLIENT_TIMEOUT);
    assert_eq!(bed.checker.invocations[&id].attempts.len(), 1);
}

/// The bound is logged when it is met, and only then.
#[test]
fn logs_that_the_bound_was_met() {
    let mut bed = test_bed(false);
    is_served_at(&mut bed, KNOWN);
    bed.advance(2 * SECOND);
    assert_eq!(bed.checker.log, [""; 0]);
    flood(&mut bed, 10..FLOOD);
    bed.advance(3 * SECOND);
    let evicted = bed.policy.table_sizes().evicted_functions;
    assert_eq!(bed.checker.log.len(), 1, "{:?}", bed.checker.log);
    assert!(
        bed.checker.log[0].contains(&format!("{evicted} forgotten")),
        "{:?}",
        bed.checker.log
    );
}
