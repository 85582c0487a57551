//! Types that the modules of this package share: the controller's handle, state and configuration.

use crate::clients::Clients;
use crate::endpoint_watch::EndpointWatch;
use crate::invoker_pools::InvokerPools;
use crate::limits::ResourceLimits;
use crate::start_times::{WallClock, WallClockHistory};
use saltdrum::interface::{Deployment, Ticks};
use std::cell::RefCell;
use std::rc::Rc;

/// The controller core with the platform's transport.
pub(crate) type ControllerHandle = saltdrum_controller::ControllerHandle<InvokerPools>;
/// The state behind the handle: the policy and the invocations in flight.
pub(crate) type ControllerState = saltdrum_controller::ControllerState<InvokerPools>;

/// The configuration of a controller on the platform, with its client connections and its endpoint feed.
pub struct NodeConfig {
    pub(crate) seed: u64,
    pub(crate) deployment: Deployment,
    pub(crate) trigger_names: Rc<[String]>,
    pub(crate) tenant_names: Vec<String>,
    pub(crate) budget: ResourceLimits,
    pub(crate) clients: Clients,
    pub(crate) feed: EndpointWatch,
    pub(crate) wall_clock: WallClock,
    /// Past offsets of the wall clock, to convert the start times of invokers.
    pub(crate) wall_clock_history: RefCell<WallClockHistory>,
}

impl NodeConfig {
    /// Records the current offset of the wall clock.
    pub(crate) fn observe_wall_clock(&self, now: Ticks) {
        self.wall_clock_history
            .borrow_mut()
            .observe((self.wall_clock)(), now);
    }
}
