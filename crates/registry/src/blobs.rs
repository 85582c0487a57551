//! The folder that contains the versions' manifests and chunks, as an OCI image layout.

use crate::state::RegistryState;
use saltdrum_layers::manifest::{EMPTY_CONFIG, MAX_MANIFEST_BYTES};
use saltdrum_layers::{Digest, Manifest, cut};
use std::collections::BTreeSet;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Path of a blob. Built only from a parsed digest, so it can't lead outside the folder.
pub fn blob_path(folder: &Path, digest: &Digest) -> PathBuf {
    folder.join("blobs").join("sha256").join(digest.hex())
}

/// Reads and verifies a manifest.
pub fn read_manifest(folder: &Path, digest: &Digest) -> Result<Manifest, String> {
    let path = blob_path(folder, digest);
    let error_text = |why: String| format!("manifest {digest}: {why}");
    let file = fs::File::open(path).map_err(|e| error_text(e.to_string()))?;
    let mut bytes = Vec::new();
    file.take(MAX_MANIFEST_BYTES as u64 + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| error_text(e.to_string()))?;
    if Digest::of(&bytes) != *digest {
        return Err(error_text(format!(
            "its bytes have digest {}",
            Digest::of(&bytes)
        )));
    }
    Manifest::from_json(&bytes).map_err(|e| error_text(e.to_string()))
}

/// Digests of all blobs of the folder, in order.
pub fn list_blobs(folder: &Path) -> io::Result<Vec<Digest>> {
    let mut all = Vec::new();
    for entry in fs::read_dir(folder.join("blobs").join("sha256"))? {
        let name = entry?.file_name();
        // A blob that is being written has another name, and must not be collected.
        all.extend(format!("sha256:{}", name.to_string_lossy()).parse::<Digest>());
    }
    all.sort_unstable();
    Ok(all)
}

/// Digests of all blobs that versions need. Fails if a manifest can't be read, because the blobs that it needs are then unknown
/// and no blob may be collected.
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

/// Reads and verifies every blob that versions need, and returns a line for each problem, with the version and the digest.
pub fn verify_blobs(folder: &Path, state: &RegistryState) -> Vec<String> {
    let mut problems = Vec::new();
    let mut seen = BTreeSet::new();
    for ((model, name), record) in &state.versions {
        let manifest = match read_manifest(folder, &record.version.manifest) {
            Ok(manifest) => manifest,
            Err(why) => {
                problems.push(format!("{model}@{name}: {why}"));
                continue;
            }
        };
        for chunk in manifest.chunks.iter().filter(|c| seen.insert(c.digest)) {
            let verified = fs::read(blob_path(folder, &chunk.digest))
                .map_err(|e| format!("chunk {}: {e}", chunk.digest));
            let verified =
                verified.and_then(|bytes| cut::verify(chunk, &bytes).map_err(|e| e.to_string()));
            problems.extend(verified.err().map(|why| format!("{model}@{name}: {why}")));
        }
    }
    problems
}
