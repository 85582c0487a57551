//! Both codecs under arbitrary bytes, and there and back.

use bytes::{BufMut, BytesMut};
use proptest::prelude::*;
use saltdrum_protocol::frame::{MAX_FRAME_BYTES, encode, take_frame};
use saltdrum_protocol::invoker::{
    Answer, Dispatch, Ended, Found, FromController, FromInvoker, Hello, Load, negotiate_version,
};
use saltdrum_protocol::{Malformed, list, rpc, store};
use serde_bytes::ByteBuf;

fn fixed() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn arbitrary_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut read = BytesMut::from(&bytes[..]);
        while let Ok(Some((kind, body))) = take_frame(&mut read) {
            let _ = FromController::read(kind, &body);
            let _ = FromInvoker::read(kind, &body);
            let _ = list::FromList::read(kind, &body);
            let _ = store::ToStore::read(kind, &body);
        }
        let _ = rpc::parse_line(&bytes);
    }

    #[test]
    fn bent_frames_are_read_or_refused(at in 5usize..60, bit in 0u8..8, end in 5usize..90) {
        let mut bytes = dispatch(7).to_vec();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        bytes.truncate(end);
        let _ = FromController::read(bytes[4], &bytes[5..]);
    }

    #[test]
    fn frames_come_through_any_cut_of_the_stream(ids in proptest::collection::vec(1u64..9, 1..8), step in 1usize..40) {
        let sent: Vec<u8> = ids.iter().flat_map(|id| dispatch(*id)).collect();
        let (mut read, mut got) = (BytesMut::new(), Vec::new());
        for part in sent.chunks(step) {
            read.put_slice(part);
            while let Some((kind, body)) = take_frame(&mut read).unwrap() {
                match FromController::read(kind, &body).unwrap() {
                    FromController::Dispatch(d) => got.push(d.dispatch),
                    other => panic!("{other:?}"),
                }
            }
        }
        prop_assert_eq!(got, ids);
    }

    #[test]
    fn json_like_lines_are_answered_with_their_id(id in "(-?[1-9][0-9]{0,6}(\\.[0-9])?|\"[a-z ]{0,5}\"|null)") {
        let line = format!(r#"{{"jsonrpc":"2.0","method":"status","id":{id}}}"#);
        let Ok(rpc::Line::Single(Ok(call))) = rpc::parse_line(line.as_bytes()) else { panic!("{line}") };
        let id_read = call.id.expect("an id, null included");
        prop_assert_eq!(id_read.as_str(), &id);
        let reply = rpc::format_error(&id_read, -1, "wh\"y", None);
        let reply: rpc::Reply = serde_json::from_str(&reply).unwrap();
        prop_assert_eq!(reply.id.get(), id);
    }
}

fn dispatch(id: u64) -> bytes::Bytes {
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
fn an_answer_comes_back_as_it_was() {
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
fn what_is_wrong_with_a_frame_is_said() {
    let cut_of = |bytes: &[u8]| {
        take_frame(&mut BytesMut::from(bytes))
            .unwrap_err()
            .to_string()
    };
    assert_eq!(
        cut_of(&[0, 0, 0, 0, 1]),
        "frame of 0 bytes: a kind byte is expected"
    );
    assert!(cut_of(&[255, 255, 255, 255]).contains(&format!("at most {MAX_FRAME_BYTES}")));
    assert!(
        FromInvoker::read(2, &[])
            .unwrap_err()
            .to_string()
            .contains("kind 2")
    );
    let long = FromController::read(3, &[0x91, 5, 5])
        .unwrap_err()
        .to_string();
    assert_eq!(long, "body of a 'Cancel' frame: 1 bytes after its end");
    let hello = |least, most| Hello {
        version_least: least,
        version_most: most,
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
fn calls_follow_the_specification() {
    let refusal = |line: &str| match rpc::parse_line(line.as_bytes()) {
        Err(r) | Ok(rpc::Line::Single(Err(r))) => (r.code, r.id.as_str().to_owned()),
        other => panic!("{line}: {other:?}"),
    };
    assert_eq!(refusal("{\"jsonrpc\":"), (rpc::PARSE_ERROR, "null".into()));
    assert_eq!(refusal("[]"), (rpc::INVALID_REQUEST, "null".into()));
    assert_eq!(refusal("7"), (rpc::INVALID_REQUEST, "null".into()));
    assert_eq!(
        refusal(r#"{"jsonrpc":"1.0","method":"a","id":4}"#),
        (rpc::INVALID_REQUEST, "4".into())
    );
    assert_eq!(
        refusal(r#"{"jsonrpc":"2.0","method":7,"id":"x"}"#),
        (rpc::INVALID_REQUEST, "\"x\"".into())
    );
    assert_eq!(
        refusal(r#"{"jsonrpc":"2.0","method":"a","id":{}}"#),
        (rpc::INVALID_REQUEST, "null".into())
    );
    assert_eq!(
        refusal(r#"{"jsonrpc":"2.0","method":"a","params":3,"id":1}"#),
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
    assert!(parts[0].is_err() && parts[1].as_ref().is_ok_and(|c| c.id.is_some()));
}
