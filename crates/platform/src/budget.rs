//! What this machine has room for, derived from its limits.

use saltdrum_platform_wire::config::Limits;

/// Standard streams, epoll and its waker, the signal pipe, listener, feed (an old and a new one), the file at a
/// reload, a connection that is only accepted to be turned away, and some to spare.
const SET_ASIDE: usize = 24;

/// Past these a controller stops reading, closes the silent and refuses: it never grows, and never fails for want of
/// a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to invokers, idle ones among them.
    pub lines: usize,
    /// Bytes of inputs that are held for invocations.
    pub bytes: usize,
}

impl Budget {
    pub fn of(limits: &Limits) -> Self {
        let left = limits.sockets.saturating_sub(SET_ASIDE).max(8);
        // Clients keep to a third of the limit; strangers beside them are closed first.
        let clients = (limits.sockets / 3 + left / 20).min(left / 2);
        let bytes = (limits.memory_mb * 1_048_576.0 / 8.0) as usize;
        Self {
            clients,
            lines: left - clients,
            bytes,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_parts_together_stay_under_the_limit() {
        for sockets in [32, 64, 256, 1_024, 4_096] {
            let b = Budget::of(&Limits {
                memory_mb: 32.0,
                sockets,
            });
            assert!(
                b.clients + b.lines + SET_ASIDE <= sockets,
                "{sockets}: {b:?}"
            );
            assert!(
                b.clients >= 4 && b.lines >= 4 && b.bytes == 4 << 20,
                "{sockets}: {b:?}"
            );
            assert!(sockets < 256 || b.clients > sockets / 3, "{sockets}: {b:?}");
        }
    }
}
