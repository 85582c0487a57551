//! Models there and back, versions that share, and packed models as they should not be.

use proptest::prelude::*;
use saltdrum_layers::cut::{ChunkError, pack, unpack};
use saltdrum_layers::layout::{Diff, Layout};
use saltdrum_layers::manifest::{MAX_CHUNK_BYTES, ManifestError};
use saltdrum_layers::{Chunk, Digest, Manifest, Packing};
use std::collections::BTreeMap;
use std::fs;

/// Half noise, half text: some chunks pack and some do not.
fn model(seed: u64, bytes: usize) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut out: Vec<u8> = (0..bytes / 2).map(|_| rng.u8(..)).collect();
    while out.len() < bytes {
        out.extend_from_slice(
            format!("layer {} weight {};", rng.u32(..90), rng.u32(..9)).as_bytes(),
        );
    }
    out.truncate(bytes);
    out
}

fn packed(bytes: &[u8]) -> (Manifest, BTreeMap<Digest, Vec<u8>>) {
    let mut kept = BTreeMap::new();
    let manifest = pack(bytes, |c, stored| {
        kept.insert(c.digest, stored.to_vec());
        Ok(())
    });
    (manifest.unwrap(), kept)
}

#[test]
fn a_model_comes_back_and_two_versions_share_all_but_the_change() {
    let folder = tempfile::tempdir().unwrap();
    let layout = Layout::open(&folder.path().join("models")).unwrap();
    let first = model(1, 24 << 20);
    // One place of the model changed, and all behind it moved.
    let mut second = first.clone();
    second.splice((9 << 20)..(9 << 20) + 1_000, model(2, 300_000));
    let (a, b) = (folder.path().join("a"), folder.path().join("b"));
    fs::write(&a, &first).unwrap();
    fs::write(&b, &second).unwrap();
    let manifest = layout.pack(&a, "voice:1").unwrap();
    layout.pack(&b, "voice:2").unwrap();
    assert!(manifest.chunks.iter().any(|c| c.packing == Packing::Zstd));
    assert!(manifest.chunks.iter().any(|c| c.packing == Packing::Plain));
    assert!(manifest.stored_bytes() < manifest.bytes());
    for (tag, bytes) in [("voice:1", &first), ("voice:2", &second)] {
        let mut out = Vec::new();
        layout.unpack(tag, &mut out).unwrap();
        assert!(out == *bytes, "{tag}");
    }
    let Diff {
        shared_bytes,
        only_second_bytes,
        ..
    } = layout.diff("voice:1", "voice:2").unwrap();
    assert!(
        only_second_bytes * 5 < shared_bytes,
        "{only_second_bytes} new, {shared_bytes} shared"
    );
    assert!(layout.verify().unwrap().problems.is_empty());
    assert!(
        layout
            .manifest("voice:3")
            .unwrap_err()
            .to_string()
            .contains("there are voice:1, voice:2")
    );
    // One byte of one chunk, and a chunk that is gone.
    let path = layout.path(&manifest.chunks[0].digest);
    let mut bytes = fs::read(&path).unwrap();
    bytes[100] ^= 1;
    fs::write(&path, bytes).unwrap();
    fs::remove_file(layout.path(&manifest.chunks[1].digest)).unwrap();
    let wrong = layout.verify().unwrap().problems;
    assert!(
        wrong.len() == 2 && wrong[0].contains("its bytes have digest"),
        "{wrong:?}"
    );
}

#[test]
fn a_version_that_changed_by_a_twentieth_has_under_a_tenth_of_new_bytes() {
    // Weights alone, as models are.
    let weights = |seed, bytes| model(seed, 2 * bytes)[..bytes].to_vec();
    let first = weights(7, 40 << 20);
    let mut second = first.clone();
    let part = first.len() / 20;
    second[11_111_111..11_111_111 + part].copy_from_slice(&weights(8, part));
    let ((_, old), (new, _)) = (packed(&first), packed(&second));
    let fresh: u64 = new
        .chunks
        .iter()
        .filter(|c| !old.contains_key(&c.digest))
        .map(|c| c.stored_bytes)
        .sum();
    assert!(
        fresh * 10 < new.stored_bytes(),
        "{fresh} of {}",
        new.stored_bytes()
    );
}

