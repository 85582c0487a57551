//! The store with a disk that fails at each write, and then loses, truncates and reorders unsynced writes.

use crate::support::disk::Disk;
use crate::support::{move_alias, push, request};
use saltdrum_registry::Store;
use saltdrum_registry::store::{read_backup, restore};

/// The change with a given index of a fixed sequence of valid changes.
fn sample_change(index: u64) -> saltdrum_registry::Change {
    match index % 3 {
        _ if index < 3 => push(index),
        0 => push(index),
        // Each move expects the revision of the previous move; the first one creates the alias.
        1 => move_alias(index % 3, if index == 4 { 0 } else { index - 2 }, None),
        _ => push(index),
    }
}

fn open(disk: &Disk) -> Result<Store, saltdrum_registry::store::StoreError> {
    Store::open("disk".into(), disk.open_database())
}

#[test]
fn acknowledged_changes_survive_a_power_cut_at_any_write() {
    // Counts the disk operations of a run without a fault.
    let healthy = Disk::default();
    let mut store = open(&healthy).unwrap();
    let first_operation = healthy.operations();
    for n in 0..12 {
        store
            .commit(vec![request(sample_change(n))])
            .unwrap()
            .remove(0)
            .unwrap();
    }
    let operations = healthy.operations();
    drop(store);
    let (mut rng, mut kills, mut unacknowledged) = (fastrand::Rng::with_seed(7), 0, 0);
    for fails_from in first_operation..operations {
        for _ in 0..8 {
            let disk = Disk::default();
            let mut store = open(&disk).unwrap();
            disk.fail_from(Some(fails_from));
            let (mut acknowledged, mut entries) = (0, Vec::new());
            for n in 0..12 {
                match store.commit(vec![request(sample_change(n))]) {
                    Ok(mut all) => entries.push(all.remove(0).unwrap()),
                    Err(_) => break,
                }
                acknowledged += 1;
            }
            // Readers still get the acknowledged state.
            assert_eq!(store.head().revision(), acknowledged);
            drop(store);
            let found = disk.after_power_cut(&mut rng);
            let store = open(&found).unwrap_or_else(|e| {
                panic!("power cut at {fails_from}, {acknowledged} acknowledged: {e}")
            });
            let stored = store.entries_after(0, 100).unwrap();
            assert!(
                stored.len() as u64 >= acknowledged,
                "power cut at {fails_from}: {acknowledged} acknowledged, {} stored",
                stored.len()
            );
            assert!(
                stored.len() as u64 <= acknowledged + 1,
                "at most the change in flight is stored without being acknowledged"
            );
            assert_eq!(
                stored[..acknowledged as usize],
                entries[..],
                "stored entries differ from the acknowledged ones"
            );
            store.verify().unwrap();
            kills += 1;
            unacknowledged += u64::from(stored.len() as u64 > acknowledged);
        }
    }
    assert!(
        kills > 500 && unacknowledged > 0,
        "{kills} power cuts, {unacknowledged} with an unacknowledged change stored: the disk simulates too few faults"
    );
}

/// Checks that the test above detects lost changes: a disk that ignores syncs loses some.
#[test]
fn lost_syncs_lose_changes_visibly() {
    let disk = Disk::default();
    let mut store = open(&disk).unwrap();
    let unsynced = disk.after_power_cut(&mut fastrand::Rng::with_seed(1));
    for n in 0..5 {
        store
            .commit(vec![request(sample_change(n))])
            .unwrap()
            .remove(0)
            .unwrap();
    }
    drop(store);
    let revision = open(&unsynced).map(|s| s.head().revision());
    assert!(revision.is_err() || revision.unwrap() < 5);
}

#[test]
fn full_disk_rejects_changes_and_keeps_serving_reads() {
    let disk = Disk::default();
    let mut store = open(&disk).unwrap();
    for n in 0..5 {
        store
            .commit(vec![request(sample_change(n))])
            .unwrap()
            .remove(0)
            .unwrap();
    }
    let head = store.head().clone();
    disk.limit_capacity(Some(disk.length()));
    for _ in 0..3 {
        let error = store
            .commit(vec![request(push(77))])
            .map(|_| ())
            .unwrap_err()
            .to_string();
        assert!(error.contains("disk"), "{error}");
        assert_eq!(store.head(), &head);
        assert!(!store.is_writable());
    }
    disk.limit_capacity(None);
    store
        .commit(vec![request(push(78))])
        .unwrap()
        .remove(0)
        .unwrap();
    assert_eq!(store.head().revision(), head.revision() + 1);
    store.verify().unwrap();
}

