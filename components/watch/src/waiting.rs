//! Callers of a node without declarations, which wait while the node reads them.

use std::cell::Cell;

/// Callers that wait at the same time at most. At 300 requests a second a node takes in so many within 1.7 s.
pub const MAX_WAITING: usize = 512;
/// Bytes of their requests, at most: what rows of answers may hold as well.
pub const MAX_WAITING_BYTES: usize = 4 * 1024 * 1024;

/// What all of them hold together.
#[derive(Debug, Default)]
pub struct WaitingCallers {
    callers: Cell<usize>,
    bytes: Cell<usize>,
}

/// The place of one of them.
#[derive(Debug)]
pub struct WaitReservation<'a> {
    waiting: &'a WaitingCallers,
    bytes: usize,
}

impl WaitingCallers {
    /// A place for a request of so many bytes; none when there is no room left.
    pub fn reserve(&self, bytes: usize) -> Option<WaitReservation<'_>> {
        let callers = self.callers.get() + 1;
        let held = self.bytes.get() + bytes;
        if callers > MAX_WAITING || held > MAX_WAITING_BYTES {
            return None;
        }
        self.callers.set(callers);
        self.bytes.set(held);
        Some(WaitReservation {
            waiting: self,
            bytes,
        })
    }
}

impl Drop for WaitReservation<'_> {
    fn drop(&mut self) {
        let waiting = self.waiting;
        waiting.callers.set(waiting.callers.get() - 1);
        waiting.bytes.set(waiting.bytes.get() - self.bytes);
    }
}
