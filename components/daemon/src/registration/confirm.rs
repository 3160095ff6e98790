//! Confirms that the store holds what this node is about to acknowledge.

use super::records::{write_if_due, StoreContent};
use super::Registration;
use crate::local;
use crate::node::Node;
use async_channel::Sender;
use async_std::future::timeout;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Writes that a task waits for: one that was in progress when it began, and one after it.
const MAX_WRITES: u32 = 2;

/// The write of this node's record that acknowledgements wait for.
#[derive(Debug, Default)]
pub(super) struct ConfirmingWrite {
    is_running: Cell<bool>,
    /// Dropped when the write ends.
    waiting: RefCell<Vec<Sender<()>>>,
}

impl ConfirmingWrite {
    fn add_waiting(&self, tx: Sender<()>) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|tx| !tx.is_closed());
        waiting.push(tx);
    }
}

/// Marks the write as ended when it is dropped, also by a panic.
struct Running(Rc<Registration>);

impl Drop for Running {
    fn drop(&mut self) {
        let write = &self.0.confirming_write;
        write.is_running.set(false);
        write.waiting.borrow_mut().clear();
    }
}

/// Writes this node's record unless the store holds it already. Returns whether it does within
/// `limit`. The write goes on after that, until the store accepts it.
pub(super) async fn stored_within(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    limit: Duration,
    is_stored: impl Fn(&StoreContent) -> bool + 'static,
) -> bool {
    let is_stored = Rc::new(is_stored);
    let writes = async {
        for _ in 0..MAX_WRITES {
            if is_stored(&registration.stored.borrow()) {
                return;
            }
            write(node, registration, is_stored.clone()).await;
        }
    };
    timeout(limit, writes).await.ok();
    let stored = registration.stored.borrow();
    is_stored(&stored)
}

/// Waits for the end of the running write, or starts one. It is not cancelled with this future,
/// since a write without an answer may still take effect later.
async fn write(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    is_stored: Rc<impl Fn(&StoreContent) -> bool + 'static>,
) {
    let write = &registration.confirming_write;
    let (tx, rx) = async_channel::bounded(1);
    write.add_waiting(tx);
    if !write.is_running.replace(true) {
        let running = Running(registration.clone());
        let node = node.clone();
        local::spawn_contained("confirming-write", async move {
            write_if_due(&node, &running.0, |stored| !is_stored(stored)).await;
        });
    }
    // Nothing is sent: the result says that the write has ended.
    rx.recv().await.ok();
}
