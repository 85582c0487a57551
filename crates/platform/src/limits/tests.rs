use super::*;

#[test]
fn all_parts_together_stay_under_the_limit() {
    for sockets in [32, 64, 256, 1_024, 4_096] {
        let b = ResourceLimits::of(&MachineLimits {
            memory_mb: 32.0,
            descriptors: sockets,
        });
        assert!(
            b.clients + b.lines + RESERVED_DESCRIPTORS <= sockets,
            "{sockets}: {b:?}"
        );
        assert!(
            b.clients >= 4 && b.lines >= 4 && b.bytes == 4 << 20,
            "{sockets}: {b:?}"
        );
        assert!(sockets < 256 || b.clients > sockets / 3, "{sockets}: {b:?}");
    }
}
