//! The register under every order, and under many drawn ones; the fleet's changes under chance.

mod changes;
mod every_order;
mod fence_orders;
mod leases;
mod many_orders;
mod monitor;
mod protocol_texts;
mod support;
