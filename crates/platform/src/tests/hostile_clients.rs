//! Clients that send malformed data, reuse ids or disconnect.

use super::support::*;
use saltdrum_controller::dispatch_policy;
use saltdrum_fakes::platform::{Call, ServerFrame};
use saltdrum_platform_wire::frames::{self, Code};
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Byte sequences that no client may send.
fn malformed_inputs() -> Vec<Vec<u8>> {
    let valid = Call {
        number: 900,
        attempt: 0,
        trigger: "look".into(),
        function: 0xf1,
        timeout_ms: 1_000,
        token: None,
        body: vec![],
    };
    let request_with = |name: &str, value: Option<&str>| {
        let (txn, mut fields) = (valid.txn(), Vec::new());
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
    let mut inputs = vec![
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
        valid.frame(1)[..40].to_vec(),
        Call {
            body: vec![0; 17 << 10],
            ..valid.clone()
        }
        .frame(1)
        .to_vec(),
        Call {
            trigger: "charge".into(),
            ..valid.clone()
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
        inputs.extend(values.into_iter().map(|value| request_with(name, value)));
    }
    inputs
}

#[test]
fn malformed_clients_are_answered_or_closed_and_affect_nobody_else() {
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1, 2], 256).await;
        let mut normal = controller.connect_client().await;
        for (index, input) in malformed_inputs().into_iter().enumerate() {
            let mut client = controller.connect_client().await;
            let wrote = client.stream.write_all(&input).await;
            let heard =
                tokio::time::timeout(Duration::from_millis(2_900), client.next_frame()).await;
            match heard {
                Ok(None) => {}
                Ok(Some(ServerFrame::Response(a))) => {
                    assert_ne!(a.code, Code::Succeeded as u8, "input {index}")
                }
                other => panic!("input {index}: {other:?} after {wrote:?}"),
            }
            normal.invoke(&controller.new_call("look")).await;
            expect_response(&mut normal).await;
        }
        // A connection without any frame is closed, and so is one that is idle after its invocations.
        let mut silent = controller.connect_client().await;
        assert_eq!(
            tokio::time::timeout(Duration::from_millis(2_900), silent.next_frame()).await,
            Ok(None)
        );
        let notification =
            tokio::time::timeout(Duration::from_millis(8_000), normal.next_frame()).await;
        assert_eq!(
            notification,
            Ok(Some(ServerFrame::GoAway)),
            "the client is notified before its connection is closed"
        );
        assert_eq!(
            tokio::time::timeout(Duration::from_millis(300), normal.next_frame()).await,
            Ok(None)
        );
        let arrived: Vec<u64> = controller
            .invokers
            .values()
            .flat_map(|i| i.requests.borrow().clone())
            .filter_map(|request| u64::from_str_radix(request.fields.get("x-txn")?, 16).ok())
            .collect();
        assert!(
            arrived.iter().all(|txn| txn >> 8 < 900),
            "a malformed request reached an invoker: {arrived:x?}"
        );
        assert_eq!(controller.broken_rules(), [0u8; 0]);
    });
}

#[test]
fn rejects_duplicate_open_transaction_and_streams_over_the_limit() {
    run_test(|| async {
        let controller = TestController::new(first_invoker_policy, &[1], 256).await;
        let (mut one, mut other) = (
            controller.connect_client().await,
            controller.connect_client().await,
        );
        let call = controller.new_call("look");
        one.invoke(&call).await;
        sleep_ms(1).await;
        other
            .invoke(&Call {
                body: vec![1],
                ..call.clone()
            })
            .await;
        assert_eq!(expect_response(&mut other).await.code, Code::Errored as u8);
        assert_eq!(expect_response(&mut one).await.code, Code::Succeeded as u8);
        assert_eq!(controller.invokers[&1].requests.borrow().len(), 1);
        for _ in 0..40 {
            one.invoke(&controller.new_call("look")).await;
        }
        let mut codes = Vec::new();
        for _ in 0..40 {
            codes.push(expect_response(&mut one).await.code);
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
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1], 256).await;
        // Once the list is current no invoker is probed: the only connection is that of the attempt.
        sleep_ms(LIST_CURRENT_MS).await;
        let mut client = controller.connect_client().await;
        client.invoke(&controller.new_call("look")).await;
        expect_response(&mut client).await;
        sleep_ms(CONNECTION_REUSABLE_MS).await;
        let stream = client.invoke(&controller.new_call("look")).await;
        sleep_ms(10).await;
        client.cancel(stream).await;
        sleep_ms(10).await;
        assert_eq!(controller.sizes().2, 0, "the invocation was removed");
        assert_eq!(
            controller.invokers[&1].connections.get(),
            0,
            "its connection is closed"
        );
        assert_eq!(controller.broken_rules(), [0u8; 0]);
    });
}

/// Guards against clients that send small frames at full speed and delay the requests and responses of others: all frames
/// of a read, up to 1,820, were handled before any other task ran.
#[test]
fn frames_of_flooding_clients_are_handled_a_few_at_a_time() {
    const FLOODING_CLIENTS: u32 = 10;
    run_test(|| async {
        let controller = TestController::new(first_invoker_policy, &[1], 256).await;
        let clients = &controller.handle.config.clients;
        let queries: Vec<u8> = (1..=800)
            .flat_map(|stream| frames::encode_empty(32, stream).to_vec())
            .collect();
        let mut flooding = Vec::new();
        for _ in 0..FLOODING_CLIENTS {
            flooding.push(controller.connect_client().await);
        }
        let mut usual = controller.connect_client().await;
        sleep_ms(10).await;
        for client in &mut flooding {
            client.stream.write_all(&queries).await.unwrap();
        }
        let handled_before = clients.frames_read();
        usual.invoke(&controller.new_call("look")).await;
        while controller.sizes().2 == 0 {
            tokio::task::yield_now().await;
        }
        let handled_first = clients.frames_read() - handled_before;
        assert!(
            handled_first <= 100 * u64::from(FLOODING_CLIENTS),
            "{handled_first} frames were handled before the request"
        );
        expect_response(&mut usual).await;
    });
}
