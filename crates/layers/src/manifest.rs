//! The manifest of a model: an OCI image manifest whose layers are the chunks, so that any registry can store it.

use crate::Digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest manifest. The OCI distribution specification lets registries refuse longer ones.
pub const MAX_MANIFEST_BYTES: usize = 4 << 20;
/// Longest unpacked chunk. Bounds the memory that a peer can make an invoker use before digest and size are checked.
pub const MAX_CHUNK_BYTES: u64 = 4 << 20;
/// A compressed chunk may be longer than its unpacked bytes by this much.
const MAX_PACKING_OVERHEAD_BYTES: u64 = 1 << 10;
/// Most chunks in a manifest.
const MAX_CHUNKS: usize = 20_000;

/// Media type of manifests.
pub const MANIFEST_TYPE: &str = "application/vnd.oci.image.manifest.v1+json";
const MODEL_TYPE: &str = "application/vnd.saltdrum.model.v1";
const EMPTY_TYPE: &str = "application/vnd.oci.empty.v1+json";
/// The empty configuration blob that a manifest without a configuration refers to.
pub const EMPTY_CONFIG: &[u8] = b"{}";
const PLAIN_TYPE: &str = "application/vnd.saltdrum.chunk.v1";
const ZSTD_TYPE: &str = "application/vnd.saltdrum.chunk.v1+zstd";
const UNPACKED_BYTES_ANNOTATION: &str = "saltdrum.chunk.bytes";

/// How a chunk is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Packing {
    Plain,
    Zstd,
}

/// One chunk of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Digest of the stored bytes.
    pub digest: Digest,
    pub stored_bytes: u64,
    /// Unpacked length.
    pub bytes: u64,
    pub packing: Packing,
}

/// The chunks of a model.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Manifest {
    /// In the order of the model's bytes. A chunk may occur more than once.
    pub chunks: Vec<Chunk>,
}

/// Why a manifest can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ManifestError {
    #[error("manifest of {0} bytes: {MAX_MANIFEST_BYTES} are allowed")]
    Oversize(usize),
    #[error("manifest: {0}")]
    Malformed(String),
    #[error("manifest: {field}: {why}")]
    InvalidField { field: String, why: String },
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ManifestDocument {
    schema_version: u32,
    media_type: String,
    artifact_type: String,
    config: BlobDescriptor,
    layers: Vec<BlobDescriptor>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct BlobDescriptor {
    media_type: String,
    digest: String,
    size: u64,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    annotations: BTreeMap<String, String>,
}

impl Manifest {
    /// Unpacked length of the model.
    pub fn bytes(&self) -> u64 {
        self.chunks.iter().map(|c| c.bytes).sum()
    }

    /// Total stored length of the chunks, repeated ones included.
    pub fn stored_bytes(&self) -> u64 {
        self.chunks.iter().map(|c| c.stored_bytes).sum()
    }

    /// Encodes the manifest as a registry stores it. The same manifest gives the same bytes.
    pub fn to_json(&self) -> Vec<u8> {
        let layer = |c: &Chunk| BlobDescriptor {
            media_type: match c.packing {
                Packing::Plain => PLAIN_TYPE,
                Packing::Zstd => ZSTD_TYPE,
            }
            .into(),
            digest: c.digest.to_string(),
            size: c.stored_bytes,
            annotations: BTreeMap::from([(
                UNPACKED_BYTES_ANNOTATION.to_owned(),
                c.bytes.to_string(),
            )]),
        };
        let config = BlobDescriptor {
            media_type: EMPTY_TYPE.into(),
            digest: Digest::of(EMPTY_CONFIG).to_string(),
            size: EMPTY_CONFIG.len() as u64,
            annotations: BTreeMap::new(),
        };
        let document = ManifestDocument {
            schema_version: 2,
            media_type: MANIFEST_TYPE.into(),
            artifact_type: MODEL_TYPE.into(),
            config,
            layers: self.chunks.iter().map(layer).collect(),
        };
        serde_json::to_vec(&document).expect("a manifest is JSON")
    }

    /// Decodes an untrusted manifest. Checks that all sizes are within bounds, before anything is fetched by them.
    pub fn from_json(bytes: &[u8]) -> Result<Self, ManifestError> {
        if bytes.len() > MAX_MANIFEST_BYTES {
            return Err(ManifestError::Oversize(bytes.len()));
        }
        let document: ManifestDocument =
            serde_json::from_slice(bytes).map_err(|e| ManifestError::Malformed(e.to_string()))?;
        let invalid_field = |field: &str, why: String| ManifestError::InvalidField {
            field: field.into(),
            why,
        };
        if (document.schema_version, document.media_type.as_str()) != (2, MANIFEST_TYPE) {
            return Err(invalid_field(
                "mediaType",
                format!("schema 2 and {MANIFEST_TYPE} are expected"),
            ));
        }
        if document.artifact_type != MODEL_TYPE {
            let why = format!("'{:.80}': {MODEL_TYPE} is expected", document.artifact_type);
            return Err(invalid_field("artifactType", why));
        }
        if document.layers.len() > MAX_CHUNKS {
            return Err(invalid_field(
                "layers",
                format!("{} chunks: {MAX_CHUNKS} are allowed", document.layers.len()),
            ));
        }
        let chunk = |(number, blob): (usize, &BlobDescriptor)| {
            let field_path = |field: &str| format!("layers[{number}].{field}");
            let packing = match blob.media_type.as_str() {
                PLAIN_TYPE => Packing::Plain,
                ZSTD_TYPE => Packing::Zstd,
                other => {
                    return Err(invalid_field(
                        &field_path("mediaType"),
                        format!("'{other:.80}': unknown chunk media type"),
                    ));
                }
            };
            let digest: Digest = blob
                .digest
                .parse()
                .map_err(|e| invalid_field(&field_path("digest"), e))?;
            let annotation = blob
                .annotations
                .get(UNPACKED_BYTES_ANNOTATION)
                .map_or("", String::as_str);
            let bytes: u64 = annotation.parse().map_err(|_| {
                invalid_field(
                    &field_path("annotations"),
                    format!("{UNPACKED_BYTES_ANNOTATION} '{annotation:.40}': a number of bytes is expected"),
                )
            })?;
            if bytes == 0 || bytes > MAX_CHUNK_BYTES {
                let why = format!(
                    "{UNPACKED_BYTES_ANNOTATION} {bytes}: 1 to {MAX_CHUNK_BYTES} are allowed"
                );
                return Err(invalid_field(&field_path("annotations"), why));
            }
            let is_valid_size = match packing {
                Packing::Plain => blob.size == bytes,
                Packing::Zstd => blob.size > 0 && blob.size <= bytes + MAX_PACKING_OVERHEAD_BYTES,
            };
            if !is_valid_size {
                return Err(invalid_field(
                    &field_path("size"),
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
        let chunks: Vec<Chunk> = document
            .layers
            .iter()
            .enumerate()
            .map(chunk)
            .collect::<Result<_, _>>()?;
        let mut seen: BTreeMap<Digest, &Chunk> = BTreeMap::new();
        for (number, chunk) in chunks.iter().enumerate() {
            if seen
                .insert(chunk.digest, chunk)
                .is_some_and(|other| other != chunk)
            {
                return Err(invalid_field(
                    &format!("layers[{number}].digest"),
                    "repeats the digest of an earlier chunk with a different size".into(),
                ));
            }
        }
        Ok(Self { chunks })
    }
}
