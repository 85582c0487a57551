//! Tests of the register and of fences in every message order, and of the register, changes and leases in random sequences.

mod changes;
mod every_order;
mod fence_orders;
mod leases;
mod many_orders;
mod monitor;
mod protocol_texts;
mod support;
