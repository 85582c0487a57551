//! Tests of the complete controller; one file for each topic, helpers in the two `support` files.

mod attempts;
mod bounds;
mod closes;
mod deadlines;
mod degraded_peers;
mod endpoint_list;
mod hostile_clients;
mod lost_connections;
mod partial_sends;
mod races;
mod rules;
mod socket_support;
mod stalls;
mod support;
