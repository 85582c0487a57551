//! The whole path against scripted peers, on in-memory streams under a paused clock: what each fault is told as, that
//! bad peers harm nobody else, that the five rules hold on the traffic, and that the checker catches who breaks them.

use super::support::*;
use crate::lifecycle::leave;
use bytes::Bytes;
use saltdrum::interface::*;
use saltdrum_controller::{Policy, dispatch_policy};
use saltdrum_fakes::platform::{Call, Feed, Heard, Spoilt, Torn, listing};
use saltdrum_fakes::record::Line;
use saltdrum_platform_wire::feed::Event;
use saltdrum_platform_wire::frames::{self, Code};
use saltdrum_scenario::check::sent_on_after_leaving;
use saltdrum_transport::Address;
use std::cell::Cell;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;

#[test]
fn each_dispatch_ends_by_what_is_proven_and_spoilt_connections_are_not_used_again() {
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
fn what_never_left_is_told_so() {
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
fn what_is_taken_back_before_it_left_never_ran_on_a_used_line_either() {
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
fn who_stood_still_over_a_client_timeout_still_answers_for_a_while() {
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
fn ids_fields_and_bytes_pass_unchanged() {
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
fn connections_are_used_again_until_they_were_idle_too_long() {
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

/// Bytes that no client may send.
fn lies() -> Vec<Vec<u8>> {
    let good = Call {
        n: 900,
        attempt: 0,
        trigger: "look".into(),
        function: 0xf1,
        limit_ms: 1_000,
        token: None,
        body: vec![],
    };
    let with = |name: &str, value: Option<&str>| {
        let (txn, mut fields) = (good.txn(), Vec::new());
        for (n, v) in [
            ("verb", "look"),
            ("txn", &txn),
            ("limit", "1000"),
            ("item", "00000000000000f1"),
        ] {
            match value {
                Some(value) if n == name => fields.push((n, value)),
                None if n == name => {}
                _ => fields.push((n, v)),
            }
        }
        if !fields.iter().any(|f| f.0 == name) && value.is_some() {
            fields.push((name, value.unwrap_or_default()));
        }
        frames::invoke(1, &fields, &[]).to_vec()
    };
    let mut all = vec![
        vec![0; 4],
        vec![0xff; 64],
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        [60_000_000u32.to_be_bytes().to_vec(), vec![16; 100_000]].concat(),
        [3u32.to_be_bytes().to_vec(), vec![16; 9]].concat(),
        [9u32.to_be_bytes().to_vec(), vec![77; 9]].concat(),
        frames::invoke(1, &[], &[]).to_vec(),
        frames::invoke(1, &[("verb", "look"), ("verb", "look")], &[]).to_vec(),
        [
            frames::invoke(1, &[], &[]).to_vec(),
            frames::invoke(1, &[], &[]).to_vec(),
        ]
        .concat(),
        good.frame(1)[..40].to_vec(),
        Call {
            body: vec![0; 17 << 10],
            ..good.clone()
        }
        .frame(1)
        .to_vec(),
        Call {
            trigger: "charge".into(),
            ..good.clone()
        }
        .frame(1)
        .to_vec(),
    ];
    let values = [
        (
            "verb",
            vec![None, Some(""), Some("looks"), Some("look\r\nX-Txn: 1")],
        ),
        (
            "txn",
            vec![
                None,
                Some(""),
                Some("12"),
                Some("00000000000000zz"),
                Some("+000000000000001"),
            ],
        ),
        (
            "limit",
            vec![
                None,
                Some(""),
                Some("-5"),
                Some("soon"),
                Some("nan"),
                Some("1e3"),
                Some("99999999"),
                Some("0"),
            ],
        ),
        (
            "item",
            vec![
                None,
                Some("f1"),
                Some("00000000000000F1"),
                Some("g0000000000000f1"),
            ],
        ),
        ("cpu", vec![Some("-1"), Some("x"), Some("1e12")]),
        (
            "extras",
            vec![
                Some("memory_mb"),
                Some("lanes:-1"),
                Some("memory_mb:999999"),
                Some("load_ms:inf"),
            ],
        ),
        (
            "unique",
            vec![Some(""), Some("a b"), Some("a\r\nX-Unrun: 1")],
        ),
    ];
    for (name, values) in values {
        all.extend(values.into_iter().map(|value| with(name, value)));
    }
    all
}

#[test]
fn strangers_are_answered_or_closed_in_time_and_harm_nobody() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
        let mut usual = stage.client().await;
        for (n, lie) in lies().into_iter().enumerate() {
            let mut client = stage.client().await;
            let wrote = client.stream.write_all(&lie).await;
            let heard = tokio::time::timeout(Duration::from_millis(2_900), client.hear()).await;
            match heard {
                Ok(None) => {}
                Ok(Some(Heard::Answer(a))) => assert_ne!(a.code, Code::Succeeded as u8, "lie {n}"),
                other => panic!("lie {n}: {other:?} after {wrote:?}"),
            }
            usual.ask(&stage.call("look")).await;
            answer(&mut usual).await;
        }
        // Those who only connect are closed; so are those who stay after one invocation.
        let mut silent = stage.client().await;
        assert_eq!(
            tokio::time::timeout(Duration::from_millis(2_900), silent.hear()).await,
            Ok(None)
        );
        let farewell = tokio::time::timeout(Duration::from_millis(8_000), usual.hear()).await;
        assert_eq!(
            farewell,
            Ok(Some(Heard::GoAway)),
            "it hears so before its connection is closed"
        );
        assert_eq!(
            tokio::time::timeout(Duration::from_millis(300), usual.hear()).await,
            Ok(None)
        );
        let asked: Vec<u64> = stage
            .invokers
            .values()
            .flat_map(|i| i.arrived.borrow().clone())
            .filter_map(|a| u64::from_str_radix(a.fields.get("x-txn")?, 16).ok())
            .collect();
        assert!(
            asked.iter().all(|txn| txn >> 8 < 900),
            "a lie came to an invoker: {asked:x?}"
        );
        assert_eq!(stage.broken(), [0u8; 0]);
    });
}

#[test]
fn an_open_id_is_not_taken_twice_and_more_than_the_allowed_streams_are_turned_away() {
    staged(|| async {
        let stage = Stage::new(first, &[1], 256).await;
        let (mut one, mut other) = (stage.client().await, stage.client().await);
        let call = stage.call("look");
        one.ask(&call).await;
        pass(1).await;
        other
            .ask(&Call {
                body: vec![1],
                ..call.clone()
            })
            .await;
        assert_eq!(answer(&mut other).await.code, Code::Errored as u8);
        assert_eq!(answer(&mut one).await.code, Code::Succeeded as u8);
        assert_eq!(stage.invokers[&1].arrived.borrow().len(), 1);
        for _ in 0..40 {
            one.ask(&stage.call("look")).await;
        }
        let mut codes = Vec::new();
        for _ in 0..40 {
            codes.push(answer(&mut one).await.code);
        }
        assert_eq!(
            codes
                .iter()
                .filter(|c| **c == Code::Throttled as u8)
                .count(),
            8
        );
        assert_eq!(
            codes
                .iter()
                .filter(|c| **c == Code::Succeeded as u8)
                .count(),
            32
        );
    });
}

#[test]
fn who_is_left_by_its_client_is_given_up_at_the_invoker() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1], 256).await;
        let mut client = stage.client().await;
        client.ask(&stage.call("look")).await;
        answer(&mut client).await;
        pass(RESTED).await;
        let stream = client.ask(&stage.call("look")).await;
        pass(10).await;
        client.leave(stream).await;
        pass(10).await;
        assert_eq!(stage.sizes().2, 0, "nothing of it is kept");
        assert_eq!(
            stage.invokers[&1].connections.get(),
            0,
            "its connection is closed"
        );
        assert_eq!(stage.broken(), [0u8; 0]);
    });
}