#[test]
fn a_bomb_and_a_lie_about_sizes_make_nothing() {
    let zeros = vec![0; 8 << 20];
    let stored = zstd::bulk::compress(&zeros, 3).unwrap();
    let chunk = |bytes| Chunk {
        digest: Digest::of(&stored),
        stored_bytes: stored.len() as u64,
        bytes,
        packing: Packing::Zstd,
    };
    assert!(matches!(
        unpack(&chunk(1_000), &stored),
        Err(ChunkError::Unpack { .. })
    ));
    assert!(matches!(
        unpack(&chunk(9 << 20), &stored),
        Err(ChunkError::Unpack { .. })
    ));
    assert!(matches!(
        unpack(&chunk(8 << 20), &stored[1..]),
        Err(ChunkError::Length { .. })
    ));
    let read = Manifest::from_json(
        &Manifest {
            chunks: vec![chunk(8 << 20)],
        }
        .to_json(),
    );
    assert!(
        read.unwrap_err()
            .to_string()
            .contains(&format!("1 to {MAX_CHUNK_BYTES} are allowed"))
    );
}

#[test]
fn manifests_that_lie_are_refused_in_words() {
    let (manifest, _) = packed(&model(3, 3 << 20));
    let text = String::from_utf8(manifest.to_json()).unwrap();
    let digest = manifest.chunks[0].digest.to_string();
    let size = manifest.chunks[0].stored_bytes;
    for (from, to, say) in [
        (
            digest.as_str(),
            "sha256:../../etc/passwd",
            "layers[0].digest: digest 'sha256:../../etc/passwd'",
        ),
        (&digest, &digest[..70], "64 hexadecimal digits"),
        (&digest, &digest.to_uppercase(), "64 hexadecimal digits"),
        (
            &format!("\"size\":{size}"),
            "\"size\":1",
            "layers[0].size: 1 for a chunk",
        ),
        (&format!("\"size\":{size}"), "\"size\":-1", "invalid value"),
        (
            "\"schemaVersion\":2",
            "\"schemaVersion\":1",
            "mediaType: schema 2",
        ),
        ("vnd.saltdrum.model.v1", "vnd.other", "artifactType"),
        (
            "vnd.saltdrum.chunk.v1\"",
            "vnd.oci.layer\"",
            "not a chunk of ours",
        ),
    ] {
        assert!(text.contains(from), "{from}");
        let got = Manifest::from_json(text.replacen(from, to, 1).as_bytes())
            .unwrap_err()
            .to_string();
        assert!(got.contains(say), "{got}");
    }
    let long = vec![b' '; (4 << 20) + 1];
    assert_eq!(
        Manifest::from_json(&long),
        Err(ManifestError::Oversize(long.len()))
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..Default::default()
    })]

    #[test]
    fn bent_manifests_and_chunks_are_refused_or_the_same(at in 0usize..4_000, bit in 0u8..8, cut in 0usize..4_000) {
        let (manifest, kept) = packed(&model(4, 700_000));
        let mut bytes = manifest.to_json();
        let end = bytes.len();
        bytes[at % end] ^= 1 << bit;
        if let Ok(read) = Manifest::from_json(&bytes[..end - cut % 3]) {
            prop_assert!(read.chunks.iter().all(|c| c.bytes <= MAX_CHUNK_BYTES));
        }
        let (chunk, stored) = (&manifest.chunks[0], &kept[&manifest.chunks[0].digest]);
        let mut bent = stored.clone();
        let end = bent.len();
        bent[(at * 97) % end] ^= 1 << bit;
        prop_assert!(unpack(chunk, &bent).is_err());
        prop_assert!(unpack(chunk, stored).is_ok());
    }
}
