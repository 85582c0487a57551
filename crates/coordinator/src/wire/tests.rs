use super::*;
use saltdrum_fleet::register::Config;

/// A coordinator without leases is refused by every method that passes on a value, and by no other method.
#[test]
fn methods_that_pass_on_values_require_the_vote_protocol_version() {
    assert!(
        ["prepare", "accept", "recover", "decided"]
            .map(version_of)
            .iter()
            .all(|v| *v == VOTE_PROTOCOL_VERSION)
    );
    assert!(
        ["renew", "change", "status", "opinions", "seal"]
            .map(version_of)
            .iter()
            .all(|v| *v == PROTOCOL_VERSION)
    );
    let read_with_version = |version| {
        let params = serde_json::to_string(&Envelope {
            fleet: "museums".into(),
            version,
            params: 7,
        })
        .unwrap();
        let line = format!(r#"{{"jsonrpc":"2.0","id":1,"method":"accept","params":{params}}}"#);
        let call = match saltdrum_protocol::rpc::parse_line(line.as_bytes()) {
            Ok(saltdrum_protocol::rpc::Line::Single(Ok(call))) => call,
            _ => panic!("expected a call"),
        };
        crate::server::read_params::<i32>(&call, "museums")
    };
    assert_eq!(read_with_version(VOTE_PROTOCOL_VERSION).unwrap(), 7);
    assert_eq!(read_with_version(1).unwrap_err().0, WRONG_FLEET_OR_VERSION);
}

/// Guards against votes that can't be deserialised when they contain a whole value: a coordinator that lagged behind never
/// caught up.
#[test]
fn messages_with_a_whole_fleet_survive_serialisation() {
    let addresses = BTreeMap::from([
        (1, "unix:/a".to_owned()),
        (2, "unix:/b".into()),
        (3, "unix:/c".into()),
    ]);
    let voters: std::collections::BTreeSet<Voter> =
        (1..=3).map(|steward| Voter { steward, disk: 7 }).collect();
    let config = Config::initial(voters.clone()).unwrap();
    let value = Some(Box::new(Fleet::new(
        "museums",
        config,
        addresses.clone(),
        Vec::new(),
        0,
    )));
    let voter = Voter {
        steward: 1,
        disk: 7,
    };
    let incarnations = vec![(voter, 3)].into();
    let stamp = VoterStamp {
        from: voter,
        incarnation: 2,
        incarnations,
    };
    let vote = Vote::Promised {
        accepted: Some(Ballot::default()),
        value,
        stamp,
        writes: 4,
    };
    let text = serde_json::to_string(&vote).unwrap();
    let read: Vote = serde_json::from_str(&text).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), text);
    let request = ChangeRequest {
        change: Change::Stewards {
            voters,
            at: addresses,
            by: "them".into(),
        },
    };
    let text = serde_json::to_string(&request).unwrap();
    let read: ChangeRequest = serde_json::from_value(serde_json::from_str(&text).unwrap()).unwrap();
    assert_eq!(read.change, request.change);
}
