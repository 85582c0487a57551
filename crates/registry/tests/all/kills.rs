//! The store killed at each of its writes, its disk losing, tearing and reordering what was not synced.

use crate::support::disk::Disk;
use crate::support::{asked, moves, push};
use saltdrum_registry::Store;
use saltdrum_registry::store::{read_backup, restore};

/// The changes of a short life, as a pure function of how many were taken.
fn nth(n: u64) -> saltdrum_registry::Change {
    match n % 3 {
        _ if n < 3 => push(n),
        0 => push(n),
        // Each move expects the one before, two or so changes ago; the first makes the alias.
        1 => moves(n % 3, if n == 4 { 0 } else { n - 2 }, None),
        _ => push(n),
    }
}

fn open(disk: &Disk) -> Result<Store, saltdrum_registry::store::StoreError> {
    Store::open("disk".into(), disk.opens())
}

#[test]
fn nothing_acknowledged_is_lost_wherever_it_is_killed() {
    // How many operations a whole life needs.
    let whole = Disk::default();
    let mut store = open(&whole).unwrap();
    let begun = whole.operations();
    for n in 0..12 {
        store
            .commit(vec![asked(nth(n))])
            .unwrap()
            .remove(0)
            .unwrap();
    }
    let all = whole.operations();
    drop(store);
    let (mut rng, mut kills, mut behind) = (fastrand::Rng::with_seed(7), 0, 0);
    for dies_at in begun..all {
        for _ in 0..8 {
            let disk = Disk::default();
            let mut store = open(&disk).unwrap();
            disk.dies_at(Some(dies_at));
            let (mut told, mut entries) = (0, Vec::new());
            for n in 0..12 {
                match store.commit(vec![asked(nth(n))]) {
                    Ok(mut all) => entries.push(all.remove(0).unwrap()),
                    Err(_) => break,
                }
                told += 1;
            }
            // Readers go on with what was acknowledged.
            assert_eq!(store.head().revision(), told);
            drop(store);
            let found = disk.after_power_cut(&mut rng);
            let store =
                open(&found).unwrap_or_else(|e| panic!("killed at {dies_at}, {told} told: {e}"));
            let kept = store.entries_after(0, 100).unwrap();
            assert!(
                kept.len() as u64 >= told,
                "killed at {dies_at}: {told} told, {} kept",
                kept.len()
            );
            assert!(
                kept.len() as u64 <= told + 1,
                "at most the one under way is there unacknowledged"
            );
            assert_eq!(kept[..told as usize], entries[..], "the very entries");
            store.verify().unwrap();
            kills += 1;
            behind += u64::from(kept.len() as u64 > told);
        }
    }
    assert!(
        kills > 500 && behind > 0,
        "{kills} kills, {behind} found more than was told: the disk is too kind"
    );
}

/// The same with a disk whose syncs are lies: it must show, or the test above proves nothing.
#[test]
fn a_disk_that_lies_about_syncs_is_caught() {
    let disk = Disk::default();
    let mut store = open(&disk).unwrap();
    let early = disk.after_power_cut(&mut fastrand::Rng::with_seed(1));
    for n in 0..5 {
        store
            .commit(vec![asked(nth(n))])
            .unwrap()
            .remove(0)
            .unwrap();
    }
    drop(store);
    let lost = open(&early).map(|s| s.head().revision());
    assert!(lost.is_err() || lost.unwrap() < 5);
}

#[test]
fn a_full_disk_refuses_changes_and_goes_on_reading() {
    let disk = Disk::default();
    let mut store = open(&disk).unwrap();
    for n in 0..5 {
        store
            .commit(vec![asked(nth(n))])
            .unwrap()
            .remove(0)
            .unwrap();
    }
    let head = store.head().clone();
    disk.room(Some(disk.length()));
    for _ in 0..3 {
        let told = store
            .commit(vec![asked(push(77))])
            .map(|_| ())
            .unwrap_err()
            .to_string();
        assert!(told.contains("disk"), "{told}");
        assert_eq!(store.head(), &head);
        assert!(!store.is_writable());
    }
    disk.room(None);
    store
        .commit(vec![asked(push(78))])
        .unwrap()
        .remove(0)
        .unwrap();
    assert_eq!(store.head().revision(), head.revision() + 1);
    store.verify().unwrap();
}

