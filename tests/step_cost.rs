//! What one event makes the policy examine does not grow with the number of functions, whether they exist or not. The
//! policy counts the entries that it examines one after the other.

#[path = "support/controller.rs"]
mod controller;
mod support;

use controller::{Controller, INVOKERS, allocated_during, small_controller};
use saltdrum::interface::*;
use support::*;

/// More functions than a turn examines.
const FUNCTIONS: u64 = 3_000;
const MANY_FUNCTIONS: u64 = 24_000;
/// No event may take longer than 10 ms; an entry is examined within a microsecond.
const MAX_ENTRIES_PER_EVENT: u64 = 10_000;
const CLIENT_TIMEOUT: Ticks = 4 * SECOND;

/// Invokers that load functions by themselves.
fn test_bed() -> TestBed {
    TestBed::new(deployment(), 6)
}

/// Clients request functions that do not exist, and take each request back at once.
fn flood(bed: &mut TestBed, functions: std::ops::Range<u64>) {
    for function in functions {
        let id = bed.invoke(0, function << 20, CLIENT_TIMEOUT);
        bed.abandon(id);
        bed.end_attempt(id, 0, Outcome::Cancelled, None);
        bed.checker.invocations.remove(&id);
    }
}

/// Each function is called once, and its invoker loads it.
fn serve(bed: &mut TestBed, functions: std::ops::Range<u64>) {
    for function in functions {
        let id = bed.invoke(0, function << 20, CLIENT_TIMEOUT);
        bed.end_attempt(id, 0, Outcome::Succeeded, Some(StartKind::BeganLoad));
        bed.checker.invocations.remove(&id);
    }
}

/// Guards against a walk through all functions known at an invoker before each load there: clients that requested
/// unknown functions and took the requests back blocked the controller for seconds, so that others got no response.
#[test]
fn loads_examine_only_what_they_unload() {
    for requests in [flood, serve] {
        let mut bed = test_bed();
        requests(&mut bed, 1..FUNCTIONS);
        let sizes = bed.policy.table_sizes();
        assert!(sizes.instances as u64 >= FUNCTIONS - 1, "{sizes:?}");
        let unloads = bed.checker.unloads.len() as u64;
        assert_eq!(sizes.scanned.unload, unloads, "{sizes:?}");
    }
}

/// Instances that the controller loaded ahead of demand and that are stale are unloaded by one load, all of them.
#[test]
fn a_load_unloads_all_stale_instances() {
    const SERVED: u64 = 40;
    let mut bed = test_bed();
    serve(&mut bed, 1..SERVED);
    // Pools are filled by load orders, and dissolve without further calls. The instances are stale a dwell time later.
    for _ in 0..38 {
        bed.advance(SECOND);
        while !bed.checker.loads.is_empty() {
            bed.end_load(0, LoadOutcome::Loaded);
        }
    }
    assert_eq!(bed.checker.unloads, []);
    let loaded = bed.policy.table_sizes().instances as u64;
    serve(&mut bed, SERVED..SERVED + 200);
    let unloads = bed.checker.unloads.len() as u64;
    assert!(unloads > 0 && unloads <= loaded, "{unloads} of {loaded}");
    assert_eq!(bed.policy.table_sizes().scanned.unload, unloads);
}

/// A controller to which each function has been served by an invoker that loaded it.
fn controller_with(functions: u64) -> Controller {
    let mut controller = small_controller(false);
    for function in 1..=functions {
        controller.invoke(function << 20);
        assert!(controller.end_attempt(Outcome::Succeeded, false));
    }
    controller
}

/// Advances the clock in steps of a millisecond, so that each timer fires in its turn.
fn advance(controller: &mut Controller, duration: Ticks) {
    for _ in 0..duration / MILLISECOND {
        controller.advance(MILLISECOND);
    }
}

