//! Wakes all tasks that wait for the same event.

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use std::cell::RefCell;
use std::time::Duration;

/// An event that may occur several times. Each occurrence closes the channel on which the current
/// waiters listen.
#[derive(Debug)]
pub struct Wakeup {
    channel: RefCell<(Sender<()>, Receiver<()>)>,
}

impl Default for Wakeup {
    fn default() -> Wakeup {
        Wakeup {
            channel: RefCell::new(async_channel::bounded(1)),
        }
    }
}

impl Wakeup {
    /// Wakes all current waiters.
    pub fn wake(&self) {
        let (tx, _) = self.channel.replace(async_channel::bounded(1));
        tx.close();
    }

    /// Waits for the next occurrence, for at most `limit`.
    pub async fn wait(&self, limit: Duration) {
        let rx = self.channel.borrow().1.clone();
        timeout(limit, rx.recv()).await.ok();
    }
}
