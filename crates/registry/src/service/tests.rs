use super::*;
use saltdrum_layers::Digest;
use std::cell::Cell;
use std::time::Duration;

const GRACE_MS: u64 = 600_000;
const HOUR_MS: u64 = 3_600_000;

/// The wall clock may be stepped by an hour: a blob that was free for a moment is not free for the grace, and one that was
/// free for the grace may go.
#[tokio::test(start_paused = true)]
async fn a_grace_is_a_span_of_real_time_whatever_the_wall_clock_says() {
    let folder = tempfile::tempdir().unwrap();
    let blobs = folder.path().join("blobs").join("sha256");
    std::fs::create_dir_all(&blobs).unwrap();
    std::fs::write(
        blobs.join(
            Digest::of(b"free")
                .to_string()
                .trim_start_matches("sha256:"),
        ),
        b"free",
    )
    .unwrap();
    let store = Store::open_file(&folder.path().join("registry")).unwrap();
    let wall_ms = Rc::new(Cell::new(1_800_000_000_000));
    let hour = wall_ms.clone();
    let registry = Registry::new(store, Some(folder.path()), Rc::new(move || hour.get()));
    assert_eq!(registry.collectable(GRACE_MS).unwrap(), []);
    wall_ms.set(wall_ms.get() + HOUR_MS);
    assert_eq!(
        registry.collectable(GRACE_MS).unwrap(),
        [],
        "a step ahead is no grace"
    );
    wall_ms.set(wall_ms.get() - 2 * HOUR_MS);
    tokio::time::advance(Duration::from_millis(GRACE_MS)).await;
    assert_eq!(
        registry.collectable(GRACE_MS).unwrap(),
        [Digest::of(b"free")],
        "a step back lengthens none"
    );
}
