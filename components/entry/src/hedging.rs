//! Decisions about hedged attempts, for logs and counters.

use names::{AttemptId, Name, MILLISECOND};

/// Time that an entry node reserves for the return, so that a refusal at the deadline still arrives
/// in time: two crossings between halls and some slack, in microseconds.
pub const RETURN_TIME_US: u64 = 3 * MILLISECOND;

/// A decision about a hedged attempt, or its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDecision {
    Made,
    /// The hedged attempt gave the answer.
    WonByHedge,
    /// The first attempt gave the answer.
    WonByFirst,
    /// No hedged attempt was made.
    Refused(HedgeRefusal),
}

/// Why no hedged attempt was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeRefusal {
    /// The request may not run again, or an upstream terminated while it ran the request or a copy.
    NotAllowed,
    /// An offer of the service was recently refused for lack of a slot.
    ShortOfSlots,
    /// No other upstream of the hall may have a free slot.
    NoUpstream,
    /// A run of the expected length would not end before the deadline.
    TooLate,
    BudgetExhausted,
}

impl HedgeDecision {
    /// A fixed lower-case name for logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            HedgeDecision::Made => "made",
            HedgeDecision::WonByHedge => "won-by-second",
            HedgeDecision::WonByFirst => "won-by-first",
            HedgeDecision::Refused(_) => "refused",
        }
    }

    /// The reason of a refusal in the same form; a dash for other decisions.
    pub fn reason(self) -> &'static str {
        match self {
            HedgeDecision::Refused(HedgeRefusal::NotAllowed) => "not-allowed",
            HedgeDecision::Refused(HedgeRefusal::ShortOfSlots) => "short",
            HedgeDecision::Refused(HedgeRefusal::NoUpstream) => "no-upstream",
            HedgeDecision::Refused(HedgeRefusal::TooLate) => "too-late",
            HedgeDecision::Refused(HedgeRefusal::BudgetExhausted) => "budget",
            _ => "-",
        }
    }
}

/// A decision with its inputs, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hedge {
    pub decision: HedgeDecision,
    /// The attempt that straggled.
    pub first: AttemptId,
    /// The hedged attempt, if one was made.
    pub hedged: Option<AttemptId>,
    /// The upstream selected for the hedged attempt, even if none was made.
    pub to: Option<Name>,
    /// Time since the first attempt was offered, in microseconds.
    pub since_offer_us: u64,
    /// Time left until the caller's deadline, in microseconds.
    pub remaining_us: u64,
    /// Expected run time of the hedged attempt, in microseconds; none if no upstream was selected.
    pub expected_us: Option<u64>,
    /// Age of the latest report of the selected upstream, in microseconds.
    pub load_age_us: Option<u64>,
    /// Time since an offer of the service that might queue was last refused as busy, in
    /// microseconds; none if there was no such refusal.
    pub since_busy_us: Option<u64>,
}
