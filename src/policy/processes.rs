//! The processes of invokers. When the process of an invoker ends, everything that was loaded there is gone. That is
//! recorded once for the invoker, not for each function: the state of each instance carries the number of the process
//! to which it belongs, and is void for all later ones.

use crate::interface::InvokerId;
use std::collections::BTreeMap;

/// Number of a process of an invoker: how many earlier ones ended since an instance at the invoker is tracked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProcessNumber(u32);

/// The current process of an invoker with tracked instances.
#[derive(Default)]
struct CurrentProcess {
    number: ProcessNumber,
    /// Number of tracked instances at the invoker.
    instances: usize,
}

/// The current processes of all invokers with tracked instances.
#[derive(Default)]
pub(super) struct InvokerProcesses {
    current: BTreeMap<InvokerId, CurrentProcess>,
    /// Number of tracked instances at all invokers.
    instances: usize,
}

impl InvokerProcesses {
    /// Number of the current process of an invoker.
    pub(super) fn number(&self, invoker: InvokerId) -> ProcessNumber {
        let current = self.current.get(&invoker);
        current.map_or_else(ProcessNumber::default, |current| current.number)
    }

    /// Records that the current process of an invoker has ended.
    pub(super) fn ended(&mut self, invoker: InvokerId) {
        // Without an instance at the invoker, nothing refers to its processes.
        if let Some(current) = self.current.get_mut(&invoker) {
            current.number.0 += 1;
        }
    }

    /// Counts a new instance, and returns the number of the process to which it belongs.
    pub(super) fn instance_added(&mut self, invoker: InvokerId) -> ProcessNumber {
        self.instances += 1;
        let current = self.current.entry(invoker).or_default();
        current.instances += 1;
        current.number
    }

    /// Counts an instance that is no longer tracked.
    pub(super) fn instance_removed(&mut self, invoker: InvokerId) {
        self.instances -= 1;
        let Some(current) = self.current.get_mut(&invoker) else {
            return;
        };
        current.instances -= 1;
        if current.instances == 0 {
            self.current.remove(&invoker);
        }
    }

    /// Number of tracked instances at all invokers.
    pub(super) fn instances(&self) -> usize {
        self.instances
    }
}
