//! Models as chunks: cut by content, named by digest, fetched once and shared between invokers.
//!
//! `manifest` says what a model consists of, `cut` packs and unpacks, `layout` is a folder of packed models, and `plan`
//! decides, without I/O or clock, who is home to a chunk, whom to ask for it, when again, and what to serve to others.
//! Nothing is used before its digest held. `docs/design-layers.md` weighs the options.

pub mod cache;
pub mod cut;
pub mod digest;
pub mod layout;
pub mod manifest;
pub mod plan;

pub use digest::Digest;
pub use manifest::{Chunk, Manifest, Packing};
