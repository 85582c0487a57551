//! Counts descriptors in use.

use std::cell::Cell;
use std::rc::Rc;

/// Counts a descriptor for as long as it lives.
pub(crate) struct DescriptorGuard(Rc<Cell<usize>>);

impl DescriptorGuard {
    /// Counts one more.
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
