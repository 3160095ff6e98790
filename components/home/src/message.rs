//! Messages between an entry duty and a home duty about one attempt.

use names::{AttemptId, Name};
use notices::RequestRate;
use serde::{Deserialize, Serialize};

/// Asks a home duty to run one attempt. The request itself travels beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Identity of the attempt, never reused.
    pub id: AttemptId,
    /// Service the request is for.
    #[serde(rename = "s")]
    pub service: Name,
    /// Time left until the caller's deadline, in microseconds, when the offer was sent.
    #[serde(rename = "t")]
    pub remaining_us: u64,
    /// Time left within which an answer has its full worth, in microseconds; none: until the deadline.
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
    /// Whether an upstream has seen the request before, so that this attempt is a repeat; calls that
    /// are made for a repeat are repeats too.
    #[serde(rename = "x")]
    pub repeat: bool,
    /// Whether an upstream ended while it ran the request.
    #[serde(rename = "u", default, skip_serializing_if = "Suspicion::is_none")]
    pub suspicion: Suspicion,
    /// Whether the caller was refused before, so that its objective runs from an earlier try.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub returned: bool,
    /// Whether the entry duty wants to know when the run takes much longer than usual.
    #[serde(rename = "k", default, skip_serializing_if = "is_false")]
    pub report_straggler: bool,
    /// The requests a second that the upstream takes, as far as the entry duty knows: the home duty may have started anew
    /// and not know it yet.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub known_limit: Option<RequestRate>,
    /// The client account among which slots are shared fairly; the home node reads it from the request beside the offer.
    #[serde(skip)]
    pub account: Option<Name>,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Whether an upstream ended while it ran the offered request, and how it may run then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Suspicion {
    /// No such end is known.
    #[default]
    None,
    /// Only where no other such request is at work: if the upstream ends, it is known which one ended it.
    Alone,
    /// Also beside others: every upstream that was asked had one.
    Shared,
}

impl Suspicion {
    /// Whether no such end is known.
    pub fn is_none(&self) -> bool {
        *self == Suspicion::None
    }
}

/// What a home duty knows of its upstream; carried on every answer and refusal.
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
    /// How long work takes at the upstream now, in hundredths of the usual, as it says itself; 0 when
    /// it doesn't say.
    #[serde(rename = "n")]
    pub slow_percent: u32,
    /// How long new work is expected to wait for the end of a slow phase, in microseconds.
    #[serde(rename = "h")]
    pub deferred_us: u64,
    /// How long until the upstream, which is cold, bears another start, in microseconds.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub cold_wait_us: u64,
    /// Requests a second that the upstream takes from all nodes together, by its own word.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub request_limit: Option<RequestRate>,
    /// How long until the upstream takes another request within its limit, in microseconds.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub limit_wait_us: u64,
    /// Whether the upstream or its node is leaving.
    #[serde(rename = "g")]
    pub leaving: bool,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Why a request was refused. Part of the callers' interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// No slot and no room in the queue.
    Busy,
    /// The remaining time is shorter than the predicted wait, or has passed.
    Deadline,
    /// The upstream or its node is leaving.
    Leaving,
    /// The upstream cannot be reached.
    Down,
    /// The upstream said that it did not start the request.
    Shed,
    /// The attempt is older than the home duty's memory.
    Stale,
    /// No upstream of the service is known.
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
    /// The same idempotency key was used before, or may have been, and there is no answer to give.
    KeyUsed,
    /// The node that was taken for the key's coordinator is not.
    NotCoordinator,
    /// The node beside the upstream does not know whether the key was used there.
    Uncertain,
    /// Upstreams ended while they ran the request: no further one sees it.
    Quarantined,
    /// It carries no key of a client account, or one that nobody holds.
    Key,
    /// Its key may have been withdrawn without this node knowing.
    StaleKeys,
    /// Its client account has used up its limit.
    OverLimit,
    /// What is left of its account's limit cannot be known now.
    LimitUnknown,
    /// The request itself is at fault: malformed, too large or too slow.
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
    /// Why.
    pub reason: Reason,
    /// When a caller may come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// What a home duty answers when asked about an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryReply<A> {
    /// Running; the answer will follow on this connection.
    Started,
    /// Ran to its end; the whole answer again.
    Answered(A),
    /// Ran, but there is no whole answer to give.
    Ran,
    /// Not run, and never will be.
    Revoked,
    /// Older than the home duty's memory: nothing is known.
    Forgotten,
}
