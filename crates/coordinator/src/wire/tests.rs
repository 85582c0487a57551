use super::*;
use saltdrum_fleet::register::Config;

/// A steward of before leases is refused wherever a value goes from one to another, and nowhere else.
#[test]
fn values_go_between_stewards_of_one_version_alone() {
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
    let said = |version| {
        let params = serde_json::to_string(&Envelope {
            fleet: "museums".into(),
            version,
            params: 7,
        })
        .unwrap();
        let line = format!(r#"{{"jsonrpc":"2.0","id":1,"method":"accept","params":{params}}}"#);
        let call = match saltdrum_protocol::rpc::read(line.as_bytes()) {
            Ok(saltdrum_protocol::rpc::Line::Single(Ok(call))) => call,
            _ => panic!("a call"),
        };
        crate::server::read_params::<i32>(&call, "museums")
    };
    assert_eq!(said(VOTE_PROTOCOL_VERSION).unwrap(), 7);
    assert_eq!(said(1).unwrap_err().0, WRONG_FLEET_OR_VERSION);
}

/// A vote with a whole value in it could not be read: a steward that lagged behind was never brought along.
#[test]
fn what_holds_the_whole_fleet_is_read_back_as_it_was() {
    let at = BTreeMap::from([
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
        at.clone(),
        Vec::new(),
        0,
    )));
    let one = Voter {
        steward: 1,
        disk: 7,
    };
    let lives = vec![(one, 3)].into();
    let mark = VoterStamp {
        from: one,
        incarnation: 2,
        incarnations: lives,
    };
    let vote = Vote::Promised {
        accepted: Some(Ballot::default()),
        value,
        stamp: mark,
        writes: 4,
    };
    let text = serde_json::to_string(&vote).unwrap();
    let read: Vote = serde_json::from_str(&text).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), text);
    let asked = ChangeRequest {
        change: Change::Stewards {
            voters,
            at,
            by: "them".into(),
        },
    };
    let text = serde_json::to_string(&asked).unwrap();
    let read: ChangeRequest = serde_json::from_value(serde_json::from_str(&text).unwrap()).unwrap();
    assert_eq!(read.change, asked.change);
}
