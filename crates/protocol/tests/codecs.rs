//! The codecs of frames and JSON-RPC lines: arbitrary and corrupted input, and round trips.

use bytes::{BufMut, BytesMut};
use proptest::prelude::*;
use saltdrum_protocol::frame::{MAX_FRAME_BYTES, encode, take_frame};
use saltdrum_protocol::invoker::{
    Answer, Dispatch, Ended, Found, FromController, FromInvoker, Hello, Load, negotiate_version,
};
use saltdrum_protocol::{Malformed, list, rpc, store};
use serde_bytes::ByteBuf;

fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn decodes_or_rejects_arbitrary_bytes_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some((kind, body))) = take_frame(&mut buffer) {
            let _ = FromController::read(kind, &body);
            let _ = FromInvoker::read(kind, &body);
            let _ = list::FromList::read(kind, &body);
            let _ = store::ToStore::read(kind, &body);
        }
        let _ = rpc::parse_line(&bytes);
    }

    #[test]
    fn decodes_or_rejects_corrupted_frames_without_panic(position in 5usize..60, bit in 0u8..8, end in 5usize..90) {
        let mut bytes = encoded_dispatch(7).to_vec();
        let position = position % bytes.len();
        bytes[position] ^= 1 << bit;
        bytes.truncate(end);
        let _ = FromController::read(bytes[4], &bytes[5..]);
    }

    #[test]
    fn decodes_frames_from_a_stream_split_anywhere(ids in proptest::collection::vec(1u64..9, 1..8), step in 1usize..40) {
        let sent: Vec<u8> = ids.iter().flat_map(|id| encoded_dispatch(*id)).collect();
        let (mut buffer, mut received) = (BytesMut::new(), Vec::new());
        for part in sent.chunks(step) {
            buffer.put_slice(part);
            while let Some((kind, body)) = take_frame(&mut buffer).unwrap() {
                match FromController::read(kind, &body).unwrap() {
                    FromController::Dispatch(dispatch) => received.push(dispatch.dispatch),
                    other => panic!("{other:?}"),
                }
            }
        }
        prop_assert_eq!(received, ids);
    }

    #[test]
    fn error_response_repeats_the_request_id(id in "(-?[1-9][0-9]{0,6}(\\.[0-9])?|\"[a-z ]{0,5}\"|null)") {
        let line = format!(r#"{{"jsonrpc":"2.0","method":"status","id":{id}}}"#);
        let Ok(rpc::Line::Single(Ok(call))) = rpc::parse_line(line.as_bytes()) else { panic!("{line}") };
        let id_read = call.id.expect("an id, null included");
        prop_assert_eq!(id_read.as_str(), &id);
        let reply = rpc::format_error(&id_read, -1, "wh\"y", None);
        let reply: rpc::Reply = serde_json::from_str(&reply).unwrap();
        prop_assert_eq!(reply.id.get(), id);
    }
}

fn encoded_dispatch(id: u64) -> bytes::Bytes {
    encode(&Dispatch {
        dispatch: id,
        invocation: 3,
        hop: 0,
        function: 9,
        name: "f".into(),
        tenant: "t".into(),
        trigger: "g".into(),
        left_tenths: 12_000,
        token: None,
        input: ByteBuf::from(b"{}".to_vec()),
    })
}

#[test]
fn answer_round_trips_through_its_encoding() {
    let load = Load {
        cores_busy: Some(0.5),
        waiting: None,
    };
    let answer = Answer {
        dispatch: 1,
        ended: Ended::Full,
        found: Some(Found::JoinedLoad),
        crowd: Some(3),
        load,
        output: ByteBuf::new(),
    };
    let bytes = encode(&answer);
    assert_eq!(
        FromInvoker::read(bytes[4], &bytes[5..]),
        Ok(FromInvoker::Answer(answer))
    );
}

#[test]
fn frame_errors_name_the_problem_and_its_place() {
    let frame_error = |bytes: &[u8]| {
        take_frame(&mut BytesMut::from(bytes))
            .unwrap_err()
            .to_string()
    };
    assert_eq!(
        frame_error(&[0, 0, 0, 0, 1]),
        "frame of 0 bytes: a kind byte is expected"
    );
    assert!(frame_error(&[255, 255, 255, 255]).contains(&format!("at most {MAX_FRAME_BYTES}")));
    assert!(
        FromInvoker::read(2, &[])
            .unwrap_err()
            .to_string()
            .contains("kind 2")
    );
    let trailing = FromController::read(3, &[0x91, 5, 5])
        .unwrap_err()
        .to_string();
    assert_eq!(trailing, "body of a 'Cancel' frame: 1 bytes after its end");
    let hello = |min, max| Hello {
        version_least: min,
        version_most: max,
        controller: 0,
        incarnation: 0,
        invoker: 0,
    };
    assert_eq!(negotiate_version(&hello(1, 9)), Ok(1));
    assert_eq!(
        negotiate_version(&hello(2, 9)),
        Err(Malformed::Version {
            least: 2,
            most: 9,
            ours: 1
        })
    );
}

#[test]
fn rejects_calls_that_violate_json_rpc_and_repeats_their_id() {
    let rejection = |line: &str| match rpc::parse_line(line.as_bytes()) {
        Err(rejected) | Ok(rpc::Line::Single(Err(rejected))) => {
            (rejected.code, rejected.id.as_str().to_owned())
        }
        other => panic!("{line}: {other:?}"),
    };
    assert_eq!(
        rejection("{\"jsonrpc\":"),
        (rpc::PARSE_ERROR, "null".into())
    );
    assert_eq!(rejection("[]"), (rpc::INVALID_REQUEST, "null".into()));
    assert_eq!(rejection("7"), (rpc::INVALID_REQUEST, "null".into()));
    assert_eq!(
        rejection(r#"{"jsonrpc":"1.0","method":"a","id":4}"#),
        (rpc::INVALID_REQUEST, "4".into())
    );
    assert_eq!(
        rejection(r#"{"jsonrpc":"2.0","method":7,"id":"x"}"#),
        (rpc::INVALID_REQUEST, "\"x\"".into())
    );
    assert_eq!(
        rejection(r#"{"jsonrpc":"2.0","method":"a","id":{}}"#),
        (rpc::INVALID_REQUEST, "null".into())
    );
    assert_eq!(
        rejection(r#"{"jsonrpc":"2.0","method":"a","params":3,"id":1}"#),
        (rpc::INVALID_REQUEST, "1".into())
    );
    let Ok(rpc::Line::Single(Ok(call))) = rpc::parse_line(br#"{"jsonrpc":"2.0","method":"a"}"#)
    else {
        panic!()
    };
    assert!(call.id.is_none());
    let Ok(rpc::Line::Batch(parts)) =
        rpc::parse_line(br#"[1,{"jsonrpc":"2.0","method":"a","id":null}]"#)
    else {
        panic!()
    };
    assert!(parts[0].is_err() && parts[1].as_ref().is_ok_and(|call| call.id.is_some()));
}
