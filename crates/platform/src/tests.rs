//! Tests of the complete controller, with one file per topic. Helpers are in `support` and `socket_support`.

mod attempts;
mod bounds;
mod closes;
mod deadlines;
mod degraded_peers;
mod departed_clients;
mod endpoint_list;
mod hostile_clients;
mod lost_connections;
mod partial_sends;
mod races;
mod replaced_processes;
mod rules;
mod socket_support;
mod stalls;
mod support;
