//! What passes between nodes, and what happens at its time.

use entry::Event;
use home::{Load, Offer};
use names::{AttemptId, Moment};

/// Number of a request in the world, calls of upstreams included.
pub(crate) type RequestId = usize;

/// A message between two nodes.
#[derive(Debug)]
pub(crate) enum Message {
    /// To the node beside an upstream.
    Offer {
        /// The node that offers.
        from: usize,
        /// The request.
        req: RequestId,
        /// The offer.
        offer: Offer,
    },
    /// To the node beside an upstream: nobody waits any more.
    Cancel(AttemptId),
    /// To the node that made an offer: the run takes much longer than usual.
    Straggles {
        /// The request.
        req: RequestId,
        /// The attempt.
        id: AttemptId,
    },
    /// To the node that made an offer: what became of it, and the state of the upstream.
    Ended {
        /// The node beside the upstream.
        from: usize,
        /// The request.
        req: RequestId,
        /// State of the upstream.
        load: Load,
        /// What became of the attempt; the answer says whether it is a good one.
        event: Event<bool>,
    },
}

/// Something that happens.
#[derive(Debug)]
pub(crate) enum Happening {
    /// A caller makes a try.
    Arrives { caller: usize },
    /// A message reaches a node.
    Delivered { to: usize, message: Message },
    /// A request's deadline passes at its node.
    Expired { req: RequestId },
    /// An upstream has done its own work on an attempt.
    Worked { vm: usize, id: AttemptId },
    /// An upstream gives up an attempt at its deadline.
    RanOut { vm: usize, id: AttemptId },
    /// An upstream's word on its pace reaches its node.
    ProbeResult { vm: usize },
    /// An upstream that fell over is back.
    Back { vm: usize },
    /// An upstream is gone until a moment.
    Gone { vm: usize, until: Moment },
    /// A node lets the time of its home duty pass.
    Tick { vm: usize },
}
