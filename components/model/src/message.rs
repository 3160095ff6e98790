//! Messages between nodes, and scheduled events.

use entry::Event;
use home::{Load, Offer};
use names::{AttemptId, Moment};

/// Index of a request in the world; calls of upstreams have their own.
pub(crate) type RequestId = usize;

/// A message between two nodes.
#[derive(Debug)]
pub(crate) enum Message {
    /// To the node of an upstream.
    Offer {
        /// The offering node.
        from: usize,
        req: RequestId,
        offer: Offer,
    },
    /// To the node of an upstream: the result is no longer needed.
    Cancel(AttemptId),
    /// To the offering node: the run takes much longer than is typical.
    Straggles { req: RequestId, id: AttemptId },
    /// To the offering node: the result of the attempt.
    Ended {
        /// The node of the upstream.
        from: usize,
        req: RequestId,
        /// Load of the upstream.
        load: Load,
        /// Result of the attempt; an answer carries whether it is a success.
        event: Event<bool>,
    },
}

/// An event on the virtual clock.
#[derive(Debug)]
pub(crate) enum ScheduledEvent {
    /// A try of a caller reaches its node.
    TryArrives { caller: usize },
    /// A message reaches a node.
    Delivered { to: usize, message: Message },
    /// A request's deadline passes at its entry node.
    Expired { req: RequestId },
    /// An upstream has finished its own work on an attempt.
    WorkDone { vm: usize, id: AttemptId },
    /// An upstream aborts an attempt at its deadline.
    TimedOut { vm: usize, id: AttemptId },
    /// The result of a health probe reaches the node.
    ProbeResult { vm: usize },
    /// An upstream is back after a crash.
    UpstreamUp { vm: usize },
    /// An upstream goes down, until the given time.
    UpstreamDown { vm: usize, until: Moment },
    /// Tick of a node's home duty.
    Tick { vm: usize },
}
