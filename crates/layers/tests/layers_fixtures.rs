//! Digests, manifests, folders of packed models and caches of chunks, as an earlier build wrote them.

#[path = "../../fleet/tests/fixture_support/fixtures.rs"]
mod fixtures;

use fixtures::{FixtureLines, files_below, scratch_folder, stored_copy};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use saltdrum_layers::cache::{Cache, RealDisk};
use saltdrum_layers::cut::pack;
use saltdrum_layers::layout::Layout;
use saltdrum_layers::{Chunk, Digest, Manifest, Packing};
use std::fs;
use std::path::Path;
use std::rc::Rc;

const CACHE_MOST_BYTES: u64 = 1 << 20;

/// Bytes that do not pack, the same at each run: a linear congruential generator's.
fn noise(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed;
    let mut next = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 56) as u8
    };
    (0..length).map(|_| next()).collect()
}

/// Bytes that pack well.
fn text(length: usize) -> Vec<u8> {
    b"layer 7 weight 3;"
        .iter()
        .copied()
        .cycle()
        .take(length)
        .collect()
}

fn chunk_of(stored: &[u8]) -> Chunk {
    let bytes = stored.len() as u64;
    Chunk {
        digest: Digest::of(stored),
        stored_bytes: bytes,
        bytes,
        packing: Packing::Plain,
    }
}

#[test]
fn a_digest_keeps_its_text() {
    let mut fixtures = FixtureLines::open("digest.txt");
    let digest = Digest::of(b"a chunk");
    let stored = fixtures.check_text("text", &digest.to_string());
    assert_eq!(stored.parse::<Digest>().unwrap(), digest);
    fixtures.check_text("file-name", &digest.hex());
    fixtures.check_text("lead", &digest.lead().to_string());
    fixtures.check_json("json", &digest);
    fixtures.finish();
}

#[test]
fn a_manifest_keeps_its_text() {
    let mut fixtures = FixtureLines::open("manifest.txt");
    let plain = chunk_of(b"a chunk as it is");
    let packed = Chunk {
        digest: Digest::of(b"a packed chunk"),
        stored_bytes: 700,
        bytes: 4_000,
        packing: Packing::Zstd,
    };
    let manifests = [
        (
            "two-chunks",
            Manifest {
                chunks: vec![plain, packed],
            },
        ),
        ("no-chunk", Manifest { chunks: Vec::new() }),
    ];
    for (name, manifest) in manifests {
        let written = String::from_utf8(manifest.to_json()).unwrap();
        let stored = fixtures.check_text(name, &written);
        assert_eq!(Manifest::from_json(stored.as_bytes()).unwrap(), manifest);
    }
    fixtures.finish();
}

/// Two builds share chunks of a model only if they cut it in the same places.
#[test]
fn a_model_is_cut_as_before() {
    let mut fixtures = FixtureLines::open("cuts.txt");
    let manifest = pack(noise(11, 5 << 20).as_slice(), |_, _| Ok(())).unwrap();
    for (number, chunk) in manifest.chunks.iter().enumerate() {
        assert_eq!(chunk.packing, Packing::Plain);
        fixtures.check_text(
            &format!("chunk-{number}"),
            &format!("{} {}", chunk.bytes, chunk.digest),
        );
    }
    fixtures.finish();
}

fn models() -> [(&'static str, Vec<u8>); 2] {
    [("voice:1", noise(21, 900)), ("voice:2", text(3_000))]
}

#[test]
fn a_folder_of_packed_models_is_written_as_before_and_an_older_one_is_read() {
    let scratch = scratch_folder("layout");
    let written = scratch.join("written");
    let layout = Layout::open(&written).unwrap();
    for (tag, bytes) in models() {
        let model = scratch.join("model");
        fs::write(&model, bytes).unwrap();
        layout.pack(&model, tag).unwrap();
    }
    let stored = stored_copy("layout", &written, &scratch);
    assert_eq!(files_below(&written), files_below(&stored));
    let layout = Layout::open(&stored).unwrap();
    for (tag, bytes) in models() {
        let mut unpacked = Vec::new();
        layout.unpack(tag, &mut unpacked).unwrap();
        assert_eq!(unpacked, bytes, "{tag}");
    }
    let packings = models().map(|(tag, _)| layout.manifest(tag).unwrap().1.chunks[0].packing);
    assert_eq!(packings, [Packing::Plain, Packing::Zstd]);
    let checked = layout.verify().unwrap();
    assert_eq!(
        (checked.models, checked.chunks, checked.problems),
        (2, 2, Vec::new())
    );
}

const CHUNKS: TableDefinition<&[u8; 32], (u64, f64, u32)> = TableDefinition::new("chunks");

/// What lies in a cache's index, in the order of its keys.
fn check_index(fixtures: &mut FixtureLines, whose: &str, index: &Path) {
    let database = Database::open(index).unwrap();
    let table = database.begin_read().unwrap().open_table(CHUNKS).unwrap();
    for (number, record) in table.iter().unwrap().enumerate() {
        let (digest, kept) = record.unwrap();
        let digest: String = digest
            .value()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        fixtures.check_text(
            &format!("{whose}-{number}"),
            &format!("{digest} {:?}", kept.value()),
        );
    }
}

#[test]
fn a_cache_of_an_earlier_build_is_read_and_a_new_one_is_the_same() {
    let scratch = scratch_folder("cache");
    let written = scratch.join("written");
    let kept = [noise(31, 500), noise(32, 700)];
    let cache = Cache::open(&written, CACHE_MOST_BYTES, Rc::new(RealDisk)).unwrap();
    assert!(cache.put(&chunk_of(&kept[0]), &kept[0], 2.5, 3).unwrap());
    assert!(cache.put(&chunk_of(&kept[1]), &kept[1], 0.75, 1).unwrap());
    cache.sync();
    drop(cache);
    let stored = stored_copy("cache", &written, &scratch);
    let mut fixtures = FixtureLines::open("cache-index.txt");
    check_index(&mut fixtures, "new", &written.join("index.redb"));
    check_index(&mut fixtures, "stored", &stored.join("index.redb"));
    fixtures.finish();
    assert_eq!(
        files_below(&written.join("chunks")),
        files_below(&stored.join("chunks"))
    );
    let cache = Cache::open(&stored, CACHE_MOST_BYTES, Rc::new(RealDisk)).unwrap();
    assert_eq!(
        (cache.counts.index_rebuilt.get(), cache.bytes()),
        (0, 1_200)
    );
    for bytes in &kept {
        assert_eq!(cache.get(&chunk_of(bytes)).as_ref(), Some(bytes));
    }
}
