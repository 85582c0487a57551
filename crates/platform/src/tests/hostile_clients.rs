//! Clients that send malformed data, reuse ids, or leave.

use super::support::*;
use saltdrum_controller::dispatch_policy;
use saltdrum_fakes::platform::{Call, Heard};
use saltdrum_platform_wire::frames::{self, Code};
use std::time::Duration;
use tokio::io::AsyncWriteExt;

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
        frames::encode_invoke(1, &fields, &[]).to_vec()
    };
    let mut all = vec![
        vec![0; 4],
        vec![0xff; 64],
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        [60_000_000u32.to_be_bytes().to_vec(), vec![16; 100_000]].concat(),
        [3u32.to_be_bytes().to_vec(), vec![16; 9]].concat(),
        [9u32.to_be_bytes().to_vec(), vec![77; 9]].concat(),
        frames::encode_invoke(1, &[], &[]).to_vec(),
        frames::encode_invoke(1, &[("verb", "look"), ("verb", "look")], &[]).to_vec(),
        [
            frames::encode_invoke(1, &[], &[]).to_vec(),
            frames::encode_invoke(1, &[], &[]).to_vec(),
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
fn malformed_clients_are_answered_or_closed_and_affect_nobody_else() {
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
fn rejects_duplicate_open_transaction_and_streams_over_the_limit() {
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
fn cancels_attempt_when_client_leaves() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1], 256).await;
        // Once the list was heard no invoker is probed: the only connection is that of the attempt.
        pass(LIST_HEARD).await;
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
