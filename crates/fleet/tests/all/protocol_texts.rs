//! Texts that are sent to peers and must not change with the names of Rust types.

use crate::changes::{fleet_of, member_info};
use saltdrum_fleet::change::{Change, REPLACED_TEXT};
use saltdrum_fleet::recovery::RecoveryReply;
use saltdrum_fleet::register::VoterStamp;
use saltdrum_fleet::state::{Fleet, MemberId};

fn parse_error<T: serde::de::DeserializeOwned>(json: &str) -> String {
    match serde_json::from_str::<T>(json) {
        Ok(_) => panic!("{json} was parsed"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn parse_errors_name_types_by_their_serialised_names() {
    let join = r#"{"join":{"member":"invoker-1","about":3}}"#;
    let text = parse_error::<Change>(join);
    assert!(
        text.starts_with("invalid type: integer `3`, expected struct About"),
        "{text}"
    );
    let text = parse_error::<VoterStamp>("3");
    assert!(text.contains("expected struct Mark"), "{text}");
    let text = parse_error::<RecoveryReply<Fleet>>("3");
    assert!(text.contains("expected struct Heard"), "{text}");
}

#[test]
fn refused_join_describes_the_member_by_its_serialised_name() {
    let mut fleet = fleet_of(1, Vec::new());
    let member = MemberId::invoker(1);
    let join = Change::Join {
        member,
        about: member_info(0, 1),
    };
    let text = fleet.apply(&join).unwrap_err().to_string();
    assert!(
        text.starts_with("about = 'About { incarnation: 0, site: \"kigali\""),
        "{text}"
    );
}

#[test]
fn refusal_of_former_incarnation_contains_replaced_text() {
    let mut fleet = fleet_of(1, Vec::new());
    let member = MemberId::invoker(1);
    let leave = Change::Leave {
        member,
        incarnation: 7,
    };
    let text = fleet.apply(&leave).unwrap_err().to_string();
    assert_eq!(text, "invoker-1: this life of it (7) was replaced");
    assert!(text.contains(REPLACED_TEXT));
}