#[test]
fn rejected_change_does_not_affect_others_of_its_batch() {
    let mut store = open(&Disk::default()).unwrap();
    let results = store
        .commit(vec![
            request(push(1)),
            request(push(1)),
            request(move_alias(9, 0, None)),
            request(push(2)),
        ])
        .unwrap();
    assert_eq!(
        results
            .iter()
            .map(|result| result.is_ok())
            .collect::<Vec<_>>(),
        [true, false, false, true]
    );
    assert_eq!(store.head().revision(), 2);
    assert_eq!(store.verify().unwrap(), 2);
}

#[test]
fn tampered_backup_is_rejected_with_the_line() {
    let folder = tempfile::tempdir().unwrap();
    let (path, backup) = (
        folder.path().join("registry.redb"),
        folder.path().join("backup"),
    );
    let mut store = Store::open_file(&path).unwrap();
    for n in 0..6 {
        store
            .commit(vec![request(sample_change(n))])
            .unwrap()
            .remove(0)
            .unwrap();
    }
    assert_eq!(store.back_up(&backup).unwrap(), 6);
    let (entries, head) = read_backup(&backup).unwrap();
    assert_eq!((entries.len(), &head), (6, store.head()));
    let text = std::fs::read_to_string(&backup).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    let restore_error = |lines: Vec<String>| {
        let path = folder.path().join("forged");
        std::fs::write(&path, lines.join("\n") + "\n").unwrap();
        let to = folder.path().join("restored.redb");
        let error = restore(&path, &to, 100, "root", 5).unwrap_err().to_string();
        assert!(!to.exists(), "no registry may be created from it");
        error
    };
    let original_lines = |keep: &dyn Fn(usize) -> bool| -> Vec<String> {
        lines
            .iter()
            .enumerate()
            .filter(|(index, _)| keep(*index))
            .map(|(_, line)| (*line).to_owned())
            .collect()
    };
    let mut altered = original_lines(&|_| true);
    altered[1] = altered[1].replace("tests", "nobody");
    for (lines, place) in [
        (altered, "line 3"),
        (original_lines(&|index| index != 2), "line 3"),
        (original_lines(&|index| index != 6), "the end is missing"),
        (original_lines(&|index| index != 5), "line 6"),
    ] {
        let error = restore_error(lines);
        assert!(error.contains(place), "{error}");
    }
    // Restoring below an issued revision, or over an existing registry, is rejected.
    let error = restore(&backup, &folder.path().join("low.redb"), 3, "root", 5)
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("revision 6") && !folder.path().join("low.redb").exists(),
        "{error}"
    );
    let error = restore(&backup, &path, 100, "root", 5)
        .unwrap_err()
        .to_string();
    assert!(error.contains("already"), "{error}");
    let to = folder.path().join("good.redb");
    let restored = restore(&backup, &to, 100, "root", 5).unwrap();
    assert_eq!(Store::open_file(&to).unwrap().head(), &restored);
    assert_eq!(restored.revision(), 101);
}

#[test]
fn corrupted_bytes_on_disk_are_detected_or_unused() {
    let disk = Disk::default();
    let mut store = open(&disk).unwrap();
    for n in 0..6 {
        store
            .commit(vec![request(sample_change(n))])
            .unwrap()
            .remove(0)
            .unwrap();
    }
    let (head, length) = (store.head().clone(), disk.length());
    drop(store);
    let (mut rng, mut detected) = (fastrand::Rng::with_seed(3), 0);
    for _ in 0..400 {
        let corrupted = disk.with_corrupted_byte(rng.u64(..length));
        match std::panic::catch_unwind(|| open(&corrupted).map(|s| s.head().clone())) {
            // The byte is in unused space of the database.
            Ok(Ok(found)) => assert_eq!(found, head),
            Ok(Err(_)) | Err(_) => detected += 1,
        }
    }
    assert!(
        detected > 0,
        "no corrupted byte was detected: all of them were in unused space"
    );
}
