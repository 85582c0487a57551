//! What each fault of an invoker or a connection is reported as.

use super::support::*;
use bytes::Bytes;
use saltdrum::interface::*;
use saltdrum_fakes::platform::{Call, Heard, Spoilt, listing};
use saltdrum_platform_wire::feed::Event;
use saltdrum_platform_wire::frames::Code;
use std::time::Duration;

#[test]
fn reports_proven_outcome_of_each_fault_and_discards_faulty_connections() {
    use Spoilt as S;
    let may_have_run = [Outcome::Reset, Outcome::Errored, Outcome::TimedOut];
    let (well, throttled) = ([Outcome::Succeeded], |o| [o]);
    let cases: Vec<(Spoilt, Vec<Outcome>, Code, bool)> = vec![
        (S::No, well.to_vec(), Code::Succeeded, true),
        (S::Early1xx, well.to_vec(), Code::Succeeded, true),
        (S::NoiseAfter, well.to_vec(), Code::Succeeded, false),
        (S::TwiceOver, well.to_vec(), Code::Succeeded, false),
        (
            S::Miss,
            throttled(Outcome::Miss).to_vec(),
            Code::Throttled,
            true,
        ),
        (
            S::Full,
            throttled(Outcome::Full).to_vec(),
            Code::Throttled,
            true,
        ),
        (
            S::Over,
            throttled(Outcome::NotSent).to_vec(),
            Code::Throttled,
            true,
        ),
        (S::Errored, vec![Outcome::Errored], Code::Errored, true),
        (S::NoiseForHead, may_have_run.to_vec(), Code::Errored, false),
        (
            S::HeadWithoutEnd,
            may_have_run.to_vec(),
            Code::Errored,
            false,
        ),
        (
            S::LengthsContradict,
            may_have_run.to_vec(),
            Code::Errored,
            false,
        ),
        (
            S::ThreeGigabytes,
            may_have_run.to_vec(),
            Code::Errored,
            false,
        ),
        (S::ShortBody, may_have_run.to_vec(), Code::Errored, false),
        (
            S::ResetAfterReading,
            may_have_run.to_vec(),
            Code::Errored,
            false,
        ),
        (S::Silent, vec![Outcome::TimedOut], Code::Errored, false),
    ];
    for (spoilt, outcomes, code, reused) in cases {
        staged(|| async move {
            let stage = Stage::new(first, &[1], 256).await;
            let (invoker, mut client) = (stage.invokers[&1].clone(), stage.client().await);
            invoker.spoilt.set(spoilt);
            let call = stage.call("book");
            client.ask(&call).await;
            let answered = answer(&mut client).await;
            assert_eq!(answered.code, code as u8, "{spoilt:?}");
            let told = TOLD.take();
            assert!(
                told.len() == 1 && outcomes.contains(&told[0].0),
                "{spoilt:?}: {told:?}"
            );
            if code == Code::Succeeded {
                assert_eq!(
                    answered.body,
                    format!("ran {} {}", call.txn(), call.body.len()),
                    "{spoilt:?}"
                );
            }
            assert_eq!(
                answered.later_ms,
                (code == Code::Throttled).then_some(10),
                "{spoilt:?}"
            );
            pass(RESTED).await;
            invoker.spoilt.set(Spoilt::No);
            client.ask(&stage.call("book")).await;
            assert_eq!(
                answer(&mut client).await.code,
                Code::Succeeded as u8,
                "{spoilt:?}"
            );
            assert_eq!(
                invoker.accepted.get(),
                if reused { 1 } else { 2 },
                "connections after {spoilt:?}"
            );
            assert_eq!(stage.broken(), [0u8; 0], "{spoilt:?}");
        });
    }
}

#[test]
fn reports_request_that_was_never_sent() {
    staged(|| async {
        let stage = Stage::new(first, &[], 256).await;
        let mut client = stage.client().await;
        // Listed, but nobody listens there.
        stage.feed.say(
            2,
            Event::Changes(vec![listing(1, invoker_at(9), InvokerStatus::Ready, None)]),
        );
        pass(10).await;
        client.ask(&stage.call("book")).await;
        assert_eq!(answer(&mut client).await.code, Code::Throttled as u8);
        assert_eq!(TOLD.take(), [(Outcome::NoConnection, false)]);
    });
}

