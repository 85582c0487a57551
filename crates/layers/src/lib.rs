//! Models as chunks: split by content-defined chunking, named by digest, fetched once and shared between invokers.
//!
//! `manifest` describes the chunks of a model, `cut` splits and compresses, `layout` is a folder of packed models, `cache`
//! stores chunks on disk, and `plan` decides, without I/O or clock, which invokers are home to a chunk, where to fetch it,
//! when to retry and what to serve to peers. No chunk is used before its digest is verified. `docs/design-layers.md`
//! compares the alternatives.

pub mod cache;
pub mod cut;
pub mod digest;
pub mod layout;
pub mod manifest;
pub mod plan;

pub use digest::Digest;
pub use manifest::{Chunk, Manifest, Packing};
