use super::*;
use saltdrum_layers::Digest;
use std::cell::Cell;
use std::time::Duration;

const GRACE_MS: u64 = 600_000;
const HOUR_MS: u64 = 3_600_000;

/// Guards against measuring the grace on the wall clock: a step by an hour must neither end the grace of a blob early nor
/// extend it.
#[tokio::test(start_paused = true)]
async fn collection_grace_ignores_steps_of_the_wall_clock() {
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
    let clock_ms = wall_ms.clone();
    let registry = Registry::new(store, Some(folder.path()), Rc::new(move || clock_ms.get()));
    assert_eq!(registry.collectable(GRACE_MS).unwrap(), []);
    wall_ms.set(wall_ms.get() + HOUR_MS);
    assert_eq!(
        registry.collectable(GRACE_MS).unwrap(),
        [],
        "a step forward must not end the grace"
    );
    wall_ms.set(wall_ms.get() - 2 * HOUR_MS);
    tokio::time::advance(Duration::from_millis(GRACE_MS)).await;
    assert_eq!(
        registry.collectable(GRACE_MS).unwrap(),
        [Digest::of(b"free")],
        "a step back must not extend the grace"
    );
}
