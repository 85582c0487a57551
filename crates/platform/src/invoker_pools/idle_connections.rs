//! Idle connections to invokers: which are kept, reused and closed.

use super::InvokerPools;
use crate::invoker_connection::InvokerConnection;
use saltdrum::interface::*;

/// An idle connection is closed before the invoker would close it: at this fraction of the configured idle timeout.
const IDLE_TIMEOUT_FRACTION: (Ticks, Ticks) = (3, 4);
/// A connection is not reused for this long after a response, as measured at event loop polls: a duplicate response, or
/// noise, may come some milliseconds late, and would be read as the response to the next request.
const CONNECTION_REUSE_DELAY: Ticks = 30 * MILLISECOND;

impl InvokerPools {
    /// Drops idle connections that the invoker would soon close or that are broken, and pools of invokers that are gone.
    pub(crate) fn sweep(&mut self, now: Ticks) {
        let max_idle_time = self.max_idle_time();
        for (invoker, pool) in &mut self.pools {
            pool.idle.retain(|(since, _)| now < since + max_idle_time);
            let kept = pool.idle.len();
            pool.idle.retain(|(_, connection)| connection.is_reusable());
            if pool.idle.len() < kept {
                self.lost_connections.insert(*invoker, now);
            }
        }
        self.pools
            .retain(|_, pool| pool.status != InvokerStatus::Gone || pool.active_requests > 0);
    }

    /// Makes capacity for one more connection: closes the one that was idle longest, wherever it leads.
    pub(super) fn make_capacity(&mut self) -> bool {
        if self.open.get() < self.budget.lines {
            return true;
        }
        let longest = self
            .pools
            .iter()
            .filter_map(|(invoker, pool)| Some((pool.idle.first()?.0, *invoker)))
            .min();
        let Some(pool) = longest.and_then(|(_, invoker)| self.pools.get_mut(&invoker)) else {
            return false;
        };
        pool.idle.remove(0);
        self.open.get() < self.budget.lines
    }

    /// How long an idle connection may be kept.
    fn max_idle_time(&self) -> Ticks {
        self.connection_idle_timeout * IDLE_TIMEOUT_FRACTION.0 / IDLE_TIMEOUT_FRACTION.1
    }

    /// Takes the freshest idle connection that may be reused now, and drops those that may not any more.
    pub(super) fn take_idle(
        &mut self,
        now: Ticks,
        last_polled: Ticks,
        invoker: InvokerId,
    ) -> Option<InvokerConnection> {
        let max_idle_time = self.max_idle_time();
        let pool = self.pools.get_mut(&invoker)?;
        for i in (0..pool.idle.len()).rev() {
            let since = pool.idle[i].0;
            if last_polled < since + CONNECTION_REUSE_DELAY {
                continue;
            }
            let (_, idle) = pool.idle.remove(i);
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

    /// Takes back a connection whose request has ended, unless it leads to another process by now.
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
