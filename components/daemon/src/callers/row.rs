//! The row of one connection: requests that were read and not answered yet, and what all rows of a node may hold.

use super::response::Response;
use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// Requests in one row at most.
pub const MOST_IN_ROW: usize = 8;
/// Requests in all rows of a node that run behind another one, at most.
const MOST_BEHIND: usize = 256;
/// Bytes of answers that wait for their turn, at most: beyond it no further request joins a row. What runs by then may
/// still add its answers.
const MOST_HELD_BYTES: usize = 4 * 1024 * 1024;

/// What all rows of a node hold together.
#[derive(Debug, Default)]
pub struct Rows {
    behind: Cell<usize>,
    held_bytes: Cell<usize>,
}

impl Rows {
    fn has_room(&self) -> bool {
        self.behind.get() < MOST_BEHIND && self.held_bytes.get() < MOST_HELD_BYTES
    }
}

/// An answer that waits for its turn; its bytes count for as long as it lives.
#[derive(Debug)]
pub struct Held {
    /// The answer.
    pub res: Response,
    rows: Rc<Rows>,
    bytes: usize,
}

impl Held {
    /// Counts an answer.
    pub fn new(rows: Rc<Rows>, res: Response) -> Held {
        let bytes = res.body_bytes();
        rows.held_bytes.set(rows.held_bytes.get() + bytes);
        Held { res, rows, bytes }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let rows = &self.rows;
        rows.held_bytes.set(rows.held_bytes.get() - self.bytes);
    }
}

/// One row.
#[derive(Debug)]
pub struct Row {
    rows: Rc<Rows>,
    length: Cell<usize>,
    /// When it was last empty.
    rests_since: Cell<Instant>,
    /// Whether the answer that is being written closes the connection.
    closes: Cell<bool>,
    changed: (Sender<()>, Receiver<()>),
}

impl Row {
    /// An empty row.
    pub fn new(rows: Rc<Rows>) -> Row {
        Row {
            rows,
            length: Cell::new(0),
            rests_since: Cell::new(Instant::now()),
            closes: Cell::new(false),
            changed: async_channel::bounded(1),
        }
    }

    /// Whether every request that was read has been answered.
    pub fn is_empty(&self) -> bool {
        self.length.get() == 0
    }

    /// Whether another request may join.
    pub fn has_room(&self) -> bool {
        self.is_empty() || self.length.get() < MOST_IN_ROW && self.rows.has_room()
    }

    /// Since when the row is empty.
    pub fn rests_since(&self) -> Instant {
        self.rests_since.get()
    }

    /// The connection ends with the answer that is written now: what comes behind it counts as not read.
    pub fn close(&self) {
        self.closes.set(true);
    }

    /// Whether the connection ends with the answer that is written now.
    pub fn closes(&self) -> bool {
        self.closes.get()
    }

    /// A request joins.
    pub fn join(&self) {
        if !self.is_empty() {
            self.rows.behind.set(self.rows.behind.get() + 1);
        }
        self.length.set(self.length.get() + 1);
    }

    /// The first request was answered.
    pub fn answered(&self) {
        self.leave(1);
        self.rests_since.set(Instant::now());
        // A full channel means that the change is told already.
        self.changed.0.try_send(()).ok();
    }

    /// Ends once `fits` holds of the row.
    pub async fn until(&self, fits: impl Fn(&Row) -> bool) {
        while !fits(self) {
            if self.changed.1.recv().await.is_err() {
                return;
            }
        }
    }

    /// All but the first of a row run behind another one.
    fn leave(&self, count: usize) {
        let before = self.length.get();
        let after = before - count;
        let behind = before.saturating_sub(1) - after.saturating_sub(1);
        self.rows.behind.set(self.rows.behind.get() - behind);
        self.length.set(after);
    }
}

impl Drop for Row {
    fn drop(&mut self) {
        self.leave(self.length.get());
    }
}
