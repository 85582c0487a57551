//! Tests of the complete controller; one file for each topic, helpers in the two `support` files.

mod closes;
mod deadlines;
mod degraded_peers;
mod races;
mod socket_support;
mod stalls;
mod support;
mod whole_path;
