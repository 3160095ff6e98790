//! Work that counts as under way for as long as it lives, also when it is given up.

use std::cell::Cell;

/// One piece of work that is counted.
pub struct CountGuard<'a>(&'a Cell<u32>);

impl<'a> CountGuard<'a> {
    /// Counts one more.
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
