//! What happens to a call, what the daemon has to do for it, and how it ends.

use home::{QueryReply, Reason, Refusal, Suspicion};
use names::{AttemptId, Name};

/// What the policy says of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Treatment {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Priority; a higher number is served first.
    pub priority: u8,
    /// Runs of a repeatable request at most, counting the first.
    pub max_runs: u32,
    /// Upstreams that may see the request at most, counting those that turned it away unrun.
    pub max_arrivals: u32,
    /// Who sent the request.
    pub origin: Origin,
}

/// Who sends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A client.
    Client,
    /// An upstream, for a request that it runs.
    Upstream,
    /// An upstream, for a request that another one has seen before: the call is a repeat too.
    UpstreamRepeat,
}

/// Something that happened to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event<A> {
    /// The call starts.
    Begin,
    /// The home duty refused the attempt.
    Refused(AttemptId, Refusal),
    /// The home duty handed the queued attempt back.
    Revoked(AttemptId),
    /// A whole answer; `error` when it reports an error of the upstream.
    Answered {
        /// The attempt that ran.
        id: AttemptId,
        /// The whole answer.
        answer: A,
        /// Whether the upstream reports an error of its own.
        error: bool,
    },
    /// The upstream broke off: the attempt ran, and there is no whole answer.
    Broken(AttemptId),
    /// The upstream ended while it ran the attempt.
    UpstreamTerminated {
        /// The attempt that ran.
        id: AttemptId,
        /// The VMs at which the request may run now, the best first; none when it is held.
        order: Vec<Name>,
    },
    /// No byte of the offer left this node.
    NotSent(AttemptId),
    /// The connection to the home node broke after the offer was sent.
    ConnectionLost(AttemptId),
    /// The home duty's answer to a question.
    QueryReplied(AttemptId, QueryReply<A>),
    /// The home duty that had the attempt is gone or can't be reached.
    NodeGone(AttemptId),
    /// The home node does not answer heartbeats.
    NodeUnresponsive(AttemptId),
    /// The attempt's run takes much longer than usual.
    Straggles(AttemptId),
    /// The caller's deadline passed.
    Expired,
    /// The caller closed its connection.
    CallerDisconnected,
}

impl<A> Event<A> {
    /// Whether the event is a report on an attempt that goes on, and no outcome of it.
    pub fn is_report(&self) -> bool {
        matches!(self, Event::Straggles(_))
    }

    /// A fixed lower-case name, used as a metric label.
    pub fn as_str(&self) -> &'static str {
        match self {
            Event::Begin => "begin",
            Event::Refused(..) => "refused",
            Event::Revoked(_) => "handed-back",
            Event::Answered { .. } => "answered",
            Event::Broken(_) => "broken",
            Event::UpstreamTerminated { .. } => "upstream-ended",
            Event::NotSent(_) => "not-sent",
            Event::ConnectionLost(_) => "lost",
            Event::QueryReplied(..) => "told",
            Event::NodeGone(_) => "gone",
            Event::NodeUnresponsive(_) => "silent",
            Event::Straggles(_) => "straggles",
            Event::Expired => "expired",
            Event::CallerDisconnected => "hung-up",
        }
    }
}

/// Something the daemon has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<A> {
    /// Offer the request to the home duty beside `to`.
    Offer {
        /// The new attempt.
        id: AttemptId,
        /// The VM.
        to: Name,
        /// Whether it may be queued there.
        may_queue: bool,
        /// Whether an upstream has seen the request before.
        repeat: bool,
        /// Whether an upstream ended while it ran the request.
        suspicion: Suspicion,
    },
    /// Ask the home duty beside `to` about the attempt.
    Query {
        /// The attempt.
        id: AttemptId,
        /// The VM.
        to: Name,
    },
    /// Tell the home duty beside `to` that nobody waits for the attempt.
    Cancel {
        /// The attempt.
        id: AttemptId,
        /// The VM.
        to: Name,
    },
    /// Give the caller its outcome.
    Finish(Outcome<A>),
}

/// What the caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<A> {
    /// The whole answer.
    Answered(A),
    /// Not run anywhere, and never will be.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Reason),
}
