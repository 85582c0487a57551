//! The policy's memory stays bounded whatever clients request. Memory is counted by the allocator, per thread.

#[path = "support/controller.rs"]
mod controller;
mod support;

use controller::{Controller, MEMORY_BYTES, small_controller};
use saltdrum::interface::*;
use support::deployment;

/// Guards against state that is retained for each function that was ever requested: clients that asked for unknown
/// functions and took their requests back made the controller exceed its memory limit within seconds.
#[test]
fn unknown_functions_do_not_exceed_the_memory_limit() {
    const REQUESTS: u64 = 60_000;
    for reports_misses in [false, true] {
        let mut controller = small_controller(reports_misses);
        for number in 0..REQUESTS {
            controller.invoke_and_abandon(number << 20);
            if number % 100 == 0 {
                controller.advance(MILLISECOND);
                controller.assert_memory_is_bounded("requests taken back");
            }
        }
        let sizes = controller.policy.table_sizes();
        assert!(sizes.evicted_functions > 0, "bound not met: {sizes:?}");
        assert!(sizes.instances > 0, "nothing dispatched: {sizes:?}");
    }
}

/// Guards against instances and rankings that grow with each attempt: a request for an unknown function that every
/// invoker turns away is tried at several of them.
#[test]
fn failing_attempts_at_many_invokers_do_not_exceed_the_memory_limit() {
    const REQUESTS: u64 = 60_000;
    for outcome in [Outcome::Errored, Outcome::Miss, Outcome::NotSent] {
        let mut controller = small_controller(outcome == Outcome::Miss);
        for number in 0..REQUESTS {
            // Each function is requested repeatedly, so that further invokers are tried.
            let id = controller.invoke((number / 4) << 20);
            while controller.end_attempt(outcome, false) {}
            controller.abandon(id);
            if number % 100 == 0 {
                controller.advance(MILLISECOND);
                controller.assert_memory_is_bounded("failing attempts");
            }
        }
    }
}

/// Guards against waits that outlive their invocations: each request that was taken back while its function was loading
/// left two timers and a step behind, until the load ended or the client timeout.
#[test]
fn requests_taken_back_during_a_load_leave_nothing_behind() {
    const FUNCTION: FunctionId = 1;
    const REQUESTS: usize = 20_000;
    let mut controller = small_controller(true);
    controller.invoke(FUNCTION);
    while controller.host.loads.is_empty() {
        assert!(controller.end_attempt(Outcome::Miss, false));
    }
    let before = (
        controller.policy.table_sizes(),
        controller.host.timers.len(),
    );
    for _ in 0..REQUESTS {
        let id = controller.invoke(FUNCTION);
        while controller.end_attempt(Outcome::Miss, false) {}
        let waiting = controller.policy.table_sizes();
        assert_eq!(waiting.load_waits, 2, "the request does not wait");
        controller.abandon(id);
    }
    let after = (
        controller.policy.table_sizes(),
        controller.host.timers.len(),
    );
    assert_eq!(after.0.load_waits, before.0.load_waits);
    assert_eq!((after.0.timers, after.1), (before.0.timers, before.1));
    // The invocation that still waits is dispatched where its function was loaded.
    let (invoker, function) = controller.host.loads[0];
    let result = LoadResult {
        invoker,
        function,
        outcome: LoadOutcome::Loaded,
        loaded_instances: 1,
        duration: SECOND,
        sent_at: None,
    };
    controller.now += SECOND;
    controller
        .policy
        .load_ended(controller.now, result, &mut controller.host);
    assert_eq!(controller.host.dispatched, Some((1, invoker)));
}

/// Guards against waits that outlive their invocations: each request that was taken back while an invoker was probed left a
/// timer and a step behind.
#[test]
fn requests_taken_back_during_a_probe_leave_nothing_behind() {
    const REQUESTS: usize = 20_000;
    let mut controller = Controller::new(Deployment {
        list_lifetime: Some(2 * SECOND),
        memory_bytes: Some(MEMORY_BYTES),
        ..deployment()
    });
    let before = (
        controller.policy.table_sizes(),
        controller.host.timers.len(),
    );
    for _ in 0..REQUESTS {
        let id = controller.invoke(1);
        assert_eq!(controller.policy.table_sizes().probe_waits, 1);
        controller.abandon(id);
    }
    let after = (
        controller.policy.table_sizes(),
        controller.host.timers.len(),
    );
    assert_eq!(after.0.probe_waits, 0);
    assert_eq!((after.0.timers, after.1), (before.0.timers, before.1));
}

/// Guards against a history of sent work that has an entry for each attempt: an attempt that was taken back before it was
/// sent counted for the whole overload window, and every placement at a cold invoker walked through all of them.
#[test]
fn size_of_the_sent_work_does_not_depend_on_the_number_of_attempts() {
    let size_with = |attempts_per_ms: usize| {
        let mut controller = small_controller(false);
        let window = deployment().overload_window;
        for _ in 0..window / MILLISECOND {
            for _ in 0..attempts_per_ms {
                controller.invoke_and_abandon(1);
            }
            controller.advance(MILLISECOND);
        }
        controller.policy.table_sizes().sent_work
    };
    let (few, many) = (size_with(20), size_with(100));
    assert!(few > 0, "nothing was dispatched");
    assert!(
        many <= few,
        "{few} sums with 20 attempts a millisecond, {many} with 100"
    );
}
