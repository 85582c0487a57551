//! Reuse and closing of idle connections to invokers.

use super::InvokerPools;
use crate::invoker_connection::InvokerConnection;
use saltdrum::interface::*;

/// Fraction of the configured idle timeout after which an idle connection is closed, before the invoker closes it.
const IDLE_TIMEOUT_FRACTION: (Ticks, Ticks) = (3, 4);
/// A connection is not reused for this long after a response, measured at event loop polls: a duplicate response or
/// garbage may arrive some milliseconds late, and would be read as the response to the next request.
const CONNECTION_REUSE_DELAY: Ticks = 30 * MILLISECOND;

impl InvokerPools {
    /// Closes idle connections that are broken or that the invoker would close soon, and removes pools of gone
    /// invokers.
    pub(crate) fn sweep(&mut self, now: Ticks) {
        let max_idle_time = self.max_idle_time();
        for (invoker, pool) in &mut self.pools {
            pool.idle.retain(|(since, _)| now < since + max_idle_time);
            let before = pool.idle.len();
            pool.idle.retain(|(_, connection)| connection.is_reusable());
            if pool.idle.len() < before {
                self.lost_connections.insert(*invoker, now);
            }
        }
        self.pools
            .retain(|_, pool| pool.status != InvokerStatus::Gone || pool.active_requests > 0);
        let pools = &self.pools;
        self.by_address
            .retain(|_, invoker| pools.contains_key(invoker));
    }

    /// Makes capacity for one more connection by closing the longest idle connection to any invoker.
    pub(super) fn make_capacity(&mut self) -> bool {
        if self.open_connections.get() < self.budget.lines {
            return true;
        }
        let longest_idle = self
            .pools
            .iter()
            .filter_map(|(invoker, pool)| Some((pool.idle.first()?.0, *invoker)))
            .min();
        let Some(pool) = longest_idle.and_then(|(_, invoker)| self.pools.get_mut(&invoker)) else {
            return false;
        };
        pool.idle.remove(0);
        self.open_connections.get() < self.budget.lines
    }

    /// How long an idle connection may be kept.
    fn max_idle_time(&self) -> Ticks {
        self.connection_idle_timeout * IDLE_TIMEOUT_FRACTION.0 / IDLE_TIMEOUT_FRACTION.1
    }

    /// Removes and returns the most recently used idle connection that may be reused now, and closes those that expired
    /// or broke.
    pub(super) fn take_idle(
        &mut self,
        now: Ticks,
        last_polled: Ticks,
        invoker: InvokerId,
    ) -> Option<InvokerConnection> {
        let max_idle_time = self.max_idle_time();
        let pool = self.pools.get_mut(&invoker)?;
        for index in (0..pool.idle.len()).rev() {
            let since = pool.idle[index].0;
            if last_polled < since + CONNECTION_REUSE_DELAY {
                continue;
            }
            let (_, idle) = pool.idle.remove(index);
            if now >= since + max_idle_time {
                continue;
            }
            if idle.is_reusable() {
                return Some(idle);
            }
            self.lost_connections.insert(invoker, now);
        }
        None
    }

    /// Returns a connection whose request has ended to its pool, unless the invoker's process has changed since.
    pub(crate) fn return_connection(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        epoch: u32,
        connection: InvokerConnection,
    ) {
        if let Some(pool) = self
            .pools
            .get_mut(&invoker)
            .filter(|pool| pool.epoch == epoch && pool.status != InvokerStatus::Gone)
        {
            pool.idle.push((now, connection));
        }
    }
}