/// Guards against timers that walk through all functions in one event: with some tens of thousands of functions the
/// controller had no turn for tens of milliseconds, each second.
#[test]
fn no_timer_examines_more_than_a_turn() {
    let mut controller = controller_with(MANY_FUNCTIONS);
    for _ in 0..2 {
        let before = controller.policy.table_sizes().scanned.timers;
        advance(&mut controller, 3 * SECOND);
        let sizes = controller.policy.table_sizes();
        let examined = sizes.scanned.timers - before;
        assert!(examined > MANY_FUNCTIONS, "not all functions: {sizes:?}");
        let longest = sizes.scanned.longest_event;
        assert!(longest <= MAX_ENTRIES_PER_EVENT, "{sizes:?}");
        assert_eq!(controller.policy.recent_table_sizes(), sizes);
    }
    // The turns come to an end: everything expires.
    advance(&mut controller, 60 * SECOND);
    let sizes = controller.policy.table_sizes();
    assert_eq!((sizes.functions, sizes.instances), (0, 0), "{sizes:?}");
}

/// The most bytes that are allocated in one event in which an invoker with attempts in flight resets a connection.
fn most_allocated_at_a_reset(functions: u64) -> usize {
    let mut controller = controller_with(functions);
    let mut in_flight = Vec::new();
    for function in 1..=50 * u64::from(INVOKERS) {
        controller.invoke(function << 20);
        in_flight.extend(controller.host.dispatched.take());
    }
    let resetting = in_flight[0].1;
    in_flight.retain(|(_, invoker)| *invoker == resetting);
    assert!(in_flight.len() > 20, "{} in flight", in_flight.len());
    let resets = in_flight.into_iter().map(|(id, invoker)| {
        allocated_during(|| controller.end_first_attempt(id, invoker, Outcome::Reset))
    });
    resets.max().unwrap_or(0)
}

/// The bytes that are allocated in the event that reports the restart of an invoker.
fn allocated_at_a_restart(functions: u64) -> usize {
    let mut controller = controller_with(functions);
    let record = invoker_record(1, InvokerStatus::Ready, Some(controller.now));
    let now = controller.now;
    allocated_during(|| controller.policy.invokers_changed(now, false, &[record]))
}

/// Guards against a walk through all functions known at an invoker for each connection that it resets, and for each
/// restart: the requests that were in flight at an invoker that died made the controller walk once each.
#[test]
fn the_end_of_a_process_does_not_examine_the_functions_loaded_there() {
    for allocated in [most_allocated_at_a_reset, allocated_at_a_restart] {
        let (few, many) = (allocated(1_200), allocated(MANY_FUNCTIONS));
        assert!(
            many <= 2 * few,
            "{few} bytes allocated with 1,200 functions, {many} with {MANY_FUNCTIONS}"
        );
    }
}

/// Each restart of an invoker makes the instances there cold: its pools are filled again.
#[test]
fn the_end_of_a_process_makes_its_instances_cold() {
    let mut bed = test_bed();
    let id = bed.invoke(0, 1 << 20, CLIENT_TIMEOUT);
    let invoker = bed.checker.invocations[&id].attempts[0].invoker;
    bed.end_attempt(id, 0, Outcome::Succeeded, Some(StartKind::Warm));
    let loads_at = |bed: &TestBed| {
        let loads = bed.checker.loads.iter();
        loads.filter(|load| load.0 == invoker).count()
    };
    bed.advance(2 * SECOND);
    assert_eq!(loads_at(&bed), 0, "a warm instance was loaded");
    for restart in 0..3 {
        let started_at = Some(bed.checker.now);
        let record = invoker_record(invoker, InvokerStatus::Ready, started_at);
        bed.update_endpoint_list(false, &[record]);
        bed.advance(2 * SECOND);
        assert_eq!(loads_at(&bed), 1, "restart {restart}");
        bed.end_load(0, LoadOutcome::Loaded);
        bed.advance(2 * SECOND);
        assert_eq!(loads_at(&bed), 0, "restart {restart}: loaded twice");
    }
}