#[test]
fn a_torn_feed_is_followed_to_the_same_list() {
    for torn in [
        Torn::No,
        Torn::Half,
        Torn::Twice,
        Torn::Stalls,
        Torn::Length,
    ] {
        staged(|| async move {
            let mut stage = Stage::new(dispatch_policy, &[1], 256).await;
            stage.invoker(2, invoker_at(2));
            pass(1_500).await;
            stage.feed.torn.set(torn);
            let one = listing(1, invoker_at(1), InvokerStatus::Draining, None);
            let two = listing(2, invoker_at(2), InvokerStatus::Ready, LONG_PAST_MS);
            stage.feed.say(2, Event::Changes(vec![one]));
            stage.feed.say(3, Event::Changes(vec![two]));
            pass(3_500).await;
            let asked = stage.feed.asked.borrow().clone();
            let again = !matches!(torn, Torn::No | Torn::Twice);
            assert_eq!(asked, if again { vec![1, 1] } else { vec![1] }, "{torn:?}");
            let mut client = stage.client().await;
            client.ask(&stage.call("look")).await;
            answer(&mut client).await;
            assert!(
                stage.invokers[&1].arrived.borrow().is_empty(),
                "{torn:?}: it drains"
            );
            assert!(
                !stage.invokers[&2].arrived.borrow().is_empty(),
                "{torn:?}: it is ready"
            );
        });
    }
}

