//! Which invokers receive new work while the endpoint list is unreachable (rule 3).

mod support;

use saltdrum::interface::*;
use support::*;

const LIFETIME: Ticks = 2 * SECOND;
const HALF_GRACE: Ticks = 125 * MILLISECOND;
const ROUND_TRIP: Ticks = 4 * MILLISECOND;

fn with_lifetime() -> Deployment {
    Deployment {
        list_lifetime: Some(LIFETIME),
        ..deployment()
    }
}

/// A controller whose endpoint list is current.
fn with_current_list(deployment: Deployment, invokers: u32) -> TestBed {
    let mut bed = TestBed::new(deployment, invokers);
    bed.refresh_endpoint_list();
    bed
}

/// The invoker of an invocation's last attempt.
fn last_invoker(bed: &TestBed, id: InvocationId) -> Option<InvokerId> {
    let attempts = &bed.checker.invocations[&id].attempts;
    attempts.last().map(|attempt| attempt.invoker)
}

#[test]
fn list_confirms_readiness_for_its_lifetime_and_half_the_grace() {
    let mut bed = with_current_list(with_lifetime(), 4);
    let refreshed_at = bed.checker.now;
    let id = bed.invoke(0, 1, 4 * SECOND);
    assert!(last_invoker(&bed, id).is_some());
    assert_eq!(bed.checker.send_by, [refreshed_at + LIFETIME + HALF_GRACE]);
    bed.advance(LIFETIME + HALF_GRACE);
    let id = bed.invoke(0, 2, 4 * SECOND);
    assert_eq!(
        last_invoker(&bed, id),
        None,
        "sent although the list has expired"
    );
    bed.refresh_endpoint_list();
    let id = bed.invoke(0, 3, 4 * SECOND);
    assert!(last_invoker(&bed, id).is_some());
}

#[test]
fn list_that_was_never_received_confirms_no_invoker() {
    let mut bed = TestBed::new(with_lifetime(), 4);
    let id = bed.invoke(0, 1, 4 * SECOND);
    assert_eq!(last_invoker(&bed, id), None);
    let probed = bed.checker.probes[0].0;
    bed.advance(ROUND_TRIP);
    bed.end_probe(ProbeOutcome::Ready);
    assert_eq!(last_invoker(&bed, id), Some(probed));
}

#[test]
fn confirmation_is_valid_for_half_the_grace_after_the_probe_was_sent() {
    let mut bed = TestBed::new(with_lifetime(), 1);
    let probed_at = bed.checker.now;
    let first = bed.invoke(0, 1, 4 * SECOND);
    bed.advance(ROUND_TRIP);
    bed.end_probe(ProbeOutcome::Ready);
    let second = bed.invoke(0, 1, 4 * SECOND);
    assert_eq!(last_invoker(&bed, first), Some(1));
    assert_eq!(
        last_invoker(&bed, second),
        Some(1),
        "not sent although the confirmation is valid"
    );
    assert!(
        bed.checker
            .send_by
            .iter()
            .all(|deadline| *deadline == probed_at + HALF_GRACE)
    );
    bed.advance(HALF_GRACE);
    let third = bed.invoke(0, 1, 4 * SECOND);
    assert_eq!(
        last_invoker(&bed, third),
        None,
        "sent although the confirmation has expired"
    );
}

#[test]
fn probe_response_that_is_too_old_on_arrival_confirms_nothing() {
    let mut bed = TestBed::new(with_lifetime(), 1);
    let id = bed.invoke(0, 1, 4 * SECOND);
    bed.advance(HALF_GRACE + ROUND_TRIP);
    bed.end_probe(ProbeOutcome::Ready);
    assert_eq!(last_invoker(&bed, id), None);
    assert!(bed.checker.probes.is_empty(), "probed again immediately");
    bed.advance(SECOND);
    assert_eq!(bed.checker.probes.len(), 1, "not probed again later");
}

#[test]
fn served_attempt_confirms_readiness_as_of_its_send_time() {
    let mut bed = with_current_list(with_lifetime(), 1);
    bed.advance(LIFETIME);
    let sent_at = bed.checker.now;
    let id = bed.invoke(0, 1, 4 * SECOND);
    bed.advance(ROUND_TRIP);
    bed.end_attempt(id, 0, Outcome::Succeeded, Some(StartKind::Warm));
    let next = bed.invoke(0, 1, 4 * SECOND);
    assert_eq!(last_invoker(&bed, next), Some(1));
    assert_eq!(bed.checker.send_by.last(), Some(&(sent_at + HALF_GRACE)));
}

