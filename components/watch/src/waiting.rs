//! Limits on callers that wait while a node without declarations reads them.

use std::cell::Cell;

/// Maximum number of callers that wait at the same time: at 300 requests per second, a node
/// receives that many within 1.7 s.
pub const MAX_WAITING: usize = 512;
/// Maximum size of their requests in total, in bytes; the same limit as for pipelined answers.
pub const MAX_WAITING_BYTES: usize = 4 * 1024 * 1024;

/// Capacity in use by the waiting callers.
#[derive(Debug, Default)]
pub struct WaitingCallers {
    callers: Cell<usize>,
    bytes: Cell<usize>,
}

/// Capacity reserved for one waiting caller; released when dropped.
#[derive(Debug)]
pub struct WaitReservation<'a> {
    waiting: &'a WaitingCallers,
    bytes: usize,
}

impl WaitingCallers {
    /// Reserves capacity for a request of `bytes` bytes; none if a limit is reached.
    pub fn reserve(&self, bytes: usize) -> Option<WaitReservation<'_>> {
        let callers = self.callers.get() + 1;
        let total_bytes = self.bytes.get() + bytes;
        if callers > MAX_WAITING || total_bytes > MAX_WAITING_BYTES {
            return None;
        }
        self.callers.set(callers);
        self.bytes.set(total_bytes);
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
