//! What a model consists of, as an OCI image manifest whose layers are the chunks, so that any registry can hold it.

use crate::Digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// No manifest is longer; the distribution specification lets registries refuse longer ones.
pub const MAX_MANIFEST_BYTES: usize = 4 << 20;
/// No chunk unpacks to more: it is what a peer may make us hold before its digest and size are checked.
pub const MAX_CHUNK_BYTES: u64 = 4 << 20;
/// A stored chunk may be so much longer than what it unpacks to.
const PACKING_MOST_BYTES: u64 = 1 << 10;
const CHUNKS_MOST: usize = 20_000;

pub const MANIFEST_TYPE: &str = "application/vnd.oci.image.manifest.v1+json";
const MODEL_TYPE: &str = "application/vnd.saltdrum.model.v1";
const EMPTY_TYPE: &str = "application/vnd.oci.empty.v1+json";
/// The blob that stands for a configuration that is not there.
pub const EMPTY_CONFIG: &[u8] = b"{}";
const PLAIN_TYPE: &str = "application/vnd.saltdrum.chunk.v1";
const ZSTD_TYPE: &str = "application/vnd.saltdrum.chunk.v1+zstd";
const BYTES: &str = "saltdrum.chunk.bytes";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Packing {
    Plain,
    Zstd,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Of the bytes as they are stored.
    pub digest: Digest,
    pub stored_bytes: u64,
    /// Unpacked.
    pub bytes: u64,
    pub packing: Packing,
}

#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Manifest {
    /// In the order of the model's bytes.
    pub chunks: Vec<Chunk>,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ManifestError {
    #[error("manifest of {0} bytes: {MAX_MANIFEST_BYTES} are allowed")]
    Oversize(usize),
    #[error("manifest: {0}")]
    Shape(String),
    #[error("manifest: {place}: {why}")]
    Value { place: String, why: String },
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Written {
    schema_version: u32,
    media_type: String,
    artifact_type: String,
    config: Blob,
    layers: Vec<Blob>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Blob {
    media_type: String,
    digest: String,
    size: u64,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    annotations: BTreeMap<String, String>,
}

impl Manifest {
    /// Unpacked.
    pub fn bytes(&self) -> u64 {
        self.chunks.iter().map(|c| c.bytes).sum()
    }

    pub fn stored_bytes(&self) -> u64 {
        self.chunks.iter().map(|c| c.stored_bytes).sum()
    }

    /// As a registry keeps it. The same model gives the same bytes.
    pub fn to_json(&self) -> Vec<u8> {
        let layer = |c: &Chunk| Blob {
            media_type: match c.packing {
                Packing::Plain => PLAIN_TYPE,
                Packing::Zstd => ZSTD_TYPE,
            }
            .into(),
            digest: c.digest.to_string(),
            size: c.stored_bytes,
            annotations: BTreeMap::from([(BYTES.to_owned(), c.bytes.to_string())]),
        };
        let config = Blob {
            media_type: EMPTY_TYPE.into(),
            digest: Digest::of(EMPTY_CONFIG).to_string(),
            size: EMPTY_CONFIG.len() as u64,
            annotations: BTreeMap::new(),
        };
        let written = Written {
            schema_version: 2,
            media_type: MANIFEST_TYPE.into(),
            artifact_type: MODEL_TYPE.into(),
            config,
            layers: self.chunks.iter().map(layer).collect(),
        };
        serde_json::to_vec(&written).expect("a manifest is JSON")
    }

    /// Reads what a stranger wrote: sizes are bounded before anything is fetched by them.
    pub fn from_json(bytes: &[u8]) -> Result<Self, ManifestError> {
        if bytes.len() > MAX_MANIFEST_BYTES {
            return Err(ManifestError::Oversize(bytes.len()));
        }
        let written: Written =
            serde_json::from_slice(bytes).map_err(|e| ManifestError::Shape(e.to_string()))?;
        let value = |place: &str, why: String| ManifestError::Value {
            place: place.into(),
            why,
        };
        if (written.schema_version, written.media_type.as_str()) != (2, MANIFEST_TYPE) {
            return Err(value(
                "mediaType",
                format!("schema 2 and {MANIFEST_TYPE} are expected"),
            ));
        }
        if written.artifact_type != MODEL_TYPE {
            let why = format!("'{:.80}': {MODEL_TYPE} is expected", written.artifact_type);
            return Err(value("artifactType", why));
        }
        if written.layers.len() > CHUNKS_MOST {
            return Err(value(
                "layers",
                format!("{} chunks: {CHUNKS_MOST} are allowed", written.layers.len()),
            ));
        }
        let chunk = |(n, blob): (usize, &Blob)| {
            let at = |field: &str| format!("layers[{n}].{field}");
            let packing = match blob.media_type.as_str() {
                PLAIN_TYPE => Packing::Plain,
                ZSTD_TYPE => Packing::Zstd,
                other => {
                    return Err(value(
                        &at("mediaType"),
                        format!("'{other:.80}': not a chunk of ours"),
                    ));
                }
            };
            let digest: Digest = blob.digest.parse().map_err(|e| value(&at("digest"), e))?;
            let said = blob.annotations.get(BYTES).map_or("", String::as_str);
            let bytes: u64 = said.parse().map_err(|_| {
                value(
                    &at("annotations"),
                    format!("{BYTES} '{said:.40}': a number of bytes is expected"),
                )
            })?;
            if bytes == 0 || bytes > MAX_CHUNK_BYTES {
                let why = format!("{BYTES} {bytes}: 1 to {MAX_CHUNK_BYTES} are allowed");
                return Err(value(&at("annotations"), why));
            }
            let fits = match packing {
                Packing::Plain => blob.size == bytes,
                Packing::Zstd => blob.size > 0 && blob.size <= bytes + PACKING_MOST_BYTES,
            };
            if !fits {
                return Err(value(
                    &at("size"),
                    format!("{} for a chunk of {bytes} bytes", blob.size),
                ));
            }
            Ok(Chunk {
                digest,
                stored_bytes: blob.size,
                bytes,
                packing,
            })
        };
        let chunks: Vec<Chunk> = written
            .layers
            .iter()
            .enumerate()
            .map(chunk)
            .collect::<Result<_, _>>()?;
        let mut seen: BTreeMap<Digest, &Chunk> = BTreeMap::new();
        for (n, c) in chunks.iter().enumerate() {
            if seen.insert(c.digest, c).is_some_and(|other| other != c) {
                return Err(value(
                    &format!("layers[{n}].digest"),
                    "named above with another size".into(),
                ));
            }
        }
        Ok(Self { chunks })
    }
}
