//! Events, actions and outcomes of a call.

use home::{QueryReply, Reason, Refusal, Suspicion};
use names::{AttemptId, Name};

/// How one request may be run, as set by the policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Treatment {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Priority; a higher number is served first.
    pub priority: u8,
    /// Maximum number of runs of a repeatable request, including the first.
    pub max_runs: u32,
    /// Maximum number of upstreams that may receive the request, including those that reject it
    /// unrun.
    pub max_arrivals: u32,
    /// The sender of the request.
    pub origin: Origin,
}

/// The sender of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A client.
    Client,
    /// An upstream, for a request that it is running.
    Upstream,
    /// An upstream, for a request that another upstream received before, so that the call is a
    /// repeat too.
    UpstreamRepeat,
}

/// Input of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event<A> {
    /// The call starts.
    Begin,
    /// The home duty refused the attempt.
    Refused(AttemptId, Refusal),
    /// The home duty revoked the attempt before it ran.
    Revoked(AttemptId),
    /// A complete answer has arrived.
    Answered {
        /// The attempt that ran.
        id: AttemptId,
        /// The complete answer.
        answer: A,
        /// Whether the answer reports an error of the upstream.
        error: bool,
    },
    /// The upstream aborted the exchange: the attempt ran, and there is no complete answer.
    Broken(AttemptId),
    /// The upstream terminated while running the attempt.
    UpstreamTerminated {
        /// The attempt that ran.
        id: AttemptId,
        /// The VMs at which the request may run now, in order of preference. Empty if it is
        /// quarantined.
        order: Vec<Name>,
    },
    /// No byte of the offer left this node.
    NotSent(AttemptId),
    /// The connection to the home node broke after the offer was sent.
    ConnectionLost(AttemptId),
    /// The home duty replied to a query about the attempt.
    QueryReplied(AttemptId, QueryReply<A>),
    /// The home duty that has the attempt no longer exists or can't be reached.
    NodeGone(AttemptId),
    /// The home node does not reply to heartbeats.
    NodeUnresponsive(AttemptId),
    /// The attempt's run takes much longer than is typical.
    Straggles(AttemptId),
    /// The caller's deadline passed.
    Expired,
    /// The caller closed its connection.
    CallerDisconnected,
}

impl<A> Event<A> {
    /// Whether the event is a progress report of an attempt that continues, rather than its result.
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

/// Something for the daemon to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<A> {
    /// Offer the request to the home duty at `to`.
    Offer {
        /// The new attempt.
        id: AttemptId,
        /// The VM.
        to: Name,
        /// Whether it may be queued there.
        may_queue: bool,
        /// Whether an upstream has received the request before.
        repeat: bool,
        /// Whether the request is a suspect, and how it may run then.
        suspicion: Suspicion,
    },
    /// Query the home duty at `to` about the attempt.
    Query {
        /// The attempt.
        id: AttemptId,
        /// The VM.
        to: Name,
    },
    /// Notify the home duty at `to` that the attempt's answer is no longer needed.
    Cancel {
        /// The attempt.
        id: AttemptId,
        /// The VM.
        to: Name,
    },
    /// Send the outcome to the caller.
    Finish(Outcome<A>),
}

/// The outcome of a call, as sent to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<A> {
    /// The complete answer.
    Answered(A),
    /// The request has not run anywhere and never will.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(Reason),
}