#[test]
fn a_change_that_is_refused_costs_the_others_of_its_write_nothing() {
    let mut store = open(&Disk::default()).unwrap();
    let told = store
        .commit(vec![
            asked(push(1)),
            asked(push(1)),
            asked(moves(9, 0, None)),
            asked(push(2)),
        ])
        .unwrap();
    assert_eq!(
        told.iter().map(|t| t.is_ok()).collect::<Vec<_>>(),
        [true, false, false, true]
    );
    assert_eq!(store.head().revision(), 2);
    assert_eq!(store.verify().unwrap(), 2);
}

#[test]
fn a_history_that_was_tampered_with_is_refused_with_its_place() {
    let folder = tempfile::tempdir().unwrap();
    let (path, backup) = (
        folder.path().join("registry.redb"),
        folder.path().join("backup"),
    );
    let mut store = Store::open_file(&path).unwrap();
    for n in 0..6 {
        store
            .commit(vec![asked(nth(n))])
            .unwrap()
            .remove(0)
            .unwrap();
    }
    assert_eq!(store.back_up(&backup).unwrap(), 6);
    let (entries, head) = read_backup(&backup).unwrap();
    assert_eq!((entries.len(), &head), (6, store.head()));
    let text = std::fs::read_to_string(&backup).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    let forged = |lines: Vec<String>| {
        let path = folder.path().join("forged");
        std::fs::write(&path, lines.join("\n") + "\n").unwrap();
        let to = folder.path().join("restored.redb");
        let told = restore(&path, &to, 100, "root", 5).unwrap_err().to_string();
        assert!(!to.exists(), "nothing is made of it");
        told
    };
    let own = |keep: &dyn Fn(usize) -> bool| -> Vec<String> {
        lines
            .iter()
            .enumerate()
            .filter(|(n, _)| keep(*n))
            .map(|(_, l)| (*l).to_owned())
            .collect()
    };
    let mut other = own(&|_| true);
    other[1] = other[1].replace("tests", "nobody");
    for (lines, place) in [
        (other, "line 3"),
        (own(&|n| n != 2), "line 3"),
        (own(&|n| n != 6), "the end is missing"),
        (own(&|n| n != 5), "line 6"),
    ] {
        let told = forged(lines);
        assert!(told.contains(place), "{told}");
    }
    // Not below what may have been given out, and nothing in a place that is taken.
    let told = restore(&backup, &folder.path().join("low.redb"), 3, "root", 5)
        .unwrap_err()
        .to_string();
    assert!(
        told.contains("revision 6") && !folder.path().join("low.redb").exists(),
        "{told}"
    );
    let told = restore(&backup, &path, 100, "root", 5)
        .unwrap_err()
        .to_string();
    assert!(told.contains("already"), "{told}");
    let to = folder.path().join("good.redb");
    let restored = restore(&backup, &to, 100, "root", 5).unwrap();
    assert_eq!(Store::open_file(&to).unwrap().head(), &restored);
    assert_eq!(restored.revision(), 101);
}

#[test]
fn bent_bytes_on_disk_never_pass_for_the_history() {
    let disk = Disk::default();
    let mut store = open(&disk).unwrap();
    for n in 0..6 {
        store
            .commit(vec![asked(nth(n))])
            .unwrap()
            .remove(0)
            .unwrap();
    }
    let (head, length) = (store.head().clone(), disk.length());
    drop(store);
    let (mut rng, mut caught) = (fastrand::Rng::with_seed(3), 0);
    for _ in 0..400 {
        let bent = disk.bent(rng.u64(..length));
        match std::panic::catch_unwind(|| open(&bent).map(|s| s.head().clone())) {
            // The store's own blank space: nothing that is read.
            Ok(Ok(found)) => assert_eq!(found, head),
            Ok(Err(_)) | Err(_) => caught += 1,
        }
    }
    assert!(caught > 0, "no bent byte was met: the disk is all blank");
}
