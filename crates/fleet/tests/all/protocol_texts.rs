//! Texts that go to peers and do not follow the names of Rust types.

use crate::changes::{about, with};
use saltdrum_fleet::change::{Change, REPLACED_TEXT};
use saltdrum_fleet::recovery::RecoveryReply;
use saltdrum_fleet::register::VoterStamp;
use saltdrum_fleet::state::{Fleet, MemberId};

fn parse_error<T: serde::de::DeserializeOwned>(json: &str) -> String {
    match serde_json::from_str::<T>(json) {
        Ok(_) => panic!("{json} was read"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn parse_errors_name_types_by_their_serialised_names() {
    let join = r#"{"join":{"member":"invoker-1","about":3}}"#;
    let told = parse_error::<Change>(join);
    assert!(
        told.starts_with("invalid type: integer `3`, expected struct About"),
        "{told}"
    );
    let told = parse_error::<VoterStamp>("3");
    assert!(told.contains("expected struct Mark"), "{told}");
    let told = parse_error::<RecoveryReply<Fleet>>("3");
    assert!(told.contains("expected struct Heard"), "{told}");
}

#[test]
fn refused_join_describes_the_member_by_its_serialised_name() {
    let mut fleet = with(1, Vec::new());
    let member = MemberId::invoker(1);
    let join = Change::Join {
        member,
        about: about(0, 1),
    };
    let told = fleet.apply(&join).unwrap_err().to_string();
    assert!(
        told.starts_with("about = 'About { incarnation: 0, site: \"kigali\""),
        "{told}"
    );
}

#[test]
fn refusal_of_a_former_incarnation_says_that_it_was_replaced() {
    let mut fleet = with(1, Vec::new());
    let member = MemberId::invoker(1);
    let leave = Change::Leave {
        member,
        incarnation: 7,
    };
    let told = fleet.apply(&leave).unwrap_err().to_string();
    assert_eq!(told, "invoker-1: this life of it (7) was replaced");
    assert!(told.contains(REPLACED_TEXT));
}
