//! Counts work in progress, including work whose future is dropped before it completes.

use std::cell::Cell;

/// Guard that counts one piece of work until it is dropped.
pub struct CountGuard<'a>(&'a Cell<u32>);

impl<'a> CountGuard<'a> {
    /// Increments the count.
    pub fn new(count: &'a Cell<u32>) -> CountGuard<'a> {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