#[test]
fn the_feed_is_followed_where_a_new_configuration_puts_it() {
    staged(|| async {
        let mut stage = Stage::new(dispatch_policy, &[1], 256).await;
        stage.invoker(2, invoker_at(2));
        let moved = Feed::new(WHO, stage.record.clone(), stage.clock);
        spawn_local(moved.clone().serve(stage.network.clone(), feed_at(2)));
        stage.feed.say(2, Event::Nothing);
        stage.handle.config.feed.moves(feed_at(2));
        moved.say(
            2,
            Event::Changes(vec![listing(1, invoker_at(1), InvokerStatus::Gone, None)]),
        );
        moved.say(
            3,
            Event::Changes(vec![listing(
                2,
                invoker_at(2),
                InvokerStatus::Ready,
                LONG_PAST_MS,
            )]),
        );
        pass(600).await;
        assert_eq!(*moved.asked.borrow(), [1]);
        let mut client = stage.client().await;
        client.ask(&stage.call("look")).await;
        answer(&mut client).await;
        assert!(!stage.invokers[&2].arrived.borrow().is_empty());
    });
}

#[test]
fn an_address_that_passed_to_a_new_id_gets_a_connection_of_its_own() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1], 256).await;
        let mut client = stage.client().await;
        client.ask(&stage.call("look")).await;
        answer(&mut client).await;
        let before = stage.invokers[&1].accepted.get();
        stage.feed.say(
            2,
            Event::Changes(vec![listing(1, invoker_at(1), InvokerStatus::Gone, None)]),
        );
        stage.feed.say(
            3,
            Event::Changes(vec![listing(
                7,
                invoker_at(1),
                InvokerStatus::Ready,
                LONG_PAST_MS,
            )]),
        );
        pass(50).await;
        assert_eq!(
            stage.invokers[&1].connections.get(),
            0,
            "those of the old id are closed"
        );
        client.ask(&stage.call("look")).await;
        answer(&mut client).await;
        assert!(stage.invokers[&1].accepted.get() > before);
    });
}

/// Thousands of invokers, connections, ids and functions come and go; the tables are back at their bound.
#[test]
fn nothing_grows_with_what_was_ever_seen() {
    staged(|| async {
        let mut stage = Stage::new(dispatch_policy, &[1], 256).await;
        let mut number = 1;
        for round in 0..300u32 {
            let (old, new) = (round * 10 + 1, (round + 1) * 10 + 1);
            let changes = (0..10)
                .map(|i| listing(new + i, invoker_at(1), InvokerStatus::Ready, LONG_PAST_MS));
            let gone = (0..10).map(|i| listing(old + i, invoker_at(1), InvokerStatus::Gone, None));
            number += 1;
            stage
                .feed
                .say(number, Event::Changes(changes.chain(gone).collect()));
            let mut client = stage.client().await;
            for _ in 0..10 {
                let call = stage.call("look");
                client
                    .ask(&Call {
                        function: 1_000 + call.n,
                        ..call
                    })
                    .await;
            }
            for _ in 0..10 {
                answer(&mut client).await;
            }
            pass(100).await;
        }
        pass(20_000).await;
        stage.invokers.clear();
        let (sizes, clients, in_flight) = stage.sizes();
        assert_eq!(
            (clients, in_flight, sizes.jobs, sizes.bytes),
            ((0, 0), 0, 0, 0)
        );
        assert_eq!(sizes.pools, 10, "only those that are listed");
        assert!(sizes.lines <= 10, "{sizes:?}");
    });
}

