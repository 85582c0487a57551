//! Counts open file descriptors.

use std::cell::Cell;
use std::rc::Rc;

/// Counts one descriptor until it is dropped.
pub(crate) struct DescriptorGuard(Rc<Cell<usize>>);

impl DescriptorGuard {
    /// Increments the count.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for DescriptorGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
