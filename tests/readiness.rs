//! Who gets new work while the endpoint list is out of reach.

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

/// A controller that has heard its list now.
fn heard(deployment: Deployment, invokers: u32) -> TestBed {
    let mut bed = TestBed::new(deployment, invokers);
    bed.hear_endpoint_list();
    bed
}

/// The invoker of an invocation's last attempt.
fn last_invoker(bed: &TestBed, id: InvocationId) -> Option<InvokerId> {
    let attempts = &bed.checker.invocations[&id].attempts;
    attempts.last().map(|attempt| attempt.invoker)
}

#[test]
fn list_vouches_for_its_lifetime_and_half_the_grace() {
    let mut bed = heard(with_lifetime(), 4);
    let heard_at = bed.checker.now;
    let id = bed.invoke(0, 1, 4 * SECOND);
    assert!(last_invoker(&bed, id).is_some());
    assert_eq!(bed.checker.send_by, [heard_at + LIFETIME + HALF_GRACE]);
    bed.advance(LIFETIME + HALF_GRACE);
    let id = bed.invoke(0, 2, 4 * SECOND);
    assert_eq!(last_invoker(&bed, id), None, "sent on an old list");
    bed.hear_endpoint_list();
    let id = bed.invoke(0, 3, 4 * SECOND);
    assert!(last_invoker(&bed, id).is_some());
}

#[test]
fn list_that_was_never_heard_vouches_for_nobody() {
    let mut bed = TestBed::new(with_lifetime(), 4);
    let id = bed.invoke(0, 1, 4 * SECOND);
    assert_eq!(last_invoker(&bed, id), None);
    let asked = bed.checker.probes[0].0;
    bed.advance(ROUND_TRIP);
    bed.end_probe(ProbeOutcome::Ready);
    assert_eq!(last_invoker(&bed, id), Some(asked));
}

#[test]
fn confirmation_is_good_for_half_the_grace_since_the_probe_was_sent() {
    let mut bed = TestBed::new(with_lifetime(), 1);
    let asked_at = bed.checker.now;
    let first = bed.invoke(0, 1, 4 * SECOND);
    bed.advance(ROUND_TRIP);
    bed.end_probe(ProbeOutcome::Ready);
    let second = bed.invoke(0, 1, 4 * SECOND);
    assert_eq!(last_invoker(&bed, first), Some(1));
    assert_eq!(last_invoker(&bed, second), Some(1), "asked again too soon");
    assert!(
        bed.checker
            .send_by
            .iter()
            .all(|by| *by == asked_at + HALF_GRACE)
    );
    bed.advance(HALF_GRACE);
    let third = bed.invoke(0, 1, 4 * SECOND);
    assert_eq!(last_invoker(&bed, third), None, "sent on an old answer");
}

#[test]
fn answer_that_is_too_old_when_it_comes_confirms_nothing() {
    let mut bed = TestBed::new(with_lifetime(), 1);
    let id = bed.invoke(0, 1, 4 * SECOND);
    bed.advance(HALF_GRACE + ROUND_TRIP);
    bed.end_probe(ProbeOutcome::Ready);
    assert_eq!(last_invoker(&bed, id), None);
    assert!(bed.checker.probes.is_empty(), "asked again at once");
    bed.advance(SECOND);
    assert_eq!(bed.checker.probes.len(), 1, "asked again later");
}

