//! Content-defined chunking, so that versions of a model share their common chunks, and verification and unpacking of
//! chunks.

use crate::Digest;
use crate::manifest::{Chunk, MAX_CHUNK_BYTES, Manifest, Packing};
use fastcdc::v2020::StreamCDC;
use std::io::{self, Read};

const MIN_CHUNK_BYTES: usize = 128 << 10;
const MEAN_CHUNK_BYTES: usize = 512 << 10;
const ZSTD_LEVEL: i32 = 3;
/// Compressed chunks are decompressed at each load, so a chunk is stored compressed only below this ratio.
const MAX_COMPRESSED_RATIO: f64 = 0.95;

/// Why a stored chunk can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    #[error("chunk {digest}: received {actual} bytes, expected {expected}")]
    Length {
        digest: Digest,
        actual: usize,
        expected: u64,
    },
    #[error("chunk {expected}: its bytes have digest {actual}")]
    Digest { actual: Digest, expected: Digest },
    #[error("chunk {digest}: digest matches, but it does not unpack to {expected} bytes: {why}")]
    Unpack {
        digest: Digest,
        expected: u64,
        why: String,
    },
}

/// Splits and compresses a model, and passes each chunk with its stored bytes to `store_chunk`. The same bytes give the
/// same chunks.
pub fn pack(
    model: impl Read,
    mut store_chunk: impl FnMut(&Chunk, &[u8]) -> io::Result<()>,
) -> io::Result<Manifest> {
    let mut manifest = Manifest::default();
    let mut packer = zstd::bulk::Compressor::new(ZSTD_LEVEL)?;
    for segment in StreamCDC::new(
        model,
        MIN_CHUNK_BYTES,
        MEAN_CHUNK_BYTES,
        MAX_CHUNK_BYTES as usize,
    ) {
        let data = segment.map_err(io::Error::from)?.data;
        let packed = packer.compress(&data)?;
        let is_worth_compressing = (packed.len() as f64) < data.len() as f64 * MAX_COMPRESSED_RATIO;
        let (stored, packing) = if is_worth_compressing {
            (&packed, Packing::Zstd)
        } else {
            (&data, Packing::Plain)
        };
        let chunk = Chunk {
            digest: Digest::of(stored),
            stored_bytes: stored.len() as u64,
            bytes: data.len() as u64,
            packing,
        };
        store_chunk(&chunk, stored)?;
        manifest.chunks.push(chunk);
    }
    Ok(manifest)
}

/// Checks that these are the stored bytes of the chunk. All received or read bytes pass this check before use.
pub fn verify(chunk: &Chunk, stored: &[u8]) -> Result<(), ChunkError> {
    if stored.len() as u64 != chunk.stored_bytes {
        return Err(ChunkError::Length {
            digest: chunk.digest,
            actual: stored.len(),
            expected: chunk.stored_bytes,
        });
    }
    let actual = Digest::of(stored);
    if actual != chunk.digest {
        return Err(ChunkError::Digest {
            actual,
            expected: chunk.digest,
        });
    }
    Ok(())
}

/// Verifies and unpacks a chunk. Never allocates more than the stated length, whatever the chunk would unpack to.
pub fn unpack(chunk: &Chunk, stored: &[u8]) -> Result<Vec<u8>, ChunkError> {
    verify(chunk, stored)?;
    let unpack_error = |why: String| ChunkError::Unpack {
        digest: chunk.digest,
        expected: chunk.bytes,
        why,
    };
    let bytes = match chunk.packing {
        Packing::Plain => stored.to_vec(),
        Packing::Zstd => zstd::bulk::decompress(stored, chunk.bytes as usize)
            .map_err(|e| unpack_error(e.to_string()))?,
    };
    match bytes.len() as u64 == chunk.bytes {
        true => Ok(bytes),
        false => Err(unpack_error(format!("unpacked to {} bytes", bytes.len()))),
    }
}
