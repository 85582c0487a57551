use super::*;
use saltdrum::interface::SECOND;

const UNIX_MS: u64 = 1_800_000_000_000;
const HOUR_MS: i64 = 3_600_000;

/// The time of the wall clock at `now` after a step by `stepped_ms`.
fn unix_ms_at(now: Ticks, stepped_ms: i64) -> u64 {
    ((UNIX_MS + now / MILLISECOND) as i64 + stepped_ms) as u64
}

#[test]
fn converts_start_times_across_wall_clock_steps() {
    let now = 4_000 * SECOND;
    for stepped_ms in [HOUR_MS, -HOUR_MS, 3_000, -3_000, 120, -120] {
        let mut history = WallClockHistory::new(unix_ms_at(now, 0), now);
        // One invoker starts before the step and is listed after it; another starts after it.
        let (before, after, listed) = (
            now + SECOND,
            now + 4 * SECOND,
            now + 4 * SECOND + 100 * MILLISECOND,
        );
        let listed_before = unix_ms_at(before, 0);
        history.observe(unix_ms_at(now + 2 * SECOND, stepped_ms), now + 2 * SECOND);
        assert_eq!(
            history.start_time(listed_before, now + 2 * SECOND),
            before.max(latest_conversion(before, stepped_ms, now))
        );
        let listed_after = unix_ms_at(after, stepped_ms);
        assert!(
            history.start_time(listed_after, listed) >= after,
            "{stepped_ms} ms: converted to an earlier start"
        );
        assert!(
            history.start_time(listed_after, listed) <= listed,
            "{stepped_ms} ms: converted to a time in the future"
        );
    }
}

/// After a step back, a start is converted by the new offset to a later time, unless that is in the future: the invoker
/// is assumed colder, never warmer.
fn latest_conversion(started: Ticks, stepped_ms: i64, now: Ticks) -> Ticks {
    let by_new_offset = started as i64 - stepped_ms * MILLISECOND as i64;
    if stepped_ms < 0 && by_new_offset <= (now + 2 * SECOND) as i64 {
        by_new_offset as Ticks
    } else {
        started
    }
}

#[test]
fn converts_start_time_in_the_future_to_now() {
    let history = WallClockHistory::new(UNIX_MS, 100 * SECOND);
    assert_eq!(
        history.start_time(UNIX_MS + 5_000, 101 * SECOND),
        101 * SECOND
    );
}

#[test]
fn bounds_remembered_offsets_and_follows_drift() {
    let mut history = WallClockHistory::new(UNIX_MS, 0);
    for n in 1..1_000 {
        history.observe(UNIX_MS + n * 1_000 + n, n * SECOND);
    }
    assert_eq!(history.0.len(), 1);
    for n in 1_000..2_000 {
        history.observe(UNIX_MS + n * 9_000, n * SECOND);
    }
    assert_eq!(history.0.len(), OFFSETS_MAX);
}
