use super::*;
use saltdrum::interface::SECOND;

const UNIX_MS: u64 = 1_800_000_000_000;
const HOUR_MS: i64 = 3_600_000;

/// What the wall clock reads at `now` after a step by so many milliseconds.
fn wall(now: Ticks, stepped_ms: i64) -> u64 {
    ((UNIX_MS + now / MILLISECOND) as i64 + stepped_ms) as u64
}

#[test]
fn a_start_is_when_it_was_however_the_wall_clock_is_stepped() {
    let now = 4_000 * SECOND;
    for stepped_ms in [HOUR_MS, -HOUR_MS, 3_000, -3_000, 120, -120] {
        let mut settings = WallClockHistory::new(wall(now, 0), now);
        // Started before the step and heard of after it, then started after it.
        let (before, after, heard) = (
            now + SECOND,
            now + 4 * SECOND,
            now + 4 * SECOND + 100 * MILLISECOND,
        );
        let told_before = wall(before, 0);
        settings.seen(wall(now + 2 * SECOND, stepped_ms), now + 2 * SECOND);
        assert_eq!(
            settings.start(told_before, now + 2 * SECOND),
            before.max(latest(before, stepped_ms, now))
        );
        let told_after = wall(after, stepped_ms);
        assert!(
            settings.start(told_after, heard) >= after,
            "{stepped_ms} ms: taken for older than it is"
        );
        assert!(
            settings.start(told_after, heard) <= heard,
            "{stepped_ms} ms: to come"
        );
    }
}

/// A step back by less than the time since then makes a start look later, by as much: colder, never warmer.
fn latest(started: Ticks, stepped_ms: i64, now: Ticks) -> Ticks {
    let by_the_new = started as i64 - stepped_ms * MILLISECOND as i64;
    if stepped_ms < 0 && by_the_new <= (now + 2 * SECOND) as i64 {
        by_the_new as Ticks
    } else {
        started
    }
}

#[test]
fn a_start_that_no_setting_explains_is_now() {
    let settings = WallClockHistory::new(UNIX_MS, 100 * SECOND);
    assert_eq!(settings.start(UNIX_MS + 5_000, 101 * SECOND), 101 * SECOND);
}

#[test]
fn settings_are_bounded_and_drift_is_none() {
    let mut settings = WallClockHistory::new(UNIX_MS, 0);
    for n in 1..1_000 {
        settings.seen(UNIX_MS + n * 1_000 + n, n * SECOND);
    }
    assert_eq!(settings.0.len(), 1);
    for n in 1_000..2_000 {
        settings.seen(UNIX_MS + n * 9_000, n * SECOND);
    }
    assert_eq!(settings.0.len(), OFFSETS_MAX);
}