/// What the module takes for load is what has arrived at each invoker and is not answered.
#[test]
fn what_is_believed_to_be_out_is_at_the_invokers() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
        let mut client = stage.client().await;
        let asked = |w: u32| {
            let arrived = stage.invokers[&w].arrived.borrow();
            arrived
                .iter()
                .filter(|a| a.fields.contains_key("x-txn"))
                .count()
        };
        for _ in 0..3 {
            client.ask(&stage.call("look")).await;
            answer(&mut client).await;
        }
        let before = [asked(1), asked(2)];
        for _ in 0..9 {
            client.ask(&stage.call("look")).await;
        }
        pass(10).await;
        let beliefs = stage
            .handle
            .inspect(|s| s.policy.invoker_views(s.invocations.now));
        let out: Vec<usize> = beliefs.iter().map(|b| b.in_flight as usize).collect();
        assert_eq!(out, [asked(1) - before[0], asked(2) - before[1]]);
        assert_eq!(out.iter().sum::<usize>(), 9);
        assert!(beliefs.iter().all(|b| !b.is_ejected && b.error_rate == 0.0));
        pass(200).await;
        let beliefs = stage
            .handle
            .inspect(|s| s.policy.invoker_views(s.invocations.now));
        assert!(beliefs.iter().all(|b| b.in_flight == 0), "{beliefs:?}");
    });
}

/// Found on sockets: what the module answered in a timer's turn stayed in the tables, its input with it.
#[test]
fn what_is_given_up_after_a_wait_is_forgotten_as_well() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
        stage
            .invokers
            .values()
            .for_each(|i| i.spoilt.set(Spoilt::Miss));
        let mut client = stage.client().await;
        for n in 0..30 {
            client
                .ask(&Call {
                    function: 5_000 + n,
                    limit_ms: 800,
                    body: vec![1; 100],
                    ..stage.call("look")
                })
                .await;
        }
        for _ in 0..30 {
            assert_eq!(answer(&mut client).await.code, Code::Throttled as u8);
        }
        pass(100).await;
        let (sizes, _, in_flight) = stage.sizes();
        assert_eq!((in_flight, sizes.bytes, sizes.jobs), (0, 0, 0));
    });
}

/// Hundreds connect at once and say nothing, and invokers never answer: the limit on descriptors holds.
#[test]
fn a_low_limit_on_descriptors_holds_in_a_crowd() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1, 2], 64).await;
        let budget = stage.handle.config.budget;
        stage
            .invokers
            .values()
            .for_each(|i| i.spoilt.set(Spoilt::Silent));
        let mut crowd = Vec::new();
        for _ in 0..300 {
            crowd.push(stage.client().await);
        }
        let mut usual = stage.client().await;
        for _ in 0..32 {
            usual
                .ask(&Call {
                    limit_ms: 1_500,
                    ..stage.call("look")
                })
                .await;
        }
        for _ in 0..20 {
            pass(20).await;
            let (sizes, clients, _) = stage.sizes();
            assert!(sizes.lines <= budget.lines, "{sizes:?} of {budget:?}");
            // Those that are cut off have a moment for their last words; nobody had any here.
            assert!(clients.0 <= budget.clients + 1, "{clients:?} of {budget:?}");
        }
        for _ in 0..32 {
            assert_ne!(answer(&mut usual).await.code, Code::Succeeded as u8);
        }
        drop(crowd);
        assert_eq!(stage.broken(), [0u8; 0]);
    });
}

#[test]
fn told_to_end_it_takes_what_still_comes_and_answers_all() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
        let mut old = stage.client().await;
        old.ask(&stage.call("look")).await;
        pass(5).await;
        let handle = stage.handle.clone();
        let ending = spawn_local(async move { leave(&handle).await });
        pass(300).await;
        let mut new = stage.client().await;
        new.ask(&stage.call("look")).await;
        pass(200).await;
        old.ask(&stage.call("book")).await;
        ending.await.unwrap();
        let mut heard = Vec::new();
        for _ in 0..3 {
            heard.push(old.hear().await);
        }
        assert!(heard.contains(&Some(Heard::GoAway)), "{heard:?}");
        let answers = heard
            .iter()
            .filter(|h| matches!(h, Some(Heard::Answer(_))))
            .count();
        assert_eq!(answers, 2, "{heard:?}");
        assert_eq!(
            new.hear().await,
            Some(Heard::GoAway),
            "who came later hears it too"
        );
        answer(&mut new).await;
        let late = stage.network.dial(&Address::Tcp(here().to_string())).await;
        assert!(late.is_err(), "the door is shut");
        assert_eq!(stage.broken(), [0u8; 0]);
    });
}

