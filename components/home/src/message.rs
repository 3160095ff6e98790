//! Messages between an entry duty and a home duty about one attempt.

use names::{AttemptId, Name};
use notices::RequestRate;
use serde::{Deserialize, Serialize};

/// Asks a home duty to run one attempt. The request itself is sent with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Identity of the attempt, never reused.
    pub id: AttemptId,
    /// Service that the request is for.
    #[serde(rename = "s")]
    pub service: Name,
    /// Time left until the caller's deadline when the offer was sent, in microseconds.
    #[serde(rename = "t")]
    pub remaining_us: u64,
    /// Time left in which an answer has its full value, in microseconds; none: until the deadline.
    #[serde(rename = "w")]
    pub objective_us: Option<u64>,
    /// Priority from the policy; a higher number is served first.
    #[serde(rename = "p")]
    pub priority: u8,
    /// How many services the call has passed; deeper calls are served first.
    #[serde(rename = "l")]
    pub level: u32,
    /// Whether the request may run more than once.
    #[serde(rename = "r")]
    pub repeatable: bool,
    /// Whether the home duty may queue the attempt when no slot is free.
    #[serde(rename = "q")]
    pub may_queue: bool,
    /// Whether an upstream received the request before, so that this attempt is a repeat; calls
    /// made for a repeat are repeats too.
    #[serde(rename = "x")]
    pub repeat: bool,
    /// Whether an upstream terminated while it ran the request.
    #[serde(rename = "u", default, skip_serializing_if = "Suspicion::is_none")]
    pub suspicion: Suspicion,
    /// Whether the caller was refused before, so that its objective counts from an earlier try.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub returned: bool,
    /// Whether the entry duty wants a report if the run takes much longer than typical.
    #[serde(rename = "k", default, skip_serializing_if = "is_false")]
    pub report_straggler: bool,
    /// The request limit of the upstream as known to the entry duty, in requests a second: a home
    /// duty that has just restarted may not know it yet.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub known_limit: Option<RequestRate>,
    /// The client account for the fair sharing of slots; the home node reads it from the request
    /// sent with the offer.
    #[serde(skip)]
    pub account: Option<Name>,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Whether an upstream terminated while it ran the offered request, and under which conditions the
/// request may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Suspicion {
    /// No such termination is known.
    #[default]
    None,
    /// Only where no other suspect request runs: if the upstream terminates, it is known which
    /// request caused it.
    Alone,
    /// Also concurrently with other suspect requests: every upstream that was asked ran one.
    Shared,
}

impl Suspicion {
    /// Whether no such termination is known.
    pub fn is_none(&self) -> bool {
        *self == Suspicion::None
    }
}

/// State of an upstream as known to its home duty; sent with every answer and refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Attempts running.
    #[serde(rename = "i")]
    pub in_flight: u32,
    /// Attempts queued.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Attempts that may run at once now; at most the number of slots.
    #[serde(rename = "l")]
    pub limit: u32,
    /// Recent service time in microseconds.
    #[serde(rename = "s")]
    pub service_us: u64,
    /// Share of recent answers that were errors, in thousandths.
    #[serde(rename = "e")]
    pub errors_permille: u32,
    /// The slowdown that the upstream reports, in hundredths of the typical run time; 0 when it
    /// doesn't report any.
    #[serde(rename = "n")]
    pub slow_percent: u32,
    /// How long new work is expected to wait for the end of a slow phase, in microseconds.
    #[serde(rename = "h")]
    pub deferred_us: u64,
    /// How long until the upstream, which is cold, sustains another start, in microseconds.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub cold_wait_us: u64,
    /// The request limit that the upstream advertises for all nodes together, in requests a second.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub request_limit: Option<RequestRate>,
    /// How long until the upstream accepts another request within its limit, in microseconds.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub limit_wait_us: u64,
    /// Whether the upstream or its node is draining.
    #[serde(rename = "g")]
    pub leaving: bool,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Why a request was refused. Part of the callers' interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// No free slot and no space in the queue.
    Busy,
    /// The remaining time is shorter than the predicted wait, or has passed.
    Deadline,
    /// The upstream or its node is draining.
    Leaving,
    /// The upstream cannot be reached.
    Down,
    /// The upstream reported that it did not start the request.
    Shed,
    /// The attempt is older than the home duty's records.
    Stale,
    /// No upstream of the service is known, or another upstream is on the VM that was asked.
    NoUpstream,
    /// No service is declared under this name.
    NoService,
    /// The node has no configuration yet.
    NoConfiguration,
    /// The policy refused the request.
    Policy,
    /// The connection to the home duty's node could not be opened.
    Unreachable,
    /// The outcome of an earlier try cannot be known.
    Lost,
    /// The same idempotency key was used before, or may have been, and no answer can be replayed.
    KeyUsed,
    /// The node that was asked is not the key's coordinator.
    NotCoordinator,
    /// The upstream's local node does not know whether the key was used there.
    Uncertain,
    /// Upstreams terminated while they ran the request: it is sent to no further one.
    Quarantined,
    /// The request carries no API key, or one that belongs to no client account.
    Key,
    /// The API key may have been withdrawn without this node knowing.
    StaleKeys,
    /// The client account has used up its limit.
    OverLimit,
    /// The remaining limit of the client account is unknown.
    LimitUnknown,
    /// The request is invalid: malformed, too large or too slow.
    BadRequest,
}

impl Reason {
    /// The value of the reason header.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Busy => "busy",
            Reason::Deadline => "deadline",
            Reason::Leaving => "leaving",
            Reason::Down => "down",
            Reason::Shed => "shed",
            Reason::Stale => "stale",
            Reason::NoUpstream => "no-upstream",
            Reason::NoService => "no-service",
            Reason::NoConfiguration => "no-configuration",
            Reason::Policy => "policy",
            Reason::Unreachable => "unreachable",
            Reason::Lost => "lost",
            Reason::KeyUsed => "key-used",
            Reason::NotCoordinator => "not-coordinator",
            Reason::Uncertain => "uncertain",
            Reason::Quarantined => "quarantined",
            Reason::Key => "key",
            Reason::StaleKeys => "stale-keys",
            Reason::OverLimit => "over-limit",
            Reason::LimitUnknown => "limit-unknown",
            Reason::BadRequest => "bad-request",
        }
    }
}

/// A refusal: the attempt was not run and never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The cause.
    pub reason: Reason,
    /// After how long a caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// A home duty's reply to a query about an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryReply<A> {
    /// Running; the answer will follow on this connection.
    Started,
    /// Completed; the complete answer again.
    Answered(A),
    /// Ran, but no complete answer is available.
    Ran,
    /// Not run, and it never will be.
    Revoked,
    /// Older than the home duty's records: nothing is known.
    Forgotten,
}
