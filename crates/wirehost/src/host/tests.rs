use super::*;
use crate::codec::read_frame;
use saltdrum::interface::Actions;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap();
    digits.chunks(2).map(pair).collect()
}

fn frame(records: &[&[u8]]) -> Vec<u8> {
    let body = records.concat();
    let mut out = (records.len() as u32).to_le_bytes().to_vec();
    out.extend(((16 + body.len()) as u32).to_le_bytes());
    out.extend(8_412.25f64.to_le_bytes());
    out.extend(body);
    out
}

const INFO: &str = "balancers=2\nbounds.cancel=true\nbounds.max_retry_after_ms=500.0\n\
    bounds.parallel_tries=false\nbounds.probing=true\nbounds.retry_after=true\nbounds.try_limit=6\n\
    classes.count=1\nclasses.0.aim_ms=1200.0\nclasses.0.effect=safe\nclasses.0.give_up_ms=5000.0\n\
    classes.0.key_scope=all\nclasses.0.late_share=0.3\nclasses.0.repeat_window_ms=5000.0\n\
    classes.0.worth=1.0\nfamily_info.kind_memory_mb=105664.0,84672.0\nfamily_info.linger_idle_ms=8900.0\n\
    family_info.load_share=0.0\nfamily_info.load_window_ms=0.0\nfamily_info.loads_anyway=0.0\n\
    family_info.may_order=true\nfamily_info.not_loaded=load\nfamily_info.some_new_key=?\n\
    over_share_worth=0.1\nreporting.fields=util\nrules.cold_from=0.19\nrules.cold_ms=16000.0\n\
    rules.drain_grace_ms=250.0\nrules.overload_factor=2.5\nrules.tip_after_ms=1500.0\ntick_ms=4.0\nzone=0\n";

fn start_record(id: u32, info: &str) -> Vec<u8> {
    let mut record = vec![11];
    record.extend(id.to_le_bytes());
    record.extend(5u64.to_le_bytes());
    record.extend((info.len() as u32).to_le_bytes());
    record.extend(info.as_bytes());
    record
}

const LIST_RECORD: &str = "04 03000000 00 29000000 02000000 \
    074a1203 00 0000 0000 01 0000803f 0000000000000000 \
    f211902c 00 0000 0000 01 0000c03f 0000000000d4b740";
const INVOCATION_RECORD: &str = "09 03000000 c4913a5d 0000 00000000 010ad2557c000000 0000000020e6c040 \
    0000000000002840 0000c043 00000040 00006144 01";

#[test]
fn empty_frame_gets_an_empty_reply() {
    let empty = bytes("00000000 10000000 00000000206ec040");
    assert_eq!(
        Host::default().frame(&empty),
        Ok(bytes("00000000 08000000"))
    );
}

#[test]
fn encodes_the_example_actions_byte_for_byte() {
    let mut reply = Reply::default();
    let mut writer = ActionWriter {
        reply: &mut reply,
        controller: 3,
    };
    writer.dispatch(0x5d3a91c4, 0x03124a07, 800);
    writer.set_timer(84_165, 77);
    writer.log("two servers known");
    let expected = "03000000 4a000000 01 03000000 c4913a5d 074a1203 0000000000005440 \
        05 03000000 000000002068c140 4d00000000000000";
    let mut actual = reply.finish();
    // The example's timer is at 8912.25 ms, between two ticks of 0.1 ms: the time is rounded down.
    actual[34..42].copy_from_slice(&8_912.25f64.to_le_bytes());
    assert_eq!(&actual[..50], &bytes(expected)[..]);
    assert_eq!(
        &actual[50..],
        &bytes("09 03000000 1100 74776f2073657276657273206b6e6f776e")[..]
    );
    let mut writer = ActionWriter {
        reply: &mut reply,
        controller: 3,
    };
    writer.throttle(0x0e6f2b19, 2_500);
    writer.error(0x0e6f2b19);
    writer.cancel(0x5d3a91c4, 0);
    writer.probe(0x2c9011f2);
    writer.unload(0x03124a07, 0x7c55d20a01);
    writer.load(0x2c9011f2, 0x7c55d20a01, 1);
    let expected = "06000000 64000000 02 03000000 192b6f0e 0000000000406f40 03 03000000 192b6f0e \
        04 03000000 c4913a5d 00 06 03000000 f211902c 0e 03000000 074a1203 010ad2557c000000 \
        0d 03000000 010ad2557c000000 01 f211902c";
    let mut expected = bytes(expected);
    expected[4] = expected.len() as u8;
    assert_eq!(reply.finish(), expected);
}

#[test]
fn handles_the_example_events() {
    let mut host = Host::default();
    let first = frame(&[
        &start_record(3, INFO),
        &bytes(LIST_RECORD),
        &bytes(INVOCATION_RECORD),
    ]);
    let reply = host.frame(&first).unwrap();
    let dispatch = bytes("01 03000000 c4913a5d");
    assert!(reply.windows(dispatch.len()).any(|part| part == dispatch));
    let records = [
        "03 03000000 192b6f0e",
        "0a 03000000 0000000000008440 01 00 010ad2557c000000 f211902c",
        "08 03000000 666666666666f63f f211902c 00 01 52b81e3f",
        "07 03000000 c4913a5d 074a1203 01 00 00 00 0000000000803240 00",
        "07 03000000 c4913a5d 074a1203 01 00 00 00 0000000000803240 00",
        "06 03000000 c4913a5d 0000000000802240 00 074a1203",
        "02 03000000 4d00000000000000",
        "05 03000000 02000000 0400 68692037",
        "01 03000000",
    ]
    .map(bytes);
    let mut records: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
    let restart = start_record(3, INFO);
    records.push(&restart);
    host.frame(&frame(&records)).unwrap();
    assert_eq!(host.instances.len(), 1);
}

#[test]
fn errors_state_the_position_of_bad_input() {
    let error = |records: &[&[u8]]| {
        Host::default()
            .frame(&frame(records))
            .unwrap_err()
            .to_string()
    };
    let (start_record, invocation) = (start_record(3, INFO), bytes(INVOCATION_RECORD));
    assert!(error(&[&start_record, &invocation[..40]]).starts_with("record 1 at byte"));
    assert!(error(&[&invocation]).contains("unknown instance 3"));
    assert!(error(&[&[77, 3, 0, 0, 0]]).contains("unknown event code 77"));
    assert!(
        error(&[&start_record, &bytes("04 03000000 00 29000000 ffffffff")])
            .contains("invoker needs 4 bytes")
    );
    let missing = INFO.replace("tick_ms=4.0\n", "");
    assert!(
        error(&[&super::tests::start_record(3, &missing)]).contains("setting tick_ms: missing")
    );
    let unreadable = INFO.replace("tick_ms=4.0", "tick_ms=soon");
    assert!(
        error(&[&super::tests::start_record(3, &unreadable)])
            .contains("setting tick_ms: cannot read")
    );
    let mut read = Vec::new();
    assert!(
        read_frame(
            &mut &bytes("00000000 07000000 0000000000000000")[..],
            &mut read
        )
        .is_err()
    );
    assert!(
        read_frame(
            &mut &bytes("00000000 ffffffff 0000000000000000")[..],
            &mut read
        )
        .is_err()
    );
    assert_eq!(read_frame(&mut &[][..], &mut read), Ok(false));
}
