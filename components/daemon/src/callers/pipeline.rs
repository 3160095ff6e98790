//! The pipeline of one connection: requests that were read and not answered yet, and what all pipelines of a node may hold.

use super::response::Response;
use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// Requests in one pipeline at most.
pub const MOST_PIPELINED: usize = 8;
/// Requests in all pipelines of a node that run behind another one, at most.
const MOST_BEHIND: usize = 256;
/// Bytes of answers that wait for their turn, at most: beyond it no further request joins a pipeline. What runs by then may
/// still add its answers.
const MOST_HELD_BYTES: usize = 4 * 1024 * 1024;

/// What all pipelines of a node hold together.
#[derive(Debug, Default)]
pub struct Pipelines {
    behind: Cell<usize>,
    held_bytes: Cell<usize>,
}

impl Pipelines {
    fn has_room(&self) -> bool {
        self.behind.get() < MOST_BEHIND && self.held_bytes.get() < MOST_HELD_BYTES
    }
}

/// An answer that waits for its turn; its bytes count for as long as it lives.
#[derive(Debug)]
pub struct Held {
    /// The answer.
    pub res: Response,
    pipelines: Rc<Pipelines>,
    bytes: usize,
}

impl Held {
    /// Counts an answer.
    pub fn new(pipelines: Rc<Pipelines>, res: Response) -> Held {
        let bytes = res.body_bytes();
        pipelines.held_bytes.set(pipelines.held_bytes.get() + bytes);
        Held {
            res,
            pipelines,
            bytes,
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let pipelines = &self.pipelines;
        pipelines
            .held_bytes
            .set(pipelines.held_bytes.get() - self.bytes);
    }
}

/// One pipeline.
#[derive(Debug)]
pub struct Pipeline {
    pipelines: Rc<Pipelines>,
    length: Cell<usize>,
    /// When it was last empty.
    rests_since: Cell<Instant>,
    /// Whether the answer that is being written closes the connection.
    closes: Cell<bool>,
    changed: (Sender<()>, Receiver<()>),
}

impl Pipeline {
    /// An empty pipeline.
    pub fn new(pipelines: Rc<Pipelines>) -> Pipeline {
        Pipeline {
            pipelines,
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
        self.is_empty() || self.length.get() < MOST_PIPELINED && self.pipelines.has_room()
    }

    /// Since when the pipeline is empty.
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
            self.pipelines.behind.set(self.pipelines.behind.get() + 1);
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

    /// Ends once `fits` holds of the pipeline.
    pub async fn until(&self, fits: impl Fn(&Pipeline) -> bool) {
        while !fits(self) {
            if self.changed.1.recv().await.is_err() {
                return;
            }
        }
    }

    /// All but the first of a pipeline run behind another one.
    fn leave(&self, count: usize) {
        let before = self.length.get();
        let after = before - count;
        let behind = before.saturating_sub(1) - after.saturating_sub(1);
        self.pipelines
            .behind
            .set(self.pipelines.behind.get() - behind);
        self.length.set(after);
    }
}

impl Drop for Pipeline {
    fn drop(&mut self) {
        self.leave(self.length.get());
    }
}
