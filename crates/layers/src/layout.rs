//! A folder of packed models: an OCI image layout, which any tool that speaks it can push.

use crate::cut::{self, ChunkError};
use crate::manifest::{EMPTY_CONFIG, MANIFEST_TYPE, Manifest};
use crate::{Chunk, Digest};
use saltdrum_durable::file;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, BufReader, Read, Write};
use std::path::{Path, PathBuf};

/// Says that a folder is a layout, and of which version.
const MARKER: &str = "oci-layout";
const MARKER_CONTENT: &[u8] = br#"{"imageLayoutVersion":"1.0.0"}"#;
const REF_NAME: &str = "org.opencontainers.image.ref.name";

#[derive(Debug, thiserror::Error)]
pub enum LayoutError {
    #[error("{path}: {why}")]
    File { path: PathBuf, why: io::Error },
    #[error("{path}: {why}")]
    Shape { path: PathBuf, why: String },
    #[error("no model is tagged '{tag}'; there are {known}")]
    Tag { tag: String, known: String },
    #[error("{0}")]
    Manifest(#[from] crate::manifest::ManifestError),
}

#[derive(Serialize, Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Index {
    schema_version: u32,
    manifests: Vec<Entry>,
}

#[derive(Serialize, Deserialize, Clone)]
#[serde(rename_all = "camelCase")]
struct Entry {
    media_type: String,
    digest: Digest,
    size: u64,
    #[serde(default)]
    annotations: BTreeMap<String, String>,
}

/// What a check of the whole folder found.
#[derive(Debug, Default)]
pub struct VerifyReport {
    pub models: usize,
    pub chunks: usize,
    pub bytes: u64,
    /// What is wrong, each with its place.
    pub problems: Vec<String>,
}

/// How two models lie to each other, in stored bytes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Diff {
    pub shared_bytes: u64,
    pub only_first_bytes: u64,
    pub only_second_bytes: u64,
}

pub struct Layout {
    folder: PathBuf,
}

impl Layout {
    /// Opens a folder, or makes one.
    pub fn open(folder: &Path) -> Result<Self, LayoutError> {
        let layout = Self {
            folder: folder.to_owned(),
        };
        let marker = folder.join(MARKER);
        // A kill in an earlier version may have left a part of it.
        let is_whole = |found: Vec<u8>| serde_json::from_slice::<IgnoredAny>(&found).is_ok();
        if !fs::read(&marker).is_ok_and(is_whole) {
            let made = fs::create_dir_all(layout.blobs())
                .and_then(|()| file::write_atomically(&marker, MARKER_CONTENT));
            made.map_err(|why| LayoutError::File { path: marker, why })?;
        }
        Ok(layout)
    }

    fn blobs(&self) -> PathBuf {
        self.folder.join("blobs").join("sha256")
    }

    /// Where a blob lies. Made of a parsed digest alone, so no manifest can name a path elsewhere.
    pub fn path(&self, digest: &Digest) -> PathBuf {
        self.blobs().join(digest.hex())
    }

    fn put_blob(&self, digest: &Digest, bytes: &[u8]) -> io::Result<()> {
        let path = self.path(digest);
        let there = fs::metadata(&path).is_ok_and(|m| m.len() == bytes.len() as u64);
        if there {
            Ok(())
        } else {
            file::write_atomically(&path, bytes)
        }
    }

