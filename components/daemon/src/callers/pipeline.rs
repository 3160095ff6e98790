//! The pipeline of one connection: requests that were read and not answered yet, and limits on all
//! pipelines of a node together.

use super::response::Response;
use async_channel::{Receiver, Sender};
use buffers::Holder;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// Maximum number of requests in one pipeline.
pub const MAX_PIPELINED: usize = 8;
/// Maximum number of requests that run behind an unanswered one, in all pipelines of a node.
const MAX_BEHIND: usize = 256;
/// Maximum size of buffered answers, in bytes: beyond it, no further request is added to a
/// pipeline. Requests that are running by then may still add their answers.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Requests and answers in all pipelines of a node.
#[derive(Debug, Default)]
pub struct PipelineUsage {
    behind: Cell<usize>,
    buffered_bytes: Cell<usize>,
}

impl PipelineUsage {
    fn has_capacity(&self) -> bool {
        self.behind.get() < MAX_BEHIND && self.buffered_bytes.get() < MAX_BUFFERED_BYTES
    }
}

/// An answer until it is written. Its connection holds its bytes until it is dropped.
#[derive(Debug)]
pub struct BufferedAnswer {
    /// The answer.
    pub res: Response,
    usage: Rc<PipelineUsage>,
    holder: Holder,
    bytes: usize,
    /// Whether it waits for earlier answers, or for the writer.
    is_waiting: bool,
}

impl BufferedAnswer {
    /// Counts the answer's bytes.
    pub fn new(usage: Rc<PipelineUsage>, holder: Holder, res: Response) -> BufferedAnswer {
        let bytes = res.body_bytes();
        usage.buffered_bytes.set(usage.buffered_bytes.get() + bytes);
        holder.answer_queued(bytes);
        BufferedAnswer {
            res,
            usage,
            holder,
            bytes,
            is_waiting: true,
        }
    }

    /// The answer no longer waits: it is being written.
    pub fn start_writing(&mut self) {
        if std::mem::take(&mut self.is_waiting) {
            let buffered_bytes = &self.usage.buffered_bytes;
            buffered_bytes.set(buffered_bytes.get() - self.bytes);
        }
    }
}

impl Drop for BufferedAnswer {
    fn drop(&mut self) {
        self.start_writing();
        self.holder.answer_written(self.bytes);
    }
}

/// One pipeline.
#[derive(Debug)]
pub struct Pipeline {
    usage: Rc<PipelineUsage>,
    holder: Holder,
    length: Cell<usize>,
    /// When it was created or its last answer was written.
    idle_since: Cell<Instant>,
    /// Whether the connection closes after the current answer.
    is_closing: Cell<bool>,
    changed: (Sender<()>, Receiver<()>),
}

impl Pipeline {
    /// An empty pipeline.
    pub fn new(usage: Rc<PipelineUsage>, holder: Holder) -> Pipeline {
        Pipeline {
            usage,
            holder,
            length: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            is_closing: Cell::new(false),
            changed: async_channel::bounded(1),
        }
    }

    /// Whether all requests that were read have been answered.
    pub fn is_empty(&self) -> bool {
        self.length.get() == 0
    }

    /// Whether another request may be added.
    pub fn has_capacity(&self) -> bool {
        self.is_empty()
            || self.length.get() < MAX_PIPELINED
                && self.usage.has_capacity()
                && !self.holder.exceeds_share()
    }

    /// Since when the pipeline is empty, if it is.
    pub fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// Marks the connection as closing after the current answer: requests behind it count as not
    /// read.
    pub fn start_closing(&self) {
        self.is_closing.set(true);
    }

    /// Whether the connection closes after the current answer.
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Adds a request.
    pub fn add_request(&self) {
        if !self.is_empty() {
            self.usage.behind.set(self.usage.behind.get() + 1);
        }
        self.length.set(self.length.get() + 1);
        self.holder.request_opened();
    }

    /// Removes the first request, which was answered.
    pub fn on_answered(&self) {
        self.remove(1);
        self.holder.request_closed();
        self.idle_since.set(Instant::now());
        // A full channel already holds a notification.
        self.changed.0.try_send(()).ok();
    }

    /// Waits until `condition` holds for the pipeline.
    pub async fn wait_until(&self, condition: impl Fn(&Pipeline) -> bool) {
        while !condition(self) {
            if self.changed.1.recv().await.is_err() {
                return;
            }
        }
    }

    /// Removes requests. All but the first of a pipeline run behind another one.
    fn remove(&self, count: usize) {
        let before = self.length.get();
        let after = before - count;
        let behind = before.saturating_sub(1) - after.saturating_sub(1);
        self.usage.behind.set(self.usage.behind.get() - behind);
        self.length.set(after);
    }
}

impl Drop for Pipeline {
    fn drop(&mut self) {
        self.remove(self.length.get());
    }
}
