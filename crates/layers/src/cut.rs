//! Cuts a model by its content, so that two versions share what they share, and puts it together again.

use crate::Digest;
use crate::manifest::{Chunk, MAX_CHUNK_BYTES, Manifest, Packing};
use fastcdc::v2020::StreamCDC;
use std::io::{self, Read};

const LEAST: usize = 128 << 10;
const MEAN: usize = 512 << 10;
const LEVEL: i32 = 3;
/// Packed chunks are unpacked at each load: it has to be worth that.
const WORTH: f64 = 0.95;

/// Why a stored chunk can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    #[error("chunk {digest}: {got} bytes came, {expected} were stated")]
    Length {
        digest: Digest,
        got: usize,
        expected: u64,
    },
    #[error("chunk {expected}: its bytes have digest {got}")]
    Digest { got: Digest, expected: Digest },
    #[error("chunk {digest}: its digest held, but it does not unpack to {expected} bytes: {why}")]
    Unpack {
        digest: Digest,
        expected: u64,
        why: String,
    },
}

/// Cuts and packs; `keep` gets each chunk as it is to be stored. The same bytes give the same chunks.
pub fn pack(
    model: impl Read,
    mut keep: impl FnMut(&Chunk, &[u8]) -> io::Result<()>,
) -> io::Result<Manifest> {
    let mut manifest = Manifest::default();
    let mut packer = zstd::bulk::Compressor::new(LEVEL)?;
    for piece in StreamCDC::new(model, LEAST, MEAN, MAX_CHUNK_BYTES as usize) {
        let piece = piece.map_err(io::Error::from)?.data;
        let packed = packer.compress(&piece)?;
        let worth = (packed.len() as f64) < piece.len() as f64 * WORTH;
        let (stored, packing) = if worth {
            (&packed, Packing::Zstd)
        } else {
            (&piece, Packing::Plain)
        };
        let chunk = Chunk {
            digest: Digest::of(stored),
            stored_bytes: stored.len() as u64,
            bytes: piece.len() as u64,
            packing,
        };
        keep(&chunk, stored)?;
        manifest.chunks.push(chunk);
    }
    Ok(manifest)
}

/// Whether these are the chunk's bytes, as stored. The only door by which bytes become a chunk.
pub fn verify(chunk: &Chunk, stored: &[u8]) -> Result<(), ChunkError> {
    if stored.len() as u64 != chunk.stored_bytes {
        return Err(ChunkError::Length {
            digest: chunk.digest,
            got: stored.len(),
            expected: chunk.stored_bytes,
        });
    }
    let got = Digest::of(stored);
    if got != chunk.digest {
        return Err(ChunkError::Digest {
            got,
            expected: chunk.digest,
        });
    }
    Ok(())
}

/// Verifies and unpacks. Never makes more than the stated bytes, whatever the chunk would unpack to.
pub fn unpack(chunk: &Chunk, stored: &[u8]) -> Result<Vec<u8>, ChunkError> {
    verify(chunk, stored)?;
    let fault = |why: String| ChunkError::Unpack {
        digest: chunk.digest,
        expected: chunk.bytes,
        why,
    };
    let bytes = match chunk.packing {
        Packing::Plain => stored.to_vec(),
        Packing::Zstd => zstd::bulk::decompress(stored, chunk.bytes as usize)
            .map_err(|e| fault(e.to_string()))?,
    };
    match bytes.len() as u64 == chunk.bytes {
        true => Ok(bytes),
        false => Err(fault(format!("{} came out", bytes.len()))),
    }
}
