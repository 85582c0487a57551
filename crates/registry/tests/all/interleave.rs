//! Exhaustive interleavings: of two administrators and a watcher with a breaking connection, and of a push and a collector.

use crate::support::{move_alias, name, push};
use saltdrum_layers::Digest;
use saltdrum_registry::Namespace;
use saltdrum_registry::blob_collector::BlobCollector;
use saltdrum_registry::chain::{Entry, Head};
use saltdrum_registry::state::Change;
use saltdrum_registry::watch::{WatchEvent, WatchReply, Watcher, reply_to};
use std::collections::BTreeSet;

/// Two administrators read an alias and then move it. A watcher connects, receives events and is disconnected, and once the
/// registry loses its last change, as after the restore of an old backup.
#[derive(Clone)]
struct World {
    heads: Vec<Head>,
    entries: Vec<Entry>,
    /// The revision of the alias that each administrator has read.
    read_revisions: [Option<u64>; 2],
    move_attempts: [u8; 2],
    moves: u8,
    watcher: Watcher,
    /// Events in flight to the watcher; `None`: it is not connected.
    connection: Option<Vec<WatchEvent>>,
    /// Number of entries that were sent on this connection.
    sent: usize,
    rejected: bool,
    disconnects: u8,
    backups: u8,
    /// Highest revision that the watcher has applied.
    applied: u64,
}

const STEP_KINDS: usize = 8;

impl World {
    fn new() -> Self {
        let (mut heads, mut entries) = (vec![Head::default()], Vec::new());
        for change in [push(1), push(2), move_alias(1, 0, None)] {
            let (entry, head) = heads
                .last()
                .unwrap()
                .prepare_entry("tests", 0, change)
                .unwrap();
            heads.push(head);
            entries.push(entry);
        }
        World {
            heads,
            entries,
            read_revisions: [None; 2],
            move_attempts: [0; 2],
            moves: 0,
            watcher: Watcher::default(),
            connection: None,
            sent: 0,
            rejected: false,
            disconnects: 0,
            backups: 0,
            applied: 0,
        }
    }

    /// The world after a step of one kind; `None` if the step is not possible.
    fn step(&self, kind: usize) -> Option<World> {
        let mut world = self.clone();
        let head = world.heads.last().unwrap().clone();
        let alias = head
            .state
            .alias(&Namespace::All, &name("kinyarwanda-current"))
            .unwrap()
            .clone();
        match kind {
            0 | 1 if world.move_attempts[kind] < 2 && world.read_revisions[kind].is_none() => {
                world.read_revisions[kind] = Some(alias.changed)
            }
            2 | 3 if world.read_revisions[kind - 2].is_some() => {
                let expect = world.read_revisions[kind - 2].take().unwrap();
                world.move_attempts[kind - 2] += 1;
                match head.prepare_entry(
                    "tests",
                    kind as u64,
                    move_alias(kind as u64 - 1, expect, None),
                ) {
                    Ok((entry, next)) => {
                        assert_eq!(
                            expect, alias.changed,
                            "a move with a stale revision was accepted"
                        );
                        world.moves += 1;
                        world.heads.push(next);
                        world.entries.push(entry);
                    }
                    Err(_) => assert_ne!(
                        expect, alias.changed,
                        "a move with the current revision was rejected"
                    ),
                }
            }
            4 if world.connection.is_none() => {
                let hash_at = |r| {
                    world
                        .heads
                        .iter()
                        .find(|h| h.revision() == r)
                        .map(|h| h.hash.clone())
                };
                let mut connection = Vec::new();
                match reply_to(&head, &world.watcher.cursor(), hash_at, None) {
                    WatchReply::Snapshot(restored) => {
                        connection.push(WatchEvent::Snapshot {
                            head: head.clone(),
                            restored,
                        });
                        world.sent = world.entries.len();
                    }
                    WatchReply::EntriesAfter(revision) => {
                        world.sent = world
                            .entries
                            .iter()
                            .filter(|entry| entry.revision <= revision)
                            .count()
                    }
                    WatchReply::UnknownCursor(at) => {
                        connection.push(WatchEvent::UnknownCursor { at });
                        world.sent = usize::MAX;
                    }
                }
                world.connection = Some(connection);
            }
            5 if world.connection.is_some() => {
                let connection = world.connection.as_mut().unwrap();
                if let Some(entry) = world.entries.get(world.sent) {
                    connection.push(WatchEvent::Next {
                        entry: entry.clone(),
                    });
                    world.sent += 1;
                } else if connection.is_empty() {
                    return None;
                }
                let event = connection.remove(0);
                let before = world.watcher.clone();
                match world.watcher.apply(event) {
                    Ok(true) => {
                        assert!(
                            world.watcher.head().revision() > world.applied,
                            "the watcher went back or applied a revision twice"
                        );
                        world.applied = world.watcher.head().revision();
                        world.rejected = false;
                    }
                    Ok(false) => assert_eq!(world.watcher, before),
                    Err(_) => {
                        assert_eq!(
                            world.watcher, before,
                            "a rejected event changed the watcher"
                        );
                        (world.rejected, world.connection) = (true, None);
                    }
                }
            }
            6 if world.connection.is_some() && world.disconnects < 2 => {
                (world.connection, world.disconnects) = (None, world.disconnects + 1);
            }
            7 if world.backups < 1 && world.entries.len() > 3 => {
                world.backups += 1;
                world.entries.pop();
                world.heads.pop();
                world.connection = None;
                world.read_revisions = [None; 2];
            }
            _ => return None,
        }
        Some(world)
    }
}