/// Found by reading: on a line used before, it was told by the request before.
#[test]
fn request_withdrawn_before_sending_never_runs_on_reused_connection() {
    staged(|| async {
        let stage = Stage::new(first, &[1], 256).await;
        let mut client = stage.client().await;
        client.ask(&stage.call("book")).await;
        assert_eq!(answer(&mut client).await.code, Code::Succeeded as u8);
        pass(RESTED).await;
        client
            .ask(&Call {
                function: TAKEN_BACK,
                ..stage.call("book")
            })
            .await;
        assert_eq!(answer(&mut client).await.code, Code::Throttled as u8);
        assert_eq!(TOLD.take()[1..], [(Outcome::NotSent, false)]);
        assert_eq!(stage.invokers[&1].arrived.borrow().len(), 1);
    });
}

/// Found on a fleet day as lost: a busy controller had no turn for 40 ms, settled after the client timeout, and kept the
/// answer to itself, though its client still waited.
#[test]
fn answers_after_client_timeout_when_process_was_stopped() {
    for (stood_ms, answers) in [(300, true), (650, true), (900, false)] {
        staged(|| async move {
            let stage = Stage::new(first, &[1], 256).await;
            let mut client = stage.client().await;
            stage.invokers[&1].spoilt.set(Spoilt::Silent);
            client
                .ask(&Call {
                    limit_ms: 200,
                    ..stage.call("book")
                })
                .await;
            pass(100).await;
            tokio::time::advance(Duration::from_millis(stood_ms - 100)).await;
            let heard = tokio::time::timeout(Duration::from_millis(20), client.hear()).await;
            assert_eq!(
                matches!(heard, Ok(Some(Heard::Answer(_)))),
                answers,
                "{stood_ms}: {heard:?}"
            );
        });
    }
}

#[test]
fn forwards_ids_fields_and_bodies_unchanged() {
    staged(|| async {
        let stage = Stage::new(first, &[1], 256).await;
        let mut client = stage.client().await;
        let body: Vec<u8> = (0..=255).cycle().take(16 << 10).collect();
        let call = Call {
            body: body.clone(),
            ..stage.call("charge")
        };
        client.ask(&call).await;
        assert_eq!(answer(&mut client).await.code, Code::Succeeded as u8);
        client
            .ask(&Call {
                body: vec![],
                ..stage.call("look")
            })
            .await;
        answer(&mut client).await;
        let arrived = stage.invokers[&1].arrived.borrow();
        let (a, b) = (&arrived[0], &arrived[1]);
        assert_eq!(
            (a.method.as_str(), a.path.as_str()),
            ("POST", "/obj/charge")
        );
        assert_eq!(
            (&a.fields["x-txn"], a.fields.get("x-dedupe")),
            (&call.txn(), call.token.as_ref())
        );
        assert_eq!(a.fields["x-name"], format!("{:016x}", call.function));
        assert!(
            (1_900..2_000).contains(&a.fields["x-limit-ms"].parse::<u32>().unwrap()),
            "{:?}",
            a.fields
        );
        assert_eq!(a.body, Bytes::from(body));
        assert_eq!((b.method.as_str(), b.path.as_str()), ("GET", "/obj/look"));
        assert!(
            !b.fields.contains_key("x-dedupe") && !b.fields.contains_key("content-length"),
            "{b:?}"
        );
    });
}

#[test]
fn reuses_connections_until_idle_timeout() {
    staged(|| async {
        let stage = Stage::new(first, &[1], 256).await;
        let (invoker, mut client) = (stage.invokers[&1].clone(), stage.client().await);
        for n in 0..30 {
            client.ask(&stage.call("look")).await;
            assert_eq!(answer(&mut client).await.code, Code::Succeeded as u8);
            pass(RESTED + n * 20).await;
        }
        assert_eq!(invoker.accepted.get(), 1);
        pass(12_000).await;
        let mut client = stage.client().await;
        client.ask(&stage.call("look")).await;
        answer(&mut client).await;
        assert_eq!(
            invoker.accepted.get(),
            2,
            "an idle one is closed before the invoker would"
        );
        assert_eq!(invoker.connections.get(), 1);
    });
}
