use super::*;

#[test]
fn what_came_before_the_last_turn_but_one_has_been_asked_for() {
    let turns = Turns::default();
    turns.turn(1_000);
    assert_eq!(turns.looked(), 0);
    turns.turn(1_100);
    assert_eq!(turns.looked(), 1_100);
    turns.turn(9_000);
    assert_eq!(turns.looked(), 1_200, "it stood still: what came meanwhile may not have been asked for");
}

#[test]
fn what_was_read_after_a_stop_may_have_come_when_it_began() {
    let turns = Turns::default();
    for at in [1_000, 1_100, 1_200] {
        assert_eq!(turns.turn(at), None);
    }
    assert_eq!(turns.earliest(1_150, 1_210), 1_150, "the stream was found empty since");
    assert_eq!(turns.earliest(500, 1_210), 1_100, "not before the turn before the last");
    assert_eq!(turns.earliest(500, 9_000), 1_200, "no turn since: the stop has just ended");
    assert_eq!(turns.turn(21_200), Some(20_000));
    assert_eq!(turns.earliest(500, 21_210), 1_200);
    turns.turn(21_300);
    assert_eq!(turns.earliest(1_150, 21_310), 1_200, "still the backlog: not found empty since");
    assert_eq!(turns.earliest(21_250, 21_310), 21_250);
}