#[test]
fn selects_another_invoker_when_one_is_not_ready_unreachable_or_unresponsive() {
    for outcome in [
        ProbeOutcome::NotReady,
        ProbeOutcome::Unreachable,
        ProbeOutcome::TimedOut,
    ] {
        let mut bed = TestBed::new(with_lifetime(), 2);
        let id = bed.invoke(0, 1, 4 * SECOND);
        bed.advance(ROUND_TRIP);
        let refused = bed.end_probe(outcome);
        bed.advance(ROUND_TRIP);
        let confirmed = bed.end_probe(ProbeOutcome::Ready);
        assert_ne!(refused, confirmed, "{outcome:?}");
        assert_eq!(last_invoker(&bed, id), Some(confirmed), "{outcome:?}");
    }
    let mut bed = TestBed::new(with_lifetime(), 2);
    let id = bed.invoke(0, 1, 4 * SECOND);
    bed.advance(300 * MILLISECOND);
    let probed: Vec<InvokerId> = bed.checker.probes.iter().map(|probe| probe.0).collect();
    assert_eq!(probed.len(), 2, "still waits for an unresponsive invoker");
    bed.checker.probes.remove(0);
    bed.end_probe(ProbeOutcome::Ready);
    assert_eq!(last_invoker(&bed, id), Some(probed[1]));
}

#[test]
fn rejects_immediately_when_no_invoker_is_ready() {
    let mut bed = TestBed::new(with_lifetime(), 2);
    let id = bed.invoke(0, 1, 4 * SECOND);
    for _ in 0..2 {
        bed.advance(ROUND_TRIP);
        bed.end_probe(ProbeOutcome::NotReady);
    }
    assert_eq!(bed.checker.invocations[&id].final_responses, ["throttled"]);
}

#[test]
fn rejects_immediately_when_no_invoker_can_be_probed() {
    let no_probes = Deployment {
        may_probe: false,
        ..with_lifetime()
    };
    let no_grace = Deployment {
        drain_grace: 0,
        ..with_lifetime()
    };
    for deployment in [no_probes, no_grace] {
        let mut bed = TestBed::new(deployment, 2);
        let id = bed.invoke(0, 1, 4 * SECOND);
        assert_eq!(bed.checker.invocations[&id].final_responses, ["throttled"]);
    }
}

/// Delivers invocations one after another, and completes each that is dispatched. Returns how many were dispatched.
fn dispatched_count(bed: &mut TestBed, invocations: usize) -> usize {
    let mut dispatched = 0;
    for _ in 0..invocations {
        let id = bed.invoke(0, 1, 4 * SECOND);
        bed.advance(ROUND_TRIP);
        while !bed.checker.probes.is_empty() {
            bed.end_probe(ProbeOutcome::Ready);
        }
        if last_invoker(bed, id).is_some() {
            dispatched += 1;
            bed.advance(ROUND_TRIP);
            bed.end_attempt(id, 0, Outcome::Succeeded, Some(StartKind::Warm));
        }
    }
    dispatched
}

#[test]
fn invoker_that_was_not_ready_is_cold_when_it_is_ready_again() {
    let mut bed = TestBed::new(with_lifetime(), 1);
    assert_eq!(dispatched_count(&mut bed, 60), 60, "not treated as warm");
    bed.advance(SECOND);
    bed.invoke(0, 1, 4 * SECOND);
    bed.advance(ROUND_TRIP);
    bed.end_probe(ProbeOutcome::NotReady);
    bed.advance(SECOND);
    let dispatched = dispatched_count(&mut bed, 60);
    assert!(
        dispatched < 20,
        "{dispatched} to an invoker that may have restarted"
    );
}

/// Guards against the overload of a process that restarts between two probes and is treated as warm (rule 4).
#[test]
fn invoker_that_lost_its_connections_is_cold_when_it_is_ready_again() {
    let mut bed = TestBed::new(with_lifetime(), 1);
    assert_eq!(dispatched_count(&mut bed, 60), 60, "not treated as warm");
    bed.lose_connection(1);
    bed.advance(SECOND);
    let dispatched = dispatched_count(&mut bed, 60);
    assert!(
        dispatched < 20,
        "{dispatched} to an invoker that may have restarted"
    );
}

