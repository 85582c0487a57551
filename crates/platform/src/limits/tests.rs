use super::*;

fn limits_of(memory_mb: f64, descriptors: usize) -> ResourceLimits {
    ResourceLimits::of(&MachineLimits {
        memory_mb,
        descriptors,
    })
}

#[test]
fn bounds_stay_within_the_descriptor_limit() {
    for sockets in [32, 64, 256, 1_024, 4_096] {
        let bounds = limits_of(192.0, sockets);
        assert!(
            bounds.clients + bounds.lines + RESERVED_DESCRIPTORS <= sockets,
            "{sockets}: {bounds:?}"
        );
        assert!(
            bounds.clients >= 4 && bounds.lines >= 4,
            "{sockets}: {bounds:?}"
        );
        assert!(
            sockets < 256 || bounds.clients > sockets / 3,
            "{sockets}: {bounds:?}"
        );
    }
}

/// Guards against bounds that each fit into the memory while their sum does not.
#[test]
fn sum_of_all_bounds_stays_within_five_eighths_of_the_memory() {
    for memory_mb in [32_u32, 40, 64, 192] {
        for sockets in [256, 960, 1_024] {
            let bounds = limits_of(f64::from(memory_mb), sockets);
            let connections = bounds.clients as u64 * CLIENT_CONNECTION_BYTES
                + bounds.lines as u64 * INVOKER_CONNECTION_BYTES;
            let sum = connections
                + (bounds.client_bytes + bounds.response_bytes) as u64
                + bounds.recent_ids as u64 * RECENT_ID_BYTES;
            let memory = u64::from(memory_mb) << 20;
            assert!(sum <= memory * 5 / 8, "{memory_mb} MB: {sum} by {bounds:?}");
            assert!(
                bounds.clients > sockets / 3 && bounds.lines >= 128,
                "{memory_mb} MB, {sockets}: {bounds:?}"
            );
        }
    }
}