    fn index(&self) -> Result<Index, LayoutError> {
        let path = self.folder.join("index.json");
        match fs::read(&path) {
            Ok(bytes) => serde_json::from_slice(&bytes).map_err(|e| LayoutError::Shape {
                path,
                why: e.to_string(),
            }),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Index {
                schema_version: 2,
                ..Default::default()
            }),
            Err(why) => Err(LayoutError::File { path, why }),
        }
    }

    /// Packs a model's file under a tag, which moves if it was there.
    pub fn pack(&self, model: &Path, tag: &str) -> Result<Manifest, LayoutError> {
        let file = |why| LayoutError::File {
            path: model.to_owned(),
            why,
        };
        let reader = BufReader::with_capacity(1 << 20, File::open(model).map_err(file)?);
        let manifest = cut::pack(reader, |chunk, stored| self.put_blob(&chunk.digest, stored))
            .map_err(file)?;
        let bytes = manifest.to_json();
        let digest = Digest::of(&bytes);
        let mut index = self.index()?;
        index
            .manifests
            .retain(|e| e.annotations.get(REF_NAME).is_none_or(|t| t != tag));
        index.manifests.push(Entry {
            media_type: MANIFEST_TYPE.into(),
            digest,
            size: bytes.len() as u64,
            annotations: BTreeMap::from([(REF_NAME.to_owned(), tag.to_owned())]),
        });
        let path = self.folder.join("index.json");
        let written = serde_json::to_vec(&index).expect("an index is JSON");
        // The index last: what it names is there.
        self.put_blob(&Digest::of(EMPTY_CONFIG), EMPTY_CONFIG)
            .and_then(|()| self.put_blob(&digest, &bytes))
            .and_then(|()| file::write_atomically(&path, &written))
            .map_err(|why| LayoutError::File { path, why })?;
        Ok(manifest)
    }

    pub fn tags(&self) -> Result<BTreeMap<String, Digest>, LayoutError> {
        let index = self.index()?;
        Ok(index
            .manifests
            .iter()
            .filter_map(|e| Some((e.annotations.get(REF_NAME)?.clone(), e.digest)))
            .collect())
    }

    /// The manifest under a tag, its digest checked.
    pub fn manifest(&self, tag: &str) -> Result<(Digest, Manifest), LayoutError> {
        let tags = self.tags()?;
        let known = || {
            tags.keys()
                .map(String::as_str)
                .collect::<Vec<_>>()
                .join(", ")
        };
        let digest = *tags.get(tag).ok_or_else(|| LayoutError::Tag {
            tag: tag.into(),
            known: known(),
        })?;
        let path = self.path(&digest);
        let bytes = fs::read(&path).map_err(|why| LayoutError::File {
            path: path.clone(),
            why,
        })?;
        if Digest::of(&bytes) != digest {
            return Err(LayoutError::Shape {
                path,
                why: "its bytes do not have this digest".into(),
            });
        }
        Ok((digest, Manifest::from_json(&bytes)?))
    }

    fn stored(&self, chunk: &Chunk) -> Result<Vec<u8>, String> {
        let path = self.path(&chunk.digest);
        let mut bytes = Vec::new();
        // One byte more than stated tells of a longer file without reading all of it.
        let read =
            File::open(&path).and_then(|f| f.take(chunk.stored_bytes + 1).read_to_end(&mut bytes));
        read.map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(bytes)
    }

    /// Puts a model together again.
    pub fn unpack(&self, tag: &str, to: &mut impl Write) -> Result<(), LayoutError> {
        let (_, manifest) = self.manifest(tag)?;
        for chunk in &manifest.chunks {
            let path = self.path(&chunk.digest);
            let shape = |why| LayoutError::Shape {
                path: path.clone(),
                why,
            };
            let stored = self.stored(chunk).map_err(shape)?;
            let bytes =
                cut::unpack(chunk, &stored).map_err(|e: ChunkError| shape(e.to_string()))?;
            to.write_all(&bytes).map_err(|why| LayoutError::File {
                path: path.clone(),
                why,
            })?;
        }
        Ok(())
    }

    /// PollTimes at every byte that a tag leads to.
    pub fn verify(&self) -> Result<VerifyReport, LayoutError> {
        let (mut checked, mut seen) = (VerifyReport::default(), BTreeSet::new());
        for tag in self.tags()?.keys() {
            checked.models += 1;
            let manifest = match self.manifest(tag) {
                Ok((_, manifest)) => manifest,
                Err(e) => {
                    checked.problems.push(format!("{tag}: {e}"));
                    continue;
                }
            };
            for chunk in manifest.chunks.iter().filter(|c| seen.insert(c.digest)) {
                checked.chunks += 1;
                checked.bytes += chunk.stored_bytes;
                let fine = self
                    .stored(chunk)
                    .and_then(|s| cut::unpack(chunk, &s).map_err(|e| e.to_string()));
                checked
                    .problems
                    .extend(fine.err().map(|e| format!("{tag}: {e}")));
            }
        }
        Ok(checked)
    }

    pub fn diff(&self, first: &str, second: &str) -> Result<Diff, LayoutError> {
        let of = |tag| -> Result<BTreeMap<Digest, u64>, LayoutError> {
            Ok(self
                .manifest(tag)?
                .1
                .chunks
                .iter()
                .map(|c| (c.digest, c.stored_bytes))
                .collect())
        };
        let (a, b) = (of(first)?, of(second)?);
        let sum = |of: &BTreeMap<Digest, u64>, shared: bool, other: &BTreeMap<Digest, u64>| {
            of.iter()
                .filter(|(d, _)| other.contains_key(d) == shared)
                .map(|(_, n)| n)
                .sum()
        };
        Ok(Diff {
            shared_bytes: sum(&a, true, &b),
            only_first_bytes: sum(&a, false, &b),
            only_second_bytes: sum(&b, false, &a),
        })
    }
}
