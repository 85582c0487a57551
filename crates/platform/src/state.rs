//! What all files of a controller on the platform share: its handle, its state and its fixed configuration.

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
/// What the handle guards: the policy and the invocations in flight.
pub(crate) type ControllerState = saltdrum_controller::ControllerState<InvokerPools>;

/// Where a controller sits on the platform.
pub struct NodeConfig {
    pub(crate) seed: u64,
    pub(crate) deployment: Deployment,
    pub(crate) trigger_names: Rc<[String]>,
    pub(crate) tenant_names: Vec<String>,
    pub(crate) budget: ResourceLimits,
    pub(crate) clients: Clients,
    pub(crate) feed: EndpointWatch,
    pub(crate) wall_clock: WallClock,
    /// How the wall clock has stood, to tell starts of invokers by.
    pub(crate) wall_clock_history: RefCell<WallClockHistory>,
}

impl NodeConfig {
    /// Keeps in mind how the wall clock stands.
    pub(crate) fn look_at_wall_clock(&self, now: Ticks) {
        self.wall_clock_history
            .borrow_mut()
            .seen((self.wall_clock)(), now);
    }
}
