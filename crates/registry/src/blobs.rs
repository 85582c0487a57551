//! The folder in which the versions' manifests and chunks lie: an OCI image layout.

use crate::state::RegistryState;
use saltdrum_layers::manifest::{EMPTY_CONFIG, MAX_MANIFEST_BYTES};
use saltdrum_layers::{Digest, Manifest, cut};
use std::collections::BTreeSet;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Made of a parsed digest alone: no name leads elsewhere.
pub fn blob_path(folder: &Path, digest: &Digest) -> PathBuf {
    folder.join("blobs").join("sha256").join(digest.hex())
}

/// Reads and verifies a manifest.
pub fn read_manifest(folder: &Path, digest: &Digest) -> Result<Manifest, String> {
    let at = blob_path(folder, digest);
    let told = |why: String| format!("manifest {digest}: {why}");
    let file = fs::File::open(at).map_err(|e| told(e.to_string()))?;
    let mut bytes = Vec::new();
    file.take(MAX_MANIFEST_BYTES as u64 + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| told(e.to_string()))?;
    if Digest::of(&bytes) != *digest {
        return Err(told(format!(
            "its bytes have digest {}",
            Digest::of(&bytes)
        )));
    }
    Manifest::from_json(&bytes).map_err(|e| told(e.to_string()))
}

/// Digests of all blobs of the folder, in order.
pub fn list_blobs(folder: &Path) -> io::Result<Vec<Digest>> {
    let mut all = Vec::new();
    for entry in fs::read_dir(folder.join("blobs").join("sha256"))? {
        let name = entry?.file_name();
        // What is being written has another name, and is not ours to take.
        all.extend(format!("sha256:{}", name.to_string_lossy()).parse::<Digest>());
    }
    all.sort_unstable();
    Ok(all)
}

/// All that versions need. A manifest that can't be read stops a collection: what it needs is not known.
pub fn referenced_blobs(folder: &Path, state: &RegistryState) -> Result<BTreeSet<Digest>, String> {
    let mut all = BTreeSet::from([Digest::of(EMPTY_CONFIG)]);
    for digest in state.manifests() {
        all.insert(digest);
        all.extend(
            read_manifest(folder, &digest)?
                .chunks
                .iter()
                .map(|c| c.digest),
        );
    }
    Ok(all)
}

/// Reads every byte that a version leads to, and tells what is wrong, each with its place.
pub fn verify_blobs(folder: &Path, state: &RegistryState) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut seen = BTreeSet::new();
    for ((model, name), held) in &state.versions {
        let read = match read_manifest(folder, &held.version.manifest) {
            Ok(read) => read,
            Err(why) => {
                wrong.push(format!("{model}@{name}: {why}"));
                continue;
            }
        };
        for chunk in read.chunks.iter().filter(|c| seen.insert(c.digest)) {
            let looked = fs::read(blob_path(folder, &chunk.digest))
                .map_err(|e| format!("chunk {}: {e}", chunk.digest));
            let looked =
                looked.and_then(|bytes| cut::verify(chunk, &bytes).map_err(|e| e.to_string()));
            wrong.extend(looked.err().map(|why| format!("{model}@{name}: {why}")));
        }
    }
    wrong
}
