//! Work that counts as under way for as long as it lives, also when it is given up.

use std::cell::Cell;

/// One piece of work that is counted.
pub struct Counted<'a>(&'a Cell<u32>);

impl<'a> Counted<'a> {
    /// Counts one more.
    pub fn begin(count: &'a Cell<u32>) -> Counted<'a> {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