/// A mixed load with invokers that drain, die and spoil answers.
async fn busy(stage: &Stage, rounds: u64) {
    let mut client = stage.client().await;
    for round in 0..rounds {
        for trigger in ["look", "book", "charge"] {
            client
                .ask(&Call {
                    limit_ms: 1_000,
                    ..stage.call(trigger)
                })
                .await;
        }
        let spoilt = [
            Spoilt::No,
            Spoilt::ShortBody,
            Spoilt::No,
            Spoilt::Miss,
            Spoilt::No,
            Spoilt::ResetAfterReading,
        ];
        stage.invokers[&((round % 2) as u32 + 1)]
            .spoilt
            .set(spoilt[round as usize % spoilt.len()]);
        if round == rounds / 2 {
            stage.feed.say(
                2,
                Event::Changes(vec![listing(
                    1,
                    invoker_at(1),
                    InvokerStatus::Draining,
                    None,
                )]),
            );
            let started = Some(UNIX_MS + stage.clock.now() / 10 - 3_600_000);
            stage.feed.say(
                3,
                Event::Changes(vec![listing(
                    3,
                    invoker_at(3),
                    InvokerStatus::Ready,
                    started,
                )]),
            );
        }
        let _ = tokio::time::timeout(Duration::from_millis(60), async {
            while client.hear().await.is_some() {}
        })
        .await;
    }
    let _ = tokio::time::timeout(Duration::from_millis(2_500), async {
        while client.hear().await.is_some() {}
    })
    .await;
}

#[test]
fn the_five_rules_hold_on_the_traffic_of_bad_peers() {
    staged(|| async {
        let mut stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
        stage.invoker(3, invoker_at(3));
        busy(&stage, 120).await;
        let arrived: usize = stage
            .invokers
            .values()
            .map(|i| i.arrived.borrow().len())
            .sum();
        assert!(arrived > 200, "{arrived}");
        assert_eq!(stage.broken(), [0u8; 0]);
    });
}

/// How a module is made to break a rule.
#[derive(Clone, Copy, PartialEq)]
enum Rash {
    AnswersNothing,
    RunsAgain,
    OrdersAtWill,
    FloodsColdOnes,
}

thread_local! {
    static RASH: Cell<Rash> = const { Cell::new(Rash::RunsAgain) };
}

impl Policy for Rash {
    fn invokers_changed(&mut self, _: Ticks, _: bool, _: &[InvokerRecord]) {}
    fn invocation_arrived(&mut self, _: Ticks, call: Invocation, acts: &mut dyn Actions) {
        match self {
            Self::AnswersNothing => return,
            Self::OrdersAtWill => (0..4).for_each(|_| acts.load(2, call.function, 1)),
            Self::RunsAgain | Self::FloodsColdOnes => {}
        }
        acts.dispatch(
            call.id,
            if *self == Self::FloodsColdOnes { 3 } else { 2 },
            0,
        );
    }
    fn client_left(&mut self, _: Ticks, _: InvocationId) {}
    fn attempt_ended(&mut self, _: Ticks, a: AttemptResult, acts: &mut dyn Actions) {
        if !a.finished && *self == Self::RunsAgain && a.attempt == 0 {
            acts.dispatch(a.invocation, 1, 0);
        } else if !a.finished {
            acts.error(a.invocation);
        }
    }
    fn load_ended(&mut self, _: Ticks, _: LoadResult, _: &mut dyn Actions) {}
    fn timer_fired(&mut self, _: Ticks, _: u64, _: &mut dyn Actions) {}
}

#[test]
fn the_checker_catches_each_planted_fault() {
    for (rash, rule) in [
        (Rash::AnswersNothing, 1),
        (Rash::RunsAgain, 2),
        (Rash::OrdersAtWill, 5),
    ] {
        staged(|| async move {
            RASH.set(rash);
            let stage = Stage::new(|_, _, _, _| Box::new(RASH.get()), &[1, 2], 256).await;
            let mut client = stage.client().await;
            stage.invokers[&2].spoilt.set(Spoilt::ShortBody);
            for _ in 0..10 {
                client
                    .ask(&Call {
                        limit_ms: 500,
                        ..stage.call("book")
                    })
                    .await;
            }
            let _ = tokio::time::timeout(Duration::from_millis(1_500), async {
                while client.hear().await.is_some() {}
            })
            .await;
            assert!(stage.broken().contains(&rule), "rule {rule}");
        });
    }
}

