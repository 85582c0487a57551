//! What one event makes the policy examine does not grow with the number of functions, whether they exist or not. The
//! policy counts the entries that it examines one after the other.

mod support;

use saltdrum::interface::*;
use support::*;

/// More functions than a turn examines.
const FUNCTIONS: u64 = 3_000;
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