#[test]
fn connection_lost_after_the_last_list_refresh_counts_once_the_list_expires() {
    let mut bed = with_current_list(with_lifetime(), 1);
    bed.advance(SECOND);
    bed.lose_connection(1);
    assert_eq!(
        dispatched_count(&mut bed, 60),
        60,
        "rejected although the list is current"
    );
    bed.advance(LIFETIME);
    let dispatched = dispatched_count(&mut bed, 60);
    assert!(
        dispatched < 20,
        "{dispatched} to an invoker that may have restarted"
    );
}

/// Guards against the overload of a process that restarted during an outage, while no connection to it was open, and is
/// treated as warm (rule 4).
#[test]
fn invoker_that_was_out_of_contact_in_an_outage_is_cold_when_it_is_asked() {
    const TIME_WITHOUT_CONNECTION: Ticks = 20 * SECOND;
    let mut bed = with_current_list(with_lifetime(), 1);
    bed.advance(TIME_WITHOUT_CONNECTION);
    let dispatched = dispatched_count(&mut bed, 60);
    assert!(
        dispatched < 20,
        "{dispatched} to an invoker that may have restarted"
    );
}

#[test]
fn list_refresh_ends_the_assumption_that_an_invoker_restarted() {
    let mut bed = TestBed::new(with_lifetime(), 1);
    bed.lose_connection(1);
    bed.advance(SECOND);
    assert!(
        dispatched_count(&mut bed, 60) < 20,
        "treated as warm although it may have restarted"
    );
    bed.refresh_endpoint_list();
    assert_eq!(
        dispatched_count(&mut bed, 60),
        60,
        "treated as cold after the list refresh"
    );
}

#[test]
fn list_refresh_after_a_lost_connection_rules_out_a_restart() {
    let mut bed = with_current_list(with_lifetime(), 1);
    bed.lose_connection(1);
    bed.advance(SECOND);
    bed.refresh_endpoint_list();
    bed.advance(LIFETIME + HALF_GRACE);
    assert_eq!(
        dispatched_count(&mut bed, 60),
        60,
        "treated as cold after the list refresh"
    );
}

/// Guards against the overload of a restarted invoker (rule 4): a success of the draining process made its successor
/// count as warm.
#[test]
fn work_sent_before_an_invoker_drained_does_not_confirm_its_successor() {
    let mut bed = TestBed::new(with_lifetime(), 1);
    assert_eq!(dispatched_count(&mut bed, 60), 60, "not treated as warm");
    let in_flight = bed.invoke(0, 1, 4 * SECOND);
    assert_eq!(last_invoker(&bed, in_flight), Some(1));
    bed.advance(HALF_GRACE);
    bed.invoke(0, 1, 4 * SECOND);
    bed.advance(ROUND_TRIP);
    bed.end_probe(ProbeOutcome::NotReady);
    bed.advance(ROUND_TRIP);
    bed.end_attempt(in_flight, 0, Outcome::Succeeded, Some(StartKind::Warm));
    bed.advance(SECOND);
    let dispatched = dispatched_count(&mut bed, 60);
    assert!(
        dispatched < 20,
        "{dispatched} to an invoker that may have restarted"
    );
}

#[test]
fn planned_loads_wait_for_the_confirmation_of_their_invoker() {
    let reports_misses = Deployment {
        reports_misses: true,
        ..with_lifetime()
    };
    let mut bed = with_current_list(reports_misses, 3);
    for _ in 0..40 {
        let id = bed.invoke(0, 1, 4 * SECOND);
        bed.advance(40 * MILLISECOND);
        bed.refresh_endpoint_list();
        if last_invoker(&bed, id).is_some() {
            bed.end_attempt(id, 0, Outcome::Succeeded, Some(StartKind::Warm));
        }
        while !bed.checker.loads.is_empty() {
            bed.end_load(0, LoadOutcome::Loaded);
        }
    }
    bed.advance(LIFETIME + HALF_GRACE);
    bed.checker.loads.clear();
    bed.checker.probes.clear();
    bed.advance(6 * SECOND);
    assert!(
        bed.checker.loads.is_empty(),
        "ordered although the list has expired"
    );
    assert!(!bed.checker.probes.is_empty(), "no invoker was probed");
    let probed = bed.checker.probes[0].0;
    bed.checker.probes[0].1 = bed.checker.now;
    bed.end_probe(ProbeOutcome::Ready);
    assert_eq!(bed.checker.loads.first().map(|load| load.0), Some(probed));
}