#[test]
fn served_attempt_confirms_as_of_when_it_was_sent() {
    let mut bed = heard(with_lifetime(), 1);
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
fn goes_elsewhere_when_an_invoker_is_not_ready_unreachable_or_silent() {
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
    assert_eq!(probed.len(), 2, "waits for a silent invoker for ever");
    bed.checker.probes.remove(0);
    bed.end_probe(ProbeOutcome::Ready);
    assert_eq!(last_invoker(&bed, id), Some(probed[1]));
}

#[test]
fn rejects_at_once_when_nobody_is_ready() {
    let mut bed = TestBed::new(with_lifetime(), 2);
    let id = bed.invoke(0, 1, 4 * SECOND);
    for _ in 0..2 {
        bed.advance(ROUND_TRIP);
        bed.end_probe(ProbeOutcome::NotReady);
    }
    assert_eq!(bed.checker.invocations[&id].final_responses, ["throttled"]);
}

#[test]
fn rejects_at_once_where_nobody_can_be_asked() {
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

/// Calls one after another, each answered at once where it is sent; gives how many were sent.
fn sent_of_calls(bed: &mut TestBed, calls: usize) -> usize {
    let mut sent = 0;
    for _ in 0..calls {
        let id = bed.invoke(0, 1, 4 * SECOND);
        bed.advance(ROUND_TRIP);
        while !bed.checker.probes.is_empty() {
            bed.end_probe(ProbeOutcome::Ready);
        }
        if last_invoker(bed, id).is_some() {
            sent += 1;
            bed.advance(ROUND_TRIP);
            bed.end_attempt(id, 0, Outcome::Succeeded, Some(StartKind::Warm));
        }
    }
    sent
}

#[test]
fn invoker_that_was_not_ready_is_cold_when_it_is_ready_again() {
    let mut bed = TestBed::new(with_lifetime(), 1);
    assert_eq!(sent_of_calls(&mut bed, 60), 60, "warm");
    bed.advance(SECOND);
    bed.invoke(0, 1, 4 * SECOND);
    bed.advance(ROUND_TRIP);
    bed.end_probe(ProbeOutcome::NotReady);
    bed.advance(SECOND);
    let sent = sent_of_calls(&mut bed, 60);
    assert!(sent < 20, "{sent} to an invoker that may have started anew");
}

/// Guards against a process that ends and starts anew between two probes and is sent the work of a warm one.
#[test]
fn invoker_that_lost_its_connections_is_cold_when_it_is_ready_again() {
    let mut bed = TestBed::new(with_lifetime(), 1);
    assert_eq!(sent_of_calls(&mut bed, 60), 60, "warm");
    bed.lose_connection(1);
    bed.advance(SECOND);
    let sent = sent_of_calls(&mut bed, 60);
    assert!(sent < 20, "{sent} to an invoker that may have started anew");
}

#[test]
fn connection_lost_after_the_list_was_heard_last_counts_once_the_list_vouches_no_more() {
    let mut bed = heard(with_lifetime(), 1);
    bed.advance(SECOND);
    bed.lose_connection(1);
    assert_eq!(sent_of_calls(&mut bed, 60), 60, "the list vouches for it");
    bed.advance(LIFETIME);
    let sent = sent_of_calls(&mut bed, 60);
    assert!(sent < 20, "{sent} to an invoker that may have started anew");
}

/// Guards against a process that started anew while it was out of contact, no connection to it being open for so long, and is
/// sent the work of a warm one.
#[test]
fn invoker_that_was_out_of_contact_in_an_outage_is_cold_when_it_is_asked() {
    const NO_CONNECTION_LASTS: Ticks = 20 * SECOND;
    let mut bed = heard(with_lifetime(), 1);
    bed.advance(NO_CONNECTION_LASTS);
    let sent = sent_of_calls(&mut bed, 60);
    assert!(sent < 20, "{sent} to an invoker that may have started anew");
}

#[test]
fn list_that_is_heard_again_ends_the_guess_that_an_invoker_started_anew() {
    let mut bed = TestBed::new(with_lifetime(), 1);
    bed.lose_connection(1);
    bed.advance(SECOND);
    assert!(sent_of_calls(&mut bed, 60) < 20, "may have started anew");
    bed.hear_endpoint_list();
    assert_eq!(sent_of_calls(&mut bed, 60), 60, "it did not start anew");
}

#[test]
fn list_that_was_heard_since_tells_whether_an_invoker_started_anew() {
    let mut bed = heard(with_lifetime(), 1);
    bed.lose_connection(1);
    bed.advance(SECOND);
    bed.hear_endpoint_list();
    bed.advance(LIFETIME + HALF_GRACE);
    assert_eq!(sent_of_calls(&mut bed, 60), 60, "it did not start anew");
}

/// Guards against the last work of a draining process, which made its successor warm.
#[test]
fn work_that_was_sent_before_an_invoker_drained_says_nothing_of_its_successor() {
    let mut bed = TestBed::new(with_lifetime(), 1);
    assert_eq!(sent_of_calls(&mut bed, 60), 60, "warm");
    let under_way = bed.invoke(0, 1, 4 * SECOND);
    assert_eq!(last_invoker(&bed, under_way), Some(1));
    bed.advance(HALF_GRACE);
    bed.invoke(0, 1, 4 * SECOND);
    bed.advance(ROUND_TRIP);
    bed.end_probe(ProbeOutcome::NotReady);
    bed.advance(ROUND_TRIP);
    bed.end_attempt(under_way, 0, Outcome::Succeeded, Some(StartKind::Warm));
    bed.advance(SECOND);
    let sent = sent_of_calls(&mut bed, 60);
    assert!(sent < 20, "{sent} to an invoker that may have started anew");
}

#[test]
fn planned_loads_wait_for_the_word_of_their_invoker() {
    let reports_misses = Deployment {
        reports_misses: true,
        ..with_lifetime()
    };
    let mut bed = heard(reports_misses, 3);
    for _ in 0..40 {
        let id = bed.invoke(0, 1, 4 * SECOND);
        bed.advance(40 * MILLISECOND);
        bed.hear_endpoint_list();
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
    assert!(bed.checker.loads.is_empty(), "ordered on an old list");
    assert!(!bed.checker.probes.is_empty(), "nobody was asked");
    let asked = bed.checker.probes[0].0;
    bed.checker.probes[0].1 = bed.checker.now;
    bed.end_probe(ProbeOutcome::Ready);
    assert_eq!(bed.checker.loads.first().map(|load| load.0), Some(asked));
}