#[test]
fn the_checker_catches_what_comes_late_to_one_that_drains() {
    staged(|| async {
        // The module hears nothing of it: the news is noted, and never written.
        let stage = Stage::new(first, &[1], 256).await;
        let (at, who) = (stage.clock.now(), WHO);
        stage.record.note(Line::Told {
            at,
            who,
            invoker: 1,
            incarnation: 0,
            life: "draining".into(),
        });
        pass(400).await;
        let mut client = stage.client().await;
        client.ask(&stage.call("look")).await;
        answer(&mut client).await;
        assert_eq!(stage.broken(), [3]);
    });
}

/// A gateway that does not care who still waits, as a record of its traffic.
#[test]
fn the_checker_catches_what_is_sent_on_for_who_has_left() {
    for (after, caught) in [(100, false), (101, true)] {
        let (of, at) = (
            saltdrum_fakes::record::Try { n: 1, attempt: 0 },
            1_000 * MILLISECOND,
        );
        let sent_on = at + after * MILLISECOND;
        let (invoker, invocation, hop, trigger) = (1, 1, 0, "look".to_owned());
        let lines = [
            stated(),
            Line::HungUp { at, of },
            Line::Dispatched {
                at: sent_on,
                earliest: sent_on,
                invoker,
                who: WHO,
                invocation,
                hop,
                of,
                trigger,
            },
        ];
        assert_eq!(
            !sent_on_after_leaving(&lines).is_empty(),
            caught,
            "{after} ms"
        );
    }
}

/// A gateway that hands the output of one to another: two clients whose streams it has exchanged.
#[test]
fn the_checker_catches_a_limit_that_is_too_long() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1], 256).await;
        let mut client = stage.client().await;
        let call = stage.call("look");
        client.ask(&call).await;
        answer(&mut client).await;
        assert_eq!(stage.invokers[&1].limit_faults.borrow().len(), 0);
        pass(500).await;
        let mut line = stage
            .network
            .dial(&Address::Tcp(invoker_at(1).to_string()))
            .await
            .unwrap();
        let late = format!(
            "GET /obj/look HTTP/1.1\r\nX-Txn: {}\r\nX-Limit-Ms: 1900\r\n\r\n",
            call.txn()
        );
        line.write_all(late.as_bytes()).await.unwrap();
        pass(100).await;
        assert!(stage.broken().contains(&8));
    });
}

#[test]
fn the_checker_catches_outputs_that_are_anothers() {
    for exchanged in [false, true] {
        staged(|| async move {
            let stage = Stage::new(first, &[1], 256).await;
            let (mut client, mut other) = (stage.client().await, stage.client().await);
            for one in [&mut client, &mut other] {
                one.ask(&stage.call("look")).await;
            }
            if exchanged {
                std::mem::swap(&mut client.stream, &mut other.stream);
            }
            for one in [&mut client, &mut other] {
                answer(one).await;
            }
            assert_eq!(stage.broken(), if exchanged { vec![7] } else { vec![] });
        });
    }
}

#[test]
fn the_checker_catches_who_floods_a_cold_one() {
    staged(|| async {
        RASH.set(Rash::FloodsColdOnes);
        let mut stage = Stage::new(|_, _, _, _| Box::new(RASH.get()), &[], 1_024).await;
        stage.invoker(3, invoker_at(3));
        let (at, invoker) = (stage.clock.now(), 3);
        stage.record.note(Line::Invoker {
            at,
            invoker,
            incarnation: 1,
            up: true,
            cold: true,
        });
        let started = Some(UNIX_MS);
        stage.feed.say(
            2,
            Event::Changes(vec![listing(
                3,
                invoker_at(3),
                InvokerStatus::Ready,
                started,
            )]),
        );
        pass(20).await;
        let mut client = stage.client().await;
        for _ in 0..400 {
            for _ in 0..10 {
                let call = stage.call("look");
                stage.record.note(Line::Sent {
                    at: stage.clock.now(),
                    who: WHO,
                    of: saltdrum_fakes::record::Try {
                        n: call.n,
                        attempt: 0,
                    },
                    tenant: String::new(),
                    trigger: "look".into(),
                    function: String::new(),
                    timeout: 20_000,
                    work: 40 * MILLISECOND,
                });
                client.ask(&call).await;
            }
            pass(4).await;
            for _ in 0..10 {
                answer(&mut client).await;
            }
        }
        assert!(stage.broken().contains(&4));
    });
}
