use super::*;

#[test]
fn bounds_stay_within_the_descriptor_limit() {
    for sockets in [32, 64, 256, 1_024, 4_096] {
        let bounds = ResourceLimits::of(&MachineLimits {
            memory_mb: 32.0,
            descriptors: sockets,
        });
        assert!(
            bounds.clients + bounds.lines + RESERVED_DESCRIPTORS <= sockets,
            "{sockets}: {bounds:?}"
        );
        assert!(
            bounds.clients >= 4 && bounds.lines >= 4 && bounds.bytes == 4 << 20,
            "{sockets}: {bounds:?}"
        );
        assert!(
            sockets < 256 || bounds.clients > sockets / 3,
            "{sockets}: {bounds:?}"
        );
    }
}