#[test]
fn no_interleaving_accepts_a_stale_move_or_takes_a_watcher_back() {
    let mut runs = 0u64;
    let (mut rejections, mut stale_moves) = (0u64, 0u64);
    let mut open = vec![(World::new(), 0)];
    while let Some((world, depth)) = open.pop() {
        // The watcher's head was the registry's head at some time.
        let known = world.watcher.head();
        if world.backups == 0 {
            assert!(
                world.heads.contains(known),
                "the watcher has a head that the registry never had"
            );
            assert!(
                !world.rejected,
                "the watcher rejected an event although the registry lost nothing"
            );
        }
        rejections += u64::from(world.rejected);
        stale_moves += u64::from(world.move_attempts[0] + world.move_attempts[1] > world.moves);
        let mut is_final = true;
        if depth < 9 {
            for next in (0..STEP_KINDS).filter_map(|kind| world.step(kind)) {
                is_final = false;
                open.push((next, depth + 1));
            }
        }
        if is_final {
            runs += 1;
            // After all remaining events, the watcher has the registry's head, or has rejected its history for good.
            let mut settled = world.clone();
            for _ in 0..12 {
                settled = settled
                    .step(4)
                    .or_else(|| settled.step(5))
                    .unwrap_or(settled);
            }
            let is_current = settled.watcher.head() == settled.heads.last().unwrap();
            let is_forked = settled.backups > 0 && settled.applied > 3;
            assert!(
                is_current || is_forked,
                "the watcher missed a change: it is at {}, the registry at {}",
                settled.applied,
                settled.heads.len() - 1
            );
        }
    }
    assert!(
        runs > 5_000 && rejections > 50 && stale_moves > 500,
        "{runs} runs, {rejections} rejections, {stale_moves} with a rejected move"
    );
}

/// A push some of whose chunks are already present, a deletion, and a collector that may run at any moment.
#[test]
fn collector_removes_no_blob_of_a_push_in_any_interleaving() {
    let digest = |n: u8| Digest::of(&[n]);
    let (shared, own) = (digest(1), digest(2));
    #[derive(Clone)]
    struct Schedule {
        push_step: usize,
        collected: u8,
        deleted: bool,
        now: u64,
        log: Vec<(u64, char)>,
    }
    let (mut runs, mut completed, mut rejected) = (0, 0, 0);
    let mut open = vec![Schedule {
        push_step: 0,
        collected: 0,
        deleted: false,
        now: 0,
        log: Vec::new(),
    }];
    while let Some(schedule) = open.pop() {
        let mut next = Vec::new();
        let mut add_step = |step: char, change: &dyn Fn(&mut Schedule)| {
            let mut extended = schedule.clone();
            extended.now += 60;
            extended.log.push((extended.now, step));
            change(&mut extended);
            next.push(extended);
        };
        if schedule.push_step < 4 {
            add_step(['b', 'l', 'u', 'p'][schedule.push_step], &|s| {
                s.push_step += 1
            });
        }
        if schedule.collected < 4 {
            add_step('c', &|s| s.collected += 1);
        }
        if !schedule.deleted {
            add_step('d', &|s| s.deleted = true);
        }
        if !next.is_empty() {
            open.extend(next);
            continue;
        }
        runs += 1;
        // Replays the schedule on a real collector. An old version references the shared chunk until it is deleted. Steps of the
        // push: begin, list missing blobs, upload, push. The others are delete and collect.
        let mut collector = BlobCollector::default();
        let mut present = BTreeSet::from([shared]);
        let (mut referenced, mut lease, mut missing) =
            (BTreeSet::from([shared]), 0, BTreeSet::new());
        let mut is_pushed = false;
        for (now, step) in schedule.log {
            match step {
                'b' => lease = collector.begin_lease(now, BTreeSet::from([shared, own]), 300),
                'l' => {
                    missing = [shared, own]
                        .into_iter()
                        .filter(|d| !present.contains(d))
                        .collect()
                }
                'u' => present.extend(missing.iter().copied()),
                'd' if !is_pushed => drop(referenced.remove(&shared)),
                'd' => {}
                'c' => {
                    for removed in collector.collect(now, present.clone(), &referenced, 50) {
                        assert!(
                            !referenced.contains(&removed),
                            "a referenced blob was removed"
                        );
                        present.remove(&removed);
                    }
                }
                _ => match collector.check_lease(now, lease, &[shared, own]) {
                    Ok(()) => {
                        assert!(
                            present.contains(&shared) && present.contains(&own),
                            "the push completed without its chunks"
                        );
                        (is_pushed, referenced) = (true, BTreeSet::from([shared, own]));
                        collector.end_lease(lease);
                    }
                    Err(_) => rejected += 1,
                },
            }
            if is_pushed {
                assert!(
                    present.contains(&shared) && present.contains(&own),
                    "a blob was removed after the push"
                );
            }
        }
        completed += u64::from(is_pushed);
    }
    assert!(
        runs > 500 && completed > 100 && rejected > 100,
        "{runs} schedules, {completed} pushes completed, {rejected} rejected as too late"
    );
}

#[test]
fn change_with_a_stale_revision_is_rejected() {
    let head = World::new().heads.pop().unwrap();
    let revision = head
        .state
        .alias(&Namespace::All, &name("kinyarwanda-current"))
        .unwrap()
        .changed;
    let moved = head
        .prepare_entry("tests", 0, move_alias(2, revision, None))
        .unwrap()
        .1;
    let stale = Change::RollBack {
        space: Namespace::All,
        alias: name("kinyarwanda-current"),
        expect: revision,
    };
    assert!(moved.prepare_entry("tests", 0, stale).is_err());
}
